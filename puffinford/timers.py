"""The decision module's one timer mechanism. It decides nothing, and knows no clock."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from puffinford.interface import SetTimer

INSTANT = 0.001  # times this close are the same: hosts count microseconds, and floats round


class Timers:
    """The one timer mechanism: due calls in a heap, one wake-up asked of the host at a time."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Callable[[], object]]] = []
        self._count = 0
        self._wake = float("inf")
        self._token = 0

    def call_at(self, when: float, call: Callable[[], object]) -> None:
        self._count += 1
        heapq.heappush(self._heap, (when, self._count, call))

    def run_due(self, now: float) -> None:
        while self._heap and self._heap[0][0] <= now + INSTANT:
            heapq.heappop(self._heap)[2]()

    def woken(self, token: int) -> None:
        """A wake-up has come: perhaps a hair early, by rounding, so that the next must be asked for anew."""
        if token == self._token:
            self._wake = float("inf")

    def next_wakeup(self, now: float) -> SetTimer | None:
        """The wake-up to ask for, if none early enough is on its way."""
        if not self._heap or self._heap[0][0] >= self._wake:
            return None
        self._wake = self._heap[0][0]
        self._token += 1
        return SetTimer(min(max(self._wake - now, 0.0), 3_600_000.0), self._token)
