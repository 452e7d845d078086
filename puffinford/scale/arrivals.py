"""The clients of a scale run: drawn once, and played alike at hollow and real balancers."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass
from enum import Enum

from puffinford.core.clock import Clock
from puffinford.core.values import Opening
from puffinford.scale.messages import ClientWorkload

REJOIN = (140.0, 1_100.0)  # ms after which a client that was moved or cut off comes back
RETURNS_MOST = 3  # times that it does


class ConnectionOutcome(Enum):
    """What became of one connection."""

    DONE = "done"  # the client ended it
    REFUSED = "refused"  # turned away or failed
    MOVED = "moved"  # it stood, and the balancer sent it away
    BROKEN = "broken"  # it ended without a word


@dataclass(frozen=True, slots=True)
class Arrival:
    """One client: when it comes, who it is, how long it stays, and when it is back after a move."""

    after: float  # ms from the first moment at which clients come
    key: str
    group: str
    life: float
    rejoin: float


Connect = Callable[
    [Opening, float], Awaitable[ConnectionOutcome]
]  # an opening, and how long it stays at most, in ms


def arrivals(crowd: ClientWorkload, seed: int, me: int) -> Iterator[Arrival]:
    """The clients of one balancer, without end; the same ones each time."""
    rng = random.Random(f"{seed} {me}")
    after = 0.0
    while crowd.rate > 0.0:
        after += rng.expovariate(crowd.rate) * 1_000.0
        key, group = f"{rng.getrandbits(48):x}", f"{rng.randrange(crowd.groups):x}"
        yield Arrival(after, key, group, rng.expovariate(1.0 / crowd.life_ms), rng.uniform(*REJOIN))


def opening(arrival: Arrival, crowd: ClientWorkload, me: int, returns: int) -> Opening:
    """What a client asks for, the first time or when it is back."""
    figures: list[tuple[str, str | None]] = [
        ("c", crowd.cls),
        ("d", f"{crowd.wait_ms:.0f}"),
        ("g", arrival.group),
    ]
    if returns:
        figures.append(("again", "1"))
    return Opening.from_parameters(f"{me:04x}{arrival.key}{returns:x}", arrival.key, tuple(figures))


async def live(arrival: Arrival, crowd: ClientWorkload, me: int, clock: Clock, connect: Connect) -> None:
    """One client from its first opening until it is done, was turned away, or has come back often enough."""
    end = clock.now() + arrival.life
    for returns in range(RETURNS_MOST + 1):
        left = end - clock.now()
        if left <= 0.0:
            return
        outcome = await connect(opening(arrival, crowd, me, returns), left)
        if outcome in (ConnectionOutcome.DONE, ConnectionOutcome.REFUSED):
            return
        await clock.sleep(arrival.rejoin)
