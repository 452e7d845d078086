"""One part of a measurement, once, in a process of its own: its memory and its heap hold nothing else.

python -m benchmarks.scale.worker PART SEED full|quick; its last line is a `SampleList` as JSON.
"""

from __future__ import annotations

import sys

import msgspec

from benchmarks.scale.parts import parts
from benchmarks.scale.samples import NotHeld, SampleList
from benchmarks.scale.sizes import FULL, QUICK


def run(name: str, seed: int, quick: bool) -> SampleList:
    """The samples of the part of this name, or why it could not hold its size."""
    sizes = QUICK if quick else FULL
    part = next(part for part in parts(sizes) if part.name == name)
    try:
        return SampleList(list(part.measure(sizes, seed)))
    except NotHeld as exc:
        return SampleList([], str(exc))
    except ExceptionGroup as group:
        held, other = group.split(NotHeld)
        if other is not None or held is None:
            raise
        return SampleList([], str(held.exceptions[0]))


if __name__ == "__main__":
    _name, _seed, _size = sys.argv[1:]
    print(msgspec.json.encode(run(_name, int(_seed), _size == "quick")).decode())
