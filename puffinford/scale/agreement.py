"""Whether hollow and real balancers agree: same numbers, seeds, clients and story, seen from outside. Pure.

Judged by balancer: calls and bytes at the list service, lists taken, changes missed, the time until a change
is in force, and where clients were placed.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from puffinford.scale.propagation import PropagationStats


@dataclass(frozen=True)
class KindObservation:
    """What balancers of one kind came to; calls, bytes and lists are means a balancer."""

    calls: float
    sent: float  # bytes of answers
    told: PropagationStats
    placed: Mapping[int, Mapping[str, int]] = field(default_factory=dict)  # by balancer, by server


@dataclass(frozen=True)
class Bounds:
    """By how much they may differ. The time allows for loops of a busy machine; all else is counted."""

    calls: float = 0.1  # of the real ones' calls ...
    calls_least: float = 1.0  # ... or so many: a watch may end just before or after the last look
    sent: float = 0.1  # of the real ones' bytes
    lists: float = 0.1  # of the lists that the real ones took
    placed: float = 0.1  # of all placements, those at another server
    p99_ms: float = 1_000.0


class Disagreement(msgspec.Struct, frozen=True):
    """A figure in which they differ by more than its bound."""

    metric: str
    hollow: float
    real: float
    bound: float


def disagreements(
    hollow: KindObservation, real: KindObservation, bounds: Bounds | None = None
) -> list[Disagreement]:
    """All figures out of bounds; none where they agree."""
    bounds = bounds or Bounds()
    judged = [
        ("calls", hollow.calls, real.calls, max(bounds.calls_least, bounds.calls * real.calls)),
        ("sent", hollow.sent, real.sent, bounds.sent * real.sent),
        ("lists", hollow.told.lists, real.told.lists, bounds.lists * real.told.lists),
        ("missed", hollow.told.missed, real.told.missed, 0.0),
        ("older", hollow.told.older, real.told.older, 0.0),
        ("p99_ms", hollow.told.p99_ms, real.told.p99_ms, bounds.p99_ms),
        ("placed", _total(hollow), _total(real), bounds.placed * _total(real)),
        ("placed elsewhere", elsewhere(hollow.placed, real.placed), 0.0, bounds.placed),
    ]
    return [
        Disagreement(metric, round(ours, 3), round(theirs, 3), round(bound, 3))
        for metric, ours, theirs, bound in judged
        if abs(ours - theirs) > bound
    ]


def elsewhere(hollow: Mapping[int, Mapping[str, int]], real: Mapping[int, Mapping[str, int]]) -> float:
    """The part of placements that one kind made and the other did not, by balancer and server."""
    differ = total = 0
    for me in hollow.keys() | real.keys():
        ours, theirs = hollow.get(me, {}), real.get(me, {})
        for server in ours.keys() | theirs.keys():
            differ += abs(ours.get(server, 0) - theirs.get(server, 0))
            total += ours.get(server, 0) + theirs.get(server, 0)
    return differ / total if total else 0.0


def _total(observed: KindObservation) -> float:
    return float(sum(sum(counts.values()) for counts in observed.placed.values()))
