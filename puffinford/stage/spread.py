"""How evenly connections are spread over the servers, calculated from a trace. No I/O.

A connection counts as its client sees it: from its UP to its end.
"""

from __future__ import annotations

import random
import statistics
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from puffinford.standins.servers import SERVING_STATES
from puffinford.standins.trace import EventKind, Trace

CONNECTION_ENDS = (EventKind.DONE, EventKind.MOVED, EventKind.CUT_OFF)
WINDOW_MS = 5_000.0  # of `Evenness.worst_window_ratio`
MIN_MEAN_CONNECTIONS = 30.0  # per server; below it a server may be idle by chance
FULL_FRACTION = 0.9  # of the capacity in use, from which a refusal is justified
IDLE_GRACE_MS = 2_000.0  # within which a usable server should get its first client


@dataclass(frozen=True)
class LoadSample:
    """Open connections at one moment (ms of the trace), in the order of the servers."""

    at: float
    connections: tuple[int, ...]


def sample_loads(
    trace: Trace, servers: Sequence[str], since: float, until: float, step: float = 1_000.0
) -> list[LoadSample]:
    """Sample the open connections of each server every `step` ms between two times of the trace (ms)."""
    open_connections: Counter[str] = Counter()
    samples, due = [], since

    def sample_until(at: float) -> None:
        nonlocal due
        while due <= min(at, until):
            samples.append(LoadSample(due, tuple(open_connections[server] for server in servers)))
            due += step

    for entry in trace.of(EventKind.UP, *CONNECTION_ENDS):
        sample_until(entry.at)
        open_connections[entry.server] += 1 if entry.kind is EventKind.UP else -1
    sample_until(until)
    return samples


@dataclass(frozen=True)
class Evenness:
    """Ratios of the connections of servers to the share that their weights give them; 1.0 is even.

    `highest_ratio` and `lowest_ratio` are means over all samples of the highest and lowest ratio of a sample,
    `worst_window_ratio` is the highest mean of any server over any window of WINDOW_MS, and
    `random_highest_ratio` the `highest_ratio` of random placement.
    """

    highest_ratio: float
    lowest_ratio: float
    worst_window_ratio: float
    random_highest_ratio: float
    mean_connections: float  # per server


def evenness(samples: Sequence[LoadSample], weights: Sequence[float]) -> Evenness | None:
    """Calculate the evenness of samples, by weight of the servers; None if no sample has a connection."""
    nonempty = [sample for sample in samples if sum(sample.connections)]
    if not nonempty:
        return None
    expected_shares = [weight / sum(weights) for weight in weights]
    ratios = [
        [
            count / (sum(sample.connections) * share)
            for count, share in zip(sample.connections, expected_shares, strict=True)
        ]
        for sample in nonempty
    ]
    window = max(1, round(WINDOW_MS / (nonempty[1].at - nonempty[0].at))) if len(nonempty) > 1 else 1
    worst = 0.0
    for column in zip(*ratios, strict=True):
        windows = [column[n : n + window] for n in range(max(1, len(column) - window + 1))]
        worst = max([worst, *(statistics.mean(span) for span in windows)])
    total = statistics.mean(sum(sample.connections) for sample in nonempty)
    return Evenness(
        statistics.mean(map(max, ratios)),
        statistics.mean(map(min, ratios)),
        worst,
        random_placement_ratio(round(total), weights, random.Random(1)),
        total / len(weights),
    )


def random_placement_ratio(
    total: int, weights: Sequence[float], rng: random.Random, draws: int = 200
) -> float:
    """Return the mean of the highest ratio when `total` connections are placed at random, by weight."""
    expected_shares = [weight / sum(weights) for weight in weights]
    highest_ratios = []
    for _ in range(draws):
        placed = Counter(rng.choices(range(len(weights)), weights, k=total))
        highest_ratios.append(max(placed[n] / (total * share) for n, share in enumerate(expected_shares)))
    return statistics.mean(highest_ratios) if total else 0.0


def refusals_with_free_capacity(
    trace: Trace, capacity: Mapping[str, float], since: float, until: float
) -> int:
    """Count the requests that were refused while under FULL_FRACTION of the capacity was in use.

    `capacity` maps servers to connections; a server that crashed, is silent or drains counts for none.
    """
    open_connections: Counter[str] = Counter()
    unavailable: set[str] = set()
    refusals = 0
    for entry in trace.events:
        if entry.kind is EventKind.UP:
            open_connections[entry.server] += 1
        elif entry.kind in CONNECTION_ENDS:
            open_connections[entry.server] -= 1
        elif entry.kind is EventKind.STATE:
            (unavailable.discard if entry.detail in SERVING_STATES else unavailable.add)(entry.server)
        elif entry.kind in (EventKind.BUSY, EventKind.FAILED) and since <= entry.at < until:
            available = sum(size for server, size in capacity.items() if server not in unavailable)
            refusals += sum(open_connections.values()) < FULL_FRACTION * available
    return refusals


def idle_servers(
    samples: Sequence[LoadSample], servers: Sequence[str], usable: Mapping[str, float]
) -> list[str]:
    """Return the servers without a connection in a sample later than IDLE_GRACE_MS after they became usable.

    `usable` maps the servers to check to the time when they became usable (ms of the trace). Samples with
    under MIN_MEAN_CONNECTIONS connections per server are ignored: a server may be idle in them by chance.
    """
    idle = []
    for number, server in enumerate(servers):
        since = usable.get(server)
        if since is None:
            continue
        for sample in samples:
            enough = sum(sample.connections) >= MIN_MEAN_CONNECTIONS * len(servers)
            if sample.at >= since + IDLE_GRACE_MS and enough and not sample.connections[number]:
                idle.append(server)
                break
    return idle
