"""Series of the decision module alone: settable time, one process, processor time of that process.

Memory is what tracemalloc counts as held by the module, all of it, so that slopes are bytes a server and
bytes a connection.
"""

from __future__ import annotations

import gc
import random
import sys
import time
import tracemalloc
from collections.abc import Iterator
from statistics import median

import numpy as np

from benchmarks.scale.driver import Driver
from benchmarks.scale.samples import Sample
from benchmarks.scale.sizes import Sizes
from puffinford.interface import ListKind, Server, ServerList, ServerState
from puffinford.timers import Timers

_MS = 1e3
_US = 1e6


def _inputs(sizes: Sizes, groups: int, **varied: float) -> dict[str, float]:
    """All inputs of a placing. Groups of its own for each connection are no number, and are left out."""
    told: dict[str, float] = {"servers": sizes.at_servers, "standing": 0, "balancers": sizes.at_balancers}
    if groups:
        told["groups"] = groups
    return {**told, **varied}


def _placed(times: list[float], inputs: dict[str, float], series: str = "module.place") -> list[Sample]:
    """The median of placings, and what 99 in 100 of them stay within."""
    return [
        Sample(series, "us", inputs, median(times) * _US),
        Sample(f"{series}_p99", "us", inputs, float(np.percentile(times, 99)) * _US),
    ]


def over_servers(sizes: Sizes, seed: int) -> Iterator[Sample]:
    """The list, its changes and placings, by the number of servers."""
    for servers in sizes.servers:
        driver = Driver(servers, sizes.at_balancers, sizes.groups, seed)
        inputs: dict[str, float] = {"servers": servers}
        yield Sample("module.whole_list", "ms", inputs, driver.tell_whole() * _MS)
        driver.placings(sizes.groups)  # the first of a group sorts the list for it
        yield from _placed(driver.placings(sizes.placings), _inputs(sizes, sizes.groups, servers=servers))
        changes, after = [], []
        for _ in range(sizes.changes):
            changes.append(driver.tell_change())
            after += driver.placings(1)
        yield Sample("module.one_change", "ms", inputs, median(changes) * _MS)
        yield Sample("module.place_after_change", "us", inputs, median(after) * _US)


def over_standing(sizes: Sizes, seed: int) -> Iterator[Sample]:
    """Placings by own standing connections, which share groups and were placed one by one."""
    driver = Driver(sizes.at_servers, sizes.at_balancers, sizes.groups, seed)
    driver.tell_whole()
    for standing in sizes.standing:
        while len(driver.standing) < standing:
            driver.place()
        yield from _placed(driver.placings(sizes.placings), _inputs(sizes, sizes.groups, standing=standing))


def over_own_groups(sizes: Sizes, seed: int) -> Iterator[Sample]:
    """The same with a group for each connection, which was inherited at a server drawn at random."""
    driver = Driver(sizes.at_servers, sizes.at_balancers, 0, seed)
    driver.tell_whole()
    for standing in sizes.standing:
        while len(driver.standing) < standing:
            driver.inherit()
        times = driver.placings(sizes.placings)
        yield from _placed(times, _inputs(sizes, 0, standing=standing), "module.place_own_groups")


def over_balancers(sizes: Sizes, seed: int) -> Iterator[Sample]:
    """Placings by the number of balancers that the settings tell."""
    for balancers in sizes.balancers:
        driver = Driver(sizes.at_servers, balancers, sizes.groups, seed)
        driver.tell_whole()
        driver.placings(sizes.groups)
        times = driver.placings(sizes.placings)
        yield from _placed(times, _inputs(sizes, sizes.groups, balancers=balancers))


def over_timers(sizes: Sizes, seed: int) -> Iterator[Sample]:
    """A wake-up that runs one call, asks for another and for the next wake-up, with many others pending."""
    for pending in sizes.timers:
        rng, timers, now = random.Random(seed), Timers(), 0.0
        for _ in range(pending):
            timers.call_at(1e9 * (1.0 + rng.random()), int)
        began = time.process_time()
        for _ in range(sizes.wake_ups):
            now += 1.0
            timers.call_at(now, int)
            timers.next_wakeup(now)
            timers.run_due(now)
            timers.next_wakeup(now)
        seconds = time.process_time() - began
        yield Sample("module.timers", "us", {"timers": pending}, seconds / sizes.wake_ups * _US)


def _held() -> int:
    gc.collect()
    return tracemalloc.get_traced_memory()[0]


def list_bytes(sizes: Sizes, seed: int) -> Iterator[Sample]:
    """Memory of the module by the number of servers, the list that told them let go."""
    for servers in sizes.servers:
        tracemalloc.start()
        driver = Driver(1, sizes.at_balancers, sizes.groups, seed)
        before = _held()
        told = [Server(f"s-{seed}-{n:06}", f"z{n % 26}", state=ServerState.LIVE) for n in range(servers)]
        driver.handle(ServerList(ListKind.REPLACE, told))
        del told
        yield Sample("module.list_bytes", "B", {"servers": servers}, _held() - before)
        tracemalloc.stop()


def standing_bytes(sizes: Sizes, seed: int) -> Iterator[Sample]:
    """Memory of the module by own standing connections, their ids among it; beside the list's."""
    driver = Driver(sizes.at_servers, sizes.at_balancers, sizes.groups, seed)
    driver.tell_whole()
    tracemalloc.start()
    before = _held()
    for standing in sizes.standing:
        while len(driver.standing) < standing:
            driver.inherit()
        inputs: dict[str, float] = {"servers": sizes.at_servers, "standing": standing}
        book = sys.getsizeof(driver.standing)  # the driver's own, and not the module's
        yield Sample("module.standing_bytes", "B", inputs, _held() - before - book)
    tracemalloc.stop()
