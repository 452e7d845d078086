"""Delivery of one message of the largest topic to its listeners, by a tree of processes, hop by hop."""

from __future__ import annotations

import math
from dataclasses import dataclass

from benchmarks.capacity.inputs import PERCENT, Inputs
from benchmarks.capacity.quantity import Quantity, derived, specified, total
from benchmarks.capacity.roles import Mechanism, QuantityKind, Role, Row, Status

MILLISECOND_S = 1e-3
BISECTION_STEPS = 60  # of an interval, past the precision of a float


@dataclass(frozen=True)
class Hop:
    """One step of the tree. Times are of the last child of a node."""

    name: str
    nodes: Quantity  # that receive it at the end of the hop
    children: Quantity  # of one sender
    sending: Quantity
    latency: Quantity  # half a round trip
    queueing_time: Quantity  # in 99 of 100, before the sender begins


def listeners(inputs: Inputs) -> Quantity:
    """Listeners of the largest topic."""
    return specified(inputs.targets.fleet.largest_topic_listeners, "listeners")


def within(inputs: Inputs) -> Quantity:
    return specified(inputs.targets.fleet.delivery_within_ms * MILLISECOND_S, "s")


def single_process_time(inputs: Inputs) -> Quantity:
    """One process that writes to all listeners itself."""
    return derived("s", lambda count, line: count * line, listeners(inputs), inputs.line_cost)


def flat_fan_out_time(inputs: Inputs) -> Quantity:
    """One process that writes to one process of every balancer."""
    return derived("s", lambda count, line: count * line, inputs.balancers, inputs.line_cost)


def utilization(inputs: Inputs) -> Quantity:
    """The part of the time that a process is busy at the told rate of deliveries."""
    return derived(
        "", lambda cores, processes: cores / processes, inputs.delivery_cores, inputs.processes_per_balancer
    )


def queueing_time(inputs: Inputs, hops: int = 1) -> Quantity:
    """Time in the queues of so many processes one after the other, at the told part of deliveries.

    Each is an M/M/1 server that is busy the part u of its time: a message waits with chance u, and then for a
    time that is exponential with mean S / (1 - u) (Kleinrock 1975). S is taken as the time of sending to a
    full set of the tree's children.
    """
    part = inputs.targets.fleet.delivery_part
    service = derived("s", lambda line, count: line * count, inputs.line_cost, inputs.assumed("tree_fan_out"))

    def waited(each: float, used: float) -> float:
        return math.inf if used >= 1.0 else each / (1.0 - used) * queueing_quantile(part, used, hops)

    return derived("s", waited, service, utilization(inputs))


def queueing_quantile(part: float, used: float, hops: int) -> float:
    """Within how many mean waits the part of all messages has passed the queues of all hops.

    How many hops make it wait is binomial; the sum of k exponential waits is Erlang's, whose tail is that of
    a Poisson count below k.
    """

    def beyond(time: float) -> float:
        tail, term, beyond_ = 0.0, math.exp(-time), 0.0
        for waits in range(1, hops + 1):
            tail += term
            term *= time / waits
            beyond_ += math.comb(hops, waits) * used**waits * (1.0 - used) ** (hops - waits) * tail
        return beyond_

    low, high = 0.0, 100.0 + 10.0 * hops
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2.0
        low, high = (middle, high) if beyond(middle) > 1.0 - part else (low, middle)
    return high


def processes_per_zone(inputs: Inputs) -> Quantity:
    return derived(
        "processes",
        lambda count, each, zones: math.ceil(count * each / zones),
        inputs.balancers,
        inputs.processes_per_balancer,
        inputs.zones,
    )


def listeners_per_process(inputs: Inputs) -> Quantity:
    """Listeners of the largest topic at one process, spread evenly."""
    return derived(
        "listeners",
        lambda whole, count, each: math.ceil(whole / (count * each)),
        listeners(inputs),
        inputs.balancers,
        inputs.processes_per_balancer,
    )


def tree(inputs: Inputs) -> list[Hop]:
    """The hops from the publisher's process to the listeners."""
    fleet = inputs.targets.fleet
    zones_per_region = math.ceil(fleet.zones / fleet.regions)
    hops = [
        _hop(inputs, "publisher's process to the topic's holder", 1.0, specified(1.0, "nodes"), "world"),
        _hop(inputs, "holder to regions", float(fleet.regions), specified(fleet.regions, "nodes"), "world"),
        _hop(
            inputs, "region to its zones", float(zones_per_region), specified(fleet.zones, "nodes"), "region"
        ),
    ]
    hops += _zone_hops(inputs)
    each = listeners_per_process(inputs)
    last = Hop(
        "process to its listeners",
        listeners(inputs),
        each,
        derived("s", lambda count, line: count * line, each, inputs.line_cost),
        specified(0.0, "s"),
        queueing_time(inputs),
    )
    return [*hops, last]


def _hop(inputs: Inputs, name: str, children: float, nodes: Quantity, distance: str) -> Hop:
    count = specified(children, "children")
    sending = derived("s", lambda number, line: number * line, count, inputs.line_cost)
    latency = derived("s", lambda round_trip: round_trip / 2.0, inputs.assumed(f"round_trip_{distance}_ms"))
    return Hop(name, nodes, count, sending, latency, queueing_time(inputs))


def _zone_hops(inputs: Inputs) -> list[Hop]:
    """As many levels inside a zone as the fan-out needs for its processes; one where these are not known."""
    fan_out = inputs.assumed("tree_fan_out")
    wanted = processes_per_zone(inputs)
    if wanted.value is None or fan_out.value is None or fan_out.value < 2.0:
        levels = 1
    else:
        levels = max(1, math.ceil(math.log(wanted.value) / math.log(fan_out.value) - 1e-9))
    hops = []
    for level in range(1, levels + 1):
        nodes = derived(
            "nodes",
            lambda count, children, zones, level=level: zones * min(count, children**level),
            wanted,
            fan_out,
            inputs.zones,
        )
        children = derived("children", lambda most, count: min(most, count), fan_out, wanted)
        sending = derived("s", lambda number, line: number * line, children, inputs.line_cost)
        latency = derived("s", lambda round_trip: round_trip / 2.0, inputs.assumed("round_trip_zone_ms"))
        hops.append(
            Hop(f"inside a zone, level {level}", nodes, children, sending, latency, queueing_time(inputs))
        )
    return hops


def tree_queue(inputs: Inputs) -> Quantity:
    """The queues of all hops together, at the told part of deliveries."""
    return queueing_time(inputs, len(tree(inputs)))


def tree_time(inputs: Inputs) -> Quantity:
    """All hops together."""
    hops = tree(inputs)
    return total(*(hop.sending for hop in hops), *(hop.latency for hop in hops), tree_queue(inputs))


def delivery(inputs: Inputs) -> Role:
    """What one message of the largest topic and the told rate of all deliveries ask."""
    fleet = inputs.targets.fleet
    entry = inputs.assumed("shard_entry_bytes")
    state = derived("B", lambda count, size: count * size, listeners(inputs), entry)
    a_balancer = derived("listeners", lambda count, parts: count / parts, listeners(inputs), inputs.balancers)
    rate = specified(fleet.deliveries_per_s, "/s")
    peak = derived("/s", lambda mean, times: mean * times, rate, inputs.assumed("peak_over_mean"))
    traffic = derived("B/s", lambda often, size: often * size, rate, inputs.assumed("message_bytes"))
    cores = derived("cores", lambda often, cost: often * cost, rate, inputs.line_cost)
    own = derived("B", lambda count, size: count * size, a_balancer, entry)
    return Role(
        "delivery",
        "Delivery of a topic's messages to its listeners",
        "Quantities are of the fleet.",
        (
            Row(QuantityKind.STATE, "listeners of the largest topic as entries, all balancers", state),
            Row(QuantityKind.MEMORY, "a balancer's part of it", own, inputs.memory_budget),
            Row(QuantityKind.MESSAGES, "deliveries", rate),
            Row(QuantityKind.PEAK, "deliveries", peak),
            Row(QuantityKind.BYTES, "deliveries", traffic),
            Row(QuantityKind.PROCESSOR, "deliveries, all balancers", cores),
            Row(
                QuantityKind.TIME,
                "largest topic from one process alone",
                single_process_time(inputs),
                within(inputs),
            ),
            Row(
                QuantityKind.TIME,
                "one process to each balancer, first hop alone",
                flat_fan_out_time(inputs),
                within(inputs),
            ),
            Row(QuantityKind.TIME, "by the tree below", tree_time(inputs), within(inputs)),
        ),
        (
            Mechanism(
                "application-level multicast: a tree by region, zone and process",
                Status.MISSING,
                "no topic is known here",
            ),
            Mechanism(
                "backpressure: a listener is read no faster than it is written to",
                Status.IMPLEMENTED,
                "`fronts/sockets`",
            ),
            Mechanism(
                "subscription state, by topic and shard",
                Status.MISSING,
                "what a topic is to a balancer is asked",
            ),
            Mechanism("durable log of a topic's messages", Status.EXTERNAL, "an existing broker's work"),
        ),
    )


def delivery_quantities(inputs: Inputs) -> dict[str, Quantity]:
    """What the chapter on delivery quotes."""
    return {
        "delivery.alone": single_process_time(inputs),
        "delivery.flat": flat_fan_out_time(inputs),
        "delivery.within": within(inputs),
        "delivery.tree": tree_time(inputs),
        "delivery.listeners_a_process": listeners_per_process(inputs),
        "delivery.fan_out": inputs.assumed("tree_fan_out"),
        "delivery.busy": derived("%", lambda part: part * PERCENT, utilization(inputs)),
        "delivery.queue": tree_queue(inputs),
        "delivery.ways": total(*(hop.latency for hop in tree(inputs))),
        "delivery.messages": derived(
            "/s",
            lambda rate, count: rate / count,
            specified(inputs.targets.fleet.deliveries_per_s, "/s"),
            listeners(inputs),
        ),
    }
