"""Drain of a process: moves all established connections before the process ends."""

from __future__ import annotations

from puffinford import interface as it
from puffinford.balance import Balancer
from puffinford.core.completions import Completions
from puffinford.core.context import Context
from puffinford.core.logger import log
from puffinford.core.requests import Completion
from puffinford.core.values import Failed

MAX_MOVE_INTERVAL_MS = 100.0  # so that connections established during the drain are moved too


class Drain:
    """Moves connections one by one, then completes the remaining requests."""

    def __init__(self, context: Context, balancer: Balancer, completions: Completions) -> None:
        self._context = context
        self._balancer = balancer
        self._completions = completions
        self.refusing = False  # new requests are refused

    async def run(self, settle_ms: float, duration_ms: float) -> None:
        """Wait `settle_ms`, move connections within `duration_ms`, then complete the remaining requests."""
        await self._context.clock.sleep(settle_ms)
        await self._move_evenly(duration_ms)
        self.refusing = True
        self._complete_remaining()
        log.info("drained")

    async def _move_evenly(self, duration_ms: float) -> None:
        clock = self._context.clock
        deadline = clock.now() + duration_ms
        log.info("drain", extra={"connections": len(self._context.requests.established())})
        while (remaining := deadline - clock.now()) > 0:
            established = self._context.requests.established()
            if established:
                request, _ = self._context.rng.choice(established)
                self._completions.close(request, Completion(move=True), it.Result.CANCELLED)
            await clock.sleep(
                min(remaining, max(1.0, remaining / (len(established) + 1)), MAX_MOVE_INTERVAL_MS)
            )

    def _complete_remaining(self) -> None:
        for request in list(self._context.requests.values()):
            if request.is_established:
                self._completions.close(request, Completion(move=True), it.Result.CANCELLED)
            elif self._balancer.may_refuse(request.id, request.attempt is not None and request.attempt.sent):
                self._completions.abandon(request, Completion(self._context.shutdown_refusal))
            else:
                # Prevents a second execution: a refusal would tell the client that a retry is safe.
                self._completions.abandon(request, Completion(Failed("leaving")))
