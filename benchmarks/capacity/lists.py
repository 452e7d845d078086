"""The role of the list service and the distribution of its changes, directly or through relays."""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.capacity.balancer import control_calls
from benchmarks.capacity.inputs import PERCENT, Inputs
from benchmarks.capacity.quantity import Quantity, derived, specified, total
from benchmarks.capacity.roles import Mechanism, QuantityKind, Role, Row, Status
from puffinford.server_list.discovery import RELAYED_TIMING

RELAY_MECHANISM = "watch relays in one or two tiers"
TOP_TIER_RELAYS = 2  # relays that watch the source when there are two tiers
DAY_S = 86_400.0
MS_PER_S = 1_000.0
MAX_LIST_AGE_S = 6.0  # bound on the age of a balancer's list, even when calls fail


def idle_calls(inputs: Inputs) -> Quantity:
    """Calls per second at the list service without changes: each watch is renewed after its wait."""
    return derived("/s", lambda count, wait: count / wait, inputs.balancers, inputs.watch_wait)


def measured_idle_calls(inputs: Inputs) -> Quantity:
    """Calls per second at the list service without changes, from the measured calls of one process."""
    calls_per_balancer = control_calls(inputs, inputs.server_counts[0], 0.0)
    return derived("/s", lambda count, rate: count * rate, inputs.balancers, calls_per_balancer)


def direct_time(inputs: Inputs) -> Quantity:
    """Time until the last balancer has a change if one list service answers every balancer."""
    return derived("s", lambda count, rate: count / rate, inputs.balancers, inputs.list_service_rate)


def direct_time_by_process(inputs: Inputs) -> Quantity:
    """Time until the last process has a change if one list service answers every process."""
    return derived(
        "s", lambda count, rate: count / rate, inputs.total_process_watches, inputs.list_service_rate
    )


def full_list_bytes(inputs: Inputs) -> Quantity:
    """Size of a full list on the wire with the largest number of servers, in bytes."""
    count = inputs.server_counts[-1]
    return derived("B", lambda size: size * count, inputs.assumed("change_bytes"))


def measured_notification_time(inputs: Inputs, statistic: str) -> Quantity:
    """Measured time until balancers have a change, at the assumed delay of the list service.

    `statistic` is `p50`, `p99` or `last`.
    """
    service_ms = inputs.targets.assumed.list_service_ms.value
    balancers = inputs.targets.fleet.balancers
    return inputs.measurements.at(f"list.told_{statistic}", "watchers", balancers, service_ms=service_ms)


def idle_measurement(inputs: Inputs, series: str) -> Quantity:
    """A series of the list service with a watch for each balancer, no changes and no added delay."""
    return inputs.measurements.at(series, "watchers", inputs.targets.fleet.balancers, service_ms=0.0)


def call_cpu_time(inputs: Inputs, watchers: float) -> Quantity:
    """Processor time per call without changes at a list service without an added delay."""
    return inputs.measurements.unit_cost("list.call_us", watchers, service_ms=0.0)


def reset_time(inputs: Inputs) -> Quantity:
    """Time until the last balancer has a list again after all watches are reset at once."""
    service_ms = inputs.targets.assumed.list_service_ms.value
    balancers = inputs.targets.fleet.balancers
    return inputs.measurements.at("failure.reset_all_last", "watchers", balancers, service_ms=service_ms)


def list_service_role(inputs: Inputs, relay_status: Status) -> Role:
    """The role of the list service when all balancers call it directly."""
    balancers = inputs.targets.fleet.balancers
    all_lists = derived("B", lambda size, count: size * count, full_list_bytes(inputs), inputs.balancers)
    call_cost = call_cpu_time(inputs, balancers)
    idle_core = derived("%", lambda cost, rate: cost * rate * PERCENT, call_cost, idle_calls(inputs))
    day_log = derived(
        "B",
        lambda changes, size: changes * size,
        specified(inputs.targets.changes.per_day, ""),
        inputs.assumed("change_bytes"),
    )
    one_core = specified(PERCENT, "%")
    rows = (
        Row(
            QuantityKind.STATE,
            f"full list on the wire, {inputs.server_counts[-1]:,} servers",
            full_list_bytes(inputs),
        ),
        Row(
            QuantityKind.MESSAGES,
            "calls, nothing changes, directly",
            idle_calls(inputs),
            inputs.list_service_rate,
        ),
        Row(
            QuantityKind.MESSAGES,
            "the same by the measured calls of one process",
            measured_idle_calls(inputs),
            inputs.list_service_rate,
        ),
        Row(
            QuantityKind.PEAK,
            "answers for one change, all within the deadline",
            peak_answers(inputs),
            inputs.list_service_rate,
        ),
        Row(QuantityKind.BYTES, "sent, all balancers", idle_measurement(inputs, "list.bytes_per_s")),
        Row(
            QuantityKind.BYTES,
            "full lists to all after a reset, within the deadline",
            reset_bytes(inputs, all_lists),
        ),
        Row(
            QuantityKind.PROCESSOR,
            "idle calls at the cost of one, with the budget of one core",
            idle_core,
            one_core,
        ),
        Row(QuantityKind.PROCESSOR, "measured", idle_measurement(inputs, "list.core_pct"), one_core),
        Row(QuantityKind.MEMORY, "log of a day's changes", day_log),
        Row(
            QuantityKind.TIME,
            "one change at the last balancer, directly",
            direct_time(inputs),
            inputs.change_deadline,
        ),
        Row(
            QuantityKind.TIME,
            "the same measured",
            measured_notification_time(inputs, "last"),
            inputs.change_deadline,
        ),
        Row(
            QuantityKind.TIME,
            "the same measured, median",
            measured_notification_time(inputs, "p50"),
            inputs.change_deadline,
        ),
        Row(
            QuantityKind.TIME,
            "the same measured, p99",
            measured_notification_time(inputs, "p99"),
            inputs.change_deadline,
        ),
        Row(
            QuantityKind.TIME,
            "a list at the last balancer after all watches were reset",
            reset_time(inputs),
            inputs.change_deadline,
        ),
    )
    return Role(
        "lists",
        "List service and fan-out of changes",
        "Quantities are of all balancers.",
        rows,
        (
            Mechanism(
                "replicated store with watches, by consensus", Status.EXTERNAL, "represented by a stand-in"
            ),
            Mechanism("watch by long polling", Status.IMPLEMENTED, "`server_list/discovery`"),
            Mechanism(RELAY_MECHANISM, relay_status, "see the chapter below"),
            Mechanism(
                "exponential backoff with full jitter after a failed call", Status.IMPLEMENTED, "`balance`"
            ),
        ),
    )


def peak_answers(inputs: Inputs) -> Quantity:
    """Answers per second needed to send one change to all balancers before the deadline."""
    return derived("/s", lambda count, deadline: count / deadline, inputs.balancers, inputs.change_deadline)


def reset_bytes(inputs: Inputs, all_lists: Quantity) -> Quantity:
    """Bytes per second needed to send full lists to all balancers before the deadline."""
    return derived("B/s", lambda size, deadline: size / deadline, all_lists, inputs.change_deadline)


@dataclass(frozen=True)
class RelayLoad:
    """Load of the remaining relays, evenly distributed."""

    title: str
    relays: Quantity  # relays that answer balancers
    balancers_per_relay: Quantity
    idle_calls: Quantity  # per relay and second, from downstream
    core_pct: Quantity  # per relay, for its idle calls
    answer_time: Quantity  # processor time per relay for one change
    upstream_calls: Quantity  # per second at the source
    upstream_time: Quantity  # until the source has answered all watching relays
    last_notified_after: Quantity  # total time until the last balancer has a change


def relay_load(
    inputs: Inputs, title: str, relays: float, upstream: float, clients: float | None = None
) -> RelayLoad:
    """Compute the load of relays that answer balancers; `upstream` is the number that watch the source.

    `clients` is the number of balancers served, by default all of the fleet.
    """
    fleet = inputs.balancers if clients is None else specified(clients, "balancers")
    count = specified(relays, "relays")
    watching = specified(upstream, "relays")
    per_relay = derived("balancers", lambda total_, relay_count: total_ / relay_count, fleet, count)
    calls = derived("/s", lambda balancers, wait: balancers / wait, per_relay, inputs.relay_watch_wait)
    cost = call_cpu_time(inputs, per_relay.value or 0.0)
    change = inputs.measurements.unit_cost("list.change_us", per_relay.value or 0.0, service_ms=0.0)
    core = derived("%", lambda rate, time: rate * time * PERCENT, calls, cost)
    answers = derived("s", lambda balancers, time: balancers * time, per_relay, change)
    upstream_calls = derived(
        "/s", lambda upstream_relays, wait: upstream_relays / wait, watching, inputs.relay_setting("wait")
    )
    upstream_time = derived(
        "s",
        lambda upstream_relays, service: upstream_relays * service,
        watching,
        inputs.assumed("list_service_ms"),
    )
    last_notified_after = total(inputs.relay_setting("coalesce"), upstream_time, answers)
    return RelayLoad(
        title, count, per_relay, calls, core, answers, upstream_calls, upstream_time, last_notified_after
    )


def relay_loads(inputs: Inputs) -> list[RelayLoad]:
    """Loads with one and two tiers, with half of the machines lost, and for one partitioned region."""
    machines = inputs.targets.budget.machines
    regions = inputs.targets.fleet.regions
    half = max(1, machines // 2)
    lower_tier = max(1, machines - TOP_TIER_RELAYS)
    region = machines / regions
    clients = inputs.targets.fleet.balancers / regions
    remaining = max(1.0, float(int(region / 2.0)))
    return [
        relay_load(inputs, f"one tier, all {machines}", machines, machines),
        relay_load(inputs, f"one tier, {half} left", half, half),
        relay_load(inputs, f"two tiers, {TOP_TIER_RELAYS} above {lower_tier}", lower_tier, TOP_TIER_RELAYS),
        relay_load(inputs, f"two tiers, half left, 1 above {max(1, half - 1)}", max(1, half - 1), 1),
        relay_load(inputs, "one region by itself", region, region, clients),
        relay_load(inputs, f"one region, {remaining:.0f} left", remaining, remaining, clients),
    ]


def list_quantities(inputs: Inputs) -> dict[str, Quantity]:
    """Quantities quoted in the chapters on lists and on a partition between regions."""
    partition_changes = derived(
        "changes",
        lambda rate, time: rate * time,
        inputs.changes_per_s,
        specified(inputs.targets.failures.apart_s, "s"),
    )
    partition_log = derived(
        "B", lambda changes, size: changes * size, partition_changes, inputs.assumed("change_bytes")
    )
    failures = inputs.targets.failures
    daily_machine_changes = failures.machines_per_day + failures.restarts_per_day
    max_age = inputs.relay_setting("max_age")
    timing = RELAYED_TIMING
    silence = specified((timing.wait + timing.answer_grace + timing.jitter) / MS_PER_S, "s")
    hedge_delay = specified((timing.hedge_delay + timing.jitter) / MS_PER_S, "s")
    all_lists = derived("B", lambda size, count: size * count, full_list_bytes(inputs), inputs.balancers)
    return {
        "lists.idle_calls": idle_calls(inputs),
        "lists.wait": inputs.watch_wait,
        "lists.rate": inputs.list_service_rate,
        "lists.service": inputs.assumed("list_service_ms"),
        "lists.direct_time": direct_time(inputs),
        "lists.deadline": inputs.change_deadline,
        "lists.direct_time_by_process": direct_time_by_process(inputs),
        "lists.balancers": inputs.balancers,
        "lists.full_list": full_list_bytes(inputs),
        "lists.full_list_all": all_lists,
        "lists.full_list_per_machine": inputs.per_control_machine(all_lists),
        "lists.full_list_time": derived(
            "s", lambda size, rate: size / rate, full_list_bytes(inputs), inputs.bytes_budget
        ),
        "lists.coalesce": inputs.relay_setting("coalesce"),
        "lists.max_age": max_age,
        "lists.silence_limit": silence,
        "lists.hedge_delay": hedge_delay,
        "lists.third_call_age": total(max_age, silence, hedge_delay),
        "lists.max_list_age": specified(MAX_LIST_AGE_S, "s"),
        "partition.duration": specified(failures.apart_s, "s"),
        "partition.changes": partition_changes,
        "partition.log": partition_log,
        "partition.machines": specified(daily_machine_changes * failures.apart_s / DAY_S, "machines"),
        "partition.machines_per_region": specified(
            daily_machine_changes * failures.apart_s / DAY_S / inputs.targets.fleet.regions, "machines"
        ),
        "control.per_region": specified(
            inputs.targets.budget.machines / inputs.targets.fleet.regions, "machines"
        ),
        "control.machines": inputs.control_machines,
        "control.half_of_machines": specified(inputs.targets.budget.machines // 2, "machines"),
    }
