"""Decides which established connections to move, and when. No I/O, no clock: times are parameters, in ms.

The planner sees the servers and samples of connections, and is notified of the results of its moves. The
decision module chooses the target of a move; see docs/design-rebalance.md.
"""

from __future__ import annotations

import math
import random
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace
from enum import Enum

from puffinford.rebalance.lifetimes import Lifetimes
from puffinford.rebalance.pace import Pace, PaceSettings, Signal

MAX_REMEMBERED_MOVES = 20_000
MAX_DEGRADED_FRACTION = 0.25  # of the servers with own connections; above it nothing is moved
MIN_LOAD = 8.0  # own load, in average connections, below which nothing is balanced
MIN_GAIN_FRACTION = 0.25  # of a connection's load: the least reduction of the higher utilization by a move
NOISE_STANDARD_DEVIATIONS = 0.5  # of sampling noise that do not count as imbalance
MIN_CAPACITY = 0.02  # lower bound for the capacity in a utilization; prevents a division by zero


class SkipReason(Enum):
    """Why a connection is not moved, or why nothing is."""

    DISABLED = "switched off"
    PAUSED = "paused by an operator"
    BALANCED = "in balance"
    SETTLING = "out of balance for too short a time"
    DEGRADED = "too many servers strained"
    RATE_LIMITED = "the next move is not due"
    TOO_FEW_CONNECTIONS = "too few connections to judge"
    AWAITING_ANSWER = "a line is unanswered"
    RECENTLY_MOVED = "its client was moved a short while ago"
    RECENTLY_PLACED = "it has just been placed"
    ENDING_SOON = "it will soon end by itself"
    ALREADY_BEST = "the module would not place it elsewhere"
    MOVED_FROM_TARGET = "it came from there"
    NO_GAIN = "its target would be as full"
    GROUP_TOO_LARGE = "its group does not fit anywhere"


@dataclass(frozen=True)
class PlannerSettings:
    """The operators' settings. Ratios are utilization relative to the mean, times are ms."""

    enabled: bool = True
    start_ratio: float = 1.25  # imbalance above which moving starts
    stop_ratio: float = 1.1  # imbalance at which it stops
    settle_time: float = 3_000.0  # how long the imbalance must last before moving starts
    move_cooldown: float = 60_000.0  # after a move, before the client is moved again
    return_cooldown: float = 10_000.0  # the same for a client that was cut off, or moved by another balancer
    min_age: float = 3_000.0  # of a connection that is moved
    reservation_time: float = 2_500.0  # how long the target reserves a slot for a moved client
    return_deadline: float = 1_000.0  # time to UP above which a return counts as slow
    sample_size: int = 64  # connections of a server considered in a round
    min_remaining: float = 5_000.0  # expected remaining time of a connection that is moved
    pace: PaceSettings = field(default_factory=PaceSettings)


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """A server as the decision module sees it. Loads are this balancer's own, in average connections."""

    id: str
    load: float  # including the cost of groups
    capacity: float  # by size and warmth, in any common unit; 0 if the server is out of use
    usable: bool = True  # as a target: live, reachable, not slow, with free capacity
    degraded: bool = False
    connection_count: int = 0


@dataclass(frozen=True, slots=True)
class Candidate:
    """An established connection that may be moved."""

    request_id: str
    key: int
    server: str
    cls: str
    value: float  # per second
    load: float
    age: float  # ms since it was placed
    group: int | None = None
    idle: bool = True  # no line awaits an answer
    came_back: bool = False  # its client was moved or cut off before, perhaps by another balancer
    group_size: int = 0  # own connections of its group at the same server, including itself


@dataclass(frozen=True, slots=True)
class PlannedMove:
    """The move of one connection to another server."""

    request_id: str
    key: int
    source: str
    target: str
    group: int | None
    gain: float  # the source's utilization before the move minus the target's after it


@dataclass
class RecentMove:
    """A past move of a client; `moved_at` is ms."""

    moved_at: float
    sources: tuple[str, ...]  # servers it was moved from; it is not moved back to them
    target: str
    awaiting_return: bool = True


BestServer = Callable[[str], str | None]  # the server that the decision module would choose for a request


class Planner:
    """Plans the moves of one balancer: call `observe`, then `choose_move` if it returns None."""

    def __init__(self, settings: PlannerSettings, rng: random.Random, balancers: int = 1) -> None:
        """`balancers` share the clients, so that one in `balancers` moved clients returns to this one."""
        self.settings = settings
        self.pace = Pace(settings.pace, rng, balancers)
        self.lifetimes: dict[str, Lifetimes] = {}
        self.moving = False
        self.paused = False
        self.imbalance = (
            1.0  # the largest deviation of a server's utilization from the mean, as a ratio over 1
        )
        self.reason = SkipReason.BALANCED
        self.skipped: Counter[SkipReason] = Counter()  # in the last round
        self.move_count = 0
        self.returns_by_server: Counter[str] = Counter()
        self.not_returned = 0  # moved clients that did not return to this balancer
        self._rng = rng
        self._recent_moves: OrderedDict[int, RecentMove] = OrderedDict()
        self._unbalanced_since: float | None = None
        self._servers: dict[str, ServerLoad] = {}
        self._mean = 0.0
        self._noise_margin = 0.0
        self._group: tuple[int, str] | None = None  # the group being moved, and its source
        self._last_move_to: dict[str, float] = {}  # times by target

    def configure(self, settings: PlannerSettings) -> None:
        """Change the settings; past moves are kept."""
        self.settings = settings
        self.pace.configure(settings.pace)

    # Observation

    def observe(self, now: float, servers: Iterable[ServerLoad]) -> SkipReason | None:
        """Update the servers; return None if a move may be made now, else why not."""
        self._servers = {server.id: server for server in servers}
        self.skipped.clear()
        self.reason = self._assess(now) or SkipReason.RATE_LIMITED
        if self.reason is not SkipReason.RATE_LIMITED:
            return self.reason
        return None if self.pace.is_due(now) else SkipReason.RATE_LIMITED

    def _assess(self, now: float) -> SkipReason | None:
        in_use = [server for server in self._servers.values() if server.capacity > 0.0]
        load = sum(server.load for server in in_use)
        capacity = sum(server.capacity for server in in_use)
        self._mean = load / capacity if capacity else 0.0
        self._noise_margin = self._sampling_noise(load / max(1, len(in_use)))
        self.imbalance = self._imbalance(in_use)
        connected = [server for server in in_use if server.connection_count]
        if connected and sum(server.degraded for server in connected) > max(
            1.0, MAX_DEGRADED_FRACTION * len(connected)
        ):
            self._apply_signal(Signal.DEGRADED, now)
            self._unbalanced_since = None
            return SkipReason.DEGRADED
        if not self.settings.enabled:
            self.moving = False
            return SkipReason.DISABLED
        if self.paused:
            return SkipReason.PAUSED
        if load < MIN_LOAD or len(in_use) < 2:
            self.moving = False
            return SkipReason.TOO_FEW_CONNECTIONS
        return self._check_thresholds(now)

    def _imbalance(self, in_use: list[ServerLoad]) -> float:
        """Return the deviation of the highest or the lowest utilization from the mean, as a ratio over 1.

        The lowest one detects a few restarted servers among many: with two of ten empty, the highest
        utilization is only 1.25 times the mean.
        """
        if not self._mean:
            return 1.0
        highest = max(map(self._utilization, in_use)) / self._mean
        lowest = (
            min((self._utilization(server) for server in in_use if server.usable), default=self._mean)
            / self._mean
        )
        return max(highest, 2.0 - lowest)

    def _sampling_noise(self, mean_load: float) -> float:
        """Return the random deviation of a server's own load from the mean, as a fraction of the mean.

        Prevents needless moves: each balancer sees a sample of the clients, and a sample of n deviates by the
        square root of n. A single balancer sees all clients.
        """
        return NOISE_STANDARD_DEVIATIONS * math.sqrt(
            max(0.0, 1.0 - 1.0 / self.pace.return_weight) / max(mean_load, 1.0)
        )

    def _check_thresholds(self, now: float) -> SkipReason | None:
        """Apply hysteresis: moving starts above `start_ratio` and continues until below `stop_ratio`."""
        if self.moving:
            if self.imbalance > self.settings.stop_ratio + self._noise_margin:
                return None
            self._stop()
            return SkipReason.BALANCED
        if self.imbalance <= self.settings.start_ratio + self._noise_margin:
            self._unbalanced_since = None
            return SkipReason.BALANCED
        if self._unbalanced_since is None:
            self._unbalanced_since = now
        if now - self._unbalanced_since < self.settings.settle_time:
            return SkipReason.SETTLING
        self.moving = True
        return None

    def _stop(self) -> None:
        self.moving = False
        self._unbalanced_since = None
        self._group = None
        self.pace.reset_rate()

    @staticmethod
    def _utilization(server: ServerLoad, added_load: float = 0.0) -> float:
        """Return load relative to capacity, with `added_load`."""
        return (server.load + added_load) / max(server.capacity, MIN_CAPACITY)

    def sources(self) -> list[ServerLoad]:
        """Return the servers above the mean, the source of a group being moved first, then by utilization."""
        threshold = self._mean * (1.0 + self._noise_margin / 2.0)
        above_mean = [
            item
            for item in self._servers.values()
            if item.connection_count and (self._utilization(item) > threshold or item.capacity <= 0.0)
        ]
        above_mean.sort(key=self._utilization, reverse=True)
        if self._group is not None:
            above_mean.sort(key=lambda server: server.id != self._group[1])  # type: ignore[index]
        return above_mean

    def underloaded(self) -> frozenset[str]:
        """Return the servers preferred for returning clients while moving.

        These are below the mean by more than `stop_ratio` is above it.
        """
        if not self.moving or self.paused or not self.settings.enabled:
            return frozenset()
        threshold = self._mean * (2.0 - self.settings.stop_ratio)
        return frozenset(
            item.id for item in self._servers.values() if item.usable and self._utilization(item) < threshold
        )

    # Choice

    def choose_move(
        self, now: float, candidates: Sequence[Candidate], best_server: BestServer
    ) -> PlannedMove | None:
        """Choose and record a move from a sample of one source; None if there is none, see `skipped`."""
        eligible = []
        for candidate in candidates[: self.settings.sample_size]:
            reason = self._skip_reason(now, candidate)
            if reason is None:
                eligible.append(candidate)
            else:
                self.skipped[reason] += 1
        moving_group = self._group[0] if self._group is not None else None
        # First the group being moved, since each server that holds a part of it bears its cost. Then clients
        # not moved before: the sources of other balancers' moves are unknown here. Then the lowest cost.
        eligible.sort(
            key=lambda item: (
                moving_group is None or item.group != moving_group,
                item.came_back,
                self._cost(item),
            )
        )
        for candidate in eligible:
            planned = self._plan_move(candidate, best_server)
            if isinstance(planned, PlannedMove):
                self._record_move(now, planned, candidate.load)
                return planned
            self.skipped[planned] += 1
        if moving_group is not None and not any(item.group == moving_group for item in eligible):
            self._group = None
        return None

    def _skip_reason(self, now: float, candidate: Candidate) -> SkipReason | None:
        """Return why this client must not be moved now; None if it may be."""
        if not candidate.idle:
            return SkipReason.AWAITING_ANSWER
        if candidate.age < self.settings.min_age:
            return SkipReason.RECENTLY_PLACED
        earlier = self._recent_moves.get(candidate.key)
        if candidate.came_back and candidate.age < self.settings.return_cooldown:
            return SkipReason.RECENTLY_MOVED
        if earlier is not None and now - earlier.moved_at < self.settings.move_cooldown:
            return SkipReason.RECENTLY_MOVED
        lifetimes = self.lifetimes.get(candidate.cls)
        remaining = lifetimes.mean_remaining(candidate.age) if lifetimes is not None else None
        if remaining is not None and remaining < self.settings.min_remaining:
            return SkipReason.ENDING_SOON
        return None

    def _cost(self, candidate: Candidate) -> float:
        """Return the cost of a move per unit of load: the value lost by the client during the move.

        The cost is spread over the expected remaining time, and so lower for long-lived connections.
        """
        lifetimes = self.lifetimes.get(candidate.cls)
        remaining = lifetimes.mean_remaining(candidate.age) if lifetimes is not None else None
        fraction = (
            1.0
            if remaining is None
            else self.settings.min_remaining / max(remaining, self.settings.min_remaining)
        )
        return candidate.value * fraction / max(candidate.load, 0.05)

    def _plan_move(self, candidate: Candidate, best_server: BestServer) -> PlannedMove | SkipReason:
        source = self._servers.get(candidate.server)
        target_id = best_server(candidate.request_id)
        target = self._servers.get(target_id) if target_id is not None else None
        if source is None or target is None or target.id == source.id:
            return SkipReason.ALREADY_BEST
        if not target.usable or target.capacity <= 0.0:
            return SkipReason.ALREADY_BEST
        earlier = self._recent_moves.get(candidate.key)
        if earlier is not None and target.id in earlier.sources:
            return SkipReason.MOVED_FROM_TARGET
        # A group is moved only if all of it fits: each server that holds a part of it bears its cost.
        group_load = candidate.load * max(1, candidate.group_size)
        if candidate.group_size > 1 and self._utilization(target, group_load) >= self._utilization(source):
            return SkipReason.GROUP_TOO_LARGE
        # Prevents oscillation: the higher utilization of the two must drop by a fraction of the moved load.
        gain = self._utilization(source) - self._utilization(target, candidate.load)
        min_gain = MIN_GAIN_FRACTION * candidate.load / max(source.capacity, MIN_CAPACITY)
        if source.capacity > 0.0 and gain < min_gain:
            return SkipReason.NO_GAIN
        return PlannedMove(candidate.request_id, candidate.key, source.id, target.id, candidate.group, gain)

    def _add_load(self, ident: str, load: float) -> None:
        """Account for a move until the next observation."""
        server = self._servers[ident]
        self._servers[ident] = replace(server, load=max(0.0, server.load + load))

    def _record_move(self, now: float, planned: PlannedMove, load: float) -> None:
        earlier = self._recent_moves.pop(planned.key, None)
        sources = (*(earlier.sources if earlier is not None else ()), planned.source)[-4:]
        self._recent_moves[planned.key] = RecentMove(now, sources, planned.target)
        while len(self._recent_moves) > MAX_REMEMBERED_MOVES:
            self._recent_moves.popitem(last=False)
        self._group = (planned.group, planned.source) if planned.group is not None else None
        self._last_move_to[planned.target] = now
        self._add_load(planned.source, -load)
        self._add_load(planned.target, load)
        self.move_count += 1
        self.pace.record_move(now)

    # Notifications

    def _apply_signal(self, signal: Signal, now: float) -> bool:
        return self.pace.apply(signal, now)

    def on_established(self, now: float, key: int, server: str, set_up: float) -> Signal | None:
        """Handle an established connection; return its signal if it is the return of a moved client.

        `set_up` is the time from the client's return to UP, in ms.
        """
        move = self._recent_moves.get(key)
        if move is None or not move.awaiting_return:
            return None
        move.awaiting_return = False
        self.returns_by_server[server] += 1
        signal = Signal.RETURNED if set_up <= self.settings.return_deadline else Signal.SLOW_RETURN
        self._apply_signal(signal, now)
        return signal

    def on_refused(self, now: float, key: int, *, failed: bool = False) -> Signal | None:
        """Handle a refused or failed request; return its signal if it is of a moved client."""
        move = self._recent_moves.get(key)
        if (
            move is None
            or not move.awaiting_return
            or now - move.moved_at > 2.0 * self.settings.reservation_time
        ):
            return None
        signal = Signal.FAILED if failed else Signal.REFUSED
        self._apply_signal(signal, now)
        return signal

    def on_delay(self, now: float, server: str) -> Signal | None:
        """Handle delayed messages of a server; return a signal if it recently received moved clients."""
        last_move_at = self._last_move_to.get(server)
        if last_move_at is None or now - last_move_at > 2.0 * self.pace.settings.cooldown:
            return None
        self._apply_signal(Signal.DELAYED, now)
        return Signal.DELAYED

    def expire_returns(self, now: float) -> int:
        """Count moved clients that did not return here within twice the reservation time."""
        expired = 0
        for move in reversed(self._recent_moves.values()):
            if now - move.moved_at > 6.0 * self.settings.reservation_time:
                break  # older moves were handled in earlier rounds
            if move.awaiting_return and now - move.moved_at > 2.0 * self.settings.reservation_time:
                move.awaiting_return = False
                expired += 1
        self.not_returned += expired
        return expired

    def on_closed(self, cls: str, age: float, *, cut: bool) -> None:
        """Record the lifetime of a connection that ended at that age in ms; `cut` as for `Lifetimes`."""
        self.lifetimes.setdefault(cls, Lifetimes()).record(age, cut=cut)

    # Persistence

    def recent_moves(self, now: float) -> list[tuple[int, float, tuple[str, ...], str]]:
        """Return the clients in cooldown: key, ms since the move, sources, target."""
        return [
            (key, now - move.moved_at, move.sources, move.target)
            for key, move in self._recent_moves.items()
            if now - move.moved_at < self.settings.move_cooldown
        ]

    def restore(
        self, now: float, rate: float, moves: Iterable[tuple[int, float, tuple[str, ...], str]]
    ) -> None:
        """Continue from the state of another process, at its rate or the start rate if that is lower."""
        self.pace.rate = min(max(rate, self.settings.pace.min_rate), self.settings.pace.start_rate)
        for key, elapsed, sources, target in moves:
            if key not in self._recent_moves and 0.0 <= elapsed < self.settings.move_cooldown:
                self._recent_moves[key] = RecentMove(
                    now - elapsed, sources, target, awaiting_return=elapsed < self.settings.reservation_time
                )
