"""`puffinford stage`: run fault scenarios (stories) with many balancer processes on loopback."""

from __future__ import annotations

import json
import tempfile
import time
from contextlib import nullcontext
from pathlib import Path

import anyio
import click

from puffinford.cli import fail, json_option
from puffinford.standins.trace import EventKind
from puffinford.text_table import format_table

STORIES_DIRECTORY = Path(__file__).parents[1] / "stage" / "stories"


@click.group()
def stage() -> None:
    """Run fault scenarios (stories) with many balancer processes, all on this host."""


@stage.command("list")
def list_stories() -> None:
    """List the stories that are included."""
    rows = []
    for path in sorted(STORIES_DIRECTORY.glob("*.yaml")):
        title = path.read_text(encoding="utf-8").partition("\n")[0]
        rows.append((path.stem, title.removeprefix("# ")))
    click.echo(format_table(("story", "what happens"), rows))


@stage.command()
@click.argument("story")
@click.option("--balancers", type=click.IntRange(1, 300), help="Override the story's number of balancers.")
@click.option("--seed", type=int, help="Override the story's seed.")
@click.option("--seconds", type=click.FloatRange(1.0, 3_600.0), help="Override the story's duration.")
@click.option("--rate", type=click.FloatRange(0.1, 5_000.0), help="Override the story's requests per second.")
@click.option(
    "--logs",
    type=click.Path(path_type=Path, file_okay=False),
    help="Keep the processes' logs in this directory.",
)
@click.option(
    "--picture", type=click.Path(path_type=Path, dir_okay=False), help="Write a chart, as PNG or SVG."
)
@json_option
def play(
    story: str,
    balancers: int | None,
    seed: int | None,
    seconds: float | None,
    rate: float | None,
    logs: Path | None,
    picture: Path | None,
    as_json: bool,
) -> None:
    """Run STORY, a file or the name of an included story.

    The exit code is 1 if a rule was broken, and 2 if the story could not be run.
    """
    try:
        from puffinford.stage.play import Play, PlayFailed
        from puffinford.stage.report import Report
        from puffinford.stage.script import InvalidScript, read_script
        from puffinford.stage.watching import run_with_progress
    except ImportError as exc:
        return fail(f"{exc}; the stage needs the packages of requirements-stage.txt")
    path = Path(story)
    if not path.exists() and (STORIES_DIRECTORY / f"{story}.yaml").exists():
        path = STORIES_DIRECTORY / f"{story}.yaml"
    overrides = {"balancers": balancers, "seed": seed, "seconds": seconds, "rate": rate}
    try:
        script = read_script(path, **{name: value for name, value in overrides.items() if value is not None})
        if logs is not None:
            logs.mkdir(parents=True, exist_ok=True)
    except (InvalidScript, OSError) as exc:
        return fail(f"{path}: {exc}" if isinstance(exc, InvalidScript) else str(exc))
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory() if logs is None else nullcontext(str(logs)) as directory:
        played = Play(script, Path(directory))
        try:
            trace = anyio.run(run_with_progress, played, not as_json)
        except PlayFailed as exc:
            return fail(f"{path}: {exc}")
    report = Report(trace, script)
    if picture is not None:
        report.write_chart(picture)
    if as_json:
        results = {
            **report.metrics(),
            "seconds": round(time.monotonic() - started_at, 1),
            "rules": report.violations,
        }
        click.echo(json.dumps(results, indent=1))
    else:
        click.echo(report.text())
        relays = played.relays
        summary = f"{len(relays.ports)} links, forwarding at most {relays.max_lateness_ms:.0f} ms late"
        summary += f"; the story's own events by at most {played.max_lateness_ms:.0f} ms"
        click.echo(f"\n{script.balancers} balancers, {summary}")
    if report.violations:
        raise SystemExit(1)


@stage.command()
@click.option("--seeds", type=click.IntRange(1, 10_000), default=50, help="The number of stories.")
@click.option("--first", type=int, default=1, help="The first seed.")
@click.option("--balancers", type=click.IntRange(1, 300), default=30, help="At most this many per story.")
@click.option(
    "--logs",
    type=click.Path(path_type=Path, file_okay=False),
    help="Keep the processes' logs in this directory.",
)
def soak(seeds: int, first: int, balancers: int, logs: Path | None) -> None:
    """Run one random story per seed and print every broken rule.

    The exit code is 1 if a rule was broken or a story could not be run.
    """
    from puffinford.stage.play import Play, PlayFailed
    from puffinford.stage.soak import find_violations, generate_script

    broken = 0
    for seed in range(first, first + seeds):
        script = generate_script(seed, balancers)
        with tempfile.TemporaryDirectory() if logs is None else nullcontext(str(logs)) as directory:
            log_directory = Path(directory, f"seed-{seed}")
            log_directory.mkdir(parents=True, exist_ok=True)
            played = Play(script, log_directory)
            try:
                trace = anyio.run(played.run)
            except PlayFailed as exc:
                violations, requests = [f"not run: {exc}"], 0
            else:
                violations = find_violations(trace, script, played.max_lateness_ms)
                requests = sum(trace.count(EventKind.REQUESTED).values())
        broken += bool(violations)
        head = f"seed {seed}: {script.balancers} balancers, {len(script.servers)} servers, {requests} asked"
        head += f", {played.max_lateness_ms:.0f} ms late"
        click.echo(
            "\n  ".join(
                [f"{head}: {'kept' if not violations else f'{len(violations)} broken'}", *violations[:8]]
            )
        )
    click.echo(f"soak seeds={seeds} first={first} broken={broken}")
    if broken:
        raise SystemExit(1)
