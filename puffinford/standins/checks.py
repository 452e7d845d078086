"""Checkers of the rules: each reads a trace and names every breach. An empty list is a kept rule."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from puffinford.standins.trace import ANSWERS, EventKind, Trace, TraceEvent

AFTER = 1_000.0  # ms that what was held on a link takes to be through
ORDER_TOLERANCE_MS = (
    50.0  # ms: the end of one connection and the opening of another may be seen in either order
)


def _faults(trace: Trace) -> dict[str, list[tuple[float, float]]]:
    """From when until when each link, by its name, was not sound."""
    found: dict[str, list[tuple[float, float]]] = defaultdict(list)
    began: dict[str, float] = {}
    for entry in trace.of(EventKind.FAULT):
        if entry.balancer in began:
            found[entry.balancer].append((began.pop(entry.balancer), entry.at))
        if entry.detail != "sound":
            began[entry.balancer] = entry.at
    for name, since in began.items():
        found[name].append((since, float("inf")))
    return found


def one_final_answer(trace: Trace, until: float = float("inf")) -> list[str]:
    """Each opening has one answer, and one alone; openings of the last moments, after `until` ms, may have
    none.
    """
    answers: dict[str, list[str]] = defaultdict(list)
    asked = {}
    for entry in trace.of(EventKind.REQUESTED, *ANSWERS):
        if entry.kind is EventKind.REQUESTED:
            asked[entry.request_id] = entry.at
        else:
            answers[entry.request_id].append(entry.kind.value)
    wrong = [f"{job}: {' and '.join(many)}" for job, many in answers.items() if len(many) > 1]
    return wrong + [f"{job}: no answer" for job, at in asked.items() if job not in answers and at < until]


def every_request_answered(trace: Trace) -> list[str]:
    """No opening ended without an answer."""
    return [f"{entry.request_id}: {entry.detail or 'lost'}" for entry in trace.of(EventKind.LOST)]


def no_overlapping_attempts(trace: Trace, slack: float = ORDER_TOLERANCE_MS) -> list[str]:
    """No two claims of one job are out for longer than `slack` ms together.

    A claim is out for as long as its server sees it. Passed over are those whose link failed meanwhile: that
    it was given up cannot be seen behind a link that passes nothing on.
    """
    faults = _faults(trace)

    def hidden(claim: TraceEvent, until: float) -> bool:
        """Whether the link of a claim failed between its beginning and then."""
        spans = faults[f"{claim.balancer}>{claim.server}"]
        return any(claim.at < end + AFTER and since < until for since, end in spans)

    out: dict[str, dict[str, TraceEvent]] = defaultdict(dict)
    wrong = []
    for entry in trace.of(EventKind.ATTEMPT, EventKind.ATTEMPT_END):
        claims = out[entry.request_id]
        if entry.kind is EventKind.ATTEMPT:
            claims[entry.detail] = entry
            continue
        ended = claims.pop(entry.detail, entry)
        if hidden(ended, entry.at):
            continue
        wrong += [
            f"{entry.request_id}: two claims for {together:.0f} ms, one at {entry.server}"
            for other in claims.values()
            if (together := entry.at - max(ended.at, other.at)) > slack and not hidden(other, entry.at)
        ]
    return wrong


MISSED = 7_000.0  # ms after a watch fell silent at which what it misses counts as told


def draining_servers_spared(trace: Trace, grace: float = 3_000.0) -> list[str]:
    """Nothing new comes to a server later than `grace` ms after discovery told that it drains or is gone.

    Where the trace names balancers, each is held to what it was told itself; what was written while its link
    to discovery failed counts as told when that was sound again, MISSED after the fault began at the latest:
    a call waits for 5 s, and 2 s later a watch without an answer counts as broken.
    """
    faults = _faults(trace)

    def heard(by: str, at: float) -> float:
        late = [min(end, began + MISSED) for began, end in faults[f"{by}>discovery"] if began <= at < end]
        return max([at, *late])

    told: dict[tuple[str, str], float] = {}
    wrong = []
    for entry in trace.of(EventKind.LISTED, EventKind.ATTEMPT):
        if entry.kind is EventKind.LISTED:
            if entry.detail == "active":
                told.pop((entry.server, entry.balancer), None)
            else:
                told.setdefault((entry.server, entry.balancer), heard(entry.balancer, entry.at))
        elif (late := entry.at - told.get((entry.server, entry.balancer), entry.at)) > grace:
            wrong.append(f"{entry.request_id}: to {entry.server} {late:.0f} ms after it was told")
    return wrong


@dataclass(frozen=True, slots=True)
class _ColdWindow:
    """The openings that a cold server got in the last window, as one came."""

    server: str
    openings: int
    told: int  # of these, from balancers that had been told of the start
    share: float  # of its capacity that it has then


def _cold_windows(trace: Trace, cold_from: float, warm_ms: float, window: float) -> Iterator[_ColdWindow]:
    """Each opening at a cold server with those of the `window` ms before; a start is a STATE `cold`."""
    cold: dict[str, float] = {}
    starts: dict[str, float] = {}  # of each server, the start that was told last, by anyone
    before: dict[str, float] = {}  # and that of before its cold start
    told: dict[str, set[str]] = defaultdict(set)  # who knows of that
    claims: dict[str, list[tuple[float, bool]]] = defaultdict(list)
    for entry in trace.of(EventKind.STATE, EventKind.LISTED, EventKind.ATTEMPT):
        server = entry.server
        if entry.kind is EventKind.STATE:
            if entry.detail == "cold":
                cold[server] = entry.at
                before[server] = starts.get(server, 0.0)
                claims[server].clear()
                told[server].clear()
            continue
        if entry.kind is EventKind.LISTED:
            starts[server] = entry.ms
            if server in cold and entry.ms != before[server]:
                told[server].add(entry.balancer)
            continue
        since = cold.get(server)
        if since is None or entry.at > since + warm_ms:
            continue
        times = claims[server]
        times.append((entry.at, entry.balancer in told[server]))
        while times[0][0] < entry.at - window:
            times.pop(0)
        share = cold_from + (1.0 - cold_from) * (entry.at - since) / warm_ms
        yield _ColdWindow(server, len(times), sum(knew for _, knew in times), share)


def cold_servers_not_flooded(
    trace: Trace,
    capacity: dict[str, float],
    cold_from: float,
    warm_ms: float,
    multiple: float = 3.0,
    window: float = 1_000.0,
) -> list[str]:
    """No window of `window` ms brings a cold server more openings than `multiple` times what it can take
    then.

    `capacity` is in openings a second of the warm server; a start is a STATE entry with detail `cold`. One
    opening more than the budget is chance.
    """
    wrong = []
    for seen in _cold_windows(trace, cold_from, warm_ms, window):
        budget = multiple * seen.share * capacity.get(seen.server, float("inf")) * window / 1_000.0
        if seen.openings > budget + 1.0:
            wrong.append(f"{seen.server}: {seen.openings} openings in {window:.0f} ms, budget {budget:.1f}")
    return wrong


def slow_start_kept(
    trace: Trace,
    carries: Mapping[str, float],
    cold_from: float = 0.13,
    warm_ms: float = 23_000.0,
    multiple: float = 3.0,
    window: float = 1_000.0,
) -> list[str]:
    """No cold server gets more than N + 3 x root of N + 3 openings in a window (2, from N = 30 on).

    It is a breach where over two thirds of them came from balancers that had been told of the start. N is
    what the settings allow it then: `multiple` times what fills it, of `carries` connections, over its
    warm-up. A start is a STATE entry with detail `cold`.
    """
    wrong = []
    for seen in _cold_windows(trace, cold_from, warm_ms, window):
        allowed = multiple * seen.share * carries[seen.server] * window / warm_ms
        chance = 3.0 if allowed < 30.0 else 2.0
        flooded = seen.openings > allowed + chance * allowed**0.5 + chance
        if flooded and seen.told > TOLD_PART * seen.openings:
            wrong.append(f"{seen.server}: {seen.openings} openings in {window:.0f} ms, {allowed:.1f} allowed")
    return wrong


TOLD_PART = 2 / 3  # of the openings at a server that falls, from balancers that knew that it was cold
HELD_UP = 200.0  # ms that a balancer may be held up between reading its clock and writing, and 50 of slack


def effects_not_repeated(trace: Trace, kinds: Mapping[str, tuple[str, float]]) -> list[str]:
    """No effect is doubled, and none that there may have been is denied by a refusal.

    `kinds` are the classes' effects, as settings name them, and windows in ms. What may have run is repeated
    never where it runs at most once, and within the window of the first where servers discard repeats.
    """
    classes: dict[str, str] = {}
    first: dict[str, float] = {}
    wrong = []
    for entry in trace.of(EventKind.REQUESTED, EventKind.EXECUTED, EventKind.BUSY):
        if entry.kind is EventKind.REQUESTED:
            classes[entry.request_id] = entry.cls
            continue
        effect, window = kinds[classes[entry.request_id]]
        since = first.get(entry.request_id)
        if entry.kind is EventKind.EXECUTED:
            first.setdefault(entry.request_id, entry.at)
        if since is None or effect == "idempotent":
            continue
        if entry.kind is EventKind.BUSY and effect == "at_most_once":
            wrong.append(f"{entry.request_id}: refused though it may have run")
        elif entry.kind is EventKind.EXECUTED and (
            effect == "at_most_once" or entry.at > since + window + HELD_UP
        ):
            wrong.append(
                f"{entry.request_id}: again {entry.at - since:.0f} ms after it may have run, {effect}"
            )
    return wrong


def moves_announced(trace: Trace) -> list[str]:
    """No standing connection was cut but by its server, which says so of each that it resets."""
    broken: set[tuple[str, str]] = set()
    wrong = []
    for entry in trace.of(EventKind.BROKEN, EventKind.CUT_OFF):
        if entry.kind is EventKind.BROKEN:
            broken.add((entry.request_id, entry.server))
        elif (entry.request_id, entry.server) not in broken:
            wrong.append(f"{entry.request_id}: cut without MOVE, {entry.server} had not broken it")
    return wrong
