"""Decisions of a relay, without sockets: change log, age, coalescing, admission and answers."""

from __future__ import annotations

import json
import math
from collections.abc import Hashable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from puffinford.relay.admission import Admission, AdmissionResult
from puffinford.relay.changes import ChangeLog, LogLimits
from puffinford.relay.coalescing import CoalescingWindow
from puffinford.relay.core import CONFIRMATION_MARGIN_MS, ListRelay, RelayParameters, Response
from puffinford.relay.entries import RawEntry, RawList, decode
from puffinford.relay.staleness import Staleness
from puffinford.relay.wire import MAX_WAIT_MS, UNAVAILABLE, BadCall, Call, parse_call
from puffinford.server_list.watch import CallFailed, ListCall, ReceivedAnswer

SOURCE_ADDRESS = ("127.0.0.1", 1)
AMPLE_LIMITS = LogLimits(10_000, 1 << 20)


def entry(server_id: str, state: str = "active", **more: object) -> RawEntry:
    return RawEntry(server_id, state, json.dumps({"id": server_id, "state": state, **more}).encode())


def body_of(response: Response | None) -> dict[str, Any]:
    assert response is not None and response.data.startswith(b"HTTP/1.1 200 ")
    return dict(json.loads(response.data.partition(b"\r\n\r\n")[2]))


def states(answer: dict[str, Any]) -> dict[str, str]:
    return {server["id"]: server["state"] for server in answer["servers"]}


# The log

change_steps = st.lists(
    st.lists(
        st.tuples(st.sampled_from("abcdef"), st.sampled_from(["active", "leaving", "left"])), max_size=4
    ),
    max_size=30,
)


@given(change_steps, st.integers(1, 12), st.booleans())
def test_what_follows_the_log_from_any_version_holds_the_list(
    steps: Any, max_entries: int, as_full_lists: bool
) -> None:
    """Covers short logs, and sources that send each change as a full list."""
    log = ChangeLog(LogLimits(max_entries, 1 << 20))
    expected: dict[str, str] = {}
    followers: dict[int, dict[str, str]] = {}  # the list of a caller at each version
    log.apply(RawList(0, True, []))
    for version, changes in enumerate(steps, 1):
        followers[version - 1] = dict(expected)
        latest = dict(changes)
        expected.update(latest)
        full_list = [entry(server_id, state) for server_id, state in expected.items() if state != "left"]
        expected = {listed.id: listed.state for listed in full_list}
        changes_only = [entry(server_id, state) for server_id, state in latest.items()]
        log.apply(RawList(version, as_full_lists, full_list if as_full_lists else changes_only))
        assert log.log_entries <= max_entries
        for index, held in followers.items():
            changed = log.changes_since(index)
            if changed is None:
                held = {}
                changed = log.snapshot()
            held = held | {listed["id"]: listed["state"] for listed in map(json.loads, changed)}
            assert {server_id: state for server_id, state in held.items() if state != "left"} == expected


@given(
    st.lists(st.tuples(st.sampled_from("abcdefgh"), st.integers(0, 200)), max_size=60), st.integers(20, 600)
)
def test_the_log_keeps_within_its_bytes_and_counts_them_right(
    changes: list[tuple[str, int]], size: int
) -> None:
    log = ChangeLog(LogLimits(1_000, size))
    log.apply(RawList(0, True, []))
    for version, (server_id, length) in enumerate(changes, 1):
        log.apply(RawList(version, False, [entry(server_id, kind="x" * length)]))
        assert log.log_bytes <= size
        assert log.log_bytes == sum(len(change.data) for change in log._log.values())
        all_logged = log.changes_since(log.min_resumable_version)
        assert all_logged is not None and len(all_logged) == log.log_entries


def test_a_source_that_was_set_back_and_an_empty_list_are_sent_as_full_lists() -> None:
    log = ChangeLog(AMPLE_LIMITS)
    log.apply(RawList(10, True, [entry("a"), entry("b")]))
    assert log.changes_since(10) == [] and log.changes_since(9) is None and log.changes_since(11) is None
    log.apply(RawList(4, True, [entry("a")]))
    assert log.changes_since(3) is None and log.changes_since(10) is None and len(log.snapshot()) == 1
    log.apply(RawList(5, True, []))
    assert log.changes_since(4) is None and log.snapshot() == []


# Age


@given(
    st.lists(
        st.tuples(st.floats(0, 900), st.sampled_from([0.0, 500.0]), st.floats(0, 3_000), st.booleans()),
        max_size=20,
    ),
    st.floats(0, 4_000),
)
def test_a_list_is_never_taken_for_younger_than_the_calls_show(
    calls: list[tuple[float, float, float, bool]], later: float
) -> None:
    """The source should write an answer without changes at the end of the wait, but may write it earlier."""
    staleness = Staleness(2_000.0)
    assert staleness.age(0.0) == math.inf and not staleness.is_fresh(0.0)
    now, last_written_at = 0.0, -math.inf
    for pause, wait, duration, unchanged in calls:
        sent_at = now + pause
        now = sent_at + duration  # received; the source may have written it earlier
        last_written_at = max(
            last_written_at, sent_at + wait if unchanged and now >= sent_at + wait else sent_at
        )
        staleness.confirm(sent_at, wait, now, unchanged)
        assert staleness.confirmed_at == last_written_at <= now
    assert staleness.is_fresh(now + later) == (now + later - last_written_at <= 2_000.0)


# Coalescing


@given(st.lists(st.floats(0, 80), min_size=1, max_size=200))
def test_updates_are_sent_in_time_and_a_burst_in_few_answers(gaps: list[float]) -> None:
    window = CoalescingWindow(100.0)
    now, first_at, sent = 0.0, None, 0
    for gap in gaps:
        now += gap
        if window.close_if_due(now):
            assert first_at is not None and now >= first_at + 100.0
            first_at, sent = None, sent + 1
        if first_at is not None:
            assert now < first_at + 100.0, "later updates do not delay one whose window is over"
        window.add_update(now)
        first_at = now if first_at is None else first_at
    assert sent <= sum(gaps) / 100.0 and window.is_open
    assert window.close_if_due(now + 100.0) and not window.is_open and not window.close_if_due(now + 1e6)


# Admission


@given(st.lists(st.tuples(st.sampled_from(["ask", "done", "wait"]), st.integers(1, 70)), max_size=80))
def test_admission_keeps_its_byte_limit_its_order_and_its_timeout(steps: list[tuple[str, int]]) -> None:
    admission = Admission(100, 5, 800.0)
    now, last_caller = 0.0, 0
    in_flight: dict[Hashable, int] = {}
    queued: list[tuple[Hashable, int, float]] = []
    for what, number in steps:
        if what == "ask":
            last_caller += 1
            result = admission.request(last_caller, number, now)
            assert (result is AdmissionResult.REJECTED) == (len(queued) == 5)
            if result is AdmissionResult.ADMITTED:
                in_flight[last_caller] = number
            elif result is AdmissionResult.QUEUED:
                queued.append((last_caller, number, now + 800.0))
        elif what == "done" and in_flight:
            caller = list(in_flight)[number % len(in_flight)]
            admission.release(caller)
            del in_flight[caller]
        else:
            now += 10.0 * number
            expired = admission.remove_expired(now)
            assert expired == [caller for caller, _, deadline in queued if deadline <= now]
            queued = queued[len(expired) :]
        for admitted in admission.admit_queued():
            first, size, _ = queued.pop(0)
            assert admitted == first
            in_flight[first] = size
        assert admission.bytes_in_flight == sum(in_flight.values()) and admission.queue_length == len(queued)
        assert admission.bytes_in_flight <= 100 or len(in_flight) == 1
        assert not queued or admission.bytes_in_flight + queued[0][1] > 100, "an answer that fits is queued"


# Parsing of calls


@pytest.mark.parametrize(
    ("line", "read"),
    [
        ("GET /v1/servers HTTP/1.1", Call()),
        ("GET /v1/servers?index=41&wait=20000 HTTP/1.1", Call(41, 20_000.0)),
        ("GET /v1/servers?wait=5&index=-1 HTTP/1.1", Call(-1, 5.0)),
        ("GET /v1/servers?index=0 HTTP/1.0", Call(0, 0.0)),
        ("GET /v1/servers?index=1&wait=99999999 HTTP/1.1", Call(1, float(MAX_WAIT_MS))),
        ("GET /v1/servers?index=x HTTP/1.1", 400),
        ("GET /v1/servers?index=1&wait=-5 HTTP/1.1", 400),
        ("GET /v1/servers?index=" + "9" * 40 + " HTTP/1.1", 400),
        ("GET /v1/clients HTTP/1.1", 404),
        ("POST /v1/servers HTTP/1.1", 405),
        ("\x00\xff\x17", 400),
        ("GET /v1/servers HTTP/2", 400),
    ],
)
def test_calls_are_read_strictly(line: str, read: Call | int) -> None:
    head = line.encode("latin-1") + b"\r\nHost: here\r\n\r\n"
    if isinstance(read, Call):
        assert parse_call(head) == read
        return
    with pytest.raises(BadCall, match=str(read)):
        parse_call(head)


@given(st.binary(max_size=300))
def test_no_bytes_do_more_than_be_refused(head: bytes) -> None:
    try:
        parse_call(b"GET /v1/servers" + head)
    except BadCall as exc:
        assert exc.response.startswith(b"HTTP/1.1 40")


@pytest.mark.parametrize(
    "body",
    [b"", b"not a list", b"[]", b'{"version":1,"full":true}', b'{"version":1.5,"full":true,"servers":[]}',
     b'{"version":true,"full":true,"servers":[]}', b'{"version":1,"full":1,"servers":[]}',
     b'{"version":1,"full":true,"servers":[{"id":"a"}'],
)  # fmt: skip
def test_half_a_list_is_none(body: bytes) -> None:
    with pytest.raises(CallFailed, match="not a list"):
        decode(body, pytest.fail)


def test_entries_are_kept_as_they_came_and_bad_ones_are_left_out_by_themselves() -> None:
    rejected: list[str] = []
    fields = {"id": "a", "addr": "10.0.0.1:1", "state": "resting", "colour": "blue"}
    body = json.dumps({"version": 3, "full": True, "servers": [fields, 5, {"id": ""}, {"id": "b"}]}).encode()
    (first, second) = decode(body, rejected.append).entries
    assert json.loads(first.data) == fields and second.state == "active" and len(rejected) == 2


# The relay


class RelayHarness:
    """A relay whose upstream answers are passed in by the test; times are in ms."""

    def __init__(self, **parameters: Any) -> None:
        self.relay = ListRelay(RelayParameters(**parameters))
        self.now = 10_000.0
        self.index: int | None = None
        self.note = ""

    def receive(self, version: int, *entries: RawEntry, full: bool = False, wait: float = 0.0) -> None:
        """Pass in an answer to a call that waited `wait` ms."""
        list_call = ListCall(SOURCE_ADDRESS, self.index, wait, self.now)
        self.now += wait
        received = ReceivedAnswer(RawList(version, full, list(entries)), list_call, self.now)
        self.index, self.note = self.relay.handle_answer(received, self.now)

    def call(self, caller: str, index: int | None = None, wait: float = 0.0) -> Response | None:
        return self.relay.handle_call(caller, Call(index, wait), self.now)

    def take_due(self, after: float = 0.0) -> dict[str, Response]:
        """All responses due `after` ms later, by caller."""
        self.now += after
        written: dict[str, Response] = {}
        while responses := self.relay.take_due(self.now, 7):
            for response in responses:
                assert isinstance(response.caller, str) and response.caller not in written
                written[response.caller] = response
                self.relay.caller_disconnected(response.caller)
        return written


def test_the_same_protocol_downstream() -> None:
    harness = RelayHarness()
    assert harness.call("early") == Response("early", UNAVAILABLE), "no list received yet"
    harness.receive(41, entry("a", colour="blue"), entry("b"), full=True)
    full_list = body_of(harness.call("c"))
    assert (full_list["version"], full_list["full"]) == (41, True) and full_list["servers"][0][
        "colour"
    ] == "blue"
    assert body_of(harness.call("c", 41)) == {"version": 41, "full": False, "servers": []}
    assert harness.call("w", 41, 700.0) is None and not harness.take_due(699.0)
    assert body_of(harness.take_due(1.0)["w"]) == {"version": 41, "full": False, "servers": []}
    for name in "xyz":
        assert harness.call(name, 41, 1_000.0) is None
    harness.relay.caller_disconnected("z")
    harness.receive(43, entry("a", "leaving"))
    assert not harness.take_due(99.0)
    written = harness.take_due(1.0)
    assert set(written) == {"x", "y"} and written["x"].data is written["y"].data, "encoded once"
    assert states(body_of(written["x"])) == {"a": "leaving"} and body_of(written["x"])["version"] == 43
    assert body_of(harness.call("c", 40))["full"], "the log does not reach back to version 40"


def test_a_burst_of_three_hundred_changes_is_a_few_answers_a_watcher() -> None:
    harness = RelayHarness(max_age=1e9)
    harness.receive(0, *(entry(f"s-{number}") for number in range(300)), full=True)
    index, answers, seen = 0, 0, {}
    harness.call("w", index, 1_500.0)
    for number in range(300):
        harness.receive(number + 1, entry(f"s-{number}", "leaving"))
        for response in harness.take_due(1.0).values():
            answer = body_of(response)
            index, answers = answer["version"], answers + 1
            seen.update(states(answer))
            assert harness.call("w", index, 1_500.0) is None, (
                "later changes are coalesced for this call as well"
            )
    for response in harness.take_due(100.0).values():
        seen.update(states(body_of(response)))
    assert len(seen) == 300 and 2 <= answers <= 3


@pytest.mark.parametrize("suspended_ms", [4_000.0, 60_000.0])
def test_a_suspended_relay_answers_nothing_from_its_old_list(suspended_ms: float) -> None:
    harness = RelayHarness()
    harness.receive(1, entry("a"), full=True)
    for number in range(20):
        harness.call(f"w{number}", 1, 60_000.0)
    assert not harness.take_due(2_000.0)
    harness.now += suspended_ms
    assert harness.call("c", 1) == Response("c", UNAVAILABLE) == harness.call("c")
    # An answer received before the suspension and read after it confirms the list only as of the call.
    list_call = ListCall(SOURCE_ADDRESS, 1, 500.0, 10_000.0)
    harness.relay.handle_answer(ReceivedAnswer(RawList(1, False, []), list_call, harness.now), harness.now)
    assert harness.call("c", 1) == Response("c", UNAVAILABLE)
    written = harness.take_due()
    assert len(written) == 20 and all(response.data is UNAVAILABLE for response in written.values())
    assert harness.relay.watchers == 0
    harness.receive(1)
    assert body_of(harness.call("c", 1))["version"] == 1


def test_a_watch_without_changes_confirms_the_list_as_of_its_end() -> None:
    harness = RelayHarness()
    harness.receive(1, entry("a"), full=True)
    for _ in range(8):
        harness.receive(1, wait=500.0)
    assert harness.relay.staleness.age(harness.now) == 0.0
    harness.now += 2_000.0
    assert body_of(harness.call("c", 1)) and harness.take_due() == {}
    harness.now += 1.0
    assert harness.call("c", 1) == Response("c", UNAVAILABLE)


def test_a_caller_with_a_newer_list_waits_until_the_relay_knows_better() -> None:
    """A lagging relay sends such a caller the changes, never its own older list."""
    harness = RelayHarness()
    harness.receive(5, entry("a"), full=True)
    assert harness.call("w", 7, 1_500.0) is None and harness.call("c", 7) is None
    assert not harness.take_due(200.0)
    harness.receive(7, entry("a", "leaving"))
    harness.call("late", 9)
    assert body_of(harness.take_due(100.0)["c"]) == {"version": 7, "full": False, "servers": []}
    assert harness.relay.watchers == 2, "the watch keeps waiting at its version"
    # The source is silent, so the relay cannot tell which list is current and refuses.
    confirmation_timeout = 1.5 * 500.0 + CONFIRMATION_MARGIN_MS
    assert harness.take_due(confirmation_timeout) == {"late": Response("late", UNAVAILABLE)}


def test_a_source_that_was_set_back_is_sent_as_a_full_list_once_confirmed() -> None:
    harness = RelayHarness()
    harness.receive(9, entry("a"), entry("b"), full=True)
    harness.call("w", 9, 1_500.0)
    harness.receive(3, entry("a"), full=True)
    assert harness.note == "version 3 after 9" and harness.index is None
    unconfirmed = body_of(harness.take_due(100.0)["w"])
    assert (unconfirmed["version"], states(unconfirmed)) == (9, {"b": "left"}), (
        "drains and removals are sent even from a suspect answer"
    )
    assert states(body_of(harness.call("c", 9))) == {"b": "left"}, (
        "they are sent to every caller until the next trusted answer"
    )
    harness.call("w", 9, 1_500.0)
    harness.receive(3, entry("a"), full=True)
    assert not harness.note and not harness.take_due(100.0), (
        "the source was not called after this call arrived"
    )
    harness.receive(3, wait=500.0)
    answer = body_of(harness.take_due()["w"])
    assert (answer["version"], answer["full"], states(answer)) == (3, True, {"a": "active"})


def test_a_flapping_source_leaves_the_last_list_in_force() -> None:
    harness = RelayHarness()
    harness.receive(9, entry("a"), full=True)
    harness.receive(3, entry("b"), full=True)
    harness.receive(9, entry("a"), full=True)
    assert states(body_of(harness.call("c"))) == {"a": "active"}
    harness.receive(9, entry("a", "leaving"), entry("a"), full=True)
    assert states(body_of(harness.call("c"))) == {"a": "leaving"}, (
        "the worse state of a duplicate entry counts"
    )


def test_through_two_tiers_a_confirmation_counts_for_less() -> None:
    harness = RelayHarness(max_age=1_000.0, upstream_age=1_000.0, wait=200.0)
    harness.receive(5, entry("a"), full=True)
    assert harness.call("c", 7, 1_500.0) is None
    for _ in range(5):
        harness.receive(5, wait=200.0)
        assert not harness.take_due(), "the upstream list may be 1,000 ms old"
    harness.receive(5, wait=200.0)
    assert body_of(harness.take_due()["c"])["full"]


def test_many_full_list_calls_at_once_are_admitted_in_turn_or_refused_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("puffinford.relay.core.MAX_IN_FLIGHT_BYTES", 300_000)
    harness = RelayHarness()
    harness.receive(1, *(entry(f"s-{number:04}", kind="x" * 50) for number in range(1_000)), full=True)
    immediate = [harness.call(f"c{number}") for number in range(50)]
    written = [response for response in immediate if response is not None]
    assert 1 <= len(written) <= 4 and harness.relay.buffered_bytes <= 600_000
    for response in written:
        harness.relay.caller_disconnected(response.caller)
    later = harness.relay.take_due(harness.now, 100)
    assert len(later) == len(written), "each finished answer admits one queued answer"
    refused = harness.take_due(801.0)
    assert len(refused) == 50 - 2 * len(written) and all(r.data is UNAVAILABLE for r in refused.values())
    for response in later:
        harness.relay.caller_disconnected(response.caller)
    harness.relay.cache.clear()
    assert harness.relay.buffered_bytes == harness.relay.watchers == 0, "all buffers are released"
