"""Scripts, relay processes of links, checks while links fail, evaluation of traces, and complete plays."""

from __future__ import annotations

import random
import signal
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, cast

import anyio
import anyio.abc
import pytest

from puffinford.cli import main
from puffinford.cli.stage import STORIES_DIRECTORY
from puffinford.core.clock import Clock
from puffinford.stage.play import Play, PlayFailed
from puffinford.stage.relays import RelayEnded, start_relays
from puffinford.stage.report import Report, fault_spans, latency_percentiles
from puffinford.stage.script import InvalidScript, Script, read_script
from puffinford.stage.spread import (
    LoadSample,
    evenness,
    idle_servers,
    random_placement_ratio,
    refusals_with_free_capacity,
    sample_loads,
)
from puffinford.standins import checks
from puffinford.standins.balancer import BalancerProcess
from puffinford.standins.discovery import Discovery
from puffinford.standins.listeners import HOST, LineStream
from puffinford.standins.servers import ServerProfile
from puffinford.standins.trace import EventKind, Trace
from tests.harness import Peer, harness, http_call, trace_of

BASE_SCRIPT: dict[str, Any] = {"balancers": 3, "zones": 3, "servers": {"gw": {"count": 3}}}


# Scripts


@pytest.mark.parametrize(
    ("more", "place"),
    [
        ({"balancers": 2.5}, "balancers: not a whole number"),
        ({"rate": float("nan")}, "rate nan"),
        ({"busy": {"n9": 2}}, "busy.n9: .*names none"),
        ({"busy": {"n*": {"part": 0.5}}}, "busy.n.: not a mapping of part times"),
        ({"busy": {"n1": 0}}, "times must be over 0"),
        ({"servers": {"gw": {"capacity": "big"}}}, "servers.gw.capacity 'big'"),
        ({"servers": []}, "servers: not a mapping"),
        ({"events": {"at": 1}}, "events: not a list"),
        ({"events": [{"at": 1, "servers": "gw-1", "links": "n1 > gw-1"}]}, "entry 1: needs one of"),
        ({"events": [{"at": 1, "balancers": "n1", "do": "kill", "until": 3}]}, "entry 1: unknown: until"),
        ({"events": [{"at": 1, "balancers": "n1", "do": "descriptors none"}]}, "entry 1: .*descriptors"),
        ({"events": [{"at": 1, "balancers": "n1", "do": "crowd 0"}]}, "entry 1: .*crowd"),
        ({"holding": 0.5}, "holding: not a whole number"),
        ({"events": [{"at": 1, "servers": "zone:z9", "do": "crash"}]}, "entry 1: 'zone:z9' names none"),
        ({"events": [{"at": 1, "lists": "n1", "do": "late"}]}, "entry 1: 'late' is none"),
        ({"events": [{"at": 1, "lists": "n1", "do": "late 1e9"}]}, "entry 1: .*60000 ms"),
        ({"events": [{"at": 1, "links": "n1 > discovery", "do": "sing"}]}, "entry 1: 'sing' is none"),
    ],
)
def test_a_story_that_cannot_be_played_is_refused_by_place_and_value(
    more: dict[str, Any], place: str
) -> None:
    with pytest.raises(InvalidScript, match=place):
        read_script({**BASE_SCRIPT, **more})


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
    source = {**BASE_SCRIPT, "balancers": 20, "busy": {"n*": {"part": 0.1, "times": 5}}}
    first, second = read_script(source), read_script(source)
    assert first.busy == second.busy and list(first.busy.values()) == [5.0, 5.0]
    assert first.balancer_zones["n4"] == "z1" and first.servers["gw-3"].zone == "z3"


@pytest.mark.parametrize(("words", "error"), [(["no-such-story"], "No such file"), (["{file}"], "entry 1")])
def test_the_command_names_what_cannot_be_played(
    words: list[str], error: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "story.yaml"
    path.write_text("events: [{at: 1, balancers: n7, do: kill}]")
    assert main(["stage", "play", *(word.format(file=path) for word in words)]) == 2
    assert error in capsys.readouterr().err
    assert main(["stage", "list"]) == 0 and "frozen" in capsys.readouterr().out


# Relay processes, and parties that end during a play


@pytest.mark.anyio
async def test_links_in_relay_processes_forward_lines_fail_as_commanded_and_end_with_them() -> None:
    async with harness() as here:

        async def echo(peer: Peer) -> None:
            while (line := await peer.line()) not in (b"FIN", b"RST"):
                await peer.stream.send(line)

        async def handle(stream: anyio.abc.SocketStream) -> None:
            await echo(Peer(stream))

        port = await here.listen(handle)
        async with start_relays(2) as links:
            await links.add_links(1, {"a>x": port, "a>y": port})
            await links.add_links(2, {"b>x": port})
            assert len(set(links.ports.values())) == 3
            lines = [
                LineStream(await anyio.connect_tcp(HOST, links.ports[name])) for name in ("a>x", "a>y", "b>x")
            ]
            for line in lines:
                await line.send_line(b"one")
            assert [await line.next() for line in lines] == [b"one"] * 3
            await links.set_fault(["a>y", "b>x"], "rst")
            assert [await line.next() for line in lines[1:]] == [LineStream.RST] * 2
            await lines[0].send_line(b"two")
            assert await lines[0].next() == b"two"
            await links.poll_lateness()
            assert links.max_lateness_ms < 1_000.0
            with pytest.raises(RelayEnded, match=r"relay 2: .*sing"):
                await links.set_fault(["a>x"], "sing")
        assert await lines[0].next() in (LineStream.FIN, LineStream.RST), "links end with their relay process"
        here.tasks.cancel_scope.cancel()


@pytest.mark.parametrize("party", ["balancer", "relay"])
def test_a_story_in_which_a_party_is_missing_is_no_green_one(party: str, tmp_path: Path) -> None:
    story = {**BASE_SCRIPT, "seconds": 30.0, "events": [{"at": 0.1, "links": "n1 > gw-1", "do": "hold"}]}
    play = Play(read_script(story), tmp_path)

    def end(relay: anyio.abc.Process | None = None) -> None:
        if party == "balancer":
            play.balancers[1].signal(9)
        else:
            play.relays._processes[0]._process.kill()

    async def run() -> None:
        async with anyio.create_task_group() as tasks:

            async def end_party() -> None:
                while not play.trace.serving_started_at:
                    await anyio.sleep(0.01)
                end()

            tasks.start_soon(end_party)
            with pytest.raises(
                PlayFailed, match="n2 ended by itself" if party == "balancer" else "relay 1 ended"
            ):
                await play.run()

    with anyio.from_thread.start_blocking_portal() as portal:
        portal.call(run)
    assert not any(balancer.running for balancer in play.balancers)


# Checkers while links fail


@pytest.mark.parametrize(("until", "late"), [(6_000.0, 0), (2_000.0, 1)])
def test_what_a_failed_link_to_discovery_held_back_counts_as_listed_when_it_is_sound(
    until: float, late: int
) -> None:
    trace = trace_of(
        (1_000.0, EventKind.FAULT, {"balancer": "n1>discovery", "detail": "hold back"}),
        (1_500.0, EventKind.LISTED, {"server": "a", "detail": "leaving", "balancer": "n1"}),
        (1_500.0 + until - 1_500.0, EventKind.FAULT, {"balancer": "n1>discovery", "detail": "sound"}),
        (6_500.0, EventKind.ATTEMPT, {"request_id": "j", "server": "a", "balancer": "n1", "detail": "1"}),
    )
    assert len(checks.draining_servers_spared(trace)) == late


def test_what_is_missed_counts_as_listed_though_the_link_never_comes_back() -> None:
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
    assert [violation.partition(":")[0] for violation in checks.draining_servers_spared(trace)] == ["late"]


@pytest.mark.parametrize(("link", "broken"), [("n1>a", 0), ("n1>b", 1)])
def test_an_attempt_behind_a_link_that_passes_nothing_is_not_taken_for_active(link: str, broken: int) -> None:
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
        "the balancer is that of the request"
    )


@pytest.mark.anyio
async def test_one_balancer_gets_its_lists_in_another_form() -> None:
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
        assert gone == {("s-4", "n2"), ("s-5", "n2")}, "entries missing in a full list have left"
        here.tasks.cancel_scope.cancel()


# Evaluation of traces


def load_samples(*counts: Sequence[int]) -> list[LoadSample]:
    return [LoadSample(1_000.0 * n, tuple(row)) for n, row in enumerate(counts)]


def test_evenness_goes_by_what_each_server_should_carry() -> None:
    even = evenness(load_samples((20, 40), (20, 40)), [1.0, 2.0])
    assert (
        even is not None
        and even.highest_ratio == even.lowest_ratio == even.worst_window_ratio == 1.0
        and even.mean_connections == 30.0
    )
    skew = evenness(load_samples((40, 20), (20, 40)), [1.0, 1.0])
    assert (
        skew is not None
        and skew.highest_ratio == pytest.approx(4 / 3)
        and skew.worst_window_ratio == pytest.approx(1.0)
    )
    assert evenness([], [1.0]) is None and evenness(load_samples((0, 0)), [1.0, 1.0]) is None
    assert 1.3 < random_placement_ratio(900, [1.0] * 30, random.Random(1)) < 1.6


def test_loads_idle_servers_and_refusals_with_free_capacity_are_counted() -> None:
    entries: list[tuple[float, EventKind, dict[str, Any]]] = [
        (float(n), EventKind.UP, {"request_id": f"j{n}", "server": "a"}) for n in range(100)
    ]
    entries += [(2_500.0, EventKind.DONE, {"server": "a"}), (3_500.0, EventKind.BUSY, {"request_id": "late"})]
    trace = trace_of(
        *entries,
        (3_600.0, EventKind.STATE, {"server": "b", "detail": "silent"}),
        (3_700.0, EventKind.BUSY, {}),
    )
    rows = sample_loads(trace, ["a", "b"], 1_000.0, 3_000.0)
    assert [row.connections for row in rows] == [(100, 0), (100, 0), (99, 0)]
    assert idle_servers(rows, ["a", "b"], {"a": 0.0, "b": 0.0}) == ["b"]
    assert idle_servers(rows, ["a", "b"], {"a": 0.0, "b": 1_500.0}) == [], "the grace period is not over"
    assert refusals_with_free_capacity(trace, {"a": 100.0, "b": 100.0}, 0.0, 4_000.0) == 1, (
        "a full server and a silent server"
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
    assert [str(span) for span in fault_spans(trace)] == ["freeze: n1, n2"]
    assert (
        latency_percentiles(trace.of(EventKind.UP)) == pytest.approx([5.0] * 4, rel=0.01)
        and latency_percentiles([]) == []
    )
    report = Report(trace, Script(servers={"gw": ServerProfile()}))
    assert "rules kept" in report.text() and "freeze: n1, n2" in report.text()
    report.write_chart(tmp_path / "play.png")
    assert (tmp_path / "play.png").stat().st_size > 10_000


# Complete stories, with real balancers


@pytest.mark.parametrize("name", ["deaf", "lists", "rolling", "starts", "two"])
def test_a_story_with_five_balancers_keeps_the_rules(name: str, tmp_path: Path) -> None:
    script = read_script(
        STORIES_DIRECTORY / f"{name}.yaml", balancers=8 if name in ("starts", "lists") else 5, rate=30.0
    )
    trace = anyio.run(Play(script, tmp_path).run)
    report = Report(trace, script)
    assert report.violations == []
    refused, with_free_capacity = report.count_refusals()
    assert with_free_capacity <= 0.02 * len(list(trace.of(EventKind.REQUESTED))), refused
    assert {span.do for span in report.faults} >= {
        event.do for event in script.events if event.whom != "server"
    }
    assert report.idle_servers() == []


class SlowlyEndingBalancer:
    """A balancer process that still runs for a while after SIGKILL, as on a busy machine."""

    name = "n1"
    settings: Mapping[str, Any] = {"classes": []}

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.ready = True
        self.killed_at = float("inf")
        self.started_while_running: bool | None = None

    @property
    def running(self) -> bool:
        return self._clock.now() < self.killed_at + 50.0

    def signal(self, signum: int) -> None:
        if signum == signal.SIGKILL:
            self.killed_at = min(self.killed_at, self._clock.now())

    def write_settings(self, settings: Mapping[str, Any]) -> None: ...

    def start(self) -> None:
        self.started_while_running = self.running


@pytest.mark.anyio
async def test_a_restarted_balancer_is_started_after_its_predecessor_has_ended(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a SIGHUP to a process that is only starting, as its predecessor still accepts for it."""
    play = Play(read_script(BASE_SCRIPT), tmp_path)
    balancer = SlowlyEndingBalancer(play.clock)
    monkeypatch.setattr(play, "_start", lambda started: started.start())
    await play._planned_restart(cast(BalancerProcess, balancer))
    assert balancer.started_while_running is False
