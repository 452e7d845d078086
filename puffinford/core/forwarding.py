"""The relaying of a standing connection, one direction a task."""

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

HALF_CLOSED = 800.0  # ms in which a client that ended may still hear its server; the rules allow 1 s in all


class Relay:
    """Passes messages on between the two legs of a request until one of them ends."""

    def __init__(self, context: Context, completions: Completions, delays: DelayWatch) -> None:
        self._context = context
        self._completions = completions
        self._delays = delays

    # From the client

    async def listen(self, request: ClientRequest) -> None:
        """Pass on what the client sends; before UP only its leaving matters."""
        broken = False
        try:
            while True:
                message = await request.client.receive()
                if not request.up.is_set():
                    # Guards against commands sent at once: a client waits for its answer, and
                    # nothing but its opening may reach a server on its account.
                    self._completions.abandon(request, Completion(Failed("a line before UP")))
                    return
                attempt = request.attempt
                if attempt is None or attempt.connection is None:
                    return
                attempt.unanswered.sent(self._context.clock.now())
                try:
                    await attempt.connection.send(message)
                except ConnectionBroken:
                    return  # what reads from the server says how it ended: it always comes to an end
        except PeerClosed:
            pass
        except ConnectionBroken:
            broken = True
        await self._client_ended(request, broken)

    async def _client_ended(self, request: ClientRequest, broken: bool) -> None:
        if request.completion is not None:
            return
        if not request.is_established:
            self._completions.abandon(request, Completion(broken=True))
            return
        if not broken and request.attempt is not None and request.attempt.connection is not None:
            request.left = True
            try:
                await request.attempt.connection.end_sending()
                await self._context.clock.sleep(HALF_CLOSED)
            except ConnectionBroken:
                pass
        self._completions.close(request, Completion(broken=broken), it.Result.CANCELLED)

    # From the server

    async def run(self, request: ClientRequest, attempt: ServerAttempt, up: Up) -> None:
        """Answer UP, then pass on what the server sends until it ends."""
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
                last = await self._next(request, attempt, connection)
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
        """A client that takes nothing any more has gone.

        Guards against a listener that has returned, for the server was lost as well: nobody would end the
        request. One that hears out a client which has ended its side ends it itself.
        """
        if not request.left:
            self._completions.close(request, Completion(broken=True), it.Result.CANCELLED)

    def _log_up(self, request: ClientRequest, attempt: ServerAttempt) -> None:
        opening = request.opening
        server = attempt.entry.server.id
        told = {"request": request.id, "key": opening.key, "group": opening.group or "", "server": server}
        log.info("up", extra={**told, "attempts": attempt.number + 1})

    async def _answer_up(self, request: ClientRequest, attempt: ServerAttempt, up: Up) -> bool:
        """Whether the client has taken its UP."""
        try:
            await request.client.answer(up)
        except ConnectionBroken:
            return False
        context = self._context
        context.counters.add(request.opening.cls, Count.SERVED)
        if context.observer is not None:
            set_up = context.clock.now() - (request.deadline - request.opening.wait)
            context.observer.on_established(request.key, request.opening.cls, attempt.entry.server.id, set_up)
        return True

    async def _next(
        self, request: ClientRequest, attempt: ServerAttempt, connection: PeerConnection
    ) -> Message:
        message = await connection.receive()
        if message.kind is MessageKind.NOTE:
            attempt.unanswered.heard(self._context.clock.now())
            self._delays.note(request.id, attempt.entry.server.id, message.note)
        else:
            self._delays.answered(attempt)
        return message


def _result(request: ClientRequest, last: MessageKind, broken: bool) -> it.Result:
    """What a server's end says of it, by the last message that it sent."""
    if last is MessageKind.BYE and not broken:
        return it.Result.OK
    if (last is MessageKind.MOVE or request.left) and not broken:
        # Guards a sound server against being taken for failed: it ended because its client had.
        return it.Result.CANCELLED
    return it.Result.RESET
