"""Runs one part of a measurement once, in its own process so that memory is not shared with other parts.

python -m benchmarks.scale.worker PART SEED full|quick

The last line of its output is a `SampleList` as JSON.
"""

from __future__ import annotations

import sys

import msgspec

from benchmarks.scale.parts import parts
from benchmarks.scale.samples import SampleList, SizeNotReached
from benchmarks.scale.sizes import FULL, QUICK


def run(name: str, seed: int, quick: bool) -> SampleList:
    """Run the part of this name; return its samples, or why it did not reach its size."""
    sizes = QUICK if quick else FULL
    part = next(part for part in parts(sizes) if part.name == name)
    try:
        return SampleList(list(part.measure(sizes, seed)))
    except SizeNotReached as exc:
        return SampleList([], str(exc))
    except ExceptionGroup as group:
        not_reached, other = group.split(SizeNotReached)
        if other is not None or not_reached is None:
            raise
        return SampleList([], str(not_reached.exceptions[0]))


if __name__ == "__main__":
    _name, _seed, _size = sys.argv[1:]
    print(msgspec.json.encode(run(_name, int(_seed), _size == "quick")).decode())
