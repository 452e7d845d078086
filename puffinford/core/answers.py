"""The final answer of a job, and the end of both its legs."""

from __future__ import annotations

import anyio

from puffinford.core.context import Context
from puffinford.core.figures import Count
from puffinford.core.jobs import Ending, Job
from puffinford.core.logger import log
from puffinford.core.values import Broken, Busy, Failed, Opening, SubmitterLeg

MOVE_MOST = 800.0  # a submitter that takes no MOVE in this time is cut off


class Answers:
    """Gives final answers, and ends the connections of jobs that have come to their ending."""

    def __init__(self, context: Context) -> None:
        self._context = context

    async def refuse(
        self, submitter: SubmitterLeg, answer: Busy | Failed, opening: Opening, job: Job | None = None
    ) -> None:
        """Give the final answer, log it with its cause, and count it where it is one of a known class."""
        busy = isinstance(answer, Busy)
        self._log(answer, opening, job)
        try:
            await submitter.answer(answer)
        except Broken:
            await submitter.abort()
            return
        if opening.cls in self._context.classes:
            self._context.figures.add(opening.cls, Count.REFUSED if busy else Count.FAILED)
        await submitter.end()

    def _log(self, answer: Busy | Failed, opening: Opening, job: Job | None) -> None:
        told: dict[str, object] = {"job": opening.job, "key": opening.key, "cls": opening.cls}
        told["tenant"] = opening.tenant or ""
        told["answer"], told["why"] = (
            ("busy", answer.why) if isinstance(answer, Busy) else ("failed", answer.reason)
        )
        if job is not None:
            told["claims"] = job.claims
            told["waited_ms"] = round(self._context.clock.now() - job.deadline + opening.wait)
        log.info("answer", extra=told)

    async def end_legs(self, job: Job) -> None:
        """End both sides' connections as the job's ending says."""
        ending = job.ending
        assert ending is not None
        server = job.claim.leg if job.claim is not None else None
        async with anyio.create_task_group() as tasks:
            if server is not None:
                tasks.start_soon(server.abort if ending.broken or ending.answer else server.end)
            await self._end_submitter(job, ending)

    async def _end_submitter(self, job: Job, ending: Ending) -> None:
        submitter = job.submitter
        if ending.answer is not None:
            watcher = self._context.watcher
            if watcher is not None:
                failed = not isinstance(ending.answer, Busy)
                watcher.turned_away(job.key, job.opening.cls, failed=failed)
            await self.refuse(submitter, ending.answer, job.opening, job)
            return
        if ending.broken or (ending.move and not await self._move(submitter)):
            await submitter.abort()
            return
        await submitter.end()

    async def _move(self, submitter: SubmitterLeg) -> bool:
        """Send the submitter away; whether it took the word in time."""
        with self._context.clock.limit(MOVE_MOST) as scope:
            try:
                await submitter.move()
            except Broken:
                scope.cancel()
        return not (scope.cancelled_caught or scope.cancel_called)
