"""A line connection as a leg of a request."""

from __future__ import annotations

from collections.abc import Callable

from anyio.lowlevel import checkpoint

from puffinford.core.values import Busy, Failed, Message, PeerClosed, Up
from puffinford.fronts.lines import codec
from puffinford.fronts.sockets import LINES_TURN, LineReader, TcpStream


class LineConnection:
    def __init__(self, stream: TcpStream) -> None:
        self._stream = stream
        self._reader = LineReader()
        self._taken = 0

    @property
    def pending(self) -> bool:
        """Whether more has come than the lines that were taken."""
        return self._reader.pending

    async def read_line(self, heard: Callable[[], None] | None = None) -> bytes:
        """The next line with its end; what came before an end without one is a line too.

        `heard` is called at each piece of it.
        """
        while (line := self._reader.next()) is None:
            try:
                self._reader.feed(await self._stream.read())
                if heard is not None:
                    heard()
            except PeerClosed:
                rest = self._reader.rest()
                if not rest:
                    raise
                return rest
        self._taken += 1
        if self._taken % LINES_TURN == 0:
            # Guards the others against a peer that writes thousands of lines at once.
            await checkpoint()
        return line

    async def begun(self, heard: Callable[[], None]) -> None:
        """Wait until the next line has begun; `heard` is called when it has."""
        if not self._reader.pending:
            self._reader.feed(await self._stream.read())
            heard()

    def has_begun(self) -> bool:
        """Whether any of the next line has arrived, though nobody may have read it yet."""
        if not self._reader.pending:
            self._reader.feed(self._stream.read_ready())
        return self._reader.pending

    def ready_line(self) -> bytes | None:
        """A line that has arrived whole though nobody has read it yet."""
        self._reader.feed(self._stream.read_ready())
        return self._reader.next()

    async def has_left(self) -> bool:
        return await self._stream.ended()

    async def receive(self) -> Message:
        return codec.decode_message(await self.read_line())

    async def send(self, message: Message) -> None:
        await self._stream.write(codec.encode_message(message))

    async def answer(self, answer: Up | Busy | Failed) -> None:
        data = codec.encode_answer(answer)
        await (self._stream.write(data) if isinstance(answer, Up) else self._stream.finish(data))

    async def move(self) -> None:
        await self._stream.write(codec.MOVE)

    async def end_sending(self) -> None:
        await self._stream.end_sending()

    async def end(self) -> None:
        await self._stream.end()

    async def abort(self) -> None:
        self._stream.abort()
