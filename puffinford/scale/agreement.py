"""Compares hollow with real balancers that ran with the same numbers, seeds, clients and story. No I/O.

Compared are calls and bytes at the list service, lists applied, changes missed, the time until a change is
applied, and the servers on which clients were placed.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from puffinford.scale.propagation import PropagationStats


@dataclass(frozen=True)
class KindObservation:
    """Measurements of the balancers of one kind, hollow or real; calls and bytes are means per balancer."""

    calls: float
    sent_bytes: float  # of the list service's answers
    propagation: PropagationStats
    # Established connections by balancer and server.
    placed: Mapping[int, Mapping[str, int]] = field(default_factory=dict)


@dataclass(frozen=True)
class Bounds:
    """The largest accepted differences; ratios are relative to the value of the real balancers."""

    calls_ratio: float = 0.1
    min_calls: float = 1.0  # lower limit of the bound; a watch may end just before or after the last snapshot
    sent_ratio: float = 0.1
    lists_ratio: float = 0.1
    placed_ratio: float = 0.1
    p99_ms: float = 1_000.0  # absolute; allows for late event loops on a busy host


class Disagreement(msgspec.Struct, frozen=True):
    """A metric that differs by more than its bound."""

    metric: str
    hollow: float
    real: float
    bound: float


def disagreements(
    hollow: KindObservation, real: KindObservation, bounds: Bounds | None = None
) -> list[Disagreement]:
    """Return the metrics that are out of bounds; empty if the two kinds agree."""
    bounds = bounds or Bounds()
    comparisons = [
        ("calls", hollow.calls, real.calls, max(bounds.min_calls, bounds.calls_ratio * real.calls)),
        ("sent", hollow.sent_bytes, real.sent_bytes, bounds.sent_ratio * real.sent_bytes),
        (
            "lists",
            hollow.propagation.lists,
            real.propagation.lists,
            bounds.lists_ratio * real.propagation.lists,
        ),
        ("missed", hollow.propagation.missed, real.propagation.missed, 0.0),
        ("older", hollow.propagation.older, real.propagation.older, 0.0),
        ("p99_ms", hollow.propagation.p99_ms, real.propagation.p99_ms, bounds.p99_ms),
        ("placed", _total_placed(hollow), _total_placed(real), bounds.placed_ratio * _total_placed(real)),
        ("placed elsewhere", placement_difference(hollow.placed, real.placed), 0.0, bounds.placed_ratio),
    ]
    return [
        Disagreement(metric, round(hollow_value, 3), round(real_value, 3), round(bound, 3))
        for metric, hollow_value, real_value, bound in comparisons
        if abs(hollow_value - real_value) > bound
    ]


def placement_difference(
    hollow: Mapping[int, Mapping[str, int]], real: Mapping[int, Mapping[str, int]]
) -> float:
    """Return the fraction of placements, by balancer and server, that only one of the kinds made."""
    differing = total = 0
    for number in hollow.keys() | real.keys():
        hollow_counts, real_counts = hollow.get(number, {}), real.get(number, {})
        for server in hollow_counts.keys() | real_counts.keys():
            differing += abs(hollow_counts.get(server, 0) - real_counts.get(server, 0))
            total += hollow_counts.get(server, 0) + real_counts.get(server, 0)
    return differing / total if total else 0.0


def _total_placed(observation: KindObservation) -> float:
    return float(sum(sum(counts.values()) for counts in observation.placed.values()))
