"""Client side of the line front: accepts connections and passes their requests to the exchange."""

from __future__ import annotations

import contextlib
import logging

from puffinford.core.exchange import Exchange
from puffinford.core.values import ConnectionBroken, Failed, InvalidOpening, PeerClosed
from puffinford.fronts.accepting import REJECTION_READ_TIMEOUT_MS, ConnectionTracker
from puffinford.fronts.fair_turns import WorkShare
from puffinford.fronts.lines import codec
from puffinford.fronts.lines.connection import LineConnection
from puffinford.fronts.memory import LINE_REQUEST_BYTES, OPENING_COPIES
from puffinford.fronts.sockets import TcpStream
from puffinford.logs import RateLimitedLog

limited_log = RateLimitedLog(logging.getLogger("puffinford.fronts.lines.client"))

# Clients may write their first line in pieces over 2 s, and an invalid one is answered within 3 s.
FIRST_LINE_TIMEOUT_MS = 2_700.0
PING_IDLE_TIMEOUT_MS = 10_000.0  # for the next line of a client that has sent PING


class ShuttingDown(Exception):
    """The process shuts down before the client has sent a request."""


class LineClientHandler:
    """Reads the first line of each connection and serves its request."""

    def __init__(self, exchange: Exchange, tracker: ConnectionTracker) -> None:
        self._exchange = exchange
        self._tracker = tracker

    async def handle(self, stream: TcpStream) -> None:
        """Serve one connection until it is closed."""
        connection = LineConnection(stream, share=WorkShare(self._tracker.turns))
        line = b""
        try:
            while True:
                line = await self._read_first_line(connection)
                command = codec.decode_command(line)
                if connection.pending:
                    # Rejects pipelined commands: a client waits for the answer to each.
                    raise codec.InvalidLine("more than one line at once")
                if not isinstance(command, codec.Ping):
                    size = LINE_REQUEST_BYTES + OPENING_COPIES * len(line)
                    with self._tracker.memory.connection().reserve(size) as has_room:
                        await self._exchange.serve(command, connection, has_room)
                    return
                await stream.write(codec.PONG)
                await self._wait_for_next_line(connection)
        except InvalidOpening as exc:
            # Peers that speak another protocol get an error answer.
            limited_log.info("bad first line", error=str(exc), line=repr(line[:80]))
            with contextlib.suppress(ConnectionBroken):
                await connection.answer(Failed(str(exc)))
                await connection.end()
        except ShuttingDown:
            # A request already on its way is answered before the connection is closed.
            with contextlib.suppress(ConnectionBroken):
                await connection.answer(self._exchange.shutdown_refusal)
                await connection.end()
        except (PeerClosed, ConnectionBroken):
            pass

    async def _read_first_line(self, connection: LineConnection) -> bytes:
        """Return the next line within FIRST_LINE_TIMEOUT_MS; raises InvalidLine or ShuttingDown."""
        line = b""
        with self._tracker.evictable_wait(FIRST_LINE_TIMEOUT_MS) as on_activity:
            line = await connection.read_line(on_activity)
        # The line may have arrived as the wait was cancelled.
        line = line or connection.read_available_line() or b""
        if not line:
            raise self._no_line_error()
        return line

    def _no_line_error(self) -> Exception:
        """Return the error for a wait that ended without a line."""
        return ShuttingDown() if self._tracker.shutting_down else codec.InvalidLine("no line in time")

    async def _wait_for_next_line(self, connection: LineConnection) -> None:
        """Wait for the first byte of the next line; raises InvalidLine or ShuttingDown.

        Prevents clients that send part of a line from holding a descriptor for PING_IDLE_TIMEOUT_MS.
        """
        with self._tracker.evictable_wait(PING_IDLE_TIMEOUT_MS) as on_activity:
            await connection.wait_for_data(on_activity)
        if not connection.has_data():
            raise self._no_line_error()

    async def turn_away(self, stream: TcpStream) -> None:
        """Answer a connection over the limit if its line arrives in time, so that its client may retry."""
        connection = LineConnection(stream)
        line = b""
        with contextlib.suppress(InvalidOpening, PeerClosed, ConnectionBroken):
            with stream.clock.limit(REJECTION_READ_TIMEOUT_MS):
                line = await connection.read_line()
            command = codec.decode_command(line)
            if not isinstance(command, codec.Ping):
                await self._exchange.serve(command, connection, has_capacity=False)
