"""A process of many hollow balancers: `python -m puffinford.scale.hollow_process`, started by the driver.

The first line of standard input is its `HollowSpec`; further lines are commands. What is to be told goes to
standard output. It ends with its input.
"""

from __future__ import annotations

import gc
import logging
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from dataclasses import replace
from pathlib import Path

import anyio
import anyio.abc

from puffinford.codec import decode_settings
from puffinford.logs import set_up
from puffinford.operators import OperatorSettings, load_settings
from puffinford.scale.hollow_balancer import HollowBalancer, HollowTotals
from puffinford.scale.messages import (
    Begin,
    Finish,
    HollowSpec,
    HollowTally,
    InForce,
    Kill,
    Started,
    ToHollow,
    decode,
)
from puffinford.scale.pipes import lines_from, resident, tell
from puffinford.scale.shared_clock import SharedClock

TELL_EVERY = 200.0  # ms between batches of versions that came into force
LATE_EVERY = 100.0  # ms between looks at how late the loop is
# Objects between collections of garbage: with the usual 700 they take a seventh of the time of 250 balancers.
COLLECT_AFTER = (20_000, 50, 100)

log = logging.getLogger(__name__)


class HollowProcess:
    """The balancers of one process, each in a task group of its own that a kill cancels."""

    def __init__(self, spec: HollowSpec, clock: SharedClock) -> None:
        self._spec = spec
        self._clock = clock
        self._settings = decode_settings(spec.settings)
        self._operators = _operators(spec.operators)
        self._totals = HollowTotals()
        self._running: dict[int, tuple[HollowBalancer, anyio.CancelScope]] = {}
        self._down: dict[int, float] = {}  # ms that a killed balancer stays down
        self._in_force: list[tuple[int, int, float]] = []
        self._started: list[tuple[int, float]] = []
        self._begun = anyio.Event()
        self._starting = anyio.Semaphore(spec.starting_most)
        self._crowd_at = (0.0, 0.0)
        self._late: list[float] = []
        self._lost_before = 0.0
        self._before = resident()

    async def run(self, commands: AsyncIterator[bytes]) -> None:
        """Run the balancers and obey until the end."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._clock.run)
            tasks.start_soon(self._start_all, tasks)
            tasks.start_soon(self._tell_all)
            tasks.start_soon(self._measure_lateness)
            await self._obey(commands, tasks)
            tasks.cancel_scope.cancel()

    async def _obey(self, commands: AsyncIterator[bytes], tasks: anyio.abc.TaskGroup) -> None:
        async for line in commands:
            command: ToHollow = decode(line, ToHollow)
            match command:
                case Begin():
                    # Guards the loop against long collections over what now stays to the end.
                    gc.collect()
                    gc.freeze()
                    self._late.clear()
                    self._lost_before = self._clock.lost
                    self._crowd_at = (command.at, command.end)
                    self._begun.set()
                case Kill():
                    tasks.start_soon(self._kill, command)
                case Finish():
                    self._tell_in_force()
                    tell(self._tally(whole=True))
                    return

    async def _start_all(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start balancers as fast as they get their first lists.

        Guards the start against itself: with all at once the loop is late, calls beside late ones are made,
        and their answers make it later still.
        """
        for number in range(self._spec.count):
            await self._starting.acquire()
            tasks.start_soon(self._keep, self._spec.first + number)

    async def _keep(self, me: int) -> None:
        """One balancer of the fleet, started again after each kill."""
        first = True
        while True:
            balancer = HollowBalancer(
                self._spec,
                me,
                replace(self._settings, me=me),
                self._operators,
                self._clock,
                self._record,
                self._totals,
            )
            with anyio.CancelScope() as scope:
                self._running[me] = (balancer, scope)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(balancer.run)
                    if first:
                        await balancer.informed.wait()
                        self._starting.release()
                        first = False
                    await self._begun.wait()
                    await balancer.serve_crowd(*self._crowd_at)
            del self._running[me], balancer
            await self._clock.sleep(self._down.pop(me, 0.0))
            self._started.append((me, self._clock.true_now()))

    async def _kill(self, command: Kill) -> None:
        await anyio.sleep(max(0.0, command.at - self._clock.true_now()) / 1_000.0)
        for me in command.balancers:
            running = self._running.get(me)
            if running is not None:
                self._down[me] = command.down_ms
                running[1].cancel()

    def _record(self, me: int, version: int) -> None:
        self._in_force.append((me, version, self._clock.true_now()))

    async def _tell_all(self) -> None:
        while True:
            await anyio.sleep(TELL_EVERY / 1_000.0)
            self._tell_in_force()
            tell(self._tally())

    def _tell_in_force(self) -> None:
        if self._started:
            tell(Started(self._started))
            self._started = []
        if self._in_force:
            tell(InForce(self._in_force))
            self._in_force = []

    def _tally(self, *, whole: bool = False) -> HollowTally:
        """The figures of a moment; with all that is large only where it is `whole`."""
        placed = self._totals.placed if whole else {}
        return HollowTally(
            running=len(self._running),
            informed=sum(balancer.informed.is_set() for balancer, _ in self._running.values()),
            placed={me: dict(counts) for me, counts in placed.items()},
            refused=self._totals.refused,
            moved=self._totals.moved,
            cpu_s=time.process_time(),
            resident=resident(),
            resident_before=self._before,
            late_ms=self._late if whole else [],
            lost_ms=self._clock.lost - self._lost_before,
        )

    async def _measure_lateness(self) -> None:
        """Guards a run against a machine that cannot carry it: figures of a loop that is late are its own."""
        while True:
            due = self._clock.true_now() + LATE_EVERY
            await anyio.sleep(LATE_EVERY / 1_000.0)
            self._late.append(round(self._clock.true_now() - due, 1))


def _operators(text: str) -> OperatorSettings:
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory, "operators.conf")
        path.write_text(text)
        return load_settings(path).settings


async def _main() -> None:
    commands = lines_from(sys.stdin.fileno())
    spec: HollowSpec = decode(await anext(commands), HollowSpec)
    await HollowProcess(spec, SharedClock()).run(commands)


if __name__ == "__main__":
    set_up("ERROR")
    gc.set_threshold(*COLLECT_AFTER)
    anyio.run(_main)
