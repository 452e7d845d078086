"""Slow start: what a server that has just started may be sent, by all balancers together.

The source of the budget is the operators' rule: in each fall window a cold server bears `fall_multiple` times
what fills it in its warm-up at its present capacity, N, with 2 roots of N and 2 for chance. The balancers
share it by turns, numbered from the start that the list tells, and tell each other nothing. Times are ms.
"""

from __future__ import annotations

from puffinford import interface as it
from puffinford.decision_state import Backend
from puffinford.fleet import Fleet

CARRIES_STEP = 0.2  # a change of what servers carry after which turns are counted anew, as a part of it
SLACK = 3.0  # times the budget told: it is the least a server can do, and chance is allowed for ...
CHANCE = 2.0  # ... but no more than so many times its root, and so many
TURN_FOR = 1.0  # fall windows that a balancer's turn at a cold server lasts, if it has nobody to send at once
TURN_LOOK = 2.0  # fall windows for which it may be taken, at most, that a cold server has no turn to give
WINDOW = 1_000.0  # the fall window, where settings tell none ...
WINDOW_LEAST = 1.0  # ... and the shortest: no clock here tells less
TURNS_LEAST = 1e-9  # of the whole fleet in a window: as good as none, and a rate that can be divided by


class SlowStart:
    """The turns of one balancer at cold servers."""

    def __init__(self, settings: it.Settings, fleet: Fleet) -> None:
        self._settings = settings
        self._fleet = fleet
        self._born = float("inf")  # the first moment of this process

    def configure(self, settings: it.Settings) -> None:
        """Go on under other settings."""
        self._settings = settings

    def begin(self, now: float) -> None:
        """A moment of this process; the first counts."""
        self._born = min(self._born, now)

    def warmth(self, backend: Backend, now: float) -> float:
        """The share of its capacity that a server can be counted on for now; 1 when warm."""
        if backend.cold_since is None:
            return 1.0
        age = now - backend.cold_since
        if age >= self._settings.warm_time:
            backend.cold_since = None
            return 1.0
        low = self._settings.cold_from
        return low + (1.0 - low) * max(age, 0.0) / self._settings.warm_time

    def has_turn(self, backend: Backend, now: float) -> bool:
        """Whether this balancer has a turn at a server now; at a warm one always.

        Guards against all balancers together pushing over a server that has just started: what a shared event
        brings comes to all of them in one second, and credit that each had saved alone was spent at once.
        The turns of the whole fleet are numbered from the start that the list tells, at the rate that its
        budget allows, and go round the balancers; one that is not used in time is lost.
        """
        if backend.credit < 1.0 and now < backend.turn_due:
            return False
        warmth = self.warmth(backend, now)
        if warmth >= 1.0:
            return True
        settings = self._settings
        balancers = settings.balancers
        window = max(WINDOW_LEAST, settings.fall_window or WINDOW)
        changed = self._note_carries(backend)
        each = self._turns_each(backend, warmth, window)
        age = now - (backend.cold_since or 0.0)
        low = settings.cold_from
        grown = (low + (warmth - low) / 2.0) / warmth  # mean warmth since the start, over the present one
        given = each * grown * max(age, 0.0) / window  # turns of the whole fleet up to now
        place = 1 + (settings.me + backend.reach) % balancers
        turn = int((given - place) // balancers)
        since = given - place - turn * balancers  # turns of the fleet since the own one
        if changed and backend.turn >= 0:
            backend.turn = turn  # guards a cold server against waiting for turns counted by another figure
        if turn > backend.turn:
            # Guards against a turn that this balancer's last process may have used: it starts with the next.
            begun = now - since / each * window
            fresh = backend.turn >= 0 or begun >= self._born
            backend.turn = turn
            backend.credit = float(fresh)
            backend.credit_until = now + window * (TURN_FOR - since / each)
        if now > backend.credit_until:
            backend.credit = 0.0
        # Guards the core against asking each of thousands of cold servers at each placing. Turns come no
        # faster than at twice the present rate until the server's warmth has doubled.
        missing = place + (turn + 1) * balancers - given
        doubled = warmth * settings.warm_time / (1.0 - low)
        left = settings.warm_time - age
        backend.turn_due = now + min(TURN_LOOK * window, missing * window / (2.0 * each), doubled, left)
        return backend.credit >= 1.0

    def _note_carries(self, backend: Backend) -> bool:
        """Take in what servers carry; tells whether that has changed so far that turns count anew."""
        warm_capacity = self._fleet.warm_capacity * min(1.0, self._fleet.share(backend))
        changed = abs(warm_capacity - backend.warm_capacity) > CARRIES_STEP * warm_capacity
        if changed:
            backend.warm_capacity = warm_capacity
        return changed

    def _turns_each(self, backend: Backend, warmth: float, window: float) -> float:
        """Turns of the whole fleet in a window.

        The budget of a window has to hold the turns that fall into it and those left from before.
        """
        fill = backend.warm_capacity * warmth * window / self._settings.warm_time
        allowed = self._settings.fall_multiple * fill
        # Less one: a window that begins at a turn holds one more than the rate tells.
        budget: float = min(SLACK * allowed, allowed + CHANCE * allowed**0.5 + CHANCE - 1.0)
        return max(TURNS_LEAST, budget / (1.0 + TURN_FOR), budget - self._settings.balancers)
