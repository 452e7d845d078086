"""Runs parts beside each other, so many at once that the cores told are busy and no more."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import anyio
import msgspec

from benchmarks.scale.parts import Part
from benchmarks.scale.samples import Sample, SampleList

_ERROR_LINES = 3  # of a worker's traceback, that are shown


@dataclass
class Outcome:
    """What one part came to: the samples of each run by seed, and why runs were not held."""

    runs: dict[int, list[Sample]] = field(default_factory=dict)
    not_held: list[str] = field(default_factory=list)


class Cores:
    """How many cores are spoken for. One part may always run, whatever it needs."""

    def __init__(self, most: float) -> None:
        self._most = most
        self._busy = 0.0
        self._changed = anyio.Condition()

    async def take(self, cores: float) -> None:
        """Wait until there is room for a part."""
        async with self._changed:
            while self._busy and self._busy + cores > self._most:
                await self._changed.wait()
            self._busy += cores

    async def give(self, cores: float) -> None:
        """A part has ended."""
        async with self._changed:
            self._busy = max(0.0, self._busy - cores)
            self._changed.notify_all()


async def _once(part: Part, seed: int, quick: bool, outcome: Outcome) -> None:
    words = [
        sys.executable,
        "-m",
        "benchmarks.scale.worker",
        part.name,
        str(seed),
        "quick" if quick else "full",
    ]
    done = await anyio.run_process(words, check=False, stderr=subprocess.PIPE)
    if done.returncode:
        last = done.stderr.decode(errors="replace").strip().splitlines()[-_ERROR_LINES:]
        outcome.not_held.append(f"{part.name}: seed {seed}: exit code {done.returncode}: {' | '.join(last)}")
        return
    found = msgspec.json.decode(done.stdout.splitlines()[-1], type=SampleList)
    if found.not_held:
        outcome.not_held.append(f"{part.name}: seed {seed}: {found.not_held}")
        return
    outcome.runs[seed] = found.samples


async def run_all(
    chosen: Sequence[Part], seeds: Sequence[int], quick: bool, cores: float, say: Callable[[str], None]
) -> dict[str, Outcome]:
    """Every part with every seed, by the part's name; `say` hears of each that has ended."""
    outcomes = {part.name: Outcome() for part in chosen}
    room = Cores(cores)

    async def one(part: Part, seed: int) -> None:
        try:
            await _once(part, seed, quick, outcomes[part.name])
        finally:
            await room.give(part.cores)
        say(f"{part.name} seed {seed}")

    async with anyio.create_task_group() as tasks:
        for part in chosen:
            for seed in seeds:
                await room.take(part.cores)
                tasks.start_soon(one, part, seed)
    return outcomes
