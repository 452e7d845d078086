"""The bound on the server list's age: 6 s after discovery had a change and could be reached, it is known.

The clock is settable and the sockets are real; the exchange, its module and the watch are the program's own.
"""

from __future__ import annotations

import json
import random
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import pytest

from puffinford.core.clock import SettableClock
from puffinford.core.exchange import Exchange
from puffinford.core.values import ServerEntries
from puffinford.interface import ServerState
from puffinford.server_list.discovery import MAX_CONCURRENT_CALLS, WATCH_WAIT_MS, DiscoveryWatch
from puffinford.state.recovery import ListValidator
from tests.harness import Harness, Peer, harness, settings

pytestmark = pytest.mark.anyio
TOLD = 6_000.0  # ms after which a change counts as told
STEP = 50.0


def body(version: int, state: str) -> bytes:
    entry = {"id": "s-1", "addr": "127.0.0.1:9", "state": state, "started_ms": 0}
    text = json.dumps({"version": version, "full": True, "servers": [entry]}, indent=1).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text)


class Service:
    """Discovery, whose one server begins to drain; `lets_down` is how the calls of `until` ms on end."""

    def __init__(self, clock: SettableClock) -> None:
        self.clock = clock
        self.version, self.state = 1, "active"
        self.calls = 0
        self.out = self.most = 0
        self.lets_down: Callable[[anyio.abc.SocketStream], Awaitable[None]] | None = None
        self._news = anyio.Event()

    def wake(self) -> None:
        """End the watches that wait, with whatever there is to tell."""
        self._news.set()
        self._news = anyio.Event()

    async def play(self, stream: anyio.abc.SocketStream) -> None:
        line = await Peer(stream).line()
        self.calls += 1
        self.out += 1
        try:
            if self.lets_down is not None:
                await self.lets_down(stream)
                return
            if b"index=%d&" % self.version in line and b"wait=0 " not in line:
                with self.clock.limit(WATCH_WAIT_MS):
                    await self._news.wait()
            await stream.send(body(self.version, self.state))
        finally:
            self.out -= 1


async def silent(stream: anyio.abc.SocketStream) -> None:
    await Peer(stream).line()
    await hear_end(stream)


async def hear_end(stream: anyio.abc.SocketStream) -> None:
    try:
        while True:
            await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        pass


async def half(stream: anyio.abc.SocketStream) -> None:
    whole = body(2, "leaving")
    await stream.send(whole[: len(whole) // 2])
    await hear_end(stream)


async def reset(stream: anyio.abc.SocketStream) -> None:
    await Peer(stream).rst()


async def unavailable(stream: anyio.abc.SocketStream) -> None:
    await stream.send(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")


async def older(stream: anyio.abc.SocketStream) -> None:
    await stream.send(body(0, "active"))


def trickling(clock: SettableClock) -> Callable[[anyio.abc.SocketStream], Awaitable[None]]:
    async def drip(stream: anyio.abc.SocketStream) -> None:
        async with anyio.create_task_group() as tasks:

            async def write() -> None:
                for byte in body(2, "leaving"):
                    await stream.send(bytes([byte]))
                    await clock.sleep(1_000.0)

            tasks.start_soon(write)
            await hear_end(stream)
            tasks.cancel_scope.cancel()

    return drip


FAILING = {"silent": silent, "half": half, "reset": reset, "unavailable": unavailable, "older": older}


class Watched:
    """An exchange that hears of discovery through a watch of its own."""

    def __init__(self, here: Harness, pushed: bool, seed: int) -> None:
        told = settings(list_on_request=not pushed, ask_within=10_000.0)
        self.clock = here.clock
        self.exchange = Exchange(told, seed, here.clock, {})
        self.guard = ListValidator()
        self.service = Service(here.clock)
        self.here = here
        self.pushed, self.seed = pushed, seed

    def take(self, machines: ServerEntries | None) -> int | None:
        if machines is None:
            self.exchange.take_list(None)
            return self.guard.version
        taken = self.guard.validate(machines)
        if taken.entries is not None:
            self.exchange.take_list(taken.entries)
        return taken.version

    async def start(self) -> None:
        port = await self.here.listen(self.service.play)
        rng = random.Random(self.seed)
        watch = DiscoveryWatch(("127.0.0.1", port), None, self.clock, self.take, self.pushed, rng)
        self.here.tasks.start_soon(self.exchange.run, watch)
        self.here.tasks.start_soon(watch.run)
        await self.pass_time(3_000.0)
        assert self.state() is ServerState.LIVE
        self.watch = watch

    def state(self) -> ServerState | None:
        backend = self.exchange._balancer.listed_servers.backends.get("s-1")
        return None if backend is None else backend.listed

    async def pass_time(self, ms: float, until: Callable[[], bool] = lambda: False) -> float:
        passed = 0.0
        while passed < ms and not until():
            self.clock.advance(STEP)
            passed += STEP
            for _ in range(12):
                await anyio.sleep(0)
            self.service.most = max(self.service.most, self.service.out)
        return passed


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("pushed", [False, True], ids=["asked", "pushed"])
@pytest.mark.parametrize("down", [0.0, 3_000.0, 8_000.0, 30_000.0])
@pytest.mark.parametrize("way", [*FAILING, "trickling"])
async def test_a_change_is_known_6_s_after_discovery_had_it_and_could_be_reached(
    way: str, down: float, pushed: bool, seed: int
) -> None:
    """All calls let us down for `down` ms, or (0) just the watch that is out; the change comes first."""
    async with harness() as here:
        watched = Watched(here, pushed, seed)
        await watched.start()
        service = watched.service
        service.lets_down = trickling(here.clock) if way == "trickling" else FAILING[way]
        # The watch that is out ends without news, and the next call is the first to be let down.
        calls = service.calls
        service.wake()
        while service.calls == calls:
            await watched.pass_time(STEP)
        service.version, service.state = 2, "leaving"
        await watched.pass_time(down)
        service.lets_down = None
        late = await watched.pass_time(TOLD + 500.0, lambda: watched.state() is ServerState.DRAINING)
        assert late <= TOLD
        assert service.most <= MAX_CONCURRENT_CALLS
        here.tasks.cancel_scope.cancel()


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("pushed", [False, True], ids=["asked", "pushed"])
async def test_a_change_in_a_long_outage_after_a_long_quiet_time_is_known_in_time(
    pushed: bool, seed: int
) -> None:
    """Five quiet minutes, then two in which each call ends in a way that is drawn for it."""
    async with harness() as here:
        watched = Watched(here, pushed, seed)
        await watched.start()
        await watched.pass_time(300_000.0)
        service, rng = watched.service, random.Random(seed)

        async def any_way(stream: anyio.abc.SocketStream) -> None:
            await FAILING[rng.choice(sorted(FAILING))](stream)

        service.lets_down = any_way
        service.wake()
        await watched.pass_time(60_000.0)
        service.version, service.state = 2, "leaving"
        await watched.pass_time(60_000.0)
        service.lets_down = None
        late = await watched.pass_time(TOLD + 500.0, lambda: watched.state() is ServerState.DRAINING)
        assert late <= TOLD and service.most <= MAX_CONCURRENT_CALLS
        here.tasks.cancel_scope.cancel()


@pytest.mark.parametrize("pushed", [False, True], ids=["asked", "pushed"])
async def test_a_discovery_that_hangs_for_a_minute_is_held_few_calls(pushed: bool) -> None:
    async with harness() as here:
        watched = Watched(here, pushed, 1)
        await watched.start()
        watched.service.lets_down = silent
        watched.service.calls = 0
        await watched.pass_time(60_000.0)
        assert watched.service.most <= MAX_CONCURRENT_CALLS and watched.service.calls <= 60_000.0 / 2_000.0
        here.tasks.cancel_scope.cancel()


async def test_a_discovery_that_answers_a_watch_at_once_costs_ten_calls_a_second() -> None:
    """A watch that never waits would take the core that the clients need."""
    async with harness() as here:
        watched = Watched(here, False, 1)
        await watched.start()

        async def at_once(stream: anyio.abc.SocketStream) -> None:
            await stream.send(body(1, "active"))

        watched.service.lets_down = at_once
        watched.watch.refresh()
        watched.service.calls = 0
        await watched.pass_time(5_000.0)
        assert 10 <= watched.service.calls <= 55
        here.tasks.cancel_scope.cancel()
