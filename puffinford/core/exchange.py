"""The exchange: the only place where client side and server side meet.

It takes each request, tells the decision module what happens, and has what the module decides carried out by
its parts, each in a module of its own. A request gets one final answer, and never has two attempts out.
Neither bytes nor fronts are known here.
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
from puffinford.core.attempts import Attempts, request_of
from puffinford.core.clock import Clock
from puffinford.core.completions import Completions
from puffinford.core.context import Context
from puffinford.core.delay_watch import DelayWatch
from puffinford.core.dispatcher import Decisions
from puffinford.core.drain import Drain
from puffinford.core.forwarding import Relay
from puffinford.core.load_reports import LoadReports
from puffinford.core.logger import log
from puffinford.core.probes import Probes
from puffinford.core.requests import ClientRequest, Completion
from puffinford.core.servers import ServerTable
from puffinford.core.silent_servers import SilenceWatch
from puffinford.core.stall import WATCH, StallWatch
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

ROUND = 1_000.0  # notes of slow messages come once a second
GUARD_AFTER = 25.0  # after a deadline and its slack; on sockets the rules allow 50 ms more


class Exchange:
    """One balancer's requests, server list and decision module, and the parts that work on them."""

    def __init__(
        self,
        settings: it.Settings,
        seed: int,
        clock: Clock,
        connectors: Mapping[str, ServerConnector],
    ) -> None:
        self._clock = clock
        self._balancer = Balancer(settings, seed)
        self._decisions = Decisions(self._balancer, clock, self._carry_out)
        context = Context(clock, settings, random.Random(seed ^ 0x5EED), self._decisions.dispatch)
        context.configure(settings)
        self._context = context
        self.counters = context.counters
        self._requests = context.requests
        self._servers = ServerTable(context)
        self._stall = StallWatch(clock)
        self._reports = LoadReports(context)
        self._completions = Completions(context, self._reports)
        self._answers = Answers(context)
        self._delays = DelayWatch(context)
        self._silence = SilenceWatch(context, self._completions)
        self._relay = Relay(context, self._completions, self._delays)
        self._attempts = Attempts(
            context,
            connectors,
            self._servers,
            self._stall,
            Admission(clock, self._servers, self._completions),
            self._completions,
            self._relay,
            self._reports,
        )
        self._probes = Probes(context, connectors, self._servers, self._reports)
        self._drain = Drain(context, self._balancer, self._completions)
        self._source: ServerListSource | None = None
        self._tasks: anyio.abc.TaskGroup

    async def run(self, source: ServerListSource, restored: RestoredState | None = None) -> None:
        """Serve until cancelled. Requests may come once this has started.

        `restored` is what there is to go by until the source has spoken.
        """
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._source = source
            self._stall.watch(source)
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
            await self._watch()

    async def _watch(self) -> None:
        """What is looked at by the clock, whatever comes."""
        due = self._clock.now()
        while True:
            self._stall.turn()
            await self._clock.sleep(WATCH)
            self._stall.in_doubt()
            self._silence.move_silent()
            if self._clock.now() >= due:
                due = self._clock.now() + ROUND - WATCH / 2.0
                self._delays.round()

    def configure(self, settings: it.Settings) -> None:
        """Go on under other settings; requests and all that is known of the servers stay."""
        if settings != self._context.settings:
            self._context.configure(settings)
            self._delays.configure()
            self._balancer.configure(settings)

    @property
    def observer(self) -> RequestObserver | None:
        """Who hears what becomes of requests."""
        return self._context.observer

    @observer.setter
    def observer(self, observer: RequestObserver | None) -> None:
        self._context.observer = observer

    @property
    def has_server_list(self) -> bool:
        """Whether there is a list to go by: from its source, or the known one when that says nothing."""
        return self._servers.has_server_list

    @property
    def serving(self) -> bool:
        """Whether an arrival would be served."""
        return not self._drain.leaving

    @property
    def shutdown_refusal(self) -> Busy:
        """The refusal of a process that is about to end."""
        return self._context.shutdown_refusal

    def gauges(self) -> dict[str, int]:
        """What stands now; what is left out is the module's word."""
        excluded = self._balancer.listed_servers.excluded(self._clock.now())
        return {
            "in_flight": len(self._requests),
            "servers_known": len(self._servers),
            "servers_excluded": len(excluded & self._servers.ids),
        }

    def health(self) -> list[it.Health]:
        """What the module knows of the servers besides the list."""
        return self._balancer.listed_servers.health(self._clock.now())

    def learn(self, health: list[it.Health]) -> None:
        """Tell the module what another process of this balancer knew."""
        if health:
            self._dispatch(it.LearnedHealth(health))

    # What stands, for those who plan for it

    def survey(self) -> list[it.ServerSnapshot]:
        """Every listed server as the module sees it."""
        return self._balancer.survey(self._clock.now())

    def established_connections(self, server: str, most: int) -> list[tuple[it.EstablishedConnection, bool]]:
        """Some connections that stand at a server, each with whether all its lines are answered."""
        now = self._clock.now()
        told = []
        for flow in self._balancer.listed_servers.sample_established(server, most):
            request = self._requests.get(flow.id)
            if request is not None and request.is_established and request.attempt is not None:
                told.append((flow, request.attempt.unanswered.age(now) == 0.0))
        return told

    def best_server(self, ident: str) -> str | None:
        """Where the module would place a standing connection now."""
        return self._balancer.best_server(ident, self._clock.now())

    def relocate(self, ident: str, server: str, hold: float) -> bool:
        """Move a connection, with a place kept for so many ms; tells whether it no longer stands."""
        self._dispatch(it.Relocate(ident, server, hold))
        request = self._requests.get(ident)
        return request is None or request.completion is not None

    def prefer(self, servers: frozenset[str]) -> None:
        """Clients that come back are sent to these servers first, until the next call."""
        self._dispatch(it.PreferServers(servers))

    # The server list

    def cordon(self, servers: frozenset[str]) -> None:
        """These servers are out, and no others, whatever the server list says."""
        self._servers.cordoned = servers
        if self._source is not None:  # else the module is told first of all
            self._dispatch(it.Cordoned(servers))

    def is_known_id(self, ident: str) -> bool:
        """Whether anybody has that id. One that is restarting may be off the list for now."""
        return self._servers.is_known_id(ident)

    def take_list(self, entries: ServerEntries | None) -> None:
        """A list has come, or (None) a call for one has failed."""
        self._servers.take_list(entries)
        if entries is not None:  # the call of before the stop, which fails at the wake, is no news
            self._stall.list_came()

    def _apply_list(self, entries: ServerEntries, kind: it.ListKind) -> None:
        self._servers.take(entries, kind)

    # The decision module

    def _dispatch(self, event: it.Event) -> None:
        self._decisions.dispatch(event)

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
                self._tasks.start_soon(self._timer, action)
            case it.Subscribe():
                if self._source is not None:
                    self._source.subscribe(action.on)
            case it.ListAll():
                if self._source is not None:
                    self._source.fetch()
            case it.Probe():
                self._tasks.start_soon(self._probes.probe, action.server)
            case it.CloseIdle():
                pass  # each client has a connection of its own: none stands idle
            case it.Log():
                log.info("decision", extra={"text": action.message})

    async def _timer(self, action: it.SetTimer) -> None:
        await self._clock.sleep(action.delay)
        self._dispatch(it.Timer(action.token))

    # Requests

    async def serve(self, opening: Opening, client: ClientConnection, has_capacity: bool = True) -> None:
        """Serve one request to its end. Exactly one final answer goes to the client.

        Without `has_capacity` for its connections that is a refusal at once.
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
            # Guards the one final answer, and the module's counts, against a fault in a side.
            log.exception("request failed", extra={"request": request.id})
            self._completions.fault(request)
        finally:
            del self._requests[request.id]
        await self._answers.end_legs(request)

    def _refusal(self, opening: Opening, has_capacity: bool) -> Busy | Failed | None:
        """The answer to an opening that is not taken at all."""
        if opening.cls not in self._context.classes:
            return Failed("unknown class")
        if opening.request_id in self._requests:
            return Failed("id in use")
        if self._drain.leaving:
            return self.shutdown_refusal
        if not has_capacity:
            return Busy(self._context.settings.max_retry_after, "no room")
        return None

    async def _serve(self, request: ClientRequest) -> None:
        async with anyio.create_task_group() as tasks:
            request.tasks = tasks
            tasks.start_soon(self._relay.listen, request)
            if request.opening.at is not None:
                tasks.start_soon(self._attempts.resume, request, request.opening.at)
            else:
                tasks.start_soon(self._guard, request)
                self._dispatch(request_of(request))
            await request.done.wait()
            tasks.cancel_scope.cancel()

    async def _guard(self, request: ClientRequest) -> None:
        """Answer a request that the module has left without one, while its client still listens."""
        slack = self._context.settings.answer_slack + GUARD_AFTER
        with self._clock.limit(request.deadline - self._clock.now() + slack):
            await request.up.wait()
            return
        if request.completion is None and not request.is_established:
            log.error("unanswered", extra={"request": request.id})
            self._completions.abandon(request, Completion(Failed("out of time", timed_out=True)))

    async def drain(self, settle: float, over: float) -> None:
        """Move every standing connection, spread evenly over `over` ms after `settle`; then end the others.

        Arrivals are served until then, and refused from then on.
        """
        await self._drain.run(settle, over)
