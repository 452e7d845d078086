"""From what the processes of a run have told to its outcome."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from puffinford.scale.agreement import Disagreement, KindObservation, disagreements
from puffinford.scale.distribution import Distribution, RelayProcess
from puffinford.scale.messages import GroupTally
from puffinford.scale.outcome import BalancerLoad, Lateness, ListServiceLoad, RelayLoad, RunOutcome
from puffinford.scale.plan import RunPlan
from puffinford.scale.process_reports import ProcessReports, UsageSnapshot
from puffinford.scale.propagation import OutagePeriod, PropagationStats, measure_propagation, quantile
from puffinford.scale.real_balancers import RealBalancers

REAL_GROUP = "real"
HOLLOW_GROUP = "hollow-"  # and the number of the process


@dataclass(frozen=True)
class KindResult:
    """What the balancers of one kind came to during the story."""

    count: int
    groups: Sequence[GroupTally]
    told: PropagationStats
    placed: Mapping[int, Counter[str]]
    cpu: float  # seconds of all together
    resident: int  # bytes of all together

    def load(self, seconds: float, relays: int) -> BalancerLoad:
        """Means a balancer."""
        each = max(1, self.count) * seconds
        calls = sum(tally.calls for tally in self.groups)
        size = sum(tally.sent + tally.received for tally in self.groups)
        return BalancerLoad(
            calls_per_s=None if relays else round(calls / each, 4),
            bytes_per_s=None if relays else round(size / each, 1),
            cpu_percent=round(100.0 * self.cpu / each, 4),
            resident_kib=round(self.resident / max(1, self.count) / 1_024.0, 1),
            placed=sum(counts.total() for counts in self.placed.values()),
        )

    def observed(self) -> KindObservation:
        """What the agreement goes by."""
        count = max(1, self.count)
        calls = sum(tally.calls for tally in self.groups) / count
        sent = sum(tally.sent for tally in self.groups) / count
        return KindObservation(calls, sent, self.told, self.placed)


def assemble(
    plan: RunPlan,
    seen: ProcessReports,
    begin: float,
    before: UsageSnapshot,
    after: UsageSnapshot,
    real: RealBalancers | None,
    distribution: Distribution,
) -> RunOutcome:
    """The outcome of a run whose story began at `begin`, in Unix ms."""
    seconds = (after.at - before.at) / 1_000.0
    tallies = {group: _less(after.groups[group], before.groups[group]) for group in after.groups}
    ours = _hollow(plan, seen, _outages(plan, begin), tallies, after.hollow_cpu - before.hollow_cpu)
    theirs = _real(seen, _outages(plan, begin), tallies, after.real_cpu - before.real_cpu, real)
    lateness = _lateness(seen, seconds)
    reason = _not_held(plan, seen, lateness, real)
    return RunOutcome(
        story=plan.story.name,
        distribution=distribution.name,
        hollow=plan.hollow,
        real=plan.real,
        processes=plan.processes,
        relays=plan.relays,
        servers=plan.servers,
        changes=len(seen.changed),
        restarts=sum(len(starts) for starts in seen.started.values()),
        service_ms=plan.service_ms,
        seed=plan.seed,
        rate=plan.crowd.rate,
        seconds=round(seconds, 1),
        list_service=_list_load(seen, tallies, before, after),
        hollow_propagation=ours.told,
        real_propagation=theirs.told,
        hollow_load=ours.load(seconds, plan.relays),
        real_load=theirs.load(seconds, plan.relays),
        relay_load=_relay_load(distribution, tallies, before, after),
        lateness=lateness,
        resident_mib=round(sum(tally.resident for tally in seen.hollow.values()) / (1 << 20), 1),
        held=not reason,
        reason=reason,
        disagreements=_disagreements(plan, ours, theirs),
    )


def _disagreements(plan: RunPlan, ours: KindResult, theirs: KindResult) -> list[Disagreement]:
    if not plan.paired:
        return []
    return disagreements(ours.observed(), theirs.observed(), plan.bounds)


def _hollow(
    plan: RunPlan,
    seen: ProcessReports,
    outages: Sequence[OutagePeriod],
    tallies: Mapping[str, GroupTally],
    cpu: float,
) -> KindResult:
    taken = {me: seen.taken.get(me, []) for me in range(plan.hollow)}
    placed = {me: Counter(counts) for tally in seen.hollow.values() for me, counts in tally.placed.items()}
    return KindResult(
        plan.hollow,
        [tally for group, tally in tallies.items() if group.startswith(HOLLOW_GROUP)],
        measure_propagation(seen.changed, taken, seen.started, outages),
        placed,
        cpu,
        sum(tally.resident - tally.resident_before for tally in seen.hollow.values()),
    )


def _real(
    seen: ProcessReports,
    outages: Sequence[OutagePeriod],
    tallies: Mapping[str, GroupTally],
    cpu: float,
    real: RealBalancers | None,
) -> KindResult:
    if real is None:
        return KindResult(0, [], PropagationStats(), {}, 0.0, 0)
    logs = {me: real.logged(me) for me in real.balancers}
    taken = {me: logged.taken for me, logged in logs.items()}
    return KindResult(
        len(logs),
        [tallies[REAL_GROUP]],
        measure_propagation(seen.changed, taken, {}, outages),  # no story ends a real balancer
        {me: logged.placed for me, logged in logs.items()},
        cpu,
        real.resident(),
    )


def _outages(plan: RunPlan, begin: float) -> list[OutagePeriod]:
    outage = plan.story.outage
    if outage is None:
        return []
    began = begin + outage.at * 1_000.0
    return [OutagePeriod(began, began + outage.lasts * 1_000.0)]


def _lateness(seen: ProcessReports, seconds: float) -> Lateness:
    late = sorted(ms for tally in seen.hollow.values() for ms in tally.late_ms)
    lost = max((tally.lost_ms for tally in seen.hollow.values()), default=0.0)
    return Lateness(
        p99_ms=quantile(late, 0.99),
        max_ms=late[-1] if late else 0.0,
        lost_fraction=round(lost / 1_000.0 / seconds, 3),
    )


def _not_held(plan: RunPlan, seen: ProcessReports, lateness: Lateness, real: RealBalancers | None) -> str:
    """Why the size was not held; nothing where it was."""
    running = sum(tally.running for tally in seen.hollow.values())
    if running != plan.hollow:
        return f"{running} of {plan.hollow} hollow balancers are running"
    if real is not None and real.running != plan.real:
        return f"{real.running} of {plan.real} real balancers are running"
    if lateness.lost_fraction > plan.max_lost_fraction:
        return (
            f"hollow balancers' clock lost {lateness.lost_fraction:.0%}, limit {plan.max_lost_fraction:.0%}"
        )
    return ""


def _list_load(
    seen: ProcessReports, tallies: Mapping[str, GroupTally], before: UsageSnapshot, after: UsageSnapshot
) -> ListServiceLoad:
    lists = seen.lists
    assert lists is not None
    seconds = (after.at - before.at) / 1_000.0
    calls = sum(tally.calls for tally in tallies.values())
    first, last = int(before.at / 1_000.0), int(after.at / 1_000.0)
    peak = max((n for second, n in lists.calls_by_second.items() if first < second <= last), default=0)
    return ListServiceLoad(
        calls=calls,
        calls_per_s=round(calls / seconds, 1),
        peak_calls_per_s=peak,
        sent_bytes=sum(tally.sent for tally in tallies.values()),
        received_bytes=sum(tally.received for tally in tallies.values()),
        max_queued_calls=lists.queue_most,
        reset_connections=lists.broken,
        cpu_percent=round(100.0 * (after.lists_cpu - before.lists_cpu) / seconds, 2),
    )


def _relay_load(
    distribution: Distribution, tallies: Mapping[str, GroupTally], before: UsageSnapshot, after: UsageSnapshot
) -> list[RelayLoad]:
    return [
        _one_relay(
            relay,
            tallies[group].calls,
            after.relay_cpu[number] - before.relay_cpu[number],
            before.at,
            after.at,
        )
        for number, (relay, group) in enumerate(zip(distribution.relays, distribution.groups, strict=True))
    ]


def _one_relay(relay: RelayProcess, upstream: int, cpu: float, begin: float, end: float) -> RelayLoad:
    told = relay.traffic(begin, end)
    return RelayLoad(
        cpu_percent=round(max(0.0, 100.0 * cpu / (end - begin) * 1_000.0), 2),
        resident_mib=round(relay.resident() / (1 << 20), 1),
        upstream_calls=upstream,
        calls_per_s=None if told is None else round(told.calls, 1),
        sent_bytes_per_s=None if told is None else round(told.sent, 1),
    )


def _less(after: GroupTally, before: GroupTally) -> GroupTally:
    return GroupTally(after.calls - before.calls, after.received - before.received, after.sent - before.sent)
