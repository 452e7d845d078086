"""The crowds of `benchmarks.spread` before decision modules in settable time: no process, no link, seeded."""

from __future__ import annotations

import heapq
import random
import statistics
from collections.abc import Mapping
from dataclasses import dataclass

from puffinford.stage.spread import Evenness, Second, evenness
from puffinford.standins.fleet import Fleet

STEP = 1_000.0  # ms between looks
WARM = 3_000.0  # ms that are not judged


@dataclass(frozen=True)
class Crowd:
    """Who comes: `standing` clients on average, each for `life` ms, in so many groups (0: none)."""

    balancers: int
    servers: int
    standing: int
    life: float = 6_000.0
    groups: int = 0
    busy: Mapping[int, float] | None = None  # balancers that get so many times the others' part


def played(crowd: Crowd, seed: int, seconds: float) -> tuple[Evenness | None, Fleet]:
    """The crowd for so many seconds; how evenly it stood, and the fleet as it was in the end."""
    fleet = Fleet(crowd.servers, crowd.balancers, seed, warm_capacity=crowd.standing * 4 / 3 / crowd.servers)
    rng = random.Random(seed ^ 0x5B)
    weights = [(crowd.busy or {}).get(me, 1.0) for me in range(crowd.balancers)]
    ends: list[tuple[float, str]] = []
    seen: list[Second] = []
    began, due, look = fleet.now, fleet.now, fleet.now + WARM
    while due < began + seconds * 1_000.0:
        due += rng.expovariate(crowd.standing / crowd.life)
        while (ends and ends[0][0] <= min(due, look)) or look <= due:
            if ends and ends[0][0] <= look:
                at, ident = heapq.heappop(ends)
                fleet.advance(max(fleet.now, at))
                fleet.leave(ident)
                continue
            fleet.advance(look)
            held = fleet.connections_by_server()
            seen.append(Second(look - began, tuple(held[server.id] for server in fleet.servers)))
            look += STEP
        fleet.advance(due)
        group = rng.randrange(crowd.groups) * 0x9E3779B97F4A7C15 if crowd.groups else None
        placed = fleet.place(group, rng.choices(range(crowd.balancers), weights)[0])
        if placed is not None:
            heapq.heappush(ends, (due + rng.expovariate(1.0 / crowd.life), placed))
    return evenness(seen, [1.0] * crowd.servers), fleet


def mean(crowd: Crowd, seeds: range, seconds: float = 12.0) -> dict[str, float]:
    """The means over some seeds; `worst` is the highest, `us` the processor time of one event."""
    found, us = [], []
    for seed in seeds:
        even, fleet = played(crowd, seed, seconds)
        us.append(1e6 * fleet.cpu_seconds / max(1, fleet.event_count))
        if even is not None:
            found.append(even)
    return {
        "fullest": statistics.mean(even.fullest for even in found),
        "emptiest": statistics.mean(even.emptiest for even in found),
        "worst": max(even.worst for even in found),
        "chance": statistics.mean(even.chance for even in found),
        "us": statistics.mean(us),
    }
