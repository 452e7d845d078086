"""`make bench-start`: the first 30 s of service without discovery, and what the store costs.

    python -m benchmarks.start [--seconds 30] [--runs 3] [--before TREE] [--json FILE]

TREE is another checkout of the program with its own virtual environment or none, to be played in turns: what
it knows is the list of its configuration. Both are played by the stand-ins of this one. It takes about (3 +
1) x runs x seconds, one run after the other.
"""

from __future__ import annotations

import json
import math
import statistics
import tempfile
from dataclasses import asdict
from pathlib import Path

import click

from benchmarks.start import costs, story
from puffinford.text_table import format_table

AGES = {"1min": 60_000.0, "1h": 3_600_000.0, "1d": 86_400_000.0}


@click.command()
@click.option("--seconds", default=30.0, show_default=True)
@click.option("--runs", default=3, show_default=True)
@click.option("--before", type=click.Path(path_type=Path, exists=True, file_okay=False), default=None)
@click.option("--json", "to", type=click.Path(path_type=Path), default=None)
def main(seconds: float, runs: int, before: Path | None, to: Path | None) -> None:
    """Measure, print tables and the one line."""
    found: dict[str, list[story.Result]] = {}
    for seed in range(1, runs + 1):
        for name, old in AGES.items():
            with tempfile.TemporaryDirectory() as work:
                found.setdefault(name, []).append(story.run(seconds, seed, old, Path(work)))
        if before is not None:
            with tempfile.TemporaryDirectory() as work:
                found.setdefault("before", []).append(
                    story.run(seconds, seed, 0.0, Path(work), before.resolve())
                )
    rows = []
    for name, results in found.items():
        for number, r in enumerate(results, 1):
            times = (f"{r.first_ms:.0f}", f"{r.p50:.1f}", f"{r.p99:.0f}")
            wrong = (r.to_draining, r.dead_paid_twice, len(r.broken))
            rows.append((name, number, r.asked, f"{100 * r.share:.1f}", r.refused, *times, *wrong))
    heads = ("list", "run", "asked", "up in 500 ms %", "busy", "first ms", "p50 ms", "p99 ms")
    click.echo(format_table((*heads, "to draining", "two silent", "rules broken"), rows))
    for name, results in found.items():
        for broken in [text for result in results for text in result.broken][:5]:
            click.echo(f"{name}: {broken}")
    figures: dict[str, float] = {}
    for name, results in found.items():
        middle = story.median_run(results)
        if math.isnan(middle.p99):
            raise click.ClickException(f"{name}: no opening of the middle run was up; longer --seconds?")
        figures[f"in_time_{name}"] = round(100 * middle.share, 1)
        figures[f"first_ms_{name}"] = round(statistics.median(r.first_ms for r in results))
        figures[f"p99_ms_{name}"] = round(middle.p99)
        figures[f"to_draining_{name}"] = sum(r.to_draining for r in results)
        figures[f"broken_{name}"] = sum(len(r.broken) for r in results)
    figures["restore_10000_ms"] = round(min(costs.restore(10_000, durable=False) for _ in range(3)))
    figures["restore_10000_durable_ms"] = round(min(costs.restore(10_000, durable=True) for _ in range(3)))
    store, whole = costs.changes(1_000, 10.0, 10.0)
    figures["changes_store_core_pct"] = round(100 * store, 2)
    figures["changes_all_core_pct"] = round(100 * whole, 2)
    figures["commit_10_ms"] = round(costs.commit(10, durable=False), 3)
    figures["commit_10_durable_ms"] = round(costs.commit(10, durable=True), 3)
    figures["import_mb"] = round(
        statistics.median(costs.memory("puffinford.state.keeper") for _ in range(5)), 2
    )
    if to is not None:
        runs_told = {name: [asdict(result) for result in results] for name, results in found.items()}
        to.write_text(json.dumps({"figures": figures, "runs": runs_told}, indent=1))
    click.echo("bench start " + " ".join(f"{name}={value:g}" for name, value in figures.items()))


if __name__ == "__main__":
    main()
