"""The rate at which connections are moved. No I/O, no clock: times are parameters, in ms.

Additive increase, multiplicative decrease, as in congestion control (Chiu and Jain, 1989): the rate grows
with each moved client that reconnects in time, and drops on any sign of overload.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass
from enum import Enum

MAX_CATCH_UP_MS = 1_000.0  # of missed moves that may be made at once, where rounds are far apart


class Signal(Enum):
    """The result of a move, or the condition of servers, that changes the rate."""

    RETURNED = "returned"  # reconnected in time
    SLOW_RETURN = "slow return"  # reconnected, but not in time
    REFUSED = "refused"  # returned and was refused
    FAILED = "failed"  # returned and got an error
    DELAYED = "late"  # messages are delayed at a server that received moved clients
    DEGRADED = "strained"  # too many servers are degraded: no moves


_RATE_FACTORS = {
    Signal.SLOW_RETURN: 0.7,
    Signal.REFUSED: 0.5,
    Signal.FAILED: 0.5,
    Signal.DELAYED: 0.5,
    Signal.DEGRADED: 0.0,
}


# Signs that servers lack capacity for moved clients: no moves during the cooldown.
_STOPPING_SIGNALS = (Signal.REFUSED, Signal.FAILED, Signal.DEGRADED)


@dataclass(frozen=True)
class PaceSettings:
    """Rates in moves per second, times in ms."""

    start_rate: float = 1.0
    min_rate: float = 0.2
    max_rate: float = 10.0
    increment: float = 0.1  # added for each return in time
    cooldown: float = 5_000.0  # after a decrease: no growth; after a stopping signal, no moves either


class Pace:
    """The rate of moves of one balancer, and the time of its next move."""

    def __init__(self, settings: PaceSettings, rng: random.Random, return_weight: int = 1) -> None:
        """This balancer sees one return in `return_weight`, and counts it as that many."""
        self.settings = settings
        self.return_weight = max(1, return_weight)
        self.rate = settings.start_rate
        self.signal_counts: Counter[Signal] = Counter()
        self._rng = rng
        self._next_move_at = 0.0
        self._cooldown_until = float("-inf")
        self._stopped_until = float("-inf")

    def configure(self, settings: PaceSettings) -> None:
        """Change the settings; the current rate is clamped to them."""
        self.settings = settings
        self.rate = min(max(self.rate, settings.min_rate), settings.max_rate)

    def apply(self, signal: Signal, now: float) -> bool:
        """Adapt the rate to a signal; return whether it was lowered."""
        self.signal_counts[signal] += 1
        if signal is Signal.RETURNED:
            if now >= self._cooldown_until:
                self.rate = min(
                    self.settings.max_rate, self.rate + self.settings.increment * self.return_weight
                )
            return False
        # Signals during the cooldown count as one: only later ones are a response to the new rate.
        is_decrease = now >= self._cooldown_until
        if signal in _STOPPING_SIGNALS:
            self._stopped_until = now + self.settings.cooldown
        if signal is Signal.DEGRADED:
            is_decrease = self.rate > self.settings.min_rate
            self.rate = self.settings.min_rate
        elif is_decrease:
            self.rate = max(self.settings.min_rate, self.rate * _RATE_FACTORS[signal])
        self._cooldown_until = now + self.settings.cooldown
        return is_decrease

    def is_due(self, now: float) -> bool:
        """Return whether a move may be made now; the caller then calls `record_move`."""
        return now >= self._next_move_at and now >= self._stopped_until

    def record_move(self, now: float) -> None:
        """Record a move, and draw the time of the next.

        Prevents a burst after a time without moves: at most MAX_CATCH_UP_MS are made up for.
        """
        self._next_move_at = (
            max(self._next_move_at, now - MAX_CATCH_UP_MS) + self._rng.expovariate(self.rate) * 1_000.0
        )

    def reset_rate(self) -> None:
        """Lower the rate to the start rate, for the next imbalance."""
        self.rate = min(self.rate, self.settings.start_rate)
