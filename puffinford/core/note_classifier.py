"""Which of two kinds a server's `LOAD X` line is, where the settings say that servers send both.

The line is one for both: the load of the connection that it stands on, in microseconds of work a second,
whenever that changes; and the milliseconds that a message takes at the server, once a second on one of each
balancer's connections while that is over a third of the shortest aim, and once more when it is back under.
No word of the line tells them apart, so the cadence has to.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

EVERY = 1_000.0  # ms between notes of delay
SPARE = 30.0  # ms by which a note may be early or late
FIRST_MOST = 2_000.0  # ms; a delay grows from small ones, so the first of a row is not above this ...
GROWTH = 5_000.0  # ... and the next is higher by no more, in ms: work piles up only so fast


@dataclass(slots=True)
class Note:
    """A line that may be either, and is held until the next second tells."""

    request_id: str
    server: str
    value: float
    at: float


class NoteClassifier:
    """Tells notes of delay from notes of load by their row: one a second on one connection of a server.

    A line that could begin a row is held back until the second is over: taken for a load it would say that
    its connection does nothing, and taken for a delay it would pass over a sound server.
    """

    def __init__(self, shortest_aim: float, stands: Callable[[str], bool]) -> None:
        """`shortest_aim` is of messages, in ms; `stands` tells whether a request's connection stands."""
        self._from = shortest_aim / 3.0
        self._stands = stands
        self._rows: dict[str, Note] = {}  # the latest note of delay of each server
        self._held: dict[str, list[Note]] = {}  # those that may begin a row, by server

    def take(self, request_id: str, server: str, value: float, now: float) -> bool | None:
        """Whether a note is one of delay (True) or of load (False); None where it is held until `due`."""
        note = Note(request_id, server, value, now)
        row = self._rows.get(server)
        if row is not None and now <= row.at + 2.0 * EVERY + SPARE:
            if self._follows(row, note, 2):
                self._rows[server] = note
                return True
            if self._stands(row.request_id):
                return False  # a server has one row at a balancer
        held = self._held.get(server, [])
        for earlier in held:
            if self._from < value and self._follows(earlier, note, 1):
                held.remove(earlier)
                self._rows[server] = note
                return True
        if self._from < value <= FIRST_MOST:
            self._held.setdefault(server, []).append(note)
            return None
        return False

    def due(self, now: float) -> list[Note]:
        """The held notes that no second one followed: they were loads."""
        loads = []
        for server in list(self._held):
            kept = [note for note in self._held[server] if now <= note.at + EVERY + SPARE]
            loads += [note for note in self._held[server] if now > note.at + EVERY + SPARE]
            if kept:
                self._held[server] = kept
            else:
                del self._held[server]
        for server in [s for s, row in self._rows.items() if now > row.at + 2.0 * EVERY + SPARE]:
            del self._rows[server]
        return loads

    def _follows(self, earlier: Note, note: Note, most: int) -> bool:
        """Whether a note comes whole seconds after an earlier one, at most so many, in its row."""
        steps = round((note.at - earlier.at) / EVERY)
        late = abs(note.at - earlier.at - steps * EVERY)
        if not 1 <= steps <= most or late > SPARE or note.value > earlier.value + steps * GROWTH:
            return False
        # A row stays on its connection while that stands, which two loads that come by chance do not.
        return note.request_id == earlier.request_id or not self._stands(earlier.request_id)
