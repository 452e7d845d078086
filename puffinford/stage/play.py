"""A play: servers, discovery and clients round balancers that are processes, by a script of what happens.

What a script can hold is told in `stage.script`. A stand-in or link that dies ends the play with its error.
"""

from __future__ import annotations

import contextlib
import random
import resource
import signal
import time
from collections.abc import Callable, Iterator, Mapping
from functools import partial
from pathlib import Path
from typing import Any

import anyio
import anyio.abc
from anyio.lowlevel import checkpoint

from puffinford.core.clock import Clock
from puffinford.stage.crowds import Crowds, hold_connections
from puffinford.stage.faults import read_process_fault
from puffinford.stage.relays import Relays, relays
from puffinford.stage.script import CLIENTS, DISCOVERY, Event, Script
from puffinford.standins.balancer import BalancerProcess, platform_settings
from puffinford.standins.clients import Clients
from puffinford.standins.discovery import Discovery
from puffinford.standins.listeners import HOST
from puffinford.standins.servers import LineServer
from puffinford.standins.trace import KILLED, EventKind, Trace

TENANTS = 6  # that clients come from, in equal parts
ENDS = {"server": "sound", "links": "sound", "lists": "plain", "balancers": "wake"}  # after `for`
BALANCERS_EACH = 40  # whose links one relay process carries
LONGEST_DEADLINE = 3_000.0  # ms; a longer one counts as this at a planned restart ...
KILL_SPARE = 700.0  # ... which is killed so long after it
SERIES = 100.0  # ms between signals in series
LAST_ANSWERS = 500.0  # ms for the answers that are out when the last client has come
LOOK_EVERY = 2.0  # ms between looks of the play at what it waits for, and at its own loop
GUARD_EVERY = 250.0  # ms
OTHER_DEADLINES = (0.5, 2.0)  # times those of before, in a configuration that comes between two SIGTERMs
END_WITHIN = 20.0  # seconds in which a balancer that is told to end has to


class Failed(Exception):
    """The play could not go on; the text says which party failed."""


class Play:
    """A script being played, on loopback, with balancers as processes."""

    def __init__(
        self,
        script: Script,
        directory: Path,
        root: Path | None = None,
        env: Mapping[str, str] | None = None,
    ) -> None:
        """`root` is another source tree to run; `env` is added to the environment of the balancers."""
        self.script = script
        self.env = env
        self.clock = Clock()
        self.trace = Trace(self.clock.now)
        self.rng = random.Random(script.seed)
        self.directory = directory
        self.root = root
        self.servers: dict[str, LineServer] = {}
        self.balancers: list[BalancerProcess] = []
        self.relays: Relays
        self.discovery: Discovery
        self.clients: Clients
        self._seen: dict[str, float] = {}  # when the front last saw a balancer sound
        self.lateness = 0.0  # ms: the most that the playing process itself came late to its turn
        self._ended: set[str] = set()  # balancers that were told to end, and not started since
        self._crowds: Crowds

    async def run(
        self,
        *,
        listed: Mapping[str, str] | None = None,
        prepare: Callable[[Play], None] | None = None,
        discovery: str = "sound",
    ) -> Trace:
        """Play it to its end. `prepare` is called when all addresses are known, before balancers start.

        Raises Failed where a balancer ends or does not start, and where a stand-in or a link dies: a story
        with a party missing shows nothing.
        """
        try:
            return await self._run(listed, prepare, discovery)
        except BaseExceptionGroup as group:
            parts = [exc for exc in _leaves(group) if not isinstance(exc, anyio.get_cancelled_exc_class())]
            if not all(isinstance(exc, Exception) for exc in parts):
                raise
            raise Failed("; ".join(sorted({f"{exc}" or type(exc).__name__ for exc in parts}))) from group

    async def _run(
        self, listed: Mapping[str, str] | None, prepare: Callable[[Play], None] | None, discovery: str
    ) -> Trace:
        script = self.script
        number = -(-script.balancers // BALANCERS_EACH) if script.linked else 0
        async with relays(number) as self.relays, anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._crowds = Crowds(tasks)
            self.discovery = Discovery(self.clock, self.trace, tasks, script.lag)
            for ident, make in script.servers.items():
                server = LineServer(
                    ident, make, self.clock, self.trace, random.Random(self.rng.random()), tasks
                )
                self.servers[ident] = server
                server.start()
                state = (listed or {}).get(ident, "active")
                self.discovery.registry.put(
                    ident, addr=server.address, zone=make.zone, kind=make.kind, state=state
                )
            self.discovery.set_mode(discovery)
            for number in range(1, script.balancers + 1):
                ports = {f"n{number}>{ident}": port_of(one.address) for ident, one in self.servers.items()}
                if script.linked:
                    await self.relays.make(number, ports)
                told = platform_settings(script.kinds, script.balancers, number - 1)
                told["domain"]["groups"] = script.grouped
                if script.quota:
                    told["customers"] = [
                        {"name": f"m{one}", "share": 1.0 / TENANTS} for one in range(TENANTS)
                    ]
                    told["domain"]["tenant_quota_connections"] = [script.quota / TENANTS] * TENANTS
                self.balancers.append(
                    BalancerProcess(
                        f"n{number}",
                        self.directory,
                        await self._discovery_of(number, self.relays.ports if script.linked else ports),
                        told,
                        script.known,
                        script.operators,
                        self.root,
                        seed=script.seed + number,
                        env=self.env,
                        channels=script.channels,
                        sockets=script.sockets,
                    )
                )
                if script.linked:
                    await self.relays.make(number, {f"{CLIENTS}>n{number}": self.balancers[-1].port})
            if prepare is not None:
                prepare(self)
            try:
                await self._play(tasks)
            finally:
                # Guards the trace against clients that come while the balancers end: they end first.
                tasks.cancel_scope.cancel()
                with anyio.CancelScope(shield=True):
                    await checkpoint()
                for balancer in self.balancers:
                    balancer.stop()
        return self.trace

    async def _discovery_of(self, number: int, ports: Mapping[str, int]) -> str:
        """Where a balancer asks for its own list, in which servers are at these ports by link."""
        by = f"n{number}"
        view = self.discovery.add_view(by, lambda ident: f"{HOST}:{ports[f'{by}>{ident}']}")
        if not self.script.linked:
            return view
        name = f"{by}>{DISCOVERY}"
        await self.relays.make(number, {name: port_of(view)})
        return f"{HOST}:{ports[name]}"

    async def _play(self, tasks: anyio.abc.TaskGroup) -> None:
        for balancer in self.balancers:
            balancer.start()
        for balancer in self.balancers:
            await anyio.to_thread.run_sync(balancer.wait_until_listening)
        tasks.start_soon(self._events)
        tasks.start_soon(self._guard)
        tasks.start_soon(self._watch_lateness)
        self.trace.serving_started_at = self.trace.elapsed
        self.clients = Clients(
            self.script.kinds,
            self.script.rate,
            self._front,
            self.clock,
            self.trace,
            self.rng,
            tasks,
            extra_wait=self.script.patience,
            idle_share=self.script.rests,
        )
        await self.clients.run(self.script.seconds * 1_000.0)
        self.trace.serving_ended_at = self.trace.elapsed
        # Guards the sums of a report: those who have asked are answered, if that takes no longer than usual.
        with self.clock.limit(LAST_ANSWERS):
            while True:
                await self.clock.sleep(LOOK_EVERY)  # the last one may not have asked yet
                if not self.clients.awaiting_answer:
                    break

    async def _guard(self) -> None:
        """End the play where a balancer has ended that nobody told to, or a relay."""
        while True:
            await self.clock.sleep(GUARD_EVERY)
            for balancer in self.balancers:
                if not balancer.running and balancer.name not in self._ended:
                    raise Failed(f"{balancer.name} ended by itself; see {balancer.log_path}")
            await self.relays.look()

    async def _watch_lateness(self) -> None:
        """Notice how late the stand-ins' own loop is at most: what they saw may be later by as much."""
        while True:
            due = self.clock.now() + LOOK_EVERY
            await self.clock.sleep(LOOK_EVERY)
            self.lateness = max(self.lateness, self.clock.now() - due)

    def _front(self) -> tuple[str, int] | None:
        """Where the next client comes: any balancer that the front has not yet noticed to be dead."""
        now = self.clock.now()
        for balancer in self.balancers:
            if balancer.running and balancer.ready:
                self._seen[balancer.name] = now
        least = now - self.script.notice * 1_000.0
        running = [one for one in self.balancers if self._seen.get(one.name, -1.0) >= least]
        if not running:
            return None
        chosen = self.rng.choices(running, [self.script.busy.get(one.name, 1.0) for one in running])[0]
        return chosen.name, self.relays.ports.get(f"{CLIENTS}>{chosen.name}", chosen.port)

    async def _events(self) -> None:
        began = self.clock.now()
        for event in self.script.events:
            await self.clock.sleep(began + event.at - self.clock.now())
            await self.carry_out(event)

    async def carry_out(self, event: Event) -> None:
        """Make one thing happen."""
        if event.whom == "discovery":
            self.discovery.set_mode(event.do)
            return
        each = event.over / len(event.names)
        for number, name in enumerate(event.names if event.over else ()):
            self._tasks.start_soon(self._later, event.whom, (name,), event.do, each * number)
        if not event.over:
            await self._strike(event.whom, event.names, event.do)
        if event.lasts:
            self._tasks.start_soon(self._later, event.whom, event.names, ENDS[event.whom], event.lasts)

    async def _later(self, whom: str, names: tuple[str, ...], do: str, wait: float) -> None:
        await self.clock.sleep(wait)
        await self._strike(whom, names, do)

    async def _strike(self, whom: str, names: tuple[str, ...], do: str) -> None:
        if whom == "links":
            await self.relays.become(names, do)
        for name in names:
            if whom == "server":
                await self._server(self.servers[name], do)
                continue
            self.trace.add(EventKind.FAULT, balancer=name, detail=do)
            if whom == "lists":
                self.discovery.set_twist(name, do)
            elif whom == "balancers":
                await self._balancer(self.balancers[int(name[1:]) - 1], do)

    async def _server(self, server: LineServer, do: str) -> None:
        match do:
            case "crash":
                await server.crash()
            case "start" | "start cold":
                server.start(cold=do == "start cold")
                started = round(time.time() * 1_000.0) if do == "start cold" else 0
                self.discovery.put(server.id, state="active", started_ms=started)
            case "leaving" | "left":
                self.discovery.put(server.id, state=do)
            case "draining":
                self.discovery.put(server.id, state="leaving")
                server.set_state("draining")
            case _:
                server.set_state(do)

    def _start(self, balancer: BalancerProcess) -> None:
        balancer.start()
        self._ended.discard(balancer.name)
        self._tasks.start_soon(partial(anyio.to_thread.run_sync, abandon_on_cancel=True), _wait, balancer)

    async def _balancer(self, balancer: BalancerProcess, do: str) -> None:
        if do == "wake":
            return await self._wake(balancer)
        kind, figure = read_process_fault(do)
        if kind not in ("reload", "freeze", "descriptors", "crowd"):
            self._ended.add(balancer.name)
        match kind:
            case "kill":
                balancer.signal(signal.SIGKILL)
            case "terminate":
                balancer.signal(signal.SIGTERM)
            case "reload" if balancer.ready:  # the platform reloads none that is not ready yet
                balancer.signal(signal.SIGHUP)
            case "freeze":
                balancer.signal(signal.SIGSTOP)
            case "descriptors" if balancer.running:
                _, most = resource.prlimit(balancer.pid, resource.RLIMIT_NOFILE)
                resource.prlimit(balancer.pid, resource.RLIMIT_NOFILE, (figure, most))
            case "crowd":
                self._crowds.come(balancer.name, balancer.port, figure)
            case "end":
                await self._end(balancer)
            case "restart" | "roll" | "stall":
                balancer.signal(signal.SIGTERM if kind == "roll" else signal.SIGKILL)
                balancer.ready = False
                with self.clock.limit(END_WITHIN * 1_000.0):
                    while balancer.running:
                        await self.clock.sleep(5.0)
                balancer.signal(signal.SIGKILL)  # guards the play against one that does not end
                self._start(balancer)
                if kind == "stall":
                    balancer.signal(signal.SIGSTOP)

    async def _end(self, balancer: BalancerProcess) -> None:
        """A planned restart by signals in series, with the kill as early as the page allows.

        Where clients hold connections until then, the SIGHUP carries a configuration with other deadlines.
        """
        longest = max(kind.give_up for kind in self.script.kinds)
        kill_at = self.clock.now() + min(LONGEST_DEADLINE, longest) + KILL_SPARE
        if self.script.holding:
            rng = random.Random(f"{self.script.seed}/{balancer.name}")
            hold_connections(self.clients, balancer, kill_at, self.script.holding, self.clock, rng)
        for signum in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            balancer.ready = False
            if signum == signal.SIGHUP and self.script.holding:
                balancer.write_settings(_with_deadlines(balancer.settings, rng.choice(OTHER_DEADLINES)))
            balancer.signal(signum)
            await self.clock.sleep(SERIES)
        while balancer.running and self.clock.now() < kill_at:
            await self.clock.sleep(LOOK_EVERY)
        if balancer.running:
            self.trace.add(EventKind.FAULT, balancer=balancer.name, detail=KILLED)
        balancer.signal(signal.SIGKILL)
        balancer.write_settings(balancer.settings)
        self._start(balancer)

    async def _wake(self, balancer: BalancerProcess) -> None:
        """Its fault is over, whatever it was."""
        self._crowds.go(balancer.name)
        balancer.signal(signal.SIGCONT)
        if not balancer.running:  # it was killed and not started since
            self._start(balancer)
            return
        _, most = resource.prlimit(balancer.pid, resource.RLIMIT_NOFILE)
        resource.prlimit(balancer.pid, resource.RLIMIT_NOFILE, (most, most))


def _with_deadlines(settings: Mapping[str, Any], times: float) -> dict[str, Any]:
    """The same settings, but for deadlines that are so many times as long."""
    classes = [{**cls, "give_up": cls["give_up"] * times} for cls in settings["classes"]]
    return {**settings, "classes": classes}


def port_of(address: str) -> int:
    """The port of HOST:PORT."""
    return int(address.rpartition(":")[2])


def _leaves(group: BaseExceptionGroup[BaseException]) -> Iterator[BaseException]:
    for exc in group.exceptions:
        if isinstance(exc, BaseExceptionGroup):
            yield from _leaves(exc)
        else:
            yield exc


def _wait(balancer: BalancerProcess) -> None:
    with contextlib.suppress(TimeoutError):  # guards a play against a start that never gets ready
        balancer.wait_until_listening(60.0)
