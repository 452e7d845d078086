"""Measured delays of servers' answers to lines."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from statistics import median


@dataclass(frozen=True, slots=True)
class _SentLine:
    """When a line was sent in ms, and the process's total lag at that time."""

    at: float
    lag: float


class UnansweredLines:
    """Lines of one connection that have not been answered. Times are in ms.

    `lag` is the total time in ms in which the process has been held up (`LoopLag.total_ms`). Delays exclude
    it: they are the server's.
    """

    __slots__ = ("_heard", "_sent")

    def __init__(self) -> None:
        # Bounded for servers that do not answer every line.
        self._sent: deque[_SentLine] = deque(maxlen=64)
        self._heard = 0.0

    def sent(self, now: float, lag: float = 0.0) -> None:
        """Record a line sent to the server."""
        self._sent.append(_SentLine(now, lag))

    def heard(self, now: float) -> None:
        """Record any input from the server."""
        self._heard = now

    def answered(self, now: float, lag: float = 0.0) -> float | None:
        """Remove the oldest line and return its delay; None if there is none."""
        self._heard = now
        if not self._sent:
            return None
        delay = self.delay(now, lag)
        self._sent.popleft()
        return delay

    def delay(self, now: float, lag: float = 0.0) -> float:
        """The delay of the oldest line up to now; 0 if there is none."""
        if not self._sent:
            return 0.0
        oldest = self._sent[0]
        return max(0.0, now - oldest.at - (lag - oldest.lag))

    @property
    def last_heard(self) -> float:
        """Time of the last input; 0 if there was none."""
        return self._heard

    def age(self, now: float) -> float:
        """How long the oldest line has been unanswered; 0 if there is none."""
        return now - self._sent[0].at if self._sent else 0.0

    def silence(self, now: float) -> float:
        """How long there has been no input while a line is unanswered; 0 if there is none."""
        return now - max(self._sent[0].at, self._heard) if self._sent else 0.0


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

        `waiting` holds the server and the delay up to now, in ms, of each unanswered line.
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
