"""A relay's decisions, without sockets: log, age, coalescing, turns, what each call is answered and when."""

from __future__ import annotations

import json
import math
from collections.abc import Hashable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from puffinford.relay.admission import Admission, Turn
from puffinford.relay.changes import ChangeLog, LogLimits
from puffinford.relay.coalescing import CoalescingWindow
from puffinford.relay.core import BEHIND_SPARE, ListRelay, RelayFigures, Response
from puffinford.relay.entries import RawEntry, RawList, decode
from puffinford.relay.staleness import Staleness
from puffinford.relay.wire import UNAVAILABLE, WAIT_MOST, BadCall, Call, read_call
from puffinford.server_list.watch import CallFailed, ListCall, ReceivedAnswer

SOURCE = ("127.0.0.1", 1)
WIDE = LogLimits(10_000, 1 << 20)


def entry(ident: str, state: str = "active", **more: object) -> RawEntry:
    return RawEntry(ident, state, json.dumps({"id": ident, "state": state, **more}).encode())


def told(response: Response | None) -> dict[str, Any]:
    assert response is not None and response.data.startswith(b"HTTP/1.1 200 ")
    return dict(json.loads(response.data.partition(b"\r\n\r\n")[2]))


def states(answer: dict[str, Any]) -> dict[str, str]:
    return {server["id"]: server["state"] for server in answer["servers"]}


# The log

Steps = st.lists(
    st.lists(
        st.tuples(st.sampled_from("abcdef"), st.sampled_from(["active", "leaving", "left"])), max_size=4
    ),
    max_size=30,
)


@given(Steps, st.integers(1, 12), st.booleans())
def test_what_follows_the_log_from_any_version_holds_the_list(
    steps: Any, most: int, as_whole_lists: bool
) -> None:
    """Also where the log is short, and where the source tells each change as a whole list."""
    log = ChangeLog(LogLimits(most, 1 << 20))
    truth: dict[str, str] = {}
    followers: dict[int, dict[str, str]] = {}  # what a caller at that version holds
    log.take(RawList(0, True, []))
    for version, changes in enumerate(steps, 1):
        followers[version - 1] = dict(truth)
        latest = dict(changes)
        truth.update(latest)
        whole = [entry(ident, state) for ident, state in truth.items() if state != "left"]
        truth = {one.id: one.state for one in whole}
        news = [entry(ident, state) for ident, state in latest.items()]
        log.take(RawList(version, as_whole_lists, whole if as_whole_lists else news))
        assert log.logged <= most
        for index, held in followers.items():
            changed = log.since(index)
            if changed is None:
                held = {}
                changed = log.whole()
            held = held | {one["id"]: one["state"] for one in map(json.loads, changed)}
            assert {ident: state for ident, state in held.items() if state != "left"} == truth


@given(
    st.lists(st.tuples(st.sampled_from("abcdefgh"), st.integers(0, 200)), max_size=60), st.integers(20, 600)
)
def test_the_log_keeps_within_its_bytes_and_counts_them_right(
    changes: list[tuple[str, int]], size: int
) -> None:
    log = ChangeLog(LogLimits(1_000, size))
    log.take(RawList(0, True, []))
    for version, (ident, length) in enumerate(changes, 1):
        log.take(RawList(version, False, [entry(ident, kind="x" * length)]))
        assert log.log_size <= size
        assert log.log_size == sum(len(change.data) for change in log._log.values())
        whole_reach = log.since(log.floor)
        assert whole_reach is not None and len(whole_reach) == log.logged


def test_a_source_that_went_back_and_an_empty_list_are_told_as_whole_lists() -> None:
    log = ChangeLog(WIDE)
    log.take(RawList(10, True, [entry("a"), entry("b")]))
    assert log.since(10) == [] and log.since(9) is None and log.since(11) is None
    log.take(RawList(4, True, [entry("a")]))
    assert log.since(3) is None and log.since(10) is None and len(log.whole()) == 1
    log.take(RawList(5, True, []))
    assert log.since(4) is None and log.whole() == []


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
    """The source writes an answer without news once the wait is over, if it keeps to its word, or before."""
    staleness = Staleness(2_000.0)
    assert staleness.age(0.0) == math.inf and not staleness.fresh(0.0)
    now, written_last = 0.0, -math.inf
    for pause, wait, taken, quiet in calls:
        sent = now + pause
        now = sent + taken  # received; written at the earliest possible moment
        written_last = max(written_last, sent + wait if quiet and now >= sent + wait else sent)
        staleness.confirm(sent, wait, now, quiet)
        assert staleness.confirmed == written_last <= now
    assert staleness.fresh(now + later) == (now + later - written_last <= 2_000.0)


# Coalescing


@given(st.lists(st.floats(0, 80), min_size=1, max_size=200))
def test_news_is_sent_in_time_and_a_burst_in_few_answers(gaps: list[float]) -> None:
    window = CoalescingWindow(100.0)
    now, first, sent = 0.0, None, 0
    for gap in gaps:
        now += gap
        if window.close(now):
            assert first is not None and now >= first + 100.0
            first, sent = None, sent + 1
        if first is not None:
            assert now < first + 100.0, "news that is due is not held on by news that follows"
        window.news(now)
        first = now if first is None else first
    assert sent <= sum(gaps) / 100.0 and window.open
    assert window.close(now + 100.0) and not window.open and not window.close(now + 1e6)


# Turns


@given(st.lists(st.tuples(st.sampled_from(["ask", "done", "wait"]), st.integers(1, 70)), max_size=80))
def test_turns_keep_their_bytes_their_order_and_their_patience(steps: list[tuple[str, int]]) -> None:
    admission = Admission(100, 5, 800.0)
    now, asked = 0.0, 0
    writing: dict[Hashable, int] = {}
    waiting: list[tuple[Hashable, int, float]] = []
    for what, number in steps:
        if what == "ask":
            asked += 1
            turn = admission.ask(asked, number, now)
            assert (turn is Turn.NEVER) == (len(waiting) == 5)
            if turn is Turn.NOW:
                writing[asked] = number
            elif turn is Turn.LATER:
                waiting.append((asked, number, now + 800.0))
        elif what == "done" and writing:
            caller = list(writing)[number % len(writing)]
            admission.done(caller)
            del writing[caller]
        else:
            now += 10.0 * number
            gone = admission.expired(now)
            assert gone == [caller for caller, _, until in waiting if until <= now]
            waiting = waiting[len(gone) :]
        for started in admission.next():
            first, size, _ = waiting.pop(0)
            assert started == first
            writing[first] = size
        assert admission.size == sum(writing.values()) and admission.waiting == len(waiting)
        assert admission.size <= 100 or len(writing) == 1
        assert not waiting or admission.size + waiting[0][1] > 100, "nobody waits for nothing"


# Calls as bytes


@pytest.mark.parametrize(
    ("line", "read"),
    [
        ("GET /v1/servers HTTP/1.1", Call()),
        ("GET /v1/servers?index=41&wait=20000 HTTP/1.1", Call(41, 20_000.0)),
        ("GET /v1/servers?wait=5&index=-1 HTTP/1.1", Call(-1, 5.0)),
        ("GET /v1/servers?index=0 HTTP/1.0", Call(0, 0.0)),
        ("GET /v1/servers?index=1&wait=99999999 HTTP/1.1", Call(1, float(WAIT_MOST))),
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
        assert read_call(head) == read
        return
    with pytest.raises(BadCall, match=str(read)):
        read_call(head)


@given(st.binary(max_size=300))
def test_no_bytes_do_more_than_be_refused(head: bytes) -> None:
    try:
        read_call(b"GET /v1/servers" + head)
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
    wrong: list[str] = []
    named = {"id": "a", "addr": "10.0.0.1:1", "state": "resting", "colour": "blue"}
    body = json.dumps({"version": 3, "full": True, "servers": [named, 5, {"id": ""}, {"id": "b"}]}).encode()
    (first, second) = decode(body, wrong.append).entries
    assert json.loads(first.data) == named and second.state == "active" and len(wrong) == 2


# The relay


class Played:
    """A relay with a source by hand; times are ms."""

    def __init__(self, **figures: Any) -> None:
        self.relay = ListRelay(RelayFigures(**figures))
        self.now = 10_000.0
        self.index: int | None = None
        self.note = ""

    def hear(self, version: int, *entries: RawEntry, full: bool = False, wait: float = 0.0) -> None:
        """An answer to a call that waited so long."""
        asked = ListCall(SOURCE, self.index, wait, self.now)
        self.now += wait
        heard = ReceivedAnswer(RawList(version, full, list(entries)), asked, self.now)
        self.index, self.note = self.relay.heard(heard, self.now)

    def call(self, caller: str, index: int | None = None, wait: float = 0.0) -> Response | None:
        return self.relay.call(caller, Call(index, wait), self.now)

    def due(self, after: float = 0.0) -> dict[str, Response]:
        """What is written to whom after so many ms, all of it."""
        self.now += after
        written: dict[str, Response] = {}
        while responses := self.relay.due(self.now, 7):
            for response in responses:
                assert isinstance(response.caller, str) and response.caller not in written
                written[response.caller] = response
                self.relay.left(response.caller)
        return written


def test_the_same_protocol_downstream() -> None:
    played = Played()
    assert played.call("early") == Response("early", UNAVAILABLE), "no list yet"
    played.hear(41, entry("a", colour="blue"), entry("b"), full=True)
    whole = told(played.call("c"))
    assert (whole["version"], whole["full"]) == (41, True) and whole["servers"][0]["colour"] == "blue"
    assert told(played.call("c", 41)) == {"version": 41, "full": False, "servers": []}
    assert played.call("w", 41, 700.0) is None and not played.due(699.0)
    assert told(played.due(1.0)["w"]) == {"version": 41, "full": False, "servers": []}
    for name in "xyz":
        assert played.call(name, 41, 1_000.0) is None
    played.relay.left("z")  # its connection ended
    played.hear(43, entry("a", "leaving"))
    assert not played.due(99.0)
    written = played.due(1.0)
    assert set(written) == {"x", "y"} and written["x"].data is written["y"].data, "encoded once"
    assert states(told(written["x"])) == {"a": "leaving"} and told(written["x"])["version"] == 43
    assert told(played.call("c", 40))["full"], "the log does not reach back so far"


def test_a_burst_of_three_hundred_changes_is_a_few_answers_a_watcher() -> None:
    played = Played(max_age=1e9)
    played.hear(0, *(entry(f"s-{number}") for number in range(300)), full=True)
    index, answers, seen = 0, 0, {}
    played.call("w", index, 1_500.0)
    for number in range(300):
        played.hear(number + 1, entry(f"s-{number}", "leaving"))
        for response in played.due(1.0).values():
            answer = told(response)
            index, answers = answer["version"], answers + 1
            seen.update(states(answer))
            assert played.call("w", index, 1_500.0) is None, "news is gathered for this call as well"
    for response in played.due(100.0).values():
        seen.update(states(told(response)))
    assert len(seen) == 300 and 2 <= answers <= 3


@pytest.mark.parametrize("stood_still", [4_000.0, 60_000.0])
def test_what_stood_still_answers_nothing_from_its_old_list(stood_still: float) -> None:
    played = Played()
    played.hear(1, entry("a"), full=True)
    for number in range(20):
        played.call(f"w{number}", 1, 60_000.0)
    assert not played.due(2_000.0)
    played.now += stood_still
    assert played.call("c", 1) == Response("c", UNAVAILABLE) == played.call("c")
    # An answer of before lies there unread: it shows how the source was then, and not how it is now.
    asked = ListCall(SOURCE, 1, 500.0, 10_000.0)
    played.relay.heard(ReceivedAnswer(RawList(1, False, []), asked, played.now), played.now)
    assert played.call("c", 1) == Response("c", UNAVAILABLE)
    written = played.due()
    assert len(written) == 20 and all(response.data is UNAVAILABLE for response in written.values())
    assert played.relay.watchers == 0
    played.hear(1)
    assert told(played.call("c", 1))["version"] == 1


def test_a_watch_without_news_confirms_the_list_as_of_its_end() -> None:
    played = Played()
    played.hear(1, entry("a"), full=True)
    for _ in range(8):
        played.hear(1, wait=500.0)
    assert played.relay.staleness.age(played.now) == 0.0
    played.now += 2_000.0
    assert told(played.call("c", 1)) and played.due() == {}
    played.now += 1.0
    assert played.call("c", 1) == Response("c", UNAVAILABLE)


def test_a_caller_with_a_newer_list_waits_until_the_relay_knows_better() -> None:
    """It is behind: the caller gets the news, and never the older list."""
    played = Played()
    played.hear(5, entry("a"), full=True)
    assert played.call("w", 7, 1_500.0) is None and played.call("c", 7) is None
    assert not played.due(200.0)
    played.hear(7, entry("a", "leaving"))
    played.call("late", 9)
    assert told(played.due(100.0)["c"]) == {"version": 7, "full": False, "servers": []}
    assert played.relay.watchers == 2, "the watch goes on waiting at the version that it has"
    # The source does not speak: nothing is known, and nothing is said.
    silent = 1.5 * 500.0 + BEHIND_SPARE
    assert played.due(silent) == {"late": Response("late", UNAVAILABLE)}


def test_a_source_that_really_went_back_is_told_as_a_whole_list_once_it_is_sure() -> None:
    played = Played()
    played.hear(9, entry("a"), entry("b"), full=True)
    played.call("w", 9, 1_500.0)
    played.hear(3, entry("a"), full=True)
    assert played.note == "version 3 after 9" and played.index is None
    bad = told(played.due(100.0)["w"])
    assert (bad["version"], states(bad)) == (9, {"b": "left"}), "bad news is told from any answer"
    assert states(told(played.call("c", 9))) == {"b": "left"}, "to every caller until it is believed or not"
    played.call("w", 9, 1_500.0)
    played.hear(3, entry("a"), full=True)
    assert not played.note and not played.due(100.0), "the call came before the source was asked"
    played.hear(3, wait=500.0)
    answer = told(played.due()["w"])
    assert (answer["version"], answer["full"], states(answer)) == (3, True, {"a": "active"})


def test_a_flapping_source_leaves_the_last_list_in_force() -> None:
    played = Played()
    played.hear(9, entry("a"), full=True)
    played.hear(3, entry("b"), full=True)
    played.hear(9, entry("a"), full=True)
    assert states(told(played.call("c"))) == {"a": "active"}
    played.hear(9, entry("a", "leaving"), entry("a"), full=True)
    assert states(told(played.call("c"))) == {"a": "leaving"}, "of a doubled entry the worse state counts"


def test_through_two_tiers_a_confirmation_counts_for_less() -> None:
    played = Played(max_age=1_000.0, upstream_age=1_000.0, wait=200.0)
    played.hear(5, entry("a"), full=True)
    assert played.call("c", 7, 1_500.0) is None
    for _ in range(5):
        played.hear(5, wait=200.0)
        assert not played.due(), "what is upstream may be 1,000 old"
    played.hear(5, wait=200.0)
    assert told(played.due()["c"])["full"]


def test_a_herd_that_asks_for_all_gets_its_turns_or_a_no_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("puffinford.relay.core.WRITING_MOST", 300_000)
    played = Played()
    played.hear(1, *(entry(f"s-{number:04}", kind="x" * 50) for number in range(1_000)), full=True)
    at_once = [played.call(f"c{number}") for number in range(50)]
    written = [response for response in at_once if response is not None]
    assert 1 <= len(written) <= 4 and played.relay.held <= 600_000
    for response in written:
        played.relay.left(response.caller)
    later = played.relay.due(played.now, 100)
    assert len(later) == len(written), "as many again, and no more"
    refused = played.due(801.0)
    assert len(refused) == 50 - 2 * len(written) and all(r.data is UNAVAILABLE for r in refused.values())
    for response in later:
        played.relay.left(response.caller)
    played.relay.cache.clear()
    assert played.relay.held == played.relay.watchers == 0, "back where it was"
