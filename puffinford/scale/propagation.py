"""Statistics of how long list changes took from the list service to the balancers. No I/O."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from itertools import pairwise

import msgspec


@dataclass(frozen=True)
class VersionTimestamp:
    """A list version, and when it was published by the source or applied by a balancer."""

    version: int
    at_ms: float  # Unix time


@dataclass(frozen=True)
class OutagePeriod:
    """A period in which the source was unreachable, in Unix ms."""

    begin_ms: float
    end_ms: float


class PropagationStats(msgspec.Struct, frozen=True, kw_only=True):
    """Propagation times from a change until it was applied, over all changes and balancers.

    A change made during an outage of the source is timed from the end of the outage; one applied after a
    restart of the balancer, from that restart at the earliest.
    """

    balancers: int = 0
    changes: int = 0
    missed: int = 0  # changes that a balancer never applied, summed over balancers
    behind: int = 0  # balancers that had not applied the last change at the end
    older: int = 0  # times that a balancer went back to an older version without a restart
    lists: int = 0  # lists that were applied
    p50_ms: float = 0.0
    p99_ms: float = 0.0
    last_ms: float = 0.0  # the longest


def measure_propagation(
    changes: Sequence[VersionTimestamp],
    applied: Mapping[int, Sequence[VersionTimestamp]],
    restarted_at: Mapping[int, Sequence[float]],
    outages: Sequence[OutagePeriod] = (),
) -> PropagationStats:
    """Return statistics of `changes`, in order of their versions.

    `applied` holds each balancer's versions in order of time, `restarted_at` its restarts in Unix ms.
    """
    delays: list[float] = []
    missed = behind = older = lists = 0
    counted_from = [_reachable_at(change.at_ms, outages) for change in changes]
    for number, rows in applied.items():
        starts = sorted(restarted_at.get(number, ()))
        lists += len(rows)
        older += _count_regressions(rows, starts)
        found = _delays(changes, counted_from, rows, starts)
        missed += len(changes) - len(found)
        behind += len(found) < len(changes) or not _has_list_since_start(rows, starts)
        delays += found
    delays.sort()
    return PropagationStats(
        balancers=len(applied),
        changes=len(changes),
        missed=missed,
        behind=behind,
        older=older,
        lists=lists,
        p50_ms=quantile(delays, 0.5),
        p99_ms=quantile(delays, 0.99),
        last_ms=round(delays[-1], 1) if delays else 0.0,
    )


def quantile(ordered: Sequence[float], fraction: float) -> float:
    """Return the quantile of ordered values by the nearest-rank method; 0 if there are none."""
    if not ordered:
        return 0.0
    rank = -int(-fraction * len(ordered) // 1)  # rounded up
    return round(ordered[max(0, min(len(ordered), rank) - 1)], 1)


def _reachable_at(at_ms: float, outages: Sequence[OutagePeriod]) -> float:
    for outage in outages:
        if outage.begin_ms <= at_ms < outage.end_ms:
            return outage.end_ms
    return at_ms


def _count_regressions(rows: Sequence[VersionTimestamp], starts: Sequence[float]) -> int:
    """Count the rows with an older version than the row before, within one run of the balancer."""
    found = 0
    for before, after in pairwise(rows):
        same_run = bisect_right(starts, before.at_ms) == bisect_right(starts, after.at_ms)
        found += same_run and after.version < before.version
    return found


def _has_list_since_start(rows: Sequence[VersionTimestamp], starts: Sequence[float]) -> bool:
    """Return whether a balancer has applied a list since its last restart, if any."""
    return not starts or (bool(rows) and rows[-1].at_ms >= starts[-1])


def _delays(
    changes: Sequence[VersionTimestamp],
    counted_from: Sequence[float],
    rows: Sequence[VersionTimestamp],
    starts: Sequence[float],
) -> list[float]:
    """Return the propagation times, in ms, of the changes that were applied."""
    found = []
    index = 0
    for change, start_ms in zip(changes, counted_from, strict=True):
        while index < len(rows) and rows[index].version < change.version:
            index += 1
        if index == len(rows):
            break
        at_ms = rows[index].at_ms
        restarts = bisect_right(starts, at_ms)
        if restarts:
            start_ms = max(start_ms, starts[restarts - 1])
        found.append(max(0.0, at_ms - start_ms))
    return found
