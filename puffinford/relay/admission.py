"""Admission control for long answers: bounds the bytes in flight to all callers. No I/O; times are in ms.

Prevents many callers that request the full list at once from exhausting memory and delaying updates to the
others.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum


class AdmissionResult(Enum):
    """What becomes of a request to write an answer."""

    ADMITTED = "now"
    QUEUED = "later"  # returned later by `admit_queued` or by `remove_expired`
    REJECTED = "never"  # the queue is full


@dataclass(frozen=True, slots=True)
class _QueuedAnswer:
    size: int
    deadline: float


class Admission:
    """Admits answers in arrival order. With nothing in flight, one answer is admitted whatever its size."""

    def __init__(self, max_bytes: int, max_queued: int, queue_timeout: float) -> None:
        """`max_bytes` limits the answers in flight, `max_queued` the callers that wait for at most
        `queue_timeout` ms.
        """
        self._max_bytes = max_bytes
        self._max_queued = max_queued
        self._queue_timeout = queue_timeout
        self._in_flight: dict[Hashable, int] = {}
        self._queue: dict[Hashable, _QueuedAnswer] = {}
        self.bytes_in_flight = 0

    @property
    def queue_length(self) -> int:
        """The number of queued callers."""
        return len(self._queue)

    def request(self, caller: Hashable, size: int, now: float) -> AdmissionResult:
        """Ask to write an answer of `size` bytes to `caller`."""
        if not self._queue and self._fits(size):
            self._start(caller, size)
            return AdmissionResult.ADMITTED
        if len(self._queue) >= self._max_queued:
            return AdmissionResult.REJECTED
        self._queue[caller] = _QueuedAnswer(size, now + self._queue_timeout)
        return AdmissionResult.QUEUED

    def release(self, caller: Hashable) -> None:
        """Free a caller's bytes and its place in the queue: its answer is written, or it has disconnected."""
        self.bytes_in_flight -= self._in_flight.pop(caller, 0)
        self._queue.pop(caller, None)

    def admit_queued(self) -> list[Hashable]:
        """Admit the queued callers whose answers fit, and return them."""
        admitted: list[Hashable] = []
        while self._queue:
            caller, first = next(iter(self._queue.items()))
            if not self._fits(first.size):
                break
            del self._queue[caller]
            self._start(caller, first.size)
            admitted.append(caller)
        return admitted

    def remove_expired(self, now: float) -> list[Hashable]:
        """Remove the callers that have been queued beyond the timeout, and return them."""
        expired: list[Hashable] = []
        while self._queue:
            caller, first = next(iter(self._queue.items()))
            if first.deadline > now:
                break
            del self._queue[caller]
            expired.append(caller)
        return expired

    def _fits(self, size: int) -> bool:
        return not self._in_flight or self.bytes_in_flight + size <= self._max_bytes

    def _start(self, caller: Hashable, size: int) -> None:
        self._in_flight[caller] = size
        self.bytes_in_flight += size
