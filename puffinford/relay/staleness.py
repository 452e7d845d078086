"""The age of a relay's list, from the times of its calls upstream. No I/O, no clock; times are in ms.

`confirmed_at` is the latest time at which the list is known to have equalled the source's. An answer without
changes to a waiting call was written no earlier than the end of the wait; any other answer is only known to
have been written after the call was sent.
"""

from __future__ import annotations

import math


class Staleness:
    """The age of the list, compared with its maximum age."""

    def __init__(self, max_age: float) -> None:
        self._max_age = max_age
        self.confirmed_at = -math.inf

    def confirm(self, sent_at: float, wait: float, received_at: float, unchanged: bool) -> None:
        """Record a trusted answer to a call that asked to wait `wait`; `unchanged` if it holds no changes."""
        # A source may end a wait early: its answer then confirms the list only as of the call.
        waited = wait if unchanged and received_at >= sent_at + wait else 0.0
        self.confirmed_at = max(self.confirmed_at, sent_at + waited)

    def age(self, now: float) -> float:
        """Time since the list was last known to equal the source's; infinite before the first list."""
        return now - self.confirmed_at

    def is_fresh(self, now: float) -> bool:
        """Whether the list is young enough to serve."""
        return self.age(now) <= self._max_age
