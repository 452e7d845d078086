"""Converts outcomes of scale runs to records, and stores them in the results file."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from statistics import fmean

from benchmarks.scale.records import SCHEMA, PropagationTimes, Provenance, RunResults, ScaleRun, read, write
from puffinford.scale import propagation
from puffinford.scale.outcome import BalancerLoad, RunOutcome


def make_record(outcome: RunOutcome, measured: Provenance) -> ScaleRun:
    """Return the record of a run for the results file."""
    lists, hollow, real = outcome.list_service, outcome.hollow_load, outcome.real_load
    calls, size = _per_balancer(outcome)
    return ScaleRun(
        story=outcome.story,
        measured=measured,
        hollow=outcome.hollow,
        processes=outcome.processes,
        real=outcome.real,
        relays=outcome.relays,
        servers=outcome.servers,
        seed=outcome.seed,
        seconds=outcome.seconds,
        held=outcome.held,
        service_ms=outcome.service_ms,
        source_calls=lists.calls,
        source_calls_per_s=lists.calls_per_s,
        source_calls_peak=lists.peak_calls_per_s,
        source_bytes_per_s=round((lists.sent_bytes + lists.received_bytes) / outcome.seconds, 1),
        source_core_pct=lists.cpu_percent,
        told_hollow=_propagation_times(outcome.hollow_propagation),
        told_real=_propagation_times(outcome.real_propagation),
        calls_per_balancer_s=calls,
        bytes_per_balancer_s=size,
        hollow_core_pct=hollow.cpu_percent,
        hollow_kib=hollow.resident_kib,
        real_core_pct=real.cpu_percent,
        real_mib=round(real.resident_kib / 1_024.0, 2),
        relay_core_pct=_mean([relay.cpu_percent for relay in outcome.relay_load]),
        relay_core_pct_most=max((relay.cpu_percent for relay in outcome.relay_load), default=0.0),
        relay_mib=_mean([relay.resident_mib for relay in outcome.relay_load]),
        relay_bytes_per_s=_mean([relay.sent_bytes_per_s or 0.0 for relay in outcome.relay_load]),
        clients_per_balancer_s=outcome.rate,
        placed_hollow=hollow.placed,
        queue_most=lists.max_queued_calls,
        connections_reset=lists.reset_connections,
        restarts=outcome.restarts,
        late_p99_s=round(outcome.lateness.p99_ms / 1_000.0, 4),
        lost_part=outcome.lateness.lost_fraction,
        hollow_gib=round(outcome.resident_mib / 1_024.0, 2),
    )


def _propagation_times(stats: propagation.PropagationStats) -> PropagationTimes:
    return PropagationTimes(
        stats.balancers,
        stats.changes,
        round(stats.p50_ms / 1_000.0, 4),
        round(stats.p99_ms / 1_000.0, 4),
        round(stats.last_ms / 1_000.0, 4),
        stats.behind,
    )


def _per_balancer(outcome: RunOutcome) -> tuple[float, float]:
    """Return the calls and bytes per second of one balancer.

    Behind relays, only answers of the relays are counted. The result is 0 if the relays logged too little.
    """
    load: BalancerLoad = outcome.hollow_load
    if load.calls_per_s is not None and load.bytes_per_s is not None:
        return load.calls_per_s, load.bytes_per_s
    balancers = outcome.hollow + outcome.real
    calls = sum(relay.calls_per_s or 0.0 for relay in outcome.relay_load)
    sent = sum(relay.sent_bytes_per_s or 0.0 for relay in outcome.relay_load)
    return round(calls / balancers, 4), round(sent / balancers, 1)


def _mean(values: Sequence[float]) -> float:
    return round(fmean(values), 2) if values else 0.0


def store_runs(path: Path, new: Sequence[ScaleRun]) -> None:
    """Add runs to a results file; each replaces a stored run of the same story, size and settings.

    Raises BadRecord if the file is invalid.
    """
    stored = read(path, RunResults).runs if path.exists() else []
    fresh = {_run_key(run): run for run in new}
    kept = [run for run in stored if _run_key(run) not in fresh]
    write(path, RunResults(SCHEMA, [*kept, *fresh.values()]))


def _run_key(run: ScaleRun) -> tuple[object, ...]:
    return run.story, run.hollow, run.real, run.relays, run.servers, run.service_ms, run.seed
