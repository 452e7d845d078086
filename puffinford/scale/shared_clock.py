"""The clock of many balancers that share one process: it does not count the time that sharing costs.

Each balancer would have a process of its own. In a shared one a change reaches hundreds in one turn of the
loop, and the last of them has its turn some hundred milliseconds late: by the system's clock its exchange
would find that the program stood still, drop its call and ask anew, and so would all others.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

import anyio

from puffinford.core.clock import Clock

TURN_MS = 20.0  # between looks at how late the loop is
STEP_MOST = 100.0  # ms that the clock goes on between two of them; what is more is lost


class SharedClock(Clock):
    """Milliseconds as `Clock` has them, less what the loop was late. `run` runs beside those who ask."""

    def __init__(self) -> None:
        super().__init__()
        self.lost = 0.0  # ms that were not counted
        self._turned = super().now()
        self._handle: asyncio.TimerHandle

    def now(self) -> float:
        return min(super().now() - self.lost, self._turned + STEP_MOST)

    def true_now(self) -> float:
        """The system's time, with all that was lost."""
        return super().now()

    async def run(self) -> None:
        """Look how late the loop is, until cancelled."""
        self._next_turn()
        try:
            await anyio.sleep_forever()
        finally:
            self._handle.cancel()

    def _next_turn(self) -> None:
        # Guards the order: a plain call has its turn before the tasks that the same moment wakes.
        self._handle = asyncio.get_running_loop().call_later(TURN_MS / 1_000.0, self._take_turn)

    def _take_turn(self) -> None:
        self.turn()
        self._next_turn()

    def turn(self) -> None:
        """The loop has had a turn."""
        here = super().now() - self.lost
        over = here - self._turned - STEP_MOST
        if over > 0.0:
            self.lost += over
            here -= over
        self._turned = here

    async def sleep(self, ms: float) -> None:
        if ms <= 0.0:
            await anyio.sleep(0)
            return
        due = self.now() + ms
        while (left := due - self.now()) > 0.0:
            await anyio.sleep(left / 1_000.0)

    @contextmanager
    def limit(self, ms: float) -> Iterator[anyio.CancelScope]:
        loop = asyncio.get_running_loop()
        due = self.now() + max(0.0, ms)
        handle: asyncio.Handle
        with anyio.CancelScope() as scope:

            def look() -> None:
                nonlocal handle
                left = due - self.now()
                if left <= 0.0:
                    scope.cancel()
                else:
                    handle = loop.call_later(left / 1_000.0, look)

            handle = loop.call_later(max(0.0, ms) / 1_000.0, look)
            try:
                yield scope
            finally:
                handle.cancel()
