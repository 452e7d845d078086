"""The lines of the platform's protocol and their values. Each is decoded once and encoded once."""

from __future__ import annotations

import math
from dataclasses import dataclass

from puffinford.core.values import Busy, Failed, Kind, Message, Opening, Up
from puffinford.interface import Result

END = b"\r\n"
PING = "PING"
PONG = b"PONG" + END
MOVE = b"MOVE" + END


class BadLine(Exception):
    """A line in no known form; the text says what is wrong."""


@dataclass(frozen=True, slots=True)
class Ping:
    pass


def _text(line: bytes) -> str:
    if not line.endswith(END):
        raise BadLine("no line end")
    # Latin-1 keeps every byte, so that the line goes on as it came.
    return line[:-2].decode("latin-1")


def _milliseconds(text: str | None) -> float:
    try:
        value = float(text or "")
    except ValueError:
        value = math.nan
    if not 0 <= value < math.inf:
        raise BadLine("d is no number of milliseconds")
    return value


def _load(text: str | None) -> float | None:
    try:
        value = float(text or "")
    except ValueError:
        return None
    return value if 0 <= value < math.inf else None


def decode_first(line: bytes) -> Opening | Ping:
    """The first line of a submitter."""
    text = _text(line)
    if text == PING:
        return Ping()
    parts = text.split(" ")
    if len(parts) != 4 or parts[0] != "OPEN" or not parts[1] or not parts[2]:
        raise BadLine("not OPEN ID KEY LIST")
    figures = []
    for piece in parts[3].split(","):
        name, sign, value = piece.partition("=")
        figures.append((name, value if sign else None))
    return opening(parts[1], parts[2], tuple(figures))


def opening(job: str, key: str, figures: tuple[tuple[str, str | None], ...]) -> Opening:
    """An opening from its named values, whichever front brought them."""
    named = dict(reversed(figures))  # the first of a name counts
    if not named.get("c"):
        raise BadLine("no class")
    return Opening(
        job,
        key,
        named["c"] or "",
        _milliseconds(named.get("d")),
        named.get("t") or None,
        named.get("g") or None,
        named.get("r") == "1",
        named.get("again") == "1",
        named.get("at") or None,
        _load(named.get("h")),
        figures,
    )


def whole_milliseconds(wait: float) -> str:
    """A wait as it is written; never longer than it is, and at least 1."""
    return str(max(1, int(wait)))


def figures_with_wait(opening: Opening, wait: float) -> list[tuple[str, str | None]]:
    return [(n, whole_milliseconds(wait) if n == "d" else v) for n, v in opening.figures]


def encode_opening(opening: Opening, wait: float) -> bytes:
    """The line as it came, but for `d`."""
    pieces = [n if v is None else f"{n}={v}" for n, v in figures_with_wait(opening, wait)]
    return f"OPEN {opening.job} {opening.key} {','.join(pieces)}".encode("latin-1") + END


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


def decode_answer(line: bytes) -> Up | Result:
    """A server's first line: UP, or how the claim ended."""
    try:
        word, _, rest = _text(line).partition(" ")
    except BadLine:
        return Result.ERROR
    if word == "UP":
        return Up(rest)
    return {"BUSY": Result.FULL, "BYE": Result.OK, "MOVE": Result.CANCELLED}.get(word, Result.ERROR)


def decode_message(line: bytes) -> Message:
    """A line on a standing connection."""
    word, _, rest = line.rstrip(b"\r\n").partition(b" ")
    if word == b"BYE":
        return Message(line, Kind.BYE)
    if word == b"MOVE":
        return Message(line, Kind.MOVE)
    if word == b"LOAD":
        note = _load(rest.decode("latin-1"))
        if note is not None:
            return Message(line, Kind.NOTE, note)
    return Message(line)
