"""A play as it goes on, on a terminal."""

from __future__ import annotations

from collections.abc import Sequence

import anyio
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

from puffinford.stage.play import Play
from puffinford.standins.trace import EventKind, Trace

EVERY = 0.25  # seconds between two looks
COUNTED: Sequence[EventKind] = (EventKind.UP, EventKind.BUSY, EventKind.LOST, EventKind.MOVED)


async def run_with_progress(play: Play, shown: bool = True) -> Trace:
    """Play it; where `shown`, with a line on standard error that tells how far it is."""
    if not shown:
        return await play.run()
    columns = (
        TextColumn("{task.description}"),
        BarColumn(30),
        TimeElapsedColumn(),
        TextColumn("{task.fields[told]}"),
    )
    with Progress(*columns, console=Console(stderr=True), transient=True) as progress:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_look, play, progress)
            trace = await play.run()
            tasks.cancel_scope.cancel()
    return trace


async def _look(play: Play, progress: Progress) -> None:
    total = play.script.seconds * 1_000.0
    bar = progress.add_task("starting", total=total, told="")
    while True:
        await anyio.sleep(EVERY)
        trace = play.trace
        ready = sum(balancer.ready and balancer.running for balancer in play.balancers)
        told = f"{ready} of {play.script.balancers} balancers"
        if trace.serving_started_at:
            counts = [f"{what.value} {len(list(trace.of(what)))}" for what in COUNTED]
            faults = [entry.detail for entry in trace.of(EventKind.FAULT)]
            told = f"{told}, {', '.join(counts)}" + (f", last fault {faults[-1]}" if faults else "")
            passed = min(total, trace.elapsed - trace.serving_started_at)
            progress.update(bar, description="playing", completed=passed, told=told)
        else:
            progress.update(bar, told=told)
