"""`make bench-size`: one real balancer among few and many servers, and what the operators allow it to need.

Both sizes have the same capacity in all; every entry of the list points to one of a few stand-in listeners.
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
QUOTA = 8_000.0  # connections of all tenants
TENANTS = 6
BALANCERS = 200  # as the settings tell it
CHANGE_EVERY = 1_000.0  # ms


KB = 1_000.0


@dataclass(frozen=True)
class Need:
    """What one play took from the start of the process: seconds of CPU, MB at the peak, descriptors at its
    end, connections made to servers, bytes of lists; and the part of the clients that came up.
    """

    cpu: float
    memory: float
    descriptors: float
    connections: float
    list_bytes: float
    share: float


def limits(usual: Need, thousands: float) -> Need:
    """What the operators allow with so many thousand servers, from what the usual size takes."""
    return Need(
        1.4 * usual.cpu + 0.02 + 0.12 * thousands,
        1.5 * usual.memory + 8.0 + 4.0 * thousands,
        2.0 * usual.descriptors + 40.0,
        2.5 * usual.connections + 40.0,
        2.0 * usual.list_bytes + 64.0 * KB + 500.0 * KB * thousands,
        0.85 * usual.share,
    )


async def play(servers: int, seconds: float, rate: float, seed: int, groups: int) -> Need:
    """One play; clients come from the moment at which the balancer has its list."""
    rng = random.Random(seed)
    clock = Clock()
    trace = Trace(clock.now)
    kind = ClientClass("desk", life=20_000.0, groups=groups)
    with tempfile.TemporaryDirectory() as directory:
        async with anyio.create_task_group() as tasks:
            lists = Discovery(clock, trace, tasks)
            stands = [
                LineServer(f"l-{n}", ServerProfile(capacity=10_000), clock, trace, rng, tasks)
                for n in range(LISTENERS)
            ]
            for stand in stands:
                stand.start()
            for n in range(servers):
                lists.registry.put(
                    f"s-{n:04d}", addr=stands[n % LISTENERS].address, weight=BALANCERS / servers
                )
            lists.set_mode("sound")
            told = platform_settings([kind], BALANCERS, 3)
            told["customers"] = [{"name": f"m{n}", "share": 1.0 / TENANTS} for n in range(TENANTS)]
            told["domain"]["tenant_quota_connections"] = [QUOTA / TENANTS] * TENANTS
            told["weight_source"] = "nominal"
            process = BalancerProcess("n1", Path(directory), lists.address, told, seed=seed)
            process.start()
            try:
                await anyio.to_thread.run_sync(process.wait_until_listening)
                while not process.log_path.read_text().count("event=discovery"):
                    await clock.sleep(20.0)
                tasks.start_soon(_change, lists, clock, rng, servers)
                clients = Clients([kind], rate, lambda: ("n1", process.port), clock, trace, rng, tasks)
                await clients.run(seconds * 1_000.0)
                asked = sum(trace.count(EventKind.REQUESTED).values())
                need = Need(
                    process.cpu_seconds(),
                    process.peak_resident_bytes() / 2**20,
                    float(len(os.listdir(f"/proc/{process.pid}/fd"))),
                    float(trace.count(EventKind.ATTEMPT).total()),
                    float(lists.bytes_sent),
                    sum(trace.count(EventKind.UP).values()) / max(1, asked),
                )
            finally:
                process.stop()
                tasks.cancel_scope.cancel()
    return need


async def _change(lists: Discovery, clock: Clock, rng: random.Random, servers: int) -> None:
    while True:
        await clock.sleep(CHANGE_EVERY)
        lists.put(f"s-{rng.randrange(servers):04d}", zone=HOST)


def _mean(needs: list[Need]) -> Need:
    return Need(*(statistics.mean(getattr(one, name) for one in needs) for name in Need.__annotations__))


def main() -> None:
    """Play both sizes in turns and print the means beside what is allowed."""
    parser = argparse.ArgumentParser(prog="bench-size")
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=25.0)
    parser.add_argument("--rate", type=float, default=20.0)
    parser.add_argument("--usual", type=int, default=200)
    parser.add_argument("--many", type=int, default=3_200)
    parser.add_argument("--groups", type=int, default=100_000)
    given = parser.parse_args()
    needs: dict[int, list[Need]] = {given.usual: [], given.many: []}
    for run in range(given.runs):
        for servers, taken in needs.items():
            taken.append(anyio.run(play, servers, given.seconds, given.rate, run + 1, given.groups))
            print(f"{servers} servers: {taken[-1]}", flush=True)
    means = {servers: _mean(taken) for servers, taken in needs.items()}
    usual, many = means[given.usual], means[given.many]
    allowed = limits(usual, given.many / 1_000.0)
    spread = max(one.cpu for one in needs[given.many]) - min(one.cpu for one in needs[given.many])
    over = [
        name
        for name in Need.__annotations__
        if (getattr(many, name) > getattr(allowed, name)) != (name == "share")
    ]
    words = [f"runs={given.runs}", f"noise_cpu_s={spread:.2f}"]
    for name in Need.__annotations__:
        digits = 2 if name in ("cpu", "share") else 0
        for text, need in (("", usual), ("many_", many), ("allowed_", allowed)):
            words.append(f"{text}{name}={getattr(need, name):.{digits}f}")
    words.append(f"over={','.join(over) or 'none'}")
    print("bench size", *words)


if __name__ == "__main__":
    main()
