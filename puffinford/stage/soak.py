"""Soak: many short stories drawn from seeds, and the rules that each has to keep. Nothing is played here.

A seed draws the size of the fleet, the classes with their effects, deadlines and windows, faults of servers
and discovery, and when balancers are told to end: by signals in series, with the kill as early as allowed.
"""

from __future__ import annotations

import random
from typing import Any

from puffinford.stage.script import Script, read_script
from puffinford.standins import checks
from puffinford.standins.trace import CROWD_ARRIVES as CROWD_FAULT
from puffinford.standins.trace import FAULT_OVER, KILLED, EventKind, Trace, TraceEvent

SECONDS = 9.0  # of a story
BALANCERS = 30  # at most
PER_BALANCER = 6.0  # openings a second, and no fewer than ...
RATE_LEAST = 30.0  # ... so many in all, ...
RATE_MOST = 60.0  # ... and no more
BURST = 2.0  # times the rate in stories with a burst
CROWDED_SOCKETS = (256, 768)  # descriptors of a balancer that a crowd comes to: at least, at most
CROWD_ARRIVES = 1.5  # idle clients that come at once, for each of these
EACH_SOCKETS = 6  # of these for each client that stands: clients hold a third, each with its server's
EFFECTS = ("idempotent", "at_most_once", "deduplicated")
LATE_MOST = 100.0  # ms; with a loop later than this, clients that ran out of time say nothing
GRACE = 3_000.0  # ms after which nothing new goes to a server that drains, as the settings tell it
CARRIES = 40.0  # connections that a server is told to carry
SERVER_FAULTS = ("silent", "resetting", "failing", "busy", "slow", "crash", "dropping")
LIST_FAULTS = ("unavailable", "hung", "late", "reset", "absent")


def draw(seed: int, most: int = BALANCERS) -> Script:
    """The story of a seed, with `most` balancers at most."""
    rng = random.Random(f"soak/{seed}")
    balancers = rng.choice([number for number in (1, 2, 3, 5, 8, 13, 20, 30) if number <= max(1, most)])
    servers = rng.randint(3, 8)
    rate = min(RATE_MOST, max(RATE_LEAST, PER_BALANCER * balancers)) * rng.choice([1.0, 1.0, BURST])
    told: dict[str, Any] = {
        "seed": seed,
        "seconds": SECONDS,
        "balancers": balancers,
        "rate": rate,
        "notice": 0.3,
        "patience": 500,
        "rests": rng.choice([0.0, 0.1, 0.3]),
        "quota": servers * CARRIES / 2.0,
        "classes": {f"class-{n}": _class(rng) for n in range(rng.randint(1, 3))},
        "servers": {"gw": {"count": servers, "capacity": 400}},
        "discovery": {"lag": rng.choice([0, 200, 900])},
        "events": [*_ends(rng, balancers), *_server_events(rng, servers), *_list_events(rng)],
    }
    _draw_held(random.Random(f"soak/{seed}/held"), told)
    return read_script(told)


def _draw_held(rng: random.Random, told: dict[str, Any]) -> None:
    """Draw clients that hold connections until a balancer ends, and a crowd at those that do.

    Drawn apart from all else, so that the stories of older seeds stay as they were otherwise.
    """
    told["holding"] = rng.choice([1, 2])
    told["channels"] = rng.random() < 0.5
    crowded = rng.random() < 0.4
    least, most = CROWDED_SOCKETS
    sockets = max(least, round(EACH_SOCKETS * _standing(told)))
    if crowded and sockets <= most:
        end = next(event for event in told["events"] if event["do"] == "end")
        at = max(0.0, end["at"] - rng.uniform(0.0, 1.0))
        told["sockets"] = sockets
        do = f"crowd {round(CROWD_ARRIVES * sockets)}"
        crowd = {"at": at, "balancers": "n*", "part": 0.3, "do": do, "for": rng.uniform(1.0, 4.0)}
        told["events"].append(crowd)


def _standing(told: dict[str, Any]) -> float:
    """Clients that stand at a balancer while half of the others, or the other one, are being restarted."""
    lives = [min(cls["life"] / 1_000.0, SECONDS) for cls in told["classes"].values()]
    serving = max(1.0, told["balancers"] / 2.0)
    return float(told["rate"] * sum(lives) / len(lives) / serving)


def _class(rng: random.Random) -> dict[str, Any]:
    return {
        "give_up": rng.choice([400, 800, 2_000, 3_000, 4_500]),
        "life": rng.choice([800, 3_000, 20_000]),
        "every": 800,
        "effect": rng.choice(EFFECTS),
        "window": rng.choice([300, 1_000, 5_000]),
        "groups": rng.choice([5, 50, 5_000]),
    }


def _ends(rng: random.Random, balancers: int) -> list[dict[str, Any]]:
    """A part of the balancers end in series, the others are reloaded; of one, it alone."""
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


def breaches(trace: Trace, script: Script, late: float = 0.0) -> list[str]:
    """Every rule that the play of a drawn story broke, each with the request or server that shows it.

    `late` is by how many ms the stand-ins' own loop was late at most: what they saw may be later by as much.
    """
    settled = trace.serving_ended_at - max(kind.give_up for kind in script.kinds) - script.patience
    servers = {ident: CARRIES for ident in script.servers}
    facts = [entry for entry in trace.of(EventKind.STATE) if entry.detail == "cold"]
    return [
        *checks.one_final_answer(trace, settled),
        *checks.no_overlapping_attempts(trace, checks.ORDER_TOLERANCE_MS + 2.0 * late),
        *checks.draining_servers_spared(trace, GRACE + late),
        *lost(trace, script, late),
        *checks.moves_announced(trace),
        *checks.effects_not_repeated(
            trace, {kind.name: (kind.effect, kind.window + late) for kind in script.kinds}
        ),
        *(checks.slow_start_kept(trace, servers) if facts else []),
    ]


def lost(trace: Trace, script: Script, late: float) -> list[str]:
    """Requests that a balancer had and that ended without an answer.

    No balancer had those that came while none was there, or that none accepted any more. Where the clients
    were late themselves (LATE_MOST), those that ran out of time say nothing. New connections may be shut
    unread where idle clients fill a balancer's descriptors.
    """
    least = {kind.name: kind.give_up for kind in script.kinds}
    asked = {entry.request_id: entry for entry in trace.of(EventKind.REQUESTED)}
    crowded = _crowded(trace)

    def excused(entry: TraceEvent) -> bool:
        request = asked[entry.request_id]
        if not request.balancer or entry.detail == "REFUSED":
            return True
        if not entry.detail:
            return late >= LATE_MOST and entry.ms >= least[entry.cls]
        return not request.detail and any(
            since <= request.at and entry.at <= until for since, until in crowded.get(request.balancer, ())
        )

    return [
        _told(trace, entry, asked[entry.request_id])
        for entry in trace.of(EventKind.LOST)
        if not excused(entry)
    ]


def _told(trace: Trace, lost: TraceEvent, request: TraceEvent) -> str:
    """What became of a lost request, on what connection, and when its balancer was killed, if it was."""
    how = lost.detail or "out of time"
    told = f"{lost.request_id}: lost after {lost.ms:.0f} ms, {how}, by {request.balancer}"
    told += f" on a {request.detail or 'new'} connection"
    kills = [
        entry.at
        for entry in trace.of(EventKind.FAULT)
        if entry.balancer == request.balancer and entry.detail == KILLED
    ]
    return told + "".join(f", written {at - request.at:.1f} ms before the kill" for at in kills)


def _crowded(trace: Trace) -> dict[str, list[tuple[float, float]]]:
    """From when until when idle clients came to each balancer, in ms."""
    spans: dict[str, list[tuple[float, float]]] = {}
    for entry in trace.of(EventKind.FAULT):
        if entry.detail.split(" ")[0] == CROWD_FAULT:
            spans.setdefault(entry.balancer, []).append((entry.at, float("inf")))
        elif entry.detail == FAULT_OVER and entry.balancer in spans:
            since, until = spans[entry.balancer][-1]
            spans[entry.balancer][-1] = (since, min(until, entry.at))
    return spans
