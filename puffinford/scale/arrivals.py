"""The simulated clients of a scale run, generated from a seed in the same way for all balancers."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass
from enum import Enum

from puffinford.core.clock import Clock
from puffinford.core.values import Opening
from puffinford.scale.messages import ClientWorkload

REJOIN_DELAY_MS = (140.0, 1_100.0)  # range of the wait of a moved or disconnected client
MAX_RETURNS = 3  # reconnections of one client


class ConnectionOutcome(Enum):
    """How one connection ended."""

    DONE = "done"  # closed by the client
    REFUSED = "refused"  # rejected or failed before it was established
    MOVED = "moved"  # established, then moved by the balancer
    BROKEN = "broken"  # closed without an answer or a move


@dataclass(frozen=True, slots=True)
class Arrival:
    """One client: its time of arrival, identity, lifetime, and delay before it reconnects."""

    after_ms: float  # since the start of the arrivals
    key: str
    group: str
    life_ms: float
    rejoin_ms: float


# Opens a connection and holds it for at most the given time in ms.
Connect = Callable[[Opening, float], Awaitable[ConnectionOutcome]]


def generate_arrivals(workload: ClientWorkload, seed: int, number: int) -> Iterator[Arrival]:
    """Yield the clients of one balancer without end, determined by the seed and the balancer's number."""
    rng = random.Random(f"{seed} {number}")
    after_ms = 0.0
    while workload.rate > 0.0:
        after_ms += rng.expovariate(workload.rate) * 1_000.0
        key, group = f"{rng.getrandbits(48):x}", f"{rng.randrange(workload.groups):x}"
        yield Arrival(
            after_ms, key, group, rng.expovariate(1.0 / workload.life_ms), rng.uniform(*REJOIN_DELAY_MS)
        )


def make_opening(arrival: Arrival, workload: ClientWorkload, number: int, returns: int) -> Opening:
    """Return the opening of a client's first connection, or of the reconnection numbered `returns`."""
    parameters: list[tuple[str, str | None]] = [
        ("c", workload.cls),
        ("d", f"{workload.wait_ms:.0f}"),
        ("g", arrival.group),
    ]
    if returns:
        parameters.append(("again", "1"))
    return Opening.from_parameters(f"{number:04x}{arrival.key}{returns:x}", arrival.key, tuple(parameters))


async def run_client(
    arrival: Arrival, workload: ClientWorkload, number: int, clock: Clock, connect: Connect
) -> None:
    """Run one client until its lifetime ends, it is refused, or it has reconnected `MAX_RETURNS` times."""
    ends_at = clock.now() + arrival.life_ms
    for returns in range(MAX_RETURNS + 1):
        remaining_ms = ends_at - clock.now()
        if remaining_ms <= 0.0:
            return
        outcome = await connect(make_opening(arrival, workload, number, returns), remaining_ms)
        if outcome in (ConnectionOutcome.DONE, ConnectionOutcome.REFUSED):
            return
        await clock.sleep(arrival.rejoin_ms)
