"""Resource use of an idle balancer process, with a list service and no clients, and its start time.

All sizes of a run are measured concurrently, each with its own balancer process and list service. The
processes start one at a time, so that concurrent starts do not lengthen the measured start time.
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

from benchmarks.scale.processes import HelperProcess, cpu_seconds, helper_process, resident_mib
from benchmarks.scale.samples import Sample, SizeNotReached
from benchmarks.scale.sizes import Sizes
from puffinford.standins.balancer import BalancerProcess, platform_settings
from puffinford.standins.clients import ClientClass
from puffinford.standins.listeners import HOST

CLIENT_CLASS = ClientClass("chat")
READY_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.01


@contextmanager
def balancer_process(discovery: str, seed: int, sockets: int = 4_096) -> Iterator[BalancerProcess]:
    """Yield a balancer process, not started, limited to `sockets` descriptors; stop it on exit."""
    with tempfile.TemporaryDirectory() as directory:
        new_process = BalancerProcess(
            f"b{seed}", Path(directory), discovery, platform_settings([CLIENT_CLASS]), seed=seed
        )
        config_path = Path(directory) / f"{new_process.name}.json"
        config = json.loads(config_path.read_text())
        config["limits"]["sockets"] = sockets
        config_path.write_text(json.dumps(config))
        try:
            yield new_process
        finally:
            new_process.stop()


def is_healthy(process: BalancerProcess) -> bool:
    """Whether the process listens and has a server list, according to its management address."""
    try:
        with urllib.request.urlopen(
            f"http://{HOST}:{process.management_port}/admin/health", timeout=1.0
        ) as answer:
            return bool(answer.status == 200)
    except (urllib.error.URLError, OSError):
        return False


async def start_balancer(process: BalancerProcess) -> float:
    """Start a process and return the seconds until it is ready. Raises SizeNotReached."""
    started_at = time.monotonic()
    process.start()
    while not await anyio.to_thread.run_sync(is_healthy, process):
        if not process.running:
            last_line = process.log_path.read_text(errors="replace").strip().splitlines()[-1:]
            raise SizeNotReached(f"{process.name}: process exited: {' '.join(last_line)}")
        if time.monotonic() > started_at + READY_TIMEOUT_S:
            raise SizeNotReached(f"{process.name} was not ready within {READY_TIMEOUT_S:g} s")
        await anyio.sleep(POLL_INTERVAL_S)
    return time.monotonic() - started_at


async def measure_window(
    process: BalancerProcess, list_service: HelperProcess, sizes: Sizes, inputs: dict[str, float]
) -> list[Sample]:
    """Measure a process and its list service over `sizes.window_s` of wall-clock time."""
    cpu, before, started_at = cpu_seconds(process.pid), list_service.send_command("figures"), time.monotonic()
    await anyio.sleep(sizes.window_s)
    spent, after, seconds = (
        cpu_seconds(process.pid) - cpu,
        list_service.send_command("figures"),
        time.monotonic() - started_at,
    )
    return [
        Sample("control.core_pct", "%", inputs, 100.0 * spent / seconds),
        Sample("control.resident_mib", "MiB", inputs, resident_mib(process.pid)),
        Sample("control.bytes_per_s", "B/s", inputs, (after["bytes"] - before["bytes"]) / seconds),
        Sample("control.calls_per_s", "1/s", inputs, (after["calls"] - before["calls"]) / seconds),
    ]


async def _measure_size(
    sizes: Sizes, servers: int, changes: float, seed: int, start_lock: anyio.Lock, collected: list[Sample]
) -> None:
    inputs = {"servers": float(servers), "changes_per_s": changes}
    with ExitStack() as stack:
        list_service = stack.enter_context(helper_process("list_service", servers, changes, 0, seed))
        async with start_lock:
            # Creates the process under the lock, since another process could take a port chosen earlier.
            process = stack.enter_context(balancer_process(list_service.ready, seed))
            seconds = await start_balancer(process)
        if not changes:
            start_inputs: dict[str, float] = {"servers": servers}
            collected.append(Sample("failure.restart_s", "s", start_inputs, seconds))
            collected.append(Sample("failure.restart_cpu_s", "s", start_inputs, cpu_seconds(process.pid)))
        await anyio.sleep(sizes.settle_s)
        collected += await measure_window(process, list_service, sizes, inputs)


async def _measure_all(sizes: Sizes, seed: int) -> list[Sample]:
    collected: list[Sample] = []
    start_lock = anyio.Lock()
    plan = [(servers, 0.0) for servers in sizes.control_servers]
    plan += [(sizes.at_servers, changes) for changes in sizes.control_changes]
    async with anyio.create_task_group() as tasks:
        for servers, changes in plan:
            tasks.start_soon(_measure_size, sizes, servers, changes, seed, start_lock, collected)
    return collected


def measure_idle(sizes: Sizes, seed: int) -> list[Sample]:
    """Measure CPU, memory, bytes and calls by servers and by changes per second; start time by servers."""
    return anyio.run(_measure_all, sizes, seed)
