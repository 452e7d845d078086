"""Listeners, who is let in, and who gives way: the bounds on connections that have not asked for anything.

Each bound stands here once. Silent ones: `ConnectionTracker`. Descriptors:
`puffinford.fronts.sockets.DescriptorBudget`.
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
from puffinford.fronts.sockets import LAST_MOST, DescriptorBudget, TcpStream, socket_address
from puffinford.logs import RateLimitedLog

log = logging.getLogger("puffinford.fronts.sockets")  # operators find these lines by `from`
limited_log = RateLimitedLog(log)

ACCEPT_RETRY = 50.0  # after a failed accept, as when descriptors have run out
MAX_ACCEPTS_PER_TURN = 16  # connections accepted before others have their turn
BACKLOG = 1024
WAITING_PART = 4  # connections without a request may hold this part of the descriptors: one of four
TURNED_AWAY = 8  # newcomers without a place that are heard and answered at once, out of the reserve ...
TURNED_FOR = 300.0  # ... and how long their line may take
SHORT_OF = 4  # descriptors that a client and its server need at once, with room for a call beside them
GONE_MOST = 8  # such failures in one turn of accepting, after which it pauses
LACK_LASTS = 4  # accepts in a row that failed so, after which quiet connections give way
LAST_ACCEPTS = 10  # tries to take what waits at an address that is given up
# accept(2): network errors of a connection that is already gone; the next may be sound.
PEER_GONE = frozenset(
    (
        errno.ECONNABORTED, errno.ECONNRESET, errno.EHOSTDOWN, errno.EHOSTUNREACH, errno.ENETDOWN,
        errno.ENETUNREACH, errno.ENONET, errno.ENOPROTOOPT, errno.EOPNOTSUPP, errno.EPROTO, errno.ETIMEDOUT,
    )
)  # fmt: skip

Handler = Callable[[TcpStream], Awaitable[None]]


class ConnectionTracker:
    """The connections that have not asked for anything yet, the one that has been quiet longest first.

    Guards against peers that connect by the thousands and say nothing, or stop half way: together these
    hold no more than their part of the descriptors, and the quietest goes first, for a client that wants
    something says so at once, or writes on.
    """

    def __init__(self, clock: Clock, budget: DescriptorBudget, idle_divisor: int = WAITING_PART) -> None:
        self.clock = clock
        self.budget = budget
        self._part = idle_divisor
        self._waiting: dict[object, anyio.CancelScope] = {}
        self._sessions: set[anyio.CancelScope] = set()
        self._served: set[TcpStream] = set()
        self.dismissed = False  # the process ends: nobody is waited for any more

    @contextmanager
    def evictable_wait(self, ms: float) -> Iterator[Callable[[], None]]:
        """What is within is cancelled after so long, or when its place is needed.

        It calls what it is given at each sign of life from its peer.
        """
        token = object()
        with self.clock.limit(ms) as scope:
            self._waiting[token] = scope
            try:
                yield lambda: self._waiting.update({token: self._waiting.pop(token)})
            finally:
                del self._waiting[token]

    @contextmanager
    def serving(self, stream: TcpStream) -> Iterator[None]:
        """A connection that was let in, until it has ended."""
        self._served.add(stream)
        try:
            yield
        finally:
            self._served.discard(stream)

    @property
    def is_empty(self) -> bool:
        """Whether every connection that was let in has ended."""
        return not self._served

    @property
    def all_answered(self) -> bool:
        """Whether all that are still open have been told all that they will be."""
        return all(stream.ending for stream in self._served)

    @contextmanager
    def session(self, scope: anyio.CancelScope) -> Iterator[None]:
        """A connection that carries many requests, and ends in order where `scope` is cancelled."""
        self._sessions.add(scope)
        try:
            yield
        finally:
            self._sessions.discard(scope)

    def end_sessions(self) -> None:
        """End the sessions that are open, whatever their peers owe yet."""
        for scope in list(self._sessions):
            scope.cancel()

    def evict_all(self) -> None:
        """Send everybody away who has not asked: each is answered, and its connection ended."""
        self.dismissed = True
        for scope in list(self._waiting.values()):
            scope.cancel()

    def ensure_capacity(self, short: bool = False) -> bool:
        """Send the quietest away where there is no room for one more; tells whether there is room now.

        `short`: the system has refused a descriptor, whatever the budget says of them.
        """
        scopes = [scope for scope in self._waiting.values() if not scope.cancel_called]
        idle_divisor = (
            self._part * 2 if self.budget.used_elsewhere() else self._part
        )  # two versions share the part too
        crowd = len(scopes) + self.budget.lingering - max(1, self.budget.limit // idle_divisor) + 1
        going = max(0, crowd, int(self.budget.full), SHORT_OF if short else 0)
        going -= self.budget.spare(going)
        for scope in scopes[:going]:
            scope.cancel()
        # Those sent away are gone in a moment: until then the reserve holds their successors.
        return not self.budget.full or going <= len(scopes)


def local_address(listener: socket.socket) -> str:
    return "{}:{}".format(*listener.getsockname()[:2])


def bind(address: tuple[str, int], *, share_port: bool = False) -> socket.socket:
    """A listener; `share_port` another version's at the same address."""
    family, target = socket_address(*address)
    listener = socket.create_server(target, family=family, backlog=BACKLOG, reuse_port=share_port)
    listener.setblocking(False)
    return listener


def inherited_listener(descriptor: int) -> socket.socket:
    """A listener on the platform's listening socket; raises OSError where the descriptor is none.

    The socket is the same in all processes: it is closed here, and never shut down, which would end it there.
    """
    listener = socket.socket(fileno=os.dup(descriptor))
    try:
        if not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise OSError(errno.EINVAL, f"descriptor {descriptor} does not listen")
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
    turn: int = MAX_ACCEPTS_PER_TURN,
    shared: bool = False,
    turn_away: Handler | None = None,
) -> None:
    """Accept until `scope` is cancelled, then listen no more; what was accepted goes on in `tasks`.

    Each connection has a task of its own, whose faults stay its own. What waits to be accepted at the end
    is taken too, unless the socket is `shared` with a process that goes on accepting. A few newcomers that
    find no place are answered by `turn_away`, the others closed.
    """
    turned = 0
    lacks = 0  # accepts in a row that failed for what this machine lacks

    async def guarded(stream: TcpStream, handle: Handler = handle) -> None:
        with tracker.serving(stream):
            try:
                await handle(stream)
            except Exception:
                log.exception("connection failed")
            finally:
                stream.close()

    async def all_answered(stream: TcpStream) -> None:
        nonlocal turned
        assert turn_away is not None
        try:
            with tracker.clock.limit(TURNED_FOR + LAST_MOST):
                await guarded(stream, turn_away)
        finally:
            turned -= 1
            stream.close()

    def take(most: int) -> None:
        nonlocal turned
        gone = 0
        for _ in range(most):
            try:
                sock, _peer = listener.accept()
            except BlockingIOError:
                break
            except OSError as exc:
                gone += 1
                # Guards the core against a listener that fails so each time: that is no peer's doing.
                if exc.errno not in PEER_GONE or gone >= GONE_MOST:
                    raise
                continue
            stream = TcpStream(sock, tracker.clock, tracker.budget)
            if tracker.ensure_capacity():
                tasks.start_soon(guarded, stream)
            else:
                limited_log.warning(
                    "connection limit reached", open=tracker.budget.used, limit=tracker.budget.limit
                )
                if turn_away is not None and turned < TURNED_AWAY:
                    turned += 1
                    tasks.start_soon(all_answered, stream)
                else:
                    stream.close()

    async def take_or_wait(most: int) -> bool:
        """Whether so many, or all that wait, were taken."""
        nonlocal lacks
        try:
            take(most)
        except OSError as exc:
            # Guards against running out of descriptors: a later accept may do. What another process or the
            # kernel lacks for a moment sends nobody away.
            log.warning("accept failed", extra={"error": str(exc)})
            lacks += 1
            lasts = exc.errno in LOCAL_SHORTAGE_ERRNOS and lacks >= LACK_LASTS
            tracker.ensure_capacity(short=exc.errno == errno.EMFILE or lasts)
            await tracker.clock.sleep(ACCEPT_RETRY)
            return False
        lacks = 0
        return True

    try:
        with scope:
            while True:
                await anyio.wait_readable(listener)
                await take_or_wait(turn)
        if not shared:
            # Guards the clients that came in the last moment: a close would reset them.
            for _ in range(LAST_ACCEPTS):
                if await take_or_wait(BACKLOG):
                    break
    finally:
        anyio.notify_closing(listener)
        listener.close()
