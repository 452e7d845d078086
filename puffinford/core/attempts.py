"""Attempts to connect requests to servers, with their outcomes reported to the decision module."""

from __future__ import annotations

from collections.abc import Mapping
from functools import partial

from puffinford import interface as it
from puffinford.core.admission import Admission
from puffinford.core.completions import Completions
from puffinford.core.context import Context
from puffinford.core.counters import Count
from puffinford.core.forwarding import MessageForwarder
from puffinford.core.load_reports import LoadReports
from puffinford.core.logger import log
from puffinford.core.requests import ClientRequest, Completion, ServerAttempt, numeric_key
from puffinford.core.servers import ServerTable
from puffinford.core.stall import StallWatch
from puffinford.core.values import AttemptEnded, ConnectionBroken, Failed, Message, ServerConnector, Up

NEVER_RAN = frozenset((it.Result.FULL, it.Result.CONNECT_FAILED, it.Result.NOT_SENT))
RESUME_RETRY_MS = 250.0  # mean pause between attempts to resume a connection
RESUME_ANSWER_MARGIN_MS = 50.0  # for the answer to arrive before its client stops waiting


class Attempts:
    """Makes the attempts that the decision module requests, one at a time for each request."""

    def __init__(
        self,
        context: Context,
        connectors: Mapping[str, ServerConnector],
        servers: ServerTable,
        stall: StallWatch,
        admission: Admission,
        completions: Completions,
        forwarder: MessageForwarder,
        reports: LoadReports,
    ) -> None:
        self.connectors = connectors
        self._context = context
        self._servers = servers
        self._stall = stall
        self._admission = admission
        self._completions = completions
        self._forwarder = forwarder
        self._reports = reports

    def start(self, action: it.Attempt) -> None:
        """Start an attempt, or report its failure immediately."""
        request = self._context.requests.get(action.id)
        number = 0
        result = it.Result.NOT_SENT
        if request is not None and request.completion is None:
            number = request.attempt_count
            entry = self._servers.get(action.server)
            if request.attempt is not None:
                log.error("second attempt withheld", extra={"request": request.id, "server": action.server})
            elif entry is None:
                request.attempt_count += 1
                result = it.Result.CONNECT_FAILED
            else:
                request.attempt_count += 1
                request.attempt = ServerAttempt(entry, number, self._context.clock.now())
                request.tasks.start_soon(self._run, request, request.attempt, action.timeout, action.until)
                return
        closed = request is None or request.completion is not None
        self._context.dispatch(it.Outcome(action.id, number, action.server, result, 0.0, closed))

    def cancel(self, action: it.Cancel) -> None:
        """Cancel an attempt if it is in progress."""
        request = self._context.requests.get(action.id)
        attempt = request.attempt if request is not None else None
        if attempt is not None and attempt.number == action.attempt:
            attempt.scope.cancel()

    async def _make_attempt(
        self, request: ClientRequest, attempt: ServerAttempt, timeout_ms: float, until: float = float("inf")
    ) -> tuple[Up | None, AttemptEnded]:
        """Make one attempt; return UP, or None and how the attempt ended."""
        ended = AttemptEnded(it.Result.CANCELLED)
        up = None
        with attempt.scope:
            try:
                if request.opening.resume_server is None:
                    await self._stall.wait_for_list()
                admit = partial(self._admission.admit, request, attempt, until)
                await admit()
                connector = self.connectors[attempt.entry.front]
                on_sent = partial(self._opening_sent, request, attempt)
                attempt.connection, up = await connector.open_connection(
                    attempt.entry, request.opening, timeout_ms, admit, on_sent
                )
            except AttemptEnded as exc:
                ended = exc
        return up, ended

    def _opening_sent(self, request: ClientRequest, attempt: ServerAttempt) -> None:
        attempt.sent = request.may_have_run = True
        self._context.counters.add(request.opening.cls, Count.ATTEMPTS)

    async def _run(
        self, request: ClientRequest, attempt: ServerAttempt, timeout: float, until: float
    ) -> None:
        remaining = request.deadline - attempt.started_at
        up, ended = await self._make_attempt(
            request, attempt, min(timeout, remaining) if timeout > 0 else remaining, until
        )
        if request.completion is not None and attempt.connection is not None:
            # Prevents a second final answer when UP arrives just as the request completes otherwise.
            # The server's connection is closed with the request.
            return
        latency = self._context.clock.now() - attempt.started_at
        if up is None:
            await self._handle_ended(request, attempt, ended, latency)
            return
        self._context.dispatch(it.Established(request.id, attempt.number, attempt.entry.server.id, latency))
        await self._forwarder.forward_from_server(request, attempt, up)

    async def _handle_ended(
        self, request: ClientRequest, attempt: ServerAttempt, ended: AttemptEnded, latency: float
    ) -> None:
        """Report an attempt that ended without an established connection."""
        request.attempt = None
        if ended.result in NEVER_RAN:
            request.may_have_run = False
        self._log_ended(request, attempt, ended, latency)
        served = ended.result is it.Result.OK and request.completion is None
        if served:
            # The server completed the request without UP: its messages are the answer.
            request.completion = Completion()
            await self._forward_all(request, ended.messages)
        closed = request.completion is not None
        server = attempt.entry.server.id
        report = self._reports.of_answer(server, ended.report)
        self._context.dispatch(
            it.Outcome(request.id, attempt.number, server, ended.result, latency, closed, report)
        )
        if served:
            request.done.set()

    def _log_ended(
        self, request: ClientRequest, attempt: ServerAttempt, ended: AttemptEnded, latency: float
    ) -> None:
        server = attempt.entry.server.id
        fields = {
            "request": request.id,
            "server": server,
            "result": ended.result.value,
            "number": attempt.number,
        }
        if ended.result is it.Result.ERROR:
            # The server may have rejected the opening.
            fields["figures"] = request.opening.parameter_list[:300]
        log.info("attempt ended", extra={**fields, "ms": round(latency, 1)})

    async def _forward_all(self, request: ClientRequest, messages: tuple[Message, ...]) -> None:
        try:
            for message in messages:
                await request.client.send(message)
            self._context.counters.add(request.opening.cls, Count.SERVED)
        except ConnectionBroken:
            pass

    async def resume(self, request: ClientRequest, server_id: str) -> None:
        """Resume a connection at the server that already holds it, until the request's deadline."""
        clock = self._context.clock
        until = request.deadline - min(RESUME_ANSWER_MARGIN_MS, request.opening.wait / 2.0)
        while True:
            entry = await self._servers.wait_until_known(server_id, until - clock.now())
            remaining = until - clock.now()
            if entry is None or remaining <= 0:
                known = entry is not None
                fields = {"request": request.id, "server": server_id, "known": known}
                fields["list_confirmed"] = self._servers.is_confirmed
                log.warning("not resumed", extra=fields)
                self._completions.finish(request.id, Completion(Failed("cannot be resumed")))
                return
            attempt = request.attempt = ServerAttempt(entry, 0, clock.now())
            up, ended = await self._make_attempt(request, attempt, remaining)
            if up is not None:
                self._context.dispatch(it.Inherited(to_decision_request(request), server_id))
                await self._forwarder.forward_from_server(request, attempt, up)
                return
            request.attempt = None
            log.info(
                "attempt ended",
                extra={"request": request.id, "server": server_id, "result": ended.result.value},
            )
            if ended.result not in (it.Result.FULL, it.Result.CONNECT_FAILED):
                self._completions.finish(request.id, Completion(Failed("cannot be resumed")))
                return
            await clock.sleep(RESUME_RETRY_MS * (0.5 + self._context.rng.random()))


def to_decision_request(request: ClientRequest) -> it.Request:
    """Convert a request for the decision module."""
    opening = request.opening
    return it.Request(
        request.id,
        opening.cls,
        opening.wait,
        opening.tenant,
        opening.came_back,
        opening.retry,
        None if opening.group is None else numeric_key(opening.group),
        False,
        opening.expected_load,
        request.key,
    )
