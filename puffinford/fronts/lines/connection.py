"""The connection of a request to its client or its server, over the line front."""

from __future__ import annotations

from collections.abc import Callable

from puffinford.core.values import Busy, Failed, Message, PeerClosed, Up
from puffinford.fronts.fair_turns import LINE_COST, WorkShare
from puffinford.fronts.lines import codec
from puffinford.fronts.sockets import LineReader, TcpStream


class LineConnection:
    """A PeerConnection whose messages are lines; `is_server` tells which peer it is.

    `share`, of a client, is charged for each message.
    """

    def __init__(self, stream: TcpStream, *, is_server: bool = False, share: WorkShare | None = None) -> None:
        self._stream = stream
        self._share = share
        self._reader = LineReader()
        self._is_server = is_server
        self._at_line_start = True

    @property
    def pending(self) -> bool:
        """Whether bytes have been read that are not part of a returned line."""
        return self._reader.pending

    async def read_line(self, on_activity: Callable[[], None] | None = None) -> bytes:
        """Return the next line with its end, or the bytes before a FIN as the last line.

        `on_activity` is called at each chunk. Raises PeerClosed or ConnectionBroken.
        """
        await self._reader.yield_turn()
        while (line := self._reader.next()) is None:
            try:
                self._reader.feed(await self._stream.read())
                if on_activity is not None:
                    on_activity()
            except PeerClosed:
                partial_line = self._reader.partial_line()
                if not partial_line:
                    raise
                return partial_line
        return line

    async def wait_for_data(self, on_activity: Callable[[], None]) -> None:
        """Wait for the first byte of the next line; `on_activity` is called when it is read."""
        if not self._reader.pending:
            self._reader.feed(await self._stream.read())
            on_activity()

    def has_data(self) -> bool:
        """Whether any byte of the next line has arrived, read or not."""
        if not self._reader.pending:
            self._reader.feed(self._stream.read_available())
        return self._reader.pending

    def read_available_line(self) -> bytes | None:
        """Return the next line if all of it has arrived, without waiting; otherwise None."""
        self._reader.feed(self._stream.read_available())
        return self._reader.next()

    async def has_left(self) -> bool:
        """Whether the peer has closed or reset its connection."""
        return await self._stream.peer_closed()

    async def receive(self) -> Message:
        """Return the next message; raises PeerClosed or ConnectionBroken."""
        if self._share is not None:  # before the line is taken, which a cancelled wait would lose
            await self._share.spend(LINE_COST)
        line = await self.read_line()
        # Prevents a client's line, or the rest of one that is too long, from being read as a server's word.
        may_be_word = self._is_server and self._at_line_start
        self._at_line_start = line.endswith(b"\n")
        return codec.decode_server_message(line) if may_be_word else Message(line)

    async def send(self, message: Message) -> None:
        """Write a message; raises ConnectionBroken."""
        await self._stream.write(codec.encode_message(message))

    async def answer(self, answer: Up | Busy | Failed) -> None:
        """Write the answer to the opening; after any answer but Up, call `end`."""
        data = codec.encode_answer(answer)
        await (self._stream.write(data) if isinstance(answer, Up) else self._stream.finish(data))

    async def move(self) -> None:
        """Write MOVE, which asks the client to connect again."""
        await self._stream.write(codec.MOVE)

    async def end_sending(self) -> None:
        """Send FIN."""
        await self._stream.end_sending()

    async def end(self) -> None:
        """Close after a linger."""
        await self._stream.end()

    async def abort(self) -> None:
        """Close with RST."""
        self._stream.abort()
