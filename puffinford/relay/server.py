"""The relay's listening side: one call a connection, read by a strict reader of the little that is needed.

asyncio protocols rather than a task for each connection: some thousands wait at once.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from puffinford.core.clock import Clock
from puffinford.relay.core import Response
from puffinford.relay.wire import HEAD_MOST, BadCall, Call, read_call

log = logging.getLogger(__name__)

READ_WITHIN = 3_000.0  # ms for a call to come whole
WRITE_WITHIN = 3_000.0  # ms for its answer to be taken
BACKLOG = 4_096


@dataclass(frozen=True, slots=True)
class _Limit:
    """When a connection is cut off, unless it is further than `state` by then."""

    at: float
    caller: Caller
    state: str


@dataclass
class Limits:
    """Bounds of the listening side."""

    calls: int  # connections open at once
    refused: int = 0  # connections over that bound, reset
    slow: int = 0  # connections cut off in the midst of a call or an answer
    open: int = field(default=0)


class Caller(asyncio.Protocol):
    """One connection. It is the token by which the decisions know the call."""

    __slots__ = ("_buffer", "_server", "_transport", "state")

    def __init__(self, server: CallServer) -> None:
        self._server = server
        self._buffer = b""
        self._transport: asyncio.Transport | None = None
        self.state = "reading"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.came(self)

    def data_received(self, data: bytes) -> None:
        if self.state != "reading":
            # One call a connection: more than a head's worth of anything else ends it.
            self._server.ended_early(self)
            return
        self._buffer += data
        if b"\r\n\r\n" in self._buffer or len(self._buffer) > HEAD_MOST:
            head, self._buffer = self._buffer, b""
            self.state = "waiting"
            self._server.called(self, head)

    def connection_lost(self, exc: Exception | None) -> None:
        self.state = "gone"
        self._transport = None
        self._server.lost(self)

    def finish(self, data: bytes) -> None:
        """Write the answer; the connection ends with it."""
        if self._transport is not None and self.state != "gone":
            self.state = "writing"
            self._transport.write(data)
            self._transport.close()

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()


class CallServer:
    """Accepts callers within bounds of number, bytes and time, and hands on their calls."""

    def __init__(
        self,
        clock: Clock,
        limits: Limits,
        call: Callable[[Caller, Call], Response | None],
        left: Callable[[Caller], None],
    ) -> None:
        """`call` may answer at once, or later through `finish`. `left` hears of each connection's end."""
        self._clock = clock
        self.limits = limits
        self._call = call
        self._left = left
        self._reading: deque[_Limit] = deque()
        self._writing: deque[_Limit] = deque()
        self._callers: set[Caller] = set()
        self._listener: asyncio.Server | None = None

    async def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Listen from now on; the address, with its port. Raises OSError."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(lambda: Caller(self), *address, backlog=BACKLOG)
        host, port = self._listener.sockets[0].getsockname()[:2]
        return host, port

    def close(self) -> None:
        """Listen no more, and end all that is open."""
        if self._listener is not None:
            self._listener.close()
        for caller in list(self._callers):
            caller.abort()

    def came(self, caller: Caller) -> None:
        if len(self._callers) >= self.limits.calls:
            self.limits.refused += 1
            caller.abort()
            return
        self._callers.add(caller)
        self.limits.open = len(self._callers)
        self._reading.append(_Limit(self._clock.now() + READ_WITHIN, caller, "reading"))

    def called(self, caller: Caller, head: bytes) -> None:
        try:
            response = self._call(caller, read_call(head))
        except BadCall as exc:
            self.finish(Response(caller, exc.response))
            return
        if response is not None:
            self.finish(response)

    def finish(self, response: Response) -> None:
        """Write an answer."""
        caller = response.caller
        assert isinstance(caller, Caller)
        caller.finish(response.data)
        if caller.state == "writing":
            self._writing.append(_Limit(self._clock.now() + WRITE_WITHIN, caller, "writing"))

    def ended_early(self, caller: Caller) -> None:
        if caller.state == "waiting":
            caller.abort()

    def lost(self, caller: Caller) -> None:
        if caller in self._callers:
            self._callers.discard(caller)
            self.limits.open = len(self._callers)
            self._left(caller)

    def cut_slow(self, now: float) -> None:
        """End those that neither finish their call nor take their answer."""
        for limits in (self._reading, self._writing):
            while limits and (limits[0].at <= now or limits[0].caller.state != limits[0].state):
                limit = limits.popleft()
                if limit.caller.state == limit.state:
                    self.limits.slow += 1
                    limit.caller.abort()
