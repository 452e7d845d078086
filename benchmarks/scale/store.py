"""Joins what was measured now with the results that are kept: a series measured anew replaces the old one."""

from __future__ import annotations

import subprocess
from collections.abc import Sequence
from pathlib import Path

import msgspec

from benchmarks.scale import records
from benchmarks.scale.fits import fits
from benchmarks.scale.records import BadRecord, Point, Provenance, SlopeResults

EMPTY = SlopeResults(records.SCHEMA, [], [], [])


def load(path: Path) -> SlopeResults:
    """The results that are kept, none where there is no file; raises BadRecord."""
    if not path.exists():
        return EMPTY
    kept = records.read(path, SlopeResults)
    for number, point in enumerate(kept.points):
        if point.measured >= len(kept.measured):
            place = f"$.points[{number}].measured"
            raise BadRecord(
                f"{path.name}: {place}: {point.measured}: there are {len(kept.measured)} of `measured`"
            )
    return kept


def join(kept: SlopeResults, provenance: Provenance, points: Sequence[Point]) -> SlopeResults:
    """The kept results with `points`, all measured by `provenance`, in place of their series."""
    anew = {point.series for point in points}
    measured = [*kept.measured, provenance]
    found = [point for point in kept.points if point.series not in anew]
    found += [msgspec.structs.replace(point, measured=len(kept.measured)) for point in points]
    used = sorted({point.measured for point in found})
    found = [msgspec.structs.replace(point, measured=used.index(point.measured)) for point in found]
    found.sort(key=lambda point: (point.series, sorted(point.inputs.items())))
    return SlopeResults(records.SCHEMA, [measured[number] for number in used], found, fits(found))


def commit() -> str:
    """The commit of this tree, with `+` behind it where other files than results have changed."""
    try:
        head = _git("rev-parse", "--short", "HEAD").strip()
        changed = _git("status", "--porcelain", "--", ".", ":!benchmarks/scale/results")
    except (OSError, subprocess.CalledProcessError):
        return "unknown"
    return f"{head}+" if changed.strip() else head


def _git(*words: str) -> str:
    done = subprocess.run(["git", *words], cwd=Path(__file__).parents[2], capture_output=True, check=True)
    return done.stdout.decode()
