"""Ranking of quantities by how far they exceed their budgets with today's mechanisms.

The quantities are computed for the size of the targeted fleet. The first to build is the highest-ranked
quantity over its budget that this program can reduce with its present protocol.
"""

from __future__ import annotations

from benchmarks.capacity import balancer, configuration, delivery, lists, reconnecting, shards
from benchmarks.capacity.inputs import Inputs
from benchmarks.capacity.quantity import assumed
from benchmarks.capacity.roles import RankedQuantity, Remedy


def ranking(inputs: Inputs) -> list[RankedQuantity]:
    """All ranked quantities, largest multiple of the budget first, unmeasured ones last."""
    entries = [*_fleet_entries(inputs), *_balancer_entries(inputs)]
    return sorted(
        entries, key=lambda entry: -(entry.multiple.value if entry.multiple.value is not None else -1.0)
    )


def first_to_build(entries: list[RankedQuantity]) -> RankedQuantity | None:
    """The highest-ranked quantity over its budget that this program can reduce; None if there is none."""
    return next((entry for entry in over_budget(entries) if entry.remedy is Remedy.THIS_PROGRAM), None)


def over_budget(entries: list[RankedQuantity]) -> list[RankedQuantity]:
    """The entries that exceed their budgets."""
    return [entry for entry in entries if (entry.multiple.value or 0.0) > 1.0]


def _fleet_entries(inputs: Inputs) -> list[RankedQuantity]:
    zone = reconnecting.zone_loss(inputs)
    return_deadline = assumed(inputs.targets.assumed.return_within_s.value, "s")
    herd_rate = reconnecting.herd_rate(zone)
    admission_rate = reconnecting.admission_rate(inputs, reconnecting.connection_cost(inputs))
    change_deadline = inputs.change_deadline
    return [
        RankedQuantity(
            "largest topic written by one process alone",
            delivery.single_process_time(inputs),
            delivery.delivery_deadline(inputs),
            Remedy.NEW_PROTOCOL,
            "a tree needs a protocol for topics; what a topic is to a balancer is asked first",
        ),
        RankedQuantity(
            "all shards in a balancer, each held as a server is today",
            shards.memory_as_servers(inputs),
            inputs.memory_budget,
            Remedy.OTHER_SYSTEM,
            "nothing holds shards today; avoided by hashing to slots, which a store of another system holds",
        ),
        RankedQuantity(
            "one change at the last process, where each of a balancer's asks the list service directly",
            lists.direct_time_by_process(inputs),
            change_deadline,
            Remedy.THIS_PROGRAM,
            "relays fan it out by the same protocol; one on each balancer's machine is one more tier",
        ),
        RankedQuantity(
            "one change at the last balancer, list service asked directly, by arithmetic",
            lists.direct_time(inputs),
            change_deadline,
            Remedy.THIS_PROGRAM,
            "relays fan it out by the same protocol",
        ),
        RankedQuantity(
            "one change at the last balancer, list service asked directly, as measured",
            lists.measured_notification_time(inputs, "last"),
            change_deadline,
            Remedy.THIS_PROGRAM,
            "relays, as by arithmetic",
        ),
        RankedQuantity(
            "calls at the list service when nothing changes, directly",
            lists.idle_calls(inputs),
            inputs.list_service_rate,
            Remedy.THIS_PROGRAM,
            "relays: calls at the source grow with them, not with balancers",
        ),
        RankedQuantity(
            "a list at the last balancer after all watches were reset",
            lists.reset_time(inputs),
            change_deadline,
            Remedy.THIS_PROGRAM,
            "relays, which keep the list and a log of changes, and admit whole lists in turns",
        ),
        RankedQuantity(
            "answers of the list service in the mean of a day, each change to each balancer by itself",
            configuration.direct_answers(inputs),
            inputs.list_service_rate,
            Remedy.THIS_PROGRAM,
            "relays, and coalescing",
        ),
        RankedQuantity(
            "a lost zone's clients, all back within a second, without cryptography",
            herd_rate,
            admission_rate,
            Remedy.OTHER_SYSTEM,
            "jitter is the clients'; admission by the balancer's processor time would be the program's",
        ),
        RankedQuantity(
            "a lost zone's clients, back as fast as processors allow, with cryptography",
            zone.encrypted_time,
            return_deadline,
            Remedy.MORE_PROCESSES,
            "scales with processes; cryptography is not wanted now",
        ),
    ]


def _balancer_entries(inputs: Inputs) -> list[RankedQuantity]:
    max_servers = inputs.server_counts[-1]
    mean_rate = inputs.changes_per_s.value or 0.0
    return [
        RankedQuantity(
            "deliveries of a balancer in one process",
            inputs.delivery_cores,
            inputs.process_core_budget,
            Remedy.MORE_PROCESSES,
            "scales with processes, each a balancer of its own today",
        ),
        RankedQuantity(
            f"memory of control in all of a balancer's processes, {max_servers:,} servers",
            balancer.memory_all_processes(inputs, max_servers),
            inputs.memory_budget,
            Remedy.NEW_ARCHITECTURE,
            "control in one process beside those of the data path; most of it is the interpreter's",
        ),
        RankedQuantity(
            "processor time of all of a balancer's processes, connections at rest",
            balancer.idle_core_pct_all_processes(inputs),
            inputs.core_budget,
            Remedy.THIS_PROGRAM,
            "what looks at each connection in turn could wait for the one that is due",
        ),
        RankedQuantity(
            f"largest burst change by change, {max_servers:,} servers, until it is taken",
            balancer.burst_time(inputs, max_servers),
            inputs.change_deadline,
            Remedy.THIS_PROGRAM,
            "coalescing, which comes with relays, makes one call of the module out of many changes",
        ),
        RankedQuantity(
            f"largest burst change by change, {max_servers:,} servers, of a core over the budget's window",
            configuration.burst_core(inputs, max_servers),
            inputs.core_budget,
            Remedy.THIS_PROGRAM,
            "coalescing",
        ),
        RankedQuantity(
            "bytes of the largest burst at a balancer, over the budget's window",
            configuration.burst_bytes(inputs),
            inputs.bytes_budget,
            Remedy.THIS_PROGRAM,
            "none needed",
        ),
        RankedQuantity(
            f"memory of control in one process, {max_servers:,} servers",
            balancer.control_memory(inputs, max_servers),
            inputs.memory_budget,
            Remedy.THIS_PROGRAM,
            "subsetting would bound what grows with servers",
        ),
        RankedQuantity(
            f"processor time of control in one process, {max_servers:,} servers, told mean of changes",
            balancer.control_core_pct(inputs, max_servers, mean_rate),
            inputs.core_budget,
            Remedy.THIS_PROGRAM,
            "subsetting would bound it",
        ),
        RankedQuantity(
            f"bytes of control, {max_servers:,} servers, told mean of changes",
            balancer.control_bytes(inputs, max_servers, mean_rate),
            inputs.bytes_budget,
            Remedy.THIS_PROGRAM,
            "none needed",
        ),
    ]
