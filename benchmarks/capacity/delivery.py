"""Delivery of one message of the largest topic to its listeners, by a tree of processes, hop by hop."""

from __future__ import annotations

import math
from dataclasses import dataclass

from benchmarks.capacity.inputs import PERCENT, Inputs
from benchmarks.capacity.quantity import Quantity, derived, told, total
from benchmarks.capacity.roles import Kind, Mechanism, Role, Row, Status

MILLISECOND = 1e-3
HALVINGS = 60  # of an interval, past the precision of a float


@dataclass(frozen=True)
class Hop:
    """One step of the tree. Times are of the last child of a node."""

    name: str
    nodes: Quantity  # that receive it at the end of the hop
    children: Quantity  # of one sender
    sending: Quantity
    way: Quantity  # half a round trip
    queue: Quantity  # in 99 of 100, before the sender begins


def listeners(inputs: Inputs) -> Quantity:
    """Listeners of the largest topic."""
    return told(inputs.targets.fleet.largest_topic_listeners, "listeners")


def within(inputs: Inputs) -> Quantity:
    return told(inputs.targets.fleet.delivery_within_ms * MILLISECOND, "s")


def alone(inputs: Inputs) -> Quantity:
    """One process that writes to all listeners itself."""
    return derived("s", lambda count, line: count * line, listeners(inputs), inputs.line_cost)


def flat(inputs: Inputs) -> Quantity:
    """One process that writes to one process of every balancer."""
    return derived("s", lambda count, line: count * line, inputs.balancers, inputs.line_cost)


def busy(inputs: Inputs) -> Quantity:
    """The part of the time that a process is busy at the told rate of deliveries."""
    return derived("", lambda cores, processes: cores / processes, inputs.data_cores, inputs.processes_each)


def queue(inputs: Inputs, hops: int = 1) -> Quantity:
    """Time in the queues of so many processes one after the other, at the told part of deliveries.

    Each is an M/M/1 server that is busy the part u of its time: a message waits with chance u, and then for a
    time that is exponential with mean S / (1 - u) (Kleinrock 1975). S is taken as the time of sending to a
    full set of the tree's children.
    """
    part = inputs.targets.fleet.delivery_part
    service = derived("s", lambda line, count: line * count, inputs.line_cost, inputs.assumed("tree_fan_out"))

    def waited(each: float, used: float) -> float:
        return math.inf if used >= 1.0 else each / (1.0 - used) * quantile(part, used, hops)

    return derived("s", waited, service, busy(inputs))


def quantile(part: float, used: float, hops: int) -> float:
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
    for _ in range(HALVINGS):
        middle = (low + high) / 2.0
        low, high = (middle, high) if beyond(middle) > 1.0 - part else (low, middle)
    return high


def processes_a_zone(inputs: Inputs) -> Quantity:
    return derived(
        "processes",
        lambda count, each, zones: math.ceil(count * each / zones),
        inputs.balancers,
        inputs.processes_each,
        inputs.zones,
    )


def listeners_a_process(inputs: Inputs) -> Quantity:
    """Listeners of the largest topic at one process, spread evenly."""
    return derived(
        "listeners",
        lambda whole, count, each: math.ceil(whole / (count * each)),
        listeners(inputs),
        inputs.balancers,
        inputs.processes_each,
    )


def tree(inputs: Inputs) -> list[Hop]:
    """The hops from the publisher's process to the listeners."""
    fleet = inputs.targets.fleet
    zones_a_region = math.ceil(fleet.zones / fleet.regions)
    hops = [
        _hop(inputs, "publisher's process to the topic's holder", 1.0, told(1.0, "nodes"), "world"),
        _hop(inputs, "holder to regions", float(fleet.regions), told(fleet.regions, "nodes"), "world"),
        _hop(inputs, "region to its zones", float(zones_a_region), told(fleet.zones, "nodes"), "region"),
    ]
    hops += _zone_hops(inputs)
    each = listeners_a_process(inputs)
    last = Hop(
        "process to its listeners",
        listeners(inputs),
        each,
        derived("s", lambda count, line: count * line, each, inputs.line_cost),
        told(0.0, "s"),
        queue(inputs),
    )
    return [*hops, last]


def _hop(inputs: Inputs, name: str, children: float, nodes: Quantity, distance: str) -> Hop:
    count = told(children, "children")
    sending = derived("s", lambda number, line: number * line, count, inputs.line_cost)
    way = derived("s", lambda round_trip: round_trip / 2.0, inputs.assumed(f"round_trip_{distance}_ms"))
    return Hop(name, nodes, count, sending, way, queue(inputs))


def _zone_hops(inputs: Inputs) -> list[Hop]:
    """As many levels inside a zone as the fan-out needs for its processes; one where these are not known."""
    fan_out = inputs.assumed("tree_fan_out")
    wanted = processes_a_zone(inputs)
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
        way = derived("s", lambda round_trip: round_trip / 2.0, inputs.assumed("round_trip_zone_ms"))
        hops.append(Hop(f"inside a zone, level {level}", nodes, children, sending, way, queue(inputs)))
    return hops


def tree_queue(inputs: Inputs) -> Quantity:
    """The queues of all hops together, at the told part of deliveries."""
    return queue(inputs, len(tree(inputs)))


def tree_time(inputs: Inputs) -> Quantity:
    """All hops together."""
    hops = tree(inputs)
    return total(*(hop.sending for hop in hops), *(hop.way for hop in hops), tree_queue(inputs))


def delivery(inputs: Inputs) -> Role:
    """What one message of the largest topic and the told rate of all deliveries ask."""
    fleet = inputs.targets.fleet
    entry = inputs.assumed("shard_entry_bytes")
    state = derived("B", lambda count, size: count * size, listeners(inputs), entry)
    a_balancer = derived("listeners", lambda count, parts: count / parts, listeners(inputs), inputs.balancers)
    rate = told(fleet.deliveries_per_s, "/s")
    peak = derived("/s", lambda mean, times: mean * times, rate, inputs.assumed("peak_over_mean"))
    traffic = derived("B/s", lambda often, size: often * size, rate, inputs.assumed("message_bytes"))
    cores = derived("cores", lambda often, cost: often * cost, rate, inputs.line_cost)
    own = derived("B", lambda count, size: count * size, a_balancer, entry)
    return Role(
        "delivery",
        "Delivery of a topic's messages to its listeners",
        "Quantities are of the fleet.",
        (
            Row(Kind.STATE, "listeners of the largest topic as entries, all balancers", state),
            Row(Kind.MEMORY, "a balancer's part of it", own, inputs.memory_budget),
            Row(Kind.MESSAGES, "deliveries", rate),
            Row(Kind.PEAK, "deliveries", peak),
            Row(Kind.BYTES, "deliveries", traffic),
            Row(Kind.PROCESSOR, "deliveries, all balancers", cores),
            Row(Kind.TIME, "largest topic from one process alone", alone(inputs), within(inputs)),
            Row(Kind.TIME, "one process to each balancer, first hop alone", flat(inputs), within(inputs)),
            Row(Kind.TIME, "by the tree below", tree_time(inputs), within(inputs)),
        ),
        (
            Mechanism(
                "application-level multicast: a tree by region, zone and process",
                Status.MISSING,
                "no topic is known here",
            ),
            Mechanism(
                "backpressure: a listener is read no faster than it is written to",
                Status.RUNS,
                "`fronts/sockets`",
            ),
            Mechanism(
                "subscription state, by topic and shard",
                Status.MISSING,
                "what a topic is to a balancer is asked",
            ),
            Mechanism("durable log of a topic's messages", Status.ELSEWHERE, "an existing broker's work"),
        ),
    )


def delivery_figures(inputs: Inputs) -> dict[str, Quantity]:
    """What the chapter on delivery quotes."""
    return {
        "delivery.alone": alone(inputs),
        "delivery.flat": flat(inputs),
        "delivery.within": within(inputs),
        "delivery.tree": tree_time(inputs),
        "delivery.listeners_a_process": listeners_a_process(inputs),
        "delivery.fan_out": inputs.assumed("tree_fan_out"),
        "delivery.busy": derived("%", lambda part: part * PERCENT, busy(inputs)),
        "delivery.queue": tree_queue(inputs),
        "delivery.ways": total(*(hop.way for hop in tree(inputs))),
        "delivery.messages": derived(
            "/s",
            lambda rate, count: rate / count,
            told(inputs.targets.fleet.deliveries_per_s, "/s"),
            listeners(inputs),
        ),
    }
