"""Calls and answers as bytes: the little of HTTP/1.1 that the list protocol needs. No I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass

HEAD_MOST = 4_096  # bytes of a call
WAIT_MOST = 60_000  # ms, as the protocol has it
_LINE = re.compile(rb"(GET|HEAD|POST|PUT|DELETE|PATCH|OPTIONS) (\S{1,1024}) HTTP/1\.[01]\r\n")
_TARGET = re.compile(rb"/v1/servers(?:\?(.*))?", re.DOTALL)
_FIGURE = re.compile(rb"-?\d{1,18}")


def _empty(status: bytes) -> bytes:
    return b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


UNAVAILABLE = _empty(b"503 Service Unavailable")
BAD_REQUEST = _empty(b"400 Bad Request")
NOT_FOUND = _empty(b"404 Not Found")
NOT_ALLOWED = _empty(b"405 Method Not Allowed")


class BadCall(Exception):
    """A call that is none of this protocol; `response` is its whole answer."""

    def __init__(self, response: bytes) -> None:
        super().__init__(response.partition(b"\r\n")[0].decode())
        self.response = response


@dataclass(frozen=True, slots=True)
class Call:
    """`index` is None where the whole list is asked for; `wait` is ms."""

    index: int | None = None
    wait: float = 0.0


def read_call(head: bytes) -> Call:
    """A call from its whole head; raises BadCall."""
    line = _LINE.match(head)
    if line is None:
        raise BadCall(BAD_REQUEST)
    target = _TARGET.fullmatch(line[2])
    if target is None:
        raise BadCall(NOT_FOUND)
    if line[1] != b"GET":
        raise BadCall(NOT_ALLOWED)
    if not target[1]:
        return Call()
    figures = dict(pair.partition(b"=")[::2] for pair in target[1].split(b"&"))
    index = _figure(figures.get(b"index"))
    wait = _figure(figures.get(b"wait")) or 0
    if wait < 0:
        raise BadCall(BAD_REQUEST)
    return Call(index, float(min(wait, WAIT_MOST)))


def _figure(text: bytes | None) -> int | None:
    if text is None:
        return None
    if _FIGURE.fullmatch(text) is None:
        raise BadCall(BAD_REQUEST)
    return int(text)


def answer(version: int, full: bool, entries: list[bytes]) -> bytes:
    """A whole answer with its head; the entries are JSON."""
    start = b'{"version":%d,"full":%b,"servers":[' % (version, b"true" if full else b"false")
    rest = b",".join(entries)
    size = len(start) + len(rest) + 2
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n" % size
    return b"".join((head, b"Connection: close\r\n\r\n", start, rest, b"]}"))
