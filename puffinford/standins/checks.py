"""Checks of the balancer's rules: each reads a trace and returns one line for each breach."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from puffinford.standins.trace import ANSWERS, EventKind, Trace, TraceEvent

LINK_RECOVERY_MS = 1_000.0  # after a fault of a link, until the data that it held has been delivered
ORDER_TOLERANCE_MS = 50.0  # the end of one connection and the start of another may be seen in either order


def _faults(trace: Trace) -> dict[str, list[tuple[float, float]]]:
    """Return the spans, in ms, in which each link had a fault, by name of the link."""
    spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
    started: dict[str, float] = {}
    for event in trace.of(EventKind.FAULT):
        if event.balancer in started:
            spans[event.balancer].append((started.pop(event.balancer), event.at))
        if event.detail != "sound":
            started[event.balancer] = event.at
    for name, started_at in started.items():
        spans[name].append((started_at, float("inf")))
    return spans


def one_final_answer(trace: Trace, until: float = float("inf")) -> list[str]:
    """Check that each opening has exactly one answer. Openings after `until` ms need no answer."""
    answers: dict[str, list[str]] = defaultdict(list)
    requested = {}
    for event in trace.of(EventKind.REQUESTED, *ANSWERS):
        if event.kind is EventKind.REQUESTED:
            requested[event.request_id] = event.at
        else:
            answers[event.request_id].append(event.kind.value)
    breaches = [f"{ident}: {' and '.join(kinds)}" for ident, kinds in answers.items() if len(kinds) > 1]
    return breaches + [
        f"{ident}: no answer" for ident, at in requested.items() if ident not in answers and at < until
    ]


def every_request_answered(trace: Trace) -> list[str]:
    """Check that no opening ended without an answer."""
    return [f"{event.request_id}: {event.detail or 'lost'}" for event in trace.of(EventKind.LOST)]


def no_overlapping_attempts(trace: Trace, slack: float = ORDER_TOLERANCE_MS) -> list[str]:
    """Check that no two attempts of one request overlap for more than `slack` ms.

    An attempt lasts as long as its server sees it. Attempts whose link had a fault meanwhile are skipped: a
    cancellation cannot pass such a link.
    """
    faults = _faults(trace)

    def is_hidden(attempt: TraceEvent, until: float) -> bool:
        """Whether the link of an attempt had a fault between its start and `until`."""
        spans = faults[f"{attempt.balancer}>{attempt.server}"]
        return any(
            attempt.at < ended_at + LINK_RECOVERY_MS and started_at < until for started_at, ended_at in spans
        )

    open_attempts: dict[str, dict[str, TraceEvent]] = defaultdict(dict)
    breaches = []
    for event in trace.of(EventKind.ATTEMPT, EventKind.ATTEMPT_END):
        attempts = open_attempts[event.request_id]
        if event.kind is EventKind.ATTEMPT:
            attempts[event.detail] = event
            continue
        ended = attempts.pop(event.detail, event)
        if is_hidden(ended, event.at):
            continue
        breaches += [
            f"{event.request_id}: two attempts for {overlap_ms:.0f} ms, one at {event.server}"
            for other in attempts.values()
            if (overlap_ms := event.at - max(ended.at, other.at)) > slack and not is_hidden(other, event.at)
        ]
    return breaches


# From the start of a link's fault until its balancer has noticed that the watch is broken: a call waits 5 s,
# and a watch without an answer counts as broken 2 s later.
BROKEN_WATCH_DETECTION_MS = 7_000.0


def draining_servers_spared(trace: Trace, grace: float = 3_000.0) -> list[str]:
    """Check that no attempt reaches a server more than `grace` ms after it was listed as draining or gone.

    Where the trace names balancers, each is judged by the lists written to it. A list written while the
    balancer's link to discovery had a fault counts from the end of the fault, and from
    BROKEN_WATCH_DETECTION_MS after its start at the latest.
    """
    faults = _faults(trace)

    def received_at(balancer: str, at: float) -> float:
        delayed = [
            min(ended_at, started_at + BROKEN_WATCH_DETECTION_MS)
            for started_at, ended_at in faults[f"{balancer}>discovery"]
            if started_at <= at < ended_at
        ]
        return max([at, *delayed])

    listed_at: dict[tuple[str, str], float] = {}
    breaches = []
    for event in trace.of(EventKind.LISTED, EventKind.ATTEMPT):
        if event.kind is EventKind.LISTED:
            if event.detail == "active":
                listed_at.pop((event.server, event.balancer), None)
            else:
                listed_at.setdefault((event.server, event.balancer), received_at(event.balancer, event.at))
        elif (late_ms := event.at - listed_at.get((event.server, event.balancer), event.at)) > grace:
            breaches.append(f"{event.request_id}: to {event.server} {late_ms:.0f} ms after it was listed")
    return breaches


@dataclass(frozen=True, slots=True)
class _ColdWindow:
    """The openings that a cold server received in the window that ends with the latest of them."""

    server: str
    openings: int
    informed: int  # openings from balancers to which the server's start was listed
    share: float  # fraction of its capacity that the server has at the end of the window


def _cold_windows(trace: Trace, cold_from: float, warm_ms: float, window: float) -> Iterator[_ColdWindow]:
    """Yield, at each opening of a cold server, its openings of the last `window` ms.

    A cold start is a STATE event with detail `cold`.
    """
    cold_since: dict[str, float] = {}
    listed_starts: dict[str, float] = {}  # the start of each server that was listed last, to any balancer
    starts_before: dict[str, float] = {}  # the same, from before its cold start
    informed: dict[str, set[str]] = defaultdict(set)  # balancers to which the cold start was listed
    openings: dict[str, list[tuple[float, bool]]] = defaultdict(list)
    for event in trace.of(EventKind.STATE, EventKind.LISTED, EventKind.ATTEMPT):
        server = event.server
        if event.kind is EventKind.STATE:
            if event.detail == "cold":
                cold_since[server] = event.at
                starts_before[server] = listed_starts.get(server, 0.0)
                openings[server].clear()
                informed[server].clear()
            continue
        if event.kind is EventKind.LISTED:
            listed_starts[server] = event.ms
            if server in cold_since and event.ms != starts_before[server]:
                informed[server].add(event.balancer)
            continue
        started_at = cold_since.get(server)
        if started_at is None or event.at > started_at + warm_ms:
            continue
        recent = openings[server]
        recent.append((event.at, event.balancer in informed[server]))
        while recent[0][0] < event.at - window:
            recent.pop(0)
        share = cold_from + (1.0 - cold_from) * (event.at - started_at) / warm_ms
        yield _ColdWindow(server, len(recent), sum(is_informed for _, is_informed in recent), share)


def cold_servers_not_flooded(
    trace: Trace,
    capacity: dict[str, float],
    cold_from: float,
    warm_ms: float,
    multiple: float = 3.0,
    window: float = 1_000.0,
) -> list[str]:
    """Check that a cold server gets at most `multiple` times its current capacity in each `window` ms.

    `capacity` is in openings per second of the warm server. A start is a STATE event with detail `cold`. One
    opening over the budget is allowed for chance.
    """
    breaches = []
    for cold in _cold_windows(trace, cold_from, warm_ms, window):
        budget = multiple * cold.share * capacity.get(cold.server, float("inf")) * window / 1_000.0
        if cold.openings > budget + 1.0:
            breaches.append(
                f"{cold.server}: {cold.openings} openings in {window:.0f} ms, budget {budget:.1f}"
            )
    return breaches


def slow_start_kept(
    trace: Trace,
    warm_capacity: Mapping[str, float],
    cold_from: float = 0.13,
    warm_ms: float = 23_000.0,
    multiple: float = 3.0,
    window: float = 1_000.0,
) -> list[str]:
    """Check that no cold server gets more than N + c sqrt(N) + c openings in a window.

    N is what the settings allow at that time: `multiple` times the rate that fills the current share of
    `warm_capacity` (connections) over the warm-up. The tolerance c is 3, or 2 from N = 30 on. It is a breach
    only if more than INFORMED_FRACTION of the openings came from balancers to which the start was listed. A
    start is a STATE event with detail `cold`.
    """
    breaches = []
    for cold in _cold_windows(trace, cold_from, warm_ms, window):
        allowed = multiple * cold.share * warm_capacity[cold.server] * window / warm_ms
        chance = 3.0 if allowed < 30.0 else 2.0
        flooded = cold.openings > allowed + chance * allowed**0.5 + chance
        if flooded and cold.informed > INFORMED_FRACTION * cold.openings:
            breaches.append(
                f"{cold.server}: {cold.openings} openings in {window:.0f} ms, {allowed:.1f} allowed"
            )
    return breaches


INFORMED_FRACTION = 2 / 3  # of a cold server's openings, from balancers to which its start was listed
WRITE_DELAY_MS = 200.0  # that a balancer may take between reading its clock and writing an attempt


def effects_not_repeated(trace: Trace, kinds: Mapping[str, tuple[str, float]]) -> list[str]:
    """Check that no effect is doubled, and that no request is refused that may have had its effect.

    `kinds` maps each class to its effect, as settings name it, and its window in ms. A request that may have
    run is never repeated with `at_most_once`, and otherwise only within the window from its first run, in
    which servers discard repeats.
    """
    class_of_request: dict[str, str] = {}
    first_run_at: dict[str, float] = {}
    breaches = []
    for event in trace.of(EventKind.REQUESTED, EventKind.EXECUTED, EventKind.BUSY):
        if event.kind is EventKind.REQUESTED:
            class_of_request[event.request_id] = event.cls
            continue
        effect, window = kinds[class_of_request[event.request_id]]
        ran_at = first_run_at.get(event.request_id)
        if event.kind is EventKind.EXECUTED:
            first_run_at.setdefault(event.request_id, event.at)
        if ran_at is None or effect == "idempotent":
            continue
        if event.kind is EventKind.BUSY and effect == "at_most_once":
            breaches.append(f"{event.request_id}: refused though it may have run")
        elif event.kind is EventKind.EXECUTED and (
            effect == "at_most_once" or event.at > ran_at + window + WRITE_DELAY_MS
        ):
            breaches.append(
                f"{event.request_id}: again {event.at - ran_at:.0f} ms after it may have run, {effect}"
            )
    return breaches


def moves_announced(trace: Trace) -> list[str]:
    """Check that no established connection was cut, other than by a server that recorded its reset."""
    broken: set[tuple[str, str]] = set()
    breaches = []
    for event in trace.of(EventKind.BROKEN, EventKind.CUT_OFF):
        if event.kind is EventKind.BROKEN:
            broken.add((event.request_id, event.server))
        elif (event.request_id, event.server) not in broken:
            breaches.append(f"{event.request_id}: cut without MOVE, {event.server} had not broken it")
    return breaches
