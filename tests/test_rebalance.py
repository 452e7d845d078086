"""Rebalancing: the decision module's part, both fronts, and the management calls."""

from __future__ import annotations

import json
import random
import signal
import socket
from dataclasses import replace
from functools import partial
from pathlib import Path

import anyio
import pytest

from benchmarks.rebalance import story
from benchmarks.rebalance.model import Model
from puffinford import Balancer
from puffinford import interface as it
from puffinford.cli import main
from puffinford.core.clock import Clock
from puffinford.fronts.channels import codec
from puffinford.interface import ListKind, Server, ServerList
from puffinford.operators import RebalanceSettings
from puffinford.rebalance.service import Rebalancer, planner_settings
from puffinford.standins.servers import LineServer, ServerProfile
from puffinford.standins.trace import Trace
from tests.harness import ChannelPeer, Harness, Peer, echo, harness, http_call, program, settings
from tests.test_start import Site

pytestmark = pytest.mark.anyio

SETTINGS = planner_settings(
    RebalanceSettings(
        enabled=True, settle=0.0, rest=60_000.0, start_rate=500.0, least_rate=100.0, most_rate=900.0
    )
)


def create_rebalancer(here: Harness) -> Rebalancer:
    rebalancer = Rebalancer(SETTINGS, settings(), here.exchange, here.clock, random.Random(2))
    rebalancer.planner.settings = replace(SETTINGS, min_age=0.0)
    here.exchange.observer = rebalancer
    return rebalancer


class Fleet:
    """The decision module with servers, and a host that executes its actions at once."""

    def __init__(self, names: str, **more: object) -> None:
        self.balancer = Balancer(settings(**more), 3)
        self.now = 100_000.0
        self.servers: dict[str, str] = {}
        self.moved: list[str] = []
        self.refused: list[str] = []
        self.timers: list[tuple[float, int]] = []
        self.dispatch(ServerList(ListKind.REPLACE, [Server(name) for name in names]))

    def dispatch(self, *events: it.Event) -> None:
        for action in self.balancer.handle(self.now, list(events)):
            match action:
                case it.Attempt():
                    self.servers[action.id] = action.server
                    self.dispatch(it.Established(action.id, 0, action.server, 1.0))
                case it.Move():
                    self.moved.append(action.id)
                    del self.servers[action.id]
                case it.Refuse():
                    self.refused.append(action.id)
                case it.SetTimer():
                    self.timers.append((self.now + action.delay, action.token))

    def request(self, request_id: str, key: int, **more: object) -> None:
        self.dispatch(it.Request(request_id, "price-lookup", 2_000.0, key=key, **more))  # type: ignore[arg-type]

    def advance(self, ms: float) -> None:
        self.now += ms
        due = [token for at, token in self.timers if at <= self.now]
        self.timers = [wake for wake in self.timers if wake[0] > self.now]
        for token in due:
            self.dispatch(it.Timer(token))

    def loads(self) -> dict[str, float]:
        return {s.server: s.load for s in self.balancer.survey(self.now)}


def test_a_reservation_counts_until_its_client_returns_or_it_expires() -> None:
    fleet = Fleet("a")
    for n in range(10):
        fleet.request(f"j{n}", n)
    fleet.dispatch(ServerList(ListKind.UPDATE, [Server("b")]))
    assert fleet.balancer.best_server("j0", fleet.now) == "b"
    fleet.dispatch(
        it.Relocate("j0", "b", 2_000.0), it.Relocate("j1", "b", 2_000.0), it.Relocate("j9", "x", 9.0)
    )
    assert fleet.moved == ["j0", "j1"] and fleet.loads() == {"a": 8.0, "b": 2.0}
    fleet.request("back", 0, came_back=True)
    assert fleet.servers["back"] == "b" and fleet.loads()["b"] == 2.0
    fleet.advance(2_500.0)
    assert fleet.loads() == {"a": 8.0, "b": 1.0}, "the other client did not return here"
    fleet.request("later", 1, came_back=True)
    assert sum(fleet.loads().values()) == 10.0


def test_a_query_changes_nothing() -> None:
    one, other = Fleet("abcd"), Fleet("abcd")
    for n in range(40):
        for fleet in (one, other):
            fleet.request(f"j{n}", n, group=n % 5)
        for m in range(n):
            one.balancer.best_server(f"j{m}", one.now)
        one.balancer.survey(one.now)
        one.balancer.listed_servers.sample_established("a", 5)
    assert one.servers == other.servers and one.loads() == other.loads()


def test_clients_that_come_back_get_the_preferred_servers_and_others_the_regular_choice() -> None:
    """Clients moved by other balancers must return to underloaded servers too."""
    fleet = Fleet("abcdefgh")
    for n in range(80):
        fleet.request(f"j{n}", n)
    fleet.dispatch(it.PreferServers(frozenset("c")))
    for n in range(5):
        fleet.request(f"back{n}", 1_000 + n, came_back=True)
        assert fleet.servers[f"back{n}"] == "c"
    fleet.dispatch(it.DelayUpdate("back0", "c", 900.0))
    fleet.request("late", 2_000, came_back=True)
    assert fleet.servers["late"] != "c", "not while it is slow"
    fleet.dispatch(it.PreferServers())
    assert fleet.balancer._preferred == frozenset()


def test_a_cold_server_pays_for_moved_clients_from_the_same_budget() -> None:
    fleet = Fleet("a", warm_time=20_000.0, cold_from=0.1)
    for n in range(60):
        fleet.request(f"j{n}", n)
    fleet.dispatch(ServerList(ListKind.UPDATE, [Server("b", started=fleet.now)]))
    for n in range(60):
        fleet.dispatch(it.Relocate(f"j{n}", "b", 2_000.0))
    assert len(fleet.moved) <= 2, "no more than the current budget of a cold server"


def test_a_reservation_at_a_server_that_left_is_void() -> None:
    fleet = Fleet("abc")
    for n in range(9):
        fleet.request(f"j{n}", n)
    request_id = next(request_id for request_id, at in fleet.servers.items() if at == "a")
    fleet.dispatch(it.Relocate(request_id, "b", 2_000.0))
    fleet.dispatch(ServerList(ListKind.UPDATE, [Server("b", state=it.ServerState.GONE)]))
    fleet.request("back", int(request_id[1:]), came_back=True)
    assert fleet.servers["back"] in ("a", "c") and not fleet.refused


@pytest.mark.parametrize("front", ["lines", "channels"])
async def test_clients_are_moved_between_lines_and_come_back_to_the_fresh_server(front: str) -> None:
    async with harness() as here:
        rebalancer = create_rebalancer(here)
        await here.server("s-1", echo)
        peers: list[Peer | ChannelPeer] = []
        for n in range(16):
            if front == "lines":
                peers.append(await here.client(b"OPEN %x %x c=price-lookup,d=2000" % (n, n)))
                assert await peers[-1].line() == b"UP r1\r\n"  # type: ignore[union-attr]
        if front == "channels":
            channel = await here.channel_client()
            peers.append(channel)
            for n in range(16):
                await channel.open(n, f"{n:x}", key=f"{n:x}")
                assert isinstance(await channel.next(), codec.OpenConfirmation)
        await here.settle()
        here.clock.advance(5_000.0)
        assert (
            rebalancer.run_round() == 0 and rebalancer.planner.reason.value == "too few connections to judge"
        )
        await here.server("s-2", echo)
        here.clock.advance(1_000.0)
        for _ in range(40):
            rebalancer.run_round()
            here.clock.advance(50.0)
            await here.settle()
        moved = rebalancer.planner.move_count
        survey = {s.server: s.connection_count for s in here.exchange.survey()}
        assert moved == 8 and survey == {"s-1": 16 - moved, "s-2": moved}, "slots are reserved"
        if front == "channels":
            assert "move@" in str(await channel.next())
            return
        back = []
        for n, peer in enumerate(peers):
            assert isinstance(peer, Peer)
            with anyio.move_on_after(0.02):
                if await peer.line() == b"MOVE\r\n":
                    await peer.fin()
                    back.append(await here.client(b"OPEN b%x %x c=price-lookup,d=2000,again=1" % (n, n)))
                    assert await back[-1].line() == b"UP r1\r\n"
        await here.settle()
        assert len(back) == moved and rebalancer.planner.returns_by_server == {"s-2": moved}
        assert rebalancer.planner.pace.signal_counts.total() == moved
        here.clock.advance(3_000.0)
        assert rebalancer.run_round() == 0 and rebalancer.planner.reason.value == "in balance"


async def test_a_client_with_a_line_unanswered_is_left_alone() -> None:
    async def deaf(peer: Peer) -> None:
        await peer.line()
        await peer.send_line(b"UP r1")
        while await peer.line() not in (b"FIN", b"RST"):
            pass

    async with harness() as here:
        rebalancer = create_rebalancer(here)
        await here.server("s-1", deaf)
        clients = [await here.client(b"OPEN %x %x c=price-lookup,d=2000" % (n, n)) for n in range(12)]
        for client in clients:
            assert await client.line() == b"UP r1\r\n"
            await client.send_line(b"half an exchange")
        await here.server("s-2", echo)
        await here.settle()
        await anyio.sleep(0.02)
        here.clock.advance(50.0)
        assert rebalancer.run_round() == 0
        assert rebalancer.planner.skipped.keys() == {type(rebalancer.planner.reason).AWAITING_ANSWER}


async def test_operators_watch_pause_and_limit(capsys: pytest.CaptureFixture[str], tmp_path: Path) -> None:
    async with harness() as here:
        rebalancer = create_rebalancer(here)
        await here.server("s-1", echo)
        port = here.management(extras={"rebalance": rebalancer.handle_call})
        status, text = await http_call(port, "GET /admin/rebalance")
        assert status == 200 and json.loads(text)["servers"][0]["server"] == "s-1"
        for call, expected_status in (
            ("POST /admin/rebalance/pause", 200),
            ("POST /admin/rebalance/limit/2-s", 200),
            ("POST /admin/rebalance/limit/many", 400),
            ("GET /admin/rebalance/pause", 405),
            ("POST /admin/rebalance", 405),
            ("POST /admin/rebalance/stop", 404),
        ):
            assert (await http_call(port, call))[0] == expected_status, call
        assert (
            rebalancer.planner.paused
            and rebalancer.planner.pace.settings.max_rate == 2.0 >= rebalancer.planner.pace.rate
        )
        address = f"127.0.0.1:{port}"
        for words in (["show"], ["show", "--json"], ["start"], ["limit", "30/min"]):
            assert await anyio.to_thread.run_sync(main, ["rebalance", "--address", address, *words]) == 0
        assert "s-1" in capsys.readouterr().out and not rebalancer.planner.paused
        assert rebalancer.planner.pace.settings.max_rate == 0.5
        rebalancer.planner.configure(planner_settings(RebalanceSettings()))
        assert (await http_call(port, "POST /admin/rebalance/start"))[0] == 409
        failed = await anyio.to_thread.run_sync(main, ["rebalance", "--address", "127.0.0.1:1", "show"])
        assert failed == 1


def test_a_server_that_is_empty_because_it_was_slow_is_not_filled_again() -> None:
    fleet = Fleet("ab", tells_delay=True)
    for n in range(40):
        fleet.request(f"j{n}", n)
    held = fleet.loads()["a"]
    request_id = next(request_id for request_id, at in fleet.servers.items() if at == "a")
    fleet.dispatch(it.DelayUpdate(request_id, "a", 500.0))
    assert fleet.loads()["a"] < 0.5 * held, "its clients were moved"
    for second in range(20):
        fleet.advance(1_000.0)
        usable = {s.server: s.usable for s in fleet.balancer.survey(fleet.now)}
        assert second >= 2 or not usable["a"]
        for other in [request_id for request_id, at in fleet.servers.items() if at == "b"][:3]:
            fleet.dispatch(it.Relocate(other, "a", 500.0))
        assert fleet.loads()["a"] <= 0.8 * held * 1.02**20 + 1.0, "no more than its capacity estimate"


async def test_a_reservation_at_a_server_that_is_gone_costs_the_client_one_attempt() -> None:
    """The target stopped after the move, and discovery still lists it."""
    async with harness() as here:
        await here.server("s-1", echo)
        client = await here.client(b"OPEN a 1 c=price-lookup,d=2000")
        assert await client.line() == b"UP r1\r\n"
        here.list_server("s-2", 9)
        assert here.exchange.relocate("a", "s-2", 2_000.0)
        assert [await client.line(), await client.line()] == [b"MOVE\r\n", b"FIN"]
        await client.fin()
        again = await here.client(b"OPEN b 1 c=price-lookup,d=2000,again=1")
        assert await again.line() == b"UP r1\r\n"
        survey = {s.server: (s.connection_count, s.usable) for s in here.exchange.survey()}
        assert survey == {"s-1": (1, True), "s-2": (0, False)}


def test_many_balancers_at_once_do_not_flood_what_is_cold_and_swing_nothing_back() -> None:
    """Three independent balancers in the model, with a third of the servers cold."""
    outcome = Model(9, 3, 900, seed=2).run(120.0)
    assert outcome.ratios[0][1] > 1.4 and outcome.balanced_s < 60.0
    assert outcome.fill < 1.0 and outcome.back == 0
    assert outcome.moves <= 1.6 * outcome.fewest_moves + 30


async def connect_clients_and_add_a_server(here: Harness, site: Site, port: int) -> list[Peer]:
    """Connect clients, then add a server to the list."""
    peers = []
    for n in range(24):
        peers.append(Peer(await anyio.connect_tcp("127.0.0.1", port)))
        await peers[-1].send_line(b"OPEN %x %x c=price-lookup,d=400" % (n, n))
        assert (await peers[-1].line()).startswith(b"UP ")
    fresh = LineServer(
        "s-9", ServerProfile(set_up=1.0), Clock(), Trace(Clock().now), random.Random(1), here.tasks
    )
    fresh.start()
    site.discovery.put("s-9", addr=fresh.address)
    return peers


async def test_a_reload_and_the_end_during_it_lose_nobody(tmp_path: Path) -> None:
    async with harness() as here:
        site = Site(here.tasks, tmp_path, 1)
        site.operators.write_text(FAST_REBALANCING.format("on"))
        async with site.program() as running:
            port = await running.port(b"lines")
            await running.wait_for_log(b"list=replace")
            peers = await connect_clients_and_add_a_server(here, site, port)
            await running.wait_for_log(b'event="rebalance move" .*to=s-9 .*moved=True')
            site.operators.write_text(FAST_REBALANCING.format("off"))
            running.process.send_signal(signal.SIGHUP)
            await running.wait_for_log(b"event=reloaded")
            site.operators.write_text(FAST_REBALANCING.format("on") + " bogus 1\n")
            running.process.send_signal(signal.SIGHUP)
            await running.wait_for_log(b'event="reload failed"')
            running.process.send_signal(signal.SIGTERM)
            for peer in peers:
                assert await peer.line() == b"MOVE\r\n" and await peer.line() == b"FIN"
                await peer.fin()
            await running.wait_for_log(b"event=drained")
            running.process.kill()


async def test_a_new_version_goes_on_with_the_rests_of_the_old_one(tmp_path: Path) -> None:
    platform = socket.create_server(("127.0.0.1", 0))
    port, fd = platform.getsockname()[1], platform.fileno()
    (tmp_path / "tmp").mkdir()
    async with harness() as here:
        site = Site(here.tasks, tmp_path, 1)
        site.write_config(site.discovery.address, listen=f"127.0.0.1:{port}")
        site.operators.write_text(FAST_REBALANCING.format("on"))
        words = ("serve", "--settings", str(site.operators))
        env = {"TMPDIR": str(tmp_path / "tmp"), "EDGE_SOCKET_FD": str(fd), "EDGE_MGMT": "127.0.0.1:0"}
        async with program(site.config, *words, fds=[fd], **env) as old:
            await old.wait_for_log(b"list=replace")
            peers = await connect_clients_and_add_a_server(here, site, port)
            await old.wait_for_log(b'event="rebalance move" .*to=s-9 .*moved=True')
            async with program(site.config, *words, fds=[fd], **env) as new:
                address = await new.port(b"management")
                while (await http_call(address, "GET /admin/health"))[0] != 200:
                    await anyio.sleep(0.01)
                old.process.send_signal(signal.SIGTERM)
                await new.wait_for_log(b'event="state writer"')
                report = json.loads((await http_call(address, "GET /admin/rebalance"))[1])
                assert report["clients_at_rest"] > 0 and report["moves"] == 0
                assert report["rate"] <= 50.0, "not above the start rate"
                for peer in peers:
                    await anyio.aclose_forcefully(peer.stream)
                assert await old.process.wait() == 0
                new.process.kill()
    platform.close()


FAST_REBALANCING = """section rebalance
    enabled {}
    settle 0ms
    start-rate 50/s
    most-rate 99/s
"""


async def test_the_measured_story_in_short(tmp_path: Path) -> None:
    """Checks only what holds at any speed of the host, with two of ten servers restarted."""
    result = await anyio.to_thread.run_sync(partial(story.run, True, tmp_path, 1, 60, 60_000.0, 3.0, 9.0))
    assert not result.broken and not result.cold and not result.cut
    assert result.moves > 0
