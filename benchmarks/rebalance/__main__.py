"""`make bench-rebalance`: balance after a cold restart, with and without rebalancing, and a large simulation.

python -m benchmarks.rebalance [--runs 3] [--servers 1000 --balancers 200 --connections 1000000] [--json FILE]
"""

from __future__ import annotations

import json
import math
import tempfile
from dataclasses import asdict
from pathlib import Path

import click

from benchmarks.rebalance import cost, story
from benchmarks.rebalance.model import Model
from puffinford.text_table import format_table


@click.command()
@click.option("--runs", default=3, show_default=True)
@click.option("--servers", default=1_000, show_default=True)
@click.option("--balancers", default=200, show_default=True)
@click.option("--connections", default=1_000_000, show_default=True)
@click.option("--json", "json_path", type=click.Path(path_type=Path), default=None)
def main(runs: int, servers: int, balancers: int, connections: int, json_path: Path | None) -> None:
    """Measure, print tables and the summary line."""
    found: dict[str, list[story.Result]] = {"with": [], "without": []}
    for seed in range(1, runs + 1):
        for name, results in found.items():
            with tempfile.TemporaryDirectory() as work:
                results.append(story.run(name == "with", Path(work), seed))
    headers = (
        "rebalancing",
        "run",
        "balanced s",
        "ratio at end",
        "moves",
        "least",
        "cut",
        "cold floods",
        "p99 before ms",
    )
    rows = []
    for name, results in found.items():
        for number, r in enumerate(results, 1):
            moves = (f"{r.balanced_s:.1f}", f"{r.ratio_end:.2f}", r.moves, r.least_moves, r.cut)
            delays = (f"{r.p99_before:.1f}", f"{r.p99_during:.1f}")
            rows.append((name, number, *moves, len(r.cold), *delays, len(r.broken)))
    click.echo(format_table((*headers, "during ms", "rules broken"), rows))
    for name, results in found.items():
        for text in [text for result in results for text in (*result.broken, *result.cold)][:5]:
            click.echo(f"{name}: {text}")
    metrics: dict[str, float] = {}
    for name, results in found.items():
        median_result = sorted(results, key=lambda r: r.balanced_s)[len(results) // 2]
        metrics[f"balanced_s_{name}"] = round(median_result.balanced_s, 1)
        metrics[f"ratio_end_{name}"] = round(median_result.ratio_end, 2)
        metrics[f"moves_{name}"] = median_result.moves
        metrics[f"least_{name}"] = median_result.least_moves
        metrics[f"cut_{name}"] = sum(r.cut for r in results)
        metrics[f"cold_floods_{name}"] = sum(len(r.cold) for r in results)
        metrics[f"p99_ratio_{name}"] = round(median_result.p99_during / median_result.p99_before, 2)
        metrics[f"broken_{name}"] = sum(len(r.broken) for r in results)
    metrics["core_pct_50000"] = round(100 * cost.core_share(50_000, 10), 2)
    outcome = Model(servers, balancers, connections).run(300.0)
    metrics["model_balanced_s"] = round(outcome.balanced_s, 1)
    metrics["model_moves_over_least"] = round(outcome.moves / max(1, outcome.fewest_moves), 2)
    metrics["model_fill"] = round(outcome.fill, 2)
    metrics["model_back"] = outcome.back
    metrics["model_strayed"] = outcome.placed_back
    metrics["model_round_us"] = round(outcome.decision_us)
    if json_path is not None:
        runs_by_name = {name: [asdict(result) for result in results] for name, results in found.items()}
        json_path.write_text(
            json.dumps({"figures": metrics, "runs": runs_by_name, "model": outcome.ratios}, indent=1)
        )
    click.echo("bench rebalance " + " ".join(f"{k}={v:g}" for k, v in metrics.items() if not math.isnan(v)))


if __name__ == "__main__":
    main()
