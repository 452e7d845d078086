"""How long changes took from the source until they were in force. Pure; times are Unix milliseconds."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from itertools import pairwise

import msgspec


@dataclass(frozen=True)
class VersionTimestamp:
    """A version that came into force at one balancer."""

    version: int
    at: float


@dataclass(frozen=True)
class OutagePeriod:
    """A time in which the source could not be reached."""

    begin: float
    end: float


class PropagationStats(msgspec.Struct, frozen=True, kw_only=True):
    """Over all changes at all balancers; times in ms from the change until it was in force.

    A change that came while the source could not be reached counts from when it could be; at a balancer that
    was started anew it counts from that start, unless it had been in force before.
    """

    balancers: int = 0
    changes: int = 0
    missed: int = 0  # changes that were never in force at a balancer, summed over balancers
    behind: int = 0  # balancers without the last change at the end
    older: int = 0  # times that an older version followed a newer one in a process
    lists: int = 0  # lists that were taken
    p50_ms: float = 0.0
    p99_ms: float = 0.0
    last_ms: float = 0.0


def measure_propagation(
    changes: Sequence[VersionTimestamp],
    taken: Mapping[int, Sequence[VersionTimestamp]],
    started: Mapping[int, Sequence[float]],
    outages: Sequence[OutagePeriod] = (),
) -> PropagationStats:
    """`changes` as the source made them, by version; `taken` of every balancer, in order of time.

    `started` holds the moments at which balancers were started anew.
    """
    delays: list[float] = []
    missed = behind = older = lists = 0
    since = [_reachable(change.at, outages) for change in changes]
    for me, rows in taken.items():
        starts = sorted(started.get(me, ()))
        lists += len(rows)
        older += _older(rows, starts)
        found = _delays(changes, since, rows, starts)
        missed += len(changes) - len(found)
        behind += len(found) < len(changes) or not _heard_since_start(rows, starts)
        delays += found
    delays.sort()
    return PropagationStats(
        balancers=len(taken),
        changes=len(changes),
        missed=missed,
        behind=behind,
        older=older,
        lists=lists,
        p50_ms=quantile(delays, 0.5),
        p99_ms=quantile(delays, 0.99),
        last_ms=round(delays[-1], 1) if delays else 0.0,
    )


def quantile(ordered: Sequence[float], part: float) -> float:
    """The value under which `part` of the ordered values lie (nearest rank); 0 where there are none."""
    if not ordered:
        return 0.0
    rank = -int(-part * len(ordered) // 1)  # rounded up
    return round(ordered[max(0, min(len(ordered), rank) - 1)], 1)


def _reachable(at: float, outages: Sequence[OutagePeriod]) -> float:
    for outage in outages:
        if outage.begin <= at < outage.end:
            return outage.end
    return at


def _older(rows: Sequence[VersionTimestamp], starts: Sequence[float]) -> int:
    """Rows of one process that tell an older version than the row before."""
    found = 0
    for before, after in pairwise(rows):
        same = bisect_right(starts, before.at) == bisect_right(starts, after.at)
        found += same and after.version < before.version
    return found


def _heard_since_start(rows: Sequence[VersionTimestamp], starts: Sequence[float]) -> bool:
    """Whether a balancer that was started anew has had a list since."""
    return not starts or (bool(rows) and rows[-1].at >= starts[-1])


def _delays(
    changes: Sequence[VersionTimestamp],
    since: Sequence[float],
    rows: Sequence[VersionTimestamp],
    starts: Sequence[float],
) -> list[float]:
    """Of the changes that came into force: the ms that each took."""
    found = []
    number = 0
    for change, from_when in zip(changes, since, strict=True):
        while number < len(rows) and rows[number].version < change.version:
            number += 1
        if number == len(rows):
            break
        at = rows[number].at
        start = bisect_right(starts, at)
        if start:
            from_when = max(from_when, starts[start - 1])
        found.append(max(0.0, at - from_when))
    return found
