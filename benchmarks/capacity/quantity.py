"""Quantities that know what they rest on: told by the operators, measured, extrapolated or assumed."""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass

NOT_MEASURED = "not measured"

# Multiples of a unit by which values are shown, the greatest first.
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
    """What a figure rests on; of several the greatest, which is the weakest, counts."""

    SPECIFIED = 0
    MEASURED = 1
    EXTRAPOLATED = 2
    ASSUMED = 3


MARKS = {Basis.SPECIFIED: "t", Basis.MEASURED: "m", Basis.EXTRAPOLATED: "x", Basis.ASSUMED: "a"}


@dataclass(frozen=True, order=True)
class MeasuredRange:
    """The sizes of one input between which a series was measured."""

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

    Units are `s`, `B`, `B/s`, `/s`, `%` (of one core), `cores`, or a noun for a count. `value` is None where
    series named in `missing` have not been measured. `ranges` are those beyond which it was extrapolated.
    """

    value: float | None
    unit: str
    basis: Basis
    ranges: tuple[MeasuredRange, ...] = ()
    missing: tuple[str, ...] = ()

    @property
    def mark(self) -> str:
        """The basis as the page shows it, with the measured ranges of what was extrapolated."""
        letter = MARKS[self.basis]
        if not self.ranges:
            return letter
        beyond = ", ".join(sorted({str(measured) for measured in self.ranges}))
        return f"{letter}: {beyond}" if self.basis is Basis.EXTRAPOLATED else f"{letter}, x: {beyond}"

    @property
    def short_mark(self) -> str:
        """The mark without ranges, for tables that name them once."""
        letter = MARKS[self.basis]
        return f"{letter}, x" if self.ranges and self.basis is Basis.ASSUMED else letter

    @property
    def short(self) -> str:
        """The value with its short mark."""
        return self.amount if self.value is None else f"{self.amount} ({self.short_mark})"

    @property
    def amount(self) -> str:
        """The value with its unit, without the mark."""
        if self.value is None:
            return NOT_MEASURED
        return format_value(self.value, self.unit)

    def __str__(self) -> str:
        return self.amount if self.value is None else f"{self.amount} ({self.mark})"


def specified(value: float, unit: str) -> Quantity:
    """A figure of the operators' letter."""
    return Quantity(float(value), unit, Basis.SPECIFIED)


def assumed(value: float, unit: str) -> Quantity:
    """A figure of the table of assumptions."""
    return Quantity(float(value), unit, Basis.ASSUMED)


def not_measured(series: str, unit: str) -> Quantity:
    """A figure whose series is missing from the results."""
    return Quantity(None, unit, Basis.MEASURED, missing=(series,))


def derived(unit: str, function: Callable[..., float], *inputs: Quantity) -> Quantity:
    """What `function` makes of the inputs' values; its basis is the weakest of theirs."""
    missing = tuple(sorted({series for one in inputs for series in one.missing}))
    ranges = tuple(sorted({measured for one in inputs for measured in one.ranges}))
    basis = max((one.basis for one in inputs), default=Basis.SPECIFIED)
    values = [one.value for one in inputs if one.value is not None]
    if len(values) < len(inputs):
        return Quantity(None, unit, basis, ranges, missing)
    return Quantity(float(function(*values)), unit, basis, ranges, missing)


def maximum(*inputs: Quantity) -> Quantity:
    """The greatest of quantities of one unit."""
    return derived(common_unit(*inputs), lambda *values: max(values), *inputs)


def total(*inputs: Quantity) -> Quantity:
    """The sum of quantities of one unit."""
    return derived(common_unit(*inputs), lambda *values: sum(values), *inputs)


def multiple(quantity: Quantity, budget: Quantity) -> Quantity:
    """How many times the budget a quantity is; raises ValueError where their units differ."""
    common_unit(quantity, budget)
    return derived("times", lambda value, most: value / most, quantity, budget)


def common_unit(*inputs: Quantity) -> str:
    """The unit that all inputs have; raises ValueError."""
    units = {one.unit for one in inputs}
    if len(units) != 1:
        raise ValueError(f"quantities of different units: {', '.join(sorted(units))}")
    return units.pop()


def format_number(value: float) -> str:
    """Three significant digits, and whole numbers from 1,000 on with commas."""
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
    """A value in the multiple of its unit that suits its size."""
    scales = _SCALES.get(unit)
    if scales is None:
        parted = "" if unit in ("%", "/s") else " "
        return f"{format_number(value)}{parted}{_unit_noun(unit, value)}".rstrip()
    scale, name = next((one for one in scales if abs(value) >= one[0]), (1.0, unit))
    if name == "min":
        scale = _MINUTE_S
    return f"{format_number(value / scale)} {name}"


def _unit_noun(unit: str, value: float) -> str:
    """A unit that is a noun in the number of its value."""
    if value != 1.0:
        return unit
    return _SINGULAR_NOUNS.get(unit, unit.removesuffix("s"))
