"""Attempts at servers: each is made, given up or comes to stand, and its outcome goes to the module."""

from __future__ import annotations

from collections.abc import Mapping
from functools import partial

from puffinford import interface as it
from puffinford.core.admission import Admission
from puffinford.core.completions import Completions
from puffinford.core.context import Context
from puffinford.core.counters import Count
from puffinford.core.forwarding import Relay
from puffinford.core.load_reports import LoadReports
from puffinford.core.logger import log
from puffinford.core.requests import ClientRequest, Completion, ServerAttempt, number_of
from puffinford.core.servers import ServerTable
from puffinford.core.stall import StallWatch
from puffinford.core.values import AttemptEnded, ConnectionBroken, Failed, Message, ServerConnector, Up

AT_RETRY = 250.0  # between tries of a connection that stood before the run


class Attempts:
    """Makes the attempts that the module decides on, one at a time for each request."""

    def __init__(
        self,
        context: Context,
        connectors: Mapping[str, ServerConnector],
        servers: ServerTable,
        stall: StallWatch,
        admission: Admission,
        completions: Completions,
        relay: Relay,
        reports: LoadReports,
    ) -> None:
        self.connectors = connectors
        self._context = context
        self._servers = servers
        self._stall = stall
        self._admission = admission
        self._completions = completions
        self._relay = relay
        self._reports = reports

    def start(self, action: it.Attempt) -> None:
        """Begin an attempt, or tell the module why there is none."""
        request = self._context.requests.get(action.id)
        number = 0
        result = it.Result.NOT_SENT
        if request is not None and request.completion is None:
            number = request.attempts
            entry = self._servers.get(action.server)
            if request.attempt is not None:
                log.error("second attempt withheld", extra={"request": request.id, "server": action.server})
            elif entry is None:
                request.attempts += 1
                result = it.Result.CONNECT_FAILED
            else:
                request.attempts += 1
                request.attempt = ServerAttempt(entry, number, self._context.clock.now())
                request.tasks.start_soon(self._run, request, request.attempt, action.timeout, action.until)
                return
        closed = request is None or request.completion is not None
        self._context.dispatch(it.Outcome(action.id, number, action.server, result, 0.0, closed))

    def cancel(self, action: it.Cancel) -> None:
        """Give up an attempt, where it is the one that is out."""
        request = self._context.requests.get(action.id)
        attempt = request.attempt if request is not None else None
        if attempt is not None and attempt.number == action.attempt:
            attempt.scope.cancel()

    async def _try(
        self, request: ClientRequest, attempt: ServerAttempt, wait: float, until: float = float("inf")
    ) -> tuple[Up | None, AttemptEnded]:
        """One attempt, up or ended; cancelled it gives nothing back but its result."""
        ended = AttemptEnded(it.Result.CANCELLED)
        up = None
        with attempt.scope:
            try:
                if request.opening.at is None:
                    await self._stall.trusted()
                admit = partial(self._admission.admit, request, attempt, until)
                await admit()
                side = self.connectors[attempt.entry.front]
                sent = partial(self._sent, request, attempt)
                attempt.connection, up = await side.open_connection(
                    attempt.entry, request.opening, wait, admit, sent
                )
            except AttemptEnded as exc:
                ended = exc
        return up, ended

    def _sent(self, request: ClientRequest, attempt: ServerAttempt) -> None:
        attempt.sent = True
        self._context.counters.add(request.opening.cls, Count.ATTEMPTS)

    async def _run(
        self, request: ClientRequest, attempt: ServerAttempt, timeout: float, until: float
    ) -> None:
        left = request.deadline - attempt.started
        up, ended = await self._try(request, attempt, min(timeout, left) if timeout > 0 else left, until)
        if request.completion is not None and attempt.connection is not None:
            # Guards the one final answer: UP came in the turn in which another was given, or the client left.
            # The leg ends with the request, and the module has heard that its client is gone.
            return
        latency = self._context.clock.now() - attempt.started
        if up is None:
            await self._ended(request, attempt, ended, latency)
            return
        self._context.dispatch(it.Established(request.id, attempt.number, attempt.entry.server.id, latency))
        await self._relay.run(request, attempt, up)

    async def _ended(
        self, request: ClientRequest, attempt: ServerAttempt, ended: AttemptEnded, latency: float
    ) -> None:
        """An attempt that did not come to stand."""
        request.attempt = None
        self._log_ended(request, attempt, ended, latency)
        served = ended.result is it.Result.OK and request.completion is None
        if served:
            # Served to its end before it ever stood: what the server sent is the answer, and the only one.
            request.completion = Completion()
            await self._pass_all(request, ended.messages)
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
        told = {
            "request": request.id,
            "server": server,
            "result": ended.result.value,
            "number": attempt.number,
        }
        if ended.result is it.Result.ERROR:
            told["figures"] = str(request.opening.parameters)[:300]  # the opening may be at fault
        log.info("attempt ended", extra={**told, "ms": round(latency, 1)})

    async def _pass_all(self, request: ClientRequest, messages: tuple[Message, ...]) -> None:
        try:
            for message in messages:
                await request.client.send(message)
            self._context.counters.add(request.opening.cls, Count.SERVED)
        except ConnectionBroken:
            pass

    async def resume(self, request: ClientRequest, ident: str) -> None:
        """A connection that stood at a server before the run: only that server can take it."""
        while True:
            entry = self._servers.get(ident)
            left = request.deadline - self._context.clock.now()
            if entry is None or left <= 0:
                told = {"request": request.id, "server": ident, "known": entry is not None}
                log.warning("not resumed", extra=told)
                self._completions.finish(request.id, Completion(Failed("cannot be resumed")))
                return
            attempt = request.attempt = ServerAttempt(entry, 0, self._context.clock.now())
            up, ended = await self._try(request, attempt, left)
            if up is not None:
                self._context.dispatch(it.Inherited(request_of(request), ident))
                await self._relay.run(request, attempt, up)
                return
            request.attempt = None
            log.info(
                "attempt ended", extra={"request": request.id, "server": ident, "result": ended.result.value}
            )
            if ended.result not in (it.Result.FULL, it.Result.CONNECT_FAILED):
                self._completions.finish(request.id, Completion(Failed("cannot be resumed")))
                return
            await self._context.clock.sleep(AT_RETRY * (0.5 + self._context.rng.random()))


def request_of(request: ClientRequest) -> it.Request:
    """A request as the decision module sees it."""
    opening = request.opening
    return it.Request(
        request.id,
        opening.cls,
        opening.wait,
        opening.tenant,
        opening.came_back,
        opening.retry,
        None if opening.group is None else number_of(opening.group),
        False,
        opening.load,
        request.key,
    )
