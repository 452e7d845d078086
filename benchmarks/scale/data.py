"""Resource use of a balancer process with established connections: idle, and while it forwards lines."""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager

import anyio

from benchmarks.scale.control import balancer_process, start_balancer
from benchmarks.scale.processes import HelperProcess, cpu_seconds, helper_process, resident_mib
from benchmarks.scale.samples import Sample, SizeNotReached
from benchmarks.scale.sizes import Sizes
from puffinford.standins.balancer import BalancerProcess

SPARE_DESCRIPTORS = 400  # beyond two for each connection
MIN_FORWARDED_RATIO = 0.95  # of the requested lines
_KIB = 1_024.0
_US = 1e6


@contextmanager
def loaded_balancer(
    sizes: Sizes, connections: int, seed: int
) -> Iterator[tuple[BalancerProcess, HelperProcess]]:
    """Yield a running balancer with enough descriptors for `connections`, and the helper with its peers."""
    with (
        helper_process("peers", sizes.connection_servers) as peers,
        helper_process("list_service", sizes.connection_servers, 0, 0, seed, *peers.ready) as list_service,
        balancer_process(list_service.ready, seed, 2 * connections + SPARE_DESCRIPTORS) as process,
    ):
        anyio.run(start_balancer, process)
        time.sleep(sizes.settle_s)
        yield process, peers


def establish(process: BalancerProcess, peers: HelperProcess, connections: int) -> None:
    """Establish `connections` connections in total; raises SizeNotReached with the number reached."""
    reached = peers.send_command("stand", process.port, connections)
    if reached["standing"] != connections:
        raise SizeNotReached(
            f"{reached['standing']} of {connections} connections open, {reached['failed']} attempts failed"
        )


def idle_connections(sizes: Sizes, seed: int) -> Iterator[Sample]:
    """Measure the cost of idle connections, and of setting up each connection."""
    with loaded_balancer(sizes, sizes.idle_connections[-1], seed) as (process, peers):
        before = 0
        for connections in sizes.idle_connections:
            inputs: dict[str, float] = {"standing": connections, "servers": sizes.connection_servers}
            cpu, memory = cpu_seconds(process.pid), resident_mib(process.pid)
            establish(process, peers, connections)
            added = connections - before
            if added:
                spent, grown = cpu_seconds(process.pid) - cpu, resident_mib(process.pid) - memory
                yield Sample("data.connection_us", "us", inputs, spent / added * _US)
                yield Sample("data.connection_kib", "KiB", inputs, grown / added * _KIB)
            before = connections
            time.sleep(sizes.settle_s)
            cpu, started_at = cpu_seconds(process.pid), time.monotonic()
            time.sleep(sizes.window_s)
            share = (cpu_seconds(process.pid) - cpu) / (time.monotonic() - started_at)
            yield Sample("control.standing_core_pct", "%", inputs, 100.0 * share)
            yield Sample("control.standing_resident_mib", "MiB", inputs, resident_mib(process.pid))
            if peers.send_command("count") != connections:
                raise SizeNotReached(
                    f"{peers.send_command('count')} of {connections} connections remained open"
                )


def forwarded_lines(sizes: Sizes, seed: int) -> Iterator[Sample]:
    """Measure the cost of forwarding lines, by lines per second.

    It includes the idle cost of the process, which is the intercept of `data.core_pct`.
    """
    with loaded_balancer(sizes, sizes.line_connections, seed) as (process, peers):
        establish(process, peers, sizes.line_connections)
        time.sleep(sizes.settle_s)
        for rate in sizes.lines_per_s:
            inputs: dict[str, float] = {"lines_per_s": rate, "standing": sizes.line_connections}
            cpu = cpu_seconds(process.pid)
            forwarded = peers.send_command("lines", rate, sizes.window_s)
            spent = cpu_seconds(process.pid) - cpu
            if forwarded["lines"] < MIN_FORWARDED_RATIO * rate * sizes.window_s:
                lines_per_s = forwarded["lines"] / forwarded["seconds"]
                raise SizeNotReached(f"{lines_per_s:.0f} of {rate} lines per second were forwarded")
            yield Sample("data.line_us", "us", inputs, spent / forwarded["lines"] * _US)
            yield Sample("data.core_pct", "%", inputs, 100.0 * spent / forwarded["seconds"])
