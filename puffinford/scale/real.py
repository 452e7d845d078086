"""The real balancers beside the hollow ones: processes of the program, stand-in servers, their clients."""

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
from puffinford.scale.arrivals import Arrival, Outcome, arrivals, live
from puffinford.scale.hollow import balancer_name, balancer_seed
from puffinford.scale.messages import Crowd
from puffinford.scale.told import InForceRow
from puffinford.standins.balancer import BalancerProcess
from puffinford.standins.listeners import HOST, LineStream
from puffinford.standins.servers import LineServer, ServerProfile
from puffinford.standins.trace import Trace

READY_EVERY_S = 0.02


@dataclass(frozen=True)
class RealSpec:
    """The real balancers of a run, with the numbers `first` to `first + count - 1`."""

    first: int
    count: int
    seed: int
    settings: dict[str, Any]
    discovery: str
    operators: str
    crowd: Crowd
    directory: Path


@dataclass
class Logged:
    """What a real balancer's log tells of a run."""

    taken: list[InForceRow] = field(default_factory=list)
    placed: Counter[str] = field(default_factory=Counter)


class RealBalancers:
    """Starts them, brings their clients, and reads their logs."""

    def __init__(self, spec: RealSpec, clock: Clock) -> None:
        self._spec = spec
        self._clock = clock
        numbers = range(spec.first, spec.first + spec.count)
        self.balancers = {me: self._balancer(me) for me in numbers}

    def _balancer(self, me: int) -> BalancerProcess:
        spec = self._spec
        settings = {**spec.settings, "me": me}
        seed = balancer_seed(spec.seed, me)
        return BalancerProcess(
            balancer_name(me), spec.directory, spec.discovery, settings, operators=spec.operators, seed=seed
        )

    async def start(self, most: float) -> None:
        """Start all and wait until they serve; raises TimeoutError after `most` seconds."""
        for balancer in self.balancers.values():
            balancer.start()
        with anyio.fail_after(most):
            for me, balancer in self.balancers.items():
                while not (balancer.is_listening() and self.logged(me).taken):
                    if not balancer.running:
                        raise TimeoutError(f"{balancer.name} has ended; see {balancer.log_path}")
                    await anyio.sleep(READY_EVERY_S)

    def stop(self) -> None:
        """End all."""
        for balancer in self.balancers.values():
            balancer.stop()

    @property
    def running(self) -> int:
        """Balancers whose process is there."""
        return sum(balancer.running for balancer in self.balancers.values())

    def cpu(self) -> float:
        """Seconds of CPU that all have taken together."""
        return sum(balancer.cpu_seconds() for balancer in self.balancers.values())

    def resident(self) -> int:
        """Bytes of memory that all hold together."""
        return sum(balancer.resident_bytes() for balancer in self.balancers.values())

    def logged(self, me: int) -> Logged:
        """What the balancer's log tells so far."""
        return read_log(self.balancers[me].log_path)

    async def serve_crowd(self, begin: float, end: float) -> None:
        """Bring the clients that come between two moments; those that stand then go on until cancelled."""
        async with anyio.create_task_group() as tasks:
            for me in self.balancers:
                tasks.start_soon(self._arrive, me, begin, end, tasks)

    async def _arrive(self, me: int, begin: float, end: float, tasks: anyio.abc.TaskGroup) -> None:
        for arrival in arrivals(self._spec.crowd, self._spec.seed, me):
            due = begin + arrival.after
            if due >= end:
                return
            await self._clock.sleep(due - self._clock.now())
            tasks.start_soon(self._live, arrival, me)

    async def _live(self, arrival: Arrival, me: int) -> None:
        async def connect(opening: Opening, life: float) -> Outcome:
            return await self._connect(self.balancers[me].port, opening, life)

        await live(arrival, self._spec.crowd, me, self._clock, connect)

    async def _connect(self, port: int, opening: Opening, life: float) -> Outcome:
        """One connection over the platform's line protocol."""
        try:
            stream = await anyio.connect_tcp(HOST, port)
        except OSError:
            return Outcome.BROKEN
        lines = LineStream(stream)
        try:
            parameters = ",".join(f"{name}={value}" for name, value in opening.parameters)
            await lines.send_line(f"OPEN {opening.request_id} {opening.key} {parameters}".encode())
            if not (await lines.next()).startswith(b"UP "):
                return Outcome.REFUSED
            with self._clock.limit(life):
                ended = await lines.next()
                return Outcome.MOVED if ended == b"MOVE" else Outcome.BROKEN
            return Outcome.DONE
        finally:
            await anyio.aclose_forcefully(stream)


class ServerPool:
    """The stand-in servers that real balancers place on."""

    def __init__(self, count: int, seed: int, clock: Clock, tasks: anyio.abc.TaskGroup) -> None:
        trace = Trace(clock.now)
        rng = random.Random(f"servers {seed}")
        self._servers = [
            LineServer(f"s{number:05}", ServerProfile(), clock, trace, rng, tasks) for number in range(count)
        ]
        for server in self._servers:
            server.start()

    def entries(self) -> list[dict[str, Any]]:
        """The servers as entries of the list."""
        return [{"id": server.id, "addr": server.address} for server in self._servers]


def read_log(path: Path) -> Logged:
    """The versions that came, with their moments, and the connections that came up, by server."""
    logged = Logged()
    if not path.exists():
        return logged
    for line in path.read_text(errors="replace").splitlines():
        if " event=discovery version=" in line:
            values = _values(line)
            logged.taken.append(InForceRow(int(values["version"]), float(values["t"]) * 1_000.0))
        elif "from=core.exchange" in line and "event=up " in line:
            logged.placed[_values(line)["server"]] += 1
    return logged


def _values(line: str) -> dict[str, str]:
    return dict(word.partition("=")[::2] for word in shlex.split(line))


def placements(logs: Sequence[Logged]) -> Counter[str]:
    """Connections that came up at all of them, by server."""
    total: Counter[str] = Counter()
    for logged in logs:
        total += logged.placed
    return total
