"""Results of a play, from its trace: violated rules, tables for a terminal, and a chart."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

from puffinford.stage.script import Script
from puffinford.stage.spread import (
    Evenness,
    LoadSample,
    evenness,
    idle_servers,
    refusals_with_free_capacity,
    sample_loads,
)
from puffinford.standins import checks
from puffinford.standins.clients import ClientClass
from puffinford.standins.servers import SERVING_STATES
from puffinford.standins.trace import EventKind, Trace, TraceEvent
from puffinford.text_table import format_table

PERCENTILES = (50.0, 90.0, 99.0, 99.9)
MAX_LATENCY_US = 60_000_000  # the highest value of a latency histogram
MAX_NAMED_PARTIES = 6  # parties of one fault that a line of the report names


def rule_violations(trace: Trace, until: float = float("inf")) -> list[str]:
    """Return all violations of the rules in a trace. Requests after `until` (ms) need no answer."""
    return [
        *checks.one_final_answer(trace, until),
        *checks.no_overlapping_attempts(trace),
        *checks.draining_servers_spared(trace),
    ]


def latency_percentiles(entries: Iterable[TraceEvent]) -> list[float]:
    """Return the PERCENTILES of the durations of these events, in ms; empty if there are none."""
    from hdrh.histogram import HdrHistogram

    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    for entry in entries:
        histogram.record_value(min(MAX_LATENCY_US, max(1, round(entry.ms * 1_000.0))))
    if not histogram.get_total_count():
        return []
    return [histogram.get_value_at_percentile(percent) / 1_000.0 for percent in PERCENTILES]


@dataclass(frozen=True)
class FaultSpan:
    """A fault, the parties that it affected, and its time, in ms of the trace."""

    do: str
    names: tuple[str, ...]
    started_at: float
    ended_at: float

    def __str__(self) -> str:
        listed = ", ".join(self.names[:MAX_NAMED_PARTIES])
        more = len(self.names) - MAX_NAMED_PARTIES
        return f"{self.do}: {listed}" + (f" and {more} others" if more > 0 else "")


def fault_spans(trace: Trace) -> list[FaultSpan]:
    """Return the faults of a play by start; those of equal kind, start and end are merged into one."""
    active: dict[str, tuple[str, float]] = {}
    merged: dict[tuple[str, int, int], list[str]] = {}

    def end(name: str, at: float) -> None:
        if name in active:
            do, started_at = active.pop(name)
            merged.setdefault((do, round(started_at / 100.0), round(at / 100.0)), []).append(name)

    for entry in trace.of(EventKind.FAULT, EventKind.STATE):
        name = entry.balancer or entry.server
        end(name, entry.at)
        if entry.detail not in ("sound", "wake", "plain", "reload") and entry.at >= trace.serving_started_at:
            active[name] = (entry.detail, entry.at)
    for name in list(active):
        end(name, max(trace.serving_ended_at, active[name][1]))
    spans = [
        FaultSpan(do, tuple(names), since * 100.0, at * 100.0) for (do, since, at), names in merged.items()
    ]
    return sorted(spans, key=lambda span: span.started_at)


def class_table(trace: Trace, kinds: Sequence[ClientClass]) -> str:
    """Format a table of the outcomes of the requests of each class, with the latencies of an UP."""
    rows = []
    for kind in kinds:
        ups = [entry for entry in trace.of(EventKind.UP) if entry.cls == kind.name]
        counts = [
            trace.count(outcome)[kind.name]
            for outcome in (EventKind.REQUESTED, EventKind.BUSY, EventKind.FAILED, EventKind.LOST)
        ]
        durations = [f"{ms:.1f}" for ms in latency_percentiles(ups)] or ["-"] * len(PERCENTILES)
        rows.append((kind.name, counts[0], len(ups), *counts[1:], *durations))
    headings = [f"p{percent:g} ms" for percent in PERCENTILES]
    return format_table(("class", "asked", "up", "busy", "failed", "lost", *headings), rows)


def server_table(trace: Trace, servers: Sequence[str], samples: Sequence[LoadSample]) -> str:
    """Format a table of the attempts and clients of each server, with its mean and maximum connections."""
    ups = trace.count(EventKind.UP, lambda entry: entry.server)
    attempts = trace.count(EventKind.ATTEMPT, lambda entry: entry.server)
    rows = []
    for number, ident in enumerate(servers):
        open_counts = [sample.connections[number] for sample in samples] or [0]
        rows.append(
            (
                ident,
                attempts[ident],
                ups[ident],
                f"{sum(open_counts) / len(open_counts):.1f}",
                max(open_counts),
            )
        )
    return format_table(("server", "attempts", "up", "connections", "at most"), rows)


class Report:
    """The evaluated trace of a play. `weights` are the capacities of the servers, in connections."""

    def __init__(self, trace: Trace, script: Script, warm_up_ms: float = 3_000.0) -> None:
        """Evaluate a trace; loads count from `warm_up_ms` after serving started."""
        self.trace = trace
        self.script = script
        self._warm_up_ms = warm_up_ms
        self.servers = list(script.servers)
        self.weights = [float(profile.capacity) for profile in script.servers.values()]
        self.samples = sample_loads(
            trace, self.servers, trace.serving_started_at + warm_up_ms, trace.serving_ended_at
        )
        self.faults = fault_spans(trace)
        self.violations = rule_violations(
            trace, trace.serving_ended_at - max(kind.give_up for kind in script.kinds) - 500.0
        )

    @property
    def evenness(self) -> Evenness | None:
        """The evenness of the servers that no event of the script affects; None if there are none."""
        affected = {name for event in self.script.events if event.whom == "server" for name in event.names}
        unaffected = [number for number, ident in enumerate(self.servers) if ident not in affected]
        samples = [
            LoadSample(sample.at, tuple(sample.connections[number] for number in unaffected))
            for sample in self.samples
        ]
        return evenness(samples, [self.weights[number] for number in unaffected]) if unaffected else None

    def count_refusals(self) -> tuple[int, int]:
        """Count the refused requests after the warm-up, and those of them refused despite free capacity."""
        start, end = self.trace.serving_started_at + self._warm_up_ms, self.trace.serving_ended_at
        refused = sum(start <= entry.at < end for entry in self.trace.of(EventKind.BUSY, EventKind.FAILED))
        capacity = {ident: float(profile.capacity) for ident, profile in self.script.servers.items()}
        return refused, refusals_with_free_capacity(self.trace, capacity, start, end)

    def idle_servers(self) -> list[str]:
        """Return the servers that had no connection while others did, although they were sound and listed."""
        usable: dict[str, float] = dict.fromkeys(self.servers, self.trace.serving_started_at)
        for entry in self.trace.of(EventKind.STATE, EventKind.LISTED):
            usable_states = (*SERVING_STATES, "active") if entry.kind is EventKind.STATE else ("active",)
            if entry.detail not in usable_states:
                usable.pop(entry.server, None)
        return idle_servers(self.samples, self.servers, usable)

    def text(self) -> str:
        """Format the whole report for a terminal."""
        parts = [
            class_table(self.trace, self.script.kinds),
            server_table(self.trace, self.servers, self.samples),
        ]
        if self.faults:
            rows = [
                (
                    f"{(span.started_at - self.trace.serving_started_at) / 1_000.0:.1f}",
                    f"{(span.ended_at - span.started_at) / 1_000.0:.1f}",
                    span,
                )
                for span in self.faults
            ]
            parts.append(format_table(("at s", "for s", "fault"), rows))
        even = self.evenness
        lines = []
        if even is not None:
            lines.append(
                f"fullest {even.highest_ratio:.2f}, emptiest {even.lowest_ratio:.2f} times its share,"
                f" {even.random_highest_ratio:.2f} if random; worst 5 s of any {even.worst_window_ratio:.2f};"
                f" {even.mean_connections:.1f} connections per server"
            )
        refused, with_free_capacity = self.count_refusals()
        requests = max(1, len(list(self.trace.of(EventKind.REQUESTED))))
        attempts = len(list(self.trace.of(EventKind.ATTEMPT)))
        lines.append(
            f"refused {refused} of {requests}, {with_free_capacity} despite free capacity"
            f" ({100.0 * with_free_capacity / requests:.1f}%); {attempts / requests:.2f} attempts per request"
        )
        if idle := self.idle_servers():
            lines.append(f"idle: {' '.join(idle)}")
        parts.append("\n".join(lines))
        parts.append("\n".join(["rules broken:", *self.violations[:20]]) if self.violations else "rules kept")
        return "\n\n".join(parts)

    def metrics(self) -> Mapping[str, float]:
        """Return the values of a benchmark line; loads are ratios to each server's share."""
        even = self.evenness or Evenness(0.0, 0.0, 0.0, 0.0, 0.0)
        requests = max(1, len(list(self.trace.of(EventKind.REQUESTED))))
        refused, with_free_capacity = self.count_refusals()
        return {
            "fullest": even.highest_ratio, "emptiest": even.lowest_ratio,
            "worst": even.worst_window_ratio, "chance": even.random_highest_ratio,
            "refused": 100.0 * refused / requests, "with_room": 100.0 * with_free_capacity / requests,
            "claims": len(list(self.trace.of(EventKind.ATTEMPT))) / requests,
            "idle": float(len(self.idle_servers())), "broken": float(len(self.violations)),
        }  # fmt: skip

    def write_chart(self, path: Path) -> None:
        """Write load by server, refusals and latencies over time, with the faults marked, as PNG or SVG."""
        import matplotlib

        matplotlib.use("Agg")
        from matplotlib import pyplot

        def seconds(ms: float) -> float:
            return (ms - self.trace.serving_started_at) / 1_000.0

        figure, (load_panel, outcome_panel, latency_panel) = pyplot.subplots(
            3, 1, figsize=(11, 10), sharex=True
        )
        all_samples = sample_loads(
            self.trace, self.servers, self.trace.serving_started_at, self.trace.serving_ended_at, 250.0
        )
        times = [seconds(sample.at) for sample in all_samples]
        for number, ident in enumerate(self.servers):
            share = self.weights[number] / sum(self.weights)
            ratios = [
                sample.connections[number] / max(1.0, sum(sample.connections) * share)
                for sample in all_samples
            ]
            load_panel.plot(times, ratios, linewidth=1.0, label=ident if len(self.servers) <= 12 else None)
        load_panel.axhline(1.0, color="black", linewidth=0.5)
        load_panel.set_ylabel("connections, relative to share")
        load_panel.set_ylim(0.0, 3.0)
        if len(self.servers) <= 12:
            load_panel.legend(loc="upper right", fontsize=7, ncols=3)
        for what, colour in (
            (EventKind.UP, "tab:green"),
            (EventKind.BUSY, "tab:orange"),
            (EventKind.LOST, "tab:red"),
            (EventKind.MOVED, "tab:blue"),
            (EventKind.CUT_OFF, "tab:purple"),
        ):
            counted = Counter(int(seconds(entry.at) * 2.0) / 2.0 for entry in self.trace.of(what))
            if counted:
                outcome_panel.step(
                    sorted(counted),
                    [2 * counted[at] for at in sorted(counted)],
                    where="post",
                    label=what.value,
                    color=colour,
                )
        outcome_panel.set_ylabel("per second")
        outcome_panel.legend(loc="upper right", fontsize=7)
        ups = list(self.trace.of(EventKind.UP))
        latency_panel.plot(
            [seconds(entry.at) for entry in ups], [max(0.1, entry.ms) for entry in ups], ".", markersize=2
        )
        latency_panel.set_yscale("log")
        latency_panel.set_ylabel("ms to UP")
        latency_panel.set_xlabel("seconds")
        for number, span in enumerate(self.faults):
            for panel in (load_panel, outcome_panel, latency_panel):
                panel.axvspan(
                    seconds(span.started_at), seconds(span.ended_at), alpha=0.12, color=f"C{number % 10}"
                )
            load_panel.text(
                seconds(span.started_at), 2.9 - 0.18 * (number % 6), str(span)[:60], fontsize=7, va="top"
            )
        figure.tight_layout()
        figure.savefig(path)
        pyplot.close(figure)
