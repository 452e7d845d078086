"""Changes of configuration: how many, how they reach each balancer, and what they cost there."""

from __future__ import annotations

from benchmarks.capacity.balancer import burst_time
from benchmarks.capacity.inputs import PERCENT, Inputs
from benchmarks.capacity.quantity import Quantity, derived, specified
from benchmarks.capacity.roles import Mechanism, QuantityKind, Role, Row, Status


def day_log(inputs: Inputs) -> Quantity:
    """All changes of a day."""
    daily_changes = specified(inputs.targets.changes.per_day, "")
    return derived("B", lambda changes, size: changes * size, daily_changes, inputs.assumed("change_bytes"))


def burst_bytes(inputs: Inputs) -> Quantity:
    """Bytes a second of a balancer over the budget's window, with the largest burst in it."""
    return derived(
        "B/s",
        lambda changes, size, within: changes * size / within,
        inputs.largest_burst,
        inputs.assumed("change_bytes"),
        inputs.assumed("budget_window_s"),
    )


def direct_answers(inputs: Inputs) -> Quantity:
    """Answers a second in the mean, if each change is sent to each balancer by itself."""
    return derived("/s", lambda rate, count: rate * count, inputs.changes_per_s, inputs.balancers)


def coalesced(inputs: Inputs) -> Quantity:
    """Messages a second that a balancer gets at most, however many changes come."""
    return derived("/s", lambda gather: 1.0 / gather, inputs.relay_setting("coalesce"))


def burst_core(inputs: Inputs, servers: int) -> Quantity:
    """Percent of a core over the budget's window, when the largest burst is taken change by change."""
    window = inputs.assumed("budget_window_s")
    return derived("%", lambda time, within: time / within * PERCENT, burst_time(inputs, servers), window)


def configuration(inputs: Inputs) -> Role:
    """What changes of configuration ask of a balancer."""
    mean_bytes = derived(
        "B/s", lambda rate, size: rate * size, inputs.changes_per_s, inputs.assumed("change_bytes")
    )
    peak = derived(
        "/s", lambda changes, within: changes / within, inputs.largest_burst, inputs.change_deadline
    )
    rows = [
        Row(QuantityKind.STATE, "log of a day's changes", day_log(inputs), inputs.memory_budget),
        Row(
            QuantityKind.MEMORY,
            "the same, held by a balancer for who was away",
            day_log(inputs),
            inputs.memory_budget,
        ),
        Row(QuantityKind.MESSAGES, "changes", inputs.changes_per_s),
        Row(QuantityKind.PEAK, "largest burst, within the told time", peak),
        Row(QuantityKind.PEAK, "the same, coalesced", coalesced(inputs)),
        Row(
            QuantityKind.MESSAGES,
            "answers of one list service to all, directly",
            direct_answers(inputs),
            inputs.list_service_rate,
        ),
        Row(QuantityKind.BYTES, "changes, mean", mean_bytes, inputs.bytes_budget),
        Row(
            QuantityKind.BYTES,
            "largest burst, over the budget's window",
            burst_bytes(inputs),
            inputs.bytes_budget,
        ),
    ]
    for servers in inputs.server_counts:
        core, time = burst_core(inputs, servers), burst_time(inputs, servers)
        rows += [
            Row(
                QuantityKind.PROCESSOR,
                "largest burst change by change, over the budget's window",
                core,
                inputs.core_budget,
                servers,
            ),
            Row(QuantityKind.TIME, "the same, until it is taken", time, inputs.change_deadline, servers),
        ]
    return Role(
        "configuration",
        "Configuration",
        "Quantities are of a balancer.",
        tuple(rows),
        (
            Mechanism("reload of the whole file, all of it or nothing", Status.IMPLEMENTED, "SIGHUP"),
            Mechanism(
                "changes of the server list by version", Status.IMPLEMENTED, "watch, then only what changed"
            ),
            Mechanism(
                "versioned configuration by watch, last good one kept",
                Status.MISSING,
                "files are brought by hand or by another system",
            ),
            Mechanism("replicated store with watches, by consensus", Status.EXTERNAL, "the source of both"),
        ),
    )


def configuration_quantities(inputs: Inputs) -> dict[str, Quantity]:
    """What the chapter on configuration quotes."""
    return {
        "configuration.mean": inputs.changes_per_s,
        "configuration.burst": inputs.largest_burst,
        "configuration.burst_bytes": burst_bytes(inputs),
        "configuration.direct": direct_answers(inputs),
        "configuration.coalesced": coalesced(inputs),
        "configuration.log": day_log(inputs),
    }
