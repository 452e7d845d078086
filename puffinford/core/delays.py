"""Measured delays of servers' answers to lines."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from statistics import median


class UnansweredLines:
    """Lines of one connection that have not been answered. Times are in ms."""

    __slots__ = ("_heard", "_sent")

    def __init__(self) -> None:
        # Bounded for servers that do not answer every line.
        self._sent: deque[float] = deque(maxlen=64)
        self._heard = 0.0

    def sent(self, now: float) -> None:
        """Record a line sent to the server."""
        self._sent.append(now)

    def heard(self, now: float) -> None:
        """Record any input from the server."""
        self._heard = now

    def answered(self, now: float) -> float | None:
        """Remove the oldest line and return its delay; None if there is none."""
        self._heard = now
        return now - self._sent.popleft() if self._sent else None

    @property
    def last_heard(self) -> float:
        """Time of the last input; 0 if there was none."""
        return self._heard

    def age(self, now: float) -> float:
        """How long the oldest line has been unanswered; 0 if there is none."""
        return now - self._sent[0] if self._sent else 0.0

    def silence(self, now: float) -> float:
        """How long there has been no input while a line is unanswered; 0 if there is none."""
        return now - max(self._sent[0], self._heard) if self._sent else 0.0


class DelayMeter:
    """Reports the median message delay of each slow server, at most once per round.

    A server is reported while its median is above a third of `shortest_aim` (ms), and once more when it is
    back below. The median ignores single outliers.
    """

    def __init__(self, shortest_aim: float) -> None:
        self._threshold = shortest_aim / 3.0
        self._samples: dict[str, list[float]] = {}
        self._slow_servers: set[str] = set()

    def sample(self, server: str, delay: float) -> None:
        """Add a measured delay in ms."""
        self._samples.setdefault(server, []).append(delay)

    def finish_round(self, waiting: Iterable[tuple[str, float]]) -> list[tuple[str, float]]:
        """Start a new round; return servers to report with their delay in ms.

        `waiting` holds the server and age in ms of each unanswered line.
        """
        samples, self._samples = self._samples, {}
        if self._threshold <= 0:
            return []
        for server, age in waiting:
            if age > self._threshold:
                samples.setdefault(server, []).append(age)
        reports = []
        for server, delays in samples.items():
            delay = median(delays)
            if delay > self._threshold:
                self._slow_servers.add(server)
                reports.append((server, delay))
            elif server in self._slow_servers:
                self._slow_servers.discard(server)
                reports.append((server, delay))
        return reports
