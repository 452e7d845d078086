"""Standing connections at servers that have gone silent."""

from __future__ import annotations

from puffinford import interface as it
from puffinford.core.completions import Completions
from puffinford.core.context import Context
from puffinford.core.logger import log
from puffinford.core.requests import ClientRequest, Completion, ServerAttempt

# A line unanswered this long. The rules allow a silent connection 7 s, and its client may have sent the
# line 2 s after it fell silent.
SILENCE_LIMIT_MS = 3_500.0
HUSH = 2_500.0  # a server from which nothing came this long, on any of its connections ...
HUSH_LINES = 3  # ... while this many of them wait for answers, has vanished


class SilenceWatch:
    """Moves connections away from servers that answer no more."""

    def __init__(self, context: Context, completions: Completions) -> None:
        self._context = context
        self._completions = completions

    def move_silent(self) -> None:
        """Guards against a server that vanished, or stopped on one connection: these stay open, and quiet."""
        now = self._context.clock.now()
        standing = self._context.requests.established()
        hushed = self._hushed(standing, now)
        for request, attempt in standing:
            silence = attempt.unanswered.silence(now)
            ident = attempt.entry.server.id
            if silence > SILENCE_LIMIT_MS or ident in hushed:
                log.warning("silent", extra={"request": request.id, "server": ident, "ms": round(silence)})
                self._completions.close(request, Completion(move=True), it.Result.RESET)

    def _hushed(self, standing: list[tuple[ClientRequest, ServerAttempt]], now: float) -> set[str]:
        """The servers that have vanished, as their connections tell together.

        Guards the clients that have sent nothing of late: each alone would find out seconds later.
        """
        heard: dict[str, float] = {}
        waits: dict[str, int] = {}
        for _, attempt in standing:
            ident = attempt.entry.server.id
            heard[ident] = max(heard.get(ident, 0.0), attempt.unanswered.last_heard, attempt.started)
            waits[ident] = waits.get(ident, 0) + (attempt.unanswered.age(now) > 0.0)
        return {ident for ident, at in heard.items() if waits[ident] >= HUSH_LINES and now - at > HUSH}
