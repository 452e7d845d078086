"""A listening port that can refuse, be unreachable and come back, and streams that can break."""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
from anyio.abc import SocketAttribute, SocketStream

Play = Callable[[SocketStream], Awaitable[None]]
HOST = "127.0.0.1"


async def reset(stream: SocketStream) -> None:
    """End a connection with RST."""
    raw = stream.extra(SocketAttribute.raw_socket)
    with contextlib.suppress(OSError):
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    await anyio.aclose_forcefully(stream)


class LineStream:
    """Lines of a stream, with the two ways in which it can end."""

    FIN, RST = b"FIN", b"RST"

    def __init__(self, stream: SocketStream) -> None:
        self.stream = stream
        self._rest = b""

    async def next(self) -> bytes:
        """The next line without its end; FIN or RST where the connection ends."""
        while b"\n" not in self._rest:
            try:
                self._rest += await self.stream.receive()
            except anyio.EndOfStream:
                return self.FIN
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                return self.RST
        line, _, self._rest = self._rest.partition(b"\n")
        return line.rstrip(b"\r")

    async def send_line(self, line: bytes) -> bool:
        """Write a line; tells whether that could be done."""
        try:
            await self.stream.send(line + b"\r\n")
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return False
        return True


class ListeningPort:
    """A port of its own on loopback, for as long as `tasks` run. It starts closed, and so refuses."""

    def __init__(self, play: Play, tasks: anyio.abc.TaskGroup) -> None:
        self._play = play
        self._tasks = tasks
        self._scope: anyio.CancelScope | None = None
        self._fill: list[socket.socket] = []
        self._held = self._bound(0)  # bound and not listening: connections are refused
        self.number = int(self._held.getsockname()[1])
        self.streams: set[SocketStream] = set()

    @staticmethod
    def _bound(number: int) -> socket.socket:
        made = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        made.bind((HOST, number))
        return made

    def open(self) -> None:
        """Take connections."""
        self.close()
        self._held.listen(256)
        self._held.setblocking(False)
        self._scope = anyio.CancelScope()
        self._tasks.start_soon(self._accept, self._held, self._scope)

    def close(self) -> None:
        """Take none: they are refused. Those that are open stay."""
        if self._scope is not None:
            self._scope.cancel()
            self._scope = None
        for sock in self._fill:
            sock.close()
        self._fill.clear()
        with contextlib.suppress(OSError):
            anyio.notify_closing(self._held)
        self._held.close()
        self._held = self._bound(self.number)

    def drop_packets(self) -> None:
        """Neither take connections nor refuse them: they never come up."""
        self.close()
        self._held.listen(0)
        for _ in range(4):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex((HOST, self.number))
            self._fill.append(sock)

    async def _accept(self, listener: socket.socket, scope: anyio.CancelScope) -> None:
        # Closed before its task had its first turn, it is no descriptor any more.
        with scope, contextlib.suppress(ValueError, anyio.ClosedResourceError):
            while True:
                await anyio.wait_readable(listener)
                with contextlib.suppress(OSError):
                    while True:
                        raw, _ = listener.accept()
                        self._tasks.start_soon(self._serve, raw)

    async def _serve(self, raw: socket.socket) -> None:
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = await SocketStream.from_socket(raw)
        self.streams.add(stream)
        try:
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
                await self._play(stream)
        finally:
            self.streams.discard(stream)
            await anyio.aclose_forcefully(stream)

    async def reset_all(self) -> None:
        """End all that is open with RST, as a process that dies does."""
        for stream in list(self.streams):
            await reset(stream)
