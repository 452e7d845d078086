"""`make bench-scale`: resource use by number of servers, connections and watches (docs/scale-slopes.md).

python -m benchmarks.scale [--only control] [--runs 5] [--quick] [--results FILE]

The exit code is 2 if a run did not reach its size, or if results cannot be read or written. The results of
all other parts are still saved.
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
from benchmarks.scale.store import EMPTY, current_commit, load, replace_series
from puffinford.text_table import format_table

TABLE_HEADERS = (
    "series",
    "unit",
    "over",
    "from",
    "to",
    "slope",
    "least",
    "most",
    "at 0",
    "residual",
    "fixed",
)


def load_average() -> str:
    """Return the load average of the last minute."""
    return f"{os.getloadavg()[0]:.1f}"


def points_of_complete_parts(outcomes: dict[str, Outcome], only: tuple[str, ...]) -> list[Point]:
    """Return the points of every part whose runs all reached their size."""
    points: list[Point] = []
    for outcome in outcomes.values():
        if not outcome.failures:
            seeds = sorted(outcome.runs)
            runs = [[s for s in outcome.runs[seed] if s.series.startswith(only)] for seed in seeds]
            points += gather(runs, seeds, 0)
    return points


def show(results: SlopeResults, only: tuple[str, ...]) -> None:
    """Print the fitted lines as a table."""
    rows = []
    for fit in results.fits:
        if fit.series.startswith(only):
            spread = (f"{fit.slope:.4g}", f"{fit.slope_low:.4g}", f"{fit.slope_high:.4g}")
            rest = (f"{fit.intercept:.4g}", f"{fit.residual:.3g}")
            fixed = " ".join(f"{name}={value:g}" for name, value in sorted(fit.fixed.items()))
            rows.append(
                (fit.series, fit.unit, fit.over, f"{fit.low:g}", f"{fit.high:g}", *spread, *rest, fixed)
            )
    click.echo(format_table(TABLE_HEADERS, rows))


def measure(
    only: tuple[str, ...], runs: int, quick: bool, cores: float, remarks: str
) -> tuple[Provenance, dict[str, Outcome]]:
    """Run every part with a series that starts with one of `only`."""
    chosen = [part for part in parts(QUICK if quick else FULL) if part.matches(only)]
    if not chosen:
        raise BadRecord(f"--only: no series begins with {' or '.join(only)}")
    load_at_start, date, program = load_average(), records.now_utc(), current_commit()

    async def all_parts() -> dict[str, Outcome]:
        seeds = range(1, runs + 1)
        return await run_all(chosen, seeds, quick, cores, lambda text: click.echo(text, err=True))

    outcomes = anyio.run(all_parts)
    load_averages = f"load average {load_at_start} at the start, {load_average()} at the end"
    text = f"{remarks}; {load_averages}" if remarks else load_averages
    return Provenance(records.this_machine(), program, date, text), outcomes


@click.command()
@click.option("--only", multiple=True, metavar="PREFIX", help="Measure only series with this prefix.")
@click.option(
    "--runs",
    default=5,
    show_default=True,
    type=click.IntRange(min=1),
    help="Number of runs; their seeds are 1 to N.",
)
@click.option("--quick", is_flag=True, help="Small sizes, under a minute; saved only with --results.")
@click.option("--results", type=click.Path(path_type=Path, dir_okay=False), help="Results file.")
@click.option("--cores", default=2.0, show_default=True, type=click.FloatRange(min=0.1), help="Cores to use.")
@click.option("--remarks", default="", help="What else runs on the machine; saved with the results.")
def main(
    only: tuple[str, ...], runs: int, quick: bool, results: Path | None, cores: float, remarks: str
) -> None:
    """Measure, print the fitted lines, and save the results."""
    only = only or ("",)  # the empty prefix selects every series
    path = results or (None if quick else records.SLOPES)
    try:
        stored = load(path) if path is not None else EMPTY
        provenance, outcomes = measure(only, runs, quick, cores, remarks)
        points = points_of_complete_parts(outcomes, only)
        updated = replace_series(stored, provenance, points)
        if path is not None and points:
            records.write(path, updated)
    except BadRecord as exc:
        click.echo(f"bench scale: {exc}", err=True)
        sys.exit(2)
    show(updated, only)
    failures = [text for outcome in outcomes.values() for text in outcome.failures]
    for text in failures:
        click.echo(f"bench scale: size not reached: {text}", err=True)
    fit_count = sum(fit.series.startswith(only) for fit in updated.fits)
    series = len({point.series for point in points})
    saved_to = path if path is not None and points else "none"
    click.echo(
        f"bench scale series={series} points={len(points)} fits={fit_count} runs={runs} "
        f"not_held={len(failures)} results={saved_to}"
    )
    if failures:
        sys.exit(2)


if __name__ == "__main__":
    main()
