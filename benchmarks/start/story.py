"""The story that is measured: ten listed servers, half of them dead, one draining, discovery absent."""

from __future__ import annotations

import json
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

import anyio

from puffinford.core.state_path import state_path
from puffinford.stage.play import Play
from puffinford.stage.report import rules
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
from puffinford.state.store import copy_to

KINDS = [
    ClientClass("price-lookup", 52.0, 2_000.0, 500.0, 8_000.0),
    ClientClass("basket-sync", 32.0, 1_800.0, 300.0, 8_000.0),
    ClientClass("till-status", 16.0, 3_000.0, 500.0, 16_000.0, worth=2.0),
]
REFUSING = ("gw-01", "gw-04", "gw-07")
SILENT = ("gw-02", "gw-08")
DRAINING = "gw-05"
WANTED = 500.0  # ms within which a job is to be up
SETTLE = 3_000.0  # openings of the last moments may still wait


@dataclass
class Result:
    """What one run came to."""

    asked: int = 0
    up: int = 0
    in_time: int = 0
    refused: int = 0
    first_ms: float = float("nan")  # from the start of serving to the first UP
    p50: float = float("nan")
    p99: float = float("nan")
    to_draining: int = 0
    dead_paid_twice: int = 0  # jobs with claims at two dead servers or more
    broken: list[str] = field(default_factory=list)

    @property
    def share(self) -> float:
        """Of the openings, those up in time."""
        return self.in_time / max(1, self.asked)


def read(trace: Trace) -> Result:
    """The figures of a trace; a job is one opening, whether it is a client's first or a later one."""
    made = Result()
    until = trace.elapsed - SETTLE
    asked = {entry.request_id for entry in trace.of(EventKind.REQUESTED) if entry.at <= until}
    ups = sorted(entry.ms for entry in trace.of(EventKind.UP) if entry.request_id in asked)
    made.asked, made.up = len(asked), len(ups)
    made.in_time = sum(ms <= WANTED for ms in ups)
    made.refused = sum(entry.request_id in asked for entry in trace.of(EventKind.BUSY))
    firsts = [entry.at for entry in trace.of(EventKind.UP)]
    arrivals = [entry.at for entry in trace.of(EventKind.REQUESTED)]
    if firsts:
        # The first opening may come late by chance: what counts is what the balancer adds.
        made.first_ms = min(firsts) - min(arrivals)
    if ups:
        made.p50, made.p99 = ups[len(ups) // 2], ups[min(len(ups) - 1, int(len(ups) * 0.99))]
    dead: dict[str, set[str]] = {}
    for entry in trace.of(EventKind.ATTEMPT):
        made.to_draining += entry.server == DRAINING
        if entry.server in SILENT:
            dead.setdefault(entry.request_id, set()).add(entry.server)
    made.dead_paid_twice = sum(len(servers) > 1 for servers in dead.values())
    made.broken = rules(trace, until)
    answered = {entry.request_id for entry in trace.of(*ANSWERS)}
    made.broken += [f"{job}: no answer" for job in asked - answered]
    return made


def script(seconds: float, seed: int, directory: Path | None) -> Script:
    """The play; `directory` is where the store is, None for a tree that knows none."""
    servers = {f"gw-{n:02}": ServerProfile(set_up=5.0, capacity=400) for n in range(10)}
    operators = f'section state\n directory "{directory}"\n' if directory is not None else ""
    return Script(seed=seed, seconds=seconds, rate=20.0, kinds=KINDS, servers=servers, operators=operators)


def prepare_servers(play: Play) -> None:
    """Half of them dead, one draining."""
    for ident in REFUSING:
        play.servers[ident].set_state("refusing")
    for ident in SILENT:
        play.servers[ident].set_state("silent")
    play.servers[DRAINING].set_state("draining")


def entries(play: Play) -> list[dict[str, object]]:
    """The list as discovery told it before it went away."""
    return [
        {"id": ident, "addr": server.address, "state": "leaving" if ident == DRAINING else "active"}
        for ident, server in play.servers.items()
    ]


def write_store(play: Play, directory: Path, old_ms: float) -> None:
    """A store as a balancer left it so long ago."""
    confirmed = time.time() * 1_000.0 - old_ms
    pairs = [(LIST_KEY, encode(LIST_KEY, ListRecord(41, len(play.servers)), confirmed))]
    for entry in entries(play):
        host, _, port = str(entry["addr"]).rpartition(":")
        ident = str(entry["id"])
        record = ServerRecord(ident, host, int(port), "lines", str(entry["state"]), 41)
        pairs.append((server_key(ident), encode(server_key(ident), record, confirmed)))
    directory.mkdir(parents=True, exist_ok=True)
    path = state_path(str(directory), "n1")
    assert path is not None
    copy_to(pairs, path.with_name(path.name + ".state"), 4 << 20)


def run(seconds: float, seed: int, old_ms: float, work: Path, root: Path | None = None) -> Result:
    """One run. With `root`, the program of that tree, which has the list in its configuration alone."""
    store = work / "store" if root is None else None
    play = Play(script(seconds, seed, store), work, root)

    def prepare(play: Play) -> None:
        prepare_servers(play)
        if store is not None:
            write_store(play, store, old_ms)
            return
        balancer: BalancerProcess = play.balancers[0]
        config = work / f"{balancer.name}.json"
        told = json.loads(config.read_text())
        told["known"] = {"version": 41, "full": True, "servers": entries(play)}
        config.write_text(json.dumps(told))

    async def story() -> Trace:
        return await play.run(prepare=prepare, discovery="absent")

    return read(anyio.run(story))


def median_run(results: Sequence[Result]) -> Result:
    """The run whose share is the middle one."""
    return sorted(results, key=lambda result: result.share)[len(results) // 2]
