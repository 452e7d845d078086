"""Rendering of the capacity page: `page.md.j2` with its tables and quantities, as Markdown."""

from __future__ import annotations

import re
import textwrap
from collections.abc import Iterable
from pathlib import Path

import jinja2

from benchmarks.capacity.delivery import Hop
from benchmarks.capacity.lists import RelayLoad
from benchmarks.capacity.model import Capacity
from benchmarks.capacity.quantity import Quantity, format_number, format_value, total
from benchmarks.capacity.reconnecting import Loss
from benchmarks.capacity.roles import Mechanism, RankedQuantity, Role, Row
from benchmarks.capacity.shards import LookupOption
from benchmarks.capacity.targets import Assumptions, unit_of
from benchmarks.scale.records import Fit, Provenance, ScaleRun

TEMPLATE = "page.md.j2"
EMPTY_CELL = "-"
LINE_WIDTH = 120
_FILL = textwrap.TextWrapper(LINE_WIDTH, break_long_words=False, break_on_hyphens=False)
MIN_MULTIPLE = 0.01  # smaller multiples are shown as "under"


def render(capacity: Capacity) -> str:
    """Render the page; raises jinja2.UndefinedError if the template names an unknown quantity."""
    environment = jinja2.Environment(
        loader=jinja2.FileSystemLoader(Path(__file__).parent),
        undefined=jinja2.StrictUndefined,
        trim_blocks=True,
        lstrip_blocks=True,
        keep_trailing_newline=True,
        autoescape=False,  # the output is Markdown and all input is trusted
    )
    environment.globals.update(
        role_table=role_table,
        mechanism_table=mechanism_table,
        ranking_table=ranking_table,
        lookup_option_table=lookup_option_table,
        hop_table=hop_table,
        loss_table=loss_table,
        relay_load_table=relay_load_table,
        run_table=run_table,
        run_cost_table=run_cost_table,
        fit_table=fit_table,
        provenance_table=provenance_table,
        assumption_table=assumption_table,
        format_number=format_number,
        ranges_of=ranges_of,
    )
    roles = {role.key: role for role in capacity.roles}
    page = environment.get_template(TEMPLATE).render(
        capacity=capacity, q=capacity.named_quantities, roles=roles
    )
    return wrap_blocks(page)


def wrap_blocks(page: str) -> str:
    """Wrap paragraphs and list items at the line width, with one empty line between blocks."""
    blocks = [block.strip("\n") for block in re.split(r"\n{2,}", page)]
    return "\n\n".join(_fill_block(block) for block in blocks if block.strip()) + "\n"


def _fill_block(block: str) -> str:
    if block.startswith(("|", "#")):
        return block
    items = re.split(r"\n(?=- )", block)
    return "\n".join(_FILL.fill(" ".join(item.split())) for item in items)


def markdown_table(headings: Iterable[str], rows: Iterable[Iterable[str]]) -> str:
    """A Markdown table; escapes vertical bars in cells."""
    names = list(headings)
    lines = [names, ["---"] * len(names), *([cell.replace("|", "\\|") for cell in row] for row in rows)]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def format_multiple(quantity: Quantity | None) -> str:
    """Format the multiple of a budget with its short mark; a dash if there is no budget."""
    if quantity is None:
        return EMPTY_CELL
    if quantity.value is None:
        return quantity.short
    small = quantity.value < MIN_MULTIPLE
    shown = f"under {MIN_MULTIPLE}" if small else format_number(quantity.value)
    return f"{shown} ({quantity.short_mark})"


def ranges_of(quantities: Iterable[Quantity]) -> str:
    """A sentence with the measured ranges of a table's extrapolated values; empty if there are none."""
    ranges = sorted({measured for quantity in quantities for measured in quantity.ranges})
    if not ranges:
        return ""
    by_series: dict[str, list[str]] = {}
    for measured in ranges:
        by_series.setdefault(measured.series, []).append(str(measured))
    described = "; ".join(f"`{series}` at {', '.join(sizes)}" for series, sizes in by_series.items())
    return f"(x) exceeds the measured ranges: {described}."


def role_table(role: Role) -> str:
    """Tables of a role's quantities and budgets, first those that depend on the number of servers."""
    independent = [row for row in role.rows if row.servers is None]
    by_servers = [row for row in role.rows if row.servers is not None]
    tables = [servers_table(by_servers)] if by_servers else []
    tables.append(
        markdown_table(
            ("kind", "quantity", "value", "budget", "multiple of it"),
            (
                (
                    row.kind.value,
                    row.name,
                    row.quantity.short,
                    format_budget(row),
                    format_multiple(row.multiple),
                )
                for row in independent
            ),
        )
    )
    tables.append(ranges_of(row.quantity for row in role.rows))
    return "\n\n".join(part for part in tables if part)


def servers_table(rows: list[Row]) -> str:
    """A table with a row per quantity and a column per number of servers."""
    counts = sorted({row.servers for row in rows if row.servers is not None})
    found = {(row.kind, row.name, row.servers): row for row in rows}
    names = dict.fromkeys((row.kind, row.name) for row in rows)
    return markdown_table(
        ("kind", "quantity", "budget", *(f"{format_number(count)} servers" for count in counts)),
        (
            (
                kind.value,
                name,
                format_budget(found[kind, name, counts[0]]),
                *(format_value_and_multiple(found[kind, name, count]) for count in counts),
            )
            for kind, name in names
        ),
    )


def format_budget(row: Row) -> str:
    """Format the budget of a row with its short mark; a dash if there is no budget."""
    return EMPTY_CELL if row.budget is None else row.budget.short


def format_value_and_multiple(row: Row) -> str:
    """Format a value with its multiple of the budget."""
    found = row.multiple
    if found is None or found.value is None:
        return row.quantity.short
    small = found.value < MIN_MULTIPLE
    return f"{row.quantity.short}: {f'under {MIN_MULTIPLE}' if small else format_number(found.value)} times"


def mechanism_table(mechanisms: Iterable[Mechanism]) -> str:
    """Table of the mechanisms of a role."""
    return markdown_table(
        ("mechanism", "status", "remark"),
        ((mechanism.term, f"*{mechanism.status.value}*", mechanism.remark) for mechanism in mechanisms),
    )


def ranking_table(entries: Iterable[RankedQuantity]) -> str:
    """Table of the ranked quantities, largest multiple of the budget first."""
    return markdown_table(
        ("multiple", "quantity", "value", "budget", "reduced by", "remark"),
        (
            (
                format_multiple(entry.multiple),
                entry.name,
                entry.quantity.short,
                entry.budget.short,
                entry.remedy.value,
                entry.verdict,
            )
            for entry in entries
        ),
    )


def lookup_option_table(lookup_options: Iterable[LookupOption]) -> str:
    """Table of the options for a balancer to look up the owner of a shard."""
    return markdown_table(
        (
            "option",
            "state per balancer",
            "bytes, mean",
            "announcing a lost zone, at the budget",
            "age of the answer",
            "verdict",
        ),
        (
            (
                option.name,
                str(option.state),
                str(option.mean_rate),
                str(option.zone_loss_time),
                option.age,
                option.verdict,
            )
            for option in lookup_options
        ),
    )


def hop_table(hops: list[Hop], queue: Quantity, total_time: Quantity) -> str:
    """Table of the delivery tree with totals; `queue` is the queueing time of all hops together."""
    rows = [
        (
            hop.name,
            hop.nodes.amount,
            hop.children.amount,
            hop.sending.short,
            hop.latency.short,
            hop.queueing_time.short,
        )
        for hop in hops
    ]
    sending, latency = (total(*(getattr(hop, part) for hop in hops)) for part in ("sending", "latency"))
    rows.append(("total", "", "", sending.short, latency.short, queue.short))
    headings = ("hop", "receivers", "children of a sender", "sending", "latency", "queueing, target quantile")
    return "\n\n".join(part for part in (markdown_table(headings, rows), ranges_of([total_time])) if part)


def loss_table(losses: Iterable[Loss]) -> str:
    """Table of the load on the remaining balancers after the loss of a rack, a zone or a region."""
    return markdown_table(
        (
            "lost",
            "clients",
            "at each remaining balancer",
            "connections it then holds",
            "all reconnected, no cryptography",
            "with cryptography",
            "fleet admits",
            "jitter over",
        ),
        (
            (
                loss.name,
                loss.clients.amount,
                loss.clients_per_balancer.amount,
                loss.connections_held.amount,
                loss.plain_time.short,
                loss.encrypted_time.short,
                loss.admission.short,
                loss.jitter_window.short,
            )
            for loss in losses
        ),
    )


def relay_load_table(loads: Iterable[RelayLoad]) -> str:
    """Table of the load on relays."""
    return markdown_table(
        (
            "relays",
            "balancers each",
            "calls each, idle",
            "of a core",
            "answers of one change",
            "calls at the source",
            "time to answer all at the source",
            "change at the last balancer",
        ),
        (
            (
                load.title,
                format_number(load.balancers_per_relay.value or 0.0),
                load.idle_calls.short,
                load.core_pct.short,
                load.answer_time.short,
                load.upstream_calls.short,
                load.upstream_time.short,
                load.last_notified_after.short,
            )
            for load in loads
        ),
    )


def run_table(runs: Iterable[ScaleRun], within_s: float) -> str:
    """Table of the delay until balancers had the changes, one row per run."""
    headings = (
        "story", "relays", "hollow", "real", "processes", "servers", "service", "p50", "p99", "last",
        "not updated", "real p99", "real last", f"99 in 100 within {format_number(within_s)} s", "held",
        "hollow loop delay p99", "lost",
    )  # fmt: skip
    return markdown_table(headings, (run_row(run, within_s) for run in sorted_runs(runs)))


def sorted_runs(runs: Iterable[ScaleRun]) -> list[ScaleRun]:
    """Sort runs by story and size, and by number of relays last."""
    return sorted(runs, key=lambda run: (run.story, run.hollow, run.servers, run.service_ms, run.relays))


def run_row(run: ScaleRun, within_s: float) -> tuple[str, ...]:
    """Cells of one run: size, delay after a change at the source, and whether the run held its size."""
    hollow, real = run.told_hollow, run.told_real
    missed = hollow.missed + real.missed
    in_time = missed == 0 and max(hollow.p99_s, real.p99_s) <= within_s
    return (
        run.story,
        str(run.relays),
        format_number(run.hollow),
        format_number(run.real),
        str(run.processes),
        format_number(run.servers),
        f"{format_number(run.service_ms)} ms",
        f"{format_number(hollow.p50_s)} s",
        f"{format_number(hollow.p99_s)} s",
        f"{format_number(hollow.last_s)} s",
        format_number(missed),
        f"{format_number(real.p99_s)} s",
        f"{format_number(real.last_s)} s",
        "yes" if in_time else "**no**",
        "yes" if run.held else "**no**",
        f"{format_number(run.late_p99_s)} s",
        f"{format_number(100.0 * run.lost_part)}%",
    )


def run_cost_table(runs: Iterable[ScaleRun]) -> str:
    """Table of the resource usage of runs; core percentages are means over a run."""
    headings = (
        "story", "relays", "hollow", "calls at the source", "peak", "sent", "its core", "calls of a balancer",
        "bytes", "hollow's core", "hollow's memory", "real's core", "real's memory", "relay's core, max",
        "relay's memory", "relay sends",
    )  # fmt: skip
    return markdown_table(headings, (run_cost_row(run) for run in sorted_runs(runs)))


def run_cost_row(run: ScaleRun) -> tuple[str, ...]:
    """Cells of one run: calls, bytes, processor time and memory."""
    relays = run.relays > 0
    return (
        run.story,
        str(run.relays),
        format_number(run.hollow),
        format_value(run.source_calls_per_s, "/s"),
        format_value(run.source_calls_peak, "/s"),
        format_value(run.source_bytes_per_s, "B/s"),
        format_value(run.source_core_pct, "%"),
        format_value(run.calls_per_balancer_s, "/s"),
        format_value(run.bytes_per_balancer_s, "B/s"),
        format_value(run.hollow_core_pct, "%"),
        f"{format_number(run.hollow_kib)} KiB",
        format_value(run.real_core_pct, "%"),
        f"{format_number(run.real_mib)} MiB",
        format_value(run.relay_core_pct_most, "%") if relays else EMPTY_CELL,
        f"{format_number(run.relay_mib)} MiB" if relays else EMPTY_CELL,
        format_value(run.relay_bytes_per_s, "B/s") if relays else EMPTY_CELL,
    )


def fit_table(fits: Iterable[Fit]) -> str:
    """Table of the fitted lines."""
    return markdown_table(
        ("series", "over", "fixed", "range", "slope", "of single runs", "intercept", "residual", "runs"),
        (
            (
                fit.series,
                fit.over,
                ", ".join(f"{name} {format_number(size)}" for name, size in sorted(fit.fixed.items()))
                or EMPTY_CELL,
                f"{format_number(fit.low)} to {format_number(fit.high)}",
                f"{fit.slope:.3g} {fit.unit}",
                f"{fit.slope_low:.3g} to {fit.slope_high:.3g}",
                f"{fit.intercept:.3g}",
                f"{fit.residual:.3g}",
                str(fit.runs),
            )
            for fit in sorted(fits, key=lambda fit: (fit.series, fit.over, sorted(fit.fixed.items())))
        ),
    )


def provenance_table(measured: Iterable[Provenance]) -> str:
    """Table of dates, commits and machines of the measurements, without duplicates."""
    rows = [
        (
            provenance.date,
            provenance.commit,
            f"{provenance.machine.cores} cores, {format_number(provenance.machine.memory_gib)} GiB, "
            f"{provenance.machine.python}, {provenance.machine.system}",
            provenance.remarks or EMPTY_CELL,
        )
        for provenance in measured
    ]
    return markdown_table(("date", "commit", "machine", "remarks"), dict.fromkeys(rows))


def assumption_table(assumptions: Assumptions) -> str:
    """Table of all assumptions with their reasons."""
    counts = ", ".join(format_number(count) for count in assumptions.server_counts)
    rows = [("server counts", counts, "not specified by the operators")]
    for name, assumption in assumptions.single_values().items():
        unit, _ = unit_of(name)
        suffix = {"%": "pct"}.get(unit, name.rpartition("_")[2]) if unit else ""
        title = name.removesuffix("_per_s").removesuffix(f"_{suffix}").replace("_", " ")
        shown = assumptions.quantity(name)
        rows.append((title, shown.amount, assumption.reason))
    return markdown_table(("assumed", "value", "reason"), rows)
