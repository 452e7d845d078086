"""The results of a scale run."""

from __future__ import annotations

import msgspec

from puffinford.scale.agreement import Disagreement
from puffinford.scale.propagation import PropagationStats


class ListServiceLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Load of the list service during the story."""

    calls: int
    calls_per_s: float
    peak_calls_per_s: int
    sent_bytes: int  # answers, without TCP and IP headers
    received_bytes: int  # calls, without TCP and IP headers
    max_queued_calls: int
    reset_connections: int
    cpu_percent: float  # of one core


class BalancerLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Mean cost of list distribution per balancer of one kind; calls and bytes are None behind relays."""

    calls_per_s: float | None
    bytes_per_s: float | None  # both directions, without TCP and IP headers
    cpu_percent: float  # of one core
    resident_kib: float  # hollow: growth of the process divided by its balancers; real: the whole process
    placed: int  # established connections, summed over all balancers


class RelayLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Load of one relay during the story; 0 after it was killed."""

    cpu_percent: float  # of one core
    resident_mib: float
    upstream_calls: int
    calls_per_s: float | None  # downstream; None if it logged too few samples
    sent_bytes_per_s: float | None  # downstream answers


class Lateness(msgspec.Struct, frozen=True, kw_only=True):
    """Lateness of the event loops of the hollow processes, which adds to the measured propagation times."""

    p99_ms: float
    max_ms: float
    lost_fraction: float  # of the story's time, skipped by the shared clock of the worst process


class RunOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """The results of one story at one fleet size."""

    story: str
    distribution: str
    hollow: int
    real: int
    processes: int
    relays: int
    servers: int
    changes: int
    restarts: int  # of killed hollow balancers
    service_ms: float  # processing time of one call at the list service
    seed: int
    rate: float  # client arrivals per second at each balancer
    seconds: float
    list_service: ListServiceLoad
    hollow_propagation: PropagationStats
    real_propagation: PropagationStats
    hollow_load: BalancerLoad
    real_load: BalancerLoad
    relay_load: list[RelayLoad]
    lateness: Lateness
    resident_mib: float  # all hollow processes together
    held: bool  # all balancers ran to the end and the clock lost little enough
    reason: str = ""  # why `held` is false
    disagreements: list[Disagreement] = []
