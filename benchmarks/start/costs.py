"""What keeping a store costs: a restore, list changes, memory, commits."""

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


def machines(count: int) -> list[ServerEntry]:
    """A fleet of so many."""
    return [
        ServerEntry(Server(f"s-{n:08x}", "a", "rapido", n % 8), f"127.0.{n // 250 % 250}.{n % 250}", 8081)
        for n in range(count)
    ]


def _exchange(clock: Clock) -> Exchange:
    return Exchange(Settings([RequestClass("price-lookup", 2_000.0)]), 1, clock, {})


def restore(count: int, durable: bool) -> float:
    """Ms from an existing store of `count` servers to a module that holds them."""
    with tempfile.TemporaryDirectory() as directory:
        place = (Path(directory) / "state", durable)
        clock = Clock()
        told = StateSettings(size=64 << 20)
        kept = StateKeeper(told, place, clock, list, lambda _: None)
        kept.record_list(ServerEntries(1, True, machines(count)))
        kept._commit_blocking()
        assert kept._store is not None
        kept._store.close()
        exchange = _exchange(clock)
        gc.collect()
        began = time.perf_counter()
        kept = StateKeeper(told, place, clock, exchange.health, exchange.learn)
        start = kept.start(None)
        exchange._apply_list(start.restored.entries, ListKind.RESTORED)
        took = (time.perf_counter() - began) * 1_000.0
        assert len(start.restored.entries.entries) == count and kept._store is not None
        kept._store.close()
        return took


def changes(count: int, a_second: float, seconds: float) -> tuple[float, float]:
    """Part of a core that list changes take: of the store's part, and of all with the module."""
    with tempfile.TemporaryDirectory() as directory:
        clock, rng = Clock(), Random(3)
        exchange = _exchange(clock)
        kept = StateKeeper(
            StateSettings(), (Path(directory) / "state", False), clock, exchange.health, exchange.learn
        )
        fleet = machines(count)
        guard = ListValidator()
        spent = {"store": 0.0, "all": 0.0}

        def take(told: ServerEntries) -> None:
            began = time.thread_time()
            taken = guard.validate(told)
            assert taken.entries is not None
            exchange.take_list(taken.entries)
            middle = time.thread_time()
            kept.record_list(taken.entries)
            end = time.thread_time()
            spent["store"] += end - middle
            spent["all"] += end - began

        async def story() -> None:
            began, cpu = time.monotonic(), 0.0
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(kept.run)
                take(ServerEntries(1, True, fleet))
                await anyio.sleep(1.0)
                spent.update(store=0.0, all=0.0)
                began, cpu = time.monotonic(), time.process_time()
                version = 1
                while time.monotonic() - began < seconds:
                    version += 1
                    one = rng.choice(fleet)
                    state = rng.choice((ServerState.LIVE, ServerState.DRAINING))
                    server = Server(one.server.id, one.server.zone, one.server.kind, one.server.cell, state)
                    take(ServerEntries(version, False, [ServerEntry(server, one.host, one.port)]))
                    await anyio.sleep(1.0 / a_second)
                cpu = time.process_time() - cpu
                took = time.monotonic() - began
                # What is neither the module's nor the lists' is the writing.
                spent["store"] = (cpu - (spent["all"] - spent["store"])) / took
                spent["all"] = cpu / took
                tasks.cancel_scope.cancel()

        anyio.run(story)
        return spent["store"], spent["all"]


def commit(pairs: int, durable: bool, runs: int = 50) -> float:
    """Median ms of a commit of so many records."""
    with tempfile.TemporaryDirectory() as directory:
        kept = StateKeeper(
            StateSettings(), (Path(directory) / "state", durable), Clock(), list, lambda _: None
        )
        assert kept._store is not None
        times = []
        for turn in range(runs):
            state = ServerState.DRAINING if turn % 2 else ServerState.LIVE
            kept.record_list(
                ServerEntries(
                    turn,
                    False,
                    [ServerEntry(Server(f"s-{n}", state=state), "127.0.0.1", n) for n in range(pairs)],
                )
            )
            due, kept._pending = kept._pending, {}
            times.append(kept._store.write(due))
        kept._store.close()
        return sorted(times)[runs // 2]


def memory(modules: str) -> float:
    """MB of resident memory that importing these adds to a process that has the rest of serving."""
    code = (
        "import sys, asyncio, anyio, h11, yaml, json, logging\n"
        "import puffinford.core.exchange, puffinford.fronts.lines.server, puffinford.management.http\n"
        "def held(): return int(open('/proc/self/statm').read().split()[1]) * 4096\n"
        "before = held()\n"
        f"import {modules}\n"
        "print((held() - before) / 1e6)"
    )
    return float(subprocess.run([sys.executable, "-c", code], capture_output=True, check=True).stdout)
