"""A server of the line protocol, with capacity, slow start and scripted faults."""

from __future__ import annotations

import random
from dataclasses import dataclass

import anyio
import anyio.abc
from anyio.abc import SocketStream

from puffinford.core.clock import Clock
from puffinford.standins.listeners import HOST, LineStream, ListeningPort, reset
from puffinford.standins.trace import EventKind, Trace

LOAD_REPORT_INTERVAL_MS = 1_000.0
SERVER_STATES = (
    "sound", "refusing", "unreachable", "silent", "resetting",
    "dropping", "busy", "failing", "draining", "slow",
)  # fmt: skip
DROP_DELAY_MS = 50.0  # from UP until a server in state `dropping` resets the connection
SERVING_STATES = ("sound", "slow", "cold")  # states in which a server accepts clients, as in the trace


@dataclass(frozen=True)
class ServerProfile:
    """The capacity and speed of a server. Times are in ms."""

    set_up: float = 5.0  # mean time from an opening to its UP
    message: float = 1.0  # time from a line to its answer, without load
    capacity: int = 500  # connections; further requests get BUSY
    crowded: float = 0.5  # fraction of the capacity above which messages take longer
    slow_by: float = 20.0  # factor on all times in state `slow`
    cold_from: float = 0.15  # fraction of the capacity at a cold start
    warm_ms: float = 0.0  # duration of the slow start; 0: no slow start
    zone: str = ""
    kind: str = ""


class LineServer:
    """A stand-in server. It refuses connections until `set_state` or `start`."""

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
        self.started_at: float = 0.0  # ms of the clock, of a cold start; 0 if warm
        self.open_connections = 0
        self._clock = clock
        self._trace = trace
        self._rng = rng
        self._tasks = tasks
        self._attempt_count = 0
        self._crash_count = 0
        self._established: set[str] = set()  # requests whose connections are established here
        self._port = ListeningPort(self._serve_connection, tasks)
        self._changed = anyio.Event()

    @property
    def address(self) -> str:
        """HOST:PORT, the same as long as the instance exists."""
        return f"{HOST}:{self._port.number}"

    def set_state(self, state: str) -> None:
        """Change the state, for established connections too; one of SERVER_STATES."""
        if state not in SERVER_STATES:
            raise ValueError(f"{state!r} is none of {' '.join(SERVER_STATES)}")
        previous, self.state = self.state, state
        if state == "refusing":
            self._port.close()
        elif state == "unreachable":
            self._port.drop_packets()
        elif previous in ("refusing", "unreachable"):
            self._port.open()
        self._trace.add(EventKind.STATE, server=self.id, detail=state)
        self._changed.set()
        self._changed = anyio.Event()

    def start(self, *, cold: bool = False) -> None:
        """Start, or start again, with the capacity of a `cold` start if asked to."""
        self.started_at = self._clock.now() if cold else 0.0
        self.set_state("sound")
        if cold:
            self._trace.add(EventKind.STATE, server=self.id, detail="cold")

    async def crash(self) -> None:
        """Reset all connections and refuse new ones. Connections that are being set up get no UP any more."""
        self._crash_count += 1
        self.set_state("refusing")
        for request_id in self._established:
            self._trace.add(EventKind.BROKEN, request_id=request_id, server=self.id)
        self._established.clear()
        await self._port.reset_all()

    def capacity_share(self) -> float:
        """Return the fraction of its capacity that it has now."""
        if not self.started_at or not self.profile.warm_ms:
            return 1.0
        age = (self._clock.now() - self.started_at) / self.profile.warm_ms
        return min(1.0, self.profile.cold_from + (1.0 - self.profile.cold_from) * age)

    def delay(self) -> float:
        """Return the duration of a message now, in ms; it grows with the load above `crowded`."""
        capacity = max(1.0, self.profile.capacity * self.capacity_share())
        overload = max(0.0, self.open_connections / capacity - self.profile.crowded)
        return (
            self.profile.message
            * (1.0 + 10.0 * overload)
            * (self.profile.slow_by if self.state == "slow" else 1.0)
        )

    async def _serve_connection(self, stream: SocketStream) -> None:
        lines = LineStream(stream)
        first = await lines.next()
        words = first.decode("latin-1").split(" ")
        if words[0] == "PING":
            if self.state not in ("silent", "unreachable"):
                await lines.send_line(b"PONG")
            return
        if words[0] != "OPEN" or len(words) != 4:
            return
        self._attempt_count += 1
        attempt_id, request_id = f"{self.id}-{self._attempt_count}", words[1]
        self._trace.add(EventKind.ATTEMPT, request_id=request_id, server=self.id, detail=attempt_id)
        try:
            await self._answer_opening(stream, lines, attempt_id, request_id)
        finally:
            self._trace.add(EventKind.ATTEMPT_END, request_id=request_id, server=self.id, detail=attempt_id)

    async def _answer_opening(
        self, stream: SocketStream, lines: LineStream, attempt_id: str, request_id: str
    ) -> None:
        full = self.open_connections >= self.profile.capacity * self.capacity_share()
        if not (self.state in ("busy", "draining") or (full and self.state in SERVING_STATES)):
            self._trace.add(EventKind.EXECUTED, request_id=request_id, server=self.id, detail=attempt_id)
        if self.state == "silent":
            await lines.next()  # until the balancer cancels the attempt
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
        slowdown = self.profile.slow_by if self.state == "slow" else 1.0
        crash_count = self._crash_count
        await self._clock.sleep(self.profile.set_up * slowdown * self._rng.uniform(0.5, 1.5))
        if self._crash_count != crash_count:
            return await reset(stream)
        self._established.add(request_id)  # before UP: a crash right after it counts this connection
        try:
            if await lines.send_line(f"UP r-{attempt_id}".encode()):
                await self._serve(stream, lines, request_id)
        finally:
            self._established.discard(request_id)

    async def _serve(self, stream: SocketStream, lines: LineStream, request_id: str) -> None:
        """Serve a connection from its UP to its end."""
        self.open_connections += 1
        try:
            if self.state == "dropping":
                await self._drop(stream, lines, request_id)
            else:
                await self._echo_lines(stream, lines)
        finally:
            self.open_connections -= 1

    async def _drop(self, stream: SocketStream, lines: LineStream, request_id: str) -> None:
        """Reset a connection DROP_DELAY_MS after its UP, unless the balancer ends it first."""
        with self._clock.limit(DROP_DELAY_MS):
            while await lines.next() not in (LineStream.FIN, LineStream.RST):
                pass
            return
        self._trace.add(EventKind.BROKEN, request_id=request_id, server=self.id)
        await reset(stream)

    async def _echo_lines(self, stream: SocketStream, lines: LineStream) -> None:
        last_report_at = 0.0
        move_sent = False
        while True:
            line = await lines.next()
            if line in (LineStream.FIN, LineStream.RST):
                return
            while self.state == "silent":
                await self._changed.wait()
            if self.state == "draining" and not move_sent:
                move_sent = True
                await lines.send_line(b"MOVE")
                return
            delay = self.delay()
            await self._clock.sleep(delay)
            now = self._clock.now()
            if self.state == "slow" and now >= last_report_at + LOAD_REPORT_INTERVAL_MS:
                last_report_at = now
                await lines.send_line(f"LOAD {delay:.1f}".encode())
            if not await lines.send_line(line):
                return
