"""What a play has shown: breaches of the rules, tables for a terminal, and a picture."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

from puffinford.stage.script import Script
from puffinford.stage.spread import Evenness, Second, evenness, idle, loads, refused_with_room
from puffinford.standins import checks
from puffinford.standins.clients import ClientClass
from puffinford.standins.servers import SERVING_STATES
from puffinford.standins.trace import EventKind, Trace, TraceEvent
from puffinford.text_table import format_table

PERCENTILES = (50.0, 90.0, 99.0, 99.9)
LONGEST = 60_000_000  # us: what a histogram of latencies reaches to
FAULTS_NAMED = 6  # parties of one fault that a line names


def rules(trace: Trace, until: float = float("inf")) -> list[str]:
    """Every breach of the rules that a trace shows. Openings after `until` ms may have no answer yet."""
    return [
        *checks.one_final_answer(trace, until),
        *checks.no_overlapping_attempts(trace),
        *checks.draining_servers_spared(trace),
    ]


def latencies(entries: Iterable[TraceEvent]) -> list[float]:
    """The PERCENTILES of how long these took, in ms; empty where there are none."""
    from hdrh.histogram import HdrHistogram

    histogram = HdrHistogram(1, LONGEST, 3)
    for entry in entries:
        histogram.record_value(min(LONGEST, max(1, round(entry.ms * 1_000.0))))
    if not histogram.get_total_count():
        return []
    return [histogram.get_value_at_percentile(percent) / 1_000.0 for percent in PERCENTILES]


@dataclass(frozen=True)
class Span:
    """A fault: what was done to whom, from when until when (ms of the trace)."""

    do: str
    names: tuple[str, ...]
    began: float
    ended: float

    def __str__(self) -> str:
        named = ", ".join(self.names[:FAULTS_NAMED])
        more = len(self.names) - FAULTS_NAMED
        return f"{self.do}: {named}" + (f" and {more} others" if more > 0 else "")


def spans(trace: Trace) -> list[Span]:
    """The faults of a play, those that began and ended alike as one."""
    began: dict[str, tuple[str, float]] = {}
    found: dict[tuple[str, int, int], list[str]] = {}

    def end(name: str, at: float) -> None:
        if name in began:
            do, since = began.pop(name)
            found.setdefault((do, round(since / 100.0), round(at / 100.0)), []).append(name)

    for entry in trace.of(EventKind.FAULT, EventKind.STATE):
        name = entry.balancer or entry.server
        end(name, entry.at)
        if entry.detail not in ("sound", "wake", "plain", "reload") and entry.at >= trace.serving_started_at:
            began[name] = (entry.detail, entry.at)
    for name in list(began):
        end(name, max(trace.serving_ended_at, began[name][1]))
    made = [Span(do, tuple(names), since * 100.0, at * 100.0) for (do, since, at), names in found.items()]
    return sorted(made, key=lambda span: span.began)


def by_class(trace: Trace, kinds: Sequence[ClientClass]) -> str:
    """What became of the openings of each class, and how long an UP took, as a table."""
    rows = []
    for kind in kinds:
        ups = [entry for entry in trace.of(EventKind.UP) if entry.cls == kind.name]
        counts = [
            trace.count(what)[kind.name]
            for what in (EventKind.REQUESTED, EventKind.BUSY, EventKind.FAILED, EventKind.LOST)
        ]
        took = [f"{ms:.1f}" for ms in latencies(ups)] or ["-"] * len(PERCENTILES)
        rows.append((kind.name, counts[0], len(ups), *counts[1:], *took))
    heads = [f"p{percent:g} ms" for percent in PERCENTILES]
    return format_table(("class", "asked", "up", "busy", "failed", "lost", *heads), rows)


def by_server(trace: Trace, servers: Sequence[str], seconds: Sequence[Second]) -> str:
    """Claims and clients of each server, and how many stood there on average and at most, as a table."""
    ups = trace.count(EventKind.UP, lambda entry: entry.server)
    claims = trace.count(EventKind.ATTEMPT, lambda entry: entry.server)
    rows = []
    for number, ident in enumerate(servers):
        held = [row.held[number] for row in seconds] or [0]
        rows.append((ident, claims[ident], ups[ident], f"{sum(held) / len(held):.1f}", max(held)))
    return format_table(("server", "claims", "up", "standing", "at most"), rows)


class Report:
    """A play's trace, read once. `weights` are what the servers were told to carry beside each other."""

    def __init__(self, trace: Trace, script: Script, warm: float = 3_000.0) -> None:
        """Loads are judged from `warm` ms after the first client could come."""
        self.trace = trace
        self.script = script
        self._warm = warm
        self.servers = list(script.servers)
        self.weights = [float(make.capacity) for make in script.servers.values()]
        self.seconds = loads(trace, self.servers, trace.serving_started_at + warm, trace.serving_ended_at)
        self.faults = spans(trace)
        self.broken = rules(
            trace, trace.serving_ended_at - max(kind.give_up for kind in script.kinds) - 500.0
        )

    @property
    def evenness(self) -> Evenness | None:
        """Of the servers that no event of the script strikes, in all seconds that are judged."""
        struck = {name for event in self.script.events if event.whom == "server" for name in event.names}
        kept = [number for number, ident in enumerate(self.servers) if ident not in struck]
        rows = [Second(row.at, tuple(row.held[number] for number in kept)) for row in self.seconds]
        return evenness(rows, [self.weights[number] for number in kept]) if kept else None

    def refused(self) -> tuple[int, int]:
        """Jobs turned away, and those while the fleet had room; judged once balancers have had a list."""
        since, until = self.trace.serving_started_at + self._warm, self.trace.serving_ended_at
        turned = sum(since <= entry.at < until for entry in self.trace.of(EventKind.BUSY, EventKind.FAILED))
        capacity = {ident: float(make.capacity) for ident, make in self.script.servers.items()}
        return turned, refused_with_room(self.trace, capacity, since, until)

    def idle(self) -> list[str]:
        """Servers that stood empty while others were loaded, though nothing was wrong with them."""
        usable: dict[str, float] = dict.fromkeys(self.servers, self.trace.serving_started_at)
        for entry in self.trace.of(EventKind.STATE, EventKind.LISTED):
            sound = (*SERVING_STATES, "active") if entry.kind is EventKind.STATE else ("active",)
            if entry.detail not in sound:
                usable.pop(entry.server, None)
        return idle(self.seconds, self.servers, usable)

    def text(self) -> str:
        """All of it, for a terminal."""
        parts = [by_class(self.trace, self.script.kinds), by_server(self.trace, self.servers, self.seconds)]
        if self.faults:
            rows = [
                (
                    f"{(span.began - self.trace.serving_started_at) / 1_000.0:.1f}",
                    f"{(span.ended - span.began) / 1_000.0:.1f}",
                    span,
                )
                for span in self.faults
            ]
            parts.append(format_table(("at s", "for s", "fault"), rows))
        even = self.evenness
        lines = []
        if even is not None:
            lines.append(
                f"fullest {even.fullest:.2f}, emptiest {even.emptiest:.2f} times its part, by chance"
                f" {even.chance:.2f}; worst 5 s of any {even.worst:.2f}; {even.mean:.1f} connections a server"
            )
        turned, with_room = self.refused()
        asked = max(1, len(list(self.trace.of(EventKind.REQUESTED))))
        claims = len(list(self.trace.of(EventKind.ATTEMPT)))
        lines.append(
            f"refused {turned} of {asked}, {with_room} while there was room"
            f" ({100.0 * with_room / asked:.1f}%); {claims / asked:.2f} claims an opening"
        )
        if standing := self.idle():
            lines.append(f"idle: {' '.join(standing)}")
        parts.append("\n".join(lines))
        parts.append("\n".join(["rules broken:", *self.broken[:20]]) if self.broken else "rules kept")
        return "\n\n".join(parts)

    def figures(self) -> Mapping[str, float]:
        """The figures of a measurement's last line; loads are over each server's part."""
        even = self.evenness or Evenness(0.0, 0.0, 0.0, 0.0, 0.0)
        asked = max(1, len(list(self.trace.of(EventKind.REQUESTED))))
        turned, with_room = self.refused()
        return {
            "fullest": even.fullest, "emptiest": even.emptiest, "worst": even.worst, "chance": even.chance,
            "refused": 100.0 * turned / asked, "with_room": 100.0 * with_room / asked,
            "claims": len(list(self.trace.of(EventKind.ATTEMPT))) / asked,
            "idle": float(len(self.idle())), "broken": float(len(self.broken)),
        }  # fmt: skip

    def picture(self, path: Path) -> None:
        """Write load by server, refusals and latencies over time, with the faults marked, as PNG or SVG."""
        import matplotlib

        matplotlib.use("Agg")
        from matplotlib import pyplot

        def clock(ms: float) -> float:
            return (ms - self.trace.serving_started_at) / 1_000.0

        figure, (load, answers, took) = pyplot.subplots(3, 1, figsize=(11, 10), sharex=True)
        all_seconds = loads(
            self.trace, self.servers, self.trace.serving_started_at, self.trace.serving_ended_at, 250.0
        )
        times = [clock(row.at) for row in all_seconds]
        for number, ident in enumerate(self.servers):
            part = self.weights[number] / sum(self.weights)
            over = [row.held[number] / max(1.0, sum(row.held) * part) for row in all_seconds]
            load.plot(times, over, linewidth=1.0, label=ident if len(self.servers) <= 12 else None)
        load.axhline(1.0, color="black", linewidth=0.5)
        load.set_ylabel("standing, over its part")
        load.set_ylim(0.0, 3.0)
        if len(self.servers) <= 12:
            load.legend(loc="upper right", fontsize=7, ncols=3)
        for what, colour in (
            (EventKind.UP, "tab:green"),
            (EventKind.BUSY, "tab:orange"),
            (EventKind.LOST, "tab:red"),
            (EventKind.MOVED, "tab:blue"),
            (EventKind.CUT_OFF, "tab:purple"),
        ):
            counted = Counter(int(clock(entry.at) * 2.0) / 2.0 for entry in self.trace.of(what))
            if counted:
                answers.step(
                    sorted(counted),
                    [2 * counted[at] for at in sorted(counted)],
                    where="post",
                    label=what.value,
                    color=colour,
                )
        answers.set_ylabel("a second")
        answers.legend(loc="upper right", fontsize=7)
        ups = list(self.trace.of(EventKind.UP))
        took.plot(
            [clock(entry.at) for entry in ups], [max(0.1, entry.ms) for entry in ups], ".", markersize=2
        )
        took.set_yscale("log")
        took.set_ylabel("ms to UP")
        took.set_xlabel("seconds")
        for number, span in enumerate(self.faults):
            for panel in (load, answers, took):
                panel.axvspan(clock(span.began), clock(span.ended), alpha=0.12, color=f"C{number % 10}")
            load.text(clock(span.began), 2.9 - 0.18 * (number % 6), str(span)[:60], fontsize=7, va="top")
        figure.tight_layout()
        figure.savefig(path)
        pyplot.close(figure)
