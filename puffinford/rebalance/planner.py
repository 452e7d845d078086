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

from puffinford.rebalance.lives import Lives
from puffinford.rebalance.pace import Pace, PaceFigures, Signal

REMEMBERED = 20_000  # clients whose moves are remembered, by key
STRAINED = 0.25  # of the servers with own connections: with more than that nothing moves
LEAST_LOAD = 8.0  # own load, in mean connections, under which there is nothing to balance
GAIN_LEAST = (
    0.25  # of a connection's load: by so much less full the fuller of two servers must be after a move
)
NOISE = 0.5  # standard deviations of chance that are no imbalance
FLOOR = 0.02  # of its capacity: what a server is taken to be able to do at least


class Why(Enum):
    """Why a connection is not moved, or nothing is."""

    OFF = "switched off"
    PAUSED = "paused by an operator"
    BALANCED = "in balance"
    SETTLING = "out of balance for too short a time"
    STRAINED = "too many servers strained"
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
class Figures:
    """The operators' figures: ratios of load by capacity to the mean, times in ms."""

    enabled: bool = True
    start_at: float = 1.25  # the fullest server, or as far under the mean the emptiest: moving starts
    stop_at: float = 1.1  # and stops
    settle: float = 3_000.0  # out of balance for so long before it starts
    rest: float = 60_000.0  # a client that was moved is left alone for so long
    rest_back: float = 10_000.0  # one that came back, from a crash or another balancer's move, rests so long
    young: float = 3_000.0  # and a connection that was just placed
    hold: float = 2_500.0  # a place is kept for the return of its client
    in_time: float = 1_000.0  # a moved client that takes longer to come up had a slow return
    sample: int = 64  # connections of a server that are looked at in a round
    ending: float = 5_000.0  # one that has less than this left is left alone
    pace: PaceFigures = field(default_factory=PaceFigures)


@dataclass(frozen=True, slots=True)
class Place:
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

    job: str
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
class Planned:
    """One move."""

    job: str
    key: int
    source: str
    target: str
    group: int | None
    gain: float  # load by capacity: of the source before the move, less that of the target after it


@dataclass
class Moved:
    """What is remembered of a client that was moved."""

    at: float
    sources: tuple[str, ...]  # where it was before; it is not sent there again
    target: str
    waiting: bool = True  # it has not been seen since


Advise = Callable[[str], str | None]


class Planner:
    """One balancer's plan. `observe`, then `choose` where it says to."""

    def __init__(self, figures: Figures, rng: random.Random, balancers: int = 1) -> None:
        """`balancers` share the clients: of those that were moved, one in so many is seen again here."""
        self.figures = figures
        self.pace = Pace(figures.pace, rng, balancers)
        self.lives: dict[str, Lives] = {}
        self.moving = False
        self.paused = False
        self.ratio = 1.0  # how far the fullest or the emptiest server is off the mean, as a ratio over 1
        self.why = Why.BALANCED
        self.left_out: Counter[Why] = Counter()  # of the last round
        self.moves = 0
        self.landed: Counter[str] = Counter()  # by server, of the clients that came back here
        self.elsewhere = 0  # moved clients that were not seen here again
        self._rng = rng
        self._moved: OrderedDict[int, Moved] = OrderedDict()
        self._out_since: float | None = None
        self._places: dict[str, Place] = {}
        self._mean = 0.0
        self._chance = 0.0
        self._group: tuple[int, str] | None = None  # the group that is under way, and its source
        self._last_target: dict[str, float] = {}  # servers that took moved clients, and when

    def configure(self, figures: Figures) -> None:
        """Go on under other figures; what is remembered stays."""
        self.figures = figures
        self.pace.configure(figures.pace)

    # What is seen

    def observe(self, now: float, places: Iterable[Place]) -> Why | None:
        """Take in the servers as they are; None where a move is due now, else why not."""
        self._places = {place.id: place for place in places}
        self.left_out.clear()
        self.why = self._judge(now) or Why.PACE
        if self.why is not Why.PACE:
            return self.why
        return None if self.pace.due(now) else Why.PACE

    def _judge(self, now: float) -> Why | None:
        able = [place for place in self._places.values() if place.capacity > 0.0]
        load = sum(place.load for place in able)
        capacity = sum(place.capacity for place in able)
        self._mean = load / capacity if capacity else 0.0
        self._chance = self._noise(load / max(1, len(able)))
        self.ratio = self._imbalance(able)
        known = [place for place in able if place.connection_count]
        if known and sum(place.degraded for place in known) > max(1.0, STRAINED * len(known)):
            self._signal(Signal.STRAINED, now)
            self._out_since = None
            return Why.STRAINED
        if not self.figures.enabled:
            self.moving = False
            return Why.OFF
        if self.paused:
            return Why.PAUSED
        if load < LEAST_LOAD or len(able) < 2:
            self.moving = False
            return Why.FEW
        return self._in_band(now)

    def _imbalance(self, able: list[Place]) -> float:
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
        return NOISE * math.sqrt(max(0.0, 1.0 - 1.0 / self.pace.returns) / max(each, 1.0))

    def _in_band(self, now: float) -> Why | None:
        """Hysteresis: it starts over `start_at` and goes on until under `stop_at`."""
        if self.moving:
            if self.ratio > self.figures.stop_at + self._chance:
                return None
            self._stop()
            return Why.BALANCED
        if self.ratio <= self.figures.start_at + self._chance:
            self._out_since = None
            return Why.BALANCED
        if self._out_since is None:
            self._out_since = now
        if now - self._out_since < self.figures.settle:
            return Why.SETTLING
        self.moving = True
        return None

    def _stop(self) -> None:
        self.moving = False
        self._out_since = None
        self._group = None
        self.pace.rest()

    @staticmethod
    def _full(place: Place, more: float = 0.0) -> float:
        """Load by capacity, with `more` on it."""
        return (place.load + more) / max(place.capacity, FLOOR)

    def sources(self) -> list[Place]:
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

    def wanted(self) -> frozenset[str]:
        """The servers under the band, while it moves: where clients that come back are best placed."""
        if not self.moving or self.paused or not self.figures.enabled:
            return frozenset()
        line = self._mean * (2.0 - self.figures.stop_at)
        return frozenset(p.id for p in self._places.values() if p.usable and self._full(p) < line)

    # What is chosen

    def choose(self, now: float, candidates: Sequence[Candidate], advise: Advise) -> Planned | None:
        """The one to move of a source's sample; None where none is, with the reasons in `left_out`."""
        fit = []
        for candidate in candidates[: self.figures.sample]:
            why = self._spare(now, candidate)
            if why is None:
                fit.append(candidate)
            else:
                self.left_out[why] += 1
        under_way = self._group[0] if self._group is not None else None
        # Its group first, for every server that holds any of it pays. Then those that nobody has moved yet:
        # where another balancer moved one from is not known here. Then the least price for the load freed.
        fit.sort(key=lambda c: (under_way is None or c.group != under_way, c.came_back, self._price(c)))
        for candidate in fit:
            planned = self._plan(candidate, advise)
            if isinstance(planned, Planned):
                self._made(now, planned, candidate.load)
                return planned
            self.left_out[planned] += 1
        if under_way is not None and not any(c.group == under_way for c in fit):
            self._group = None
        return None

    def _spare(self, now: float, candidate: Candidate) -> Why | None:
        """Why this client is to be left alone."""
        if not candidate.quiet:
            return Why.BUSY
        if candidate.age < self.figures.young:
            return Why.YOUNG
        moved = self._moved.get(candidate.key)
        if candidate.came_back and candidate.age < self.figures.rest_back:
            return Why.RESTING
        if moved is not None and now - moved.at < self.figures.rest:
            return Why.RESTING
        lives = self.lives.get(candidate.cls)
        left = lives.remaining(candidate.age) if lives is not None else None
        if left is not None and left < self.figures.ending:
            return Why.ENDING
        return None

    def _price(self, candidate: Candidate) -> float:
        """What the move costs for the load that it frees: the worth of what its client loses meanwhile.

        A connection with long to live pays for its move over that time; one with little left hardly does.
        """
        lives = self.lives.get(candidate.cls)
        left = lives.remaining(candidate.age) if lives is not None else None
        share = 1.0 if left is None else self.figures.ending / max(left, self.figures.ending)
        return candidate.worth * share / max(candidate.load, 0.05)

    def _plan(self, candidate: Candidate, advise: Advise) -> Planned | Why:
        source = self._places.get(candidate.server)
        target_id = advise(candidate.job)
        target = self._places.get(target_id) if target_id is not None else None
        if source is None or target is None or target.id == source.id:
            return Why.BEST
        if not target.usable or target.capacity <= 0.0:
            return Why.BEST
        moved = self._moved.get(candidate.key)
        if moved is not None and target.id in moved.sources:
            return Why.BACK
        # A group goes whole, for each server that holds any of it pays: one that does not fit is not begun.
        whole = candidate.load * max(1, candidate.group_size)
        if candidate.group_size > 1 and self._full(target, whole) >= self._full(source):
            return Why.GROUP
        # The fuller of the two has to be less full after it, by a part of what is moved, or it may swing.
        gain = self._full(source) - self._full(target, candidate.load)
        least = GAIN_LEAST * candidate.load / max(source.capacity, FLOOR)
        if source.capacity > 0.0 and gain < least:
            return Why.NO_GAIN
        return Planned(candidate.job, candidate.key, source.id, target.id, candidate.group, gain)

    def _shift(self, ident: str, load: float) -> None:
        """What a move changes until the next look."""
        place = self._places[ident]
        self._places[ident] = replace(place, load=max(0.0, place.load + load))

    def _made(self, now: float, planned: Planned, load: float) -> None:
        earlier = self._moved.pop(planned.key, None)
        sources = (*(earlier.sources if earlier is not None else ()), planned.source)[-4:]
        self._moved[planned.key] = Moved(now, sources, planned.target)
        while len(self._moved) > REMEMBERED:
            self._moved.popitem(last=False)
        self._group = (planned.group, planned.source) if planned.group is not None else None
        self._last_target[planned.target] = now
        self._shift(planned.source, -load)
        self._shift(planned.target, load)
        self.moves += 1
        self.pace.made(now)

    # What is told

    def _signal(self, signal: Signal, now: float) -> bool:
        return self.pace.take(signal, now)

    def returned(self, now: float, key: int, server: str, set_up: float) -> Signal | None:
        """A client is up here that may be one that was moved; the signal that it gave.

        `set_up` is how long it took from its return to UP, in ms.
        """
        moved = self._moved.get(key)
        if moved is None or not moved.waiting:
            return None
        moved.waiting = False
        self.landed[server] += 1
        signal = Signal.RETURNED if set_up <= self.figures.in_time else Signal.SLOW_RETURN
        self._signal(signal, now)
        return signal

    def turned_away(self, now: float, key: int, *, failed: bool = False) -> Signal | None:
        """A client was refused here; the signal, where it is one that was moved."""
        moved = self._moved.get(key)
        if moved is None or not moved.waiting or now - moved.at > 2.0 * self.figures.hold:
            return None
        signal = Signal.FAILED if failed else Signal.REFUSED
        self._signal(signal, now)
        return signal

    def late(self, now: float, server: str) -> Signal | None:
        """Messages are late at a server; a signal where it took moved clients of late."""
        at = self._last_target.get(server)
        if at is None or now - at > 2.0 * self.pace.figures.cool:
            return None
        self._signal(Signal.LATE, now)
        return Signal.LATE

    def lost_sight(self, now: float) -> int:
        """Count the clients that went to other balancers, or away: not seen here for twice the hold."""
        gone = 0
        for moved in reversed(self._moved.values()):
            if now - moved.at > 6.0 * self.figures.hold:
                break  # those before it were looked at in earlier rounds
            if moved.waiting and now - moved.at > 2.0 * self.figures.hold:
                moved.waiting = False
                gone += 1
        self.elsewhere += gone
        return gone

    def ended(self, cls: str, age: float, *, cut: bool) -> None:
        """A connection ended at that age."""
        self.lives.setdefault(cls, Lives()).end(age, cut=cut)

    # What is kept over a restart

    def rests(self, now: float) -> list[tuple[int, float, tuple[str, ...], str]]:
        """The clients that still rest: key, ms since the move, where from, where to."""
        return [
            (key, now - moved.at, moved.sources, moved.target)
            for key, moved in self._moved.items()
            if now - moved.at < self.figures.rest
        ]

    def restore(
        self, now: float, rate: float, rests: Iterable[tuple[int, float, tuple[str, ...], str]]
    ) -> None:
        """Go on from what another process kept. It never moves faster than that one did."""
        self.pace.rate = min(max(rate, self.figures.pace.least), self.figures.pace.start)
        for key, since, sources, target in rests:
            if key not in self._moved and 0.0 <= since < self.figures.rest:
                self._moved[key] = Moved(now - since, sources, target, waiting=since < self.figures.hold)
