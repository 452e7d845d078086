"""Listening sockets, accepting, and eviction of idle connections when descriptors run short.

`ConnectionTracker` limits connections without a request; `puffinford.fronts.sockets.DescriptorBudget` counts
descriptors.
"""

from __future__ import annotations

import errno
import logging
import os
import socket
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

import anyio
import anyio.abc

from puffinford.core.clock import Clock
from puffinford.core.transient_errors import LOCAL_SHORTAGE_ERRNOS
from puffinford.fronts.fair_turns import FairTurns
from puffinford.fronts.memory import MemoryBudget
from puffinford.fronts.sockets import FINAL_WRITE_TIMEOUT_MS, DescriptorBudget, TcpStream, socket_address
from puffinford.logs import RateLimitedLog

log = logging.getLogger("puffinford.fronts.sockets")  # the name that operators filter logs by
limited_log = RateLimitedLog(log)

ACCEPT_RETRY_PAUSE_MS = 50.0
MAX_ACCEPTS_PER_TURN = 16  # connections accepted before other tasks run
LISTEN_BACKLOG = 1024
IDLE_SHARE_DIVISOR = 4  # connections without a request may hold 1/4 of the descriptors
# Connections over the limit that are read and answered at a time; they use reserved descriptors.
MAX_CONCURRENT_REJECTIONS = 8
REJECTION_READ_TIMEOUT_MS = 300.0  # to read the request of a connection over the limit
# Idle connections evicted when the system is out of descriptors.
EVICTIONS_ON_SHORTAGE = 4
MAX_DEAD_CONNECTIONS_PER_TURN = 8  # already closed when accepted; then accepting pauses
SHORTAGES_BEFORE_EVICTION = 4  # consecutive failures of accept(2) after which idle connections are evicted
MAX_FINAL_ACCEPT_ATTEMPTS = 10  # to empty the accept queue of a listener that is closed
# Network errors that accept(2) reports for a connection that is already closed; the next accept may succeed.
DEAD_CONNECTION_ERRNOS = frozenset(
    (
        errno.ECONNABORTED, errno.ECONNRESET, errno.EHOSTDOWN, errno.EHOSTUNREACH, errno.ENETDOWN,
        errno.ENETUNREACH, errno.ENONET, errno.ENOPROTOOPT, errno.EOPNOTSUPP, errno.EPROTO, errno.ETIMEDOUT,
    )
)  # fmt: skip

Handler = Callable[[TcpStream], Awaitable[None]]


class ConnectionTracker:
    """Tracks open connections, and evicts those without a request, the longest idle first.

    Prevents peers that connect and send nothing, or part of a request, from holding more than
    1/`idle_divisor` of the descriptors.
    """

    def __init__(
        self, clock: Clock, budget: DescriptorBudget, idle_divisor: int = IDLE_SHARE_DIVISOR
    ) -> None:
        self.clock = clock
        self.budget = budget
        self.memory = MemoryBudget()
        self.turns = FairTurns()
        self._idle_divisor = idle_divisor
        self._evictable: dict[object, anyio.CancelScope] = {}  # the longest idle first
        self._sessions: set[Callable[[], None]] = set()  # each ends one session
        self._open_streams: set[TcpStream] = set()
        self.shutting_down = False

    @contextmanager
    def evictable_wait(self, timeout_ms: float) -> Iterator[Callable[[], None]]:
        """Cancel the block after `timeout_ms`, or earlier to free its descriptor.

        Yields a callback that marks the connection as active, to be called at each read.
        """
        token = object()
        with self.clock.limit(timeout_ms) as scope:
            self._evictable[token] = scope
            try:
                yield lambda: self._evictable.update({token: self._evictable.pop(token)})
            finally:
                del self._evictable[token]

    @contextmanager
    def track(self, stream: TcpStream) -> Iterator[None]:
        """Count `stream` as open within the block."""
        self._open_streams.add(stream)
        try:
            yield
        finally:
            self._open_streams.discard(stream)

    @property
    def is_empty(self) -> bool:
        """Whether no connection is open."""
        return not self._open_streams

    @property
    def all_answered(self) -> bool:
        """Whether every open connection has been sent its last message."""
        return all(stream.is_closing for stream in self._open_streams)

    @contextmanager
    def track_session(self, end: Callable[[], None]) -> Iterator[None]:
        """Register a connection that carries many requests; `end` closes it once they have ended."""
        self._sessions.add(end)
        try:
            yield
        finally:
            self._sessions.discard(end)

    def end_sessions(self) -> None:
        """Close each open session as soon as its requests have ended, without waiting for its peer."""
        for end in list(self._sessions):
            end()

    def evict_all(self) -> None:
        """Evict every connection without a request, and mark the process as shutting down."""
        self.shutting_down = True
        for scope in list(self._evictable.values()):
            scope.cancel()

    def ensure_capacity(self, out_of_descriptors: bool = False) -> bool:
        """Evict the longest idle connections if one more would not fit; return whether one more fits now.

        `out_of_descriptors`: the system has refused a descriptor, so connections are evicted even within the
        budget.
        """
        scopes = [scope for scope in self._evictable.values() if not scope.cancel_called]
        # Two versions of the process share the descriptors for idle connections.
        idle_divisor = self._idle_divisor * 2 if self.budget.used_elsewhere() else self._idle_divisor
        excess = len(scopes) + self.budget.lingering_count - max(1, self.budget.limit // idle_divisor) + 1
        evictions = max(
            0, excess, int(self.budget.is_full), EVICTIONS_ON_SHORTAGE if out_of_descriptors else 0
        )
        evictions -= self.budget.cut_lingering(evictions)
        for scope in scopes[:evictions]:
            scope.cancel()
        # Evicted connections close shortly; until then the new ones use reserved descriptors.
        return not self.budget.is_full or evictions <= len(scopes)


def local_address(listener: socket.socket) -> str:
    """Return the address of a listener as HOST:PORT."""
    return "{}:{}".format(*listener.getsockname()[:2])


def bind(address: tuple[str, int], *, share_port: bool = False) -> socket.socket:
    """Return a non-blocking listener; `share_port` sets SO_REUSEPORT, for another version at this address."""
    family, target = socket_address(*address)
    listener = socket.create_server(target, family=family, backlog=LISTEN_BACKLOG, reuse_port=share_port)
    listener.setblocking(False)
    return listener


def inherited_listener(descriptor: int) -> socket.socket:
    """Return a listener on the platform's listening socket.

    Raises OSError where `descriptor` is not a listening socket. The socket is shared with other processes, so
    it may be closed here but not shut down.
    """
    listener = socket.socket(fileno=os.dup(descriptor))
    try:
        if not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise OSError(errno.EINVAL, f"descriptor {descriptor} is not a listening socket")
        listener.setblocking(False)
    except OSError:
        listener.close()
        raise
    return listener


async def accept_connections(
    listener: socket.socket,
    handle: Handler,
    tracker: ConnectionTracker,
    tasks: anyio.abc.TaskGroup,
    scope: anyio.CancelScope,
    accepts_per_turn: int = MAX_ACCEPTS_PER_TURN,
    shared: bool = False,
    turn_away: Handler | None = None,
) -> None:
    """Accept until `scope` is cancelled, then close `listener`; handlers run in `tasks`.

    An exception of a handler closes only its own connection. The accept queue is emptied at the end, unless
    the socket is `shared` with a process that goes on accepting. Over the connection limit, `turn_away`
    answers a few connections and the others are closed.
    """
    rejections = 0
    shortages = 0  # consecutive failures of accept(2)

    async def run_handler(stream: TcpStream, handle: Handler = handle) -> None:
        with tracker.track(stream):
            try:
                await handle(stream)
            except Exception:
                log.exception("connection failed")
            finally:
                stream.close()

    async def reject(stream: TcpStream) -> None:
        nonlocal rejections
        assert turn_away is not None
        try:
            with tracker.clock.limit(REJECTION_READ_TIMEOUT_MS + FINAL_WRITE_TIMEOUT_MS):
                await run_handler(stream, turn_away)
        finally:
            rejections -= 1
            stream.close()

    def accept_up_to(max_accepts: int) -> None:
        nonlocal rejections
        dead_connections = 0
        for _ in range(max_accepts):
            try:
                sock, _peer = listener.accept()
            except BlockingIOError:
                break
            except OSError as exc:
                dead_connections += 1
                # Prevents a busy loop over a listener whose every accept fails.
                if (
                    exc.errno not in DEAD_CONNECTION_ERRNOS
                    or dead_connections >= MAX_DEAD_CONNECTIONS_PER_TURN
                ):
                    raise
                continue
            stream = TcpStream(sock, tracker.clock, tracker.budget)
            if tracker.ensure_capacity():
                tasks.start_soon(run_handler, stream)
            else:
                limited_log.warning(
                    "connection limit reached", open=tracker.budget.used, limit=tracker.budget.limit
                )
                if turn_away is not None and rejections < MAX_CONCURRENT_REJECTIONS:
                    rejections += 1
                    tasks.start_soon(reject, stream)
                else:
                    stream.close()

    async def accept_or_pause(max_accepts: int) -> bool:
        """Accept up to `max_accepts` connections; after a failure, pause and return False."""
        nonlocal shortages
        try:
            accept_up_to(max_accepts)
        except OSError as exc:
            # A later accept may succeed. A brief shortage elsewhere on the host evicts nothing.
            log.warning("accept failed", extra={"error": str(exc)})
            shortages += 1
            is_persistent = exc.errno in LOCAL_SHORTAGE_ERRNOS and shortages >= SHORTAGES_BEFORE_EVICTION
            tracker.ensure_capacity(out_of_descriptors=exc.errno == errno.EMFILE or is_persistent)
            await tracker.clock.sleep(ACCEPT_RETRY_PAUSE_MS)
            return False
        shortages = 0
        return True

    try:
        with scope:
            while True:
                await anyio.wait_readable(listener)
                await accept_or_pause(accepts_per_turn)
        if not shared:
            # Closing the listener would reset the connections in its accept queue.
            for _ in range(MAX_FINAL_ACCEPT_ATTEMPTS):
                if await accept_or_pause(LISTEN_BACKLOG):
                    break
    finally:
        anyio.notify_closing(listener)
        listener.close()
