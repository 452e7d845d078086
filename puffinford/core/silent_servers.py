"""Detection of servers that no longer answer on established connections."""

from __future__ import annotations

from puffinford import interface as it
from puffinford.core.completions import Completions
from puffinford.core.context import Context
from puffinford.core.logger import log
from puffinford.core.requests import ClientRequest, Completion, ServerAttempt

# A connection is moved after this time without input while a line is unanswered. The rules allow a silent
# connection 7 s, and its client may have sent the line 2 s after it fell silent.
SILENCE_LIMIT_MS = 3_500.0
# A server is silent after this time without input on any of its connections, if at least
# MIN_UNANSWERED_LINES of them have an unanswered line.
SERVER_SILENCE_LIMIT_MS = 2_500.0
MIN_UNANSWERED_LINES = 3


class SilentServerWatch:
    """Moves connections away from servers that no longer answer."""

    def __init__(self, context: Context, completions: Completions) -> None:
        self._context = context
        self._completions = completions

    def move_connections(self) -> None:
        """Move the connections of silent servers, and those that are silent themselves."""
        now = self._context.clock.now()
        established = self._context.requests.established()
        silent_servers = self._silent_servers(established, now)
        for request, attempt in established:
            silence = attempt.unanswered.silence(now)
            server_id = attempt.entry.server.id
            if silence > SILENCE_LIMIT_MS or server_id in silent_servers:
                log.warning(
                    "silent", extra={"request": request.id, "server": server_id, "ms": round(silence)}
                )
                self._completions.close(request, Completion(move=True), it.Result.RESET)

    def _silent_servers(self, established: list[tuple[ClientRequest, ServerAttempt]], now: float) -> set[str]:
        """Servers that are silent on all their connections.

        Detects the failure earlier than each connection could on its own.
        """
        last_heard_at: dict[str, float] = {}
        unanswered_lines: dict[str, int] = {}
        for _, attempt in established:
            server_id = attempt.entry.server.id
            last_heard_at[server_id] = max(
                last_heard_at.get(server_id, 0.0), attempt.unanswered.last_heard, attempt.started_at
            )
            unanswered_lines[server_id] = unanswered_lines.get(server_id, 0) + (
                attempt.unanswered.age(now) > 0.0
            )
        return {
            server_id
            for server_id, heard_at in last_heard_at.items()
            if unanswered_lines[server_id] >= MIN_UNANSWERED_LINES
            and now - heard_at > SERVER_SILENCE_LIMIT_MS
        }
