"""Series of a real process with nothing but its control: one list service, no clients; and how it starts.

All sizes of a run go side by side, for each takes little: a process and a list service of its own. They start
one after the other, so that the time of a start is not that of seven.
"""

from __future__ import annotations

import json
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path

import anyio

from benchmarks.scale.processes import Helper, cpu_seconds, helper, resident_mib
from benchmarks.scale.samples import NotHeld, Sample
from benchmarks.scale.sizes import Sizes
from puffinford.standins.balancer import BalancerProcess, platform_settings
from puffinford.standins.clients import ClientClass
from puffinford.standins.listeners import HOST

KIND = ClientClass("chat")
READY_MOST = 60.0  # seconds; a process that is not ready then has not held its size
LOOK = 0.01  # seconds between looks


@contextmanager
def balancer(discovery: str, seed: int, sockets: int = 4_096) -> Iterator[BalancerProcess]:
    """A real process, not started, that may hold so many descriptors; it is ended with the scope."""
    with tempfile.TemporaryDirectory() as directory:
        made = BalancerProcess(f"b{seed}", Path(directory), discovery, platform_settings([KIND]), seed=seed)
        config = Path(directory) / f"{made.name}.json"
        told = json.loads(config.read_text())
        told["limits"]["sockets"] = sockets
        config.write_text(json.dumps(told))
        try:
            yield made
        finally:
            made.stop()


def healthy(process: BalancerProcess) -> bool:
    """Whether it listens and has a list, as its second address says."""
    try:
        with urllib.request.urlopen(
            f"http://{HOST}:{process.management_port}/admin/health", timeout=1.0
        ) as answer:
            return bool(answer.status == 200)
    except (urllib.error.URLError, OSError):
        return False


async def start(process: BalancerProcess) -> float:
    """Start it; seconds until it is ready. Raises NotHeld."""
    began = time.monotonic()
    process.start()
    while not await anyio.to_thread.run_sync(healthy, process):
        if not process.running:
            last = process.log_path.read_text(errors="replace").strip().splitlines()[-1:]
            raise NotHeld(f"{process.name} has ended: {' '.join(last)}")
        if time.monotonic() > began + READY_MOST:
            raise NotHeld(f"{process.name} was not ready within {READY_MOST:g} s")
        await anyio.sleep(LOOK)
    return time.monotonic() - began


async def window(
    process: BalancerProcess, lists: Helper, sizes: Sizes, inputs: dict[str, float]
) -> list[Sample]:
    """What a settled process and its list service spend in a window of wall clock."""
    cpu, was, began = cpu_seconds(process.pid), lists.ask("figures"), time.monotonic()
    await anyio.sleep(sizes.window_s)
    spent, now, seconds = cpu_seconds(process.pid) - cpu, lists.ask("figures"), time.monotonic() - began
    return [
        Sample("control.core_pct", "%", inputs, 100.0 * spent / seconds),
        Sample("control.resident_mib", "MiB", inputs, resident_mib(process.pid)),
        Sample("control.bytes_per_s", "B/s", inputs, (now["bytes"] - was["bytes"]) / seconds),
        Sample("control.calls_per_s", "1/s", inputs, (now["calls"] - was["calls"]) / seconds),
    ]


async def _one(
    sizes: Sizes, servers: int, changes: float, seed: int, turn: anyio.Lock, found: list[Sample]
) -> None:
    inputs = {"servers": float(servers), "changes_per_s": changes}
    with ExitStack() as stack:
        lists = stack.enter_context(helper("list_service", servers, changes, 0, seed))
        async with turn:
            # Its ports are free now; by its turn another process may have taken them.
            process = stack.enter_context(balancer(lists.ready, seed))
            seconds = await start(process)
        if not changes:
            started: dict[str, float] = {"servers": servers}
            found.append(Sample("failure.restart_s", "s", started, seconds))
            found.append(Sample("failure.restart_cpu_s", "s", started, cpu_seconds(process.pid)))
        await anyio.sleep(sizes.settle_s)
        found += await window(process, lists, sizes, inputs)


async def _all(sizes: Sizes, seed: int) -> list[Sample]:
    found: list[Sample] = []
    turn = anyio.Lock()
    plan = [(servers, 0.0) for servers in sizes.control_servers]
    plan += [(sizes.at_servers, changes) for changes in sizes.control_changes]
    async with anyio.create_task_group() as tasks:
        for servers, changes in plan:
            tasks.start_soon(_one, sizes, servers, changes, seed, turn, found)
    return found


def control(sizes: Sizes, seed: int) -> list[Sample]:
    """Processor time, memory, bytes and calls by servers, and by changes a second; and starts by servers."""
    return anyio.run(_all, sizes, seed)
