"""Test harness: scripted clients and servers on loopback around a real exchange and its fronts."""

from __future__ import annotations

import contextlib
import json
import os
import re
import socket
import struct
import subprocess
import sys
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any, cast

import anyio
import anyio.abc
from anyio.abc import SocketAttribute

from puffinford.core.clock import SettableClock
from puffinford.core.exchange import Exchange
from puffinford.core.values import Opening, ServerEntries, ServerEntry
from puffinford.fronts.accepting import MAX_ACCEPTS_PER_TURN, ConnectionTracker, accept_connections, bind
from puffinford.fronts.channels import codec
from puffinford.fronts.channels.client import ChannelClientHandler
from puffinford.fronts.channels.opening import encode_opening
from puffinford.fronts.channels.server import ChannelServerConnector
from puffinford.fronts.lines.client import LineClientHandler
from puffinford.fronts.lines.server import LineServerConnector
from puffinford.fronts.sockets import MAX_MGMT_DESCRIPTORS, DescriptorBudget, TcpStream
from puffinford.interface import Effect, RequestClass, Server, ServerState, Settings
from puffinford.management.admin_api import AdminApi, AdminHandler
from puffinford.management.cordons import Cordons
from puffinford.management.http import HttpCallHandler
from puffinford.standins.trace import EventKind, Trace

Handler = Callable[[anyio.abc.SocketStream], Awaitable[None]]


def settings(**fields: object) -> Settings:
    """Return settings with a safe and an unsafe request class; keywords set other fields."""
    classes = [
        RequestClass("price-lookup", 2_000.0, message_aim=60.0),
        RequestClass("payment", 2_000.0, effect=Effect.UNSAFE),
    ]
    base: dict[str, object] = {"max_retry_after": 1_500.0, "max_attempts": 4, "may_cancel": True}
    return Settings(**({"classes": classes} | base | fields))  # type: ignore[arg-type]


class Peer:
    """A scripted end of a line connection."""

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        self.stream = stream
        self._rest = b""

    async def line(self) -> bytes:
        """Return the next line, or b"FIN" or b"RST" if the connection is closed."""
        while b"\n" not in self._rest:
            try:
                self._rest += await self.stream.receive()
            except anyio.EndOfStream:
                return b"FIN"
            except anyio.BrokenResourceError:
                return b"RST"
        line, _, self._rest = self._rest.partition(b"\n")
        return line + b"\n"

    async def send_line(self, text: bytes) -> None:
        """Send a line; its end is added."""
        await self.stream.send(text + b"\r\n")

    async def fin(self) -> None:
        """Close the connection with FIN."""
        await self.stream.aclose()

    async def rst(self) -> None:
        """Close the connection with RST."""
        raw = self.stream.extra(SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        await anyio.aclose_forcefully(self.stream)


Script = Callable[[Peer], Awaitable[None]]


class ChannelPeer:
    """A scripted end of a channel connection, which reads one message at a time."""

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        self.stream = stream
        self._packets = codec.PacketReader(banner=True)

    async def hello(self) -> ChannelPeer:
        """Send the version line."""
        await self.stream.send(codec.VERSION.encode() + b"\r\n")
        return self

    async def send_messages(self, *messages: codec.Message) -> None:
        """Send the messages in one write."""
        await self.stream.send(b"".join(map(codec.encode, messages)))

    async def next(self, *, windows: bool = False) -> codec.Message | bytes:
        """Return the next message, or b"FIN" or b"RST" at the end; `windows` includes window adjustments."""
        while True:
            while (payload := self._packets.next()) is None:
                try:
                    self._packets.feed(await self.stream.receive())
                except anyio.EndOfStream:
                    return b"FIN"
                except anyio.BrokenResourceError:
                    return b"RST"
            message = codec.decode(payload)
            if windows or not isinstance(message, codec.WindowAdjust):
                return message

    async def open(
        self, number: int, request_id: str, window: int = 1_000, cls: str = "price-lookup", key: str = "7f3a"
    ) -> None:
        parameters = (("c", cls), ("t", "a"), ("d", "2000"), ("g", "5c"), ("h", "1.5"))
        extra = encode_opening(Opening.from_parameters(request_id, key, parameters), 2_000.0)
        await self.send_messages(codec.ChannelOpen(codec.REQUEST_CHANNEL, number, window, 32_768, extra))

    async def confirm(self, window: int = 1_000) -> codec.ChannelOpen:
        """Confirm the next open, with the peer's channel number at both ends."""
        message = await self.next()
        assert isinstance(message, codec.ChannelOpen)
        await self.send_messages(
            codec.OpenConfirmation(message.sender, message.sender, window, 32_768, codec.string("r2"))
        )
        return message


class StaticSource:
    """A list source that sends nothing; `refreshable` is the result of its refresh()."""

    def __init__(self) -> None:
        self.refreshable = False
        self.refresh_calls = 0

    def subscribe(self, on: bool) -> None: ...

    def fetch(self) -> None: ...

    def refresh(self) -> bool:
        self.refresh_calls += 1
        return self.refreshable


@dataclass
class Harness:
    """An exchange, its fronts and a settable clock, all stopped at the end of the `harness` block."""

    tasks: anyio.abc.TaskGroup
    clock: SettableClock
    exchange: Exchange
    tracker: ConnectionTracker
    source: StaticSource
    port: int = 0
    over: bool = False  # broken connections are expected from now on

    async def listen(self, handle: Handler) -> int:
        """Start a listener for scripted peers; return its port."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)

        async def run_handler(stream: anyio.abc.SocketStream) -> None:
            try:
                await handle(stream)
            except anyio.BrokenResourceError:
                if not self.over:
                    raise
            finally:
                await anyio.aclose_forcefully(stream)

        self.tasks.start_soon(listener.serve, run_handler)
        return int(listener.extra(SocketAttribute.local_port))

    def front(
        self,
        handle: Callable[[TcpStream], Awaitable[None]],
        tracker: ConnectionTracker | None = None,
        turn_away: Callable[[TcpStream], Awaitable[None]] | None = None,
    ) -> int:
        """Start a listener for a front; return its port."""
        listener = bind(("127.0.0.1", 0))
        arguments = (
            listener,
            handle,
            tracker or self.tracker,
            self.tasks,
            anyio.CancelScope(),
            MAX_ACCEPTS_PER_TURN,
            False,
        )
        self.tasks.start_soon(accept_connections, *arguments, turn_away)
        return int(listener.getsockname()[1])

    def management(
        self,
        lacking: Callable[[], str] = lambda: "",
        state: Path | None = None,
        extras: Mapping[str, AdminHandler] | None = None,
    ) -> int:
        """Start a management listener; return its port."""
        tracker = ConnectionTracker(self.clock, DescriptorBudget(MAX_MGMT_DESCRIPTORS + 1, 0), idle_divisor=1)
        calls = AdminApi(self.exchange, Cordons(state, self.exchange.cordon), lacking, extras)
        return self.front(HttpCallHandler(calls.answer, tracker).handle, tracker)

    async def server(
        self, ident: str, script: Callable[[Peer], Awaitable[None]], front: str = "lines"
    ) -> None:
        """Start a scripted server and list it."""

        async def handle(stream: anyio.abc.SocketStream) -> None:
            await script(Peer(stream))

        self.list_server(ident, await self.listen(handle), front=front)

    def list_server(
        self, ident: str, port: int, state: ServerState = ServerState.LIVE, front: str = "lines"
    ) -> None:
        entry = ServerEntry(Server(ident, state=state), "127.0.0.1", port, front)
        self.exchange.take_list(ServerEntries(1, False, [entry]))

    async def run_clock(self) -> None:
        """Advance the clock by 100 ms every 2 ms, until cancelled."""
        while True:
            self.clock.advance(100.0)
            await anyio.sleep(0.002)

    async def settle(self) -> None:
        """Run the event loop for some turns, so that sent data arrives."""
        for _ in range(50):
            await anyio.sleep(0)

    def channel_port(self) -> int:
        """Start a listener for the channel front; return its port."""
        return self.front(ChannelClientHandler(self.exchange, self.tracker).handle)

    async def channel_client(self) -> ChannelPeer:
        """Start a channel front and connect a client to it."""
        port = self.channel_port()
        return await ChannelPeer(await anyio.connect_tcp("127.0.0.1", port)).hello()

    async def disconnect_and_check(self) -> None:
        """Disconnect all clients, let all timeouts pass, and check that no request or count is left."""
        self.over = True
        for request in list(self.exchange._requests.values()):
            self.tasks.start_soon(request.client.abort)
        backends = self.exchange._balancer.listed_servers.backends.values()
        for _ in range(200):
            await self.settle()
            if not self.exchange._requests and not any(b.requests for b in backends):
                break
            self.clock.advance(100.0)
        left = {b.id: list(b.requests) for b in backends if b.requests}
        assert not self.exchange._requests and not left, (list(self.exchange._requests), left)
        balancer = self.exchange._balancer
        assert not balancer._tracked_requests and not balancer._groups and balancer._verifying == 0
        assert abs(balancer._load) < 1e-6

    async def client(self, first: bytes | None = None) -> Peer:
        """Connect a client to the line front, and send its first line if there is one."""
        peer = Peer(await anyio.connect_tcp("127.0.0.1", self.port))
        if first is not None:
            await peer.send_line(first)
        return peer


def opening(request_id: str = "0a", figures: bytes = b"c=price-lookup,t=a,d=2000,g=5c") -> bytes:
    """Return an OPEN line without its end."""
    return b"OPEN " + request_id.encode() + b" 7f3a " + figures


async def http_call(port: int, call: str | bytes) -> tuple[int, str]:
    """Send "METHOD PATH" or raw bytes to the management address; return status and body."""
    raw = f"{call} HTTP/1.1\r\nHost: here\r\n\r\n".encode() if isinstance(call, str) else call
    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
        await stream.send(raw)
        answer = b""
        with contextlib.suppress(anyio.EndOfStream):
            while True:
                answer += await stream.receive()
    head, _, body = answer.decode().partition("\r\n\r\n")
    return int(head.split(" ")[1]), body


def answering(*lines: bytes, rst: bool = False, stay: bool = False) -> Script:
    """Return a server script that answers an opening with these lines and closes."""

    async def script(peer: Peer) -> None:
        await peer.line()
        for line in lines:
            await peer.send_line(line)
        if stay:
            await peer.line()
        if rst:
            await peer.rst()

    return script


async def echo(peer: Peer) -> None:
    """Answer UP, then send each line back."""
    await peer.line()
    await peer.send_line(b"UP r1")
    while (line := await peer.line()) not in (b"FIN", b"RST"):
        await peer.stream.send(line)
    await peer.fin()


def discovery(asked: list[bytes], *servers: Mapping[str, object]) -> Handler:
    """Return a discovery service with this full list and no later updates; calls are appended to `asked`."""

    async def handle(stream: anyio.abc.SocketStream) -> None:
        peer = Peer(stream)
        asked.append(await peer.line())
        is_full = b"index=" not in asked[-1]
        if not is_full and b"wait=0 " not in asked[-1]:
            await peer.line()
            await anyio.sleep_forever()
        answer = {"version": 1, "full": is_full, "servers": servers if is_full else []}
        body = json.dumps(answer).encode()
        await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

    return handle


def trace_of(*entries: tuple[float, EventKind, dict[str, Any]]) -> Trace:
    """Return a trace of entries, each with its time in ms, its kind and its fields."""
    times = iter([0.0, *(at for at, _, _ in entries)])
    trace = Trace(lambda: next(times))
    for _, what, fields in entries:
        trace.add(what, **fields)
    return trace


class Program:
    """A started process of the program and its log."""

    def __init__(self, process: anyio.abc.Process) -> None:
        self.process = process
        self.log_read = b""  # all log output read so far
        self._log = b""

    async def wait_for_log(self, pattern: bytes) -> re.Match[bytes]:
        """Wait for a log line that matches, after the last one that was waited for."""
        while (found := re.search(pattern + rb".*\n", self._log)) is None:
            piece = await cast(anyio.abc.ByteReceiveStream, self.process.stderr).receive()
            self.log_read += piece
            self._log += piece
        self._log = self._log[found.end() :]
        return found

    async def port(self, front: bytes) -> int:
        return int((await self.wait_for_log(rb"event=serving .*front=" + front + rb" .*:(\d+)"))[1])


@asynccontextmanager
async def program(config: Path, *words: str, fds: Sequence[int] = (), **env: str) -> AsyncIterator[Program]:
    """Start the program; DESCRIPTORS sets its RLIMIT_NOFILE. The test stops the process itself."""
    command = [sys.executable, "-m", "puffinford", *words]
    if limit := env.pop("DESCRIPTORS", ""):
        command = ["/bin/sh", "-c", f'ulimit -n {limit}; exec "$@"', "sh", *command]
    environment = {"PATH": os.environ["PATH"], "EDGE_CONFIG": str(config), **env}
    async with await anyio.open_process(
        command, env=environment, stderr=subprocess.PIPE, pass_fds=fds
    ) as process:
        running = Program(process)
        try:
            yield running
        except BaseException:
            # Print the program's log for a failed test.
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            with anyio.CancelScope(shield=True), contextlib.suppress(anyio.EndOfStream):
                while True:
                    running.log_read += await cast(anyio.abc.ByteReceiveStream, process.stderr).receive()
            sys.stderr.write(
                f"\nlog of {process.pid}:\n{running.log_read[-4_000:].decode(errors='replace')}\n"
            )
            raise


@asynccontextmanager
async def harness(configured: Settings | None = None) -> AsyncIterator[Harness]:
    """Run an exchange and a line front, and check at the end that no request is left."""
    configured = configured or settings()
    clock = SettableClock()
    budget = DescriptorBudget()
    lines = LineServerConnector(clock, budget, configured.connect_timeout)
    channels = ChannelServerConnector(clock, budget, configured.connect_timeout)
    exchange = Exchange(configured, 1, clock, {"lines": lines, "channels": channels})
    with anyio.fail_after(20):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(channels.run)
            source = StaticSource()
            tasks.start_soon(exchange.run, source)
            await anyio.wait_all_tasks_blocked()
            here = Harness(tasks, clock, exchange, ConnectionTracker(clock, budget), source)
            clients = LineClientHandler(exchange, here.tracker)
            here.port = here.front(clients.handle, turn_away=clients.turn_away)
            yield here
            if not tasks.cancel_scope.cancel_called:
                await here.disconnect_and_check()
            tasks.cancel_scope.cancel()
