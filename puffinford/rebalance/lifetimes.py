"""Connection lifetimes, and the expected remaining time of a connection by its age. No I/O, no clock.

Lifetimes are counted in buckets of doubling length, and all counts are halved from time to time, so that
recent ones dominate. A connection that was cut off (by a move or the end of the balancer) is a censored
observation: it counts as a survivor of the buckets it reached (Kaplan-Meier life-table estimate, on buckets).
"""

from __future__ import annotations

FIRST_BUCKET_MS = 1_000.0  # each further bucket is twice as long as the one before
BUCKET_COUNT = 16
MAX_COMPLETED = 512.0  # completed lifetimes after which all counts are halved
MIN_COMPLETED = 8.0  # lifetimes needed for an estimate


class Lifetimes:
    """The lifetimes of connections of one class."""

    def __init__(self) -> None:
        self._ended_counts = [0.0] * BUCKET_COUNT
        self._reached_counts = [0.0] * BUCKET_COUNT  # lifetimes that reached the bucket
        self._completed = 0.0

    def record(self, age: float, *, cut: bool = False) -> None:
        """Record a connection that ended at that age in ms; `cut` where the client did not end it."""
        bucket = self._bucket(age)
        for index in range(bucket + (not cut)):
            self._reached_counts[index] += 1.0
        if not cut:
            self._ended_counts[bucket] += 1.0
            self._completed += 1.0
        if self._completed > MAX_COMPLETED:
            self._ended_counts = [value / 2.0 for value in self._ended_counts]
            self._reached_counts = [value / 2.0 for value in self._reached_counts]
            self._completed /= 2.0

    @staticmethod
    def _bucket(age: float) -> int:
        return min(BUCKET_COUNT - 1, max(0, int(age / FIRST_BUCKET_MS + 1.0).bit_length() - 1))

    def mean_remaining(self, age: float) -> float | None:
        """Return the expected remaining time in ms at that age; None where too few connections have ended."""
        if self._completed < MIN_COMPLETED:
            return None
        first = self._bucket(age)
        survival, total = 1.0, 0.0
        for index in range(first, BUCKET_COUNT):
            low = FIRST_BUCKET_MS * (2.0**index - 1.0)
            length = FIRST_BUCKET_MS * 2.0**index
            elapsed = max(0.0, age - low) if index == first else 0.0
            remaining = length - elapsed
            if self._reached_counts[index] < MIN_COMPLETED:
                # Prevents a new process from expecting every connection older than its data to end soon.
                total += survival * (remaining + length)
                break
            hazard = self._ended_counts[index] / self._reached_counts[index]
            total += survival * (remaining * (1.0 - hazard) + remaining / 2.0 * hazard)
            survival *= 1.0 - hazard
            if survival <= 1e-6:
                break
        return total
