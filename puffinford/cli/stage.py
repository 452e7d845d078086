"""`puffinford stage`: play stories with faults between many real processes, on loopback."""

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
    """Stories: many balancers as processes, and faults between them. All of it stays on this machine."""


@stage.command("list")
def list_stories() -> None:
    """Name the stories that come with the program."""
    rows = []
    for path in sorted(STORIES_DIRECTORY.glob("*.yaml")):
        first = path.read_text(encoding="utf-8").partition("\n")[0]
        rows.append((path.stem, first.removeprefix("# ")))
    click.echo(format_table(("story", "what happens"), rows))


@stage.command()
@click.argument("story")
@click.option("--balancers", type=click.IntRange(1, 300), help="In place of the story's number.")
@click.option("--seed", type=int, help="In place of the story's.")
@click.option("--seconds", type=click.FloatRange(1.0, 3_600.0), help="In place of the story's.")
@click.option(
    "--rate", type=click.FloatRange(0.1, 5_000.0), help="Openings a second, in place of the story's."
)
@click.option(
    "--logs", type=click.Path(path_type=Path, file_okay=False), help="Keep the processes' logs there."
)
@click.option(
    "--picture", type=click.Path(path_type=Path, dir_okay=False), help="Write a report, PNG or SVG."
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
    """Play STORY, a file or the name of one that comes with the program.

    The exit code is 1 where a rule was broken, and 2 where the story could not be played.
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
    given = {"balancers": balancers, "seed": seed, "seconds": seconds, "rate": rate}
    try:
        script = read_script(path, **{name: value for name, value in given.items() if value is not None})
        if logs is not None:
            logs.mkdir(parents=True, exist_ok=True)
    except (InvalidScript, OSError) as exc:
        return fail(f"{path}: {exc}" if isinstance(exc, InvalidScript) else str(exc))
    began = time.monotonic()
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
        told = {**report.metrics(), "seconds": round(time.monotonic() - began, 1), "rules": report.violations}
        click.echo(json.dumps(told, indent=1))
    else:
        click.echo(report.text())
        links = played.relays
        seen = f"{len(links.ports)} links, passed on {links.max_lateness_ms:.0f} ms late at most"
        seen += f"; the play itself {played.max_lateness_ms:.0f} ms"
        click.echo(f"\n{script.balancers} balancers, {seen}")
    if report.violations:
        raise SystemExit(1)


@stage.command()
@click.option("--seeds", type=click.IntRange(1, 10_000), default=50, help="How many stories.")
@click.option("--first", type=int, default=1, help="The first seed.")
@click.option("--balancers", type=click.IntRange(1, 300), default=30, help="Of a story, at most.")
@click.option(
    "--logs", type=click.Path(path_type=Path, file_okay=False), help="Keep the processes' logs there."
)
def soak(seeds: int, first: int, balancers: int, logs: Path | None) -> None:
    """Play one drawn story a seed, and name every broken rule.

    The exit code is 1 where one was broken or a story could not be played.
    """
    from puffinford.stage.play import Play, PlayFailed
    from puffinford.stage.soak import find_violations, generate_script

    broken = 0
    for seed in range(first, first + seeds):
        script = generate_script(seed, balancers)
        with tempfile.TemporaryDirectory() if logs is None else nullcontext(str(logs)) as directory:
            place = Path(directory, f"seed-{seed}")
            place.mkdir(parents=True, exist_ok=True)
            played = Play(script, place)
            try:
                trace = anyio.run(played.run)
            except PlayFailed as exc:
                found, asked = [f"not played: {exc}"], 0
            else:
                found = find_violations(trace, script, played.max_lateness_ms)
                asked = sum(trace.count(EventKind.REQUESTED).values())
        broken += bool(found)
        head = f"seed {seed}: {script.balancers} balancers, {len(script.servers)} servers, {asked} asked"
        head += f", {played.max_lateness_ms:.0f} ms late"
        click.echo("\n  ".join([f"{head}: {'kept' if not found else f'{len(found)} broken'}", *found[:8]]))
    click.echo(f"soak seeds={seeds} first={first} broken={broken}")
    if broken:
        raise SystemExit(1)
