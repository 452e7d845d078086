"""Faults between balancer processes: the choice of affected parties, faulty links, and violated rules."""

from __future__ import annotations

import random
from pathlib import Path
from typing import Any

import anyio
import anyio.abc
import pytest
from hypothesis import given
from hypothesis import strategies as st

from puffinford.core.clock import Clock, SettableClock
from puffinford.stage.faults import InvalidFault, read_fault, select_parties
from puffinford.stage.links import Link
from puffinford.stage.play import Play
from puffinford.stage.script import InvalidScript, read_script
from puffinford.standins import checks
from puffinford.standins.listeners import HOST, LineStream, reset
from puffinford.standins.trace import EventKind, Trace

BALANCERS = {f"n{number}": f"z{number % 3}" for number in range(1, 11)}


@pytest.mark.parametrize(
    "text",
    [None, "", "slow", "delay", "delay x", "delay nan", "delay -1", "rate 0", "cut 1e10", "hold up",
     "fin back", "rst there", "delay 5 back there", "sound back"],
)  # fmt: skip
def test_a_fault_that_cannot_be_played_is_named(text: str | None) -> None:
    with pytest.raises(InvalidFault, match=r"none of|needs|not a direction"):
        read_fault(text)


@given(st.text(max_size=30))
def test_no_words_do_more_than_be_refused(text: str) -> None:
    try:
        fault = read_fault(text)
    except InvalidFault:
        return
    assert read_fault(f"{fault.kind} {fault.value or ''} {fault.direction}") == fault


def test_a_fault_strikes_the_same_part_each_time() -> None:
    fifth = select_parties("n*", BALANCERS, 0.2, random.Random("7/1"))
    assert len(fifth) == 2 and fifth == select_parties("n*", BALANCERS, 0.2, random.Random("7/1"))
    assert select_parties("zone:z1", BALANCERS, 1.0, random.Random(1)) == ["n1", "n4", "n7", "n10"]
    assert len(select_parties("n1, n2", BALANCERS, 0.01, random.Random(1))) == 1
    for pattern, part in (("n99", 1.0), ("zone:z9", 1.0), ("n*", 0.0), ("n*", 1.5)):
        with pytest.raises(InvalidFault, match=r"names none|part"):
            select_parties(pattern, BALANCERS, part, random.Random(1))


@pytest.mark.parametrize(
    ("event", "place"),
    [
        ({"at": 1, "links": "n1", "do": "hold"}, "not of the form A > B"),
        ({"at": 1, "links": "n9 > gw-1", "do": "hold"}, "names none"),
        ({"at": 1, "links": "n* > gw-9", "do": "hold"}, "names none"),
        ({"at": 1, "links": "n* > gw-1", "do": "burn"}, "burn"),
        ({"at": 1, "links": "n* > gw-1", "do": "hold", "for": -1}, "for -1"),
        ({"at": 1, "links": "n* > gw-1", "do": "hold", "part": "half"}, "part 'half'"),
        ({"at": 1, "balancers": "n*", "do": "hold"}, "none of kill"),
        ({"at": "soon", "balancers": "n*", "do": "kill"}, "at .soon."),
    ],
)
def test_a_script_names_the_entry_that_cannot_be_played(event: dict[str, Any], place: str) -> None:
    with pytest.raises(InvalidScript, match="events, entry 1: .*" + place):
        read_script({"balancers": 3, "servers": {"gw": {"count": 2}}, "events": [event]})


class EchoLink:
    """A link in front of an echo server, with connections through it."""

    def __init__(self, clock: Clock, tasks: anyio.abc.TaskGroup) -> None:
        self.clock, self.tasks = clock, tasks
        self.ended: list[bytes] = []  # FIN or RST, as seen by the echo server

    async def open(self) -> LineStream:
        listener = await anyio.create_tcp_listener(local_host=HOST)

        async def echo(stream: anyio.abc.SocketStream) -> None:
            lines = LineStream(stream)
            while (line := await lines.next()) not in (LineStream.FIN, LineStream.RST):
                await lines.send_line(line)
            self.ended.append(line)
            await stream.aclose()

        self.tasks.start_soon(listener.serve, echo)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self.link = Link("a>b", (HOST, port), self.clock, self.tasks)
        return await self.connect()

    async def connect(self) -> LineStream:
        return LineStream(await anyio.connect_tcp(HOST, self.link.port))


@pytest.mark.anyio
@pytest.mark.parametrize("end", ["FIN", "RST"])
async def test_a_sound_link_keeps_bytes_and_how_a_line_ends(end: str) -> None:
    async with anyio.create_task_group() as tasks:
        echo_link = EchoLink(Clock(), tasks)
        near = await echo_link.open()
        sent = [b"x" * size for size in (1, 70_000, 3)]
        for piece in sent:
            await near.send_line(piece)
        assert [await near.next() for _ in sent] == sent
        if end == "FIN":
            await near.stream.send_eof()
            assert await near.next() == LineStream.FIN
        else:
            await reset(near.stream)
            while not echo_link.ended:
                await anyio.sleep(0)
        assert echo_link.ended == [LineStream.FIN if end == "FIN" else LineStream.RST]
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_a_delayed_link_passes_nothing_on_before_its_time() -> None:
    clock = SettableClock()
    async with anyio.create_task_group() as tasks:
        echo_link = EchoLink(clock, tasks)
        near = await echo_link.open()
        await echo_link.link.set_fault(read_fault("delay 300 back"))
        await near.send_line(b"one")
        while not clock.waiting:  # the echo has arrived and is being delayed
            await anyio.sleep(0)
        forwarded = echo_link.link.forwarded_bytes
        clock.advance(299.0)
        await anyio.wait_all_tasks_blocked()
        assert echo_link.link.forwarded_bytes == forwarded == len(b"one\r\n"), (
            "forwarded to the server, not back"
        )
        clock.advance(1.0)
        assert await near.next() == b"one" and echo_link.link.max_lateness_ms == 0.0
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("fault", "after"),
    [("hold", b"one"), ("hold back", b"one"), ("drop back", None), ("drop", None), ("cut 2", LineStream.RST),
     ("rst", LineStream.RST), ("fin", LineStream.FIN)],
)  # fmt: skip
async def test_what_becomes_of_a_line_in_a_fault_and_after_it(fault: str, after: bytes | None) -> None:
    async with anyio.create_task_group() as tasks:
        echo_link = EchoLink(Clock(), tasks)
        near = await echo_link.open()
        await near.send_line(b"zero")
        assert await near.next() == b"zero"
        await echo_link.link.set_fault(read_fault(fault))
        await near.send_line(b"one")
        received: list[bytes] = []

        async def receive() -> None:
            received.append(await near.next())

        tasks.start_soon(receive)
        forwarded = echo_link.link.forwarded_bytes
        if after is not None and not fault.startswith("hold"):
            while not received:
                await anyio.sleep(0)
        else:
            request_size = len(b"one\r\n") if fault.endswith("back") else 0
            while echo_link.link.forwarded_bytes < forwarded + request_size:
                await anyio.sleep(0)
            await anyio.wait_all_tasks_blocked()
            assert not received
        await echo_link.link.set_fault(read_fault("sound"))
        fresh = await echo_link.connect()
        await fresh.send_line(b"two")
        assert await fresh.next() == b"two", "a new connection finds the link sound"
        if after is not None:
            while not received:
                await anyio.sleep(0)
        assert received == ([] if after is None else [after])
        tasks.cancel_scope.cancel()


# Plays with faults


def script_with(seconds: float, events: list[dict[str, Any]], **more: Any) -> dict[str, Any]:
    kinds = {"desk": {"life": 1_500.0, "every": 600.0, "give_up": 2_000.0, "groups": 200}}
    base = {"seed": 5, "seconds": seconds, "balancers": 4, "rate": 40.0, "classes": kinds}
    return {**base, "servers": {"gw": {"count": 5, "capacity": 200}}, "events": events, **more}


def run_play(tmp_path: Path, script: dict[str, Any]) -> tuple[Play, Trace]:
    play = Play(read_script(script), tmp_path)
    return play, anyio.run(play.run)


def rule_violations(trace: Trace) -> list[str]:
    return [
        *checks.one_final_answer(trace, trace.serving_ended_at - 2_500.0),
        *checks.no_overlapping_attempts(trace),
        *checks.draining_servers_spared(trace),
    ]


def fault_time(trace: Trace, detail: str) -> float:
    """Return the time of the first fault with this detail, in ms of the trace."""
    return next(entry.at for entry in trace.of(EventKind.FAULT) if entry.detail == detail)


def count_refusals(trace: Trace, since: float) -> int:
    """Count refused requests since a time in ms; earlier ones may be due to balancers without a list yet."""
    return sum(entry.at >= since for entry in trace.of(EventKind.BUSY, EventKind.FAILED))


def attempts_by_balancer(trace: Trace, server: str, since: float, until: float) -> dict[str, int]:
    """Count the attempts at a server between two times (ms), by balancer."""
    counts: dict[str, int] = {}
    for entry in trace.of(EventKind.ATTEMPT):
        if entry.server == server and since <= entry.at < until:
            counts[entry.balancer] = counts.get(entry.balancer, 0) + 1
    return counts


def test_the_end_of_a_story_turns_no_client_into_a_lost_one(tmp_path: Path) -> None:
    """Guards against clients that reconnect during teardown, find no balancer and count as lost."""
    kinds = {"desk": {"life": 400.0, "every": 100.0, "give_up": 2_000.0}}
    _, trace = run_play(tmp_path, script_with(3.0, [], classes=kinds, rate=200.0))
    assert list(trace.of(EventKind.LOST)) == []


def test_answers_lost_on_the_way_back_from_half_of_the_balancers(tmp_path: Path) -> None:
    """Balancers that get no answers from a server stop using it, the others go on, and all return to it.

    The rate is high enough that each balancer almost certainly has a group that hashes to the server.
    """
    lost = {"at": 1.5, "links": "n* > gw-1", "part": 0.5, "do": "drop back", "for": 4.0}
    play, trace = run_play(tmp_path, script_with(11.0, [lost], rate=100.0))
    assert rule_violations(trace) == []
    began, ended = fault_time(trace, "drop back"), fault_time(trace, "sound")
    affected = {name.partition(">")[0] for event in play.script.events for name in event.names}
    assert len(affected) == 2
    for name in affected:
        first = next(
            e
            for e in trace.of(EventKind.ATTEMPT)
            if e.balancer == name and e.server == "gw-1" and e.at > began
        )
        timed_out_at = (
            next(e.at for e in trace.of(EventKind.ATTEMPT_END) if e.detail == first.detail)
            + checks.ORDER_TOLERANCE_MS
        )
        trials = attempts_by_balancer(trace, "gw-1", timed_out_at, ended).get(name, 0)
        assert trials <= 2, "timeouts and pauses between trials leave time for two at most"
    unaffected = set(attempts_by_balancer(trace, "gw-1", began + 1_500.0, ended)) - affected
    assert len(unaffected) == 2
    assert set(attempts_by_balancer(trace, "gw-1", ended, trace.elapsed)) >= affected
    assert count_refusals(trace, began) <= 0.02 * len(list(trace.of(EventKind.REQUESTED))), (
        "four sound servers have free capacity"
    )


def test_a_frozen_balancer_does_not_act_on_what_it_knew(tmp_path: Path) -> None:
    """Two servers begin to drain while a balancer is suspended; it resumes after the grace and avoids them.

    It is suspended for longer than the longest watch, so that the watch has ended with its answer unread.
    """
    events = [
        {"at": 1.5, "balancers": "n*", "part": 0.25, "do": "freeze", "for": 7.0},
        {"at": 1.7, "server": "gw-1", "do": "draining"},
        {"at": 1.7, "server": "gw-2", "do": "leaving"},
        {"at": 0.5, "links": "clients > n1", "do": "sound"},
    ]
    play, trace = run_play(tmp_path, script_with(11.0, events))
    (frozen,) = next(event.names for event in play.script.events if event.do == "freeze")
    woken = fault_time(trace, "wake")
    listed_at = [
        entry.at
        for entry in trace.of(EventKind.LISTED)
        if entry.balancer == frozen and entry.detail == "leaving"
    ]
    assert listed_at and min(listed_at) < woken - 3_000.0, "answers count from when they are written"
    assert [violation for violation in rule_violations(trace) if "no answer" not in violation] == []
    for server in ("gw-1", "gw-2"):
        assert attempts_by_balancer(trace, server, woken, trace.elapsed).get(frozen, 0) == 0
    assert any(attempts_by_balancer(trace, f"gw-{n}", woken, trace.elapsed).get(frozen, 0) for n in (3, 4, 5))


def test_balancers_held_up_for_a_moment_keep_the_shortest_grace(tmp_path: Path) -> None:
    """All balancers are suspended for 0.15 s while a drain is announced, four times."""
    events: list[dict[str, Any]] = []
    for n in range(4):
        events.append({"at": 1.0 + 0.6 * n, "balancers": "n*", "do": "freeze", "for": 0.15})
        events.append({"at": 1.02 + 0.6 * n, "server": f"gw-{n + 1}", "do": "leaving"})
    play, trace = run_play(tmp_path, script_with(4.5, events, rate=150.0))
    assert sum(entry.detail == "freeze" for entry in trace.of(EventKind.FAULT)) == 16
    assert checks.draining_servers_spared(trace, 500.0 + play.max_lateness_ms) == []
    assert rule_violations(trace) == []


def test_requests_with_next_to_no_time_left_have_their_answer(tmp_path: Path) -> None:
    """Some deadlines are shorter than a connection takes; some servers are silent, or reset connections."""
    kinds = {
        f"{effect}-{ms}": {"life": 500.0, "give_up": ms, "effect": effect, "window": 40.0}
        for effect in ("at_most_once", "deduplicated", "idempotent")
        for ms in (1.0, 8.0, 60.0)
    }
    events = [
        {"at": 0.5, "server": "gw-1", "do": "silent"},
        {"at": 1.0, "server": "gw-2", "do": "resetting"},
        {"at": 2.0, "server": "gw-3", "do": "failing"},
    ]
    script = script_with(4.0, events, classes=kinds, rate=120.0, patience=500.0)
    play, trace = run_play(tmp_path, script)
    assert checks.one_final_answer(trace, trace.serving_ended_at - 2_500.0) == []
    # Attempts last a few ms here, and the event loop may delay the observation of both of their ends.
    assert checks.no_overlapping_attempts(trace, checks.ORDER_TOLERANCE_MS + 2.0 * play.max_lateness_ms) == []
    late = [entry for entry in trace.of(EventKind.LOST) if entry.at < trace.serving_ended_at - 600.0]
    assert late == [], "answers arrive within 0.5 s after the deadline"
    effects = {kind.name: (kind.effect, kind.window + play.max_lateness_ms) for kind in play.script.kinds}
    assert checks.effects_not_repeated(trace, effects) == []


def test_a_third_of_the_balancers_killed_at_once(tmp_path: Path) -> None:
    """The others take over: no request is refused meanwhile, or lost over 250 ms after the kill."""
    killed = {"at": 2.0, "balancers": "n*", "part": 0.34, "do": "kill", "for": 2.0}
    play, trace = run_play(tmp_path, script_with(7.0, [killed], balancers=6))
    affected = {name for event in play.script.events for name in event.names}
    assert len(affected) == 2
    began, woken = fault_time(trace, "kill"), fault_time(trace, "wake")
    lost = [entry.at for entry in trace.of(EventKind.LOST) if began <= entry.at < trace.serving_ended_at]
    assert rule_violations(trace) == [] and all(when < began + 250.0 for when in lost)
    assert count_refusals(trace, began) - count_refusals(trace, woken) == 0
    served_after = {entry.request_id for entry in trace.of(EventKind.UP) if entry.at > woken + 1_500.0}
    assert len(served_after) >= 30 and len(list(trace.of(EventKind.CUT_OFF))) >= 4


def test_clients_of_a_slow_link_are_served_and_cost_nobody_else(tmp_path: Path) -> None:
    """Latency between clients and half of the balancers delays requests, but causes no second attempt."""
    delay = {"at": 1.5, "links": "clients > n*", "part": 0.5, "do": "delay 300", "for": 3.0}
    _, trace = run_play(tmp_path, script_with(6.0, [delay]))
    assert rule_violations(trace) == []
    began, ended = fault_time(trace, "delay 300"), fault_time(trace, "sound")
    requests = [entry.request_id for entry in trace.of(EventKind.ATTEMPT) if began <= entry.at < ended]
    assert len(requests) == len(set(requests)) >= 60, "one attempt per request"
    ups = [entry.ms for entry in trace.of(EventKind.UP) if began + 700.0 <= entry.at < ended]
    assert sum(ms >= 600.0 for ms in ups) >= 10 <= sum(ms < 300.0 for ms in ups)
    assert count_refusals(trace, began) <= 0.02 * len(requests)


def test_a_broken_balancer_is_found_by_the_checker_for_each_of_them() -> None:
    """The grace of each balancer starts when the list is written to it, and both send after its end."""
    times = iter([0.0, 0.0, 500.0, 3_400.0, 3_600.0])
    trace = Trace(lambda: next(times))
    trace.add(EventKind.LISTED, server="a", detail="leaving", balancer="n1")
    trace.add(EventKind.LISTED, server="a", detail="leaving", balancer="n2")
    trace.add(EventKind.ATTEMPT, request_id="late", server="a", balancer="n1", detail="1")
    trace.add(EventKind.ATTEMPT, request_id="later", server="a", balancer="n2", detail="2")
    assert [violation.partition(":")[0] for violation in checks.draining_servers_spared(trace)] == [
        "late",
        "later",
    ]
