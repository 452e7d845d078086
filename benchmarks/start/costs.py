"""Cost of the store: restoring, list changes, memory and commits."""

from __future__ import annotations

import gc
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from random import Random

import anyio

from puffinford.core.clock import Clock
from puffinford.core.exchange import Exchange
from puffinford.core.values import ServerEntries, ServerEntry
from puffinford.interface import ListKind, RequestClass, Server, ServerState, Settings
from puffinford.operators.schema import StateSettings
from puffinford.state.keeper import StateKeeper
from puffinford.state.recovery import ListValidator


def server_entries(count: int) -> list[ServerEntry]:
    """Return `count` entries of a server list."""
    return [
        ServerEntry(Server(f"s-{n:08x}", "a", "rapido", n % 8), f"127.0.{n // 250 % 250}.{n % 250}", 8081)
        for n in range(count)
    ]


def _exchange(clock: Clock) -> Exchange:
    return Exchange(Settings([RequestClass("price-lookup", 2_000.0)]), 1, clock, {})


def restore(count: int, durable: bool) -> float:
    """Return the ms from opening a store of `count` servers until the decision module has them."""
    with tempfile.TemporaryDirectory() as directory:
        place = (Path(directory) / "state", durable)
        clock = Clock()
        settings = StateSettings(size=64 << 20)
        state_keeper = StateKeeper(settings, place, clock, list, lambda _: None)
        state_keeper.record_list(ServerEntries(1, True, server_entries(count)))
        state_keeper._commit_blocking()
        assert state_keeper._store is not None
        state_keeper._store.close()
        exchange = _exchange(clock)
        gc.collect()
        started_at = time.perf_counter()
        state_keeper = StateKeeper(settings, place, clock, exchange.health, exchange.learn)
        start = state_keeper.start(None)
        exchange._apply_list(start.restored.entries, ListKind.RESTORED)
        elapsed = (time.perf_counter() - started_at) * 1_000.0
        assert len(start.restored.entries.entries) == count and state_keeper._store is not None
        state_keeper._store.close()
        return elapsed


def changes(count: int, changes_per_s: float, seconds: float) -> tuple[float, float]:
    """Return the fraction of a core that list changes use in the store, and in store and module together."""
    with tempfile.TemporaryDirectory() as directory:
        clock, rng = Clock(), Random(3)
        exchange = _exchange(clock)
        state_keeper = StateKeeper(
            StateSettings(), (Path(directory) / "state", False), clock, exchange.health, exchange.learn
        )
        listed_entries = server_entries(count)
        validator = ListValidator()
        spent = {"store": 0.0, "all": 0.0}

        def apply_list(entries: ServerEntries) -> None:
            started_at = time.thread_time()
            validated = validator.validate(entries)
            assert validated.entries is not None
            exchange.take_list(validated.entries)
            applied_at = time.thread_time()
            state_keeper.record_list(validated.entries)
            end = time.thread_time()
            spent["store"] += end - applied_at
            spent["all"] += end - started_at

        async def story() -> None:
            started_at, cpu = time.monotonic(), 0.0
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(state_keeper.run)
                apply_list(ServerEntries(1, True, listed_entries))
                await anyio.sleep(1.0)
                spent.update(store=0.0, all=0.0)
                started_at, cpu = time.monotonic(), time.process_time()
                version = 1
                while time.monotonic() - started_at < seconds:
                    version += 1
                    entry = rng.choice(listed_entries)
                    state = rng.choice((ServerState.LIVE, ServerState.DRAINING))
                    server = Server(
                        entry.server.id, entry.server.zone, entry.server.kind, entry.server.cell, state
                    )
                    apply_list(ServerEntries(version, False, [ServerEntry(server, entry.host, entry.port)]))
                    await anyio.sleep(1.0 / changes_per_s)
                cpu = time.process_time() - cpu
                elapsed = time.monotonic() - started_at
                # The time spent neither in the module nor on lists is spent writing.
                spent["store"] = (cpu - (spent["all"] - spent["store"])) / elapsed
                spent["all"] = cpu / elapsed
                tasks.cancel_scope.cancel()

        anyio.run(story)
        return spent["store"], spent["all"]


def commit(record_count: int, durable: bool, runs: int = 50) -> float:
    """Return the median ms of a commit of `record_count` records."""
    with tempfile.TemporaryDirectory() as directory:
        state_keeper = StateKeeper(
            StateSettings(), (Path(directory) / "state", durable), Clock(), list, lambda _: None
        )
        assert state_keeper._store is not None
        times = []
        for run in range(runs):
            state = ServerState.DRAINING if run % 2 else ServerState.LIVE
            state_keeper.record_list(
                ServerEntries(
                    run,
                    False,
                    [ServerEntry(Server(f"s-{n}", state=state), "127.0.0.1", n) for n in range(record_count)],
                )
            )
            pending, state_keeper._pending = state_keeper._pending, {}
            times.append(state_keeper._store.write(pending))
        state_keeper._store.close()
        return sorted(times)[runs // 2]


def memory(modules: str) -> float:
    """Return the resident memory (MB) that importing `modules` adds to a serving process."""
    code = (
        "import sys, asyncio, anyio, h11, yaml, json, logging\n"
        "import puffinford.core.exchange, puffinford.fronts.lines.server, puffinford.management.http\n"
        "def held(): return int(open('/proc/self/statm').read().split()[1]) * 4096\n"
        "before = held()\n"
        f"import {modules}\n"
        "print((held() - before) / 1e6)"
    )
    return float(subprocess.run([sys.executable, "-c", code], capture_output=True, check=True).stdout)
