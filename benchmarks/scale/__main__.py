"""`make bench-scale`: what the program spends by servers, connections and watches (docs/scale-slopes.md).

python -m benchmarks.scale [--only control] [--runs 5] [--quick] [--results FILE]; the exit code is 2 where a
run could not hold its size, or where results cannot be read or written. What was held is kept then.
"""

from __future__ import annotations

import os
import sys
from pathlib import Path

import anyio
import click

from benchmarks.scale import records
from benchmarks.scale.parts import parts
from benchmarks.scale.records import BadRecord, Point, Provenance, SlopeResults
from benchmarks.scale.runner import Outcome, run_all
from benchmarks.scale.samples import gather
from benchmarks.scale.sizes import FULL, QUICK
from benchmarks.scale.store import EMPTY, commit, join, load
from puffinford.text_table import format_table

HEADS = ("series", "unit", "over", "from", "to", "slope", "least", "most", "at 0", "residual", "fixed")


def load_average() -> str:
    """The processes that run or wait for a core, over the last minute."""
    return f"{os.getloadavg()[0]:.1f}"


def points_of(outcomes: dict[str, Outcome], only: tuple[str, ...]) -> list[Point]:
    """The points of every part that was held in all runs."""
    points: list[Point] = []
    for outcome in outcomes.values():
        if not outcome.not_held:
            seeds = sorted(outcome.runs)
            runs = [[s for s in outcome.runs[seed] if s.series.startswith(only)] for seed in seeds]
            points += gather(runs, seeds, 0)
    return points


def show(results: SlopeResults, only: tuple[str, ...]) -> None:
    """The lines as a table."""
    rows = []
    for fit in results.fits:
        if fit.series.startswith(only):
            spread = (f"{fit.slope:.4g}", f"{fit.slope_low:.4g}", f"{fit.slope_high:.4g}")
            rest = (f"{fit.intercept:.4g}", f"{fit.residual:.3g}")
            fixed = " ".join(f"{name}={value:g}" for name, value in sorted(fit.fixed.items()))
            rows.append(
                (fit.series, fit.unit, fit.over, f"{fit.low:g}", f"{fit.high:g}", *spread, *rest, fixed)
            )
    click.echo(format_table(HEADS, rows))


def measure(
    only: tuple[str, ...], runs: int, quick: bool, cores: float, remarks: str
) -> tuple[Provenance, dict[str, Outcome]]:
    """Run every part that is wanted."""
    chosen = [part for part in parts(QUICK if quick else FULL) if part.wanted(only)]
    if not chosen:
        raise BadRecord(f"--only: no series begins with {' or '.join(only)}")
    began, date, program = load_average(), records.now_utc(), commit()

    async def all_parts() -> dict[str, Outcome]:
        seeds = range(1, runs + 1)
        return await run_all(chosen, seeds, quick, cores, lambda text: click.echo(text, err=True))

    outcomes = anyio.run(all_parts)
    told = f"load average {began} at the start, {load_average()} at the end"
    text = f"{remarks}; {told}" if remarks else told
    return Provenance(records.this_machine(), program, date, text), outcomes


@click.command()
@click.option("--only", multiple=True, metavar="PREFIX", help="Series that begin so; the others are kept.")
@click.option("--runs", default=5, show_default=True, type=click.IntRange(min=1), help="Seeds 1 to this.")
@click.option("--quick", is_flag=True, help="Small sizes, in under a minute; kept only with --results.")
@click.option("--results", type=click.Path(path_type=Path, dir_okay=False), help="Where results are kept.")
@click.option("--cores", default=2.0, show_default=True, type=click.FloatRange(min=0.1), help="To keep busy.")
@click.option("--remarks", default="", help="What else runs on the machine; kept with the figures.")
def main(
    only: tuple[str, ...], runs: int, quick: bool, results: Path | None, cores: float, remarks: str
) -> None:
    """Measure, print the lines, and keep the results."""
    only = only or ("",)  # all of them
    path = results or (None if quick else records.SLOPES)
    try:
        kept = load(path) if path is not None else EMPTY
        provenance, outcomes = measure(only, runs, quick, cores, remarks)
        points = points_of(outcomes, only)
        made = join(kept, provenance, points)
        if path is not None and points:
            records.write(path, made)
    except BadRecord as exc:
        click.echo(f"bench scale: {exc}", err=True)
        sys.exit(2)
    show(made, only)
    not_held = [text for outcome in outcomes.values() for text in outcome.not_held]
    for text in not_held:
        click.echo(f"bench scale: not held: {text}", err=True)
    lines = sum(fit.series.startswith(only) for fit in made.fits)
    series = len({point.series for point in points})
    kept_as = path if path is not None and points else "none"
    click.echo(
        f"bench scale series={series} points={len(points)} fits={lines} runs={runs} "
        f"not_held={len(not_held)} results={kept_as}"
    )
    if not_held:
        sys.exit(2)


if __name__ == "__main__":
    main()
