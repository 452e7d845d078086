"""`make bench-fleet`: three stories at 3, 10, 40 and 100 balancers.

Left out against the platform's days: servers that are late (none here is), sockets, the delay before a front
notices a dead balancer, discovery's own queue. The clients' number does not grow with the balancers.

python -m benchmarks.fleet [--servers 10 --clients 350 --groups 12 --runs 5]
"""

from __future__ import annotations

import statistics
from collections.abc import Callable

import click

from puffinford.decision_state import QUOTA_FRACTION
from puffinford.interface import ListKind, Server, ServerList
from puffinford.standins.fleet import SIMULATED_WARM_CAPACITY, Fleet, removed, restarted
from puffinford.text_table import format_table

SIZES = (3, 10, 40, 100)
WARM_TIME = 23_000.0
COLD_FROM = 0.13
MULTIPLE = 3.0


def release(fleet: Fleet, groups: int) -> list[Server]:
    """Six in ten servers are replaced within 7 s, each told 1 s after its start; clients come back."""
    new = []
    step = 7_000.0 / (0.6 * len(fleet.servers))
    for old in fleet.servers[: int(0.6 * len(fleet.servers))]:
        (fresh,) = restarted([Server(f"new-{old.id}")], fleet.now)
        new.append(fresh)
        fleet.arrive(2, 1_000.0, groups)
        fleet.announce([fresh], 300.0)
        fleet.announce(removed([old]), 300.0)
        fleet.arrive(fleet.fail_servers({old.id}), step, groups)
    return new


def zone(fleet: Fleet, groups: int) -> list[Server]:
    """Four in ten servers die at once, are told gone 3 s later, and come back cold after 6 s."""
    lost = fleet.servers[: int(0.4 * len(fleet.servers))]
    cut = fleet.fail_servers({server.id for server in lost})
    fleet.arrive(cut, 1_500.0, groups)
    fleet.arrive(20, 1_500.0, groups)
    fleet.announce(removed(lost), 500.0)
    fleet.arrive(20, 2_500.0, groups)
    fleet.dead.clear()
    back = restarted(lost, fleet.now)
    fleet.arrive(5, 800.0, groups)
    fleet.announce(back, 500.0)
    fleet.arrive(100, 10_000.0, groups)
    return back


def herd(fleet: Fleet, groups: int) -> list[Server]:
    """Seven in ten balancers restart at once beside two new servers; their clients come back within 1.5 s."""
    new = restarted([Server("new-1"), Server("new-2")], fleet.now)
    fleet.arrive(5, 2_000.0, groups)
    fleet.announce(new, 500.0)
    before = len(fleet.connections)
    for me in range(int(0.7 * len(fleet.balancers))):
        fleet.restart(me, fleet.servers)
    cut = before - len(fleet.connections)
    for me in range(int(0.7 * len(fleet.balancers))):
        fleet.handle(me, ServerList(ListKind.REPLACE, [*fleet.servers, *new]))
    fleet.arrive(cut, 1_500.0, groups)
    fleet.arrive(50, 5_000.0, groups)
    return new


def play(
    story: Callable[[Fleet, int], list[Server]],
    balancers: int,
    seed: int,
    servers: int,
    clients: int,
    groups: int,
) -> dict[str, float]:
    fleet = Fleet(servers, balancers, seed, on_request=True)
    fleet.arrive(clients, 10_000.0, groups)
    fleet.placements.clear()
    fleet.attempts = 0
    fleet.cpu_seconds, fleet.event_count = 0.0, 0
    cold = story(fleet, groups)
    fill = 0.0
    for server in cold:
        for at in [at for at, _, to in fleet.placements if to == server.id]:
            warmth = min(1.0, COLD_FROM + (1.0 - COLD_FROM) * (at - server.started) / WARM_TIME)
            sent = sum(at - 1_000.0 < other <= at for other, _, to in fleet.placements if to == server.id)
            fill = max(fill, sent / (MULTIPLE * SIMULATED_WARM_CAPACITY / QUOTA_FRACTION * warmth / 23.0))
    held = fleet.connections_by_server()
    up = [server.id for server in fleet.servers if server.id in held]
    return {
        "fill": fill,
        "cold_held": statistics.mean(held[server.id] for server in cold),
        "spread": max(held[ident] for ident in up) / statistics.mean(held[ident] for ident in up),
        "pairs": fleet.server_group_pairs() / groups,
        "claims": fleet.attempts / max(1, len(fleet.placements)),
        "refused": fleet.refused / max(1, fleet.refused + len(fleet.placements)),
        "calls": float(fleet.peak_list_requests()),
        "us": 1e6 * fleet.cpu_seconds / max(1, fleet.event_count),
    }


@click.command()
@click.option("--runs", default=5, show_default=True, help="seeds")
@click.option("--servers", default=10, show_default=True)
@click.option("--clients", default=350, show_default=True)
@click.option("--groups", default=12, show_default=True)
def main(runs: int, servers: int, clients: int, groups: int) -> None:
    """Measure, print a table and the one line; figures are means over the seeds, `fill` is the highest."""
    click.echo(f"{servers} servers, {clients} clients in {groups} groups, seeds 1 to {runs}")
    heads = (
        "story", "balancers", "cold fill / budget", "held by a cold one", "max / mean", "servers a group",
        "claims a job", "refused", "calls in 250 ms", "us an event",
    )  # fmt: skip
    rows = []
    line = []
    for story in (release, zone, herd):
        for balancers in SIZES:
            found = [play(story, balancers, seed, servers, clients, groups) for seed in range(1, runs + 1)]
            mean = {name: statistics.mean(one[name] for one in found) for name in found[0]}
            mean["fill"] = max(one["fill"] for one in found)
            rows.append((story.__name__, balancers, *(f"{value:.2f}" for value in mean.values())))
            if balancers in (3, 40):
                line += [
                    f"{story.__name__}_{name}_{balancers}={mean[name]:.2f}"
                    for name in ("fill", "pairs", "us")
                ]
    click.echo(format_table(heads, rows))
    click.echo("bench fleet " + " ".join(line))


if __name__ == "__main__":
    main()
