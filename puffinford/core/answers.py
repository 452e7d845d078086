"""The final answer of a request, and the end of both its legs."""

from __future__ import annotations

import anyio

from puffinford.core.context import Context
from puffinford.core.counters import Count
from puffinford.core.logger import log
from puffinford.core.requests import ClientRequest, Completion
from puffinford.core.values import Busy, ClientConnection, ConnectionBroken, Failed, Opening

MOVE_MOST = 800.0  # a client that takes no MOVE in this time is cut off


class Answers:
    """Gives final answers, and ends the connections of requests that have come to their ending."""

    def __init__(self, context: Context) -> None:
        self._context = context

    async def refuse(
        self,
        client: ClientConnection,
        answer: Busy | Failed,
        opening: Opening,
        request: ClientRequest | None = None,
    ) -> None:
        """Give the final answer, log it with its cause, and count it where it is one of a known class."""
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
        told: dict[str, object] = {"request": opening.request_id, "key": opening.key, "cls": opening.cls}
        told["tenant"] = opening.tenant or ""
        told["answer"], told["why"] = (
            ("busy", answer.reason) if isinstance(answer, Busy) else ("failed", answer.reason)
        )
        if request is not None:
            told["attempts"] = request.attempts
            told["waited_ms"] = round(self._context.clock.now() - request.deadline + opening.wait)
        log.info("answer", extra=told)

    async def end_legs(self, request: ClientRequest) -> None:
        """End both sides' connections as the request's ending says."""
        completion = request.completion
        assert completion is not None
        server = request.attempt.connection if request.attempt is not None else None
        async with anyio.create_task_group() as tasks:
            if server is not None:
                tasks.start_soon(server.abort if completion.broken or completion.answer else server.end)
            await self._end_client(request, completion)

    async def _end_client(self, request: ClientRequest, completion: Completion) -> None:
        client = request.client
        if completion.answer is not None:
            observer = self._context.observer
            if observer is not None:
                failed = not isinstance(completion.answer, Busy)
                observer.on_refused(request.key, request.opening.cls, failed=failed)
            await self.refuse(client, completion.answer, request.opening, request)
            return
        if completion.broken or (completion.move and not await self._move(client)):
            await client.abort()
            return
        await client.end()

    async def _move(self, client: ClientConnection) -> bool:
        """Send the client away; whether it took the word in time."""
        with self._context.clock.limit(MOVE_MOST) as scope:
            try:
                await client.move()
            except ConnectionBroken:
                scope.cancel()
        return not (scope.cancelled_caught or scope.cancel_called)
