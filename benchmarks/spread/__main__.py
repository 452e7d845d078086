"""`make bench-spread`: evenness of the load behind hundreds of real balancers, in each story of the stage.

The stories are those of `puffinford stage list`, at the given size. A load is the number of established
connections over the share of the server, averaged from the third second on; `chance` is the value for a
random placement of as many connections. Every client has its own group unless `--groups` sets a number (0: no
groups). Each story is played once. Decision modules in simulated time (`model`) are measured first, with
three seeds.

python -m benchmarks.spread [--balancers 200 --servers 60 --standing 1800 --only STORY --before TREE]
"""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Any

import anyio
import click

from benchmarks.spread.model import ClientPopulation, mean
from puffinford.cli.stage import STORIES_DIRECTORY
from puffinford.stage.play import Play
from puffinford.stage.report import Report
from puffinford.stage.script import read_script
from puffinford.text_table import format_table

LIFETIME_S = 6.0  # mean, of a client
STORY_NAMES = sorted(path.stem for path in STORIES_DIRECTORY.glob("*.yaml"))
SHOWN_METRICS = ("fullest", "emptiest", "worst", "chance", "refused", "with_room", "claims", "idle", "broken")


def play(
    name: str, balancers: int, servers: int, standing: int, groups: int, root: Path | None
) -> tuple[dict[str, float], list[str]]:
    """Play one story; return its statistics, with `late_ms` in ms, and the rule violations."""
    kind = {"life": LIFETIME_S * 1_000.0, "every": 3_000.0, "give_up": 2_000.0, "groups": groups or 1_000_000}
    changes: dict[str, Any] = {
        "balancers": balancers, "rate": standing / LIFETIME_S, "quota": standing * 4 / 3,
        "grouped": groups > 0, "classes": {"desk": kind},
        "servers": {"gw": {"count": servers, "capacity": 20 * standing // servers, "warm_ms": 8_000}},
    }  # fmt: skip
    script = read_script(STORIES_DIRECTORY / f"{name}.yaml", **changes)
    with tempfile.TemporaryDirectory() as directory:
        played = Play(script, Path(directory), root)
        trace = anyio.run(played.run)
    report = Report(trace, script)
    metrics = {key: report.metrics()[key] for key in SHOWN_METRICS}
    metrics["late_ms"] = max(played.relays.max_lateness_ms, played.max_lateness_ms)
    return metrics, report.violations


@click.command()
@click.option("--balancers", default=200)
@click.option("--servers", default=60)
@click.option("--standing", default=1_800)
@click.option("--groups", default=1_000_000)
@click.option("--only", type=click.Choice(STORY_NAMES), multiple=True)
@click.option("--before", type=click.Path(path_type=Path), help="another source tree to compare with")
def main(
    balancers: int, servers: int, standing: int, groups: int, only: tuple[str, ...], before: Path | None
) -> None:
    """Measure, print the tables and the summary line."""
    rows, line, worst = [], [], []
    busy_balancers = dict.fromkeys(range(0, balancers, 10), 5.0)
    populations = {
        "calm": ClientPopulation(balancers, servers, standing, groups=groups),
        "busy": ClientPopulation(balancers, servers, standing, groups=groups, busy=busy_balancers),
    }
    for name, population in populations.items():
        found = mean(population, range(1, 4))
        rows.append((name, *(f"{value:.2f}" for value in found.values())))
        line.append(f"model_{name}_fullest={found['fullest']:.2f}")
    click.echo(format_table(("model", *found), rows))
    rows = []
    for name in only or STORY_NAMES:
        for tree, root in (("now", None), *([("before", before)] if before else [])):
            metrics, violations = play(name, balancers, servers, standing, groups, root)
            worst += [f"{name} {tree}: {violation}" for violation in violations]
            rows.append((name, tree, *(f"{value:.2f}" for value in metrics.values())))
            line += [
                f"{name}_{tree}_{key}={metrics[key]:.2f}" for key in ("fullest", "emptiest", "with_room")
            ]
            click.echo(f"{name} {tree}: fullest {metrics['fullest']:.2f}, broken {len(violations)}", err=True)
    click.echo(format_table(("story", "tree", *metrics), rows))
    for violation in worst[:20]:
        click.echo(violation)
    click.echo(f"bench spread balancers={balancers} servers={servers} broken={len(worst)} {' '.join(line)}")


if __name__ == "__main__":
    main()
