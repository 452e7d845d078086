"""What a scale run came to. Times in ms unless a name says otherwise."""

from __future__ import annotations

import msgspec

from puffinford.scale.agreement import Disagreement
from puffinford.scale.propagation import PropagationStats


class ListServiceLoad(msgspec.Struct, frozen=True, kw_only=True):
    """The list service during the story."""

    calls: int
    calls_per_s: float
    peak_calls_per_s: int  # in one second
    sent_bytes: int  # bytes of answers, without TCP and IP
    received_bytes: int  # bytes of calls
    max_queued_calls: int  # calls that waited for their turn together
    reset_connections: int  # connections that it reset
    cpu_percent: float  # of a core


class BalancerLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Control's cost at one balancer of a kind; calls and bytes are None where relays stand between."""

    calls_per_s: float | None
    bytes_per_s: float | None  # both ways, without TCP and IP
    cpu_percent: float  # of a core
    resident_kib: float  # a hollow one: the growth of its process over its number; a real one: its process
    placed: int  # connections brought up, over all


class RelayLoad(msgspec.Struct, frozen=True, kw_only=True):
    """One relay during the story; 0 where it was killed."""

    cpu_percent: float
    resident_mib: float
    upstream_calls: int
    calls_per_s: float | None  # downstream; None where it logged too little to tell
    sent_bytes_per_s: float | None  # bytes of answers


class Lateness(msgspec.Struct, frozen=True, kw_only=True):
    """How late the loops of the hollow processes were; a late loop makes its balancers look late."""

    p99_ms: float
    max_ms: float
    lost_fraction: float  # of the story, that the balancers' clock did not count, at the worst process


class RunOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """One story at one size."""

    story: str
    distribution: str
    hollow: int
    real: int
    processes: int
    relays: int
    servers: int
    changes: int
    restarts: int  # hollow balancers that were killed and started again
    service_ms: float
    seed: int
    rate: float  # arrivals a second at each balancer
    seconds: float
    list_service: ListServiceLoad
    hollow_propagation: PropagationStats
    real_propagation: PropagationStats
    hollow_load: BalancerLoad
    real_load: BalancerLoad
    relay_load: list[RelayLoad]
    lateness: Lateness
    resident_mib: float  # of all hollow processes
    held: bool  # the size was held to the end
    reason: str = ""  # where it was not
    disagreements: list[Disagreement] = []
