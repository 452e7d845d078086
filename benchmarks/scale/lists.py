"""Series of the list service's stand-in by its watches: what it spends, and when a change is told."""

from __future__ import annotations

import time
from collections.abc import Iterator, Sequence
from contextlib import ExitStack, contextmanager

import numpy as np

from benchmarks.scale.processes import Helper, cpu_seconds, helper
from benchmarks.scale.samples import NotHeld, Sample
from benchmarks.scale.sizes import Sizes

A_PROCESS = 250  # watches that share a process
LOOK = 0.02  # seconds between looks at a count
RESET_SERVERS = 20  # entries of the list whose watches are reset
_US = 1e6


@contextmanager
def watched(address: str, number: int, kind: str, seed: int) -> Iterator[list[Helper]]:
    """So many watches in processes of their own."""
    with ExitStack() as stack:
        made = []
        for first in range(0, number, A_PROCESS):
            count = min(A_PROCESS, number - first)
            made.append(stack.enter_context(helper("watchers", address, count, kind, seed * 100 + first)))
        yield made


def wait_listed(watchers: Sequence[Helper], number: int, most: float) -> None:
    """Until every watch has a list; raises NotHeld."""
    end = time.monotonic() + most
    while (listed := sum(one.ask("listed") for one in watchers)) < number:
        if time.monotonic() > end:
            raise NotHeld(f"{listed} of {number} watches had a list after {most:g} s")
        time.sleep(10 * LOOK)


def told(lists: Helper, watchers: Sequence[Helper], number: int, most: float) -> list[float]:
    """Seconds from a change until each watch had it; raises NotHeld."""
    change = lists.ask("change")
    end = time.monotonic() + most
    while True:
        time.sleep(10 * LOOK)
        moments = [moment for one in watchers for moment in one.ask("told", change["version"])]
        if len(moments) == number:
            return [max(0.0, moment - change["at"]) for moment in moments]
        if time.monotonic() > end:
            raise NotHeld(f"a change had reached {len(moments)} of {number} watches after {most:g} s")


def watches(sizes: Sizes, number: int, service_ms: float, seed: int) -> Iterator[Sample]:
    """Calls, bytes and processor time at rest, then one change."""
    inputs: dict[str, float] = {"watchers": number, "service_ms": service_ms, "servers": sizes.at_servers}
    with (
        helper("list_service", sizes.at_servers, 0, service_ms, seed) as lists,
        watched(lists.ready, number, "scripted", seed) as watchers,
    ):
        wait_listed(watchers, number, sizes.told_most_s)
        time.sleep(sizes.settle_s)
        cpu, was, began = cpu_seconds(lists.pid), lists.ask("figures"), time.monotonic()
        time.sleep(sizes.window_s)
        spent, now = cpu_seconds(lists.pid) - cpu, lists.ask("figures")
        seconds, calls = time.monotonic() - began, now["calls"] - was["calls"]
        yield Sample("list.core_pct", "%", inputs, 100.0 * spent / seconds)
        yield Sample("list.calls_per_s", "1/s", inputs, calls / seconds)
        yield Sample("list.bytes_per_s", "B/s", inputs, (now["bytes"] - was["bytes"]) / seconds)
        if calls:
            yield Sample("list.call_us", "us", inputs, spent / calls * _US)
        cpu = cpu_seconds(lists.pid)
        times = told(lists, watchers, number, sizes.told_most_s)
        change_us = (cpu_seconds(lists.pid) - cpu) / number * _US
        yield Sample("list.told_p50", "s", inputs, float(np.percentile(times, 50)))
        yield Sample("list.told_p99", "s", inputs, float(np.percentile(times, 99)))
        yield Sample("list.told_last", "s", inputs, max(times))
        yield Sample("list.change_us", "us", inputs, change_us)


def resets(sizes: Sizes, number: int, service_ms: float, seed: int) -> Iterator[Sample]:
    """All watches of the program's own list client are reset at once: until all are open again."""
    with (
        helper("list_service", RESET_SERVERS, 0, service_ms, seed) as lists,
        watched(lists.ready, number, "program", seed) as watchers,
    ):
        wait_listed(watchers, number, sizes.told_most_s)
        time.sleep(sizes.settle_s)
        began = time.monotonic()
        lists.ask("break")
        while (back := lists.ask("open")) < number:
            if time.monotonic() > began + sizes.told_most_s:
                raise NotHeld(f"{back} of {number} watches were open {sizes.told_most_s:g} s after a reset")
            time.sleep(LOOK)
        inputs: dict[str, float] = {
            "watchers": number,
            "service_ms": service_ms,
            "servers": RESET_SERVERS,
        }
        yield Sample("failure.reset_all_last", "s", inputs, time.monotonic() - began)
