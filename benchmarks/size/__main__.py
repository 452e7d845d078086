"""`make bench-size`: resource use of one balancer with few and with many servers, against the allowed limits.

Both sizes have the same total capacity. All entries of the server list point to a few stand-in listeners.
"""

from __future__ import annotations

import argparse
import os
import random
import statistics
import tempfile
from dataclasses import dataclass
from pathlib import Path

import anyio

from puffinford.core.clock import Clock
from puffinford.standins.balancer import BalancerProcess, platform_settings
from puffinford.standins.clients import ClientClass, Clients
from puffinford.standins.discovery import Discovery
from puffinford.standins.listeners import HOST
from puffinford.standins.servers import LineServer, ServerProfile
from puffinford.standins.trace import EventKind, Trace

LISTENERS = 8
TOTAL_QUOTA = 8_000.0  # connections, over all tenants
TENANTS = 6
BALANCERS = 200  # as configured
CHANGE_INTERVAL_MS = 1_000.0


KB = 1_000.0


@dataclass(frozen=True)
class Need:
    """Resource use of one run from the start of the process.

    CPU in seconds, peak memory in MiB, descriptors at the end, connections opened to servers, bytes of lists
    sent by discovery, and the fraction of requests that were established.
    """

    cpu: float
    memory: float
    descriptors: float
    connections: float
    list_bytes: float
    share: float


def limits(usual: Need, thousands: float) -> Need:
    """Return the limits for `thousands` thousand servers, based on the use at the usual size."""
    return Need(
        1.4 * usual.cpu + 0.02 + 0.12 * thousands,
        1.5 * usual.memory + 8.0 + 4.0 * thousands,
        2.0 * usual.descriptors + 40.0,
        2.5 * usual.connections + 40.0,
        2.0 * usual.list_bytes + 64.0 * KB + 500.0 * KB * thousands,
        0.85 * usual.share,
    )


async def play(servers: int, seconds: float, rate: float, seed: int, groups: int) -> Need:
    """Run a balancer once; clients start when it has its server list."""
    rng = random.Random(seed)
    clock = Clock()
    trace = Trace(clock.now)
    kind = ClientClass("desk", life=20_000.0, groups=groups)
    with tempfile.TemporaryDirectory() as directory:
        async with anyio.create_task_group() as tasks:
            discovery_service = Discovery(clock, trace, tasks)
            line_servers = [
                LineServer(f"l-{n}", ServerProfile(capacity=10_000), clock, trace, rng, tasks)
                for n in range(LISTENERS)
            ]
            for line_server in line_servers:
                line_server.start()
            for n in range(servers):
                discovery_service.registry.put(
                    f"s-{n:04d}", addr=line_servers[n % LISTENERS].address, weight=BALANCERS / servers
                )
            discovery_service.set_mode("sound")
            settings = platform_settings([kind], BALANCERS, 3)
            settings["customers"] = [{"name": f"m{n}", "share": 1.0 / TENANTS} for n in range(TENANTS)]
            settings["domain"]["tenant_quota_connections"] = [TOTAL_QUOTA / TENANTS] * TENANTS
            settings["weight_source"] = "nominal"
            process = BalancerProcess("n1", Path(directory), discovery_service.address, settings, seed=seed)
            process.start()
            try:
                await anyio.to_thread.run_sync(process.wait_until_listening)
                while not process.log_path.read_text().count("event=discovery"):
                    await clock.sleep(20.0)
                tasks.start_soon(_change_entries, discovery_service, clock, rng, servers)
                clients = Clients([kind], rate, lambda: ("n1", process.port), clock, trace, rng, tasks)
                await clients.run(seconds * 1_000.0)
                requested = sum(trace.count(EventKind.REQUESTED).values())
                need = Need(
                    process.cpu_seconds(),
                    process.peak_resident_bytes() / 2**20,
                    float(len(os.listdir(f"/proc/{process.pid}/fd"))),
                    float(trace.count(EventKind.ATTEMPT).total()),
                    float(discovery_service.bytes_sent),
                    sum(trace.count(EventKind.UP).values()) / max(1, requested),
                )
            finally:
                process.stop()
                tasks.cancel_scope.cancel()
    return need


async def _change_entries(
    discovery_service: Discovery, clock: Clock, rng: random.Random, servers: int
) -> None:
    while True:
        await clock.sleep(CHANGE_INTERVAL_MS)
        discovery_service.put(f"s-{rng.randrange(servers):04d}", zone=HOST)


def _mean(needs: list[Need]) -> Need:
    return Need(
        *(statistics.mean(getattr(measured, name) for measured in needs) for name in Need.__annotations__)
    )


def main() -> None:
    """Run both sizes alternately and print the means and the limits."""
    parser = argparse.ArgumentParser(prog="bench-size")
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=25.0)
    parser.add_argument("--rate", type=float, default=20.0)
    parser.add_argument("--usual", type=int, default=200)
    parser.add_argument("--many", type=int, default=3_200)
    parser.add_argument("--groups", type=int, default=100_000)
    options = parser.parse_args()
    needs: dict[int, list[Need]] = {options.usual: [], options.many: []}
    for run in range(options.runs):
        for servers, measurements in needs.items():
            measurements.append(
                anyio.run(play, servers, options.seconds, options.rate, run + 1, options.groups)
            )
            print(f"{servers} servers: {measurements[-1]}", flush=True)
    means = {servers: _mean(measurements) for servers, measurements in needs.items()}
    usual, many = means[options.usual], means[options.many]
    allowed = limits(usual, options.many / 1_000.0)
    spread = max(measured.cpu for measured in needs[options.many]) - min(
        measured.cpu for measured in needs[options.many]
    )
    over = [
        name
        for name in Need.__annotations__
        if (getattr(many, name) > getattr(allowed, name)) != (name == "share")
    ]
    words = [f"runs={options.runs}", f"noise_cpu_s={spread:.2f}"]
    for name in Need.__annotations__:
        digits = 2 if name in ("cpu", "share") else 0
        for text, need in (("", usual), ("many_", many), ("allowed_", allowed)):
            words.append(f"{text}{name}={getattr(need, name):.{digits}f}")
    words.append(f"over={','.join(over) or 'none'}")
    print("bench size", *words)


if __name__ == "__main__":
    main()
