"""Loads stored results and replaces the series that were measured again."""

from __future__ import annotations

import subprocess
from collections.abc import Sequence
from pathlib import Path

import msgspec

from benchmarks.scale import records
from benchmarks.scale.fits import fit_all
from benchmarks.scale.records import BadRecord, Point, Provenance, SlopeResults

EMPTY = SlopeResults(records.SCHEMA, [], [], [])


def load(path: Path) -> SlopeResults:
    """Load the results, or empty ones if there is no file; raises BadRecord."""
    if not path.exists():
        return EMPTY
    stored = records.read(path, SlopeResults)
    for number, point in enumerate(stored.points):
        if point.measured >= len(stored.measured):
            place = f"$.points[{number}].measured"
            raise BadRecord(
                f"{path.name}: {place}: {point.measured}: `measured` has a length of {len(stored.measured)}"
            )
    return stored


def replace_series(stored: SlopeResults, provenance: Provenance, points: Sequence[Point]) -> SlopeResults:
    """Return `stored` with the series of `points` replaced by `points`, which share one provenance."""
    measured_series = {point.series for point in points}
    measured = [*stored.measured, provenance]
    replaced = [point for point in stored.points if point.series not in measured_series]
    replaced += [msgspec.structs.replace(point, measured=len(stored.measured)) for point in points]
    used = sorted({point.measured for point in replaced})
    replaced = [msgspec.structs.replace(point, measured=used.index(point.measured)) for point in replaced]
    replaced.sort(key=lambda point: (point.series, sorted(point.inputs.items())))
    return SlopeResults(records.SCHEMA, [measured[number] for number in used], replaced, fit_all(replaced))


def current_commit() -> str:
    """Return the commit of the tree, with a `+` suffix if files other than results have changed."""
    try:
        head = _git("rev-parse", "--short", "HEAD").strip()
        changed = _git("status", "--porcelain", "--", ".", ":!benchmarks/scale/results")
    except (OSError, subprocess.CalledProcessError):
        return "unknown"
    return f"{head}+" if changed.strip() else head


def _git(*arguments: str) -> str:
    completed = subprocess.run(
        ["git", *arguments], cwd=Path(__file__).parents[2], capture_output=True, check=True
    )
    return completed.stdout.decode()
