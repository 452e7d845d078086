"""Connections that clients hold open to a balancer that ends, on either front, read and written as lines."""

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

HELD_STATES = ("fresh", "rested", "half", "standing")  # how far a connection has come before SIGTERM
HALF = 20  # bytes of a request that is written by half
CHANNEL = 1  # the client's number of its one channel
WINDOW = 1 << 20  # bytes that a balancer may send on it
PACKET = 32_768  # bytes of one of its packets


class Connection(Protocol):
    """What a client does with a connection, whatever its front."""

    stream: SocketStream

    async def next(self) -> bytes:
        """The next line without its end; FIN or RST where the connection ends."""

    async def send_line(self, line: bytes) -> bool:
        """Write a line; tells whether that could be done."""


class ChannelLines:
    """A connection with one channel: its messages as the lines that mean the same."""

    def __init__(self, stream: SocketStream) -> None:
        self.stream = stream
        self._packets = codec.PacketReader(banner=True)
        self._reader = LineReader()
        self._remote = 0
        self._answered = False

    async def next(self) -> bytes:
        """The next line without its end; FIN or RST where the channel or the connection ends."""
        while (line := self._reader.next()) is None:
            message = await self._message()
            if isinstance(message, bytes):
                return message
            told = self._told(message)
            if told:
                return told
        return line.rstrip(b"\r\n")

    def _told(self, message: codec.Message) -> bytes:
        """What a message says in the words of the line front; nothing where it only carries data."""
        match message:
            case codec.OpenConfirmation(sender=sender, extra=extra):
                self._remote, self._answered = sender, True
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

    async def _message(self) -> codec.Message | bytes:
        while (payload := self._packets.next()) is None:
            try:
                self._packets.feed(await self.stream.receive())
            except anyio.EndOfStream:
                return LineStream.FIN
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                return LineStream.RST
        return codec.decode(payload)

    async def send_line(self, line: bytes) -> bool:
        """Write a line; tells whether that could be done."""
        return await send(self.stream, codec.encode(codec.Data(self._remote, line + b"\r\n")))


async def send(stream: SocketStream, data: bytes) -> bool:
    """Write bytes; tells whether that could be done."""
    with contextlib.suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
        await stream.send(data)
        return True
    return False


@dataclass(frozen=True)
class Script:
    """What a held connection writes: `before` at once, and the `rest` of its request later."""

    before: bytes
    rest: bytes
    greeted: bool = False  # the balancer answers what is written before


def _parts(state: str, greeting: bytes, request: bytes) -> tuple[bytes, bytes]:
    """What is written before and after a connection has come as far as `state`."""
    match state:
        case "fresh":
            return b"", request
        case "rested":
            return greeting, request
        case "half":
            return request[:HALF], request[HALF:]
        case "standing":
            return request, b""
    raise ValueError(f"{state!r} is none of {' '.join(HELD_STATES)}")


def line_script(state: str, opening: bytes) -> Script:
    """Of a line connection; `opening` is the request's line without its end."""
    return Script(*_parts(state, b"PING\r\n", opening + b"\r\n"), greeted=state == "rested")


def channel_script(state: str, opening: bytes, wait: float) -> Script:
    """Of a channel connection, for the same request; `wait` is the client's time in ms."""
    _, job, key, figures = opening.decode("latin-1").split(" ")
    told = tuple((name, value) for name, _, value in (part.partition("=") for part in figures.split(",")))
    extra = encode_opening(Opening.from_parameters(job, key, told), wait)
    message = codec.encode(codec.ChannelOpen(codec.REQUEST_CHANNEL, CHANNEL, WINDOW, PACKET, extra))
    version = codec.VERSION.encode() + b"\r\n"
    if state == "fresh":
        return Script(b"", version + message)
    before, rest = _parts(state, b"", message)
    return Script(version + before, rest)
