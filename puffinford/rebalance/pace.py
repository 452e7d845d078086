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

MAX_CATCH_UP_MS = 1_000.0  # ms of moves that may be made at once, where looks are that far apart


class Signal(Enum):
    """What a moved client, or a server, tells of the pace."""

    RETURNED = "returned"  # up again in time
    SLOW_RETURN = "slow return"  # up again, and not in time
    REFUSED = "refused"  # came back and was turned away
    FAILED = "failed"  # came back and got an error
    DELAYED = "late"  # messages are late at a server that took moved clients
    DEGRADED = "strained"  # most servers are: everything stops


_BAD = {
    Signal.SLOW_RETURN: 0.7,
    Signal.REFUSED: 0.5,
    Signal.FAILED: 0.5,
    Signal.DELAYED: 0.5,
    Signal.DEGRADED: 0.0,
}


# The fleet has no room for what was moved: nothing more is, for a while.
_STOPS = (Signal.REFUSED, Signal.FAILED, Signal.DEGRADED)


@dataclass(frozen=True)
class PaceSettings:
    """Rates in moves a second, times in ms."""

    start_rate: float = 1.0
    min_rate: float = 0.2
    max_rate: float = 10.0
    gain: float = 0.1  # for each good return
    cooldown: float = 5_000.0  # no growth for so long after a bad signal; no move after one that stops


class Pace:
    """One balancer's rate of moves, and when the next is due."""

    def __init__(self, settings: PaceSettings, rng: random.Random, return_weight: int = 1) -> None:
        """Of so many `returns` one is seen here, and stands for all."""
        self.settings = settings
        self.return_weight = max(1, return_weight)
        self.rate = settings.start_rate
        self.signal_counts: Counter[Signal] = Counter()
        self._rng = rng
        self._next = 0.0
        self._cool_until = float("-inf")
        self._stopped_until = float("-inf")

    def configure(self, settings: PaceSettings) -> None:
        """Go on under other settings; the rate stays within them."""
        self.settings = settings
        self.rate = min(max(self.rate, settings.min_rate), settings.max_rate)

    def apply(self, signal: Signal, now: float) -> bool:
        """Hear a signal; tells whether it changed the rate downwards."""
        self.signal_counts[signal] += 1
        if signal is Signal.RETURNED:
            if now >= self._cool_until:
                self.rate = min(self.settings.max_rate, self.rate + self.settings.gain * self.return_weight)
            return False
        # Several signs of one moment are one: what follows tells whether the new rate is borne.
        fresh = now >= self._cool_until
        if signal in _STOPS:
            self._stopped_until = now + self.settings.cooldown
        if signal is Signal.DEGRADED:
            fresh = self.rate > self.settings.min_rate
            self.rate = self.settings.min_rate
        elif fresh:
            self.rate = max(self.settings.min_rate, self.rate * _BAD[signal])
        self._cool_until = now + self.settings.cooldown
        return fresh

    def is_due(self, now: float) -> bool:
        """Whether a move may be made now; the caller says `record_move` when it was."""
        return now >= self._next and now >= self._stopped_until

    def record_move(self, now: float) -> None:
        """A move was made: draw when the next may be.

        Guards against a burst after a time without any: no more than MAX_CATCH_UP_MS is made up for.
        """
        self._next = max(self._next, now - MAX_CATCH_UP_MS) + self._rng.expovariate(self.rate) * 1_000.0

    def reset_rate(self) -> None:
        """Balance was reached: the next time begins low again."""
        self.rate = min(self.rate, self.settings.start_rate)
