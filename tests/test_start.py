"""Starts without discovery, and discovery that fails or answers with old lists."""

from __future__ import annotations

import json
import signal
from pathlib import Path
from random import Random
from typing import Any

import anyio
import anyio.abc
import pytest

from benchmarks.start import story
from puffinford.core.clock import Clock
from puffinford.core.values import RestoredState, ServerEntries, ServerEntry
from puffinford.interface import ListKind, Server
from puffinford.standins.discovery import Discovery
from puffinford.standins.servers import LineServer, ServerProfile
from puffinford.standins.trace import Trace
from puffinford.state.recovery import StartState, build_start_state
from puffinford.state.store import inspect
from puffinford.state.trust import TrustSettings
from tests.harness import Harness, Peer, Program, answering, echo, harness, http_call, opening, program
from tests.test_program import FACTS

pytestmark = pytest.mark.anyio


class Site:
    """Stand-in servers and discovery, with the files of one balancer."""

    def __init__(self, tasks: anyio.abc.TaskGroup, directory: Path, count: int) -> None:
        clock = Clock()
        trace = Trace(clock.now)
        self.directory = directory
        self.config = directory / "config.json"
        self.operators = directory / "puffinford.conf"
        self.operators.write_text(f'section state\n directory "{directory}"\n write-every 50ms\n')
        self.discovery = Discovery(clock, trace, tasks)
        self.servers = [
            LineServer(f"s-{n}", ServerProfile(set_up=1.0), clock, trace, Random(n), tasks)
            for n in range(count)
        ]
        for server in self.servers:
            server.start()
            self.discovery.registry.put(server.id, addr=server.address)
        self.discovery.set_mode("sound")
        self.write_config(self.discovery.address)

    def write_config(self, discovery: str, **more: Any) -> None:
        fields = {"name": "n1", "listen": "127.0.0.1:0", "discovery": discovery, "mgmt": "127.0.0.1:0"}
        facts = {**FACTS, "discovery": "subscribe", "permissions": {"connect_timeout": 120.0}}
        self.config.write_text(json.dumps({**fields, "settings": facts, **more}))

    def program(self) -> Any:
        return program(self.config, "serve", "--settings", str(self.operators))

    async def client(self, port: int, request_id: str) -> bytes:
        peer = Peer(await anyio.connect_tcp("127.0.0.1", port))
        await peer.send_line(opening(request_id, b"c=price-lookup,d=400"))
        return await peer.line()


async def wait_for_logs(running: Program, *patterns: bytes) -> None:
    for pattern in patterns:
        await running.wait_for_log(pattern)


async def test_a_killed_balancer_starts_from_its_store_and_obeys_the_drain_announced_last(
    tmp_path: Path,
) -> None:
    async with harness() as here:
        site = Site(here.tasks, tmp_path, 3)
        async with site.program() as first:
            await wait_for_logs(first, b"list=replace")
            site.discovery.put("s-1", state="leaving")
            site.discovery.put("s-2", state="left")
            await wait_for_logs(first, b"server=s-2 state=gone")
            for _ in range(200):
                stored = inspect(tmp_path / "puffinford.n1.state")
                if {record.state for record, _ in stored.servers.values()} == {"active", "leaving", "left"}:
                    break
                await anyio.sleep(0.01)
            first.process.kill()
        site.discovery.set_mode("absent")
        async with site.program() as second:
            await wait_for_logs(second, b"event=restored source=store entries=2 .*at_once=any")
            port = await second.port(b"lines")
            for n in range(6):
                assert (await site.client(port, f"0{n}")).startswith(b"UP r-s-0-")
            site.discovery.set_mode("sound")
            await wait_for_logs(second, b"event=discovery version=5")
            second.process.kill()


@pytest.mark.parametrize("mode", ["unavailable", "garbage", "reset", "hung"])
async def test_discovery_that_fails_leaves_the_list_and_is_asked_again(tmp_path: Path, mode: str) -> None:
    async with harness() as here:
        site = Site(here.tasks, tmp_path, 2)
        async with site.program() as running:
            port = await running.port(b"lines")
            await wait_for_logs(running, b"list=replace")
            site.discovery.set_mode(mode)
            if mode != "hung":
                await wait_for_logs(running, b'event="discovery failed"')
            assert (await site.client(port, "0a")).startswith(b"UP")
            site.discovery.put("s-1", state="leaving")
            site.discovery.set_mode("sound")
            await wait_for_logs(running, b"server=s-1 state=draining")
            for n in range(4):
                assert (await site.client(port, f"1{n}")).startswith(b"UP r-s-0-")
            running.process.kill()


async def test_an_older_answer_is_suspect_and_accepted_when_repeated(tmp_path: Path) -> None:
    async with harness() as here:
        site = Site(here.tasks, tmp_path, 2)
        async with site.program() as first:
            await wait_for_logs(first, b"list=replace")
            first.process.send_signal(signal.SIGINT)
            await first.process.wait()
        site.discovery.set_mode("older")
        async with site.program() as second:
            await wait_for_logs(second, b"source=store", b'event="discovery suspect" why="version 1 after 2"')
            await wait_for_logs(second, b"event=discovery version=1", b"list=replace")
            second.process.kill()


async def test_discovery_at_another_address_with_another_list_takes_everybody_over(tmp_path: Path) -> None:
    """After a start from the store, SIGHUP changes to a discovery with an entirely different list."""
    async with harness() as here:
        site = Site(here.tasks, tmp_path, 1)
        async with site.program() as first:
            await wait_for_logs(first, b"list=replace")
            first.process.send_signal(signal.SIGINT)
            await first.process.wait()
        site.discovery.set_mode("absent")
        (tmp_path / "other").mkdir()
        other = Site(here.tasks, tmp_path / "other", 0)
        fresh = LineServer(
            "x-1", ServerProfile(set_up=1.0), Clock(), Trace(Clock().now), Random(0), here.tasks
        )
        fresh.start()
        other.discovery.registry.put("x-1", addr=fresh.address)
        async with site.program() as second:
            await wait_for_logs(second, b"source=store")
            port = await second.port(b"lines")
            established = Peer(await anyio.connect_tcp("127.0.0.1", port))
            await established.send_line(opening("0a", b"c=price-lookup,d=400"))
            assert (await established.line()).startswith(b"UP r-s-0-")
            site.write_config(other.discovery.address)
            second.process.send_signal(signal.SIGHUP)
            assert [await established.line(), await established.line()] == [b"MOVE\r\n", b"FIN"]
            assert (await site.client(port, "0b")).startswith(b"UP r-x-1-")
            second.process.kill()


async def test_a_new_version_knows_when_ready_which_servers_are_unreachable(tmp_path: Path) -> None:
    import socket

    platform = socket.create_server(("127.0.0.1", 0))
    port, fd = platform.getsockname()[1], platform.fileno()
    (tmp_path / "tmp").mkdir()
    async with harness() as here:
        site = Site(here.tasks, tmp_path, 3)
        site.write_config(site.discovery.address, listen=f"127.0.0.1:{port}")
        env = {"TMPDIR": str(tmp_path / "tmp"), "EDGE_SOCKET_FD": str(fd), "EDGE_MGMT": "127.0.0.1:0"}
        async with program(site.config, fds=[fd], **env) as old:
            site.servers[1].set_state("resetting")
            await wait_for_logs(old, b"list=replace")
            request_id = 0
            while b"result=reset" not in old._log:
                request_id += 1
                await site.client(port, f"{request_id:x}")
                with anyio.move_on_after(0.02):
                    await old.wait_for_log(b'event="attempt ended" .*result=reset')
                    break
            async with program(site.config, fds=[fd], **env) as new:
                address = await new.port(b"management")
                while (await http_call(address, "GET /admin/health"))[0] != 200:
                    await anyio.sleep(0.01)
                await wait_for_logs(new, b'event="took over" learned=s-1')
                assert "servers_excluded:1|g" in (await http_call(address, "GET /admin/stats"))[1]
                old.process.send_signal(signal.SIGTERM)
                await wait_for_logs(new, b'event="state writer"')
                assert await old.process.wait() == 0
                new.process.kill()
    platform.close()


async def other_protocol(peer: Peer) -> None:
    """Answer as a process with another protocol, which has the address of a former server."""
    await peer.line()
    await peer.stream.send(b"HTTP/1.1 400 Bad Request\r\n\r\n")


async def silent(peer: Peer) -> None:
    await peer.line()
    await peer.line()


def start_state(here: Harness, entries: list[ServerEntry], age_ms: float) -> StartState:
    known = ServerEntries(1, True, entries)
    return build_start_state(None, known, here.clock.now(), 0.0, TrustSettings(), age_ms)


@pytest.mark.parametrize("age_ms", [60_000.0, 3_600_000.0, 90_000_000.0], ids=["1min", "1h", "25h"])
@pytest.mark.parametrize("dead", [None, silent, other_protocol, answering(rst=True)])
async def test_dead_entries_of_an_old_list_cost_a_client_one_short_attempt(dead: Any, age_ms: float) -> None:
    """Half of the entries refuse, do not answer, reset, or belong to another process."""
    async with harness() as here:
        ports = {}
        for n in range(6):
            script = echo if n % 2 else dead
            if script is None:
                continue

            async def play(stream: anyio.abc.SocketStream, script: Any = script) -> None:
                await script(Peer(stream))

            ports[n] = await here.listen(play)
        entries = [ServerEntry(Server(f"s-{n}"), "127.0.0.1", ports.get(n, 9)) for n in range(6)]
        restored: RestoredState = start_state(here, entries, age_ms).restored
        here.exchange._apply_list(restored.entries, ListKind.RESTORED)
        from puffinford import interface as it

        here.exchange._dispatch(
            it.UnverifiedServers(restored.unverified, restored.max_attempts, restored.attempt_timeout)
        )
        here.tasks.start_soon(here.run_clock)
        for n in range(12):
            client = await here.client(opening(f"{n:x}"))
            answer = await client.line()
            assert answer == b"UP r1\r\n" or (age_ms > 86_400_000.0 and answer.startswith(b"BUSY")), answer


async def test_the_measured_story_in_short(tmp_path: Path) -> None:
    """Checks only what holds at any speed of the host, with dead and draining entries and no discovery."""
    result = await anyio.to_thread.run_sync(story.run, 3.5, 3, 3_600_000.0, tmp_path)
    assert not result.broken and not result.to_draining and not result.dead_paid_twice
    assert result.up > 0
