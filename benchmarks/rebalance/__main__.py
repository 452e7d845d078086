"""`make bench-rebalance`: balance after a cold restart, with rebalancing and without, and the planner at
size.

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
@click.option("--json", "to", type=click.Path(path_type=Path), default=None)
def main(runs: int, servers: int, balancers: int, connections: int, to: Path | None) -> None:
    """Measure, print tables and the one line."""
    found: dict[str, list[story.Result]] = {"with": [], "without": []}
    for seed in range(1, runs + 1):
        for name, results in found.items():
            with tempfile.TemporaryDirectory() as work:
                results.append(story.run(name == "with", Path(work), seed))
    heads = (
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
    click.echo(format_table((*heads, "during ms", "rules broken"), rows))
    for name, results in found.items():
        for text in [text for result in results for text in (*result.broken, *result.cold)][:5]:
            click.echo(f"{name}: {text}")
    figures: dict[str, float] = {}
    for name, results in found.items():
        middle = sorted(results, key=lambda r: r.balanced_s)[len(results) // 2]
        figures[f"balanced_s_{name}"] = round(middle.balanced_s, 1)
        figures[f"ratio_end_{name}"] = round(middle.ratio_end, 2)
        figures[f"moves_{name}"] = middle.moves
        figures[f"least_{name}"] = middle.least_moves
        figures[f"cut_{name}"] = sum(r.cut for r in results)
        figures[f"cold_floods_{name}"] = sum(len(r.cold) for r in results)
        figures[f"p99_ratio_{name}"] = round(middle.p99_during / middle.p99_before, 2)
        figures[f"broken_{name}"] = sum(len(r.broken) for r in results)
    figures["core_pct_50000"] = round(100 * cost.core_share(50_000, 10), 2)
    outcome = Model(servers, balancers, connections).run(300.0)
    figures["model_balanced_s"] = round(outcome.balanced_s, 1)
    figures["model_moves_over_least"] = round(outcome.moves / max(1, outcome.fewest_moves), 2)
    figures["model_fill"] = round(outcome.fill, 2)
    figures["model_back"] = outcome.back
    figures["model_strayed"] = outcome.strayed
    figures["model_round_us"] = round(outcome.decision_us)
    if to is not None:
        told = {name: [asdict(result) for result in results] for name, results in found.items()}
        to.write_text(json.dumps({"figures": figures, "runs": told, "model": outcome.ratios}, indent=1))
    click.echo("bench rebalance " + " ".join(f"{k}={v:g}" for k, v in figures.items() if not math.isnan(v)))


if __name__ == "__main__":
    main()
