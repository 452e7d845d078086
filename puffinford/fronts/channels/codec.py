"""Packets of RFC 4253 without cipher, MAC or compression, and the messages of RFC 4254 as typed values.

docs/channels.md lists the parts of SSH that are not implemented.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass, fields

VERSION = "SSH-2.0-puffinford_0.1"
MAX_VERSION_BYTES = 255  # of the version line with its end
MAX_BANNER_LINES = 20  # that a server may send before its version line
MAX_PACKET_BYTES = 35_000  # RFC 4253, section 6.1
MAX_PAYLOAD_BYTES = 32_768
BLOCK_BYTES = 8
PAYLOAD_OFFSET = 5  # bytes of the packet length and padding length fields

DOMAIN = "puffinford.example"
REQUEST_CHANNEL = f"job@{DOMAIN}"  # channel type: one channel is one request
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


class MalformedMessage(Exception):
    """Bytes that violate the protocol; `reason` is the reason code of the DISCONNECT to send."""

    def __init__(self, text: str, reason: int = PROTOCOL_ERROR) -> None:
        super().__init__(text)
        self.reason = reason


class PayloadReader:
    """Reads the data types of RFC 4251, section 5, from a payload; raises MalformedMessage."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._position = 0

    def take(self, count: int) -> bytes:
        """Return the next `count` bytes."""
        piece = self._data[self._position : self._position + count]
        if len(piece) != count:
            raise MalformedMessage("message too short")
        self._position += count
        return piece

    def byte(self) -> int:
        """Read a byte."""
        return self.take(1)[0]

    def boolean(self) -> bool:
        """Read a boolean."""
        return self.byte() != 0

    def uint32(self) -> int:
        """Read a uint32."""
        return int.from_bytes(self.take(4), "big")

    def string(self) -> bytes:
        """Read a string as bytes."""
        return self.take(self.uint32())

    def text(self) -> str:
        """Read a string as text."""
        # Latin-1 preserves every byte, so that values are passed on unchanged.
        return self.string().decode("latin-1")

    def rest(self) -> bytes:
        """Return all remaining bytes."""
        return self.take(len(self._data) - self._position)


def uint32(value: int) -> bytes:
    """Encode a uint32 of RFC 4251."""
    return struct.pack(">I", value)


def string(value: bytes | str) -> bytes:
    """Encode a string of RFC 4251."""
    data = value.encode("latin-1", "replace") if isinstance(value, str) else value
    return uint32(len(data)) + data


def boolean(value: bool) -> bytes:
    """Encode a boolean of RFC 4251."""
    return bytes((value,))


# Each message is a frozen dataclass whose fields, in order, are its layout: uint32 for int, string for str
# and bytes, boolean for bool. A field named `extra` holds the remaining bytes.


@dataclass(frozen=True, slots=True)
class Disconnect:
    """SSH_MSG_DISCONNECT (RFC 4253, section 11.1)."""

    reason: int
    description: str
    language: str = ""


@dataclass(frozen=True, slots=True)
class Ignore:
    """SSH_MSG_IGNORE (RFC 4253, section 11.2)."""

    extra: bytes = b""


@dataclass(frozen=True, slots=True)
class Unimplemented:
    """SSH_MSG_UNIMPLEMENTED (RFC 4253, section 11.4)."""

    sequence: int


@dataclass(frozen=True, slots=True)
class Debug:
    """SSH_MSG_DEBUG (RFC 4253, section 11.3)."""

    extra: bytes = b""


@dataclass(frozen=True, slots=True)
class GlobalRequest:
    """SSH_MSG_GLOBAL_REQUEST (RFC 4254, section 4)."""

    name: str
    want_reply: bool
    extra: bytes = b""


@dataclass(frozen=True, slots=True)
class RequestSuccess:
    """SSH_MSG_REQUEST_SUCCESS (RFC 4254, section 4)."""

    extra: bytes = b""


@dataclass(frozen=True, slots=True)
class RequestFailure:
    """SSH_MSG_REQUEST_FAILURE (RFC 4254, section 4)."""

    pass


@dataclass(frozen=True, slots=True)
class ChannelOpen:
    """SSH_MSG_CHANNEL_OPEN (RFC 4254, section 5.1); `window` and `packet_most` are in bytes."""

    kind: str
    sender: int
    window: int
    packet_most: int
    extra: bytes = b""


@dataclass(frozen=True, slots=True)
class OpenConfirmation:
    """SSH_MSG_CHANNEL_OPEN_CONFIRMATION (RFC 4254, section 5.1); `window` and `packet_most` are in bytes."""

    recipient: int
    sender: int
    window: int
    packet_most: int
    extra: bytes = b""


@dataclass(frozen=True, slots=True)
class OpenFailure:
    """SSH_MSG_CHANNEL_OPEN_FAILURE (RFC 4254, section 5.1)."""

    recipient: int
    reason: int
    description: str
    language: str = ""


@dataclass(frozen=True, slots=True)
class WindowAdjust:
    """SSH_MSG_CHANNEL_WINDOW_ADJUST (RFC 4254, section 5.2); `count` is in bytes."""

    recipient: int
    count: int


@dataclass(frozen=True, slots=True)
class Data:
    """SSH_MSG_CHANNEL_DATA (RFC 4254, section 5.2)."""

    recipient: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ExtendedData:
    """SSH_MSG_CHANNEL_EXTENDED_DATA (RFC 4254, section 5.2)."""

    recipient: int
    kind: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Eof:
    """SSH_MSG_CHANNEL_EOF (RFC 4254, section 5.3)."""

    recipient: int


@dataclass(frozen=True, slots=True)
class Close:
    """SSH_MSG_CHANNEL_CLOSE (RFC 4254, section 5.3)."""

    recipient: int


@dataclass(frozen=True, slots=True)
class ChannelRequest:
    """SSH_MSG_CHANNEL_REQUEST (RFC 4254, section 5.4)."""

    recipient: int
    name: str
    want_reply: bool
    extra: bytes = b""


@dataclass(frozen=True, slots=True)
class ChannelSuccess:
    """SSH_MSG_CHANNEL_SUCCESS (RFC 4254, section 5.4)."""

    recipient: int


@dataclass(frozen=True, slots=True)
class ChannelFailure:
    """SSH_MSG_CHANNEL_FAILURE (RFC 4254, section 5.4)."""

    recipient: int


@dataclass(frozen=True, slots=True)
class Unknown:
    """A message with an unknown number, to be answered with UNIMPLEMENTED."""

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

# Messages for an established channel; `recipient` is its number at the receiver.
ChannelMessage = (
    WindowAdjust | Data | ExtendedData | Eof | Close | ChannelRequest | ChannelSuccess | ChannelFailure
)

_MESSAGE_CLASSES: dict[int, type] = {
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
_READERS: dict[str, Callable[[PayloadReader], object]] = {
    "int": PayloadReader.uint32,
    "str": PayloadReader.text,
    "bytes": PayloadReader.string,
    "bool": PayloadReader.boolean,
}
_WRITERS: dict[str, Callable[..., bytes]] = {"int": uint32, "str": string, "bytes": string, "bool": boolean}
_LAYOUTS = {
    cls: [(f.name, "rest" if f.name == "extra" else str(f.type)) for f in fields(cls)]
    for cls in _MESSAGE_CLASSES.values()
}
_MESSAGE_NUMBERS = {cls: number for number, cls in _MESSAGE_CLASSES.items()}
_DATA_NUMBER = _MESSAGE_NUMBERS[Data]
_DATA_HEADER = struct.Struct(">BII")  # number, recipient, bytes of data


def decode(payload: bytes) -> Message:
    """Decode a payload; raises MalformedMessage."""
    reader = PayloadReader(payload)
    number = reader.byte()
    if number == _DATA_NUMBER:
        return _decode_data(payload)
    if 20 <= number <= 49:
        raise MalformedMessage("no key exchange here", KEY_EXCHANGE_FAILED)
    cls = _MESSAGE_CLASSES.get(number)
    if cls is None:
        return Unknown(number)
    values = [reader.rest() if kind == "rest" else _READERS[kind](reader) for _, kind in _LAYOUTS[cls]]
    if reader.rest():
        raise MalformedMessage("message too long")
    message: Message = cls(*values)
    return message


def _decode_data(payload: bytes) -> Data:
    """Decode CHANNEL_DATA in one step, as a line may come in hundreds of them; raises MalformedMessage."""
    if len(payload) < _DATA_HEADER.size:
        raise MalformedMessage("message too short")
    _, recipient, size = _DATA_HEADER.unpack_from(payload)
    data = payload[_DATA_HEADER.size :]
    if len(data) != size:
        raise MalformedMessage("message too short" if len(data) < size else "message too long")
    return Data(recipient, data)


def encode(message: Message) -> bytes:
    """Encode a message as one packet."""
    payload = bytearray((_MESSAGE_NUMBERS[type(message)],))
    for name, kind in _LAYOUTS[type(message)]:
        value = getattr(message, name)
        payload += value if kind == "rest" else _WRITERS[kind](value)
    return encode_packet(bytes(payload))


def encode_packet(payload: bytes) -> bytes:
    """Return a packet: its length, the padding's length, the payload, at least four bytes of padding."""
    padding = BLOCK_BYTES - (5 + len(payload)) % BLOCK_BYTES
    if padding < 4:
        padding += BLOCK_BYTES
    return uint32(1 + len(payload) + padding) + bytes((padding,)) + payload + bytes(padding)


class PacketReader:
    """Splits a stream into its version line and payloads; `banner` allows lines before the version."""

    def __init__(self, banner: bool) -> None:
        self._buffer = bytearray()
        self._banner_lines_left = MAX_BANNER_LINES if banner else 0
        self.version: str | None = None

    def feed(self, chunk: bytes) -> None:
        """Add received bytes."""
        self._buffer += chunk

    @property
    def pending(self) -> bool:
        """Whether part of a message has been fed."""
        return bool(self._buffer)

    @property
    def has_partial_open(self) -> bool:
        """Whether part of a CHANNEL_OPEN has been fed, far enough to recognise it."""
        return (
            len(self._buffer) > PAYLOAD_OFFSET
            and _MESSAGE_CLASSES.get(self._buffer[PAYLOAD_OFFSET]) is ChannelOpen
        )

    def next(self) -> bytes | None:
        """Return the next payload, or None if it is incomplete; raises MalformedMessage."""
        if self.version is None and not self._read_version():
            return None
        if len(self._buffer) < PAYLOAD_OFFSET:
            return None
        length = int.from_bytes(self._buffer[:4], "big")
        padding = self._buffer[4]
        if not 12 <= length <= MAX_PACKET_BYTES or (length + 4) % BLOCK_BYTES:
            raise MalformedMessage(f"packet of {length} bytes")
        if padding < 4 or padding + 2 > length:
            raise MalformedMessage(f"padding of {padding} bytes")
        if len(self._buffer) < 4 + length:
            return None
        payload = bytes(self._buffer[PAYLOAD_OFFSET : 4 + length - padding])
        del self._buffer[: 4 + length]
        return payload

    def _read_version(self) -> bool:
        while True:
            end = self._buffer.find(b"\n")
            if end + 1 > MAX_VERSION_BYTES or (end < 0 and len(self._buffer) >= MAX_VERSION_BYTES):
                raise MalformedMessage("version line too long")
            if end < 0:
                return False
            line = self._buffer[: end + 1].decode("latin-1").rstrip("\r\n")
            del self._buffer[: end + 1]
            if line.startswith("SSH-"):
                if not line.startswith("SSH-2.0-"):
                    raise MalformedMessage("only SSH-2.0 is spoken here", VERSION_NOT_SUPPORTED)
                self.version = line
                return True
            if self._banner_lines_left <= 0:
                raise MalformedMessage("no version line", VERSION_NOT_SUPPORTED)
            self._banner_lines_left -= 1
