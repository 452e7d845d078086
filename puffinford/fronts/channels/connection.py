"""A channel as a leg of a request."""

from __future__ import annotations

import contextlib

from puffinford.core.clock import Clock
from puffinford.core.values import Busy, ConnectionBroken, Failed, Message, MessageKind, PeerClosed, Up
from puffinford.fronts.channels import codec
from puffinford.fronts.channels.multiplexer import Channel
from puffinford.fronts.channels.opening import encode_refusal
from puffinford.fronts.sockets import LINGER, LineReader

_KINDS = {codec.MOVE: MessageKind.MOVE, codec.BYE: MessageKind.BYE, codec.NOTE: MessageKind.NOTE}
_NAMES = {kind: name for name, kind in _KINDS.items()}


class ChannelConnection:
    def __init__(self, channel: Channel, clock: Clock) -> None:
        self._channel = channel
        self._clock = clock
        self._reader = LineReader()

    async def receive(self) -> Message:
        while (line := self._reader.next()) is None:
            try:
                item = await self._channel.receive()
            except PeerClosed:
                rest = self._reader.rest()
                if not rest:
                    raise
                return Message(rest)
            if isinstance(item, bytes):
                self._reader.feed(item)
            else:
                kind = _KINDS[item.name]
                note = float(codec.PayloadReader(item.extra).uint32()) if kind is MessageKind.NOTE else 0.0
                return Message(b"", kind, note)
        return Message(line)

    async def send(self, message: Message) -> None:
        if not self._channel.open:
            raise ConnectionBroken(
                "channel not open"
            )  # served to its end before it stood: the open is refused
        if message.kind is MessageKind.DATA:
            await self._channel.send(message.data)
        else:
            await self._tell(message.kind, message.note)

    async def _tell(self, kind: MessageKind, note: float = 0.0) -> None:
        """A request, after all that was sent before it."""
        await self._channel.drained()
        extra = codec.uint32(min(int(note), 0xFFFFFFFF)) if kind is MessageKind.NOTE else b""
        self._channel.request(_NAMES[kind], extra)

    async def has_left(self) -> bool:
        return await self._channel.has_left()

    async def answer(self, answer: Up | Busy | Failed) -> None:
        channel = self._channel
        if channel.gone or channel.settled.is_set():
            raise ConnectionBroken("connection over")
        if isinstance(answer, Up):
            channel.multiplexer.confirm(channel, codec.string(answer.receipt))
        else:
            channel.multiplexer.refuse(channel, *encode_refusal(answer))

    async def move(self) -> None:
        await self._tell(MessageKind.MOVE)

    async def end_sending(self) -> None:
        await self._channel.drained()
        self._channel.eof()

    async def end(self) -> None:
        """The rest of what was sent, EOF, CLOSE, and a moment for the peer's CLOSE."""
        channel = self._channel
        if not channel.open:
            await self.abort()
            return
        with self._clock.limit(LINGER), contextlib.suppress(ConnectionBroken):
            await self.end_sending()
        channel.close()
        with self._clock.limit(LINGER):
            await channel.closed()

    async def abort(self) -> None:
        """CLOSE without EOF: the peer sees the channel broken. An open still unanswered is refused."""
        channel = self._channel
        if channel.open:
            channel.close()
        elif not (channel.settled.is_set() or channel.gone):
            channel.multiplexer.refuse(channel, codec.FAILED, "given up")
