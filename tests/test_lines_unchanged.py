"""Lines of established connections arrive byte for byte, in order and once, between any two fronts."""

from __future__ import annotations

import anyio
import pytest

from puffinford.fronts.channels import codec
from puffinford.fronts.lines.codec import decode_server_message, encode_message
from puffinford.fronts.sockets import MAX_LINE_BYTES
from tests.harness import ChannelPeer, Harness, Peer, harness, opening, settings

pytestmark = pytest.mark.anyio
FRONTS = ["lines", "channels"]
LARGE_WINDOW = 1 << 20  # for all that a test sends
PACKET_BYTES = 8_192
CHANNEL = 1  # a client's number of its only channel
BALANCER_CHANNEL = 0  # the balancer's number of it, on a connection of its own
WORDS = [b"MOVE\r\n", b"BYE\r\n", b"BYE inflight=7,queue=2\r\n", b"LOAD 2.5\r\n"]
# Nearly a word of a server, and so a word to nobody.
NEAR_WORDS = [
    b"MOVE 3 to basket 2\r\n", b"MOVE \r\n", b"MOVE\n", b"MOVE\r\r\n", b"move\r\n", b" MOVE\r\n",
    b"MOVES\r\n",
    b"BYE 7891000100103\r\n", b"BYE  a=1\r\n", b"BYE\n", b"BYEa=1\r\n",
    b"LOAD\r\n", b"LOAD x\r\n", b"LOAD 1e5\r\n", b"LOAD -1\r\n", b"LOAD 2.5\n", b"LOAD  2\r\n",
    b"LOAD 2 \r\n",
    b"UP r9\r\n", b"BUSY 100\r\n", b"ERR\r\n", b"PING\r\n", b"OPEN 0b 7f3a c=price-lookup,d=5\r\n",
    b"\r\n", b"\n",
    bytes(byte for byte in range(256) if byte != 10) + b"\r\n",
    b"x" * (MAX_LINE_BYTES - 2) + b"\r\n",
    b"x" * MAX_LINE_BYTES + b"MOVE\r\n",  # too long, and its rest is no line
]  # fmt: skip


class End:
    """A client or server that sends bytes in pieces, and keeps what it gets."""

    def __init__(self, expected: int) -> None:
        self.received = b""
        self.requests: list[str] = []  # names of the channel requests
        self._expected = expected

    async def converse(self, peer: Peer | ChannelPeer, sent: bytes, step: int) -> None:
        """Send `sent` in pieces of `step` bytes, and read until the expected number of bytes has come."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send, peer, sent, step)
            tasks.start_soon(self._receive, peer)

    async def _send(self, peer: Peer | ChannelPeer, sent: bytes, step: int) -> None:
        for at in range(0, len(sent), step):
            piece = sent[at : at + step]
            if isinstance(peer, ChannelPeer):
                await peer.send_messages(codec.Data(BALANCER_CHANNEL, piece))
            else:
                await peer.stream.send(piece)
            await anyio.sleep(0)

    async def _receive(self, peer: Peer | ChannelPeer) -> None:
        while len(self.received) < self._expected:
            if not isinstance(peer, ChannelPeer):
                self.received += await peer.line()
                continue
            message = await peer.next()
            if isinstance(message, codec.Data):
                self.received += message.data
            else:
                assert isinstance(message, codec.ChannelRequest), message
                self.requests.append(message.name)


async def connect(here: Harness, front: str) -> Peer | ChannelPeer:
    """Return a client whose request is established."""
    if front == "lines":
        client = await here.client(opening())
        assert (await client.line()).startswith(b"UP ")
        return client
    channel_client = await here.channel_client()
    await channel_client.open(CHANNEL, "0a", window=LARGE_WINDOW)
    confirmation = await channel_client.next()
    assert isinstance(confirmation, codec.OpenConfirmation)
    assert confirmation.sender == BALANCER_CHANNEL
    return channel_client


@pytest.mark.parametrize("step", [1, 7, PACKET_BYTES])
@pytest.mark.parametrize("server_front", FRONTS)
@pytest.mark.parametrize("client_front", FRONTS)
async def test_lines_arrive_byte_for_byte_between_any_two_fronts(
    client_front: str, server_front: str, step: int
) -> None:
    """Guards against taking a client's line, or one that is nearly a word, for a server's word."""
    to_server = b"".join(NEAR_WORDS + WORDS)
    to_client = b"".join(NEAR_WORDS)
    client, server = End(len(to_client)), End(len(to_server))
    finished = anyio.Event()

    async def script(peer: Peer) -> None:
        if server_front == "lines":
            await peer.line()
            await peer.send_line(b"UP r1")
            await server.converse(peer, to_client, step)
        else:
            channel = await ChannelPeer(peer.stream).hello()
            await channel.confirm(LARGE_WINDOW)
            await server.converse(channel, to_client, step)
        finished.set()
        await anyio.sleep_forever()

    async with harness(settings(tells_load=True)) as here:
        await here.server("s-1", script, front=server_front)
        peer = await connect(here, client_front)
        await client.converse(peer, to_server, step)
        await finished.wait()
        assert server.received == to_server and not server.requests
        assert client.received == to_client and not client.requests
        here.over = True


async def test_channel_requests_of_a_client_mean_nothing() -> None:
    """Guards against passing a client's move, bye or note on to its server, as lines or as requests."""
    got: list[bytes] = []

    async def script(peer: Peer) -> None:
        await peer.line()
        await peer.send_line(b"UP r1")
        got.append(await peer.line())
        await peer.stream.send(got[0])
        await peer.line()

    async with harness() as here:
        await here.server("s-1", script)
        client = await connect(here, "channels")
        assert isinstance(client, ChannelPeer)
        note = codec.ChannelRequest(BALANCER_CHANNEL, codec.NOTE, False, codec.uint32(7))
        move, bye = (codec.ChannelRequest(BALANCER_CHANNEL, name, False) for name in (codec.MOVE, codec.BYE))
        await client.send_messages(note, move, bye, codec.Data(BALANCER_CHANNEL, b"on\r\n"))
        assert await client.next() == codec.Data(CHANNEL, b"on\r\n")
        assert got == [b"on\r\n"]


def test_the_words_of_a_server_are_read_and_written_in_the_pages_form() -> None:
    """Guards against a note that a line client cannot read, as `LOAD 4.29497e+09`."""
    kinds = [decode_server_message(word).kind.value for word in WORDS]
    assert kinds == ["move", "bye", "bye", "note"]
    largest = decode_server_message(b"LOAD 4294967295\r\n")
    assert encode_message(type(largest)(b"", largest.kind, largest.note)) == b"LOAD 4294967295\r\n"
