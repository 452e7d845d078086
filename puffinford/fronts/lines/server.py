"""Server side of the line front: each attempt opens a TCP connection."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from puffinford.core.clock import Clock
from puffinford.core.values import AttemptEnded, ConnectionBroken, Opening, PeerClosed, ServerEntry, Up
from puffinford.fronts.connecting import connect
from puffinford.fronts.lines import codec
from puffinford.fronts.lines.connection import LineConnection
from puffinford.fronts.sockets import DescriptorBudget, LocalShortage, TcpStream
from puffinford.interface import Result


class LineServerConnector:
    """Opens connections to servers and probes them; `connect_timeout` is in ms."""

    def __init__(self, clock: Clock, budget: DescriptorBudget, connect_timeout: float) -> None:
        self._clock = clock
        self._budget = budget
        self.connect_timeout = connect_timeout

    async def _connect(self, entry: ServerEntry, wait: float) -> TcpStream:
        """Connect within `wait` ms and `connect_timeout`; raises AttemptEnded."""
        stream = None
        try:
            with self._clock.limit(min(wait, self.connect_timeout)):
                stream = await connect((entry.host, entry.port), self._clock, self._budget)
        except LocalShortage:
            # A local shortage must not mark the server unreachable.
            raise AttemptEnded(Result.NOT_SENT) from None
        if stream is None:
            raise AttemptEnded(Result.CONNECT_FAILED)
        return stream

    async def open_connection(
        self,
        entry: ServerEntry,
        opening: Opening,
        wait: float,
        admit: Callable[[], Awaitable[None]],
        sent: Callable[[], None],
    ) -> tuple[LineConnection, Up]:
        """Send an opening within `wait` ms; see `ServerConnector`."""
        started_at = self._clock.now()
        stream = await self._connect(entry, wait)
        connection = LineConnection(stream, is_server=True)
        answer: Up | Result = Result.TIMEOUT
        line, report = b"", ""
        established = False
        try:
            await admit()
            remaining_ms = wait - (self._clock.now() - started_at)
            if remaining_ms <= 0:
                raise AttemptEnded(Result.CONNECT_FAILED)
            try:
                await stream.write(codec.encode_opening(opening, remaining_ms))
            except ConnectionBroken:
                raise AttemptEnded(Result.CONNECT_FAILED) from None
            sent()
            with self._clock.limit(remaining_ms):
                try:
                    line = await connection.read_line()
                    answer, report = codec.decode_answer(line)
                except (PeerClosed, ConnectionBroken):
                    answer = Result.RESET
            if isinstance(answer, Up):
                established = True
                return connection, answer
            messages = (codec.decode_server_message(line),) if answer is Result.OK else ()
            raise AttemptEnded(answer, messages, report)
        finally:
            # Prevents two attempts at a time: this connection is closed before the next attempt starts.
            if not established:
                stream.close()

    async def probe(self, entry: ServerEntry, wait: float, load: bool) -> tuple[Result, str]:
        """Send PING, or STATS for a load report; return the result and the report within `wait` ms."""
        try:
            stream = await self._connect(entry, wait)
        except AttemptEnded as exc:
            return exc.result, ""
        result, report = Result.TIMEOUT, ""
        try:
            with self._clock.limit(wait):
                await stream.write((codec.STATS if load else codec.PING).encode() + codec.LINE_END)
                result, report = codec.decode_probe_answer(await LineConnection(stream).read_line())
        except (PeerClosed, ConnectionBroken):
            result = Result.RESET
        finally:
            stream.close()
        return result, report
