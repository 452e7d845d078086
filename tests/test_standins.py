"""Stand-ins: their trace, the checks of the rules, invalid scripts, and the rules in a short run."""

from __future__ import annotations

import random
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
import pytest
from anyio.abc import SocketStream

from puffinford.core.clock import Clock
from puffinford.stage.demo import DEMO_SCRIPT
from puffinford.stage.play import Play
from puffinford.stage.report import Report, rule_violations
from puffinford.stage.script import InvalidScript, read_script
from puffinford.standins import checks, listeners
from puffinford.standins.balancer import reserve_port
from puffinford.standins.discovery import Discovery, EntryRegistry
from puffinford.standins.listeners import HOST, LineStream, reset
from puffinford.standins.servers import LineServer, ServerProfile
from puffinford.standins.trace import EventKind, Trace
from tests.harness import trace_of


def attempt(
    at: float, request_id: str, server: str, end: float | None = None, balancer: str = ""
) -> list[tuple[float, EventKind, dict[str, Any]]]:
    fields = {
        "request_id": request_id,
        "server": server,
        "detail": f"{request_id}-{server}",
        "balancer": balancer,
    }
    events = [(at, EventKind.ATTEMPT, fields)]
    return events if end is None else [*events, (end, EventKind.ATTEMPT_END, fields)]


REQUESTED, UP, BUSY = (
    (kind, {"request_id": "j"}) for kind in (EventKind.REQUESTED, EventKind.UP, EventKind.BUSY)
)


@pytest.mark.parametrize(
    ("check", "entries", "broken"),
    [
        (checks.one_final_answer, [(0, *REQUESTED), (1, *UP)], 0),
        (checks.one_final_answer, [(0, *REQUESTED), (1, *UP), (2, *BUSY)], 1),
        (checks.one_final_answer, [(0, *REQUESTED)], 1),
        (checks.every_request_answered, [(0, EventKind.LOST, {"request_id": "j"})], 1),
        (checks.no_overlapping_attempts, [*attempt(0, "j", "a", 10), *attempt(10, "j", "b", 500)], 0),
        (
            checks.no_overlapping_attempts,
            sorted([*attempt(0, "j", "a", 300), *attempt(100, "j", "b", 500)], key=lambda event: event[0]),
            1,
        ),
        (
            checks.no_overlapping_attempts,
            [
                (0, EventKind.FAULT, {"balancer": "n1>a", "detail": "hold"}),
                *attempt(10, "j", "a", balancer="n1"),
                *attempt(100, "j", "b", 500, balancer="n1"),
                (600, EventKind.FAULT, {"balancer": "n1>a", "detail": "sound"}),
            ],
            0,
        ),
        (
            checks.no_overlapping_attempts,
            [
                (0, EventKind.FAULT, {"balancer": "n1>c", "detail": "hold"}),
                *attempt(10, "j", "a", balancer="n1"),
                *attempt(100, "j", "b", 500, balancer="n1"),
            ],
            1,
        ),
        (
            checks.draining_servers_spared,
            [(0, EventKind.LISTED, {"server": "a", "detail": "leaving"}), *attempt(2_900, "j", "a")],
            0,
        ),
        (
            checks.draining_servers_spared,
            [(0, EventKind.LISTED, {"server": "a", "detail": "leaving"}), *attempt(3_100, "j", "a")],
            1,
        ),
        (
            checks.draining_servers_spared,
            [
                (0, EventKind.LISTED, {"server": "a", "detail": "left"}),
                (1, EventKind.LISTED, {"server": "a", "detail": "active"}),
                *attempt(3_100, "j", "a"),
            ],
            0,
        ),
        (checks.moves_announced, [(0, EventKind.CUT_OFF, {"request_id": "j", "server": "a"})], 1),
        (
            checks.moves_announced,
            [
                (0, EventKind.BROKEN, {"request_id": "j", "server": "a"}),
                (1, EventKind.CUT_OFF, {"request_id": "j", "server": "a"}),
            ],
            0,
        ),
        (
            checks.moves_announced,
            [
                (0, EventKind.CUT_OFF, {"request_id": "j", "server": "a"}),
                (1, EventKind.BROKEN, {"request_id": "j", "server": "a"}),
            ],
            1,
        ),
        (
            checks.moves_announced,
            [
                (0, EventKind.BROKEN, {"request_id": "k", "server": "a"}),
                (1, EventKind.CUT_OFF, {"request_id": "j", "server": "a"}),
            ],
            1,
        ),
        (
            checks.moves_announced,
            [
                (0, EventKind.STATE, {"server": "a", "detail": "dropping"}),
                (1, EventKind.CUT_OFF, {"request_id": "j", "server": "a"}),
            ],
            1,
        ),
    ],
)
def test_a_checker_names_each_breach_and_nothing_else(
    check: Callable[[Trace], list[str]], entries: list[tuple[float, EventKind, dict[str, Any]]], broken: int
) -> None:
    assert len(check(trace_of(*entries))) == broken


@pytest.mark.parametrize(("gap", "kept"), [(10.0, False), (400.0, True)])
def test_the_cold_budget_is_checked_in_every_window(gap: float, kept: bool) -> None:
    entries = [(0.0, EventKind.STATE, {"server": "a", "detail": "cold"})]
    for n in range(20):
        entries += attempt(100.0 + n * gap, f"j{n}", "a")
    breaches = checks.cold_servers_not_flooded(trace_of(*entries), {"a": 10.0}, 0.1, 20_000.0)
    assert (not breaches) == kept


@pytest.mark.parametrize(
    "script",
    [
        [],
        {"seconds": "x"},
        {"bogus": 1},
        {"servers": {"a": {"speed": 3}}},
        {"classes": {"c": {"shares": 3}}},
        {"events": [{"server": "a", "do": "crash", "at": 1}]},
        {"servers": {"a": {}}, "events": [{"server": "a", "do": "explode", "at": 1}]},
        {"events": [{"discovery": "sound"}]},
        {"events": [{"at": 1, "discovery": "asleep"}]},
        {"events": [{"at": 1, "balancer": 1, "do": "sing"}]},
    ],
)
def test_a_script_that_cannot_be_played_is_refused(script: Any) -> None:
    with pytest.raises(InvalidScript):
        read_script(script)


def test_the_registry_answers_with_the_changes_or_with_all() -> None:
    registry = EntryRegistry()
    registry.put("a", addr="h:1")
    registry.put("b", addr="h:2")
    registry.put("a", state="left")
    assert [entry["id"] for entry in registry.answer(None)["servers"]] == ["b"]
    assert [(entry["id"], entry["state"]) for entry in registry.answer(2)["servers"]] == [("a", "left")]
    assert registry.answer(3) == {"version": 3, "full": False, "servers": []}
    assert registry.answer(9)["full"]


@pytest.mark.anyio
async def test_a_list_written_to_a_caller_that_has_gone_is_not_recorded() -> None:
    """Guards against counting a list written to the watch of an ended process as listed to its successor."""
    clock = Clock()
    trace = Trace(clock.now)
    async with anyio.create_task_group() as tasks:
        discovery = Discovery(clock, trace, tasks)
        discovery.registry.put("a")
        discovery.set_mode("sound")
        port = int(discovery.address.rpartition(":")[2])
        closed, broken, connected = [await anyio.connect_tcp(HOST, port) for _ in range(3)]
        for watch in (closed, broken, connected):
            await watch.send(b"GET /v1/servers?index=1&wait=20000 HTTP/1.1\r\n\r\n")
        while discovery.call_count < 3:
            await anyio.sleep(0)
        await closed.aclose()
        await reset(broken)
        await anyio.wait_all_tasks_blocked()
        discovery.put("a", state="leaving")
        assert b"leaving" in await connected.receive()
        await anyio.wait_all_tasks_blocked()
        assert [event.detail for event in trace.of(EventKind.LISTED)] == ["leaving"]
        tasks.cancel_scope.cancel()


async def open_connection(server: LineServer, request_id: str) -> LineStream:
    """Return an established connection to a server, opened as a balancer does."""
    host, _, port = server.address.rpartition(":")
    lines = LineStream(await anyio.connect_tcp(host, int(port)))
    await lines.send_line(b"OPEN " + request_id.encode() + b" 7f3a c=a")
    assert (await lines.next()).startswith(b"UP ")
    return lines


@pytest.mark.anyio
async def test_a_server_says_of_each_connection_that_it_breaks_it_itself() -> None:
    """Guards against blaming a balancer for a reset by a server that has left the state `dropping` since.

    A connection that the balancer cuts meanwhile is still a breach.
    """
    clock = Clock()
    trace = Trace(clock.now)
    async with anyio.create_task_group() as tasks:
        server = LineServer("gw-5", ServerProfile(), clock, trace, random.Random(1), tasks)
        server.start()
        established = await open_connection(server, "crashed")
        server.set_state("dropping")
        cut = await open_connection(server, "cut")
        await cut.stream.aclose()
        dropped = await open_connection(server, "dropped")
        server.set_state("sound")
        assert await dropped.next() == LineStream.RST
        await server.crash()
        assert await established.next() == LineStream.RST
        for request_id in ("cut", "dropped", "crashed"):
            trace.add(EventKind.CUT_OFF, request_id=request_id, server="gw-5")
        tasks.cancel_scope.cancel()
    assert checks.moves_announced(trace) == ["cut: cut without MOVE, gw-5 had not broken it"]


@pytest.mark.anyio
async def test_a_server_that_crashes_with_its_up_on_the_way_says_so(monkeypatch: pytest.MonkeyPatch) -> None:
    """A server that crashes between writing UP and counting the connection must record its reset."""
    clock = Clock()
    trace = Trace(clock.now)
    async with anyio.create_task_group() as tasks:
        server = LineServer("gw-5", ServerProfile(), clock, trace, random.Random(1), tasks)
        server.start()
        send_line = LineStream.send_line

        async def crashing(lines: LineStream, line: bytes) -> bool:
            written = await send_line(lines, line)
            if line.startswith(b"UP "):
                await server.crash()
            return written

        monkeypatch.setattr(LineStream, "send_line", crashing)
        lines = await open_connection(server, "j")
        assert await lines.next() == LineStream.RST
        trace.add(EventKind.CUT_OFF, request_id="j", server="gw-5")
        tasks.cancel_scope.cancel()
    assert checks.moves_announced(trace) == []


@pytest.mark.anyio
async def test_a_server_sends_no_up_while_it_crashes(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a connection that comes up and is reset during a crash, and is laid to a balancer."""
    clock = Clock()
    trace = Trace(clock.now)
    set_up_ms = 20.0

    async def slow_reset(stream: SocketStream) -> None:
        await clock.sleep(3.0 * set_up_ms)
        await reset(stream)

    monkeypatch.setattr(listeners, "reset", slow_reset)
    async with anyio.create_task_group() as tasks:
        profile = ServerProfile(set_up=set_up_ms)
        server = LineServer("gw-5", profile, clock, trace, random.Random(1), tasks)
        server.start()
        established = await open_connection(server, "established")
        host, _, port = server.address.rpartition(":")
        opening, accepted = [LineStream(await anyio.connect_tcp(host, int(port))) for _ in range(2)]
        await opening.send_line(b"OPEN opening 7f3a c=a")
        while not any(event.request_id == "opening" for event in trace.of(EventKind.ATTEMPT)):
            await anyio.sleep(0)
        await server.crash()
        await accepted.send_line(b"OPEN accepted 7f3a c=a")
        ends = [await lines.next() for lines in (established, opening, accepted)]
        trace.add(EventKind.CUT_OFF, request_id="established", server="gw-5")
        tasks.cancel_scope.cancel()
    assert ends == [LineStream.RST] * 3
    assert checks.moves_announced(trace) == []


def test_a_reserved_port_is_given_to_no_other_play_and_can_be_listened_at() -> None:
    """Guards against two runs on one host that draw the same port before either listens on it."""
    with reserve_port() as held:
        address = held.getsockname()
        with socket.socket() as other, pytest.raises(OSError, match="in use"):
            other.bind(address)
        with socket.socket() as early, pytest.raises(ConnectionRefusedError):
            early.connect(address)
        for _ in range(2):  # a restarted process listens again
            with socket.create_server(address):
                socket.create_connection(address).close()


def test_a_play_of_seconds_keeps_the_rules(tmp_path: Path) -> None:
    """The demo's fleet, shortened, with a balancer that is killed and restarted."""
    script = read_script(DEMO_SCRIPT)
    script.seconds, script.rate = 3.0, 30.0
    restart = {"servers": {"gw": {"count": 4}}, "events": [{"at": 1.0, "balancer": 1, "do": "restart"}]}
    script.events = [
        *read_script(restart).events,
        *(event for event in script.events if event.at <= 2_000.0),
    ]
    trace = anyio.run(Play(script, tmp_path).run)
    assert not rule_violations(trace, trace.elapsed - 3_000.0)
    assert trace.count(EventKind.UP).total() > 0 and "gw-1" in Report(trace, script).text()
    assert {entry.detail for entry in trace.of(EventKind.STATE)} >= {"sound", "refusing"}
