"""One real balancer process among stand-in servers, with faults of the system under it."""

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
from puffinford.state.store import StoreFailed, inspect
from tests.harness import Handler, Peer, Program, Script, harness, opening, program

SEAM = Path(__file__).parent / "seam"
SETTINGS: dict[str, Any] = {
    "classes": [{"name": "price-lookup", "give_up": 2_000.0, "repeat": "idempotent"}],
    "permissions": {"connect_timeout": 500.0, "max_attempts": 4, "cancel": True},
    "rules": {"cold_from": 0.13, "ramp_time": 23_000.0, "fall": 1_000.0, "tip_multiple": 3.0},
}


def unix_ms() -> float:
    """The time that servers tell, which no step of the balancer's clock changes."""
    return time.time() * 1_000.0


class FaultPlan:
    """What the process's system does to it; see `tests/seam`."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.apply()

    def apply(
        self, wall_s: float = 0.0, *faults: dict[str, Any], seed: int = 1, signals: Sequence[int] = ()
    ) -> None:
        """Put this in force, whole and at once."""
        fresh = self.path.with_suffix(".new")
        fresh.write_text(json.dumps({"wall_s": wall_s, "faults": faults, "seed": seed, "signals": signals}))
        fresh.replace(self.path)


@dataclass
class Site:
    """The process, and what is round it. Its clients stand until it ends."""

    directory: Path
    running: Program
    plan: FaultPlan
    lists: Discovery
    port: int
    servers: list[str]
    openings: Counter[str] = field(default_factory=Counter)
    start: Callable[[], Awaitable[Program]] | None = None
    channel_port: int = 0  # where its channel front listens, if it has one

    def configure(self, **settings: Any) -> None:
        """Write its configuration anew, with these settings changed; a SIGHUP has it read."""
        path = self.directory / "config.json"
        told = json.loads(path.read_text())
        told["settings"].update(settings)
        path.write_text(json.dumps(told))

    async def wait_stored(self) -> None:
        """Wait until the process's store holds the list as discovery has it."""
        path = self.directory / "puffinford.n1.state"
        while True:
            with contextlib.suppress(StoreFailed):
                if inspect(path).version == self.lists.registry.version:
                    return
            await anyio.sleep(0.02)

    async def restart(self, wall_s: float, *faults: dict[str, Any], signals: Sequence[int] = ()) -> None:
        """Kill it, and start it anew under a wall clock that was stepped meanwhile, and under faults.

        `signals` come as it begins to listen.
        """
        assert self.start is not None
        self.running.process.kill()
        await self.running.process.wait()
        self.plan.apply(wall_s, *faults, signals=signals)
        self.running = await self.start()
        self.port = await self.running.port(b"lines")

    async def connect(self, job: str) -> tuple[Peer, bytes]:
        """A client that asks, and the first line of its answer."""
        peer = Peer(await anyio.connect_tcp("127.0.0.1", self.port))
        await peer.send_line(opening(job))
        return peer, await peer.line()

    async def connect_many(self, number: int, name: str = "c") -> Counter[str]:
        """So many clients, one after another, which stay: the first words of their answers."""
        answers: Counter[str] = Counter()
        for n in range(number):
            _, line = await self.connect(f"{name}{n}")
            answers[line.split()[0].decode() if line.strip() else "none"] += 1
        return answers

    async def told(self, ident: str, **more: object) -> None:
        """Change an entry, or tell it again, and wait until the process has taken it."""
        self.lists.put(ident, **more)
        await self.running.wait_for_log(f"server={ident} .*list=update".encode())


@asynccontextmanager
async def site(
    directory: Path,
    count: int = 2,
    started: float = 0.0,
    listed: str = "sound",
    own: Sequence[Script] = (),
    channels: bool = False,
    sockets: int = 1_024,
    **settings: Any,
) -> AsyncIterator[Site]:
    """A balancer with `count` sound servers, each of which started `started` ms ago (0: long ago).

    `listed` is how discovery is from the start, `own` are servers of the story's own behind the sound ones.
    `channels` turns the channel front on; the process may hold `sockets` descriptors.
    """
    plan = FaultPlan(directory / "plan.json")
    config = directory / "config.json"
    openings: Counter[str] = Counter()
    async with harness() as here:
        clock = Clock()
        lists = Discovery(clock, Trace(clock.now), here.tasks)
        lists.set_mode(listed)
        servers = [f"s-{n}" for n in range(1, count + len(own) + 1)]
        scripts = [*(_sound(ident, openings) for ident in servers[:count]), *own]
        for ident, script in zip(servers, scripts, strict=True):
            lists.registry.put(
                ident,
                addr=f"127.0.0.1:{await here.listen(_handler(script))}",
                started_ms=unix_ms() - started if started else 0,
            )
        told = {
            "listen": "127.0.0.1:0",
            "mgmt": "127.0.0.1:0",
            "discovery": lists.address,
            "limits": {"sockets": sockets},
            "settings": {**SETTINGS, **settings},
        }
        config.write_text(json.dumps({"name": "n1", **told}))
        env: dict[str, Any] = {
            "FAULT_PLAN": str(plan.path),
            "PYTHONPATH": str(SEAM),
            "TMPDIR": str(directory),
        }
        words: list[str] = []
        if channels:
            operators = directory / "puffinford.conf"
            operators.write_text("section channels\n enabled on\n listen 127.0.0.1:0\n")
            words = ["serve", "--settings", str(operators)]
        async with AsyncExitStack() as processes:

            async def start() -> Program:
                return await processes.enter_async_context(program(config, *words, **env))

            running = await start()
            port = await running.port(b"lines")
            channel_port = await running.port(b"channels") if channels else 0
            if listed == "sound":
                await running.wait_for_log(b"server=s-1 .*list=replace")
            made = Site(directory, running, plan, lists, port, servers, openings, start, channel_port)
            yield made
            here.over = True
            with contextlib.suppress(ProcessLookupError):
                made.running.process.kill()
            here.tasks.cancel_scope.cancel()


def _handler(script: Script) -> Handler:
    async def handle(stream: anyio.abc.SocketStream) -> None:
        await script(Peer(stream))

    return handle


def _sound(ident: str, openings: Counter[str]) -> Script:
    async def stand(peer: Peer) -> None:
        if (await peer.line()).startswith(b"OPEN"):
            openings[ident] += 1
            await peer.send_line(b"UP r1")
            while (line := await peer.line()) not in (b"FIN", b"RST"):
                await peer.stream.send(line)

    return stand
