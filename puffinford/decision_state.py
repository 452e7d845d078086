"""State that the decision module keeps of servers, requests and the server list.

Placement, retries and refusals are decided in `puffinford/balance.py`. The rule that no effect happens twice
is enforced here (`TrackedRequest.may_go_to`), since it applies to every decision.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from puffinford import interface as it
from puffinford.hashing import stable_hash
from puffinford.timers import Timers

DEFAULT_WARM_CAPACITY = 100.0  # mean connections of a warm server, until quotas or reports give a value
QUOTA_FRACTION = 0.5  # of the servers' capacity that is granted to tenants as quotas
# After a failed list call. Updates must arrive within 6 s of discovery's recovery.
MAX_LIST_CALL_DELAY_MS = 3_000.0
FIRST_CALL_SPREAD_MS = 25.0  # times the number of balancers: window of their first list calls
SAME_START_TOLERANCE_MS = 50.0  # between two values for one start of a server
CAPACITY_ESTIMATE_TTL_MS = 30_000.0

_STRICTNESS = {it.Effect.SAFE: 0, it.Effect.KEYED: 1, it.Effect.UNSAFE: 2}


class Backend:
    """State of one server. Times are in ms, loads in mean connections of this balancer."""

    __slots__ = (
        "capacity_draw", "capacity_estimate", "capacity_estimated_at", "cell", "cold_since", "cordoned",
        "cordoned_at", "delay", "failures", "groups", "id", "id_hash", "last_turn", "late_report_at",
        "late_reports", "listed", "load", "load_since_report", "next_turn_at", "overloaded_until",
        "probed_at", "rank_bits", "recovered_at", "relief_pending", "reported_at", "requests", "retry_at",
        "size", "slow_until", "started", "trial", "turn_credit", "turn_credit_expires_at", "unreachable",
        "unreachable_since", "unverified", "utilization", "warm_capacity", "zone",
    )  # fmt: skip

    def __init__(self, server: it.Server) -> None:
        self.id = server.id
        self.zone = server.zone
        self.cell = server.cell
        self.id_hash = stable_hash(server.id)  # position in the order common to all balancers
        self.rank_bits = self.id_hash >> 34  # upper 30 bits of the hash
        self.listed = server.state
        self.cordoned = False
        self.cordoned_at = 0.0
        self.size = server.weight
        self.started = server.started
        self.requests: dict[str, TrackedRequest] = {}  # own connections and attempts, by request id
        self.load = 0.0  # of `requests`
        self.groups: dict[int, int] = {}  # number of `requests` by group
        self.unreachable = False  # until a trial connection is established
        self.unverified = False  # listed only by a restored list
        self.unreachable_since: float | None = None  # first of the current failures to connect
        self.failures = 0
        self.retry_at = 0.0
        self.recovered_at = 0.0  # a failure from this time on is counted as the first
        self.trial = ""  # id of the request whose attempt is the trial
        self.slow_until = 0.0
        self.overloaded_until = 0.0
        self.late_report_at = float("-inf")
        self.capacity_estimate = float("inf")  # own load that it can carry, by late reports
        self.capacity_estimated_at = float("-inf")
        self.capacity_draw = 0.0  # in [0, 1); rounds a fractional capacity estimate
        self.late_reports = 0  # in a row
        self.relief_pending = False  # late; waits for a probe that shows how much load to move
        self.delay = 0.0  # of a message
        self.utilization = 0.0  # reported load over capacity
        self.load_since_report = 0.0  # placed since that report
        self.reported_at = float("-inf")
        self.probed_at = float("-inf")
        self.cold_since: float | None = None  # its start, while it may still be cold
        self.warm_capacity = 0.0  # connections when warm, as used for the current numbering of turns
        self.last_turn = -1  # number of this balancer's last slow-start turn
        self.turn_credit = 0.0  # attempts left in that turn
        self.turn_credit_expires_at = 0.0
        self.next_turn_at = 0.0  # earliest time of the next turn

    @property
    def accepts_new(self) -> bool:
        """Whether the list and the operators allow new connections."""
        return self.listed is it.ServerState.LIVE and not self.cordoned

    def start_cold(self, since: float) -> None:
        """Reset the health state after a start, or a possible one, at `since` (ms)."""
        self.cold_since = since
        self.last_turn = -1
        self.next_turn_at = 0.0
        self.turn_credit = 0.0
        self.unreachable = False
        self.failures = 0

    def reset_load_state(self) -> None:
        """Discard the state learned from delay updates."""
        self.capacity_estimate = float("inf")
        self.capacity_draw = 0.0
        self.capacity_estimated_at = self.late_report_at = float("-inf")
        self.slow_until = self.overloaded_until = self.delay = 0.0
        self.late_reports = 0


class TrackedRequest:
    """One request, from its arrival to its final answer or the end of its connection."""

    __slots__ = (
        "attempts", "backend", "blamed", "came_back", "cls", "deadline", "established", "group", "id", "key",
        "last_attempt_at", "load", "midflow", "possibly_ran_at", "possibly_ran_on", "reserved", "tried",
        "verify_failed", "verifying", "wait_until",
    )  # fmt: skip

    def __init__(self, request: it.Request, cls: it.RequestClass, deadline: float, load: float) -> None:
        self.id = request.id
        self.cls = cls
        self.deadline = deadline
        self.group = request.group
        self.load = load
        self.came_back = request.came_back
        self.midflow = request.midflow
        self.key = request.key
        self.attempts = 0
        self.last_attempt_at = 0.0
        self.backend: Backend | None = None  # server of the current attempt or connection
        self.established = False
        self.verifying = False  # its current attempt goes to an unverified entry
        self.verify_failed = False  # such an attempt has failed
        self.reserved: Backend | None = None  # server with a slot reserved for this moved client
        self.wait_until = 0.0  # end of the wait for verifying attempts of others
        self.tried: list[Backend] = []
        self.blamed: list[Backend] = []  # servers that answered with an error
        self.possibly_ran_on: Backend | None = None  # server of the first attempt that may have run
        self.possibly_ran_at = 0.0

    def may_go_to(self, backend: Backend, now: float) -> bool:
        """Whether an attempt at a server cannot cause the request's effect twice."""
        if self.possibly_ran_on is None or self.cls.effect is it.Effect.SAFE:
            return True
        if self.cls.effect is it.Effect.UNSAFE or now >= self.possibly_ran_at + self.cls.window:
            return False
        if self.cls.scope is it.Scope.ZONE:
            return backend.zone == self.possibly_ran_on.zone
        return self.cls.scope is it.Scope.ALL or backend.cell == self.possibly_ran_on.cell

    def rebind_class(self, cls: it.RequestClass) -> None:
        """Switch to the class of reloaded settings if it is stricter; a laxer one affects new requests only.

        Prevents a reload between an attempt and its repeat from causing an effect twice.
        """
        if _STRICTNESS[cls.effect] > _STRICTNESS[self.cls.effect] or (
            cls.effect is self.cls.effect is it.Effect.KEYED and cls.window < self.cls.window
        ):
            self.cls = cls

    def repeat_until(self) -> float:
        """The time in ms until which a repeat may begin; infinite if any time is safe."""
        if self.possibly_ran_on is None or self.cls.effect is not it.Effect.KEYED:
            return float("inf")
        return self.possibly_ran_at + self.cls.window

    def may_be_refused(self, in_flight: bool = False) -> bool:
        """Whether a retry by the client is harmless; `in_flight`: the current attempt may still run."""
        if (self.possibly_ran_on is None and not in_flight) or self.cls.effect is it.Effect.SAFE:
            return True
        return self.cls.effect is it.Effect.KEYED and self.cls.scope is it.Scope.ALL


class ListedServers:
    """The server list: its entries, the cordoned servers, and the calls that keep it up to date."""

    def __init__(
        self,
        settings: it.Settings,
        seed: int,
        rng: random.Random,
        timers: Timers,
        emit: Callable[[it.Action], None],
    ):
        self._settings = settings
        self._rng = rng
        self.query_rng = random.Random(seed ^ 0xD0)  # keeps queries from changing later decisions
        self._timers = timers
        self._emit = emit
        self.backends: dict[str, Backend] = {}
        self.cordoned: frozenset[str] = frozenset()
        self._subscribed = not settings.list_on_request
        self._call_pending = False
        self._failures = 0  # failed list calls in a row
        self._now = 0.0

    def apply(self, event: it.ServerList, now: float) -> bool:
        """Apply a list event; returns whether an entry has changed."""
        self._now = now
        if event.kind is it.ListKind.UNAVAILABLE:
            self._call_pending = self._subscribed = False
            self._failures += 1
            self._schedule_list_call()
            return False
        if event.kind is it.ListKind.RESTORED:
            self._schedule_list_call()
        else:
            self._call_pending = False
            self._failures = 0
            self._subscribed = True
        changed = False
        if event.kind is not it.ListKind.UPDATE:
            listed = {server.id for server in event.servers}
            for backend in self.backends.values():
                if backend.id not in listed:
                    backend.listed = it.ServerState.GONE
                    changed = True
        for server in event.servers:
            changed |= self._apply_entry(server, now)
        if event.kind is not it.ListKind.UPDATE or any(s.state is it.ServerState.GONE for s in event.servers):
            self.backends = {
                ident: backend
                for ident, backend in self.backends.items()
                if backend.listed is not it.ServerState.GONE or backend.requests
            }
        return changed

    def _apply_entry(self, server: it.Server, now: float) -> bool:
        backend = self.backends.get(server.id)
        if backend is None:
            backend = self.backends[server.id] = Backend(server)
            backend.cordoned = server.id in self.cordoned
            restarted = True
        else:
            # Start times differ by rounding when converted between clocks.
            restarted = server.started > backend.started + SAME_START_TOLERANCE_MS
            if not restarted and backend.listed is server.state and backend.size == server.weight:
                return False
            backend.listed = server.state
            backend.size = server.weight
            backend.started = max(server.started, backend.started)
        if restarted and server.started > 0 and now < server.started + self._settings.warm_time:
            backend.start_cold(server.started)
        return True

    def cordon(self, servers: frozenset[str], now: float) -> tuple[list[Backend], list[Backend]]:
        """Replace the set of cordoned servers; returns the newly cordoned ones and the restored ones."""
        self.cordoned = servers
        changed = [b for b in self.backends.values() if b.cordoned != (b.id in servers)]
        for backend in changed:
            backend.cordoned = not backend.cordoned
            if backend.cordoned:
                backend.cordoned_at = now
        return [b for b in changed if b.cordoned], [b for b in changed if not b.cordoned]

    def _schedule_list_call(self) -> None:
        # Full jitter keeps all balancers from calling the list service at once at a start or after an outage.
        # Where lists are pushed, the host calls the local agent without a pause.
        if self._subscribed or self._call_pending or not self._settings.list_on_request:
            return
        max_delay = self._settings.ask_within
        initial_window = max_delay / 8
        if not self._failures:
            # A small fleet needs less jitter for its first calls.
            initial_window = min(initial_window, FIRST_CALL_SPREAD_MS * self._settings.balancers)
        window = min(max_delay * 0.9, initial_window * 2.0 ** min(self._failures, 10), MAX_LIST_CALL_DELAY_MS)
        # At the longest window, short delays would only add calls.
        min_delay = window / 2.0 if window == MAX_LIST_CALL_DELAY_MS else 0.0
        self._call_pending = True
        self._timers.call_at(
            self._now + min_delay + self._rng.random() * (window - min_delay), self._request_list
        )

    def _request_list(self) -> None:
        self._emit(it.Subscribe(True))

    # Queries

    def excluded(self, now: float) -> set[str]:
        """Ids of the servers that get no ordinary new connections now."""
        return {
            ident
            for ident, backend in self.backends.items()
            if not backend.accepts_new or backend.unreachable or backend.slow_until > now
        }

    def health(self, now: float) -> list[it.Health]:
        """Health of the servers whose state differs from the list's."""
        entries = []
        estimates_after = now - CAPACITY_ESTIMATE_TTL_MS
        for b in self.backends.values():
            found_cold = b.cold_since is not None and b.cold_since != b.started  # not known from the list
            # Skips healthy servers early, which are most of the thousands of a large fleet.
            if not (
                b.unreachable
                or found_cold
                or b.capacity_estimated_at > estimates_after
                or b.slow_until
                or b.overloaded_until
            ):
                continue
            failures = b.failures if b.unreachable else 0
            capacity_estimate = (
                b.capacity_estimate if now < b.capacity_estimated_at + CAPACITY_ESTIMATE_TTL_MS else None
            )
            slow = max(b.slow_until, b.overloaded_until) > now
            if failures or capacity_estimate is not None or found_cold or slow:
                health = (
                    b.id,
                    now,
                    failures,
                    b.retry_at,
                    b.unreachable_since,
                    b.slow_until,
                    max(b.late_report_at, 0.0),
                )
                entries.append(
                    it.Health(
                        *health, b.delay, capacity_estimate, max(b.capacity_estimated_at, 0.0), b.cold_since
                    )
                )
        return entries

    def sample_established(self, server: str, limit: int) -> list[it.EstablishedConnection]:
        """At most `limit` of the own established connections at a server, drawn at random."""
        backend = self.backends.get(server)
        if backend is None:
            return []
        requests = [r for r in backend.requests.values() if r.established and r.key is not None]
        if len(requests) > limit:
            requests = self.query_rng.sample(requests, limit)
        connections = []
        for r in requests:
            group = r.group if self._settings.grouped else None
            group_size = backend.groups[group] if group is not None else 0
            assert r.key is not None
            row = (r.id, r.key, r.cls.name, r.load, group, r.last_attempt_at, r.came_back, group_size)
            connections.append(it.EstablishedConnection(*row))
        return connections
