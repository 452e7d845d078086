"""How long connections last, by class, and so how long one of that age still has. No I/O, no clock.

Lives are counted in buckets of doubling length, halved now and then, so that the last few hundred count. A
life that was cut off (a move, the end of the balancer) says only that it lasted longer: those are counted as
survivors of the buckets that they saw (the life-table estimate of Kaplan and Meier on buckets).
"""

from __future__ import annotations

FIRST_BUCKET_MS = 1_000.0  # ms of the first bucket; each is twice as long as the one before
BUCKET_COUNT = 16
MAX_COMPLETED = 512.0  # lives after which all counts are halved
MIN_COMPLETED = 8.0  # ends that a class must have shown before anything is said of it


class Lifetimes:
    """The lives of one class."""

    def __init__(self) -> None:
        self._ended = [0.0] * BUCKET_COUNT
        self._seen = [0.0] * BUCKET_COUNT  # lives that reached the bucket
        self._count = 0.0

    def record(self, age: float, *, cut: bool = False) -> None:
        """A connection ended at that age in ms; `cut` where not by its client's will."""
        bucket = self._bucket(age)
        for index in range(bucket + (not cut)):
            self._seen[index] += 1.0
        if not cut:
            self._ended[bucket] += 1.0
            self._count += 1.0
        if self._count > MAX_COMPLETED:
            self._ended = [value / 2.0 for value in self._ended]
            self._seen = [value / 2.0 for value in self._seen]
            self._count /= 2.0

    @staticmethod
    def _bucket(age: float) -> int:
        return min(BUCKET_COUNT - 1, max(0, int(age / FIRST_BUCKET_MS + 1.0).bit_length() - 1))

    def mean_remaining(self, age: float) -> float | None:
        """The mean time in ms that one of that age still has; None where too few have ended to say."""
        if self._count < MIN_COMPLETED:
            return None
        start = self._bucket(age)
        alive, total = 1.0, 0.0
        for index in range(start, BUCKET_COUNT):
            low = FIRST_BUCKET_MS * (2.0**index - 1.0)
            length = FIRST_BUCKET_MS * 2.0**index
            inside = max(0.0, age - low) if index == start else 0.0
            left = length - inside
            if self._seen[index] < MIN_COMPLETED:
                # Guards a young process against taking all that outlives what it has seen for about to end.
                total += alive * (left + length)
                break
            ending = self._ended[index] / self._seen[index]
            total += alive * (left * (1.0 - ending) + left / 2.0 * ending)
            alive *= 1.0 - ending
            if alive <= 1e-6:
                break
        return total
