"""How a request comes to its one ending, and what the decision module and the watcher hear of it."""

from __future__ import annotations

from puffinford import interface as it
from puffinford.core.context import Context
from puffinford.core.load_reports import LoadReports
from puffinford.core.logger import log
from puffinford.core.requests import ClientRequest, Ending
from puffinford.core.values import Failed


class Endings:
    """Sets the ending of a request, once: whatever comes later finds it set and changes nothing."""

    def __init__(self, context: Context, reports: LoadReports) -> None:
        self._context = context
        self._reports = reports

    def abandon(self, request: ClientRequest, ending: Ending) -> None:
        """End a request that does not stand yet, whatever the module has in hand for it."""
        if request.ending is None:
            request.ending = ending
            request.done.set()
            self._context.tell(it.ClientLeft(request.id))
            if request.attempt is not None:
                request.attempt.scope.cancel()

    def finish(self, ident: str, ending: Ending) -> None:
        """End a request of which the module has nothing in hand any more."""
        request = self._context.requests.get(ident)
        if request is not None and request.ending is None:
            request.ending = ending
            request.done.set()

    def close(self, request: ClientRequest, ending: Ending, result: it.Result, text: str = "") -> None:
        """End a standing connection, and tell the module so, with the load report that its end brought."""
        attempt = request.attempt
        if request.ending is not None or attempt is None:
            return
        request.ending = ending
        request.done.set()
        latency = self._context.clock.now() - attempt.started
        server = attempt.machine.server.id
        watcher = self._context.watcher
        if watcher is not None:
            cut = ending.move or result is it.Result.RESET
            watcher.ended(request.key, request.opening.cls, server, latency, cut=cut)
        report = self._reports.of_answer(server, text)
        self._context.tell(it.Outcome(request.id, attempt.number, server, result, latency, True, report))
        told = {"job": request.id, "server": server, "result": result.value, "moved": ending.move}
        log.info("end", extra={**told, "stood_ms": round(latency)})

    def fault(self, request: ClientRequest) -> None:
        """End a request in which a side failed in a way that it may not."""
        if request.ending is None:
            request.ending = Ending(broken=True) if request.up.is_set() else Ending(Failed())
            self._context.tell(it.ClientLeft(request.id))
