"""Slow start: limits what all balancers together send to a server that has just started.

In each fall window a cold server may receive `fall_multiple` times the connections that would fill its
current capacity over its warm-up time, plus an allowance for random variation. The balancers share this
budget by turns, which are numbered from the listed start of the server, without communicating. Times are in
ms.
"""

from __future__ import annotations

from puffinford import interface as it
from puffinford.decision_state import Backend
from puffinford.fleet import Fleet

WARM_CAPACITY_STEP_RATIO = 0.2  # relative change of the warm capacity after which turns are renumbered
MAX_BUDGET_RATIO = 3.0  # of the budget with the allowance to the one without
DEVIATION_ALLOWANCE = 2.0  # standard deviations, and connections
TURN_DURATION_WINDOWS = 1.0  # fall windows in which a turn may be used
MAX_TURN_CHECK_WINDOWS = 2.0  # fall windows until a cold server is checked again at the latest
DEFAULT_FALL_WINDOW_MS = 1_000.0
MIN_FALL_WINDOW_MS = 1.0
MIN_TURNS_PER_WINDOW = 1e-9  # keeps divisions by the rate defined


class SlowStart:
    """The turns of one balancer at cold servers."""

    def __init__(self, settings: it.Settings, fleet: Fleet) -> None:
        self._settings = settings
        self._fleet = fleet
        self._first_seen_at = float("inf")  # earliest time seen by this process

    def configure(self, settings: it.Settings) -> None:
        """Apply new settings."""
        self._settings = settings

    def observe_time(self, now: float) -> None:
        """Record the first time that this process sees."""
        self._first_seen_at = min(self._first_seen_at, now)

    def warmth(self, backend: Backend, now: float) -> float:
        """The usable fraction of a server's capacity now; 1 when warm."""
        if backend.cold_since is None:
            return 1.0
        age = now - backend.cold_since
        if age >= self._settings.warm_time:
            backend.cold_since = None
            return 1.0
        initial = self._settings.cold_from
        return initial + (1.0 - initial) * max(age, 0.0) / self._settings.warm_time

    def has_turn(self, backend: Backend, now: float) -> bool:
        """Whether this balancer has a turn at a server now; always true for a warm one.

        Prevents all balancers together from overloading a server that has just started, for instance when a
        shared event brings clients to all of them in one second. Turns are numbered at the rate that the
        budget allows and go round the balancers; an unused one expires, since saved turns could all be used
        at once.
        """
        if backend.turn_credit < 1.0 and now < backend.next_turn_at:
            return False
        warmth = self.warmth(backend, now)
        if warmth >= 1.0:
            return True
        settings = self._settings
        balancers = settings.balancers
        window = max(MIN_FALL_WINDOW_MS, settings.fall_window or DEFAULT_FALL_WINDOW_MS)
        renumbered = self._update_warm_capacity(backend)
        turns_per_window = self._turns_per_window(backend, warmth, window)
        age = now - (backend.cold_since or 0.0)
        initial = settings.cold_from
        mean_ratio = (initial + (warmth - initial) / 2.0) / warmth  # mean warmth so far over the current one
        fleet_turns = turns_per_window * mean_ratio * max(age, 0.0) / window  # of all balancers up to now
        offset = 1 + (settings.me + backend.id_hash) % balancers
        turn = int((fleet_turns - offset) // balancers)
        turns_since = fleet_turns - offset - turn * balancers  # of all balancers since the last own one
        if renumbered and backend.last_turn >= 0:
            backend.last_turn = turn  # else there is no turn until the new numbers exceed the old ones
        if turn > backend.last_turn:
            # Prevents reuse of a turn that a previous process of this balancer may have used.
            turn_started_at = now - turns_since / turns_per_window * window
            unused = backend.last_turn >= 0 or turn_started_at >= self._first_seen_at
            backend.last_turn = turn
            backend.turn_credit = float(unused)
            backend.turn_credit_expires_at = now + window * (
                TURN_DURATION_WINDOWS - turns_since / turns_per_window
            )
        if now > backend.turn_credit_expires_at:
            backend.turn_credit = 0.0
        # Avoids a check of thousands of cold servers at each placement. Until the warmth has doubled, turns
        # occur at most at twice the current rate.
        turns_until_next = offset + (turn + 1) * balancers - fleet_turns
        doubling_time = warmth * settings.warm_time / (1.0 - initial)
        time_to_warm = settings.warm_time - age
        backend.next_turn_at = now + min(
            MAX_TURN_CHECK_WINDOWS * window,
            turns_until_next * window / (2.0 * turns_per_window),
            doubling_time,
            time_to_warm,
        )
        return backend.turn_credit >= 1.0

    def _update_warm_capacity(self, backend: Backend) -> bool:
        """Store a server's warm capacity; returns whether it changed so much that turns are renumbered."""
        warm_capacity = self._fleet.warm_capacity * min(1.0, self._fleet.relative_size(backend))
        changed = abs(warm_capacity - backend.warm_capacity) > WARM_CAPACITY_STEP_RATIO * warm_capacity
        if changed:
            backend.warm_capacity = warm_capacity
        return changed

    def _turns_per_window(self, backend: Backend, warmth: float, window: float) -> float:
        """Turns of all balancers in a fall window.

        The budget of a window covers the turns that start in it and the unused ones from before.
        """
        fill = backend.warm_capacity * warmth * window / self._settings.warm_time
        allowed = self._settings.fall_multiple * fill
        # Less one: a window that starts with a turn contains one more than the rate gives.
        budget: float = min(
            MAX_BUDGET_RATIO * allowed,
            allowed + DEVIATION_ALLOWANCE * allowed**0.5 + DEVIATION_ALLOWANCE - 1.0,
        )
        return max(
            MIN_TURNS_PER_WINDOW, budget / (1.0 + TURN_DURATION_WINDOWS), budget - self._settings.balancers
        )
