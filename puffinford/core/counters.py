"""The one register of what requests came to, by class, from the start of the process."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum


class Count(Enum):
    SERVED = "served"  # connections brought up
    REFUSED = "refused"  # told to retry later
    FAILED = "failed"  # given any other answer
    ATTEMPTS = "attempts"  # openings written whole to servers


class RequestCounters:
    """Written by the exchange alone, once what is counted has been written."""

    def __init__(self) -> None:
        self._counts: dict[str, dict[Count, int]] = {}

    def know(self, classes: Iterable[str]) -> None:
        """Classes that are figures from now on, at 0; those known before keep theirs."""
        for cls in classes:
            self._counts.setdefault(cls, dict.fromkeys(Count, 0))

    def add(self, cls: str, count: Count) -> None:
        self._counts[cls][count] += 1

    def counts(self) -> Iterable[tuple[str, Count, int]]:
        return [(cls, count, n) for cls, counts in self._counts.items() for count, n in counts.items()]
