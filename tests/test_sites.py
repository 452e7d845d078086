"""Settings that differ between sites: load reports, load and delay updates, agents, odd values."""

from __future__ import annotations

import contextlib
import copy
import json
import logging
import random
from typing import Any

import anyio
import anyio.abc
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from puffinford.balance import Balancer
from puffinford.codec import WireError, absent_settings, decode_settings
from puffinford.core.clock import SettableClock
from puffinford.core.note_classifier import NoteClassifier
from puffinford.core.report_parser import BadReport, parse_report
from puffinford.core.values import ServerEntries, ServerEntry
from puffinford.interface import (
    Attempt,
    ClientLeft,
    Effect,
    Established,
    Event,
    ListKind,
    Outcome,
    Request,
    RequestClass,
    Result,
    Server,
    ServerList,
    ServerState,
    Settings,
    Tenant,
    Timer,
)
from puffinford.server_list.discovery import AGENT_RETRY_MS, MAX_CONCURRENT_CALLS, DiscoveryWatch
from puffinford.state.recovery import ListValidator
from tests.harness import Peer, harness, opening
from tests.harness import settings as harness_settings

FIELDS = ["x0", "throughput", "errors_per_s", "backlog"]
REPORT = "throughput=3,x0=0.97,backlog=0,errors_per_s=0.5"


def test_reports_are_read_in_the_order_of_the_settings() -> None:
    assert parse_report(REPORT, FIELDS) == [0.97, 3.0, 0.5, 0.0]
    assert parse_report(REPORT + ",disk=full", FIELDS) == [0.97, 3.0, 0.5, 0.0], (
        "fields that are not configured"
    )
    assert parse_report("", FIELDS) is None, "no report yet"


@pytest.mark.parametrize(
    ("text", "place", "value"),
    [
        (REPORT.replace("x0=0.97,", ""), "x0", "missing"),
        (REPORT + ",x0=0.2", "x0", "twice"),
        *[
            (REPORT.replace("0.97", bad), "x0", bad)
            for bad in ("-1", "nan", "inf", "1e3", "", "9" * 12, "0_1")
        ],
    ],
)
def test_a_bad_report_is_named_by_field_and_value(text: str, place: str, value: str) -> None:
    with pytest.raises(BadReport, match=f"^{place}: .*{value}"):
        parse_report(text, FIELDS)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.text(max_size=60))
def test_no_text_does_more_than_be_rejected(text: str) -> None:
    try:
        row = parse_report(text, ["x0"])
    except BadReport:
        return
    assert row is None or (len(row) == 1 and 0.0 <= row[0] <= 1e9)


@pytest.mark.parametrize("seed", range(1, 6))
def test_delays_are_distinguished_from_loads_by_their_series(seed: int) -> None:
    """A delay classified as a load would hide an overloaded server."""
    rng = random.Random(seed)
    established = {f"j{n}" for n in range(40)}
    classifier = NoteClassifier(100.0, established.__contains__)
    lines = [
        (
            rng.random() * 60_000.0,
            f"j{rng.randrange(40)}",
            f"s{rng.randrange(4)}",
            rng.lognormvariate(10.0, 1.4),
        )
        for _ in range(1_500)
    ]
    row = [(20_050.0 + n * 1_000.0 + rng.random() * 10.0, "j7", "s1", 40.0 * 1.3**n) for n in range(10)]
    delays: list[float] = []
    loads: list[float] = []
    for line in sorted(lines + row):
        at, request, server, value = line
        kind = classifier.take(request, server, value, at)
        loads += [note.value for note in classifier.due(at)]
        if kind is not None:
            (delays if kind else loads).append(value)
    loads += [note.value for note in classifier.due(70_000.0)]
    wanted = {value for *_, value in row[1:]}
    assert wanted <= set(delays), "all but the first, which needs a second value"
    assert len(delays) <= len(wanted) + 3, "few of 1,500 loads are classified as delays"
    assert len(delays) + len(loads) >= len(lines) + len(wanted) - 3, "only the first of a series may be lost"


def test_a_series_continues_on_another_connection_once_its_own_has_ended() -> None:
    established = {"a", "b"}
    classifier = NoteClassifier(100.0, established.__contains__)
    assert [classifier.take("a", "s", 50.0, 1_000.0), classifier.take("a", "s", 60.0, 2_001.0)] == [
        None,
        True,
    ]
    assert classifier.take("b", "s", 70.0, 3_001.0) is False, "a server has one series at a balancer"
    established.discard("a")
    assert classifier.take("b", "s", 20.0, 3_002.0) is True, "its last value is under the aim"


@pytest.mark.anyio
async def test_clients_go_where_load_reports_show_free_capacity(caplog: pytest.LogCaptureFixture) -> None:
    """Load reports must reach the decision module through probes on sockets."""
    asked: list[bytes] = []

    def server(report: bytes) -> object:
        async def script(peer: Peer) -> None:
            line = await peer.line()
            if line == b"STATS\r\n":
                asked.append(report)
                await peer.send_line(b"PONG" + report)
            elif line.startswith(b"OPEN"):
                await peer.send_line(b"UP" + report)
                await peer.line()

        return script

    more = {"may_probe": True, "report_on_probe": True, "report_fields": ["x0"]}
    with caplog.at_level(logging.WARNING):
        async with harness(harness_settings(**more)) as here:
            for ident, report in (("s-1", b" x0=1.2"), ("s-2", b" x0=0.1"), ("s-3", b" x0=nan")):
                await here.server(ident, server(report))  # type: ignore[arg-type]
            number = 0
            while {b" x0=1.2", b" x0=0.1", b" x0=nan"} - set(asked) or asked.count(b" x0=nan") < 2:
                number += 1  # requests add probe credit
                await (await here.client(opening(f"0{number}"))).line()
                here.clock.advance(400.0)
                await here.settle()
            answers = [await (await here.client(opening(f"1{n}"))).line() for n in range(6)]
    assert b"UP x0=1.2\r\n" not in answers
    rejected = [record for record in caplog.records if record.getMessage() == "report rejected"]
    assert len(rejected) == 1, "logged once, not at each answer"
    assert rejected[0].server == "s-3" and "x0: 'nan'" in rejected[0].error  # type: ignore[attr-defined]


@pytest.mark.anyio
async def test_a_late_server_of_a_site_that_tells_both_kinds_of_notes_is_passed_over() -> None:
    lines = anyio.Event()

    async def late(peer: Peer) -> None:
        await peer.line()
        await peer.send_line(b"UP late")
        for value in (b"61234.5", b"450.1"):
            await peer.send_line(b"LOAD " + value)
        await lines.wait()
        await peer.send_line(b"LOAD 460.2")
        await peer.line()

    async with harness(harness_settings(tells_load=True, tells_delay=True)) as here:
        await here.server("s-1", late)
        first = await here.client(opening("01"))
        assert await first.line() == b"UP late\r\n"
        assert [await first.line(), await first.line()] == [b"LOAD 61234.5\r\n", b"LOAD 450.1\r\n"]
        here.clock.advance(1_000.0)
        lines.set()
        assert await first.line() == b"LOAD 460.2\r\n", "the client gets each line unchanged"
        assert here.exchange.health()[0].delay == 460.2
        assert here.exchange.health()[0].server == Server("s-1").id


@pytest.mark.anyio
@pytest.mark.parametrize("pushed", [True, False])
async def test_an_agent_that_was_silent_is_asked_again_within_its_watch(
    pushed: bool, caplog: pytest.LogCaptureFixture
) -> None:
    """After failures a local agent must be called again without the long pauses of a shared service."""
    calls = 0
    taken: list[ServerEntries | None] = []
    received = anyio.Event()

    async def agent(stream: anyio.abc.SocketStream) -> None:
        nonlocal calls
        await Peer(stream).line()
        calls += 1
        if calls <= 40:
            return  # it closes the connection: discovery is unavailable
        if calls > 41:
            await anyio.sleep_forever()  # no newer version
        body = json.dumps({"version": 9, "full": True, "servers": []}).encode()
        await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

    def take(entries: ServerEntries | None) -> int | None:
        taken.append(entries)
        received.set()
        return entries.version if entries else None

    clock = SettableClock()
    with caplog.at_level(logging.WARNING):
        async with harness() as here:
            port = await here.listen(agent)
            watch = DiscoveryWatch(("127.0.0.1", port), None, clock, take, pushed, random.Random(1))
            here.tasks.start_soon(watch.run)
            await anyio.wait_all_tasks_blocked()
            watch.subscribe(True)
            for _ in range(41 if pushed else 1):
                await received.wait()
                received = anyio.Event()
                await anyio.wait_all_tasks_blocked()  # the watch pauses
                clock.advance(AGENT_RETRY_MS)  # for no longer than this
            await anyio.wait_all_tasks_blocked()
    if pushed:
        assert taken[:40] == [None] * 40 and taken[40] is not None
        failed = [record for record in caplog.records if record.getMessage() == "discovery failed"]
        assert len(failed) == 1, "40 failed calls are logged once"
    else:
        assert calls == 1, "the decision module paces calls to a shared service"


@pytest.mark.anyio
async def test_an_agent_that_hangs_for_30_s_is_held_few_calls_and_heard_at_once_when_it_answers_all() -> None:
    """An agent that accepts calls without answering, and then answers all of them, the oldest first.

    With one call at a time the list would stay outdated for too long after the agent has recovered.
    """
    held: list[anyio.abc.SocketStream] = []
    max_held = 0
    back, called, received = anyio.Event(), anyio.Event(), anyio.Event()
    taken: list[ServerEntries | None] = []

    async def agent(stream: anyio.abc.SocketStream) -> None:
        nonlocal max_held
        await Peer(stream).line()
        if back.is_set():
            await anyio.sleep_forever()  # no newer version
        held.append(stream)
        called.set()
        async with anyio.create_task_group() as tasks:

            async def gone() -> None:
                with contextlib.suppress(anyio.BrokenResourceError, anyio.EndOfStream):
                    while True:
                        await stream.receive()
                if stream in held:
                    held.remove(stream)

            tasks.start_soon(gone)
            max_held = max(max_held, len(held))
            await back.wait()
            servers = [{"id": f"s-{n}", "addr": f"127.0.0.1:{7_000 + n}"} for n in range(4)]
            body = json.dumps({"version": 9, "full": True, "servers": servers}).encode()
            with contextlib.suppress(anyio.BrokenResourceError):
                await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

    def take(entries: ServerEntries | None) -> int | None:
        taken.append(entries)
        received.set()
        return entries.version if entries else None

    clock = SettableClock()
    async with harness() as here:
        port = await here.listen(agent)
        watch = DiscoveryWatch(("127.0.0.1", port), None, clock, take, True, random.Random(1))
        here.tasks.start_soon(watch.run)
        passed = calls = 0.0
        while passed < 30_000.0:
            await called.wait()
            called, calls = anyio.Event(), calls + 1
            while not called.is_set() and passed < 30_000.0:
                clock.advance(500.0)
                passed += 500.0
                await here.settle()
        assert taken == [] and calls <= 14 and max_held <= MAX_CONCURRENT_CALLS, (
            "calls in progress must stay within their limit"
        )
        received = anyio.Event()
        back.set()
        await received.wait()
        assert taken[-1] is not None and len(taken[-1].entries) == 4, "without further delay"
        here.tasks.cancel_scope.cancel()


@given(st.lists(st.tuples(st.integers(0, 9), st.booleans()), max_size=12), st.randoms(use_true_random=False))
@settings(max_examples=200, derandomize=True, deadline=None)
def test_a_pushed_feed_that_repeats_skips_or_goes_back_brings_back_only_what_it_says_twice(
    pushes: list[tuple[int, bool]], rng: random.Random
) -> None:
    """Version n lists servers 0 to n-1 of ten as draining, as changes or as a full snapshot."""

    def listing(version: int, full: bool) -> ServerEntries:
        states = [ServerState.DRAINING if n < version else ServerState.LIVE for n in range(10)]
        shown = range(10) if full else range(version)
        return ServerEntries(
            version, full, [ServerEntry(Server(f"s{n}", state=states[n]), "::1", 1) for n in shown]
        )

    guard, balancer = ListValidator(), Balancer(decoded_facts(), 1)
    draining, suspect = 0, False
    for step, (version, full) in enumerate([(0, True), *pushes]):
        taken = guard.validate(listing(version, full)).entries
        if taken is not None:
            kind = ListKind.REPLACE if taken.full else ListKind.UPDATE
            balancer.handle(float(step), [ServerList(kind, [m.server for m in taken.entries])])
        suspect = version < draining and not (full and suspect)
        draining = draining if suspect else version
        for n in range(5):
            request = Request(f"{step}.{n}", "desk", 1_000.0, key=rng.randrange(2**32))
            for action in balancer.handle(float(step), [request]):
                assert not isinstance(action, Attempt) or int(action.server[1:]) >= draining


def decoded_facts() -> Any:
    return decode_settings(copy.deepcopy(FACTS))


FACTS: dict[str, Any] = {
    "balancers": 3,
    "me": 1,
    "classes": [{"name": "desk", "give_up": 3_200.0, "repeat": "idempotent", "gain": 2.0}],
    "customers": [{"name": "one", "share": 1.0}],
    "discovery": "automatic",
    "domain": {
        "groups": True, "message_aim": [250.0], "mode": "proxy", "tells_delay": True, "tells_load": True,
        "tenant_quota_connections": [90.0],
    },
    "permissions": {
        "cancel": True, "connect_timeout": 250.0, "max_attempts": 3, "max_retry_after": 1_500.0,
        "may_probe": True, "retry_after": True,
    },
    "report": {"fields": ["x0"], "how": "pull"},
    "rules": {"ask_within": 10_000.0, "cold_from": 0.13, "fall": 1_000.0, "ramp_time": 23_000.0,
              "tip_multiple": 3.0},
    "tariffs": {"probe": 0.002},
    "weight_source": "nominal",
}  # fmt: skip
PLACES = [(name, "") for name in FACTS] + [
    (section, name)
    for section in ("domain", "permissions", "report", "rules", "tariffs")
    for name in FACTS[section]
]
ODD = [None, "", "x", -1, 0, 0.5, 1e308, float("nan"), float("inf"), True, [], [None], [[1]], {}, {"a": 1}]


@settings(max_examples=1_500, derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(PLACES), st.sampled_from(ODD)), min_size=1, max_size=4))
def test_odd_settings_are_named_or_served_by(changes: list[tuple[tuple[str, str], Any]]) -> None:
    """Odd values, such as NaN, must be rejected by name or handled without an exception."""
    facts = copy.deepcopy(FACTS)
    for (section, name), value in changes:
        if name and isinstance(facts.get(section), dict):
            facts[section][name] = value
        else:
            facts[section] = value
    try:
        decoded = decode_settings(facts)
    except (WireError, ValueError) as exc:
        assert any(name in str(exc) for name in ("hello.facts", "settings: "))
        return
    assert absent_settings(facts) is not None
    balancer = Balancer(decoded, 1)
    now = 1_000_000.0
    entries = [Server(f"s{n}", weight=1.0 + n, started=now * (n % 2)) for n in range(4)]
    balancer.handle(now, [ServerList(ListKind.REPLACE, entries)])
    for n in range(4):
        balancer.handle(now + n * 700.0, [Request(f"r{n}", "desk", 3_000.0, group=n % 2)])


def test_an_absent_setting_is_named_with_its_default() -> None:
    assert absent_settings(FACTS) == {}
    facts = {**FACTS, "rules": {**FACTS["rules"], "ramp_time": None}}
    assert absent_settings(facts) == {"rules.ramp_time": "servers are warm at once"}


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["ask", "up", "fail", "end", "leave", "wait"]),
        st.integers(0, 2),  # class, or index of a request in progress
        st.integers(0, 2),  # tenant
        st.sampled_from([0.0, 5.0, 400.0, 2_500.0]),  # ms before it
    ),
    min_size=10,
    max_size=60,
)


def decisions(names: list[str], tenants: list[str], events: list[tuple[str, int, int, float]]) -> list[str]:
    """The actions of a balancer on these events, under these names of classes and tenants."""
    effects = [Effect.SAFE, Effect.KEYED, Effect.UNSAFE]
    classes = [
        RequestClass(name, 800.0, effect=effect, window=900.0)
        for name, effect in zip(names, effects, strict=True)
    ]
    granted = [Tenant(name, 1.0 / 3.0, quota=40.0) for name in tenants]
    balancer = Balancer(Settings(classes=classes, tenants=granted, max_attempts=3), 7)
    servers = [Server(f"s-{n}") for n in range(5)]
    now, decided = 1_000.0, []
    out: dict[str, tuple[str, int]] = {}

    def feed(event: Event) -> None:
        for action in balancer.handle(now, [event]):
            decided.append(f"{now} {action}")
            if isinstance(action, Attempt):
                out[action.id] = (action.server, out.get(action.id, ("", -1))[1] + 1)

    feed(ServerList(ListKind.REPLACE, servers, 1))
    for number, (what, one, tenant, wait) in enumerate(events):
        now += wait
        if what == "ask":
            feed(Request(f"r{number}", names[one], 800.0, tenants[tenant], key=number))
        elif what == "wait" or not out:
            feed(Timer(0))
        else:
            ident = list(out)[one % len(out)]
            server, attempt = out[ident]
            if what == "up":
                feed(Established(ident, attempt, server, 5.0))
            elif what == "fail":
                feed(Outcome(ident, attempt, server, Result.RESET, 5.0, False))
            else:
                del out[ident]
                feed(
                    ClientLeft(ident)
                    if what == "leave"
                    else Outcome(ident, attempt, server, Result.OK, 9.0, True)
                )
    return decided


@given(EVENTS)
def test_no_decision_depends_on_the_name_of_a_class_or_tenant(
    events: list[tuple[str, int, int, float]],
) -> None:
    one = decisions(["price", "payment", "chat"], ["acme", "zeta", "a"], events)
    assert one == decisions(["zz", "a", "price"], ["x", "acme", "longer-name"], events)


def test_a_class_whose_name_no_encoding_holds_is_named() -> None:
    with pytest.raises(WireError, match="name"):
        decode_settings({"classes": [{"name": "\ud800", "give_up": 1.0, "repeat": "idempotent"}]})
