"""Clients that come back after a rack, a zone or a region is lost: how many, how fast, and by what jitter."""

from __future__ import annotations

import math
from dataclasses import dataclass

from benchmarks.capacity.inputs import PERCENT, Inputs
from benchmarks.capacity.quantity import Quantity, derived, maximum, specified, total
from benchmarks.capacity.roles import Mechanism, QuantityKind, Role, Row, Status

HERD_WINDOW = specified(1.0, "s")  # in which clients without jitter come back


@dataclass(frozen=True)
class Loss:
    """What goes at once, and what its clients cost the balancers that are left."""

    name: str
    clients: Quantity  # that come back
    clients_per_balancer: Quantity  # of them, at a balancer that is left
    connections_held: Quantity  # connections of such a balancer afterwards
    plain_time: Quantity  # seconds until all are back
    encrypted_time: Quantity  # the same with a full cryptographic handshake each
    admission: Quantity  # connections a second that the fleet admits, with cryptography
    jitter_window: Quantity  # full jitter over so long keeps arrivals within that rate


def connection_cost(inputs: Inputs) -> Quantity:
    """Processor time of one connection that comes: opened and placed by the side that clients speak to."""
    standing = inputs.connections_per_process
    placing = inputs.measured_at_quantity("module.place_own_groups", "standing", standing)
    opening = inputs.measurements.unit_cost("data.connection_us", standing.value or 0.0)
    return total(opening, placing)


def encrypted_cost(inputs: Inputs) -> Quantity:
    """The same with a cryptographic handshake."""
    return total(connection_cost(inputs), inputs.assumed("cryptography_us"))


def admission_rate(inputs: Inputs, cost: Quantity) -> Quantity:
    """Connections a second that one balancer's processes may take, beside what they serve on."""
    return derived(
        "/s",
        lambda part, processes, each: part / PERCENT * processes / each if each else math.inf,
        inputs.assumed("return_core_pct"),
        inputs.processes_per_balancer,
        cost,
    )


def loss(inputs: Inputs, name: str, lost: Quantity) -> Loss:
    """A loss of so many balancers at once."""
    left = derived("balancers", lambda count, gone: count - gone, inputs.balancers, lost)
    clients = derived("connections", lambda gone, each: gone * each, lost, inputs.connections_per_balancer)
    each = derived("connections", lambda all_, parts: all_ / parts, clients, left)
    plain = derived("s", time_for, each, admission_rate(inputs, connection_cost(inputs)))
    encrypted_rate = admission_rate(inputs, encrypted_cost(inputs))
    encrypted = derived("s", time_for, each, encrypted_rate)
    admission = derived("/s", lambda rate, parts: rate * parts, encrypted_rate, left)
    window = maximum(encrypted, HERD_WINDOW)
    return Loss(
        name, clients, each, total(inputs.connections_per_balancer, each), plain, encrypted, admission, window
    )


def time_for(count: float, rate: float) -> float:
    return count / rate if rate else math.inf


def losses(inputs: Inputs) -> list[Loss]:
    """A rack, a zone and a region."""
    fleet = inputs.targets.fleet
    rack = derived(
        "balancers",
        lambda count, most: min(count, most - 1.0),
        inputs.assumed("machines_a_rack"),
        inputs.balancers,
    )
    zone = derived("balancers", lambda count, zones: count / zones, inputs.balancers, inputs.zones)
    region = specified(fleet.balancers / fleet.regions, "balancers")
    return [loss(inputs, "rack", rack), loss(inputs, "zone", zone), loss(inputs, "region", region)]


def zone_loss(inputs: Inputs) -> Loss:
    return losses(inputs)[1]


def herd_rate(lost: Loss) -> Quantity:
    """Connections a second at one balancer, where all clients come back at once."""
    return derived("/s", lambda each, time: each / time, lost.clients_per_balancer, HERD_WINDOW)


def reconnecting(inputs: Inputs) -> Role:
    """What a lost zone's clients cost each balancer that is left."""
    zone = zone_loss(inputs)
    within = inputs.assumed("return_within_s")
    mean = derived("/s", lambda each, time: each / time, zone.clients_per_balancer, within)
    rate = admission_rate(inputs, encrypted_cost(inputs))
    memory = derived("B", lambda count, each: count * each, zone.connections_held, inputs.connection_memory)
    state = derived(
        "B", lambda count, each: count * each, zone.clients_per_balancer, inputs.connection_memory
    )
    busy = derived("cores", lambda rate_, cost: rate_ * cost, mean, encrypted_cost(inputs))
    spare = derived(
        "cores",
        lambda part, parts: part / PERCENT * parts,
        inputs.assumed("return_core_pct"),
        inputs.processes_per_balancer,
    )
    return Role(
        "reconnecting",
        "Reconnecting after a loss of rack, zone or region",
        "Quantities are of a balancer that is left, after a zone.",
        (
            Row(QuantityKind.STATE, "connections that come", state),
            Row(
                QuantityKind.MEMORY,
                "all connections then, beside one machine",
                memory,
                inputs.assumed("machine_memory_gb"),
            ),
            Row(QuantityKind.MESSAGES, "connections, spread over the assumed time", mean, rate),
            Row(QuantityKind.PEAK, "connections, all within a second", herd_rate(zone), rate),
            Row(QuantityKind.PROCESSOR, "the spread ones, with cryptography", busy, spare),
            Row(QuantityKind.TIME, "all back, no cryptography", zone.plain_time, within),
            Row(QuantityKind.TIME, "all back, with cryptography", zone.encrypted_time, within),
            Row(
                QuantityKind.TIME,
                "arrivals of a lost zone in the decision module, each",
                zone_measured(inputs, "failure.zone_arrivals"),
            ),
            Row(
                QuantityKind.TIME,
                "the same, all of one balancer's",
                zone_measured(inputs, "failure.zone_seconds"),
                within,
            ),
            Row(QuantityKind.TIME, f"a restart, {inputs.server_counts[-1]:,} servers", restart(inputs)),
        ),
        (
            Mechanism(
                "retry-after to clients that cannot be taken (`BUSY MS`)",
                Status.IMPLEMENTED,
                "where settings allow it",
            ),
            Mechanism(
                "admission by what each server carries and its warmth",
                Status.IMPLEMENTED,
                "cold servers, late servers",
            ),
            Mechanism(
                "admission of newcomers by processor time of the balancer",
                Status.MISSING,
                "descriptors bound it today",
            ),
            Mechanism("full jitter in the clients' reconnecting", Status.EXTERNAL, "the clients'"),
            Mechanism("anycast or DNS that leads clients to another zone", Status.EXTERNAL, "the network's"),
        ),
    )


def zone_measured(inputs: Inputs, series: str) -> Quantity:
    """A series of the module's arrivals after a lost zone, at a balancer's connections."""
    standing = inputs.connections_per_balancer.value or 0.0
    arrivals = zone_loss(inputs).clients_per_balancer.value or 0.0
    return inputs.measurements.at(series, "standing", standing, arrivals=round(arrivals))


def restart(inputs: Inputs) -> Quantity:
    """Until a restarted process is ready, with the most servers."""
    return inputs.measurements.at("failure.restart_s", "servers", inputs.server_counts[-1])


def reconnecting_quantities(inputs: Inputs) -> dict[str, Quantity]:
    """What the chapter on reconnecting quotes."""
    zone = zone_loss(inputs)
    return {
        "return.clients": zone.clients,
        "return.each": zone.clients_per_balancer,
        "return.admission": zone.admission,
        "return.window": zone.jitter_window,
        "return.herd": herd_rate(zone),
        "return.cost": connection_cost(inputs),
        "return.encrypted_cost": encrypted_cost(inputs),
        "return.region_held": losses(inputs)[2].connections_held,
        "return.servers": derived(
            "connections",
            lambda clients, servers: clients / servers,
            zone.clients,
            inputs.max_servers,
        ),
    }
