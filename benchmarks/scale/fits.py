"""Straight lines through points, by least squares.

Each point counts the same. A line is fitted through the means of the runs; the spread of its slope is the
range of the slopes of the lines through the first values of all points, the second ones, and so on.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import numpy as np

from benchmarks.scale.records import Fit, Point

LEAST_SIZES = 3  # through two points any line fits, and its residual says nothing


@dataclass(frozen=True)
class Line:
    """y = intercept + slope * x; `residual` is the root of the mean squared difference, in y's unit."""

    slope: float
    intercept: float
    residual: float


def line(xs: Sequence[float], ys: Sequence[float]) -> Line:
    """The line of least squares (numpy.linalg.lstsq); raises ValueError without two different `xs`."""
    if len(xs) != len(ys) or len(set(xs)) < 2:
        raise ValueError("a line needs two different sizes, and a value for each")
    x, y = np.asarray(xs, float), np.asarray(ys, float)
    # Guards the precision of sizes up to 1e5 beside values under 1: both are near 1 in the matrix.
    scale = float(np.abs(x).max())
    matrix = np.column_stack((x / scale, np.ones_like(x)))
    (slope, intercept), *_ = np.linalg.lstsq(matrix, y, rcond=None)
    residual = float(np.sqrt(np.mean((matrix @ (slope, intercept) - y) ** 2)))
    return Line(float(slope / scale), float(intercept), residual)


def fit(points: Sequence[Point], over: str) -> Fit:
    """The line through the points of one series that differ in the input `over` alone."""
    ordered = sorted(points, key=lambda point: point.inputs[over])
    sizes = [point.inputs[over] for point in ordered]
    runs = min(len(point.values) for point in ordered)
    whole = line(sizes, [float(np.mean(point.values)) for point in ordered])
    slopes = [line(sizes, [point.values[run] for point in ordered]).slope for run in range(runs)]
    first = ordered[0]
    return Fit(
        series=first.series,
        unit=first.unit,
        over=over,
        fixed={name: value for name, value in first.inputs.items() if name != over},
        slope=whole.slope,
        intercept=whole.intercept,
        residual=whole.residual,
        low=sizes[0],
        high=sizes[-1],
        runs=runs,
        slope_low=min(slopes),
        slope_high=max(slopes),
    )


def fits(points: Iterable[Point]) -> list[Fit]:
    """A line for each series, over each input of which it has LEAST_SIZES with all others the same."""
    found: dict[tuple[str, str, tuple[tuple[str, float], ...]], list[Point]] = {}
    for point in points:
        for over in point.inputs:
            fixed = tuple(sorted((name, value) for name, value in point.inputs.items() if name != over))
            found.setdefault((point.series, over, fixed), []).append(point)
    return [fit(group, over) for (_, over, _), group in sorted(found.items()) if len(group) >= LEAST_SIZES]
