"""A listening port that can refuse or drop connections and listen again, and line streams with resets."""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
from anyio.abc import SocketAttribute, SocketStream

ConnectionHandler = Callable[[SocketStream], Awaitable[None]]
HOST = "127.0.0.1"  # of every stand-in


async def reset(stream: SocketStream) -> None:
    """End a connection with RST."""
    raw = stream.extra(SocketAttribute.raw_socket)
    with contextlib.suppress(OSError):
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    await anyio.aclose_forcefully(stream)


class LineStream:
    """The lines of a stream; its end is returned as FIN or RST."""

    FIN, RST = b"FIN", b"RST"

    def __init__(self, stream: SocketStream) -> None:
        self.stream = stream
        self._buffer = b""

    async def next(self) -> bytes:
        """Return the next line without its line end; FIN or RST if the connection ends."""
        while b"\n" not in self._buffer:
            try:
                self._buffer += await self.stream.receive()
            except anyio.EndOfStream:
                return self.FIN
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                return self.RST
        line, _, self._buffer = self._buffer.partition(b"\n")
        return line.rstrip(b"\r")

    async def send_line(self, line: bytes) -> bool:
        """Write a line; False if the connection has ended."""
        try:
            await self.stream.send(line + b"\r\n")
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return False
        return True


class ListeningPort:
    """A port on loopback. It is bound at once, and refuses connections until `open` is called."""

    def __init__(self, handle: ConnectionHandler, tasks: anyio.abc.TaskGroup) -> None:
        self._handle = handle
        self._tasks = tasks
        self._scope: anyio.CancelScope | None = None
        self._backlog_fillers: list[socket.socket] = []
        self._listener = self._bind(0)  # bound and not listening: connections are refused
        self.number = int(self._listener.getsockname()[1])
        self.streams: set[SocketStream] = set()
        self._reset_count = 0

    @staticmethod
    def _bind(number: int) -> socket.socket:
        bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind((HOST, number))
        return bound

    def open(self) -> None:
        """Accept connections."""
        self.close()
        self._listener.listen(256)
        self._listener.setblocking(False)
        self._scope = anyio.CancelScope()
        self._tasks.start_soon(self._accept, self._listener, self._scope)

    def close(self) -> None:
        """Refuse new connections. Open connections stay open."""
        if self._scope is not None:
            self._scope.cancel()
            self._scope = None
        for sock in self._backlog_fillers:
            sock.close()
        self._backlog_fillers.clear()
        with contextlib.suppress(OSError):
            anyio.notify_closing(self._listener)
        self._listener.close()
        self._listener = self._bind(self.number)

    def drop_packets(self) -> None:
        """Drop the packets of new connections, which then neither open nor fail."""
        self.close()
        self._listener.listen(0)
        for _ in range(4):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex((HOST, self.number))
            self._backlog_fillers.append(sock)

    async def _accept(self, listener: socket.socket, scope: anyio.CancelScope) -> None:
        # A listener that was closed before this task first ran has no valid descriptor.
        with scope, contextlib.suppress(ValueError, anyio.ClosedResourceError):
            while True:
                await anyio.wait_readable(listener)
                with contextlib.suppress(OSError):
                    while True:
                        raw, _ = listener.accept()
                        self._tasks.start_soon(self._serve, raw, self._reset_count)

    async def _serve(self, raw: socket.socket, reset_count: int) -> None:
        """Handle a connection that was accepted when `reset_all` had been called `reset_count` times."""
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = await SocketStream.from_socket(raw)
        if self._reset_count != reset_count:
            return await reset(stream)
        self.streams.add(stream)
        try:
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
                await self._handle(stream)
        finally:
            self.streams.discard(stream)
            await anyio.aclose_forcefully(stream)

    async def reset_all(self) -> None:
        """End all connections that were accepted with RST, as a process that dies does."""
        self._reset_count += 1
        for stream in list(self.streams):
            await reset(stream)
