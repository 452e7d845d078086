"""A list service for many thousands of watches: the protocol of `discovery`, on plain asyncio protocols.

Calls are answered one at a time and take `service_ms` each, as by a service with one worker. A call whose
connection ends before its turn takes no time.
"""

from __future__ import annotations

import asyncio
import json
import socket
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from puffinford.standins.discovery import CALL_PATTERN, EntryRegistry
from puffinford.standins.listeners import HOST

BACKLOG = 4_096  # connections waiting to be accepted
MAX_HEAD_BYTES = 8_192  # of a request; connections with a longer head are reset


@dataclass
class CallCounts:
    """Calls and bytes at one port; bytes of the payload, without TCP and IP."""

    calls: int = 0
    bytes_received: int = 0
    bytes_sent: int = 0


@dataclass
class ListService:
    """The list, its watches and the queue of calls. Each group of callers has a port of its own."""

    service_ms: float = 0.0  # duration of a call
    registry: EntryRegistry = field(default_factory=EntryRegistry)
    counts: dict[str, CallCounts] = field(default_factory=dict)
    calls_by_second: Counter[int] = field(default_factory=Counter)
    max_queue_length: int = 0
    reset_count: int = 0  # connections that were reset
    silent: set[str] = field(default_factory=set)  # groups whose calls are taken and never answered

    def __post_init__(self) -> None:
        self._bodies: dict[int | None, bytes] = {}  # answers at the current version, by index
        self._watches: dict[Call, None] = {}  # oldest first
        self._queue: deque[Call] = deque()
        self._free_at = 0.0  # loop time at which the current call is done
        self._open_calls: set[Call] = set()
        self._servers: list[asyncio.Server] = []
        self._ports: dict[str, int] = {}

    async def open(self, groups: list[str]) -> dict[str, str]:
        """Listen on a port per group and return the addresses by group; they stay the same after `close`."""
        for group in groups:
            counts = self.counts.setdefault(group, CallCounts())
            listener = socket.socket()
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((HOST, self._ports.get(group, 0)))
            self._ports[group] = listener.getsockname()[1]
            loop = asyncio.get_running_loop()
            server = await loop.create_server(
                self._protocol_factory(group, counts), sock=listener, backlog=BACKLOG
            )
            self._servers.append(server)
        return {group: f"{HOST}:{port}" for group, port in self._ports.items()}

    def _protocol_factory(self, group: str, counts: CallCounts) -> Callable[[], asyncio.Protocol]:
        return lambda: Call(self, group, counts)

    def close(self) -> None:
        """Refuse new connections and reset open connections."""
        for server in self._servers:
            server.close()
        self._servers.clear()
        self.reset_all()

    def reset_all(self) -> None:
        """End all connections with RST, as a process that dies does."""
        self.reset_count += len(self._open_calls)
        for call in list(self._open_calls):
            call.abort()

    def put(self, ident: str, **more: object) -> int:
        """Change an entry, answer the watches and return the new version."""
        self.registry.put(ident, **more)
        self._bodies.clear()
        waiting, self._watches = self._watches, {}
        for call in waiting:
            call.stop_waiting()
            self._enqueue(call)
        return self.registry.version

    def on_open(self, call: Call) -> None:
        """Note a new connection."""
        self._open_calls.add(call)

    def on_call(self, call: Call) -> None:
        """Answer a complete call, or keep it as a watch."""
        self.calls_by_second[int(time.time())] += 1
        index = call.index
        if index is not None and index == self.registry.version and call.wait > 0.0:
            self._watches[call] = None
            call.start_waiting(lambda: self._watch_timed_out(call))
        else:
            self._enqueue(call)

    def _watch_timed_out(self, call: Call) -> None:
        if call in self._watches:
            del self._watches[call]
            self._enqueue(call)

    def on_closed(self, call: Call) -> None:
        """Forget a connection that either side has ended."""
        self._open_calls.discard(call)
        self._watches.pop(call, None)

    def _enqueue(self, call: Call) -> None:
        if call.group in self.silent:
            return
        if self.service_ms <= 0.0:
            call.answer(self._body(call.index))
            return
        self._queue.append(call)
        self.max_queue_length = max(self.max_queue_length, len(self._queue))
        if len(self._queue) == 1:
            self._serve_next()

    def _serve_next(self) -> None:
        """Start the first call in the queue whose connection is open, and drop those before it."""
        while self._queue and self._queue[0] not in self._open_calls:
            self._queue.popleft()
        if self._queue:
            loop = asyncio.get_running_loop()
            # Prevents late timers from lowering the rate: a call starts when the previous one was due to end.
            self._free_at = max(self._free_at, loop.time()) + self.service_ms / 1_000.0
            loop.call_at(self._free_at, self._finish_call)

    def _finish_call(self) -> None:
        call = self._queue.popleft()
        if call in self._open_calls:
            call.answer(self._body(call.index))
        self._serve_next()

    def _body(self, index: int | None) -> bytes:
        body = self._bodies.get(index)
        if body is None:
            text = json.dumps(self.registry.answer(index)).encode()
            body = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text)
            self._bodies[index] = body
        return body


class Call(asyncio.Protocol):
    """One connection, which carries one call."""

    __slots__ = ("_counts", "_head", "_service", "_timer", "_transport", "group", "index", "wait")

    def __init__(self, service: ListService, group: str, counts: CallCounts) -> None:
        self.group = group
        self.index: int | None = None
        self.wait = 0.0  # ms
        self._service = service
        self._counts = counts
        self._head = b""
        self._timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._service.on_open(self)

    def data_received(self, data: bytes) -> None:
        self._counts.bytes_received += len(data)
        self._head += data
        if len(self._head) > MAX_HEAD_BYTES:
            self._transport.abort()
        elif self._head.endswith(b"\r\n\r\n"):
            self._counts.calls += 1
            found = CALL_PATTERN.match(self._head)
            if found is not None and found[1]:
                self.index, self.wait = int(found[1]), float(found[2])
            self._service.on_call(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.stop_waiting()
        self._service.on_closed(self)

    def start_waiting(self, on_timeout: Callable[[], None]) -> None:
        """Call `on_timeout` after the wait of the watch, unless it is stopped before."""
        self._timer = asyncio.get_running_loop().call_later(self.wait / 1_000.0, on_timeout)

    def stop_waiting(self) -> None:
        """Cancel the timeout of the watch."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def answer(self, body: bytes) -> None:
        """Write the answer and close the connection."""
        self._counts.bytes_sent += len(body)
        self._transport.write(body)
        self._transport.close()

    def abort(self) -> None:
        """End the connection with RST."""
        sock = self._transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        self._transport.abort()
