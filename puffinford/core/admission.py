"""Admission: the last look before an attempt."""

from __future__ import annotations

from puffinford import interface as it
from puffinford.core.clock import Clock
from puffinford.core.completions import Completions
from puffinford.core.requests import ClientRequest, Completion, ServerAttempt
from puffinford.core.servers import ServerTable
from puffinford.core.values import AttemptEnded


class Admission:
    """Whether an attempt may still begin."""

    def __init__(self, clock: Clock, servers: ServerTable, completions: Completions) -> None:
        self._clock = clock
        self._servers = servers
        self._completions = completions

    async def admit(self, request: ClientRequest, attempt: ServerAttempt, until: float) -> None:
        """The last look before an attempt, and again before its first byte; raises AttemptEnded.

        Guards the server against a client that has gone, though its end may lie unread; against what the list
        or the operators have told since the choice, while the attempt waited or connected; and against a
        repeat later than the window in which the servers discard it (`until`).
        """
        if await request.client.has_left() or request.completion is not None:
            self._completions.abandon(request, Completion(broken=True))
            raise AttemptEnded(it.Result.CANCELLED)
        if request.opening.at is None and not self._servers.may_begin(attempt.entry.server.id):
            raise AttemptEnded(it.Result.NOT_SENT)
        if self._clock.now() >= until:
            raise AttemptEnded(it.Result.NOT_SENT)
