"""Quantities with a unit and a basis: specified, measured, extrapolated or assumed."""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass

NOT_MEASURED = "not measured"

# Scales of each unit, largest first: the smallest value shown in the scale, and its name.
_SCALES: dict[str, tuple[tuple[float, str], ...]] = {
    "s": ((86_400.0, "days"), (3_600.0, "h"), (120.0, "min"), (1.0, "s"), (1e-3, "ms"), (1e-6, "us")),
    "B": ((1e12, "TB"), (1e9, "GB"), (1e6, "MB"), (1e3, "kB"), (1.0, "B")),
    "B/s": ((1e9, "GB/s"), (1e6, "MB/s"), (1e3, "kB/s"), (1.0, "B/s")),
}
_MINUTE_S = 60.0
_SINGULAR_NOUNS = {
    "processes": "process",
    "watches": "watch",
    "children": "child",
    "s": "s",
    "B/s": "B/s",
    "/s": "/s",
}


class Basis(enum.IntEnum):
    """How a value was obtained, from the strongest basis to the weakest."""

    SPECIFIED = 0
    MEASURED = 1
    EXTRAPOLATED = 2
    ASSUMED = 3


MARKS = {Basis.SPECIFIED: "t", Basis.MEASURED: "m", Basis.EXTRAPOLATED: "x", Basis.ASSUMED: "a"}


@dataclass(frozen=True, order=True)
class MeasuredRange:
    """The range of one input over which a series was measured."""

    series: str
    over: str
    low: float
    high: float

    def __str__(self) -> str:
        if self.low == self.high:
            return f"{self.over} {format_number(self.low)}"
        return f"{self.over} {format_number(self.low)} to {format_number(self.high)}"


@dataclass(frozen=True)
class Quantity:
    """A value with its unit and basis.

    Units are `s`, `B`, `B/s`, `/s`, `%` (of one core), `cores`, `times` (of a budget), a plural noun for a
    count, or empty for a plain number. `value` is None if the series in `missing` have not been measured.
    `ranges` are the measured ranges that were exceeded.
    """

    value: float | None
    unit: str
    basis: Basis
    ranges: tuple[MeasuredRange, ...] = ()
    missing: tuple[str, ...] = ()

    @property
    def mark(self) -> str:
        """The basis as shown on the page, with the measured ranges that were exceeded."""
        letter = MARKS[self.basis]
        if not self.ranges:
            return letter
        exceeded = ", ".join(sorted({str(measured) for measured in self.ranges}))
        return f"{letter}: {exceeded}" if self.basis is Basis.EXTRAPOLATED else f"{letter}, x: {exceeded}"

    @property
    def short_mark(self) -> str:
        """The mark without ranges, for tables that list the ranges below."""
        letter = MARKS[self.basis]
        return f"{letter}, x" if self.ranges and self.basis is Basis.ASSUMED else letter

    @property
    def short(self) -> str:
        """The value with its short mark."""
        return self.amount if self.value is None else f"{self.amount} ({self.short_mark})"

    @property
    def amount(self) -> str:
        """The value with its unit, without a mark."""
        if self.value is None:
            return NOT_MEASURED
        return format_value(self.value, self.unit)

    def __str__(self) -> str:
        return self.amount if self.value is None else f"{self.amount} ({self.mark})"


def specified(value: float, unit: str) -> Quantity:
    """A value from the fleet's targets or from this program's own settings."""
    return Quantity(float(value), unit, Basis.SPECIFIED)


def assumed(value: float, unit: str) -> Quantity:
    """A value from the table of assumptions."""
    return Quantity(float(value), unit, Basis.ASSUMED)


def not_measured(series: str, unit: str) -> Quantity:
    """A quantity without a value, whose series is missing from the results."""
    return Quantity(None, unit, Basis.MEASURED, missing=(series,))


def derived(unit: str, function: Callable[..., float], *inputs: Quantity) -> Quantity:
    """Apply `function` to the values of the inputs; the basis is the weakest basis among them."""
    missing = tuple(sorted({series for quantity in inputs for series in quantity.missing}))
    ranges = tuple(sorted({measured for quantity in inputs for measured in quantity.ranges}))
    basis = max((quantity.basis for quantity in inputs), default=Basis.SPECIFIED)
    values = [quantity.value for quantity in inputs if quantity.value is not None]
    if len(values) < len(inputs):
        return Quantity(None, unit, basis, ranges, missing)
    return Quantity(float(function(*values)), unit, basis, ranges, missing)


def maximum(*inputs: Quantity) -> Quantity:
    """The maximum of quantities of one unit; raises ValueError if units differ."""
    return derived(common_unit(*inputs), lambda *values: max(values), *inputs)


def total(*inputs: Quantity) -> Quantity:
    """The sum of quantities of one unit; raises ValueError if units differ."""
    return derived(common_unit(*inputs), lambda *values: sum(values), *inputs)


def multiple(quantity: Quantity, budget: Quantity) -> Quantity:
    """The ratio of a quantity to its budget; raises ValueError if units differ."""
    common_unit(quantity, budget)
    return derived("times", lambda value, limit: value / limit, quantity, budget)


def common_unit(*inputs: Quantity) -> str:
    """The unit shared by all inputs; raises ValueError if units differ."""
    units = {quantity.unit for quantity in inputs}
    if len(units) != 1:
        raise ValueError(f"quantities of different units: {', '.join(sorted(units))}")
    return units.pop()


def format_number(value: float) -> str:
    """Format with at most three significant digits, or as an integer with commas from 1,000 upwards."""
    if value == 0.0:
        return "0"
    size = abs(value)
    if size >= 1_000.0:
        return f"{value:,.0f}"
    digits = 0 if size >= 100.0 else 1 if size >= 10.0 else 2
    if size < 0.1:
        return f"{value:.2g}"
    text = f"{value:.{digits}f}"
    return text.rstrip("0").rstrip(".") if "." in text else text


def format_value(value: float, unit: str) -> str:
    """Format a value in the scale of its unit that suits its magnitude."""
    scales = _SCALES.get(unit)
    if scales is None:
        separator = "" if unit in ("%", "/s") else " "
        return f"{format_number(value)}{separator}{_unit_noun(unit, value)}".rstrip()
    scale, name = next((entry for entry in scales if abs(value) >= entry[0]), (1.0, unit))
    if name == "min":
        scale = _MINUTE_S
    return f"{format_number(value / scale)} {name}"


def _unit_noun(unit: str, value: float) -> str:
    """The noun of a unit, in the singular if the value is 1."""
    if value != 1.0:
        return unit
    return _SINGULAR_NOUNS.get(unit, unit.removesuffix("s"))
