"""The last messages of a channel connection reach its peer, wherever its end catches them."""

from __future__ import annotations

import errno
import socket
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any, cast

import anyio
import anyio.abc
import pytest

from puffinford.core.answers import MOVE_TIMEOUT_MS
from puffinford.core.clock import Clock
from puffinford.fronts.channels import codec
from puffinford.fronts.channels.multiplexer import Channel, Multiplexer
from puffinford.fronts.sockets import FINAL_WRITE_TIMEOUT_MS, LINGER_TIMEOUT_MS, DescriptorBudget, TcpStream
from tests.harness import ChannelPeer, Peer, echo, harness, opening

pytestmark = pytest.mark.anyio

CHANNELS = (1, 2, 3)
MOVED = Counter((kind, number) for number in CHANNELS for kind in ("ChannelRequest", "Close"))


async def flood(peer: Peer) -> None:
    """Answer UP, then send lines for as long as they are read."""
    await peer.line()
    await peer.send_line(b"UP r1")
    while True:
        await peer.send_line(bytes(4_000))


async def fill_buffers(sock: socket.socket) -> None:
    """Fill what the system buffers for a peer that does not read.

    It may take some more a little later, without waking the writer.
    """
    refused = 0
    while refused < 10:
        try:
            sock.send(bytes(4_000))
            refused = 0
        except BlockingIOError:
            refused += 1
            await anyio.sleep(0.01)


async def read_to_end(peer: ChannelPeer) -> tuple[Counter[tuple[str, int]], bytes]:
    """Count the MOVE and CLOSE messages up to the end of the connection; return them and the end."""
    seen: Counter[tuple[str, int]] = Counter()
    while not isinstance(message := await peer.next(), bytes):
        if isinstance(message, codec.ChannelRequest | codec.Close):
            seen[type(message).__name__, message.recipient] += 1
    return seen, message


class FaultySocket(socket.socket):
    """A socket whose `send` fails with ENOBUFS while `short`."""

    short = False

    def send(self, data: Any, flags: int = 0) -> int:
        if self.short:
            raise OSError(errno.ENOBUFS, "short")
        return super().send(data, flags)


@dataclass
class Session:
    """A running multiplexer with open channels, and its client."""

    client: ChannelPeer
    sock: FaultySocket
    channels: list[Channel] = field(default_factory=list)
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    ended: anyio.Event = field(default_factory=anyio.Event)

    def move(self, extra: bytes = b"") -> None:
        """Queue MOVE and CLOSE on every channel."""
        for channel in self.channels:
            channel.send_request(codec.MOVE, extra)
            channel.close()


@asynccontextmanager
async def session() -> AsyncIterator[Session]:
    """Run a multiplexer on a socket pair, with CHANNELS opened by its client."""
    near, far = socket.socketpair()
    near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
    stream = await anyio.abc.SocketStream.from_socket(far)
    here = Session(ChannelPeer(stream), FaultySocket(fileno=near.detach()))

    def on_open(channel: Channel, _message: codec.ChannelOpen) -> None:
        here.channels.append(channel)
        multiplexer.confirm(channel, b"")

    clock = Clock()
    tcp_stream = TcpStream(here.sock, clock, DescriptorBudget())
    multiplexer = Multiplexer(tcp_stream, clock, is_client=False, on_open=on_open)

    async def run() -> None:
        with here.scope:
            await multiplexer.run()
        here.ended.set()

    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run)
            await here.client.hello()
            for number in CHANNELS:
                await here.client.open(number, f"{number:x}")
                assert isinstance(await here.client.next(), codec.OpenConfirmation)
            yield here
            await here.ended.wait()
    await stream.aclose()


@pytest.mark.parametrize("order", ["queued first", "cancelled first"])
async def test_messages_queued_as_the_connection_is_cancelled_arrive(order: str) -> None:
    """Guards against messages that the writer has taken from the queue when it is cancelled."""
    async with session() as here:
        if order == "cancelled first":
            here.scope.cancel()
        here.move()
        here.scope.cancel()
        assert await read_to_end(here.client) == (MOVED, b"FIN")


async def test_messages_of_a_batch_that_is_half_written_arrive() -> None:
    async with session() as here:
        here.move(extra=bytes(30_000))
        await anyio.wait_all_tasks_blocked()
        here.scope.cancel()
        await anyio.wait_all_tasks_blocked()
        assert await read_to_end(here.client) == (MOVED, b"FIN")


async def test_messages_whose_write_pauses_for_a_shortage_arrive() -> None:
    async with session() as here:
        here.sock.short = True
        here.move()
        await anyio.wait_all_tasks_blocked()
        here.scope.cancel()
        await anyio.wait_all_tasks_blocked()
        here.sock.short = False
        assert await read_to_end(here.client) == (MOVED, b"FIN")


async def test_a_peer_that_reads_nothing_does_not_hold_up_the_end() -> None:
    async with session() as here:
        here.move(extra=bytes(30_000))
        await anyio.wait_all_tasks_blocked()
        here.scope.cancel()
        with anyio.fail_after((FINAL_WRITE_TIMEOUT_MS + LINGER_TIMEOUT_MS) / 1_000.0 + 1.0):
            await here.ended.wait()


@pytest.mark.parametrize("cause", ["its time is over", "its writer is cancelled"])
async def test_a_last_message_is_sent_if_the_socket_takes_it(
    cause: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a bare FIN from a process that did not run between the limit's start and the write."""
    near, far = socket.socketpair()
    budget = DescriptorBudget()
    stream = TcpStream(near, Clock(), budget)
    with anyio.CancelScope() as scope:
        if cause == "its time is over":
            monkeypatch.setattr(budget, "bounded_timeout", lambda timeout_ms, now: 0.0)
        else:
            scope.cancel()
        await stream.finish(b"BUSY\r\n")
    await stream.end()
    assert far.recv(100) == b"BUSY\r\n"
    far.close()


@pytest.mark.parametrize("order", ["queued first", "cancelled first"])
async def test_an_open_that_reaches_the_server_as_its_connection_ends_counts_as_sent(order: str) -> None:
    """Guards against a request that is sent to a second server though the first one may run it."""
    near, far = socket.socketpair()
    clock, reported = Clock(), anyio.Event()
    multiplexer = Multiplexer(TcpStream(near, clock, DescriptorBudget()), clock, is_client=True)
    async with await anyio.abc.SocketStream.from_socket(far) as stream:
        server = await ChannelPeer(stream).hello()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(multiplexer.run)
            await multiplexer.ready.wait()
            if order == "cancelled first":
                tasks.cancel_scope.cancel()
            channel = await multiplexer.open_channel(b"", reported.set)
            tasks.cancel_scope.cancel()
        messages = []
        while not isinstance(message := await server.next(), bytes):
            messages.append(type(message))
    assert (codec.ChannelOpen in messages) is channel.open_sent is reported.is_set()
    assert messages[-1] is codec.Disconnect


async def test_an_open_that_its_server_refuses_before_it_is_sent_is_not_sent() -> None:
    """Guards against a server whose early answer would end the writer, and all connections with it."""
    near, far = socket.socketpair()
    clock = Clock()
    multiplexer = Multiplexer(TcpStream(near, clock, DescriptorBudget()), clock, is_client=True)
    async with await anyio.abc.SocketStream.from_socket(far) as stream:
        server = await ChannelPeer(stream).hello()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(multiplexer.run)
            await multiplexer.ready.wait()
            refused = await multiplexer.open_channel(b"", lambda: None)
            multiplexer._handle_message(codec.OpenFailure(refused.local_id, codec.FAILED, "early"))
            sent = anyio.Event()
            await multiplexer.open_channel(b"", sent.set)
            assert isinstance(opened := await server.next(), codec.ChannelOpen) and opened.sender == 1
            assert sent.is_set() and refused.refusal is not None and not refused.open_sent
            tasks.cancel_scope.cancel()


@pytest.mark.parametrize("turns", range(6))
async def test_sessions_that_end_while_their_requests_are_moved_announce_it(turns: int) -> None:
    """The sessions end some turns of the event loop after the drain, as with short deadlines."""
    async with harness() as here:
        await here.server("s-1", echo)
        client = await here.channel_client()
        for number in CHANNELS:
            await client.open(number, f"{number:x}")
        for _ in CHANNELS:
            assert isinstance(await client.next(), codec.OpenConfirmation)
        await here.exchange.drain(0.0, 0.0)
        for _ in range(turns):
            await anyio.sleep(0)
        here.tracker.end_sessions()
        assert await read_to_end(client) == (MOVED, b"FIN")


async def test_a_session_ends_after_the_last_message_of_a_client_that_reads_slowly() -> None:
    """Guards against a session that is closed while MOVE waits for the data before it."""
    async with harness() as here:
        await here.server("s-1", echo)
        client = await here.channel_client()
        await client.open(1, "1", window=4)
        up = await client.next()
        assert isinstance(up, codec.OpenConfirmation)
        await client.send_messages(codec.Data(up.sender, b"line\r\n"))
        assert await client.next() == codec.Data(1, b"line")
        await here.exchange.drain(0.0, 0.0)
        await here.settle()
        here.tracker.end_sessions()
        await here.settle()
        await client.send_messages(codec.WindowAdjust(up.sender, 100))
        assert await client.next() == codec.Data(1, b"\r\n")
        assert await read_to_end(client) == (Counter({("ChannelRequest", 1): 1, ("Close", 1): 1}), b"FIN")


@pytest.mark.parametrize("front", ["lines", "channels"])
async def test_a_move_that_its_client_does_not_take_is_logged(
    front: str, caplog: pytest.LogCaptureFixture
) -> None:
    """`moved=True` in the log says that a move was decided, not that MOVE was sent."""
    async with harness() as here:
        await here.server("s-1", flood)
        if front == "lines":
            assert await (await here.client(opening("0a"))).line() == b"UP r1\r\n"
        else:
            channel_client = await here.channel_client()
            await channel_client.open(1, "0a")
            assert isinstance(await channel_client.next(), codec.OpenConfirmation)
        await anyio.wait_all_tasks_blocked()
        if front == "lines":
            (request,) = here.exchange._requests.values()
            await fill_buffers(cast(Any, request.client)._stream._sock)
        here.over = True
        await here.exchange.drain(0.0, 0.0)
        await here.settle()
        assert "move not sent" not in caplog.messages
        here.clock.advance(MOVE_TIMEOUT_MS)
        await here.settle()
        assert caplog.messages.count("move not sent") == 1
