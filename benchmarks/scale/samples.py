"""Samples of single runs, and their aggregation into points."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

from benchmarks.scale.records import Point


class SizeNotReached(Exception):
    """A run did not reach or sustain the requested size; the text states what was reached."""


class Sample(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One value of a series at one size, in the unit of the series."""

    series: str
    unit: str
    inputs: dict[str, float]
    value: float


class SampleList(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The last line of a worker's output: its samples, or why it did not reach its size."""

    samples: list[Sample]
    failure: str = ""


Key = tuple[str, tuple[tuple[str, float], ...]]


def point_key(series: str, inputs: dict[str, float]) -> Key:
    """Return the identity of a point: its series and its inputs, independent of their order."""
    return series, tuple(sorted(inputs.items()))


def gather(runs: Sequence[Iterable[Sample]], seeds: Sequence[int], measured: int) -> list[Point]:
    """Group the samples of runs into points, with the values in the order of the runs."""
    samples_by_key: dict[Key, list[Sample]] = {}
    seeds_by_key: dict[Key, list[int]] = {}
    for seed, run in zip(seeds, runs, strict=True):
        for sample in run:
            key = point_key(sample.series, sample.inputs)
            samples_by_key.setdefault(key, []).append(sample)
            seeds_by_key.setdefault(key, []).append(seed)
    return [
        Point(
            series=samples[0].series,
            unit=samples[0].unit,
            inputs=samples[0].inputs,
            values=[sample.value for sample in samples],
            seeds=seeds_by_key[key],
            measured=measured,
        )
        for key, samples in samples_by_key.items()
    ]
