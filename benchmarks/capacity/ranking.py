"""Which quantities are over their budgets by today's mechanisms, and what is built first.

Ranked is what the program does today, or would do with what it has, at the operators' size. Of the quantities
over their budgets that this program can bring under them by the protocol it has, the greatest comes first.
"""

from __future__ import annotations

from benchmarks.capacity import balancer, configuration, delivery, lists, reconnecting, shards
from benchmarks.capacity.inputs import Inputs
from benchmarks.capacity.quantity import assumed
from benchmarks.capacity.roles import Carrier, Ranked


def ranking(inputs: Inputs) -> list[Ranked]:
    """All ranked quantities, the greatest multiple of its budget first and the unmeasured ones last."""
    entries = [*_fleet(inputs), *_balancer(inputs)]
    return sorted(
        entries, key=lambda entry: -(entry.multiple.value if entry.multiple.value is not None else -1.0)
    )


def first(entries: list[Ranked]) -> Ranked | None:
    """What is built first: the greatest over its budget that the program can carry."""
    return next((entry for entry in over(entries) if entry.carrier is Carrier.PROGRAM), None)


def over(entries: list[Ranked]) -> list[Ranked]:
    """The entries that are over their budgets."""
    return [entry for entry in entries if (entry.multiple.value or 0.0) > 1.0]


def _fleet(inputs: Inputs) -> list[Ranked]:
    zone = reconnecting.zone_loss(inputs)
    spread = assumed(inputs.targets.assumed.return_within_s.value, "s")
    herd = reconnecting.herd_rate(zone)
    rate = reconnecting.admission_rate(inputs, reconnecting.connection_cost(inputs))
    within = inputs.in_force_within
    return [
        Ranked(
            "largest topic written by one process alone",
            delivery.alone(inputs),
            delivery.within(inputs),
            Carrier.PROTOCOL,
            "a tree needs a protocol for topics; what a topic is to a balancer is asked first",
        ),
        Ranked(
            "all shards in a balancer, each held as a server is today",
            shards.as_servers(inputs),
            inputs.memory_budget,
            Carrier.ANOTHER,
            "nothing holds shards today; avoided by hashing to slots, which a store of another system holds",
        ),
        Ranked(
            "one change at the last balancer, list service asked directly, by arithmetic",
            lists.direct_time(inputs),
            within,
            Carrier.PROGRAM,
            "relays fan it out by the same protocol",
        ),
        Ranked(
            "one change at the last balancer, list service asked directly, as measured",
            lists.measured_told(inputs, "last"),
            within,
            Carrier.PROGRAM,
            "the same, measured",
        ),
        Ranked(
            "calls at the list service when nothing changes, directly",
            lists.idle_calls(inputs),
            inputs.list_rate,
            Carrier.PROGRAM,
            "the same relays: calls at the source grow with them, not with balancers",
        ),
        Ranked(
            "a list at the last balancer after all watches were reset",
            lists.reset_time(inputs),
            within,
            Carrier.PROGRAM,
            "the same relays, which keep the list and a log of changes, and admit whole lists in turns",
        ),
        Ranked(
            "answers of the list service in the mean of a day, each change to each balancer by itself",
            configuration.direct_answers(inputs),
            inputs.list_rate,
            Carrier.PROGRAM,
            "the same relays",
        ),
        Ranked(
            "a lost zone's clients, all back within a second, without cryptography",
            herd,
            rate,
            Carrier.ANOTHER,
            "jitter is the clients'; admission by the balancer's processor time would be the program's",
        ),
        Ranked(
            "a lost zone's clients, back as fast as processors allow, with cryptography",
            zone.encrypted,
            spread,
            Carrier.PROCESSES,
            "scales with processes; cryptography is not wanted now",
        ),
    ]


def _balancer(inputs: Inputs) -> list[Ranked]:
    many = inputs.server_counts[-1]
    return [
        Ranked(
            "deliveries of a balancer in one process",
            inputs.data_cores,
            inputs.process_cores,
            Carrier.PROCESSES,
            "scales with processes, each a balancer of its own today",
        ),
        Ranked(
            "bytes of the largest burst at a balancer, while it lasts",
            configuration.burst_bytes(inputs),
            inputs.bytes_budget,
            Carrier.PROGRAM,
            "bound to the moment; coalescing saves heads, and the mean is far below",
        ),
        Ranked(
            f"largest burst in the decision module, {many:,} servers, while it lasts",
            configuration.burst_core(inputs, many),
            inputs.core_budget,
            Carrier.PROGRAM,
            "coalescing makes one call of the module out of many changes",
        ),
        Ranked(
            f"memory of control, {many:,} servers",
            balancer.control_memory(inputs, many),
            inputs.memory_budget,
            Carrier.PROGRAM,
            "subsetting would bound it",
        ),
        Ranked(
            f"processor time of control, {many:,} servers, a change a second",
            balancer.control_core(inputs, many, balancer.BUSY_CHANGES),
            inputs.core_budget,
            Carrier.PROGRAM,
            "subsetting would bound it",
        ),
        Ranked(
            f"bytes of control, {many:,} servers, a change a second",
            balancer.control_bytes(inputs, many, balancer.BUSY_CHANGES),
            inputs.bytes_budget,
            Carrier.PROGRAM,
            "none needed",
        ),
    ]
