"""The real balancer processes of a run, with their stand-in servers and simulated clients."""

from __future__ import annotations

import random
import shlex
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio
import anyio.abc

from puffinford.core.clock import Clock
from puffinford.core.values import Opening
from puffinford.scale.arrivals import Arrival, ConnectionOutcome, generate_arrivals, run_client
from puffinford.scale.hollow_balancer import balancer_name, balancer_seed
from puffinford.scale.messages import ClientWorkload
from puffinford.scale.propagation import VersionTimestamp
from puffinford.standins.balancer import BalancerProcess
from puffinford.standins.listeners import HOST, LineStream
from puffinford.standins.servers import LineServer, ServerProfile
from puffinford.standins.trace import Trace

READY_POLL_INTERVAL_S = 0.02


@dataclass(frozen=True)
class RealSpec:
    """The real balancers of a run, with the numbers `first` to `first + count - 1`."""

    first: int
    count: int
    seed: int
    settings: dict[str, Any]
    discovery: str  # HOST:PORT of the list service
    operators: str  # text of the settings file
    workload: ClientWorkload
    directory: Path


@dataclass
class BalancerLog:
    """What was read from a real balancer's log."""

    applied: list[VersionTimestamp] = field(default_factory=list)
    placed: Counter[str] = field(default_factory=Counter)  # established connections by server


class RealBalancers:
    """Starts the processes, runs their clients, and reads their logs."""

    def __init__(self, spec: RealSpec, clock: Clock) -> None:
        self._spec = spec
        self._clock = clock
        numbers = range(spec.first, spec.first + spec.count)
        self.balancers = {number: self._balancer(number) for number in numbers}

    def _balancer(self, number: int) -> BalancerProcess:
        spec = self._spec
        settings = {**spec.settings, "me": number}
        seed = balancer_seed(spec.seed, number)
        return BalancerProcess(
            balancer_name(number),
            spec.directory,
            spec.discovery,
            settings,
            operators=spec.operators,
            seed=seed,
        )

    async def start(self, timeout_s: float) -> None:
        """Start all and wait until each listens and has a list; raises TimeoutError."""
        for balancer in self.balancers.values():
            balancer.start()
        with anyio.fail_after(timeout_s):
            for number, balancer in self.balancers.items():
                while not (balancer.is_listening() and self.read_log(number).applied):
                    if not balancer.running:
                        raise TimeoutError(f"{balancer.name} has ended, see {balancer.log_path}")
                    await anyio.sleep(READY_POLL_INTERVAL_S)

    def stop(self) -> None:
        """Stop all processes."""
        for balancer in self.balancers.values():
            balancer.stop()

    @property
    def running(self) -> int:
        """The number of running processes."""
        return sum(balancer.running for balancer in self.balancers.values())

    def cpu_s(self) -> float:
        """Return the CPU time in seconds, summed over all processes."""
        return sum(balancer.cpu_seconds() for balancer in self.balancers.values())

    def resident_bytes(self) -> int:
        """Return the resident memory in bytes, summed over all processes."""
        return sum(balancer.resident_bytes() for balancer in self.balancers.values())

    def read_log(self, number: int) -> BalancerLog:
        """Return the contents of one balancer's log so far."""
        return parse_log(self.balancers[number].log_path)

    async def serve_clients(self, begin_ms: float, end_ms: float) -> None:
        """Run the clients that arrive between two times of the clock (ms), until all are done."""
        async with anyio.create_task_group() as tasks:
            for number in self.balancers:
                tasks.start_soon(self._arrive, number, begin_ms, end_ms, tasks)

    async def _arrive(self, number: int, begin_ms: float, end_ms: float, tasks: anyio.abc.TaskGroup) -> None:
        for arrival in generate_arrivals(self._spec.workload, self._spec.seed, number):
            arrives_at = begin_ms + arrival.after_ms
            if arrives_at >= end_ms:
                return
            await self._clock.sleep(arrives_at - self._clock.now())
            tasks.start_soon(self._run_client, arrival, number)

    async def _run_client(self, arrival: Arrival, number: int) -> None:
        async def connect(opening: Opening, life_ms: float) -> ConnectionOutcome:
            return await self._connect(self.balancers[number].port, opening, life_ms)

        await run_client(arrival, self._spec.workload, number, self._clock, connect)

    async def _connect(self, port: int, opening: Opening, life_ms: float) -> ConnectionOutcome:
        """Open one connection over the line protocol and hold it for at most `life_ms`."""
        try:
            stream = await anyio.connect_tcp(HOST, port)
        except OSError:
            return ConnectionOutcome.BROKEN
        lines = LineStream(stream)
        try:
            parameters = ",".join(f"{name}={value}" for name, value in opening.parameters)
            await lines.send_line(f"OPEN {opening.request_id} {opening.key} {parameters}".encode())
            if not (await lines.next()).startswith(b"UP "):
                return ConnectionOutcome.REFUSED
            with self._clock.limit(life_ms):
                line = await lines.next()
                return ConnectionOutcome.MOVED if line == b"MOVE" else ConnectionOutcome.BROKEN
            return ConnectionOutcome.DONE
        finally:
            await anyio.aclose_forcefully(stream)


class StandInServers:
    """The stand-in servers on which real balancers place connections."""

    def __init__(self, count: int, seed: int, clock: Clock, tasks: anyio.abc.TaskGroup) -> None:
        trace = Trace(clock.now)
        rng = random.Random(f"servers {seed}")
        self._servers = [
            LineServer(f"s{number:05}", ServerProfile(), clock, trace, rng, tasks) for number in range(count)
        ]
        for server in self._servers:
            server.start()

    def entries(self) -> list[dict[str, Any]]:
        """Return the servers as entries of the server list."""
        return [{"id": server.id, "addr": server.address} for server in self._servers]


def parse_log(path: Path) -> BalancerLog:
    """Read the applied list versions with their times, and the established connections by server."""
    log = BalancerLog()
    if not path.exists():
        return log
    for line in path.read_text(errors="replace").splitlines():
        if " event=discovery version=" in line:
            values = _values(line)
            log.applied.append(VersionTimestamp(int(values["version"]), float(values["t"]) * 1_000.0))
        elif "from=core.exchange" in line and "event=up " in line:
            log.placed[_values(line)["server"]] += 1
    return log


def _values(line: str) -> dict[str, str]:
    return dict(word.partition("=")[::2] for word in shlex.split(line))


def count_placements(logs: Sequence[BalancerLog]) -> Counter[str]:
    """Return the established connections by server, summed over all balancers."""
    total: Counter[str] = Counter()
    for log in logs:
        total += log.placed
    return total
