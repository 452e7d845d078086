"""The role of delivery: one message of the largest topic to its listeners through a tree of processes."""

from __future__ import annotations

import math
from dataclasses import dataclass

from benchmarks.capacity.inputs import PERCENT, Inputs
from benchmarks.capacity.quantity import Quantity, derived, specified, total
from benchmarks.capacity.roles import Mechanism, QuantityKind, Role, Row, Status

MILLISECOND_S = 1e-3
BISECTION_STEPS = 60  # narrows the interval to the precision of a float


@dataclass(frozen=True)
class Hop:
    """One hop of the delivery tree. Times are until a sender has served its last child."""

    name: str
    nodes: Quantity  # receivers at the end of the hop
    children: Quantity  # per sender
    sending: Quantity
    latency: Quantity  # one way: half of the round trip
    queueing_time: Quantity  # before sending starts, at the targeted quantile


def listeners(inputs: Inputs) -> Quantity:
    """Number of listeners of the largest topic."""
    return specified(inputs.targets.fleet.largest_topic_listeners, "listeners")


def delivery_deadline(inputs: Inputs) -> Quantity:
    """Time within which the targeted fraction of deliveries has to arrive."""
    return specified(inputs.targets.fleet.delivery_within_ms * MILLISECOND_S, "s")


def single_process_time(inputs: Inputs) -> Quantity:
    """Time for one process to write to all listeners."""
    return derived("s", lambda count, line: count * line, listeners(inputs), inputs.line_cost)


def flat_fan_out_time(inputs: Inputs) -> Quantity:
    """Time for one process to write to one process of every balancer."""
    return derived("s", lambda count, line: count * line, inputs.balancers, inputs.line_cost)


def utilization(inputs: Inputs) -> Quantity:
    """Fraction of time that a process is busy at the targeted rate of deliveries."""
    return derived(
        "", lambda cores, processes: cores / processes, inputs.delivery_cores, inputs.processes_per_balancer
    )


def queueing_time(inputs: Inputs, hops: int = 1) -> Quantity:
    """Total queueing time in a number of consecutive processes, at the targeted quantile of deliveries.

    Each process is modelled as an M/M/1 server with utilization u: a message waits with probability u, for an
    exponentially distributed time with mean S / (1 - u) (Kleinrock 1975). The service time S is that of
    sending to a full set of children.
    """
    fraction = inputs.targets.fleet.delivery_part
    service = derived("s", lambda line, count: line * count, inputs.line_cost, inputs.assumed("tree_fan_out"))

    def waiting_time(service_time: float, load: float) -> float:
        return (
            math.inf if load >= 1.0 else service_time / (1.0 - load) * queueing_quantile(fraction, load, hops)
        )

    return derived("s", waiting_time, service, utilization(inputs))


def queueing_quantile(fraction: float, load: float, hops: int) -> float:
    """Quantile of the total waiting time in all hops, in multiples of the mean wait of one hop.

    The number of hops with a wait is binomially distributed. The sum of k exponential waits has the Erlang
    distribution, whose tail is the probability of a Poisson count below k.
    """

    def tail_probability(time: float) -> float:
        poisson_tail, term, probability = 0.0, math.exp(-time), 0.0
        for waits in range(1, hops + 1):
            poisson_tail += term
            term *= time / waits
            probability += (
                math.comb(hops, waits) * load**waits * (1.0 - load) ** (hops - waits) * poisson_tail
            )
        return probability

    low, high = 0.0, 100.0 + 10.0 * hops
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2.0
        low, high = (middle, high) if tail_probability(middle) > 1.0 - fraction else (low, middle)
    return high


def processes_per_zone(inputs: Inputs) -> Quantity:
    """Number of balancer processes in a zone, rounded up."""
    return derived(
        "processes",
        lambda count, processes, zones: math.ceil(count * processes / zones),
        inputs.balancers,
        inputs.processes_per_balancer,
        inputs.zones,
    )


def listeners_per_process(inputs: Inputs) -> Quantity:
    """Listeners of the largest topic per process, evenly distributed."""
    return derived(
        "listeners",
        lambda total_, count, processes: math.ceil(total_ / (count * processes)),
        listeners(inputs),
        inputs.balancers,
        inputs.processes_per_balancer,
    )


def tree(inputs: Inputs) -> list[Hop]:
    """Hops from the publisher's process to the listeners."""
    fleet = inputs.targets.fleet
    zones_per_region = math.ceil(fleet.zones / fleet.regions)
    hops = [
        _hop(inputs, "publisher's process to the topic's owner", 1.0, specified(1.0, "nodes"), "world"),
        _hop(inputs, "owner to regions", float(fleet.regions), specified(fleet.regions, "nodes"), "world"),
        _hop(
            inputs, "region to its zones", float(zones_per_region), specified(fleet.zones, "nodes"), "region"
        ),
    ]
    hops += _zone_hops(inputs)
    per_process = listeners_per_process(inputs)
    last = Hop(
        "process to its listeners",
        listeners(inputs),
        per_process,
        derived("s", lambda count, line: count * line, per_process, inputs.line_cost),
        specified(0.0, "s"),
        queueing_time(inputs),
    )
    return [*hops, last]


def _hop(inputs: Inputs, name: str, children: float, nodes: Quantity, distance: str) -> Hop:
    count = specified(children, "children")
    sending = derived("s", lambda size, line: size * line, count, inputs.line_cost)
    latency = derived("s", lambda round_trip: round_trip / 2.0, inputs.assumed(f"round_trip_{distance}_ms"))
    return Hop(name, nodes, count, sending, latency, queueing_time(inputs))


def _zone_hops(inputs: Inputs) -> list[Hop]:
    """Hops inside a zone, one per level; one in total if processes are unknown or the fan-out is below 2."""
    fan_out = inputs.assumed("tree_fan_out")
    processes = processes_per_zone(inputs)
    if processes.value is None or fan_out.value is None or fan_out.value < 2.0:
        levels = 1
    else:
        levels = max(1, math.ceil(math.log(processes.value) / math.log(fan_out.value) - 1e-9))
    hops = []
    for level in range(1, levels + 1):
        nodes = derived(
            "nodes",
            lambda count, children, zones, level=level: zones * min(count, children**level),
            processes,
            fan_out,
            inputs.zones,
        )
        children = derived("children", lambda limit, count: min(limit, count), fan_out, processes)
        sending = derived("s", lambda size, line: size * line, children, inputs.line_cost)
        latency = derived("s", lambda round_trip: round_trip / 2.0, inputs.assumed("round_trip_zone_ms"))
        hops.append(
            Hop(f"inside a zone, level {level}", nodes, children, sending, latency, queueing_time(inputs))
        )
    return hops


def tree_queue(inputs: Inputs) -> Quantity:
    """Total queueing time of all hops, at the targeted quantile of deliveries."""
    return queueing_time(inputs, len(tree(inputs)))


def tree_time(inputs: Inputs) -> Quantity:
    """Total time of all hops."""
    hops = tree(inputs)
    return total(*(hop.sending for hop in hops), *(hop.latency for hop in hops), tree_queue(inputs))


def delivery_role(inputs: Inputs) -> Role:
    """The role of delivery: the largest topic, and the targeted rate of all deliveries."""
    fleet = inputs.targets.fleet
    entry = inputs.assumed("shard_entry_bytes")
    state = derived("B", lambda count, size: count * size, listeners(inputs), entry)
    listeners_per_balancer = derived(
        "listeners", lambda count, balancers: count / balancers, listeners(inputs), inputs.balancers
    )
    rate = specified(fleet.deliveries_per_s, "/s")
    peak = derived("/s", lambda mean, factor: mean * factor, rate, inputs.assumed("peak_over_mean"))
    traffic = derived(
        "B/s", lambda deliveries, size: deliveries * size, rate, inputs.assumed("message_bytes")
    )
    cores = derived("cores", lambda deliveries, cost: deliveries * cost, rate, inputs.line_cost)
    state_per_balancer = derived("B", lambda count, size: count * size, listeners_per_balancer, entry)
    return Role(
        "delivery",
        "Delivery of a topic's messages to its listeners",
        "Quantities are of the fleet.",
        (
            Row(QuantityKind.STATE, "listeners of the largest topic as entries, all balancers", state),
            Row(QuantityKind.MEMORY, "a balancer's share of it", state_per_balancer, inputs.memory_budget),
            Row(QuantityKind.MESSAGES, "deliveries", rate),
            Row(QuantityKind.PEAK, "deliveries", peak),
            Row(QuantityKind.BYTES, "deliveries", traffic),
            Row(QuantityKind.PROCESSOR, "deliveries, all balancers", cores),
            Row(
                QuantityKind.TIME,
                "largest topic from one process alone",
                single_process_time(inputs),
                delivery_deadline(inputs),
            ),
            Row(
                QuantityKind.TIME,
                "one process to each balancer, first hop alone",
                flat_fan_out_time(inputs),
                delivery_deadline(inputs),
            ),
            Row(QuantityKind.TIME, "by the tree below", tree_time(inputs), delivery_deadline(inputs)),
        ),
        (
            Mechanism(
                "application-level multicast: a tree by region, zone and process",
                Status.MISSING,
                "balancers have no notion of a topic",
            ),
            Mechanism(
                "backpressure: a listener is read no faster than it is written to",
                Status.IMPLEMENTED,
                "`fronts/sockets`",
            ),
            Mechanism(
                "subscription state, by topic and shard",
                Status.MISSING,
                "a topic is not defined for a balancer yet",
            ),
            Mechanism("durable log of a topic's messages", Status.EXTERNAL, "an existing broker's work"),
        ),
    )


def delivery_quantities(inputs: Inputs) -> dict[str, Quantity]:
    """Quantities quoted in the chapter on delivery."""
    return {
        "delivery.single_process_time": single_process_time(inputs),
        "delivery.flat_fan_out_time": flat_fan_out_time(inputs),
        "delivery.deadline": delivery_deadline(inputs),
        "delivery.tree_time": tree_time(inputs),
        "delivery.listeners_per_process": listeners_per_process(inputs),
        "delivery.fan_out": inputs.assumed("tree_fan_out"),
        "delivery.utilization": derived("%", lambda fraction: fraction * PERCENT, utilization(inputs)),
        "delivery.queueing_time": tree_queue(inputs),
        "delivery.latency": total(*(hop.latency for hop in tree(inputs))),
        "delivery.messages": derived(
            "/s",
            lambda rate, count: rate / count,
            specified(inputs.targets.fleet.deliveries_per_s, "/s"),
            listeners(inputs),
        ),
    }
