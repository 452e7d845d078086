"""Clients: they open, send lines, break off, are sent away, and come back."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

import anyio
import anyio.abc
from anyio.abc import SocketStream

from puffinford.core.clock import Clock
from puffinford.standins.holding import (
    ChannelLines,
    Connection,
    channel_script,
    line_script,
    send,
)
from puffinford.standins.listeners import HOST, LineStream, reset
from puffinford.standins.trace import EventKind, Trace

REST = 3_000.0  # ms that a client rests at most before it asks
HELD_EVERY = 100.0  # ms between the lines of one that uses its connection until its balancer ends


@dataclass(frozen=True)
class ClientClass:
    """A class of clients. Times in ms."""

    name: str
    share: float = 1.0
    give_up: float = 2_000.0  # it waits so long for UP
    aim: float = 500.0  # and wants it within this
    life: float = 20_000.0  # it stays so long, on average
    every: float = 2_000.0  # between its lines
    worth: float = 1.0
    groups: int = 50
    effect: str = "idempotent"  # as the settings name it
    window: float = 5_000.0  # in which servers discard repeats, where the effect says so


def _opening(job: str, kind: ClientClass, group: str, again: str) -> bytes:
    """The line that opens a connection, without its end."""
    figures = f"c={kind.name},t=m{int(group, 16) % 6},d={kind.give_up:.0f},g={group}{again}"
    return f"OPEN {job} {group} {figures}".encode()


def _server(answer: bytes) -> str:
    """The stand-in server that gave an UP, by its receipt."""
    return answer.decode().removeprefix("UP r-").rpartition("-")[0]


@dataclass(frozen=True)
class _Asked:
    """The request of a held connection, to the balancer `by`."""

    job: str
    kind: ClientClass
    by: str
    how: str  # of its connection, for the trace


class Clients:
    """A population that arrives at `rate` a second, whatever becomes of those before (open loop)."""

    def __init__(
        self,
        kinds: Sequence[ClientClass],
        rate: float,
        pick_balancer: Callable[[], tuple[str, int] | None],
        clock: Clock,
        trace: Trace,
        rng: random.Random,
        tasks: anyio.abc.TaskGroup,
        retries: int = 2,
        rejoin: tuple[float, float] = (140.0, 1_100.0),
        extra_wait: float = 0.0,
        idle_share: float = 0.0,
    ) -> None:
        """`pick_balancer` returns the name and port of the next client's balancer, or None if there is none.

        Clients read for `extra_wait` ms past their own limit. The fraction `idle_share` of them sends PING
        first, and its request up to REST ms later.
        """
        self._extra_wait = extra_wait
        self._idle_share = idle_share
        self._kinds = list(kinds)
        self._rate = rate
        self._pick_balancer = pick_balancer
        self._clock = clock
        self._trace = trace
        self._rng = rng
        self._tasks = tasks
        self._retries = retries
        self._rejoin = rejoin
        self._made = 0
        self._seed = rng.getrandbits(32)
        self.established = 0
        self.awaiting_answer = 0  # those that wait for their answer

    async def run(self, for_ms: float) -> None:
        """Arrivals for so long; what has arrived goes on in the task group."""
        due = self._clock.now()
        end = due + for_ms
        while True:
            due += self._rng.expovariate(self._rate) * 1_000.0
            if due >= end:
                return
            await self._clock.sleep(due - self._clock.now())
            self.arrive()

    def arrive(self, kind: ClientClass | None = None) -> None:
        """One client comes now."""
        kind = kind or self._rng.choices(self._kinds, [k.share for k in self._kinds])[0]
        life = self._rng.expovariate(1.0 / kind.life)
        group = f"{self._rng.randrange(kind.groups):x}"
        self._tasks.start_soon(self._live, kind, life, group)

    async def _live(self, kind: ClientClass, life: float, group: str) -> None:
        """One client from its first try until it is done or has given up."""
        end = self._clock.now() + life
        tries, again = 0, ""
        while (left := end - self._clock.now()) > 0 and tries <= self._retries:
            ended, wait = await self._try(kind, left, group, again)
            if ended == "done":
                return
            if ended == "back":
                tries, again = 0, ",again=1"
                await self._clock.sleep(self._rng.uniform(*self._rejoin))
            else:
                tries += 1
                await self._clock.sleep(max(wait, self._rng.uniform(20.0, 190.0)))

    async def _try(self, kind: ClientClass, life: float, group: str, again: str) -> tuple[str, float]:
        """One connection: `done`, `back` where it stood and ended, `no` with the ms to stay away."""
        job = self._next_job()
        by, port = self._pick_balancer() or ("", 0)
        stream: SocketStream | None = None
        lines: LineStream | None = None
        if self._idle_share and self._rng.random() < self._idle_share:
            lines = await self._rested(port)
            if lines is None:
                return "no", 0.0
            stream = lines.stream
        began = self._clock.now()
        rested = "rested" if lines is not None else ""
        self._trace.add(EventKind.REQUESTED, request_id=job, cls=kind.name, balancer=by, detail=rested)
        answer = b""
        self.awaiting_answer += 1
        try:
            with self._clock.limit(kind.give_up + self._extra_wait):
                if port:
                    stream = stream or await anyio.connect_tcp(HOST, port)
                    lines = lines or LineStream(stream)
                    await lines.send_line(_opening(job, kind, group, again))
                    answer = await lines.next()
        except OSError:
            answer = b"REFUSED"
        finally:
            self.awaiting_answer -= 1
        ms = self._clock.now() - began
        try:
            if lines is None or not answer.startswith(b"UP "):
                return self._turned_away(job, kind, answer, ms)
            server = _server(answer)
            self._trace.add(EventKind.UP, request_id=job, cls=kind.name, server=server, ms=ms)
            # Guards what came right behind UP, in the same piece: the reader that holds it goes on.
            return await self._stay(lines, kind, job, server, life), 0.0
        finally:
            if stream is not None:
                await anyio.aclose_forcefully(stream)

    def _next_job(self) -> str:
        self._made += 1
        return f"{self._seed:08x}{self._made:08x}"

    def hold_connection(
        self, state: str, by: str, port: int, asks_at: float, *, channels: bool = False
    ) -> None:
        """Connect a client to this balancer now; it uses its connection whatever the balancer sends.

        It gets as far as `state`, one of `holding.HELD_STATES`, and writes the rest of its request at
        `asks_at`, in ms on the clock.
        """
        self._tasks.start_soon(self._hold, state, by, port, asks_at, channels)

    async def _hold(self, state: str, by: str, port: int, asks_at: float, channels: bool) -> None:
        chosen = self._rng.choices(self._kinds, [k.share for k in self._kinds])[0]
        kind = replace(chosen, every=HELD_EVERY)
        opening = _opening(self._next_job(), kind, f"{self._rng.randrange(kind.groups):x}", "")
        try:
            stream = await anyio.connect_tcp(HOST, port)
        except OSError:
            return
        try:
            if channels:
                script = channel_script(state, opening, kind.give_up)
                connection: Connection = ChannelLines(stream)
            else:
                script = line_script(state, opening)
                connection = LineStream(stream)
            if not await send(stream, script.before):
                return
            if script.greeted and await connection.next() != b"PONG":
                return
            job = opening.split()[1].decode()
            asked = _Asked(job, kind, by, f"held {state}{' channel' if channels else ''}")
            await self._use(connection, asked, script.rest, asks_at)
        finally:
            await anyio.aclose_forcefully(stream)

    async def _use(self, connection: Connection, asked: _Asked, rest: bytes, asks_at: float) -> None:
        """Write the rest of a request in time, and hear the answer, which may have come before it."""
        kind = asked.kind
        wait = max(0.0, asks_at - self._clock.now()) if rest else 0.0
        answer, told = b"", anyio.Event()
        began = self._clock.now() + wait

        async def ask() -> None:
            await self._clock.sleep(wait)
            self._trace.add(
                EventKind.REQUESTED, request_id=asked.job, cls=kind.name, balancer=asked.by, detail=asked.how
            )
            told.set()
            await send(connection.stream, rest)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask)
            with self._clock.limit(wait + kind.give_up + self._extra_wait):
                answer = await connection.next()
            await told.wait()
        ms = max(0.0, self._clock.now() - began)
        if not answer.startswith(b"UP "):
            self._turned_away(asked.job, kind, answer, ms)
            return
        server = _server(answer)
        self._trace.add(EventKind.UP, request_id=asked.job, cls=kind.name, server=server, ms=ms)
        await self._stay(connection, kind, asked.job, server, REST + kind.give_up)

    async def _rested(self, port: int) -> LineStream | None:
        """A connection that has been heard and has rested; None where it was ended meanwhile."""
        try:
            stream = await anyio.connect_tcp(HOST, port)
        except OSError:
            return None
        lines = LineStream(stream)
        await lines.send_line(b"PING")
        ended = await lines.next() != b"PONG"
        with self._clock.limit(self._rng.uniform(0.0, REST)):
            await lines.next()
            ended = True
        if ended:
            await anyio.aclose_forcefully(stream)
            return None
        return lines

    def _turned_away(self, job: str, kind: ClientClass, answer: bytes, ms: float) -> tuple[str, float]:
        word, _, rest = answer.partition(b" ")
        if word == b"BUSY":
            self._trace.add(EventKind.BUSY, request_id=job, cls=kind.name, ms=ms)
            return "no", float(rest or b"0")
        if word == b"ERR":
            self._trace.add(EventKind.FAILED, request_id=job, cls=kind.name, ms=ms)
        else:
            self._trace.add(
                EventKind.LOST, request_id=job, cls=kind.name, ms=ms, detail=answer.decode("latin-1")
            )
        return "no", 0.0

    async def _stay(self, lines: Connection, kind: ClientClass, job: str, server: str, life: float) -> str:
        """A connection that stands: a line each `every` ms, until its life is over or it ends."""
        ended: list[bytes] = []
        sent: list[float] = []
        self.established += 1
        try:
            async with anyio.create_task_group() as tasks:

                async def hear() -> None:
                    while (line := await lines.next()) not in (LineStream.FIN, LineStream.RST, b"MOVE"):
                        if sent and not line.startswith(b"LOAD "):
                            ms = self._clock.now() - sent.pop(0)
                            self._trace.add(EventKind.ANSWERED, cls=kind.name, server=server, ms=ms)
                    ended.append(line)
                    tasks.cancel_scope.cancel()

                tasks.start_soon(hear)
                with self._clock.limit(life):
                    while True:
                        await self._clock.sleep(kind.every * self._rng.uniform(0.8, 1.2))
                        sent.append(self._clock.now())
                        if not await lines.send_line(b"line of " + job.encode()):
                            await anyio.sleep_forever()
                tasks.cancel_scope.cancel()
        finally:
            self.established -= 1
        what = EventKind.DONE if not ended else EventKind.MOVED if ended[0] == b"MOVE" else EventKind.CUT_OFF
        self._trace.add(what, request_id=job, cls=kind.name, server=server)
        if what is EventKind.DONE and self._rng.random() < 0.1:
            await reset(lines.stream)  # some clients break off
        return "done" if what is EventKind.DONE else "back"
