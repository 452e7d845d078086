"""How a job comes to its one ending, and what the decision module and the watcher hear of it."""

from __future__ import annotations

from puffinford import interface as it
from puffinford.core.context import Context
from puffinford.core.jobs import Ending, Job
from puffinford.core.load_reports import LoadReports
from puffinford.core.logger import log
from puffinford.core.values import Failed


class Endings:
    """Sets the ending of a job, once: whatever comes later finds it set and changes nothing."""

    def __init__(self, context: Context, reports: LoadReports) -> None:
        self._context = context
        self._reports = reports

    def abandon(self, job: Job, ending: Ending) -> None:
        """End a job that does not stand yet, whatever the module has in hand for it."""
        if job.ending is None:
            job.ending = ending
            job.done.set()
            self._context.tell(it.ClientLeft(job.id))
            if job.claim is not None:
                job.claim.scope.cancel()

    def finish(self, ident: str, ending: Ending) -> None:
        """End a job of which the module has nothing in hand any more."""
        job = self._context.jobs.get(ident)
        if job is not None and job.ending is None:
            job.ending = ending
            job.done.set()

    def close(self, job: Job, ending: Ending, result: it.Result, text: str = "") -> None:
        """End a standing connection, and tell the module so, with the load report that its end brought."""
        claim = job.claim
        if job.ending is not None or claim is None:
            return
        job.ending = ending
        job.done.set()
        latency = self._context.clock.now() - claim.started
        server = claim.machine.server.id
        watcher = self._context.watcher
        if watcher is not None:
            cut = ending.move or result is it.Result.RESET
            watcher.ended(job.key, job.opening.cls, server, latency, cut=cut)
        report = self._reports.of_answer(server, text)
        self._context.tell(it.Outcome(job.id, claim.number, server, result, latency, True, report))
        told = {"job": job.id, "server": server, "result": result.value, "moved": ending.move}
        log.info("end", extra={**told, "stood_ms": round(latency)})

    def fault(self, job: Job) -> None:
        """End a job in which a side failed in a way that it may not."""
        if job.ending is None:
            job.ending = Ending(broken=True) if job.up.is_set() else Ending(Failed())
            self._context.tell(it.ClientLeft(job.id))
