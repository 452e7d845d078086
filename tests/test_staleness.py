"""Bounded staleness of the server list: a change is applied within 6 s of discovery being reachable.

Uses a settable clock and real sockets.
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
LIST_DEADLINE_MS = 6_000.0  # latest time at which a change has to be applied
STEP_MS = 50.0


def body(version: int, state: str) -> bytes:
    entry = {"id": "s-1", "addr": "127.0.0.1:9", "state": state, "started_ms": 0}
    text = json.dumps({"version": version, "full": True, "servers": [entry]}, indent=1).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text)


class Service:
    """Discovery with one server, which begins to drain. If set, `failure` handles every call."""

    def __init__(self, clock: SettableClock) -> None:
        self.clock = clock
        self.version, self.state = 1, "active"
        self.calls = 0
        self.calls_in_progress = self.max_calls_in_progress = 0
        self.failure: Callable[[anyio.abc.SocketStream], Awaitable[None]] | None = None
        self._list_changed = anyio.Event()

    def wake(self) -> None:
        """Answer all waiting watches."""
        self._list_changed.set()
        self._list_changed = anyio.Event()

    async def play(self, stream: anyio.abc.SocketStream) -> None:
        line = await Peer(stream).line()
        self.calls += 1
        self.calls_in_progress += 1
        try:
            if self.failure is not None:
                await self.failure(stream)
                return
            if b"index=%d&" % self.version in line and b"wait=0 " not in line:
                with self.clock.limit(WATCH_WAIT_MS):
                    await self._list_changed.wait()
            await stream.send(body(self.version, self.state))
        finally:
            self.calls_in_progress -= 1


async def silent(stream: anyio.abc.SocketStream) -> None:
    await Peer(stream).line()
    await wait_for_close(stream)


async def wait_for_close(stream: anyio.abc.SocketStream) -> None:
    try:
        while True:
            await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        pass


async def half(stream: anyio.abc.SocketStream) -> None:
    complete = body(2, "leaving")
    await stream.send(complete[: len(complete) // 2])
    await wait_for_close(stream)


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
            await wait_for_close(stream)
            tasks.cancel_scope.cancel()

    return drip


FAILURES = {"silent": silent, "half": half, "reset": reset, "unavailable": unavailable, "older": older}


class Watched:
    """An exchange with its own watch of discovery."""

    def __init__(self, here: Harness, pushed: bool, seed: int) -> None:
        exchange_settings = settings(list_on_request=not pushed, ask_within=10_000.0)
        self.clock = here.clock
        self.exchange = Exchange(exchange_settings, seed, here.clock, {})
        self.guard = ListValidator()
        self.service = Service(here.clock)
        self.here = here
        self.pushed, self.seed = pushed, seed

    def take(self, entries: ServerEntries | None) -> int | None:
        if entries is None:
            self.exchange.take_list(None)
            return self.guard.version
        taken = self.guard.validate(entries)
        if taken.entries is not None:
            self.exchange.take_list(taken.entries)
        return taken.version

    async def start(self) -> None:
        port = await self.here.listen(self.service.play)
        rng = random.Random(self.seed)
        watch = DiscoveryWatch(("127.0.0.1", port), None, self.clock, self.take, self.pushed, rng)
        self.here.tasks.start_soon(self.exchange.run, watch)
        self.here.tasks.start_soon(watch.run)
        await self.advance_time(3_000.0)
        assert self.state() is ServerState.LIVE
        self.watch = watch

    def state(self) -> ServerState | None:
        backend = self.exchange._balancer.listed_servers.backends.get("s-1")
        return None if backend is None else backend.listed

    async def advance_time(self, ms: float, until: Callable[[], bool] = lambda: False) -> float:
        passed = 0.0
        while passed < ms and not until():
            self.clock.advance(STEP_MS)
            passed += STEP_MS
            for _ in range(12):
                await anyio.sleep(0)
            self.service.max_calls_in_progress = max(
                self.service.max_calls_in_progress, self.service.calls_in_progress
            )
        return passed


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("pushed", [False, True], ids=["asked", "pushed"])
@pytest.mark.parametrize("down", [0.0, 3_000.0, 8_000.0, 30_000.0])
@pytest.mark.parametrize("way", [*FAILURES, "trickling"])
async def test_a_change_is_known_6_s_after_discovery_had_it_and_could_be_reached(
    way: str, down: float, pushed: bool, seed: int
) -> None:
    """Every call fails for `down` ms (0: only the current watch), from before the change."""
    async with harness() as here:
        watched = Watched(here, pushed, seed)
        await watched.start()
        service = watched.service
        service.failure = trickling(here.clock) if way == "trickling" else FAILURES[way]
        # The current watch ends without a change, and the next call is the first to fail.
        calls = service.calls
        service.wake()
        while service.calls == calls:
            await watched.advance_time(STEP_MS)
        service.version, service.state = 2, "leaving"
        await watched.advance_time(down)
        service.failure = None
        passed = await watched.advance_time(
            LIST_DEADLINE_MS + 500.0, lambda: watched.state() is ServerState.DRAINING
        )
        assert passed <= LIST_DEADLINE_MS
        assert service.max_calls_in_progress <= MAX_CONCURRENT_CALLS
        here.tasks.cancel_scope.cancel()


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("pushed", [False, True], ids=["asked", "pushed"])
async def test_a_change_in_a_long_outage_after_a_long_quiet_time_is_known_in_time(
    pushed: bool, seed: int
) -> None:
    """After five minutes without changes, every call fails in a random way for two minutes."""
    async with harness() as here:
        watched = Watched(here, pushed, seed)
        await watched.start()
        await watched.advance_time(300_000.0)
        service, rng = watched.service, random.Random(seed)

        async def any_way(stream: anyio.abc.SocketStream) -> None:
            await FAILURES[rng.choice(sorted(FAILURES))](stream)

        service.failure = any_way
        service.wake()
        await watched.advance_time(60_000.0)
        service.version, service.state = 2, "leaving"
        await watched.advance_time(60_000.0)
        service.failure = None
        passed = await watched.advance_time(
            LIST_DEADLINE_MS + 500.0, lambda: watched.state() is ServerState.DRAINING
        )
        assert passed <= LIST_DEADLINE_MS and service.max_calls_in_progress <= MAX_CONCURRENT_CALLS
        here.tasks.cancel_scope.cancel()


@pytest.mark.parametrize("pushed", [False, True], ids=["asked", "pushed"])
async def test_a_discovery_that_hangs_for_a_minute_is_held_few_calls(pushed: bool) -> None:
    async with harness() as here:
        watched = Watched(here, pushed, 1)
        await watched.start()
        watched.service.failure = silent
        watched.service.calls = 0
        await watched.advance_time(60_000.0)
        assert (
            watched.service.max_calls_in_progress <= MAX_CONCURRENT_CALLS
            and watched.service.calls <= 60_000.0 / 2_000.0
        )
        here.tasks.cancel_scope.cancel()


async def test_a_discovery_that_answers_a_watch_at_once_costs_ten_calls_a_second() -> None:
    """Calls to a discovery service that answers watches immediately must be paced."""
    async with harness() as here:
        watched = Watched(here, False, 1)
        await watched.start()

        async def at_once(stream: anyio.abc.SocketStream) -> None:
            await stream.send(body(1, "active"))

        watched.service.failure = at_once
        watched.watch.refresh()
        watched.service.calls = 0
        await watched.advance_time(5_000.0)
        assert 10 <= watched.service.calls <= 55
        here.tasks.cancel_scope.cancel()
