"""Runs parts concurrently within a limit of cores."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import anyio
import msgspec

from benchmarks.scale.parts import Part
from benchmarks.scale.samples import Sample, SampleList

_MAX_ERROR_LINES = 3  # shown of a worker's traceback


@dataclass
class Outcome:
    """The samples of one part by seed, and why runs of it failed."""

    runs: dict[int, list[Sample]] = field(default_factory=dict)
    failures: list[str] = field(default_factory=list)


class CoreBudget:
    """Limits the cores in use. A part that needs more than the limit runs alone."""

    def __init__(self, limit: float) -> None:
        self._limit = limit
        self._busy = 0.0
        self._changed = anyio.Condition()

    async def acquire(self, cores: float) -> None:
        """Wait until `cores` are free and reserve them."""
        async with self._changed:
            while self._busy and self._busy + cores > self._limit:
                await self._changed.wait()
            self._busy += cores

    async def release(self, cores: float) -> None:
        """Return the cores of a completed part."""
        async with self._changed:
            self._busy = max(0.0, self._busy - cores)
            self._changed.notify_all()


async def _run_worker(part: Part, seed: int, quick: bool, outcome: Outcome) -> None:
    command = [
        sys.executable,
        "-m",
        "benchmarks.scale.worker",
        part.name,
        str(seed),
        "quick" if quick else "full",
    ]
    completed = await anyio.run_process(command, check=False, stderr=subprocess.PIPE)
    if completed.returncode:
        last = completed.stderr.decode(errors="replace").strip().splitlines()[-_MAX_ERROR_LINES:]
        outcome.failures.append(
            f"{part.name}: seed {seed}: exit code {completed.returncode}: {' | '.join(last)}"
        )
        return
    result = msgspec.json.decode(completed.stdout.splitlines()[-1], type=SampleList)
    if result.failure:
        outcome.failures.append(f"{part.name}: seed {seed}: {result.failure}")
        return
    outcome.runs[seed] = result.samples


async def run_all(
    chosen: Sequence[Part], seeds: Sequence[int], quick: bool, cores: float, report: Callable[[str], None]
) -> dict[str, Outcome]:
    """Run every part with every seed; return the outcomes by part name.

    `report` is called with a text after each completed run.
    """
    outcomes = {part.name: Outcome() for part in chosen}
    budget = CoreBudget(cores)

    async def run_part(part: Part, seed: int) -> None:
        try:
            await _run_worker(part, seed, quick, outcomes[part.name])
        finally:
            await budget.release(part.cores)
        report(f"{part.name} seed {seed}")

    async with anyio.create_task_group() as tasks:
        for part in chosen:
            for seed in seeds:
                await budget.acquire(part.cores)
                tasks.start_soon(run_part, part, seed)
    return outcomes
