"""The drain: every standing connection is moved before the process ends."""

from __future__ import annotations

from puffinford import interface as it
from puffinford.balance import Balancer
from puffinford.core.context import Context
from puffinford.core.endings import Endings
from puffinford.core.logger import log
from puffinford.core.requests import Ending
from puffinford.core.values import Failed

TURN_MOST = 100.0  # ms between two moves, for arrivals come to stand meanwhile


class Drain:
    """Moves connections one by one, then ends what is left."""

    def __init__(self, context: Context, balancer: Balancer, endings: Endings) -> None:
        self._context = context
        self._balancer = balancer
        self._endings = endings
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
        log.info("drain", extra={"standing": len(self._context.requests.standing())})
        while (left := end - clock.now()) > 0:
            standing = self._context.requests.standing()
            if standing:
                request, _ = self._context.rng.choice(standing)
                self._endings.close(request, Ending(move=True), it.Result.CANCELLED)
            await clock.sleep(min(left, max(1.0, left / (len(standing) + 1)), TURN_MOST))

    def _end_rest(self) -> None:
        for request in list(self._context.requests.values()):
            if request.standing:
                self._endings.close(request, Ending(move=True), it.Result.CANCELLED)
            elif self._balancer.harmless(request.id, request.attempt is not None and request.attempt.sent):
                self._endings.abandon(request, Ending(self._context.leaving))
            else:
                # Guards an effect against happening twice: a refusal says that trying again is harmless.
                self._endings.abandon(request, Ending(Failed("leaving")))
