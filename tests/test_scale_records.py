"""Results of scale runs: invalid files are rejected with place and value, and valid ones are read back."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import anyio
import msgspec
import pytest
from click.testing import CliRunner, Result

from benchmarks.scale import __main__ as command
from benchmarks.scale import lists, records
from benchmarks.scale.parts import parts
from benchmarks.scale.records import BadRecord, MachineInfo, Point, Provenance, SlopeResults
from benchmarks.scale.runner import CoreBudget, Outcome
from benchmarks.scale.samples import Sample, SizeNotReached, gather
from benchmarks.scale.sizes import FULL, QUICK
from benchmarks.scale.store import EMPTY, load, replace_series

MACHINE = MachineInfo(8, 23.0, "CPython 3.11", "Linux x86_64")


def provenance(commit: str) -> Provenance:
    return Provenance(MACHINE, commit, "2026-12-02T05:00:00+00:00")


def points(series: str, slope: float) -> list[Point]:
    return [Point(series, "ms", {"servers": n}, [slope * n, slope * n], [1, 2]) for n in (1, 2, 3)]


def stored_results(tmp_path: Path) -> Path:
    path = tmp_path / "slopes.json"
    first = replace_series(
        EMPTY, provenance("aaa"), points("module.place", 1.0) + points("control.core_pct", 2.0)
    )
    records.write(path, first)
    return path


def run(*words: str) -> Result:
    return CliRunner().invoke(command.main, words)


def corrupt(plain: dict[str, Any], place: str, value: object) -> None:
    *parents, last = place.split(".")
    container: Any = plain
    for step in parents:
        container = container[int(step) if step.isdigit() else step]
    if value is None:
        del container[last]
    else:
        container[last] = value


@pytest.mark.parametrize(
    ("place", "value", "expected"),
    [
        ("schema", 2, ["$.schema", "2 is not 1"]),
        ("points", None, ["points", "missing"]),
        ("points.0.values", [], ["$.points[0].values", "[]"]),
        ("points.0.values", [1.0, float("nan")], ["$.points[0].values[1]", "nan"]),
        ("points.1.series", "", ["$.points[1].series", '""']),
        ("points.0.inputs", {"servers": -1.0}, ["$.points[0].inputs", ">= 0"]),
        ("points.2.measured", 1, ["$.points[2].measured", ": 1:"]),
        ("fits.0.residual", -0.5, ["$.fits[0].residual", "-0.5"]),
        ("fits.0.slope", float("inf"), ["$.fits[0].slope", "inf"]),
        ("fits.0.runs", 0, ["$.fits[0].runs", "0"]),
        ("measured.0.commit", None, ["$.measured[0]", "commit"]),
        ("measured.0.machine.cores", 0, ["$.measured[0].machine.cores", "0"]),
        ("points.0.colour", "red", ["$.points[0]", "colour"]),
    ],
)
def test_bad_results_are_refused_with_place_and_value(
    place: str, value: object, expected: list[str], tmp_path: Path
) -> None:
    path = stored_results(tmp_path)
    plain = json.loads(path.read_text())
    corrupt(plain, place, value)
    path.write_text(json.dumps(plain))
    with pytest.raises(BadRecord) as caught:
        load(path)
    assert all(text in str(caught.value) for text in ["slopes.json", *expected]), caught.value
    done = run("--quick", "--results", str(path))
    assert done.exit_code == 2 and str(caught.value) in done.output


def test_results_that_are_missing_or_no_json_are_refused_where_they_are_needed(tmp_path: Path) -> None:
    path = tmp_path / "slopes.json"
    with pytest.raises(BadRecord, match=r"slopes\.json: No such file"):
        records.read(path, SlopeResults)
    path.write_text('{"schema": 1')
    assert run("--quick", "--results", str(path)).exit_code == 2


def test_bad_results_are_not_written(tmp_path: Path) -> None:
    path = stored_results(tmp_path)
    before = path.read_text()
    bad = msgspec.structs.replace(load(path).points[0], values=[float("nan")])
    with pytest.raises(BadRecord, match=r"\$\.points\[0\]\.values\[0\]: nan"):
        records.write(path, SlopeResults(1, [provenance("bbb")], [bad], []))
    assert path.read_text() == before


def test_series_measured_anew_replace_just_those_and_carry_their_own_provenance(tmp_path: Path) -> None:
    made = replace_series(load(stored_results(tmp_path)), provenance("bbb"), points("control.core_pct", 4.0))
    by = {point.series: made.measured[point.measured].commit for point in made.points}
    assert by == {"module.place": "aaa", "control.core_pct": "bbb"}
    assert {fit.series: round(fit.slope, 6) for fit in made.fits} == {
        "module.place": 1.0,
        "control.core_pct": 4.0,
    }
    again = replace_series(made, provenance("ccc"), points("module.place", 3.0))
    assert [entry.commit for entry in again.measured] == ["bbb", "ccc"], (
        "provenance that no point refers to is removed"
    )


def test_runs_are_gathered_by_series_and_size_in_any_order_of_inputs() -> None:
    runs = [
        [Sample("a.b", "s", {"x": 1, "y": 2}, 5.0), Sample("a.b", "s", {"x": 2, "y": 2}, 7.0)],
        [Sample("a.b", "s", {"y": 2, "x": 1}, 6.0)],
    ]
    found = gather(runs, [3, 4], 0)
    assert [(point.values, point.seeds) for point in found] == [([5.0, 6.0], [3, 4]), ([7.0], [3])]


def test_a_quick_run_of_the_module_is_read_back(tmp_path: Path) -> None:
    path = tmp_path / "slopes.json"
    done = run("--quick", "--only", "module", "--runs", "2", "--results", str(path))
    assert done.exit_code == 0, done.output
    assert "bench scale series=10 " in done.output.splitlines()[-1]
    made = load(path)
    expected = {name for part in parts(QUICK) for name in part.series if name.startswith("module")}
    assert {point.series for point in made.points} == expected, "each part lists the series that it measures"
    assert all(point.series.startswith("module.") and point.seeds == [1, 2] for point in made.points)
    memory = {fit.over: fit.slope for fit in made.fits if fit.unit == "B"}
    assert 300 < memory["servers"] < 3_000 and 300 < memory["standing"] < 3_000
    assert made.measured[0].machine == records.this_machine()
    keys = [(point.series, tuple(sorted(point.inputs.items()))) for point in made.points]
    assert len(keys) == len(set(keys)), "two parts measure the same series at the same size"


@pytest.fixture
def canned(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> dict[str, Outcome]:
    """Predefined outcomes in place of a measurement, with a results file in `tmp_path`."""
    outcomes: dict[str, Outcome] = {}

    async def run_all(*_: object) -> dict[str, Outcome]:
        return outcomes

    monkeypatch.setattr(command, "run_all", run_all)
    monkeypatch.setattr(records, "SLOPES", tmp_path / "committed.json")
    return outcomes


def test_a_run_that_could_not_hold_its_size_says_so_and_keeps_none_of_that_part(
    canned: dict[str, Outcome],
) -> None:
    sample = Sample("data.line_us", "us", {"lines_per_s": 1}, 5.0)
    canned["rest"] = Outcome(
        {1: [Sample("data.connection_us", "us", {}, 5.0)]}, ["rest: seed 2: 4800 of 5000"]
    )
    canned["lines"] = Outcome({1: [sample], 2: [sample]})
    done = run("--runs", "2", "--only", "data")
    assert done.exit_code == 2 and "size not reached: rest: seed 2: 4800 of 5000" in done.output
    assert {point.series for point in load(records.SLOPES).points} == {"data.line_us"}


def test_a_quick_run_leaves_the_committed_results_alone(canned: dict[str, Outcome]) -> None:
    canned["timers"] = Outcome({1: [Sample("module.timers", "us", {"timers": 1}, 5.0)]})
    assert run("--quick", "--runs", "1").exit_code == 0
    assert not records.SLOPES.exists()


class SilentHelper:
    """A helper process whose watches receive nothing."""

    def send_command(self, *words: object) -> Any:
        return {"change": {"version": 5, "at": 0.0}, "told": [], "listed": 3}[str(words[0])]


def test_watches_that_get_no_list_or_no_change_do_not_reach_their_size() -> None:
    silent: Any = SilentHelper()
    with pytest.raises(SizeNotReached, match="6 of 7 watches had a list"):
        lists.wait_listed([silent, silent], 7, 0.0)
    with pytest.raises(SizeNotReached, match="0 of 7 watches"):
        lists.propagation_times(silent, [silent], 7, 0.0)


def test_parts_wait_for_cores_and_the_greatest_runs_alone() -> None:
    async def run_parts() -> list[str]:
        cores, seen = CoreBudget(2.0), []

        async def take(name: str, need: float) -> None:
            await cores.acquire(need)
            seen.append(name)

        async with anyio.create_task_group() as tasks:
            await take("first", 1.5)
            tasks.start_soon(take, "greatest", 3.0)
            await anyio.wait_all_tasks_blocked()
            assert seen == ["first"]
            await cores.release(1.5)
        return seen

    assert anyio.run(run_parts) == ["first", "greatest"]


@pytest.mark.parametrize(
    ("prefixes", "names"),
    [
        (("control",), {"rest", "control"}),
        (("control.standing_core_pct",), {"rest"}),
        (("data",), {"rest", "lines"}),
        (("failure.zone_seconds", "module.timers"), {"zone", "timers"}),
        (("module.place_own",), {"own_groups"}),
        (("module.place",), {"own_groups", "servers", "standing", "balancers"}),
    ],
)
def test_prefixes_choose_the_parts_that_measure_them(prefixes: tuple[str, ...], names: set[str]) -> None:
    assert {part.name for part in parts(FULL) if part.matches(prefixes)} == names
    assert len({part.name for part in parts(QUICK)}) == len(parts(QUICK))


def test_an_unknown_prefix_is_refused() -> None:
    done = run("--quick", "--only", "nothing")
    assert done.exit_code == 2 and "no series begins with nothing" in done.output
