"""Runs a script: balancer processes with simulated servers, discovery and clients, and the script's events.

`stage.script` describes what a script can hold. If a simulated party or a link fails, the play ends with its
error.
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
from puffinford.stage.relays import LinkRelays, start_relays
from puffinford.stage.script import CLIENTS, DISCOVERY, Event, Script
from puffinford.standins.balancer import BalancerProcess, platform_settings
from puffinford.standins.clients import Clients
from puffinford.standins.discovery import Discovery
from puffinford.standins.listeners import HOST
from puffinford.standins.servers import LineServer
from puffinford.standins.trace import KILLED, EventKind, Trace

TENANT_COUNT = 6  # that clients belong to, in equal shares
# The action that ends a fault, by `whom` of its event.
FAULT_ENDS = {"server": "sound", "links": "sound", "lists": "plain", "balancers": "wake"}
BALANCERS_PER_RELAY = 40  # balancers whose links share a relay process
MAX_SHUTDOWN_DEADLINE_MS = 3_000.0  # a planned restart waits for the longest deadline, up to this
KILL_MARGIN_MS = 700.0  # from that deadline to SIGKILL
SIGNAL_INTERVAL_MS = 100.0  # between the signals of a planned restart
LAST_ANSWERS_MS = 500.0  # to wait for outstanding answers after the last client has arrived
POLL_INTERVAL_MS = 2.0
PROCESS_CHECK_INTERVAL_MS = 250.0
DEADLINE_FACTORS = (0.5, 2.0)  # applied to the deadlines that are reloaded between two SIGTERMs
EXIT_TIMEOUT_S = 20.0  # after SIGTERM or SIGKILL


class PlayFailed(Exception):
    """The play was aborted; the message names the party that failed."""


class Play:
    """One run of a script on loopback, with balancers as processes."""

    def __init__(
        self,
        script: Script,
        directory: Path,
        root: Path | None = None,
        env: Mapping[str, str] | None = None,
    ) -> None:
        """Prepare a run whose files go to `directory`.

        Balancers run from the source tree `root`, if given, with `env` added to their environment.
        """
        self.script = script
        self.env = env
        self.clock = Clock()
        self.trace = Trace(self.clock.now)
        self.rng = random.Random(script.seed)
        self.directory = directory
        self.root = root
        self.servers: dict[str, LineServer] = {}
        self.balancers: list[BalancerProcess] = []
        self.relays: LinkRelays
        self.discovery: Discovery
        self.clients: Clients
        self._last_ready: dict[str, float] = {}  # when each balancer was last seen ready, in ms of the clock
        self.max_lateness_ms = 0.0  # longest delay of the event loop of this process
        self._stopped: set[str] = set()  # balancers that the script has ended and not started again
        self._crowds: Crowds

    async def run(
        self,
        *,
        initial_states: Mapping[str, str] | None = None,
        prepare: Callable[[Play], None] | None = None,
        discovery: str = "sound",
    ) -> Trace:
        """Run the script to its end and return the trace.

        `initial_states` are the listed states of servers that are not active at first, `discovery` is the
        mode that discovery starts in. `prepare` is called when all addresses are known, before the balancers
        start. Raises PlayFailed if a balancer does not start or ends by itself, or if a simulated party or a
        relay process fails: a run without one of its parties proves nothing.
        """
        try:
            return await self._run(initial_states, prepare, discovery)
        except BaseExceptionGroup as group:
            errors = [
                exc for exc in _leaf_exceptions(group) if not isinstance(exc, anyio.get_cancelled_exc_class())
            ]
            if not all(isinstance(exc, Exception) for exc in errors):
                raise
            raise PlayFailed("; ".join(sorted({f"{exc}" or type(exc).__name__ for exc in errors}))) from group

    async def _run(
        self, initial_states: Mapping[str, str] | None, prepare: Callable[[Play], None] | None, discovery: str
    ) -> Trace:
        script = self.script
        number = -(-script.balancers // BALANCERS_PER_RELAY) if script.has_links else 0
        async with start_relays(number) as self.relays, anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._crowds = Crowds(tasks)
            self.discovery = Discovery(self.clock, self.trace, tasks, script.lag)
            for ident, profile in script.servers.items():
                server = LineServer(
                    ident, profile, self.clock, self.trace, random.Random(self.rng.random()), tasks
                )
                self.servers[ident] = server
                server.start()
                state = (initial_states or {}).get(ident, "active")
                self.discovery.registry.put(
                    ident, addr=server.address, zone=profile.zone, kind=profile.kind, state=state
                )
            self.discovery.set_mode(discovery)
            for number in range(1, script.balancers + 1):
                ports = {
                    f"n{number}>{ident}": port_of(line_server.address)
                    for ident, line_server in self.servers.items()
                }
                if script.has_links:
                    await self.relays.add_links(number, ports)
                settings = platform_settings(script.kinds, script.balancers, number - 1)
                settings["domain"]["groups"] = script.grouped
                if script.quota:
                    settings["customers"] = [
                        {"name": f"m{index}", "share": 1.0 / TENANT_COUNT} for index in range(TENANT_COUNT)
                    ]
                    settings["domain"]["tenant_quota_connections"] = [
                        script.quota / TENANT_COUNT
                    ] * TENANT_COUNT
                self.balancers.append(
                    BalancerProcess(
                        f"n{number}",
                        self.directory,
                        await self._discovery_of(number, self.relays.ports if script.has_links else ports),
                        settings,
                        script.known,
                        script.operators,
                        self.root,
                        seed=script.seed + number,
                        env=self.env,
                        channels=script.channels,
                        sockets=script.sockets,
                    )
                )
                if script.has_links:
                    await self.relays.add_links(number, {f"{CLIENTS}>n{number}": self.balancers[-1].port})
            if prepare is not None:
                prepare(self)
            try:
                await self._play(tasks)
            finally:
                # Clients end first: prevents requests in the trace that arrive while the balancers stop.
                tasks.cancel_scope.cancel()
                with anyio.CancelScope(shield=True):
                    await checkpoint()
                for balancer in self.balancers:
                    balancer.stop()
        return self.trace

    async def _discovery_of(self, number: int, ports: Mapping[str, int]) -> str:
        """Open the view of discovery for one balancer and return its address.

        `ports` are the ports at which it lists the servers, by name of the link.
        """
        balancer_name = f"n{number}"
        view = self.discovery.add_view(
            balancer_name, lambda ident: f"{HOST}:{ports[f'{balancer_name}>{ident}']}"
        )
        if not self.script.has_links:
            return view
        name = f"{balancer_name}>{DISCOVERY}"
        await self.relays.add_links(number, {name: port_of(view)})
        return f"{HOST}:{ports[name]}"

    async def _play(self, tasks: anyio.abc.TaskGroup) -> None:
        for balancer in self.balancers:
            balancer.start()
        for balancer in self.balancers:
            await anyio.to_thread.run_sync(balancer.wait_until_listening)
        tasks.start_soon(self._run_events)
        tasks.start_soon(self._check_processes)
        tasks.start_soon(self._measure_lateness)
        self.trace.serving_started_at = self.trace.elapsed
        self.clients = Clients(
            self.script.kinds,
            self.script.rate,
            self._choose_balancer,
            self.clock,
            self.trace,
            self.rng,
            tasks,
            extra_wait=self.script.patience,
            idle_share=self.script.rests,
        )
        await self.clients.run(self.script.seconds * 1_000.0)
        self.trace.serving_ended_at = self.trace.elapsed
        # Waits for outstanding answers, so that a report does not count these requests as unanswered.
        with self.clock.limit(LAST_ANSWERS_MS):
            while True:
                # Sleeps first, as the last client may not have sent its request yet.
                await self.clock.sleep(POLL_INTERVAL_MS)
                if not self.clients.awaiting_answer:
                    break

    async def _check_processes(self) -> None:
        """Abort the play if a balancer or a relay process has ended by itself."""
        while True:
            await self.clock.sleep(PROCESS_CHECK_INTERVAL_MS)
            for balancer in self.balancers:
                if not balancer.running and balancer.name not in self._stopped:
                    raise PlayFailed(
                        f"{balancer.name} ended by itself ({balancer.exit_status}); see {balancer.log_path}"
                    )
            await self.relays.poll_lateness()

    async def _measure_lateness(self) -> None:
        """Measure how far the event loop is behind: times in the trace may be late by as much."""
        while True:
            due = self.clock.now() + POLL_INTERVAL_MS
            await self.clock.sleep(POLL_INTERVAL_MS)
            self.max_lateness_ms = max(self.max_lateness_ms, self.clock.now() - due)

    def _choose_balancer(self) -> tuple[str, int] | None:
        """Choose the balancer for the next client, by weight; return its name and port.

        A balancer stays eligible for `notice` seconds after it was last ready, as behind a front that has not
        noticed yet that it is gone.
        """
        now = self.clock.now()
        for balancer in self.balancers:
            if balancer.running and balancer.ready:
                self._last_ready[balancer.name] = now
        earliest = now - self.script.notice * 1_000.0
        eligible = [
            candidate
            for candidate in self.balancers
            if self._last_ready.get(candidate.name, -1.0) >= earliest
        ]
        if not eligible:
            return None
        chosen = self.rng.choices(
            eligible, [self.script.busy.get(candidate.name, 1.0) for candidate in eligible]
        )[0]
        return chosen.name, self.relays.ports.get(f"{CLIENTS}>{chosen.name}", chosen.port)

    async def _run_events(self) -> None:
        started_at = self.clock.now()
        for event in self.script.events:
            await self.clock.sleep(started_at + event.at - self.clock.now())
            await self.carry_out(event)

    async def carry_out(self, event: Event) -> None:
        """Apply an event to its parties, and schedule its end if it has one."""
        if event.whom == "discovery":
            self.discovery.set_mode(event.do)
            return
        interval = event.over / len(event.names)
        for number, name in enumerate(event.names if event.over else ()):
            self._tasks.start_soon(self._apply_after, event.whom, (name,), event.do, interval * number)
        if not event.over:
            await self._apply(event.whom, event.names, event.do)
        if event.lasts:
            self._tasks.start_soon(
                self._apply_after, event.whom, event.names, FAULT_ENDS[event.whom], event.lasts
            )

    async def _apply_after(self, whom: str, names: tuple[str, ...], do: str, delay: float) -> None:
        await self.clock.sleep(delay)
        await self._apply(whom, names, do)

    async def _apply(self, whom: str, names: tuple[str, ...], do: str) -> None:
        if whom == "links":
            await self.relays.set_fault(names, do)
        for name in names:
            if whom == "server":
                await self._apply_to_server(self.servers[name], do)
                continue
            self.trace.add(EventKind.FAULT, balancer=name, detail=do)
            if whom == "lists":
                self.discovery.set_twist(name, do)
            elif whom == "balancers":
                await self._apply_to_balancer(self.balancers[int(name[1:]) - 1], do)

    async def _apply_to_server(self, server: LineServer, do: str) -> None:
        match do:
            case "crash":
                await server.crash()
            case "start" | "start cold":
                server.start(cold=do == "start cold")
                started_ms = round(time.time() * 1_000.0) if do == "start cold" else 0
                self.discovery.put(server.id, state="active", started_ms=started_ms)
            case "leaving" | "left":
                self.discovery.put(server.id, state=do)
            case "draining":
                self.discovery.put(server.id, state="leaving")
                server.set_state("draining")
            case _:
                server.set_state(do)

    def _start(self, balancer: BalancerProcess) -> None:
        balancer.start()
        self._stopped.discard(balancer.name)
        self._tasks.start_soon(
            partial(anyio.to_thread.run_sync, abandon_on_cancel=True), _wait_until_listening, balancer
        )

    async def _apply_to_balancer(self, balancer: BalancerProcess, do: str) -> None:
        if do == "wake":
            return await self._end_fault(balancer)
        kind, count = read_process_fault(do)
        if kind not in ("reload", "freeze", "descriptors", "crowd"):
            self._stopped.add(balancer.name)
        match kind:
            case "kill":
                balancer.signal(signal.SIGKILL)
            case "terminate":
                balancer.signal(signal.SIGTERM)
            case "reload" if balancer.ready:  # the platform does not reload a balancer that is not ready yet
                balancer.signal(signal.SIGHUP)
            case "freeze":
                balancer.signal(signal.SIGSTOP)
            case "descriptors" if balancer.running:
                _, hard_limit = resource.prlimit(balancer.pid, resource.RLIMIT_NOFILE)
                resource.prlimit(balancer.pid, resource.RLIMIT_NOFILE, (count, hard_limit))
            case "crowd":
                self._crowds.start(balancer.name, balancer.port, count)
            case "end":
                await self._planned_restart(balancer)
            case "restart" | "roll" | "stall":
                balancer.signal(signal.SIGTERM if kind == "roll" else signal.SIGKILL)
                balancer.ready = False
                await self._wait_until_ended(balancer)
                balancer.signal(signal.SIGKILL)  # in case it did not end in time
                self._start(balancer)
                if kind == "stall":
                    balancer.signal(signal.SIGSTOP)

    async def _planned_restart(self, balancer: BalancerProcess) -> None:
        """Send SIGTERM, SIGHUP and SIGTERM, kill the balancer as early as the platform may, and restart it.

        If clients hold connections until the kill, the SIGHUP comes with changed deadlines.
        """
        longest_deadline = max(kind.give_up for kind in self.script.kinds)
        kill_at = self.clock.now() + min(MAX_SHUTDOWN_DEADLINE_MS, longest_deadline) + KILL_MARGIN_MS
        if self.script.holding:
            rng = random.Random(f"{self.script.seed}/{balancer.name}")
            hold_connections(self.clients, balancer, kill_at, self.script.holding, self.clock, rng)
        for signum in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            balancer.ready = False
            if signum == signal.SIGHUP and self.script.holding:
                balancer.write_settings(_scale_deadlines(balancer.settings, rng.choice(DEADLINE_FACTORS)))
            balancer.signal(signum)
            await self.clock.sleep(SIGNAL_INTERVAL_MS)
        while balancer.running and self.clock.now() < kill_at:
            await self.clock.sleep(POLL_INTERVAL_MS)
        if balancer.running:
            self.trace.add(EventKind.FAULT, balancer=balancer.name, detail=KILLED)
        balancer.signal(signal.SIGKILL)
        balancer.write_settings(balancer.settings)
        await self._wait_until_ended(balancer)
        self._start(balancer)

    async def _wait_until_ended(self, balancer: BalancerProcess) -> None:
        """Wait for the process's end, for at most EXIT_TIMEOUT_S.

        A successor that is started earlier is taken for ready by connections that the old process accepts.
        """
        with self.clock.limit(EXIT_TIMEOUT_S * 1_000.0):
            while balancer.running:
                await self.clock.sleep(POLL_INTERVAL_MS)

    async def _end_fault(self, balancer: BalancerProcess) -> None:
        """End the fault of a balancer, whatever its kind."""
        self._crowds.stop(balancer.name)
        balancer.signal(signal.SIGCONT)
        if not balancer.running:  # killed and not yet restarted
            self._start(balancer)
            return
        _, hard_limit = resource.prlimit(balancer.pid, resource.RLIMIT_NOFILE)
        resource.prlimit(balancer.pid, resource.RLIMIT_NOFILE, (hard_limit, hard_limit))


def _scale_deadlines(settings: Mapping[str, Any], factor: float) -> dict[str, Any]:
    """Copy settings with each class's deadline multiplied by `factor`."""
    classes = [{**cls, "give_up": cls["give_up"] * factor} for cls in settings["classes"]]
    return {**settings, "classes": classes}


def port_of(address: str) -> int:
    """Return the port of an address HOST:PORT."""
    return int(address.rpartition(":")[2])


def _leaf_exceptions(group: BaseExceptionGroup[BaseException]) -> Iterator[BaseException]:
    for exc in group.exceptions:
        if isinstance(exc, BaseExceptionGroup):
            yield from _leaf_exceptions(exc)
        else:
            yield exc


def _wait_until_listening(balancer: BalancerProcess) -> None:
    with contextlib.suppress(TimeoutError):  # a start that never becomes ready does not end the play
        balancer.wait_until_listening(60.0)
