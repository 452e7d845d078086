"""A line server with the faults that servers have."""

from __future__ import annotations

import random
from dataclasses import dataclass

import anyio
import anyio.abc
from anyio.abc import SocketStream

from puffinford.core.clock import Clock
from puffinford.standins.listeners import HOST, LineStream, ListeningPort, reset
from puffinford.standins.trace import EventKind, Trace

LOAD_REPORT_INTERVAL_MS = 1_000.0  # ms between notes of slow messages
SERVER_STATES = (
    "sound", "refusing", "unreachable", "silent", "resetting",
    "dropping", "busy", "failing", "draining", "slow",
)  # fmt: skip
DROPPED_AFTER = 50.0  # ms that a connection stands at a server that drops
SERVING_STATES = ("sound", "slow", "cold")  # states in which it takes clients, as the trace names them


@dataclass(frozen=True)
class ServerProfile:
    """What a server can do. Times in ms."""

    set_up: float = 5.0  # from an opening to its UP
    message: float = 1.0  # from a line to its answer, with little on it
    capacity: int = 500  # connections that it holds; the next is told BUSY
    crowded: float = 0.5  # part of the capacity from which messages take longer
    slow_by: float = 20.0  # times as long while it is slow
    cold_from: float = 0.15  # part of the capacity that a start begins with
    warm_ms: float = 0.0  # and is warm after; 0 where starts are warm
    zone: str = ""
    kind: str = ""


class LineServer:
    """A stand-in server. It starts stopped; `set_state` one of SERVER_STATES, or `start` it cold."""

    def __init__(
        self,
        ident: str,
        profile: ServerProfile,
        clock: Clock,
        trace: Trace,
        rng: random.Random,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        self.id = ident
        self.profile = profile
        self.state = "refusing"
        self.started_at: float = 0.0  # on the clock; 0: long ago
        self.open_connections = 0
        self._clock = clock
        self._trace = trace
        self._rng = rng
        self._tasks = tasks
        self._claims = 0
        self._jobs: set[str] = set()  # whose connections stand here
        self._port = ListeningPort(self._play, tasks)
        self._changed = anyio.Event()

    @property
    def address(self) -> str:
        """HOST:PORT, the same for as long as it is there."""
        return f"{HOST}:{self._port.number}"

    def set_state(self, state: str) -> None:
        """Change what it does, for those that stand there too."""
        if state not in SERVER_STATES:
            raise ValueError(f"{state!r} is none of {' '.join(SERVER_STATES)}")
        was, self.state = self.state, state
        if state == "refusing":
            self._port.close()
        elif state == "unreachable":
            self._port.drop_packets()
        elif was in ("refusing", "unreachable"):
            self._port.open()
        self._trace.add(EventKind.STATE, server=self.id, detail=state)
        self._changed.set()
        self._changed = anyio.Event()

    def start(self, *, cold: bool = False) -> None:
        """Start, or start again."""
        self.started_at = self._clock.now() if cold else 0.0
        self.set_state("sound")
        if cold:
            self._trace.add(EventKind.STATE, server=self.id, detail="cold")

    async def crash(self) -> None:
        """Die: what stands is reset, and new connections are refused."""
        self.set_state("refusing")
        for job in self._jobs:
            self._trace.add(EventKind.BROKEN, request_id=job, server=self.id)
        self._jobs.clear()
        await self._port.reset_all()

    def capacity_share(self) -> float:
        """The part of its capacity that it has now."""
        if not self.started_at or not self.profile.warm_ms:
            return 1.0
        age = (self._clock.now() - self.started_at) / self.profile.warm_ms
        return min(1.0, self.profile.cold_from + (1.0 - self.profile.cold_from) * age)

    def delay(self) -> float:
        """How long a message takes now, in ms: longer the more it holds past `crowded`."""
        room = max(1.0, self.profile.capacity * self.capacity_share())
        over = max(0.0, self.open_connections / room - self.profile.crowded)
        return (
            self.profile.message
            * (1.0 + 10.0 * over)
            * (self.profile.slow_by if self.state == "slow" else 1.0)
        )

    async def _play(self, stream: SocketStream) -> None:
        lines = LineStream(stream)
        first = await lines.next()
        words = first.decode("latin-1").split(" ")
        if words[0] == "PING":
            if self.state not in ("silent", "unreachable"):
                await lines.send_line(b"PONG")
            return
        if words[0] != "OPEN" or len(words) != 4:
            return
        self._claims += 1
        claim, job = f"{self.id}-{self._claims}", words[1]
        self._trace.add(EventKind.ATTEMPT, request_id=job, server=self.id, detail=claim)
        try:
            await self._open(stream, lines, claim, job)
        finally:
            self._trace.add(EventKind.ATTEMPT_END, request_id=job, server=self.id, detail=claim)

    async def _open(self, stream: SocketStream, lines: LineStream, claim: str, job: str) -> None:
        full = self.open_connections >= self.profile.capacity * self.capacity_share()
        if not (self.state in ("busy", "draining") or (full and self.state in SERVING_STATES)):
            self._trace.add(EventKind.EXECUTED, request_id=job, server=self.id, detail=claim)
        if self.state == "silent":
            await lines.next()  # until the balancer gives it up
            return
        if self.state == "resetting":
            return await reset(stream)
        if self.state == "failing":
            await lines.send_line(b"ERR")
            return
        if (
            self.state in ("busy", "draining")
            or self.open_connections >= self.profile.capacity * self.capacity_share()
        ):
            await lines.send_line(b"BUSY")
            return
        slow = self.profile.slow_by if self.state == "slow" else 1.0
        await self._clock.sleep(self.profile.set_up * slow * self._rng.uniform(0.5, 1.5))
        self._jobs.add(job)  # it may crash before the next turn, with UP on its way
        try:
            if await lines.send_line(f"UP r-{claim}".encode()):
                await self._serve(stream, lines, job)
        finally:
            self._jobs.discard(job)

    async def _serve(self, stream: SocketStream, lines: LineStream, job: str) -> None:
        """A connection from its UP to its end."""
        self.open_connections += 1
        try:
            if self.state == "dropping":
                await self._drop(stream, lines, job)
            else:
                await self._stand(stream, lines)
        finally:
            self.open_connections -= 1

    async def _drop(self, stream: SocketStream, lines: LineStream, job: str) -> None:
        """Reset a connection a moment after its UP, unless its other side ends it first."""
        with self._clock.limit(DROPPED_AFTER):
            while await lines.next() not in (LineStream.FIN, LineStream.RST):
                pass
            return
        self._trace.add(EventKind.BROKEN, request_id=job, server=self.id)
        await reset(stream)

    async def _stand(self, stream: SocketStream, lines: LineStream) -> None:
        noted = 0.0
        moving = False
        while True:
            line = await lines.next()
            if line in (LineStream.FIN, LineStream.RST):
                return
            while self.state == "silent":
                await self._changed.wait()
            if self.state == "draining" and not moving:
                moving = True
                await lines.send_line(b"MOVE")
                return
            delay = self.delay()
            await self._clock.sleep(delay)
            now = self._clock.now()
            if self.state == "slow" and now >= noted + LOAD_REPORT_INTERVAL_MS:
                noted = now
                await lines.send_line(f"LOAD {delay:.1f}".encode())
            if not await lines.send_line(line):
                return
