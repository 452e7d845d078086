"""A process of many hollow balancers: `python -m puffinford.scale.hollow_process`, started by the driver.

Reads its `HollowSpec` and then commands as JSON lines from standard input, and writes reports to standard
output. Ends when its input is closed.
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
from puffinford.scale.pipes import read_lines, resident_bytes, send_to_driver
from puffinford.scale.shared_clock import SharedClock

REPORT_INTERVAL_MS = 200.0  # between reports to the driver
LATENESS_INTERVAL_MS = 100.0  # between measurements of the event loop's lateness
GC_THRESHOLDS = (20_000, 50, 100)  # arguments of gc.set_threshold: collects less often than by default

log = logging.getLogger(__name__)


class HollowProcess:
    """Runs the hollow balancers of one process, each in a task group that a kill cancels."""

    def __init__(self, spec: HollowSpec, clock: SharedClock) -> None:
        self._spec = spec
        self._clock = clock
        self._settings = decode_settings(spec.settings)
        self._operator_settings = _load_operator_settings(spec.operators)
        self._totals = HollowTotals()
        self._running: dict[int, tuple[HollowBalancer, anyio.CancelScope]] = {}
        self._down_ms: dict[int, float] = {}  # time until the restart, by killed balancer
        self._applied: list[tuple[int, int, float]] = []
        self._restarts: list[tuple[int, float]] = []
        self._story_begun = anyio.Event()
        self._start_slots = anyio.Semaphore(spec.starting_most)
        self._client_period = (0.0, 0.0)
        self._lateness_ms: list[float] = []
        self._lost_at_begin_ms = 0.0
        self._initial_resident_bytes = resident_bytes()

    async def run(self, commands: AsyncIterator[bytes]) -> None:
        """Run the balancers and handle commands until `Finish` or the end of the input."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._clock.run)
            tasks.start_soon(self._start_all, tasks)
            tasks.start_soon(self._report_periodically)
            tasks.start_soon(self._measure_lateness)
            await self._handle_commands(commands, tasks)
            tasks.cancel_scope.cancel()

    async def _handle_commands(self, commands: AsyncIterator[bytes], tasks: anyio.abc.TaskGroup) -> None:
        async for line in commands:
            command: ToHollow = decode(line, ToHollow)
            match command:
                case Begin():
                    # Excludes long-lived objects from later collections, which would delay the loop.
                    gc.collect()
                    gc.freeze()
                    self._lateness_ms.clear()
                    self._lost_at_begin_ms = self._clock.lost_ms
                    self._client_period = (command.at, command.end)
                    self._story_begun.set()
                case Kill():
                    tasks.start_soon(self._kill, command)
                case Finish():
                    self._report_applied()
                    send_to_driver(self._tally(complete=True))
                    return

    async def _start_all(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start the balancers, with at most `starting_most` waiting for their first list at a time.

        Prevents a start of all at once from delaying the event loop, which would cause additional calls.
        """
        for number in range(self._spec.count):
            await self._start_slots.acquire()
            tasks.start_soon(self._run_balancer, self._spec.first + number)

    async def _run_balancer(self, number: int) -> None:
        """Run one balancer and restart it after each kill."""
        is_first_start = True
        while True:
            balancer = HollowBalancer(
                self._spec,
                number,
                replace(self._settings, me=number),
                self._operator_settings,
                self._clock,
                self._record,
                self._totals,
            )
            with anyio.CancelScope() as scope:
                self._running[number] = (balancer, scope)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(balancer.run)
                    if is_first_start:
                        await balancer.list_applied.wait()
                        self._start_slots.release()
                        is_first_start = False
                    await self._story_begun.wait()
                    await balancer.serve_clients(*self._client_period)
            del self._running[number], balancer
            await self._clock.sleep(self._down_ms.pop(number, 0.0))
            self._restarts.append((number, self._clock.unadjusted_now()))

    async def _kill(self, command: Kill) -> None:
        await anyio.sleep(max(0.0, command.at - self._clock.unadjusted_now()) / 1_000.0)
        for number in command.balancers:
            running = self._running.get(number)
            if running is not None:
                self._down_ms[number] = command.down_ms
                running[1].cancel()

    def _record(self, number: int, version: int) -> None:
        self._applied.append((number, version, self._clock.unadjusted_now()))

    async def _report_periodically(self) -> None:
        while True:
            await anyio.sleep(REPORT_INTERVAL_MS / 1_000.0)
            self._report_applied()
            send_to_driver(self._tally())

    def _report_applied(self) -> None:
        if self._restarts:
            send_to_driver(Started(self._restarts))
            self._restarts = []
        if self._applied:
            send_to_driver(InForce(self._applied))
            self._applied = []

    def _tally(self, *, complete: bool = False) -> HollowTally:
        """Return the current counters, with placements and samples of lateness only if `complete`."""
        placed = self._totals.placed if complete else {}
        return HollowTally(
            running=len(self._running),
            informed=sum(balancer.list_applied.is_set() for balancer, _ in self._running.values()),
            placed={number: dict(counts) for number, counts in placed.items()},
            refused=self._totals.refused,
            moved=self._totals.moved,
            cpu_s=time.process_time(),
            resident=resident_bytes(),
            resident_before=self._initial_resident_bytes,
            late_ms=self._lateness_ms if complete else [],
            lost_ms=self._clock.lost_ms - self._lost_at_begin_ms,
        )

    async def _measure_lateness(self) -> None:
        """Record the event loop's lateness, which distorts propagation times on an overloaded host."""
        while True:
            expected_at = self._clock.unadjusted_now() + LATENESS_INTERVAL_MS
            await anyio.sleep(LATENESS_INTERVAL_MS / 1_000.0)
            self._lateness_ms.append(round(self._clock.unadjusted_now() - expected_at, 1))


def _load_operator_settings(text: str) -> OperatorSettings:
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory, "operators.conf")
        path.write_text(text)
        return load_settings(path).settings


async def _main() -> None:
    commands = read_lines(sys.stdin.fileno())
    spec: HollowSpec = decode(await anext(commands), HollowSpec)
    await HollowProcess(spec, SharedClock()).run(commands)


if __name__ == "__main__":
    set_up("ERROR")
    gc.set_threshold(*GC_THRESHOLDS)
    anyio.run(_main)
