"""How long servers take to answer a line, measured, for servers send no word of it."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from statistics import median


class UnansweredLines:
    """The lines of one connection that wait for an answer."""

    __slots__ = ("_heard", "_sent")

    def __init__(self) -> None:
        # Guards against a server that answers fewer lines than it gets: only the latest can matter.
        self._sent: deque[float] = deque(maxlen=64)
        self._heard = 0.0

    def sent(self, now: float) -> None:
        self._sent.append(now)

    def heard(self, now: float) -> None:
        """Something came, if only a note."""
        self._heard = now

    def answered(self, now: float) -> float | None:
        """The delay of the oldest line, if one waits."""
        self._heard = now
        return now - self._sent.popleft() if self._sent else None

    @property
    def last_heard(self) -> float:
        """When anything came last; 0 where nothing has."""
        return self._heard

    def age(self, now: float) -> float:
        """How long the oldest line has waited; 0 where none does."""
        return now - self._sent[0] if self._sent else 0.0

    def silence(self, now: float) -> float:
        """How long nothing has come although a line waits; 0 where none does."""
        return now - max(self._sent[0], self._heard) if self._sent else 0.0


class DelayMeter:
    """Makes at most one note a server and round, as the simulator's note 2.

    A note comes while messages take more than a third of the shortest aim, and once more when they
    are back under. The middle sample counts, so that one pause or one busy moment here says nothing.
    """

    def __init__(self, shortest_aim: float) -> None:
        self._from = shortest_aim / 3.0
        self._samples: dict[str, list[float]] = {}
        self._slow: set[str] = set()

    def sample(self, server: str, delay: float) -> None:
        self._samples.setdefault(server, []).append(delay)

    def round(self, waiting: Iterable[tuple[str, float]]) -> list[tuple[str, float]]:
        """The notes due now. `waiting` gives the server and age of each unanswered line."""
        samples, self._samples = self._samples, {}
        if self._from <= 0:
            return []
        for server, age in waiting:
            if age > self._from:
                samples.setdefault(server, []).append(age)
        notes = []
        for server, delays in samples.items():
            delay = median(delays)
            if delay > self._from:
                self._slow.add(server)
                notes.append((server, delay))
            elif server in self._slow:
                self._slow.discard(server)
                notes.append((server, delay))
        return notes
