"""Admission: the last look before an attempt."""

from __future__ import annotations

from puffinford import interface as it
from puffinford.core.clock import Clock
from puffinford.core.endings import Endings
from puffinford.core.requests import ClientRequest, Ending, ServerAttempt
from puffinford.core.servers import ServerTable
from puffinford.core.values import AttemptEnded


class Admission:
    """Whether an attempt may still begin."""

    def __init__(self, clock: Clock, servers: ServerTable, endings: Endings) -> None:
        self._clock = clock
        self._servers = servers
        self._endings = endings

    async def admit(self, request: ClientRequest, attempt: ServerAttempt, until: float) -> None:
        """The last look before an attempt, and again before its first byte; raises AttemptEnded.

        Guards the server against a client that has gone, though its end may lie unread; against what the list
        or the operators have told since the choice, while the attempt waited or connected; and against a
        repeat later than the window in which the servers discard it (`until`).
        """
        if await request.client.left() or request.ending is not None:
            self._endings.abandon(request, Ending(broken=True))
            raise AttemptEnded(it.Result.CANCELLED)
        if request.opening.at is None and not self._servers.may_begin(attempt.machine.server.id):
            raise AttemptEnded(it.Result.MOOT)
        if self._clock.now() >= until:
            raise AttemptEnded(it.Result.MOOT)
