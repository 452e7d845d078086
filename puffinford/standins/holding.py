"""Held connections: what clients write and read while their balancer shuts down, on either front."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass
from typing import Protocol

import anyio
from anyio.abc import SocketStream

from puffinford.core.values import Opening
from puffinford.fronts.channels import codec
from puffinford.fronts.channels.opening import encode_opening
from puffinford.fronts.sockets import LineReader
from puffinford.standins.listeners import LineStream

HELD_STATES = ("fresh", "rested", "half", "standing")  # progress of a connection before SIGTERM
HALF_REQUEST_BYTES = 20  # written of a request in state `half`
CLIENT_CHANNEL_ID = 1  # the client's number for its only channel
WINDOW_BYTES = 1 << 20  # that the balancer may send on the channel
MAX_PACKET_BYTES = 32_768


class Connection(Protocol):
    """A client's connection that is read and written by lines, whatever its front."""

    stream: SocketStream

    async def next(self) -> bytes:
        """Return the next line without its line end; FIN or RST if the connection ends."""

    async def send_line(self, line: bytes) -> bool:
        """Write a line; False if the connection has ended."""


class ChannelLineStream:
    """A connection with one channel, whose messages are translated to lines of the same meaning."""

    def __init__(self, stream: SocketStream) -> None:
        self.stream = stream
        self._packets = codec.PacketReader(banner=True)
        self._reader = LineReader()
        self._balancer_channel_id = 0
        self._answered = False

    async def next(self) -> bytes:
        """Return the next line without its line end; FIN or RST if the channel or the connection ends."""
        while (line := self._reader.next()) is None:
            message = await self._next_message()
            if isinstance(message, bytes):
                return message
            translated = self._translate(message)
            if translated:
                return translated
        return line.rstrip(b"\r\n")

    def _translate(self, message: codec.Message) -> bytes:
        """Return the line with the same meaning; empty for a message that has no such line."""
        match message:
            case codec.OpenConfirmation(sender=sender, extra=extra):
                self._balancer_channel_id, self._answered = sender, True
                return b"UP " + codec.PayloadReader(extra).string()
            case codec.OpenFailure(reason=reason, description=text):
                self._answered = True
                busy = reason == codec.RESOURCE_SHORTAGE
                return f"BUSY {text.rpartition('=')[2]}".encode() if busy else b"ERR"
            case codec.Disconnect():
                answered, self._answered = self._answered, True
                return LineStream.FIN if answered else b"BUSY"
            case codec.ChannelRequest(name=codec.MOVE):
                return b"MOVE"
            case codec.Eof() | codec.Close():
                return LineStream.FIN
            case codec.Data(data=data):
                self._reader.feed(data)
        return b""

    async def _next_message(self) -> codec.Message | bytes:
        while (payload := self._packets.next()) is None:
            try:
                self._packets.feed(await self.stream.receive())
            except anyio.EndOfStream:
                return LineStream.FIN
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                return LineStream.RST
        return codec.decode(payload)

    async def send_line(self, line: bytes) -> bool:
        """Write a line; False if the connection has ended."""
        return await send(self.stream, codec.encode(codec.Data(self._balancer_channel_id, line + b"\r\n")))


async def send(stream: SocketStream, data: bytes) -> bool:
    """Write bytes; False if the connection has ended."""
    with contextlib.suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
        await stream.send(data)
        return True
    return False


@dataclass(frozen=True)
class HeldScript:
    """What a held connection writes: `before` at once, and the `rest` of its request later."""

    before: bytes
    rest: bytes
    greeted: bool = False  # the balancer answers `before`


def _split_request(state: str, greeting: bytes, request: bytes) -> tuple[bytes, bytes]:
    """Return the bytes that bring a connection to `state`, and those that complete its request."""
    match state:
        case "fresh":
            return b"", request
        case "rested":
            return greeting, request
        case "half":
            return request[:HALF_REQUEST_BYTES], request[HALF_REQUEST_BYTES:]
        case "standing":
            return request, b""
    raise ValueError(f"{state!r} is none of {' '.join(HELD_STATES)}")


def line_script(state: str, opening: bytes) -> HeldScript:
    """Return the script of a line connection; `opening` is the request's line without its line end."""
    return HeldScript(*_split_request(state, b"PING\r\n", opening + b"\r\n"), greeted=state == "rested")


def channel_script(state: str, opening: bytes, wait: float) -> HeldScript:
    """Return the script of a channel connection; `wait` is the client's time limit in ms."""
    _, request_id, key, text = opening.decode("latin-1").split(" ")
    parameters = tuple((name, value) for name, _, value in (part.partition("=") for part in text.split(",")))
    extra = encode_opening(Opening.from_parameters(request_id, key, parameters), wait)
    message = codec.encode(
        codec.ChannelOpen(codec.REQUEST_CHANNEL, CLIENT_CHANNEL_ID, WINDOW_BYTES, MAX_PACKET_BYTES, extra)
    )
    version = codec.VERSION.encode() + b"\r\n"
    if state == "fresh":
        return HeldScript(b"", version + message)
    before, rest = _split_request(state, b"", message)
    return HeldScript(version + before, rest)
