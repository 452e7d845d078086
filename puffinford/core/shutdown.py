"""The plan of a process's end: what happens by when, so that no connection is held at the earliest kill.

The platform kills no earlier than the longest deadline, counted as DEADLINE_MOST where it is longer, plus
KILL_AFTER past the first SIGTERM. The plan is made once, from the settings in force then. No I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from puffinford import interface as it

DEADLINE_MOST = 3_000.0  # ms
KILL_AFTER = 700.0  # ms from the longest deadline to the kill
ARRIVALS = 400.0  # ms in which new connections still come
MOVE_FROM = 450.0  # ms; clients moved while the front still sends arrivals would come back here
LAST_ANSWERS = 400.0  # ms between the last answers and the close, in which peers end their side
HELD_UP = 150.0  # ms that the process may be held up just before it would close
CLOSING = 100.0  # ms for the closes themselves, on a part of a core
LAST_CLOSES = 50.0  # ms for these where the process is so late that the close waits for its last answers


@dataclass(frozen=True, slots=True)
class ShutdownPlan:
    """Spans in ms, each counted from the first SIGTERM."""

    move_from: float  # standing connections are moved from then on, evenly ...
    answer_at: float  # ... until all have been; then whoever asks, rests or is half way is answered and ended
    close_at: float  # what has been answered and its peer has not ended is closed, and the process ends ...
    last_at: float  # ... where all have been answered by then; else it waits for them until here
    kill_at: float  # the platform may kill


def plan_shutdown(settings: Iterable[it.Settings], *, has_ready_successor: bool) -> ShutdownPlan:
    """The plan by the shortest reading of `settings`, of which there is one at least.

    `has_ready_successor`: a later version accepts already, so moved clients cannot come back here.
    """
    longest = min(max(cls.deadline for cls in one.classes) for one in settings)
    kill_at = min(longest, DEADLINE_MOST) + KILL_AFTER
    close_at = kill_at - HELD_UP - CLOSING
    answer_at = max(ARRIVALS, close_at - LAST_ANSWERS)
    move_from = 0.0 if has_ready_successor else min(MOVE_FROM, answer_at)
    return ShutdownPlan(move_from, answer_at, close_at, kill_at - LAST_CLOSES, kill_at)
