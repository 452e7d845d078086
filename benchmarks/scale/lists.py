"""Resource use of the list service by number of watches, and the propagation time of a change."""

from __future__ import annotations

import time
from collections.abc import Iterator, Sequence
from contextlib import ExitStack, contextmanager

import numpy as np

from benchmarks.scale.processes import HelperProcess, cpu_seconds, helper_process
from benchmarks.scale.samples import Sample, SizeNotReached
from benchmarks.scale.sizes import Sizes

WATCHES_PER_PROCESS = 250
POLL_INTERVAL_S = 0.02
RESET_SERVERS = 20  # length of the server list in `measure_resets`
_US = 1e6


@contextmanager
def running_watchers(address: str, number: int, kind: str, seed: int) -> Iterator[list[HelperProcess]]:
    """Yield helper processes that run `number` watches in total."""
    with ExitStack() as stack:
        running = []
        for first in range(0, number, WATCHES_PER_PROCESS):
            count = min(WATCHES_PER_PROCESS, number - first)
            running.append(
                stack.enter_context(helper_process("watchers", address, count, kind, seed * 100 + first))
            )
        yield running


def wait_listed(watchers: Sequence[HelperProcess], number: int, timeout_s: float) -> None:
    """Wait until every watch has a list; raises SizeNotReached after `timeout_s`."""
    end = time.monotonic() + timeout_s
    while (listed := sum(watcher.send_command("listed") for watcher in watchers)) < number:
        if time.monotonic() > end:
            raise SizeNotReached(f"{listed} of {number} watches had a list after {timeout_s:g} s")
        time.sleep(10 * POLL_INTERVAL_S)


def propagation_times(
    list_service: HelperProcess, watchers: Sequence[HelperProcess], number: int, timeout_s: float
) -> list[float]:
    """Return the seconds from a change until each watch received it; raises SizeNotReached."""
    change = list_service.send_command("change")
    end = time.monotonic() + timeout_s
    while True:
        time.sleep(10 * POLL_INTERVAL_S)
        moments = [
            moment for watcher in watchers for moment in watcher.send_command("told", change["version"])
        ]
        if len(moments) == number:
            return [max(0.0, moment - change["at"]) for moment in moments]
        if time.monotonic() > end:
            raise SizeNotReached(
                f"a change had reached {len(moments)} of {number} watches after {timeout_s:g} s"
            )


def measure_watches(sizes: Sizes, number: int, service_ms: float, seed: int) -> Iterator[Sample]:
    """Measure calls, bytes and processor time of idle watches, and then the propagation of one change."""
    inputs: dict[str, float] = {"watchers": number, "service_ms": service_ms, "servers": sizes.at_servers}
    with (
        helper_process("list_service", sizes.at_servers, 0, service_ms, seed) as list_service,
        running_watchers(list_service.ready, number, "scripted", seed) as watchers,
    ):
        wait_listed(watchers, number, sizes.propagation_timeout_s)
        time.sleep(sizes.settle_s)
        cpu, before, started_at = (
            cpu_seconds(list_service.pid),
            list_service.send_command("figures"),
            time.monotonic(),
        )
        time.sleep(sizes.window_s)
        spent, after = cpu_seconds(list_service.pid) - cpu, list_service.send_command("figures")
        seconds, calls = time.monotonic() - started_at, after["calls"] - before["calls"]
        yield Sample("list.core_pct", "%", inputs, 100.0 * spent / seconds)
        yield Sample("list.calls_per_s", "1/s", inputs, calls / seconds)
        yield Sample("list.bytes_per_s", "B/s", inputs, (after["bytes"] - before["bytes"]) / seconds)
        if calls:
            yield Sample("list.call_us", "us", inputs, spent / calls * _US)
        cpu = cpu_seconds(list_service.pid)
        times = propagation_times(list_service, watchers, number, sizes.propagation_timeout_s)
        change_us = (cpu_seconds(list_service.pid) - cpu) / number * _US
        yield Sample("list.told_p50", "s", inputs, float(np.percentile(times, 50)))
        yield Sample("list.told_p99", "s", inputs, float(np.percentile(times, 99)))
        yield Sample("list.told_last", "s", inputs, max(times))
        yield Sample("list.change_us", "us", inputs, change_us)


def measure_resets(sizes: Sizes, number: int, service_ms: float, seed: int) -> Iterator[Sample]:
    """Reset all watches of the program's list client at once and measure the time until all are open."""
    with (
        helper_process("list_service", RESET_SERVERS, 0, service_ms, seed) as list_service,
        running_watchers(list_service.ready, number, "program", seed) as watchers,
    ):
        wait_listed(watchers, number, sizes.propagation_timeout_s)
        time.sleep(sizes.settle_s)
        started_at = time.monotonic()
        list_service.send_command("break")
        while (open_watches := list_service.send_command("open")) < number:
            if time.monotonic() > started_at + sizes.propagation_timeout_s:
                raise SizeNotReached(
                    f"{open_watches} of {number} watches open {sizes.propagation_timeout_s:g} s after a reset"
                )
            time.sleep(POLL_INTERVAL_S)
        inputs: dict[str, float] = {
            "watchers": number,
            "service_ms": service_ms,
            "servers": RESET_SERVERS,
        }
        yield Sample("failure.reset_all_last", "s", inputs, time.monotonic() - started_at)
