"""Scale runs, small: the same stories with 30 hollow balancers and four real ones.

Verdicts are on counts and order; how long things took is judged at size (docs/scale.md).
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
from puffinford.scale.agreement import Bounds, Observed, disagreements
from puffinford.scale.arrivals import arrivals
from puffinford.scale.messages import Crowd, Skip
from puffinford.scale.outcome import RunOutcome
from puffinford.scale.plan import RunPlan
from puffinford.scale.run import NotHeld, Run
from puffinford.scale.shared_clock import STEP_MOST, TURN_MS, SharedClock
from puffinford.scale.stories import DIRECT, WITH_RELAYS, changes, story, third
from puffinford.scale.told import InForceRow, Span, Told, quantile, time_until_told
from puffinford.standins.discovery import Discovery
from puffinford.standins.listeners import HOST
from puffinford.standins.lists import ListService
from puffinford.standins.trace import Trace

HOLLOW = 30
REAL = 4
SPAN = 3.0
UNTIMED = Bounds(p99_ms=float("inf"))  # a busy machine's time is no verdict


def small(name: str, **more: object) -> RunPlan:
    plan = RunPlan(
        story=story(name, SPAN),
        hollow=HOLLOW,
        processes=2,
        real=REAL,
        servers=20,
        crowd=Crowd(rate=0.5, life_ms=2_000.0),
        lost_most=float("inf"),
    )
    return replace(plan, **more)  # type: ignore[arg-type]


def played(plan: RunPlan, directory: Path) -> RunOutcome:
    return anyio.run(Run(plan, directory).play)


# The stories


@pytest.mark.parametrize("name", DIRECT)
def test_every_change_of_a_story_comes_into_force_everywhere(name: str, tmp_path: Path) -> None:
    run = played(small(name), tmp_path)
    balancers = HOLLOW + REAL
    assert run.held, run.why
    assert run.changes == len(story(name, SPAN).change_at)
    for told, count in ((run.hollow_told, HOLLOW), (run.real_told, REAL)):
        assert (told.missed, told.older) == (0, 0)
        assert (told.balancers, told.changes) == (count, run.changes)
    assert run.hollow_load.placed > 0 and run.real_load.placed > 0
    assert run.restarts == (HOLLOW // 3 if name == "third-killed" else 0)
    if name == "resets":
        assert run.list_service.broken >= balancers
    if name == "list-down":
        assert run.list_service.broken >= balancers
    if name.startswith("burst"):
        assert run.hollow_told.lists < HOLLOW * run.changes / 2, "what comes together is sent together"


@pytest.mark.parametrize("name", WITH_RELAYS)
def test_every_change_comes_into_force_through_relays_one_of_which_fails(name: str, tmp_path: Path) -> None:
    run = played(small(name, relays=3), tmp_path)
    assert run.held, run.why
    for told in (run.hollow_told, run.real_told):
        assert (told.missed, told.behind, told.older) == (0, 0, 0)
    upstream = [relay.upstream_calls for relay in run.relay_load]
    assert min(upstream[1:]) > 0
    assert run.list_service.calls == sum(upstream), "no balancer asks the list service itself"


# The agreement


def twins(skip: Skip = Skip.NOTHING) -> RunPlan:
    plan = replace(bench.twins(1, skip, 4.0), lost_most=float("inf"), bounds=UNTIMED)
    return replace(plan, hollow=REAL, real=REAL, servers=20)


def test_hollow_and_real_balancers_agree(tmp_path: Path) -> None:
    run = played(twins(), tmp_path)
    assert run.held, run.why
    assert run.disagreements == []
    assert run.real_load.placed >= 20


@pytest.mark.parametrize(("skip", "figure"), [(Skip.LISTS, "lists"), (Skip.PLACING, "placed")])
def test_a_hollow_balancer_that_skips_its_work_does_not_agree(
    skip: Skip, figure: str, tmp_path: Path
) -> None:
    run = played(twins(skip), tmp_path)
    assert figure in {found.figure for found in run.disagreements}


SOUND = Observed(10.0, 2_000.0, Told(lists=48, p99_ms=80.0), {0: {"a": 5, "b": 5}})


@pytest.mark.parametrize(
    ("changed", "figure"),
    [
        ({"calls": 12.0}, "calls"),
        ({"sent": 2_300.0}, "sent"),
        ({"told": Told(lists=40, p99_ms=80.0)}, "lists"),
        ({"told": Told(lists=48, missed=1, p99_ms=80.0)}, "missed"),
        ({"told": Told(lists=48, older=1, p99_ms=80.0)}, "older"),
        ({"told": Told(lists=48, p99_ms=1_081.0)}, "p99_ms"),
        ({"placed": {0: {"a": 5, "b": 3}}}, "placed"),
        ({"placed": {0: {"a": 3, "b": 7}}}, "placed elsewhere"),
        ({"placed": {1: {"a": 5, "b": 5}}}, "placed elsewhere"),
    ],
)
def test_each_figure_out_of_its_bound_is_named(changed: dict[str, object], figure: str) -> None:
    assert disagreements(SOUND, SOUND) == []
    found = disagreements(replace(SOUND, **changed), SOUND)  # type: ignore[arg-type]
    assert figure in {one.figure for one in found}


# A size that is not held


@pytest.mark.anyio
async def test_a_run_whose_process_dies_says_that_it_was_not_held(tmp_path: Path) -> None:
    run = Run(small("busy", real=0), tmp_path)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_kill_one, run)
        with pytest.raises(NotHeld, match="ended by itself"):
            await run.play()


async def _kill_one(run: Run) -> None:
    while not run.ready:
        await anyio.sleep(0.01)
    run.children[0].kill()


def test_a_run_that_cannot_hold_its_size_ends_with_code_2(tmp_path: Path) -> None:
    asked = ["--hollow", "1000000", "--no-agreement", "--story", "calm", "--results", str(tmp_path / "runs")]
    result = CliRunner().invoke(bench.main, asked)
    assert result.exit_code == 2
    assert "size not held" in result.output and not (tmp_path / "runs").exists()


def test_results_that_cannot_be_used_are_named_before_anything_is_played(tmp_path: Path) -> None:
    path = tmp_path / "runs.json"
    path.write_text('{"schema": 1, "runs": [{"story": 3}]}')
    result = CliRunner().invoke(bench.main, ["--story", "calm", "--results", str(path)])
    assert result.exit_code == 2
    assert "runs.json: " in result.output and "$.runs[0]" in result.output


# How long changes took


def rows(*told: tuple[int, float]) -> list[InForceRow]:
    return [InForceRow(version, at) for version, at in told]


def test_the_time_of_a_change_ends_with_the_first_version_that_holds_it() -> None:
    told = time_until_told(rows((2, 100.0), (3, 200.0)), {0: rows((1, 0.0), (3, 250.0))}, {})
    assert (told.missed, told.behind, told.p50_ms, told.last_ms) == (0, 0, 50.0, 150.0)


def test_a_change_that_never_came_into_force_is_missed() -> None:
    told = time_until_told(rows((2, 100.0), (3, 200.0)), {0: rows((2, 110.0)), 1: []}, {})
    assert (told.missed, told.behind, told.last_ms) == (3, 2, 10.0)


def test_a_restarted_balancer_counts_from_its_start_and_may_be_told_an_older_version() -> None:
    told = time_until_told(rows((5, 100.0)), {0: rows((4, 0.0), (3, 320.0), (5, 330.0))}, {0: [300.0]})
    assert (told.missed, told.older, told.last_ms) == (0, 0, 30.0)


def test_an_older_version_after_a_newer_one_is_counted() -> None:
    assert time_until_told([], {0: rows((4, 0.0), (3, 1.0), (5, 2.0))}, {}).older == 1


def test_a_change_made_while_the_source_is_out_counts_from_its_return() -> None:
    told = time_until_told(rows((2, 150.0)), {0: rows((2, 400.0))}, {}, [Span(100.0, 300.0)])
    assert told.last_ms == 100.0


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
    began, seen = clock.now(), [clock.now()]
    for late in (0.0, 400.0, 0.0, 30.0):
        at += TURN_MS + late
        seen.append(clock.now())
        clock.turn()
        seen.append(clock.now())
    assert seen == sorted(seen), "it never goes back"
    assert clock.lost == 400.0 + TURN_MS - STEP_MOST
    assert clock.now() - began == at - 1_000.0 - clock.lost


@pytest.mark.anyio
async def test_a_limit_and_a_sleep_of_the_shared_clock_wait_for_what_was_lost() -> None:
    clock = SharedClock()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(clock.run)
        began = clock.now()
        tasks.start_soon(anyio.sleep, 0)
        await anyio.sleep(0)
        time.sleep(0.3)  # the loop stands still, as in a process with too many balancers
        await clock.sleep(50.0)
        assert clock.now() >= began + 50.0
        with clock.limit(20.0) as scope:
            await anyio.sleep_forever()
        assert scope.cancelled_caught and clock.now() >= began + 70.0
        assert clock.true_now() - clock.now() == pytest.approx(clock.lost, abs=STEP_MOST)
        assert clock.lost >= 100.0
        tasks.cancel_scope.cancel()


# What is drawn


@given(st.sampled_from(sorted(DIRECT)), st.integers(0, 1_000), st.integers(20, 200))
def test_changes_come_in_order_and_never_take_out_more_than_a_tenth(
    name: str, seed: int, servers: int
) -> None:
    names = [f"s{number}" for number in range(servers)]
    made = changes(story(name), names, seed, 0.0)
    assert made == changes(story(name), names, seed, 0.0)
    assert all(before.at <= after.at for before, after in pairwise(made))
    out: set[str] = set()
    for change in made:
        out = out | {change.ident} if change.state == "leaving" else out - {change.ident}
        assert len(out) <= servers / 10 + 1


def test_clients_and_kills_are_the_same_each_time_and_differ_by_balancer() -> None:
    crowd = Crowd(rate=1.0)
    first, again, other = (list(islice(arrivals(crowd, 1, me), 20)) for me in (0, 0, 1))
    assert first == again != other
    assert third(90, 1) == third(90, 1) and len(set(third(90, 1))) == 30


# The list service


@pytest.mark.anyio
async def test_the_lean_list_service_answers_as_the_other_stand_in() -> None:
    calls = [
        "/v1/servers",
        "/v1/servers?index=1&wait=0",
        "/v1/servers?index=2&wait=30",
        "/v1/servers?index=9&wait=0",
    ]
    async with anyio.create_task_group() as tasks:
        clock = Clock()
        other = Discovery(clock, Trace(clock.now), tasks)
        lean = ListService()
        for registry in (other.registry, lean.registry):
            registry.put("a", addr="127.0.0.1:1")
            registry.put("b", addr="127.0.0.1:2", state="leaving")
        other.set_mode("sound")
        addresses = await lean.open(["all"])
        for call in calls:
            assert await asked(addresses["all"], call) == await asked(other.address, call)
        lean.close()
        tasks.cancel_scope.cancel()
    assert lean.counts["all"].calls == len(calls) == lean.calls_by_second.total()


@pytest.mark.anyio
async def test_a_watch_is_answered_when_there_is_news_and_one_call_at_a_time() -> None:
    lean = ListService(service_ms=1.0)
    lean.put("a", addr="127.0.0.1:1")
    addresses = await lean.open(["all"])
    answers: Counter[bytes] = Counter()

    async def watch() -> None:
        answers[await asked(addresses["all"], "/v1/servers?index=1&wait=60000")] += 1

    async with anyio.create_task_group() as tasks:
        for _ in range(20):
            tasks.start_soon(watch)
        while lean.counts["all"].calls < 20:
            await anyio.sleep(0.001)
        assert not answers
        lean.put("b", addr="127.0.0.1:2")
    assert answers.total() == 20 and len(answers) == 1
    assert lean.max_queue_length == 20, "all waited for their turn"
    lean.close()


async def asked(address: str, path: str) -> bytes:
    port = int(address.rpartition(":")[2])
    async with await anyio.connect_tcp(HOST, port) as stream:
        await stream.send(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        answer = b""
        while True:
            try:
                answer += await stream.receive()
            except anyio.EndOfStream:
                return answer
