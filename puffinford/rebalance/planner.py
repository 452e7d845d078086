"""Which standing connections to move, and whether now. No I/O, no clock: times are given, in ms.

It sees servers and a sample of connections, and is told what became of those that it moved. Where one goes is
asked of the module; see docs/design-rebalance.md.
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

MAX_REMEMBERED_MOVES = 20_000  # clients whose moves are remembered, by key
MAX_DEGRADED_FRACTION = 0.25  # of the servers with own connections: with more than that nothing moves
MIN_LOAD = 8.0  # own load, in mean connections, under which there is nothing to balance
MIN_GAIN_FRACTION = (
    0.25  # of a connection's load: by so much less full the fuller of two servers must be after a move
)
NOISE_STANDARD_DEVIATIONS = 0.5  # standard deviations of chance that are no imbalance
MIN_CAPACITY = 0.02  # of its capacity: what a server is taken to be able to do at least


class SkipReason(Enum):
    """Why a connection is not moved, or nothing is."""

    OFF = "switched off"
    PAUSED = "paused by an operator"
    BALANCED = "in balance"
    SETTLING = "out of balance for too short a time"
    DEGRADED = "too many servers strained"
    PACE = "the next move is not due"
    FEW = "too few connections to judge"
    BUSY = "a line is unanswered"
    RESTING = "its client was moved a short while ago"
    YOUNG = "it has just been placed"
    ENDING = "it will soon end by itself"
    BEST = "the module would not place it elsewhere"
    BACK = "it came from there"
    NO_GAIN = "its target would be as full"
    GROUP = "its group does not fit anywhere"


@dataclass(frozen=True)
class PlannerSettings:
    """The operators' settings: ratios of load by capacity to the mean, times in ms."""

    enabled: bool = True
    start_ratio: float = 1.25  # the fullest server, or as far under the mean the emptiest: moving starts
    stop_ratio: float = 1.1  # and stops
    settle_time: float = 3_000.0  # out of balance for so long before it starts
    move_cooldown: float = 60_000.0  # a client that was moved is left alone for so long
    return_cooldown: float = (
        10_000.0  # one that came back, from a crash or another balancer's move, rests so long
    )
    min_age: float = 3_000.0  # and a connection that was just placed
    reservation_time: float = 2_500.0  # a place is kept for the return of its client
    return_deadline: float = 1_000.0  # a moved client that takes longer to come up had a slow return
    sample_size: int = 64  # connections of a server that are looked at in a round
    min_remaining: float = 5_000.0  # one that has less than this left is left alone
    pace: PaceSettings = field(default_factory=PaceSettings)


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """A server as the module sees it. Loads are own ones, in mean connections."""

    id: str
    load: float  # with what groups cost
    capacity: float  # by size and warmth, in any one unit; 0 where it is out
    usable: bool = True  # a target at all: open, reachable, not slow, with room
    degraded: bool = False
    connection_count: int = 0


@dataclass(frozen=True, slots=True)
class Candidate:
    """A standing connection."""

    request_id: str
    key: int
    server: str
    cls: str
    worth: float  # of a second of it
    load: float
    age: float  # since it was placed
    group: int | None = None
    quiet: bool = True  # no line waits for an answer
    came_back: bool = False  # its client had been moved or cut off before, perhaps at another balancer
    group_size: int = 0  # own connections of its group at the same server, itself among them


@dataclass(frozen=True, slots=True)
class PlannedMove:
    """One move."""

    request_id: str
    key: int
    source: str
    target: str
    group: int | None
    gain: float  # load by capacity: of the source before the move, less that of the target after it


@dataclass
class RecentMove:
    """What is remembered of a client that was moved."""

    moved_at: float
    sources: tuple[str, ...]  # where it was before; it is not sent there again
    target: str
    awaiting_return: bool = True  # it has not been seen since


Advise = Callable[[str], str | None]


class Planner:
    """One balancer's plan. `observe`, then `choose_move` where it says to."""

    def __init__(self, settings: PlannerSettings, rng: random.Random, balancers: int = 1) -> None:
        """`balancers` share the clients: of those that were moved, one in so many is seen again here."""
        self.settings = settings
        self.pace = Pace(settings.pace, rng, balancers)
        self.lifetimes: dict[str, Lifetimes] = {}
        self.moving = False
        self.paused = False
        self.imbalance = 1.0  # how far the fullest or the emptiest server is off the mean, as a ratio over 1
        self.reason = SkipReason.BALANCED
        self.skipped: Counter[SkipReason] = Counter()  # of the last round
        self.moves = 0
        self.returns_by_server: Counter[str] = Counter()  # by server, of the clients that came back here
        self.not_returned = 0  # moved clients that were not seen here again
        self._rng = rng
        self._moved: OrderedDict[int, RecentMove] = OrderedDict()
        self._out_since: float | None = None
        self._places: dict[str, ServerLoad] = {}
        self._mean = 0.0
        self._chance = 0.0
        self._group: tuple[int, str] | None = None  # the group that is under way, and its source
        self._last_target: dict[str, float] = {}  # servers that took moved clients, and when

    def configure(self, settings: PlannerSettings) -> None:
        """Go on under other settings; what is remembered stays."""
        self.settings = settings
        self.pace.configure(settings.pace)

    # What is seen

    def observe(self, now: float, places: Iterable[ServerLoad]) -> SkipReason | None:
        """Take in the servers as they are; None where a move is due now, else why not."""
        self._places = {place.id: place for place in places}
        self.skipped.clear()
        self.reason = self._judge(now) or SkipReason.PACE
        if self.reason is not SkipReason.PACE:
            return self.reason
        return None if self.pace.is_due(now) else SkipReason.PACE

    def _judge(self, now: float) -> SkipReason | None:
        able = [place for place in self._places.values() if place.capacity > 0.0]
        load = sum(place.load for place in able)
        capacity = sum(place.capacity for place in able)
        self._mean = load / capacity if capacity else 0.0
        self._chance = self._noise(load / max(1, len(able)))
        self.imbalance = self._imbalance(able)
        known = [place for place in able if place.connection_count]
        if known and sum(place.degraded for place in known) > max(1.0, MAX_DEGRADED_FRACTION * len(known)):
            self._signal(Signal.DEGRADED, now)
            self._out_since = None
            return SkipReason.DEGRADED
        if not self.settings.enabled:
            self.moving = False
            return SkipReason.OFF
        if self.paused:
            return SkipReason.PAUSED
        if load < MIN_LOAD or len(able) < 2:
            self.moving = False
            return SkipReason.FEW
        return self._in_band(now)

    def _imbalance(self, able: list[ServerLoad]) -> float:
        """The fullest server over the mean, or as far as the emptiest that can be moved to lies under it.

        Guards the few that restart among many: with two of ten empty the fullest is only 1.25 times the mean.
        """
        if not self._mean:
            return 1.0
        most = max(map(self._full, able)) / self._mean
        least = min((self._full(place) for place in able if place.usable), default=self._mean) / self._mean
        return max(most, 2.0 - least)

    def _noise(self, each: float) -> float:
        """How far one server's own load is over the mean by chance alone, as a part of the mean.

        Guards against moves that serve nobody: of clients spread evenly a balancer sees a sample,
        and a sample of n is off by the root of n. A balancer that is alone sees all.
        """
        return NOISE_STANDARD_DEVIATIONS * math.sqrt(
            max(0.0, 1.0 - 1.0 / self.pace.return_weight) / max(each, 1.0)
        )

    def _in_band(self, now: float) -> SkipReason | None:
        """Hysteresis: it starts over `start_at` and goes on until under `stop_at`."""
        if self.moving:
            if self.imbalance > self.settings.stop_ratio + self._chance:
                return None
            self._stop()
            return SkipReason.BALANCED
        if self.imbalance <= self.settings.start_ratio + self._chance:
            self._out_since = None
            return SkipReason.BALANCED
        if self._out_since is None:
            self._out_since = now
        if now - self._out_since < self.settings.settle_time:
            return SkipReason.SETTLING
        self.moving = True
        return None

    def _stop(self) -> None:
        self.moving = False
        self._out_since = None
        self._group = None
        self.pace.reset_rate()

    @staticmethod
    def _full(place: ServerLoad, more: float = 0.0) -> float:
        """Load by capacity, with `more` on it."""
        return (place.load + more) / max(place.capacity, MIN_CAPACITY)

    def sources(self) -> list[ServerLoad]:
        """The servers over the mean, fullest first, the one whose group is under way before all."""
        line = self._mean * (1.0 + self._chance / 2.0)
        over = [
            p
            for p in self._places.values()
            if p.connection_count and (self._full(p) > line or p.capacity <= 0.0)
        ]
        over.sort(key=self._full, reverse=True)
        if self._group is not None:
            over.sort(key=lambda place: place.id != self._group[1])  # type: ignore[index]
        return over

    def underloaded(self) -> frozenset[str]:
        """The servers under the band, while it moves: where clients that come back are best placed."""
        if not self.moving or self.paused or not self.settings.enabled:
            return frozenset()
        line = self._mean * (2.0 - self.settings.stop_ratio)
        return frozenset(p.id for p in self._places.values() if p.usable and self._full(p) < line)

    # What is chosen

    def choose_move(self, now: float, candidates: Sequence[Candidate], advise: Advise) -> PlannedMove | None:
        """The one to move of a source's sample; None where none is, with the reasons in `skipped`."""
        fit = []
        for candidate in candidates[: self.settings.sample_size]:
            why = self._spare(now, candidate)
            if why is None:
                fit.append(candidate)
            else:
                self.skipped[why] += 1
        under_way = self._group[0] if self._group is not None else None
        # Its group first, for every server that holds any of it pays. Then those that nobody has moved yet:
        # where another balancer moved one from is not known here. Then the least price for the load freed.
        fit.sort(key=lambda c: (under_way is None or c.group != under_way, c.came_back, self._price(c)))
        for candidate in fit:
            planned = self._plan(candidate, advise)
            if isinstance(planned, PlannedMove):
                self._made(now, planned, candidate.load)
                return planned
            self.skipped[planned] += 1
        if under_way is not None and not any(c.group == under_way for c in fit):
            self._group = None
        return None

    def _spare(self, now: float, candidate: Candidate) -> SkipReason | None:
        """SkipReason this client is to be left alone."""
        if not candidate.quiet:
            return SkipReason.BUSY
        if candidate.age < self.settings.min_age:
            return SkipReason.YOUNG
        moved = self._moved.get(candidate.key)
        if candidate.came_back and candidate.age < self.settings.return_cooldown:
            return SkipReason.RESTING
        if moved is not None and now - moved.moved_at < self.settings.move_cooldown:
            return SkipReason.RESTING
        lives = self.lifetimes.get(candidate.cls)
        left = lives.mean_remaining(candidate.age) if lives is not None else None
        if left is not None and left < self.settings.min_remaining:
            return SkipReason.ENDING
        return None

    def _price(self, candidate: Candidate) -> float:
        """What the move costs for the load that it frees: the worth of what its client loses meanwhile.

        A connection with long to live pays for its move over that time; one with little left hardly does.
        """
        lives = self.lifetimes.get(candidate.cls)
        left = lives.mean_remaining(candidate.age) if lives is not None else None
        share = 1.0 if left is None else self.settings.min_remaining / max(left, self.settings.min_remaining)
        return candidate.worth * share / max(candidate.load, 0.05)

    def _plan(self, candidate: Candidate, advise: Advise) -> PlannedMove | SkipReason:
        source = self._places.get(candidate.server)
        target_id = advise(candidate.request_id)
        target = self._places.get(target_id) if target_id is not None else None
        if source is None or target is None or target.id == source.id:
            return SkipReason.BEST
        if not target.usable or target.capacity <= 0.0:
            return SkipReason.BEST
        moved = self._moved.get(candidate.key)
        if moved is not None and target.id in moved.sources:
            return SkipReason.BACK
        # A group goes whole, for each server that holds any of it pays: one that does not fit is not begun.
        whole = candidate.load * max(1, candidate.group_size)
        if candidate.group_size > 1 and self._full(target, whole) >= self._full(source):
            return SkipReason.GROUP
        # The fuller of the two has to be less full after it, by a part of what is moved, or it may swing.
        gain = self._full(source) - self._full(target, candidate.load)
        least = MIN_GAIN_FRACTION * candidate.load / max(source.capacity, MIN_CAPACITY)
        if source.capacity > 0.0 and gain < least:
            return SkipReason.NO_GAIN
        return PlannedMove(candidate.request_id, candidate.key, source.id, target.id, candidate.group, gain)

    def _shift(self, ident: str, load: float) -> None:
        """What a move changes until the next look."""
        place = self._places[ident]
        self._places[ident] = replace(place, load=max(0.0, place.load + load))

    def _made(self, now: float, planned: PlannedMove, load: float) -> None:
        earlier = self._moved.pop(planned.key, None)
        sources = (*(earlier.sources if earlier is not None else ()), planned.source)[-4:]
        self._moved[planned.key] = RecentMove(now, sources, planned.target)
        while len(self._moved) > MAX_REMEMBERED_MOVES:
            self._moved.popitem(last=False)
        self._group = (planned.group, planned.source) if planned.group is not None else None
        self._last_target[planned.target] = now
        self._shift(planned.source, -load)
        self._shift(planned.target, load)
        self.moves += 1
        self.pace.record_move(now)

    # What is told

    def _signal(self, signal: Signal, now: float) -> bool:
        return self.pace.apply(signal, now)

    def on_established(self, now: float, key: int, server: str, set_up: float) -> Signal | None:
        """A client is up here that may be one that was moved; the signal that it gave.

        `set_up` is how long it took from its return to UP, in ms.
        """
        moved = self._moved.get(key)
        if moved is None or not moved.awaiting_return:
            return None
        moved.awaiting_return = False
        self.returns_by_server[server] += 1
        signal = Signal.RETURNED if set_up <= self.settings.return_deadline else Signal.SLOW_RETURN
        self._signal(signal, now)
        return signal

    def on_refused(self, now: float, key: int, *, failed: bool = False) -> Signal | None:
        """A client was refused here; the signal, where it is one that was moved."""
        moved = self._moved.get(key)
        if (
            moved is None
            or not moved.awaiting_return
            or now - moved.moved_at > 2.0 * self.settings.reservation_time
        ):
            return None
        signal = Signal.FAILED if failed else Signal.REFUSED
        self._signal(signal, now)
        return signal

    def on_delay(self, now: float, server: str) -> Signal | None:
        """Messages are late at a server; a signal where it took moved clients of late."""
        at = self._last_target.get(server)
        if at is None or now - at > 2.0 * self.pace.settings.cooldown:
            return None
        self._signal(Signal.DELAYED, now)
        return Signal.DELAYED

    def expire_returns(self, now: float) -> int:
        """Count the clients that went to other balancers, or away: not seen here for twice the hold."""
        gone = 0
        for moved in reversed(self._moved.values()):
            if now - moved.moved_at > 6.0 * self.settings.reservation_time:
                break  # those before it were looked at in earlier rounds
            if moved.awaiting_return and now - moved.moved_at > 2.0 * self.settings.reservation_time:
                moved.awaiting_return = False
                gone += 1
        self.not_returned += gone
        return gone

    def on_closed(self, cls: str, age: float, *, cut: bool) -> None:
        """A connection ended at that age."""
        self.lifetimes.setdefault(cls, Lifetimes()).record(age, cut=cut)

    # What is kept over a restart

    def recent_moves(self, now: float) -> list[tuple[int, float, tuple[str, ...], str]]:
        """The clients that still rest: key, ms since the move, where from, where to."""
        return [
            (key, now - moved.moved_at, moved.sources, moved.target)
            for key, moved in self._moved.items()
            if now - moved.moved_at < self.settings.move_cooldown
        ]

    def restore(
        self, now: float, rate: float, rests: Iterable[tuple[int, float, tuple[str, ...], str]]
    ) -> None:
        """Go on from what another process kept. It never moves faster than that one did."""
        self.pace.rate = min(max(rate, self.settings.pace.min_rate), self.settings.pace.start_rate)
        for key, since, sources, target in rests:
            if key not in self._moved and 0.0 <= since < self.settings.move_cooldown:
                self._moved[key] = RecentMove(
                    now - since, sources, target, awaiting_return=since < self.settings.reservation_time
                )
