"""Changes that come together are sent together. No I/O, no clock; times are ms."""

from __future__ import annotations


class CoalescingWindow:
    """Opened by the first news, closed `length` later whatever else comes."""

    def __init__(self, length: float) -> None:
        self._length = length
        self._closes: float | None = None

    @property
    def open(self) -> bool:
        """Whether there is news that has not been sent."""
        return self._closes is not None

    def news(self, now: float) -> None:
        """There is something to send."""
        if self._closes is None:
            self._closes = now + self._length

    def close(self, now: float) -> bool:
        """Whether the news is to be sent now; once for each window."""
        if self._closes is None or now < self._closes:
            return False
        self._closes = None
        return True
