"""Schedule of a process's shutdown, so that all connections are closed before the platform kills it.

The platform sends SIGKILL no earlier than KILL_DELAY_MS plus the longest deadline (at most MAX_DEADLINE_MS)
after the first SIGTERM. The schedule is computed once, from the settings at that time.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from puffinford import interface as it

MAX_DEADLINE_MS = 3_000.0
KILL_DELAY_MS = 700.0  # from the longest deadline to SIGKILL
ARRIVAL_PERIOD_MS = 400.0  # the platform may still send new connections
ARRIVAL_MARGIN_MS = 40.0  # for connections that are on their way at the end of that period
MOVE_START_MS = 450.0  # clients moved earlier could reconnect to this process
PEER_CLOSE_PERIOD_MS = 400.0  # from the last answers to the close, for peers to close first
SUSPENSION_ALLOWANCE_MS = 150.0  # the process may be suspended just before the close
CLOSING_PERIOD_MS = 100.0  # to close all connections
LATE_CLOSING_PERIOD_MS = 50.0  # the same, when the close has waited for late answers


@dataclass(frozen=True, slots=True)
class ShutdownPlan:
    """Times in ms from the first SIGTERM."""

    move_from: float  # established connections are moved from here to `answer_at`
    answer_at: float  # all other connections are answered and closed
    listen_until: float  # connections that arrive later are refused
    close_at: float  # answered connections are closed, and the process ends
    last_at: float  # latest close, when not all have been answered at `close_at`
    kill_at: float  # earliest SIGKILL


def plan_shutdown(settings: Iterable[it.Settings], *, has_ready_successor: bool) -> ShutdownPlan:
    """Compute the schedule for the settings, of one or more versions, with the shortest maximum deadline.

    `has_ready_successor`: a newer process accepts connections, so moved clients cannot return to this one.
    """
    longest = min(max(cls.deadline for cls in version_settings.classes) for version_settings in settings)
    kill_at = min(longest, MAX_DEADLINE_MS) + KILL_DELAY_MS
    close_at = kill_at - SUSPENSION_ALLOWANCE_MS - CLOSING_PERIOD_MS
    answer_at = max(ARRIVAL_PERIOD_MS, close_at - PEER_CLOSE_PERIOD_MS)
    listen_until = max(answer_at, ARRIVAL_PERIOD_MS + ARRIVAL_MARGIN_MS)
    move_from = 0.0 if has_ready_successor else min(MOVE_START_MS, answer_at)
    last_at = kill_at - LATE_CLOSING_PERIOD_MS
    return ShutdownPlan(move_from, answer_at, listen_until, close_at, last_at, kill_at)
