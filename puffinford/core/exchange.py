"""The exchange: the only place where submitter side and server side meet.

It owns the job table, tells the decision module what happens, and carries out what the module decides.
Each job gets one final answer, and never has two claims out. It knows neither bytes nor fronts.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Mapping
from functools import partial

import anyio
import anyio.abc

from puffinford import interface as it
from puffinford.balance import Balancer
from puffinford.core.clock import Clock
from puffinford.core.delays import DelayMeter, Unanswered
from puffinford.core.figures import Count, Figures
from puffinford.core.notes import NoteKinds
from puffinford.core.reports import BadReport, parse_report
from puffinford.core.values import (
    Broken,
    Busy,
    ClaimEnded,
    Ended,
    Failed,
    JobWatcher,
    Kind,
    Leg,
    Machine,
    MachineList,
    MachineSource,
    Message,
    Opening,
    Restored,
    ServerSide,
    SubmitterLeg,
    Up,
)
from puffinford.hashing import stable_hash

log = logging.getLogger(__name__)

ROUND = 1_000.0  # notes of slow messages come once a second
WATCH = 500.0  # between looks for connections gone silent
# A line unanswered this long. The rules allow a silent connection 7 s, and its submitter may have sent the
# line 2 s after it fell silent.
SILENT = 3_500.0
HUSH = 2_500.0  # a server from which nothing came this long, on any of its connections ...
HUSH_LINES = 3  # ... while this many of them wait for answers, has vanished
STALLED = 300.0  # the program itself came this late to its turn: all limits were late by as much
DOUBT_MOST = 500.0  # after that a new claim waits so long for a list, and no longer
HALF_CLOSED = 500.0  # how long a submitter that ended may still hear its server; the rules allow 1 s in all
AT_RETRY = 250.0  # between tries of a connection that stood before the run
MOVE_MOST = 800.0  # a submitter that takes no MOVE in this time is cut off
SOURCE_MOST = 3_000.0  # a new process waits this long for its list's source before the known list does
NAMED_MOST = 64  # machines of a list that the log names; thousands would hold up a start
GUARD_AFTER = 25.0  # after a deadline and its slack; on sockets the rules allow 50 ms more


class Claim:
    """One attempt at a server."""

    __slots__ = ("leg", "machine", "number", "scope", "sent", "started", "unanswered")

    def __init__(self, machine: Machine, number: int, started: float) -> None:
        self.machine = machine
        self.number = number
        self.started = started
        self.scope = anyio.CancelScope()
        self.leg: Leg | None = None  # set once it stands
        self.sent = False  # the last byte of the opening was written: it may run
        self.unanswered = Unanswered()


class Job:
    """One request, from its opening to the end of its connection."""

    def __init__(self, opening: Opening, submitter: SubmitterLeg, deadline: float) -> None:
        self.opening = opening
        self.submitter = submitter
        self.deadline = deadline
        self.tasks: anyio.abc.TaskGroup
        self.claim: Claim | None = None
        self.claims = 0
        self.up = anyio.Event()
        self.done = anyio.Event()
        self.left = False  # the submitter has ended its side
        self.ending: Ending | None = None

    @property
    def id(self) -> str:
        return self.opening.job

    @property
    def standing(self) -> bool:
        return self.ending is None and self.claim is not None and self.claim.leg is not None


class Ending:
    """How a job ends: an answer, or what happens to both legs of a connection that stood."""

    __slots__ = ("answer", "broken", "move")

    def __init__(
        self, answer: Busy | Failed | None = None, *, broken: bool = False, move: bool = False
    ) -> None:
        self.answer = answer
        self.broken = broken
        self.move = move


class Exchange:
    def __init__(
        self,
        settings: it.Settings,
        seed: int,
        clock: Clock,
        sides: Mapping[str, ServerSide],
    ) -> None:
        self._clock = clock
        self._sides = sides
        self._balancer = Balancer(settings, seed)
        self.figures = Figures()
        self.cordoned: frozenset[str] = frozenset()
        self._named: set[str] = set()  # the servers that a list has named, gone or not
        self._bad_reports: set[str] = set()  # those whose load reports have been found wanting
        self._started = clock.now()
        self._heard = False  # the machine list's source has answered or failed
        self._turned = clock.now()  # the last turn of `run`
        self._doubted = float("-inf")  # until then a list is waited for, since the program stood still ...
        self._news = anyio.Event()  # ... unless it has come
        self._take_settings(settings)
        self._rng = random.Random(seed ^ 0x5EED)
        self._machines: dict[str, Machine] = {}
        self._jobs: dict[str, Job] = {}
        self._inbox: list[it.Event] = []
        self._telling = False
        self._source: MachineSource | None = None
        self.watcher: JobWatcher | None = None
        self._tasks: anyio.abc.TaskGroup
        self._leaving = False

    async def run(self, source: MachineSource, restored: Restored | None = None) -> None:
        """Serve until cancelled. Jobs may come once this has started.

        `restored` is what there is to go by until the source has spoken.
        """
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._source = source
            if self.cordoned:
                self._tell(it.Cordoned(self.cordoned))
            if restored is None:
                self._tell(it.ServerList(it.ListKind.RESTORED))
            else:
                self._take(restored.machines, it.ListKind.RESTORED)
                self._tell(it.Unproven(restored.unproven, restored.most, restored.patience))
                self.learn(restored.health)
            due = self._clock.now()
            while True:
                self._turned = self._clock.now()
                await self._clock.sleep(WATCH)
                self._in_doubt()
                self._move_silent()
                if self._clock.now() >= due:
                    due = self._clock.now() + ROUND - WATCH / 2.0
                    self._note_delays()

    def _take_settings(self, settings: it.Settings) -> None:
        self._settings = settings
        self._classes = {cls.name for cls in settings.classes}
        self.figures.know(cls.name for cls in settings.classes)
        self._meter = DelayMeter(
            shortest := min((c.message_aim for c in settings.classes if c.message_aim > 0), default=0.0)
        )
        self._notes = NoteKinds(shortest, self._stands)

    def configure(self, settings: it.Settings) -> None:
        """Go on under other settings; jobs and all that is known of the servers stay."""
        if settings != self._settings:
            self._take_settings(settings)
            self._balancer.configure(settings)

    @property
    def informed(self) -> bool:
        """Whether there is a list to go by: from its source, or the known one when that says nothing.

        Guards a change of versions against a source that is down: the old version has no better list.
        """
        late = self._clock.now() >= self._started + SOURCE_MOST
        return self._heard or (late and bool(self._machines))

    @property
    def serving(self) -> bool:
        """Whether an arrival would be served."""
        return not self._leaving

    def gauges(self) -> dict[str, int]:
        """What stands now; what is left out is the module's word."""
        excluded = self._balancer.known.excluded(self._clock.now())
        return {
            "in_flight": len(self._jobs),
            "servers_known": len(self._machines),
            "servers_excluded": len(excluded & self._machines.keys()),
        }

    def health(self) -> list[it.Health]:
        """What the module knows of the servers besides the list."""
        return self._balancer.known.health(self._clock.now())

    def learn(self, health: list[it.Health]) -> None:
        """Tell the module what another process of this balancer knew."""
        if health:
            self._tell(it.Learned(health))

    # What stands, for those who plan for it

    def survey(self) -> list[it.Survey]:
        """Every listed server as the module sees it."""
        return self._balancer.survey(self._clock.now())

    def standing(self, server: str, most: int) -> list[tuple[it.Standing, bool]]:
        """Some connections that stand at a server, each with whether all its lines are answered."""
        now = self._clock.now()
        told = []
        for flow in self._balancer.known.standing(server, most):
            job = self._jobs.get(flow.id)
            if job is not None and job.standing and job.claim is not None:
                told.append((flow, job.claim.unanswered.age(now) == 0.0))
        return told

    def advise(self, ident: str) -> str | None:
        """Where the module would place a standing connection now."""
        return self._balancer.advise(ident, self._clock.now())

    def relocate(self, ident: str, server: str, hold: float) -> bool:
        """Move a connection, with a place kept for so many ms; tells whether it no longer stands."""
        self._tell(it.Relocate(ident, server, hold))
        job = self._jobs.get(ident)
        return job is None or job.ending is not None

    def favour(self, servers: frozenset[str]) -> None:
        """Clients that come back are sent to these servers first, until the next call."""
        self._tell(it.Favour(servers))

    def cordon(self, servers: frozenset[str]) -> None:
        """These servers are out, and no others, whatever the machine list says."""
        self.cordoned = servers
        if self._source is not None:  # else the module is told first of all
            self._tell(it.Cordoned(servers))

    def names(self, ident: str) -> bool:
        """Whether anybody has that id. One that is restarting may be off the list for now."""
        return ident in self._named or ident in self.cordoned

    # The machine list

    def take_list(self, machines: MachineList | None) -> None:
        """A list has come, or (None) a call for one has failed."""
        if machines is None:
            self._tell(it.ServerList(it.ListKind.UNAVAILABLE))
        else:
            self._take(machines, it.ListKind.REPLACE if machines.full else it.ListKind.UPDATE)
        self._heard |= machines is not None or bool(self._machines)
        if machines is not None:  # the call of before the stop, which fails at the wake, is no news
            self._news.set()

    def _in_doubt(self) -> bool:
        """Whether the list may be out of date, for the program stood still and has not heard anew since."""
        now = self._clock.now()
        late = now - self._turned - WATCH
        if late > STALLED:
            log.warning("stalled", extra={"ms": round(late)})
            self._turned = now
            if self._source is not None and self._source.refresh():
                self._doubted = now + DOUBT_MOST
                self._news = anyio.Event()
        return now < self._doubted and not self._news.is_set()

    async def _admit(self, job: Job, claim: Claim, until: float) -> None:
        """The last look before an attempt, and again before its first byte; raises ClaimEnded.

        Guards the server against a client that has gone, though its end may lie unread; against what the list
        or the operators have told since the choice, while the attempt waited or connected; and against a
        repeat later than the window in which the servers discard it (`until`).
        """
        if await job.submitter.left() or job.ending is not None:
            self._abandon(job, Ending(broken=True))
            raise ClaimEnded(it.Result.CANCELLED)
        ident = claim.machine.server.id
        if job.opening.at is None:
            now = self._machines.get(ident)
            if now is None or now.server.state is not it.ServerState.LIVE or ident in self.cordoned:
                raise ClaimEnded(it.Result.MOOT)
        if self._clock.now() >= until:
            raise ClaimEnded(it.Result.MOOT)

    async def _believe(self) -> None:
        """Wait until the list can be trusted.

        Guards a server that was told to drain while the program stood still: what had been written to it
        counts as told, and clients of before the stop were sent there for a second after it.
        """
        if self._in_doubt():
            with self._clock.limit(self._doubted - self._clock.now()):
                await self._news.wait()

    def _take(self, machines: MachineList, kind: it.ListKind) -> None:
        if kind is not it.ListKind.UPDATE:
            self._machines.clear()
        self._named.update(machine.server.id for machine in machines.machines)
        for machine in machines.machines:
            if machine.server.state is it.ServerState.GONE:
                self._machines.pop(machine.server.id, None)
            else:
                self._machines[machine.server.id] = machine
        if len(machines.machines) > NAMED_MOST:
            log.info("machines", extra={"entries": len(machines.machines), "list": kind.value})
        for machine in machines.machines[:NAMED_MOST]:
            server = machine.server
            up_s = round((self._clock.now() - server.started) / 1_000.0, 1) if server.started else "long"
            told = {"server": server.id, "state": server.state.value, "up_s": up_s, "list": kind.value}
            told |= {"zone": server.zone, "kind": server.kind, "weight": server.weight}
            log.info("machine", extra=told)
        self._tell(it.ServerList(kind, [m.server for m in machines.machines], machines.version))

    # The decision module

    def _tell(self, event: it.Event) -> None:
        """Tell the module, and carry out what it decides; what happens meanwhile waits its turn."""
        self._inbox.append(event)
        if self._telling:
            return
        self._telling = True
        try:
            while self._inbox:
                batch, self._inbox = self._inbox, []
                try:
                    actions = self._balancer.handle(self._clock.now(), batch)
                except Exception:
                    # Guards the standing connections against a fault in a decision: the job it was
                    # about is answered by its own time limit.
                    log.exception("decision failed", extra={"events": repr(batch)[:300]})
                    continue
                for action in actions:
                    self._carry_out(action)
        finally:
            self._telling = False

    def _carry_out(self, action: it.Action) -> None:
        match action:
            case it.Attempt():
                self._start_claim(action)
            case it.Refuse():
                self._finish(action.id, Ending(Busy(action.retry_after, action.why.value)))
            case it.Fail():
                self._finish(action.id, Ending(Failed(action.why.value)))
            case it.Cancel():
                job = self._jobs.get(action.id)
                if job is not None and job.claim is not None and job.claim.number == action.attempt:
                    job.claim.scope.cancel()
            case it.Move():
                job = self._jobs.get(action.id)
                if job is not None and job.standing:
                    self._close(job, Ending(move=True), it.Result.CANCELLED)
            case it.SetTimer():
                self._tasks.start_soon(self._timer, action)
            case it.Subscribe():
                if self._source is not None:
                    self._source.subscribe(action.on)
            case it.ListAll():
                if self._source is not None:
                    self._source.fetch()
            case it.Probe():
                self._tasks.start_soon(self._probe, action.server)
            case it.CloseIdle():
                pass  # each submitter has a connection of its own: none stands idle
            case it.Log():
                log.info("decision", extra={"text": action.message})

    async def _timer(self, action: it.SetTimer) -> None:
        await self._clock.sleep(action.delay)
        self._tell(it.Timer(action.token))

    async def _probe(self, ident: str) -> None:
        machine = self._machines.get(ident)
        started = self._clock.now()
        result, report = it.Result.CONNECT_FAILED, None
        if machine is not None:
            wait = self._settings.connect_timeout
            load = self._settings.report_on_probe
            result, text = await self._sides[machine.front].probe(machine, wait, load)
            report = self._report(ident, text) if load else None
        self._tell(it.ProbeResult(ident, result, self._clock.now() - started, report))

    def _report(self, ident: str, text: str) -> list[float] | None:
        """A server's load report; None where there is none, or none that can be used."""
        try:
            return parse_report(text, self._settings.report_fields)
        except BadReport as exc:
            if ident not in self._bad_reports:  # once a server: guards the log against a line an answer
                self._bad_reports.add(ident)
                log.warning("report rejected", extra={"server": ident, "error": str(exc)})
            return None

    # Jobs

    async def serve(self, opening: Opening, submitter: SubmitterLeg, room: bool = True) -> None:
        """Serve one job to its end. Exactly one final answer goes to the submitter.

        Without `room` for its connections that is a refusal at once.
        """
        if opening.cls not in self._classes:
            return await self._refuse(submitter, Failed("unknown class"), opening)
        if opening.job in self._jobs:
            return await self._refuse(submitter, Failed("id in use"), opening)
        if self._leaving or not room:
            why = "leaving" if self._leaving else "no room"
            return await self._refuse(submitter, Busy(self._settings.max_retry_after, why), opening)
        job = self._jobs[opening.job] = Job(opening, submitter, self._clock.now() + opening.wait)
        try:
            async with anyio.create_task_group() as tasks:
                job.tasks = tasks
                tasks.start_soon(self._listen, job)
                if opening.at is not None:
                    tasks.start_soon(self._resume, job, opening.at)
                else:
                    tasks.start_soon(self._guard, job)
                    self._tell(self._request(job))
                await job.done.wait()
                tasks.cancel_scope.cancel()
        except Exception:
            # Guards the one final answer, and the module's counts, against a fault in a side.
            log.exception("job failed", extra={"job": job.id})
            if job.ending is None:
                job.ending = Ending(broken=True) if job.up.is_set() else Ending(Failed())
                self._tell(it.ClientLeft(job.id))
        finally:
            del self._jobs[job.id]
        await self._end_legs(job)

    def _request(self, job: Job) -> it.Request:
        opening = job.opening
        return it.Request(
            job.id,
            opening.cls,
            opening.wait,
            opening.tenant,
            opening.came_back,
            opening.retry,
            None if opening.group is None else _number(opening.group),
            False,
            opening.load,
            _number(opening.key),
        )

    async def _guard(self, job: Job) -> None:
        """Answer a job that the module has left without one, while its submitter still listens."""
        with self._clock.limit(job.deadline - self._clock.now() + self._settings.answer_slack + GUARD_AFTER):
            await job.up.wait()
            return
        if job.ending is None and not job.standing:
            log.error("unanswered", extra={"job": job.id})
            self._abandon(job, Ending(Failed("out of time", late=True)))

    def _abandon(self, job: Job, ending: Ending) -> None:
        """End a job that does not stand yet, whatever the module has in hand for it."""
        if job.ending is None:
            job.ending = ending
            job.done.set()
            self._tell(it.ClientLeft(job.id))
            if job.claim is not None:
                job.claim.scope.cancel()

    def _finish(self, ident: str, ending: Ending) -> None:
        job = self._jobs.get(ident)
        if job is not None and job.ending is None:
            job.ending = ending
            job.done.set()

    def _close(self, job: Job, ending: Ending, result: it.Result, text: str = "") -> None:
        """End a standing connection, and tell the module so, with the load report that its end brought."""
        claim = job.claim
        if job.ending is not None or claim is None:
            return
        job.ending = ending
        job.done.set()
        latency = self._clock.now() - claim.started
        server = claim.machine.server.id
        if self.watcher is not None:
            cut = ending.move or result is it.Result.RESET
            self.watcher.ended(_number(job.opening.key), job.opening.cls, server, latency, cut=cut)
        report = self._report(server, text) if self._settings.report_on_answer else None
        self._tell(it.Outcome(job.id, claim.number, server, result, latency, True, report))
        log.info(
            "end",
            extra={
                "job": job.id,
                "server": server,
                "result": result.value,
                "moved": ending.move,
                "stood_ms": round(latency),
            },
        )

    async def _end_legs(self, job: Job) -> None:
        ending = job.ending
        assert ending is not None
        submitter = job.submitter
        server = job.claim.leg if job.claim is not None else None
        async with anyio.create_task_group() as tasks:
            if server is not None:
                tasks.start_soon(server.abort if ending.broken or ending.answer else server.end)
            if ending.answer is not None:
                if self.watcher is not None:
                    failed = not isinstance(ending.answer, Busy)
                    self.watcher.turned_away(_number(job.opening.key), job.opening.cls, failed=failed)
                await self._refuse(submitter, ending.answer, job.opening, job)
                return
            if ending.broken:
                await submitter.abort()
                return
            if ending.move:
                with self._clock.limit(MOVE_MOST) as scope:
                    try:
                        await submitter.move()
                    except Broken:
                        scope.cancel()
                if scope.cancelled_caught or scope.cancel_called:
                    await submitter.abort()
                    return
            await submitter.end()

    async def _refuse(
        self, submitter: SubmitterLeg, answer: Busy | Failed, opening: Opening, job: Job | None = None
    ) -> None:
        """Give the final answer, log it with its cause, and count it where it is one of a known class."""
        busy = isinstance(answer, Busy)
        told: dict[str, object] = {"job": opening.job, "key": opening.key, "cls": opening.cls}
        told["tenant"] = opening.tenant or ""
        told["answer"], told["why"] = (
            ("busy", answer.why) if isinstance(answer, Busy) else ("failed", answer.reason)
        )
        if job is not None:
            told["claims"] = job.claims
            told["waited_ms"] = round(self._clock.now() - job.deadline + opening.wait)
        log.info("answer", extra=told)
        try:
            await submitter.answer(answer)
        except Broken:
            await submitter.abort()
            return
        if opening.cls in self._classes:
            self.figures.add(opening.cls, Count.REFUSED if busy else Count.FAILED)
        await submitter.end()

    # The submitter's side of a job

    async def _listen(self, job: Job) -> None:
        """Pass on what the submitter sends; before UP only its leaving matters."""
        broken = False
        try:
            while True:
                message = await job.submitter.receive()
                if not job.up.is_set():
                    # Guards against commands sent at once: a submitter waits for its answer, and
                    # nothing but its opening may reach a server on its account.
                    self._abandon(job, Ending(Failed("a line before UP")))
                    return
                claim = job.claim
                if claim is None or claim.leg is None:
                    return
                claim.unanswered.sent(self._clock.now())
                try:
                    await claim.leg.send(message)
                except Broken:
                    return  # what reads from the server says how it ended
        except Ended:
            pass
        except Broken:
            broken = True
        if job.ending is not None:
            return
        if not job.standing:
            self._abandon(job, Ending(broken=True))
            return
        if not broken and job.claim is not None and job.claim.leg is not None:
            job.left = True
            try:
                await job.claim.leg.end_sending()
                await self._clock.sleep(HALF_CLOSED)
            except Broken:
                pass
        self._close(job, Ending(broken=broken), it.Result.CANCELLED)

    # The server's side of a job

    def _start_claim(self, action: it.Attempt) -> None:
        job = self._jobs.get(action.id)
        number = 0
        result = it.Result.MOOT
        if job is not None and job.ending is None:
            number = job.claims
            machine = self._machines.get(action.server)
            if job.claim is not None:
                log.error("second claim withheld", extra={"job": job.id, "server": action.server})
            elif machine is None:
                job.claims += 1
                result = it.Result.CONNECT_FAILED
            else:
                job.claims += 1
                job.claim = Claim(machine, number, self._clock.now())
                job.tasks.start_soon(self._claim, job, job.claim, action.timeout, action.until)
                return
        closed = job is None or job.ending is not None
        self._tell(it.Outcome(action.id, number, action.server, result, 0.0, closed))

    async def _try(
        self, job: Job, claim: Claim, wait: float, until: float = float("inf")
    ) -> tuple[Up | None, ClaimEnded]:
        """One attempt, up or ended; cancelled it gives nothing back but its result."""
        ended = ClaimEnded(it.Result.CANCELLED)
        up = None
        with claim.scope:
            try:
                if job.opening.at is None:
                    await self._believe()
                admit = partial(self._admit, job, claim, until)
                await admit()
                side = self._sides[claim.machine.front]
                sent = partial(self._sent, job, claim)
                claim.leg, up = await side.claim(claim.machine, job.opening, wait, admit, sent)
            except ClaimEnded as exc:
                ended = exc
        return up, ended

    def _sent(self, job: Job, claim: Claim) -> None:
        claim.sent = True
        self.figures.add(job.opening.cls, Count.ATTEMPTS)

    async def _claim(self, job: Job, claim: Claim, timeout: float, until: float) -> None:
        left = job.deadline - claim.started
        up, ended = await self._try(job, claim, min(timeout, left) if timeout > 0 else left, until)
        if job.ending is not None and claim.leg is not None:
            # Guards the one final answer: UP came in the turn in which another was given, or the client left.
            # The leg ends with the job, and the module has heard that its client is gone.
            return
        server = claim.machine.server.id
        latency = self._clock.now() - claim.started
        if up is not None:
            self._tell(it.Established(job.id, claim.number, server, latency))
            await self._relay(job, claim, up)
            return
        job.claim = None
        told = {"job": job.id, "server": server, "result": ended.result.value, "number": claim.number}
        if ended.result is it.Result.ERROR:
            told["figures"] = str(job.opening.figures)[:300]  # the opening may be at fault
        log.info("claim ended", extra={**told, "ms": round(latency, 1)})
        served = ended.result is it.Result.OK and job.ending is None
        if served:
            # Served to its end before it ever stood: what the server sent is the answer, and the only one.
            job.ending = Ending()
            await self._pass_all(job, ended.messages)
        closed = job.ending is not None
        report = self._report(server, ended.report) if self._settings.report_on_answer else None
        self._tell(it.Outcome(job.id, claim.number, server, ended.result, latency, closed, report))
        if served:
            job.done.set()

    async def _pass_all(self, job: Job, messages: tuple[Message, ...]) -> None:
        try:
            for message in messages:
                await job.submitter.send(message)
            self.figures.add(job.opening.cls, Count.SERVED)
        except Broken:
            pass

    async def _resume(self, job: Job, ident: str) -> None:
        """A connection that stood at a server before the run: only that server can take it."""
        while True:
            machine = self._machines.get(ident)
            left = job.deadline - self._clock.now()
            if machine is None or left <= 0:
                log.warning(
                    "not resumed", extra={"job": job.id, "server": ident, "known": machine is not None}
                )
                self._finish(job.id, Ending(Failed("cannot be resumed")))
                return
            claim = job.claim = Claim(machine, 0, self._clock.now())
            up, ended = await self._try(job, claim, left)
            if up is not None:
                self._tell(it.Inherited(self._request(job), ident))
                await self._relay(job, claim, up)
                return
            job.claim = None
            log.info("claim ended", extra={"job": job.id, "server": ident, "result": ended.result.value})
            if ended.result not in (it.Result.FULL, it.Result.CONNECT_FAILED):
                self._finish(job.id, Ending(Failed("cannot be resumed")))
                return
            await self._clock.sleep(AT_RETRY * (0.5 + self._rng.random()))

    async def _relay(self, job: Job, claim: Claim, up: Up) -> None:
        """Answer UP, then pass on what the server sends until it ends."""
        leg = claim.leg
        assert leg is not None
        ident = claim.machine.server.id
        last, report = Kind.DATA, ""
        broken = False
        told = {"job": job.id, "key": job.opening.key, "group": job.opening.group or "", "server": ident}
        log.info("up", extra={**told, "claims": claim.number + 1})
        job.up.set()
        try:
            try:
                await job.submitter.answer(up)
            except Broken:
                return  # the listener hears it too
            self.figures.add(job.opening.cls, Count.SERVED)
            if self.watcher is not None:
                set_up = self._clock.now() - (job.deadline - job.opening.wait)
                self.watcher.came_up(_number(job.opening.key), job.opening.cls, ident, set_up)
            while True:
                message = await leg.receive()
                if message.kind is Kind.NOTE:
                    claim.unanswered.heard(self._clock.now())
                    self._note(job, ident, message.note)
                elif (delay := claim.unanswered.answered(self._clock.now())) is not None:
                    self._meter.sample(ident, delay)
                last, report = message.kind, message.report
                if job.ending is not None:
                    return
                try:
                    await job.submitter.send(message)
                except Broken:
                    return
        except Ended:
            pass
        except Broken:
            broken = True
        if last is Kind.BYE and not broken:
            result = it.Result.OK
        elif (last is Kind.MOVE or job.left) and not broken:
            # Guards a sound server against being taken for failed: it ended because its submitter had.
            result = it.Result.CANCELLED
        else:
            result = it.Result.RESET
        self._close(job, Ending(broken=broken), result, report)

    def _note(self, job: Job, ident: str, value: float) -> None:
        """A server's note. The line is one for both kinds; the settings say which a server sends.

        Guards against taking milliseconds of delay for a load: where only delays are told, a note
        comes once a second on one connection while messages at its server are slow.
        """
        delay: bool | None = self._settings.tells_delay
        if delay and self._settings.tells_load:
            delay = self._notes.take(job.id, ident, value, self._clock.now())
        if delay:
            log.info("slow", extra={"server": ident, "ms": round(value, 1), "by": "note"})
            self._tell_delay(job.id, ident, value)
        elif delay is False and self._settings.tells_load:
            self._tell(it.LoadNote(job.id, ident, value))

    def _stands(self, ident: str) -> bool:
        job = self._jobs.get(ident)
        return job is not None and job.standing

    # Standing connections

    def _standing(self) -> list[tuple[Job, Claim]]:
        return [(job, job.claim) for job in self._jobs.values() if job.standing and job.claim is not None]

    def _move_silent(self) -> None:
        """Guards against a server that vanished, or stopped on one connection: these stay open, and quiet."""
        now = self._clock.now()
        standing = self._standing()
        hushed = self._hushed(standing, now)
        for job, claim in standing:
            silence = claim.unanswered.silence(now)
            ident = claim.machine.server.id
            if silence > SILENT or ident in hushed:
                log.warning("silent", extra={"job": job.id, "server": ident, "ms": round(silence)})
                self._close(job, Ending(move=True), it.Result.RESET)

    def _note_delays(self) -> None:
        """Once a second: the notes of slow messages that the sockets themselves give."""
        now = self._clock.now()
        for note in self._notes.due(now):
            self._tell(it.LoadNote(note.job, note.server, note.value))
        waiting = []
        carriers: dict[str, str] = {}
        for job, claim in self._standing():
            ident = claim.machine.server.id
            carriers.setdefault(ident, job.id)
            waiting.append((ident, claim.unanswered.age(now)))
        for ident, delay in self._meter.round(waiting):
            if ident in carriers:
                log.info("slow", extra={"server": ident, "ms": round(delay, 1), "by": "measure"})
                self._tell_delay(carriers[ident], ident, delay)

    def _tell_delay(self, ident: str, server: str, delay: float) -> None:
        if self.watcher is not None:
            self.watcher.late(server, delay)
        self._tell(it.DelayNote(ident, server, delay))

    def _hushed(self, standing: list[tuple[Job, Claim]], now: float) -> set[str]:
        """The servers that have vanished, as their connections tell together.

        Guards the clients that have sent nothing of late: each alone would find out seconds later.
        """
        heard: dict[str, float] = {}
        waits: dict[str, int] = {}
        for _, claim in standing:
            ident = claim.machine.server.id
            heard[ident] = max(heard.get(ident, 0.0), claim.unanswered.last_heard, claim.started)
            waits[ident] = waits.get(ident, 0) + (claim.unanswered.age(now) > 0.0)
        return {ident for ident, at in heard.items() if waits[ident] >= HUSH_LINES and now - at > HUSH}

    async def drain(self, settle: float, over: float) -> None:
        """Move every standing connection, spread evenly; arrivals are served meanwhile."""
        await self._clock.sleep(settle)
        end = self._clock.now() + over
        log.info("drain", extra={"standing": sum(job.standing for job in self._jobs.values())})
        while (left := end - self._clock.now()) > 0:
            standing = [job for job in self._jobs.values() if job.standing]
            if standing:
                job = self._rng.choice(standing)
                self._close(job, Ending(move=True), it.Result.CANCELLED)
            await self._clock.sleep(min(left, max(1.0, left / (len(standing) + 1)), 100.0))
        self._leaving = True
        for job in list(self._jobs.values()):
            if job.standing:
                self._close(job, Ending(move=True), it.Result.CANCELLED)
            elif self._balancer.harmless(job.id, job.claim is not None and job.claim.sent):
                self._abandon(job, Ending(Busy(self._settings.max_retry_after, "leaving")))
            else:
                # Guards an effect against happening twice: a refusal says that trying again is harmless.
                self._abandon(job, Ending(Failed("leaving")))
        while self._jobs:
            await self._clock.sleep(20.0)


def _number(text: str) -> int:
    """A key or group as the module wants it: the same number at every balancer."""
    try:
        return int(text, 16)
    except ValueError:
        return stable_hash(text)
