"""Coalescing of changes that arrive within a short window. No I/O, no clock; times are in ms."""

from __future__ import annotations


class CoalescingWindow:
    """Opened by the first pending update; closes `duration` ms later, whatever arrives meanwhile."""

    def __init__(self, duration: float) -> None:
        self._duration = duration
        self._closes_at: float | None = None

    @property
    def is_open(self) -> bool:
        """Whether updates are pending."""
        return self._closes_at is not None

    def add_update(self, now: float) -> None:
        """Record a pending update; opens the window if it is closed."""
        if self._closes_at is None:
            self._closes_at = now + self._duration

    def close_if_due(self, now: float) -> bool:
        """Close the window if its time is over. Return whether the pending updates are to be sent now."""
        if self._closes_at is None or now < self._closes_at:
            return False
        self._closes_at = None
        return True
