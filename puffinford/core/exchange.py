"""The exchange connects clients' requests to servers, independent of the protocol.

It reports events to the decision module and carries out the actions that the module returns. Each request
gets exactly one final answer, and has at most one attempt in progress.
"""

from __future__ import annotations

import random
from collections.abc import Mapping

import anyio
import anyio.abc

from puffinford import interface as it
from puffinford.balance import Balancer
from puffinford.core.admission import Admission
from puffinford.core.answers import Answers
from puffinford.core.attempts import Attempts, to_decision_request
from puffinford.core.clock import Clock
from puffinford.core.completions import Completions
from puffinford.core.context import Context
from puffinford.core.delay_watch import DelayWatch
from puffinford.core.dispatcher import EventDispatcher
from puffinford.core.drain import Drain
from puffinford.core.forwarding import MessageForwarder
from puffinford.core.load_reports import LoadReports
from puffinford.core.logger import log
from puffinford.core.probes import Probes
from puffinford.core.requests import ClientRequest, Completion
from puffinford.core.run_requests import LocalRunRecord, RepeatGuard, RunRecord
from puffinford.core.servers import ServerTable
from puffinford.core.silent_servers import SilentServerWatch
from puffinford.core.stall import WATCH_INTERVAL_MS, StallWatch
from puffinford.core.values import (
    Busy,
    ClientConnection,
    Failed,
    Opening,
    RequestObserver,
    RestoredState,
    ServerConnector,
    ServerEntries,
    ServerListSource,
)

DELAY_REPORT_INTERVAL_MS = 1_000.0
# After the deadline and the settings' `answer_slack`; on sockets the rules allow 50 ms more.
ANSWER_GUARD_MARGIN_MS = 25.0


class Exchange:
    """One balancer's requests, server list and decision module."""

    def __init__(
        self,
        settings: it.Settings,
        seed: int,
        clock: Clock,
        connectors: Mapping[str, ServerConnector],
    ) -> None:
        self._clock = clock
        self._balancer = Balancer(settings, seed)
        self._dispatcher = EventDispatcher(self._balancer, clock, self._carry_out)
        context = Context(clock, settings, random.Random(seed ^ 0x5EED), self._dispatcher.dispatch)
        context.configure(settings)
        self._context = context
        self.counters = context.counters
        self._requests = context.requests
        self._servers = ServerTable(context)
        self._stall = StallWatch(clock)
        self._reports = LoadReports(context)
        self._repeats = RepeatGuard(context, LocalRunRecord(clock))
        self._completions = Completions(context, self._reports)
        self._answers = Answers(context)
        self._delays = DelayWatch(context)
        self._silent_servers = SilentServerWatch(context, self._completions)
        self._forwarder = MessageForwarder(context, self._completions, self._delays)
        self._attempts = Attempts(
            context,
            connectors,
            self._servers,
            self._stall,
            Admission(clock, self._servers, self._completions),
            self._completions,
            self._forwarder,
            self._reports,
        )
        self._probes = Probes(context, connectors, self._servers, self._reports)
        self._drain = Drain(context, self._balancer, self._completions)
        self._source: ServerListSource | None = None
        self._tasks: anyio.abc.TaskGroup

    async def run(self, source: ServerListSource, restored: RestoredState | None = None) -> None:
        """Run until cancelled. Requests may be served once this has started.

        `restored` is used until `source` has answered.
        """
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._source = source
            tasks.start_soon(self._delays.run)
            self._stall.set_source(source)
            if self._servers.cordoned:
                self._dispatch(it.Cordoned(self._servers.cordoned))
            if restored is None:
                self._dispatch(it.ServerList(it.ListKind.RESTORED))
            else:
                self._apply_list(restored.entries, it.ListKind.RESTORED)
                self._dispatch(
                    it.UnverifiedServers(restored.unverified, restored.max_attempts, restored.attempt_timeout)
                )
                self.learn(restored.health)
            await self._watch_periodically()

    async def _watch_periodically(self) -> None:
        """Detect stalls, silent servers and slow messages at fixed intervals."""
        next_report_at = self._clock.now()
        while True:
            self._stall.start_interval()
            await self._clock.sleep(WATCH_INTERVAL_MS)
            self._stall.is_list_suspect()
            self._silent_servers.move_connections()
            if self._clock.now() >= next_report_at:
                next_report_at = self._clock.now() + DELAY_REPORT_INTERVAL_MS - WATCH_INTERVAL_MS / 2.0
                self._delays.report_delays()

    def configure(self, settings: it.Settings) -> None:
        """Apply new settings. Requests and the state of servers are kept."""
        if settings != self._context.settings:
            self._context.configure(settings)
            self._delays.configure()
            self._balancer.configure(settings)

    @property
    def run_record(self) -> RunRecord:
        """The record of requests that may not run again."""
        return self._repeats.record

    @run_record.setter
    def run_record(self, record: RunRecord) -> None:
        self._repeats.record = record

    @property
    def observer(self) -> RequestObserver | None:
        """Receives callbacks on the outcome of requests."""
        return self._context.observer

    @observer.setter
    def observer(self, observer: RequestObserver | None) -> None:
        self._context.observer = observer

    @property
    def has_server_list(self) -> bool:
        """Whether a server list is in use: from its source or, if that does not answer, a restored one."""
        return self._servers.has_server_list

    @property
    def is_list_confirmed(self) -> bool:
        """Whether the source has sent a list since the start, so that what it lacks does not exist."""
        return self._servers.is_confirmed

    @property
    def serving(self) -> bool:
        """Whether new requests are accepted."""
        return not self._drain.refusing

    @property
    def shutdown_refusal(self) -> Busy:
        """The answer to requests that arrive after the drain."""
        return self._context.shutdown_refusal

    def gauges(self) -> dict[str, int]:
        """Current numbers of requests, of servers, and of servers excluded from new connections."""
        excluded = self._balancer.listed_servers.excluded(self._clock.now())
        return {
            "in_flight": len(self._requests),
            "servers_known": len(self._servers),
            "servers_excluded": len(excluded & self._servers.ids),
        }

    def health(self) -> list[it.Health]:
        """The servers' health as observed by this balancer."""
        return self._balancer.listed_servers.health(self._clock.now())

    def learn(self, health: list[it.Health]) -> None:
        """Pass on health observed by another process of this balancer."""
        if health:
            self._dispatch(it.LearnedHealth(health))

    # Queries and moves for the rebalancer

    def survey(self) -> list[it.ServerSnapshot]:
        """All listed servers with their load and capacity."""
        return self._balancer.survey(self._clock.now())

    def established_connections(self, server: str, limit: int) -> list[tuple[it.EstablishedConnection, bool]]:
        """Up to `limit` established connections of a server, each with whether all its lines are answered."""
        now = self._clock.now()
        connections = []
        for flow in self._balancer.listed_servers.sample_established(server, limit):
            request = self._requests.get(flow.id)
            if request is not None and request.is_established and request.attempt is not None:
                connections.append((flow, request.attempt.unanswered.age(now) == 0.0))
        return connections

    def best_server(self, request_id: str) -> str | None:
        """The server that an established connection would get if it were new; None if there is none."""
        return self._balancer.best_server(request_id, self._clock.now())

    def relocate(self, request_id: str, server: str, hold_ms: float) -> bool:
        """Move a connection and reserve a slot at `server` for `hold_ms`.

        Return whether the connection has ended or is being moved.
        """
        self._dispatch(it.Relocate(request_id, server, hold_ms))
        request = self._requests.get(request_id)
        return request is None or request.completion is not None

    def prefer(self, servers: frozenset[str]) -> None:
        """Prefer these servers for returning clients, until the next call."""
        self._dispatch(it.PreferServers(servers))

    # The server list

    def cordon(self, servers: frozenset[str]) -> None:
        """Set the servers that get no new connections, regardless of the server list."""
        self._servers.cordoned = servers
        if self._source is not None:  # else `run` dispatches it
            self._dispatch(it.Cordoned(servers))

    def is_known_id(self, server_id: str) -> bool:
        """Whether a server with that id is or was listed, or is cordoned."""
        return self._servers.is_known_id(server_id)

    def take_list(self, entries: ServerEntries | None) -> None:
        """Apply a server list; None reports a failed discovery call."""
        self._servers.take_list(entries)
        if entries is not None:  # a call that fails after a stall brings no update
            self._stall.list_received()

    def _apply_list(self, entries: ServerEntries, kind: it.ListKind) -> None:
        self._servers.apply(entries, kind)

    # The decision module

    def _dispatch(self, event: it.Event) -> None:
        self._dispatcher.dispatch(event)

    def _carry_out(self, action: it.Action) -> None:
        match action:
            case it.Attempt():
                self._attempts.start(action)
            case it.Refuse():
                self._completions.finish(action.id, Completion(Busy(action.retry_after, action.reason.value)))
            case it.Fail():
                self._completions.finish(action.id, Completion(Failed(action.reason.value)))
            case it.Cancel():
                self._attempts.cancel(action)
            case it.Move():
                request = self._requests.get(action.id)
                if request is not None and request.is_established:
                    self._completions.close(request, Completion(move=True), it.Result.CANCELLED)
            case it.SetTimer():
                self._tasks.start_soon(self._run_timer, action)
            case it.Subscribe():
                if self._source is not None:
                    self._source.subscribe(action.on)
            case it.ListAll():
                if self._source is not None:
                    self._source.fetch()
            case it.Probe():
                self._tasks.start_soon(self._probes.probe, action.server)
            case it.CloseIdle():
                pass  # connections to servers are not pooled
            case it.Log():
                log.info("decision", extra={"text": action.message})

    async def _run_timer(self, action: it.SetTimer) -> None:
        await self._clock.sleep(action.delay)
        self._dispatch(it.Timer(action.token))

    # Requests

    async def serve(self, opening: Opening, client: ClientConnection, has_capacity: bool = True) -> None:
        """Serve one request to its end, with exactly one final answer.

        Without `has_capacity` (free descriptors and memory for it) it is refused immediately.
        """
        refusal = self._refusal(opening, has_capacity)
        if refusal is not None:
            return await self._answers.refuse(client, refusal, opening)
        deadline = self._clock.now() + opening.wait
        request = ClientRequest(opening, client, deadline)
        self._requests[request.id] = request
        try:
            await self._serve(request)
        except Exception:
            # Ensures a final answer, and that the module releases the request, after an unexpected error.
            log.exception("request failed", extra={"request": request.id})
            self._completions.handle_error(request)
        finally:
            del self._requests[request.id]
            self._repeats.request_ended(request)
        await self._answers.close_connections(request)

    def _refusal(self, opening: Opening, has_capacity: bool) -> Busy | Failed | None:
        """Return the refusal of an opening that cannot be accepted, or None."""
        if opening.cls not in self._context.classes:
            return Failed("unknown class")
        if opening.request_id in self._requests:
            return Failed("id in use")
        if self._repeats.is_repeat(opening):
            return Failed("may have run already")
        if self._drain.refusing:
            return self.shutdown_refusal
        if not has_capacity:
            return Busy(self._context.settings.max_retry_after, "no room")
        return None

    async def _serve(self, request: ClientRequest) -> None:
        async with anyio.create_task_group() as tasks:
            request.tasks = tasks
            tasks.start_soon(self._forwarder.forward_from_client, request)
            if request.opening.resume_server is not None:
                tasks.start_soon(self._attempts.resume, request, request.opening.resume_server)
            else:
                tasks.start_soon(self._guard_answer, request)
                self._dispatch(to_decision_request(request))
            await request.done.wait()
            tasks.cancel_scope.cancel()

    async def _guard_answer(self, request: ClientRequest) -> None:
        """Fail a request that the decision module has not answered by its deadline."""
        slack = self._context.settings.answer_slack + ANSWER_GUARD_MARGIN_MS
        with self._clock.limit(request.deadline - self._clock.now() + slack):
            await request.up.wait()
            return
        if request.completion is None and not request.is_established:
            log.error("unanswered", extra={"request": request.id})
            self._completions.abandon(request, Completion(Failed("out of time", timed_out=True)))

    async def drain(self, settle_ms: float, duration_ms: float) -> None:
        """Wait `settle_ms`, move established connections evenly over `duration_ms`, then end the rest.

        New requests are served until then, and refused afterwards.
        """
        await self._drain.run(settle_ms, duration_ms)
