"""Detection of failed machines: by each balancer itself, by a keeper of leases, or by gossip."""

from __future__ import annotations

from benchmarks.capacity.inputs import DAY_S, Inputs
from benchmarks.capacity.lists import call_cpu_time
from benchmarks.capacity.quantity import Quantity, derived, specified
from benchmarks.capacity.roles import Mechanism, QuantityKind, Role, Row, Status

SILENT_S = 3.5  # a line of a standing connection unanswered for so long: `SILENT` of `puffinford/core`


def machines(inputs: Inputs) -> Quantity:
    """All machines, with the most servers."""
    fleet = inputs.targets
    return derived(
        "machines",
        lambda servers: servers + fleet.fleet.balancers + fleet.budget.machines,
        inputs.max_servers,
    )


def heartbeats(inputs: Inputs) -> Quantity:
    """Heartbeats a second of all machines, one to the keeper of leases each."""
    return derived(
        "/s", lambda count, interval: count / interval, machines(inputs), inputs.assumed("heartbeat_ms")
    )


def all_pairs(inputs: Inputs) -> Quantity:
    """Bytes a second of one machine, if it sends to each other one."""
    return derived(
        "B/s", lambda rate, size: rate * size, heartbeats(inputs), inputs.assumed("heartbeat_bytes")
    )


def gossip(inputs: Inputs) -> Quantity:
    """Bytes a second of one machine by SWIM, whatever their number."""
    return derived(
        "B/s",
        lambda probes, interval, size: probes / interval * size,
        inputs.assumed("gossip_probes"),
        inputs.assumed("heartbeat_ms"),
        inputs.assumed("heartbeat_bytes"),
    )


def lease_bytes(inputs: Inputs) -> Quantity:
    """Bytes a second of one machine to the keeper of leases."""
    return derived(
        "B/s",
        lambda interval, size: size / interval,
        inputs.assumed("heartbeat_ms"),
        inputs.assumed("heartbeat_bytes"),
    )


def detected_after(inputs: Inputs) -> Quantity:
    """Until a lease has run out."""
    return derived(
        "s",
        lambda interval, missed: interval * missed,
        inputs.assumed("heartbeat_ms"),
        inputs.assumed("heartbeats_missed"),
    )


def wasted_attempts(inputs: Inputs) -> Quantity:
    """Attempts at dead machines a day, if each balancer finds out by itself."""
    daily_failures = specified(inputs.targets.failures.machines_per_day, "")
    return derived("attempts", lambda failed, count: failed * count, daily_failures, inputs.balancers)


def detection(inputs: Inputs) -> Role:
    """Who learns when that a machine has failed."""
    failures = inputs.targets.failures
    mean = specified((failures.machines_per_day + failures.restarts_per_day) / DAY_S, "/s")
    zone = derived("machines", lambda count, zones: count / zones, machines(inputs), inputs.zones)
    peak = derived("/s", lambda count, within: count / within, zone, inputs.change_deadline)
    per_machine = inputs.per_control_machine(heartbeats(inputs))
    core = derived(
        "cores",
        lambda rate, cost: rate * cost,
        per_machine,
        call_cpu_time(inputs, inputs.targets.fleet.balancers),
    )
    state = derived(
        "B", lambda count, size: count * size, machines(inputs), inputs.assumed("shard_entry_bytes")
    )
    return Role(
        "detection",
        "Detection of failed machines",
        "Each quantity says whose it is.",
        (
            Row(QuantityKind.STATE, "an entry for each machine", state, inputs.memory_budget),
            Row(
                QuantityKind.MEMORY,
                "the same at a keeper of leases, in memory",
                state,
                inputs.assumed("machine_memory_gb"),
            ),
            Row(QuantityKind.MESSAGES, "machines that fail or restart", mean),
            Row(QuantityKind.PEAK, "machines of a lost zone, told within the told time", peak),
            Row(QuantityKind.MESSAGES, "heartbeats at a control machine", per_machine),
            Row(
                QuantityKind.BYTES,
                "heartbeats of each machine to each",
                all_pairs(inputs),
                inputs.bytes_budget,
            ),
            Row(
                QuantityKind.BYTES,
                "heartbeats to a keeper of leases",
                lease_bytes(inputs),
                inputs.bytes_budget,
            ),
            Row(QuantityKind.BYTES, "gossip (SWIM)", gossip(inputs), inputs.bytes_budget),
            Row(
                QuantityKind.PROCESSOR,
                "heartbeats at a control machine, each as one call of the list service",
                core,
                inputs.cores_per_machine,
            ),
            Row(
                QuantityKind.TIME,
                "a standing connection of ours that is silent is moved after",
                silent_after(),
            ),
            Row(QuantityKind.TIME, "a lease has run out after", detected_after(inputs)),
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
                "gossip among balancers (SWIM)", Status.MISSING, "needs control talk between machines; asked"
            ),
        ),
    )


def silent_after() -> Quantity:
    """When a standing connection with an unanswered line is moved: set in this program."""
    return specified(SILENT_S, "s")


def detection_quantities(inputs: Inputs) -> dict[str, Quantity]:
    """What the chapter on detection quotes."""
    return {
        "detection.machines": machines(inputs),
        "detection.all_pairs": all_pairs(inputs),
        "detection.gossip": gossip(inputs),
        "detection.lease": lease_bytes(inputs),
        "detection.after": detected_after(inputs),
        "detection.silent": silent_after(),
        "detection.wasted": wasted_attempts(inputs),
        "detection.heartbeats": heartbeats(inputs),
        "detection.heartbeats_half": inputs.per_control_machine(
            heartbeats(inputs), lost=inputs.targets.budget.machines // 2
        ),
    }
