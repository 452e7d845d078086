"""The clients of `benchmarks.spread` in front of decision modules, in simulated time without processes."""

from __future__ import annotations

import heapq
import random
import statistics
from collections.abc import Mapping
from dataclasses import dataclass

from puffinford.stage.spread import Evenness, LoadSample, evenness
from puffinford.standins.fleet import Fleet

SAMPLE_INTERVAL_MS = 1_000.0
WARM_UP_MS = 3_000.0  # excluded from the result


@dataclass(frozen=True)
class ClientPopulation:
    """The clients: `standing` at a time on average, each for `lifetime_ms`, in `groups` groups (0: none)."""

    balancers: int
    servers: int
    standing: int
    lifetime_ms: float = 6_000.0
    groups: int = 0
    busy: Mapping[int, float] | None = None  # relative share of arrivals by balancer number, 1.0 by default


def simulate(population: ClientPopulation, seed: int, seconds: float) -> tuple[Evenness | None, Fleet]:
    """Simulate the population for `seconds`; return the evenness of the load and the fleet at the end."""
    fleet = Fleet(
        population.servers,
        population.balancers,
        seed,
        warm_capacity=population.standing * 4 / 3 / population.servers,
    )
    rng = random.Random(seed ^ 0x5B)
    weights = [(population.busy or {}).get(balancer, 1.0) for balancer in range(population.balancers)]
    ends: list[tuple[float, str]] = []
    samples: list[LoadSample] = []
    started_at, next_arrival, next_sample = fleet.now, fleet.now, fleet.now + WARM_UP_MS
    while next_arrival < started_at + seconds * 1_000.0:
        next_arrival += rng.expovariate(population.standing / population.lifetime_ms)
        while (ends and ends[0][0] <= min(next_arrival, next_sample)) or next_sample <= next_arrival:
            if ends and ends[0][0] <= next_sample:
                at, connection_id = heapq.heappop(ends)
                fleet.advance(max(fleet.now, at))
                fleet.leave(connection_id)
                continue
            fleet.advance(next_sample)
            held = fleet.connections_by_server()
            samples.append(
                LoadSample(next_sample - started_at, tuple(held[server.id] for server in fleet.servers))
            )
            next_sample += SAMPLE_INTERVAL_MS
        fleet.advance(next_arrival)
        group = rng.randrange(population.groups) * 0x9E3779B97F4A7C15 if population.groups else None
        placed = fleet.place(group, rng.choices(range(population.balancers), weights)[0])
        if placed is not None:
            heapq.heappush(ends, (next_arrival + rng.expovariate(1.0 / population.lifetime_ms), placed))
    return evenness(samples, [1.0] * population.servers), fleet


def mean(population: ClientPopulation, seeds: range, seconds: float = 12.0) -> dict[str, float]:
    """Return means over the seeds and the maximum of `worst`; `us` is the processor time of an event."""
    found, us = [], []
    for seed in seeds:
        result, fleet = simulate(population, seed, seconds)
        us.append(1e6 * fleet.cpu_seconds / max(1, fleet.event_count))
        if result is not None:
            found.append(result)
    return {
        "fullest": statistics.mean(result.highest_ratio for result in found),
        "emptiest": statistics.mean(result.lowest_ratio for result in found),
        "worst": max(result.worst_window_ratio for result in found),
        "chance": statistics.mean(result.random_highest_ratio for result in found),
        "us": statistics.mean(us),
    }
