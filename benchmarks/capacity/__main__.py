"""`make capacity`: computes docs/CAPACITY.md from the committed results and a fleet's targets.

What has not been measured is printed, and called so on the page. Bad targets or results are named by place
and value, with exit code 2.

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
BAD_INPUT = 2  # exit code


def compute(targets: Path, slopes: Path, runs: Path) -> Capacity:
    """The capacity by these files; a committed results file that is not there yet counts as nothing measured.

    Raises BadRecord where a file cannot be used, or another than the committed one is missing.
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
@click.option("--runs", type=click.Path(path_type=Path), default=RUNS, help="results of runs at size")
@click.option("--page", type=click.Path(path_type=Path), default=PAGE, help="where the page is written")
def main(targets: Path, slopes: Path, runs: Path, page: Path) -> None:
    """Compute the page."""
    try:
        computed = compute(targets, slopes, runs)
    except BadRecord as exc:
        click.echo(f"capacity: {exc}", err=True)
        sys.exit(BAD_INPUT)
    try:
        page.write_text(render(computed), encoding="utf-8")
    except OSError as exc:
        click.echo(f"capacity: {page}: {exc.strerror}", err=True)
        sys.exit(BAD_INPUT)
    for series in computed.missing:
        click.echo(f"not measured: {series}")
    built = computed.first_to_build
    click.echo(
        f"capacity page={page.name} not_measured={len(computed.missing)} runs={len(computed.runs)} "
        f"first={built.multiple.value if built else 0.0:.3g}"
    )


if __name__ == "__main__":
    main()
