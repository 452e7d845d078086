"""TCP streams and lines for both fronts, and the limits on the bytes and descriptors that a peer can hold.

Input is read in chunks of READ_CHUNK_BYTES, and only when a reader asks for it. A closed connection lingers
for at most LINGER_TIMEOUT_MS and MAX_LINGER_BYTES, and about 1/LINGER_DIVISOR of the descriptors may
linger. `DescriptorBudget` limits descriptors; `accepting` evicts idle connections.
"""

from __future__ import annotations

import contextlib
import errno
import ipaddress
import resource
import select
import socket
import struct
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import anyio
import anyio.abc
from anyio.lowlevel import checkpoint

from puffinford.core.clock import Clock
from puffinford.core.transient_errors import RETRY_PAUSES_MS, TRANSIENT_ERRNOS
from puffinford.core.values import ConnectionBroken, PeerClosed

MAX_LINE_BYTES = 4096  # including the line end
MAX_LINES_PER_TURN = 32  # lines read from one connection before other tasks run
READ_CHUNK_BYTES = 16_384
LINGER_TIMEOUT_MS = 800.0  # for the peer to close its side; the protocol allows 1 s
MAX_LINGER_BYTES = 2 << 20  # read and discarded while lingering
LINGER_CHUNK_BYTES = 65_536
LINGER_DIVISOR = 16  # lingering connections may hold 1/16 of the descriptors
MIN_LINGERING = 8  # connections that may linger even if 1/LINGER_DIVISOR of the descriptors is less
FINAL_WRITE_TIMEOUT_MS = 500.0  # for a peer to read the last message of a connection
MIN_CLOSE_TIMEOUT_MS = 20.0  # lower bound of both timeouts during shutdown
CLOSE_CHECK_TURNS = 4  # turns of the event loop for readers to consume input that precedes a FIN
# For discovery, the listeners, the process's own files and one turn of accepting.
RESERVED_DESCRIPTORS = 32
MAX_MGMT_DESCRIPTORS = 16  # for callers of the management address only
_HANG_UP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
MGMT_ACCEPTS_PER_TURN = 4  # may exceed MAX_MGMT_DESCRIPTORS until idle callers are evicted


class LocalShortage(Exception):
    """This host, not the peer, is short of a resource for a connection; `errno` gives the cause."""

    def __init__(self, error: int) -> None:
        super().__init__(errno.errorcode.get(error, str(error)))
        self.errno = error


def raise_descriptor_limit(configured: int) -> int:
    """Raise RLIMIT_NOFILE to `configured` if it is lower; return how many descriptors may be open.

    Prevents a system limit below the configured one from using up the reserved descriptors.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if resource.RLIM_INFINITY != soft < configured:
        raised = configured if hard == resource.RLIM_INFINITY else min(configured, hard)
        with contextlib.suppress(OSError, ValueError):
            resource.setrlimit(resource.RLIMIT_NOFILE, (raised, hard))
            soft = raised
    return configured if soft == resource.RLIM_INFINITY else min(configured, soft)


class DescriptorBudget:
    """Counts open sockets against a limit on descriptors, of which `reserve` are for other uses."""

    def __init__(self, limit: int = 1024, reserve: int = RESERVED_DESCRIPTORS) -> None:
        self.limit = limit
        self.reserve = reserve
        self.used = 0
        self._lingering: dict[anyio.CancelScope, None] = {}  # the oldest first
        self.close_at = float("inf")  # clock time in ms at which the process closes its connections
        self.used_elsewhere: Callable[[], int] = int  # descriptors of another version, under the same limit
        self.on_change: Callable[[], object] = int  # called when a socket is opened or closed

    def acquire(self) -> None:
        """Count one more open socket."""
        self.used += 1
        self.on_change()

    def release(self) -> None:
        """Count one fewer open socket."""
        self.used -= 1
        self.on_change()

    @property
    def is_full(self) -> bool:
        """Whether descriptors are missing for one more client and its server."""
        return self.used + self.used_elsewhere() + 2 > self.limit - self.reserve

    @contextmanager
    def linger(self, scope: anyio.CancelScope) -> Iterator[None]:
        """Register a lingering close; `scope` is cancelled when its descriptor is needed."""
        self._lingering[scope] = None
        if not self.shutting_down:  # during shutdown no new connection needs the descriptors
            self.cut_lingering(
                max(0, self.lingering_count - max(MIN_LINGERING, self.limit // LINGER_DIVISOR))
            )
        try:
            yield
        finally:
            self._lingering.pop(scope, None)

    @property
    def shutting_down(self) -> bool:
        """Whether the process closes its connections at `close_at`."""
        return self.close_at != float("inf")

    def bounded_timeout(self, timeout_ms: float, now: float) -> float:
        """Return `timeout_ms`, or less if the process closes its connections earlier."""
        return min(timeout_ms, max(MIN_CLOSE_TIMEOUT_MS, self.close_at - now))

    @property
    def lingering_count(self) -> int:
        """The number of lingering connections."""
        return len(self._lingering)

    def cut_lingering(self, count: int) -> int:
        """Cancel up to `count` lingering closes, the oldest first; return how many were cancelled."""
        oldest = list(self._lingering)[:count]
        for scope in oldest:
            del self._lingering[scope]
            scope.cancel()
        return len(oldest)


class TcpStream:
    """A non-blocking TCP connection that counts against a descriptor budget.

    Reads chunks, writes complete messages, and closes with FIN and a linger, or with RST.
    """

    def __init__(self, sock: socket.socket, clock: Clock, budget: DescriptorBudget) -> None:
        sock.setblocking(False)
        with contextlib.suppress(OSError):  # without TCP_NODELAY small writes are delayed, not lost
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock
        self.clock = clock
        self._budget = budget
        self._lock = anyio.Lock(fast_acquire=True)
        self._unsent = bytearray()  # passed to `write` and not sent yet
        self.accepted_bytes = 0  # passed to `write` since the connection was opened
        self._closed = False
        self.is_closing = False  # the peer has been sent its last message
        budget.acquire()

    async def read(self, max_bytes: int = READ_CHUNK_BYTES) -> bytes:
        """Return the next chunk; raises PeerClosed or ConnectionBroken."""
        # Prevents a peer that sends at full speed from starving other tasks.
        await checkpoint()
        shortages = 0
        try:
            while True:
                try:
                    data = self._sock.recv(max_bytes)
                except BlockingIOError:
                    await anyio.wait_readable(self._sock)
                except OSError as exc:
                    shortages = await self._pause_or_raise(exc, shortages)
                else:
                    break
        except (OSError, ValueError, anyio.ClosedResourceError) as exc:
            raise ConnectionBroken(str(exc)) from None
        if not data:
            raise PeerClosed
        return data

    async def _pause_or_raise(self, os_error: OSError, shortages: int) -> int:
        """Pause after a transient error that follows `shortages` consecutive ones; return the new count.

        Raises `os_error` if it is not transient or there were too many.
        """
        if os_error.errno not in TRANSIENT_ERRNOS or shortages >= len(RETRY_PAUSES_MS):
            raise os_error
        await self.clock.sleep(RETRY_PAUSES_MS[shortages])
        return shortages + 1

    def read_available(self) -> bytes:
        """Return unread input without waiting; empty if there is none or the peer has closed."""
        try:
            return self._sock.recv(READ_CHUNK_BYTES)
        except (OSError, ValueError):
            return b""

    async def peer_closed(self) -> bool:
        """Whether the peer's FIN or RST has arrived, read or not.

        Gives readers some turns to consume input. Prevents an attempt for a client that has left, whose FIN
        is unread because the event loop is late or much was sent before it.
        """
        for _ in range(CLOSE_CHECK_TURNS):
            try:
                if not self._sock.recv(1, socket.MSG_PEEK) or self._has_hung_up():
                    return True
            except BlockingIOError:
                return False
            except OSError as exc:
                return exc.errno not in TRANSIENT_ERRNOS
            except ValueError:
                return True
            await checkpoint()
        return False

    def _has_hung_up(self) -> bool:
        """Whether the peer's FIN or RST has arrived behind input that is still unread."""
        poller = select.poll()
        poller.register(self._sock, select.POLLRDHUP)
        return any(events & _HANG_UP_EVENTS for _, events in poller.poll(0))

    @property
    def sent_bytes(self) -> int:
        """How many of `accepted_bytes` the system has taken."""
        return self.accepted_bytes - len(self._unsent)

    async def write(self, data: bytes) -> None:
        """Write a complete message; raises ConnectionBroken.

        Prevents lost and interleaved messages: the stream keeps what a cancelled call has not sent, and sends
        it before the next message.
        """
        self._accept(data)
        shortages = 0
        try:
            async with self._lock:
                while self._unsent:
                    try:
                        self._send_some()
                    except BlockingIOError:
                        await anyio.wait_writable(self._sock)
                    except OSError as exc:
                        shortages = await self._pause_or_raise(exc, shortages)
        except (OSError, ValueError, anyio.ClosedResourceError) as exc:
            raise ConnectionBroken(str(exc)) from None

    def _accept(self, data: bytes) -> None:
        self._unsent += data
        self.accepted_bytes += len(data)

    def _send_some(self) -> None:
        """Pass unsent data to the system, as much as it takes at once; raises OSError or ValueError."""
        del self._unsent[: self._sock.send(self._unsent)]

    async def end_sending(self) -> None:
        """Send FIN; raises ConnectionBroken."""
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError as exc:
            raise ConnectionBroken(str(exc)) from None

    async def end(self) -> None:
        """Send FIN, read until the peer's FIN within limits, and close.

        Prevents the RST that closing with unread input sends, which may discard the last message at the peer.
        """
        self.is_closing = True
        try:
            suppressed = contextlib.suppress(PeerClosed, ConnectionBroken)
            timeout_ms = self._budget.bounded_timeout(LINGER_TIMEOUT_MS, self.clock.now())
            with self.clock.limit(timeout_ms) as scope, self._budget.linger(scope), suppressed:
                await self.end_sending()
                remaining_bytes = MAX_LINGER_BYTES
                while remaining_bytes > 0:
                    remaining_bytes -= len(await self.read(LINGER_CHUNK_BYTES))
        finally:
            self.read_available()  # input that arrived since would cause a RST
            self.close()

    async def finish(self, data: bytes) -> None:
        """Write the last message within FINAL_WRITE_TIMEOUT_MS, to be followed by `end`.

        What the system takes at once is sent even if the caller is cancelled or its time is over. Raises
        ConnectionBroken.
        """
        self._accept(data)
        if not self._lock.locked():
            with contextlib.suppress(OSError, ValueError):  # `write` waits, or raises it again
                self._send_some()
        with self.clock.limit(self._budget.bounded_timeout(FINAL_WRITE_TIMEOUT_MS, self.clock.now())):
            await self.write(b"")
        if self._unsent:
            raise ConnectionBroken("last message was not written in time")

    def close(self) -> None:
        """Close at once and release the descriptor."""
        if not self._closed:
            self._closed = True
            self._budget.release()
            anyio.notify_closing(self._sock)
            self._sock.close()

    def abort(self) -> None:
        """Close with RST."""
        if not self._closed:
            with contextlib.suppress(OSError):
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.close()


class LineReader:
    """Splits a stream of bytes into lines with their ends, and lines over MAX_LINE_BYTES into pieces.

    Keeps bytes and not lines, so that short lines take no more memory than long ones.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._searched = 0  # bytes of the buffer that hold no line end
        self._lines_read = 0

    def feed(self, chunk: bytes) -> None:
        """Add received bytes."""
        self._buffer += chunk

    def next(self) -> bytes | None:
        """Return the next line, or None if no line is complete."""
        size = self._buffer.find(b"\n", self._searched) + 1
        if not size:
            self._searched = len(self._buffer)
            if self._searched < MAX_LINE_BYTES:
                return None
            size = self._searched
        return self._take(size)

    async def yield_turn(self) -> None:
        """Let other tasks run after each MAX_LINES_PER_TURN lines; call it before each line is taken.

        Prevents a peer that writes thousands of lines at once from starving other tasks.
        """
        self._lines_read += 1
        if self._lines_read % MAX_LINES_PER_TURN == 0:
            await checkpoint()

    @property
    def pending(self) -> bool:
        """Whether any fed bytes have not been returned."""
        return bool(self._buffer)

    def partial_line(self) -> bytes:
        """Remove and return the bytes after the last line end, for the end of the stream."""
        return self._take(len(self._buffer))

    def _take(self, size: int) -> bytes:
        taken = bytes(self._buffer[:size])
        del self._buffer[:size]
        self._searched = 0
        return taken


def socket_address(host: str, port: int) -> tuple[socket.AddressFamily, tuple[str, int]]:
    """Return the address family and socket address of a literal IP address."""
    is_ipv6 = ipaddress.ip_address(host).version == 6
    return (socket.AF_INET6 if is_ipv6 else socket.AF_INET), (host, port)
