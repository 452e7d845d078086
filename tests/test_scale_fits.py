"""Least-squares lines: known slopes, intercepts, residuals and spreads are recovered."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.scale.fits import MIN_SIZES, fit_all, fit_line, fit_series
from benchmarks.scale.records import Point

NUMBERS = st.floats(-1e6, 1e6).map(lambda number: round(number, 3))
SIZES = st.lists(st.integers(0, 100_000), min_size=MIN_SIZES, max_size=8, unique=True)


def point(size: float, *values: float, **fixed: float) -> Point:
    return Point("module.place", "us", {"servers": size, **fixed}, list(values))


@given(SIZES, NUMBERS, NUMBERS)
def test_a_known_line_is_found(sizes: list[int], slope: float, intercept: float) -> None:
    ys = [intercept + slope * size for size in sizes]
    found = fit_line(sizes, ys)
    near = 1e-9 * max(1.0, *map(abs, ys))
    assert found.residual <= near
    assert found.intercept + found.slope * sizes[0] == pytest.approx(ys[0], abs=10 * near)
    assert found.intercept + found.slope * sizes[-1] == pytest.approx(ys[-1], abs=10 * near)


@given(st.floats(0.001, 1e3), NUMBERS)
def test_the_residual_is_the_root_of_the_mean_square_off_the_line(off: float, intercept: float) -> None:
    """The values deviate by the same amount to both sides of the line."""
    found = fit_line([1, 2, 2, 3, 3, 4], [intercept + d * off for d in (1, 1, -1, -1, 1, -1)])
    assert found.residual <= off * (1 + 1e-6)
    flat = fit_line([1, 1, 2, 2], [intercept - off, intercept + off] * 2)
    assert flat.slope == pytest.approx(0.0, abs=1e-6)
    assert flat.residual == pytest.approx(off, rel=1e-3, abs=1e-9)


@given(SIZES, st.lists(NUMBERS, min_size=1, max_size=5))
def test_the_spread_is_that_of_the_single_runs(sizes: list[int], slopes: list[float]) -> None:
    found = fit_series([point(size, *(slope * size for slope in slopes)) for size in sizes], "servers")
    near = 1e-6 * max(1.0, *map(abs, slopes))
    assert found.slope_low == pytest.approx(min(slopes), abs=near)
    assert found.slope_high == pytest.approx(max(slopes), abs=near)
    assert found.slope == pytest.approx(sum(slopes) / len(slopes), abs=near)
    assert (found.low, found.high, found.runs) == (min(sizes), max(sizes), len(slopes))


def test_a_line_goes_through_points_that_differ_in_one_input_alone() -> None:
    points = [point(size, 2.0 * size, standing=0) for size in (1, 2, 3)]
    points += [point(1, 2.0 + 5.0 * standing, standing=standing) for standing in (1, 2)]
    points += [point(size, 99.0, standing=7) for size in (8, 9)]
    found = {(line.over, line.slope) for line in fit_all(points)}
    assert {(over, round(slope, 6)) for over, slope in found} == {("servers", 2.0), ("standing", 5.0)}
    assert [line.fixed for line in fit_all(points)] == [{"standing": 0}, {"servers": 1}]


@pytest.mark.parametrize("xs", [[], [1.0], [2.0, 2.0]])
def test_one_size_makes_no_line(xs: list[float]) -> None:
    with pytest.raises(ValueError, match="two different sizes"):
        fit_line(xs, xs)
