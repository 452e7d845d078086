"""Command of `make capacity`: writes docs/CAPACITY.md from the committed results and a fleet's targets.

Prints every series that has not been measured. Invalid targets or results are reported with their place and
value, and the command exits with code 2.

python -m benchmarks.capacity [--targets FILE --slopes FILE --runs FILE --page FILE]
"""

from __future__ import annotations

import sys
from pathlib import Path

import click

from benchmarks.capacity.model import Capacity, compute_capacity
from benchmarks.capacity.page import render
from benchmarks.capacity.targets import TARGETS, read_targets
from benchmarks.scale.records import RUNS, SLOPES, BadRecord, RunResults, SlopeResults, read

PAGE = Path(__file__).parents[2] / "docs" / "CAPACITY.md"
EXIT_BAD_INPUT = 2


def compute(targets: Path, slopes: Path, runs: Path) -> Capacity:
    """Compute the capacity from these files. A missing committed results file means nothing was measured.

    Raises BadRecord if a file is invalid, or if a file other than the committed ones is missing.
    """
    return compute_capacity(
        read_targets(targets),
        read(slopes, SlopeResults) if slopes != SLOPES or slopes.exists() else None,
        read(runs, RunResults) if runs != RUNS or runs.exists() else None,
    )


@click.command()
@click.option("--targets", type=click.Path(path_type=Path), default=TARGETS, help="a fleet's targets, TOML")
@click.option(
    "--slopes", type=click.Path(path_type=Path), default=SLOPES, help="results of `make bench-scale`"
)
@click.option("--runs", type=click.Path(path_type=Path), default=RUNS, help="results of full-size runs")
@click.option("--page", type=click.Path(path_type=Path), default=PAGE, help="page to write")
def main(targets: Path, slopes: Path, runs: Path, page: Path) -> None:
    """Compute the page and write it."""
    try:
        computed = compute(targets, slopes, runs)
    except BadRecord as exc:
        click.echo(f"capacity: {exc}", err=True)
        sys.exit(EXIT_BAD_INPUT)
    try:
        page.write_text(render(computed), encoding="utf-8")
    except OSError as exc:
        click.echo(f"capacity: {page}: {exc.strerror}", err=True)
        sys.exit(EXIT_BAD_INPUT)
    for series in computed.missing:
        click.echo(f"not measured: {series}")
    first = computed.first_to_build
    click.echo(
        f"capacity page={page.name} not_measured={len(computed.missing)} runs={len(computed.runs)} "
        f"first={first.multiple.value if first else 0.0:.3g}"
    )


if __name__ == "__main__":
    main()
