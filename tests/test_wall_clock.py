"""A wall clock that is stepped under a real process, while the monotonic clock runs on."""

from __future__ import annotations

import re
from pathlib import Path

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from puffinford.core.clock import SettableClock
from puffinford.core.start_times import SAME_START_TOLERANCE_MS, StartTimes
from puffinford.server_list.entries import parse_server_list
from puffinford.state.records import ServerRecord
from puffinford.state.recovery import to_machine
from tests.processes import site, unix_ms

HOUR = 3_600.0
BUDGET = 8  # what a cold server may get in a second: 1.7 allowed at its start, with 3 x root + 3 for chance


@pytest.mark.anyio
async def test_entries_told_again_after_a_step_are_no_starts(tmp_path: Path) -> None:
    """Each entry was taken for a start in the future, and nobody was served until then."""
    async with site(tmp_path, count=3, started=40_000.0) as here:
        for step in (-HOUR, -30.0, HOUR, 30.0, 0.0):
            here.plan.apply(step)
            for ident in here.servers:
                await here.told(ident)
            assert await here.connect_many(20, f"{step}-") == {"UP": 20}, f"the clock is {step} s off"


@pytest.mark.anyio
async def test_a_start_told_after_a_step_is_seen_and_its_budget_binds(tmp_path: Path) -> None:
    """Whether the step reached the server's clock too or not, it is cold: 10 clients went there at once."""
    async with site(tmp_path, count=4, started=40_000.0) as here:
        starts = [(HOUR, 0.0), (30.0, 0.0), (-HOUR, -HOUR), (-5.0, 0.0)]
        for ident, (step, told) in zip(here.servers, starts, strict=True):
            here.plan.apply(step)
            await here.told(ident, started_ms=unix_ms() + told * 1_000.0)
            before = here.openings[ident]
            await here.connect_many(60, ident)
            assert here.openings[ident] - before <= BUDGET, f"{step} s here, {told} s there"


@pytest.mark.anyio
async def test_a_server_warms_up_by_the_monotonic_clock(tmp_path: Path) -> None:
    """One that started after the clock had gone back was cold until the clock had come there again."""
    rules = {"cold_from": 0.13, "ramp_time": 500.0, "fall": 1_000.0, "tip_multiple": 3.0}
    async with site(tmp_path, count=2, started=40_000.0, rules=rules) as here:
        here.plan.apply(-HOUR)
        await here.told("s-1", started_ms=unix_ms())
        with anyio.fail_after(10):
            while here.openings["s-1"] < 30:
                await here.connect_many(1, f"{sum(here.openings.values())}-")


@pytest.mark.anyio
@pytest.mark.parametrize("step", [HOUR, -HOUR])
async def test_a_step_between_two_processes_changes_no_age(step: float, tmp_path: Path) -> None:
    """After a step forward a server that had started 2 s ago took what a warm one takes, and a kept list
    of seconds ago counted as an hour old after either step.
    """
    async with site(tmp_path, count=4, started=40_000.0) as here:
        await here.told("s-2", started_ms=unix_ms())
        await here.wait_stored()
        await here.restart(step)
        await here.running.wait_for_log(b"event=discovery version")
        assert await here.connect_many(60) == {"UP": 60}, "the others are warm"
        assert here.openings["s-2"] <= BUDGET, "it is cold still"
        here.lists.set_mode("absent")
        await here.restart(0.0)
        found = re.search(rb"event=restored source=store .*age_s=([\d.]+)", here.running.log_read)
        assert found is not None and float(found[1]) < 10.0


class SteppedClock(SettableClock):
    """A settable clock beside a wall clock that a test steps."""

    ahead = 0.0

    def wall_ahead(self) -> float:
        return self.ahead


STEPS = st.sampled_from([0.0, -3.6e6, -30_000.0, -5_000.0, 30_000.0, 3.6e6])


@given(
    st.lists(st.tuples(STEPS, st.booleans(), st.sampled_from([1.0, 200.0, 60_000.0])), min_size=1, max_size=8)
)
def test_each_start_is_one_moment_and_later_ones_come_later(
    lives: list[tuple[float, bool, float]],
) -> None:
    """A server starts again and again, by a clock that follows the steps of ours or not."""
    clock = SteppedClock(start=1e9)
    starts = StartTimes(clock)
    moments: list[float] = []
    for step, follows, passed in lives:
        clock.advance(passed + SAME_START_TOLERANCE_MS)
        clock.ahead = step
        unix_ms = clock.now() + (step if follows else 0.0)
        moments.append(starts.local_time("s-1", unix_ms))
        assert clock.now() - SAME_START_TOLERANCE_MS <= moments[-1] <= clock.now(), (
            "told at once, it is young"
        )
        clock.ahead = -step
        assert starts.local_time("s-1", unix_ms) == moments[-1]
    if all(passed > SAME_START_TOLERANCE_MS for _, _, passed in lives):
        assert moments == sorted(moments)


@pytest.mark.parametrize("behind", [30_000.0, 3.6e6])
def test_a_process_that_begins_with_its_clock_behind_takes_ages_from_the_latest_start(behind: float) -> None:
    """Every server that started within the hour would be cold, however long ago that was."""
    clock = SteppedClock(start=1e9)
    true = 1e9 + behind
    ages = [40_000.0, 90_000.0, 2_000.0]
    told = {
        "version": 1,
        "full": True,
        "servers": [
            {"id": f"s-{n}", "addr": "127.0.0.1:1", "started_ms": true - age} for n, age in enumerate(ages)
        ],
    }
    machines = parse_server_list(told, StartTimes(clock), pytest.fail).entries
    younger = [clock.now() - machine.server.started for machine in machines]
    assert younger == [38_000.0, 88_000.0, 0.0]


def test_a_kept_start_is_never_in_the_future() -> None:
    """The wall clock went back between two processes: the server was cold for as long."""
    record = ServerRecord("s-1", "127.0.0.1", 1, "lines", "active", 1, "", "", 0, 1.0, 1e9 + 3.6e6)
    machine = to_machine(record, 0.0, 1e9)
    assert machine is not None and machine.server.started == 1e9
