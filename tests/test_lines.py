"""The line front, the exchange and the server list, over loopback sockets."""

from __future__ import annotations

import errno
import json
import logging
import socket
from types import SimpleNamespace
from typing import Any, cast

import anyio
import anyio.abc
import anyio.lowlevel
import pytest

from puffinford.core.clock import SettableClock
from puffinford.core.delays import UnansweredLines
from puffinford.core.start_times import StartTimes
from puffinford.core.values import AttemptEnded, Opening, ServerConnector, ServerEntries, ServerEntry
from puffinford.fronts.lines import codec
from puffinford.fronts.lines.server import LineServerConnector
from puffinford.fronts.sockets import DescriptorBudget
from puffinford.interface import Result, Server
from puffinford.server_list.discovery import WATCH_WAIT_MS, DiscoveryWatch
from puffinford.server_list.entries import BadEntry, parse_server_list
from tests.harness import Peer, Script, answering, echo, harness, opening, settings

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize(
    ("ends", "how", "seen"),
    [
        ("client", "fin", b"FIN"),
        ("client", "rst", b"RST"),
        ("server", "fin", b"FIN"),
        ("server", "rst", b"RST"),
    ],
)
async def test_lines_pass_unchanged_and_an_end_passes_as_it_came(ends: str, how: str, seen: bytes) -> None:
    peers: list[Peer] = []
    connected, finished = anyio.Event(), anyio.Event()

    async def script(peer: Peer) -> None:
        peers.append(peer)
        connected.set()
        await finished.wait()

    async with harness() as here:
        await here.server("s-1", script)
        client = await here.client(opening(figures=b"c=price-lookup,t=\xe9,d=2000,x,h=1.50,y=a=b"))
        await connected.wait()
        server = peers[0]
        first = await server.line()
        assert first == b"OPEN 0a 7f3a c=price-lookup,t=\xe9,d=1000,x,h=1.50,y=a=b\r\n"
        await server.send_line(b"UP r  7")
        assert await client.line() == b"UP r  7\r\n"
        for source, sink in ((client, server), (server, client)):
            await source.stream.send(b"one \xff\r\ntw")
            await source.stream.send(b"o\r\n")
            assert [await sink.line(), await sink.line()] == [b"one \xff\r\n", b"two\r\n"]
        ender, other = (client, server) if ends == "client" else (server, client)
        await (ender.fin() if how == "fin" else ender.rst())
        assert await other.line() == seen
        finished.set()


@pytest.mark.parametrize(
    ("script", "result"),
    [
        (answering(b"BUSY"), Result.FULL),
        (answering(b"BUSY 40"), Result.FULL),
        (answering(b"ERR no"), Result.ERROR),
        (answering(b"what"), Result.ERROR),
        (answering(b"MOVE"), Result.CANCELLED),
        (answering(b"BYE"), Result.OK),
        (answering(), Result.RESET),
        (answering(rst=True), Result.RESET),
        (answering(b""), Result.ERROR),
        (answering(b"UP"), Result.ERROR),
        (answering(b"UP "), Result.ERROR),
        (None, Result.TIMEOUT),
        (None, Result.CONNECT_FAILED),
    ],
)
async def test_outcomes_follow_the_table(script: Script | None, result: Result) -> None:
    async with harness() as here:

        async def silent(peer: Peer) -> None:
            await peer.line()
            here.clock.advance(900.0)
            await peer.line()

        async def handle(stream: anyio.abc.SocketStream) -> None:
            await (script or silent)(Peer(stream))

        port = 1 if result is Result.CONNECT_FAILED else await here.listen(handle)
        first = codec.decode_command(opening() + b"\r\n")
        assert isinstance(first, Opening)
        entry = ServerEntry(Server("s"), "127.0.0.1", port)
        written: list[bool] = []
        with pytest.raises(AttemptEnded) as ended:
            await LineServerConnector(here.clock, DescriptorBudget(), 500.0).open_connection(
                entry, first, 900.0, anyio.lowlevel.checkpoint, lambda: written.append(True)
            )
        assert ended.value.result is result
        assert written == [True] * (result is not Result.CONNECT_FAILED), (
            "reported once, when all of the opening was written"
        )


@pytest.mark.parametrize(
    "first",
    [b"GET / HTTP/1.1", b"OPEN 0a", b"OPEN 0a 7f c=price-lookup,d=x", b"OPEN 0a 7f c=none,d=9", b"x" * 9_000],
)
async def test_a_bad_first_line_gets_a_plain_failing_answer(first: bytes) -> None:
    async with harness() as here:
        await here.server("s-1", echo)
        bad = await here.client(first)
        assert (await bad.line()).startswith(b"ERR ")
        assert await bad.line() == b"FIN"
        client = await here.client(b"PING")
        assert await client.line() == b"PONG\r\n"
        await client.send_line(opening())
        assert await client.line() == b"UP r1\r\n"


async def test_an_unfinished_first_line_is_ended() -> None:
    async with harness() as here:
        client = await here.client()
        await client.stream.send(b"OPEN 0a")
        here.tasks.start_soon(here.run_clock)
        assert await client.line() == b"ERR no line in time\r\n"


async def test_a_request_given_up_is_answered_at_once_with_a_retry_after(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """BUSY is sent when the last attempt ends, without waiting, and the log gives the reason."""
    async with harness() as here:
        for ident in ("s-1", "s-2"):
            await here.server(ident, answering(b"BUSY"))
        with caplog.at_level(logging.INFO, "puffinford.core.exchange"):
            client = await here.client(opening())
            word, _, wait = (await client.line()).strip().partition(b" ")
        assert word == b"BUSY" and 750 <= int(wait) <= 1_500
        assert await client.line() == b"FIN"
    (fields,) = [vars(r) for r in caplog.records if r.getMessage() == "answer"]
    assert (fields["key"], fields["answer"], fields["attempts"]) == ("7f3a", "busy", 2)
    assert fields["why"] == "every server unreachable" and fields["waited_ms"] == 0


async def test_an_attempt_is_given_up_before_the_next_starts() -> None:
    open_attempts = max_open = 0

    async def script(peer: Peer) -> None:
        nonlocal open_attempts, max_open
        await peer.line()
        open_attempts += 1
        max_open = max(max_open, open_attempts)
        here.clock.advance(1_000.0)
        await peer.line()  # until the balancer gives up
        open_attempts -= 1

    async with harness() as here:
        for ident in ("s-1", "s-2", "s-3"):
            await here.server(ident, script)
        client = await here.client(opening())
        assert (await client.line()).startswith(b"BUSY ")
        assert max_open == 1


async def test_an_exception_of_a_connector_fails_one_request() -> None:
    async def broken(*arguments: object) -> None:
        raise RuntimeError("a fault")

    async with harness() as here:
        await here.server("s-1", echo)
        client = await here.client(opening("01"))
        assert await client.line() == b"UP r1\r\n"
        original_connectors = here.exchange._attempts.connectors
        here.exchange._attempts.connectors = {
            "lines": cast(ServerConnector, SimpleNamespace(open_connection=broken))
        }
        bad = await here.client(opening("02"))
        assert [await bad.line(), await bad.line()] == [b"ERR failed\r\n", b"FIN"]
        here.exchange._attempts.connectors = original_connectors
        assert here.exchange._balancer._load == 1.0
        await client.send_line(b"on")
        assert await client.line() == b"on\r\n"


async def test_a_connection_established_before_goes_to_its_own_server() -> None:
    async with harness() as here:
        for ident in ("s-1", "s-2", "s-3"):
            await here.server(ident, echo)
        await here.server("s-9", answering(b"UP nine"))
        client = await here.client(opening(figures=b"c=price-lookup,d=2000,at=s-9"))
        assert await client.line() == b"UP nine\r\n"


async def test_notes_of_delay_turn_new_connections_away_from_a_slow_server() -> None:
    """Guards against treating delays in LOAD lines as loads, which new connections do not avoid."""

    async def slow(peer: Peer) -> None:
        await peer.line()
        await peer.send_line(b"UP slow")
        await peer.send_line(b"LOAD 45.5")
        await peer.line()

    async with harness(settings(tells_delay=True)) as here:
        await here.server("s-1", slow)
        first = await here.client(opening("01"))
        assert [await first.line(), await first.line()] == [b"UP slow\r\n", b"LOAD 45.5\r\n"]
        await here.server("s-2", echo)
        answers = []
        for number in range(2, 8):
            client = await here.client(opening(f"0{number}"))
            answers.append(await client.line())
        assert answers == [b"UP r1\r\n"] * 6


async def test_a_silent_connection_is_moved_within_seven_seconds() -> None:
    """The client may send its line 2 s after the server went silent, so 5 s after that line is too late."""

    async def script(peer: Peer) -> None:
        await peer.line()
        await peer.send_line(b"UP r1")
        await peer.line()
        line_times.append(here.clock.now())
        await peer.line()

    line_times: list[float] = []
    async with harness() as here:
        await here.server("s-1", script)
        client = await here.client(opening())
        assert await client.line() == b"UP r1\r\n"
        await client.send_line(b"M 1")
        here.tasks.start_soon(here.run_clock)
        assert await client.line() == b"MOVE\r\n"
        assert here.clock.now() - line_times[0] < 4_500.0
        assert await client.line() == b"FIN"


async def test_all_clients_of_a_server_that_vanished_are_moved_together() -> None:
    """Guards against a separate timeout for each client, which is longer for those that have sent nothing."""

    async def script(peer: Peer) -> None:
        await peer.line()
        await peer.send_line(b"UP r1")
        if await peer.line() not in (b"FIN", b"RST"):
            line_times.append(here.clock.now())
        await anyio.sleep_forever()

    line_times: list[float] = []
    async with harness() as here:
        await here.server("s-1", script)
        clients = [await here.client(opening(f"0{n}")) for n in range(4)]
        for client in clients:
            assert await client.line() == b"UP r1\r\n"
        for client in clients[:3]:
            await client.send_line(b"M 1")
        while len(line_times) < 3:
            await anyio.sleep(0)
        here.tasks.start_soon(here.run_clock)
        for client in clients:
            assert await client.line() == b"MOVE\r\n"
        assert here.clock.now() - line_times[0] < 4_500.0


async def test_a_server_that_ends_because_its_client_has_is_not_taken_for_failed() -> None:
    async with harness() as here:
        await here.server("s-1", echo)
        client = await here.client(opening())
        assert await client.line() == b"UP r1\r\n"
        await client.stream.send_eof()
        assert await client.line() == b"FIN"
        assert not here.exchange._balancer._fleet.backends["s-1"].unreachable


async def test_a_server_that_answers_fewer_lines_than_it_gets_is_not_silent() -> None:
    waiting = UnansweredLines()
    for now in range(0, 30_000, 2_000):
        waiting.sent(now)
        waiting.sent(now)
        assert waiting.answered(now + 10) is not None
        assert waiting.silence(now + 2_000) < 2_000


async def test_a_drain_moves_every_connection_and_serves_arrivals_meanwhile() -> None:
    async with harness() as here:
        await here.server("s-1", echo)
        clients = [await here.client(opening(f"0{n}")) for n in range(4)]
        assert [await c.line() for c in clients] == [b"UP r1\r\n"] * 4
        here.tasks.start_soon(here.exchange.drain, 450.0, 2_000.0)
        await anyio.wait_all_tasks_blocked()
        late = await here.client(opening("10"))
        assert await late.line() == b"UP r1\r\n"
        moves = []
        for _ in range(30):
            here.clock.advance(100.0)
            await anyio.wait_all_tasks_blocked()
            moves.append(sum(request.is_established for request in here.exchange._requests.values()))
        assert len(set(moves)) > 3, "clients were moved all at once"
        for client in [*clients, late]:
            assert [await client.line(), await client.line()] == [b"MOVE\r\n", b"FIN"]
            await client.fin()
        refused = await here.client(opening("11"))
        assert await refused.line() == b"BUSY 1500\r\n"


SERVERS = [{"id": "s-1", "addr": "127.0.0.1:9", "state": "active", "started_ms": 0}]


@pytest.mark.parametrize(
    ("body", "taken"),
    [
        (json.dumps({"version": 0, "full": False, "servers": SERVERS}), ["s-1"]),
        (json.dumps({"version": 3, "full": True, "servers": [{"id": 4}, "x", *SERVERS]}), ["s-1"]),
        ('{"version":', None),
        ("[]", None),
        ("[" * 100_000, None),
        (None, None),
    ],
)
async def test_the_watch_takes_lists_and_survives_garbage(body: str | None, taken: list[str] | None) -> None:
    """Guards against treating version 0 as no version, which replaces the watch with full requests."""
    calls: list[bytes] = []
    lists: list[ServerEntries | None] = []
    list_taken, called_again = anyio.Event(), anyio.Event()

    async def handle(stream: anyio.abc.SocketStream) -> None:
        peer = Peer(stream)
        calls.append(await peer.line())
        if len(calls) > 1 and body is not None:
            called_again.set()
            await anyio.sleep_forever()
        answer = b"nonsense" if body is None else body.encode()
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" if body is not None else b"%d"
        await stream.send(head % len(answer) + answer)

    def take(listed: ServerEntries | None) -> int | None:
        lists.append(listed)
        list_taken.set()
        return listed.version if listed else None

    async with harness() as here:
        port = await here.listen(handle)
        watch = DiscoveryWatch(("127.0.0.1", port), 0, SettableClock(), take)
        here.tasks.start_soon(watch.run)
        await anyio.wait_all_tasks_blocked()
        watch.subscribe(True)
        await list_taken.wait()
        # The first call must not wait for an update of the known list, which would delay readiness by 5 s.
        assert calls[0] == b"GET /v1/servers?index=0&wait=0 HTTP/1.1\r\n"
        if taken:
            await called_again.wait()
            assert calls[1].endswith(b"&wait=%d HTTP/1.1\r\n" % WATCH_WAIT_MS)
        first = lists[0]
        assert (first and [m.server.id for m in first.entries]) == taken


async def test_running_out_of_descriptors_is_waited_out(monkeypatch: pytest.MonkeyPatch) -> None:
    tries = 0
    accept = socket.socket.accept

    def short(listener: socket.socket) -> tuple[socket.socket, object]:
        nonlocal tries
        tries += 1
        if tries == 1:
            raise OSError(errno.EMFILE, "Too many open files")
        return accept(listener)

    monkeypatch.setattr(socket.socket, "accept", short)
    async with harness() as here:
        client = await here.client(b"PING")
        here.tasks.start_soon(here.run_clock)
        assert await client.line() == b"PONG\r\n"
        assert tries > 1


HUGE = 10**400  # an integer that JSON may hold but no float


def test_an_entry_with_a_number_beyond_all_is_rejected_by_itself() -> None:
    """Guards against an OverflowError of the conversion that stops the process."""
    field_sets: list[dict[str, Any]] = [
        {"weight": HUGE},
        {"started_ms": HUGE},
        {"cell": HUGE},
        {"cell": 1e300},
        {},
    ]
    entries = [
        {"id": f"s-{n}", "addr": "127.0.0.1:1", **bad_fields} for n, bad_fields in enumerate(field_sets)
    ]
    answer: dict[str, Any] = {"version": 1, "full": True, "servers": entries}
    rejected: list[str] = []
    listed = parse_server_list(answer, StartTimes(SettableClock()), rejected.append).entries
    assert [entry.server.id for entry in listed] == ["s-4"] and len(rejected) == 4
    for version in (HUGE, -HUGE, 1 << 63):
        with pytest.raises(BadEntry, match="version"):
            parse_server_list({**answer, "version": version}, StartTimes(SettableClock()), rejected.append)


def test_an_entry_whose_text_no_encoding_holds_is_rejected_by_itself() -> None:
    """Guards against an escaped lone surrogate, which the store cannot encode, stopping the process."""
    valid = {"id": "s-1", "addr": "127.0.0.1:1"}
    for field in ("id", "zone", "kind"):
        bad = {**valid, "id": "s-2", field: "\ud800"}
        read = json.loads(json.dumps({"version": 1, "full": True, "servers": [bad, valid]}))
        rejected: list[str] = []
        listed = parse_server_list(read, StartTimes(SettableClock()), rejected.append).entries
        assert [entry.server.id for entry in listed] == ["s-1"] and field in rejected[0]
