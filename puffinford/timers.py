"""Timers of the decision module: a heap of calls, with one wake-up requested from the host at a time."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from puffinford.interface import SetTimer

TOLERANCE_MS = 0.001  # absorbs rounding: hosts count microseconds


class Timers:
    """A heap of scheduled calls. Times are in ms; it reads no clock."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Callable[[], object]]] = []
        self._sequence = 0
        self._wakeup_at = float("inf")
        self._token = 0

    def call_at(self, when: float, call: Callable[[], object]) -> None:
        """Schedule a call; calls of the same time run in the order of scheduling."""
        self._sequence += 1
        heapq.heappush(self._heap, (when, self._sequence, call))

    def run_due(self, now: float) -> None:
        """Run all calls scheduled up to `now`, in the order of their times."""
        while self._heap and self._heap[0][0] <= now + TOLERANCE_MS:
            heapq.heappop(self._heap)[2]()

    def on_wakeup(self, token: int) -> None:
        """Allow the next wake-up to be requested: rounding may have let this one arrive early."""
        if token == self._token:
            self._wakeup_at = float("inf")

    def next_wakeup(self, now: float) -> SetTimer | None:
        """The wake-up to request; None if one that is early enough is pending."""
        if not self._heap or self._heap[0][0] >= self._wakeup_at:
            return None
        self._wakeup_at = self._heap[0][0]
        self._token += 1
        return SetTimer(min(max(self._wakeup_at - now, 0.0), 3_600_000.0), self._token)
