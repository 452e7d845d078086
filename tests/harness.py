"""The one helper of the story tests: scripted peers on loopback round a real exchange and its fronts."""

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


def settings(**more: object) -> Settings:
    classes = [
        RequestClass("price-lookup", 2_000.0, message_aim=60.0),
        RequestClass("payment", 2_000.0, effect=Effect.UNSAFE),
    ]
    base: dict[str, object] = {"max_retry_after": 1_500.0, "max_attempts": 4, "may_cancel": True}
    return Settings(**({"classes": classes} | base | more))  # type: ignore[arg-type]


class Peer:
    """A scripted end of a line connection."""

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        self.stream = stream
        self._rest = b""

    async def line(self) -> bytes:
        """The next line; b"FIN" or b"RST" where the connection ends."""
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
        await self.stream.send(text + b"\r\n")

    async def fin(self) -> None:
        await self.stream.aclose()

    async def rst(self) -> None:
        raw = self.stream.extra(SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        await anyio.aclose_forcefully(self.stream)


Script = Callable[[Peer], Awaitable[None]]


class ChannelPeer:
    """A scripted end of a channel connection: whole messages, one at a time, in the order they come."""

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        self.stream = stream
        self._packets = codec.PacketReader(banner=True)

    async def hello(self) -> ChannelPeer:
        await self.stream.send(codec.VERSION.encode() + b"\r\n")
        return self

    async def send_messages(self, *messages: codec.Message) -> None:
        await self.stream.send(b"".join(map(codec.encode, messages)))

    async def next(self, *, windows: bool = False) -> codec.Message | bytes:
        """The next message, but for window adjustments; b"FIN" or b"RST" where the connection ends."""
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
        figures = (("c", cls), ("t", "a"), ("d", "2000"), ("g", "5c"), ("h", "1.5"))
        extra = encode_opening(Opening.from_parameters(request_id, key, figures), 2_000.0)
        await self.send_messages(codec.ChannelOpen(codec.REQUEST_CHANNEL, number, window, 32_768, extra))

    async def confirm(self, window: int = 1_000) -> codec.ChannelOpen:
        """Take the next open and let it stand, under the peer's own number."""
        message = await self.next()
        assert isinstance(message, codec.ChannelOpen)
        await self.send_messages(
            codec.OpenConfirmation(message.sender, message.sender, window, 32_768, codec.string("r2"))
        )
        return message


class NoSource:
    """A server list that never changes; where `told` is set, one that is asked and may answer."""

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
    """What a story has at hand. Everything ends with the block that opened it."""

    tasks: anyio.abc.TaskGroup
    clock: SettableClock
    exchange: Exchange
    tracker: ConnectionTracker
    source: NoSource
    port: int = 0
    over: bool = False  # the story has been told, and its clients are sent away

    async def listen(self, handle: Handler) -> int:
        """Where scripted peers listen."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)

        async def play(stream: anyio.abc.SocketStream) -> None:
            try:
                await handle(stream)
            except anyio.BrokenResourceError:
                if not self.over:
                    raise
            finally:
                await anyio.aclose_forcefully(stream)

        self.tasks.start_soon(listener.serve, play)
        return int(listener.extra(SocketAttribute.local_port))

    def front(
        self,
        handle: Callable[[TcpStream], Awaitable[None]],
        tracker: ConnectionTracker | None = None,
        turn_away: Callable[[TcpStream], Awaitable[None]] | None = None,
    ) -> int:
        """Where a front listens."""
        listener = bind(("127.0.0.1", 0))
        given = (
            listener,
            handle,
            tracker or self.tracker,
            self.tasks,
            anyio.CancelScope(),
            MAX_ACCEPTS_PER_TURN,
            False,
        )
        self.tasks.start_soon(accept_connections, *given, turn_away)
        return int(listener.getsockname()[1])

    def management(
        self,
        lacking: Callable[[], str] = lambda: "",
        state: Path | None = None,
        extras: Mapping[str, AdminHandler] | None = None,
    ) -> int:
        """Where the second address listens."""
        tracker = ConnectionTracker(self.clock, DescriptorBudget(MAX_MGMT_DESCRIPTORS + 1, 0), idle_divisor=1)
        calls = AdminApi(self.exchange, Cordons(state, self.exchange.cordon), lacking, extras)
        return self.front(HttpCallHandler(calls.answer, tracker).handle, tracker)

    async def server(
        self, ident: str, script: Callable[[Peer], Awaitable[None]], front: str = "lines"
    ) -> None:
        """A scripted server that is on the server list from now on."""

        async def handle(stream: anyio.abc.SocketStream) -> None:
            await script(Peer(stream))

        self.list_server(ident, await self.listen(handle), front=front)

    def list_server(
        self, ident: str, port: int, state: ServerState = ServerState.LIVE, front: str = "lines"
    ) -> None:
        machine = ServerEntry(Server(ident, state=state), "127.0.0.1", port, front)
        self.exchange.take_list(ServerEntries(1, False, [machine]))

    async def run_clock(self) -> None:
        """Time runs, fast, until the story is over."""
        while True:
            self.clock.advance(100.0)
            await anyio.sleep(0.002)

    async def settle(self) -> None:
        """Let all that has been sent arrive: the loop turns until nothing is left to do."""
        for _ in range(50):
            await anyio.sleep(0)

    def channel_port(self) -> int:
        """Where a channel front listens."""
        return self.front(ChannelClientHandler(self.exchange, self.tracker).handle)

    async def channel_client(self) -> ChannelPeer:
        port = self.channel_port()
        return await ChannelPeer(await anyio.connect_tcp("127.0.0.1", port)).hello()

    async def wind_down(self) -> None:
        """Every client goes and every limit passes: then no request, leg or count may be left."""
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
        peer = Peer(await anyio.connect_tcp("127.0.0.1", self.port))
        if first is not None:
            await peer.send_line(first)
        return peer


def opening(request_id: str = "0a", figures: bytes = b"c=price-lookup,t=a,d=2000,g=5c") -> bytes:
    return b"OPEN " + request_id.encode() + b" 7f3a " + figures


async def http_call(port: int, said: str | bytes) -> tuple[int, str]:
    """One call of the second address: METHOD PATH, or raw bytes; its status and text."""
    raw = f"{said} HTTP/1.1\r\nHost: here\r\n\r\n".encode() if isinstance(said, str) else said
    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
        await stream.send(raw)
        answer = b""
        with contextlib.suppress(anyio.EndOfStream):
            while True:
                answer += await stream.receive()
    head, _, body = answer.decode().partition("\r\n\r\n")
    return int(head.split(" ")[1]), body


def answering(*lines: bytes, rst: bool = False, stay: bool = False) -> Script:
    """A server that says these lines to an opening, then ends."""

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
    """A sound server: UP, then each line back."""
    await peer.line()
    await peer.send_line(b"UP r1")
    while (line := await peer.line()) not in (b"FIN", b"RST"):
        await peer.stream.send(line)
    await peer.fin()


def discovery(asked: list[bytes], *servers: Mapping[str, object]) -> Handler:
    """Discovery that names these servers when asked for the whole list, and then has no more to tell."""

    async def handle(stream: anyio.abc.SocketStream) -> None:
        peer = Peer(stream)
        asked.append(await peer.line())
        whole = b"index=" not in asked[-1]
        if not whole and b"wait=0 " not in asked[-1]:
            await peer.line()
            await anyio.sleep_forever()
        told = {"version": 1, "full": whole, "servers": servers if whole else []}
        body = json.dumps(told).encode()
        await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

    return handle


def trace_of(*entries: tuple[float, EventKind, dict[str, Any]]) -> Trace:
    """A trace of these entries, each with its time in ms, its kind and its fields."""
    times = iter([0.0, *(at for at, _, _ in entries)])
    trace = Trace(lambda: next(times))
    for _, what, more in entries:
        trace.add(what, **more)
    return trace


class Program:
    """The program as it is started, and its log."""

    def __init__(self, process: anyio.abc.Process) -> None:
        self.process = process
        self.log_read = b""  # all of its log that was read
        self._log = b""

    async def wait_for_log(self, pattern: bytes) -> re.Match[bytes]:
        """Wait for a line of the log; what stands before it is not looked at again."""
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
    """Started, with so many descriptors where DESCRIPTORS tells it; the story ends it."""
    command = [sys.executable, "-m", "puffinford", *words]
    if limit := env.pop("DESCRIPTORS", ""):
        command = ["/bin/sh", "-c", f'ulimit -n {limit}; exec "$@"', "sh", *command]
    told = {"PATH": os.environ["PATH"], "EDGE_CONFIG": str(config), **env}
    async with await anyio.open_process(command, env=told, stderr=subprocess.PIPE, pass_fds=fds) as process:
        running = Program(process)
        try:
            yield running
        except BaseException:
            # Guards whoever looks for the cause against a story that ends without the program's words.
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
async def harness(told: Settings | None = None) -> AsyncIterator[Harness]:
    told = told or settings()
    clock = SettableClock()
    budget = DescriptorBudget()
    lines = LineServerConnector(clock, budget, told.connect_timeout)
    channels = ChannelServerConnector(clock, budget, told.connect_timeout)
    exchange = Exchange(told, 1, clock, {"lines": lines, "channels": channels})
    with anyio.fail_after(20):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(channels.run)
            source = NoSource()
            tasks.start_soon(exchange.run, source)
            await anyio.wait_all_tasks_blocked()
            here = Harness(tasks, clock, exchange, ConnectionTracker(clock, budget), source)
            clients = LineClientHandler(exchange, here.tracker)
            here.port = here.front(clients.handle, turn_away=clients.turn_away)
            yield here
            if not tasks.cancel_scope.cancel_called:
                await here.wind_down()
            tasks.cancel_scope.cancel()
