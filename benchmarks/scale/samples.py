"""What one run measures, before runs are gathered into the points of `records`."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

from benchmarks.scale.records import Point


class NotHeld(Exception):
    """A run could not hold the size that it was told; the text says how far it got."""


class Sample(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One value of a series at one size, in the series' unit."""

    series: str
    unit: str
    inputs: dict[str, float]
    value: float


class SampleList(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a worker process prints as its last line: its samples, or why it could not hold its size."""

    samples: list[Sample]
    not_held: str = ""


Key = tuple[str, tuple[tuple[str, float], ...]]


def key_of(series: str, inputs: dict[str, float]) -> Key:
    """What a point is known by: its series and its inputs, in whatever order these are told."""
    return series, tuple(sorted(inputs.items()))


def gather(runs: Sequence[Iterable[Sample]], seeds: Sequence[int], measured: int) -> list[Point]:
    """The points of runs: a value a run where a series was measured at a size, in the order of the runs."""
    found: dict[Key, list[Sample]] = {}
    of: dict[Key, list[int]] = {}
    for seed, run in zip(seeds, runs, strict=True):
        for sample in run:
            key = key_of(sample.series, sample.inputs)
            found.setdefault(key, []).append(sample)
            of.setdefault(key, []).append(seed)
    return [
        Point(
            series=samples[0].series,
            unit=samples[0].unit,
            inputs=samples[0].inputs,
            values=[sample.value for sample in samples],
            seeds=of[key],
            measured=measured,
        )
        for key, samples in found.items()
    ]
