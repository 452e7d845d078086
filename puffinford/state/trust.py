"""How far stored data is trusted, by its age. No I/O, no clock: ages and times are parameters, in ms."""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

from puffinford.interface import Health

TRUSTED_LIST_AGE_MS = 10_000.0  # entries of a list no older than this need no verification
CLOCK_SKEW_TOLERANCE_MS = 5_000.0  # a timestamp this little in the future is attributed to clock skew
FUTURE_TIMESTAMP_AGE_MS = 3_600_000.0  # the age assumed for data confirmed further in the future
UNVERIFIED_ENTRIES_PER_ATTEMPT = 4.0  # unverified entries for each concurrent attempt, at full trust
MIN_UNVERIFIED_ATTEMPTS = 2  # concurrent attempts while there is any trust
CAPACITY_ESTIMATE_TTL_MS = 30_000.0  # the same lifetime as in the decision module


@dataclass(frozen=True, slots=True)
class AttemptLimits:
    """Limits for unverified entries: concurrent attempts (0: no limit), and the timeout of each in ms."""

    max_attempts: int
    attempt_timeout: float


@dataclass(frozen=True, slots=True)
class TrustSettings:
    """The operators' settings, in ms; see `section state`."""

    fresh_age: float = 60_000.0
    untrusted_age: float = 86_400_000.0
    attempt_timeout: float = 400.0
    old_list_attempt_timeout: float = 150.0
    health_ttl: float = 60_000.0


def age(confirmed: float, now: float) -> float:
    """Return the age in ms of data confirmed at that time.

    A timestamp in the future means that the clock was set back: the age is unknown, and assumed to be large.
    """
    if now >= confirmed:
        return now - confirmed
    return 0.0 if confirmed - now <= CLOCK_SKEW_TOLERANCE_MS else FUTURE_TIMESTAMP_AGE_MS


def trust_level(list_age: float, settings: TrustSettings) -> float:
    """Return the trust in a list of that age in ms, from 1 to 0, falling with the logarithm of the age."""
    if list_age <= settings.fresh_age:
        return 1.0
    if list_age >= settings.untrusted_age:
        return 0.0
    fresh_age = max(settings.fresh_age, 1.0)
    return 1.0 - math.log(list_age / fresh_age) / math.log(settings.untrusted_age / fresh_age)


def attempt_limits(list_age: float, entries: int, settings: TrustSettings) -> AttemptLimits:
    """Return the limits for a list of that age in ms with that number of entries."""
    level = trust_level(list_age, settings)
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
    """Return the health of a server without its expired fields; None when nothing is left.

    Each field has its own lifetime: a server that was slow two seconds ago still counts as slow, one that was
    slow two minutes ago does not.
    """
    health_age = age(health.observed_at, now)
    if health_age > settings.health_ttl or health.observed_at > now + CLOCK_SKEW_TOLERANCE_MS:
        return None
    slow = health.slow_until > now
    capacity_estimate = (
        health.capacity_estimate if now < health.capacity_estimated_at + CAPACITY_ESTIMATE_TTL_MS else None
    )
    current = replace(
        health,
        slow_until=health.slow_until if slow else 0.0,
        late_report_at=health.late_report_at if slow else 0.0,
        delay=health.delay if slow else 0.0,
        capacity_estimate=capacity_estimate,
        capacity_estimated_at=health.capacity_estimated_at if capacity_estimate is not None else 0.0,
    )
    if not (slow or current.failures or current.cold_since is not None or capacity_estimate is not None):
        return None
    return current
