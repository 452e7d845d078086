"""Stalls of the process: a list that changed meanwhile is read before new attempts are made."""

from __future__ import annotations

import random

import anyio
import anyio.abc
import pytest

from puffinford.core.clock import SettableClock
from puffinford.core.stall import LIST_WAIT_MS
from puffinford.core.values import ServerEntries
from puffinford.interface import ServerState
from puffinford.server_list.discovery import ANSWER_GRACE_MS, WATCH_WAIT_MS, DiscoveryWatch
from tests.harness import Peer, discovery, echo, harness, opening

STALL_MS = 4_000.0


@pytest.mark.anyio
@pytest.mark.parametrize("update", ["draining", "none", "a failed call", "nothing at all"])
async def test_after_a_stall_new_attempts_wait_for_the_list_for_half_a_second_at_most(update: str) -> None:
    """New attempts must not go to servers that began to drain during the stall."""
    attempts: list[str] = []

    def server(ident: str):  # type: ignore[no-untyped-def]
        async def script(peer: Peer) -> None:
            line = await peer.line()
            attempts.append(ident)
            await peer.send_line(b"UP " + line.split()[1])
            await peer.line()

        return script

    async with harness() as here:
        here.source.refreshable = True
        await here.server("s-1", server("s-1"))
        await here.settle()
        here.clock.advance(STALL_MS)  # in one step, without a check in between
        client = await here.client(opening("0a"))
        for _ in range(20):
            await here.settle()
        assert attempts == [] and here.source.refresh_calls == 1, (
            "the list is requested immediately, and once"
        )
        if update == "draining":
            await here.server("s-2", server("s-2"))
            here.list_server("s-1", 1, ServerState.DRAINING)
        elif update == "none":
            here.exchange.take_list(ServerEntries(2, False, []))
        else:
            if update == "a failed call":
                here.exchange.take_list(None)  # the call from before the stall, which timed out
                await here.settle()
                assert attempts == []
            here.clock.advance(LIST_WAIT_MS)
        assert await client.line() == b"UP 0a\r\n"
        assert attempts == ["s-2" if update == "draining" else "s-1"]
        fresh = await here.client(opening("0b"))
        assert await fresh.line() == b"UP 0b\r\n", "the list is no longer suspect"
        here.tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_a_short_pause_is_no_stop() -> None:
    async with harness() as here:
        here.source.refreshable = True
        await here.server("s-1", echo)
        await here.settle()
        here.clock.advance(700.0)
        client = await here.client(opening("0a"))
        assert await client.line() == b"UP r1\r\n" and here.source.refresh_calls == 0
        here.tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_a_refresh_asks_without_waiting_whatever_call_is_out() -> None:
    """When the current call times out after a stall, the next one must not wait up to 2 s."""
    asked: list[bytes] = []
    taken: list[ServerEntries | None] = []
    heard = anyio.Event()

    def take(entries: ServerEntries | None) -> int | None:
        taken.append(entries)
        heard.set()
        return entries.version if entries else 1

    clock = SettableClock()
    async with harness() as here:
        port = await here.listen(discovery(asked, {"id": "s-1", "addr": "127.0.0.1:7000"}))
        watch = DiscoveryWatch(("127.0.0.1", port), None, clock, take, False, random.Random(1))
        here.tasks.start_soon(watch.run)
        await here.settle()
        watch.subscribe(True)
        await heard.wait()
        while len(asked) < 2:  # the watch is waiting now
            await anyio.sleep(0)
        clock.advance(WATCH_WAIT_MS + ANSWER_GRACE_MS)
        assert watch.refresh()
        while len(asked) < 3:
            await anyio.sleep(0)
        assert b"index=1&wait=0 " in asked[2] and None not in taken
        here.tasks.cancel_scope.cancel()
