"""The connection of a request to its client or its server, over the channel front."""

from __future__ import annotations

import contextlib

from puffinford.core.clock import Clock
from puffinford.core.values import Busy, ConnectionBroken, Failed, Message, MessageKind, PeerClosed, Up
from puffinford.fronts.channels import codec
from puffinford.fronts.channels.multiplexer import Channel
from puffinford.fronts.channels.opening import encode_refusal
from puffinford.fronts.sockets import LINGER_TIMEOUT_MS, LineReader

_KINDS = {codec.MOVE: MessageKind.MOVE, codec.BYE: MessageKind.BYE, codec.NOTE: MessageKind.NOTE}
_NAMES = {kind: name for name, kind in _KINDS.items()}


class ChannelConnection:
    """A PeerConnection whose messages are lines of channel data and, from a server, channel requests."""

    def __init__(self, channel: Channel, clock: Clock, *, is_server: bool = False) -> None:
        self._channel = channel
        self._is_server = is_server
        self._clock = clock
        self._reader = LineReader()

    async def receive(self) -> Message:
        """Return the next message; raises PeerClosed or ConnectionBroken."""
        await self._reader.yield_turn()
        while (line := self._reader.next()) is None:
            try:
                item = await self._channel.receive()
            except PeerClosed:
                partial_line = self._reader.partial_line()
                if not partial_line:
                    raise
                return Message(partial_line)
            if isinstance(item, bytes):
                self._reader.feed(item)
            elif self._is_server:  # those of a client mean nothing
                kind = _KINDS[item.name]
                note = float(codec.PayloadReader(item.extra).uint32()) if kind is MessageKind.NOTE else 0.0
                return Message(b"", kind, note)
        return Message(line)

    async def send(self, message: Message) -> None:
        """Send a complete message; raises ConnectionBroken."""
        if not self._channel.is_open:
            # The request ended before Up, and `abort` refuses the open.
            raise ConnectionBroken("channel not open")
        if message.kind is MessageKind.DATA:
            await self._channel.send(message.data)
        else:
            await self._send_kind(message.kind, message.note)
            await self._channel.multiplexer.wait_for_room()

    async def _send_kind(self, kind: MessageKind, note: float = 0.0) -> None:
        """Send the channel request for a kind of message, after the data before it."""
        await self._channel.wait_drained()
        extra = codec.uint32(min(int(note), 0xFFFFFFFF)) if kind is MessageKind.NOTE else b""
        self._channel.send_request(_NAMES[kind], extra)

    async def has_left(self) -> bool:
        """Whether the peer has closed the channel, cancelled its open or left."""
        return await self._channel.has_left()

    async def answer(self, answer: Up | Busy | Failed) -> None:
        """Confirm or refuse the peer's open; raises ConnectionBroken."""
        channel = self._channel
        if channel.connection_lost or channel.answered.is_set():
            raise ConnectionBroken("connection closed or open already answered")
        if isinstance(answer, Up):
            channel.multiplexer.confirm(channel, codec.string(answer.receipt))
        else:
            channel.multiplexer.refuse(channel, *encode_refusal(answer))

    async def move(self) -> None:
        """Send the MOVE request, which asks the client to open a new channel."""
        await self._send_kind(MessageKind.MOVE)

    async def end_sending(self) -> None:
        """Send EOF after the remaining data."""
        await self._channel.wait_drained()
        self._channel.send_eof()

    async def end(self) -> None:
        """Send the remaining data, EOF and CLOSE, and wait for the peer's CLOSE within a limit."""
        channel = self._channel
        if not channel.is_open:
            await self.abort()
            return
        with self._clock.limit(LINGER_TIMEOUT_MS), contextlib.suppress(ConnectionBroken):
            await self.end_sending()
        channel.close()
        with self._clock.limit(LINGER_TIMEOUT_MS):
            await channel.wait_closed()

    async def abort(self) -> None:
        """Send CLOSE without EOF, which the peer treats as a failure; or refuse an unanswered open."""
        channel = self._channel
        if channel.is_open:
            channel.close()
        elif not (channel.answered.is_set() or channel.connection_lost):
            channel.multiplexer.refuse(channel, codec.FAILED, "given up")
