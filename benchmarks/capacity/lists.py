"""The list service and what fans its changes out: directly, or by relays on the machines for control."""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.capacity.balancer import control_calls
from benchmarks.capacity.inputs import PERCENT, Inputs
from benchmarks.capacity.quantity import Quantity, derived, specified, total
from benchmarks.capacity.roles import Mechanism, QuantityKind, Role, Row, Status
from puffinford.server_list.discovery import RELAYED_TIMING

RELAY_MECHANISM = "watch relays in one or two tiers"
TOP_TIER_RELAYS = 2  # relays that alone watch the source, in the arithmetic of two tiers
DAY_S = 86_400.0
MS_PER_S = 1_000.0
MAX_LIST_AGE_S = 6.0  # a change counts as told so long after discovery had it, whatever calls failed


def idle_calls(inputs: Inputs) -> Quantity:
    """Calls a second at one list service when nothing changes: each watch asks anew after its wait."""
    return derived("/s", lambda count, wait: count / wait, inputs.balancers, inputs.watch_wait)


def measured_idle_calls(inputs: Inputs) -> Quantity:
    """The same by the calls that one real process was measured to make."""
    each = control_calls(inputs, inputs.server_counts[0], 0.0)
    return derived("/s", lambda count, rate: count * rate, inputs.balancers, each)


def direct_time(inputs: Inputs) -> Quantity:
    """Until the last balancer has a change, where one list service answers each of them."""
    return derived("s", lambda count, rate: count / rate, inputs.balancers, inputs.list_service_rate)


def direct_time_by_process(inputs: Inputs) -> Quantity:
    """The same, where each of a balancer's processes watches by itself."""
    return derived(
        "s", lambda count, rate: count / rate, inputs.watches_per_process_total, inputs.list_service_rate
    )


def full_list_bytes(inputs: Inputs) -> Quantity:
    """A whole list on the wire, with the most servers."""
    count = inputs.server_counts[-1]
    return derived("B", lambda size: size * count, inputs.assumed("change_bytes"))


def measured_notification_time(inputs: Inputs, part: str) -> Quantity:
    """`list.told_...` at all balancers, at a list service as slow as the assumed one."""
    service_ms = inputs.targets.assumed.list_service_ms.value
    balancers = inputs.targets.fleet.balancers
    return inputs.measurements.at(f"list.told_{part}", "watchers", balancers, service_ms=service_ms)


def at_rest(inputs: Inputs, series: str) -> Quantity:
    """What the list service spends on all watches when nothing changes; it keeps up only without a delay."""
    return inputs.measurements.at(series, "watchers", inputs.targets.fleet.balancers, service_ms=0.0)


def call_cpu_time(inputs: Inputs, watchers: float) -> Quantity:
    """Processor time of one call that brings no news, at a list service that waits for nothing else."""
    return inputs.measurements.unit_cost("list.call_us", watchers, service_ms=0.0)


def reset_time(inputs: Inputs) -> Quantity:
    """Until the last balancer has a list again after all watches were reset at once."""
    service_ms = inputs.targets.assumed.list_service_ms.value
    balancers = inputs.targets.fleet.balancers
    return inputs.measurements.at("failure.reset_all_last", "watchers", balancers, service_ms=service_ms)


def list_service_role(inputs: Inputs, relay_status: Status) -> Role:
    """The list service as all balancers ask it directly, which is what ran first."""
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
            f"whole list on the wire, {inputs.server_counts[-1]:,} servers",
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
            "answers for one change, all within the told time",
            peak_answers(inputs),
            inputs.list_service_rate,
        ),
        Row(QuantityKind.BYTES, "sent, all balancers", at_rest(inputs, "list.bytes_per_s")),
        Row(
            QuantityKind.BYTES,
            "whole lists to all after a reset, within the told time",
            reset_bytes(inputs, all_lists),
        ),
        Row(QuantityKind.PROCESSOR, "idle calls by the time of one, beside one core", idle_core, one_core),
        Row(QuantityKind.PROCESSOR, "measured", at_rest(inputs, "list.core_pct"), one_core),
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
            "the same measured, at 99 in 100",
            measured_notification_time(inputs, "p99"),
            inputs.change_deadline,
        ),
        Row(
            QuantityKind.TIME,
            "a list at the last one after all watches were reset",
            reset_time(inputs),
            inputs.change_deadline,
        ),
    )
    return Role(
        "lists",
        "List service, and what fans changes out",
        "Quantities are of all balancers.",
        rows,
        (
            Mechanism("replicated store with watches, by consensus", Status.EXTERNAL, "met as a stand-in"),
            Mechanism("watch by long polling", Status.IMPLEMENTED, "`machines/discovery`"),
            Mechanism(RELAY_MECHANISM, relay_status, "chapter below"),
            Mechanism(
                "exponential backoff with full jitter after a failed call", Status.IMPLEMENTED, "`balance`"
            ),
        ),
    )


def peak_answers(inputs: Inputs) -> Quantity:
    """Answers a second that one change takes, if all are to be sent within the told time."""
    return derived("/s", lambda count, within: count / within, inputs.balancers, inputs.change_deadline)


def reset_bytes(inputs: Inputs, all_lists: Quantity) -> Quantity:
    """Bytes a second, if all balancers get whole lists within the told time."""
    return derived("B/s", lambda size, within: size / within, all_lists, inputs.change_deadline)


@dataclass(frozen=True)
class RelayLoad:
    """What the relays left carry, spread evenly over them."""

    title: str
    relays: Quantity
    balancers_per_relay: Quantity
    idle_calls: Quantity  # a relay, from below
    core_pct: Quantity  # per relay, for its idle calls
    answer_time: Quantity  # of one change to all of its balancers, processor time
    upstream_calls: Quantity  # at the source, from all relays that watch it
    upstream_time: Quantity  # until the source has answered all of them
    last_notified_after: Quantity  # coalescing, source and answers together


def relay_load(
    inputs: Inputs, title: str, relays: float, upstream: float, clients: float | None = None
) -> RelayLoad:
    """The load with so many relays that answer balancers, of which `upstream` watch the source."""
    fleet = inputs.balancers if clients is None else specified(clients, "balancers")
    count = specified(relays, "relays")
    watching = specified(upstream, "relays")
    each = derived("balancers", lambda whole, parts: whole / parts, fleet, count)
    calls = derived("/s", lambda below, wait: below / wait, each, inputs.relay_watch_wait)
    cost = call_cpu_time(inputs, each.value or 0.0)
    change = inputs.measurements.unit_cost("list.change_us", each.value or 0.0, service_ms=0.0)
    core = derived("%", lambda rate, time: rate * time * PERCENT, calls, cost)
    answers = derived("s", lambda below, time: below * time, each, change)
    upstream_calls = derived("/s", lambda above, wait: above / wait, watching, inputs.relay_setting("wait"))
    upstream_time = derived(
        "s", lambda above, service: above * service, watching, inputs.assumed("list_service_ms")
    )
    last_notified_after = total(inputs.relay_setting("coalesce"), upstream_time, answers)
    return RelayLoad(
        title, count, each, calls, core, answers, upstream_calls, upstream_time, last_notified_after
    )


def relay_loads(inputs: Inputs) -> list[RelayLoad]:
    """One and two tiers, half of the machines lost, one region by itself and with half of its own lost."""
    machines = inputs.targets.budget.machines
    regions = inputs.targets.fleet.regions
    half = max(1, machines // 2)
    below = max(1, machines - TOP_TIER_RELAYS)
    region = machines / regions
    clients = inputs.targets.fleet.balancers / regions
    left = max(1.0, float(int(region / 2.0)))
    return [
        relay_load(inputs, f"one tier, all {machines}", machines, machines),
        relay_load(inputs, f"one tier, {half} left", half, half),
        relay_load(inputs, f"two tiers, {TOP_TIER_RELAYS} above {below}", below, TOP_TIER_RELAYS),
        relay_load(inputs, f"two tiers, half left, 1 above {max(1, half - 1)}", max(1, half - 1), 1),
        relay_load(inputs, "one region by itself", region, region, clients),
        relay_load(inputs, f"one region, {left:.0f} left", left, left, clients),
    ]


def list_quantities(inputs: Inputs) -> dict[str, Quantity]:
    """What the chapters on lists and on an hour apart quote."""
    hour = derived(
        "changes",
        lambda rate, time: rate * time,
        inputs.changes_per_s,
        specified(inputs.targets.failures.apart_s, "s"),
    )
    hour_log = derived("B", lambda changes, size: changes * size, hour, inputs.assumed("change_bytes"))
    failures = inputs.targets.failures
    daily_machine_changes = failures.machines_per_day + failures.restarts_per_day
    max_age = inputs.relay_setting("max_age")
    timing = RELAYED_TIMING
    silent = specified((timing.wait + timing.answer_grace + timing.jitter) / MS_PER_S, "s")
    hedge_delay = specified((timing.hedge_delay + timing.jitter) / MS_PER_S, "s")
    all_lists = derived("B", lambda size, count: size * count, full_list_bytes(inputs), inputs.balancers)
    return {
        "lists.idle_calls": idle_calls(inputs),
        "lists.wait": inputs.watch_wait,
        "lists.rate": inputs.list_service_rate,
        "lists.service": inputs.assumed("list_service_ms"),
        "lists.direct_time": direct_time(inputs),
        "lists.within": inputs.change_deadline,
        "lists.direct_time_by_process": direct_time_by_process(inputs),
        "lists.balancers": inputs.balancers,
        "lists.whole": full_list_bytes(inputs),
        "lists.whole_all": all_lists,
        "lists.whole_per_machine": inputs.per_control_machine(all_lists),
        "lists.whole_share": derived(
            "s", lambda size, rate: size / rate, full_list_bytes(inputs), inputs.bytes_budget
        ),
        "lists.coalesce": inputs.relay_setting("coalesce"),
        "lists.max_age": max_age,
        "lists.silent": silent,
        "lists.beside": hedge_delay,
        "lists.age_most": total(max_age, silent, hedge_delay),
        "lists.age_bound": specified(MAX_LIST_AGE_S, "s"),
        "apart.time": specified(failures.apart_s, "s"),
        "apart.changes": hour,
        "apart.log": hour_log,
        "apart.machines": specified(daily_machine_changes * failures.apart_s / DAY_S, "machines"),
        "apart.machines_a_region": specified(
            daily_machine_changes * failures.apart_s / DAY_S / inputs.targets.fleet.regions, "machines"
        ),
        "control.per_region": specified(
            inputs.targets.budget.machines / inputs.targets.fleet.regions, "machines"
        ),
        "control.machines": inputs.control_machines,
        "control.half": specified(inputs.targets.budget.machines // 2, "machines"),
    }
