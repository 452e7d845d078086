"""In-memory client and server connections of a hollow balancer, in place of the sockets of a front."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Collection

import anyio

from puffinford.core.clock import Clock
from puffinford.core.values import (
    AttemptEnded,
    Busy,
    Failed,
    Message,
    Opening,
    PeerClosed,
    PeerConnection,
    ServerEntry,
    Up,
)
from puffinford.interface import Result
from puffinford.scale.arrivals import ConnectionOutcome


class HollowServerConnection:
    """An established server connection that sends nothing and ends when the client ends."""

    __slots__ = ("_ended",)

    def __init__(self) -> None:
        self._ended = anyio.Event()

    async def receive(self) -> Message:
        """Wait until the connection is ended; raises PeerClosed."""
        await self._ended.wait()
        raise PeerClosed

    async def send(self, message: Message) -> None:
        """Discard the message; clients of a scale run are idle."""

    async def end_sending(self) -> None:
        self._ended.set()

    async def end(self) -> None:
        self._ended.set()

    async def abort(self) -> None:
        self._ended.set()


class HollowServerConnector:
    """Establishes server connections after a random delay; an attempt at a dead server fails."""

    def __init__(
        self, clock: Clock, rng: random.Random, set_up: tuple[float, float], dead: Collection[str]
    ) -> None:
        """`set_up` is the range of the delay of an attempt, in ms."""
        self._clock = clock
        self._rng = rng
        self._set_up = set_up
        self._dead = frozenset(dead)

    async def open_connection(
        self,
        entry: ServerEntry,
        opening: Opening,
        wait: float,
        admit: Callable[[], Awaitable[None]],
        sent: Callable[[], None],
    ) -> tuple[PeerConnection, Up]:
        """Establish a connection within `wait` ms; raises AttemptEnded."""
        if entry.server.id in self._dead:
            raise AttemptEnded(Result.CONNECT_FAILED)
        await admit()
        sent()
        delay = self._rng.uniform(*self._set_up)
        await self._clock.sleep(min(delay, wait))
        if delay > wait:
            raise AttemptEnded(Result.TIMEOUT)
        return HollowServerConnection(), Up(f"r-{opening.request_id}")

    async def probe(self, entry: ServerEntry, wait: float, load: bool) -> tuple[Result, str]:
        """Return the result at once, by whether the server is dead."""
        return (Result.CONNECT_FAILED if entry.server.id in self._dead else Result.OK), ""


class HollowClientConnection:
    """A client that sends nothing and closes `life_ms` after it was established."""

    __slots__ = ("_clock", "_life_ms", "_up", "outcome")

    def __init__(self, clock: Clock, life_ms: float) -> None:
        self.outcome = ConnectionOutcome.BROKEN
        self._clock = clock
        self._life_ms = life_ms
        self._up = anyio.Event()

    async def receive(self) -> Message:
        """Wait until the client closes the connection; raises PeerClosed."""
        await self._up.wait()
        await self._clock.sleep(self._life_ms)
        self.outcome = ConnectionOutcome.DONE
        raise PeerClosed

    async def send(self, message: Message) -> None:
        """Discard the message."""

    async def has_left(self) -> bool:
        """Return False: the client waits for its answer."""
        return False

    async def answer(self, answer: Up | Busy | Failed) -> None:
        """Establish the connection if the answer is an UP, or note the refusal."""
        if isinstance(answer, Up):
            self._up.set()
        else:
            self.outcome = ConnectionOutcome.REFUSED

    async def move(self) -> None:
        """Note that the balancer moved the client."""
        self.outcome = ConnectionOutcome.MOVED

    async def end_sending(self) -> None:
        """Nothing to close."""

    async def end(self) -> None:
        """Nothing to close."""

    async def abort(self) -> None:
        """Nothing to close."""
