"""The server side of the line front: each attempt is a connection of its own."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from puffinford.core.clock import Clock
from puffinford.core.values import AttemptEnded, ConnectionBroken, Opening, PeerClosed, ServerEntry, Up
from puffinford.fronts.connecting import connect
from puffinford.fronts.lines import codec
from puffinford.fronts.lines.connection import LineConnection
from puffinford.fronts.sockets import DescriptorBudget, OwnLack, TcpStream
from puffinford.interface import Result


class LineServerConnector:
    def __init__(self, clock: Clock, budget: DescriptorBudget, connect_timeout: float) -> None:
        self._clock = clock
        self._budget = budget
        self.connect_timeout = connect_timeout

    async def _connect(self, entry: ServerEntry, wait: float) -> TcpStream:
        stream = None
        try:
            with self._clock.limit(min(wait, self.connect_timeout)):
                stream = await connect((entry.host, entry.port), self._clock, self._budget)
        except OwnLack:
            # Guards a sound server against being taken for unreachable when we lack descriptors.
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
        started = self._clock.now()
        stream = await self._connect(entry, wait)
        connection = LineConnection(stream)
        answer: Up | Result = Result.TIMEOUT
        line, report = b"", ""
        standing = False
        try:
            await admit()
            left = wait - (self._clock.now() - started)
            if left <= 0:
                raise AttemptEnded(Result.CONNECT_FAILED)
            try:
                await stream.write(codec.encode_opening(opening, left))
            except ConnectionBroken:
                raise AttemptEnded(Result.CONNECT_FAILED) from None
            sent()
            with self._clock.limit(left):
                try:
                    line = await connection.read_line()
                    answer, report = codec.decode_answer(line)
                except (PeerClosed, ConnectionBroken):
                    answer = Result.RESET
            if isinstance(answer, Up):
                standing = True
                return connection, answer
            messages = (codec.decode_message(line),) if answer is Result.OK else ()
            raise AttemptEnded(answer, messages, report)
        finally:
            # Guards against a second attempt beside one given up: its connection is closed first.
            if not standing:
                stream.close()

    async def probe(self, entry: ServerEntry, wait: float, load: bool) -> tuple[Result, str]:
        try:
            stream = await self._connect(entry, wait)
        except AttemptEnded as exc:
            return exc.result, ""
        result, report = Result.TIMEOUT, ""
        try:
            with self._clock.limit(wait):
                await stream.write((codec.STATS if load else codec.PING).encode() + codec.END)
                result, report = codec.decode_probe(await LineConnection(stream).read_line())
        except (PeerClosed, ConnectionBroken):
            result = Result.RESET
        finally:
            stream.close()
        return result, report
