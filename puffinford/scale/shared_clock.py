"""The clock of many balancers that share one process, which does not count delays of their event loop.

A list change wakes hundreds of balancers in one iteration of the loop. By the system's clock, the last of
them would take the delay for a suspension of the process, and would drop and repeat its call, which overloads
the loop further.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

import anyio

from puffinford.core.clock import Clock

TURN_INTERVAL_MS = 20.0  # between measurements of the loop's lateness
MAX_STEP_MS = 100.0  # that the clock advances between two measurements; the excess is lost


class SharedClock(Clock):
    """A `Clock` that leaves out delays of the event loop. `run` must run while it is used."""

    def __init__(self) -> None:
        super().__init__()
        self.lost_ms = 0.0  # time that was left out so far
        self._last_turn = super().now()
        self._handle: asyncio.TimerHandle

    def now(self) -> float:
        """Return the time in ms, without the lost time."""
        return min(super().now() - self.lost_ms, self._last_turn + MAX_STEP_MS)

    def unadjusted_now(self) -> float:
        """Return the time in ms, including the lost time."""
        return super().now()

    async def run(self) -> None:
        """Measure the loop's lateness until cancelled."""
        self._schedule_turn()
        try:
            await anyio.sleep_forever()
        finally:
            self._handle.cancel()

    def _schedule_turn(self) -> None:
        # A plain callback runs before the tasks that are woken in the same iteration of the loop.
        self._handle = asyncio.get_running_loop().call_later(TURN_INTERVAL_MS / 1_000.0, self._on_turn)

    def _on_turn(self) -> None:
        self.record_turn()
        self._schedule_turn()

    def record_turn(self) -> None:
        """Advance the clock by the time since the last turn, at most by `MAX_STEP_MS`."""
        current = super().now() - self.lost_ms
        excess = current - self._last_turn - MAX_STEP_MS
        if excess > 0.0:
            self.lost_ms += excess
            current -= excess
        self._last_turn = current

    async def sleep(self, ms: float) -> None:
        """Sleep until this clock has advanced by `ms`."""
        if ms <= 0.0:
            await anyio.sleep(0)
            return
        deadline = self.now() + ms
        while (remaining_ms := deadline - self.now()) > 0.0:
            await anyio.sleep(remaining_ms / 1_000.0)

    @contextmanager
    def limit(self, ms: float) -> Iterator[anyio.CancelScope]:
        """Cancel the block once this clock has advanced by `ms`."""
        loop = asyncio.get_running_loop()
        deadline = self.now() + max(0.0, ms)
        handle: asyncio.Handle
        with anyio.CancelScope() as scope:

            def check() -> None:
                nonlocal handle
                remaining_ms = deadline - self.now()
                if remaining_ms <= 0.0:
                    scope.cancel()
                else:
                    handle = loop.call_later(remaining_ms / 1_000.0, check)

            handle = loop.call_later(max(0.0, ms) / 1_000.0, check)
            try:
                yield scope
            finally:
                handle.cancel()
