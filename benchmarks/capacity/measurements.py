"""Values of measured series at any size: interpolated between points, or extrapolated by the fitted line.

At a measured point the value is the median over its runs; between two points it is interpolated linearly.
Outside the measured range it is extrapolated from the outermost point with the slope of the fit, or as a
constant if the slope is negative.
"""

from __future__ import annotations

import math
import statistics
from dataclasses import dataclass, replace

from benchmarks.capacity.quantity import Basis, MeasuredRange, Quantity, not_measured
from benchmarks.scale.records import BadRecord, Fit, Point, SlopeResults

# Units of series: the unit used on the page, and the factor that converts to it.
_UNITS = {
    "us": ("s", 1e-6),
    "ms": ("s", 1e-3),
    "s": ("s", 1.0),
    "B": ("B", 1.0),
    "KiB": ("B", 1024.0),
    "MiB": ("B", 1024.0**2),
    "%": ("%", 1.0),
    "pct": ("%", 1.0),
    "B/s": ("B/s", 1.0),
    "/s": ("/s", 1.0),
    "1/s": ("/s", 1.0),
    "calls/s": ("/s", 1.0),
}

# The series that the page uses, with their units on the page.
SERIES = {
    "module.whole_list": "s",
    "module.one_change": "s",
    "module.place": "s",
    "module.place_p99": "s",
    "module.place_own_groups": "s",
    "module.timers": "s",
    "module.list_bytes": "B",
    "module.standing_bytes": "B",
    "control.core_pct": "%",
    "control.resident_mib": "B",
    "control.bytes_per_s": "B/s",
    "control.calls_per_s": "/s",
    "control.standing_core_pct": "%",
    "control.standing_resident_mib": "B",
    "data.line_us": "s",
    "data.connection_us": "s",
    "data.connection_kib": "B",
    "list.call_us": "s",
    "list.change_us": "s",
    "list.core_pct": "%",
    "list.bytes_per_s": "B/s",
    "list.told_p50": "s",
    "list.told_p99": "s",
    "list.told_last": "s",
    "failure.restart_s": "s",
    "failure.reset_all_last": "s",
    "failure.zone_arrivals": "s",
    "failure.zone_seconds": "s",
}


Fixed = tuple[tuple[str, float], ...]  # names and values of the inputs that are held constant


@dataclass(frozen=True)
class _Curve:
    """One series over one input with the others held constant: sizes and medians, in the page's unit."""

    over: str
    sizes: list[float]
    medians: list[float]
    slope: float | None  # for extrapolation; None if no line was fitted

    def at(self, size: float, unit: str, series: str) -> Quantity:
        measured = MeasuredRange(series, self.over, self.sizes[0], self.sizes[-1])
        if measured.low <= size <= measured.high:
            return Quantity(self._interpolate(size), unit, Basis.MEASURED)
        if self.slope is None:
            return not_measured(f"{series} beyond {measured}", unit)
        nearest = 0 if size < measured.low else -1
        # Prevents costs from decreasing with size: a negative slope is noise and counts as 0.
        value = self.medians[nearest] + max(0.0, self.slope) * (size - self.sizes[nearest])
        return Quantity(max(0.0, value), unit, Basis.EXTRAPOLATED, (measured,))

    def _interpolate(self, size: float) -> float:
        for position, upper in enumerate(self.sizes):
            if upper == size:
                return self.medians[position]
            if upper > size:
                lower = self.sizes[position - 1]
                weight = (size - lower) / (upper - lower)
                return self.medians[position - 1] * (1.0 - weight) + self.medians[position] * weight
        return self.medians[-1]


class Measurements:
    """Lookup of measured series by size; raises BadRecord if a series has a wrong unit."""

    def __init__(self, results: SlopeResults | None) -> None:
        self._points = results.points if results else []
        self._fits = results.fits if results else []
        for position, point in enumerate(self._points):
            _check_unit(point, f"slopes.json: $.points[{position}].unit")
        for position, fit in enumerate(self._fits):
            _check_unit(fit, f"slopes.json: $.fits[{position}].unit")
        self._curve_cache: dict[tuple[str, str], dict[Fixed, _Curve]] = {}

    def at(self, series: str, over: str, size: float, **near: float) -> Quantity:
        """The value of a series at one size of the input `over`, with the other inputs nearest to `near`.

        If the other inputs differ from those in `near`, the value counts as extrapolated.
        """
        unit = SERIES[series]
        curves = self._curves(series, over)
        if not curves:
            return not_measured(f"{series} by {over}", unit)
        fixed = _nearest(curves, near)
        found = curves[fixed].at(size, unit, series)
        substituted = [MeasuredRange(series, name, at, at) for name, at in fixed if near.get(name, at) != at]
        if not substituted:
            return found
        ranges = tuple(sorted({*found.ranges, *substituted}))
        return replace(found, basis=Basis.EXTRAPOLATED, ranges=ranges)

    def nearest_input(self, series: str, over: str, name: str, wanted: float) -> float:
        """The value of the input `name` nearest to `wanted` at which the series was measured over `over`."""
        curves = self._curves(series, over)
        return dict(_nearest(curves, {name: wanted})).get(name, wanted) if curves else wanted

    def unit_cost(self, series: str, size: float, **near: float) -> Quantity:
        """The cost per item when there are `size` items, from a series of costs per item.

        Outside the measured range the cost at the nearest measured size counts as extrapolated. A series
        without inputs has the same cost at every size.
        """
        unit = SERIES[series]
        points = [point for point in self._points if point.series == series]
        if not points:
            return not_measured(series, unit)
        over = _most_varied_input(points)
        if not over:
            return Quantity(_median(points[-1]), unit, Basis.MEASURED)
        sizes = [point.inputs[over] for point in points if over in point.inputs]
        measured = MeasuredRange(series, over, min(sizes), max(sizes))
        if measured.low <= size <= measured.high:
            return self.at(series, over, size, **near)
        nearest = measured.low if size < measured.low else measured.high
        known = self.at(series, over, nearest, **near)
        ranges = tuple(sorted({*known.ranges, measured}))
        return Quantity(known.value, unit, Basis.EXTRAPOLATED, ranges)

    def _curves(self, series: str, over: str) -> dict[Fixed, _Curve]:
        """The curves of a series over one input, by the values of the other inputs."""
        if (series, over) not in self._curve_cache:
            self._curve_cache[series, over] = self._build_curves(series, over)
        return self._curve_cache[series, over]

    def _build_curves(self, series: str, over: str) -> dict[Fixed, _Curve]:
        fits = {
            tuple(sorted(fit.fixed.items())): fit
            for fit in self._fits
            if fit.series == series and fit.over == over
        }
        medians: dict[Fixed, dict[float, float]] = {}
        for point in self._points:
            if point.series == series and over in point.inputs:
                fixed = tuple(sorted((name, size) for name, size in point.inputs.items() if name != over))
                medians.setdefault(fixed, {})[point.inputs[over]] = _median(point)
        curves = {fixed: _curve_from_points(over, found, fits.get(fixed)) for fixed, found in medians.items()}
        return curves | {fixed: _curve_from_fit(fit) for fixed, fit in fits.items() if fixed not in curves}


def _nearest(curves: dict[Fixed, _Curve], near: dict[str, float]) -> Fixed:
    """The curve whose constant inputs are nearest to `near`; ties go to the curve with the most points.

    Curves with a single point are used only if there are no others.
    """
    varied = [fixed for fixed, curve in curves.items() if len(curve.sizes) > 1] or list(curves)
    return min(varied, key=lambda key: (_distance(dict(key), near), -len(curves[key].sizes), key))


def _curve_from_points(over: str, medians: dict[float, float], fit: Fit | None) -> _Curve:
    sizes = sorted(medians)
    slope = None if fit is None else fit.slope * _UNITS[fit.unit][1]
    return _Curve(over, sizes, [medians[size] for size in sizes], slope)


def _curve_from_fit(fit: Fit) -> _Curve:
    """The curve of a fitted line whose points are not in the results."""
    factor = _UNITS[fit.unit][1]
    ends = [fit.low, fit.high]
    return _Curve(
        fit.over,
        ends,
        [max(0.0, fit.intercept + fit.slope * end) * factor for end in ends],
        fit.slope * factor,
    )


def _most_varied_input(points: list[Point]) -> str:
    """The input with the most distinct sizes; empty if the points have no inputs."""
    sizes: dict[str, set[float]] = {}
    for point in points:
        for name, size in point.inputs.items():
            sizes.setdefault(name, set()).add(size)
    return max(sorted(sizes), key=lambda name: len(sizes[name]), default="")


def _median(point: Point) -> float:
    return statistics.median(point.values) * _UNITS[point.unit][1]


def _distance(fixed: dict[str, float], near: dict[str, float]) -> float:
    """The relative distance between inputs: the sum of differences, each divided by the sum of its pair."""
    pairs = [(fixed[name], wanted) for name, wanted in near.items() if name in fixed]
    return math.fsum(abs(left - right) / (left + right) for left, right in pairs if left != right)


def _check_unit(record: Point | Fit, place: str) -> None:
    wanted = SERIES.get(record.series)
    if wanted is None:
        return  # the page does not use this series
    if record.unit not in _UNITS or _UNITS[record.unit][0] != wanted:
        raise BadRecord(f"{place}: {record.unit!r} of {record.series} is not a unit of {wanted!r}")
