"""What both fronts do with TCP connections, and the bounds on what a peer can make them hold.

Each bound stands here once. Bytes: a connection is read in pieces of READ_MOST, never ahead of what takes
them. Unread input: an ended connection is read on for at most LINGER and LINGER_BYTES, and at most one of
LINGER_PART of the descriptors is in that state. Descriptors: `DescriptorBudget`. Silent ones: see
`accepting`.
"""

from __future__ import annotations

import contextlib
import errno
import ipaddress
import resource
import socket
import struct
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import anyio
import anyio.abc
from anyio.lowlevel import checkpoint

from puffinford.core.clock import Clock
from puffinford.core.transient_errors import RETRY_PAUSES_MS, TRANSIENT_ERRNOS
from puffinford.core.values import ConnectionBroken, PeerClosed

LINE_MOST = 4096  # bytes of a line, its end included
LINES_TURN = 32  # lines of one connection passed on before others have their turn
READ_MOST = 16_384  # bytes taken from a connection at a time
LINGER = 800.0  # how long an ended connection waits for its peer's end; the rules allow 1 s
LINGER_BYTES = 2 << 20  # what it reads meanwhile; bad clients send a million bytes at once
LINGER_READ = 65_536  # at a time
LINGER_PART = 16  # such connections may hold this part of the descriptors, one of sixteen ...
LINGER_LEAST = 8  # ... or so many; and they give way to newcomers first
LAST_MOST = 500.0  # for a peer to take the last piece of a connection ...
LAST_LEAST = 20.0  # ... and the least, however little is left before the process closes it
CATCH_UP = 4  # turns of the loop in which what has arrived is read, before a peer counts as still there
RESERVED_DESCRIPTORS = (
    32  # descriptors for discovery, the listeners, the program's own files and a turn of accepting
)
MAX_MGMT_DESCRIPTORS = 16  # descriptors that callers of the second address may hold; no client ever gets them
MGMT_ACCEPTS_PER_TURN = 4  # of its callers accepted at a time, and held beyond those while the quietest go


class OwnLack(Exception):
    """This machine, not the other, lacks what a connection needs."""

    def __init__(self, error: int) -> None:
        super().__init__(errno.errorcode.get(error, str(error)))
        self.errno = error


def raise_descriptor_limit(told: int) -> int:
    """How many descriptors this process may hold: as told, or fewer where the system gives fewer.

    Guards all that is kept for other things than clients against a limit that no budget knows of.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if resource.RLIM_INFINITY != soft < told:
        wanted = told if hard == resource.RLIM_INFINITY else min(told, hard)
        with contextlib.suppress(OSError, ValueError):
            resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
            soft = wanted
    return told if soft == resource.RLIM_INFINITY else min(told, soft)


class DescriptorBudget:
    """A count of the sockets that are open, against a limit of which a part is kept for other things."""

    def __init__(self, limit: int = 1024, reserve: int = RESERVED_DESCRIPTORS) -> None:
        self.limit = limit
        self.reserve = reserve
        self.used = 0
        self._lingering: dict[anyio.CancelScope, None] = {}  # the one that has been at it longest first
        self.close_at = float("inf")  # on the clock, in ms: no connection is waited for any longer
        self.used_elsewhere: Callable[[], int] = int  # descriptors of another version, under the same limit
        self.on_change: Callable[[], object] = int  # hears of each socket made or closed

    def take(self) -> None:
        self.used += 1
        self.on_change()

    def give(self) -> None:
        self.used -= 1
        self.on_change()

    @property
    def full(self) -> bool:
        """Whether one more client and its server would not fit."""
        return self.used + self.used_elsewhere() + 2 > self.limit - self.reserve

    @contextmanager
    def linger(self, scope: anyio.CancelScope) -> Iterator[None]:
        """A lingering close; `scope` is cancelled where its place is needed."""
        self._lingering[scope] = None
        if not self.closing:  # else no newcomer needs the place
            self.spare(max(0, self.lingering - max(LINGER_LEAST, self.limit // LINGER_PART)))
        try:
            yield
        finally:
            self._lingering.pop(scope, None)

    @property
    def closing(self) -> bool:
        """Whether the process is to end, at `close_at`."""
        return self.close_at != float("inf")

    def patience(self, most: float, now: float) -> float:
        """How many ms a peer may take for its part of an end: `most`, or less where the process ends."""
        return min(most, max(LAST_LEAST, self.close_at - now))

    @property
    def lingering(self) -> int:
        return len(self._lingering)

    def spare(self, count: int) -> int:
        """Cut so many lingering closes short, the oldest first; how many there were to cut."""
        cut = list(self._lingering)[:count]
        for scope in cut:
            del self._lingering[scope]
            scope.cancel()
        return len(cut)


class TcpStream:
    """A TCP connection: chunks in, whole pieces out, and the ways to end it."""

    def __init__(self, sock: socket.socket, clock: Clock, budget: DescriptorBudget) -> None:
        sock.setblocking(False)
        with contextlib.suppress(OSError):  # without it small pieces are late, and no more
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock
        self.clock = clock
        self._budget = budget
        self._lock = anyio.Lock(fast_acquire=True)
        self._cut = b""  # the rest of a piece whose writing was cancelled
        self._closed = False
        self.ending = False  # its peer has been told all that it will be
        budget.take()

    async def read(self, most: int = READ_MOST) -> bytes:
        # Guards the others against a peer that sends at full speed: each piece waits its turn.
        await checkpoint()
        lacks = 0
        try:
            while True:
                try:
                    data = self._sock.recv(most)
                except BlockingIOError:
                    await anyio.wait_readable(self._sock)
                except OSError as exc:
                    lacks = await self._wait_out(exc, lacks)
                else:
                    break
        except (OSError, ValueError, anyio.ClosedResourceError) as exc:
            raise ConnectionBroken(str(exc)) from None
        if not data:
            raise PeerClosed
        return data

    async def _wait_out(self, failure: OSError, lacks: int) -> int:
        """Pause after a call that failed for a lack of the moment; `lacks` were before it, in a row.

        Tells how many there are now. Raises the failure itself where it is none, or has lasted.
        """
        if failure.errno not in TRANSIENT_ERRNOS or lacks >= len(RETRY_PAUSES_MS):
            raise failure
        await self.clock.sleep(RETRY_PAUSES_MS[lacks])
        return lacks + 1

    def read_ready(self) -> bytes:
        """What has arrived and is not read yet, without waiting; empty where that is nothing or the end."""
        try:
            return self._sock.recv(READ_MOST)
        except (OSError, ValueError):
            return b""

    async def ended(self) -> bool:
        """Whether the peer's end has arrived, read or not, once what came before it has had its readers.

        Guards a server against work for a client that has gone: where the loop is late, its FIN lies unread
        behind the timer or the answer that starts the next attempt.
        """
        for _ in range(CATCH_UP):
            try:
                if not self._sock.recv(1, socket.MSG_PEEK):
                    return True
            except BlockingIOError:
                return False
            except OSError as exc:
                return exc.errno not in TRANSIENT_ERRNOS
            except ValueError:
                return True
            await checkpoint()
        return False

    async def write(self, data: bytes) -> None:
        """Write a piece whole, never within another.

        Guards against half a line followed by another, and against a peer that is told nothing because it
        was a piece behind: the rest of a piece that was cancelled goes before the next.
        """
        try:
            async with self._lock:
                rest = memoryview(self._cut + data)
                lacks = 0
                try:
                    while rest:
                        try:
                            rest = rest[self._sock.send(rest) :]
                        except BlockingIOError:
                            await anyio.wait_writable(self._sock)
                        except OSError as exc:
                            lacks = await self._wait_out(exc, lacks)
                finally:
                    self._cut = bytes(rest)
        except (OSError, ValueError, anyio.ClosedResourceError) as exc:
            raise ConnectionBroken(str(exc)) from None

    async def end_sending(self) -> None:
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError as exc:
            raise ConnectionBroken(str(exc)) from None

    async def end(self) -> None:
        """Lingering close: FIN, read on for a moment until the peer's, close.

        Guards against the RST that a close over unread bytes sends: it would overtake the last line. Bounded
        in time, in bytes and, over all connections, in number.
        """
        self.ending = True
        try:
            held = contextlib.suppress(PeerClosed, ConnectionBroken)
            patience = self._budget.patience(LINGER, self.clock.now())
            with self.clock.limit(patience) as scope, self._budget.linger(scope), held:
                await self.end_sending()
                left = LINGER_BYTES
                while left > 0:
                    left -= len(await self.read(LINGER_READ))
        finally:
            self.read_ready()  # guards the last answer against what came since: unread it would reset
            self.close()

    async def finish(self, data: bytes) -> None:
        """Write the last piece, which a peer has LAST_MOST to take, before `end`; raises Broken."""
        taken = False
        with self.clock.limit(self._budget.patience(LAST_MOST, self.clock.now())):
            await self.write(data)
            taken = True
        if not taken:
            raise ConnectionBroken("the last piece was not taken")

    def close(self) -> None:
        if not self._closed:
            self._closed = True
            self._budget.give()
            anyio.notify_closing(self._sock)
            self._sock.close()

    def abort(self) -> None:
        """Close with RST."""
        if not self._closed:
            with contextlib.suppress(OSError):
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.close()


class LineReader:
    """Cuts a stream of bytes into lines with their ends; too long a line comes out in pieces."""

    def __init__(self) -> None:
        self._lines: deque[bytes] = deque()
        self._rest = b""

    def feed(self, chunk: bytes) -> None:
        *whole, self._rest = (self._rest + chunk).split(b"\n")
        self._lines.extend(line + b"\n" for line in whole)
        if len(self._rest) >= LINE_MOST:
            self._lines.append(self._rest)
            self._rest = b""

    def next(self) -> bytes | None:
        return self._lines.popleft() if self._lines else None

    @property
    def pending(self) -> bool:
        """Whether bytes are held that no line has taken."""
        return bool(self._lines or self._rest)

    def rest(self) -> bytes:
        """What came after the last line end; once, when the stream has ended."""
        rest, self._rest = self._rest, b""
        return rest


def socket_address(host: str, port: int) -> tuple[socket.AddressFamily, tuple[str, int]]:
    """The family and address that the system's calls want."""
    six = ipaddress.ip_address(host).version == 6
    return (socket.AF_INET6 if six else socket.AF_INET), (host, port)
