"""How old a relay's list is, on given times in ms. No I/O, no clock.

`confirmed` is the latest moment of which the relay knows that its list was the source's. A watch that waits
answers without news no earlier than its wait after it was sent; any other answer was written after the call
was sent, and no more is known.
"""

from __future__ import annotations

import math


class Staleness:
    """The age of a list, against the age that it may have."""

    def __init__(self, max_age: float) -> None:
        self._max_age = max_age
        self.confirmed = -math.inf

    def confirm(self, sent: float, wait: float, received: float, quiet: bool) -> None:
        """An answer that is believed, to a call that was `sent` and might `wait`; `quiet`: without news."""
        # Guards against a source that ends a watch early: its answer shows no more than when it was asked.
        waited = wait if quiet and received >= sent + wait else 0.0
        self.confirmed = max(self.confirmed, sent + waited)

    def age(self, now: float) -> float:
        """How long ago the list was known to be the source's; infinite before there was one."""
        return now - self.confirmed

    def fresh(self, now: float) -> bool:
        """Whether the list may be answered from."""
        return self.age(now) <= self._max_age
