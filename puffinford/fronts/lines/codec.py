"""The lines of the platform's protocol and their values. Each is decoded once and encoded once."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass

from puffinford.core.values import (
    Busy,
    Failed,
    InvalidOpening,
    Message,
    MessageKind,
    Opening,
    Up,
    parse_number,
)
from puffinford.fronts.sockets import LINE_MOST
from puffinford.interface import Result

_CONTROL = re.compile(r"[\x00-\x1f\x7f]")
END = b"\r\n"
PING = "PING"
STATS = "STATS"
PONG = b"PONG" + END
MOVE = b"MOVE" + END


class BadLine(InvalidOpening):
    """A line in no known form; the text says what is wrong."""


@dataclass(frozen=True, slots=True)
class Ping:
    pass


def _text(line: bytes) -> str:
    if not line.endswith(END):
        raise BadLine("no line end")
    # Latin-1 keeps every byte, so that the line goes on as it came.
    return line[:-2].decode("latin-1")


def decode_first(line: bytes) -> Opening | Ping:
    """The first line of a client."""
    if len(line) > LINE_MOST:
        raise BadLine("line too long")
    text = _text(line)
    if text == PING:
        return Ping()
    parts = text.split(" ")
    if len(parts) != 4 or parts[0] != "OPEN" or not parts[1] or not parts[2]:
        raise BadLine("not OPEN ID KEY LIST")
    if _CONTROL.search(text):
        raise BadLine("control characters")
    parameters = []
    for piece in parts[3].split(","):
        name, sign, value = piece.partition("=")
        parameters.append((name, value if sign else None))
    return Opening.from_parameters(parts[1], parts[2], tuple(parameters))


def encode_opening(opening: Opening, wait: float) -> bytes:
    """The line as it came, but for `d`."""
    left = str(max(1, int(wait)))  # never longer than it is
    pieces = [n if v is None else f"{n}={left if n == 'd' else v}" for n, v in opening.parameters]
    return f"OPEN {opening.request_id} {opening.key} {','.join(pieces)}".encode("latin-1") + END


def encode_answer(answer: Up | Busy | Failed) -> bytes:
    match answer:
        case Up():
            return f"UP {answer.receipt}".encode("latin-1") + END
        case Busy(retry_after) if retry_after >= 1:
            return f"BUSY {math.ceil(retry_after)}".encode() + END
        case Busy():
            return b"BUSY" + END
        case Failed():
            return f"ERR {answer.reason}".encode("latin-1", "replace") + END


def decode_answer(line: bytes) -> tuple[Up | Result, str]:
    """A server's first line: UP, or how the attempt ended, with the load report that it may end with."""
    try:
        word, _, rest = _text(line).partition(" ")
    except BadLine:
        return Result.ERROR, ""
    if word == "UP" and rest:
        return Up(rest), ""
    result = {"BUSY": Result.FULL, "BYE": Result.OK, "MOVE": Result.CANCELLED}.get(word, Result.ERROR)
    return result, "" if word == "MOVE" else rest


def decode_probe(line: bytes) -> tuple[Result, str]:
    """A server's answer to PING or STATS, with the load report that may follow."""
    try:
        word, _, rest = _text(line).partition(" ")
    except BadLine:
        return Result.ERROR, ""
    return (Result.OK, rest) if word == "PONG" else (Result.ERROR, "")


def decode_message(line: bytes) -> Message:
    """A line on a standing connection."""
    word, _, rest = line.rstrip(b"\r\n").partition(b" ")
    if word == b"BYE":
        return Message(line, MessageKind.BYE, report=rest.decode("latin-1"))
    if word == b"MOVE":
        return Message(line, MessageKind.MOVE)
    if word == b"LOAD":
        note = parse_number(rest.decode("latin-1"))
        if note is not None:
            return Message(line, MessageKind.NOTE, note)
    return Message(line)


_LINES = {MessageKind.BYE: b"BYE" + END, MessageKind.MOVE: MOVE}


def encode_message(message: Message) -> bytes:
    """The line as it came; where it came by other means, the line for its kind."""
    if message.data or message.kind is MessageKind.DATA:
        return message.data
    return _LINES.get(message.kind) or f"LOAD {message.note:g}".encode() + END
