"""Ranking of quantities by how far they exceed their budgets with today's mechanisms.

The quantities are computed for the size of the targeted fleet. The first mechanism to build is that of the
highest-ranked quantity over its budget that this program can reduce with its present protocol.
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
            "a tree needs a protocol for topics, and a definition of a topic for balancers",
        ),
        RankedQuantity(
            "all shards in a balancer, each held as a server is today",
            shards.memory_as_servers(inputs),
            inputs.memory_budget,
            Remedy.OTHER_SYSTEM,
            "nothing holds shards today; avoided by hashing to slots, kept in another system's store",
        ),
        RankedQuantity(
            "one change at the last process, every process calling the list service directly",
            lists.direct_time_by_process(inputs),
            change_deadline,
            Remedy.THIS_PROGRAM,
            "relays distribute it with the same protocol; one on each balancer's machine is one more tier",
        ),
        RankedQuantity(
            "one change at the last balancer, calling the list service directly, computed",
            lists.direct_time(inputs),
            change_deadline,
            Remedy.THIS_PROGRAM,
            "relays distribute it with the same protocol",
        ),
        RankedQuantity(
            "one change at the last balancer, calling the list service directly, measured",
            lists.measured_notification_time(inputs, "last"),
            change_deadline,
            Remedy.THIS_PROGRAM,
            "relays, as for the computed value",
        ),
        RankedQuantity(
            "calls to the list service without changes, directly",
            lists.idle_calls(inputs),
            inputs.list_service_rate,
            Remedy.THIS_PROGRAM,
            "relays: calls at the source scale with relays, not with balancers",
        ),
        RankedQuantity(
            "a list at the last balancer after all watches were reset",
            lists.reset_time(inputs),
            change_deadline,
            Remedy.THIS_PROGRAM,
            "relays, which keep the list and a log of changes, and limit concurrent full lists",
        ),
        RankedQuantity(
            "mean answers of the list service over a day, each change to each balancer separately",
            configuration.direct_answers(inputs),
            inputs.list_service_rate,
            Remedy.THIS_PROGRAM,
            "relays, and coalescing",
        ),
        RankedQuantity(
            "a lost zone's clients, all reconnecting within a second, without cryptography",
            herd_rate,
            admission_rate,
            Remedy.OTHER_SYSTEM,
            "needs jitter in the clients; this program could admit by its processor time",
        ),
        RankedQuantity(
            "a lost zone's clients, reconnecting as fast as processors allow, with cryptography",
            zone.encrypted_time,
            return_deadline,
            Remedy.MORE_PROCESSES,
            "scales with processes; cryptography is not required now",
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
            "scales with processes, each a separate balancer today",
        ),
        RankedQuantity(
            f"memory of control in all of a balancer's processes, {max_servers:,} servers",
            balancer.memory_all_processes(inputs, max_servers),
            inputs.memory_budget,
            Remedy.NEW_ARCHITECTURE,
            "control in one process, separate from the data path; most of the memory is the interpreter's",
        ),
        RankedQuantity(
            "processor time of all of a balancer's processes, connections at rest",
            balancer.idle_core_pct_all_processes(inputs),
            inputs.core_budget,
            Remedy.THIS_PROGRAM,
            "periodic checks of all connections could be replaced by timers",
        ),
        RankedQuantity(
            f"largest burst change by change, {max_servers:,} servers, until it is applied",
            balancer.burst_time(inputs, max_servers),
            inputs.change_deadline,
            Remedy.THIS_PROGRAM,
            "coalescing, part of relays, merges many changes into one call of the module",
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
            "subsetting would bound the part that grows with servers",
        ),
        RankedQuantity(
            f"processor time of control in one process, {max_servers:,} servers, mean rate of changes",
            balancer.control_core_pct(inputs, max_servers, mean_rate),
            inputs.core_budget,
            Remedy.THIS_PROGRAM,
            "subsetting would bound it",
        ),
        RankedQuantity(
            f"bytes of control, {max_servers:,} servers, mean rate of changes",
            balancer.control_bytes(inputs, max_servers, mean_rate),
            inputs.bytes_budget,
            Remedy.THIS_PROGRAM,
            "none needed",
        ),
    ]
