"""The role of failure detection: by each balancer itself, by leases at a store, or by gossip."""

from __future__ import annotations

from benchmarks.capacity.inputs import DAY_S, Inputs
from benchmarks.capacity.lists import call_cpu_time
from benchmarks.capacity.quantity import Quantity, derived, specified
from benchmarks.capacity.roles import Mechanism, QuantityKind, Role, Row, Status

SILENCE_LIMIT_S = 3.5  # SILENCE_LIMIT_MS of puffinford/core/silent_servers.py


def machine_count(inputs: Inputs) -> Quantity:
    """Number of machines in the fleet, with the largest number of servers."""
    targets = inputs.targets
    return derived(
        "machines",
        lambda servers: servers + targets.fleet.balancers + targets.budget.machines,
        inputs.max_servers,
    )


def heartbeat_rate(inputs: Inputs) -> Quantity:
    """Heartbeats per second if every machine sends them to a lease store."""
    return derived(
        "/s", lambda count, interval: count / interval, machine_count(inputs), inputs.assumed("heartbeat_ms")
    )


def all_pairs_bytes(inputs: Inputs) -> Quantity:
    """Bytes per second and machine if every machine sends heartbeats to every other."""
    return derived(
        "B/s", lambda rate, size: rate * size, heartbeat_rate(inputs), inputs.assumed("heartbeat_bytes")
    )


def gossip_bytes(inputs: Inputs) -> Quantity:
    """Bytes per second and machine with the SWIM protocol, independent of the number of machines."""
    return derived(
        "B/s",
        lambda probes, interval, size: probes / interval * size,
        inputs.assumed("gossip_probes"),
        inputs.assumed("heartbeat_ms"),
        inputs.assumed("heartbeat_bytes"),
    )


def lease_bytes(inputs: Inputs) -> Quantity:
    """Bytes per second from one machine to a lease store."""
    return derived(
        "B/s",
        lambda interval, size: size / interval,
        inputs.assumed("heartbeat_ms"),
        inputs.assumed("heartbeat_bytes"),
    )


def lease_expiry(inputs: Inputs) -> Quantity:
    """Time until the lease of a failed machine expires."""
    return derived(
        "s",
        lambda interval, missed: interval * missed,
        inputs.assumed("heartbeat_ms"),
        inputs.assumed("heartbeats_missed"),
    )


def failed_attempts(inputs: Inputs) -> Quantity:
    """Failed attempts per day if each balancer detects failed machines by itself."""
    daily_failures = specified(inputs.targets.failures.machines_per_day, "")
    return derived("attempts", lambda failed, count: failed * count, daily_failures, inputs.balancers)


def detection_role(inputs: Inputs) -> Role:
    """The role of failure detection: its load and its detection times."""
    failures = inputs.targets.failures
    mean_rate = specified((failures.machines_per_day + failures.restarts_per_day) / DAY_S, "/s")
    zone = derived("machines", lambda count, zones: count / zones, machine_count(inputs), inputs.zones)
    peak = derived("/s", lambda count, deadline: count / deadline, zone, inputs.change_deadline)
    per_machine = inputs.per_control_machine(heartbeat_rate(inputs))
    core = derived(
        "cores",
        lambda rate, cost: rate * cost,
        per_machine,
        call_cpu_time(inputs, inputs.targets.fleet.balancers),
    )
    state = derived(
        "B", lambda count, size: count * size, machine_count(inputs), inputs.assumed("shard_entry_bytes")
    )
    return Role(
        "detection",
        "Detection of failed machines",
        "Each quantity names its scope.",
        (
            Row(QuantityKind.STATE, "an entry for each machine", state, inputs.memory_budget),
            Row(
                QuantityKind.MEMORY,
                "the same at a lease store, in memory",
                state,
                inputs.assumed("machine_memory_gb"),
            ),
            Row(QuantityKind.MESSAGES, "machines that fail or restart", mean_rate),
            Row(QuantityKind.PEAK, "machines of a lost zone, announced within the deadline", peak),
            Row(QuantityKind.MESSAGES, "heartbeats at a control machine", per_machine),
            Row(
                QuantityKind.BYTES,
                "heartbeats of each machine to each",
                all_pairs_bytes(inputs),
                inputs.bytes_budget,
            ),
            Row(
                QuantityKind.BYTES,
                "heartbeats to a lease store",
                lease_bytes(inputs),
                inputs.bytes_budget,
            ),
            Row(QuantityKind.BYTES, "gossip (SWIM)", gossip_bytes(inputs), inputs.bytes_budget),
            Row(
                QuantityKind.PROCESSOR,
                "heartbeats at a control machine, each as one call of the list service",
                core,
                inputs.cores_per_machine,
            ),
            Row(
                QuantityKind.TIME,
                "a silent established connection is moved after",
                silence_limit(),
            ),
            Row(QuantityKind.TIME, "a lease expires after", lease_expiry(inputs)),
        ),
        (
            Mechanism(
                "passive health checks: by a balancer's own connections",
                Status.IMPLEMENTED,
                "silence, resets, failed attempts",
            ),
            Mechanism(
                "outlier ejection with backoff and trials", Status.IMPLEMENTED, "`balance`; nothing is shared"
            ),
            Mechanism("heartbeats and leases at a store", Status.EXTERNAL, "what the list is made from"),
            Mechanism(
                "gossip among balancers (SWIM)",
                Status.MISSING,
                "needs control traffic between machines; an open question",
            ),
        ),
    )


def silence_limit() -> Quantity:
    """Time until a connection with an unanswered line is moved, as set in this program."""
    return specified(SILENCE_LIMIT_S, "s")


def detection_quantities(inputs: Inputs) -> dict[str, Quantity]:
    """Quantities quoted in the chapter on detection."""
    return {
        "detection.machines": machine_count(inputs),
        "detection.all_pairs": all_pairs_bytes(inputs),
        "detection.gossip": gossip_bytes(inputs),
        "detection.lease": lease_bytes(inputs),
        "detection.lease_expiry": lease_expiry(inputs),
        "detection.silence_limit": silence_limit(),
        "detection.failed_attempts": failed_attempts(inputs),
        "detection.heartbeats": heartbeat_rate(inputs),
        "detection.heartbeats_half": inputs.per_control_machine(
            heartbeat_rate(inputs), lost=inputs.targets.budget.machines // 2
        ),
    }
