"""A minimal HTTP/1.1 server for the management address, through h11: one call per connection."""

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

CALL_TIMEOUT_MS = 5_000.0  # for a caller to finish sending its call
MAX_HEAD_BYTES = 8_192
MAX_BODY_BYTES = 16_384  # no call of the admin API has a body


@dataclass(frozen=True, slots=True)
class Call:
    """The method and the path of one call."""

    method: str
    path: tuple[str, ...]  # the segments, percent-decoded


@dataclass(frozen=True, slots=True)
class Reply:
    """A response with a plain text body."""

    status: int
    text: str
    allow: str = ""  # with status 405, the method that the path accepts


class HttpCallHandler:
    """Reads calls and writes the replies of `answer`; a caller that stalls may be evicted by `tracker`."""

    def __init__(self, answer: Callable[[Call], Awaitable[Reply]], tracker: ConnectionTracker) -> None:
        self._answer = answer
        self._tracker = tracker

    async def handle(self, stream: TcpStream) -> None:
        """Read one call, answer it and end the connection."""
        connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        with contextlib.suppress(PeerClosed, ConnectionBroken):
            method = ""
            try:
                call = await self._read_in_time(stream, connection)
                if call is None:
                    return
                method = call.method
                reply = await self._answer(call)
            except h11.RemoteProtocolError as exc:
                reply = Reply(400, f"malformed request: {exc}")
            except (PeerClosed, ConnectionBroken):
                raise
            except Exception:
                # Answers the caller even when the handler has a bug.
                log.exception("call failed")
                reply = Reply(500, "internal error; see the log of the balancer")
            await stream.finish(_encode(connection, reply, with_body=method != "HEAD"))
            await stream.end()

    async def _read_in_time(self, stream: TcpStream, connection: h11.Connection) -> Call | None:
        """Read a complete call; None if it takes over CALL_TIMEOUT_MS or its descriptor is needed.

        Only the read may be evicted: the caller of a change that is being made has to learn of its result.
        """
        with self._tracker.evictable_wait(CALL_TIMEOUT_MS) as on_data:
            return await self._read(stream, connection, on_data)
        return None

    async def _read(self, stream: TcpStream, connection: h11.Connection, on_data: Callable[[], None]) -> Call:
        """Read a complete call; raises RemoteProtocolError, PeerClosed or ConnectionBroken."""
        call: Call | None = None
        body_bytes = 0
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await stream.read())
                on_data()
            elif isinstance(event, h11.Request):
                call = _parse_call(event)
                if connection.they_are_waiting_for_100_continue:
                    continue_response = h11.InformationalResponse(status_code=100, headers=[])
                    await stream.write(connection.send(continue_response) or b"")
            elif isinstance(event, h11.Data):
                body_bytes += len(event.data)
                if body_bytes > MAX_BODY_BYTES:
                    raise h11.RemoteProtocolError("the body is longer than 16384 bytes")
            elif isinstance(event, h11.EndOfMessage) and call is not None:
                return call
            else:
                raise PeerClosed


def _parse_call(request: h11.Request) -> Call:
    try:
        path = urlsplit(request.target.decode("ascii")).path
        segments = tuple(unquote(segment, errors="strict") for segment in path.split("/")[1:])
    except ValueError:
        raise h11.RemoteProtocolError("the target is not a path") from None
    return Call(request.method.decode("ascii"), segments)


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
    parts = [
        connection.send(h11.Response(status_code=reply.status, headers=headers)),
        connection.send(h11.Data(data=body if with_body else b"")),
        connection.send(h11.EndOfMessage()),
    ]
    return b"".join(part or b"" for part in parts)
