"""The relay's listening side: one call a connection, read by a strict reader of the little that is needed.

Sockets on the loop's selector rather than a task and a stream for each connection: some thousands wait at
once, and each call comes on a connection of its own.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import struct
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from puffinford.core.clock import Clock
from puffinford.relay.core import Response
from puffinford.relay.wire import BAD_REQUEST, HEAD_MOST, BadCall, Call, read_call

log = logging.getLogger(__name__)

READ_WITHIN = 3_000.0  # ms for a call to come whole
WRITE_WITHIN = 3_000.0  # ms for its answer to be taken
BACKLOG = 4_096
MAX_ACCEPTS_PER_TURN = 128  # connections accepted before others have a turn
_RESET = struct.pack("ii", 1, 0)
_HEAD_END = b"\r\n\r\n"


class State(Enum):
    READING = "reading"  # its call is not there yet
    WAITING = "waiting"  # for its answer
    WRITING = "writing"  # its answer, which has not been taken whole
    ENDED = "ended"


@dataclass
class Limits:
    """Bounds of the listening side, and how often they were met."""

    calls: int  # connections open at once
    refused: int = 0  # connections over that bound, reset
    slow: int = 0  # connections cut off in the midst of a call or an answer


class Caller:
    """One connection. It is the token by which the decisions know the call."""

    __slots__ = ("_buffer", "_loop", "_number", "_rest", "_server", "_sock", "_watched", "state")

    def __init__(self, sock: socket.socket, server: CallServer, loop: asyncio.AbstractEventLoop) -> None:
        self._sock = sock
        self._number = sock.fileno()  # the selector is quicker by number
        self._watched = False  # whether the selector looks at it
        self._server = server
        self._loop = loop
        self._buffer = b""
        self._rest = memoryview(b"")
        self.state = State.READING

    def start(self) -> None:
        """Read what is there already, and then what comes."""
        self._read()
        if self.state in (State.READING, State.WAITING):
            self._watched = True
            self._loop.add_reader(self._number, self._read)

    def _read(self) -> None:
        try:
            data = self._sock.recv(HEAD_MOST)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data or self.state is not State.READING:
            # The caller has gone, or says more than its one call.
            self.end(reset=bool(data))
            return
        self._buffer += data
        head, end, _ = self._buffer.partition(_HEAD_END)
        if end or len(self._buffer) >= HEAD_MOST:
            self._buffer = b""
            self.state = State.WAITING
            self._server.called(self, head + end if end else b"")

    def finish(self, data: bytes) -> None:
        """Write the answer; the connection ends with it."""
        if self.state not in (State.READING, State.WAITING):
            return
        self.state = State.WRITING
        self._rest = memoryview(data)
        self._write()
        if self.state is State.WRITING:
            self._look_away()
            self._watched = True
            self._loop.add_writer(self._number, self._write)

    def _write(self) -> None:
        try:
            self._rest = self._rest[self._sock.send(self._rest) :]
        except BlockingIOError:
            return
        except OSError:
            self.end()
            return
        if not self._rest:
            self.end()

    def _look_away(self) -> None:
        if self._watched:
            self._watched = False
            self._loop.remove_reader(self._number)
            self._loop.remove_writer(self._number)

    def end(self, reset: bool = False) -> None:
        """Close the connection, if it is open."""
        if self.state is State.ENDED:
            return
        self.state = State.ENDED
        self._rest = memoryview(b"")
        self._look_away()
        if reset:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self._sock.close()
        self._server.lost(self)


@dataclass(frozen=True, slots=True)
class _Deadline:
    """When a connection is cut off, if it is still in `state`."""

    at: float
    caller: Caller
    state: State


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
        self._reading: deque[_Deadline] = deque()
        self._writing: deque[_Deadline] = deque()
        self._callers: set[Caller] = set()
        self._listener: socket.socket | None = None
        self._accepting = False

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Listen from now on; the address, with its port. Raises OSError."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._listener = socket.create_server(address, family=family, backlog=BACKLOG)
        self._listener.setblocking(False)
        self._go_on()
        host, port = self._listener.getsockname()[:2]
        return host, port

    def close(self) -> None:
        """Listen no more, and end all that is open."""
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
        for caller in list(self._callers):
            caller.end(reset=True)

    def _go_on(self) -> None:
        if self._listener is not None and not self._accepting:
            self._accepting = True
            asyncio.get_running_loop().add_reader(self._listener, self._accept)

    def _accept(self) -> None:
        assert self._listener is not None
        loop = asyncio.get_running_loop()
        for _ in range(MAX_ACCEPTS_PER_TURN):
            try:
                sock, _peer = self._listener.accept()
            except BlockingIOError:
                return
            except OSError as exc:
                # Out of descriptors, say: it goes on with the next look at the deadlines.
                log.warning("accept failed", extra={"error": str(exc)})
                loop.remove_reader(self._listener)
                self._accepting = False
                return
            sock.setblocking(False)
            self._came(Caller(sock, self, loop))

    def _came(self, caller: Caller) -> None:
        if len(self._callers) >= self.limits.calls:
            self.limits.refused += 1
            caller.end(reset=True)
            return
        self._callers.add(caller)
        caller.start()
        if caller.state is State.READING:
            self._reading.append(_Deadline(self._clock.now() + READ_WITHIN, caller, State.READING))

    def called(self, caller: Caller, head: bytes) -> None:
        """A call is there, or (no head) what cannot become one."""
        try:
            if not head:
                raise BadCall(BAD_REQUEST)
            response = self._call(caller, read_call(head))
        except BadCall as exc:
            response = Response(caller, exc.response)
        if response is not None:
            self.finish(response)

    def finish(self, response: Response) -> None:
        """Write an answer."""
        caller = response.caller
        assert isinstance(caller, Caller)
        caller.finish(response.data)
        if caller.state is State.WRITING:
            self._writing.append(_Deadline(self._clock.now() + WRITE_WITHIN, caller, State.WRITING))

    def lost(self, caller: Caller) -> None:
        """A connection has ended."""
        self._callers.discard(caller)
        self._left(caller)

    def cut_slow(self, now: float) -> None:
        """End those that neither finish their call nor take their answer; accept again where that failed."""
        for deadlines in (self._reading, self._writing):
            while deadlines and (deadlines[0].at <= now or deadlines[0].caller.state != deadlines[0].state):
                deadline = deadlines.popleft()
                if deadline.caller.state is deadline.state:
                    self.limits.slow += 1
                    deadline.caller.end(reset=True)
        self._go_on()
