"""Slow messages: what servers note and connections measure of them, as the decision module hears it."""

from __future__ import annotations

from puffinford import interface as it
from puffinford.core.context import Context
from puffinford.core.delays import DelayMeter
from puffinford.core.logger import log
from puffinford.core.note_classifier import NoteClassifier
from puffinford.core.requests import ServerAttempt


class DelayWatch:
    """Gathers delays of messages, a server at a time."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self.configure()

    def configure(self) -> None:
        """Begin anew by the settings in force."""
        aims = (cls.message_aim for cls in self._context.settings.classes if cls.message_aim > 0)
        shortest = min(aims, default=0.0)
        self._meter = DelayMeter(shortest)
        self._notes = NoteClassifier(shortest, self._context.requests.is_established)

    def answered(self, attempt: ServerAttempt) -> None:
        """A message came from the server, and answers the oldest line that waits."""
        delay = attempt.unanswered.answered(self._context.clock.now())
        if delay is not None:
            self._meter.sample(attempt.entry.server.id, delay)

    def note(self, request_id: str, server: str, value: float) -> None:
        """A server's note. The line is one for both kinds; the settings say which a server sends.

        Guards against taking milliseconds of delay for a load: where only delays are told, a note
        comes once a second on one connection while messages at its server are slow.
        """
        settings = self._context.settings
        delay: bool | None = settings.tells_delay
        if delay and settings.tells_load:
            delay = self._notes.take(request_id, server, value, self._context.clock.now())
        if delay:
            self._tell_delay(request_id, server, value, "note")
        elif delay is False and settings.tells_load:
            self._context.dispatch(it.LoadUpdate(request_id, server, value))

    def round(self) -> None:
        """Once a second: the notes of slow messages that the sockets themselves give."""
        now = self._context.clock.now()
        for note in self._notes.due(now):
            self._context.dispatch(it.LoadUpdate(note.request_id, note.server, note.value))
        waiting = []
        carriers: dict[str, str] = {}
        for request, attempt in self._context.requests.established():
            ident = attempt.entry.server.id
            carriers.setdefault(ident, request.id)
            waiting.append((ident, attempt.unanswered.age(now)))
        for ident, delay in self._meter.round(waiting):
            if ident in carriers:
                self._tell_delay(carriers[ident], ident, delay, "measure")

    def _tell_delay(self, request_id: str, server: str, delay: float, source: str) -> None:
        log.info("slow", extra={"server": server, "ms": round(delay, 1), "by": source})
        if self._context.observer is not None:
            self._context.observer.on_delay(server, delay)
        self._context.dispatch(it.DelayUpdate(request_id, server, delay))
