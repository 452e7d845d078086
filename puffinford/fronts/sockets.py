"""What both fronts do with TCP connections."""

from __future__ import annotations

import contextlib
import logging
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Protocol, cast

import anyio
import anyio.abc
from anyio.abc import SocketAttribute

from puffinford.core.clock import Clock
from puffinford.core.values import Broken, Ended

log = logging.getLogger(__name__)

LINE_MOST = 4096  # bytes of a line, its end included
LINGER = 800.0  # how long an ended connection waits for its peer's end; the rules allow 1 s
ACCEPT_RETRY = 50.0  # after a failed accept, as when descriptors have run out
BACKLOG = 1024


Handler = Callable[[anyio.abc.SocketStream], Awaitable[None]]


class Wire:
    """A TCP connection: chunks in, whole pieces out, and both ways to end it."""

    def __init__(self, stream: anyio.abc.SocketStream, clock: Clock) -> None:
        self._stream = stream
        self._clock = clock
        self._lock = anyio.Lock()

    async def read(self) -> bytes:
        try:
            return await self._stream.receive(65536)
        except anyio.EndOfStream:
            raise Ended from None
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as exc:
            raise Broken(str(exc)) from None

    async def write(self, data: bytes) -> None:
        """Write a piece whole, never within another."""
        try:
            async with self._lock:
                await self._stream.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as exc:
            raise Broken(str(exc)) from None

    async def end_sending(self) -> None:
        try:
            await self._stream.send_eof()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as exc:
            raise Broken(str(exc)) from None

    async def end(self) -> None:
        """FIN, wait a moment for the peer's, close.

        Guards against the RST that a close with unread bytes sends: it would overtake the last line.
        """
        try:
            with self._clock.limit(LINGER):
                await self.end_sending()
                while True:
                    await self.read()
        except (Ended, Broken):
            pass
        await self.close()

    async def close(self) -> None:
        await anyio.aclose_forcefully(self._stream)

    async def abort(self) -> None:
        """Close with RST."""
        raw = self._stream.extra(SocketAttribute.raw_socket, None)
        if raw is not None:
            with contextlib.suppress(OSError):  # closed already
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        await self.close()


class LineReader:
    """Cuts a stream of bytes into lines with their ends; too long a line comes out in pieces."""

    def __init__(self) -> None:
        self._lines: list[bytes] = []
        self._rest = b""

    def feed(self, chunk: bytes) -> None:
        *whole, self._rest = (self._rest + chunk).split(b"\n")
        self._lines.extend(line + b"\n" for line in whole)
        if len(self._rest) >= LINE_MOST:
            self._lines.append(self._rest)
            self._rest = b""

    def next(self) -> bytes | None:
        return self._lines.pop(0) if self._lines else None

    def rest(self) -> bytes:
        """What came after the last line end; once, when the stream has ended."""
        rest, self._rest = self._rest, b""
        return rest


async def connect(address: tuple[str, int]) -> anyio.abc.SocketStream | None:
    """A connection, or None where it is refused, unreachable, or out of descriptors."""
    try:
        return await anyio.connect_tcp(*address)
    except OSError as exc:
        log.info("connect failed", extra={"to": "{}:{}".format(*address), "error": str(exc)})
        return None


class Acceptor(Protocol):
    async def accept(self) -> anyio.abc.SocketStream: ...

    async def aclose(self) -> None: ...


def local_address(listener: anyio.abc.SocketListener) -> str:
    address = listener.extra(SocketAttribute.local_address)
    return f"{address[0]}:{address[1]}"


async def bind(address: tuple[str, int]) -> list[anyio.abc.SocketListener]:
    multi = await anyio.create_tcp_listener(local_host=address[0], local_port=address[1], backlog=BACKLOG)
    return [cast(anyio.abc.SocketListener, listener) for listener in multi.listeners]


async def accept_all(
    listener: Acceptor,
    handle: Handler,
    clock: Clock,
    tasks: anyio.abc.TaskGroup,
    scope: anyio.CancelScope,
) -> None:
    """Accept until `scope` is cancelled, then listen no more; what was accepted goes on in `tasks`.

    Each connection has a task of its own, whose faults stay its own.
    """

    async def guarded(stream: anyio.abc.SocketStream) -> None:
        try:
            await handle(stream)
        except Exception:
            log.exception("connection failed")
        finally:
            await anyio.aclose_forcefully(stream)

    with scope:
        while True:
            try:
                stream = await listener.accept()
            except OSError as exc:
                # Guards against running out of descriptors, and against a peer that is gone before
                # its connection is taken up: a later accept may do.
                log.warning("accept failed", extra={"error": str(exc)})
                await clock.sleep(ACCEPT_RETRY)
                continue
            tasks.start_soon(guarded, stream)
    await listener.aclose()
