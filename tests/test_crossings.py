"""Races between two events in one turn of the event loop, in both orders, over loopback sockets.

A gate holds an attempt between its connection and its first byte, or the other event follows a server's
answer by a number of turns. Every test checks that nothing is left: see `Harness.disconnect_and_check`.
"""

from __future__ import annotations

import contextlib
import json
import signal
import socket
import struct
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import anyio.abc
import pytest

from puffinford.core.values import ConnectionBroken, Opening
from puffinford.fronts.channels import codec
from puffinford.fronts.channels.multiplexer import IDLE_TIMEOUT_MS
from puffinford.fronts.channels.opening import encode_opening
from puffinford.fronts.channels.server import ChannelServerConnector
from puffinford.fronts.lines.client import FIRST_LINE_TIMEOUT_MS, PING_IDLE_TIMEOUT_MS
from puffinford.fronts.lines.server import LineServerConnector
from puffinford.interface import Effect, RequestClass, ServerState
from tests.harness import ChannelPeer, Harness, Peer, discovery, echo, harness, opening, program, settings

pytestmark = pytest.mark.anyio
PAYMENT = b"c=payment,t=a,d=2000,g=5c"


class SyncClient:
    """A client that makes system calls without turns of the event loop between them."""

    def __init__(self, port: int) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port))

    def send_bytes(self, data: bytes) -> None:
        self.sock.sendall(data)

    def fin(self) -> None:
        self.sock.shutdown(socket.SHUT_WR)

    def rst(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()

    async def read_all(self) -> bytes:
        """Return all input, followed by b"RST" if the connection is reset."""
        self.sock.setblocking(False)
        seen = b""
        while True:
            try:
                piece = self.sock.recv(65_536)
            except BlockingIOError:
                await anyio.wait_readable(self.sock)
            except ConnectionError:
                return seen + b"RST"
            else:
                if not piece:
                    return seen
                seen += piece


def channel_hello(request_id: str, number: int = 7) -> bytes:
    """Return a channel client's version line and open."""
    parameters = (("c", "price-lookup"), ("t", "a"), ("d", "2000"), ("g", "5c"))
    extra = encode_opening(Opening.from_parameters(request_id, "7f3a", parameters), 2_000.0)
    message = codec.ChannelOpen(codec.REQUEST_CHANNEL, number, 1_000, 32_768, extra)
    return codec.VERSION.encode() + b"\r\n" + codec.encode(message)


@dataclass
class ScriptedServers:
    """Scripted servers, with their connections and openings."""

    connection_count: int = 0
    openings: list[str] = field(default_factory=list)

    async def lines(self, ident: str, peer: Peer) -> None:
        self.connection_count += 1
        if (await peer.line()).startswith(b"OPEN"):
            self.openings.append(ident)
            await peer.send_line(b"UP " + ident.encode())
            await peer.line()

    async def channels(self, ident: str, peer: Peer) -> None:
        self.connection_count += 1
        server = await ChannelPeer(peer.stream).hello()
        with contextlib.suppress(AssertionError, anyio.BrokenResourceError):
            await server.confirm()
            self.openings.append(ident)
            while await server.next() not in (b"FIN", b"RST"):
                pass

    async def add_servers(self, here: Harness, front: str, *idents: str) -> None:
        for ident in idents:

            async def script(peer: Peer, ident: str = ident) -> None:
                await getattr(self, front)(ident, peer)

            await here.server(ident, script, front)


class Gate:
    """Holds each attempt between its connection and its first byte."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.reached = anyio.Event()
        self.opened = anyio.Event()

        def gated(connect: Callable[..., Awaitable[object]]) -> Callable[..., Awaitable[object]]:
            async def wait(*arguments: object) -> object:
                result = await connect(*arguments)
                self.reached.set()
                await self.opened.wait()
                return result

            return wait

        monkeypatch.setattr(LineServerConnector, "_connect", gated(LineServerConnector._connect))
        monkeypatch.setattr(
            ChannelServerConnector, "_multiplexer", gated(ChannelServerConnector._multiplexer)
        )


async def run_turns(count: int) -> None:
    for _ in range(count):
        await anyio.sleep(0)


def leave(client: SyncClient, front: str, how: str) -> None:
    if how == "cancel" and front == "channels":
        client.send_bytes(codec.encode(codec.GlobalRequest(codec.CANCEL, False, codec.uint32(7))))
    elif how == "rst":
        client.rst()
    else:
        client.fin()


DEPARTURES = [
    ("lines", "fin"),
    ("lines", "rst"),
    ("channels", "cancel"),
    ("channels", "fin"),
    ("channels", "rst"),
]


@pytest.mark.parametrize("server", ["lines", "channels"])
@pytest.mark.parametrize(("front", "how"), DEPARTURES)
async def test_no_attempt_begins_for_a_client_that_has_gone(
    front: str, how: str, server: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against sending the opening when the client's FIN has arrived but has not been read."""
    gate, servers = Gate(monkeypatch), ScriptedServers()
    async with harness() as here:
        await servers.add_servers(here, server, "s-1", "s-2")
        client = SyncClient(here.port if front == "lines" else here.channel_port())
        client.send_bytes(opening() + b"\r\n" if front == "lines" else channel_hello("0a"))
        await gate.reached.wait()
        gate.opened.set()
        leave(client, front, how)
        await here.settle()
        assert servers.openings == []


@pytest.mark.parametrize("how", ["fin", "rst"])
async def test_a_client_that_left_the_accept_queue_costs_no_server_a_connection(how: str) -> None:
    """The process is suspended while the client connects, sends its request and leaves."""
    servers = ScriptedServers()
    async with harness() as here:
        await servers.add_servers(here, "lines", "s-1", "s-2")
        client = SyncClient(here.port)
        client.send_bytes(opening() + b"\r\n")
        leave(client, "lines", how)
        await here.settle()
        assert servers.connection_count == 0


@pytest.mark.parametrize("server", ["lines", "channels"])
@pytest.mark.parametrize("update", ["draining", "gone", "cordoned"])
async def test_a_list_update_while_an_attempt_connects_holds_for_its_first_byte(
    update: str, server: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A connection may take longer to establish than the drain grace."""
    gate, servers = Gate(monkeypatch), ScriptedServers()
    async with harness() as here:
        await servers.add_servers(here, server, "s-1")
        client = SyncClient(here.port)
        client.send_bytes(opening() + b"\r\n")
        await gate.reached.wait()
        await servers.add_servers(here, server, "s-2")
        if update == "cordoned":
            here.exchange.cordon(frozenset({"s-1"}))
        else:
            state = ServerState.DRAINING if update == "draining" else ServerState.GONE
            here.list_server("s-1", 1, state)
        gate.opened.set()
        while not servers.openings:
            await anyio.sleep(0)
        assert servers.openings == ["s-2"]
        client.rst()


@contextlib.contextmanager
def listening() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        yield listener


def expire_timeouts(here: Harness, client: SyncClient) -> None:
    here.clock.advance(60_000.0)


def drain(here: Harness, client: SyncClient) -> None:
    here.tasks.start_soon(here.exchange.drain, 0.0, 0.0)


def fin(here: Harness, client: SyncClient) -> None:
    client.fin()


def rst(here: Harness, client: SyncClient) -> None:
    client.rst()


def reload(here: Harness, client: SyncClient) -> None:
    here.exchange.configure(settings(max_attempts=2))


def early_line(here: Harness, client: SyncClient) -> None:
    client.send_bytes(b"M 1\r\n")


def relist(here: Harness, client: SyncClient) -> None:
    here.list_server("s-1", 1, ServerState.DRAINING)


OTHER_EVENTS: dict[str, Callable[[Harness, SyncClient], None]] = {
    "the client's FIN": fin,
    "the client's RST": rst,
    "a line of the client": early_line,
    "every time limit": expire_timeouts,
    "the drain's last moment": drain,
    "a list that drains the server": relist,
    "a reload": reload,
}


@pytest.mark.parametrize("answer", [b"UP r1\r\n", b"UP r1\r\nUP r2\r\n", b"BYE\r\n", b"BUSY\r\n", b"ERR\r\n"])
@pytest.mark.parametrize("after", [-1, 0, 1, 2, 3, 4])
@pytest.mark.parametrize("other", OTHER_EVENTS)
async def test_an_answer_and_another_event_make_one_final_answer(
    other: str, after: int, answer: bytes
) -> None:
    """The other event follows the server's answer by `after` turns, or precedes it (-1)."""
    with listening() as listener:
        async with harness() as here:
            here.list_server("s-1", listener.getsockname()[1])
            client = SyncClient(here.port)
            client.send_bytes(opening(figures=PAYMENT) + b"\r\n")
            listener.setblocking(False)
            await anyio.wait_readable(listener)
            server, _ = listener.accept()
            server.setblocking(False)
            await anyio.wait_readable(server)
            if after < 0:
                OTHER_EVENTS[other](here, client)
                server.sendall(answer)
            else:
                server.sendall(answer)
                await run_turns(after)
                OTHER_EVENTS[other](here, client)
            await here.settle()
            if other != "the client's RST":
                here.tasks.start_soon(here.run_clock)
                server.close()
                seen = await client.read_all()
                words = [line.split(b" ")[0].strip() for line in seen.removesuffix(b"RST").splitlines()]
                final = [word for word in words if word in (b"UP", b"BUSY", b"ERR", b"BYE")]
                arguments = answer.splitlines()
                # A server's answer is passed on unchanged, without an answer of the balancer's own.
                own_answers = [word for word in final if word in (b"BUSY", b"ERR")]
                assert len(own_answers) <= 1 and not (own_answers and len(final) > 1), seen
                assert final or seen.endswith(b"RST") or other == "the client's FIN", (seen, arguments)
            server.close()


@pytest.mark.parametrize("idle_ms", [FIRST_LINE_TIMEOUT_MS, PING_IDLE_TIMEOUT_MS])
async def test_a_request_that_comes_as_its_time_runs_out_is_served(idle_ms: float) -> None:
    """Guards against answering ERR to a request whose line has arrived."""
    async with harness() as here:
        await here.server("s-1", echo)
        client = SyncClient(here.port)
        if idle_ms == PING_IDLE_TIMEOUT_MS:
            client.send_bytes(b"PING\r\n")
            await here.settle()
            assert client.sock.recv(100) == b"PONG\r\n"
        await here.settle()
        client.send_bytes(opening() + b"\r\n")
        here.clock.advance(idle_ms)
        await here.settle()
        assert client.sock.recv(100) == b"UP r1\r\n"
        client.rst()


@pytest.mark.parametrize("size", [200, 1_000_000])
@pytest.mark.parametrize("answer", ["ERR", "BUSY"])
async def test_what_lies_unread_does_not_reset_the_last_answer(size: int, answer: str) -> None:
    """Guards against a RST for unread input, which fails the client's send before it reads the answer."""
    async with harness() as here:
        client = SyncClient(here.port)
        client.sock.setblocking(False)
        if answer == "BUSY":
            client.send_bytes(opening() + b"\r\n")
            await anyio.wait_readable(client.sock)  # already answered
        left = memoryview(b"x" * size)
        while left:
            try:
                left = left[client.sock.send(left) :]
            except BlockingIOError:
                await anyio.wait_writable(client.sock)
        seen = client.read_all()
        client.fin()
        received = await seen
        assert received.startswith(answer.encode()) and received.endswith(b"\r\n"), (
            "the complete line, and no reset"
        )


@pytest.mark.parametrize("sent", [False, True])
@pytest.mark.parametrize("effect", [*Effect])
async def test_a_drain_refuses_only_what_may_be_tried_again(
    effect: Effect, sent: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against BUSY, which promises that a request has not run, for requests that may have run."""
    gate = Gate(monkeypatch)
    opening_received = anyio.Event()

    async def silent(peer: Peer) -> None:
        await peer.line()
        opening_received.set()
        await peer.line()

    async with harness(
        settings(classes=[RequestClass("payment", 2_000.0, effect=effect, window=800.0)])
    ) as here:
        await here.server("s-1", silent)
        client = SyncClient(here.port)
        client.send_bytes(opening(figures=PAYMENT) + b"\r\n")
        await gate.reached.wait()
        if sent:
            gate.opened.set()
            await opening_received.wait()
        here.tasks.start_soon(here.exchange.drain, 0.0, 0.0)
        await here.settle()
        answer = client.sock.recv(100)
        assert answer.startswith(b"ERR" if sent and effect is Effect.UNSAFE else b"BUSY")


async def test_a_repeat_does_not_begin_after_its_window(monkeypatch: pytest.MonkeyPatch) -> None:
    """Servers discard repeats only within the window, and a connection may be established after it."""
    gate = Gate(monkeypatch)
    openings = 0

    async def resets(peer: Peer) -> None:
        nonlocal openings
        if (await peer.line()).startswith(b"OPEN"):
            openings += 1
            gate.reached, gate.opened = anyio.Event(), anyio.Event()  # holds the repeat
            await peer.rst()

    cls = RequestClass("payment", 2_000.0, effect=Effect.KEYED, window=800.0)
    async with harness(settings(classes=[cls])) as here:
        for ident in ("s-1", "s-2"):
            await here.server(ident, resets)
        gate.opened.set()
        client = SyncClient(here.port)
        client.send_bytes(opening(figures=PAYMENT) + b"\r\n")
        while not openings:
            await anyio.sleep(0)
        await gate.reached.wait()
        here.clock.advance(801.0)
        gate.opened.set()
        assert (await client.read_all()).startswith(b"BUSY ")
        assert openings == 1


async def test_frozen_processes_send_nothing_on_for_clients_that_left_meanwhile(tmp_path: Path) -> None:
    """Clients connect to four suspended processes and send a request; some leave before they resume."""
    seen: list[bytes] = []

    async def server(stream: anyio.abc.SocketStream) -> None:
        peer = Peer(stream)
        seen.append((await peer.line()).split(b" ")[1])
        await peer.send_line(b"UP r1")
        await peer.line()

    classes = [{"name": "price-lookup", "give_up": 2_000.0, "repeat": "idempotent"}]
    async with harness() as here, contextlib.AsyncExitStack() as running:
        address = f"127.0.0.1:{await here.listen(server)}"
        service = await here.listen(discovery([], {"id": "s-1", "addr": address}))
        config_fields = {
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{service}",
            "settings": {"classes": classes},
        }
        config = tmp_path / "config.json"
        config.write_text(json.dumps(config_fields))
        balancers = [await running.enter_async_context(program(config)) for _ in range(4)]
        ports = [await balancer.port(b"lines") for balancer in balancers]
        for balancer in balancers:
            await balancer.wait_for_log(b"server=s-1 .*list=replace")
            balancer.process.send_signal(signal.SIGSTOP)
        stay: list[SyncClient] = []
        for number, port in enumerate(ports):
            for n, how in enumerate(("fin", "rst", "stay")):
                client = SyncClient(port)
                client.send_bytes(opening(f"{number}{n}") + b"\r\n")
                stay.append(client) if how == "stay" else leave(client, "lines", how)
        for balancer in balancers:
            balancer.process.send_signal(signal.SIGCONT)
        for client in stay:
            client.sock.setblocking(False)
            await anyio.wait_readable(client.sock)
            assert client.sock.recv(100) == b"UP r1\r\n"
        assert sorted(seen) == [b"%d2" % number for number in range(4)]
        for balancer in balancers:
            balancer.process.kill()


async def test_a_channel_that_is_opened_as_its_connections_time_runs_out_is_served() -> None:
    """Guards against discarding the unread open and closing the connection as idle."""
    async with harness() as here:
        await here.server("s-1", echo)
        client = await here.channel_client()
        await here.settle()
        await client.open(1, "0a")
        here.clock.advance(IDLE_TIMEOUT_MS)
        await here.settle()
        assert isinstance(await client.next(), codec.OpenConfirmation)
        await anyio.aclose_forcefully(client.stream)


async def test_a_connection_that_both_sides_lose_at_once_is_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against each direction leaving the completion to the other, which would keep the request."""
    write = anyio.Event()

    async def script(peer: Peer) -> None:
        await peer.line()
        await peer.send_line(b"UP r1")
        await write.wait()
        await peer.send_line(b"two")
        await peer.line()

    async def lost(*arguments: object) -> None:
        raise ConnectionBroken("the peer has gone")

    async with harness() as here:
        await here.server("s-1", script)
        client = await here.client(opening())
        assert await client.line() == b"UP r1\r\n"
        (request,) = here.exchange._requests.values()
        assert request.attempt is not None and request.attempt.connection is not None
        monkeypatch.setattr(request.attempt.connection, "send", lost)
        monkeypatch.setattr(request.client, "send", lost)
        await client.send_line(b"one")
        await here.settle()
        write.set()
        await here.settle()
        assert not here.exchange._requests
        assert await client.line() == b"RST"
