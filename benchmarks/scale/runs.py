"""`make bench-scale-runs`: stories with hollow and real balancers, at a given size (docs/scale.md).

First hollow and real balancers are compared at one size; if they disagree, no story is played and the exit
code is 1. If a run does not reach its size, it is not saved and the exit code is 2.

python -m benchmarks.scale.runs --hollow N --processes P --real R --story NAME [--relays K]
"""

from __future__ import annotations

import subprocess
import sys
import tempfile
from dataclasses import replace
from pathlib import Path

import anyio
import click

from benchmarks.scale.kept_runs import make_record, store_runs
from benchmarks.scale.records import RUNS, BadRecord, Provenance, RunResults, now_utc, read, this_machine
from puffinford.scale.messages import ClientWorkload, Skip
from puffinford.scale.outcome import RunOutcome
from puffinford.scale.plan import RunPlan
from puffinford.scale.run import Run, SizeNotHeld
from puffinford.scale.stories import DIRECT_STORIES, FULL_SPAN_S, RELAY_STORIES, STORIES, story
from puffinford.text_table import format_table

AGREEMENT_BALANCERS = 8  # of each kind
AGREEMENT_SPAN_S = 12.0
AGREEMENT_WORKLOAD = ClientWorkload(rate=2.0, life_ms=4_000.0)
TABLE_HEADERS = (
    "story", "hollow", "real", "delay p50", "p99", "last", "missed", "real p99", "last", "missed", "calls/s",
    "peak", "queue", "list cpu %", "hollow cpu %", "B/s", "KiB", "late p99", "lost",
)  # fmt: skip


def agreement_plan(seed: int, skip: Skip = Skip.NOTHING, span: float = AGREEMENT_SPAN_S) -> RunPlan:
    """Return the plan of the run in which hollow and real balancers are compared."""
    return RunPlan(
        story=story("busy", span),
        hollow=AGREEMENT_BALANCERS,
        processes=1,
        real=AGREEMENT_BALANCERS,
        seed=seed,
        workload=AGREEMENT_WORKLOAD,
        paired=True,
        skip=skip,
    )


def play(plan: RunPlan) -> RunOutcome:
    """Play one run in a temporary directory; raises SizeNotHeld."""
    with tempfile.TemporaryDirectory() as directory:
        return anyio.run(Run(plan, Path(directory)).play)


def current_commit() -> str:
    """Return the commit of the program, with a `+` suffix if the tree has uncommitted changes."""
    arguments = ["git", "describe", "--always", "--dirty=+", "--abbrev=7", "--exclude=*"]
    return subprocess.run(arguments, capture_output=True, text=True, check=True).stdout.strip()


def row(run: RunOutcome) -> tuple[object, ...]:
    """Return the table row of a run."""
    hollow, real, load = run.hollow_propagation, run.real_propagation, run.hollow_load
    lists, late = run.list_service, run.lateness
    size = "-" if load.bytes_per_s is None else f"{load.bytes_per_s:.0f}"
    return (
        run.story, run.hollow, run.real, hollow.p50_ms, hollow.p99_ms, hollow.last_ms, hollow.missed,
        real.p99_ms, real.last_ms, real.missed, lists.calls_per_s, lists.peak_calls_per_s,
        lists.max_queued_calls, lists.cpu_percent, f"{load.cpu_percent:.3f}", size, load.resident_kib,
        late.p99_ms, late.lost_fraction,
    )  # fmt: skip


def summary(runs: list[RunOutcome], disagreements: int | None) -> str:
    """Return the summary line."""
    fields = [] if disagreements is None else [f"disagreements={disagreements}"]
    for run in runs:
        name = run.story.replace("-", "_")
        fields += [
            f"{name}_held={int(run.held)}",
            f"{name}_p99_ms={run.hollow_propagation.p99_ms:.0f}",
            f"{name}_last_ms={run.hollow_propagation.last_ms:.0f}",
            f"{name}_missed={run.hollow_propagation.missed + run.real_propagation.missed}",
            f"{name}_calls_a_second={run.list_service.calls_per_s:.0f}",
        ]
    return "bench scale-runs " + " ".join(fields)


@click.command()
@click.option("--hollow", default=1_000, show_default=True, help="hollow balancers")
@click.option("--processes", default=4, show_default=True, help="processes that hold them")
@click.option("--real", default=4, show_default=True, help="real balancers beside them")
@click.option("--relays", default=0, show_default=True, help="relays before the list service; 0: none")
@click.option("--story", "names", type=click.Choice([*STORIES, "all"]), multiple=True, default=("all",))
@click.option("--servers", default=100, show_default=True)
@click.option(
    "--service-ms", default=0.0, show_default=True, help="processing time of a call at the list service"
)
@click.option("--rate", default=0.05, show_default=True, help="arrivals per second at each balancer")
@click.option("--span", default=FULL_SPAN_S, show_default=True, help="seconds of a story")
@click.option("--seed", default=1, show_default=True)
@click.option("--agreement/--no-agreement", default=True, show_default=True, help="compare first")
@click.option("--results", type=click.Path(path_type=Path), default=RUNS, show_default=True)
@click.option("--remarks", default="", help="what else ran on the machine")
def main(
    hollow: int,
    processes: int,
    real: int,
    relays: int,
    names: tuple[str, ...],
    servers: int,
    service_ms: float,
    rate: float,
    span: float,
    seed: int,
    agreement: bool,
    results: Path,
    remarks: str,
) -> None:
    """Play stories, print a table and the summary line, and save the results."""
    disagreements = None
    plan = RunPlan(
        story=story("calm", span),
        hollow=hollow,
        processes=processes,
        real=real,
        relays=relays,
        servers=servers,
        service_ms=service_ms,
        seed=seed,
        workload=ClientWorkload(rate=rate),
    )
    chosen = list(names)
    if "all" in names:
        chosen = [*DIRECT_STORIES, *(RELAY_STORIES if relays else {})]
    runs: list[RunOutcome] = []
    try:
        if results.exists():
            read(results, RunResults)
    except BadRecord as exc:
        click.echo(str(exc), err=True)
        sys.exit(2)
    try:
        if agreement:
            disagreements = _check_agreement(seed, runs)
        for name in chosen:
            if name in RELAY_STORIES and not relays:
                raise click.UsageError(f"{name} needs --relays")
            runs.append(play(replace(plan, story=story(name, span))))
            click.echo(f"{name}: {runs[-1].reason or 'held'}", err=True)
    except SizeNotHeld as exc:
        _print_results(runs, disagreements)
        click.echo(f"size not held: {exc}", err=True)
        sys.exit(2)
    _print_results(runs, disagreements)
    measured = Provenance(this_machine(), current_commit(), now_utc(), remarks)
    store_runs(results, [make_record(run, measured) for run in runs if run.held])
    sys.exit(0 if all(run.held for run in runs) else 2)


def _check_agreement(seed: int, runs: list[RunOutcome]) -> int:
    """Compare hollow and real balancers; exits with code 1 if they disagree."""
    run = play(agreement_plan(seed))
    runs.append(run)
    for found in run.disagreements:
        click.echo(f"{found.metric}: hollow {found.hollow}, real {found.real}, bound {found.bound}", err=True)
    if run.disagreements:
        _print_results(runs, len(run.disagreements))
        sys.exit(1)
    return 0


def _print_results(runs: list[RunOutcome], disagreements: int | None) -> None:
    click.echo(format_table(TABLE_HEADERS, [row(run) for run in runs]))
    click.echo(summary(runs, disagreements))


if __name__ == "__main__":
    main()
