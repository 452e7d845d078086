"""A balancer process with stand-in servers and discovery, and injected system call faults."""

from __future__ import annotations

import contextlib
import json
import time
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio
import anyio.abc

from puffinford.core.clock import Clock
from puffinford.standins.discovery import Discovery
from puffinford.standins.trace import Trace
from puffinford.state.store import StoreError, inspect
from tests.harness import Handler, Peer, Program, Script, harness, opening, program

SEAM = Path(__file__).parent / "seam"
SETTINGS: dict[str, Any] = {
    "classes": [{"name": "price-lookup", "give_up": 2_000.0, "repeat": "idempotent"}],
    "permissions": {"connect_timeout": 500.0, "max_attempts": 4, "cancel": True},
    "rules": {"cold_from": 0.13, "ramp_time": 23_000.0, "fall": 1_000.0, "tip_multiple": 3.0},
}


def unix_ms() -> float:
    """Return Unix time in ms, which is not affected by steps of the balancer's wall clock."""
    return time.time() * 1_000.0


class FaultPlan:
    """Faults injected into a process; see `tests/seam/sitecustomize.py`."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.apply()

    def apply(
        self, wall_s: float = 0.0, *faults: dict[str, Any], seed: int = 1, signals: Sequence[int] = ()
    ) -> None:
        """Replace the plan atomically."""
        new_file = self.path.with_suffix(".new")
        new_file.write_text(
            json.dumps({"wall_s": wall_s, "faults": faults, "seed": seed, "signals": signals})
        )
        new_file.replace(self.path)


@dataclass
class Site:
    """A balancer process and its environment. Its clients stay connected until it ends."""

    directory: Path
    running: Program
    plan: FaultPlan
    discovery: Discovery
    port: int
    servers: list[str]
    openings: Counter[str] = field(default_factory=Counter)
    start: Callable[[], Awaitable[Program]] | None = None
    channel_port: int = 0  # 0: without channel front

    def configure(self, **settings: Any) -> None:
        """Change settings in the configuration file. SIGHUP reloads it."""
        path = self.directory / "config.json"
        config = json.loads(path.read_text())
        config["settings"].update(settings)
        path.write_text(json.dumps(config))

    async def wait_stored(self) -> None:
        """Wait until the process has stored discovery's current list."""
        path = self.directory / "puffinford.n1.state"
        while True:
            with contextlib.suppress(StoreError):
                if inspect(path).version == self.discovery.registry.version:
                    return
            await anyio.sleep(0.02)

    async def restart(self, wall_s: float, *faults: dict[str, Any], signals: Sequence[int] = ()) -> None:
        """Kill the process and start it again with faults and the wall clock stepped by `wall_s` seconds.

        `signals` are sent when it begins to listen.
        """
        assert self.start is not None
        self.running.process.kill()
        await self.running.process.wait()
        self.plan.apply(wall_s, *faults, signals=signals)
        self.running = await self.start()
        self.port = await self.running.port(b"lines")

    async def connect(self, request_id: str) -> tuple[Peer, bytes]:
        """Connect a client and send an opening; return the client and the first line of the answer."""
        peer = Peer(await anyio.connect_tcp("127.0.0.1", self.port))
        await peer.send_line(opening(request_id))
        return peer, await peer.line()

    async def connect_many(self, number: int, name: str = "c") -> Counter[str]:
        """Connect `number` clients one after another; count the first words of their answers."""
        answers: Counter[str] = Counter()
        for n in range(number):
            _, line = await self.connect(f"{name}{n}")
            answers[line.split()[0].decode() if line.strip() else "none"] += 1
        return answers

    async def update_entry(self, server_id: str, **fields: object) -> None:
        """Change or repeat an entry of discovery, and wait until the process has applied it."""
        self.discovery.put(server_id, **fields)
        await self.running.wait_for_log(f"server={server_id} .*list=update".encode())


@asynccontextmanager
async def site(
    directory: Path,
    server_count: int = 2,
    started_ago_ms: float = 0.0,
    discovery_mode: str = "sound",
    custom_servers: Sequence[Script] = (),
    channels: bool = False,
    sockets: int = 1_024,
    **settings: Any,
) -> AsyncIterator[Site]:
    """Run a balancer with `server_count` echo servers, started `started_ago_ms` ago (0: long ago).

    `discovery_mode` is discovery's initial state. `custom_servers` are added to the echo servers.
    `channels` enables the channel front. The process may use `sockets` descriptors.
    """
    plan = FaultPlan(directory / "plan.json")
    config = directory / "config.json"
    openings: Counter[str] = Counter()
    async with harness() as here:
        clock = Clock()
        discovery = Discovery(clock, Trace(clock.now), here.tasks)
        discovery.set_mode(discovery_mode)
        servers = [f"s-{n}" for n in range(1, server_count + len(custom_servers) + 1)]
        scripts = [
            *(_echo_server(server_id, openings) for server_id in servers[:server_count]),
            *custom_servers,
        ]
        for server_id, script in zip(servers, scripts, strict=True):
            discovery.registry.put(
                server_id,
                addr=f"127.0.0.1:{await here.listen(_handler(script))}",
                started_ms=unix_ms() - started_ago_ms if started_ago_ms else 0,
            )
        contents = {
            "listen": "127.0.0.1:0",
            "mgmt": "127.0.0.1:0",
            "discovery": discovery.address,
            "limits": {"sockets": sockets},
            "settings": {**SETTINGS, **settings},
        }
        config.write_text(json.dumps({"name": "n1", **contents}))
        env: dict[str, Any] = {
            "FAULT_PLAN": str(plan.path),
            "PYTHONPATH": str(SEAM),
            "TMPDIR": str(directory),
        }
        arguments: list[str] = []
        if channels:
            operators = directory / "puffinford.conf"
            operators.write_text("section channels\n enabled on\n listen 127.0.0.1:0\n")
            arguments = ["serve", "--settings", str(operators)]
        async with AsyncExitStack() as processes:

            async def start() -> Program:
                return await processes.enter_async_context(program(config, *arguments, **env))

            running = await start()
            port = await running.port(b"lines")
            channel_port = await running.port(b"channels") if channels else 0
            if discovery_mode == "sound":
                await running.wait_for_log(b"server=s-1 .*list=replace")
            balancer_site = Site(
                directory, running, plan, discovery, port, servers, openings, start, channel_port
            )
            yield balancer_site
            here.over = True
            with contextlib.suppress(ProcessLookupError):
                balancer_site.running.process.kill()
            here.tasks.cancel_scope.cancel()


def _handler(script: Script) -> Handler:
    async def handle(stream: anyio.abc.SocketStream) -> None:
        await script(Peer(stream))

    return handle


def _echo_server(server_id: str, openings: Counter[str]) -> Script:
    async def serve(peer: Peer) -> None:
        if (await peer.line()).startswith(b"OPEN"):
            openings[server_id] += 1
            await peer.send_line(b"UP r1")
            while (line := await peer.line()) not in (b"FIN", b"RST"):
                await peer.stream.send(line)

    return serve
