"""Final checks before an attempt is sent to a server."""

from __future__ import annotations

from puffinford import interface as it
from puffinford.core.clock import Clock
from puffinford.core.completions import Completions
from puffinford.core.requests import ClientRequest, Completion, ServerAttempt
from puffinford.core.servers import ServerTable
from puffinford.core.values import AttemptEnded


class Admission:
    """Checks whether an attempt may still be sent."""

    def __init__(self, clock: Clock, servers: ServerTable, completions: Completions) -> None:
        self._clock = clock
        self._servers = servers
        self._completions = completions

    async def admit(self, request: ClientRequest, attempt: ServerAttempt, until: float) -> None:
        """Check an attempt before it connects, and again before its first byte; raises AttemptEnded.

        Rejects the attempt when the client has closed, even if that is still unread; when the server was
        drained, removed or cordoned since it was chosen; and after `until`, when servers no longer discard
        repeats of the request.
        """
        if await request.client.has_left() or request.completion is not None:
            self._completions.abandon(request, Completion(broken=True))
            raise AttemptEnded(it.Result.CANCELLED)
        if request.opening.resume_server is None and not self._servers.may_start_attempt(
            attempt.entry.server.id
        ):
            raise AttemptEnded(it.Result.NOT_SENT)
        if self._clock.now() >= until:
            raise AttemptEnded(it.Result.NOT_SENT)
