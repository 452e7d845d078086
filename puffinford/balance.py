"""All decisions of one balancer. Its settings, events and actions stand in `puffinford/interface.py`.

The mechanism (docs/design.md): each balancer keeps its own shuffle of the server list; a short prefix
of reachable entries is its working set; a new connection compares the head of the prefix with one
random other entry, and the one with fewer own open connections wins, ties to the head. A server that
failed an attempt counts as unreachable until a trial connection stands.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable
from operator import attrgetter

from puffinford import interface as it
from puffinford.decision_state import CAPACITY_ESTIMATE_TTL_MS, Backend, ListedServers, TrackedRequest
from puffinford.fleet import Fleet
from puffinford.slow_start import SlowStart
from puffinford.timers import INSTANT, Timers

PREFIX = 3  # entries of the working set where balancers far outnumber servers
COVER = 4  # balancers that should have each server in their working set, so that none hangs on few
SET_GROWTH = 1.05  # of the own connections, for which a large working set stays long enough
OWN_PART = 0.08  # of what a server carries, that one balancer puts on each entry of its working set
GROUP_OVER = 2.5  # own load, as a multiple of the mean, at which a group passes a server over
CAME = 24  # clients among whom a shared group shows: of a thousand in groups of ten, 19 times in 20
GROUP_ROOM = 4.0  # own load, in mean connections, that is never too much for a server
ROOM_CUT = 0.8  # of the own load at which messages were late is taken for what a server can carry
ROOM_GROWTH = 1.02  # a second, for load and capacity change
GROUP_PRIOR = 20  # connections that a group's part is judged against before enough were seen
RETRY_FIRST = 500.0  # first wait before a trial; about a client's patience, short against a restart
AWAY_FOR = 1_500.0  # a server that took no connection for so long may have restarted; it takes seconds
RETRY_MOST = 8_000.0  # longest wait before a trial; a restart takes seconds
LONGEST = int(RETRY_MOST / RETRY_FIRST).bit_length()  # failures after which the wait is the longest
SLOW = 3.0  # times the delay of its messages is over the shortest aim: a server is passed over
COLD_SLOW = 1.5  # the same for a cold one
SLOW_FOR = 3_000.0  # a note of slow messages comes each second while it lasts: three missed, it is over
MOVE_PART = 0.7  # of the own connections of a late server, moved each note, shared by the late ones ...
MOVE_THIN = 0.35  # ... and where views are thin: all that hold any are told together, and again next second
MOVE_REST = 2_000.0  # a client that came back is left alone this long: its move must pay first
USED_FIELDS = ("x0", "utilization")  # reported load over capacity; the first can tell more than full
FULL_FROM = 0.95  # a server that uses this much of its capacity is passed over ...
FULL_UNTIL = 0.85  # ... until it is back at this
USED_LEAST = 0.1  # of their capacity; with less in use, reports are too rough to tell what servers carry
CARRIES_SEEN = 20  # own connections that it takes to learn from reports what servers carry ...
CARRIES_RATE = 0.05  # ... by so much of the difference with each report
USED_FOR = 10_000.0  # a report older than this tells nothing
USED_SOON = 4_000.0  # and one older than this not how many connections to move
PROBE_EVERY = 500.0  # servers refresh their reports at about this pace
PROBE_SPEND = 0.005  # points of the result that the probes of one request may cost
STRAINED = 0.25  # with more of the known servers strained than this the fleet is full, not one server sick
STRAIN_SEEN = 8  # servers with own connections that it takes to judge the fleet
LIMIT_EVERY = 1_000.0  # notes of late messages come each second
LIMIT_CUT = 0.4  # of the own load, each time, when all known servers are strained
LIMIT_GROWTH = 1.03  # each time, once they are not: slow, for all balancers grow together ...
LIMIT_FREE = 1.25  # ... unless reports tell that no more of the fleet is in use than ...
FREE_UNTIL = 0.6  # ... this, with the late servers taken for full
LIMIT_SPARE = 1.1  # how far the class worth most for its load may pass the limit
HELD_KEYS = 10_000  # connections remembered after their packets went elsewhere
EMPTY_OVER = 2_000.0  # the clients of a server that operators take out are moved within this, evenly
EMPTY_STEP = 100.0
GROUP_COST = 3.0  # mean connections that a server pays for each group that it holds any of
COLD_OVER = 1.5  # own load of a cold server, over its part by warmth, above which a turn there is left
SCAN_MOST = 32  # entries of which all are looked at before one is drawn; of more ...
DRAWS = 16  # ... so many are drawn before that
HOLD = 2.0  # a request waits so many patiences for claims that prove restored entries, and no longer

_NEVER_RAN = frozenset((it.Result.FULL, it.Result.CONNECT_FAILED, it.Result.NOT_SENT))
_NO_FAULT = frozenset((it.Result.OK, it.Result.CANCELLED, it.Result.NOT_SENT))


class Balancer:
    """One balancer: `handle` takes the events of a moment and returns the actions."""

    def __init__(self, settings: it.Settings, seed: int) -> None:
        self._rng = random.Random(seed)
        self._timers = Timers()
        self._actions: list[it.Action] = []
        self._fleet = Fleet(settings, seed, self._rng, self._timers, self._do)
        self.listed_servers: ListedServers = self._fleet  # for queries
        self._slow_start = SlowStart(settings, self._fleet)
        self._tracked_requests: dict[str, TrackedRequest] = {}
        self._holders: dict[int, tuple[str, float]] = {}  # where connections by key were last, and when
        self._groups: dict[int, int] = {}  # own connections of each group
        self._came: deque[int] = deque(maxlen=CAME)  # the groups of the last clients
        self._alone = False  # no two of those shared one
        self._now = 0.0
        self._set: list[Backend] = []
        self._set_until = -1.0
        self._set_for = 0.0  # own connections up to which the set is long enough
        self._limit = float("inf")  # own load above which new connections are turned away
        self._limiting = False  # the limit is looked at each LIMIT_EVERY
        self._load = 0.0  # of own connections and attempts
        self._class_load: dict[str, float] = {}  # mean load of a connection, where loads are told
        self._due: list[tuple[float, str]] = []  # trials of unreachable servers, by time
        self._mean_load = 0.0
        self._loads_told = 0
        self._failed = False
        self._failed_tries = 0
        self._next_trial = 0.0
        self._restored = False  # the list is one from before the start, and discovery has not spoken
        self._patience = 0.0  # for a claim at an unproven entry
        self._proving_most = 0  # such claims that may be out; 0: any number
        self._verifying = 0  # and that are
        self._held: dict[str, TrackedRequest] = {}  # requests that wait for what those claims tell
        self._kept: dict[int, TrackedRequest] = {}  # places kept for moved clients, by key
        self._preferred: frozenset[str] = frozenset()  # where clients that come back are sent first
        self._probe_credit = 0.0
        self._probing = False  # a round of probes is due
        self._take_settings(settings)
        self._handlers: dict[type, Callable[..., None]] = {
            it.Request: self._on_request,
            it.Established: self._on_established,
            it.Outcome: self._on_outcome,
            it.LoadUpdate: self._on_load,
            it.DelayUpdate: self._on_delay,
            it.ClientLeft: self._on_left,
            it.Timer: lambda event: self._timers.woken(event.token),
            it.ServerList: self._on_list,
            it.Cordoned: self._on_cordoned,
            it.UnverifiedServers: self._on_unproven,
            it.LearnedHealth: self._on_learned,
            it.Relocate: self._on_relocate,
            it.PreferServers: lambda event: setattr(self, "_preferred", event.servers),
            it.Inherited: self._on_inherited,
            it.ProbeResult: self._on_probe,
            it.PeerMessage: lambda event: None,  # balancers need nothing of each other
        }

    def _take_settings(self, settings: it.Settings) -> None:
        self._settings = settings
        self._classes = {cls.name: cls for cls in settings.classes}
        self._shortest_aim = min((c.message_aim for c in settings.classes if c.message_aim > 0), default=0.0)
        # Probes pay where they tell the load: each request allows as many as cost PROBE_SPEND.
        fields = settings.report_fields
        self._used_field = next((fields.index(name) for name in USED_FIELDS if name in fields), -1)
        self._probes_each = 0.0
        if settings.may_probe and settings.report_on_probe and self._used_field >= 0:
            self._probes_each = PROBE_SPEND / max(settings.probe_price, PROBE_SPEND / 10)
            if not self._probing:
                self._probing = True
                self._timers.call_at(0.0, self._probe_round)

    def configure(self, settings: it.Settings) -> None:
        """Go on under other settings. What is known of servers stays, and so do the connections."""
        self._take_settings(settings)
        self._fleet.configure(settings)
        self._slow_start.configure(settings)
        self._set_until = -1.0
        for flow in self._tracked_requests.values():
            if flow.cls.name in self._classes:
                flow.bind(self._classes[flow.cls.name])

    def may_refuse(self, ident: str, out: bool) -> bool:
        """Whether a request given up now may be refused; `out`: its present attempt was sent whole."""
        flow = self._tracked_requests.get(ident)
        return flow is None or flow.may_be_refused(out)

    def handle(self, now: float, events: list[it.Event]) -> list[it.Action]:
        self._now = now
        self._slow_start.begin(now)
        self._actions = []
        for event in events:
            self._handlers[type(event)](event)
        self._timers.run_due(now)
        next_wakeup = self._timers.next_wakeup(now)
        if next_wakeup is not None:
            self._actions.append(next_wakeup)
        return self._actions

    def _do(self, action: it.Action) -> None:
        self._actions.append(action)

    def survey(self, now: float) -> list[it.ServerSnapshot]:
        """Every listed server, as far as it matters to what stands. Without effect."""
        self._now = now
        told = []
        for b in self._fleet.backends.values():
            usable = b.open and self._usable(b) and not b.unverified and self._has_room(b)
            degraded = b.unreachable or b.late_until > now
            capacity = self._size(b) if b.open else 0.0
            told.append(it.ServerSnapshot(b.id, self._cost(b), capacity, usable, degraded, len(b.requests)))
        return told

    def best_server(self, ident: str, now: float) -> str | None:
        """Where a standing connection would be placed, were it new. Without effect."""
        flow = self._tracked_requests.get(ident)
        if flow is None or not flow.standing or flow.backend is None or self._limit < float("inf"):
            return None
        self._now = now
        here, drawn = flow.backend, self._rng
        here.load -= flow.load
        self._rng = self._fleet.doubles
        try:
            chosen = None
            if self._settings.grouped and flow.group is not None:
                chosen = self._compare(flow, self._group_set(flow.group))
            chosen = chosen or self._compare(flow, self._working_set())
        finally:
            here.load += flow.load
            self._rng = drawn
        return chosen.id if chosen is not None else None

    # Events

    def _on_list(self, event: it.ServerList) -> None:
        if event.kind is it.ListKind.RESTORED:
            self._restored = True
        elif event.kind is not it.ListKind.UNAVAILABLE and self._restored:
            self._restored = False
            self._timers.call_at(self._now, self._discovery_speaks)
        if self._fleet.take(event, self._now):
            self._set_until = -1.0
            # Guards the servers that a list brings against the backoff of the time without any.
            self._failed = self._failed and all(b.unreachable for b in self._fleet.order)
            for backend in self._fleet.backends.values():
                if backend.unreachable and backend.open and not backend.trial:
                    self._schedule_trial(backend)

    def _discovery_speaks(self) -> None:
        """The first list since the start: nothing has to prove itself any more."""
        for backend in self._fleet.backends.values():
            backend.unverified = False
            if backend.listed is it.ServerState.GONE:
                self._empty(backend, self._now + EMPTY_OVER)
        self._try_held()

    def _on_unproven(self, event: it.UnverifiedServers) -> None:
        self._proving_most = event.most
        self._patience = event.patience
        for backend in self._fleet.backends.values():
            backend.unverified = self._restored and backend.id in event.servers

    def _on_learned(self, event: it.LearnedHealth) -> None:
        now = self._now
        for health in event.entries:
            b = self._fleet.backends.get(health.server)
            if b is None or b.started > health.observed_at:
                continue
            if (
                health.failures
                and not b.unreachable
                and not any(flow.standing for flow in b.requests.values())
            ):
                b.unreachable = True
                b.failures = health.failures
                b.unreachable_since = health.unreachable_since
                b.retry_at = max(now, health.retry_at)
                heapq.heappush(self._due, (b.retry_at, b.id))
            if health.late_report_at > b.late_report_at:
                b.late_report_at = health.late_report_at
                b.delay = health.delay
                b.slow_until = max(b.slow_until, health.slow_until)
            if (
                health.capacity_estimate is not None
                and health.capacity_estimated_at > b.capacity_estimated_at
            ):
                b.capacity_estimate = health.capacity_estimate
                b.capacity_estimated_at = health.capacity_estimated_at
            if health.cold_since is not None and b.cold_since is None:
                b.cold_since = health.cold_since
        self._set_until = -1.0

    def _on_relocate(self, event: it.Relocate) -> None:
        flow = self._tracked_requests.get(event.id)
        b = self._fleet.backends.get(event.server)
        if flow is None or not flow.standing or flow.key is None or b is None or flow.key in self._kept:
            return
        if not (b.open and self._usable(b) and self._has_room(b) and self._fits_cold(b)):
            return
        if b.cold_since is not None:
            b.credit -= 1.0
        self._close(flow)
        # The place is a flow of its own there, so that every count sees it until its client comes.
        kept = self._kept[flow.key] = TrackedRequest(
            it.Request(f"~{flow.id}", flow.cls.name, 0.0), flow.cls, 0.0, flow.load
        )
        kept.group = flow.group
        self._occupy(kept, b)
        self._timers.call_at(self._now + event.hold, lambda: self._give_up(flow.key, kept))

    def _favourite(self, flow: TrackedRequest) -> Backend | None:
        """The emptiest of the favoured servers that can take a client which has come back."""
        fit = [
            b
            for ident in self._preferred
            if (b := self._fleet.backends.get(ident)) is not None
            and b.open
            and self._usable(b)
            and self._has_room(b)
            and flow.may_go_to(b, self._now)
            and self._fits_cold(b)
        ]
        return min(fit, key=lambda b: (self._weight(b), b.reach), default=None)

    def _give_up(self, key: int | None, kept: TrackedRequest) -> Backend | None:
        """Release a place that was kept; where that was, if it still was."""
        if key is None or self._kept.get(key) is not kept:
            return None
        del self._kept[key]
        backend = kept.backend
        self._release(kept)
        return backend

    def _on_cordoned(self, event: it.Cordoned) -> None:
        out, back = self._fleet.cordon(event.servers, self._now)
        for backend in out:
            self._empty(backend, self._now + EMPTY_OVER)
        for backend in back:
            # Operators restart what they take out, and no list may have told of it yet: it may be cold.
            told = backend.started > backend.cordoned_at
            backend.start_cold(backend.started if told else self._now)
            backend.credit, backend.credit_until = 1.0, float("inf")
            backend.forget_load()
            # Guards against a server that stays unused: a cold one's part of the traffic would bring it
            # the first connection after a minute, and the working set may never reach it.
            backend.unreachable = True
            backend.trial = ""
            backend.retry_at = self._now
            heapq.heappush(self._due, (self._now, backend.id))
            self._failed = False  # guards the one server left against the backoff of the time without any
        if out or back:
            self._set_until = -1.0

    def _empty(self, backend: Backend, until: float) -> None:
        """Move the clients of a server that is out, evenly, so that they do not all come back together."""
        if not backend.cordoned and backend.listed is not it.ServerState.GONE:
            return
        standing = [flow for flow in backend.requests.values() if flow.standing]
        steps = max(1, int((until - self._now) / EMPTY_STEP))
        for flow in standing[: -(-len(standing) // steps)]:
            self._close(flow)
        if backend.requests:
            self._timers.call_at(self._now + EMPTY_STEP, lambda: self._empty(backend, until))

    def _on_request(self, event: it.Request) -> None:
        now = self._now
        cls = self._classes[event.cls]
        flow = TrackedRequest(event, cls, now + event.left, self._expected_load(event.load))
        if event.load:
            self._learn_class(cls, flow.load)
        self._tracked_requests[flow.id] = flow
        if self._fleet.thin and flow.group is not None and not flow.came_back:
            self._came.append(flow.group)
            self._alone = len(set(self._came)) == CAME
        self._probe_credit += self._probes_each
        if event.key in self._kept:
            backend = self._give_up(event.key, self._kept[event.key])
            if backend is not None and backend.open and self._usable(backend):
                flow.place = backend
                if backend.cold_since is not None:
                    backend.credit += 1.0  # paid when the place was kept
        self._send(flow)

    def _on_inherited(self, event: it.Inherited) -> None:
        request = event.request
        backend = self._fleet.backends.get(event.server)
        flow = TrackedRequest(
            request, self._classes[request.cls], self._now, self._expected_load(request.load)
        )
        flow.sent = 1
        flow.standing = True
        self._tracked_requests[flow.id] = flow
        if backend is not None:
            self._occupy(flow, backend)

    def _on_established(self, event: it.Established) -> None:
        flow = self._tracked_requests.get(event.id)
        if flow is None or flow.backend is None or event.attempt != flow.sent - 1:
            return
        flow.standing = True
        flow.tried = []
        backend = flow.backend
        self._failed = False
        self._end_proving(flow)
        backend.unverified = False
        if backend.unreachable:
            backend.unreachable = False
            # Guards against a server that takes connections and drops them at once: a trial proves it only
            # once it lasts as long as the wait before it, else the next wait is longer. At 200 balancers each
            # tried it every second: 8 servers reset 8,317 connections on a calm day.
            backend.sound_at = self._now + min(RETRY_MOST, RETRY_FIRST * 2.0 ** (backend.failures - 1))
            # Guards against a server that came back before the list said so: it may be cold. One that
            # broke a connection or answered amiss, and soon took the next, was never away.
            away = backend.unreachable_since is not None and self._now >= backend.unreachable_since + AWAY_FOR
            if away and backend.cold_since is None and self._settings.warm_time > 0:
                backend.start_cold(self._now)
            self._set_until = -1.0
        backend.trial = ""
        backend.unreachable_since = None
        self._try_held()

    def _on_outcome(self, event: it.Outcome) -> None:
        flow = self._tracked_requests.get(event.id)
        if flow is None or event.attempt != flow.sent - 1:
            return
        backend = flow.backend
        self._release(flow)
        result = event.result
        if backend is not None:
            self._take_report(backend, event.report)
            if result not in _NO_FAULT:
                self._failure(backend, flow, dropped=flow.standing and self._fleet.thin)
                flow.paid |= backend.unverified
                if result is it.Result.CONNECT_FAILED:
                    backend.unreachable_since = (
                        self._now if backend.unreachable_since is None else backend.unreachable_since
                    )
                    if backend.cold_since is not None:
                        backend.credit = min(1.0, backend.credit + 1.0)  # it got none of the work
                if result is it.Result.ERROR:
                    flow.blamed.append(backend)
            elif backend.trial == flow.id:
                backend.trial = ""
                self._schedule_trial(backend)
        if event.closed:
            del self._tracked_requests[flow.id]
            return
        flow.standing = False
        if result not in _NEVER_RAN and flow.risk is None:
            flow.risk = backend
            flow.risk_at = flow.sent_at
        self._send(flow)
        self._try_held()

    def _on_load(self, event: it.LoadUpdate) -> None:
        flow = self._tracked_requests.get(event.id)
        if flow is None or flow.backend is None or event.load < 0:
            return
        load = self._known_load(event.load)
        self._learn_class(flow.cls, load)
        flow.backend.load += load - flow.load
        self._load += load - flow.load
        flow.load = load

    def _on_delay(self, event: it.DelayUpdate) -> None:
        backend = self._fleet.backends.get(event.server)
        if backend is None:
            return
        falling = event.delay < 0.9 * backend.delay
        backend.delay = event.delay
        # A cold server answers slowly with next to nothing on it: left out for that, it never warms up.
        slow = event.delay * (COLD_SLOW if backend.cold_since is not None else SLOW) > self._shortest_aim
        backend.slow_until = self._now + SLOW_FOR if slow else 0.0
        self._set_until = -1.0
        if event.delay <= self._shortest_aim or not self._shortest_aim:
            backend.late_notes = 0
            backend.late_until = 0.0
            return
        if self._fleet.thin:
            # Guards a late server against one more from each of many: a room under one is a chance, drawn
            # once a note, for with one a request the second or third of them would find it.
            backend.capacity_estimate = ROOM_CUT * min(self._room(backend), max(1.0, backend.load))
            backend.chance = self._rng.random()
        else:
            backend.capacity_estimate = min(self._room(backend), max(1.0, ROOM_CUT * backend.load))
        backend.capacity_estimated_at = self._now
        # One late note can be a pause; two in a row, a second apart, are more work than it can do.
        backend.late_notes = backend.late_notes + 1 if backend.late_report_at > self._now - SLOW_FOR else 1
        backend.late_report_at = self._now
        # Under a limit the fleet sheds as a whole, and moves would only pass its excess round; but where one
        # server alone is late it is not the fleet: its clients waited a second for each message for ten.
        if self._limit == float("inf") or not self._others_strained(backend):
            if self._probes_each and not backend.relieve:
                backend.relieve = True
                self._do(it.Probe(backend.id))
            else:
                self._move_some(backend)
        if backend.late_notes >= 2 and not falling:
            backend.late_until = self._now + SLOW_FOR
            if not self._limiting and not self._fleet.thin:
                self._limiting = True
                self._timers.call_at(self._now, self._watch_limit)

    def _move_some(self, backend: Backend) -> None:
        """Move the connections that suffer most off a server whose messages are late.

        Guards against a server that lost capacity or drew heavy connections: these last longer than
        a day's trouble, so new connections alone cannot relieve it. Nobody there is served in time, so
        most go at once; fewer where several servers are late, for then the others have less room.
        """
        entries = self._working_set()
        if not entries or (len(entries) == 1 and entries[0] is backend):
            return
        rested = self._now - MOVE_REST
        moved = [
            flow
            for flow in backend.requests.values()
            if flow.standing
            and backend.delay > flow.cls.message_aim
            and not (flow.came_back and flow.sent_at > rested)
        ]
        moved.sort(key=lambda flow: (flow.cls.message_aim, -flow.load))
        over = self._over(backend)
        if over is not None:
            due = over * backend.load
            for flow in moved:
                if due <= 0:
                    break
                due -= flow.load
                self._close(flow)
            return
        if self._limit < float("inf"):
            return
        late = sum(b.late_report_at > self._now - SLOW_FOR for b in self._fleet.order)
        number = max(1.0, MOVE_PART * len(backend.requests) / max(1, late))
        if self._fleet.thin:
            # Guards against a step that each of many takes for its one connection: all of them moved all.
            number = MOVE_THIN * len(backend.requests) / max(1, late) + self._rng.random()
        for flow in moved[: int(number)]:
            self._close(flow)

    def _over(self, backend: Backend) -> float | None:
        """The part of its load that a late server should lose, as reports tell; None where they do not.

        What it has over its capacity, and no more than the others have room for. Guards against moving most
        clients of a small fleet to and fro: 25 from one of two servers to the other, 29 back, 34 again.
        """
        fresh = self._now - USED_SOON
        if backend.used_at < fresh or not backend.used:
            return None
        others = [b for b in self._fleet.order if b is not backend and b.used_at >= fresh and self._usable(b)]
        room = sum(max(0.0, FULL_UNTIL - b.used) * self._size(b) for b in others)
        over = (backend.used - FULL_UNTIL) * self._size(backend)
        return max(0.0, min(over, room)) / (backend.used * self._size(backend))

    def _on_left(self, event: it.ClientLeft) -> None:
        flow = self._tracked_requests.pop(event.id, None)
        if flow is None:
            return
        self._held.pop(flow.id, None)
        backend = flow.backend
        self._release(flow)
        if backend is None:
            return
        self._try_held()
        if backend.trial == flow.id:
            backend.trial = ""
            self._schedule_trial(backend)
        if self._settings.may_cancel and not flow.standing:
            self._do(it.Cancel(flow.id, flow.sent - 1))

    def _on_probe(self, event: it.ProbeResult) -> None:
        backend = self._fleet.backends.get(event.server)
        if backend is None:
            return
        if event.result is it.Result.OK:
            self._take_report(backend, event.report)
        if backend.relieve:
            backend.relieve = False
            self._move_some(backend)

    def _take_report(self, backend: Backend, report: list[float] | None) -> None:
        """Remember the reported load over capacity, the best sign of room there is."""
        if report is None or self._used_field < 0 or self._used_field >= len(report):
            return
        used = backend.used = report[self._used_field]
        backend.used_since = 0.0
        backend.used_at = self._now
        self._learn_carries()
        if used >= FULL_FROM and backend.slow_until <= self._now:
            backend.slow_until = self._now + SLOW_FOR
            self._set_until = -1.0
        elif used < FULL_UNTIL and backend.late_until <= self._now < backend.slow_until:
            backend.slow_until = 0.0
            self._set_until = -1.0

    def _probe_round(self) -> None:
        """Probe the entries of the working set that were heard of longest ago, as far as requests paid."""
        if not self._probes_each:
            self._probing = False
            return
        self._timers.call_at(self._now + PROBE_EVERY * (0.5 + self._rng.random()), self._probe_round)
        entries = sorted(self._working_set(), key=attrgetter("probed_at"))
        self._probe_credit = min(self._probe_credit, float(len(entries)))
        for backend in entries[: int(self._probe_credit)]:
            if backend.probed_at > self._now - PROBE_EVERY:
                break
            self._probe_credit -= 1.0
            backend.probed_at = self._now
            self._do(it.Probe(backend.id))

    # Load of connections

    def _known_load(self, load: float) -> float:
        # Guards the mean against the first load told, which stood for it for a hundred more.
        self._loads_told += 1
        self._mean_load += max(0.01, 1.0 / self._loads_told) * (load - self._mean_load)
        return load / self._mean_load if self._mean_load > 0 else 1.0

    def _learn_class(self, cls: it.RequestClass, load: float) -> None:
        mean = self._class_load.get(cls.name, load)
        self._class_load[cls.name] = max(0.01, mean + 0.02 * (load - mean))

    def _expected_load(self, hint: float | None) -> float:
        return 1.0 if hint is None or hint <= 0 else self._known_load(hint * 1_000.0)

    # Server health

    def _failure(self, backend: Backend, flow: TrackedRequest, *, dropped: bool) -> None:
        """An attempt or connection failed there: unreachable until a trial stands."""
        if backend.unreachable and backend.trial != flow.id:
            # Guards a server that dropped thirty connections against the wait after thirty failed trials, and
            # a trial against the end of what went there before: a second one came beside it.
            return
        if not backend.unreachable and self._now >= backend.sound_at:
            backend.failures = 0  # it stood long enough: this is a trouble of its own
        backend.trial = ""
        backend.failures += 1
        if dropped:  # where many meet it alone, their trials come at balancers / wait: take the longest
            backend.failures = max(backend.failures, LONGEST)
        backend.unreachable = True
        self._set_until = -1.0
        self._schedule_trial(backend)

    def _backoff(self, tries: int) -> float:
        """A wait that doubles with each try, drawn anew each time."""
        wait = min(RETRY_MOST, RETRY_FIRST * 2.0 ** min(tries, 10))
        return wait * (0.5 + 0.5 * self._rng.random())

    def _schedule_trial(self, backend: Backend) -> None:
        backend.retry_at = self._now + self._backoff(backend.failures - 1)
        heapq.heappush(self._due, (backend.retry_at, backend.id))

    def _trial(self, flow: TrackedRequest) -> Backend | None:
        """An unreachable server whose trial is due, if this request can carry it."""
        while self._due and self._due[0][0] <= self._now:
            if flow.sent or flow.cls.effect is not it.Effect.SAFE or self._settings.max_attempts < 2:
                return None
            at, ident = heapq.heappop(self._due)
            backend = self._fleet.backends.get(ident)
            if backend is None or not backend.unreachable or backend.trial or backend.retry_at != at:
                continue
            if not backend.open:
                continue
            # A trial at a server whose messages are late proves nothing, and costs a client.
            late = backend.slow_until > self._now
            if late or not (self._may_prove(flow, backend) and self._fits_cold(backend)):
                # Guards a cold server against never being tried again: it has no room for it yet.
                self._schedule_trial(backend)
                continue
            backend.trial = flow.id
            return backend
        return None

    def _warmth(self, backend: Backend) -> float:
        """The share of its capacity that a server can be counted on for now; 1 when warm."""
        return self._slow_start.warmth(backend, self._now)

    def _size(self, backend: Backend) -> float:
        """What a server can carry now beside the others: its told size, 1 where none is, by its warmth."""
        size = backend.size if self._settings.sized and backend.size > 0 else 1.0
        return size * self._warmth(backend)

    def _fits_cold(self, backend: Backend) -> bool:
        """Whether this balancer may send one more to a server now, as far as its slow start goes."""
        return self._slow_start.has_turn(backend, self._now)

    def _learn_carries(self) -> None:
        """Learn what a warm server of mean size carries, where no quotas tell it, from load reports.

        It is what stands at all balancers, as this one sees its part, over the part of the warm servers'
        capacity that it uses. Too few own connections tell nothing: refused clients stand nowhere.
        """
        if self._fleet.quotas or len(self._tracked_requests) < CARRIES_SEEN:
            return
        warm = [b for b in self._fleet.order if b.cold_since is None]
        sizes = {b: self._size(b) for b in warm if b.used_at > self._now - USED_FOR}
        used = sum(b.used * size for b, size in sizes.items()) / (sum(sizes.values()) or 1.0)
        if used < USED_LEAST:
            return
        warm_capacity = self._load * self._settings.balancers / len(warm) / used
        self._fleet.warm_capacity += CARRIES_RATE * (warm_capacity - self._fleet.warm_capacity)

    def _cost(self, backend: Backend) -> float:
        """The own load of a server, with what it pays for the groups that it holds."""
        return backend.load + GROUP_COST * len(backend.groups) if self._settings.grouped else backend.load

    # Picking

    def _usable(self, backend: Backend) -> bool:
        return not backend.unreachable and backend.slow_until <= self._now

    def _room(self, backend: Backend) -> float:
        """The own load that a server can be counted on to carry, as far as late messages have told."""
        if self._now >= backend.capacity_estimated_at + CAPACITY_ESTIMATE_TTL_MS:
            return float("inf")
        grown: float = ROOM_GROWTH ** ((self._now - backend.capacity_estimated_at) / 1_000.0)
        return backend.capacity_estimate * grown

    def _has_room(self, backend: Backend) -> bool:
        """Whether it can be counted on to carry one more; a part of one is a chance."""
        return backend.load + backend.chance <= self._room(backend)

    def _working_set(self) -> list[Backend]:
        """The short prefix of reachable entries; cold ones come on top, they can take only little."""
        now = self._now
        if now < self._set_until and len(self._tracked_requests) <= self._set_for:
            return self._set
        order = self._fleet.order
        # Guards the few servers of a prefix against a balancer that most clients come to: with a fifth of all
        # at one of 150, three of 30 servers held 2.7 times the mean while others stood at half of it.
        each = max(1.0, OWN_PART * self._fleet.warm_capacity)
        own = int(len(self._tracked_requests) / each)
        want = max(PREFIX, -(-COVER * len(order) // self._settings.balancers), own)
        self._set_for = (own + 1) * each
        if own > SCAN_MOST:
            self._set_for = max(self._set_for, SET_GROWTH * len(self._tracked_requests))
        chosen = []
        warm = 0
        until = now + SLOW_FOR
        for backend in order:
            if not self._usable(backend):
                if not backend.unreachable:
                    until = min(until, backend.slow_until)
                continue
            chosen.append(backend)
            if self._warmth(backend) >= 1.0:
                warm += 1
                if warm >= want:
                    break
        self._set = chosen
        self._set_until = until
        return chosen

    def _group_set(self, group: int) -> list[Backend]:
        """A group's own prefix, in the common shuffle: the same entries at every balancer.

        Its servers make up the part of the fleet's capacity that the group's part of the own connections asks
        for, so that a large group does not fill one server; each balancer starts at its own slice of it.
        """
        size = len(self._fleet.common)
        if not size:
            return []
        mine = self._groups.get(group, 0) + 1
        part = mine / (len(self._tracked_requests) + GROUP_PRIOR)
        want: float = max(1, round(part * size))  # in servers of mean size, as are the next two
        seen = has = 0.0
        chosen: list[Backend] = []
        most = max(GROUP_ROOM, GROUP_OVER * self._load / size)
        for backend in self._fleet.group_order(group):
            share = self._fleet.share(backend)
            fits = backend.cold_since is None or self._fits_cold(backend)
            # Guards a small server against what a mean one carries: a group of 22 went to one of half that.
            if fits and self._usable(backend) and backend.load <= most * share and self._has_room(backend):
                chosen.append(backend)
                has += share
                if has >= want - 0.5:
                    break
            elif seen + 0.5 < want and not self._fleet.thin:
                # Guards the next server against all the clients of one that is sick. Among many balancers
                # every server would come to hold some of every group, and pay for each.
                want += share
            seen += share
        first = self._settings.me * len(chosen) // self._settings.balancers
        return chosen[first:] + chosen[:first]

    def _weight(self, backend: Backend) -> float:
        """Own open connections, by their load and the server's size where these are told."""
        return backend.load / self._size(backend)

    def _pick(self, flow: TrackedRequest) -> Backend | None:
        now = self._now
        if flow.place is not None and not flow.sent:
            return flow.place
        if self._preferred and flow.came_back and not flow.sent:
            favourite = self._favourite(flow)
            if favourite is not None:
                return favourite
        backend = self._trial(flow)
        if backend is not None:
            return backend
        backend = self._turn_at_cold(flow)
        if backend is not None:
            return backend
        # Guards a thin view against groups of one client each: they gain nothing by a home common to all, and
        # homes drawn by key load the servers as chance does (the fullest 1.40 of the mean, 1.32 by slices).
        if self._settings.grouped and flow.group is not None and not self._alone:
            entries = self._group_set(flow.group)
            chosen = self._compare(flow, entries)
            if chosen is not None:
                return chosen
            if self._fleet.thin:
                for backend in self._fleet.group_order(flow.group):
                    if self._usable(backend) and self._compare(flow, [backend]):
                        return backend
        chosen = self._compare(flow, self._working_set())
        if chosen is not None:
            return chosen
        # Every entry of the prefix is spent for this request: the rest of the order, slow ones last.
        slow = shaken = None
        for backend in self._fleet.order:
            if backend in flow.tried or not flow.may_go_to(backend, now) or not self._fits_cold(backend):
                continue
            if not self._may_prove(flow, backend):
                continue
            if backend.unreachable:
                # Guards the clients against being turned away while servers run that have only broken
                # a connection: several in a second left a small fleet with none to go to.
                # One whose trials fail too is no better than none.
                if (
                    backend.unreachable_since is None
                    and backend.failures < 3
                    and not backend.trial
                    and shaken is None
                ):
                    shaken = backend
            elif backend.slow_until <= now and (not self._fleet.thin or self._has_room(backend)):
                return backend
            elif self._has_room(backend) and (slow is None or backend.delay < slow.delay):
                # Guards the clients of a late server against all that finds no room elsewhere: a client
                # that is told when to come back finds some; past its room the server serves nobody in time.
                slow = backend
        return slow or shaken

    def _turn_at_cold(self, flow: TrackedRequest) -> Backend | None:
        """A cold server at which this balancer has a turn now, and that holds less than its part.

        Guards against turns that pass unused, for few clients of a thin stream belong there by their group:
        most servers were replaced, and the rest drowned beside new ones that stood nearly empty.
        """
        everyone = self._fleet.common
        if flow.sent or not everyone:
            return None
        now = self._now
        part = COLD_OVER * max(1.0, self._load / len(everyone))
        cold = [b for b in self._fleet.cold_due(now) if b.turn_due <= now or b.credit >= 1.0]
        for b in cold if flow.group is None else self._fleet.in_group_order(flow.group, cold):
            if b.cold_since is None or not self._usable(b) or b.load > part * self._warmth(b):
                continue
            if self._has_room(b) and flow.may_go_to(b, self._now) and self._fits_cold(b):
                return b
        return None

    def _compare(self, flow: TrackedRequest, entries: list[Backend]) -> Backend | None:
        """The head against one random other: fewer own open connections win, ties to the head."""
        place = next((n for n, b in enumerate(entries) if self._fits(flow, b)), None)
        if place is None:
            return None
        head = entries[place]
        other = self._any_other(flow, entries, place + 1)
        if other is None:
            return head
        fresh = self._now - USED_FOR
        if head.used_at > fresh and other.used_at > fresh:
            # Where servers report their load, it counts in place of the own connections alone.
            unit = self._load_unit()
            better = other.used + other.used_since * unit < head.used + head.used_since * unit
        else:
            better = self._weight(other) < self._weight(head)
        return other if better else head

    def _fits(self, flow: TrackedRequest, backend: Backend) -> bool:
        """Whether a server can take this client now."""
        return (
            (backend.cold_since is None or self._fits_cold(backend))
            and backend not in flow.tried
            and self._has_room(backend)
            and flow.may_go_to(backend, self._now)
            and (not backend.unverified or self._may_prove(flow, backend))
        )

    def _any_other(self, flow: TrackedRequest, entries: list[Backend], begin: int) -> Backend | None:
        """One drawn evenly from the entries that fit, from a place on; None where none does.

        Among many entries those drawn are looked at until one fits, which is the same draw: a balancer of a
        large fleet has hundreds of them.
        """
        count = len(entries) - begin
        if count > SCAN_MOST:
            for _ in range(DRAWS):
                drawn = entries[begin + int(self._rng.random() * count)]
                if self._fits(flow, drawn):
                    return drawn
        fit = [b for b in entries[begin:] if self._fits(flow, b)]
        return fit[int(self._rng.random() * len(fit))] if fit else None

    def _load_unit(self) -> float:
        """About how much one own connection adds to the reported load of a server."""
        used = own = 0.0
        for backend in self._set:
            if backend.used_at > self._now - USED_FOR:
                used += backend.used
                own += backend.load
        members = len(self._fleet.order)
        sharers = max(1.0, self._settings.balancers * len(self._set) / max(1, members))
        return used / (own + 1.0) / sharers

    # Requests

    def _send(self, flow: TrackedRequest) -> None:
        """Make the next attempt, or give the final answer where none can be made."""
        now = self._now
        left = flow.deadline - now
        attempts = self._settings.max_attempts - flow.sent
        if attempts <= 0 or left <= self._settings.tick:
            self._finish(flow, it.FailureReason.ATTEMPTS if attempts <= 0 else it.FailureReason.TIME)
            return
        backend = self._holder(flow)
        if backend is None:
            if self._failed and now < self._next_trial:
                self._finish(flow, it.FailureReason.DOWN)
                return
            if self._overloaded(flow):
                # Guards a server that is back against waiting for a trial until the limit is gone: what all
                # others hold too much of has room there, and for ten seconds nobody was sent to see.
                backend = self._trial(flow)
                if backend is None:
                    self._finish(flow, it.FailureReason.LIMIT)
                    return
            backend = backend or self._pick(flow) or self._last_resort(flow)
            if backend is None:
                if not self._hold(flow):
                    self._finish(flow, it.FailureReason.DOWN if self._failed else it.FailureReason.NO_SERVER)
                return
        if backend.cold_since is not None:
            backend.credit -= 1.0
        timeout = 0.0 if attempts == 1 else left / 2
        if backend.unverified and flow.cls.effect is it.Effect.SAFE:
            timeout = min(timeout or left, self._patience)
        self._occupy(flow, backend)
        flow.sent += 1
        flow.sent_at = now
        flow.tried.append(backend)
        self._do(it.Attempt(flow.id, backend.id, timeout, flow.repeat_until()))

    def _holder(self, flow: TrackedRequest) -> Backend | None:
        """The server that still holds this open connection, where packets pass through and it is known.

        Anywhere else the client is reset and set up anew, so this comes before any other thought;
        it is no new work, and the server may drain.
        """
        if flow.sent or not flow.midflow or flow.key is None:
            return None
        ident, at = self._holders.pop(flow.key, ("", 0.0))
        backend = self._fleet.backends.get(ident)
        if backend is None or backend.listed is it.ServerState.GONE or self._now > at + self._settings.park:
            return None
        return backend

    def _may_prove(self, flow: TrackedRequest, backend: Backend) -> bool:
        """Whether this client may be the one that tries an entry which nobody has proved yet.

        Guards the clients after a start on an old list: few meet a dead entry, and none of them two
        while there is a sound one; a request that may not be repeated meets none then.
        """
        if not backend.unverified:
            return True
        if self._proving_most and self._verifying >= self._proving_most:
            return False
        if not flow.paid and flow.cls.effect is it.Effect.SAFE:
            return True
        return not any(not b.unverified and not b.unreachable for b in self._fleet.order)

    def _hold(self, flow: TrackedRequest) -> bool:
        """Keep a request until the claims that are out to unproven entries tell where it can go."""
        if not self._verifying or (flow.held_until and self._now >= flow.held_until - INSTANT):
            return False
        if not any(b.unverified and not b.unreachable and b not in flow.tried for b in self._fleet.order):
            return False
        if not flow.held_until:
            flow.held_until = self._now + HOLD * self._patience
            self._timers.call_at(flow.held_until, self._try_held)
        self._held[flow.id] = flow
        return True

    def _try_held(self) -> None:
        held, self._held = self._held, {}
        for flow in held.values():
            self._send(flow)

    def _end_proving(self, flow: TrackedRequest) -> None:
        self._verifying -= flow.proving
        flow.proving = False

    def _overloaded(self, flow: TrackedRequest) -> bool:
        """Whether to turn this request away because most servers answer their messages too late.

        Guards against a fleet so full that it serves nobody in time: fewer connections, well served,
        are worth more than all of them served late.
        """
        if self._limit == float("inf"):
            return False
        room = self._limit if flow.cls is not self._dearest() else self._limit * LIMIT_SPARE
        return self._load + flow.load > room

    def _dearest(self) -> it.RequestClass:
        """The class that is worth most for its load: it may pass the limit and displace others."""
        return max(self._classes.values(), key=self._density)

    def _strained_share(self) -> float:
        """The part of the servers with own connections that are late or turn connections away."""
        known = degraded = 0
        for backend in self._fleet.order:
            if backend.requests:
                known += 1
                degraded += backend.unreachable or backend.late_until > self._now
        # Few servers say nothing of the fleet: a short prefix can be strained by chance, and grows then.
        enough = max(PREFIX, min(STRAIN_SEEN, len(self._fleet.order) // 2))
        # Guards a small fleet against being taken for full when one server is sick and a second one
        # carries its clients: there too it takes three.
        return degraded / max(known, STRAIN_SEEN) if known >= enough else 0.0

    def _others_strained(self, backend: Backend) -> bool:
        """Whether any server beside this one is late or turns connections away."""
        return any(b.unreachable or b.late_until > self._now for b in self._fleet.order if b is not backend)

    def _in_use(self) -> float:
        """The part of the fleet's capacity in use, as fresh reports tell; 0 where none do."""
        used = sizes = 0.0
        for b in self._fleet.order:
            late = b.late_until > self._now
            if late or b.used_at > self._now - USED_SOON:
                size = self._size(b)
                sizes += size
                used += size * max(b.used, float(late))
        return used / sizes if sizes else 0.0

    def _watch_limit(self) -> None:
        """Lower the limit while most servers are strained, raise it slowly after.

        A limit on what is open, not on what arrives: clients that were turned away come again
        together, and a share of that storm would tip the fleet over once more. Not where views are thin:
        the few servers of one balancer say too little of the fleet, and a cut of its ten or twenty
        connections refused all that came there while others had room (zone+mass 0.317 to 0.349).
        """
        share = 0.0 if self._fleet.thin else self._strained_share()
        if share > STRAINED:
            self._limit = min(self._limit, self._load) * (1.0 - LIMIT_CUT * share)
            self._do(it.Log(f"own load {self._load:.1f} limited to {self._limit:.1f}, strained {share:.2f}"))
            self._shed()
        elif self._limit < float("inf"):
            self._limit *= LIMIT_FREE if 0.0 < self._in_use() < FREE_UNTIL else LIMIT_GROWTH
            if self._limit > 2.0 * self._load + 1.0:
                self._limit = float("inf")
        self._limiting = share > 0.0 or self._limit < float("inf")
        if self._limiting:
            self._timers.call_at(
                self._now + LIMIT_EVERY * (0.75 + 0.5 * self._rng.random()), self._watch_limit
            )

    def _shed(self) -> None:
        """Close what is worth least for its load, down to the limit."""
        standing = [
            flow for flow in self._tracked_requests.values() if flow.standing and flow.backend is not None
        ]
        standing.sort(key=lambda flow: (self._density(flow.cls), -flow.load))
        for flow in standing:
            if self._load <= self._limit:
                break
            self._close(flow)

    def _close(self, flow: TrackedRequest) -> None:
        self._release(flow)
        del self._tracked_requests[flow.id]
        self._do(it.Move(flow.id))

    def _density(self, cls: it.RequestClass) -> float:
        """Worth for each unit of load."""
        return cls.value if self._settings.worth_by_work else cls.value / self._class_load.get(cls.name, 1.0)

    def _last_resort(self, flow: TrackedRequest) -> Backend | None:
        """Total failure: one trial after each backoff interval, the server of the earliest due first."""
        if any(not b.unreachable for b in self._fleet.order):
            return None
        if not self._failed:
            self._failed = True
            self._failed_tries = 0
        # Guards against step-lock after a shared outage: every interval is drawn anew.
        self._next_trial = self._now + self._backoff(self._failed_tries)
        self._failed_tries += 1
        reachable = [
            b
            for b in self._fleet.order
            if not b.trial and b not in flow.tried and flow.may_go_to(b, self._now) and self._fits_cold(b)
        ]
        if not reachable:
            return None
        backend = min(reachable, key=attrgetter("retry_at"))
        backend.trial = flow.id
        return backend

    def _absolve(self, flow: TrackedRequest) -> None:
        """Take back the blame for a request that every server it went to answered with an error.

        Guards against a request that no server can use: it would leave most of a small fleet unreachable.
        """
        if len(flow.blamed) < 2 or len(flow.blamed) < flow.sent:
            return
        for backend in flow.blamed:
            if backend.unreachable and backend.failures == 1 and not backend.trial:
                backend.unreachable = False
                backend.failures = 0
        self._set_until = -1.0

    def _finish(self, flow: TrackedRequest, reason: it.FailureReason) -> None:
        self._absolve(flow)
        self._release(flow)
        del self._tracked_requests[flow.id]
        if flow.may_be_refused():
            most = self._settings.max_retry_after
            self._do(it.Refuse(flow.id, most * (0.5 + 0.5 * self._rng.random()), reason))
        else:
            self._do(it.Fail(flow.id, it.FailureReason.RAN))

    def _occupy(self, flow: TrackedRequest, backend: Backend) -> None:
        flow.backend = backend
        flow.proving = backend.unverified
        self._verifying += flow.proving
        backend.requests[flow.id] = flow
        backend.load += flow.load
        self._load += flow.load
        backend.used_since += flow.load
        if flow.group is not None:
            self._groups[flow.group] = self._groups.get(flow.group, 0) + 1
            backend.groups[flow.group] = backend.groups.get(flow.group, 0) + 1

    def _release(self, flow: TrackedRequest) -> None:
        backend = flow.backend
        if backend is None:
            return
        flow.backend = None
        self._end_proving(flow)
        if self._settings.pass_through and flow.standing and flow.key is not None:
            self._holders[flow.key] = (backend.id, self._now)
            if len(self._holders) > HELD_KEYS:
                del self._holders[next(iter(self._holders))]
        self._load -= flow.load
        del backend.requests[flow.id]
        if flow.group is not None:
            for groups in (self._groups, backend.groups):
                groups[flow.group] -= 1
                if not groups[flow.group]:
                    del groups[flow.group]
        backend.load = backend.load - flow.load if backend.requests else 0.0
