"""What the decision module knows: its servers, its requests, and the server list as it is told.

Nothing here places, retries or refuses: `puffinford/balance.py` decides on these records. They keep the
rule that no effect happens twice (`TrackedRequest.may_go_to`), for that rule binds whatever is decided.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from puffinford import interface as it
from puffinford.hashing import stable_hash
from puffinford.timers import Timers

DEFAULT_WARM_CAPACITY = 100.0  # mean connections that a warm server is taken to carry until anything tells
QUOTA_FRACTION = 0.5  # of what the servers can carry is granted to tenants as quotas, about
ASK_MOST = 3_000.0  # between failed calls: discovery may be back, and 6 s later its news counts as told
ASK_EACH = 25.0  # ms for each balancer that may ask for its first list at the same moment
RESTART_LEAST = 50.0  # starts of a server this close are the same one
CAPACITY_ESTIMATE_TTL_MS = 30_000.0  # what late messages have told of a server's room is forgotten after this

_STRICTNESS = {it.Effect.SAFE: 0, it.Effect.KEYED: 1, it.Effect.UNSAFE: 2}


class Backend:
    """What this balancer knows of one server."""

    __slots__ = (
        "capacity_estimate", "capacity_estimated_at", "cell", "chance", "cold_since", "cordoned",
        "cordoned_at", "credit", "credit_until", "delay", "failures", "groups", "id", "late_notes",
        "late_report_at", "late_until", "listed", "load", "point", "probed_at", "reach", "relieve",
        "requests", "retry_at", "size", "slow_until", "sound_at", "started", "trial", "turn", "turn_due",
        "unreachable", "unreachable_since", "unverified", "used", "used_at", "used_since", "warm_capacity",
        "zone",
    )  # fmt: skip

    def __init__(self, server: it.Server) -> None:
        self.id = server.id
        self.zone = server.zone
        self.cell = server.cell
        self.reach = stable_hash(server.id)  # where it stands in the shuffle common to all balancers
        self.point = (
            self.reach >> 34
        )  # 30 bits of it, from which its ranks in the shuffles of groups are made
        self.listed = server.state
        self.cordoned = False  # operators have taken it out ...
        self.cordoned_at = 0.0  # ... at that time
        self.size = server.weight
        self.started = server.started
        self.requests: dict[str, TrackedRequest] = {}  # own connections and attempts, by request id
        self.load = 0.0  # their load, in mean connections
        self.groups: dict[int, int] = {}  # their groups, with the number of each
        self.unreachable = False  # unreachable until a trial stands
        self.unverified = False  # named by an old list alone
        self.unreachable_since: float | None = None  # since when it has taken no connection, if it was tried
        self.failures = 0
        self.retry_at = 0.0
        self.sound_at = 0.0  # a trial stood: its failures are over once a connection outlasts this
        self.trial = ""  # the id of the request whose attempt is the trial, while that is out
        self.slow_until = 0.0  # messages there take long
        self.late_until = 0.0  # they have come too late for more than a moment
        self.late_report_at = float("-inf")
        self.capacity_estimate = float("inf")  # own load that it can carry, as late messages have shown ...
        self.capacity_estimated_at = float("-inf")  # ... at that time
        self.chance = 0.0  # what a part of one connection has to come to, where views are thin
        self.late_notes = 0  # notes of late messages in a row
        self.relieve = False  # late, and asked for a report that tells how much to move
        self.delay = 0.0
        self.used = 0.0  # reported load over capacity
        self.used_since = 0.0  # load placed since that report
        self.used_at = float("-inf")
        self.probed_at = float("-inf")
        self.cold_since: float | None = None  # when it started, while it may still be cold
        self.warm_capacity = (
            0.0  # mean connections that it is taken to carry when warm, by which turns are counted
        )
        self.turn = -1  # the last of this balancer's turns at it while it is cold ...
        self.credit = 0.0  # ... the sends left of it ...
        self.credit_until = 0.0  # ... until then
        self.turn_due = 0.0  # before then it has no turn to give

    @property
    def open(self) -> bool:
        """Whether new connections may go there at all."""
        return self.listed is it.ServerState.LIVE and not self.cordoned

    def start_cold(self, since: float) -> None:
        """It has started, or may have: what was known of its health is over."""
        self.cold_since = since
        self.turn = -1
        self.turn_due = 0.0
        self.credit = 0.0
        self.unreachable = False
        self.failures = 0

    def forget_load(self) -> None:
        self.capacity_estimate = float("inf")
        self.chance = 0.0
        self.capacity_estimated_at = self.late_report_at = float("-inf")
        self.slow_until = self.late_until = self.delay = 0.0
        self.late_notes = 0


class TrackedRequest:
    """One request, from its arrival to its final answer or the end of its connection."""

    __slots__ = (
        "backend", "blamed", "came_back", "cls", "deadline", "group", "held_until", "id", "key", "load",
        "midflow", "paid", "place", "proving", "risk", "risk_at", "sent", "sent_at", "standing", "tried",
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
        self.sent = 0  # attempts made
        self.sent_at = 0.0
        self.backend: Backend | None = None  # where the present attempt or the connection is
        self.standing = False
        self.proving = False  # its claim is out to an unproven entry
        self.paid = False  # such a claim of it failed
        self.place: Backend | None = None  # kept for it since its client was moved
        self.held_until = 0.0  # it waits no longer than this for such claims of others
        self.tried: list[Backend] = []
        self.blamed: list[Backend] = []  # those that answered it with an error
        self.risk: Backend | None = None  # where an earlier attempt may have run
        self.risk_at = 0.0

    def may_go_to(self, backend: Backend, now: float) -> bool:
        """The rule that no effect happens twice."""
        if self.risk is None or self.cls.effect is it.Effect.SAFE:
            return True
        if self.cls.effect is it.Effect.UNSAFE or now >= self.risk_at + self.cls.window:
            return False
        if self.cls.scope is it.Scope.ZONE:
            return backend.zone == self.risk.zone
        return self.cls.scope is it.Scope.ALL or backend.cell == self.risk.cell

    def bind(self, cls: it.RequestClass) -> None:
        """Other settings name its class: what they forbid binds at once, what they allow does not.

        Guards an effect against happening twice by a reload between an attempt and its repeat.
        """
        if _STRICTNESS[cls.effect] > _STRICTNESS[self.cls.effect] or (
            cls.effect is self.cls.effect is it.Effect.KEYED and cls.window < self.cls.window
        ):
            self.cls = cls

    def repeat_until(self) -> float:
        """From when, in ms, what may have run may not be sent again; infinite where it may be always."""
        if self.risk is None or self.cls.effect is not it.Effect.KEYED:
            return float("inf")
        return self.risk_at + self.cls.window

    def may_be_refused(self, out: bool = False) -> bool:
        """A refusal says that trying again is harmless; `out`: an attempt is, and may run yet."""
        if (self.risk is None and not out) or self.cls.effect is it.Effect.SAFE:
            return True
        return self.cls.effect is it.Effect.KEYED and self.cls.scope is it.Scope.ALL


class ListedServers:
    """The server list as told: its entries, what is taken out by hand, and the calls that keep it fresh."""

    def __init__(
        self,
        settings: it.Settings,
        seed: int,
        rng: random.Random,
        timers: Timers,
        act: Callable[[it.Action], None],
    ):
        self._settings = settings
        self._rng = rng
        self.doubles = random.Random(seed ^ 0xD0)  # for queries, which must not change what is drawn next
        self._timers = timers
        self._act = act
        self.backends: dict[str, Backend] = {}
        self.cordoned: frozenset[str] = frozenset()
        self._subscribed = not settings.list_on_request
        self._asking = False
        self._failures = 0
        self._now = 0.0

    def take(self, event: it.ServerList, now: float) -> bool:
        """Take in a list; tells whether an entry has changed."""
        self._now = now
        if event.kind is it.ListKind.UNAVAILABLE:
            self._asking = self._subscribed = False
            self._failures += 1
            self._ask_later()
            return False
        if event.kind is it.ListKind.RESTORED:
            self._ask_later()
        else:
            self._asking = False
            self._failures = 0
            self._subscribed = True
        changed = False
        if event.kind is not it.ListKind.UPDATE:
            named = {server.id for server in event.servers}
            for backend in self.backends.values():
                if backend.id not in named:
                    backend.listed = it.ServerState.GONE
                    changed = True
        for server in event.servers:
            changed |= self._take_entry(server, now)
        if event.kind is not it.ListKind.UPDATE or any(s.state is it.ServerState.GONE for s in event.servers):
            self.backends = {
                ident: backend
                for ident, backend in self.backends.items()
                if backend.listed is not it.ServerState.GONE or backend.requests
            }
        return changed

    def _take_entry(self, server: it.Server, now: float) -> bool:
        backend = self.backends.get(server.id)
        if backend is None:
            backend = self.backends[server.id] = Backend(server)
            backend.cordoned = server.id in self.cordoned
            restarted = True
        else:
            # Guards against taking a start told twice for two: hosts count from clocks that round.
            restarted = server.started > backend.started + RESTART_LEAST
            if not restarted and backend.listed is server.state and backend.size == server.weight:
                return False
            backend.listed = server.state
            backend.size = server.weight
            backend.started = max(server.started, backend.started)
        if restarted and server.started > 0 and now < server.started + self._settings.warm_time:
            backend.start_cold(server.started)
        return True

    def cordon(self, servers: frozenset[str], now: float) -> tuple[list[Backend], list[Backend]]:
        """Hold the whole set of servers that are out; those newly out, and those that are back."""
        self.cordoned = servers
        changed = [b for b in self.backends.values() if b.cordoned != (b.id in servers)]
        for backend in changed:
            backend.cordoned = not backend.cordoned
            if backend.cordoned:
                backend.cordoned_at = now
        return [b for b in changed if b.cordoned], [b for b in changed if not b.cordoned]

    def _ask_later(self) -> None:
        # Guards against all balancers asking one list service at once, at the start and after an
        # outage: full jitter, and never longer unasked than the rules allow. Where lists are pushed, the
        # agent of the own machine is asked without a pause, and not from here.
        if self._subscribed or self._asking or not self._settings.list_on_request:
            return
        most = self._settings.ask_within
        first = most / 8
        if not self._failures:
            # Guards the clients of a small fleet against the jitter that a large one needs at its start.
            first = min(first, ASK_EACH * self._settings.balancers)
        window = min(most * 0.9, first * 2.0 ** min(self._failures, 10), ASK_MOST)
        # Where the longest pause is the bound, short ones bring nothing but more calls.
        least = window / 2.0 if window == ASK_MOST else 0.0
        self._asking = True
        self._timers.call_at(self._now + least + self._rng.random() * (window - least), self._ask)

    def _ask(self) -> None:
        self._act(it.Subscribe(True))

    # What is known, for those outside the module; it decides nothing

    def excluded(self, now: float) -> set[str]:
        """The servers that get no ordinary new connection now, for whatever reason."""
        return {
            ident
            for ident, backend in self.backends.items()
            if not backend.open or backend.unreachable or backend.slow_until > now
        }

    def health(self, now: float) -> list[it.Health]:
        """What is known of the servers of which there is anything to tell."""
        told = []
        roomy = now - CAPACITY_ESTIMATE_TTL_MS
        for b in self.backends.values():
            found_cold = b.cold_since is not None and b.cold_since != b.started  # else the list tells it
            if not (
                b.unreachable or found_cold or b.capacity_estimated_at > roomy or b.slow_until or b.late_until
            ):
                continue  # guards the core: of most of thousands there is nothing to tell
            failures = b.failures if b.unreachable else 0
            capacity_estimate = (
                b.capacity_estimate if now < b.capacity_estimated_at + CAPACITY_ESTIMATE_TTL_MS else None
            )
            busy = max(b.slow_until, b.late_until) > now
            if failures or capacity_estimate is not None or found_cold or busy:
                health = (
                    b.id,
                    now,
                    failures,
                    b.retry_at,
                    b.unreachable_since,
                    b.slow_until,
                    max(b.late_report_at, 0.0),
                )
                told.append(
                    it.Health(
                        *health, b.delay, capacity_estimate, max(b.capacity_estimated_at, 0.0), b.cold_since
                    )
                )
        return told

    def sample_established(self, server: str, most: int) -> list[it.EstablishedConnection]:
        """At most so many of the own connections that stand at a server, drawn at random."""
        backend = self.backends.get(server)
        if backend is None:
            return []
        requests = [f for f in backend.requests.values() if f.standing and f.key is not None]
        if len(requests) > most:
            requests = self.doubles.sample(requests, most)
        told = []
        for f in requests:
            group = f.group if self._settings.grouped else None
            members = backend.groups[group] if group is not None else 0
            assert f.key is not None
            row = (f.id, f.key, f.cls.name, f.load, group, f.sent_at, f.came_back, members)
            told.append(it.EstablishedConnection(*row))
        return told
