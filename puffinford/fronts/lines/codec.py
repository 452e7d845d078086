"""Encoding and decoding of the lines of the platform's protocol."""

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
    split_parameters,
)
from puffinford.fronts.sockets import MAX_LINE_BYTES
from puffinford.interface import Result

_CONTROL_CHARACTERS = re.compile(r"[\x00-\x1f\x7f]")
LINE_END = b"\r\n"
PING = "PING"
STATS = "STATS"
PONG = b"PONG" + LINE_END
MOVE = b"MOVE" + LINE_END
_LOAD = b"LOAD "
_BYE = re.compile(rb"BYE(?: (\S+=\S*))?\r\n")  # with a load report or without


class InvalidLine(InvalidOpening):
    """A line that cannot be parsed; the message gives the reason."""


@dataclass(frozen=True, slots=True)
class Ping:
    """A client's PING."""

    pass


def _decode_text(line: bytes) -> str:
    """Return a line without its end; raises InvalidLine if it has none."""
    if not line.endswith(LINE_END):
        raise InvalidLine("no line end")
    # Latin-1 preserves every byte, so that the line is passed on unchanged.
    return line[:-2].decode("latin-1")


def decode_command(line: bytes) -> Opening | Ping:
    """Decode a client's OPEN or PING; raises InvalidLine, or InvalidOpening for its values."""
    if len(line) > MAX_LINE_BYTES:
        raise InvalidLine("line too long")
    text = _decode_text(line)
    if text == PING:
        return Ping()
    parts = text.split(" ")
    if len(parts) != 4 or parts[0] != "OPEN" or not parts[1] or not parts[2]:
        raise InvalidLine("not OPEN ID KEY LIST")
    if _CONTROL_CHARACTERS.search(text):
        raise InvalidLine("control characters")
    return Opening.from_parameters(parts[1], parts[2], split_parameters(parts[3]))


def encode_opening(opening: Opening, timeout_ms: float) -> bytes:
    """Encode an OPEN with its parameters unchanged, except that `d` is the remaining timeout in ms."""
    remaining_ms = str(max(1, int(timeout_ms)))  # rounded down
    items = [n if v is None else f"{n}={remaining_ms if n == 'd' else v}" for n, v in opening.parameters]
    return f"OPEN {opening.request_id} {opening.key} {','.join(items)}".encode("latin-1") + LINE_END


def encode_answer(answer: Up | Busy | Failed) -> bytes:
    """Encode the answer to an OPEN; a retry-after is rounded up to whole ms."""
    match answer:
        case Up():
            return f"UP {answer.receipt}".encode("latin-1") + LINE_END
        case Busy(retry_after) if retry_after >= 1:
            return f"BUSY {math.ceil(retry_after)}".encode() + LINE_END
        case Busy():
            return b"BUSY" + LINE_END
        case Failed():
            return f"ERR {answer.reason}".encode("latin-1", "replace") + LINE_END


def decode_answer(line: bytes) -> tuple[Up | Result, str]:
    """Decode a server's first line: UP or the attempt's result, and the load report after it, if any."""
    try:
        word, _, rest = _decode_text(line).partition(" ")
    except InvalidLine:
        return Result.ERROR, ""
    if word == "UP" and rest:
        return Up(rest), ""
    result = {"BUSY": Result.FULL, "BYE": Result.OK, "MOVE": Result.CANCELLED}.get(word, Result.ERROR)
    return result, "" if word == "MOVE" else rest


def decode_probe_answer(line: bytes) -> tuple[Result, str]:
    """Decode a server's answer to PING or STATS: the result, and the load report after it, if any."""
    try:
        word, _, rest = _decode_text(line).partition(" ")
    except InvalidLine:
        return Result.ERROR, ""
    return (Result.OK, rest) if word == "PONG" else (Result.ERROR, "")


def decode_server_message(line: bytes) -> Message:
    """Decode a line of a server's established connection: a word of the protocol in its exact form, or data.

    Clients have no such words: their lines are data, whatever they hold.
    """
    if line == MOVE:
        return Message(line, MessageKind.MOVE)
    bye = _BYE.fullmatch(line)
    if bye is not None:
        return Message(line, MessageKind.BYE, report=(bye[1] or b"").decode("latin-1"))
    if line.startswith(_LOAD) and line.endswith(LINE_END):
        note = parse_number(line[len(_LOAD) : -len(LINE_END)].decode("latin-1"))
        if note is not None:
            return Message(line, MessageKind.NOTE, note)
    return Message(line)


_LINES_BY_KIND = {MessageKind.BYE: b"BYE" + LINE_END, MessageKind.MOVE: MOVE}


def encode_message(message: Message) -> bytes:
    """Return the original line of a message, or a line for its kind if it arrived over another front."""
    if message.data or message.kind is MessageKind.DATA:
        return message.data
    return _LINES_BY_KIND.get(message.kind) or _LOAD + b"%d" % message.note + LINE_END
