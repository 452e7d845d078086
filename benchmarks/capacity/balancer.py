"""The two roles of a balancer: control (server list, watches, timers) and data path."""

from __future__ import annotations

from collections.abc import Callable

from benchmarks.capacity.inputs import PERCENT, Inputs
from benchmarks.capacity.quantity import Quantity, assumed, derived
from benchmarks.capacity.roles import Mechanism, QuantityKind, Role, Row, Status

BUSY_CHANGES_PER_S = 1.0  # rate of changes in the rows for a list that changes often


def control_core_pct(inputs: Inputs, servers: int, changes_per_s: float) -> Quantity:
    """Percent of a core used by control, without clients.

    If changes were measured with fewer servers, adds the extra processor time per change in the module.
    """
    series = "control.core_pct"
    extra_time = extra_change_time(inputs, servers, series)
    return derived(
        "%",
        lambda measured, cost: measured + cost * changes_per_s * PERCENT,
        control_with_changes(inputs, series, servers, changes_per_s),
        extra_time,
    )


def control_memory(inputs: Inputs, servers: int) -> Quantity:
    """Resident memory of a process without clients, in bytes."""
    return inputs.measurements.at("control.resident_mib", "servers", servers, changes_per_s=0.0)


def control_bytes(inputs: Inputs, servers: int, changes_per_s: float) -> Quantity:
    """Bytes per second sent and received by control."""
    return control_with_changes(inputs, "control.bytes_per_s", servers, changes_per_s)


def control_calls(inputs: Inputs, servers: int, changes_per_s: float) -> Quantity:
    """Calls per second from one balancer to the list service."""
    return control_with_changes(inputs, "control.calls_per_s", servers, changes_per_s)


def control_with_changes(inputs: Inputs, series: str, servers: int, changes_per_s: float) -> Quantity:
    """A series of control without changes, plus the increase measured with changes."""
    idle = inputs.measurements.at(series, "servers", servers, changes_per_s=0.0)
    if changes_per_s == 0.0:
        return idle
    without, with_load = (
        inputs.measurements.at(series, "changes_per_s", rate, servers=servers)
        for rate in (0.0, changes_per_s)
    )
    return derived(idle.unit, lambda base, low, high: base + high - low, idle, without, with_load)


def extra_change_time(inputs: Inputs, servers: int, series: str) -> Quantity:
    """Extra processor time per change over that with the number of servers at which it was measured."""
    measured_servers = inputs.measurements.nearest_input(series, "changes_per_s", "servers", servers)
    return derived(
        "s",
        lambda wanted, measured: max(0.0, wanted - measured),
        module_measurement(inputs, "one_change", servers),
        module_measurement(inputs, "one_change", int(measured_servers)),
    )


def burst_time(inputs: Inputs, servers: int) -> Quantity:
    """Processor time of the largest burst in the decision module, applied change by change."""
    one_change = module_measurement(inputs, "one_change", servers)
    return derived("s", lambda cost, changes: cost * changes, one_change, inputs.largest_burst)


def control_role(inputs: Inputs) -> Role:
    """The role of control: server list, watches and timers of one balancer."""
    connections = inputs.connections_per_balancer.value or 0.0
    rows = [row for servers in inputs.server_counts for row in _control_rows(inputs, servers)]
    idle_core = inputs.measurements.at("control.standing_core_pct", "standing", connections)
    per_process = inputs.connections_per_process
    idle_per_process = inputs.measured_at_quantity("control.standing_core_pct", "standing", per_process)
    timers = inputs.measurements.at("module.timers", "timers", connections)
    by_balancers = inputs.measurements.at("module.place", "balancers", inputs.targets.fleet.balancers)
    rows += [
        Row(
            QuantityKind.PROCESSOR,
            f"{connections:,.0f} connections at rest in one process",
            idle_core,
            inputs.core_budget,
        ),
        Row(
            QuantityKind.PROCESSOR, "a process's share of them at rest", idle_per_process, inputs.core_budget
        ),
        Row(
            QuantityKind.PROCESSOR,
            "all processes, connections at rest",
            idle_core_pct_all_processes(inputs),
            inputs.core_budget,
        ),
        Row(QuantityKind.PROCESSOR, f"one timer of {connections:,.0f}", timers),
        Row(
            QuantityKind.PROCESSOR,
            f"placing once, {inputs.targets.fleet.balancers:,} balancers in the list",
            by_balancers,
        ),
    ]
    return Role(
        "control",
        "A balancer's control",
        "Quantities are of a balancer.",
        tuple(rows),
        (
            Mechanism(
                "watch of the server list by long polling", Status.IMPLEMENTED, "`server_list/discovery`"
            ),
            Mechanism(
                "bounded staleness of the list",
                Status.IMPLEMENTED,
                "6 s, even if calls fail; `docs/design-ends.md`",
            ),
            Mechanism(
                "working set: each balancer uses a short prefix of the list", Status.IMPLEMENTED, "`balance`"
            ),
            Mechanism(
                "subsetting: a balancer is sent only the servers that it uses",
                Status.MISSING,
                "it holds the full list; memory and the cost of a change grow with it",
            ),
        ),
    )


def _control_rows(inputs: Inputs, servers: int) -> list[Row]:
    """Rows of control that depend on the number of servers."""

    def row(kind: QuantityKind, name: str, quantity: Quantity, budget: Quantity | None = None) -> Row:
        return Row(kind, name, quantity, budget, servers)

    def busy(quantity: Callable[[Inputs, int, float], Quantity]) -> Quantity:
        return quantity(inputs, servers, BUSY_CHANGES_PER_S)

    mean = inputs.changes_per_s.value or 0.0
    memory, bandwidth, core = inputs.memory_budget, inputs.bytes_budget, inputs.core_budget
    return [
        row(
            QuantityKind.STATE,
            "list in the decision module",
            module_measurement(inputs, "list_bytes", servers),
            memory,
        ),
        row(QuantityKind.MESSAGES, "calls, no change", control_calls(inputs, servers, 0.0)),
        row(QuantityKind.PEAK, "calls, a change a second", busy(control_calls)),
        row(QuantityKind.BYTES, "no change", control_bytes(inputs, servers, 0.0), bandwidth),
        row(QuantityKind.BYTES, "a change a second", busy(control_bytes), bandwidth),
        row(QuantityKind.PROCESSOR, "mean rate of changes", control_core_pct(inputs, servers, mean), core),
        row(QuantityKind.PROCESSOR, "a change a second", busy(control_core_pct), core),
        row(
            QuantityKind.PROCESSOR,
            "full list applied once",
            module_measurement(inputs, "whole_list", servers),
        ),
        row(QuantityKind.PROCESSOR, "one change applied", module_measurement(inputs, "one_change", servers)),
        row(QuantityKind.PROCESSOR, "placing once, median", module_measurement(inputs, "place", servers)),
        row(
            QuantityKind.PROCESSOR,
            "placing once, p99",
            module_measurement(inputs, "place_p99", servers),
        ),
        row(QuantityKind.MEMORY, "process without clients", control_memory(inputs, servers), memory),
        row(
            QuantityKind.MEMORY,
            "the same in all of a balancer's processes",
            memory_all_processes(inputs, servers),
            memory,
        ),
    ]


def memory_all_processes(inputs: Inputs, servers: int) -> Quantity:
    """Resident memory of all processes of a balancer without clients, in bytes."""
    return derived(
        "B",
        lambda size, processes: size * processes,
        control_memory(inputs, servers),
        inputs.processes_per_balancer,
    )


def idle_core_pct_all_processes(inputs: Inputs) -> Quantity:
    """Percent of a core used by all processes of a balancer while its connections are idle."""
    core_pct = inputs.measured_at_quantity(
        "control.standing_core_pct", "standing", inputs.connections_per_process
    )
    return derived(
        "%", lambda percent, processes: percent * processes, core_pct, inputs.processes_per_balancer
    )


def module_measurement(inputs: Inputs, series: str, servers: int) -> Quantity:
    """A series of the decision module, by number of servers."""
    return inputs.measurements.at(f"module.{series}", "servers", servers)


def data_path_role(inputs: Inputs) -> Role:
    """The role of the data path: connections and deliveries of one balancer."""
    connections = inputs.connections_per_balancer.value or 0.0
    peak = derived(
        "/s",
        lambda rate, factor: rate * factor,
        inputs.deliveries_per_balancer,
        inputs.assumed("peak_over_mean"),
    )
    peak_cores = derived("cores", lambda rate, cost: rate * cost, peak, inputs.line_cost)
    module_memory = inputs.measurements.at("module.standing_bytes", "standing", connections)
    placing = inputs.measurements.at("module.place_own_groups", "standing", connections)
    placing_per_process = inputs.measured_at_quantity(
        "module.place_own_groups", "standing", inputs.connections_per_process
    )
    memory = connections_memory(inputs)
    idle_memory = inputs.measurements.at("control.standing_resident_mib", "standing", connections)
    machine_memory = inputs.assumed("machine_memory_gb")
    return Role(
        "data",
        "A balancer's data path",
        "Quantities are of a balancer.",
        (
            Row(QuantityKind.STATE, "its connections in the decision module", module_memory),
            Row(QuantityKind.MESSAGES, "deliveries", inputs.deliveries_per_balancer),
            Row(QuantityKind.PEAK, "deliveries", peak),
            Row(
                QuantityKind.PROCESSOR,
                "deliveries, mean, with the budget of one process",
                inputs.delivery_cores,
                inputs.process_core_budget,
            ),
            Row(
                QuantityKind.PROCESSOR,
                "deliveries, peak, with the budget of one core",
                peak_cores,
                assumed(1.0, "cores"),
            ),
            Row(QuantityKind.PROCESSOR, "placing once in one process, a group for each connection", placing),
            Row(QuantityKind.PROCESSOR, "placing once in each of its processes", placing_per_process),
            Row(
                QuantityKind.MEMORY,
                "its connections, with the memory of one machine",
                memory,
                inputs.assumed("machine_memory_gb"),
            ),
            Row(QuantityKind.MEMORY, "one connection", inputs.connection_memory),
            Row(
                QuantityKind.MEMORY,
                "a process with as many at rest, with the memory of one machine",
                idle_memory,
                machine_memory,
            ),
        ),
        (
            Mechanism(
                "one event loop on one core, a task for each direction",
                Status.IMPLEMENTED,
                "`core`, `fronts`",
            ),
            Mechanism(
                "listening socket handed to the next version", Status.IMPLEMENTED, "`management/versions`"
            ),
            Mechanism(
                "sharding by process: several accept at one address, each with its own connections",
                Status.MISSING,
                "today several run side by side as separate balancers",
            ),
            Mechanism(
                "accept balancing in the kernel (SO_REUSEPORT)", Status.EXTERNAL, "the operating system's"
            ),
        ),
    )


def connections_memory(inputs: Inputs) -> Quantity:
    """Resident memory of a balancer's connections in all of its processes, in bytes."""
    return derived(
        "B", lambda count, size: count * size, inputs.connections_per_balancer, inputs.connection_memory
    )


def data_path_quantities(inputs: Inputs) -> dict[str, Quantity]:
    """Quantities quoted in the chapter on the processes and machines of a balancer."""
    processes = inputs.processes_per_balancer
    machine_cores = inputs.assumed("machine_cores")
    delivery_rate = derived(
        "/s", lambda limit, cost: limit / cost, inputs.process_core_budget, inputs.line_cost
    )
    by_cores = derived("machines", lambda count, cores: count / cores, processes, machine_cores)
    memory = connections_memory(inputs)
    by_memory = derived(
        "machines", lambda size, limit: size / limit, memory, inputs.assumed("machine_memory_gb")
    )
    all_processes = derived(
        "processes", lambda per_balancer, count: per_balancer * count, processes, inputs.balancers
    )
    return {
        "data.processes_per_balancer": processes,
        "data.processes_in_fleet": all_processes,
        "data.deliveries_per_process": delivery_rate,
        "data.connections_per_process": inputs.connections_per_process,
        "data.machines_by_cores": by_cores,
        "data.machines_by_memory": by_memory,
        "data.memory": memory,
        "data.memory_per_process": derived(
            "B", lambda total_bytes, parts: total_bytes / parts, memory, processes
        ),
        "data.control_memory_all_processes": memory_all_processes(inputs, inputs.server_counts[-1]),
        "data.process_watches": inputs.total_process_watches,
        "data.idle_core_pct_all_processes": idle_core_pct_all_processes(inputs),
        "data.cores": inputs.delivery_cores,
        "data.line_cost": inputs.line_cost,
        "data.connections_per_balancer": inputs.connections_per_balancer,
        "data.deliveries_per_balancer": inputs.deliveries_per_balancer,
    }
