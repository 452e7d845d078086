"""A story without discovery: of ten listed servers, five are unreachable and one is draining."""

from __future__ import annotations

import json
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

import anyio

from puffinford.core.state_path import state_path
from puffinford.stage.play import Play
from puffinford.stage.report import rule_violations
from puffinford.stage.script import Script
from puffinford.standins.balancer import BalancerProcess
from puffinford.standins.clients import ClientClass
from puffinford.standins.servers import ServerProfile
from puffinford.standins.trace import ANSWERS, EventKind, Trace
from puffinford.state.records import (
    LIST_KEY,
    ListRecord,
    ServerRecord,
    encode,
    server_key,
)
from puffinford.state.store import replace_store

CLIENT_CLASSES = [
    ClientClass("price-lookup", 52.0, 2_000.0, 500.0, 8_000.0),
    ClientClass("basket-sync", 32.0, 1_800.0, 300.0, 8_000.0),
    ClientClass("till-status", 16.0, 3_000.0, 500.0, 16_000.0, worth=2.0),
]
REFUSING_SERVERS = ("gw-01", "gw-04", "gw-07")
SILENT_SERVERS = ("gw-02", "gw-08")
DRAINING_SERVER = "gw-05"
TARGET_MS = 500.0  # within which a request should be established
SETTLE_MS = 3_000.0  # requests at the end of a run, which may still be pending, are excluded


@dataclass
class Result:
    """The results of one run."""

    asked: int = 0  # requests
    up: int = 0  # established
    in_time: int = 0  # established within `TARGET_MS`
    refused: int = 0  # answered with BUSY
    first_ms: float = float("nan")  # from the first request to the first UP
    p50: float = float("nan")  # ms from a request to UP
    p99: float = float("nan")
    to_draining: int = 0  # attempts at the draining server
    dead_paid_twice: int = 0  # requests with attempts at two or more silent servers
    broken: list[str] = field(default_factory=list)

    @property
    def share(self) -> float:
        """The fraction of requests that were established in time."""
        return self.in_time / max(1, self.asked)


def read(trace: Trace) -> Result:
    """Compute the results from a trace; every connection request of a client counts."""
    outcome = Result()
    until = trace.elapsed - SETTLE_MS
    asked = {entry.request_id for entry in trace.of(EventKind.REQUESTED) if entry.at <= until}
    ups = sorted(entry.ms for entry in trace.of(EventKind.UP) if entry.request_id in asked)
    outcome.asked, outcome.up = len(asked), len(ups)
    outcome.in_time = sum(ms <= TARGET_MS for ms in ups)
    outcome.refused = sum(entry.request_id in asked for entry in trace.of(EventKind.BUSY))
    firsts = [entry.at for entry in trace.of(EventKind.UP)]
    arrivals = [entry.at for entry in trace.of(EventKind.REQUESTED)]
    if firsts:
        # Starts at the first arrival, whose time is random, to measure only the balancer.
        outcome.first_ms = min(firsts) - min(arrivals)
    if ups:
        outcome.p50, outcome.p99 = ups[len(ups) // 2], ups[min(len(ups) - 1, int(len(ups) * 0.99))]
    silent_attempts: dict[str, set[str]] = {}
    for entry in trace.of(EventKind.ATTEMPT):
        outcome.to_draining += entry.server == DRAINING_SERVER
        if entry.server in SILENT_SERVERS:
            silent_attempts.setdefault(entry.request_id, set()).add(entry.server)
    outcome.dead_paid_twice = sum(len(servers) > 1 for servers in silent_attempts.values())
    outcome.broken = rule_violations(trace, until)
    answered = {entry.request_id for entry in trace.of(*ANSWERS)}
    outcome.broken += [f"{request_id}: no answer" for request_id in asked - answered]
    return outcome


def script(seconds: float, seed: int, directory: Path | None) -> Script:
    """Return the script; `directory` holds the store, None for a source tree without one."""
    servers = {f"gw-{n:02}": ServerProfile(set_up=5.0, capacity=400) for n in range(10)}
    operators = f'section state\n directory "{directory}"\n' if directory is not None else ""
    return Script(
        seed=seed, seconds=seconds, rate=20.0, kinds=CLIENT_CLASSES, servers=servers, operators=operators
    )


def prepare_servers(play: Play) -> None:
    """Make five servers unreachable and one draining."""
    for server_id in REFUSING_SERVERS:
        play.servers[server_id].set_state("refusing")
    for server_id in SILENT_SERVERS:
        play.servers[server_id].set_state("silent")
    play.servers[DRAINING_SERVER].set_state("draining")


def list_entries(play: Play) -> list[dict[str, object]]:
    """Return the server list as discovery last announced it."""
    return [
        {
            "id": server_id,
            "addr": server.address,
            "state": "leaving" if server_id == DRAINING_SERVER else "active",
        }
        for server_id, server in play.servers.items()
    ]


def write_store(play: Play, directory: Path, age_ms: float) -> None:
    """Write a store that a balancer last confirmed `age_ms` ago."""
    confirmed = time.time() * 1_000.0 - age_ms
    pairs = [(LIST_KEY, encode(LIST_KEY, ListRecord(41, len(play.servers)), confirmed))]
    for entry in list_entries(play):
        host, _, port = str(entry["addr"]).rpartition(":")
        server_id = str(entry["id"])
        record = ServerRecord(server_id, host, int(port), "lines", str(entry["state"]), 41)
        pairs.append((server_key(server_id), encode(server_key(server_id), record, confirmed)))
    directory.mkdir(parents=True, exist_ok=True)
    path = state_path(str(directory), "n1")
    assert path is not None
    replace_store(pairs, path.with_name(path.name + ".state"), 4 << 20)


def run(seconds: float, seed: int, age_ms: float, work: Path, root: Path | None = None) -> Result:
    """Play the story once; with `root`, run the program of that tree with the list in its configuration."""
    store = work / "store" if root is None else None
    play = Play(script(seconds, seed, store), work, root)

    def prepare(play: Play) -> None:
        prepare_servers(play)
        if store is not None:
            write_store(play, store, age_ms)
            return
        balancer: BalancerProcess = play.balancers[0]
        config_path = work / f"{balancer.name}.json"
        config = json.loads(config_path.read_text())
        config["known"] = {"version": 41, "full": True, "servers": list_entries(play)}
        config_path.write_text(json.dumps(config))

    async def story() -> Trace:
        return await play.run(prepare=prepare, discovery="absent")

    return read(anyio.run(story))


def median_run(results: Sequence[Result]) -> Result:
    """Return the run with the median share."""
    return sorted(results, key=lambda result: result.share)[len(results) // 2]
