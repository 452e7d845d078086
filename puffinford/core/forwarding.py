"""Forwarding of messages between client and server, with one task for each direction."""

from __future__ import annotations

from puffinford import interface as it
from puffinford.core.completions import Completions
from puffinford.core.context import Context
from puffinford.core.counters import Count
from puffinford.core.delay_watch import DelayWatch
from puffinford.core.logger import log
from puffinford.core.requests import ClientRequest, Completion, ServerAttempt
from puffinford.core.values import (
    ConnectionBroken,
    Failed,
    Message,
    MessageKind,
    PeerClosed,
    PeerConnection,
    Up,
)

# How long the server may still send after the client has closed its side. The rules allow 1 s in all.
HALF_CLOSE_TIMEOUT_MS = 800.0


class MessageForwarder:
    """Forwards messages between the client and the server of a request until either side ends."""

    def __init__(self, context: Context, completions: Completions, delays: DelayWatch) -> None:
        self._context = context
        self._completions = completions
        self._delays = delays

    # From the client

    async def forward_from_client(self, request: ClientRequest) -> None:
        """Forward messages from the client. Data before UP fails the request."""
        broken = False
        try:
            while True:
                message = await request.client.receive()
                if not request.up.is_set():
                    # Prevents data of a client that does not wait for UP from reaching a server.
                    self._completions.abandon(request, Completion(Failed("a line before UP")))
                    return
                attempt = request.attempt
                if attempt is None or attempt.connection is None:
                    return
                self._delays.record_line(attempt)
                try:
                    await attempt.connection.send(message)
                except ConnectionBroken:
                    return  # the task that reads from the server reports how it ended
        except PeerClosed:
            pass
        except ConnectionBroken:
            broken = True
        await self._client_closed(request, broken)

    async def _client_closed(self, request: ClientRequest, broken: bool) -> None:
        if request.completion is not None:
            return
        request.client_left = True
        if not request.is_established:
            self._completions.abandon(request, Completion(broken=True))
            return
        if not broken and request.attempt is not None and request.attempt.connection is not None:
            request.client_closed = True
            try:
                await request.attempt.connection.end_sending()
                await self._context.clock.sleep(HALF_CLOSE_TIMEOUT_MS)
            except ConnectionBroken:
                pass
        self._completions.close(request, Completion(broken=broken), it.Result.CANCELLED)

    # From the server

    async def forward_from_server(self, request: ClientRequest, attempt: ServerAttempt, up: Up) -> None:
        """Answer UP, then forward messages from the server until it ends."""
        connection = attempt.connection
        assert connection is not None
        self._log_up(request, attempt)
        last = Message(b"")
        broken = False
        request.up.set()
        try:
            if not await self._answer_up(request, attempt, up):
                self._client_lost(request)
                return
            while True:
                last = await self._receive(request, attempt, connection)
                if request.completion is not None:
                    return
                try:
                    await request.client.send(last)
                except ConnectionBroken:
                    self._client_lost(request)
                    return
        except PeerClosed:
            pass
        except ConnectionBroken:
            broken = True
        self._completions.close(
            request, Completion(broken=broken), _result(request, last.kind, broken), last.report
        )

    def _client_lost(self, request: ClientRequest) -> None:
        """Close a request whose client no longer accepts data.

        The task that reads from the client may have returned already because the server was lost too. After a
        half-close it is still running, and closes the request itself.
        """
        request.client_left = True
        if not request.client_closed:
            self._completions.close(request, Completion(broken=True), it.Result.CANCELLED)

    def _log_up(self, request: ClientRequest, attempt: ServerAttempt) -> None:
        opening = request.opening
        server = attempt.entry.server.id
        fields = {"request": request.id, "key": opening.key, "group": opening.group or "", "server": server}
        log.info("up", extra={**fields, "attempts": attempt.number + 1})

    async def _answer_up(self, request: ClientRequest, attempt: ServerAttempt, up: Up) -> bool:
        """Send UP; return whether the client accepted it."""
        try:
            await request.client.answer(up)
        except ConnectionBroken:
            return False
        context = self._context
        context.counters.add(request.opening.cls, Count.SERVED)
        if context.observer is not None:
            setup_ms = context.clock.now() - (request.deadline - request.opening.wait)
            context.observer.on_established(
                request.key, request.opening.cls, attempt.entry.server.id, setup_ms
            )
        return True

    async def _receive(
        self, request: ClientRequest, attempt: ServerAttempt, connection: PeerConnection
    ) -> Message:
        message = await connection.receive()
        if message.kind is MessageKind.NOTE:
            attempt.unanswered.heard(self._context.clock.now())
            self._delays.note(request.id, attempt.entry.server.id, message.note)
        else:
            self._delays.record_answer(attempt)
        return message


def _result(request: ClientRequest, last: MessageKind, broken: bool) -> it.Result:
    """Map the end of a server's connection to a result, by the last message that it sent."""
    if last is MessageKind.BYE and not broken:
        return it.Result.OK
    if (last is MessageKind.MOVE or request.client_closed) and not broken:
        # Prevents counting a failure of the server when it closed because its client had.
        return it.Result.CANCELLED
    return it.Result.RESET
