"""What an old list and old knowledge are worth, and which word of discovery is taken."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from puffinford.core.values import ServerEntries, ServerEntry
from puffinford.interface import Health, Server, ServerState
from puffinford.state import trust
from puffinford.state.records import HealthRecord, ServerRecord, Stored
from puffinford.state.recovery import (
    ListValidator,
    build_start_state,
    to_health,
    to_health_record,
    to_server_entry,
    to_server_record,
)

LIVE, DRAINING, GONE = ServerState.LIVE, ServerState.DRAINING, ServerState.GONE
TRUST_SETTINGS = trust.TrustSettings()
NOW = 1_800_000_000_000.0
HOUR = 3_600_000.0
times = st.floats(0, 4 * 86_400_000.0)


def listed(version: int, full: bool = True, **states: ServerState) -> ServerEntries:
    machines = [ServerEntry(Server(ident, state=state), "127.0.0.1", 1) for ident, state in states.items()]
    return ServerEntries(version, full, machines)


def kept(version: int, old: float, lost: int = 0, **states: str) -> Stored:
    servers = {
        ident: (ServerRecord(ident, "127.0.0.1", 2, "lines", state, version), NOW - old)
        for ident, state in states.items()
    }
    there = sum(state != "left" for state in states.values())
    return Stored(version, NOW - old, there + lost, servers)


@given(times, times)
def test_trust_falls_with_age_and_so_do_its_terms(one: float, other: float) -> None:
    younger, older = sorted((one, other))
    assert (
        1.0 >= trust.trust_level(younger, TRUST_SETTINGS) >= trust.trust_level(older, TRUST_SETTINGS) >= 0.0
    )
    before, after = (
        trust.attempt_limits(younger, 40, TRUST_SETTINGS),
        trust.attempt_limits(older, 40, TRUST_SETTINGS),
    )
    assert before.attempt_timeout >= after.attempt_timeout >= TRUST_SETTINGS.old_list_attempt_timeout - 1e-9
    assert (before.max_attempts or 99) >= (after.max_attempts or 99) >= 1


def test_a_minute_an_hour_and_a_day() -> None:
    assert trust.attempt_limits(60_000.0, 10, TRUST_SETTINGS) == trust.AttemptLimits(0, 400.0)
    hour = trust.attempt_limits(HOUR, 10, TRUST_SETTINGS)
    assert hour.max_attempts == 2 and 200.0 < hour.attempt_timeout < 300.0
    assert trust.attempt_limits(24 * HOUR, 10, TRUST_SETTINGS).max_attempts == 1


def test_a_clock_that_was_set_back_makes_a_list_old_not_new() -> None:
    assert trust.age(NOW + 2_000.0, NOW) == 0.0
    assert trust.age(NOW + HOUR, NOW) == HOUR
    start = build_start_state(kept(5, -2 * HOUR, a="active"), None, NOW, 0.0, TRUST_SETTINGS, 0.0)
    assert (start.age, start.restored.max_attempts) == (HOUR, 2)


def test_what_was_learned_ends_with_its_own_time() -> None:
    slow = Health(
        "a",
        NOW,
        slow_until=NOW + 3_000.0,
        late_report_at=NOW,
        delay=400.0,
        capacity_estimate=5.0,
        capacity_estimated_at=NOW,
    )
    soon, later = (
        trust.discard_expired(slow, NOW + 2_000.0, TRUST_SETTINGS),
        trust.discard_expired(slow, NOW + 20_000.0, TRUST_SETTINGS),
    )
    assert soon is not None and soon.slow_until and soon.capacity_estimate == 5.0
    assert later is not None and not later.slow_until and later.capacity_estimate == 5.0
    assert trust.discard_expired(slow, NOW + 120_000.0, TRUST_SETTINGS) is None
    assert trust.discard_expired(Health("a", NOW + HOUR, failures=2), NOW, TRUST_SETTINGS) is None, (
        "of a time to come"
    )


@given(
    st.integers(0, 3),
    *[st.floats(1.0, 2e12).map(round) for _ in range(3)],
    st.none() | st.floats(0.0, 100.0),
    st.sampled_from([0.0, 5_000.0, -77.0]),
)
def test_records_bring_back_what_was_kept(
    failures: int, retry: float, slow: float, started: float, capacity_estimate: float | None, offset: float
) -> None:
    health = Health("a", 3e12, failures, retry, None, slow, 0.0, 7.0, capacity_estimate, 0.0, None)
    record = to_health_record(health, offset)
    back = to_health(record, 3e12 + offset, offset)
    assert (back.failures, back.capacity_estimate, back.observed_at) == (failures, capacity_estimate, 3e12)
    assert abs(back.retry_at - retry) < 100.0 and isinstance(record, HealthRecord)
    machine = ServerEntry(Server("a", "z", "k", 3, DRAINING, 2.0, float(started)), "::1", 8, "channels")
    again = to_server_entry(to_server_record(machine, 4, offset), offset, float("inf"))
    assert (
        again is not None
        and again.server.state is DRAINING
        and (again.host, again.front) == ("::1", "channels")
    )


def test_the_newer_side_counts_entry_by_entry_and_nothing_gone_comes_back() -> None:
    stored = kept(7, 20_000.0, a="active", b="leaving", c="left")
    older = listed(6, a=LIVE, b=LIVE, c=LIVE, d=LIVE)
    start = build_start_state(stored, older, NOW, 0.0, TRUST_SETTINGS, 0.0)
    states = {m.server.id: m.server.state for m in start.restored.entries.entries}
    assert states == {"a": LIVE, "b": DRAINING} and start.restored.unverified == {"a"}
    assert (start.source, start.version) == ("store", 7)
    newer = build_start_state(stored, listed(8, a=DRAINING, c=LIVE), NOW, 0.0, TRUST_SETTINGS, 0.0)
    states = {m.server.id: m.server.state for m in newer.restored.entries.entries}
    assert states == {"a": DRAINING, "c": LIVE} and (newer.source, newer.version) == ("known", 8)


def test_a_list_of_seconds_ago_is_used_as_if_told_now() -> None:
    """Short claims at servers busy with everybody's return were cut, and made again, for nothing."""
    young = build_start_state(kept(7, 9_000.0, a="active"), None, NOW, 0.0, TRUST_SETTINGS, 0.0)
    older = build_start_state(kept(7, 11_000.0, a="active"), None, NOW, 0.0, TRUST_SETTINGS, 0.0)
    assert not young.restored.unverified and older.restored.unverified == {"a"}


def test_a_store_that_lost_an_entry_asks_for_the_whole_list() -> None:
    assert build_start_state(kept(7, 0.0, a="active"), None, NOW, 0.0, TRUST_SETTINGS, 0.0).version == 7
    assert (
        build_start_state(kept(7, 0.0, lost=1, a="active"), None, NOW, 0.0, TRUST_SETTINGS, 0.0).version
        is None
    )
    assert build_start_state(None, None, NOW, 0.0, TRUST_SETTINGS, 0.0).source == "nothing"


def test_an_older_answer_brings_its_bad_news_at_once_and_the_rest_when_said_twice() -> None:
    guard = ListValidator(9, listed(9, a=LIVE, b=LIVE, c=LIVE).entries)
    first = guard.validate(listed(2, a=LIVE, b=DRAINING, x=LIVE))
    assert first.version is None and first.entries is not None and not first.entries.full
    assert {m.server.id: m.server.state for m in first.entries.entries} == {"b": DRAINING, "c": GONE}
    second = guard.validate(listed(2, a=LIVE, b=DRAINING, x=LIVE))
    assert second.version == 2 and second.entries is not None and len(second.entries.entries) == 3
    assert guard.validate(listed(3, False, x=DRAINING)).version == 3


def test_changes_that_cannot_be_placed_ask_for_the_whole_list() -> None:
    guard = ListValidator(9, listed(9, a=LIVE).entries)
    doubted = guard.validate(listed(4, False, a=LIVE))
    assert (doubted.entries, doubted.version, guard.version) == (None, None, None)
    assert guard.validate(listed(10, a=LIVE)).version == 10 and guard.version == 10
    guard.moved()
    assert guard.validate(listed(1, False, a=LIVE)).entries is None, "changes against another's list"
    assert guard.validate(listed(1, a=LIVE)).version == 1


def test_an_answer_at_odds_with_itself_is_told_the_worse() -> None:
    machines = listed(1, a=DRAINING).entries + listed(1, a=LIVE, b=LIVE).entries
    taken = ListValidator().validate(ServerEntries(1, True, machines)).entries
    assert taken is not None
    assert {m.server.id: m.server.state for m in taken.entries} == {"a": DRAINING, "b": LIVE}


def test_a_list_that_shares_nothing_with_the_stored_one_replaces_it() -> None:
    guard = ListValidator(3, listed(3, a=LIVE).entries)
    taken = guard.validate(listed(4, x=LIVE, y=LIVE))
    assert taken.entries is not None and taken.entries.full and taken.version == 4
