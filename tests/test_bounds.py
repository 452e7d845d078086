"""Misbehaving peers: the answers they get, and the limits on what they can make the balancer hold."""

from __future__ import annotations

import contextlib
import errno
import logging
import socket
import tracemalloc
from typing import Any

import anyio
import pytest
from anyio.abc import SocketAttribute

from puffinford.core.clock import SettableClock
from puffinford.fronts.accepting import (
    MAX_CONCURRENT_REJECTIONS,
    REJECTION_READ_TIMEOUT_MS,
    ConnectionTracker,
)
from puffinford.fronts.channels import codec, multiplexer
from puffinford.fronts.channels.connection import ChannelConnection
from puffinford.fronts.connecting import connect
from puffinford.fronts.lines.client import PING_IDLE_TIMEOUT_MS
from puffinford.fronts.lines.connection import LineConnection
from puffinford.fronts.sockets import LINGER_TIMEOUT_MS, MAX_LINE_BYTES, DescriptorBudget, LineReader
from puffinford.logs import RateLimitedLog
from tests.harness import ChannelPeer, Peer, answering, echo, harness, opening

pytestmark = pytest.mark.anyio

VALID_OPEN = opening()
CHANNEL_OPEN = codec.encode(codec.ChannelOpen(codec.REQUEST_CHANNEL, 7, 1_000, 32_768, bytes(64)))


@pytest.mark.parametrize(
    "payload",
    [
        b"x" * 60_000_000,  # 60 MB without a line end
        b"OPEN 0a 7f3a c=price-lookup,d=2000,h=" + b"9" * 5_000 + b"\r\n",
        b"OPEN 0a 7f3a c=price-lookup,d=-5\r\n",
        b"OPEN 0a 7f3a c=price-lookup,d=1e3\r\n",
        b"OPEN 0a 7f3a c=price-lookup,d=1_000\r\n",
        b"OPEN 0a 7f3a c=price-lookup,d=9999999999999999999999\r\n",
        b"OPEN 0a 7f3a c=price-lookup,d=2000,d=1\r\n",
        b"OPEN 0a 7f3a c=price-lookup,t=\x00,d=2000\r\n",
        b"OPEN  7f3a c=price-lookup,d=2000\r\n",
        (VALID_OPEN + b"\r\n") * 300,
        VALID_OPEN + b"\r\nM 1\r\n",
        VALID_OPEN + b"\r\n\xff",
        b"PING\r\n" * 300,
    ],
    ids=lambda payload: repr(payload[:48]),
)
async def test_an_unreadable_request_is_answered_and_holds_nothing(payload: bytes) -> None:
    """A client that goes on sending is answered at once, and holds a descriptor until the linger times out.

    Closing without a linger would send a RST that discards the answer.
    """
    connections = 0

    async def server(peer: Peer) -> None:
        nonlocal connections
        connections += 1

    async with harness() as here:
        await here.server("s-1", server)
        bad = await here.client()
        async with anyio.create_task_group() as sending:

            async def send() -> None:
                with (
                    pytest.raises(anyio.BrokenResourceError)
                    if len(payload) > 10_000_000
                    else IgnoreBrokenStream()
                ):
                    await bad.stream.send(payload)

            sending.start_soon(send)
            assert (await bad.line())[:4] == b"ERR ", "answered in spite of unread input"
            while await bad.line() not in (b"FIN", b"RST"):
                pass
            here.clock.advance(LINGER_TIMEOUT_MS)
            await here.settle()
        assert here.tracker.budget.used == 0 and connections == 0


class IgnoreBrokenStream:
    """Suppresses the failure of a send to a closed connection."""

    def __enter__(self) -> None: ...

    def __exit__(self, kind: object, exc: object, trace: object) -> bool:
        return isinstance(exc, anyio.BrokenResourceError)


async def test_a_line_before_up_ends_the_request_and_its_attempt() -> None:
    async def server(peer: Peer) -> None:
        await peer.line()
        opening_received.set()
        assert await peer.line() in (b"FIN", b"RST"), "closed, and no other line sent"
        finished.set()

    opening_received, finished = anyio.Event(), anyio.Event()
    async with harness() as here:
        await here.server("s-1", server)
        client = await here.client(VALID_OPEN)
        await opening_received.wait()
        await client.send_line(opening("0b"))
        assert await client.line() == b"ERR a line before UP\r\n"
        await finished.wait()
        assert here.exchange._balancer._load == 0.0


async def test_a_request_that_every_server_answers_err_makes_no_server_unreachable() -> None:
    """Guards against marking servers unreachable for an id in use at another balancer, which all refuse."""
    async with harness() as here:
        for ident in ("s-1", "s-2", "s-3"):
            await here.server(ident, answering(b"ERR in use"))
        client = await here.client(VALID_OPEN)
        assert (await client.line()).startswith(b"BUSY ")
        assert not any(b.unreachable for b in here.exchange._balancer._fleet.backends.values())


async def send_single_bytes(peer: Peer) -> None:
    with contextlib.suppress(anyio.BrokenResourceError):
        while True:
            await peer.stream.send(b"U")
            await anyio.sleep(0.002)


@pytest.mark.parametrize(
    ("payload", "answer"),
    [
        (b"UP", b"BUSY"),  # an incomplete line
        (None, b"BUSY"),  # one byte at a time, without end
        (b"x" * 65_536, b"BUSY"),  # no line end
        (b"M 1\r\nUP r1\r\n", b"BUSY"),  # data before UP
        (b"UP r1\r\nUP r2\r\n", b"UP r1"),  # passed on: the second is a line of the connection
    ],
    ids=["half a line", "dripping", "no end", "data before UP", "UP twice"],
)
async def test_a_server_that_answers_amiss_costs_its_client_no_more_than_its_time(
    payload: bytes | None, answer: bytes
) -> None:
    async def script(peer: Peer) -> None:
        await peer.line()
        if payload is None:
            return await send_single_bytes(peer)
        with contextlib.suppress(anyio.BrokenResourceError):
            await peer.stream.send(payload)
            await peer.line()

    async with harness() as here:
        for ident in ("s-1", "s-2"):
            await here.server(ident, script)
        start = here.clock.now()
        client = await here.client(VALID_OPEN)
        here.tasks.start_soon(here.run_clock)
        assert (await client.line()).startswith(answer)
        assert here.clock.now() - start <= 2_000.0 + 200.0, "the request's deadline and a step of the clock"
        if answer == b"BUSY":
            assert await client.line() == b"FIN"
            await client.fin()
            await here.settle()
            assert here.tracker.budget.used <= 1


@pytest.mark.parametrize("front", ["lines", "channels"])
async def test_silent_connections_give_way_to_those_that_ask(front: str) -> None:
    """Guards against silent connections that hold every descriptor, so that no client is served."""
    async with harness() as here:
        here.tracker.budget.limit = 96
        await here.server("s-1", echo)
        channels = (await here.channel_client()).stream if front == "channels" else None
        port = here.port if channels is None else channels.extra(anyio.abc.SocketAttribute.remote_port)
        silent = [await anyio.connect_tcp("127.0.0.1", port) for _ in range(100)]
        client = await here.client(VALID_OPEN)
        assert await client.line() == b"UP r1\r\n"
        assert here.tracker.budget.used <= 96 // 4 + 2
        here.tasks.start_soon(here.run_clock)
        start = here.clock.now()
        while await Peer(silent[-1]).line() not in (b"FIN", b"RST"):
            pass
        assert here.clock.now() - start <= 3_000.0
        await client.send_line(b"on")
        assert await client.line() == b"on\r\n"
        for stream in silent:
            await anyio.aclose_forcefully(stream)


async def test_crowds_that_stop_half_way_do_not_displace_a_client_that_writes_slowly() -> None:
    """Guards against evicting the oldest connection first, even if its line is arriving over 2 s."""
    async with harness() as here:
        here.tracker.budget.limit = 96
        await here.server("s-1", echo)
        slow = await here.client()
        idle_streams = []
        for piece in (VALID_OPEN + b"\r\n")[:10], (VALID_OPEN + b"\r\n")[10:30], (VALID_OPEN + b"\r\n")[30:]:
            for _ in range(20):
                idle_streams.append(await anyio.connect_tcp("127.0.0.1", here.port))
                await idle_streams[-1].send(b"OPEN 0b")
            await here.settle()
            await slow.stream.send(piece)
            await here.settle()
            here.clock.advance(800.0)
        assert await slow.line() == b"UP r1\r\n"
        assert here.tracker.budget.used <= 96 // 4 + 2
        for stream in idle_streams:
            await anyio.aclose_forcefully(stream)


@pytest.mark.parametrize("front", ["lines", "channels"])
async def test_a_request_begun_on_a_resting_connection_is_ended_within_three_seconds(front: str) -> None:
    """Guards against waiting for the rest of a request for the idle timeout of 10 s."""
    for rested, trickle in ((100.0, False), (100.0, True), (PING_IDLE_TIMEOUT_MS - 100.0, True)):
        async with harness() as here:
            if front == "lines":
                line = await here.client(b"PING")
                assert await line.line() == b"PONG\r\n"
                stream, half = line.stream, opening()
            else:
                channel = await here.channel_client()
                stream, half = channel.stream, CHANNEL_OPEN
            await here.settle()
            here.clock.advance(rested)
            await here.settle()
            await stream.send(half[:8])
            for n in range(29):
                await here.settle()
                here.clock.advance(100.0)
                if trickle and n < 20:
                    await stream.send(half[8 + n : 9 + n])
            await here.settle()
            with anyio.fail_after(2):
                if front == "lines":
                    assert (await line.line()).startswith(b"ERR ")
                else:
                    assert isinstance(await channel.next(), codec.Disconnect)


@pytest.mark.parametrize("front", ["lines", "channels"])
async def test_thousands_of_lines_in_one_piece_leave_the_others_their_turn(front: str) -> None:
    """Guards against passing on all lines of a chunk, or of a channel's window, before other tasks run."""

    class Flood:
        async def read(self) -> bytes:
            return b"\r\n" * 8_000

        receive = read

    turns = 0

    async def others() -> None:
        nonlocal turns
        while True:
            await anyio.sleep(0)
            turns += 1

    flood: Any = Flood()
    connection = LineConnection(flood) if front == "lines" else ChannelConnection(flood, SettableClock())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(others)
        for _ in range(8_000):
            await connection.receive()
        tasks.cancel_scope.cancel()
    assert turns >= 200


def test_short_lines_take_no_more_memory_than_their_bytes() -> None:
    """Guards against an object for each waiting line: fifteen times the bytes, on every channel."""
    reader, chunk = LineReader(), b"M\r\n" * 5_000
    tracemalloc.start()
    reader.feed(chunk)
    kept_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert kept_bytes <= 2 * len(chunk)
    assert [reader.next() for _ in range(5_001)] == [b"M\r\n"] * 5_000 + [None]


def test_lines_come_out_the_same_however_the_stream_is_cut() -> None:
    stream = b"\r\n" + b"M 1\r\n" * 3 + b"x" * 6_000 + b"\n" + b"rest"
    for size in (1, 3, 4_096, 16_384):
        reader, lines = LineReader(), []
        for at in range(0, len(stream), size):
            reader.feed(stream[at : at + size])
            while (line := reader.next()) is not None:
                lines.append(line)
        assert b"".join(lines) == stream[:-4] and reader.partial_line() == b"rest" and not reader.pending
        assert lines[:4] == [b"\r\n"] + [b"M 1\r\n"] * 3
        assert all(len(line) < MAX_LINE_BYTES + size for line in lines)


async def test_with_all_descriptors_in_use_newcomers_are_turned_away_and_the_others_go_on() -> None:
    """Guards against closing newcomers with their request unread: a RST instead of a retry-after."""
    async with harness() as here:
        here.tracker.budget.limit = 32 + 7
        await here.server("s-1", echo)
        clients = [await here.client(opening(f"0{n}")) for n in range(3)]
        assert [await c.line() for c in clients] == [b"UP r1\r\n"] * 3
        late = await here.client(opening("10"))
        assert await late.line() == b"BUSY 1500\r\n"
        assert await late.line() == b"FIN"
        await late.fin()
        await here.settle()
        quiet = [await here.client() for _ in range(30)]
        await here.settle()
        assert here.tracker.budget.used <= 6 + MAX_CONCURRENT_REJECTIONS, (
            "only a few use reserved descriptors"
        )
        here.clock.advance(REJECTION_READ_TIMEOUT_MS)
        for peer in quiet:
            assert await peer.line() in (b"FIN", b"RST")
        await clients[0].send_line(b"on")
        assert await clients[0].line() == b"on\r\n"
        assert here.tracker.budget.used == 6


async def test_a_local_shortage_of_descriptors_is_no_fault_of_the_server(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    class Short(socket.socket):
        def __init__(self, *arguments: object, **named: object) -> None:
            raise OSError(errno.EMFILE, "Too many open files")

    async with harness() as here:
        await here.server("s-1", echo)
        client = await here.client()
        with monkeypatch.context() as patch:
            patch.setattr(connect.__globals__["socket"], "socket", Short)
            await client.send_line(VALID_OPEN)
            assert (await client.line()).startswith(b"BUSY ")
        assert not here.exchange._balancer._fleet.backends["s-1"].unreachable


async def test_a_channel_peer_that_asks_faster_than_it_is_answered_is_ended(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The peer reads nothing until it has asked for more than the buffers of both sockets hold."""
    monkeypatch.setattr(multiplexer, "MAX_QUEUED_MESSAGES", 100)
    requests = 20_000
    async with harness() as here:
        here.over = True
        client = await here.channel_client()
        client.stream.extra(SocketAttribute.raw_socket).setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        await client.send_messages(codec.Ignore())
        await here.settle()
        (accepted,) = here.tracker._open_streams
        accepted._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)

        async def ask() -> None:
            with contextlib.suppress(anyio.BrokenResourceError):
                await client.stream.send(codec.encode(codec.GlobalRequest("what", True)) * requests)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask)
            await anyio.sleep(1.0)
            seen = [await client.next()]
            while seen[-1] not in (b"FIN", b"RST"):
                seen.append(await client.next())
        assert any(isinstance(m, codec.Disconnect) and m.reason == codec.PROTOCOL_ERROR for m in seen)
        assert len(seen) < requests


async def test_an_idle_channel_connection_is_ended() -> None:
    async with harness() as here:
        client: ChannelPeer = await here.channel_client()
        here.tasks.start_soon(here.run_clock)
        disconnect = await client.next()
        assert isinstance(disconnect, codec.Disconnect) and disconnect.reason == codec.BY_APPLICATION


def test_what_peers_can_cause_at_will_is_logged_seldom(caplog: pytest.LogCaptureFixture) -> None:
    now = 0.0
    limited_log = RateLimitedLog(logging.getLogger("puffinford.test"), lambda: now)
    with caplog.at_level(logging.INFO):
        for _ in range(100):
            limited_log.info("bad first line")
        now = 1.0
        limited_log.info("bad first line")
    assert len(caplog.records) == RateLimitedLog.MAX_RECORDS_PER_S + 1
    assert vars(caplog.records[-1])["skipped"] == 90


def test_connections_over_the_descriptor_budget_are_refused() -> None:
    tracker = ConnectionTracker(None, DescriptorBudget(40))  # type: ignore[arg-type]
    tracker.budget.used = 40
    assert not tracker.ensure_capacity()
    tracker.budget.used = 4
    assert tracker.ensure_capacity()
