"""Progress display of a running play on a terminal."""

from __future__ import annotations

from collections.abc import Sequence

import anyio
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

from puffinford.stage.play import Play
from puffinford.standins.trace import EventKind, Trace

REFRESH_INTERVAL_S = 0.25
DISPLAYED_EVENTS: Sequence[EventKind] = (EventKind.UP, EventKind.BUSY, EventKind.LOST, EventKind.MOVED)


async def run_with_progress(play: Play, shown: bool = True) -> Trace:
    """Run the play to its end and return its trace, with a progress line on standard error if `shown`."""
    if not shown:
        return await play.run()
    columns = (
        TextColumn("{task.description}"),
        BarColumn(30),
        TimeElapsedColumn(),
        TextColumn("{task.fields[status]}"),
    )
    with Progress(*columns, console=Console(stderr=True), transient=True) as progress:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_refresh, play, progress)
            trace = await play.run()
            tasks.cancel_scope.cancel()
    return trace


async def _refresh(play: Play, progress: Progress) -> None:
    total = play.script.seconds * 1_000.0
    bar = progress.add_task("starting", total=total, status="")
    while True:
        await anyio.sleep(REFRESH_INTERVAL_S)
        trace = play.trace
        ready = sum(balancer.ready and balancer.running for balancer in play.balancers)
        status = f"{ready} of {play.script.balancers} balancers"
        if trace.serving_started_at:
            counts = [f"{what.value} {len(list(trace.of(what)))}" for what in DISPLAYED_EVENTS]
            faults = [entry.detail for entry in trace.of(EventKind.FAULT)]
            status = f"{status}, {', '.join(counts)}" + (f", last fault {faults[-1]}" if faults else "")
            served_ms = min(total, trace.elapsed - trace.serving_started_at)
            progress.update(bar, description="playing", completed=served_ms, status=status)
        else:
            progress.update(bar, status=status)
