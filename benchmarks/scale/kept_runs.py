"""Outcomes of scale runs as records, and the file that keeps them."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from statistics import fmean

from benchmarks.scale.records import SCHEMA, Provenance, RunResults, ScaleRun, Told, read, write
from puffinford.scale import propagation
from puffinford.scale.outcome import BalancerLoad, RunOutcome


def record(outcome: RunOutcome, measured: Provenance) -> ScaleRun:
    """A run as it is kept."""
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
        told_hollow=_told(outcome.hollow_propagation),
        told_real=_told(outcome.real_propagation),
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


def _told(seen: propagation.PropagationStats) -> Told:
    return Told(
        seen.balancers,
        seen.changes,
        round(seen.p50_ms / 1_000.0, 4),
        round(seen.p99_ms / 1_000.0, 4),
        round(seen.last_ms / 1_000.0, 4),
        seen.behind,
    )


def _per_balancer(outcome: RunOutcome) -> tuple[float, float]:
    """Calls and bytes a second; behind relays their answers alone, and 0 where they logged too little."""
    load: BalancerLoad = outcome.hollow_load
    if load.calls_per_s is not None and load.bytes_per_s is not None:
        return load.calls_per_s, load.bytes_per_s
    balancers = outcome.hollow + outcome.real
    calls = sum(relay.calls_per_s or 0.0 for relay in outcome.relay_load)
    sent = sum(relay.sent_bytes_per_s or 0.0 for relay in outcome.relay_load)
    return round(calls / balancers, 4), round(sent / balancers, 1)


def _mean(values: Sequence[float]) -> float:
    return round(fmean(values), 2) if values else 0.0


def keep(path: Path, new: Sequence[ScaleRun]) -> None:
    """Add runs to a results file, each in place of one of the same story, size and settings.

    Raises BadRecord where the file cannot be used.
    """
    held = read(path, RunResults).runs if path.exists() else []
    fresh = {_key(run): run for run in new}
    kept = [run for run in held if _key(run) not in fresh]
    write(path, RunResults(SCHEMA, [*kept, *fresh.values()]))


def _key(run: ScaleRun) -> tuple[object, ...]:
    return run.story, run.hollow, run.real, run.relays, run.servers, run.service_ms, run.seed
