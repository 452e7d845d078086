"""Series of a real process that holds connections: at rest, and while lines go from servers to clients."""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager

import anyio

from benchmarks.scale.control import balancer, start
from benchmarks.scale.processes import Helper, cpu_seconds, helper, resident_mib
from benchmarks.scale.samples import NotHeld, Sample
from benchmarks.scale.sizes import Sizes
from puffinford.standins.balancer import BalancerProcess

SPARE = 400  # descriptors beside those of the connections
LEAST_PASSED = 0.95  # of the lines told; with fewer the rate was not held
_KIB = 1_024.0
_US = 1e6


@contextmanager
def held(sizes: Sizes, standing: int, seed: int) -> Iterator[tuple[BalancerProcess, Helper]]:
    """A running process before servers and clients of a helper, with descriptors for so many connections."""
    with (
        helper("peers", sizes.rest_servers) as peers,
        helper("list_service", sizes.rest_servers, 0, 0, seed, *peers.ready) as lists,
        balancer(lists.ready, seed, 2 * standing + SPARE) as process,
    ):
        anyio.run(start, process)
        time.sleep(sizes.settle_s)
        yield process, peers


def stand(process: BalancerProcess, peers: Helper, standing: int) -> None:
    """Have so many connections stand; raises NotHeld with how far it got."""
    reached = peers.ask("stand", process.port, standing)
    if reached["standing"] != standing:
        raise NotHeld(
            f"{reached['standing']} of {standing} connections stand, {reached['failed']} tries failed"
        )


def rest(sizes: Sizes, seed: int) -> Iterator[Sample]:
    """What a process spends on connections that only stand, and what setting each up took."""
    with held(sizes, sizes.rest_standing[-1], seed) as (process, peers):
        before = 0
        for standing in sizes.rest_standing:
            inputs: dict[str, float] = {"standing": standing, "servers": sizes.rest_servers}
            cpu, memory = cpu_seconds(process.pid), resident_mib(process.pid)
            stand(process, peers, standing)
            made = standing - before
            if made:
                spent, grown = cpu_seconds(process.pid) - cpu, resident_mib(process.pid) - memory
                yield Sample("data.connection_us", "us", inputs, spent / made * _US)
                yield Sample("data.connection_kib", "KiB", inputs, grown / made * _KIB)
            before = standing
            time.sleep(sizes.settle_s)
            cpu, began = cpu_seconds(process.pid), time.monotonic()
            time.sleep(sizes.window_s)
            share = (cpu_seconds(process.pid) - cpu) / (time.monotonic() - began)
            yield Sample("control.standing_core_pct", "%", inputs, 100.0 * share)
            yield Sample("control.standing_resident_mib", "MiB", inputs, resident_mib(process.pid))
            if peers.ask("count") != standing:
                raise NotHeld(f"{peers.ask('count')} of {standing} connections stood to the end")


def lines(sizes: Sizes, seed: int) -> Iterator[Sample]:
    """What passing lines on takes, by lines a second; the process's rest is in it, and is the intercept of
    `data.core_pct`."""
    with held(sizes, sizes.line_standing, seed) as (process, peers):
        stand(process, peers, sizes.line_standing)
        time.sleep(sizes.settle_s)
        for rate in sizes.rates:
            inputs: dict[str, float] = {"lines_per_s": rate, "standing": sizes.line_standing}
            cpu = cpu_seconds(process.pid)
            passed = peers.ask("lines", rate, sizes.window_s)
            spent = cpu_seconds(process.pid) - cpu
            if passed["lines"] < LEAST_PASSED * rate * sizes.window_s:
                told = passed["lines"] / passed["seconds"]
                raise NotHeld(f"{told:.0f} of {rate} lines a second were passed on")
            yield Sample("data.line_us", "us", inputs, spent / passed["lines"] * _US)
            yield Sample("data.core_pct", "%", inputs, 100.0 * spent / passed["seconds"])
