"""Soak tests: random short scripts generated from seeds, and the rules that their plays have to keep.

A seed determines the size of the fleet, the classes with their effects, deadlines and windows, faults of
servers and discovery, and planned restarts of balancers. Nothing is started here.
"""

from __future__ import annotations

import random
from typing import Any

from puffinford.stage.script import Script, read_script
from puffinford.standins import checks
from puffinford.standins.trace import CROWD_ARRIVES as CROWD_FAULT
from puffinford.standins.trace import FAULT_OVER, KILLED, EventKind, Trace, TraceEvent

DURATION_S = 9.0  # of each script
MAX_BALANCERS = 30
REQUESTS_PER_BALANCER_PER_S = 6.0
MIN_REQUESTS_PER_S = 30.0
MAX_REQUESTS_PER_S = 60.0
BURST_FACTOR = 2.0  # of the rate, in scripts with a burst
CROWDED_DESCRIPTORS = (256, 768)  # lowest and highest limit of a balancer that gets a crowd of idle clients
CROWD_PER_DESCRIPTOR = 1.5  # idle clients that connect at once
DESCRIPTORS_PER_CLIENT = 6  # of the limit; a third of it is for clients and their connections to servers
EFFECTS = ("idempotent", "at_most_once", "deduplicated")
MAX_LATENESS_MS = 100.0  # of the event loop; from here on, requests that time out are not violations
DRAIN_GRACE_MS = 3_000.0  # after which no new connection goes to a draining server, as configured
WARM_CAPACITY = 40.0  # connections, as configured for each server
SERVER_FAULTS = ("silent", "resetting", "failing", "busy", "slow", "crash", "dropping")
LIST_FAULTS = ("unavailable", "hung", "late", "reset", "absent")


def generate_script(seed: int, max_balancers: int = MAX_BALANCERS) -> Script:
    """Generate the script of a seed, with up to `max_balancers` balancers."""
    rng = random.Random(f"soak/{seed}")
    balancers = rng.choice(
        [number for number in (1, 2, 3, 5, 8, 13, 20, 30) if number <= max(1, max_balancers)]
    )
    servers = rng.randint(3, 8)
    rate = min(
        MAX_REQUESTS_PER_S, max(MIN_REQUESTS_PER_S, REQUESTS_PER_BALANCER_PER_S * balancers)
    ) * rng.choice([1.0, 1.0, BURST_FACTOR])
    entries: dict[str, Any] = {
        "seed": seed,
        "seconds": DURATION_S,
        "balancers": balancers,
        "rate": rate,
        "notice": 0.3,
        "patience": 500,
        "rests": rng.choice([0.0, 0.1, 0.3]),
        "quota": servers * WARM_CAPACITY / 2.0,
        "classes": {f"class-{n}": _random_class(rng) for n in range(rng.randint(1, 3))},
        "servers": {"gw": {"count": servers, "capacity": 400}},
        "discovery": {"lag": rng.choice([0, 200, 900])},
        "events": [*_process_events(rng, balancers), *_server_events(rng, servers), *_list_events(rng)],
    }
    _add_held_connections(random.Random(f"soak/{seed}/held"), entries)
    return read_script(entries)


def _add_held_connections(rng: random.Random, entries: dict[str, Any]) -> None:
    """Add clients that hold connections until a balancer shuts down, and perhaps a crowd of idle clients.

    These have a random generator of their own, so that the rest of a seed's script does not depend on them.
    """
    entries["holding"] = rng.choice([1, 2])
    entries["channels"] = rng.random() < 0.5
    crowded = rng.random() < 0.4
    lowest, highest = CROWDED_DESCRIPTORS
    sockets = max(lowest, round(DESCRIPTORS_PER_CLIENT * _mean_clients(entries)))
    if crowded and sockets <= highest:
        end = next(event for event in entries["events"] if event["do"] == "end")
        at = max(0.0, end["at"] - rng.uniform(0.0, 1.0))
        entries["sockets"] = sockets
        do = f"crowd {round(CROWD_PER_DESCRIPTOR * sockets)}"
        crowd = {"at": at, "balancers": "n*", "part": 0.3, "do": do, "for": rng.uniform(1.0, 4.0)}
        entries["events"].append(crowd)


def _mean_clients(entries: dict[str, Any]) -> float:
    """Estimate the open clients of a balancer while half of the balancers are being restarted."""
    lives = [min(cls["life"] / 1_000.0, DURATION_S) for cls in entries["classes"].values()]
    serving = max(1.0, entries["balancers"] / 2.0)
    return float(entries["rate"] * sum(lives) / len(lives) / serving)


def _random_class(rng: random.Random) -> dict[str, Any]:
    return {
        "give_up": rng.choice([400, 800, 2_000, 3_000, 4_500]),
        "life": rng.choice([800, 3_000, 20_000]),
        "every": 800,
        "effect": rng.choice(EFFECTS),
        "window": rng.choice([300, 1_000, 5_000]),
        "groups": rng.choice([5, 50, 5_000]),
    }


def _process_events(rng: random.Random, balancers: int) -> list[dict[str, Any]]:
    """Restart some of the balancers as planned, and reload some."""
    part = 1.0 if balancers == 1 else rng.choice([0.2, 0.5])
    return [
        {
            "at": rng.uniform(1.5, 3.5),
            "balancers": "n*",
            "part": part,
            "do": "end",
            "over": rng.choice([0, 1]),
        },
        {"at": rng.uniform(1.0, 6.0), "balancers": "n*", "part": rng.uniform(0.1, 1.0), "do": "reload"},
    ]


def _server_events(rng: random.Random, servers: int) -> list[dict[str, Any]]:
    names = rng.sample([f"gw-{n}" for n in range(1, servers + 1)], 3)
    fault = rng.choice(SERVER_FAULTS)
    at = rng.uniform(1.0, 4.0)
    back = "start cold" if fault == "crash" else "sound"
    return [
        {"at": at, "server": names[0], "do": fault},
        {"at": at + rng.uniform(1.0, 3.0), "server": names[0], "do": back},
        {"at": rng.uniform(1.0, 3.0), "server": names[1], "do": rng.choice(["leaving", "draining"])},
    ]


def _list_events(rng: random.Random) -> list[dict[str, Any]]:
    if rng.random() < 0.4:
        return []
    at = rng.uniform(0.5, 3.0)
    return [
        {"at": at, "discovery": rng.choice(LIST_FAULTS)},
        {"at": at + rng.uniform(0.5, 3.0), "discovery": "sound"},
    ]


def find_violations(trace: Trace, script: Script, lateness_ms: float = 0.0) -> list[str]:
    """Return all violations of the rules in a trace, each with the request or server concerned.

    `lateness_ms` is how far the event loop of the play was behind: times in the trace may be late by as much.
    """
    settled_at = trace.serving_ended_at - max(kind.give_up for kind in script.kinds) - script.patience
    capacity = {ident: WARM_CAPACITY for ident in script.servers}
    cold_starts = [entry for entry in trace.of(EventKind.STATE) if entry.detail == "cold"]
    return [
        *checks.one_final_answer(trace, settled_at),
        *checks.no_overlapping_attempts(trace, checks.ORDER_TOLERANCE_MS + 2.0 * lateness_ms),
        *checks.draining_servers_spared(trace, DRAIN_GRACE_MS + lateness_ms),
        *unanswered_requests(trace, script, lateness_ms),
        *checks.moves_announced(trace),
        *checks.effects_not_repeated(
            trace, {kind.name: (kind.effect, kind.window + lateness_ms) for kind in script.kinds}
        ),
        *(checks.slow_start_kept(trace, capacity) if cold_starts else []),
    ]


def unanswered_requests(trace: Trace, script: Script, lateness_ms: float) -> list[str]:
    """Return the requests that a balancer accepted and did not answer.

    Not counted are requests that no balancer accepted, requests that timed out while the event loop of the
    play was behind by MAX_LATENESS_MS or more, and new connections that were closed unread while idle clients
    filled the descriptors of the balancer.
    """
    deadlines = {kind.name: kind.give_up for kind in script.kinds}
    requests = {entry.request_id: entry for entry in trace.of(EventKind.REQUESTED)}
    crowded = _crowd_times(trace)

    def excused(entry: TraceEvent) -> bool:
        request = requests[entry.request_id]
        if not request.balancer or entry.detail == "REFUSED":
            return True
        if not entry.detail:
            return lateness_ms >= MAX_LATENESS_MS and entry.ms >= deadlines[entry.cls]
        return not request.detail and any(
            start <= request.at and entry.at <= end for start, end in crowded.get(request.balancer, ())
        )

    return [
        _describe(trace, entry, requests[entry.request_id])
        for entry in trace.of(EventKind.LOST)
        if not excused(entry)
    ]


def _describe(trace: Trace, lost: TraceEvent, request: TraceEvent) -> str:
    """Describe a lost request: its connection, and when its balancer was killed, if it was."""
    reason = lost.detail or "out of time"
    text = f"{lost.request_id}: lost after {lost.ms:.0f} ms, {reason}, by {request.balancer}"
    text += f" on a {request.detail or 'new'} connection"
    killed_at = [
        entry.at
        for entry in trace.of(EventKind.FAULT)
        if entry.balancer == request.balancer and entry.detail == KILLED
    ]
    return text + "".join(f", written {at - request.at:.1f} ms before the kill" for at in killed_at)


def _crowd_times(trace: Trace) -> dict[str, list[tuple[float, float]]]:
    """Return the times (start and end in ms) in which each balancer had a crowd of idle clients."""
    spans: dict[str, list[tuple[float, float]]] = {}
    for entry in trace.of(EventKind.FAULT):
        if entry.detail.split(" ")[0] == CROWD_FAULT:
            spans.setdefault(entry.balancer, []).append((entry.at, float("inf")))
        elif entry.detail == FAULT_OVER and entry.balancer in spans:
            start, end = spans[entry.balancer][-1]
            spans[entry.balancer][-1] = (start, min(end, entry.at))
    return spans
