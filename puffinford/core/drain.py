"""The drain: every standing connection is moved before the process ends."""

from __future__ import annotations

from puffinford import interface as it
from puffinford.balance import Balancer
from puffinford.core.completions import Completions
from puffinford.core.context import Context
from puffinford.core.logger import log
from puffinford.core.requests import Completion
from puffinford.core.values import Failed

TURN_MOST = 100.0  # ms between two moves, for arrivals come to stand meanwhile


class Drain:
    """Moves connections one by one, then ends what is left."""

    def __init__(self, context: Context, balancer: Balancer, completions: Completions) -> None:
        self._context = context
        self._balancer = balancer
        self._completions = completions
        self.leaving = False  # arrivals are turned away

    async def run(self, settle: float, over: float) -> None:
        """Wait `settle` ms, move all within `over` ms, then end the rest; their legs end on their own."""
        await self._context.clock.sleep(settle)
        await self._move_evenly(over)
        self.leaving = True
        self._end_rest()
        log.info("drained")

    async def _move_evenly(self, over: float) -> None:
        clock = self._context.clock
        end = clock.now() + over
        log.info("drain", extra={"connections": len(self._context.requests.established())})
        while (left := end - clock.now()) > 0:
            standing = self._context.requests.established()
            if standing:
                request, _ = self._context.rng.choice(standing)
                self._completions.close(request, Completion(move=True), it.Result.CANCELLED)
            await clock.sleep(min(left, max(1.0, left / (len(standing) + 1)), TURN_MOST))

    def _end_rest(self) -> None:
        for request in list(self._context.requests.values()):
            if request.is_established:
                self._completions.close(request, Completion(move=True), it.Result.CANCELLED)
            elif self._balancer.may_refuse(request.id, request.attempt is not None and request.attempt.sent):
                self._completions.abandon(request, Completion(self._context.shutdown_refusal))
            else:
                # Guards an effect against happening twice: a refusal says that trying again is harmless.
                self._completions.abandon(request, Completion(Failed("leaving")))
