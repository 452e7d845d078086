"""The roles of one balancer: its control, and its data path."""

from __future__ import annotations

from collections.abc import Callable

from benchmarks.capacity.inputs import PERCENT, Inputs
from benchmarks.capacity.quantity import Quantity, assumed, derived
from benchmarks.capacity.roles import Kind, Mechanism, Role, Row, Status

BUSY_CHANGES = 1.0  # changes a second at which control was measured beside its rest


def control_core(inputs: Inputs, servers: int, changes_per_s: float) -> Quantity:
    """Percent of a core that control takes, without clients.

    Where changes were measured at fewer servers, taking each one costs more by what the module then takes.
    """
    series = "control.core_pct"
    longer = one_change_beyond(inputs, servers, series)
    return derived(
        "%",
        lambda known, cost: known + cost * changes_per_s * PERCENT,
        with_changes(inputs, series, servers, changes_per_s),
        longer,
    )


def control_memory(inputs: Inputs, servers: int) -> Quantity:
    """Resident memory of a process without clients."""
    return inputs.measured.at("control.resident_mib", "servers", servers, changes_per_s=0.0)


def control_bytes(inputs: Inputs, servers: int, changes_per_s: float) -> Quantity:
    """Bytes a second that control sends and receives."""
    return with_changes(inputs, "control.bytes_per_s", servers, changes_per_s)


def control_calls(inputs: Inputs, servers: int, changes_per_s: float) -> Quantity:
    """Calls a second of one balancer at the list service."""
    return with_changes(inputs, "control.calls_per_s", servers, changes_per_s)


def with_changes(inputs: Inputs, series: str, servers: int, changes_per_s: float) -> Quantity:
    """A series of control at rest by servers, and what changes add to it where they were measured."""
    rest = inputs.measured.at(series, "servers", servers, changes_per_s=0.0)
    if changes_per_s == 0.0:
        return rest
    still, busy = (
        inputs.measured.at(series, "changes_per_s", rate, servers=servers) for rate in (0.0, changes_per_s)
    )
    return derived(rest.unit, lambda at_rest, low, high: at_rest + high - low, rest, still, busy)


def one_change_beyond(inputs: Inputs, servers: int, series: str) -> Quantity:
    """Processor time of one change in the module, beyond that at the servers where changes were measured."""
    measured_at = inputs.measured.nearest(series, "changes_per_s", "servers", servers)
    return derived(
        "s",
        lambda here, there: max(0.0, here - there),
        module(inputs, "one_change", servers),
        module(inputs, "one_change", int(measured_at)),
    )


def burst_time(inputs: Inputs, servers: int) -> Quantity:
    """Processor time of the largest burst in the decision module, each change taken by itself."""
    one_change = module(inputs, "one_change", servers)
    return derived("s", lambda cost, changes: cost * changes, one_change, inputs.largest_burst)


def control(inputs: Inputs) -> Role:
    """Server list, watches and timers of one balancer."""
    standing = inputs.connections_each.value or 0.0
    rows = [row for servers in inputs.server_counts for row in _control_rows(inputs, servers)]
    at_rest = inputs.measured.at("control.standing_core_pct", "standing", standing)
    standing_each = inputs.standing_a_process
    part_at_rest = inputs.at_quantity("control.standing_core_pct", "standing", standing_each)
    timers = inputs.measured.at("module.timers", "timers", standing)
    by_balancers = inputs.measured.at("module.place", "balancers", inputs.targets.fleet.balancers)
    rows += [
        Row(
            Kind.PROCESSOR, f"{standing:,.0f} connections at rest in one process", at_rest, inputs.core_budget
        ),
        Row(Kind.PROCESSOR, "a process's part of them at rest", part_at_rest, inputs.core_budget),
        Row(Kind.PROCESSOR, "all processes, connections at rest", rest_of_all(inputs), inputs.core_budget),
        Row(Kind.PROCESSOR, f"one timer of {standing:,.0f}", timers),
        Row(Kind.PROCESSOR, f"placing once, {inputs.targets.fleet.balancers:,} balancers told", by_balancers),
    ]
    return Role(
        "control",
        "A balancer's control",
        "Quantities are of a balancer.",
        tuple(rows),
        (
            Mechanism("watch of the server list by long polling", Status.RUNS, "`machines/discovery`"),
            Mechanism(
                "bounded staleness of the list",
                Status.RUNS,
                "6 s, whatever calls fail; `docs/design-ends.md`",
            ),
            Mechanism("working set: each balancer uses a short prefix of the list", Status.RUNS, "`balance`"),
            Mechanism(
                "subsetting: a balancer is sent only the servers that it uses",
                Status.MISSING,
                "it holds the whole list; memory and one change grow with it",
            ),
        ),
    )


def _control_rows(inputs: Inputs, servers: int) -> list[Row]:
    """The rows of control that depend on the number of servers."""

    def row(kind: Kind, name: str, quantity: Quantity, budget: Quantity | None = None) -> Row:
        return Row(kind, name, quantity, budget, servers)

    def busy(quantity: Callable[[Inputs, int, float], Quantity]) -> Quantity:
        return quantity(inputs, servers, BUSY_CHANGES)

    mean = inputs.changes_per_s.value or 0.0
    memory, size, core = inputs.memory_budget, inputs.bytes_budget, inputs.core_budget
    return [
        row(Kind.STATE, "list in the decision module", module(inputs, "list_bytes", servers), memory),
        row(Kind.MESSAGES, "calls, no change", control_calls(inputs, servers, 0.0)),
        row(Kind.PEAK, "calls, a change a second", busy(control_calls)),
        row(Kind.BYTES, "no change", control_bytes(inputs, servers, 0.0), size),
        row(Kind.BYTES, "a change a second", busy(control_bytes), size),
        row(Kind.PROCESSOR, "told mean of changes", control_core(inputs, servers, mean), core),
        row(Kind.PROCESSOR, "a change a second", busy(control_core), core),
        row(Kind.PROCESSOR, "whole list taken once", module(inputs, "whole_list", servers)),
        row(Kind.PROCESSOR, "one change taken", module(inputs, "one_change", servers)),
        row(Kind.PROCESSOR, "placing once, median", module(inputs, "place", servers)),
        row(Kind.PROCESSOR, "placing once, 99 in 100", module(inputs, "place_p99", servers)),
        row(Kind.MEMORY, "process without clients", control_memory(inputs, servers), memory),
        row(Kind.MEMORY, "the same in all of a balancer's processes", memory_of_all(inputs, servers), memory),
    ]


def memory_of_all(inputs: Inputs, servers: int) -> Quantity:
    """Resident memory of all processes of a balancer, without clients."""
    return derived(
        "B", lambda one, parts: one * parts, control_memory(inputs, servers), inputs.processes_each
    )


def rest_of_all(inputs: Inputs) -> Quantity:
    """Percent of a core that all processes of a balancer take while its connections only stand."""
    one = inputs.at_quantity("control.standing_core_pct", "standing", inputs.standing_a_process)
    return derived("%", lambda share, parts: share * parts, one, inputs.processes_each)


def module(inputs: Inputs, series: str, servers: int) -> Quantity:
    """A series of the decision module, by the number of servers."""
    return inputs.measured.at(f"module.{series}", "servers", servers)


def data_path(inputs: Inputs) -> Role:
    """Connections and delivered lines of one balancer."""
    standing = inputs.connections_each.value or 0.0
    peak = derived(
        "/s", lambda rate, times: rate * times, inputs.deliveries_each, inputs.assumed("peak_over_mean")
    )
    peak_cores = derived("cores", lambda rate, cost: rate * cost, peak, inputs.line_cost)
    in_module = inputs.measured.at("module.standing_bytes", "standing", standing)
    placing = inputs.measured.at("module.place_own_groups", "standing", standing)
    placing_each = inputs.at_quantity("module.place_own_groups", "standing", inputs.standing_a_process)
    memory = connections_memory(inputs)
    at_rest = inputs.measured.at("control.standing_resident_mib", "standing", standing)
    machine_memory = inputs.assumed("machine_memory_gb")
    return Role(
        "data",
        "A balancer's data path",
        "Quantities are of a balancer.",
        (
            Row(Kind.STATE, "its connections in the decision module", in_module),
            Row(Kind.MESSAGES, "deliveries", inputs.deliveries_each),
            Row(Kind.PEAK, "deliveries", peak),
            Row(
                Kind.PROCESSOR,
                "deliveries, mean, beside one process",
                inputs.data_cores,
                inputs.process_cores,
            ),
            Row(Kind.PROCESSOR, "deliveries, peak, beside one core", peak_cores, assumed(1.0, "cores")),
            Row(Kind.PROCESSOR, "placing once in one process, a group for each connection", placing),
            Row(Kind.PROCESSOR, "placing once in each of its processes", placing_each),
            Row(
                Kind.MEMORY,
                "its connections, beside one machine",
                memory,
                inputs.assumed("machine_memory_gb"),
            ),
            Row(Kind.MEMORY, "one connection", inputs.connection_memory),
            Row(Kind.MEMORY, "a process with as many at rest, beside one machine", at_rest, machine_memory),
        ),
        (
            Mechanism(
                "one event loop on one core, a task for each direction",
                Status.RUNS,
                "`core`, `fronts`",
            ),
            Mechanism("listening socket handed to the next version", Status.RUNS, "`management/versions`"),
            Mechanism(
                "sharding by process: several accept at one address, each with connections of its own",
                Status.MISSING,
                "several run beside one another today as balancers of their own",
            ),
            Mechanism(
                "accept balancing in the kernel (SO_REUSEPORT)", Status.ELSEWHERE, "the operating system's"
            ),
        ),
    )


def connections_memory(inputs: Inputs) -> Quantity:
    """Resident memory of a balancer's standing connections, in all of its processes together."""
    return derived("B", lambda count, each: count * each, inputs.connections_each, inputs.connection_memory)


def data_figures(inputs: Inputs) -> dict[str, Quantity]:
    """How many processes and machines a balancer is."""
    processes = inputs.processes_each
    machine_cores = inputs.assumed("machine_cores")
    lines_rate = derived("/s", lambda most, cost: most / cost, inputs.process_cores, inputs.line_cost)
    by_cores = derived("machines", lambda count, cores: count / cores, processes, machine_cores)
    memory = connections_memory(inputs)
    by_memory = derived(
        "machines", lambda bytes_, most: bytes_ / most, memory, inputs.assumed("machine_memory_gb")
    )
    all_processes = derived("processes", lambda each, count: each * count, processes, inputs.balancers)
    return {
        "data.processes_each": processes,
        "data.processes_all": all_processes,
        "data.rate_of_a_process": lines_rate,
        "data.connections_of_a_process": inputs.standing_a_process,
        "data.machines_by_cores": by_cores,
        "data.machines_by_memory": by_memory,
        "data.memory": memory,
        "data.memory_of_a_process": derived("B", lambda all_, parts: all_ / parts, memory, processes),
        "data.control_memory_of_all": memory_of_all(inputs, inputs.server_counts[-1]),
        "data.watchers": inputs.watchers_by_process,
        "data.rest_of_all": rest_of_all(inputs),
        "data.cores": inputs.data_cores,
        "data.line": inputs.line_cost,
        "data.connections_each": inputs.connections_each,
        "data.deliveries_each": inputs.deliveries_each,
    }
