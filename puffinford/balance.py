"""Placement decisions of one balancer: picks servers, moves and refuses connections, and paces trials.

Each balancer keeps its own rotation of the server list. A short prefix of the reachable entries is its
working set. A new connection compares the first entry of the prefix with one random other entry, and goes to
the one with fewer own open connections (power of two choices); ties go to the first. A server that failed an
attempt counts as unreachable until a trial connection to it is established. Settings, events and actions are
defined in `puffinford/interface.py`, the design in docs/design.md.
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
from puffinford.timers import TOLERANCE_MS, Timers

# Loads are in mean connections of this balancer.

# Working set
MIN_WORKING_SET = 3  # entries
BALANCERS_PER_SERVER = 4  # minimum number of working sets that contain each server: none depends on few
WORKING_SET_GROWTH_RATIO = 1.05  # growth of the own connections before a large working set is rebuilt
OWN_CAPACITY_FRACTION = 0.08  # of a server's warm capacity, used by one balancer for each working-set entry
MAX_FULL_SCAN = 32  # candidates up to which all are checked before one is drawn
MAX_RANDOM_DRAWS = 16  # draws among more candidates before all are checked

# Groups
GROUP_MAX_LOAD_RATIO = 2.5  # own load over the mean above which a group skips a server
MIN_GROUP_LOAD_LIMIT = 4.0  # own load that never makes a group skip a server
# Clients whose groups are compared to detect shared groups. Of a thousand in groups of ten, two share one in
# 19 of 20 cases.
RECENT_CLIENTS = 24
GROUP_SHARE_PRIOR = 20  # connections added to the own ones when a group's share is computed
GROUP_COST = 3.0  # load that each group with connections at a server adds

# Late servers
CAPACITY_ESTIMATE_RATIO = 0.8  # of the own load at a late report
CAPACITY_ESTIMATE_GROWTH_PER_S = 1.02  # load and capacity change
SLOW_DELAY_FACTOR = 3.0  # a server is slow if its message delay times this exceeds the shortest aim
COLD_SLOW_DELAY_FACTOR = 1.5  # the same for a cold server
# How long a server counts as slow without another update. Delay notes come each second while messages are
# late: with three missed, it is over.
SLOW_DURATION_MS = 3_000.0
# Of the connections at a late server, moved at each report and divided by the number of late servers.
MOVE_FRACTION = 0.7
# The same where connections per server are sparse: all balancers that hold any are told together, and again a
# second later.
SPARSE_MOVE_FRACTION = 0.35
MOVE_COOLDOWN_MS = 2_000.0  # time that a client which came back is not moved again: its move must pay first

# Unreachable servers
INITIAL_RETRY_DELAY_MS = 500.0  # about as long as a client waits, and short against a restart
MAX_RETRY_DELAY_MS = 8_000.0  # a restart takes seconds
# Failures in a row from which the retry delay is MAX_RETRY_DELAY_MS.
MAX_DELAY_FAILURES = int(MAX_RETRY_DELAY_MS / INITIAL_RETRY_DELAY_MS).bit_length()
RESTART_DOWNTIME_MS = 1_500.0  # a server without connections for this long may have restarted

# Load reports and probes
UTILIZATION_FIELDS = ("x0", "utilization")  # load over capacity; x0 may exceed 1, and is preferred
FULL_UTILIZATION = 0.95  # a server is skipped from this utilization on
AVAILABLE_UTILIZATION = 0.85  # and used again below this one
MIN_LEARNING_UTILIZATION = 0.1  # reports below this are too coarse to learn the warm capacity from
MIN_LEARNING_CONNECTIONS = 20  # own connections, below which it is not learned
WARM_CAPACITY_LEARNING_RATE = 0.05  # of the difference, at each report
REPORT_TTL_MS = 10_000.0  # for placements
FRESH_REPORT_TTL_MS = 4_000.0  # for moves and the load limit
PROBE_INTERVAL_MS = 500.0  # servers refresh their reports at about this pace
PROBE_COST_PER_REQUEST = 0.005  # points of the result that a request may spend on probes

# Load limit
# Of the judged servers. Above it the whole fleet counts as overloaded, and not one server as sick.
MAX_DEGRADED_FRACTION = 0.25
MIN_JUDGED_SERVERS = 8  # servers with own connections
LIMIT_INTERVAL_MS = 1_000.0  # notes of late messages come each second
LIMIT_CUT_FRACTION = 0.4  # of the own load at each check, if all judged servers are degraded
LIMIT_GROWTH_RATIO = 1.03  # at each check after that; slow, for all balancers grow together
LIMIT_FAST_GROWTH_RATIO = 1.25  # the same while the fleet's utilization is low
LOW_FLEET_UTILIZATION = 0.6
PRIORITY_LIMIT_RATIO = 1.1  # of the limit, for the class with the highest value per load

MAX_KEYS = 10_000  # closed pass-through connections whose server is remembered
EVACUATION_DURATION_MS = 2_000.0  # over which the clients of a removed server are moved
EVACUATION_STEP_MS = 100.0
COLD_MAX_LOAD_RATIO = 1.5  # own load of a cold server over its share, above which its turn is skipped
VERIFY_WAIT_TIMEOUTS = 2.0  # attempt timeouts that a request waits for verifying attempts of others

_NEVER_RAN = frozenset((it.Result.FULL, it.Result.CONNECT_FAILED, it.Result.NOT_SENT))
_NO_FAULT = frozenset((it.Result.OK, it.Result.CANCELLED, it.Result.NOT_SENT))


class Balancer:
    """One balancer: `handle` takes the events of a moment and returns the actions."""

    def __init__(self, settings: it.Settings, seed: int) -> None:
        self._rng = random.Random(seed)
        self._timers = Timers()
        self._actions: list[it.Action] = []
        self._fleet = Fleet(settings, seed, self._rng, self._timers, self._emit)
        self.listed_servers: ListedServers = self._fleet  # for queries
        self._slow_start = SlowStart(settings, self._fleet)
        self._tracked_requests: dict[str, TrackedRequest] = {}
        self._last_servers: dict[int, tuple[str, float]] = {}  # by key: last server and when it was left, ms
        self._groups: dict[int, int] = {}  # own connections of each group
        self._recent_groups: deque[int] = deque(maxlen=RECENT_CLIENTS)
        self._groups_unshared = False  # all recent groups differ
        self._now = 0.0
        self._cached_set: list[Backend] = []
        self._cached_set_expires_at = -1.0
        self._cached_set_max_connections = 0.0
        self._load_limit = float("inf")  # own load above which new connections are refused
        self._limit_check_scheduled = False
        self._load = 0.0  # of own connections and attempts
        self._class_load: dict[str, float] = {}  # mean load of a connection, where loads are reported
        self._trial_queue: list[tuple[float, str]] = []  # heap of (time, id) of unreachable servers
        self._mean_load = 0.0  # reported load of a connection, in the reports' unit
        self._load_samples = 0
        self._all_unreachable = False
        self._last_resort_attempts = 0
        self._next_last_resort_at = 0.0
        self._list_restored = False  # the list is from before the start, and not yet confirmed
        self._verify_timeout = 0.0  # of an attempt to an unverified entry, ms
        self._max_verifying = 0  # concurrent attempts to unverified entries; 0: any number
        self._verifying = 0
        self._waiting: dict[str, TrackedRequest] = {}  # requests that wait for verifying attempts
        self._reservations: dict[int, TrackedRequest] = {}  # slots for moved clients, by key
        self._preferred: frozenset[str] = frozenset()  # first choice for clients that came back
        self._probe_credit = 0.0
        self._probe_round_scheduled = False
        self._apply_settings(settings)
        self._handlers: dict[type, Callable[..., None]] = {
            it.Request: self._on_request,
            it.Established: self._on_established,
            it.Outcome: self._on_outcome,
            it.LoadUpdate: self._on_load_update,
            it.DelayUpdate: self._on_delay_update,
            it.ClientLeft: self._on_client_left,
            it.Timer: lambda event: self._timers.on_wakeup(event.token),
            it.ServerList: self._on_list,
            it.Cordoned: self._on_cordoned,
            it.UnverifiedServers: self._on_unverified,
            it.LearnedHealth: self._on_learned_health,
            it.Relocate: self._on_relocate,
            it.PreferServers: lambda event: setattr(self, "_preferred", event.servers),
            it.Inherited: self._on_inherited,
            it.ProbeResult: self._on_probe_result,
            it.PeerMessage: lambda event: None,  # balancers do not communicate
        }

    def _apply_settings(self, settings: it.Settings) -> None:
        self._settings = settings
        self._classes = {cls.name: cls for cls in settings.classes}
        self._shortest_aim = min((c.message_aim for c in settings.classes if c.message_aim > 0), default=0.0)
        # Probes are sent only where they report utilization.
        fields = settings.report_fields
        self._utilization_field = next(
            (fields.index(name) for name in UTILIZATION_FIELDS if name in fields), -1
        )
        self._probes_per_request = 0.0
        if settings.may_probe and settings.report_on_probe and self._utilization_field >= 0:
            self._probes_per_request = PROBE_COST_PER_REQUEST / max(
                settings.probe_price, PROBE_COST_PER_REQUEST / 10
            )
            if not self._probe_round_scheduled:
                self._probe_round_scheduled = True
                self._timers.call_at(0.0, self._probe_round)

    def configure(self, settings: it.Settings) -> None:
        """Apply new settings; connections and the state of the servers are kept."""
        self._apply_settings(settings)
        self._fleet.configure(settings)
        self._slow_start.configure(settings)
        self._cached_set_expires_at = -1.0
        for request in self._tracked_requests.values():
            if request.cls.name in self._classes:
                request.rebind_class(self._classes[request.cls.name])

    def may_refuse(self, ident: str, in_flight: bool) -> bool:
        """Whether a request given up now may be refused; `in_flight`: its current attempt was fully sent."""
        request = self._tracked_requests.get(ident)
        return request is None or request.may_be_refused(in_flight)

    def handle(self, now: float, events: list[it.Event]) -> list[it.Action]:
        """Process the events of one moment (`now` in ms) and return the actions in order."""
        self._now = now
        self._slow_start.observe_time(now)
        self._actions = []
        for event in events:
            self._handlers[type(event)](event)
        self._timers.run_due(now)
        wakeup = self._timers.next_wakeup(now)
        if wakeup is not None:
            self._actions.append(wakeup)
        return self._actions

    def _emit(self, action: it.Action) -> None:
        self._actions.append(action)

    def survey(self, now: float) -> list[it.ServerSnapshot]:
        """Load and capacity of every listed server, without side effects."""
        self._now = now
        snapshots = []
        for backend in self._fleet.backends.values():
            usable = (
                backend.accepts_new
                and self._usable(backend)
                and not backend.unverified
                and self._has_capacity(backend)
            )
            degraded = backend.unreachable or backend.overloaded_until > now
            capacity = self._effective_size(backend) if backend.accepts_new else 0.0
            snapshots.append(
                it.ServerSnapshot(
                    backend.id,
                    self._load_with_groups(backend),
                    capacity,
                    usable,
                    degraded,
                    len(backend.requests),
                )
            )
        return snapshots

    def best_server(self, ident: str, now: float) -> str | None:
        """The server that an established connection would get if it were new, without side effects."""
        request = self._tracked_requests.get(ident)
        if (
            request is None
            or not request.established
            or request.backend is None
            or self._load_limit < float("inf")
        ):
            return None
        self._now = now
        current, rng = request.backend, self._rng
        current.load -= request.load
        self._rng = self._fleet.query_rng
        try:
            chosen = None
            if self._settings.grouped and request.group is not None:
                chosen = self._compare(request, self._group_set(request.group))
            chosen = chosen or self._compare(request, self._working_set())
        finally:
            current.load += request.load
            self._rng = rng
        return chosen.id if chosen is not None else None

    # Events

    def _on_list(self, event: it.ServerList) -> None:
        if event.kind is it.ListKind.RESTORED:
            self._list_restored = True
        elif event.kind is not it.ListKind.UNAVAILABLE and self._list_restored:
            self._list_restored = False
            self._timers.call_at(self._now, self._confirm_list)
        if self._fleet.apply(event, self._now):
            self._cached_set_expires_at = -1.0
            # Prevents the backoff of a total failure from delaying the use of newly listed servers.
            self._all_unreachable = self._all_unreachable and all(b.unreachable for b in self._fleet.order)
            for backend in self._fleet.backends.values():
                if backend.unreachable and backend.accepts_new and not backend.trial:
                    self._schedule_trial(backend)

    def _confirm_list(self) -> None:
        """End the verification of restored entries: discovery has answered for the first time."""
        for backend in self._fleet.backends.values():
            backend.unverified = False
            if backend.listed is it.ServerState.GONE:
                self._evacuate(backend, self._now + EVACUATION_DURATION_MS)
        self._resume_waiting()

    def _on_unverified(self, event: it.UnverifiedServers) -> None:
        self._max_verifying = event.max_concurrent
        self._verify_timeout = event.attempt_timeout
        for backend in self._fleet.backends.values():
            backend.unverified = self._list_restored and backend.id in event.servers

    def _on_learned_health(self, event: it.LearnedHealth) -> None:
        now = self._now
        for health in event.entries:
            backend = self._fleet.backends.get(health.server)
            if backend is None or backend.started > health.observed_at:
                continue
            if (
                health.failures
                and not backend.unreachable
                and not any(request.established for request in backend.requests.values())
            ):
                backend.unreachable = True
                backend.failures = health.failures
                backend.unreachable_since = health.unreachable_since
                backend.retry_at = max(now, health.retry_at)
                heapq.heappush(self._trial_queue, (backend.retry_at, backend.id))
            if health.late_report_at > backend.late_report_at:
                backend.late_report_at = health.late_report_at
                backend.delay = health.delay
                backend.slow_until = max(backend.slow_until, health.slow_until)
            if (
                health.capacity_estimate is not None
                and health.capacity_estimated_at > backend.capacity_estimated_at
            ):
                backend.capacity_estimate = health.capacity_estimate
                backend.capacity_estimated_at = health.capacity_estimated_at
            if health.cold_since is not None and backend.cold_since is None:
                backend.cold_since = health.cold_since
        self._cached_set_expires_at = -1.0

    def _on_relocate(self, event: it.Relocate) -> None:
        request = self._tracked_requests.get(event.id)
        backend = self._fleet.backends.get(event.server)
        if (
            request is None
            or not request.established
            or request.key is None
            or backend is None
            or request.key in self._reservations
        ):
            return
        if not (
            backend.accepts_new
            and self._usable(backend)
            and self._has_capacity(backend)
            and self._has_turn(backend)
        ):
            return
        if backend.cold_since is not None:
            backend.turn_credit -= 1.0
        self._move(request)
        # A reservation is tracked as a request of its own, so that all counters include it.
        reservation = self._reservations[request.key] = TrackedRequest(
            it.Request(f"~{request.id}", request.cls.name, 0.0), request.cls, 0.0, request.load
        )
        reservation.group = request.group
        self._assign(reservation, backend)
        self._timers.call_at(
            self._now + event.reservation_time, lambda: self._release_reservation(request.key, reservation)
        )

    def _preferred_server(self, request: TrackedRequest) -> Backend | None:
        """The least loaded of the preferred servers that can take a client which came back."""
        candidates = [
            backend
            for ident in self._preferred
            if (backend := self._fleet.backends.get(ident)) is not None
            and backend.accepts_new
            and self._usable(backend)
            and self._has_capacity(backend)
            and request.may_go_to(backend, self._now)
            and self._has_turn(backend)
        ]
        return min(
            candidates, key=lambda backend: (self._relative_load(backend), backend.id_hash), default=None
        )

    def _release_reservation(self, key: int | None, reservation: TrackedRequest) -> Backend | None:
        """Release a reservation if it still exists, and return its server."""
        if key is None or self._reservations.get(key) is not reservation:
            return None
        del self._reservations[key]
        backend = reservation.backend
        self._release(reservation)
        return backend

    def _on_cordoned(self, event: it.Cordoned) -> None:
        cordoned, restored = self._fleet.cordon(event.servers, self._now)
        for backend in cordoned:
            self._evacuate(backend, self._now + EVACUATION_DURATION_MS)
        for backend in restored:
            # Prevents overloading a server that was restarted while cordoned and that no list has reported
            # yet.
            listed = backend.started > backend.cordoned_at
            backend.start_cold(backend.started if listed else self._now)
            backend.turn_credit, backend.turn_credit_expires_at = 1.0, float("inf")
            backend.reset_load_state()
            # Prevents the server from staying unused: its cold share alone may leave it without a connection
            # for a minute, and the working set may not include it.
            backend.unreachable = True
            backend.trial = ""
            backend.retry_at = self._now
            heapq.heappush(self._trial_queue, (self._now, backend.id))
            self._all_unreachable = False  # lets requests reach it during the backoff of a total failure
        if cordoned or restored:
            self._cached_set_expires_at = -1.0

    def _evacuate(self, backend: Backend, until: float) -> None:
        """Move the clients of a removed server evenly until `until` (ms), so that they return one by one."""
        if not backend.cordoned and backend.listed is not it.ServerState.GONE:
            return
        established = [request for request in backend.requests.values() if request.established]
        steps = max(1, int((until - self._now) / EVACUATION_STEP_MS))
        for request in established[: -(-len(established) // steps)]:
            self._move(request)
        if backend.requests:
            self._timers.call_at(self._now + EVACUATION_STEP_MS, lambda: self._evacuate(backend, until))

    def _on_request(self, event: it.Request) -> None:
        now = self._now
        cls = self._classes[event.cls]
        request = TrackedRequest(event, cls, now + event.time_left, self._expected_load(event.load))
        if event.load:
            self._update_class_load(cls, request.load)
        self._tracked_requests[request.id] = request
        if self._fleet.sparse and request.group is not None and not request.came_back:
            self._recent_groups.append(request.group)
            self._groups_unshared = len(set(self._recent_groups)) == RECENT_CLIENTS
        self._probe_credit += self._probes_per_request
        if event.key in self._reservations:
            backend = self._release_reservation(event.key, self._reservations[event.key])
            if backend is not None and backend.accepts_new and self._usable(backend):
                request.reserved = backend
                if backend.cold_since is not None:
                    backend.turn_credit += 1.0  # was spent by the reservation
        self._send_next(request)

    def _on_inherited(self, event: it.Inherited) -> None:
        request = event.request
        backend = self._fleet.backends.get(event.server)
        inherited = TrackedRequest(
            request, self._classes[request.cls], self._now, self._expected_load(request.load)
        )
        inherited.attempts = 1
        inherited.established = True
        self._tracked_requests[inherited.id] = inherited
        if backend is not None:
            self._assign(inherited, backend)

    def _on_established(self, event: it.Established) -> None:
        request = self._tracked_requests.get(event.id)
        if request is None or request.backend is None or event.attempt != request.attempts - 1:
            return
        request.established = True
        request.tried = []
        backend = request.backend
        self._all_unreachable = False
        self._end_verifying(request)
        backend.unverified = False
        if backend.unreachable:
            backend.unreachable = False
            # Prevents fast retries of a server that accepts connections and drops them at once: its failures
            # are reset only after the connection has lasted as long as the previous retry delay. Without this
            # each of 200 balancers tried such a server every second: 8 servers reset 8,317 connections on a
            # calm day.
            backend.recovered_at = self._now + min(
                MAX_RETRY_DELAY_MS, INITIAL_RETRY_DELAY_MS * 2.0 ** (backend.failures - 1)
            )
            # Prevents overloading a server that restarted before the list reported it. One that only dropped
            # a connection or returned an error, and soon accepted the next one, was not restarted.
            restarted = (
                backend.unreachable_since is not None
                and self._now >= backend.unreachable_since + RESTART_DOWNTIME_MS
            )
            if restarted and backend.cold_since is None and self._settings.warm_time > 0:
                backend.start_cold(self._now)
            self._cached_set_expires_at = -1.0
        backend.trial = ""
        backend.unreachable_since = None
        self._resume_waiting()

    def _on_outcome(self, event: it.Outcome) -> None:
        request = self._tracked_requests.get(event.id)
        if request is None or event.attempt != request.attempts - 1:
            return
        backend = request.backend
        self._release(request)
        result = event.result
        if backend is not None:
            self._apply_report(backend, event.report)
            if result not in _NO_FAULT:
                self._record_failure(backend, request, dropped=request.established and self._fleet.sparse)
                request.verify_failed |= backend.unverified
                if result is it.Result.CONNECT_FAILED:
                    backend.unreachable_since = (
                        self._now if backend.unreachable_since is None else backend.unreachable_since
                    )
                    if backend.cold_since is not None:
                        # The server received no work.
                        backend.turn_credit = min(1.0, backend.turn_credit + 1.0)
                if result is it.Result.ERROR:
                    request.blamed.append(backend)
            elif backend.trial == request.id:
                backend.trial = ""
                self._schedule_trial(backend)
        if event.closed:
            del self._tracked_requests[request.id]
            return
        request.established = False
        if result not in _NEVER_RAN and request.possibly_ran_on is None:
            request.possibly_ran_on = backend
            request.possibly_ran_at = request.last_attempt_at
        self._send_next(request)
        self._resume_waiting()

    def _on_load_update(self, event: it.LoadUpdate) -> None:
        request = self._tracked_requests.get(event.id)
        if request is None or request.backend is None or event.load < 0:
            return
        load = self._normalize_load(event.load)
        self._update_class_load(request.cls, load)
        request.backend.load += load - request.load
        self._load += load - request.load
        request.load = load

    def _on_delay_update(self, event: it.DelayUpdate) -> None:
        backend = self._fleet.backends.get(event.server)
        if backend is None:
            return
        improving = event.delay < 0.9 * backend.delay
        backend.delay = event.delay
        # Cold servers answer slowly even without load; skipping them for that would keep them cold.
        slow = (
            event.delay * (COLD_SLOW_DELAY_FACTOR if backend.cold_since is not None else SLOW_DELAY_FACTOR)
            > self._shortest_aim
        )
        backend.slow_until = self._now + SLOW_DURATION_MS if slow else 0.0
        self._cached_set_expires_at = -1.0
        if event.delay <= self._shortest_aim or not self._shortest_aim:
            backend.late_reports = 0
            backend.overloaded_until = 0.0
            return
        if self._fleet.sparse:
            # Prevents many balancers from each adding a connection to a late server: an estimate below one
            # connection is a probability. It is drawn once per report, because with a draw for each request
            # one of the next few would succeed.
            backend.capacity_estimate = CAPACITY_ESTIMATE_RATIO * min(
                self._capacity_estimate(backend), max(1.0, backend.load)
            )
            backend.capacity_draw = self._rng.random()
        else:
            backend.capacity_estimate = min(
                self._capacity_estimate(backend), max(1.0, CAPACITY_ESTIMATE_RATIO * backend.load)
            )
        backend.capacity_estimated_at = self._now
        # A single late report may be a pause; two in a row, a second apart, are overload.
        backend.late_reports = (
            backend.late_reports + 1 if backend.late_report_at > self._now - SLOW_DURATION_MS else 1
        )
        backend.late_report_at = self._now
        # Under a load limit the balancer sheds load at all servers, and moves would only shift the excess. If
        # this is the only degraded server, its connections are moved all the same: its clients waited a
        # second for each message, for ten seconds.
        if self._load_limit == float("inf") or not self._others_degraded(backend):
            if self._probes_per_request and not backend.relief_pending:
                backend.relief_pending = True
                self._emit(it.Probe(backend.id))
            else:
                self._relieve(backend)
        if backend.late_reports >= 2 and not improving:
            backend.overloaded_until = self._now + SLOW_DURATION_MS
            if not self._limit_check_scheduled and not self._fleet.sparse:
                self._limit_check_scheduled = True
                self._timers.call_at(self._now, self._adjust_limit)

    def _relieve(self, backend: Backend) -> None:
        """Move the most affected connections off a server whose messages are late.

        New connections alone cannot relieve a server that lost capacity or has heavy connections, because
        these are long-lived. Most connections are moved at once; fewer if several servers are late, since the
        others then have less capacity.
        """
        entries = self._working_set()
        if not entries or (len(entries) == 1 and entries[0] is backend):
            return
        cooldown_start = self._now - MOVE_COOLDOWN_MS
        movable = [
            request
            for request in backend.requests.values()
            if request.established
            and backend.delay > request.cls.message_aim
            and not (request.came_back and request.last_attempt_at > cooldown_start)
        ]
        movable.sort(key=lambda request: (request.cls.message_aim, -request.load))
        excess_fraction = self._excess_fraction(backend)
        if excess_fraction is not None:
            excess = excess_fraction * backend.load
            for request in movable:
                if excess <= 0:
                    break
                excess -= request.load
                self._move(request)
            return
        if self._load_limit < float("inf"):
            return
        late_servers = sum(b.late_report_at > self._now - SLOW_DURATION_MS for b in self._fleet.order)
        count = max(1.0, MOVE_FRACTION * len(backend.requests) / max(1, late_servers))
        if self._fleet.sparse:
            # Prevents each of many balancers from moving its only connection, which would empty the server.
            count = SPARSE_MOVE_FRACTION * len(backend.requests) / max(1, late_servers) + self._rng.random()
        for request in movable[: int(count)]:
            self._move(request)

    def _excess_fraction(self, backend: Backend) -> float | None:
        """The fraction of its load that a late server should lose, by fresh load reports; None without one.

        That is the load above its capacity, limited by the free capacity of the others. Prevents moving most
        clients of a small fleet back and forth between two servers.
        """
        fresh_after = self._now - FRESH_REPORT_TTL_MS
        if backend.reported_at < fresh_after or not backend.utilization:
            return None
        others = [
            b
            for b in self._fleet.order
            if b is not backend and b.reported_at >= fresh_after and self._usable(b)
        ]
        free = sum(max(0.0, AVAILABLE_UTILIZATION - b.utilization) * self._effective_size(b) for b in others)
        excess = (backend.utilization - AVAILABLE_UTILIZATION) * self._effective_size(backend)
        return max(0.0, min(excess, free)) / (backend.utilization * self._effective_size(backend))

    def _on_client_left(self, event: it.ClientLeft) -> None:
        request = self._tracked_requests.pop(event.id, None)
        if request is None:
            return
        self._waiting.pop(request.id, None)
        backend = request.backend
        self._release(request)
        if backend is None:
            return
        self._resume_waiting()
        if backend.trial == request.id:
            backend.trial = ""
            self._schedule_trial(backend)
        if self._settings.may_cancel and not request.established:
            self._emit(it.Cancel(request.id, request.attempts - 1))

    def _on_probe_result(self, event: it.ProbeResult) -> None:
        backend = self._fleet.backends.get(event.server)
        if backend is None:
            return
        if event.result is it.Result.OK:
            self._apply_report(backend, event.report)
        if backend.relief_pending:
            backend.relief_pending = False
            self._relieve(backend)

    def _apply_report(self, backend: Backend, report: list[float] | None) -> None:
        """Store the reported utilization, and update whether the server is skipped as full."""
        if report is None or self._utilization_field < 0 or self._utilization_field >= len(report):
            return
        utilization = backend.utilization = report[self._utilization_field]
        backend.load_since_report = 0.0
        backend.reported_at = self._now
        self._learn_warm_capacity()
        if utilization >= FULL_UTILIZATION and backend.slow_until <= self._now:
            backend.slow_until = self._now + SLOW_DURATION_MS
            self._cached_set_expires_at = -1.0
        elif (
            utilization < AVAILABLE_UTILIZATION and backend.overloaded_until <= self._now < backend.slow_until
        ):
            backend.slow_until = 0.0
            self._cached_set_expires_at = -1.0

    def _probe_round(self) -> None:
        """Probe the least recently probed entries of the working set, as far as the probe credit allows."""
        if not self._probes_per_request:
            self._probe_round_scheduled = False
            return
        self._timers.call_at(self._now + PROBE_INTERVAL_MS * (0.5 + self._rng.random()), self._probe_round)
        entries = sorted(self._working_set(), key=attrgetter("probed_at"))
        self._probe_credit = min(self._probe_credit, float(len(entries)))
        for backend in entries[: int(self._probe_credit)]:
            if backend.probed_at > self._now - PROBE_INTERVAL_MS:
                break
            self._probe_credit -= 1.0
            backend.probed_at = self._now
            self._emit(it.Probe(backend.id))

    # Load of connections

    def _normalize_load(self, load: float) -> float:
        """Add a reported load to the running mean, and return it as a multiple of the mean."""
        # The larger weight of early samples keeps the first one from dominating the mean for a hundred more.
        self._load_samples += 1
        self._mean_load += max(0.01, 1.0 / self._load_samples) * (load - self._mean_load)
        return load / self._mean_load if self._mean_load > 0 else 1.0

    def _update_class_load(self, cls: it.RequestClass, load: float) -> None:
        mean = self._class_load.get(cls.name, load)
        self._class_load[cls.name] = max(0.01, mean + 0.02 * (load - mean))

    def _expected_load(self, hint: float | None) -> float:
        return 1.0 if hint is None or hint <= 0 else self._normalize_load(hint * 1_000.0)

    # Server health

    def _record_failure(self, backend: Backend, request: TrackedRequest, *, dropped: bool) -> None:
        """Mark a server as unreachable after a failed attempt or connection, and schedule a trial."""
        if backend.unreachable and backend.trial != request.id:
            # Connections that a server drops together count as one failure: thirty would bring the retry
            # delay of thirty failed trials. Those opened before a trial do not end it: a second one came
            # beside it.
            return
        if not backend.unreachable and self._now >= backend.recovered_at:
            backend.failures = 0  # the last recovery lasted long enough
        backend.trial = ""
        backend.failures += 1
        if dropped:  # the trials of many balancers add up at the server: use the longest delay
            backend.failures = max(backend.failures, MAX_DELAY_FAILURES)
        backend.unreachable = True
        self._cached_set_expires_at = -1.0
        self._schedule_trial(backend)

    def _backoff(self, tries: int) -> float:
        """Exponential backoff with jitter, in ms."""
        delay = min(MAX_RETRY_DELAY_MS, INITIAL_RETRY_DELAY_MS * 2.0 ** min(tries, 10))
        return delay * (0.5 + 0.5 * self._rng.random())

    def _schedule_trial(self, backend: Backend) -> None:
        backend.retry_at = self._now + self._backoff(backend.failures - 1)
        heapq.heappush(self._trial_queue, (backend.retry_at, backend.id))

    def _take_due_trial(self, request: TrackedRequest) -> Backend | None:
        """An unreachable server whose trial is due, if this request may be used for it."""
        while self._trial_queue and self._trial_queue[0][0] <= self._now:
            if (
                request.attempts
                or request.cls.effect is not it.Effect.SAFE
                or self._settings.max_attempts < 2
            ):
                return None
            retry_at, ident = heapq.heappop(self._trial_queue)
            backend = self._fleet.backends.get(ident)
            if backend is None or not backend.unreachable or backend.trial or backend.retry_at != retry_at:
                continue
            if not backend.accepts_new:
                continue
            # A trial at a slow server would delay a client without showing anything new.
            slow = backend.slow_until > self._now
            if slow or not (self._may_verify(request, backend) and self._has_turn(backend)):
                # Keeps a cold server in the queue that has no turn for the trial yet.
                self._schedule_trial(backend)
                continue
            backend.trial = request.id
            return backend
        return None

    def _warmth(self, backend: Backend) -> float:
        """The usable fraction of a server's capacity now; 1 when warm."""
        return self._slow_start.warmth(backend, self._now)

    def _effective_size(self, backend: Backend) -> float:
        """A server's configured size, 1 where sizes are not listed, times its warmth."""
        size = backend.size if self._settings.sized and backend.size > 0 else 1.0
        return size * self._warmth(backend)

    def _has_turn(self, backend: Backend) -> bool:
        """Whether slow start allows this balancer to send one more connection to a server now."""
        return self._slow_start.has_turn(backend, self._now)

    def _learn_warm_capacity(self) -> None:
        """Without quotas, learn from load reports how many connections a warm server of mean size can carry.

        The estimate is the connections of all balancers, extrapolated from the own ones, over the utilization
        of the warm servers. Few own connections give no estimate, since refused clients are not counted.
        """
        if self._fleet.total_quota or len(self._tracked_requests) < MIN_LEARNING_CONNECTIONS:
            return
        warm = [b for b in self._fleet.order if b.cold_since is None]
        sizes = {b: self._effective_size(b) for b in warm if b.reported_at > self._now - REPORT_TTL_MS}
        utilization = sum(b.utilization * size for b, size in sizes.items()) / (sum(sizes.values()) or 1.0)
        if utilization < MIN_LEARNING_UTILIZATION:
            return
        warm_capacity = self._load * self._settings.balancers / len(warm) / utilization
        self._fleet.warm_capacity += WARM_CAPACITY_LEARNING_RATE * (warm_capacity - self._fleet.warm_capacity)

    def _load_with_groups(self, backend: Backend) -> float:
        """The own load of a server, with the cost of the groups that it holds."""
        return backend.load + GROUP_COST * len(backend.groups) if self._settings.grouped else backend.load

    # Server choice

    def _usable(self, backend: Backend) -> bool:
        """Whether a server is reachable and not slow."""
        return not backend.unreachable and backend.slow_until <= self._now

    def _capacity_estimate(self, backend: Backend) -> float:
        """The own load that a server can carry, by its late reports; infinite without a recent one."""
        if self._now >= backend.capacity_estimated_at + CAPACITY_ESTIMATE_TTL_MS:
            return float("inf")
        growth: float = CAPACITY_ESTIMATE_GROWTH_PER_S ** (
            (self._now - backend.capacity_estimated_at) / 1_000.0
        )
        return backend.capacity_estimate * growth

    def _has_capacity(self, backend: Backend) -> bool:
        """Whether a server can carry one more connection; a fractional estimate is rounded by its draw."""
        return backend.load + backend.capacity_draw <= self._capacity_estimate(backend)

    def _working_set(self) -> list[Backend]:
        """The short prefix of usable entries; cold ones do not count towards its length."""
        now = self._now
        if (
            now < self._cached_set_expires_at
            and len(self._tracked_requests) <= self._cached_set_max_connections
        ):
            return self._cached_set
        order = self._fleet.order
        # Prevents overload of a short prefix at a balancer that receives most of the clients: with a fifth of
        # all clients at one of 150, three of 30 servers held 2.7 times the mean while others stood at half of
        # it.
        per_entry = max(1.0, OWN_CAPACITY_FRACTION * self._fleet.warm_capacity)
        for_own_load = int(len(self._tracked_requests) / per_entry)
        size = max(
            MIN_WORKING_SET, -(-BALANCERS_PER_SERVER * len(order) // self._settings.balancers), for_own_load
        )
        self._cached_set_max_connections = (for_own_load + 1) * per_entry
        if for_own_load > MAX_FULL_SCAN:
            self._cached_set_max_connections = max(
                self._cached_set_max_connections, WORKING_SET_GROWTH_RATIO * len(self._tracked_requests)
            )
        chosen = []
        warm = 0
        expires_at = now + SLOW_DURATION_MS
        for backend in order:
            if not self._usable(backend):
                if not backend.unreachable:
                    expires_at = min(expires_at, backend.slow_until)
                continue
            chosen.append(backend)
            if self._warmth(backend) >= 1.0:
                warm += 1
                if warm >= size:
                    break
        self._cached_set = chosen
        self._cached_set_expires_at = expires_at
        return chosen

    def _group_set(self, group: int) -> list[Backend]:
        """A group's prefix of the common order: the same entries at every balancer.

        Its share of the fleet's capacity follows the group's share of the own connections, so that a large
        group does not fill one server. Each balancer starts at its own offset.
        """
        count = len(self._fleet.common_order)
        if not count:
            return []
        connections = self._groups.get(group, 0) + 1
        share = connections / (len(self._tracked_requests) + GROUP_SHARE_PRIOR)
        wanted: float = max(1, round(share * count))  # in servers of mean size, as `seen` and `chosen_size`
        seen = chosen_size = 0.0
        chosen: list[Backend] = []
        max_load = max(MIN_GROUP_LOAD_LIMIT, GROUP_MAX_LOAD_RATIO * self._load / count)
        for backend in self._fleet.group_order(group):
            relative_size = self._fleet.relative_size(backend)
            has_turn = backend.cold_since is None or self._has_turn(backend)
            # The limit follows the server's size, so that a small one does not get the load of a mean one: a
            # group of 22 went to one of half that size.
            if (
                has_turn
                and self._usable(backend)
                and backend.load <= max_load * relative_size
                and self._has_capacity(backend)
            ):
                chosen.append(backend)
                chosen_size += relative_size
                if chosen_size >= wanted - 0.5:
                    break
            elif seen + 0.5 < wanted and not self._fleet.sparse:
                # Prevents one server from getting all clients of a skipped one. Where connections are sparse,
                # it would spread every group over every server.
                wanted += relative_size
            seen += relative_size
        first = self._settings.me * len(chosen) // self._settings.balancers
        return chosen[first:] + chosen[:first]

    def _relative_load(self, backend: Backend) -> float:
        """The own load of a server over its effective size."""
        return backend.load / self._effective_size(backend)

    def _choose_server(self, request: TrackedRequest) -> Backend | None:
        now = self._now
        if request.reserved is not None and not request.attempts:
            return request.reserved
        if self._preferred and request.came_back and not request.attempts:
            preferred = self._preferred_server(request)
            if preferred is not None:
                return preferred
        backend = self._take_due_trial(request)
        if backend is not None:
            return backend
        backend = self._cold_server(request)
        if backend is not None:
            return backend
        # Groups of a single client gain nothing from a common server, and would be placed at random: the
        # fullest server held 1.40 of the mean, and 1.32 where clients were dealt over the servers.
        if self._settings.grouped and request.group is not None and not self._groups_unshared:
            entries = self._group_set(request.group)
            chosen = self._compare(request, entries)
            if chosen is not None:
                return chosen
            if self._fleet.sparse:
                for backend in self._fleet.group_order(request.group):
                    if self._usable(backend) and self._compare(request, [backend]):
                        return backend
        chosen = self._compare(request, self._working_set())
        if chosen is not None:
            return chosen
        # No entry of the working set fits: try the rest of the order, slow servers last.
        slow = last_choice = None
        for backend in self._fleet.order:
            if backend in request.tried or not request.may_go_to(backend, now) or not self._has_turn(backend):
                continue
            if not self._may_verify(request, backend):
                continue
            if backend.unreachable:
                # Prevents refusals while a server that only dropped a connection may still run. A server
                # whose trials failed as well is not used. Several drops in a second left a small fleet with
                # no server at all.
                if (
                    backend.unreachable_since is None
                    and backend.failures < 3
                    and not backend.trial
                    and last_choice is None
                ):
                    last_choice = backend
            elif backend.slow_until <= now and (not self._fleet.sparse or self._has_capacity(backend)):
                return backend
            elif self._has_capacity(backend) and (slow is None or backend.delay < slow.delay):
                # Beyond its capacity estimate a slow server would serve no client in time, so others are
                # refused with a retry-after.
                slow = backend
        return slow or last_choice

    def _cold_server(self, request: TrackedRequest) -> Backend | None:
        """A cold server at which this balancer has a turn, and that holds less than its share.

        Prevents turns from expiring unused where few clients belong to a cold server by their group, which
        would overload the warm ones.
        """
        common_order = self._fleet.common_order
        if request.attempts or not common_order:
            return None
        now = self._now
        max_load = COLD_MAX_LOAD_RATIO * max(1.0, self._load / len(common_order))
        cold = [b for b in self._fleet.cold_candidates(now) if b.next_turn_at <= now or b.turn_credit >= 1.0]
        for b in cold if request.group is None else self._fleet.in_group_order(request.group, cold):
            if b.cold_since is None or not self._usable(b) or b.load > max_load * self._warmth(b):
                continue
            if self._has_capacity(b) and request.may_go_to(b, self._now) and self._has_turn(b):
                return b
        return None

    def _compare(self, request: TrackedRequest, entries: list[Backend]) -> Backend | None:
        """The less loaded of the first entry that fits and one random other; ties go to the first."""
        index = next((n for n, b in enumerate(entries) if self._can_take(request, b)), None)
        if index is None:
            return None
        first = entries[index]
        other = self._random_candidate(request, entries, index + 1)
        if other is None:
            return first
        fresh_after = self._now - REPORT_TTL_MS
        if first.reported_at > fresh_after and other.reported_at > fresh_after:
            # Reported utilization covers the connections of all balancers.
            unit = self._utilization_per_connection()
            better = (
                other.utilization + other.load_since_report * unit
                < first.utilization + first.load_since_report * unit
            )
        else:
            better = self._relative_load(other) < self._relative_load(first)
        return other if better else first

    def _can_take(self, request: TrackedRequest, backend: Backend) -> bool:
        """Whether a server can take this request now."""
        return (
            (backend.cold_since is None or self._has_turn(backend))
            and backend not in request.tried
            and self._has_capacity(backend)
            and request.may_go_to(backend, self._now)
            and (not backend.unverified or self._may_verify(request, backend))
        )

    def _random_candidate(
        self, request: TrackedRequest, entries: list[Backend], begin: int
    ) -> Backend | None:
        """An entry that can take the request, drawn uniformly from index `begin` on; None without one.

        For long lists, rejection sampling gives the same distribution without checking hundreds of entries.
        """
        count = len(entries) - begin
        if count > MAX_FULL_SCAN:
            for _ in range(MAX_RANDOM_DRAWS):
                drawn = entries[begin + int(self._rng.random() * count)]
                if self._can_take(request, drawn):
                    return drawn
        candidates = [b for b in entries[begin:] if self._can_take(request, b)]
        return candidates[int(self._rng.random() * len(candidates))] if candidates else None

    def _utilization_per_connection(self) -> float:
        """The approximate utilization that one own connection adds to a server."""
        utilization = own_load = 0.0
        for backend in self._cached_set:
            if backend.reported_at > self._now - REPORT_TTL_MS:
                utilization += backend.utilization
                own_load += backend.load
        servers = len(self._fleet.order)
        sharing_balancers = max(1.0, self._settings.balancers * len(self._cached_set) / max(1, servers))
        return utilization / (own_load + 1.0) / sharing_balancers

    # Requests

    def _send_next(self, request: TrackedRequest) -> None:
        """Make the next attempt, or give the final answer if none is possible."""
        now = self._now
        time_left = request.deadline - now
        attempts_left = self._settings.max_attempts - request.attempts
        if attempts_left <= 0 or time_left <= self._settings.tick:
            self._send_final_answer(
                request, it.FailureReason.ATTEMPTS if attempts_left <= 0 else it.FailureReason.TIME
            )
            return
        backend = self._current_holder(request)
        if backend is None:
            if self._all_unreachable and now < self._next_last_resort_at:
                self._send_final_answer(request, it.FailureReason.UNREACHABLE)
                return
            if self._exceeds_limit(request):
                # A recovered server may have free capacity although the others are at the limit. Without this
                # no request was sent to it for ten seconds.
                backend = self._take_due_trial(request)
                if backend is None:
                    self._send_final_answer(request, it.FailureReason.LIMIT)
                    return
            backend = backend or self._choose_server(request) or self._last_resort(request)
            if backend is None:
                if not self._wait_for_verification(request):
                    self._send_final_answer(
                        request,
                        it.FailureReason.UNREACHABLE if self._all_unreachable else it.FailureReason.NO_SERVER,
                    )
                return
        if backend.cold_since is not None:
            backend.turn_credit -= 1.0
        timeout = 0.0 if attempts_left == 1 else time_left / 2
        if backend.unverified and request.cls.effect is it.Effect.SAFE:
            timeout = min(timeout or time_left, self._verify_timeout)
        self._assign(request, backend)
        request.attempts += 1
        request.last_attempt_at = now
        request.tried.append(backend)
        self._emit(it.Attempt(request.id, backend.id, timeout, request.repeat_until()))

    def _current_holder(self, request: TrackedRequest) -> Backend | None:
        """The server that still holds this open pass-through connection, if it is known.

        Any other server would reset the connection. It adds no new work, so the server may be draining.
        """
        if request.attempts or not request.midflow or request.key is None:
            return None
        ident, released_at = self._last_servers.pop(request.key, ("", 0.0))
        backend = self._fleet.backends.get(ident)
        if (
            backend is None
            or backend.listed is it.ServerState.GONE
            or self._now > released_at + self._settings.park
        ):
            return None
        return backend

    def _may_verify(self, request: TrackedRequest, backend: Backend) -> bool:
        """Whether this request may be sent to a server, which may be an unverified entry.

        Limits how many clients meet dead entries after a start on an old list. A request whose attempt at an
        unverified entry has failed, or that may not be repeated, uses verified ones while there are any.
        """
        if not backend.unverified:
            return True
        if self._max_verifying and self._verifying >= self._max_verifying:
            return False
        if not request.verify_failed and request.cls.effect is it.Effect.SAFE:
            return True
        return not any(not b.unverified and not b.unreachable for b in self._fleet.order)

    def _wait_for_verification(self, request: TrackedRequest) -> bool:
        """Hold a request until attempts at unverified entries have ended; False if waiting cannot help."""
        if not self._verifying or (request.wait_until and self._now >= request.wait_until - TOLERANCE_MS):
            return False
        if not any(b.unverified and not b.unreachable and b not in request.tried for b in self._fleet.order):
            return False
        if not request.wait_until:
            request.wait_until = self._now + VERIFY_WAIT_TIMEOUTS * self._verify_timeout
            self._timers.call_at(request.wait_until, self._resume_waiting)
        self._waiting[request.id] = request
        return True

    def _resume_waiting(self) -> None:
        waiting, self._waiting = self._waiting, {}
        for request in waiting.values():
            self._send_next(request)

    def _end_verifying(self, request: TrackedRequest) -> None:
        self._verifying -= request.verifying
        request.verifying = False

    def _exceeds_limit(self, request: TrackedRequest) -> bool:
        """Whether a request is refused because most servers answer messages too late.

        Prevents a fleet so overloaded that no client is served in time.
        """
        if self._load_limit == float("inf"):
            return False
        limit = (
            self._load_limit
            if request.cls is not self._most_valuable_class()
            else self._load_limit * PRIORITY_LIMIT_RATIO
        )
        return self._load + request.load > limit

    def _most_valuable_class(self) -> it.RequestClass:
        """The class with the highest value per load; it may exceed the limit and displace others."""
        return max(self._classes.values(), key=self._value_per_load)

    def _degraded_fraction(self) -> float:
        """The fraction of the servers with own connections that are overloaded or unreachable."""
        judged = degraded = 0
        for backend in self._fleet.order:
            if backend.requests:
                judged += 1
                degraded += backend.unreachable or backend.overloaded_until > self._now
        # With few servers a single failing one would make the fleet look overloaded.
        min_judged = max(MIN_WORKING_SET, min(MIN_JUDGED_SERVERS, len(self._fleet.order) // 2))
        # The minimum divisor makes a small fleet count as overloaded only with three degraded servers: one
        # that fails, and one that got its clients, are not enough.
        return degraded / max(judged, MIN_JUDGED_SERVERS) if judged >= min_judged else 0.0

    def _others_degraded(self, backend: Backend) -> bool:
        """Whether any other server is overloaded or unreachable."""
        return any(
            b.unreachable or b.overloaded_until > self._now for b in self._fleet.order if b is not backend
        )

    def _fleet_utilization(self) -> float:
        """The utilization of the fleet by fresh reports, overloaded servers counted as full; 0 if unknown."""
        used = total = 0.0
        for b in self._fleet.order:
            overloaded = b.overloaded_until > self._now
            if overloaded or b.reported_at > self._now - FRESH_REPORT_TTL_MS:
                size = self._effective_size(b)
                total += size
                used += size * max(b.utilization, float(overloaded))
        return used / total if total else 0.0

    def _adjust_limit(self) -> None:
        """Lower the load limit while many servers are degraded, and raise it slowly afterwards.

        The limit applies to open connections, not to arrivals: refused clients return together, and a fixed
        fraction of them would overload the fleet again. It is not used where connections are sparse, since a
        few servers with few connections each do not represent the fleet.
        """
        degraded = 0.0 if self._fleet.sparse else self._degraded_fraction()
        if degraded > MAX_DEGRADED_FRACTION:
            self._load_limit = min(self._load_limit, self._load) * (1.0 - LIMIT_CUT_FRACTION * degraded)
            self._emit(
                it.Log(
                    f"own load {self._load:.1f} limited to {self._load_limit:.1f}, degraded {degraded:.2f}"
                )
            )
            self._shed_load()
        elif self._load_limit < float("inf"):
            self._load_limit *= (
                LIMIT_FAST_GROWTH_RATIO
                if 0.0 < self._fleet_utilization() < LOW_FLEET_UTILIZATION
                else LIMIT_GROWTH_RATIO
            )
            if self._load_limit > 2.0 * self._load + 1.0:
                self._load_limit = float("inf")
        self._limit_check_scheduled = degraded > 0.0 or self._load_limit < float("inf")
        if self._limit_check_scheduled:
            self._timers.call_at(
                self._now + LIMIT_INTERVAL_MS * (0.75 + 0.5 * self._rng.random()), self._adjust_limit
            )

    def _shed_load(self) -> None:
        """Move the connections with the least value per load until the load is within the limit."""
        established = [
            request
            for request in self._tracked_requests.values()
            if request.established and request.backend is not None
        ]
        established.sort(key=lambda request: (self._value_per_load(request.cls), -request.load))
        for request in established:
            if self._load <= self._load_limit:
                break
            self._move(request)

    def _move(self, request: TrackedRequest) -> None:
        """Close a connection so that its client opens a new one."""
        self._release(request)
        del self._tracked_requests[request.id]
        self._emit(it.Move(request.id))

    def _value_per_load(self, cls: it.RequestClass) -> float:
        return cls.value if self._settings.worth_by_work else cls.value / self._class_load.get(cls.name, 1.0)

    def _last_resort(self, request: TrackedRequest) -> Backend | None:
        """One trial for each backoff interval while every server is unreachable, earliest retry first."""
        if any(not b.unreachable for b in self._fleet.order):
            return None
        if not self._all_unreachable:
            self._all_unreachable = True
            self._last_resort_attempts = 0
        # The jitter prevents synchronized retries of all balancers after a shared outage.
        self._next_last_resort_at = self._now + self._backoff(self._last_resort_attempts)
        self._last_resort_attempts += 1
        candidates = [
            b
            for b in self._fleet.order
            if not b.trial
            and b not in request.tried
            and request.may_go_to(b, self._now)
            and self._has_turn(b)
        ]
        if not candidates:
            return None
        backend = min(candidates, key=attrgetter("retry_at"))
        backend.trial = request.id
        return backend

    def _clear_blame(self, request: TrackedRequest) -> None:
        """Undo the failures caused by a request that every server answered with an error.

        Prevents one invalid request from making most of a small fleet unreachable.
        """
        if len(request.blamed) < 2 or len(request.blamed) < request.attempts:
            return
        for backend in request.blamed:
            if backend.unreachable and backend.failures == 1 and not backend.trial:
                backend.unreachable = False
                backend.failures = 0
        self._cached_set_expires_at = -1.0

    def _send_final_answer(self, request: TrackedRequest, reason: it.FailureReason) -> None:
        """Give the final answer: a refusal if a retry is harmless, else a failure."""
        self._clear_blame(request)
        self._release(request)
        del self._tracked_requests[request.id]
        if request.may_be_refused():
            max_wait = self._settings.max_retry_after
            self._emit(it.Refuse(request.id, max_wait * (0.5 + 0.5 * self._rng.random()), reason))
        else:
            self._emit(it.Fail(request.id, it.FailureReason.MAY_HAVE_RUN))

    def _assign(self, request: TrackedRequest, backend: Backend) -> None:
        """Count a request at a server."""
        request.backend = backend
        request.verifying = backend.unverified
        self._verifying += request.verifying
        backend.requests[request.id] = request
        backend.load += request.load
        self._load += request.load
        backend.load_since_report += request.load
        if request.group is not None:
            self._groups[request.group] = self._groups.get(request.group, 0) + 1
            backend.groups[request.group] = backend.groups.get(request.group, 0) + 1

    def _release(self, request: TrackedRequest) -> None:
        """Undo `_assign`; no effect for a request without a server."""
        backend = request.backend
        if backend is None:
            return
        request.backend = None
        self._end_verifying(request)
        if self._settings.pass_through and request.established and request.key is not None:
            self._last_servers[request.key] = (backend.id, self._now)
            if len(self._last_servers) > MAX_KEYS:
                del self._last_servers[next(iter(self._last_servers))]
        self._load -= request.load
        del backend.requests[request.id]
        if request.group is not None:
            for groups in (self._groups, backend.groups):
                groups[request.group] -= 1
                if not groups[request.group]:
                    del groups[request.group]
        backend.load = backend.load - request.load if backend.requests else 0.0
