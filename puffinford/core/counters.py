"""Counters of requests by class, from the start of the process."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum


class Count(Enum):
    """What is counted for each request class."""

    SERVED = "served"  # connections established
    REFUSED = "refused"  # refused with a retry time
    FAILED = "failed"  # given any other answer
    ATTEMPTS = "attempts"  # openings written completely to servers


class RequestCounters:
    """Counters for each request class. Only the exchange updates them, after the write that is counted."""

    def __init__(self) -> None:
        self._counts: dict[str, dict[Count, int]] = {}

    def register(self, classes: Iterable[str]) -> None:
        """Add classes with counters at 0. Known classes keep their counters."""
        for cls in classes:
            self._counts.setdefault(cls, dict.fromkeys(Count, 0))

    def add(self, cls: str, count: Count) -> None:
        """Increment a counter of a registered class."""
        self._counts[cls][count] += 1

    def counts(self) -> Iterable[tuple[str, Count, int]]:
        """All counters as (class, count, value)."""
        return [(cls, count, n) for cls, counts in self._counts.items() for count, n in counts.items()]
