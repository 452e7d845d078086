"""Packets of RFC 4253 without cipher, MAC or compression, and the messages of RFC 4254 as typed values.

Each message is decoded once and encoded once. What else SSH has is left out; docs/channels.md says what.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass, fields

VERSION = "SSH-2.0-puffinford_0.1"
VERSION_MOST = 255  # bytes of the version line, its end included
BANNER_MOST = 20  # lines that a server may send before it
PACKET_MOST = 35_000  # RFC 4253, section 6.1
PAYLOAD_MOST = 32_768
BLOCK = 8
PAYLOAD_AT = 5  # bytes before the payload of a packet: its length and that of its padding

DOMAIN = "puffinford.example"
REQUEST_CHANNEL = f"job@{DOMAIN}"  # the channel type: one channel is one request
MOVE = f"move@{DOMAIN}"
BYE = f"bye@{DOMAIN}"
NOTE = f"note@{DOMAIN}"
CANCEL = f"cancel-open@{DOMAIN}"

# Reasons of DISCONNECT (RFC 4253, section 11.1)
PROTOCOL_ERROR = 2
KEY_EXCHANGE_FAILED = 3
SERVICE_NOT_AVAILABLE = 7
VERSION_NOT_SUPPORTED = 8
BY_APPLICATION = 11

# Reasons of CHANNEL_OPEN_FAILURE (RFC 4254, section 5.1; from 0xFE000000 on they are private)
PROHIBITED = 1
CONNECT_FAILED = 2
UNKNOWN_TYPE = 3
RESOURCE_SHORTAGE = 4
FAILED = 0xFE000001
TIMED_OUT = 0xFE000002


class Malformed(Exception):
    """Bytes that are no packet or message; `reason` goes into DISCONNECT."""

    def __init__(self, text: str, reason: int = PROTOCOL_ERROR) -> None:
        super().__init__(text)
        self.reason = reason


class PayloadReader:
    """Takes the basic types of RFC 4251, section 5, off a payload."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._at = 0

    def take(self, count: int) -> bytes:
        piece = self._data[self._at : self._at + count]
        if len(piece) != count:
            raise Malformed("message too short")
        self._at += count
        return piece

    def byte(self) -> int:
        return self.take(1)[0]

    def boolean(self) -> bool:
        return self.byte() != 0

    def uint32(self) -> int:
        return int.from_bytes(self.take(4), "big")

    def string(self) -> bytes:
        return self.take(self.uint32())

    def text(self) -> str:
        # Latin-1 keeps every byte, so that values go on as they came.
        return self.string().decode("latin-1")

    def rest(self) -> bytes:
        return self.take(len(self._data) - self._at)


def uint32(value: int) -> bytes:
    return struct.pack(">I", value)


def string(value: bytes | str) -> bytes:
    data = value.encode("latin-1", "replace") if isinstance(value, str) else value
    return uint32(len(data)) + data


def boolean(value: bool) -> bytes:
    return bytes((value,))


# A message is a frozen dataclass. Its fields, in their order, are its layout: uint32 for int, string for
# str and bytes, boolean for bool; a field named `extra` holds all the rest, as the message's kind has it.


@dataclass(frozen=True, slots=True)
class Disconnect:
    reason: int
    description: str
    language: str = ""


@dataclass(frozen=True, slots=True)
class Ignore:
    extra: bytes = b""


@dataclass(frozen=True, slots=True)
class Unimplemented:
    sequence: int


@dataclass(frozen=True, slots=True)
class Debug:
    extra: bytes = b""


@dataclass(frozen=True, slots=True)
class GlobalRequest:
    name: str
    want_reply: bool
    extra: bytes = b""


@dataclass(frozen=True, slots=True)
class RequestSuccess:
    extra: bytes = b""


@dataclass(frozen=True, slots=True)
class RequestFailure:
    pass


@dataclass(frozen=True, slots=True)
class ChannelOpen:
    kind: str
    sender: int
    window: int
    packet_most: int
    extra: bytes = b""


@dataclass(frozen=True, slots=True)
class OpenConfirmation:
    recipient: int
    sender: int
    window: int
    packet_most: int
    extra: bytes = b""


@dataclass(frozen=True, slots=True)
class OpenFailure:
    recipient: int
    reason: int
    description: str
    language: str = ""


@dataclass(frozen=True, slots=True)
class WindowAdjust:
    recipient: int
    count: int


@dataclass(frozen=True, slots=True)
class Data:
    recipient: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ExtendedData:
    recipient: int
    kind: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Eof:
    recipient: int


@dataclass(frozen=True, slots=True)
class Close:
    recipient: int


@dataclass(frozen=True, slots=True)
class ChannelRequest:
    recipient: int
    name: str
    want_reply: bool
    extra: bytes = b""


@dataclass(frozen=True, slots=True)
class ChannelSuccess:
    recipient: int


@dataclass(frozen=True, slots=True)
class ChannelFailure:
    recipient: int


@dataclass(frozen=True, slots=True)
class Unknown:
    """A message of no known number: to be answered UNIMPLEMENTED."""

    number: int


Message = (
    Disconnect
    | Ignore
    | Unimplemented
    | Debug
    | GlobalRequest
    | RequestSuccess
    | RequestFailure
    | ChannelOpen
    | OpenConfirmation
    | OpenFailure
    | WindowAdjust
    | Data
    | ExtendedData
    | Eof
    | Close
    | ChannelRequest
    | ChannelSuccess
    | ChannelFailure
    | Unknown
)

_NUMBERS: dict[int, type] = {
    1: Disconnect,
    2: Ignore,
    3: Unimplemented,
    4: Debug,
    80: GlobalRequest,
    81: RequestSuccess,
    82: RequestFailure,
    90: ChannelOpen,
    91: OpenConfirmation,
    92: OpenFailure,
    93: WindowAdjust,
    94: Data,
    95: ExtendedData,
    96: Eof,
    97: Close,
    98: ChannelRequest,
    99: ChannelSuccess,
    100: ChannelFailure,
}
_READ: dict[str, Callable[[PayloadReader], object]] = {
    "int": PayloadReader.uint32,
    "str": PayloadReader.text,
    "bytes": PayloadReader.string,
    "bool": PayloadReader.boolean,
}
_WRITE: dict[str, Callable[..., bytes]] = {"int": uint32, "str": string, "bytes": string, "bool": boolean}
_LAYOUTS = {
    cls: [(f.name, "rest" if f.name == "extra" else str(f.type)) for f in fields(cls)]
    for cls in _NUMBERS.values()
}
_NUMBER_OF = {cls: number for number, cls in _NUMBERS.items()}


def decode(payload: bytes) -> Message:
    reader = PayloadReader(payload)
    number = reader.byte()
    if 20 <= number <= 49:
        raise Malformed("no key exchange here", KEY_EXCHANGE_FAILED)
    cls = _NUMBERS.get(number)
    if cls is None:
        return Unknown(number)
    values = [reader.rest() if kind == "rest" else _READ[kind](reader) for _, kind in _LAYOUTS[cls]]
    if reader.rest():
        raise Malformed("message too long")
    message: Message = cls(*values)
    return message


def encode(message: Message) -> bytes:
    payload = bytearray((_NUMBER_OF[type(message)],))
    for name, kind in _LAYOUTS[type(message)]:
        value = getattr(message, name)
        payload += value if kind == "rest" else _WRITE[kind](value)
    return packet(bytes(payload))


def packet(payload: bytes) -> bytes:
    """One packet: its length, the padding's length, the payload, at least four bytes of padding."""
    padding = BLOCK - (5 + len(payload)) % BLOCK
    if padding < 4:
        padding += BLOCK
    return uint32(1 + len(payload) + padding) + bytes((padding,)) + payload + bytes(padding)


class PacketReader:
    """Cuts a stream of bytes into its version line and then into payloads."""

    def __init__(self, banner: bool) -> None:
        self._buffer = bytearray()
        self._lines_left = BANNER_MOST if banner else 0  # only a server may send lines before its version
        self.version: str | None = None

    def feed(self, chunk: bytes) -> None:
        self._buffer += chunk

    @property
    def pending(self) -> bool:
        """Whether part of a message has come."""
        return bool(self._buffer)

    @property
    def opening(self) -> bool:
        """Whether that is part of a CHANNEL_OPEN, as far as can be told."""
        return len(self._buffer) > PAYLOAD_AT and _NUMBERS.get(self._buffer[PAYLOAD_AT]) is ChannelOpen

    def next(self) -> bytes | None:
        """The next payload, or None while it is not whole."""
        if self.version is None and not self._take_version():
            return None
        if len(self._buffer) < PAYLOAD_AT:
            return None
        length = int.from_bytes(self._buffer[:4], "big")
        padding = self._buffer[4]
        if not 12 <= length <= PACKET_MOST or (length + 4) % BLOCK:
            raise Malformed(f"packet of {length} bytes")
        if padding < 4 or padding + 2 > length:
            raise Malformed(f"padding of {padding} bytes")
        if len(self._buffer) < 4 + length:
            return None
        payload = bytes(self._buffer[PAYLOAD_AT : 4 + length - padding])
        del self._buffer[: 4 + length]
        return payload

    def _take_version(self) -> bool:
        while True:
            end = self._buffer.find(b"\n")
            if end + 1 > VERSION_MOST or (end < 0 and len(self._buffer) >= VERSION_MOST):
                raise Malformed("version line too long")
            if end < 0:
                return False
            line = self._buffer[: end + 1].decode("latin-1").rstrip("\r\n")
            del self._buffer[: end + 1]
            if line.startswith("SSH-"):
                if not line.startswith("SSH-2.0-"):
                    raise Malformed("only SSH-2.0 is spoken here", VERSION_NOT_SUPPORTED)
                self.version = line
                return True
            if self._lines_left <= 0:
                raise Malformed("no version line", VERSION_NOT_SUPPORTED)
            self._lines_left -= 1
