"""The relay's listening side: accepts connections, reads one call from each and writes its answer.

Uses sockets on the event loop's selector rather than a task and a stream for each connection: each call opens
a connection of its own, and thousands of them wait at once.
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
from puffinford.relay.wire import BAD_REQUEST, MAX_HEAD_BYTES, BadCall, Call, parse_call

log = logging.getLogger(__name__)

READ_TIMEOUT_MS = 3_000.0
WRITE_TIMEOUT_MS = 3_000.0
LISTEN_BACKLOG = 4_096
MAX_ACCEPTS_PER_TURN = 128  # accepted in a row before other events are handled
_LINGER_RESET = struct.pack("ii", 1, 0)  # makes close() send RST
_HEAD_END = b"\r\n\r\n"


class CallerState(Enum):
    """The state of a connection."""

    READING = "reading"  # the call is incomplete
    WAITING = "waiting"  # the answer is not due yet
    WRITING = "writing"  # the answer is partly written
    CLOSED = "ended"


@dataclass
class ServerLimits:
    """The connection limit of the listening side, and counters of what exceeded a limit."""

    max_connections: int
    refused: int = 0  # connections reset because of that limit
    timed_out: int = 0  # connections reset while reading the call or writing the answer


class Caller:
    """One connection; identifies its call to the decision module."""

    __slots__ = ("_buffer", "_fileno", "_loop", "_registered", "_server", "_sock", "_unsent", "state")

    def __init__(self, sock: socket.socket, server: CallServer, loop: asyncio.AbstractEventLoop) -> None:
        self._sock = sock
        self._fileno = sock.fileno()  # the selector is faster with numbers than with socket objects
        self._registered = False  # with the selector
        self._server = server
        self._loop = loop
        self._buffer = b""
        self._unsent = memoryview(b"")
        self.state = CallerState.READING

    def start(self) -> None:
        """Read what has arrived already, then register for further data."""
        self._read()
        if self.state in (CallerState.READING, CallerState.WAITING):
            self._registered = True
            self._loop.add_reader(self._fileno, self._read)

    def _read(self) -> None:
        try:
            data = self._sock.recv(MAX_HEAD_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data or self.state is not CallerState.READING:
            # The caller has disconnected, or sent data after its call.
            self.close(reset=bool(data))
            return
        self._buffer += data
        head, end, _ = self._buffer.partition(_HEAD_END)
        if end or len(self._buffer) >= MAX_HEAD_BYTES:
            self._buffer = b""
            self.state = CallerState.WAITING
            self._server.call_received(self, head + end if end else b"")

    def respond(self, data: bytes) -> None:
        """Write the response and close the connection once it is written."""
        if self.state not in (CallerState.READING, CallerState.WAITING):
            return
        self.state = CallerState.WRITING
        self._unsent = memoryview(data)
        self._write()
        if self.state is CallerState.WRITING:
            self._unregister()
            self._registered = True
            self._loop.add_writer(self._fileno, self._write)

    def _write(self) -> None:
        try:
            self._unsent = self._unsent[self._sock.send(self._unsent) :]
        except BlockingIOError:
            return
        except OSError:
            self.close()
            return
        if not self._unsent:
            self.close()

    def _unregister(self) -> None:
        if self._registered:
            self._registered = False
            self._loop.remove_reader(self._fileno)
            self._loop.remove_writer(self._fileno)

    def close(self, reset: bool = False) -> None:
        """Close the connection if it is open, with a TCP reset if `reset`."""
        if self.state is CallerState.CLOSED:
            return
        self.state = CallerState.CLOSED
        self._unsent = memoryview(b"")
        self._unregister()
        if reset:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        self._sock.close()
        self._server.connection_closed(self)


@dataclass(frozen=True, slots=True)
class _Deadline:
    """The time at which a connection is reset if it is still in `state`."""

    at: float
    caller: Caller
    state: CallerState


class CallServer:
    """Accepts callers within limits of number, bytes and time, and passes on their calls."""

    def __init__(
        self,
        clock: Clock,
        limits: ServerLimits,
        on_call: Callable[[Caller, Call], Response | None],
        on_disconnect: Callable[[Caller], None],
    ) -> None:
        """`on_call` returns the response, or None if it is passed to `respond` later. `on_disconnect` is
        called when a connection ends, for whatever reason.
        """
        self._clock = clock
        self.limits = limits
        self._on_call = on_call
        self._on_disconnect = on_disconnect
        self._reading: deque[_Deadline] = deque()
        self._writing: deque[_Deadline] = deque()
        self._callers: set[Caller] = set()
        self._listener: socket.socket | None = None
        self._accepting = False

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Start listening. Return the address with the port bound. Raises OSError."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._listener = socket.create_server(address, family=family, backlog=LISTEN_BACKLOG)
        self._listener.setblocking(False)
        self._resume_accepting()
        host, port = self._listener.getsockname()[:2]
        return host, port

    def close(self) -> None:
        """Stop listening and reset all open connections."""
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
        for caller in list(self._callers):
            caller.close(reset=True)

    def _resume_accepting(self) -> None:
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
                # For example EMFILE. Accepting resumes with the next call of `close_timed_out`.
                log.warning("accept failed", extra={"error": str(exc)})
                loop.remove_reader(self._listener)
                self._accepting = False
                return
            sock.setblocking(False)
            self._admit(Caller(sock, self, loop))

    def _admit(self, caller: Caller) -> None:
        if len(self._callers) >= self.limits.max_connections:
            self.limits.refused += 1
            caller.close(reset=True)
            return
        self._callers.add(caller)
        caller.start()
        if caller.state is CallerState.READING:
            self._reading.append(_Deadline(self._clock.now() + READ_TIMEOUT_MS, caller, CallerState.READING))

    def call_received(self, caller: Caller, head: bytes) -> None:
        """Handle a complete request head; an empty one means that the head was too long."""
        try:
            if not head:
                raise BadCall(BAD_REQUEST)
            response = self._on_call(caller, parse_call(head))
        except BadCall as exc:
            response = Response(caller, exc.response)
        if response is not None:
            self.respond(response)

    def respond(self, response: Response) -> None:
        """Write a response to its caller."""
        caller = response.caller
        assert isinstance(caller, Caller)
        caller.respond(response.data)
        if caller.state is CallerState.WRITING:
            self._writing.append(_Deadline(self._clock.now() + WRITE_TIMEOUT_MS, caller, CallerState.WRITING))

    def connection_closed(self, caller: Caller) -> None:
        """Forget a connection that was closed."""
        self._callers.discard(caller)
        self._on_disconnect(caller)

    def close_timed_out(self, now: float) -> None:
        """Reset connections whose read or write timed out, and resume accepting if that had failed."""
        for deadlines in (self._reading, self._writing):
            while deadlines and (deadlines[0].at <= now or deadlines[0].caller.state != deadlines[0].state):
                deadline = deadlines.popleft()
                if deadline.caller.state is deadline.state:
                    self.limits.timed_out += 1
                    deadline.caller.close(reset=True)
        self._resume_accepting()
