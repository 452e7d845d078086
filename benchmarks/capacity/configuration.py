"""The role of configuration: rate of changes, their distribution and their cost per balancer."""

from __future__ import annotations

from benchmarks.capacity.balancer import burst_time
from benchmarks.capacity.inputs import PERCENT, Inputs
from benchmarks.capacity.quantity import Quantity, derived, specified
from benchmarks.capacity.roles import Mechanism, QuantityKind, Role, Row, Status


def day_log(inputs: Inputs) -> Quantity:
    """Size of a log of one day's changes, in bytes."""
    daily_changes = specified(inputs.targets.changes.per_day, "")
    return derived("B", lambda changes, size: changes * size, daily_changes, inputs.assumed("change_bytes"))


def burst_bytes(inputs: Inputs) -> Quantity:
    """Bytes per second of the largest burst at a balancer, averaged over the budget's window."""
    return derived(
        "B/s",
        lambda changes, size, window: changes * size / window,
        inputs.largest_burst,
        inputs.assumed("change_bytes"),
        inputs.assumed("budget_window_s"),
    )


def direct_answers(inputs: Inputs) -> Quantity:
    """Mean answers per second if each change is sent to each balancer separately."""
    return derived("/s", lambda rate, count: rate * count, inputs.changes_per_s, inputs.balancers)


def coalesced_rate(inputs: Inputs) -> Quantity:
    """Maximum messages per second to a balancer when changes are coalesced."""
    return derived("/s", lambda interval: 1.0 / interval, inputs.relay_setting("coalesce"))


def burst_core(inputs: Inputs, servers: int) -> Quantity:
    """Percent of a core over the budget's window when the largest burst is applied change by change."""
    window = inputs.assumed("budget_window_s")
    return derived("%", lambda time, duration: time / duration * PERCENT, burst_time(inputs, servers), window)


def configuration_role(inputs: Inputs) -> Role:
    """The role of configuration changes at a balancer."""
    mean_bytes = derived(
        "B/s", lambda rate, size: rate * size, inputs.changes_per_s, inputs.assumed("change_bytes")
    )
    peak = derived(
        "/s", lambda changes, deadline: changes / deadline, inputs.largest_burst, inputs.change_deadline
    )
    rows = [
        Row(QuantityKind.STATE, "log of a day's changes", day_log(inputs), inputs.memory_budget),
        Row(
            QuantityKind.MEMORY,
            "the same, kept by a balancer for reconnecting peers",
            day_log(inputs),
            inputs.memory_budget,
        ),
        Row(QuantityKind.MESSAGES, "changes", inputs.changes_per_s),
        Row(QuantityKind.PEAK, "largest burst, within the deadline", peak),
        Row(QuantityKind.PEAK, "the same, coalesced", coalesced_rate(inputs)),
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
            Row(QuantityKind.TIME, "the same, until it is applied", time, inputs.change_deadline, servers),
        ]
    return Role(
        "configuration",
        "Configuration",
        "Quantities are of a balancer.",
        tuple(rows),
        (
            Mechanism("atomic reload of the complete file", Status.IMPLEMENTED, "SIGHUP"),
            Mechanism(
                "changes of the server list by version", Status.IMPLEMENTED, "watch, then only what changed"
            ),
            Mechanism(
                "versioned configuration by watch, last valid one kept",
                Status.MISSING,
                "files are deployed by hand or by another system",
            ),
            Mechanism("replicated store with watches, by consensus", Status.EXTERNAL, "the source of both"),
        ),
    )


def configuration_quantities(inputs: Inputs) -> dict[str, Quantity]:
    """Quantities quoted in the chapter on configuration."""
    return {
        "configuration.mean": inputs.changes_per_s,
        "configuration.burst": inputs.largest_burst,
        "configuration.burst_bytes": burst_bytes(inputs),
        "configuration.direct": direct_answers(inputs),
        "configuration.coalesced": coalesced_rate(inputs),
        "configuration.log": day_log(inputs),
    }
