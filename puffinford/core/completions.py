"""How a request comes to its one ending, and what the decision module and the watcher hear of it."""

from __future__ import annotations

from puffinford import interface as it
from puffinford.core.context import Context
from puffinford.core.load_reports import LoadReports
from puffinford.core.logger import log
from puffinford.core.requests import ClientRequest, Completion
from puffinford.core.values import Failed


class Completions:
    """Sets the ending of a request, once: whatever comes later finds it set and changes nothing."""

    def __init__(self, context: Context, reports: LoadReports) -> None:
        self._context = context
        self._reports = reports

    def abandon(self, request: ClientRequest, completion: Completion) -> None:
        """End a request that does not stand yet, whatever the module has in hand for it."""
        if request.completion is None:
            request.completion = completion
            request.done.set()
            self._context.dispatch(it.ClientLeft(request.id))
            if request.attempt is not None:
                request.attempt.scope.cancel()

    def finish(self, ident: str, completion: Completion) -> None:
        """End a request of which the module has nothing in hand any more."""
        request = self._context.requests.get(ident)
        if request is not None and request.completion is None:
            request.completion = completion
            request.done.set()

    def close(
        self, request: ClientRequest, completion: Completion, result: it.Result, text: str = ""
    ) -> None:
        """End a standing connection, and tell the module so, with the load report that its end brought."""
        attempt = request.attempt
        if request.completion is not None or attempt is None:
            return
        request.completion = completion
        request.done.set()
        latency = self._context.clock.now() - attempt.started
        server = attempt.entry.server.id
        observer = self._context.observer
        if observer is not None:
            cut = completion.move or result is it.Result.RESET
            observer.on_closed(request.key, request.opening.cls, server, latency, cut=cut)
        report = self._reports.of_answer(server, text)
        self._context.dispatch(it.Outcome(request.id, attempt.number, server, result, latency, True, report))
        told = {"request": request.id, "server": server, "result": result.value, "moved": completion.move}
        log.info("end", extra={**told, "established_ms": round(latency)})

    def fault(self, request: ClientRequest) -> None:
        """End a request in which a side failed in a way that it may not."""
        if request.completion is None:
            request.completion = Completion(broken=True) if request.up.is_set() else Completion(Failed())
            self._context.dispatch(it.ClientLeft(request.id))
