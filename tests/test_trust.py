"""Trust in stored lists and health by their age, and validation of the answers of discovery."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from puffinford.core.values import ServerEntries, ServerEntry
from puffinford.interface import Health, Server, ServerState
from puffinford.state import trust
from puffinford.state.records import HealthRecord, ServerRecord, StoreContents
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


def server_list(version: int, full: bool = True, **states: ServerState) -> ServerEntries:
    entries = [ServerEntry(Server(ident, state=state), "127.0.0.1", 1) for ident, state in states.items()]
    return ServerEntries(version, full, entries)


def stored_list(version: int, age_ms: float, lost: int = 0, **states: str) -> StoreContents:
    servers = {
        ident: (ServerRecord(ident, "127.0.0.1", 2, "lines", state, version), NOW - age_ms)
        for ident, state in states.items()
    }
    listed_count = sum(state != "left" for state in states.values())
    return StoreContents(version, NOW - age_ms, listed_count + lost, servers)


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
    start = build_start_state(stored_list(5, -2 * HOUR, a="active"), None, NOW, 0.0, TRUST_SETTINGS, 0.0)
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
        "confirmed in the future"
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
    entry = ServerEntry(Server("a", "z", "k", 3, DRAINING, 2.0, float(started)), "::1", 8, "channels")
    again = to_server_entry(to_server_record(entry, 4, offset), offset, float("inf"))
    assert (
        again is not None
        and again.server.state is DRAINING
        and (again.host, again.front) == ("::1", "channels")
    )


def test_the_newer_side_counts_entry_by_entry_and_nothing_gone_comes_back() -> None:
    stored = stored_list(7, 20_000.0, a="active", b="leaving", c="left")
    older = server_list(6, a=LIVE, b=LIVE, c=LIVE, d=LIVE)
    start = build_start_state(stored, older, NOW, 0.0, TRUST_SETTINGS, 0.0)
    states = {item.server.id: item.server.state for item in start.restored.entries.entries}
    assert states == {"a": LIVE, "b": DRAINING} and start.restored.unverified == {"a"}
    assert (start.source, start.version) == ("store", 7)
    newer = build_start_state(stored, server_list(8, a=DRAINING, c=LIVE), NOW, 0.0, TRUST_SETTINGS, 0.0)
    states = {item.server.id: item.server.state for item in newer.restored.entries.entries}
    assert states == {"a": DRAINING, "c": LIVE} and (newer.source, newer.version) == ("known", 8)


def test_a_list_of_seconds_ago_needs_no_verification() -> None:
    """A list this recent must not limit attempts: short timeouts fail at servers busy after a restart."""
    young = build_start_state(stored_list(7, 9_000.0, a="active"), None, NOW, 0.0, TRUST_SETTINGS, 0.0)
    older = build_start_state(stored_list(7, 11_000.0, a="active"), None, NOW, 0.0, TRUST_SETTINGS, 0.0)
    assert not young.restored.unverified and older.restored.unverified == {"a"}


def test_a_store_that_lost_an_entry_requests_a_full_list() -> None:
    assert (
        build_start_state(stored_list(7, 0.0, a="active"), None, NOW, 0.0, TRUST_SETTINGS, 0.0).version == 7
    )
    assert (
        build_start_state(
            stored_list(7, 0.0, lost=1, a="active"), None, NOW, 0.0, TRUST_SETTINGS, 0.0
        ).version
        is None
    )
    assert build_start_state(None, None, NOW, 0.0, TRUST_SETTINGS, 0.0).source == "nothing"


def test_an_older_answer_removes_servers_at_once_and_is_accepted_when_repeated() -> None:
    validator = ListValidator(9, server_list(9, a=LIVE, b=LIVE, c=LIVE).entries)
    first = validator.validate(server_list(2, a=LIVE, b=DRAINING, x=LIVE))
    assert first.version is None and first.entries is not None and not first.entries.full
    assert {item.server.id: item.server.state for item in first.entries.entries} == {"b": DRAINING, "c": GONE}
    second = validator.validate(server_list(2, a=LIVE, b=DRAINING, x=LIVE))
    assert second.version == 2 and second.entries is not None and len(second.entries.entries) == 3
    assert validator.validate(server_list(3, False, x=DRAINING)).version == 3


def test_changes_that_cannot_be_applied_request_a_full_list() -> None:
    validator = ListValidator(9, server_list(9, a=LIVE).entries)
    suspect = validator.validate(server_list(4, False, a=LIVE))
    assert (suspect.entries, suspect.version, validator.version) == (None, None, None)
    assert validator.validate(server_list(10, a=LIVE)).version == 10 and validator.version == 10
    validator.reset_version()
    assert validator.validate(server_list(1, False, a=LIVE)).entries is None, (
        "changes relative to another list"
    )
    assert validator.validate(server_list(1, a=LIVE)).version == 1


def test_an_answer_that_contradicts_itself_counts_with_the_more_severe_state() -> None:
    entries = server_list(1, a=DRAINING).entries + server_list(1, a=LIVE, b=LIVE).entries
    taken = ListValidator().validate(ServerEntries(1, True, entries)).entries
    assert taken is not None
    assert {item.server.id: item.server.state for item in taken.entries} == {"a": DRAINING, "b": LIVE}


def test_a_list_that_shares_nothing_with_the_stored_one_replaces_it() -> None:
    validator = ListValidator(3, server_list(3, a=LIVE).entries)
    taken = validator.validate(server_list(4, x=LIVE, y=LIVE))
    assert taken.entries is not None and taken.entries.full and taken.version == 4
