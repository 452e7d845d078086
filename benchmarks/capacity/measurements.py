"""Values of measured series at any size: between the measured points, or beyond them by the fitted line.

At a measured point the value is the median over its runs, between two points it lies on the line through
both. Beyond the range it goes on from the outermost point by the fit's slope, or flat where that is
negative, and is marked as extrapolated.
"""

from __future__ import annotations

import math
import statistics
from dataclasses import dataclass, replace

from benchmarks.capacity.quantity import Basis, MeasuredRange, Quantity, not_measured
from benchmarks.scale.records import BadRecord, Fit, Point, SlopeResults

# Units of series: the unit in which the page reckons, and the factor to it.
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

# The series that the page uses, with the units in which it reckons them.
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


Fixed = tuple[tuple[str, float], ...]  # the inputs of a curve that do not vary, by name


@dataclass(frozen=True)
class _Curve:
    """One series over one input, the others fixed: sizes with their medians, in the unit of the page."""

    over: str
    sizes: list[float]
    medians: list[float]
    slope: float | None  # beyond the range; None: no line was fitted

    def at(self, size: float, unit: str, series: str) -> Quantity:
        measured = MeasuredRange(series, self.over, self.sizes[0], self.sizes[-1])
        if measured.low <= size <= measured.high:
            return Quantity(self._between(size), unit, Basis.MEASURED)
        if self.slope is None:
            return not_measured(f"{series} beyond {measured}", unit)
        nearest = 0 if size < measured.low else -1
        # Guards against costs that fall with size: a slope below 0 is noise, and counts as flat.
        value = self.medians[nearest] + max(0.0, self.slope) * (size - self.sizes[nearest])
        return Quantity(max(0.0, value), unit, Basis.EXTRAPOLATED, (measured,))

    def _between(self, size: float) -> float:
        for position, upper in enumerate(self.sizes):
            if upper == size:
                return self.medians[position]
            if upper > size:
                lower = self.sizes[position - 1]
                part = (size - lower) / (upper - lower)
                return self.medians[position - 1] * (1.0 - part) + self.medians[position] * part
        return self.medians[-1]


class Measurements:
    """The results of slopes; without them nothing is measured. Raises BadRecord for a wrong unit."""

    def __init__(self, results: SlopeResults | None) -> None:
        self._points = results.points if results else []
        self._fits = results.fits if results else []
        for position, point in enumerate(self._points):
            _check_unit(point, f"slopes.json: $.points[{position}].unit")
        for position, fit in enumerate(self._fits):
            _check_unit(fit, f"slopes.json: $.fits[{position}].unit")
        self._known: dict[tuple[str, str], dict[Fixed, _Curve]] = {}

    def at(self, series: str, over: str, size: float, **near: float) -> Quantity:
        """A series at one size of the input `over`, measured where the other inputs are nearest to `near`.

        Where they are others than wanted, the value counts as extrapolated from there.
        """
        unit = SERIES[series]
        curves = self._curves(series, over)
        if not curves:
            return not_measured(f"{series} by {over}", unit)
        fixed = _nearest(curves, near)
        found = curves[fixed].at(size, unit, series)
        elsewhere = [MeasuredRange(series, name, at, at) for name, at in fixed if near.get(name, at) != at]
        if not elsewhere:
            return found
        ranges = tuple(sorted({*found.ranges, *elsewhere}))
        return replace(found, basis=Basis.EXTRAPOLATED, ranges=ranges)

    def nearest_input(self, series: str, over: str, name: str, wanted: float) -> float:
        """The measured value of the input `name` nearest to the wanted one, where `over` varied."""
        curves = self._curves(series, over)
        return dict(_nearest(curves, {name: wanted})).get(name, wanted) if curves else wanted

    def unit_cost(self, series: str, size: float, **near: float) -> Quantity:
        """What one of `size` costs, by a series of costs for each one.

        Beyond the measured range the cost at the greatest measured size is taken, as extrapolated. Without an
        input it is the measured one.
        """
        unit = SERIES[series]
        points = [point for point in self._points if point.series == series]
        if not points:
            return not_measured(series, unit)
        over = _most_varied(points)
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
        """The curves of a series over one input, by the other inputs."""
        if (series, over) not in self._known:
            self._known[series, over] = self._curves_anew(series, over)
        return self._known[series, over]

    def _curves_anew(self, series: str, over: str) -> dict[Fixed, _Curve]:
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
        curves = {fixed: _by_points(over, found, fits.get(fixed)) for fixed, found in medians.items()}
        return curves | {fixed: _by_line(fit) for fixed, fit in fits.items() if fixed not in curves}


def _nearest(curves: dict[Fixed, _Curve], near: dict[str, float]) -> Fixed:
    """The curve measured nearest to the wanted inputs; of several the longest, for it has most points.

    A single point, where the input did not vary, counts only where there is nothing else.
    """
    varied = [fixed for fixed, curve in curves.items() if len(curve.sizes) > 1] or list(curves)
    return min(varied, key=lambda one: (_distance(dict(one), near), -len(curves[one].sizes), one))


def _by_points(over: str, medians: dict[float, float], fit: Fit | None) -> _Curve:
    sizes = sorted(medians)
    slope = None if fit is None else fit.slope * _UNITS[fit.unit][1]
    return _Curve(over, sizes, [medians[size] for size in sizes], slope)


def _by_line(fit: Fit) -> _Curve:
    """The curve of a line whose points are not among the results."""
    factor = _UNITS[fit.unit][1]
    ends = [fit.low, fit.high]
    return _Curve(
        fit.over,
        ends,
        [max(0.0, fit.intercept + fit.slope * end) * factor for end in ends],
        fit.slope * factor,
    )


def _most_varied(points: list[Point]) -> str:
    """The input of which the points have most sizes; empty where they have no inputs."""
    sizes: dict[str, set[float]] = {}
    for point in points:
        for name, size in point.inputs.items():
            sizes.setdefault(name, set()).add(size)
    return max(sorted(sizes), key=lambda name: len(sizes[name]), default="")


def _median(point: Point) -> float:
    return statistics.median(point.values) * _UNITS[point.unit][1]


def _distance(fixed: dict[str, float], near: dict[str, float]) -> float:
    """How far the fixed inputs lie from those wanted: the differences over the sums."""
    pairs = [(fixed[name], wanted) for name, wanted in near.items() if name in fixed]
    return math.fsum(abs(one - other) / (one + other) for one, other in pairs if one != other)


def _check_unit(record: Point | Fit, place: str) -> None:
    wanted = SERIES.get(record.series)
    if wanted is None:
        return  # a series that the page does not use
    if record.unit not in _UNITS or _UNITS[record.unit][0] != wanted:
        raise BadRecord(f"{place}: {record.unit!r} of {record.series} is no unit of {wanted!r}")
