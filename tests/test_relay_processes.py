"""Real processes on loopback: a list service, relays and balancers, with faults between them."""

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
from puffinford.stage.relays import Relays, relays
from puffinford.standins.discovery import Discovery
from puffinford.standins.trace import Trace
from tests.harness import Peer, Program, opening, program

pytestmark = pytest.mark.anyio
FACTS: dict[str, Any] = {"classes": [{"name": "price-lookup", "give_up": 2_000.0, "repeat": "idempotent"}]}
LEAVING = b"event=server .*server=s-1 state=draining"


class Servers:
    """Servers that say UP, and count whom they got."""

    def __init__(self, tasks: anyio.abc.TaskGroup) -> None:
        self.tasks = tasks
        self.openings = {"s-1": 0, "s-2": 0}

    async def open(self, ident: str) -> str:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")

        async def handle(stream: anyio.abc.SocketStream) -> None:
            async with stream:
                peer = Peer(stream)
                if (await peer.line()).startswith(b"OPEN"):
                    self.openings[ident] += 1
                    await peer.send_line(b"UP r1")
                    await peer.line()

        self.tasks.start_soon(listener.serve, handle)
        return f"127.0.0.1:{listener.extra(anyio.abc.SocketAttribute.local_port)}"


class Site:
    """The list service, its servers, and the processes that were started."""

    def __init__(self, tasks: anyio.abc.TaskGroup, links: Relays, stack: AsyncExitStack, path: Path) -> None:
        clock = Clock()
        self.tasks, self.links, self.path = tasks, links, path
        self.servers = Servers(tasks)
        self.source = Discovery(clock, Trace(clock.now), tasks)
        self._stack = stack
        self._jobs = 0

    async def open(self) -> None:
        for ident in self.servers.openings:
            self.source.registry.put(ident, addr=await self.servers.open(ident))
        self.source.set_mode("sound")

    async def relay(self, name: str, upstream: int, port: int = 0) -> tuple[Program, int]:
        """A relay process and its port."""
        conf = self.path / f"{name}.conf"
        conf.write_text(f"section relay\n listen 127.0.0.1:{port}\n upstream 127.0.0.1:{upstream}\n")
        running = await self._start(conf, "relay", "--settings", str(conf))
        number = await running.port(b"relay")
        await running.wait_for_log(b"event=fresh")
        return running, number

    async def balancer(self, name: str, ports: Sequence[int]) -> tuple[Program, int]:
        """A balancer process, which hears of the list from relays alone, and its port."""
        conf, config = self.path / f"{name}.conf", self.path / f"{name}.json"
        listed = ",".join(f"127.0.0.1:{port}" for port in ports)
        conf.write_text(f"section discovery\n relays {listed}\n")
        told = {"name": name, "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": FACTS}
        config.write_text(json.dumps(told))
        running = await self._start(config, "serve", "--settings", str(conf))
        number = await running.port(b"lines")
        await running.wait_for_log(b"event=server .*server=s-2 ")
        return running, number

    async def _start(self, config: Path, *words: str) -> Program:
        running = await self._stack.enter_async_context(program(config, *words))
        self._stack.callback(lambda: running.process.returncode is None and running.process.kill())
        return running

    def names(self, ports: Sequence[int], first: int, count: int) -> list[str]:
        """Names of balancers that prefer one of these relays."""
        listed = [("127.0.0.1", port) for port in ports]
        named = (f"n{number}" for number in range(1_000))
        chosen = [name for name in named if rendezvous_order(name, listed)[0][1] == first]
        return chosen[:count]

    async def serve(self, port: int) -> bytes:
        """One client of a balancer, and what it is told."""
        self._jobs += 1
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            peer = Peer(stream)
            await peer.send_line(opening(f"{self._jobs:016x}"))
            return await peer.line()


@asynccontextmanager
async def site(path: Path) -> AsyncIterator[Site]:
    with anyio.fail_after(60):
        async with anyio.create_task_group() as tasks, relays(1) as links:
            async with AsyncExitStack() as stack:
                made = Site(tasks, links, stack, path)
                await made.open()
                yield made
            tasks.cancel_scope.cancel()


async def ask(port: int, query: str = "") -> tuple[int, dict[str, Any]]:
    """One call of the list protocol: the status, and the list if there is one."""
    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
        await stream.send(f"GET /v1/servers{query} HTTP/1.1\r\nHost: here\r\n\r\n".encode())
        raw = b""
        try:
            while True:
                raw += await stream.receive()
        except anyio.EndOfStream:
            head, _, body = raw.partition(b"\r\n\r\n")
    return int(head.split(b" ")[1]), json.loads(body or b"{}")


async def drained_everywhere(here: Site, balancers: Sequence[tuple[Program, int]]) -> None:
    """Each balancer hears that s-1 is leaving, and sends nobody there any more; nobody is refused."""
    with anyio.fail_after(20):  # the bound of 6 s is held on the settable clock
        for running, _ in balancers:
            await running.wait_for_log(LEAVING)
    before = here.servers.openings["s-1"]
    for _, port in balancers:
        for _ in range(5):
            assert await here.serve(port) == b"UP r1\r\n"
    assert here.servers.openings["s-1"] == before and here.servers.openings["s-2"] > 0


@pytest.mark.parametrize("fault", [signal.SIGKILL, signal.SIGSTOP])
async def test_a_relay_is_killed_or_stands_still_as_a_server_begins_to_drain(
    fault: signal.Signals, tmp_path: Path
) -> None:
    async with site(tmp_path) as here:
        upstream = int(here.source.address.partition(":")[2])
        (first, port), (_, other) = [await here.relay(f"r{number}", upstream) for number in (1, 2)]
        names = here.names([port, other], port, 2) + here.names([port, other], other, 1)
        balancers = [await here.balancer(name, [port, other]) for name in names]
        version = here.source.registry.version
        answers: list[tuple[int, dict[str, Any]]] = []

        async def watch() -> None:
            answers.append(await ask(port, f"?index={version}&wait=60000"))

        if fault is signal.SIGSTOP:
            here.tasks.start_soon(watch)
            await anyio.sleep(0.2)  # only so that the call is there; without it the test is weaker
        first.process.send_signal(fault)
        here.source.put("s-1", state="leaving")
        await drained_everywhere(here, balancers)
        if fault is signal.SIGSTOP:
            await anyio.sleep(2.5)  # past the age that its list may have
            first.process.send_signal(signal.SIGCONT)
            await first.wait_for_log(b"event=stale ")
            status, told = await ask(port, f"?index={version}&wait=0")
            assert status == 503 or told["version"] > version
            await first.wait_for_log(b"event=fresh ")
            assert (await ask(port))[1]["version"] > version
            assert answers and (answers[0][0] == 503 or answers[0][1]["version"] > version)


async def test_a_relay_that_is_cut_off_says_so_and_balancers_serve_by_the_last_list(tmp_path: Path) -> None:
    async with site(tmp_path) as here:
        await here.links.make(0, {"r1": int(here.source.address.partition(":")[2])})
        relay, port = await here.relay("r1", here.links.ports["r1"])
        balancers = [await here.balancer("n1", [port])]
        version = here.source.registry.version
        await here.links.become(["r1"], "hold")
        here.source.put("s-1", state="leaving")
        await relay.wait_for_log(b"level=warning .*event=stale age_ms=")
        assert [(await ask(port, query))[0] for query in ("", f"?index={version}&wait=0")] == [503, 503]
        await balancers[0][0].wait_for_log(b'event="discovery failed" .*503')
        while not all(here.servers.openings.values()):  # by its last list, in which both are active
            assert await here.serve(balancers[0][1]) == b"UP r1\r\n"
        await here.links.become(["r1"], "sound")
        await relay.wait_for_log(b"event=fresh version=")
        await drained_everywhere(here, balancers)


async def test_the_loss_of_all_relays_leaves_every_balancer_serving_and_their_return_is_heard(
    tmp_path: Path,
) -> None:
    async with site(tmp_path) as here:
        upstream = int(here.source.address.partition(":")[2])
        started = [await here.relay(f"r{number}", upstream) for number in (1, 2)]
        ports = [port for _, port in started]
        balancers = [await here.balancer(f"n{number}", ports) for number in (1, 2, 3)]
        for running, _ in started:
            running.process.kill()
            await running.process.wait()
        here.source.put("s-1", state="leaving")
        for running, port in balancers:
            await running.wait_for_log(b'event="discovery failed"')
            assert [await here.serve(port) for _ in range(3)] == [b"UP r1\r\n"] * 3
        await here.relay("r1", upstream, ports[0])
        await drained_everywhere(here, balancers)


async def test_a_relay_that_comes_back_with_an_older_source_takes_no_balancer_back(tmp_path: Path) -> None:
    async with site(tmp_path) as here:
        old = Discovery(Clock(), Trace(Clock().now), here.tasks)
        for ident, listed in here.source.registry.entries.items():
            old.registry.put(ident, addr=listed["addr"])
        old.set_mode("sound")
        here.source.registry.version = 50
        upstream = int(here.source.address.partition(":")[2])
        (first, port), (second, other) = [await here.relay(f"r{number}", upstream) for number in (1, 2)]
        (name,) = here.names([port, other], port, 1)
        balancer = await here.balancer(name, [port, other])
        here.source.put("s-1", state="leaving")
        await balancer[0].wait_for_log(LEAVING)
        first.process.kill()
        await first.process.wait()
        await here.relay("r1", int(old.address.partition(":")[2]), port)
        assert (await ask(port))[1]["servers"][0]["state"] == "active", "what the balancer must not believe"
        # Its other relay stands still, so that the older list is all that it hears.
        second.process.send_signal(signal.SIGSTOP)
        await balancer[0].wait_for_log(b'event="discovery suspect" .*version 2 after 51')
        second.process.send_signal(signal.SIGCONT)
        here.source.put("s-1", weight=2.0)
        await balancer[0].wait_for_log(LEAVING)
        assert b"server=s-1 state=live" not in balancer[0].log_read.partition(LEAVING[-14:])[2]
        await drained_everywhere_now(here, balancer[1])


async def drained_everywhere_now(here: Site, port: int) -> None:
    """Nobody is sent to s-1."""
    before = here.servers.openings["s-1"]
    assert [await here.serve(port) for _ in range(5)] == [b"UP r1\r\n"] * 5
    assert here.servers.openings["s-1"] == before


async def test_bad_callers_neither_stay_nor_keep_others_from_their_answer(tmp_path: Path) -> None:
    """Half a call, a call for ever, one that takes no answer: each is ended in 3 s, others are answered."""
    async with site(tmp_path) as here:
        for number in range(20_000):
            here.source.registry.put(f"t-{number}", addr="127.0.0.1:9", kind="x" * 60)
        _, port = await here.relay("r1", int(here.source.address.partition(":")[2]))
        half = await anyio.connect_tcp("127.0.0.1", port)
        await half.send(b"GET /v1/ser")
        endless = await anyio.connect_tcp("127.0.0.1", port)
        await endless.send(b"GET /v1/servers HTTP/1.1\r\nX: " + b"x" * 5_000)
        deaf = [await anyio.connect_tcp("127.0.0.1", port) for _ in range(5)]
        for stream in deaf:
            await stream.send(b"GET /v1/servers HTTP/1.1\r\n\r\n")
        with anyio.fail_after(4.5):
            assert (await endless.receive()).startswith(b"HTTP/1.1 400 ")
            assert (await ask(port, "?index=1&wait=0"))[0] == 200
            with pytest.raises((anyio.BrokenResourceError, anyio.EndOfStream)):
                await half.receive()
        for stream in (half, endless, *deaf):
            await anyio.aclose_forcefully(stream)


@pytest.mark.parametrize(
    ("lines", "place", "error"),
    [
        (" upstream 10.0.0.1", ":2:11", "is no IP:PORT"),
        (" upstream 10.0.0.1:80,10.0.0.1:80", ":2:11", "stands there twice"),
        (" upstream 10.0.0.1:0", ":2:11", "names no port"),
        (" upstream none", "", "upstream names nothing"),
        (" upstream 10.0.0.1:80\n max-age 3s", ":3:10", "out of range"),
        (" upstream 10.0.0.1:80\n wait 900ms", ":3:2", "max-age must be twice wait"),
        (" upstream 10.0.0.1:80\n max-age 1500ms\n upstream-age 1s", ":4:2", "the ages add"),
        (" upstream 10.0.0.1:80\n log-entries 0", ":3:14", "out of range"),
        (" upstream 10.0.0.1:80\n log-entries -1", ":3:14", "no whole number"),
        (" upstream 10.0.0.1:80\n coalesce nan", ":3:11", "no duration"),
    ],
)
def test_what_cannot_be_used_is_named_with_its_place(
    lines: str, place: str, error: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    conf = tmp_path / "p.conf"
    conf.write_text(f"section relay\n{lines}\n")
    assert main(["relay", "--settings", str(conf)]) == 2
    said = capsys.readouterr().err
    assert f"{conf}{place}: " in said and error in said and len(said.splitlines()) == 1
