"""The stage itself: scripts, relays, checkers over links that fail, what a trace tells, and whole stories."""

from __future__ import annotations

import random
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import anyio
import anyio.abc
import pytest

from puffinford.cli import main
from puffinford.cli.stage import STORIES_DIRECTORY
from puffinford.stage.play import Failed, Play
from puffinford.stage.relays import RelayEnded, relays
from puffinford.stage.report import Report, latencies, spans
from puffinford.stage.script import BadScript, Script, read_script
from puffinford.stage.spread import Second, chance, evenness, idle, loads, refused_with_room
from puffinford.standins import checks
from puffinford.standins.discovery import Discovery
from puffinford.standins.listeners import HOST, LineStream
from puffinford.standins.servers import ServerProfile
from puffinford.standins.trace import EventKind, Trace
from tests.harness import Peer, harness, http_call, trace_of

SMALL: dict[str, Any] = {"balancers": 3, "zones": 3, "servers": {"gw": {"count": 3}}}


# Scripts


@pytest.mark.parametrize(
    ("more", "place"),
    [
        ({"balancers": 2.5}, "balancers: no whole number"),
        ({"rate": float("nan")}, "rate nan"),
        ({"busy": {"n9": 2}}, "busy.n9: .*names none"),
        ({"busy": {"n*": {"part": 0.5}}}, "busy.n.: not a mapping of part times"),
        ({"busy": {"n1": 0}}, "times is not over 0"),
        ({"servers": {"gw": {"capacity": "big"}}}, "servers.gw.capacity 'big'"),
        ({"servers": []}, "servers: not a mapping"),
        ({"events": {"at": 1}}, "events: no list"),
        ({"events": [{"at": 1, "servers": "gw-1", "links": "n1 > gw-1"}]}, "entry 1: needs one of"),
        ({"events": [{"at": 1, "balancers": "n1", "do": "kill", "until": 3}]}, "entry 1: unknown: until"),
        ({"events": [{"at": 1, "balancers": "n1", "do": "descriptors none"}]}, "entry 1: .*descriptors"),
        ({"events": [{"at": 1, "balancers": "n1", "do": "crowd 0"}]}, "entry 1: .*crowd"),
        ({"holding": 0.5}, "holding: no whole number"),
        ({"events": [{"at": 1, "servers": "zone:z9", "do": "crash"}]}, "entry 1: 'zone:z9' names none"),
        ({"events": [{"at": 1, "lists": "n1", "do": "late"}]}, "entry 1: 'late' is none"),
        ({"events": [{"at": 1, "lists": "n1", "do": "late 1e9"}]}, "entry 1: .*60000 ms"),
        ({"events": [{"at": 1, "links": "n1 > discovery", "do": "sing"}]}, "entry 1: 'sing' is none"),
    ],
)
def test_a_story_that_cannot_be_played_is_refused_by_place_and_value(
    more: dict[str, Any], place: str
) -> None:
    with pytest.raises(BadScript, match=place):
        read_script({**SMALL, **more})


def test_every_story_that_comes_with_the_program_can_be_read_at_any_size() -> None:
    names = {path.stem for path in STORIES_DIRECTORY.glob("*.yaml")}
    assert names >= {
        "calm",
        "busy",
        "killed",
        "frozen",
        "silent",
        "far",
        "unheard",
        "dropping",
        "cold",
        "lists",
        "two",
    }
    for path in STORIES_DIRECTORY.glob("*.yaml"):
        small, large = read_script(path), read_script(path, balancers=200, rate=300.0)
        assert [event.do for event in small.events] == [event.do for event in large.events]
        assert path.read_text().startswith("# ")


def test_zones_and_the_busy_are_drawn_the_same_each_time() -> None:
    told = {**SMALL, "balancers": 20, "busy": {"n*": {"part": 0.1, "times": 5}}}
    one, again = read_script(told), read_script(told)
    assert one.busy == again.busy and list(one.busy.values()) == [5.0, 5.0]
    assert one.names["n4"] == "z1" and one.servers["gw-3"].zone == "z3"


@pytest.mark.parametrize(("words", "error"), [(["no-such-story"], "No such file"), (["{file}"], "entry 1")])
def test_the_command_names_what_cannot_be_played(
    words: list[str], error: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "story.yaml"
    path.write_text("events: [{at: 1, balancers: n7, do: kill}]")
    assert main(["stage", "play", *(word.format(file=path) for word in words)]) == 2
    assert error in capsys.readouterr().err
    assert main(["stage", "list"]) == 0 and "frozen" in capsys.readouterr().out


# Relays and the play's own parties


@pytest.mark.anyio
async def test_links_in_relay_processes_pass_lines_on_fail_as_told_and_end_with_them() -> None:
    async with harness() as here:

        async def echo(peer: Peer) -> None:
            while (line := await peer.line()) not in (b"FIN", b"RST"):
                await peer.stream.send(line)

        async def handle(stream: anyio.abc.SocketStream) -> None:
            await echo(Peer(stream))

        port = await here.listen(handle)
        async with relays(2) as made:
            await made.make(1, {"a>x": port, "a>y": port})
            await made.make(2, {"b>x": port})
            assert len(set(made.ports.values())) == 3
            lines = [
                LineStream(await anyio.connect_tcp(HOST, made.ports[name])) for name in ("a>x", "a>y", "b>x")
            ]
            for line in lines:
                await line.send_line(b"one")
            assert [await line.next() for line in lines] == [b"one"] * 3
            await made.become(["a>y", "b>x"], "rst")
            assert [await line.next() for line in lines[1:]] == [LineStream.RST] * 2
            await lines[0].send_line(b"two")
            assert await lines[0].next() == b"two"
            await made.look()
            assert made.lateness < 1_000.0
            with pytest.raises(RelayEnded, match=r"relay 2: .*sing"):
                await made.become(["a>x"], "sing")
        assert await lines[0].next() in (LineStream.FIN, LineStream.RST), "with its process"
        here.tasks.cancel_scope.cancel()


@pytest.mark.parametrize("party", ["balancer", "relay"])
def test_a_story_in_which_a_party_is_missing_is_no_green_one(party: str, tmp_path: Path) -> None:
    story = {**SMALL, "seconds": 30.0, "events": [{"at": 0.1, "links": "n1 > gw-1", "do": "hold"}]}
    play = Play(read_script(story), tmp_path)

    def end(relay: anyio.abc.Process | None = None) -> None:
        if party == "balancer":
            play.balancers[1].signal(9)
        else:
            play.relays._parts[0]._process.kill()

    async def run() -> None:
        async with anyio.create_task_group() as tasks:

            async def strike() -> None:
                while not play.trace.serving_started_at:
                    await anyio.sleep(0.01)
                end()

            tasks.start_soon(strike)
            with pytest.raises(
                Failed, match="n2 ended by itself" if party == "balancer" else "relay 1 ended"
            ):
                await play.run()

    with anyio.from_thread.start_blocking_portal() as portal:
        portal.call(run)
    assert not any(balancer.running for balancer in play.balancers)


# Checkers over links that fail


@pytest.mark.parametrize(("until", "late"), [(6_000.0, 0), (2_000.0, 1)])
def test_what_a_failed_link_to_discovery_held_back_counts_as_told_when_it_is_sound(
    until: float, late: int
) -> None:
    trace = trace_of(
        (1_000.0, EventKind.FAULT, {"balancer": "n1>discovery", "detail": "hold back"}),
        (1_500.0, EventKind.LISTED, {"server": "a", "detail": "leaving", "balancer": "n1"}),
        (1_500.0 + until - 1_500.0, EventKind.FAULT, {"balancer": "n1>discovery", "detail": "sound"}),
        (6_500.0, EventKind.ATTEMPT, {"request_id": "j", "server": "a", "balancer": "n1", "detail": "1"}),
    )
    assert len(checks.draining_servers_spared(trace)) == late


def test_what_is_missed_counts_as_told_though_the_link_never_comes_back() -> None:
    trace = trace_of(
        (1_000.0, EventKind.FAULT, {"balancer": "n1>discovery", "detail": "drop"}),
        (1_500.0, EventKind.LISTED, {"server": "a", "detail": "leaving", "balancer": "n1"}),
        (
            10_900.0,
            EventKind.ATTEMPT,
            {"request_id": "early", "server": "a", "balancer": "n1", "detail": "1"},
        ),
        (11_100.0, EventKind.ATTEMPT, {"request_id": "late", "server": "a", "balancer": "n1", "detail": "2"}),
    )
    assert [breach.partition(":")[0] for breach in checks.draining_servers_spared(trace)] == ["late"]


@pytest.mark.parametrize(("link", "broken"), [("n1>a", 0), ("n1>b", 1)])
def test_a_claim_behind_a_link_that_passes_nothing_is_not_taken_for_out(link: str, broken: int) -> None:
    trace = trace_of(
        (0.0, EventKind.REQUESTED, {"request_id": "j", "balancer": "n1"}),
        (100.0, EventKind.FAULT, {"balancer": link, "detail": "hold there"}),
        (200.0, EventKind.ATTEMPT, {"request_id": "j", "server": "a", "detail": "1"}),
        (1_300.0, EventKind.ATTEMPT, {"request_id": "j", "server": "c", "detail": "2"}),
        (2_000.0, EventKind.FAULT, {"balancer": link, "detail": "sound"}),
        (2_010.0, EventKind.ATTEMPT_END, {"request_id": "j", "server": "a", "detail": "1"}),
        (2_500.0, EventKind.ATTEMPT_END, {"request_id": "j", "server": "c", "detail": "2"}),
    )
    assert len(checks.no_overlapping_attempts(trace)) == broken
    assert {entry.balancer for entry in trace.of(EventKind.ATTEMPT)} == {"n1"}, (
        "named by where its client went"
    )


@pytest.mark.anyio
async def test_one_balancer_is_told_its_lists_another_way() -> None:
    async with harness() as here:
        trace = Trace(here.clock.now)
        discovery = Discovery(here.clock, trace, here.tasks)
        for n in range(6):
            discovery.registry.put(f"s-{n}", addr=f"127.0.0.1:{7_000 + n}")
        views = {
            by: discovery.add_view(by, lambda ident: f"127.0.0.1:{ident[2:]}") for by in ("n1", "n2", "n3")
        }
        discovery.set_mode("sound")
        discovery.set_twist("n1", "reversed")
        discovery.set_twist("n2", "short")

        async def listed(by: str) -> list[str]:
            _, body = await http_call(int(views[by].rpartition(":")[2]), "GET /v1/servers")
            return [part[:3] for part in body.split('"id": "')[1:]]

        assert await listed("n3") == [f"s-{n}" for n in range(6)]
        assert await listed("n1") == [f"s-{n}" for n in reversed(range(6))]
        assert await listed("n2") == ["s-0", "s-1", "s-2", "s-3"]
        gone = {
            (entry.server, entry.balancer) for entry in trace.of(EventKind.LISTED) if entry.detail == "left"
        }
        assert gone == {("s-4", "n2"), ("s-5", "n2")}, "what a whole list does not name is gone"
        here.tasks.cancel_scope.cancel()


# What is read from a trace


def stood(*counts: Sequence[int]) -> list[Second]:
    return [Second(1_000.0 * n, tuple(row)) for n, row in enumerate(counts)]


def test_evenness_goes_by_what_each_server_should_carry() -> None:
    even = evenness(stood((20, 40), (20, 40)), [1.0, 2.0])
    assert even is not None and even.fullest == even.emptiest == even.worst == 1.0 and even.mean == 30.0
    skew = evenness(stood((40, 20), (20, 40)), [1.0, 1.0])
    assert skew is not None and skew.fullest == pytest.approx(4 / 3) and skew.worst == pytest.approx(1.0)
    assert evenness([], [1.0]) is None and evenness(stood((0, 0)), [1.0, 1.0]) is None
    assert 1.3 < chance(900, [1.0] * 30, random.Random(1)) < 1.6


def test_loads_idle_servers_and_refusals_with_room_are_counted() -> None:
    entries: list[tuple[float, EventKind, dict[str, Any]]] = [
        (float(n), EventKind.UP, {"request_id": f"j{n}", "server": "a"}) for n in range(100)
    ]
    entries += [(2_500.0, EventKind.DONE, {"server": "a"}), (3_500.0, EventKind.BUSY, {"request_id": "late"})]
    trace = trace_of(
        *entries,
        (3_600.0, EventKind.STATE, {"server": "b", "detail": "silent"}),
        (3_700.0, EventKind.BUSY, {}),
    )
    rows = loads(trace, ["a", "b"], 1_000.0, 3_000.0)
    assert [row.held for row in rows] == [(100, 0), (100, 0), (99, 0)]
    assert idle(rows, ["a", "b"], {"a": 0.0, "b": 0.0}) == ["b"]
    assert idle(rows, ["a", "b"], {"a": 0.0, "b": 1_500.0}) == [], "two seconds are not over"
    assert refused_with_room(trace, {"a": 100.0, "b": 100.0}, 0.0, 4_000.0) == 1, (
        "a full one and a silent one"
    )


def test_a_report_has_tables_a_picture_and_the_faults_as_spans(tmp_path: Path) -> None:
    trace = trace_of(
        (100.0, EventKind.REQUESTED, {"request_id": "j", "cls": "price-lookup", "balancer": "n1"}),
        (105.0, EventKind.UP, {"request_id": "j", "cls": "price-lookup", "server": "gw", "ms": 5.0}),
        (1_000.0, EventKind.FAULT, {"balancer": "n1", "detail": "freeze"}),
        (1_001.0, EventKind.FAULT, {"balancer": "n2", "detail": "freeze"}),
        (5_000.0, EventKind.FAULT, {"balancer": "n1", "detail": "wake"}),
        (5_001.0, EventKind.FAULT, {"balancer": "n2", "detail": "wake"}),
        (9_000.0, EventKind.DONE, {"request_id": "j", "server": "gw"}),
    )
    trace.serving_ended_at = 9_000.0
    assert [str(span) for span in spans(trace)] == ["freeze: n1, n2"]
    assert latencies(trace.of(EventKind.UP)) == pytest.approx([5.0] * 4, rel=0.01) and latencies([]) == []
    report = Report(trace, Script(servers={"gw": ServerProfile()}))
    assert "rules kept" in report.text() and "freeze: n1, n2" in report.text()
    report.picture(tmp_path / "play.png")
    assert (tmp_path / "play.png").stat().st_size > 10_000


# Whole stories, with five real balancers


@pytest.mark.parametrize("name", ["deaf", "lists", "rolling", "starts", "two"])
def test_a_story_with_five_balancers_keeps_the_rules(name: str, tmp_path: Path) -> None:
    script = read_script(
        STORIES_DIRECTORY / f"{name}.yaml", balancers=8 if name in ("starts", "lists") else 5, rate=30.0
    )
    trace = anyio.run(Play(script, tmp_path).run)
    report = Report(trace, script)
    assert report.broken == []
    turned, with_room = report.refused()
    assert with_room <= 0.02 * len(list(trace.of(EventKind.REQUESTED))), turned
    assert {span.do for span in report.faults} >= {
        event.do for event in script.events if event.whom != "server"
    }
    assert report.idle() == []
