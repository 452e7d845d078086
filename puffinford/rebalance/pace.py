"""How fast connections are moved. No I/O, no clock: times are given, in ms.

The rate grows a little with each moved client that is up again in time, and falls at once on any sign that
the fleet does not bear it: additive increase, multiplicative decrease, as congestion control has it (Chiu and
Jain, 1989).
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass
from enum import Enum

CATCH_UP = 1_000.0  # ms of moves that may be made at once, where looks are that far apart


class Signal(Enum):
    """What a moved client, or a server, tells of the pace."""

    RETURNED = "returned"  # up again in time
    SLOW_RETURN = "slow return"  # up again, and not in time
    REFUSED = "refused"  # came back and was turned away
    FAILED = "failed"  # came back and got an error
    LATE = "late"  # messages are late at a server that took moved clients
    STRAINED = "strained"  # most servers are: everything stops


_BAD = {
    Signal.SLOW_RETURN: 0.7,
    Signal.REFUSED: 0.5,
    Signal.FAILED: 0.5,
    Signal.LATE: 0.5,
    Signal.STRAINED: 0.0,
}


# The fleet has no room for what was moved: nothing more is, for a while.
_STOPS = (Signal.REFUSED, Signal.FAILED, Signal.STRAINED)


@dataclass(frozen=True)
class PaceFigures:
    """Rates in moves a second, times in ms."""

    start: float = 1.0
    least: float = 0.2
    most: float = 10.0
    gain: float = 0.1  # for each good return
    cool: float = 5_000.0  # no growth for so long after a bad signal; no move after one that stops


class Pace:
    """One balancer's rate of moves, and when the next is due."""

    def __init__(self, figures: PaceFigures, rng: random.Random, returns: int = 1) -> None:
        """Of so many `returns` one is seen here, and stands for all."""
        self.figures = figures
        self.returns = max(1, returns)
        self.rate = figures.start
        self.counts: Counter[Signal] = Counter()
        self._rng = rng
        self._next = 0.0
        self._cool_until = float("-inf")
        self._stopped_until = float("-inf")

    def configure(self, figures: PaceFigures) -> None:
        """Go on under other figures; the rate stays within them."""
        self.figures = figures
        self.rate = min(max(self.rate, figures.least), figures.most)

    def take(self, signal: Signal, now: float) -> bool:
        """Hear a signal; tells whether it changed the rate downwards."""
        self.counts[signal] += 1
        if signal is Signal.RETURNED:
            if now >= self._cool_until:
                self.rate = min(self.figures.most, self.rate + self.figures.gain * self.returns)
            return False
        # Several signs of one moment are one: what follows tells whether the new rate is borne.
        fresh = now >= self._cool_until
        if signal in _STOPS:
            self._stopped_until = now + self.figures.cool
        if signal is Signal.STRAINED:
            fresh = self.rate > self.figures.least
            self.rate = self.figures.least
        elif fresh:
            self.rate = max(self.figures.least, self.rate * _BAD[signal])
        self._cool_until = now + self.figures.cool
        return fresh

    def due(self, now: float) -> bool:
        """Whether a move may be made now; the caller says `made` when it was."""
        return now >= self._next and now >= self._stopped_until

    def made(self, now: float) -> None:
        """A move was made: draw when the next may be.

        Guards against a burst after a time without any: no more than CATCH_UP is made up for.
        """
        self._next = max(self._next, now - CATCH_UP) + self._rng.expovariate(self.rate) * 1_000.0

    def rest(self) -> None:
        """Balance was reached: the next time begins low again."""
        self.rate = min(self.rate, self.figures.start)
