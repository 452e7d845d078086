"""Runs one story at one fleet size: starts the processes, executes the story and collects the results."""

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
from puffinford.scale.assemble import HOLLOW_GROUP, REAL_GROUP, assemble_outcome
from puffinford.scale.children import Child, ChildFailed
from puffinford.scale.distribution import Distribution, RelayNotListening, make_distribution
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
from puffinford.scale.stories import RelayFault, Story, choose_killed_balancers, planned_changes
from puffinford.standins.balancer import platform_settings
from puffinford.standins.clients import ClientClass

MIN_READY_TIMEOUT_S = 20.0  # until all balancers have a list, in addition to the time per balancer
READY_TIMEOUT_PER_BALANCER_S = 0.015
STORY_LEAD_MS = 500.0  # between sending the commands and the start of the story
SETTLE_TIMEOUT_S = 15.0  # after the story, until all balancers have applied the last change
OUTAGE_SETTLE_EXTRA_S = 5.0  # added after an outage of the list service
POLL_INTERVAL_S = 0.05
ATTEMPT_DELAY_MS = (2.5, 7.5)  # range of an attempt's delay at a hollow server
SPARE_DESCRIPTORS = 512  # in addition to one per balancer


class SizeNotHeld(Exception):
    """The fleet could not be started or kept running at its size; the text says why."""


class Run:
    """One run of a story; `play` may be called once."""

    def __init__(self, plan: RunPlan, directory: Path) -> None:
        self._plan = plan
        self._directory = directory
        self._clock = Clock()
        self._reports = ProcessReports()
        self._distribution: Distribution = make_distribution(plan.relays, directory)
        self.ready = False  # all balancers have a list
        self._hollow: list[Child] = []
        self._list_service: Child
        self._real: RealBalancers | None = None
        self._begin_ms = 0.0
        self._restarted_relays: list[float] = []

    @property
    def hollow_processes(self) -> list[Child]:
        """The driver's handles of the hollow processes."""
        return self._hollow

    async def play(self) -> RunOutcome:
        """Run the story and return its results; raises SizeNotHeld."""
        _check_descriptors(self._plan)
        try:
            async with anyio.create_task_group() as tasks:
                outcome = await self._play(tasks)
                tasks.cancel_scope.cancel()
        except BaseExceptionGroup as failed:
            expected, unexpected = failed.split((SizeNotHeld, ChildFailed, RelayNotListening, TimeoutError))
            if expected is None or unexpected is not None:
                raise
            raise SizeNotHeld(
                "; ".join(str(exc) or "not ready in time" for exc in _leaves(expected))
            ) from failed
        finally:
            if self._real is not None:
                self._real.stop()
            self._distribution.stop()
        return outcome

    async def _play(self, tasks: anyio.abc.TaskGroup) -> RunOutcome:
        servers = StandInServers(self._plan.servers, self._plan.seed, self._clock, tasks)
        await self._start_list_service(servers, tasks)
        self._start_hollow(tasks)
        await self._start_real()
        await self._wait_ready()
        self.ready = True
        before = await self._begin_story(tasks)
        await self._settle()
        after = self._usage()
        await self._finish()
        return assemble_outcome(
            self._plan, self._reports, self._begin_ms, before, after, self._real, self._distribution
        )

    # The start

    def _groups(self) -> list[str]:
        hollow = [f"{HOLLOW_GROUP}{number}" for number in range(self._plan.processes)]
        return [REAL_GROUP, *hollow, *self._distribution.groups]

    async def _start_list_service(self, servers: StandInServers, tasks: anyio.abc.TaskGroup) -> None:
        spec = ListServiceSpec(
            groups=self._groups(), servers=servers.entries(), service_ms=self._plan.service_ms
        )
        module = "puffinford.scale.list_service_process"
        self._list_service = Child(module, spec, FromListService, self._reports.record_list_service)
        tasks.start_soon(self._list_service.run)
        with anyio.fail_after(MIN_READY_TIMEOUT_S):
            while not self._reports.addresses:
                await anyio.sleep(POLL_INTERVAL_S)
        await to_thread.run_sync(self._distribution.start, self._reports.addresses)

    def _settings(self) -> dict[str, Any]:
        workload = self._plan.workload
        classes = [ClientClass(workload.cls, give_up=workload.wait_ms, life=workload.life_ms)]
        return platform_settings(classes, balancers=self._plan.balancers)

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
                discovery=[self._reports.addresses[f"{HOLLOW_GROUP}{number}"]] * count,
                operators=self._distribution.operator_settings(),
                crowd=plan.workload,
                set_up_ms=ATTEMPT_DELAY_MS,
                skip=plan.skip,
            )
            self._hollow.append(self._hollow_child(number, spec))
            tasks.start_soon(self._hollow[-1].run)
            first += count

    def _hollow_child(self, number: int, spec: HollowSpec) -> Child:
        def on_message(message: FromHollow) -> None:
            self._reports.record_hollow(number, message)

        return Child("puffinford.scale.hollow_process", spec, FromHollow, on_message)

    async def _start_real(self) -> None:
        plan = self._plan
        if not plan.real:
            return
        spec = RealSpec(
            plan.first_real,
            plan.real,
            plan.seed,
            self._settings(),
            self._reports.addresses[REAL_GROUP],
            self._distribution.operator_settings(),
            plan.workload,
            self._directory,
        )
        self._real = RealBalancers(spec, self._clock)
        await self._real.start(MIN_READY_TIMEOUT_S + plan.real)

    async def _wait_ready(self) -> None:
        plan = self._plan
        with anyio.move_on_after(MIN_READY_TIMEOUT_S + READY_TIMEOUT_PER_BALANCER_S * plan.hollow):
            while self._reports.balancers_with_list() < plan.hollow or self._reports.list_tally is None:
                await anyio.sleep(POLL_INTERVAL_S)
            return
        raise SizeNotHeld(
            f"{self._reports.balancers_with_list()} of {plan.hollow} hollow balancers have a list"
        )

    # The story

    async def _begin_story(self, tasks: anyio.abc.TaskGroup) -> UsageSnapshot:
        story, plan = self._plan.story, self._plan
        self._begin_ms = begin_ms = time.time() * 1_000.0 + STORY_LEAD_MS
        end_ms = begin_ms + story.span_s * 1_000.0
        servers = [f"s{number:05}" for number in range(plan.servers)]
        for child in self._hollow:
            await child.send(Begin(begin_ms, end_ms))
        if story.kill is not None:
            await self._kill(story.kill.start_s, story.kill.duration_s)
        await self._list_service.send(Plan(planned_changes(story, servers, plan.seed, begin_ms)))
        if story.reset_at_s is not None:
            await self._list_service.send(ResetWatches(begin_ms + story.reset_at_s * 1_000.0))
        if story.outage is not None:
            start_ms, duration_ms = (
                begin_ms + story.outage.start_s * 1_000.0,
                story.outage.duration_s * 1_000.0,
            )
            await self._list_service.send(Outage(start_ms, duration_ms))
        await anyio.sleep(max(0.0, begin_ms / 1_000.0 - time.time()))
        before = self._usage()
        if self._real is not None:
            tasks.start_soon(
                self._real.serve_clients, self._clock.now(), self._clock.now() + story.span_s * 1e3
            )
        if story.relay_fault is not None:
            tasks.start_soon(self._inject_relay_fault, story)
        await anyio.sleep(max(0.0, end_ms / 1_000.0 - time.time()))
        return before

    async def _kill(self, start_s: float, duration_s: float) -> None:
        killed = choose_killed_balancers(self._plan.hollow, self._plan.seed)
        command = Kill(self._begin_ms + start_s * 1_000.0, killed, duration_s * 1_000.0)
        for child in self._hollow:
            await child.send(command)

    async def _inject_relay_fault(self, story: Story) -> None:
        """Apply the story's fault to the first relay, and end the fault after its window."""
        window, relay = story.relay_fault_window, self._distribution.relays[0]
        assert window is not None
        await anyio.sleep(window.start_s)
        match story.relay_fault:
            case RelayFault.KILLED:
                await to_thread.run_sync(relay.kill)
            case RelayFault.FROZEN:
                relay.signal(signal.SIGSTOP)
            case RelayFault.CUT:
                start_ms = time.time() * 1_000.0
                await self._list_service.send(
                    Cut(self._distribution.groups[0], start_ms, window.duration_s * 1_000.0)
                )
        await anyio.sleep(window.duration_s)
        match story.relay_fault:
            case RelayFault.KILLED:
                relay.start()
            case RelayFault.FROZEN:
                relay.signal(signal.SIGCONT)

    async def _settle(self) -> None:
        """Wait until all balancers have applied the last change, with a timeout."""
        timeout_s = SETTLE_TIMEOUT_S + (OUTAGE_SETTLE_EXTRA_S if self._plan.story.outage is not None else 0.0)
        with anyio.move_on_after(timeout_s):
            while not self._all_applied():
                await anyio.sleep(POLL_INTERVAL_S)

    def _all_applied(self) -> bool:
        if len(self._reports.published) < len(self._plan.story.change_times_s):
            return False
        version = self._reports.published[-1].version
        applied_by_hollow = all(
            self._reports.has_version(number, version) for number in range(self._plan.hollow)
        )
        return applied_by_hollow and self._real_applied(version)

    def _real_applied(self, version: int) -> bool:
        if self._real is None:
            return True
        return all(
            self._real.read_log(number).applied[-1].version >= version for number in self._real.balancers
        )

    # The end

    def _usage(self) -> UsageSnapshot:
        list_tally = self._reports.list_tally
        assert list_tally is not None
        return UsageSnapshot(
            time.time() * 1_000.0,
            sum(cpu_seconds(child.pid) for child in self._hollow),
            self._real.cpu_s() if self._real is not None else 0.0,
            cpu_seconds(self._list_service.pid),
            tuple(relay.cpu_s() for relay in self._distribution.relays),
            list_tally.groups,
        )

    async def _finish(self) -> None:
        for child in [*self._hollow, self._list_service]:
            await child.finish(Finish())


def _leaves(group: BaseExceptionGroup[BaseException]) -> list[BaseException]:
    leaves: list[BaseException] = []
    for exc in group.exceptions:
        leaves += _leaves(exc) if isinstance(exc, BaseExceptionGroup) else [exc]
    return leaves


def _check_descriptors(plan: RunPlan) -> None:
    """Raise SizeNotHeld if the list service would run out of file descriptors."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    required = plan.hollow + plan.real + SPARE_DESCRIPTORS
    if allowed != resource.RLIM_INFINITY and allowed < required:
        raise SizeNotHeld(f"list service needs {required} file descriptors, limit is {allowed}")
