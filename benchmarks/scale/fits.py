"""Straight lines through points, by least squares.

All points have equal weight. A line is fitted through the means of the runs. The spread of its slope is the
range of the slopes of lines fitted to each run alone.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import numpy as np

from benchmarks.scale.records import Fit, Point

MIN_SIZES = 3  # prevents fits through two points, whose residual is always 0


@dataclass(frozen=True)
class Line:
    """y = intercept + slope * x; `residual` is the root mean square error, in y's unit."""

    slope: float
    intercept: float
    residual: float


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> Line:
    """Fit a line by least squares (numpy.linalg.lstsq); raises ValueError without two different `xs`."""
    if len(xs) != len(ys) or len(set(xs)) < 2:
        raise ValueError("a line needs two different sizes, and a value for each")
    x, y = np.asarray(xs, float), np.asarray(ys, float)
    # Scales sizes of up to 1e5 to at most 1, to keep the matrix well conditioned.
    scale = float(np.abs(x).max())
    matrix = np.column_stack((x / scale, np.ones_like(x)))
    (slope, intercept), *_ = np.linalg.lstsq(matrix, y, rcond=None)
    residual = float(np.sqrt(np.mean((matrix @ (slope, intercept) - y) ** 2)))
    return Line(float(slope / scale), float(intercept), residual)


def fit_series(points: Sequence[Point], over: str) -> Fit:
    """Fit a line through the points of one series that differ only in the input `over`."""
    ordered = sorted(points, key=lambda point: point.inputs[over])
    sizes = [point.inputs[over] for point in ordered]
    runs = min(len(point.values) for point in ordered)
    mean_line = fit_line(sizes, [float(np.mean(point.values)) for point in ordered])
    slopes = [fit_line(sizes, [point.values[run] for point in ordered]).slope for run in range(runs)]
    first = ordered[0]
    return Fit(
        series=first.series,
        unit=first.unit,
        over=over,
        fixed={name: value for name, value in first.inputs.items() if name != over},
        slope=mean_line.slope,
        intercept=mean_line.intercept,
        residual=mean_line.residual,
        low=sizes[0],
        high=sizes[-1],
        runs=runs,
        slope_low=min(slopes),
        slope_high=max(slopes),
    )


def fit_all(points: Iterable[Point]) -> list[Fit]:
    """Fit a line for each series and input with at least MIN_SIZES points that agree in all other inputs."""
    groups: dict[tuple[str, str, tuple[tuple[str, float], ...]], list[Point]] = {}
    for point in points:
        for over in point.inputs:
            fixed = tuple(sorted((name, value) for name, value in point.inputs.items() if name != over))
            groups.setdefault((point.series, over, fixed), []).append(point)
    return [
        fit_series(group, over) for (_, over, _), group in sorted(groups.items()) if len(group) >= MIN_SIZES
    ]
