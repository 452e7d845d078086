"""Completion of requests, reported to the decision module and the observer."""

from __future__ import annotations

from puffinford import interface as it
from puffinford.core.context import Context
from puffinford.core.load_reports import LoadReports
from puffinford.core.logger import log
from puffinford.core.requests import ClientRequest, Completion
from puffinford.core.values import Failed


class Completions:
    """Completes each request once; later completions have no effect."""

    def __init__(self, context: Context, reports: LoadReports) -> None:
        self._context = context
        self._reports = reports

    def abandon(self, request: ClientRequest, completion: Completion) -> None:
        """Complete a request that is not yet established, and cancel its attempt."""
        if request.completion is None:
            request.completion = completion
            request.done.set()
            self._context.dispatch(it.ClientLeft(request.id))
            if request.attempt is not None:
                request.attempt.scope.cancel()

    def finish(self, request_id: str, completion: Completion) -> None:
        """Complete a request that the decision module has already released."""
        request = self._context.requests.get(request_id)
        if request is not None and request.completion is None:
            request.completion = completion
            request.done.set()

    def close(
        self, request: ClientRequest, completion: Completion, result: it.Result, report_text: str = ""
    ) -> None:
        """Complete an established request, and report its result and the server's load report."""
        attempt = request.attempt
        if request.completion is not None or attempt is None:
            return
        request.completion = completion
        request.done.set()
        latency = self._context.clock.now() - attempt.started_at
        server = attempt.entry.server.id
        observer = self._context.observer
        if observer is not None:
            cut = completion.move or result is it.Result.RESET
            observer.on_closed(request.key, request.opening.cls, server, latency, cut=cut)
        report = self._reports.of_answer(server, report_text)
        self._context.dispatch(it.Outcome(request.id, attempt.number, server, result, latency, True, report))
        fields = {"request": request.id, "server": server, "result": result.value, "moved": completion.move}
        log.info("end", extra={**fields, "established_ms": round(latency)})

    def handle_error(self, request: ClientRequest) -> None:
        """Complete a request whose handling raised an unexpected exception."""
        if request.completion is None:
            request.completion = Completion(broken=True) if request.up.is_set() else Completion(Failed())
            self._context.dispatch(it.ClientLeft(request.id))
