"""The client side of the line front: takes connections and hands their requests to the exchange."""

from __future__ import annotations

import contextlib
import logging

from puffinford.core.exchange import Exchange
from puffinford.core.values import ConnectionBroken, Failed, InvalidOpening, PeerClosed
from puffinford.fronts.accepting import TURNED_FOR, ConnectionTracker
from puffinford.fronts.lines import codec
from puffinford.fronts.lines.connection import LineConnection
from puffinford.fronts.sockets import TcpStream
from puffinford.logs import RateLimitedLog

# The name of before: operators find these lines by `from`.
limited_log = RateLimitedLog(logging.getLogger("puffinford.fronts.lines.client"))

# A connection that has sent no whole line by then is ended. Bad clients must hear within 3 s, and sound ones
# may write their line in pieces over 2 s.
FIRST_LINE = 2_700.0
PINGS_IDLE = 10_000.0  # one that has sent PING may stay this long for the next


class Dismissed(Exception):
    """The process ends before the client has asked for anything."""


class LineClientHandler:
    def __init__(self, exchange: Exchange, tracker: ConnectionTracker) -> None:
        self._exchange = exchange
        self._tracker = tracker

    async def handle(self, stream: TcpStream) -> None:
        """Serve one connection to its end."""
        connection = LineConnection(stream)
        line = b""
        try:
            while True:
                line = await self._first_line(connection)
                first = codec.decode_first(line)
                if connection.pending:
                    # Guards against commands sent at once: a client waits for the answer to each.
                    raise codec.BadLine("more than one line at once")
                if not isinstance(first, codec.Ping):
                    await self._exchange.serve(first, connection)
                    return
                await stream.write(codec.PONG)
                await self._rest(connection)
        except InvalidOpening as exc:
            # Guards against whatever else connects: a plain failing answer, and no request.
            limited_log.info("bad first line", error=str(exc), line=repr(line[:80]))
            with contextlib.suppress(ConnectionBroken):
                await connection.answer(Failed(str(exc)))
                await connection.end()
        except Dismissed:
            # Guards a request that crosses the end of the process: its answer is there before the end.
            with contextlib.suppress(ConnectionBroken):
                await connection.answer(self._exchange.shutdown_refusal)
                await connection.end()
        except (PeerClosed, ConnectionBroken):
            pass

    async def _first_line(self, connection: LineConnection) -> bytes:
        """The next line, all of it within FIRST_LINE; raises BadLine, Dismissed."""
        line = b""
        with self._tracker.evictable_wait(FIRST_LINE) as heard:
            line = await connection.read_line(heard)
        # Guards the line that came in the moment in which its time was up, or its place was needed.
        line = line or connection.ready_line() or b""
        if not line:
            raise self._no_line()
        return line

    def _no_line(self) -> Exception:
        """Why the wait for a line is over."""
        return Dismissed() if self._tracker.dismissed else codec.BadLine("no line in time")

    async def _rest(self, connection: LineConnection) -> None:
        """Wait for the next line to begin; raises BadLine, Dismissed.

        Guards the descriptors against clients that stop in the middle of a line: this long wait ends with its
        first byte.
        """
        with self._tracker.evictable_wait(PINGS_IDLE) as heard:
            await connection.begun(heard)
        if not connection.has_begun():
            raise self._no_line()

    async def turn_away(self, stream: TcpStream) -> None:
        """Answer one that finds no place, if its line comes at once; a close would tell it nothing."""
        connection = LineConnection(stream)
        line = b""
        with contextlib.suppress(InvalidOpening, PeerClosed, ConnectionBroken):
            with stream.clock.limit(TURNED_FOR):
                line = await connection.read_line()
            first = codec.decode_first(line)
            if not isinstance(first, codec.Ping):
                await self._exchange.serve(first, connection, has_capacity=False)
