"""How evenly the load lies over the servers, read from a trace. No I/O.

Standing connections count as a client sees them: from its UP to its end.
"""

from __future__ import annotations

import random
import statistics
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from puffinford.standins.servers import SERVING_STATES
from puffinford.standins.trace import EventKind, Trace

ENDED = (EventKind.DONE, EventKind.MOVED, EventKind.CUT_OFF)
OVER_MS = 5_000.0  # the window whose mean load is judged
JUDGED_FROM = 30.0  # connections a server, on average, from which an evenness can be judged
ROOM = 0.9  # of the capacity; with more in use, a refusal is no fault
IDLE_MS = 2_000.0  # a server that may have clients has some by then


@dataclass(frozen=True)
class Second:
    """The load at one moment, in ms of the trace, as counts in the order of the servers."""

    at: float
    held: tuple[int, ...]


def loads(
    trace: Trace, servers: Sequence[str], since: float, until: float, step: float = 1_000.0
) -> list[Second]:
    """Standing connections of each server, at each step (ms) between two times of the trace."""
    held: Counter[str] = Counter()
    seen, due = [], since

    def look(at: float) -> None:
        nonlocal due
        while due <= min(at, until):
            seen.append(Second(due, tuple(held[server] for server in servers)))
            due += step

    for entry in trace.of(EventKind.UP, *ENDED):
        look(entry.at)
        held[entry.server] += 1 if entry.kind is EventKind.UP else -1
    look(until)
    return seen


@dataclass(frozen=True)
class Evenness:
    """Loads over what each server's weight asks for; 1.0 is even.

    `fullest` and `emptiest` are means over the seconds, `worst` is the highest mean of any server over any
    window of OVER_MS, `chance` what placing as many by chance gives for `fullest`.
    """

    fullest: float
    emptiest: float
    worst: float
    chance: float
    mean: float  # connections a server


def evenness(seconds: Sequence[Second], weights: Sequence[float]) -> Evenness | None:
    """The evenness of those seconds; None where there is nothing to judge."""
    rows = [row for row in seconds if sum(row.held)]
    if not rows:
        return None
    part = [weight / sum(weights) for weight in weights]
    shares = [
        [held / (sum(row.held) * own) for held, own in zip(row.held, part, strict=True)] for row in rows
    ]
    window = max(1, round(OVER_MS / (rows[1].at - rows[0].at))) if len(rows) > 1 else 1
    worst = 0.0
    for column in zip(*shares, strict=True):
        spans = [column[n : n + window] for n in range(max(1, len(column) - window + 1))]
        worst = max([worst, *(statistics.mean(span) for span in spans)])
    total = statistics.mean(sum(row.held) for row in rows)
    return Evenness(
        statistics.mean(map(max, shares)),
        statistics.mean(map(min, shares)),
        worst,
        chance(round(total), weights, random.Random(1)),
        total / len(weights),
    )


def chance(total: int, weights: Sequence[float], rng: random.Random, draws: int = 200) -> float:
    """The fullest server over its part where so many connections are placed by chance, by weight."""
    part = [weight / sum(weights) for weight in weights]
    most = []
    for _ in range(draws):
        held = Counter(rng.choices(range(len(weights)), weights, k=total))
        most.append(max(held[n] / (total * own) for n, own in enumerate(part)))
    return statistics.mean(most) if total else 0.0


def refused_with_room(trace: Trace, capacity: Mapping[str, float], since: float, until: float) -> int:
    """Jobs that were turned away while the fleet held under ROOM of its capacity.

    `capacity` is what each server holds, in connections; one that crashed, is silent or drains has none.
    """
    held: Counter[str] = Counter()
    out: set[str] = set()
    counted = 0
    for entry in trace.events:
        if entry.kind is EventKind.UP:
            held[entry.server] += 1
        elif entry.kind in ENDED:
            held[entry.server] -= 1
        elif entry.kind is EventKind.STATE:
            (out.discard if entry.detail in SERVING_STATES else out.add)(entry.server)
        elif entry.kind in (EventKind.BUSY, EventKind.FAILED) and since <= entry.at < until:
            room = sum(size for server, size in capacity.items() if server not in out)
            counted += sum(held.values()) < ROOM * room
    return counted


def idle(seconds: Sequence[Second], servers: Sequence[str], usable: Mapping[str, float]) -> list[str]:
    """The servers that held nothing at a second later than IDLE_MS after they could have had clients.

    `usable` is when that was, in ms of the trace, for each server that is judged. Judged are seconds in which
    the servers hold JUDGED_FROM connections each on average: with fewer, one may be empty by chance.
    """
    found = []
    for number, server in enumerate(servers):
        since = usable.get(server)
        if since is None:
            continue
        for row in seconds:
            enough = sum(row.held) >= JUDGED_FROM * len(servers)
            if row.at >= since + IDLE_MS and enough and not row.held[number]:
                found.append(server)
                break
    return found
