"""Distinguishes load notes from delay notes for servers that send both as `LOAD X`.

A load note gives the load of its connection in microseconds of work per second, whenever that changes.
Delay notes give the time that a message takes at the server, in ms: once a second on one connection of each
balancer while it is above a third of the shortest aim, and once more when it is back below. As both have the
same form, they are recognized by their timing.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

NOTE_INTERVAL_MS = 1_000.0  # between delay notes
NOTE_JITTER_MS = 30.0  # a delay note may be early or late by this much
MAX_FIRST_DELAY_MS = 2_000.0  # a larger first value is a load, as a delay grows from small ones
MAX_DELAY_GROWTH_MS = 5_000.0  # largest increase of the delay per interval: work piles up only so fast


@dataclass(slots=True)
class Note:
    """A note of either kind, received at `received_at` (ms)."""

    request_id: str
    server: str
    value: float
    received_at: float


class NoteClassifier:
    """Recognizes delay notes as a series: one per second on one connection of a server.

    A note that may start a series is held until the next second is over. A delay taken for a load would make
    its connection appear idle, and a load taken for a delay would exclude a healthy server.
    """

    def __init__(self, shortest_aim: float, is_established: Callable[[str], bool]) -> None:
        """`shortest_aim` is for messages, in ms; `is_established` is called with a request's id."""
        self._threshold = shortest_aim / 3.0
        self._is_established = is_established
        self._series: dict[str, Note] = {}  # latest delay note by server
        self._pending: dict[str, list[Note]] = {}  # notes that may start a series, by server

    def take(self, request_id: str, server: str, value: float, now: float) -> bool | None:
        """Return True for a delay, False for a load, None for a note that is held until `due`."""
        note = Note(request_id, server, value, now)
        latest = self._series.get(server)
        if latest is not None and now <= latest.received_at + 2.0 * NOTE_INTERVAL_MS + NOTE_JITTER_MS:
            if self._follows(latest, note, 2):
                self._series[server] = note
                return True
            if self._is_established(latest.request_id):
                return False  # a server has one series per balancer
        pending = self._pending.get(server, [])
        for earlier in pending:
            if self._threshold < value and self._follows(earlier, note, 1):
                pending.remove(earlier)
                self._series[server] = note
                return True
        if self._threshold < value <= MAX_FIRST_DELAY_MS:
            self._pending.setdefault(server, []).append(note)
            return None
        return False

    def due(self, now: float) -> list[Note]:
        """Remove and return the held notes that were loads, because no delay note followed them."""
        loads = []
        for server in list(self._pending):
            kept = [
                note
                for note in self._pending[server]
                if now <= note.received_at + NOTE_INTERVAL_MS + NOTE_JITTER_MS
            ]
            loads += [
                note
                for note in self._pending[server]
                if now > note.received_at + NOTE_INTERVAL_MS + NOTE_JITTER_MS
            ]
            if kept:
                self._pending[server] = kept
            else:
                del self._pending[server]
        for server in [
            s
            for s, latest in self._series.items()
            if now > latest.received_at + 2.0 * NOTE_INTERVAL_MS + NOTE_JITTER_MS
        ]:
            del self._series[server]
        return loads

    def _follows(self, earlier: Note, note: Note, max_steps: int) -> bool:
        """Whether a note continues the series of an earlier one, at most `max_steps` intervals later."""
        steps = round((note.received_at - earlier.received_at) / NOTE_INTERVAL_MS)
        offset = abs(note.received_at - earlier.received_at - steps * NOTE_INTERVAL_MS)
        if (
            not 1 <= steps <= max_steps
            or offset > NOTE_JITTER_MS
            or note.value > earlier.value + steps * MAX_DELAY_GROWTH_MS
        ):
            return False
        # A series stays on its connection while that is established. Two loads that look like one by chance
        # do not.
        return note.request_id == earlier.request_id or not self._is_established(earlier.request_id)
