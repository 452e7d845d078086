"""The channel front, over loopback sockets, with scripted clients and servers."""

from __future__ import annotations

import contextlib
from collections import Counter

import anyio
import pytest
from anyio.abc import SocketAttribute

from puffinford.fronts.channels import codec
from puffinford.fronts.channels.opening import decode_opening
from puffinford.interface import ServerState
from tests.harness import ChannelPeer, Harness, Peer, answering, echo, harness, opening, settings

pytestmark = pytest.mark.anyio


async def test_a_line_client_is_served_by_a_channel_server() -> None:
    """Opening, UP, lines both ways through small windows, a note, BYE and the close."""
    channel_opens: list[codec.ChannelOpen] = []

    async def script(peer: Peer) -> None:
        server = await ChannelPeer(peer.stream).hello()
        channel_opens.append(await server.confirm(window=4))
        number = channel_opens[0].sender
        got = b""
        while not got.endswith(b"\r\n"):
            data = await server.next()
            assert isinstance(data, codec.Data) and len(data.data) <= 4
            got += data.data
            await server.send_messages(codec.WindowAdjust(number, len(data.data)))
        await server.send_messages(codec.Data(number, got[:3]), codec.Data(number, got[3:]))
        note = codec.ChannelRequest(number, codec.NOTE, False, codec.uint32(45))
        bye = codec.ChannelRequest(number, codec.BYE, False)
        await server.send_messages(note, bye, codec.Eof(number), codec.Close(number))
        while await server.next() != codec.Close(number):
            pass

    async with harness(settings(tells_delay=True)) as here:
        await here.server("s-1", script, front="channels")
        client = await here.client(opening(figures=b"c=price-lookup,t=a,d=2000,g=5c,again=1,x"))
        assert await client.line() == b"UP r2\r\n"
        taken = decode_opening(channel_opens[0].extra)
        assert (taken.request_id, taken.key, taken.cls) == ("0a", "7f3a", "price-lookup")
        assert (taken.tenant, taken.group) == ("a", "5c")
        assert taken.wait == 1_000 and taken.came_back and ("x", None) in taken.parameters
        await client.send_line(b"M 1 hello")
        lines = [await client.line() for _ in range(4)]
        assert lines == [b"M 1 hello\r\n", b"LOAD 45\r\n", b"BYE\r\n", b"FIN"]


async def test_a_channel_client_is_served_by_a_line_server() -> None:
    first: list[bytes] = []

    async def script(peer: Peer) -> None:
        first.append(await peer.line())
        await peer.send_line(b"UP r1")
        await peer.stream.send(await peer.line() + b"MOVE\r\n")

    async with harness() as here:
        await here.server("s-1", script)
        client = await here.channel_client()
        await client.open(7, "0b")
        up = await client.next()
        assert isinstance(up, codec.OpenConfirmation) and up.recipient == 7
        assert codec.PayloadReader(up.extra).text() == "r1"
        assert first == [b"OPEN 0b 7f3a c=price-lookup,t=a,d=1000,g=5c,h=1.5\r\n"]
        await client.send_messages(codec.Data(up.sender, b"M 1\r"), codec.Data(up.sender, b"\n"))
        assert await client.next() == codec.Data(7, b"M 1\r\n")
        assert await client.next() == codec.ChannelRequest(7, codec.MOVE, False)
        assert [await client.next(), await client.next()] == [codec.Eof(7), codec.Close(7)]


async def open_all(here: Harness, client: ChannelPeer, numbers: range, cls: str) -> None:
    for number in numbers:
        await client.open(number, f"{number:x}", cls=cls)


async def test_a_server_that_dies_with_forty_channels_open() -> None:
    """Each of 20 open and 20 unanswered channels gets one answer; only idempotent requests are retried."""
    all_opened = anyio.Event()
    die = anyio.Event()
    opens: list[int] = []

    async def script(peer: Peer) -> None:
        server = await ChannelPeer(peer.stream).hello()
        for _ in range(20):
            opens.append((await server.confirm()).sender)
        for _ in range(20):
            message = await server.next()
            assert isinstance(message, codec.ChannelOpen)
            opens.append(message.sender)
        all_opened.set()
        await die.wait()
        await peer.rst()

    async with harness() as here:
        await here.server("s-1", script, front="channels")
        client = await here.channel_client()
        await open_all(here, client, range(20), "price-lookup")
        for _ in range(20):
            assert isinstance(await client.next(), codec.OpenConfirmation)
        await open_all(here, client, range(20, 30), "price-lookup")
        await open_all(here, client, range(30, 40), "payment")
        await all_opened.wait()
        assert len(opens) == len(set(opens)) == 40
        await here.server("s-2", echo)
        die.set()
        seen: Counter[tuple[str, int]] = Counter()
        for _ in range(40):
            message = await client.next()
            assert isinstance(message, codec.Close | codec.OpenConfirmation | codec.OpenFailure)
            seen[type(message).__name__, message.recipient] += 1
            if isinstance(message, codec.OpenFailure):
                assert message.reason == codec.FAILED
        expected = [("Close", n) for n in range(20)]
        expected += [("OpenConfirmation", n) for n in range(20, 30)]
        expected += [("OpenFailure", n) for n in range(30, 40)]
        assert seen == Counter(expected)


async def test_a_drain_that_arrives_while_a_channel_is_half_written() -> None:
    """The complete line is sent before MOVE, however late the client opens its window."""
    async with harness() as here:
        await here.server("s-1", answering(b"UP r1", b"0123456789", stay=True))
        client = await here.channel_client()
        await client.open(3, "0c", window=4)
        up = await client.next()
        assert isinstance(up, codec.OpenConfirmation)
        assert await client.next() == codec.Data(3, b"0123")
        here.tasks.start_soon(here.exchange.drain, 0.0, 0.0)
        while here.exchange.serving:
            await anyio.sleep(0)
        await client.send_messages(codec.WindowAdjust(up.sender, 100))
        assert await client.next() == codec.Data(3, b"456789\r\n")
        assert await client.next() == codec.ChannelRequest(3, codec.MOVE, False)
        assert [await client.next(), await client.next()] == [codec.Eof(3), codec.Close(3)]


async def test_a_drain_of_the_server_reaches_its_clients() -> None:
    async def script(peer: Peer) -> None:
        server = await ChannelPeer(peer.stream).hello()
        number = (await server.confirm()).sender
        move = codec.ChannelRequest(number, codec.MOVE, False)
        await server.send_messages(codec.Data(number, b"half "), codec.Data(number, b"done\r\n"), move)
        await server.send_messages(codec.Eof(number), codec.Close(number))
        await server.next()

    async with harness() as here:
        await here.server("s-1", script, front="channels")
        client = await here.client(opening())
        lines = [await client.line() for _ in range(4)]
        assert lines == [b"UP r2\r\n", b"half done\r\n", b"MOVE\r\n", b"FIN"]


async def test_a_deadline_closes_the_channel_on_both_sides() -> None:
    """The open is cancelled before the next attempt, and a channel that is confirmed late is closed."""
    received: list[object] = []
    finished = anyio.Event()

    async def script(peer: Peer) -> None:
        server = await ChannelPeer(peer.stream).hello()
        message = await server.next()
        assert isinstance(message, codec.ChannelOpen)
        here.clock.advance(2_000.0)
        received.append(await server.next())
        await server.send_messages(codec.OpenConfirmation(message.sender, 5, 100, 100, codec.string("late")))
        received.append(await server.next())
        finished.set()

    async with harness() as here:
        await here.server("s-1", script, front="channels")
        client = await here.channel_client()
        await client.open(1, "0d")
        answer = await client.next()
        assert isinstance(answer, codec.OpenFailure) and answer.reason == codec.RESOURCE_SHORTAGE
        await finished.wait()
        assert isinstance(received[0], codec.GlobalRequest) and received[0].name == codec.CANCEL
        assert received[1] == codec.Close(5)


@pytest.mark.parametrize(
    ("reason", "word"),
    [
        (codec.RESOURCE_SHORTAGE, b"BUSY"),
        (codec.CONNECT_FAILED, b"BUSY"),
        (codec.PROHIBITED, b"ERR"),
        (codec.UNKNOWN_TYPE, b"ERR"),
        (codec.FAILED, b"ERR"),
        (codec.TIMED_OUT, b"ERR"),
    ],
)
async def test_open_failures_become_outcomes(reason: int, word: bytes) -> None:
    """A request that may not run twice gets a retry-after only if it provably never ran."""

    async def script(peer: Peer) -> None:
        server = await ChannelPeer(peer.stream).hello()
        while isinstance(message := await server.next(), codec.ChannelOpen):
            await server.send_messages(codec.OpenFailure(message.sender, reason, "no"))

    async with harness() as here:
        await here.server("s-1", script, front="channels")
        client = await here.client(opening(figures=b"c=payment,d=2000"))
        assert (await client.line()).split()[0] == word


@pytest.mark.parametrize(
    ("lines", "cls", "reason", "words"),
    [
        ([b"BUSY"], "price-lookup", codec.RESOURCE_SHORTAGE, "retry-after="),
        ([b"ERR x"], "payment", codec.FAILED, "may have run"),
        ([b"ERR x"], "none", codec.FAILED, "unknown class"),
        ([b"BYE"], "price-lookup", codec.FAILED, "given up"),
        ([], "pay ment", codec.PROHIBITED, "a space"),
    ],
)
async def test_answers_become_open_failures(lines: list[bytes], cls: str, reason: int, words: str) -> None:
    async with harness() as here:
        await here.server("s-1", answering(*lines))
        client = await here.channel_client()
        await client.open(1, "0e", cls=cls)
        answer = await client.next()
        assert isinstance(answer, codec.OpenFailure) and answer.reason == reason
        assert words in answer.description


async def test_a_slow_channel_does_not_stall_its_neighbours() -> None:
    async with harness() as here:
        await here.server("s-1", echo)
        client = await here.channel_client()
        ups = []
        for number, window in ((1, 0), (2, 1_000)):
            await client.open(number, f"{number}", window=window)
            ups.append(await client.next())
        slow, quick = ups
        assert isinstance(slow, codec.OpenConfirmation) and isinstance(quick, codec.OpenConfirmation)
        await client.send_messages(
            codec.Data(slow.sender, b"stuck\r\n" * 1_000), codec.Data(quick.sender, b"on\r\n")
        )
        assert await client.next() == codec.Data(2, b"on\r\n")
        await client.send_messages(codec.WindowAdjust(slow.sender, 7))
        assert await client.next() == codec.Data(1, b"stuck\r\n")


MESSAGES: list[codec.Message] = [
    codec.Disconnect(2, "why", "en"),
    codec.GlobalRequest("a@b.example", True, b"more"),
    codec.ChannelOpen(codec.REQUEST_CHANNEL, 1, 2, 3, b"\x00"),
    codec.OpenConfirmation(1, 2, 3, 0xFFFFFFFF, b"r"),
    codec.OpenFailure(9, codec.TIMED_OUT, "late"),
    codec.WindowAdjust(1, 0xFFFFFFFF),
    codec.Data(1, b"x" * 300),
    codec.ExtendedData(1, 1, b""),
    codec.ChannelRequest(1, codec.NOTE, False, codec.uint32(7)),
    codec.Eof(1),
    codec.Close(1),
]


@pytest.mark.parametrize("step", [1, 7, 10_000])
def test_messages_come_out_as_they_went_in_however_the_stream_is_cut(step: int) -> None:
    packets = codec.PacketReader(banner=True)
    stream = b"welcome\r\n" + codec.VERSION.encode() + b"\r\n" + b"".join(map(codec.encode, MESSAGES))
    seen = []
    for at in range(0, len(stream), step):
        packets.feed(stream[at : at + step])
        while (payload := packets.next()) is not None:
            seen.append(codec.decode(payload))
    assert seen == MESSAGES and packets.version == codec.VERSION


def raw_message(number: int, rest: bytes = b"") -> bytes:
    return codec.encode_packet(bytes((number,)) + rest)


@pytest.mark.parametrize(
    ("bad", "reason", "why"),
    [
        (b"\x00\x00\x00\x05\x04" + bytes(8), codec.PROTOCOL_ERROR, "packet of 5 bytes"),
        (b"\x7f\xff\xff\xff\x04" + bytes(8), codec.PROTOCOL_ERROR, "packet of"),
        (b"\x00\x00\x00\x0c\x0b" + bytes(11), codec.PROTOCOL_ERROR, "padding of 11"),
        (
            raw_message(94, codec.uint32(999) + codec.string(b"x")),
            codec.PROTOCOL_ERROR,
            "unknown channel 999",
        ),
        (raw_message(94, codec.uint32(0) + codec.uint32(9)), codec.PROTOCOL_ERROR, "message too short"),
        (raw_message(96, codec.uint32(0) + b"more"), codec.PROTOCOL_ERROR, "message too long"),
        (raw_message(91, codec.uint32(0) + bytes(12)), codec.PROTOCOL_ERROR, "answer to no open"),
        (raw_message(20), codec.KEY_EXCHANGE_FAILED, "no key exchange"),
    ],
)
async def test_what_breaks_the_rules_is_disconnected_and_each_open_request_answered_once(
    bad: bytes, reason: int, why: str
) -> None:
    async def script(peer: Peer) -> None:
        if b"7f3a c=price" in await peer.line():
            await peer.send_line(b"UP r1")
        else:
            waits.set()
        await peer.line()

    waits = anyio.Event()
    async with harness() as here:
        await here.server("s-1", script)
        client = await here.channel_client()
        await client.open(1, "01")
        assert isinstance(await client.next(), codec.OpenConfirmation)
        await client.open(2, "02", cls="payment")
        await waits.wait()
        await client.stream.send(bad)
        seen: Counter[tuple[str, int]] = Counter()
        while not isinstance(message := await client.next(), codec.Disconnect):
            if not isinstance(message, codec.Eof):
                assert isinstance(message, codec.Close | codec.OpenFailure)
                seen[type(message).__name__, message.recipient] += 1
        assert message.reason == reason and why in message.description
        assert seen == Counter([("Close", 1), ("OpenFailure", 2)])


@pytest.mark.parametrize("hello", [b"GET / HTTP/1.1\r\n", b"SSH-1.5-old\r\n", b"x" * 300])
async def test_a_peer_of_another_kind_is_disconnected(hello: bytes) -> None:
    async with harness() as here:
        client = await here.channel_client()
        address = client.stream.extra(SocketAttribute.remote_address)
        stranger = ChannelPeer(await anyio.connect_tcp(*address))
        await stranger.stream.send(hello)
        assert isinstance(await stranger.next(), codec.Disconnect)
        await here.server("s-1", echo)
        await client.send_messages(codec.GlobalRequest("keepalive@example.com", True))
        assert await client.next() == codec.RequestFailure()
        await client.send_messages(codec.ChannelOpen("session", 4, 9, 9))
        answer = await client.next()
        assert isinstance(answer, codec.OpenFailure) and answer.reason == codec.UNKNOWN_TYPE


async def test_a_draining_server_takes_no_new_channels() -> None:
    async with harness(settings(drain_grace=3_000.0)) as here:
        await here.server("s-1", echo)
        here.list_server("s-1", 9, ServerState.DRAINING, front="channels")
        client = await here.channel_client()
        await client.open(1, "0f")
        answer = await client.next()
        assert isinstance(answer, codec.OpenFailure) and answer.reason == codec.RESOURCE_SHORTAGE


async def test_a_connection_that_its_server_has_forgotten_is_replaced() -> None:
    """Guards against opens without an answer until TCP times out, which make the server unreachable."""
    connections: list[anyio.Event] = []

    async def script(peer: Peer) -> None:
        server = await ChannelPeer(peer.stream).hello()
        ended = anyio.Event()
        connections.append(ended)
        await server.confirm()
        if len(connections) == 1:
            message = await server.next()
            assert isinstance(message, codec.Eof | codec.Close)
        while await server.next() not in (b"FIN", b"RST"):
            pass  # later opens are not answered
        ended.set()

    async with harness() as here:
        await here.server("s-1", script, front="channels")
        client = await here.channel_client()
        await client.open(1, "0a")
        assert isinstance(await client.next(), codec.OpenConfirmation)
        await client.send_messages(codec.Eof(0), codec.Close(0))
        here.tasks.start_soon(here.run_clock)
        answers = []
        for number in range(2, 10):
            another = await here.channel_client()
            await another.open(number, f"{number:x}")
            answers.append(type(await another.next()))
            if answers[-1] is codec.OpenConfirmation:
                break
            await here.clock.sleep(500.0)
        assert answers[-1] is codec.OpenConfirmation and len(connections) == 2
        await connections[0].wait()


async def test_an_open_that_was_never_written_is_withdrawn_and_may_be_repeated() -> None:
    """Guards against an open that a server reads late, during the next attempt, because it was queued."""
    go_on = anyio.Event()
    opened: list[str] = []

    async def script(peer: Peer) -> None:
        server = await ChannelPeer(peer.stream).hello()
        await server.confirm(window=1 << 30)
        await go_on.wait()
        while (message := await server.next()) not in (b"FIN", b"RST"):
            if isinstance(message, codec.ChannelOpen):
                opened.append("s-1")

    async def flood(client: Peer) -> None:
        with contextlib.suppress(anyio.BrokenResourceError):
            while True:
                await client.send_line(b"x" * 4_000)

    async with harness() as here:
        await here.server("s-1", script, front="channels")
        first = await here.client(opening("0a"))
        assert (await first.line()).startswith(b"UP")
        here.tasks.start_soon(flood, first)
        (multiplexer,) = here.exchange._attempts.connectors["channels"]._multiplexers.values()  # type: ignore[attr-defined]
        while not multiplexer._stream._lock.locked():
            await anyio.wait_all_tasks_blocked()
        second = await here.client(opening("0b", b"c=payment,t=a,d=2000,g=5c"))
        await here.settle()
        await here.server("s-2", echo)
        here.clock.advance(1_000.0)
        assert await second.line() == b"UP r1\r\n", "it never ran, and so may be sent to another server"
        go_on.set()
        for _ in range(20):
            await anyio.wait_all_tasks_blocked()
        assert opened == []
        here.tasks.cancel_scope.cancel()
