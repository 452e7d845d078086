"""`make bench-scale-runs`: stories of hollow balancers beside real ones, at a size told (docs/scale.md).

First hollow and real balancers are compared at one size; where they disagree nothing else is played, and the
exit code is 1. A run that could not hold its size says so, is not kept, and the exit code is 2.

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

from benchmarks.scale.kept_runs import keep, record
from benchmarks.scale.records import RUNS, BadRecord, Provenance, RunResults, now_utc, read, this_machine
from puffinford.scale.messages import ClientWorkload, Skip
from puffinford.scale.outcome import RunOutcome
from puffinford.scale.plan import RunPlan
from puffinford.scale.run import Run, SizeNotHeld
from puffinford.scale.stories import DIRECT_STORIES, FULL_SPAN_S, RELAY_STORIES, STORIES, story
from puffinford.text_table import format_table

TWINS = 8  # hollow and as many real balancers that have to agree
TWIN_SPAN = 12.0  # seconds
TWIN_CROWD = ClientWorkload(rate=2.0, life_ms=4_000.0)
HEADS = (
    "story", "hollow", "real", "told p50", "p99", "last", "missed", "real p99", "last", "missed", "calls/s",
    "peak", "queue", "list cpu %", "hollow cpu %", "B/s", "KiB", "late p99", "lost",
)  # fmt: skip


def twins(seed: int, skip: Skip = Skip.NOTHING, span: float = TWIN_SPAN) -> RunPlan:
    """The run in which hollow and real balancers have to agree."""
    return RunPlan(
        story=story("busy", span),
        hollow=TWINS,
        processes=1,
        real=TWINS,
        seed=seed,
        workload=TWIN_CROWD,
        paired=True,
        skip=skip,
    )


def play(plan: RunPlan) -> RunOutcome:
    """One run, whose logs go with it; raises NotHeld."""
    with tempfile.TemporaryDirectory() as directory:
        return anyio.run(Run(plan, Path(directory)).play)


def commit() -> str:
    """The program's commit, with `+` behind it where the tree holds changes beside it."""
    words = ["git", "describe", "--always", "--dirty=+", "--abbrev=7", "--exclude=*"]
    return subprocess.run(words, capture_output=True, text=True, check=True).stdout.strip()


def row(run: RunOutcome) -> tuple[object, ...]:
    """A run as a line of the table."""
    ours, theirs, load = run.hollow_propagation, run.real_propagation, run.hollow_load
    lists, late = run.list_service, run.lateness
    size = "-" if load.bytes_per_s is None else f"{load.bytes_per_s:.0f}"
    return (
        run.story, run.hollow, run.real, ours.p50_ms, ours.p99_ms, ours.last_ms, ours.missed, theirs.p99_ms,
        theirs.last_ms, theirs.missed, lists.calls_per_s, lists.peak_calls_per_s, lists.max_queued_calls,
        lists.cpu_percent, f"{load.cpu_percent:.3f}", size, load.resident_kib, late.p99_ms,
        late.lost_fraction,
    )  # fmt: skip


def summary(runs: list[RunOutcome], disagreements: int | None) -> str:
    """The one line."""
    pieces = [] if disagreements is None else [f"disagreements={disagreements}"]
    for run in runs:
        name = run.story.replace("-", "_")
        pieces += [
            f"{name}_held={int(run.held)}",
            f"{name}_p99_ms={run.hollow_propagation.p99_ms:.0f}",
            f"{name}_last_ms={run.hollow_propagation.last_ms:.0f}",
            f"{name}_missed={run.hollow_propagation.missed + run.real_propagation.missed}",
            f"{name}_calls_a_second={run.list_service.calls_per_s:.0f}",
        ]
    return "bench scale-runs " + " ".join(pieces)


@click.command()
@click.option("--hollow", default=1_000, show_default=True, help="hollow balancers")
@click.option("--processes", default=4, show_default=True, help="processes that hold them")
@click.option("--real", default=4, show_default=True, help="real balancers beside them")
@click.option("--relays", default=0, show_default=True, help="relays between; 0: none")
@click.option("--story", "names", type=click.Choice([*STORIES, "all"]), multiple=True, default=("all",))
@click.option("--servers", default=100, show_default=True)
@click.option("--service-ms", default=0.0, show_default=True, help="what a call takes at the list service")
@click.option("--rate", default=0.05, show_default=True, help="arrivals a second at each balancer")
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
    """Play stories, print a table and the one line, and keep the records."""
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
            disagreements = _agree(seed, runs)
        for name in chosen:
            if name in RELAY_STORIES and not relays:
                raise click.UsageError(f"{name} needs --relays")
            runs.append(play(replace(plan, story=story(name, span))))
            click.echo(f"{name}: {runs[-1].reason or 'held'}", err=True)
    except SizeNotHeld as exc:
        _say(runs, disagreements)
        click.echo(f"size not held: {exc}", err=True)
        sys.exit(2)
    _say(runs, disagreements)
    measured = Provenance(this_machine(), commit(), now_utc(), remarks)
    keep(results, [record(run, measured) for run in runs if run.held])
    sys.exit(0 if all(run.held for run in runs) else 2)


def _agree(seed: int, runs: list[RunOutcome]) -> int:
    """Hollow and real at one size; ends with exit code 1 where they disagree."""
    run = play(twins(seed))
    runs.append(run)
    for found in run.disagreements:
        click.echo(f"{found.metric}: hollow {found.hollow}, real {found.real}, bound {found.bound}", err=True)
    if run.disagreements:
        _say(runs, len(run.disagreements))
        sys.exit(1)
    return 0


def _say(runs: list[RunOutcome], disagreements: int | None) -> None:
    click.echo(format_table(HEADS, [row(run) for run in runs]))
    click.echo(summary(runs, disagreements))


if __name__ == "__main__":
    main()
