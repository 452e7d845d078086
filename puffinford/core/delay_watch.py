"""Reports of slow messages to the decision module, from servers' notes and own measurements."""

from __future__ import annotations

from puffinford import interface as it
from puffinford.core.context import Context
from puffinford.core.delays import DelayMeter
from puffinford.core.logger import log
from puffinford.core.loop_lag import LoopLag
from puffinford.core.note_classifier import NoteClassifier
from puffinford.core.requests import ServerAttempt


class DelayWatch:
    """Collects message delays by server, and reports slow servers."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._lag = LoopLag()
        self.configure()

    async def run(self) -> None:
        """Measure how late this process is itself, until cancelled."""
        await self._lag.run()

    def configure(self) -> None:
        """Discard all measurements and use the current settings."""
        aims = (cls.message_aim for cls in self._context.settings.classes if cls.message_aim > 0)
        shortest_aim = min(aims, default=0.0)
        self._meter = DelayMeter(shortest_aim)
        self._notes = NoteClassifier(shortest_aim, self._context.requests.is_established)

    def record_line(self, attempt: ServerAttempt) -> None:
        """Record a line that is sent to the server."""
        attempt.unanswered.sent(self._context.clock.now(), self._lag.total_ms)

    def record_answer(self, attempt: ServerAttempt) -> None:
        """Record a message from the server as the answer to the oldest unanswered line."""
        delay = attempt.unanswered.answered(self._context.clock.now(), self._lag.total_ms)
        if delay is not None:
            self._meter.sample(attempt.entry.server.id, delay)

    def note(self, request_id: str, server: str, value: float) -> None:
        """Handle a server's note, which is a load or a delay in ms.

        The settings define which kinds servers send. Where they send both, the classifier decides.
        """
        settings = self._context.settings
        delay: bool | None = settings.tells_delay
        if delay and settings.tells_load:
            delay = self._notes.take(request_id, server, value, self._context.clock.now())
        if delay:
            self._report_delay(request_id, server, value, "note")
        elif delay is False and settings.tells_load:
            self._context.dispatch(it.LoadUpdate(request_id, server, value))

    def report_delays(self) -> None:
        """Report pending load notes, and the message delays measured since the last call."""
        now, lag = self._context.clock.now(), self._lag.total_ms
        for note in self._notes.due(now):
            self._context.dispatch(it.LoadUpdate(note.request_id, note.server, note.value))
        waiting = []
        request_by_server: dict[str, str] = {}
        for request, attempt in self._context.requests.established():
            server_id = attempt.entry.server.id
            request_by_server.setdefault(server_id, request.id)
            waiting.append((server_id, attempt.unanswered.delay(now, lag)))
        for server_id, delay in self._meter.finish_round(waiting):
            if server_id in request_by_server:
                self._report_delay(request_by_server[server_id], server_id, delay, "measure")

    def _report_delay(self, request_id: str, server: str, delay: float, source: str) -> None:
        log.info("slow", extra={"server": server, "ms": round(delay, 1), "by": source})
        if self._context.observer is not None:
            self._context.observer.on_delay(server, delay)
        self._context.dispatch(it.DelayUpdate(request_id, server, delay))
