"""Steps of the wall clock under a running process."""

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
from puffinford.state.recovery import to_server_entry
from tests.processes import site, unix_ms

HOUR = 3_600.0
BUDGET = 8  # connections per second to a server at its start, with random variation


@pytest.mark.anyio
async def test_entries_listed_again_after_a_step_are_no_starts(tmp_path: Path) -> None:
    """Guards against taking every listed entry for a new start."""
    async with site(tmp_path, server_count=3, started_ago_ms=40_000.0) as here:
        for step in (-HOUR, -30.0, HOUR, 30.0, 0.0):
            here.plan.apply(step)
            for ident in here.servers:
                await here.update_entry(ident)
            assert await here.connect_many(20, f"{step}-") == {"UP": 20}, f"the clock is {step} s off"


@pytest.mark.anyio
async def test_a_start_listed_after_a_step_is_seen_and_its_budget_binds(tmp_path: Path) -> None:
    """The server is cold whether or not its own clock was stepped too."""
    async with site(tmp_path, server_count=4, started_ago_ms=40_000.0) as here:
        starts = [(HOUR, 0.0), (30.0, 0.0), (-HOUR, -HOUR), (-5.0, 0.0)]
        for ident, (step, server_step) in zip(here.servers, starts, strict=True):
            here.plan.apply(step)
            await here.update_entry(ident, started_ms=unix_ms() + server_step * 1_000.0)
            before = here.openings[ident]
            await here.connect_many(60, ident)
            assert here.openings[ident] - before <= BUDGET, f"{step} s here, {server_step} s there"


@pytest.mark.anyio
async def test_a_server_warms_up_by_the_monotonic_clock(tmp_path: Path) -> None:
    """Guards against a server that stays cold until a wall clock that was set back has caught up."""
    rules = {"cold_from": 0.13, "ramp_time": 500.0, "fall": 1_000.0, "tip_multiple": 3.0}
    async with site(tmp_path, server_count=2, started_ago_ms=40_000.0, rules=rules) as here:
        here.plan.apply(-HOUR)
        await here.update_entry("s-1", started_ms=unix_ms())
        with anyio.fail_after(10):
            while here.openings["s-1"] < 30:
                await here.connect_many(1, f"{sum(here.openings.values())}-")


@pytest.mark.anyio
@pytest.mark.parametrize("step", [HOUR, -HOUR])
async def test_a_step_between_two_processes_changes_no_age(step: float, tmp_path: Path) -> None:
    """Guards against ages of servers and of a stored list that change with the wall clock."""
    async with site(tmp_path, server_count=4, started_ago_ms=40_000.0) as here:
        await here.update_entry("s-2", started_ms=unix_ms())
        await here.wait_stored()
        await here.restart(step)
        await here.running.wait_for_log(b"event=discovery version")
        assert await here.connect_many(60) == {"UP": 60}, "the others are warm"
        assert here.openings["s-2"] <= BUDGET, "it is still cold"
        here.discovery.set_mode("absent")
        await here.restart(0.0)
        found = re.search(rb"event=restored source=store .*age_s=([\d.]+)", here.running.log_read)
        assert found is not None and float(found[1]) < 10.0


class SteppedClock(SettableClock):
    """A settable clock with a separate wall clock."""

    ahead = 0.0

    def wall_ahead(self) -> float:
        return self.ahead


STEPS = st.sampled_from([0.0, -3.6e6, -30_000.0, -5_000.0, 30_000.0, 3.6e6])


@given(
    st.lists(st.tuples(STEPS, st.booleans(), st.sampled_from([1.0, 200.0, 60_000.0])), min_size=1, max_size=8)
)
def test_each_start_is_one_moment_and_later_ones_come_later(
    starts_of_server: list[tuple[float, bool, float]],
) -> None:
    """A server restarts several times, and its clock may follow the steps of the local clock."""
    clock = SteppedClock(start=1e9)
    starts = StartTimes(clock)
    moments: list[float] = []
    for step, follows, passed in starts_of_server:
        clock.advance(passed + SAME_START_TOLERANCE_MS)
        clock.ahead = step
        unix_ms = clock.now() + (step if follows else 0.0)
        moments.append(starts.local_time("s-1", unix_ms))
        assert clock.now() - SAME_START_TOLERANCE_MS <= moments[-1] <= clock.now(), (
            "a start that is listed at once must be recent"
        )
        clock.ahead = -step
        assert starts.local_time("s-1", unix_ms) == moments[-1]
    if all(passed > SAME_START_TOLERANCE_MS for _, _, passed in starts_of_server):
        assert moments == sorted(moments)


@pytest.mark.parametrize("behind", [30_000.0, 3.6e6])
def test_a_process_that_begins_with_its_clock_behind_takes_ages_from_the_latest_start(behind: float) -> None:
    """Guards against taking servers for cold because the local clock is behind."""
    clock = SteppedClock(start=1e9)
    true = 1e9 + behind
    ages = [40_000.0, 90_000.0, 2_000.0]
    answer = {
        "version": 1,
        "full": True,
        "servers": [
            {"id": f"s-{n}", "addr": "127.0.0.1:1", "started_ms": true - age} for n, age in enumerate(ages)
        ],
    }
    entries = parse_server_list(answer, StartTimes(clock), pytest.fail).entries
    ages_by_clock = [clock.now() - entry.server.started for entry in entries]
    assert ages_by_clock == [38_000.0, 88_000.0, 0.0]


def test_a_kept_start_is_never_in_the_future() -> None:
    """Guards against a stored start in the future after the wall clock was set back."""
    record = ServerRecord("s-1", "127.0.0.1", 1, "lines", "active", 1, "", "", 0, 1.0, 1e9 + 3.6e6)
    entry = to_server_entry(record, 0.0, 1e9)
    assert entry is not None and entry.server.started == 1e9
