"""Requests that may run at most once and may have run already, by their ids."""

from __future__ import annotations

from typing import Protocol

from puffinford.core.clock import Clock
from puffinford.core.context import Context
from puffinford.core.requests import ClientRequest
from puffinford.core.values import Busy, Opening

RETENTION_MS = 60_000.0  # after the request has ended
MAX_REQUESTS = 8_192  # remembered by this process


class RunRecord(Protocol):
    """Remembers ids for RETENTION_MS."""

    def remember(self, request_id: str) -> None:
        """Record a request that may have run. Must neither block nor raise."""

    def may_have_run(self, request_id: str) -> bool:
        """Whether a request was recorded within RETENTION_MS. Must neither block nor raise."""


class LocalRunRecord:
    """The record of one process. The oldest ids give way."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._ended_at: dict[str, float] = {}  # oldest first

    def remember(self, request_id: str) -> None:
        """Record a request that may have run."""
        self._ended_at.pop(request_id, None)
        self._ended_at[request_id] = self._clock.now()
        if len(self._ended_at) > MAX_REQUESTS:
            del self._ended_at[next(iter(self._ended_at))]

    def may_have_run(self, request_id: str) -> bool:
        """Whether a request was recorded within RETENTION_MS."""
        ended_at = self._ended_at.get(request_id)
        return ended_at is not None and self._clock.now() < ended_at + RETENTION_MS


class RepeatGuard:
    """Refuses an id of an at-most-once class that comes again after it may have run.

    A request that was refused as harmless to retry, or whose connection was moved or cut, may come again.
    """

    def __init__(self, context: Context, record: RunRecord) -> None:
        self.record = record
        self._context = context

    def is_repeat(self, opening: Opening) -> bool:
        """Whether serving the opening might run a request a second time."""
        return self._runs_once(opening) and self.record.may_have_run(opening.request_id)

    def request_ended(self, request: ClientRequest) -> None:
        """Record the request if it may have run and a repeat would run it again."""
        completion = request.completion
        answer = completion.answer if completion is not None else None
        failed = answer is not None and not isinstance(answer, Busy)
        would_run_twice = request.may_have_run and (request.client_left or failed)
        if would_run_twice and self._runs_once(request.opening):
            self.record.remember(request.id)

    def _runs_once(self, opening: Opening) -> bool:
        return opening.cls in self._context.at_most_once
