"""Final answers to requests, and the closing of their connections."""

from __future__ import annotations

import anyio

from puffinford.core.context import Context
from puffinford.core.counters import Count
from puffinford.core.logger import log
from puffinford.core.requests import ClientRequest, Completion
from puffinford.core.values import Busy, ClientConnection, ConnectionBroken, Failed, Opening

MOVE_TIMEOUT_MS = 800.0  # then a client that does not read MOVE is reset


class Answers:
    """Sends final answers and closes the connections of completed requests."""

    def __init__(self, context: Context) -> None:
        self._context = context

    async def refuse(
        self,
        client: ClientConnection,
        answer: Busy | Failed,
        opening: Opening,
        request: ClientRequest | None = None,
    ) -> None:
        """Send and log the final answer, and count it for requests of a known class."""
        busy = isinstance(answer, Busy)
        self._log(answer, opening, request)
        try:
            await client.answer(answer)
        except ConnectionBroken:
            await client.abort()
            return
        if opening.cls in self._context.classes:
            self._context.counters.add(opening.cls, Count.REFUSED if busy else Count.FAILED)
        await client.end()

    def _log(self, answer: Busy | Failed, opening: Opening, request: ClientRequest | None) -> None:
        fields: dict[str, object] = {"request": opening.request_id, "key": opening.key, "cls": opening.cls}
        fields["tenant"] = opening.tenant or ""
        fields["answer"], fields["why"] = (
            ("busy", answer.reason) if isinstance(answer, Busy) else ("failed", answer.reason)
        )
        if request is not None:
            fields["attempts"] = request.attempt_count
            fields["waited_ms"] = round(self._context.clock.now() - request.deadline + opening.wait)
        log.info("answer", extra=fields)

    async def close_connections(self, request: ClientRequest) -> None:
        """Close the client and server connections according to the request's completion."""
        completion = request.completion
        assert completion is not None
        server_connection = request.attempt.connection if request.attempt is not None else None
        async with anyio.create_task_group() as tasks:
            if server_connection is not None:
                tasks.start_soon(
                    server_connection.abort
                    if completion.broken or completion.answer
                    else server_connection.end
                )
            await self._close_client(request, completion)

    async def _close_client(self, request: ClientRequest, completion: Completion) -> None:
        client = request.client
        if completion.answer is not None:
            observer = self._context.observer
            if observer is not None:
                failed = not isinstance(completion.answer, Busy)
                observer.on_refused(request.key, request.opening.cls, failed=failed)
            await self.refuse(client, completion.answer, request.opening, request)
            return
        if completion.broken or (completion.move and not await self._send_move(request)):
            await client.abort()
            return
        await client.end()

    async def _send_move(self, request: ClientRequest) -> bool:
        """Send MOVE; return whether the connection took it within MOVE_TIMEOUT_MS."""
        reason = "not read in time"
        with self._context.clock.limit(MOVE_TIMEOUT_MS):
            try:
                await request.client.move()
                return True
            except ConnectionBroken as exc:
                reason = str(exc)
        log.warning("move not sent", extra={"request": request.id, "why": reason})
        return False
