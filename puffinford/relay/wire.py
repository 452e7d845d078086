"""Parser and encoder for the subset of HTTP/1.1 that the list protocol uses. No I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass

MAX_HEAD_BYTES = 4_096
MAX_WAIT_MS = 60_000
_LINE = re.compile(rb"(GET|HEAD|POST|PUT|DELETE|PATCH|OPTIONS) (\S{1,1024}) HTTP/1\.[01]\r\n")
_TARGET = re.compile(rb"/v1/servers(?:\?(.*))?", re.DOTALL)
_INTEGER = re.compile(rb"-?\d{1,18}")


def _empty_response(status: bytes) -> bytes:
    return b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


UNAVAILABLE = _empty_response(b"503 Service Unavailable")
BAD_REQUEST = _empty_response(b"400 Bad Request")
NOT_FOUND = _empty_response(b"404 Not Found")
METHOD_NOT_ALLOWED = _empty_response(b"405 Method Not Allowed")


class BadCall(Exception):
    """A call that is invalid in the list protocol; `response` is the complete answer to it."""

    def __init__(self, response: bytes) -> None:
        super().__init__(response.partition(b"\r\n")[0].decode())
        self.response = response


@dataclass(frozen=True, slots=True)
class Call:
    """One call for the list. `index` is the version held by the caller, None to request the full list;
    `wait` is how long to wait for changes, in ms.
    """

    index: int | None = None
    wait: float = 0.0


def parse_call(head: bytes) -> Call:
    """Parse a complete request head. Raises BadCall."""
    line = _LINE.match(head)
    if line is None:
        raise BadCall(BAD_REQUEST)
    target = _TARGET.fullmatch(line[2])
    if target is None:
        raise BadCall(NOT_FOUND)
    if line[1] != b"GET":
        raise BadCall(METHOD_NOT_ALLOWED)
    if not target[1]:
        return Call()
    parameters = dict(pair.partition(b"=")[::2] for pair in target[1].split(b"&"))
    index = _parse_integer(parameters.get(b"index"))
    wait = _parse_integer(parameters.get(b"wait")) or 0
    if wait < 0:
        raise BadCall(BAD_REQUEST)
    return Call(index, float(min(wait, MAX_WAIT_MS)))


def _parse_integer(text: bytes | None) -> int | None:
    if text is None:
        return None
    if _INTEGER.fullmatch(text) is None:
        raise BadCall(BAD_REQUEST)
    return int(text)


def encode_answer(version: int, full: bool, entries: list[bytes]) -> bytes:
    """Encode a complete HTTP response; `entries` are JSON objects."""
    start = b'{"version":%d,"full":%b,"servers":[' % (version, b"true" if full else b"false")
    rest = b",".join(entries)
    size = len(start) + len(rest) + 2
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n" % size
    return b"".join((head, b"Connection: close\r\n\r\n", start, rest, b"]}"))
