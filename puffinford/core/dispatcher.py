"""Passes events to the decision module and carries out the actions it returns."""

from __future__ import annotations

from collections.abc import Callable

from puffinford import interface as it
from puffinford.balance import Balancer
from puffinford.core.clock import Clock
from puffinford.core.logger import log


class EventDispatcher:
    """Serializes calls of the decision module: events raised by actions are handled in a later batch."""

    def __init__(self, balancer: Balancer, clock: Clock, carry_out: Callable[[it.Action], None]) -> None:
        self._balancer = balancer
        self._clock = clock
        self._carry_out = carry_out
        self._pending: list[it.Event] = []
        self._dispatching = False

    def dispatch(self, event: it.Event) -> None:
        """Handle an event now, or after the current batch if called while one is handled."""
        self._pending.append(event)
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._pending:
                batch, self._pending = self._pending, []
                try:
                    actions = self._balancer.handle(self._clock.now(), batch)
                except Exception:
                    # Keeps established connections when a decision raises. The request concerned is answered
                    # at its deadline.
                    log.exception("decision failed", extra={"events": repr(batch)[:300]})
                    continue
                for action in actions:
                    self._carry_out(action)
        finally:
            self._dispatching = False
