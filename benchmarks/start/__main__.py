"""`make bench-start`: the first 30 s of service without discovery, and the cost of the store.

    python -m benchmarks.start [--seconds 30] [--runs 3] [--before TREE] [--json FILE]

TREE is another checkout of the program, with or without its own virtual environment. Its runs alternate with
those of this one and use its stand-ins; its server list comes from the configuration. The duration is about
(3 + 1) x runs x seconds.
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

LIST_AGES_MS = {"1min": 60_000.0, "1h": 3_600_000.0, "1d": 86_400_000.0}


@click.command()
@click.option("--seconds", default=30.0, show_default=True)
@click.option("--runs", default=3, show_default=True)
@click.option("--before", type=click.Path(path_type=Path, exists=True, file_okay=False), default=None)
@click.option("--json", "json_path", type=click.Path(path_type=Path), default=None)
def main(seconds: float, runs: int, before: Path | None, json_path: Path | None) -> None:
    """Measure, print tables and the summary line."""
    found: dict[str, list[story.Result]] = {}
    for seed in range(1, runs + 1):
        for name, age_ms in LIST_AGES_MS.items():
            with tempfile.TemporaryDirectory() as work:
                found.setdefault(name, []).append(story.run(seconds, seed, age_ms, Path(work)))
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
    headers = ("list", "run", "asked", "up in 500 ms %", "busy", "first ms", "p50 ms", "p99 ms")
    click.echo(format_table((*headers, "to draining", "two silent", "rules broken"), rows))
    for name, results in found.items():
        for broken in [text for result in results for text in result.broken][:5]:
            click.echo(f"{name}: {broken}")
    metrics: dict[str, float] = {}
    for name, results in found.items():
        median_result = story.median_run(results)
        if math.isnan(median_result.p99):
            raise click.ClickException(
                f"{name}: no connection established in the median run; try a larger --seconds"
            )
        metrics[f"in_time_{name}"] = round(100 * median_result.share, 1)
        metrics[f"first_ms_{name}"] = round(statistics.median(r.first_ms for r in results))
        metrics[f"p99_ms_{name}"] = round(median_result.p99)
        metrics[f"to_draining_{name}"] = sum(r.to_draining for r in results)
        metrics[f"broken_{name}"] = sum(len(r.broken) for r in results)
    metrics["restore_10000_ms"] = round(min(costs.restore(10_000, durable=False) for _ in range(3)))
    metrics["restore_10000_durable_ms"] = round(min(costs.restore(10_000, durable=True) for _ in range(3)))
    store_share, total = costs.changes(1_000, 10.0, 10.0)
    metrics["changes_store_core_pct"] = round(100 * store_share, 2)
    metrics["changes_all_core_pct"] = round(100 * total, 2)
    metrics["commit_10_ms"] = round(costs.commit(10, durable=False), 3)
    metrics["commit_10_durable_ms"] = round(costs.commit(10, durable=True), 3)
    metrics["import_mb"] = round(
        statistics.median(costs.memory("puffinford.state.keeper") for _ in range(5)), 2
    )
    if json_path is not None:
        runs_by_name = {name: [asdict(result) for result in results] for name, results in found.items()}
        json_path.write_text(json.dumps({"figures": metrics, "runs": runs_by_name}, indent=1))
    click.echo("bench start " + " ".join(f"{name}={value:g}" for name, value in metrics.items()))


if __name__ == "__main__":
    main()
