"""Plays one story at one size: starts the processes, drives the story, and gathers what came of it."""

from __future__ import annotations

import resource
import signal
import time
from pathlib import Path
from typing import Any

import anyio
import anyio.abc
from anyio import to_thread

from puffinford.core.clock import Clock
from puffinford.scale.assemble import HOLLOW_GROUP, REAL_GROUP, assemble
from puffinford.scale.children import Child, ChildFailed
from puffinford.scale.distribution import Distribution, RelayNotListening, distribution
from puffinford.scale.messages import (
    Begin,
    Cut,
    Finish,
    FromHollow,
    FromListService,
    HollowSpec,
    Kill,
    ListServiceSpec,
    Outage,
    Plan,
    ResetWatches,
)
from puffinford.scale.outcome import RunOutcome
from puffinford.scale.pipes import cpu_seconds
from puffinford.scale.plan import RunPlan
from puffinford.scale.process_reports import ProcessReports, UsageSnapshot
from puffinford.scale.real_balancers import RealBalancers, RealSpec, StandInServers
from puffinford.scale.stories import RelayFault, Story, changes, third
from puffinford.standins.balancer import platform_settings
from puffinford.standins.clients import ClientClass

READY_LEAST_S = 20.0  # for all to have a list ...
READY_EACH_S = 0.015  # ... and so much for each balancer
LEAD_MS = 500.0  # between the commands and the story's first moment
SETTLE_MOST_S = 15.0  # after the story, for the last change to be in force everywhere
SETTLE_MOST_DOWN_S = 5.0  # more of it where the source was out
LOOK_S = 0.05
SET_UP_MS = (2.5, 7.5)  # what an attempt takes at a hollow server: as at the stand-in servers
DESCRIPTORS_SPARE = 512


class SizeNotHeld(Exception):
    """The run could not hold its size; the text says why."""


class Run:
    """One run. `play` may be called once."""

    def __init__(self, plan: RunPlan, directory: Path) -> None:
        self._plan = plan
        self._directory = directory
        self._clock = Clock()
        self._seen = ProcessReports()
        self._distribution: Distribution = distribution(plan.relays, directory)
        self.ready = False  # all balancers have a list
        self._hollow: list[Child] = []
        self._lists: Child
        self._real: RealBalancers | None = None
        self._begin = 0.0
        self._restarted_relays: list[float] = []

    @property
    def children(self) -> list[Child]:
        """The processes of hollow balancers."""
        return self._hollow

    async def play(self) -> RunOutcome:
        """Play the story; raises NotHeld where the size could not be held."""
        _check_descriptors(self._plan)
        try:
            async with anyio.create_task_group() as tasks:
                run = await self._play(tasks)
                tasks.cancel_scope.cancel()
        except BaseExceptionGroup as failed:
            known, other = failed.split((SizeNotHeld, ChildFailed, RelayNotListening, TimeoutError))
            if known is None or other is not None:
                raise
            raise SizeNotHeld(
                "; ".join(str(exc) or "not ready in time" for exc in _leaves(known))
            ) from failed
        finally:
            if self._real is not None:
                self._real.stop()
            self._distribution.stop()
        return run

    async def _play(self, tasks: anyio.abc.TaskGroup) -> RunOutcome:
        pool = StandInServers(self._plan.servers, self._plan.seed, self._clock, tasks)
        await self._start_lists(pool, tasks)
        self._start_hollow(tasks)
        await self._start_real()
        await self._wait_ready()
        self.ready = True
        before = await self._begin_story(tasks)
        await self._settle()
        after = self._costs()
        await self._finish()
        return assemble(self._plan, self._seen, self._begin, before, after, self._real, self._distribution)

    # The start

    def _groups(self) -> list[str]:
        hollow = [f"{HOLLOW_GROUP}{number}" for number in range(self._plan.processes)]
        return [REAL_GROUP, *hollow, *self._distribution.groups]

    async def _start_lists(self, pool: StandInServers, tasks: anyio.abc.TaskGroup) -> None:
        spec = ListServiceSpec(
            groups=self._groups(), servers=pool.entries(), service_ms=self._plan.service_ms
        )
        module = "puffinford.scale.list_service_process"
        self._lists = Child(module, spec, FromListService, self._seen.hear_lists)
        tasks.start_soon(self._lists.run)
        with anyio.fail_after(READY_LEAST_S):
            while not self._seen.addresses:
                await anyio.sleep(LOOK_S)
        await to_thread.run_sync(self._distribution.start, self._seen.addresses)

    def _settings(self) -> dict[str, Any]:
        crowd = self._plan.crowd
        kinds = [ClientClass(crowd.cls, give_up=crowd.wait_ms, life=crowd.life_ms)]
        return platform_settings(kinds, balancers=self._plan.balancers)

    def _start_hollow(self, tasks: anyio.abc.TaskGroup) -> None:
        plan = self._plan
        first = 0
        for number in range(plan.processes):
            count = plan.hollow // plan.processes + (number < plan.hollow % plan.processes)
            spec = HollowSpec(
                first=first,
                count=count,
                seed=plan.seed,
                settings=self._settings(),
                discovery=[self._seen.addresses[f"{HOLLOW_GROUP}{number}"]] * count,
                operators=self._distribution.operators(),
                crowd=plan.crowd,
                set_up_ms=SET_UP_MS,
                skip=plan.skip,
            )
            self._hollow.append(self._hollow_child(number, spec))
            tasks.start_soon(self._hollow[-1].run)
            first += count

    def _hollow_child(self, number: int, spec: HollowSpec) -> Child:
        def hear(message: FromHollow) -> None:
            self._seen.hear_hollow(number, message)

        return Child("puffinford.scale.hollow_process", spec, FromHollow, hear)

    async def _start_real(self) -> None:
        plan = self._plan
        if not plan.real:
            return
        spec = RealSpec(
            plan.first_real,
            plan.real,
            plan.seed,
            self._settings(),
            self._seen.addresses[REAL_GROUP],
            self._distribution.operators(),
            plan.crowd,
            self._directory,
        )
        self._real = RealBalancers(spec, self._clock)
        await self._real.start(READY_LEAST_S + plan.real)

    async def _wait_ready(self) -> None:
        plan = self._plan
        with anyio.move_on_after(READY_LEAST_S + READY_EACH_S * plan.hollow):
            while self._seen.informed() < plan.hollow or self._seen.lists is None:
                await anyio.sleep(LOOK_S)
            return
        raise SizeNotHeld(f"{self._seen.informed()} of {plan.hollow} hollow balancers have a list")

    # The story

    async def _begin_story(self, tasks: anyio.abc.TaskGroup) -> UsageSnapshot:
        story, plan = self._plan.story, self._plan
        self._begin = begin = time.time() * 1_000.0 + LEAD_MS
        end = begin + story.span * 1_000.0
        servers = [f"s{number:05}" for number in range(plan.servers)]
        for child in self._hollow:
            await child.tell(Begin(begin, end))
        if story.killed is not None:
            await self._kill(story.killed.at, story.killed.lasts)
        await self._lists.tell(Plan(changes(story, servers, plan.seed, begin)))
        if story.reset_at is not None:
            await self._lists.tell(ResetWatches(begin + story.reset_at * 1_000.0))
        if story.outage is not None:
            at, lasts = begin + story.outage.at * 1_000.0, story.outage.lasts * 1_000.0
            await self._lists.tell(Outage(at, lasts))
        await anyio.sleep(max(0.0, begin / 1_000.0 - time.time()))
        before = self._costs()
        if self._real is not None:
            tasks.start_soon(self._real.serve_crowd, self._clock.now(), self._clock.now() + story.span * 1e3)
        if story.relay_fault is not None:
            tasks.start_soon(self._strike_relay, story)
        await anyio.sleep(max(0.0, end / 1_000.0 - time.time()))
        return before

    async def _kill(self, at: float, lasts: float) -> None:
        struck = third(self._plan.hollow, self._plan.seed)
        command = Kill(self._begin + at * 1_000.0, struck, lasts * 1_000.0)
        for child in self._hollow:
            await child.tell(command)

    async def _strike_relay(self, story: Story) -> None:
        """The first relay; a killed one is started again."""
        window, relay = story.relay, self._distribution.relays[0]
        assert window is not None
        await anyio.sleep(window.at)
        match story.relay_fault:
            case RelayFault.KILLED:
                await to_thread.run_sync(relay.kill)
            case RelayFault.FROZEN:
                relay.signal(signal.SIGSTOP)
            case RelayFault.CUT:
                at = time.time() * 1_000.0
                await self._lists.tell(Cut(self._distribution.groups[0], at, window.lasts * 1_000.0))
        await anyio.sleep(window.lasts)
        match story.relay_fault:
            case RelayFault.KILLED:
                relay.start()
            case RelayFault.FROZEN:
                relay.signal(signal.SIGCONT)

    async def _settle(self) -> None:
        """Wait until the last change is in force everywhere, and not for ever."""
        most = SETTLE_MOST_S + (SETTLE_MOST_DOWN_S if self._plan.story.outage is not None else 0.0)
        with anyio.move_on_after(most):
            while not self._all_told():
                await anyio.sleep(LOOK_S)

    def _all_told(self) -> bool:
        if len(self._seen.changed) < len(self._plan.story.change_at):
            return False
        last = self._seen.changed[-1].version
        told = all(self._seen.has(me, last) for me in range(self._plan.hollow))
        return told and self._real_told(last)

    def _real_told(self, last: int) -> bool:
        if self._real is None:
            return True
        return all(self._real.logged(me).taken[-1].version >= last for me in self._real.balancers)

    # The end

    def _costs(self) -> UsageSnapshot:
        lists = self._seen.lists
        assert lists is not None
        return UsageSnapshot(
            time.time() * 1_000.0,
            sum(cpu_seconds(child.pid) for child in self._hollow),
            self._real.cpu() if self._real is not None else 0.0,
            cpu_seconds(self._lists.pid),
            tuple(relay.cpu() for relay in self._distribution.relays),
            lists.groups,
        )

    async def _finish(self) -> None:
        for child in [*self._hollow, self._lists]:
            await child.finish(Finish())


def _leaves(group: BaseExceptionGroup[BaseException]) -> list[BaseException]:
    found: list[BaseException] = []
    for exc in group.exceptions:
        found += _leaves(exc) if isinstance(exc, BaseExceptionGroup) else [exc]
    return found


def _check_descriptors(plan: RunPlan) -> None:
    """Guards a run against a list service that takes no more connections."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = plan.hollow + plan.real + DESCRIPTORS_SPARE
    if allowed != resource.RLIM_INFINITY and allowed < wanted:
        raise SizeNotHeld(f"{wanted} descriptors are needed at the list service, and {allowed} are allowed")
