"""Guards against a capacity page that differs from results and targets, or hides how a value was obtained.

Results are synthetic: every series is a straight line.
"""

from __future__ import annotations

import functools
import re
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.capacity.__main__ import PAGE, compute, main
from benchmarks.capacity.delivery import queueing_quantile
from benchmarks.capacity.inputs import Inputs
from benchmarks.capacity.lists import RELAY_MECHANISM
from benchmarks.capacity.measurements import SERIES, Measurements
from benchmarks.capacity.model import Capacity, compute_capacity
from benchmarks.capacity.page import render
from benchmarks.capacity.quantity import Basis, Quantity, assumed, derived, format_value, multiple, specified
from benchmarks.capacity.roles import QuantityKind, Remedy, Status
from benchmarks.capacity.targets import TARGETS, Fleet, Targets, parse_targets, read_targets
from benchmarks.scale.records import (
    RUNS,
    SCHEMA,
    SLOPES,
    Fit,
    Point,
    PropagationTimes,
    Provenance,
    RunResults,
    ScaleRun,
    SlopeResults,
    this_machine,
    write,
)

TEXT = TARGETS.read_text(encoding="utf-8")
LOW, HIGH = 100.0, 10_000.0  # the measured range of each synthetic input
UNITS = {"s": "ms", "B": "KiB", "%": "%", "B/s": "B/s", "/s": "/s"}
# The inputs that vary, each with the inputs held constant, as in `make bench-scale`.
VARIED: dict[str, dict[str, float]] = {
    "servers": {"standing": 0.0},
    "standing": {"servers": 1_000.0},
    "timers": {},
    "balancers": {"servers": 1_000.0},
    "watchers": {"service_ms": 10.0},
    "lines_per_s": {"standing": 200.0},
}
CONTROL: dict[str, dict[str, float]] = {
    "servers": {"changes_per_s": 0.0},
    "changes_per_s": {"servers": 1_000.0},
}
RATES = (0.0, 1.0, 5.0)
MEASURED = Provenance(this_machine(), "made-up", "2026-01-01T00:00:00+00:00")


@functools.cache
def synthetic_results(left_out: str = "", intercept: float = 0.01, slope: float = 1e-5) -> SlopeResults:
    """Results with every series as a straight line over every input."""
    points, fits = [], []
    for series, kind in SERIES.items():
        if series == left_out:
            continue
        unit = UNITS[kind]
        control = series.startswith("control.") and "standing" not in series
        for over, fixed in (CONTROL if control else VARIED).items():
            sizes = RATES if over == "changes_per_s" else (LOW, 1_000.0, HIGH)
            points += [
                Point(series, unit, {over: size, **fixed}, [intercept + slope * size]) for size in sizes
            ]
            fits.append(
                Fit(series, unit, over, fixed, slope, intercept, 0.0, sizes[0], sizes[-1], 1, slope, slope)
            )
    return SlopeResults(SCHEMA, [MEASURED], points, fits)


def notified_within(seconds: float) -> PropagationTimes:
    return PropagationTimes(7_500, 1, seconds, seconds, seconds, 0)


def synthetic_run(relays: int, held: bool = True) -> ScaleRun:
    """A run with the given number of relays."""
    return ScaleRun(
        "made-up", MEASURED, 7_500, 24, 20, relays, 1_000, 1, 60.0, held, 10.0, 1, 2.0, 3.0, 4.0, 5.0,
        notified_within(0.75), notified_within(0.85), 0.25, 350.0, 0.1, 200.0, 0.2, 33.0,
    )  # fmt: skip


def changed(name: str, value: str, text: str = TEXT) -> str:
    """The text of the targets with another value for the first key `name`."""
    found, count = re.subn(rf"(?m)^{re.escape(name)} = [^#\n]*", f"{name} = {value} ", text, count=1)
    assert count == 1
    return found


def full_capacity(targets: Targets | None = None, results: SlopeResults | None = None) -> Capacity:
    return compute_capacity(targets or read_targets(TARGETS), results or synthetic_results(), None)


# The page


def test_the_committed_page_is_what_results_and_targets_say() -> None:
    """Guards against a stale page; `make capacity` regenerates it."""
    assert render(compute(TARGETS, SLOPES, RUNS)) == PAGE.read_text(encoding="utf-8")


@pytest.mark.parametrize("name", ["balancers", "per_day", "core_pct", "machines", "apart_s", "server_counts"])
def test_another_target_makes_another_page(name: str) -> None:
    other = parse_targets(changed(name, "[1_000, 2_000]" if name == "server_counts" else "100"), "other.toml")
    assert render(full_capacity(other)) != render(full_capacity())


def test_another_slope_makes_another_page() -> None:
    assert render(full_capacity(results=synthetic_results(slope=2e-5))) != render(full_capacity())


def test_a_page_without_results_says_not_measured_and_names_every_series() -> None:
    empty = compute_capacity(read_targets(TARGETS), None, None)
    page = render(empty)
    assert {one.split(" by ")[0] for one in empty.missing} == set(SERIES)
    assert all(series in page for series in SERIES)
    assert "no slopes are committed yet" in page and "no run is committed yet" in page
    assert all(one.value is None or not one.missing for one in empty.quantities())


@pytest.mark.parametrize("series", SERIES)
def test_one_missing_series_is_reported_and_the_rest_is_measured(series: str) -> None:
    without = full_capacity(results=synthetic_results(left_out=series))
    assert {one.split(" by ")[0] for one in without.missing} == {series}
    assert f"Not measured yet**, and called so wherever it is needed: {series}" in render(without)


def test_a_page_with_all_series_says_nowhere_that_one_is_missing() -> None:
    assert full_capacity().missing == []
    assert (
        "not measured (" not in render(full_capacity())
        and "| not measured |" not in render(full_capacity()).split("## The")[1]
    )


def test_every_figure_of_a_role_says_what_it_rests_on() -> None:
    mark = re.compile(r"\((t|m|a|x: [^()]+|a, x: [^()]+)\)$")
    for role in full_capacity().roles:
        for row in role.rows:
            assert mark.search(str(row.quantity)), row.name


def test_each_role_covers_state_messages_processor_time_and_memory() -> None:
    for role in full_capacity().roles:
        assert {row.kind for row in role.rows} >= {
            QuantityKind.STATE,
            QuantityKind.MESSAGES,
            QuantityKind.PEAK,
            QuantityKind.PROCESSOR,
            QuantityKind.MEMORY,
        }
        assert {mechanism.status for mechanism in role.mechanisms} <= set(Status)


def test_runs_are_shown_on_the_page_with_the_status_of_relays() -> None:
    targets = read_targets(TARGETS)
    for relays, held, status in ((0, True, None), (6, False, None), (6, True, Status.IMPLEMENTED)):
        computed = compute_capacity(
            targets, synthetic_results(), RunResults(SCHEMA, [synthetic_run(relays, held)])
        )
        found = {
            mechanism.term: mechanism.status for role in computed.roles for mechanism in role.mechanisms
        }[RELAY_MECHANISM]
        assert (found is Status.IMPLEMENTED) == (status is Status.IMPLEMENTED)
        page = render(computed)
        assert f"| made-up | {relays} | 7,500 | 20 | 24 | 1,000 | 10 ms | 0.75 s |" in page
        assert f"| 0.85 s | yes | {'yes' if held else '**no**'} |" in page


def test_a_run_that_was_late_or_missed_somebody_says_no() -> None:
    late, missed = notified_within(3.1), PropagationTimes(7_500, 1, 0.1, 0.1, 0.1, 1)
    for found in (late, missed):
        other = msgspec.structs.replace(synthetic_run(6), told_real=found)
        page = render(compute_capacity(read_targets(TARGETS), None, RunResults(SCHEMA, [other])))
        assert f"| {found.last_s:g} s | **no** | yes |" in page


# The command


def test_another_fleet_gets_its_page_from_its_file(tmp_path: Path) -> None:
    targets, page = tmp_path / "fleet.toml", tmp_path / "page.md"
    targets.write_text(changed("balancers", "40", changed("zones", "8")))
    before = PAGE.read_bytes()
    result = CliRunner().invoke(main, ["--targets", str(targets), "--page", str(page)])
    assert result.exit_code == 0 and "capacity page=page.md" in result.output
    assert "One list service to 40 balancers" in page.read_text() and PAGE.read_bytes() == before


def test_the_command_prints_what_is_not_measured(tmp_path: Path) -> None:
    slopes, page = tmp_path / "slopes.json", tmp_path / "page.md"
    write(slopes, synthetic_results(left_out="data.line_us"))
    result = CliRunner().invoke(main, ["--slopes", str(slopes), "--page", str(page)])
    assert result.exit_code == 0 and "not measured: data.line_us\n" in result.output


BAD_TARGETS = {
    "negative": (changed("balancers", "-3"), ["$.fleet.balancers", "-3"]),
    "nothing": (changed("shards", "0"), ["$.fleet.shards", ": 0"]),
    "NaN": (changed("core_pct", "nan"), ["$.budget.core_pct", "nan"]),
    "infinite": (changed("deliveries_per_s", "inf"), ["$.fleet.deliveries_per_s", "inf"]),
    "NaN assumed": (changed("value", "nan"), ["$.assumed.list_service_ms.value", "nan"]),
    "text": (changed("zones", '"many"'), ["$.fleet.zones", '"many"']),
    "part": (changed("connections", "1.5"), ["$.fleet.connections", "1.5"]),
    "whole part": (changed("delivery_part", "1.0"), ["$.fleet.delivery_part", "1.0"]),
    "missing": (TEXT.replace("regions = 8\n", ""), ["`regions`", "$.fleet"]),
    "missing table": (TEXT.replace("[failures]", "[mishaps]"), ["mishaps"]),
    "missing reason": (re.sub(r"(?m)^reason = .*\n", "", TEXT, count=1), ["`reason`", "list_service_ms"]),
    "unknown": (TEXT.replace("[changes]", "[changes]\nper_hour = 3"), ["`per_hour`", "$.changes"]),
    "no TOML": ("[fleet]\nzones = = 1\n", ["not TOML", "line 2"]),
    "fewer zones than regions": (changed("zones", "7"), ["$.fleet.zones", "7"]),
    "too many listeners": (changed("connections", "2_699_999"), ["largest_topic_listeners", "2700000"]),
    "falling counts": (changed("server_counts", "[4, 1]"), ["$.assumed.server_counts", "[4, 1]"]),
    "no bursts": (changed("bursts", "[]"), ["$.changes.bursts", "[]"]),
}  # fmt: skip


@pytest.mark.parametrize("name", BAD_TARGETS)
def test_bad_targets_are_named_by_place_and_value(name: str, tmp_path: Path) -> None:
    text, named = BAD_TARGETS[name]
    targets, page = tmp_path / "fleet.toml", tmp_path / "page.md"
    targets.write_text(text)
    result = CliRunner().invoke(main, ["--targets", str(targets), "--page", str(page)])
    assert result.exit_code == 2 and not page.exists()
    assert result.stderr.startswith("capacity: fleet.toml: ") and result.stderr.count("\n") == 1
    assert all(one in result.stderr for one in named), result.stderr


def test_bad_results_and_paths_are_named(tmp_path: Path) -> None:
    bad_unit, latin, page = tmp_path / "slopes.json", tmp_path / "latin.toml", tmp_path / "page.md"
    write(bad_unit, SlopeResults(SCHEMA, [], [Point("data.line_us", "MiB", {}, [1.0])], []))
    latin.write_bytes(b"# \xe9\n")
    for option, path, named in (
        ("--slopes", bad_unit, "slopes.json: $.points[0].unit: 'MiB' of data.line_us"),
        ("--slopes", tmp_path / "none.json", "none.json: No such file"),
        ("--runs", tmp_path / "none.json", "none.json: No such file"),
        ("--targets", tmp_path / "none.toml", "none.toml: No such file"),
        ("--targets", latin, "latin.toml: byte 2: not UTF-8"),
        ("--page", tmp_path / "none" / "page.md", "No such file"),
    ):
        result = CliRunner().invoke(main, ["--page", str(page), option, str(path)])
        assert result.exit_code == 2 and named in result.stderr


# Measurements


@given(st.floats(1.0, 1e7), st.floats(1.0, 1e7))
def test_a_measured_line_rises_with_size_and_says_where_it_was_measured(one: float, other: float) -> None:
    measured = Measurements(synthetic_results())
    small, great = (measured.at("module.one_change", "servers", size) for size in sorted((one, other)))
    assert small.value is not None and great.value is not None and small.value <= great.value
    for size, found in zip(sorted((one, other)), (small, great), strict=True):
        assert found.value == pytest.approx((0.01 + 1e-5 * size) / 1_000.0)
        inside = LOW <= size <= HIGH
        assert found.basis is (Basis.MEASURED if inside else Basis.EXTRAPOLATED)
        assert ("x: servers 100 to 10,000" in str(found)) == (not inside)


def test_figures_inside_the_range_are_the_points_and_not_the_line() -> None:
    points = [
        Point("module.place", "us", {"servers": size}, [cost, 9e9, 0.0])
        for size, cost in ((1.0, 16.0), (9.0, 32.0))
    ]
    fit = Fit("module.place", "us", "servers", {}, 100.0, 0.0, 0.0, 1.0, 9.0, 3, 99.0, 101.0)
    measured = Measurements(SlopeResults(SCHEMA, [], points, [fit]))
    values = [measured.at("module.place", "servers", size).value for size in (1.0, 5.0, 9.0, 10.0)]
    assert values == pytest.approx([16e-6, 24e-6, 32e-6, 132e-6])


def test_a_cost_that_falls_with_size_counts_as_flat_beyond_the_range() -> None:
    falling = synthetic_results(intercept=1.0, slope=-5e-5)
    found = Measurements(falling).at("failure.restart_s", "servers", 16_000.0)
    assert found.value == pytest.approx(0.5e-3) and found.basis is Basis.EXTRAPOLATED


def test_without_a_line_nothing_is_extrapolated() -> None:
    measured = Measurements(
        SlopeResults(SCHEMA, [], [Point("module.place", "us", {"servers": 5.0}, [1.0])], [])
    )
    assert measured.at("module.place", "servers", 6.0).value is None
    assert measured.at("module.place", "servers", 5.0).value == pytest.approx(1e-6)


def test_the_curve_with_the_nearest_other_inputs_is_taken() -> None:
    points = [
        Point("control.core_pct", "%", {"servers": size, "changes_per_s": rate}, [rate + 1.0])
        for size in (100.0, 200.0)
        for rate in (0.0, 1.0, 10.0)
    ]
    measured = Measurements(SlopeResults(SCHEMA, [], points, []))
    for wanted, nearest in ((0.0, 0.0), (0.9, 1.0), (50.0, 10.0)):
        found = measured.at("control.core_pct", "servers", 150.0, changes_per_s=wanted)
        assert found.value == pytest.approx(nearest + 1.0)
        assert found.mark == ("m" if wanted == nearest else f"x: changes_per_s {nearest:g}")


def test_a_cost_for_each_stays_as_measured_beyond_the_range_and_says_so() -> None:
    points = [Point("data.line_us", "us", {"lines_per_s": size}, [60.0]) for size in (100.0, 2_000.0)]
    found = Measurements(SlopeResults(SCHEMA, [], points, [])).unit_cost("data.line_us", 18_667.0)
    assert str(found) == "60 us (x: lines_per_s 100 to 2,000)"


# The model

FACTOR = st.floats(1.0, 50.0)


@settings(max_examples=30, deadline=None)
@given(FACTOR, FACTOR, FACTOR, FACTOR)
def test_a_greater_fleet_asks_no_less(
    connections: float, shards: float, listeners: float, changes: float
) -> None:
    targets = read_targets(TARGETS)
    fleet, daily = targets.fleet, targets.changes
    grown = msgspec.structs.replace(
        targets,
        fleet=msgspec.structs.replace(
            fleet,
            connections=int(fleet.connections * connections),
            shards=int(fleet.shards * shards),
            largest_topic_listeners=int(fleet.largest_topic_listeners * listeners),
        ),
        changes=msgspec.structs.replace(daily, per_day=daily.per_day * changes),
    )
    small, great = full_capacity(targets), full_capacity(grown)
    for before, after in zip(small.roles, great.roles, strict=True):
        for one, other in zip(before.rows, after.rows, strict=True):
            assert one.quantity.value is not None and other.quantity.value is not None
            assert other.quantity.value >= one.quantity.value * (1.0 - 1e-9), one.name
            if one.multiple is not None and other.multiple is not None:
                assert (other.multiple.value or 0.0) >= (one.multiple.value or 0.0) * (1.0 - 1e-9), one.name


@settings(max_examples=30, deadline=None)
@given(FACTOR)
def test_more_balancers_ask_the_list_service_more(factor: float) -> None:
    targets = read_targets(TARGETS)
    fleet = msgspec.structs.replace(targets.fleet, balancers=int(targets.fleet.balancers * factor))
    small, great = full_capacity(targets), full_capacity(msgspec.structs.replace(targets, fleet=fleet))
    for name in ("lists.idle_calls", "lists.direct_time", "lists.full_list_all", "configuration.direct"):
        assert (great.named_quantities[name].value or 0.0) >= (small.named_quantities[name].value or 0.0)


@settings(max_examples=25, deadline=None)
@given(st.data())
def test_any_fleet_gets_a_whole_page(data: st.DataObject) -> None:
    def count(minimum: int, maximum: int) -> int:
        return data.draw(st.integers(minimum, maximum))

    targets = read_targets(TARGETS)
    regions = count(2, 12)
    zones = count(regions, 60)
    connections = count(1, 10**10)
    fleet = Fleet(
        balancers=count(zones, 10**5),
        connections=connections,
        shards=count(1, 10**9),
        largest_topic_listeners=count(1, connections),
        deliveries_per_s=data.draw(st.floats(1.0, 1e10)),
        delivery_within_ms=data.draw(st.floats(1.0, 1e4)),
        delivery_part=data.draw(st.floats(0.5, 0.9999)),
        regions=regions,
        zones=zones,
    )
    budget = msgspec.structs.replace(targets.budget, machines=count(1, 200))
    page = render(full_capacity(msgspec.structs.replace(targets, fleet=fleet, budget=budget)))
    assert "nan" not in page and "None" not in page and "inf " not in page


def test_multiples_are_quantities_over_budgets_of_the_same_unit() -> None:
    computed = full_capacity()
    rows = [(row.quantity, row.budget) for role in computed.roles for row in role.rows if row.budget]
    rows += [(entry.quantity, entry.budget) for entry in computed.ranking]
    for quantity, budget in rows:
        assert quantity.unit == budget.unit
        found = multiple(quantity, budget).value
        assert found is not None and found * (budget.value or 0.0) == pytest.approx(quantity.value)
    with pytest.raises(ValueError, match="different units"):
        multiple(specified(1.0, "s"), specified(1.0, "B"))


@given(st.lists(st.sampled_from(Basis), min_size=1))
def test_a_figure_is_as_weak_as_the_weakest_it_rests_on(bases: list[Basis]) -> None:
    inputs = [Quantity(1.0, "s", basis) for basis in bases]
    assert derived("s", lambda *values: sum(values), *inputs).basis is max(bases)


def test_targets_by_arithmetic() -> None:
    """Checks the model against values computed by hand from the committed targets."""
    named_quantities = full_capacity().named_quantities
    shown = [
        named_quantities[name].amount
        for name in (
            "lists.idle_calls",
            "lists.direct_time",
            "data.connections_per_balancer",
            "data.deliveries_per_balancer",
        )
    ]
    assert shown == ["1,875/s", "75 s", "60,000 connections", "18,667/s"]


def test_the_tree_reaches_every_process_and_its_hops_add_up() -> None:
    computed = full_capacity()
    inputs = Inputs(computed.targets, Measurements(synthetic_results()))
    inside = [hop for hop in computed.hops if hop.name.startswith("inside a zone")]
    reached = inside[-1].nodes.value or 0.0
    processes = (inputs.processes_per_balancer.value or 0.0) * computed.targets.fleet.balancers
    assert reached >= processes
    parts = [part.value or 0.0 for hop in computed.hops for part in (hop.sending, hop.latency)]
    queue = computed.named_quantities["delivery.queueing_time"].value or 0.0
    assert computed.named_quantities["delivery.tree_time"].value == pytest.approx(sum(parts) + queue)
    single = [hop.queueing_time.value or 0.0 for hop in computed.hops]
    assert max(single) < queue < sum(single)


@pytest.mark.parametrize(("part", "used", "hops", "waits"), [(0.99, 0.6, 1, 4.094), (0.99, 1.0, 2, 6.638)])
def test_queues_by_known_quantiles(part: float, used: float, hops: int, waits: float) -> None:
    """Checks one M/M/1 queue, ln(0.6 / 0.01), and two queues in which every message waits.

    The latter is half of the chi-squared quantile with four degrees of freedom, 13.277 / 2.
    """
    assert queueing_quantile(part, used, hops) == pytest.approx(waits, abs=0.001)


def test_ranking_puts_first_what_the_program_can_carry() -> None:
    for results in (
        synthetic_results(),
        synthetic_results(intercept=1e-6, slope=1e-9),
        synthetic_results(left_out="data.line_us"),
    ):
        computed = full_capacity(results=results)
        multiples = [entry.multiple.value for entry in computed.ranking]
        known = [one for one in multiples if one is not None]
        assert known == sorted(known, reverse=True) and multiples[: len(known)] == known
        first = computed.first_to_build
        assert (
            first is not None and first.remedy is Remedy.THIS_PROGRAM and (first.multiple.value or 0.0) > 1.0
        )
        assert all(entry.remedy is not Remedy.THIS_PROGRAM for entry in computed.ranked_above_first)


@pytest.mark.parametrize(
    ("value", "unit", "shown"),
    [
        (0.0, "s", "0 s"),
        (2.5e-5, "s", "25 us"),
        (0.49, "s", "490 ms"),
        (150.0, "s", "2.5 min"),
        (90_000.0, "s", "1.04 days"),
        (6.4e7, "B", "64 MB"),
        (8_000.0, "B/s", "8 kB/s"),
        (18_666.7, "/s", "18,667/s"),
        (1.0, "processes", "1 process"),
        (1.0, "s", "1 s"),
        (1.0, "cores", "1 core"),
        (0.0822, "/s", "0.082/s"),
    ],
)
def test_values_are_shown_in_units_that_suit_them(value: float, unit: str, shown: str) -> None:
    assert format_value(value, unit) == shown
    assert str(assumed(value, unit)) == f"{shown} (a)"
