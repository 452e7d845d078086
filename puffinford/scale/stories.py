"""Stories of scale runs: a schedule of list changes and faults. Times are in seconds from the story's start.

Not covered: regions that are cut off from each other, and the slow start of thousands of cold servers.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from puffinford.scale.messages import Change

FULL_SPAN_S = 60.0  # length of a story unless another is given
CHANGE_INTERVAL_S = 12.0  # 7,200 changes a day
FAULT_STORY_CHANGES = 12  # spread evenly over a story in which processes fail
BURST_DURATION_S = 0.1
MAX_DRAINED_FRACTION = 0.1  # of the servers; limit of those drained at the same time
WEIGHTS = (1.0, 1.5)
MAX_FREEZE_S = 4.0


class RelayFault(Enum):
    """The fault of one relay."""

    KILLED = "killed"  # its process is killed, and started again after the fault
    FROZEN = "frozen"  # its process is suspended
    CUT = "cut"  # the list service answers none of its calls


@dataclass(frozen=True)
class Window:
    """The time of one fault."""

    start_s: float
    duration_s: float


@dataclass(frozen=True)
class Story:
    """A schedule: the times of list changes, and the faults with their times."""

    name: str
    span_s: float
    change_times_s: tuple[float, ...]
    reset_at_s: float | None = None  # the list service resets its connections
    kill: Window | None = None  # a third of the hollow balancers is killed, and started again
    outage: Window | None = None  # the list service refuses connections
    relay_fault: RelayFault | None = None
    relay_fault_window: Window | None = None


def _steady(span_s: float, interval_s: float) -> tuple[float, ...]:
    return tuple(interval_s * (n + 0.5) for n in range(int(span_s / interval_s)))


def _burst(span_s: float, changes: int) -> tuple[float, ...]:
    return tuple(span_s / 4.0 + BURST_DURATION_S * n / changes for n in range(changes))


def _calm(span_s: float) -> Story:
    return Story("calm", span_s, _steady(span_s, CHANGE_INTERVAL_S * span_s / FULL_SPAN_S))


def _busy(span_s: float) -> Story:
    return Story("busy", span_s, _steady(span_s, 1.0))


def _burst_40(span_s: float) -> Story:
    return Story("burst-40", span_s, _burst(span_s, 40))


def _burst_300(span_s: float) -> Story:
    return Story("burst-300", span_s, _burst(span_s, 300))


def _resets(span_s: float) -> Story:
    return Story("resets", span_s, (0.3 * span_s, 0.7 * span_s), reset_at_s=span_s / 4.0)


def _killed(span_s: float) -> Story:
    change_times_s = _steady(span_s, span_s / FAULT_STORY_CHANGES)
    return Story("third-killed", span_s, change_times_s, kill=Window(span_s / 4.0, span_s / 30.0))


def _list_down(span_s: float) -> Story:
    return Story("list-down", span_s, (span_s / 2.0, 0.9 * span_s), outage=Window(span_s / 4.0, span_s / 2.0))


def _relay_story(fault: RelayFault) -> Callable[[float], Story]:
    def make_story(span_s: float) -> Story:
        duration_s = min(MAX_FREEZE_S, span_s / 2.0) if fault is RelayFault.FROZEN else span_s / 2.0
        window = Window(span_s / 4.0, duration_s)
        change_times_s = _steady(span_s, span_s / FAULT_STORY_CHANGES)
        return Story(
            f"relay-{fault.value}",
            span_s,
            change_times_s,
            relay_fault=fault,
            relay_fault_window=window,
        )

    return make_story


_DIRECT_STORY_FACTORIES = (_calm, _busy, _burst_40, _burst_300, _resets, _killed, _list_down)
DIRECT_STORIES = {factory(FULL_SPAN_S).name: factory for factory in _DIRECT_STORY_FACTORIES}
RELAY_STORIES = {f"relay-{fault.value}": _relay_story(fault) for fault in RelayFault}
STORIES: dict[str, Callable[[float], Story]] = {**DIRECT_STORIES, **RELAY_STORIES}


def story(name: str, span_s: float = FULL_SPAN_S) -> Story:
    """Return a story of `STORIES`, `span_s` seconds long; raises KeyError for an unknown name."""
    return STORIES[name](span_s)


def planned_changes(story: Story, servers: list[str], seed: int, begin_ms: float) -> list[Change]:
    """Return the list changes of a story that starts at `begin_ms` (Unix time).

    Three of four change a server's weight; the fourth drains a server, or returns the one drained longest
    once `MAX_DRAINED_FRACTION` of the servers is drained.
    """
    rng = random.Random(f"changes {seed}")
    drained: list[str] = []
    weights = dict.fromkeys(servers, WEIGHTS[0])
    planned = []
    for number, change_time_s in enumerate(story.change_times_s):
        state = "active"
        if number % 4 == 3 and len(drained) >= MAX_DRAINED_FRACTION * len(servers):
            ident = drained.pop(0)
        elif number % 4 == 3:
            ident = rng.choice([server for server in servers if server not in drained])
            drained.append(ident)
            state = "leaving"
        else:
            ident = rng.choice([server for server in servers if server not in drained])
            weights[ident] = WEIGHTS[1] if weights[ident] == WEIGHTS[0] else WEIGHTS[0]
        planned.append(Change(begin_ms + change_time_s * 1_000.0, ident, state, weights[ident]))
    return planned


def choose_killed_balancers(hollow: int, seed: int) -> list[int]:
    """Return the numbers of the third of the `hollow` balancers that a story kills."""
    return sorted(random.Random(f"killed {seed}").sample(range(hollow), hollow // 3))
