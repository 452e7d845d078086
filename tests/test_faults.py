"""Faults between several real processes: what is struck, what links do to lines, and that rules hold."""

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
from puffinford.stage.faults import BadFault, read_fault, struck
from puffinford.stage.links import Link
from puffinford.stage.play import Play
from puffinford.stage.script import BadScript, read_script
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
    with pytest.raises(BadFault, match=r"none of|needs|no way"):
        read_fault(text)


@given(st.text(max_size=30))
def test_no_words_do_more_than_be_refused(text: str) -> None:
    try:
        fault = read_fault(text)
    except BadFault:
        return
    assert read_fault(f"{fault.kind} {fault.figure or ''} {fault.way}") == fault


def test_a_fault_strikes_the_same_part_each_time() -> None:
    fifth = struck("n*", BALANCERS, 0.2, random.Random("7/1"))
    assert len(fifth) == 2 and fifth == struck("n*", BALANCERS, 0.2, random.Random("7/1"))
    assert struck("zone:z1", BALANCERS, 1.0, random.Random(1)) == ["n1", "n4", "n7", "n10"]
    assert len(struck("n1, n2", BALANCERS, 0.01, random.Random(1))) == 1
    for pattern, part in (("n99", 1.0), ("zone:z9", 1.0), ("n*", 0.0), ("n*", 1.5)):
        with pytest.raises(BadFault, match=r"names none|part"):
            struck(pattern, BALANCERS, part, random.Random(1))


@pytest.mark.parametrize(
    ("event", "place"),
    [
        ({"at": 1, "links": "n1", "do": "hold"}, "no A > B"),
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
    with pytest.raises(BadScript, match="events, entry 1: .*" + place):
        read_script({"balancers": 3, "servers": {"gw": {"count": 2}}, "events": [event]})


class Line:
    """A line from one end through a link to an echo at the other."""

    def __init__(self, clock: Clock, tasks: anyio.abc.TaskGroup) -> None:
        self.clock, self.tasks = clock, tasks
        self.ended: list[bytes] = []  # how lines ended at the far end

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
        return await self.another()

    async def another(self) -> LineStream:
        return LineStream(await anyio.connect_tcp(HOST, self.link.number))


@pytest.mark.anyio
@pytest.mark.parametrize("end", ["FIN", "RST"])
async def test_a_sound_link_keeps_bytes_and_how_a_line_ends(end: str) -> None:
    async with anyio.create_task_group() as tasks:
        line = Line(Clock(), tasks)
        near = await line.open()
        sent = [b"x" * size for size in (1, 70_000, 3)]
        for piece in sent:
            await near.send_line(piece)
        assert [await near.next() for _ in sent] == sent
        if end == "FIN":
            await near.stream.send_eof()
            assert await near.next() == LineStream.FIN
        else:
            await reset(near.stream)
            while not line.ended:
                await anyio.sleep(0)
        assert line.ended == [LineStream.FIN if end == "FIN" else LineStream.RST]
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_a_delayed_link_passes_nothing_on_before_its_time() -> None:
    clock = SettableClock()
    async with anyio.create_task_group() as tasks:
        line = Line(clock, tasks)
        near = await line.open()
        await line.link.become(read_fault("delay 300 back"))
        await near.send_line(b"one")
        while not clock.waiting:  # the echo has come, and its time has not
            await anyio.sleep(0)
        there = line.link.passed
        clock.advance(299.0)
        await anyio.wait_all_tasks_blocked()
        assert line.link.passed == there == len(b"one\r\n"), "there, and not back"
        clock.advance(1.0)
        assert await near.next() == b"one" and line.link.lateness == 0.0
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("fault", "after"),
    [("hold", b"one"), ("hold back", b"one"), ("drop back", None), ("drop", None), ("cut 2", LineStream.RST),
     ("rst", LineStream.RST), ("fin", LineStream.FIN)],
)  # fmt: skip
async def test_what_becomes_of_a_line_in_a_fault_and_after_it(fault: str, after: bytes | None) -> None:
    async with anyio.create_task_group() as tasks:
        line = Line(Clock(), tasks)
        near = await line.open()
        await near.send_line(b"zero")
        assert await near.next() == b"zero"
        await line.link.become(read_fault(fault))
        await near.send_line(b"one")
        heard: list[bytes] = []

        async def hear() -> None:
            heard.append(await near.next())

        tasks.start_soon(hear)
        passed = line.link.passed
        if after is not None and not fault.startswith("hold"):
            while not heard:
                await anyio.sleep(0)
        else:
            far = len(b"one\r\n") if fault.endswith("back") else 0
            while line.link.passed < passed + far:
                await anyio.sleep(0)
            await anyio.wait_all_tasks_blocked()
            assert not heard
        await line.link.become(read_fault("sound"))
        fresh = await line.another()
        await fresh.send_line(b"two")
        assert await fresh.next() == b"two", "a new line finds the link sound"
        if after is not None:
            while not heard:
                await anyio.sleep(0)
        assert heard == ([] if after is None else [after])
        tasks.cancel_scope.cancel()


# Stories


def told(seconds: float, events: list[dict[str, Any]], **more: Any) -> dict[str, Any]:
    kinds = {"desk": {"life": 1_500.0, "every": 600.0, "give_up": 2_000.0, "groups": 200}}
    base = {"seed": 5, "seconds": seconds, "balancers": 4, "rate": 40.0, "classes": kinds}
    return {**base, "servers": {"gw": {"count": 5, "capacity": 200}}, "events": events, **more}


def played(tmp_path: Path, script: dict[str, Any]) -> tuple[Play, Trace]:
    play = Play(read_script(script), tmp_path)
    return play, anyio.run(play.run)


def kept(trace: Trace) -> list[str]:
    return [
        *checks.one_final_answer(trace, trace.serving_ended_at - 2_500.0),
        *checks.no_overlapping_attempts(trace),
        *checks.draining_servers_spared(trace),
    ]


def at(trace: Trace, detail: str) -> float:
    """When a fault was played, in ms."""
    return next(entry.at for entry in trace.of(EventKind.FAULT) if entry.detail == detail)


def refused(trace: Trace, since: float) -> int:
    """Jobs that were turned away from then on; before, balancers wait for their first list."""
    return sum(entry.at >= since for entry in trace.of(EventKind.BUSY, EventKind.FAILED))


def claims(trace: Trace, server: str, since: float, until: float) -> dict[str, int]:
    """Claims at a server between two times, by balancer."""
    made: dict[str, int] = {}
    for entry in trace.of(EventKind.ATTEMPT):
        if entry.server == server and since <= entry.at < until:
            made[entry.balancer] = made.get(entry.balancer, 0) + 1
    return made


def test_the_end_of_a_story_turns_no_client_into_a_lost_one(tmp_path: Path) -> None:
    """Clients whom the end of the balancers cut off came again, found none, and stood in the column lost."""
    kinds = {"desk": {"life": 400.0, "every": 100.0, "give_up": 2_000.0}}
    _, trace = played(tmp_path, told(3.0, [], classes=kinds, rate=200.0))
    assert list(trace.of(EventKind.LOST)) == []


def test_answers_lost_on_the_way_back_from_half_of_the_balancers(tmp_path: Path) -> None:
    """The half that hears nothing of a server leaves it after few clients; the rest goes on, all return.

    Groups have their homes by hash: at 40 clients a second none of 27 that came to a sound balancer in the
    window was at home there, in one play of forty. At 100 that is one of a million.
    """
    lost = {"at": 1.5, "links": "n* > gw-1", "part": 0.5, "do": "drop back", "for": 4.0}
    play, trace = played(tmp_path, told(11.0, [lost], rate=100.0))
    assert kept(trace) == []
    began, ended = at(trace, "drop back"), at(trace, "sound")
    struck_ones = {name.partition(">")[0] for event in play.script.events for name in event.names}
    assert len(struck_ones) == 2
    for name in struck_ones:
        first = next(
            e
            for e in trace.of(EventKind.ATTEMPT)
            if e.balancer == name and e.server == "gw-1" and e.at > began
        )
        given_up = (
            next(e.at for e in trace.of(EventKind.ATTEMPT_END) if e.detail == first.detail)
            + checks.ORDER_TOLERANCE_MS
        )
        trials = claims(trace, "gw-1", given_up, ended).get(name, 0)
        assert trials <= 2, "after 250 ms, a second out, 500 ms, another second: the third comes later"
    sound_ones = set(claims(trace, "gw-1", began + 1_500.0, ended)) - struck_ones
    assert len(sound_ones) == 2
    assert set(claims(trace, "gw-1", ended, trace.elapsed)) >= struck_ones
    assert refused(trace, began) <= 0.02 * len(list(trace.of(EventKind.REQUESTED))), (
        "four sound servers have room"
    )


def test_a_frozen_balancer_does_not_act_on_what_it_knew(tmp_path: Path) -> None:
    """While it stands still two servers are told to be going; woken past the grace it sends nothing there.

    It stands still for longer than its watch may take: at the wake that call is over, its answer unread.
    """
    events = [
        {"at": 1.5, "balancers": "n*", "part": 0.25, "do": "freeze", "for": 7.0},
        {"at": 1.7, "server": "gw-1", "do": "draining"},
        {"at": 1.7, "server": "gw-2", "do": "leaving"},
        {"at": 0.5, "links": "clients > n1", "do": "sound"},
    ]
    play, trace = played(tmp_path, told(11.0, events))
    (frozen,) = next(event.names for event in play.script.events if event.do == "freeze")
    woken = at(trace, "wake")
    told_at = [
        entry.at
        for entry in trace.of(EventKind.LISTED)
        if entry.balancer == frozen and entry.detail == "leaving"
    ]
    assert told_at and min(told_at) < woken - 3_000.0, "what is written to it counts as told"
    assert [breach for breach in kept(trace) if "no answer" not in breach] == []
    for server in ("gw-1", "gw-2"):
        assert claims(trace, server, woken, trace.elapsed).get(frozen, 0) == 0
    assert any(claims(trace, f"gw-{n}", woken, trace.elapsed).get(frozen, 0) for n in (3, 4, 5))


def test_balancers_held_up_for_a_moment_keep_the_shortest_grace(tmp_path: Path) -> None:
    """Each stands still for 0.15 s over the moment in which a drain is told, four times over."""
    events: list[dict[str, Any]] = []
    for n in range(4):
        events.append({"at": 1.0 + 0.6 * n, "balancers": "n*", "do": "freeze", "for": 0.15})
        events.append({"at": 1.02 + 0.6 * n, "server": f"gw-{n + 1}", "do": "leaving"})
    play, trace = played(tmp_path, told(4.5, events, rate=150.0))
    assert sum(entry.detail == "freeze" for entry in trace.of(EventKind.FAULT)) == 16
    assert checks.draining_servers_spared(trace, 500.0 + play.lateness) == []
    assert kept(trace) == []


def test_requests_with_next_to_no_time_left_have_their_answer(tmp_path: Path) -> None:
    """Some have less than a connection takes; some servers drop them without a word, or break them off."""
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
    script = told(4.0, events, classes=kinds, rate=120.0, patience=500.0)
    play, trace = played(tmp_path, script)
    assert checks.one_final_answer(trace, trace.serving_ended_at - 2_500.0) == []
    # Claims last some ms here: what the stand-ins saw may be later by their own loop, at both ends.
    assert checks.no_overlapping_attempts(trace, checks.ORDER_TOLERANCE_MS + 2.0 * play.lateness) == []
    late = [entry for entry in trace.of(EventKind.LOST) if entry.at < trace.serving_ended_at - 600.0]
    assert late == [], "an answer comes within half a second after the time"
    told_kinds = {kind.name: (kind.effect, kind.window + play.lateness) for kind in play.script.kinds}
    assert checks.effects_not_repeated(trace, told_kinds) == []


def test_a_third_of_the_balancers_killed_at_once(tmp_path: Path) -> None:
    """Their clients come to the rest, which lose and refuse nobody; those that come back take part again."""
    killed = {"at": 2.0, "balancers": "n*", "part": 0.34, "do": "kill", "for": 2.0}
    play, trace = played(tmp_path, told(7.0, [killed], balancers=6))
    struck_ones = {name for event in play.script.events for name in event.names}
    assert len(struck_ones) == 2
    began, woken = at(trace, "kill"), at(trace, "wake")
    lost = [entry.at for entry in trace.of(EventKind.LOST) if began <= entry.at < trace.serving_ended_at]
    assert kept(trace) == [] and all(when < began + 250.0 for when in lost)
    assert refused(trace, began) - refused(trace, woken) == 0
    back = {entry.request_id for entry in trace.of(EventKind.UP) if entry.at > woken + 1_500.0}
    assert len(back) >= 30 and len(list(trace.of(EventKind.CUT_OFF))) >= 4


def test_clients_of_a_slow_link_are_served_and_cost_nobody_else(tmp_path: Path) -> None:
    """300 ms each way between clients and half of the balancers: later, and no claim is made twice for it."""
    slow = {"at": 1.5, "links": "clients > n*", "part": 0.5, "do": "delay 300", "for": 3.0}
    _, trace = played(tmp_path, told(6.0, [slow]))
    assert kept(trace) == []
    began, ended = at(trace, "delay 300"), at(trace, "sound")
    jobs = [entry.request_id for entry in trace.of(EventKind.ATTEMPT) if began <= entry.at < ended]
    assert len(jobs) == len(set(jobs)) >= 60, "one claim a job"
    ups = [entry.ms for entry in trace.of(EventKind.UP) if began + 700.0 <= entry.at < ended]
    assert sum(ms >= 600.0 for ms in ups) >= 10 <= sum(ms < 300.0 for ms in ups)
    assert refused(trace, began) <= 0.02 * len(jobs)


def test_a_broken_balancer_is_found_by_the_checker_for_each_of_them() -> None:
    """One that was told late is not blamed for it, and one that goes on sending is."""
    times = iter([0.0, 0.0, 500.0, 3_400.0, 3_600.0])
    trace = Trace(lambda: next(times))
    trace.add(EventKind.LISTED, server="a", detail="leaving", balancer="n1")
    trace.add(EventKind.LISTED, server="a", detail="leaving", balancer="n2")
    trace.add(EventKind.ATTEMPT, request_id="late", server="a", balancer="n1", detail="1")
    trace.add(EventKind.ATTEMPT, request_id="later", server="a", balancer="n2", detail="2")
    assert [breach.partition(":")[0] for breach in checks.draining_servers_spared(trace)] == ["late", "later"]
