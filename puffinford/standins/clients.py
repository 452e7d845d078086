"""Simulated clients: they connect, send lines, are moved, reconnect and disconnect, seeded, in open loop."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

import anyio
import anyio.abc
from anyio.abc import SocketStream

from puffinford.core.clock import Clock
from puffinford.standins.holding import (
    ChannelLineStream,
    Connection,
    channel_script,
    line_script,
    send,
)
from puffinford.standins.listeners import HOST, LineStream, reset
from puffinford.standins.trace import EventKind, Trace

MAX_IDLE_MS = 3_000.0  # between a client's connection and its request
HELD_LINE_INTERVAL_MS = 100.0  # between the lines of a connection held until its balancer ends


@dataclass(frozen=True)
class ClientClass:
    """A class of clients. Times are in ms."""

    name: str
    share: float = 1.0
    give_up: float = 2_000.0  # wait for UP
    aim: float = 500.0  # target for the time until UP
    life: float = 20_000.0  # mean duration of a connection
    every: float = 2_000.0  # interval between its lines
    worth: float = 1.0  # the class's `gain` in the settings
    groups: int = 50  # groups that its clients are drawn from
    effect: str = "idempotent"  # as the settings name it
    window: float = 5_000.0  # in which servers discard repeats, if the effect is `deduplicated`


def _opening(request_id: str, client_class: ClientClass, group: str, again: str) -> bytes:
    """Return the OPEN line of a request, without its line end."""
    parameters = (
        f"c={client_class.name},t=m{int(group, 16) % 6},d={client_class.give_up:.0f},g={group}{again}"
    )
    return f"OPEN {request_id} {group} {parameters}".encode()


def _server_of(answer: bytes) -> str:
    """Return the id of the stand-in server that sent an UP, from its receipt."""
    return answer.decode().removeprefix("UP r-").rpartition("-")[0]


@dataclass(frozen=True)
class _HeldRequest:
    """The request of a held connection."""

    request_id: str
    client_class: ClientClass
    balancer: str
    connection_kind: str  # state and front of its connection, for the trace


class Clients:
    """Clients that arrive at `rate` per second, whatever the outcome of earlier clients (open loop)."""

    def __init__(
        self,
        classes: Sequence[ClientClass],
        rate: float,
        pick_balancer: Callable[[], tuple[str, int] | None],
        clock: Clock,
        trace: Trace,
        rng: random.Random,
        tasks: anyio.abc.TaskGroup,
        max_retries: int = 2,
        reconnect_delay_ms: tuple[float, float] = (140.0, 1_100.0),
        extra_wait: float = 0.0,
        idle_share: float = 0.0,
    ) -> None:
        """`pick_balancer` returns the name and port of the next client's balancer, or None if there is none.

        Clients wait for an answer for `extra_wait` ms past their time limit. The fraction `idle_share` of
        them sends PING first, and the request up to MAX_IDLE_MS later.
        """
        self._extra_wait = extra_wait
        self._idle_share = idle_share
        self._classes = list(classes)
        self._rate = rate
        self._pick_balancer = pick_balancer
        self._clock = clock
        self._trace = trace
        self._rng = rng
        self._tasks = tasks
        self._max_retries = max_retries
        self._reconnect_delay_ms = reconnect_delay_ms
        self._request_count = 0
        self._seed = rng.getrandbits(32)
        self.established = 0  # established connections
        self.awaiting_answer = 0  # clients without an answer yet

    async def run(self, for_ms: float) -> None:
        """Let clients arrive for `for_ms`; they go on in the task group afterwards."""
        arrives_at = self._clock.now()
        end = arrives_at + for_ms
        while True:
            arrives_at += self._rng.expovariate(self._rate) * 1_000.0
            if arrives_at >= end:
                return
            await self._clock.sleep(arrives_at - self._clock.now())
            self.arrive()

    def arrive(self, client_class: ClientClass | None = None) -> None:
        """Let one client arrive now, of a random class unless a class is given."""
        client_class = client_class or self._rng.choices(self._classes, [c.share for c in self._classes])[0]
        life = self._rng.expovariate(1.0 / client_class.life)
        group = f"{self._rng.randrange(client_class.groups):x}"
        self._tasks.start_soon(self._run_client, client_class, life, group)

    async def _run_client(self, client_class: ClientClass, life: float, group: str) -> None:
        """Run one client from its first attempt until it is done or gives up."""
        end = self._clock.now() + life
        attempts, again = 0, ""
        while (left := end - self._clock.now()) > 0 and attempts <= self._max_retries:
            outcome, wait = await self._attempt(client_class, left, group, again)
            if outcome == "done":
                return
            if outcome == "back":
                attempts, again = 0, ",again=1"
                await self._clock.sleep(self._rng.uniform(*self._reconnect_delay_ms))
            else:
                attempts += 1
                await self._clock.sleep(max(wait, self._rng.uniform(20.0, 190.0)))

    async def _attempt(
        self, client_class: ClientClass, life: float, group: str, again: str
    ) -> tuple[str, float]:
        """Run one connection and return its outcome, and the ms to wait before the next attempt.

        The outcome is `done`, `back` if the balancer ended an established connection, or `no`.
        """
        request_id = self._next_request_id()
        balancer, port = self._pick_balancer() or ("", 0)
        stream: SocketStream | None = None
        lines: LineStream | None = None
        if self._idle_share and self._rng.random() < self._idle_share:
            lines = await self._connect_idle(port)
            if lines is None:
                return "no", 0.0
            stream = lines.stream
        started_at = self._clock.now()
        idle_note = "rested" if lines is not None else ""
        self._trace.add(
            EventKind.REQUESTED,
            request_id=request_id,
            cls=client_class.name,
            balancer=balancer,
            detail=idle_note,
        )
        answer = b""
        self.awaiting_answer += 1
        try:
            with self._clock.limit(client_class.give_up + self._extra_wait):
                if port:
                    stream = stream or await anyio.connect_tcp(HOST, port)
                    lines = lines or LineStream(stream)
                    await lines.send_line(_opening(request_id, client_class, group, again))
                    answer = await lines.next()
        except OSError:
            answer = b"REFUSED"
        finally:
            self.awaiting_answer -= 1
        ms = self._clock.now() - started_at
        try:
            if lines is None or not answer.startswith(b"UP "):
                return self._record_refusal(request_id, client_class, answer, ms)
            server = _server_of(answer)
            self._trace.add(EventKind.UP, request_id=request_id, cls=client_class.name, server=server, ms=ms)
            # Keeps the reader, which may hold lines that arrived in one segment with UP.
            return await self._use_established(lines, client_class, request_id, server, life), 0.0
        finally:
            if stream is not None:
                await anyio.aclose_forcefully(stream)

    def _next_request_id(self) -> str:
        self._request_count += 1
        return f"{self._seed:08x}{self._request_count:08x}"

    def hold_connection(
        self, state: str, balancer: str, port: int, request_at: float, *, channels: bool = False
    ) -> None:
        """Connect a client to this balancer now; it uses its connection whatever the balancer sends.

        It gets as far as `state`, one of `holding.HELD_STATES`, and writes the rest of its request at
        `request_at`, in ms on the clock.
        """
        self._tasks.start_soon(self._hold, state, balancer, port, request_at, channels)

    async def _hold(self, state: str, balancer: str, port: int, request_at: float, channels: bool) -> None:
        chosen = self._rng.choices(self._classes, [c.share for c in self._classes])[0]
        client_class = replace(chosen, every=HELD_LINE_INTERVAL_MS)
        opening = _opening(
            self._next_request_id(), client_class, f"{self._rng.randrange(client_class.groups):x}", ""
        )
        try:
            stream = await anyio.connect_tcp(HOST, port)
        except OSError:
            return
        try:
            if channels:
                script = channel_script(state, opening, client_class.give_up)
                connection: Connection = ChannelLineStream(stream)
            else:
                script = line_script(state, opening)
                connection = LineStream(stream)
            if not await send(stream, script.before):
                return
            if script.greeted and await connection.next() != b"PONG":
                return
            request_id = opening.split()[1].decode()
            request = _HeldRequest(
                request_id, client_class, balancer, f"held {state}{' channel' if channels else ''}"
            )
            await self._use_held(connection, request, script.rest, request_at)
        finally:
            await anyio.aclose_forcefully(stream)

    async def _use_held(
        self, connection: Connection, request: _HeldRequest, rest: bytes, request_at: float
    ) -> None:
        """Write the rest of a request at its time and read the answer, which may arrive before that."""
        client_class = request.client_class
        wait = max(0.0, request_at - self._clock.now()) if rest else 0.0
        answer, request_recorded = b"", anyio.Event()
        started_at = self._clock.now() + wait

        async def write_rest() -> None:
            await self._clock.sleep(wait)
            self._trace.add(
                EventKind.REQUESTED,
                request_id=request.request_id,
                cls=client_class.name,
                balancer=request.balancer,
                detail=request.connection_kind,
            )
            request_recorded.set()
            await send(connection.stream, rest)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(write_rest)
            with self._clock.limit(wait + client_class.give_up + self._extra_wait):
                answer = await connection.next()
            await request_recorded.wait()
        ms = max(0.0, self._clock.now() - started_at)
        if not answer.startswith(b"UP "):
            self._record_refusal(request.request_id, client_class, answer, ms)
            return
        server = _server_of(answer)
        self._trace.add(
            EventKind.UP, request_id=request.request_id, cls=client_class.name, server=server, ms=ms
        )
        await self._use_established(
            connection, client_class, request.request_id, server, MAX_IDLE_MS + client_class.give_up
        )

    async def _connect_idle(self, port: int) -> LineStream | None:
        """Return a connection that was idle after its PING; None if it was refused or ended meanwhile."""
        try:
            stream = await anyio.connect_tcp(HOST, port)
        except OSError:
            return None
        lines = LineStream(stream)
        await lines.send_line(b"PING")
        ended = await lines.next() != b"PONG"
        with self._clock.limit(self._rng.uniform(0.0, MAX_IDLE_MS)):
            await lines.next()
            ended = True
        if ended:
            await anyio.aclose_forcefully(stream)
            return None
        return lines

    def _record_refusal(
        self, request_id: str, client_class: ClientClass, answer: bytes, ms: float
    ) -> tuple[str, float]:
        word, _, rest = answer.partition(b" ")
        if word == b"BUSY":
            self._trace.add(EventKind.BUSY, request_id=request_id, cls=client_class.name, ms=ms)
            return "no", float(rest or b"0")
        if word == b"ERR":
            self._trace.add(EventKind.FAILED, request_id=request_id, cls=client_class.name, ms=ms)
        else:
            self._trace.add(
                EventKind.LOST,
                request_id=request_id,
                cls=client_class.name,
                ms=ms,
                detail=answer.decode("latin-1"),
            )
        return "no", 0.0

    async def _use_established(
        self, lines: Connection, client_class: ClientClass, request_id: str, server: str, life: float
    ) -> str:
        """Send a line about every `every` ms on an established connection, until its end or for `life` ms."""
        ended: list[bytes] = []
        sent_at: list[float] = []
        self.established += 1
        try:
            async with anyio.create_task_group() as tasks:

                async def read_lines() -> None:
                    while (line := await lines.next()) not in (LineStream.FIN, LineStream.RST, b"MOVE"):
                        if sent_at and not line.startswith(b"LOAD "):
                            ms = self._clock.now() - sent_at.pop(0)
                            self._trace.add(EventKind.ANSWERED, cls=client_class.name, server=server, ms=ms)
                    ended.append(line)
                    tasks.cancel_scope.cancel()

                tasks.start_soon(read_lines)
                with self._clock.limit(life):
                    while True:
                        await self._clock.sleep(client_class.every * self._rng.uniform(0.8, 1.2))
                        sent_at.append(self._clock.now())
                        if not await lines.send_line(b"line of " + request_id.encode()):
                            await anyio.sleep_forever()
                tasks.cancel_scope.cancel()
        finally:
            self.established -= 1
        kind = EventKind.DONE if not ended else EventKind.MOVED if ended[0] == b"MOVE" else EventKind.CUT_OFF
        self._trace.add(kind, request_id=request_id, cls=client_class.name, server=server)
        if kind is EventKind.DONE and self._rng.random() < 0.1:
            await reset(lines.stream)  # some clients disconnect with RST
        return "done" if kind is EventKind.DONE else "back"
