"""Processor time and memory of the decision module alone, in simulated time and one process.

Memory is the size of the allocations that tracemalloc records, so that slopes are bytes per server and bytes
per connection.
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
    """Return all inputs of a placement, without `groups` if each connection has its own group."""
    inputs: dict[str, float] = {"servers": sizes.at_servers, "standing": 0, "balancers": sizes.at_balancers}
    if groups:
        inputs["groups"] = groups
    return {**inputs, **varied}


def _percentiles(times: list[float], inputs: dict[str, float], series: str = "module.place") -> list[Sample]:
    """Return the median and the 99th percentile of placement times."""
    return [
        Sample(series, "us", inputs, median(times) * _US),
        Sample(f"{series}_p99", "us", inputs, float(np.percentile(times, 99)) * _US),
    ]


def over_servers(sizes: Sizes, seed: int) -> Iterator[Sample]:
    """Measure full lists, list changes and placements by the number of servers."""
    for servers in sizes.servers:
        driver = Driver(servers, sizes.at_balancers, sizes.groups, seed)
        inputs: dict[str, float] = {"servers": servers}
        yield Sample("module.whole_list", "ms", inputs, driver.send_full_list() * _MS)
        driver.time_placements(sizes.groups)  # the first placement of a group sorts the list
        yield from _percentiles(
            driver.time_placements(sizes.placements), _inputs(sizes, sizes.groups, servers=servers)
        )
        changes, after = [], []
        for _ in range(sizes.changes):
            changes.append(driver.send_change())
            after += driver.time_placements(1)
        yield Sample("module.one_change", "ms", inputs, median(changes) * _MS)
        yield Sample("module.place_after_change", "us", inputs, median(after) * _US)


def over_connections(sizes: Sizes, seed: int) -> Iterator[Sample]:
    """Measure placements by the number of own connections, which share groups and were placed one by one."""
    driver = Driver(sizes.at_servers, sizes.at_balancers, sizes.groups, seed)
    driver.send_full_list()
    for connections in sizes.connections:
        while len(driver.connections) < connections:
            driver.place()
        yield from _percentiles(
            driver.time_placements(sizes.placements), _inputs(sizes, sizes.groups, standing=connections)
        )


def over_own_groups(sizes: Sizes, seed: int) -> Iterator[Sample]:
    """Measure placements by the number of inherited connections, each with its own group."""
    driver = Driver(sizes.at_servers, sizes.at_balancers, 0, seed)
    driver.send_full_list()
    for connections in sizes.connections:
        while len(driver.connections) < connections:
            driver.inherit()
        times = driver.time_placements(sizes.placements)
        yield from _percentiles(times, _inputs(sizes, 0, standing=connections), "module.place_own_groups")


def over_balancers(sizes: Sizes, seed: int) -> Iterator[Sample]:
    """Measure placements by the configured number of balancers."""
    for balancers in sizes.balancers:
        driver = Driver(sizes.at_servers, balancers, sizes.groups, seed)
        driver.send_full_list()
        driver.time_placements(sizes.groups)
        times = driver.time_placements(sizes.placements)
        yield from _percentiles(times, _inputs(sizes, sizes.groups, balancers=balancers))


def over_timers(sizes: Sizes, seed: int) -> Iterator[Sample]:
    """Measure a wake-up that runs one timer and schedules another, by the number of pending timers."""
    for pending in sizes.timers:
        rng, timers, now = random.Random(seed), Timers(), 0.0
        for _ in range(pending):
            timers.call_at(1e9 * (1.0 + rng.random()), int)
        started_at = time.process_time()
        for _ in range(sizes.wake_ups):
            now += 1.0
            timers.call_at(now, int)
            timers.next_wakeup(now)
            timers.run_due(now)
            timers.next_wakeup(now)
        seconds = time.process_time() - started_at
        yield Sample("module.timers", "us", {"timers": pending}, seconds / sizes.wake_ups * _US)


def _traced_bytes() -> int:
    gc.collect()
    return tracemalloc.get_traced_memory()[0]


def list_bytes(sizes: Sizes, seed: int) -> Iterator[Sample]:
    """Measure the memory of the module by the number of servers, without the list passed to it."""
    for servers in sizes.servers:
        tracemalloc.start()
        driver = Driver(1, sizes.at_balancers, sizes.groups, seed)
        before = _traced_bytes()
        entries = [Server(f"s-{seed}-{n:06}", f"z{n % 26}", state=ServerState.LIVE) for n in range(servers)]
        driver.handle(ServerList(ListKind.REPLACE, entries))
        del entries
        yield Sample("module.list_bytes", "B", {"servers": servers}, _traced_bytes() - before)
        tracemalloc.stop()


def connection_bytes(sizes: Sizes, seed: int) -> Iterator[Sample]:
    """Measure the memory of the module by own connections, with their ids and without the server list."""
    driver = Driver(sizes.at_servers, sizes.at_balancers, sizes.groups, seed)
    driver.send_full_list()
    tracemalloc.start()
    before = _traced_bytes()
    for connections in sizes.connections:
        while len(driver.connections) < connections:
            driver.inherit()
        inputs: dict[str, float] = {"servers": sizes.at_servers, "standing": connections}
        driver_bytes = sys.getsizeof(driver.connections)  # not part of the module
        yield Sample("module.standing_bytes", "B", inputs, _traced_bytes() - before - driver_bytes)
    tracemalloc.stop()
