"""How far what was kept can be relied on, by its age. No I/O, no clock: ages and times are given, in ms."""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

from puffinford.interface import Health

AS_TOLD = 10_000.0  # a list no older than this is used as if told now: nothing in it has to prove itself
SKEW = 5_000.0  # a time so little ahead of now is another machine's clock, not one that was set back
AHEAD_AGE = 3_600_000.0  # the age given to what was kept at a time that has not come yet
FEW_PART = 4.0  # of the entries, at most one in so many is tried at once
FEW_LEAST = 2  # entries tried at once while there is any trust
CAPACITY_ESTIMATE_TTL_MS = (
    30_000.0  # what late messages told of a server's room, as long as the module holds it
)


@dataclass(frozen=True, slots=True)
class Terms:
    """How unproven entries may be tried: claims out at once (0: any number), and ms for each."""

    most: int
    patience: float


@dataclass(frozen=True, slots=True)
class Weights:
    """The operators' figures, in ms; see `section state`."""

    fresh: float = 60_000.0
    distrust: float = 86_400_000.0
    patience: float = 400.0
    patience_old: float = 150.0
    learned_for: float = 60_000.0


def age(confirmed: float, now: float) -> float:
    """The age of what was confirmed at that time.

    Guards against a clock that was set back: an age below zero says that it is not known, and it counts as
    an old one.
    """
    if now >= confirmed:
        return now - confirmed
    return 0.0 if confirmed - now <= SKEW else AHEAD_AGE


def trust(old: float, weights: Weights) -> float:
    """The trust in a list of that age, 1 to 0: it falls with the logarithm of the age.

    Lists go out of date like most things: what has stood for a week mostly stands for another day.
    """
    if old <= weights.fresh:
        return 1.0
    if old >= weights.distrust:
        return 0.0
    fresh = max(weights.fresh, 1.0)
    return 1.0 - math.log(old / fresh) / math.log(weights.distrust / fresh)


def terms(old: float, entries: int, weights: Weights) -> Terms:
    """The terms for a list of that age that names so many servers."""
    level = trust(old, weights)
    patience = weights.patience_old * (weights.patience / weights.patience_old) ** level
    if level >= 1.0:
        return Terms(0, patience)
    if level <= 0.0:
        return Terms(1, patience)
    return Terms(max(FEW_LEAST, math.ceil(level * entries / FEW_PART)), patience)


def weigh(health: Health, now: float, weights: Weights) -> Health | None:
    """What is still worth telling of one server; None where nothing is.

    Each item has its own time: a server slow two seconds ago is still slow, of two minutes ago it is not.
    """
    old = age(health.observed_at, now)
    if old > weights.learned_for or health.observed_at > now + SKEW:
        return None
    slow = health.slow_until > now
    capacity_estimate = (
        health.capacity_estimate if now < health.capacity_estimated_at + CAPACITY_ESTIMATE_TTL_MS else None
    )
    left = replace(
        health,
        slow_until=health.slow_until if slow else 0.0,
        late_report_at=health.late_report_at if slow else 0.0,
        delay=health.delay if slow else 0.0,
        capacity_estimate=capacity_estimate,
        capacity_estimated_at=health.capacity_estimated_at if capacity_estimate is not None else 0.0,
    )
    if not (slow or left.failures or left.cold_since is not None or capacity_estimate is not None):
        return None
    return left
