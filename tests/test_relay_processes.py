"""List relays and balancers as real processes on loopback, with faults in and between them."""

from __future__ import annotations

import json
import signal
from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

import anyio
import anyio.abc
import pytest

from puffinford.cli import main
from puffinford.core.clock import Clock
from puffinford.server_list.endpoints import rendezvous_order
from puffinford.stage.relays import LinkRelays, start_relays
from puffinford.standins.discovery import Discovery
from puffinford.standins.trace import Trace
from tests.harness import Peer, Program, opening, program

pytestmark = pytest.mark.anyio
FACTS: dict[str, Any] = {"classes": [{"name": "price-lookup", "give_up": 2_000.0, "repeat": "idempotent"}]}
DRAINING_LOGGED = b"event=server .*server=s-1 state=draining"


class Servers:
    """Servers that accept every request, and count the requests of each."""

    def __init__(self, tasks: anyio.abc.TaskGroup) -> None:
        self.tasks = tasks
        self.openings = {"s-1": 0, "s-2": 0}

    async def start(self, server_id: str) -> str:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")

        async def handle(stream: anyio.abc.SocketStream) -> None:
            async with stream:
                peer = Peer(stream)
                if (await peer.line()).startswith(b"OPEN"):
                    self.openings[server_id] += 1
                    await peer.send_line(b"UP r1")
                    await peer.line()

        self.tasks.start_soon(listener.serve, handle)
        return f"127.0.0.1:{listener.extra(anyio.abc.SocketAttribute.local_port)}"


class Site:
    """A list service, its servers, and the relay and balancer processes started beside them."""

    def __init__(
        self, tasks: anyio.abc.TaskGroup, links: LinkRelays, stack: AsyncExitStack, path: Path
    ) -> None:
        clock = Clock()
        self.tasks, self.links, self.path = tasks, links, path
        self.servers = Servers(tasks)
        self.source = Discovery(clock, Trace(clock.now), tasks)
        self._stack = stack
        self._requests = 0

    async def start(self) -> None:
        for server_id in self.servers.openings:
            self.source.registry.put(server_id, addr=await self.servers.start(server_id))
        self.source.set_mode("sound")

    async def start_relay(self, name: str, upstream: int, port: int = 0) -> tuple[Program, int]:
        """Start a relay process. Return it with its port."""
        conf = self.path / f"{name}.conf"
        conf.write_text(f"section relay\n listen 127.0.0.1:{port}\n upstream 127.0.0.1:{upstream}\n")
        running = await self._start(conf, "relay", "--settings", str(conf))
        number = await running.port(b"relay")
        await running.wait_for_log(b"event=fresh")
        return running, number

    async def start_balancer(self, name: str, ports: Sequence[int]) -> tuple[Program, int]:
        """Start a balancer process that gets its list from relays alone. Return it with its port."""
        conf, config = self.path / f"{name}.conf", self.path / f"{name}.json"
        addresses = ",".join(f"127.0.0.1:{port}" for port in ports)
        conf.write_text(f"section discovery\n relays {addresses}\n")
        fields = {"name": name, "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": FACTS}
        config.write_text(json.dumps(fields))
        running = await self._start(config, "serve", "--settings", str(conf))
        number = await running.port(b"lines")
        await running.wait_for_log(b"event=server .*server=s-2 ")
        return running, number

    async def _start(self, config: Path, *arguments: str) -> Program:
        running = await self._stack.enter_async_context(program(config, *arguments))
        self._stack.callback(lambda: running.process.returncode is None and running.process.kill())
        return running

    def balancer_names(self, ports: Sequence[int], preferred: int, count: int) -> list[str]:
        """Names of balancers that prefer the relay on port `preferred`."""
        addresses = [("127.0.0.1", port) for port in ports]
        candidates = (f"n{number}" for number in range(1_000))
        names = [name for name in candidates if rendezvous_order(name, addresses)[0][1] == preferred]
        return names[:count]

    async def send_request(self, port: int) -> bytes:
        """Send one request to a balancer, and return the first line of the answer."""
        self._requests += 1
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            peer = Peer(stream)
            await peer.send_line(opening(f"{self._requests:016x}"))
            return await peer.line()


@asynccontextmanager
async def running_site(path: Path) -> AsyncIterator[Site]:
    with anyio.fail_after(60):
        async with anyio.create_task_group() as tasks, start_relays(1) as links:
            async with AsyncExitStack() as stack:
                site = Site(tasks, links, stack, path)
                await site.start()
                yield site
            tasks.cancel_scope.cancel()


async def fetch_list(port: int, query: str = "") -> tuple[int, dict[str, Any]]:
    """Make one call of the list protocol. Return the status, and the list or {}."""
    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
        await stream.send(f"GET /v1/servers{query} HTTP/1.1\r\nHost: here\r\n\r\n".encode())
        raw = b""
        try:
            while True:
                raw += await stream.receive()
        except anyio.EndOfStream:
            head, _, body = raw.partition(b"\r\n\r\n")
    return int(head.split(b" ")[1]), json.loads(body or b"{}")


async def check_drained(site: Site, balancers: Sequence[tuple[Program, int]]) -> None:
    """Check that each balancer learns that s-1 drains, then serves requests without sending any there."""
    with anyio.fail_after(20):  # test_relay_age checks the bound of 6 s, on a settable clock
        for running, _ in balancers:
            await running.wait_for_log(DRAINING_LOGGED)
    before = site.servers.openings["s-1"]
    for _, port in balancers:
        for _ in range(5):
            assert await site.send_request(port) == b"UP r1\r\n"
    assert site.servers.openings["s-1"] == before and site.servers.openings["s-2"] > 0


@pytest.mark.parametrize("fault", [signal.SIGKILL, signal.SIGSTOP])
async def test_a_relay_is_killed_or_suspended_as_a_server_begins_to_drain(
    fault: signal.Signals, tmp_path: Path
) -> None:
    async with running_site(tmp_path) as site:
        upstream = int(site.source.address.partition(":")[2])
        (first, port), (_, other) = [await site.start_relay(f"r{number}", upstream) for number in (1, 2)]
        names = site.balancer_names([port, other], port, 2) + site.balancer_names([port, other], other, 1)
        balancers = [await site.start_balancer(name, [port, other]) for name in names]
        version = site.source.registry.version
        answers: list[tuple[int, dict[str, Any]]] = []

        async def watch() -> None:
            answers.append(await fetch_list(port, f"?index={version}&wait=60000"))

        if fault is signal.SIGSTOP:
            site.tasks.start_soon(watch)
            await anyio.sleep(0.2)  # lets the call reach the relay first; otherwise the test is weaker
        first.process.send_signal(fault)
        site.source.put("s-1", state="leaving")
        await check_drained(site, balancers)
        if fault is signal.SIGSTOP:
            await anyio.sleep(2.5)  # beyond max-age
            first.process.send_signal(signal.SIGCONT)
            await first.wait_for_log(b"event=stale ")
            status, listed = await fetch_list(port, f"?index={version}&wait=0")
            assert status == 503 or listed["version"] > version
            await first.wait_for_log(b"event=fresh ")
            assert (await fetch_list(port))[1]["version"] > version
            assert answers and (answers[0][0] == 503 or answers[0][1]["version"] > version)


async def test_a_relay_that_is_cut_off_says_so_and_balancers_serve_by_the_last_list(tmp_path: Path) -> None:
    async with running_site(tmp_path) as site:
        await site.links.add_links(0, {"r1": int(site.source.address.partition(":")[2])})
        relay, port = await site.start_relay("r1", site.links.ports["r1"])
        balancers = [await site.start_balancer("n1", [port])]
        version = site.source.registry.version
        await site.links.set_fault(["r1"], "hold")
        site.source.put("s-1", state="leaving")
        await relay.wait_for_log(b"level=warning .*event=stale age_ms=")
        assert [(await fetch_list(port, query))[0] for query in ("", f"?index={version}&wait=0")] == [
            503,
            503,
        ]
        await balancers[0][0].wait_for_log(b'event="discovery failed" .*503')
        while not all(site.servers.openings.values()):  # by its last list, with both servers active
            assert await site.send_request(balancers[0][1]) == b"UP r1\r\n"
        await site.links.set_fault(["r1"], "sound")
        await relay.wait_for_log(b"event=fresh version=")
        await check_drained(site, balancers)


async def test_the_loss_of_all_relays_leaves_every_balancer_serving_and_their_return_is_heard(
    tmp_path: Path,
) -> None:
    async with running_site(tmp_path) as site:
        upstream = int(site.source.address.partition(":")[2])
        started = [await site.start_relay(f"r{number}", upstream) for number in (1, 2)]
        ports = [port for _, port in started]
        balancers = [await site.start_balancer(f"n{number}", ports) for number in (1, 2, 3)]
        for running, _ in started:
            running.process.kill()
            await running.process.wait()
        site.source.put("s-1", state="leaving")
        for running, port in balancers:
            await running.wait_for_log(b'event="discovery failed"')
            assert [await site.send_request(port) for _ in range(3)] == [b"UP r1\r\n"] * 3
        await site.start_relay("r1", upstream, ports[0])
        await check_drained(site, balancers)


async def test_a_relay_that_comes_back_with_an_older_source_takes_no_balancer_back(tmp_path: Path) -> None:
    async with running_site(tmp_path) as site:
        old = Discovery(Clock(), Trace(Clock().now), site.tasks)
        for server_id, fields in site.source.registry.entries.items():
            old.registry.put(server_id, addr=fields["addr"])
        old.set_mode("sound")
        site.source.registry.version = 50
        upstream = int(site.source.address.partition(":")[2])
        (first, port), (second, other) = [await site.start_relay(f"r{number}", upstream) for number in (1, 2)]
        (name,) = site.balancer_names([port, other], port, 1)
        balancer = await site.start_balancer(name, [port, other])
        site.source.put("s-1", state="leaving")
        await balancer[0].wait_for_log(DRAINING_LOGGED)
        first.process.kill()
        await first.process.wait()
        await site.start_relay("r1", int(old.address.partition(":")[2]), port)
        assert (await fetch_list(port))[1]["servers"][0]["state"] == "active", (
            "the older list that the balancer must not trust"
        )
        # Its other relay is suspended, so the balancer receives the older list alone.
        second.process.send_signal(signal.SIGSTOP)
        await balancer[0].wait_for_log(b'event="discovery suspect" .*version 2 after 51')
        second.process.send_signal(signal.SIGCONT)
        site.source.put("s-1", weight=2.0)
        await balancer[0].wait_for_log(DRAINING_LOGGED)
        assert b"server=s-1 state=live" not in balancer[0].log_read.partition(DRAINING_LOGGED[-14:])[2]
        await check_no_requests_to_draining_server(site, balancer[1])


async def check_no_requests_to_draining_server(site: Site, port: int) -> None:
    """Check that the balancer serves requests without sending any to s-1."""
    before = site.servers.openings["s-1"]
    assert [await site.send_request(port) for _ in range(5)] == [b"UP r1\r\n"] * 5
    assert site.servers.openings["s-1"] == before


async def test_bad_callers_neither_stay_nor_keep_others_from_their_answer(tmp_path: Path) -> None:
    """An incomplete or too long call is closed, and callers that do not read delay nobody else."""
    async with running_site(tmp_path) as site:
        for number in range(20_000):
            site.source.registry.put(f"t-{number}", addr="127.0.0.1:9", kind="x" * 60)
        _, port = await site.start_relay("r1", int(site.source.address.partition(":")[2]))
        incomplete = await anyio.connect_tcp("127.0.0.1", port)
        await incomplete.send(b"GET /v1/ser")
        oversized = await anyio.connect_tcp("127.0.0.1", port)
        await oversized.send(b"GET /v1/servers HTTP/1.1\r\nX: " + b"x" * 5_000)
        not_reading = [await anyio.connect_tcp("127.0.0.1", port) for _ in range(5)]
        for stream in not_reading:
            await stream.send(b"GET /v1/servers HTTP/1.1\r\n\r\n")
        with anyio.fail_after(4.5):
            assert (await oversized.receive()).startswith(b"HTTP/1.1 400 ")
            assert (await fetch_list(port, "?index=1&wait=0"))[0] == 200
            with pytest.raises((anyio.BrokenResourceError, anyio.EndOfStream)):
                await incomplete.receive()
        for stream in (incomplete, oversized, *not_reading):
            await anyio.aclose_forcefully(stream)


@pytest.mark.parametrize(
    ("lines", "place", "error"),
    [
        (" upstream 10.0.0.1", ":2:11", "is not IP:PORT"),
        (" upstream 10.0.0.1:80,10.0.0.1:80", ":2:11", "is listed twice"),
        (" upstream 10.0.0.1:0", ":2:11", "has no port"),
        (" upstream none", "", "upstream names nothing"),
        (" upstream 10.0.0.1:80\n max-age 3s", ":3:10", "out of range"),
        (" upstream 10.0.0.1:80\n wait 900ms", ":3:2", "max-age must be twice wait"),
        (" upstream 10.0.0.1:80\n max-age 1500ms\n upstream-age 1s", ":4:2", "the ages add"),
        (" upstream 10.0.0.1:80\n log-entries 0", ":3:14", "out of range"),
        (" upstream 10.0.0.1:80\n log-entries -1", ":3:14", "not a whole number"),
        (" upstream 10.0.0.1:80\n coalesce nan", ":3:11", "not a duration"),
    ],
)
def test_what_cannot_be_used_is_named_with_its_place(
    lines: str, place: str, error: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    conf = tmp_path / "p.conf"
    conf.write_text(f"section relay\n{lines}\n")
    assert main(["relay", "--settings", str(conf)]) == 2
    errors = capsys.readouterr().err
    assert f"{conf}{place}: " in errors and error in errors and len(errors.splitlines()) == 1
