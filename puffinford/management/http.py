"""One HTTP/1.1 call a connection, through h11."""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import unquote, urlsplit

import h11

from puffinford.core.values import ConnectionBroken, PeerClosed
from puffinford.fronts.accepting import ConnectionTracker
from puffinford.fronts.sockets import TcpStream

log = logging.getLogger(__name__)

CALL_MOST = 5_000.0  # a caller that has not finished its call by then is closed
HEAD_MOST = 8_192  # bytes of a call's head
BODY_MOST = 16_384  # bytes of a body; no call needs one


@dataclass(frozen=True, slots=True)
class Call:
    method: str
    path: tuple[str, ...]  # the parts between slashes, decoded


@dataclass(frozen=True, slots=True)
class Reply:
    status: int
    text: str
    allow: str = ""  # the method that the path takes, with a 405


class HttpCallHandler:
    """Reads calls and writes what `answer` says to them. Callers that stall hold a place at the door only."""

    def __init__(self, answer: Callable[[Call], Awaitable[Reply]], tracker: ConnectionTracker) -> None:
        self._answer = answer
        self._tracker = tracker

    async def handle(self, stream: TcpStream) -> None:
        connection = h11.Connection(h11.SERVER, max_incomplete_event_size=HEAD_MOST)
        with (
            self._tracker.evictable_wait(CALL_MOST) as heard,
            contextlib.suppress(PeerClosed, ConnectionBroken),
        ):
            method = ""
            try:
                call = await self._read(stream, connection, heard)
                method = call.method
                reply = await self._answer(call)
            except h11.RemoteProtocolError as exc:
                reply = Reply(400, f"cannot be read: {exc}")
            except (PeerClosed, ConnectionBroken):
                raise
            except Exception:
                # Guards the caller against silence where a fault is ours.
                log.exception("call failed")
                reply = Reply(500, "a fault in the balancer; its log says more")
            await stream.write(_encode(connection, reply, with_body=method != "HEAD"))
            await stream.end()

    async def _read(self, stream: TcpStream, connection: h11.Connection, heard: Callable[[], None]) -> Call:
        """The whole call; raises RemoteProtocolError, Ended or Broken."""
        call: Call | None = None
        body = 0
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await stream.read())
                heard()
            elif isinstance(event, h11.Request):
                call = _call(event)
                if connection.they_are_waiting_for_100_continue:
                    go_on = h11.InformationalResponse(status_code=100, headers=[])
                    await stream.write(connection.send(go_on) or b"")
            elif isinstance(event, h11.Data):
                body += len(event.data)
                if body > BODY_MOST:
                    raise h11.RemoteProtocolError("the body is too long")
            elif isinstance(event, h11.EndOfMessage) and call is not None:
                return call
            else:
                raise PeerClosed


def _call(request: h11.Request) -> Call:
    try:
        path = urlsplit(request.target.decode("ascii")).path
        parts = tuple(unquote(part, errors="strict") for part in path.split("/")[1:])
    except ValueError:
        raise h11.RemoteProtocolError("the target is no path") from None
    return Call(request.method.decode("ascii"), parts)


def _encode(connection: h11.Connection, reply: Reply, with_body: bool) -> bytes:
    body = reply.text.encode() + b"\n"
    headers = [
        ("Content-Type", "text/plain; charset=utf-8"),
        ("Content-Length", str(len(body))),
        ("Cache-Control", "no-store"),
        ("Connection", "close"),
    ]
    if reply.allow:
        headers.append(("Allow", reply.allow))
    pieces = [
        connection.send(h11.Response(status_code=reply.status, headers=headers)),
        connection.send(h11.Data(data=body if with_body else b"")),
        connection.send(h11.EndOfMessage()),
    ]
    return b"".join(piece or b"" for piece in pieces)
