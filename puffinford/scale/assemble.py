"""Assembles the outcome of a run from the reports of its processes."""

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
HOLLOW_GROUP = "hollow-"  # followed by the number of the process


@dataclass(frozen=True)
class KindResult:
    """Measurements of the balancers of one kind, hollow or real, during the story."""

    count: int
    groups: Sequence[GroupTally]
    propagation: PropagationStats
    placed: Mapping[int, Counter[str]]
    cpu_s: float  # summed over the balancers
    resident_bytes: int  # summed over the balancers

    def load(self, seconds: float, relays: int) -> BalancerLoad:
        """Return the means per balancer over `seconds`."""
        balancer_seconds = max(1, self.count) * seconds
        calls = sum(tally.calls for tally in self.groups)
        size = sum(tally.sent + tally.received for tally in self.groups)
        return BalancerLoad(
            calls_per_s=None if relays else round(calls / balancer_seconds, 4),
            bytes_per_s=None if relays else round(size / balancer_seconds, 1),
            cpu_percent=round(100.0 * self.cpu_s / balancer_seconds, 4),
            resident_kib=round(self.resident_bytes / max(1, self.count) / 1_024.0, 1),
            placed=sum(counts.total() for counts in self.placed.values()),
        )

    def observation(self) -> KindObservation:
        """Return the values by which hollow and real balancers are compared."""
        count = max(1, self.count)
        calls = sum(tally.calls for tally in self.groups) / count
        sent = sum(tally.sent for tally in self.groups) / count
        return KindObservation(calls, sent, self.propagation, self.placed)


def assemble_outcome(
    plan: RunPlan,
    reports: ProcessReports,
    begin_ms: float,
    before: UsageSnapshot,
    after: UsageSnapshot,
    real: RealBalancers | None,
    distribution: Distribution,
) -> RunOutcome:
    """Return the outcome of a run whose story began at `begin_ms` (Unix time)."""
    seconds = (after.at_ms - before.at_ms) / 1_000.0
    tallies = {group: _difference(after.groups[group], before.groups[group]) for group in after.groups}
    hollow_result = _hollow_result(
        plan, reports, _outages(plan, begin_ms), tallies, after.hollow_cpu_s - before.hollow_cpu_s
    )
    real_result = _real_result(
        reports, _outages(plan, begin_ms), tallies, after.real_cpu_s - before.real_cpu_s, real
    )
    lateness = _lateness(reports, seconds)
    reason = _failure_reason(plan, reports, lateness, real)
    return RunOutcome(
        story=plan.story.name,
        distribution=distribution.name,
        hollow=plan.hollow,
        real=plan.real,
        processes=plan.processes,
        relays=plan.relays,
        servers=plan.servers,
        changes=len(reports.published),
        restarts=sum(len(starts) for starts in reports.restarted_at.values()),
        service_ms=plan.service_ms,
        seed=plan.seed,
        rate=plan.workload.rate,
        seconds=round(seconds, 1),
        list_service=_list_service_load(reports, tallies, before, after),
        hollow_propagation=hollow_result.propagation,
        real_propagation=real_result.propagation,
        hollow_load=hollow_result.load(seconds, plan.relays),
        real_load=real_result.load(seconds, plan.relays),
        relay_load=_relay_load(distribution, tallies, before, after),
        lateness=lateness,
        resident_mib=round(sum(tally.resident for tally in reports.hollow_tallies.values()) / (1 << 20), 1),
        held=not reason,
        reason=reason,
        disagreements=_disagreements(plan, hollow_result, real_result),
    )


def _disagreements(plan: RunPlan, hollow_result: KindResult, real_result: KindResult) -> list[Disagreement]:
    if not plan.paired:
        return []
    return disagreements(hollow_result.observation(), real_result.observation(), plan.bounds)


def _hollow_result(
    plan: RunPlan,
    reports: ProcessReports,
    outages: Sequence[OutagePeriod],
    tallies: Mapping[str, GroupTally],
    cpu_s: float,
) -> KindResult:
    applied = {number: reports.applied.get(number, []) for number in range(plan.hollow)}
    placed = {
        number: Counter(counts)
        for tally in reports.hollow_tallies.values()
        for number, counts in tally.placed.items()
    }
    return KindResult(
        plan.hollow,
        [tally for group, tally in tallies.items() if group.startswith(HOLLOW_GROUP)],
        measure_propagation(reports.published, applied, reports.restarted_at, outages),
        placed,
        cpu_s,
        sum(tally.resident - tally.resident_before for tally in reports.hollow_tallies.values()),
    )


def _real_result(
    reports: ProcessReports,
    outages: Sequence[OutagePeriod],
    tallies: Mapping[str, GroupTally],
    cpu_s: float,
    real: RealBalancers | None,
) -> KindResult:
    if real is None:
        return KindResult(0, [], PropagationStats(), {}, 0.0, 0)
    logs = {number: real.read_log(number) for number in real.balancers}
    applied = {number: log.applied for number, log in logs.items()}
    return KindResult(
        len(logs),
        [tallies[REAL_GROUP]],
        measure_propagation(reports.published, applied, {}, outages),  # real balancers are never restarted
        {number: log.placed for number, log in logs.items()},
        cpu_s,
        real.resident_bytes(),
    )


def _outages(plan: RunPlan, begin_ms: float) -> list[OutagePeriod]:
    outage = plan.story.outage
    if outage is None:
        return []
    began = begin_ms + outage.start_s * 1_000.0
    return [OutagePeriod(began, began + outage.duration_s * 1_000.0)]


def _lateness(reports: ProcessReports, seconds: float) -> Lateness:
    delays_ms = sorted(ms for tally in reports.hollow_tallies.values() for ms in tally.late_ms)
    lost_ms = max((tally.lost_ms for tally in reports.hollow_tallies.values()), default=0.0)
    return Lateness(
        p99_ms=quantile(delays_ms, 0.99),
        max_ms=delays_ms[-1] if delays_ms else 0.0,
        lost_fraction=round(lost_ms / 1_000.0 / seconds, 3),
    )


def _failure_reason(
    plan: RunPlan, reports: ProcessReports, lateness: Lateness, real: RealBalancers | None
) -> str:
    """Return why the run is not valid; empty if the fleet ran completely and on time."""
    running = sum(tally.running for tally in reports.hollow_tallies.values())
    if running != plan.hollow:
        return f"{running} of {plan.hollow} hollow balancers are running"
    if real is not None and real.running != plan.real:
        return f"{real.running} of {plan.real} real balancers are running"
    if lateness.lost_fraction > plan.max_lost_fraction:
        return (
            f"hollow balancers' clock lost {lateness.lost_fraction:.0%}, limit {plan.max_lost_fraction:.0%}"
        )
    return ""


def _list_service_load(
    reports: ProcessReports, tallies: Mapping[str, GroupTally], before: UsageSnapshot, after: UsageSnapshot
) -> ListServiceLoad:
    list_tally = reports.list_tally
    assert list_tally is not None
    seconds = (after.at_ms - before.at_ms) / 1_000.0
    calls = sum(tally.calls for tally in tallies.values())
    first_second, last_second = int(before.at_ms / 1_000.0), int(after.at_ms / 1_000.0)
    peak = max(
        (n for second, n in list_tally.calls_by_second.items() if first_second < second <= last_second),
        default=0,
    )
    return ListServiceLoad(
        calls=calls,
        calls_per_s=round(calls / seconds, 1),
        peak_calls_per_s=peak,
        sent_bytes=sum(tally.sent for tally in tallies.values()),
        received_bytes=sum(tally.received for tally in tallies.values()),
        max_queued_calls=list_tally.queue_most,
        reset_connections=list_tally.broken,
        cpu_percent=round(100.0 * (after.list_service_cpu_s - before.list_service_cpu_s) / seconds, 2),
    )


def _relay_load(
    distribution: Distribution, tallies: Mapping[str, GroupTally], before: UsageSnapshot, after: UsageSnapshot
) -> list[RelayLoad]:
    return [
        _load_of_relay(
            relay,
            tallies[group].calls,
            after.relay_cpu_s[number] - before.relay_cpu_s[number],
            before.at_ms,
            after.at_ms,
        )
        for number, (relay, group) in enumerate(zip(distribution.relays, distribution.groups, strict=True))
    ]


def _load_of_relay(
    relay: RelayProcess, upstream: int, cpu_s: float, begin_ms: float, end_ms: float
) -> RelayLoad:
    traffic = relay.traffic(begin_ms, end_ms)
    return RelayLoad(
        cpu_percent=round(max(0.0, 100.0 * cpu_s / (end_ms - begin_ms) * 1_000.0), 2),
        resident_mib=round(relay.resident_bytes() / (1 << 20), 1),
        upstream_calls=upstream,
        calls_per_s=None if traffic is None else round(traffic.calls_per_s, 1),
        sent_bytes_per_s=None if traffic is None else round(traffic.sent_bytes_per_s, 1),
    )


def _difference(after: GroupTally, before: GroupTally) -> GroupTally:
    return GroupTally(after.calls - before.calls, after.received - before.received, after.sent - before.sent)
