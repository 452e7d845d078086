"""The one way to the decision module: events go in one batch after another, and actions come out."""

from __future__ import annotations

from collections.abc import Callable

from puffinford import interface as it
from puffinford.balance import Balancer
from puffinford.core.clock import Clock
from puffinford.core.logger import log


class Decisions:
    """Tells the module what happens, and has what it decides carried out."""

    def __init__(self, balancer: Balancer, clock: Clock, carry_out: Callable[[it.Action], None]) -> None:
        self._balancer = balancer
        self._clock = clock
        self._carry_out = carry_out
        self._inbox: list[it.Event] = []
        self._telling = False

    def dispatch(self, event: it.Event) -> None:
        """Tell the module, and carry out what it decides; what happens meanwhile waits its turn."""
        self._inbox.append(event)
        if self._telling:
            return
        self._telling = True
        try:
            while self._inbox:
                batch, self._inbox = self._inbox, []
                try:
                    actions = self._balancer.handle(self._clock.now(), batch)
                except Exception:
                    # Guards the standing connections against a fault in a decision: the request it was
                    # about is answered by its own time limit.
                    log.exception("decision failed", extra={"events": repr(batch)[:300]})
                    continue
                for action in actions:
                    self._carry_out(action)
        finally:
            self._telling = False
