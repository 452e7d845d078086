"""Scale runs with a small fleet. Guards against lost or reordered list changes, and against hollow balancers
that differ from real ones.

Only counts and order are checked here, propagation times by the benchmark (docs/scale.md).
"""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import replace
from itertools import islice, pairwise
from pathlib import Path

import anyio
import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.scale import runs as bench
from puffinford.core.clock import Clock
from puffinford.scale.agreement import Bounds, KindObservation, disagreements
from puffinford.scale.arrivals import generate_arrivals
from puffinford.scale.messages import ClientWorkload, Skip
from puffinford.scale.outcome import RunOutcome
from puffinford.scale.plan import RunPlan
from puffinford.scale.propagation import (
    OutagePeriod,
    PropagationStats,
    VersionTimestamp,
    measure_propagation,
    quantile,
)
from puffinford.scale.run import Run, SizeNotHeld
from puffinford.scale.shared_clock import MAX_STEP_MS, TURN_INTERVAL_MS, SharedClock
from puffinford.scale.stories import (
    DIRECT_STORIES,
    RELAY_STORIES,
    choose_killed_balancers,
    planned_changes,
    story,
)
from puffinford.standins.discovery import Discovery
from puffinford.standins.listeners import HOST
from puffinford.standins.lists import ListService
from puffinford.standins.trace import Trace

HOLLOW_BALANCERS = 30
REAL_BALANCERS = 4
SPAN_S = 3.0
UNTIMED = Bounds(p99_ms=float("inf"))  # propagation times depend on the load of the host


def small_plan(name: str, **more: object) -> RunPlan:
    plan = RunPlan(
        story=story(name, SPAN_S),
        hollow=HOLLOW_BALANCERS,
        processes=2,
        real=REAL_BALANCERS,
        servers=20,
        workload=ClientWorkload(rate=0.5, life_ms=2_000.0),
        max_lost_fraction=float("inf"),
    )
    return replace(plan, **more)  # type: ignore[arg-type]


def play_plan(plan: RunPlan, directory: Path) -> RunOutcome:
    return anyio.run(Run(plan, directory).play)


# The stories


@pytest.mark.parametrize("name", DIRECT_STORIES)
def test_every_change_of_a_story_is_applied_by_all_balancers(name: str, tmp_path: Path) -> None:
    run = play_plan(small_plan(name), tmp_path)
    balancers = HOLLOW_BALANCERS + REAL_BALANCERS
    assert run.held, run.reason
    assert run.changes == len(story(name, SPAN_S).change_times_s)
    for stats, count in ((run.hollow_propagation, HOLLOW_BALANCERS), (run.real_propagation, REAL_BALANCERS)):
        assert (stats.missed, stats.older) == (0, 0)
        assert (stats.balancers, stats.changes) == (count, run.changes)
    assert run.hollow_load.placed > 0 and run.real_load.placed > 0
    assert run.restarts == (HOLLOW_BALANCERS // 3 if name == "third-killed" else 0)
    if name == "resets":
        assert run.list_service.reset_connections >= balancers
    if name == "list-down":
        assert run.list_service.reset_connections >= balancers
    if name.startswith("burst"):
        assert run.hollow_propagation.lists < HOLLOW_BALANCERS * run.changes / 2, (
            "a burst of changes is sent as a few lists"
        )


@pytest.mark.parametrize("name", RELAY_STORIES)
def test_every_change_is_applied_through_relays_one_of_which_fails(name: str, tmp_path: Path) -> None:
    run = play_plan(small_plan(name, relays=3), tmp_path)
    assert run.held, run.reason
    for stats in (run.hollow_propagation, run.real_propagation):
        assert (stats.missed, stats.behind, stats.older) == (0, 0, 0)
    upstream = [relay.upstream_calls for relay in run.relay_load]
    assert min(upstream[1:]) > 0
    assert run.list_service.calls == sum(upstream), "no balancer calls the list service directly"


# Comparison of hollow and real balancers


def paired_plan(skip: Skip = Skip.NOTHING) -> RunPlan:
    plan = replace(bench.agreement_plan(1, skip, 4.0), max_lost_fraction=float("inf"), bounds=UNTIMED)
    return replace(plan, hollow=REAL_BALANCERS, real=REAL_BALANCERS, servers=20)


def test_hollow_and_real_balancers_agree(tmp_path: Path) -> None:
    run = play_plan(paired_plan(), tmp_path)
    assert run.held, run.reason
    assert run.disagreements == []
    assert run.real_load.placed >= 20


@pytest.mark.parametrize(("skip", "metric"), [(Skip.LISTS, "lists"), (Skip.PLACING, "placed")])
def test_a_hollow_balancer_that_skips_its_work_does_not_agree(
    skip: Skip, metric: str, tmp_path: Path
) -> None:
    run = play_plan(paired_plan(skip), tmp_path)
    assert metric in {found.metric for found in run.disagreements}


BASELINE = KindObservation(10.0, 2_000.0, PropagationStats(lists=48, p99_ms=80.0), {0: {"a": 5, "b": 5}})


@pytest.mark.parametrize(
    ("changed", "metric"),
    [
        ({"calls": 12.0}, "calls"),
        ({"sent_bytes": 2_300.0}, "sent"),
        ({"propagation": PropagationStats(lists=40, p99_ms=80.0)}, "lists"),
        ({"propagation": PropagationStats(lists=48, missed=1, p99_ms=80.0)}, "missed"),
        ({"propagation": PropagationStats(lists=48, older=1, p99_ms=80.0)}, "older"),
        ({"propagation": PropagationStats(lists=48, p99_ms=1_081.0)}, "p99_ms"),
        ({"placed": {0: {"a": 5, "b": 3}}}, "placed"),
        ({"placed": {0: {"a": 3, "b": 7}}}, "placed elsewhere"),
        ({"placed": {1: {"a": 5, "b": 5}}}, "placed elsewhere"),
    ],
)
def test_each_metric_out_of_its_bound_is_reported(changed: dict[str, object], metric: str) -> None:
    assert disagreements(BASELINE, BASELINE) == []
    found = disagreements(replace(BASELINE, **changed), BASELINE)  # type: ignore[arg-type]
    assert metric in {disagreement.metric for disagreement in found}


# Runs that fail


@pytest.mark.anyio
async def test_a_run_whose_process_dies_fails(tmp_path: Path) -> None:
    run = Run(small_plan("busy", real=0), tmp_path)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_kill_one, run)
        with pytest.raises(SizeNotHeld, match="ended by itself"):
            await run.play()


async def _kill_one(run: Run) -> None:
    while not run.ready:
        await anyio.sleep(0.01)
    run.hollow_processes[0].kill()


def test_a_run_that_cannot_hold_its_size_ends_with_code_2(tmp_path: Path) -> None:
    arguments = [
        "--hollow",
        "1000000",
        "--no-agreement",
        "--story",
        "calm",
        "--results",
        str(tmp_path / "runs"),
    ]
    result = CliRunner().invoke(bench.main, arguments)
    assert result.exit_code == 2
    assert "size not held" in result.output and not (tmp_path / "runs").exists()


def test_unusable_results_are_reported_before_any_run(tmp_path: Path) -> None:
    path = tmp_path / "runs.json"
    path.write_text('{"schema": 1, "runs": [{"story": 3}]}')
    result = CliRunner().invoke(bench.main, ["--story", "calm", "--results", str(path)])
    assert result.exit_code == 2
    assert "runs.json: " in result.output and "$.runs[0]" in result.output


# Propagation statistics


def versions(*rows: tuple[int, float]) -> list[VersionTimestamp]:
    return [VersionTimestamp(version, at) for version, at in rows]


def test_the_time_of_a_change_ends_with_the_first_version_that_holds_it() -> None:
    stats = measure_propagation(versions((2, 100.0), (3, 200.0)), {0: versions((1, 0.0), (3, 250.0))}, {})
    assert (stats.missed, stats.behind, stats.p50_ms, stats.last_ms) == (0, 0, 50.0, 150.0)


def test_a_change_that_was_never_applied_is_missed() -> None:
    stats = measure_propagation(versions((2, 100.0), (3, 200.0)), {0: versions((2, 110.0)), 1: []}, {})
    assert (stats.missed, stats.behind, stats.last_ms) == (3, 2, 10.0)


def test_a_restarted_balancer_counts_from_its_start_and_may_get_an_older_version() -> None:
    stats = measure_propagation(
        versions((5, 100.0)), {0: versions((4, 0.0), (3, 320.0), (5, 330.0))}, {0: [300.0]}
    )
    assert (stats.missed, stats.older, stats.last_ms) == (0, 0, 30.0)


def test_an_older_version_after_a_newer_one_is_counted() -> None:
    assert measure_propagation([], {0: versions((4, 0.0), (3, 1.0), (5, 2.0))}, {}).older == 1


def test_a_change_made_while_the_source_is_out_counts_from_its_return() -> None:
    stats = measure_propagation(
        versions((2, 150.0)), {0: versions((2, 400.0))}, {}, [OutagePeriod(100.0, 300.0)]
    )
    assert stats.last_ms == 100.0


@given(st.lists(st.floats(0.0, 1e6), min_size=1), st.floats(0.01, 1.0))
def test_a_quantile_has_its_part_of_the_values_at_or_under_it(values: list[float], part: float) -> None:
    ordered = sorted(round(value, 1) for value in values)
    found = quantile(ordered, part)
    assert sum(value <= found for value in ordered) >= part * len(ordered) - 1e-6
    assert sum(value < found for value in ordered) < part * len(ordered) + 1e-6


# The clock of a shared process


def test_time_that_the_loop_was_late_is_not_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    at = 1_000.0
    monkeypatch.setattr(Clock, "now", lambda self: at)
    clock = SharedClock()
    began, times = clock.now(), [clock.now()]
    for late in (0.0, 400.0, 0.0, 30.0):
        at += TURN_INTERVAL_MS + late
        times.append(clock.now())
        clock.record_turn()
        times.append(clock.now())
    assert times == sorted(times), "the clock never goes back"
    assert clock.lost_ms == 400.0 + TURN_INTERVAL_MS - MAX_STEP_MS
    assert clock.now() - began == at - 1_000.0 - clock.lost_ms


@pytest.mark.anyio
async def test_a_limit_and_a_sleep_of_the_shared_clock_wait_for_lost_time() -> None:
    clock = SharedClock()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(clock.run)
        began = clock.now()
        tasks.start_soon(anyio.sleep, 0)
        await anyio.sleep(0)
        time.sleep(0.3)  # blocks the loop, as too many balancers in one process do
        await clock.sleep(50.0)
        assert clock.now() >= began + 50.0
        with clock.limit(20.0) as scope:
            await anyio.sleep_forever()
        assert scope.cancelled_caught and clock.now() >= began + 70.0
        assert clock.unadjusted_now() - clock.now() == pytest.approx(clock.lost_ms, abs=MAX_STEP_MS)
        assert clock.lost_ms >= 100.0
        tasks.cancel_scope.cancel()


# Random schedules


@given(st.sampled_from(sorted(DIRECT_STORIES)), st.integers(0, 1_000), st.integers(20, 200))
def test_changes_come_in_order_and_never_take_out_more_than_a_tenth(
    name: str, seed: int, servers: int
) -> None:
    names = [f"s{number}" for number in range(servers)]
    planned = planned_changes(story(name), names, seed, 0.0)
    assert planned == planned_changes(story(name), names, seed, 0.0)
    assert all(before.at <= after.at for before, after in pairwise(planned))
    drained: set[str] = set()
    for change in planned:
        drained = drained | {change.ident} if change.state == "leaving" else drained - {change.ident}
        assert len(drained) <= servers / 10 + 1


def test_clients_and_kills_are_deterministic_and_clients_differ_by_balancer() -> None:
    workload = ClientWorkload(rate=1.0)
    first_draw, second_draw, other_balancer = (
        list(islice(generate_arrivals(workload, 1, number), 20)) for number in (0, 0, 1)
    )
    assert first_draw == second_draw != other_balancer
    assert (
        choose_killed_balancers(90, 1) == choose_killed_balancers(90, 1)
        and len(set(choose_killed_balancers(90, 1))) == 30
    )


# The list service


@pytest.mark.anyio
async def test_the_list_service_answers_as_the_other_stand_in() -> None:
    paths = [
        "/v1/servers",
        "/v1/servers?index=1&wait=0",
        "/v1/servers?index=2&wait=30",
        "/v1/servers?index=9&wait=0",
    ]
    async with anyio.create_task_group() as tasks:
        clock = Clock()
        discovery = Discovery(clock, Trace(clock.now), tasks)
        list_service = ListService()
        for registry in (discovery.registry, list_service.registry):
            registry.put("a", addr="127.0.0.1:1")
            registry.put("b", addr="127.0.0.1:2", state="leaving")
        discovery.set_mode("sound")
        addresses = await list_service.open(["all"])
        for path in paths:
            assert await fetch(addresses["all"], path) == await fetch(discovery.address, path)
        list_service.close()
        tasks.cancel_scope.cancel()
    assert list_service.counts["all"].calls == len(paths) == list_service.calls_by_second.total()


@pytest.mark.anyio
async def test_a_watch_is_answered_on_a_change_and_one_call_at_a_time() -> None:
    list_service = ListService(service_ms=1.0)
    list_service.put("a", addr="127.0.0.1:1")
    addresses = await list_service.open(["all"])
    answers: Counter[bytes] = Counter()

    async def watch() -> None:
        answers[await fetch(addresses["all"], "/v1/servers?index=1&wait=60000")] += 1

    async with anyio.create_task_group() as tasks:
        for _ in range(20):
            tasks.start_soon(watch)
        while list_service.counts["all"].calls < 20:
            await anyio.sleep(0.001)
        assert not answers
        list_service.put("b", addr="127.0.0.1:2")
    assert answers.total() == 20 and len(answers) == 1
    assert list_service.max_queue_length == 20, "all calls were queued"
    list_service.close()


async def fetch(address: str, path: str) -> bytes:
    port = int(address.rpartition(":")[2])
    async with await anyio.connect_tcp(HOST, port) as stream:
        await stream.send(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        answer = b""
        while True:
            try:
                answer += await stream.receive()
            except anyio.EndOfStream:
                return answer
