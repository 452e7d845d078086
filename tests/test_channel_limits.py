"""The limits of a channel: they bind what is kept, not how it arrived, and cost the channel alone."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any, cast

import anyio
import pytest

from puffinford.fronts.channels import codec, multiplexer
from tests.harness import ChannelPeer, Harness, Peer, echo, harness, opening, settings

pytestmark = pytest.mark.anyio

LARGE_WINDOW = 1 << 20
LONG_LINE = b"M 1 " + b"." * 3_000 + b"\r\n"
SHORT_LINES = [b"M %d\r\n" % n for n in range(400)]
STALLED_LINE = b"M 1 for a client that does not read\r\n"
MAX_STALLED_BYTES = 32 << 20  # more than the system buffers for a client that does not read


def pieces(channel: int, data: bytes, size: int) -> list[codec.Message]:
    """Cut `data` into messages of `size` bytes."""
    return [codec.Data(channel, data[at : at + size]) for at in range(0, len(data), size)]


class ChannelServer:
    """A scripted channel server that confirms `expected` opens, and sends each piece of data back."""

    def __init__(self, expected: int, first_window: int = LARGE_WINDOW) -> None:
        self._expected = expected
        self._window = first_window  # of the next channel to be confirmed
        self.channels: list[int] = []  # the balancer's numbers, in order of the opens
        self.confirmed = anyio.Event()
        self.messages: list[codec.Message | bytes] = []  # all but data, after the opens
        self.peer: ChannelPeer

    async def __call__(self, peer: Peer) -> None:
        self.peer = await ChannelPeer(peer.stream).hello()
        while len(self.channels) < self._expected:
            self.channels.append((await self.peer.confirm(self._window)).sender)
            self._window = LARGE_WINDOW
        self.confirmed.set()
        while not isinstance(message := await self.peer.next(windows=True), bytes):
            if isinstance(message, codec.Data):
                await self.peer.send_messages(message)
            else:
                self.messages.append(message)


async def line_clients(here: Harness, server: ChannelServer, count: int) -> list[Peer]:
    """List the server, and bring up this many line clients on channels of one connection to it."""
    await here.server("s-1", server, front="channels")
    clients = []
    for number in range(count):
        clients.append(await here.client(opening(f"0{number}")))
        assert await clients[-1].line() == b"UP r2\r\n"
    await server.confirmed.wait()
    return clients


async def check_served(client: Peer, line: bytes = b"on") -> None:
    """Check that the client's connection is up and its lines come back."""
    await client.send_line(line)
    assert await client.line() == line + b"\r\n"


async def channel_client(here: Harness, first_window: int = LARGE_WINDOW) -> tuple[ChannelPeer, int, int]:
    """Return a channel client with two established channels, and the balancer's numbers of them."""
    client = await here.channel_client()
    numbers = []
    for number, window in ((1, first_window), (2, LARGE_WINDOW)):
        await client.open(number, f"0{number}", window=window)
        up = await client.next()
        assert isinstance(up, codec.OpenConfirmation)
        numbers.append(up.sender)
    return client, numbers[0], numbers[1]


async def received_lines(client: ChannelPeer, channel: int, size: int) -> bytes:
    """Return `size` bytes that the client gets on a channel; nothing else may come."""
    received = b""
    while len(received) < size:
        message = await client.next()
        assert isinstance(message, codec.Data) and message.recipient == channel, message
        received += message.data
    return received


@pytest.mark.parametrize("size", [1, 4, 40])
async def test_a_line_in_small_pieces_from_a_server_reaches_its_client(size: int) -> None:
    """Guards against closing a server's connection, with all its clients, over 256 pieces of one line."""
    server = ChannelServer(2)
    async with harness() as here:
        client, neighbour = await line_clients(here, server, 2)
        await server.peer.send_messages(*pieces(server.channels[0], LONG_LINE, size))
        assert await client.line() == LONG_LINE
        await check_served(neighbour)
        await check_served(client)


async def test_hundreds_of_lines_in_one_write_of_a_server_reach_its_client() -> None:
    """Guards against the same limit on whole lines, which a server may write all at once."""
    server = ChannelServer(2)
    async with harness() as here:
        client, neighbour = await line_clients(here, server, 2)
        await server.peer.send_messages(*[codec.Data(server.channels[0], line) for line in SHORT_LINES])
        assert [await client.line() for _ in SHORT_LINES] == SHORT_LINES
        await check_served(neighbour)


async def test_pieces_that_are_followed_at_once_by_the_end_all_arrive() -> None:
    """Guards against counting EOF, CLOSE and WINDOW_ADJUST against the limit on unread data."""
    server = ChannelServer(2)
    async with harness() as here:
        client, neighbour = await line_clients(here, server, 2)
        number = server.channels[0]
        end = (codec.WindowAdjust(number, 9), codec.Eof(number), codec.Close(number))
        await server.peer.send_messages(*pieces(number, LONG_LINE, 4), *end)
        assert [await client.line(), await client.line()] == [LONG_LINE, b"FIN"]
        await check_served(neighbour)


@pytest.mark.parametrize(
    "data", [pieces(0, LONG_LINE, 4), [codec.Data(0, line) for line in SHORT_LINES]], ids=["pieces", "lines"]
)
async def test_a_channel_client_that_writes_in_small_pieces_keeps_its_channels(
    data: list[codec.Data],
) -> None:
    """Guards against closing all channels of a client over 256 pieces on one of them."""
    async with harness() as here:
        await here.server("s-1", echo)
        client, number, neighbour = await channel_client(here)
        assert number == 0
        await client.send_messages(*data)
        sent = b"".join(message.data for message in data)
        assert await received_lines(client, 1, len(sent)) == sent
        await client.send_messages(codec.Data(neighbour, b"on\r\n"))
        assert await client.next() == codec.Data(2, b"on\r\n")


async def test_pieces_are_not_announced_one_by_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against one WINDOW_ADJUST a piece, which fills the queue of answers to the peer."""
    monkeypatch.setattr(multiplexer, "MAX_QUEUED_MESSAGES", 100)
    server = ChannelServer(1)
    async with harness() as here:
        (client,) = await line_clients(here, server, 1)
        for _ in range(3):
            alternating: list[codec.Message] = []
            for piece in pieces(server.channels[0], LONG_LINE, 20):
                alternating += [piece, codec.ExtendedData(server.channels[0], 1, b"x")]
            await server.peer.send_messages(*alternating)
            assert await client.line() == LONG_LINE
        await check_served(client)
        adjusts = [m for m in server.messages if isinstance(m, codec.WindowAdjust)]
        # `check_served` takes 4 bytes too; its own adjustment may still be on its way.
        assert sum(m.count for m in adjusts) >= 3 * (len(LONG_LINE) + len(alternating) // 2)
        assert len(adjusts) <= 20, "one for each write of the balancer, not for each piece"


async def test_a_line_client_that_stops_reading_gets_all_lines_when_it_goes_on() -> None:
    """Guards against closing a server's connection while one client does not read its short lines."""
    server = ChannelServer(2)
    async with harness() as here:
        await here.server("s-1", server, front="channels")
        raw = socket.socket()
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        raw.connect(("127.0.0.1", here.port))
        client = Peer(await anyio.abc.SocketStream.from_socket(raw))
        await client.send_line(opening("01"))
        assert await client.line() == b"UP r2\r\n"
        neighbour = await here.client(opening("02"))
        assert await neighbour.line() == b"UP r2\r\n"
        await server.confirmed.wait()
        number, sent = server.channels[0], b""
        while len(sent) < MAX_STALLED_BYTES:
            announced = sum(m.count for m in server.messages if isinstance(m, codec.WindowAdjust))
            lines = (multiplexer.WINDOW_BYTES + announced - len(sent)) // len(STALLED_LINE)
            if not lines:
                break
            await server.peer.send_messages(*[codec.Data(number, STALLED_LINE)] * lines)
            sent += STALLED_LINE * lines
            await here.settle()
        assert not lines, "the client's line is full, and the server has no window left"
        await check_served(neighbour)
        here.clock.advance(3_000.0)
        await here.settle()
        received = b""
        while len(received) < len(sent):
            received += await client.stream.receive()
        assert received == sent
        await check_served(neighbour)


async def test_pieces_for_a_client_that_has_left_end_no_other_channel() -> None:
    """Guards against counting what arrives on a channel that this end has closed: nobody takes it."""
    server = ChannelServer(2)
    async with harness() as here:
        client, neighbour = await line_clients(here, server, 2)
        await client.rst()
        while codec.Close(server.channels[0]) not in server.messages:
            await anyio.sleep(0)
        await server.peer.send_messages(*[codec.Data(server.channels[0], s) for s in SHORT_LINES])
        await check_served(neighbour)
        await server.peer.send_messages(codec.Close(server.channels[0]))
        await check_served(neighbour)


async def test_notes_in_one_write_reach_a_client_that_reads() -> None:
    """Guards against counting requests of one chunk before their receiver had a turn."""
    server = ChannelServer(2)
    async with harness() as here:
        client, neighbour = await line_clients(here, server, 2)
        note = codec.ChannelRequest(server.channels[0], codec.NOTE, False, codec.uint32(7))
        await server.peer.send_messages(*[note] * 2_000)
        assert [await client.line() for _ in range(2_000)] == [b"LOAD 7\r\n"] * 2_000
        await check_served(neighbour)


async def test_notes_for_a_channel_client_that_does_not_read_wait_at_their_server() -> None:
    """Guards against a queue without limit, and against closing the client's channels for its length."""
    notes = 120_000  # more than the system buffers for the client

    async def script(peer: Peer) -> None:
        await peer.line()
        await peer.send_line(b"UP r1")
        while await peer.line() not in (b"FIN", b"RST"):
            await peer.stream.send(b"LOAD 7\r\n" * notes + b"end\r\n")

    async with harness(settings(tells_delay=True)) as here:
        await here.server("s-1", script)
        raw = socket.socket()
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        raw.connect(("127.0.0.1", here.channel_port()))
        client = await ChannelPeer(await anyio.abc.SocketStream.from_socket(raw)).hello()
        await client.open(1, "01", window=LARGE_WINDOW)
        up = await client.next()
        assert isinstance(up, codec.OpenConfirmation)
        (request,) = here.exchange._requests.values()
        connection = cast(Any, request.client)._channel.multiplexer
        await client.send_messages(codec.Data(up.sender, b"go\r\n"))
        longest = rounds = 0  # rounds in which the writer waits for the client, and nothing more is queued
        while rounds < 20 and longest <= multiplexer.MAX_QUEUED_MESSAGES:
            await here.settle()
            queued = len(connection._queued_messages)
            rounds = rounds + 1 if connection._stream._unsent and queued == longest else 0
            longest = max(longest, queued)
        if longest > multiplexer.MAX_QUEUED_MESSAGES:
            await anyio.aclose_forcefully(client.stream)  # else the harness waits for it
        assert longest <= multiplexer.MAX_QUEUED_MESSAGES
        await client.send_messages(codec.WindowAdjust(up.sender, 1))
        note = codec.ChannelRequest(1, codec.NOTE, False, codec.uint32(7))
        received = 0
        while (message := await client.next()) == note:
            received += 1
        assert (received, message) == (notes, codec.Data(1, b"end\r\n"))


NOTE = codec.uint32(7)
# What a peer may send on a channel that cannot pass its data on, and what the log says of it.
VIOLATIONS = [
    (lambda n: [codec.Data(n, b"x" * (multiplexer.WINDOW_BYTES + 1))], "window overrun"),
    (lambda n: [codec.ExtendedData(n, 1, b"x" * (multiplexer.WINDOW_BYTES + 1))], "window overrun"),
    (
        lambda n: [codec.Data(n, b"M 1\r\n"), *[codec.Data(n, b"x" * multiplexer.WINDOW_BYTES)] * 2],
        "window overrun",
    ),
    (lambda n: [codec.Eof(n), codec.Data(n, b"x")], "data after the end"),
    (lambda n: [codec.WindowAdjust(n, 0xFFFFFFFF)] * 2, "window past 2^32 - 1"),
    (
        lambda n: [
            codec.Data(n, b"M 1\r\n"),
            *[codec.ChannelRequest(n, codec.NOTE, False, NOTE)] * (multiplexer.MAX_UNREAD_REQUESTS + 2),
        ],
        "too many requests unread",
    ),
    (lambda n: [codec.ChannelRequest(n, codec.NOTE, False, b"\x00")], "a note without its number"),
]


async def next_close(peer: ChannelPeer, channel: int) -> None:
    """Read up to the CLOSE of a channel; only its data, EOF and requests may come before it."""
    while (message := await peer.next()) != codec.Close(channel):
        assert isinstance(message, codec.Data | codec.Eof | codec.ChannelRequest), message
        assert message.recipient == channel


@pytest.mark.parametrize("sender", ["client", "server"])
@pytest.mark.parametrize(("messages", "error"), VIOLATIONS)
async def test_a_peer_that_breaks_the_rules_of_a_channel_loses_that_channel_alone(
    sender: str,
    messages: Callable[[int], list[codec.Message]],
    error: str,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against ending a connection with all its channels for a fault on one of them."""
    server = ChannelServer(2, first_window=0)
    async with harness() as here:
        await here.server("s-1", server, front="channels")
        client, number, neighbour = await channel_client(here, first_window=0)
        await server.confirmed.wait()
        if sender == "client":
            await client.send_messages(*messages(number))
            await next_close(client, 1)
            await client.send_messages(codec.Close(number))
        else:
            await server.peer.send_messages(*messages(server.channels[0]))
            while codec.Close(server.channels[0]) not in server.messages:
                await anyio.sleep(0)
            await server.peer.send_messages(codec.Close(server.channels[0]))
        await client.send_messages(codec.Data(neighbour, b"on\r\n"))
        while (message := await client.next()) != codec.Data(2, b"on\r\n"):
            # The client is told of the server's channel once it takes the data before.
            assert sender == "server" and message in (codec.Eof(1), codec.Close(1)), message
        assert [vars(r)["error"] for r in caplog.records if r.message == "malformed channel"] == [error]
        assert not any(r.exc_info for r in caplog.records)
