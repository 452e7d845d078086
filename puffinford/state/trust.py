"""How far what was kept can be relied on, by its age. No I/O, no clock: ages and times are given, in ms."""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

from puffinford.interface import Health

TRUSTED_LIST_AGE_MS = (
    10_000.0  # a list no older than this is used as if told now: nothing in it has to prove itself
)
CLOCK_SKEW_TOLERANCE_MS = (
    5_000.0  # a time so little ahead of now is another machine's clock, not one that was set back
)
FUTURE_TIMESTAMP_AGE_MS = 3_600_000.0  # the age given to what was kept at a time that has not come yet
UNVERIFIED_ENTRIES_PER_ATTEMPT = 4.0  # of the entries, at most one in so many is tried at once
MIN_UNVERIFIED_ATTEMPTS = 2  # entries tried at once while there is any trust
CAPACITY_ESTIMATE_TTL_MS = (
    30_000.0  # what late messages told of a server's room, as long as the module holds it
)


@dataclass(frozen=True, slots=True)
class AttemptLimits:
    """How unproven entries may be tried: claims out at once (0: any number), and ms for each."""

    max_attempts: int
    attempt_timeout: float


@dataclass(frozen=True, slots=True)
class TrustSettings:
    """The operators' figures, in ms; see `section state`."""

    fresh_age: float = 60_000.0
    untrusted_age: float = 86_400_000.0
    attempt_timeout: float = 400.0
    old_list_attempt_timeout: float = 150.0
    health_ttl: float = 60_000.0


def age(confirmed: float, now: float) -> float:
    """The age of what was confirmed at that time.

    Guards against a clock that was set back: an age below zero says that it is not known, and it counts as
    an old one.
    """
    if now >= confirmed:
        return now - confirmed
    return 0.0 if confirmed - now <= CLOCK_SKEW_TOLERANCE_MS else FUTURE_TIMESTAMP_AGE_MS


def trust_level(old: float, settings: TrustSettings) -> float:
    """The trust in a list of that age, 1 to 0: it falls with the logarithm of the age.

    Lists go out of date like most things: what has stood for a week mostly stands for another day.
    """
    if old <= settings.fresh_age:
        return 1.0
    if old >= settings.untrusted_age:
        return 0.0
    fresh = max(settings.fresh_age, 1.0)
    return 1.0 - math.log(old / fresh) / math.log(settings.untrusted_age / fresh)


def attempt_limits(old: float, entries: int, settings: TrustSettings) -> AttemptLimits:
    """The terms for a list of that age that names so many servers."""
    level = trust_level(old, settings)
    attempt_timeout = (
        settings.old_list_attempt_timeout
        * (settings.attempt_timeout / settings.old_list_attempt_timeout) ** level
    )
    if level >= 1.0:
        return AttemptLimits(0, attempt_timeout)
    if level <= 0.0:
        return AttemptLimits(1, attempt_timeout)
    return AttemptLimits(
        max(MIN_UNVERIFIED_ATTEMPTS, math.ceil(level * entries / UNVERIFIED_ENTRIES_PER_ATTEMPT)),
        attempt_timeout,
    )


def discard_expired(health: Health, now: float, settings: TrustSettings) -> Health | None:
    """What is still worth telling of one server; None where nothing is.

    Each item has its own time: a server slow two seconds ago is still slow, of two minutes ago it is not.
    """
    old = age(health.observed_at, now)
    if old > settings.health_ttl or health.observed_at > now + CLOCK_SKEW_TOLERANCE_MS:
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
