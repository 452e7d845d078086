"""The monotonic clock of a process, in milliseconds, anchored at Unix time when it is created."""

from __future__ import annotations

import heapq
import time
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager

import anyio


class Clock:
    """The system's monotonic clock. Tests use `SettableClock`."""

    def __init__(self) -> None:
        self._offset = time.time() * 1000.0 - time.monotonic() * 1000.0

    def now(self) -> float:
        """Current time in ms."""
        return time.monotonic() * 1000.0 + self._offset

    @property
    def anchor(self) -> float:
        """The constant difference between this clock and the system's monotonic clock, in ms."""
        return self._offset

    def wall_ahead(self) -> float:
        """Unix time minus this clock, in ms: the steps of the wall clock since this one was created."""
        return time.time() * 1000.0 - self.now()

    async def sleep(self, ms: float) -> None:
        """Sleep for `ms`, or yield once if it is not positive."""
        await anyio.sleep(max(0.0, ms) / 1000.0)

    def limit(self, ms: float) -> AbstractContextManager[anyio.CancelScope]:
        """Return a scope that is cancelled after `ms`, without raising TimeoutError."""
        return anyio.move_on_after(max(0.0, ms) / 1000.0)


class SettableClock(Clock):
    """A clock that changes only when a test advances it."""

    def __init__(self, start: float = 1_000_000.0) -> None:
        self._now = start
        self._heap: list[tuple[float, int, Callable[[], object]]] = []
        self._count = 0

    def now(self) -> float:
        return self._now

    @property
    def anchor(self) -> float:
        return 0.0

    def wall_ahead(self) -> float:
        return 0.0

    @property
    def waiting(self) -> int:
        """Number of pending sleeps and limits."""
        return len(self._heap)

    def advance(self, ms: float) -> None:
        """Advance the clock, and end the sleeps and limits that are due."""
        self._now += ms
        while self._heap and self._heap[0][0] <= self._now:
            heapq.heappop(self._heap)[2]()

    def _at(self, ms: float, call: Callable[[], object]) -> None:
        self._count += 1
        heapq.heappush(self._heap, (self._now + ms, self._count, call))

    async def sleep(self, ms: float) -> None:
        due = anyio.Event()
        self._at(ms, due.set)
        await (due.wait() if ms > 0 else anyio.sleep(0))

    @contextmanager
    def limit(self, ms: float) -> Iterator[anyio.CancelScope]:
        with anyio.CancelScope() as scope:
            within = True
            # Prevents cancelling a scope that was left before its limit.
            self._at(ms, lambda: scope.cancel() if within else None)
            try:
                yield scope
            finally:
                within = False
