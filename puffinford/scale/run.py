"""Plays one story at one size: starts the processes, drives the story, and gathers what came of it."""

from __future__ import annotations

import os
import platform
import resource
import signal
import subprocess
import time
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio
import anyio.abc
from anyio import to_thread

from puffinford.core.clock import Clock
from puffinford.scale.agreement import Bounds, Observed, disagreements
from puffinford.scale.channel import cpu_seconds
from puffinford.scale.children import Child, ChildFailed
from puffinford.scale.distribution import Distribution, NotDistributed, distribution
from puffinford.scale.messages import (
    Begin,
    Changed,
    Crowd,
    Cut,
    Finish,
    FromHollow,
    FromListService,
    GroupTally,
    HollowSpec,
    HollowTally,
    InForce,
    Kill,
    Listening,
    ListServiceSpec,
    ListTally,
    Outage,
    Plan,
    ResetWatches,
    Skip,
    Started,
)
from puffinford.scale.real import RealBalancers, RealSpec, ServerPool
from puffinford.scale.records import BalancerLoad, Lateness, ListServiceLoad, RelayLoad, ScaleRun
from puffinford.scale.stories import RelayFault, Story, changes, third
from puffinford.scale.told import InForceRow, Span, Told, quantile, time_until_told
from puffinford.standins.balancer import facts
from puffinford.standins.clients import Kind

REAL_GROUP = "real"
READY_LEAST_S = 20.0  # for all to have a list ...
READY_EACH_S = 0.02  # ... and so much for each balancer
LEAD_MS = 500.0  # between the commands and the story's first moment
SETTLE_MOST_S = 15.0  # after the story, for the last change to be in force everywhere
SETTLE_MOST_DOWN_S = 5.0  # more of it where the source was out
LOOK_S = 0.05
LATE_MOST = 250.0  # ms
DESCRIPTORS_SPARE = 512


@dataclass(frozen=True, kw_only=True)
class RunPlan:
    """The size of a run and what is played."""

    story: Story
    hollow: int
    processes: int
    real: int = 0
    relays: int = 0
    servers: int = 100
    service_ms: float = 0.0
    seed: int = 1
    crowd: Crowd = field(default_factory=lambda: Crowd(rate=0.05))
    twins: bool = False  # real balancers have the numbers of the first hollow ones: for the agreement
    skip: Skip = Skip.NOTHING
    late_most: float = LATE_MOST  # ms by which 99 in 100 looks of the hollow loops may be late
    bounds: Bounds = field(default_factory=Bounds)  # of the agreement

    @property
    def balancers(self) -> int:
        """Balancers that settings tell of."""
        return self.hollow if self.twins else self.hollow + self.real

    @property
    def first_real(self) -> int:
        """The number of the first real balancer."""
        return 0 if self.twins else self.hollow


class NotHeld(Exception):
    """The run could not hold its size; the text says why."""


@dataclass
class Seen:
    """What the processes have told."""

    taken: dict[int, list[InForceRow]] = field(default_factory=dict)
    started: dict[int, list[float]] = field(default_factory=dict)
    changed: list[InForceRow] = field(default_factory=list)
    hollow: dict[int, HollowTally] = field(default_factory=dict)  # by process
    lists: ListTally | None = None
    addresses: dict[str, str] = field(default_factory=dict)

    def hear_hollow(self, process: int, message: FromHollow) -> None:
        """A message of one hollow process."""
        match message:
            case InForce():
                for me, version, at in message.rows:
                    self.taken.setdefault(me, []).append(InForceRow(version, at))
            case Started():
                for me, at in message.rows:
                    self.started.setdefault(me, []).append(at)
            case HollowTally():
                self.hollow[process] = message

    def hear_lists(self, message: FromListService) -> None:
        """A message of the list service."""
        match message:
            case Listening():
                self.addresses = message.addresses
            case Changed():
                self.changed.append(InForceRow(message.version, message.at))
            case ListTally():
                self.lists = message

    def informed(self) -> int:
        """Hollow balancers that have a list."""
        return sum(tally.informed for tally in self.hollow.values())


@dataclass(frozen=True)
class Costs:
    """Counts of a moment; the story's are the difference of two."""

    at: float  # Unix ms
    hollow_cpu: float  # seconds, all processes
    real_cpu: float
    lists_cpu: float
    relay_cpu: tuple[float, ...]
    groups: Mapping[str, GroupTally]


class Run:
    """One run. `play` may be called once."""

    def __init__(self, plan: RunPlan, directory: Path) -> None:
        self._plan = plan
        self._directory = directory
        self._clock = Clock()
        self._seen = Seen()
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

    async def play(self) -> ScaleRun:
        """Play the story; raises NotHeld where the size could not be held."""
        _check_descriptors(self._plan)
        try:
            async with anyio.create_task_group() as tasks:
                run = await self._play(tasks)
                tasks.cancel_scope.cancel()
        except BaseExceptionGroup as failed:
            known, other = failed.split((NotHeld, ChildFailed, NotDistributed, TimeoutError))
            if known is None or other is not None:
                raise
            raise NotHeld("; ".join(str(exc) or "not ready in time" for exc in _leaves(known))) from failed
        finally:
            if self._real is not None:
                self._real.stop()
            self._distribution.stop()
        return run

    async def _play(self, tasks: anyio.abc.TaskGroup) -> ScaleRun:
        pool = ServerPool(self._plan.servers, self._plan.seed, self._clock, tasks)
        await self._start_lists(pool, tasks)
        self._start_hollow(tasks)
        await self._start_real()
        await self._wait_ready()
        self.ready = True
        before = await self._begin_story(tasks)
        await self._settle()
        after = self._costs()
        await self._finish()
        return self._record(before, after)

    # The start

    def _groups(self) -> list[str]:
        hollow = [f"hollow-{number}" for number in range(self._plan.processes)]
        return [REAL_GROUP, *hollow, *self._distribution.groups]

    async def _start_lists(self, pool: ServerPool, tasks: anyio.abc.TaskGroup) -> None:
        spec = ListServiceSpec(
            groups=self._groups(), servers=pool.entries(), service_ms=self._plan.service_ms
        )
        module = "puffinford.scale.list_process"
        self._lists = Child(module, spec, FromListService, self._seen.hear_lists)
        tasks.start_soon(self._lists.run)
        with anyio.fail_after(READY_LEAST_S):
            while not self._seen.addresses:
                await anyio.sleep(LOOK_S)
        await to_thread.run_sync(self._distribution.start, self._seen.addresses)

    def _settings(self) -> dict[str, Any]:
        crowd = self._plan.crowd
        kinds = [Kind(crowd.cls, give_up=crowd.wait_ms, life=crowd.life_ms)]
        return facts(kinds, balancers=self._plan.balancers)

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
                discovery=[self._seen.addresses[f"hollow-{number}"]] * count,
                operators=self._distribution.operators(),
                crowd=plan.crowd,
                set_up_ms=(2.5, 7.5),
                skip=plan.skip,
                over_ms=max(500.0, 5.0 * plan.hollow),
            )
            self._hollow.append(self._hollow_child(number, spec))
            tasks.start_soon(self._hollow[-1].run)
            first += count

    def _hollow_child(self, number: int, spec: HollowSpec) -> Child:
        def hear(message: FromHollow) -> None:
            self._seen.hear_hollow(number, message)

        return Child("puffinford.scale.process", spec, FromHollow, hear)

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
        raise NotHeld(f"{self._seen.informed()} of {plan.hollow} hollow balancers have a list")

    # The story

    async def _begin_story(self, tasks: anyio.abc.TaskGroup) -> Costs:
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
        told = [rows[-1].version >= last for rows in self._seen.taken.values()]
        return len(told) == self._plan.hollow and all(told) and self._real_told(last)

    def _real_told(self, last: int) -> bool:
        if self._real is None:
            return True
        return all(self._real.logged(me).taken[-1].version >= last for me in self._real.balancers)

    # The end

    def _costs(self) -> Costs:
        lists = self._seen.lists
        assert lists is not None
        return Costs(
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

    def _held(self) -> str:
        """Why the size was not held; nothing where it was."""
        running = sum(tally.running for tally in self._seen.hollow.values())
        if running != self._plan.hollow:
            return f"{running} of {self._plan.hollow} hollow balancers are running"
        if self._real is not None and self._real.running != self._plan.real:
            return f"{self._real.running} of {self._plan.real} real balancers are running"
        late = self._lateness()
        most = self._plan.late_most
        if late.p99_ms > most:
            return f"the hollow loops were late by {late.p99_ms:.0f} ms at 99 in 100, over {most:.0f}"
        return ""

    def _lateness(self) -> Lateness:
        late = sorted(ms for tally in self._seen.hollow.values() for ms in tally.late_ms)
        return Lateness(p99_ms=quantile(late, 0.99), most_ms=late[-1] if late else 0.0)

    def _told(self, taken: Mapping[int, list[InForceRow]], me: range) -> Told:
        story = self._plan.story
        outages = []
        if story.outage is not None:
            began = self._begin + story.outage.at * 1_000.0
            outages.append(Span(began, began + story.outage.lasts * 1_000.0))
        known = {number: taken.get(number, []) for number in me}
        return time_until_told(self._seen.changed, known, self._seen.started, outages)

    def _hollow_told(self) -> Told:
        return self._told(self._seen.taken, range(self._plan.hollow))

    def _real_told_all(self) -> Told:
        if self._real is None:
            return Told()
        numbers = self._real.balancers
        taken = {me: self._real.logged(me).taken for me in numbers}
        # Real balancers are not killed: the starts of hollow twins are not theirs.
        return time_until_told(self._seen.changed, taken, {}, ())

    def _placed_hollow(self) -> dict[int, Counter[str]]:
        return {
            me: Counter(counts) for tally in self._seen.hollow.values() for me, counts in tally.placed.items()
        }

    def _placed_real(self) -> dict[int, Counter[str]]:
        if self._real is None:
            return {}
        return {me: self._real.logged(me).placed for me in self._real.balancers}

    def _record(self, before: Costs, after: Costs) -> ScaleRun:
        plan, seconds = self._plan, (after.at - before.at) / 1_000.0
        gone = {group: _less(after.groups[group], before.groups[group]) for group in after.groups}
        hollow = [gone[group] for group in gone if group.startswith("hollow-")]
        real = [gone[REAL_GROUP]]
        resident = sum(tally.resident for tally in self._seen.hollow.values())
        grown = resident - sum(tally.resident_before for tally in self._seen.hollow.values())
        placed_hollow, placed_real = self._placed_hollow(), self._placed_real()
        hollow_load = _load(
            hollow, plan.hollow, seconds, after.hollow_cpu - before.hollow_cpu, grown, plan.relays
        )
        real_load = _load(
            real,
            plan.real,
            seconds,
            after.real_cpu - before.real_cpu,
            self._real.resident() if self._real is not None else 0,
            plan.relays,
        )
        why = self._held()
        hollow_told, real_told = self._hollow_told(), self._real_told_all()
        found = []
        if plan.twins:
            found = disagreements(
                _observed(hollow, plan.hollow, hollow_told, placed_hollow),
                _observed(real, plan.real, real_told, placed_real),
                plan.bounds,
            )
        return ScaleRun(
            story=plan.story.name,
            distribution=self._distribution.name,
            hollow=plan.hollow,
            real=plan.real,
            processes=plan.processes,
            relays=plan.relays,
            servers=plan.servers,
            changes=len(self._seen.changed),
            restarts=sum(len(starts) for starts in self._seen.started.values()),
            service_ms=plan.service_ms,
            seed=plan.seed,
            rate=plan.crowd.rate,
            seconds=round(seconds, 1),
            machine=_machine(),
            commit=_commit(),
            date=time.strftime("%Y-%m-%d"),
            list_service=self._list_load(gone, before, after),
            hollow_told=hollow_told,
            real_told=real_told,
            hollow_load=_with_placed(hollow_load, placed_hollow),
            real_load=_with_placed(real_load, placed_real),
            relay_load=self._relay_load(gone, before, after),
            lateness=self._lateness(),
            resident_mib=round(resident / (1 << 20), 1),
            held=not why,
            why=why,
            disagreements=found,
        )

    def _list_load(self, gone: Mapping[str, GroupTally], before: Costs, after: Costs) -> ListServiceLoad:
        lists = self._seen.lists
        assert lists is not None
        seconds = (after.at - before.at) / 1_000.0
        calls = sum(tally.calls for tally in gone.values())
        first, last = int(before.at / 1_000.0), int(after.at / 1_000.0)
        peak = max((n for second, n in lists.calls_by_second.items() if first < second <= last), default=0)
        return ListServiceLoad(
            calls=calls,
            calls_a_second=round(calls / seconds, 1),
            calls_peak=peak,
            sent=sum(tally.sent for tally in gone.values()),
            received=sum(tally.received for tally in gone.values()),
            queue_most=lists.queue_most,
            broken=lists.broken,
            cpu_percent=round(100.0 * (after.lists_cpu - before.lists_cpu) / seconds, 2),
        )

    def _relay_load(self, gone: Mapping[str, GroupTally], before: Costs, after: Costs) -> list[RelayLoad]:
        seconds = (after.at - before.at) / 1_000.0
        return [
            RelayLoad(
                cpu_percent=round(max(0.0, 100.0 * (ours - theirs) / seconds), 2),
                resident_mib=round(relay.resident() / (1 << 20), 1),
                upstream_calls=gone[group].calls,
            )
            for relay, group, theirs, ours in zip(
                self._distribution.relays,
                self._distribution.groups,
                before.relay_cpu,
                after.relay_cpu,
                strict=True,
            )
        ]


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
        raise NotHeld(f"{wanted} descriptors are needed at the list service, and {allowed} are allowed")


def _less(after: GroupTally, before: GroupTally) -> GroupTally:
    return GroupTally(after.calls - before.calls, after.received - before.received, after.sent - before.sent)


def _load(
    groups: list[GroupTally], count: int, seconds: float, cpu: float, resident: int, relays: int
) -> BalancerLoad:
    """Means a balancer of `count`."""
    each = max(1, count) * seconds
    calls = sum(tally.calls for tally in groups)
    size = sum(tally.sent + tally.received for tally in groups)
    return BalancerLoad(
        calls_a_second=None if relays else round(calls / each, 4),
        bytes_a_second=None if relays else round(size / each, 1),
        cpu_percent=round(100.0 * cpu / each, 4),
        resident_kib=round(resident / max(1, count) / 1_024.0, 1),
        placed=0,
    )


def _with_placed(load: BalancerLoad, placed: Mapping[int, Counter[str]]) -> BalancerLoad:
    return BalancerLoad(
        calls_a_second=load.calls_a_second,
        bytes_a_second=load.bytes_a_second,
        cpu_percent=load.cpu_percent,
        resident_kib=load.resident_kib,
        placed=sum(counts.total() for counts in placed.values()),
    )


def _observed(
    groups: list[GroupTally], count: int, told: Told, placed: Mapping[int, Mapping[str, int]]
) -> Observed:
    calls = sum(tally.calls for tally in groups) / max(1, count)
    sent = sum(tally.sent for tally in groups) / max(1, count)
    return Observed(calls, sent, told, placed)


def _machine() -> str:
    return f"{platform.machine()}, {os.cpu_count()} cores, Python {platform.python_version()}"


def _commit() -> str:
    words = ["git", "describe", "--always", "--dirty", "--abbrev=7"]
    found = subprocess.run(words, capture_output=True, text=True, check=False)
    return found.stdout.strip() or "unknown"
