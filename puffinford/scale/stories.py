"""The stories of scale runs: what changes at the source, what fails, and when. Times in seconds.

Left for later: regions apart for an hour, and the ramp of cold servers with 7,500 modules.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from puffinford.scale.messages import Change

FULL_SPAN_S = 60.0  # the span of a story at size
CHANGE_EVERY = 12.0  # 7,100 changes a day
FAULT_CHANGES = 12  # spread over a story in which processes fail: one in 5 s at FULL
BURST_OVER = 0.1  # the changes of a burst come within this
DRAINED_MOST = 0.1  # part of the servers that changes take out together
WEIGHTS = (1.0, 1.5)
FROZEN = 4.0  # how long a frozen relay stands still


class RelayFault(Enum):
    """What happens to one relay."""

    KILLED = "killed"  # its process is gone, and started again after the fault
    FROZEN = "frozen"  # its process stands still
    CUT = "cut"  # the list service answers none of its calls


@dataclass(frozen=True)
class Window:
    """From `at` for so long."""

    at: float
    lasts: float


@dataclass(frozen=True)
class Story:
    """`change_at` are the moments of changes; the rest are faults."""

    name: str
    span: float
    change_at: tuple[float, ...]
    reset_at: float | None = None
    killed: Window | None = None  # a third of the hollow balancers
    outage: Window | None = None  # of the list service
    relay_fault: RelayFault | None = None
    relay: Window | None = None


def _steady(span: float, every: float) -> tuple[float, ...]:
    return tuple(every * (n + 0.5) for n in range(int(span / every)))


def _burst(span: float, changes: int) -> tuple[float, ...]:
    return tuple(span / 4.0 + BURST_OVER * n / changes for n in range(changes))


def _calm(span: float) -> Story:
    return Story("calm", span, _steady(span, CHANGE_EVERY * span / FULL_SPAN_S))


def _busy(span: float) -> Story:
    return Story("busy", span, _steady(span, 1.0))


def _burst_40(span: float) -> Story:
    return Story("burst-40", span, _burst(span, 40))


def _burst_300(span: float) -> Story:
    return Story("burst-300", span, _burst(span, 300))


def _resets(span: float) -> Story:
    return Story("resets", span, (0.3 * span, 0.7 * span), reset_at=span / 4.0)


def _killed(span: float) -> Story:
    changes = _steady(span, span / FAULT_CHANGES)
    return Story("third-killed", span, changes, killed=Window(span / 4.0, span / 30.0))


def _list_down(span: float) -> Story:
    return Story("list-down", span, (span / 2.0, 0.9 * span), outage=Window(span / 4.0, span / 2.0))


def _relay_story(fault: RelayFault) -> Callable[[float], Story]:
    def made(span: float) -> Story:
        lasts = min(FROZEN, span / 2.0) if fault is RelayFault.FROZEN else span / 2.0
        window = Window(span / 4.0, lasts)
        changes = _steady(span, span / FAULT_CHANGES)
        return Story(f"relay-{fault.value}", span, changes, relay_fault=fault, relay=window)

    return made


_MAKERS = (_calm, _busy, _burst_40, _burst_300, _resets, _killed, _list_down)
DIRECT = {maker(FULL_SPAN_S).name: maker for maker in _MAKERS}
WITH_RELAYS = {f"relay-{fault.value}": _relay_story(fault) for fault in RelayFault}
STORIES: dict[str, Callable[[float], Story]] = {**DIRECT, **WITH_RELAYS}


def story(name: str, span: float = FULL_SPAN_S) -> Story:
    """A story of STORIES within `span` seconds; raises KeyError."""
    return STORIES[name](span)


def changes(told: Story, servers: list[str], seed: int, begin: float) -> list[Change]:
    """The changes of a story, at Unix ms from `begin`: weights, and every fourth takes a server out or back.

    At most a tenth of the servers is out together.
    """
    rng = random.Random(f"changes {seed}")
    out: list[str] = []
    weights = dict.fromkeys(servers, WEIGHTS[0])
    made = []
    for number, at in enumerate(told.change_at):
        state = "active"
        if number % 4 == 3 and len(out) >= DRAINED_MOST * len(servers):
            ident = out.pop(0)
        elif number % 4 == 3:
            ident = rng.choice([server for server in servers if server not in out])
            out.append(ident)
            state = "leaving"
        else:
            ident = rng.choice([server for server in servers if server not in out])
            weights[ident] = WEIGHTS[1] if weights[ident] == WEIGHTS[0] else WEIGHTS[0]
        made.append(Change(begin + at * 1_000.0, ident, state, weights[ident]))
    return made


def third(hollow: int, seed: int) -> list[int]:
    """The balancers that a kill strikes."""
    return sorted(random.Random(f"killed {seed}").sample(range(hollow), hollow // 3))
