"""The role of reconnecting: clients that return after the loss of a rack, a zone or a region."""

from __future__ import annotations

import math
from dataclasses import dataclass

from benchmarks.capacity.inputs import PERCENT, Inputs
from benchmarks.capacity.quantity import Quantity, derived, maximum, specified, total
from benchmarks.capacity.roles import Mechanism, QuantityKind, Role, Row, Status

HERD_WINDOW = specified(1.0, "s")  # clients without jitter return within this time


@dataclass(frozen=True)
class Loss:
    """The loss of several balancers at once, and the load of its clients on the remaining ones."""

    name: str
    clients: Quantity  # clients that reconnect
    clients_per_balancer: Quantity  # clients that reconnect to each remaining balancer
    connections_held: Quantity  # per remaining balancer, once all have reconnected
    plain_time: Quantity  # until all have reconnected
    encrypted_time: Quantity  # until all have reconnected with a full cryptographic handshake
    admission: Quantity  # connections per second that the fleet admits, with cryptography
    jitter_window: Quantity  # full jitter over this time keeps arrivals within the admission rate


def connection_cost(inputs: Inputs) -> Quantity:
    """Processor time to accept and place one connection."""
    connections = inputs.connections_per_process
    placing = inputs.measured_at_quantity("module.place_own_groups", "standing", connections)
    opening = inputs.measurements.unit_cost("data.connection_us", connections.value or 0.0)
    return total(opening, placing)


def encrypted_cost(inputs: Inputs) -> Quantity:
    """Processor time to accept and place one connection with a cryptographic handshake."""
    return total(connection_cost(inputs), inputs.assumed("cryptography_us"))


def admission_rate(inputs: Inputs, cost: Quantity) -> Quantity:
    """Connections per second that one balancer may admit at this cost, besides serving existing ones."""
    return derived(
        "/s",
        lambda percent, processes, time: percent / PERCENT * processes / time if time else math.inf,
        inputs.assumed("return_core_pct"),
        inputs.processes_per_balancer,
        cost,
    )


def loss(inputs: Inputs, name: str, lost: Quantity) -> Loss:
    """Compute the loss of a number of balancers at once."""
    remaining = derived("balancers", lambda count, failed: count - failed, inputs.balancers, lost)
    clients = derived(
        "connections",
        lambda failed, per_balancer: failed * per_balancer,
        lost,
        inputs.connections_per_balancer,
    )
    per_balancer = derived("connections", lambda total_, balancers: total_ / balancers, clients, remaining)
    plain = derived("s", admission_time, per_balancer, admission_rate(inputs, connection_cost(inputs)))
    encrypted_rate = admission_rate(inputs, encrypted_cost(inputs))
    encrypted = derived("s", admission_time, per_balancer, encrypted_rate)
    admission = derived("/s", lambda rate, balancers: rate * balancers, encrypted_rate, remaining)
    window = maximum(encrypted, HERD_WINDOW)
    return Loss(
        name,
        clients,
        per_balancer,
        total(inputs.connections_per_balancer, per_balancer),
        plain,
        encrypted,
        admission,
        window,
    )


def admission_time(count: float, rate: float) -> float:
    """Seconds to admit `count` connections at `rate` per second; infinite if the rate is 0."""
    return count / rate if rate else math.inf


def losses(inputs: Inputs) -> list[Loss]:
    """The losses of a rack, a zone and a region."""
    fleet = inputs.targets.fleet
    rack = derived(
        "balancers",
        lambda count, balancers: min(count, balancers - 1.0),
        inputs.assumed("machines_a_rack"),
        inputs.balancers,
    )
    zone = derived("balancers", lambda count, zones: count / zones, inputs.balancers, inputs.zones)
    region = specified(fleet.balancers / fleet.regions, "balancers")
    return [loss(inputs, "rack", rack), loss(inputs, "zone", zone), loss(inputs, "region", region)]


def zone_loss(inputs: Inputs) -> Loss:
    """The loss of a zone."""
    return losses(inputs)[1]


def herd_rate(lost: Loss) -> Quantity:
    """Connections per second at one remaining balancer if all clients return within `HERD_WINDOW`."""
    return derived("/s", lambda clients, time: clients / time, lost.clients_per_balancer, HERD_WINDOW)


def reconnecting_role(inputs: Inputs) -> Role:
    """The role of reconnecting: load of a lost zone's clients on each remaining balancer."""
    zone = zone_loss(inputs)
    deadline = inputs.assumed("return_within_s")
    mean_rate = derived("/s", lambda each, time: each / time, zone.clients_per_balancer, deadline)
    admitted_rate = admission_rate(inputs, encrypted_cost(inputs))
    memory = derived("B", lambda count, each: count * each, zone.connections_held, inputs.connection_memory)
    state = derived(
        "B", lambda count, each: count * each, zone.clients_per_balancer, inputs.connection_memory
    )
    mean_cores = derived("cores", lambda rate_, cost: rate_ * cost, mean_rate, encrypted_cost(inputs))
    core_budget = derived(
        "cores",
        lambda percent, processes: percent / PERCENT * processes,
        inputs.assumed("return_core_pct"),
        inputs.processes_per_balancer,
    )
    return Role(
        "reconnecting",
        "Reconnecting after a loss of rack, zone or region",
        "Quantities are of a remaining balancer, after the loss of a zone.",
        (
            Row(QuantityKind.STATE, "connections that arrive", state),
            Row(
                QuantityKind.MEMORY,
                "all connections afterwards, with the memory of one machine",
                memory,
                inputs.assumed("machine_memory_gb"),
            ),
            Row(QuantityKind.MESSAGES, "connections, spread over the assumed time", mean_rate, admitted_rate),
            Row(QuantityKind.PEAK, "connections, all within a second", herd_rate(zone), admitted_rate),
            Row(
                QuantityKind.PROCESSOR, "the same spread arrivals, with cryptography", mean_cores, core_budget
            ),
            Row(QuantityKind.TIME, "all reconnected, without cryptography", zone.plain_time, deadline),
            Row(QuantityKind.TIME, "all reconnected, with cryptography", zone.encrypted_time, deadline),
            Row(
                QuantityKind.TIME,
                "one arrival of a lost zone in the decision module",
                zone_measured(inputs, "failure.zone_arrivals"),
            ),
            Row(
                QuantityKind.TIME,
                "all arrivals of one balancer",
                zone_measured(inputs, "failure.zone_seconds"),
                deadline,
            ),
            Row(QuantityKind.TIME, f"a restart, {inputs.server_counts[-1]:,} servers", restart_time(inputs)),
        ),
        (
            Mechanism(
                "retry-after to clients that cannot be admitted (`BUSY MS`)",
                Status.IMPLEMENTED,
                "if settings allow it",
            ),
            Mechanism(
                "admission by each server's load and slow start",
                Status.IMPLEMENTED,
                "cold servers, overloaded servers",
            ),
            Mechanism(
                "admission of new connections by processor time of the balancer",
                Status.MISSING,
                "limited by descriptors today",
            ),
            Mechanism("full jitter in the clients' reconnecting", Status.EXTERNAL, "the clients'"),
            Mechanism(
                "anycast or DNS that directs clients to another zone", Status.EXTERNAL, "the network's"
            ),
        ),
    )


def zone_measured(inputs: Inputs, series: str) -> Quantity:
    """A series of arrivals in the decision module after the loss of a zone."""
    connections = inputs.connections_per_balancer.value or 0.0
    arrivals = zone_loss(inputs).clients_per_balancer.value or 0.0
    return inputs.measurements.at(series, "standing", connections, arrivals=round(arrivals))


def restart_time(inputs: Inputs) -> Quantity:
    """Time until a restarted process is ready, with the largest number of servers."""
    return inputs.measurements.at("failure.restart_s", "servers", inputs.server_counts[-1])


def reconnecting_quantities(inputs: Inputs) -> dict[str, Quantity]:
    """Quantities quoted in the chapter on reconnecting."""
    zone = zone_loss(inputs)
    return {
        "reconnecting.clients": zone.clients,
        "reconnecting.clients_per_balancer": zone.clients_per_balancer,
        "reconnecting.admission_rate": zone.admission,
        "reconnecting.jitter_window": zone.jitter_window,
        "reconnecting.herd_rate": herd_rate(zone),
        "reconnecting.connection_cost": connection_cost(inputs),
        "reconnecting.encrypted_cost": encrypted_cost(inputs),
        "reconnecting.connections_after_region_loss": losses(inputs)[2].connections_held,
        "reconnecting.clients_per_server": derived(
            "connections",
            lambda clients, servers: clients / servers,
            zone.clients,
            inputs.max_servers,
        ),
    }
