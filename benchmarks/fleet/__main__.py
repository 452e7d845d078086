"""`make bench-fleet`: three failure scenarios with 3, 10, 40 and 100 balancers in simulated time.

Not modelled: overloaded servers, sockets, the delay until a front notices a dead balancer, and the queue of
discovery. The number of clients does not depend on the number of balancers.

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

BALANCER_COUNTS = (3, 10, 40, 100)
WARM_UP_MS = 23_000.0
COLD_CAPACITY_FRACTION = 0.13
BUDGET_MULTIPLE = 3.0


def release(fleet: Fleet, groups: int) -> list[Server]:
    """Replace 60 % of the servers within 7 s, each announced 1 s after its start; clients reconnect."""
    new = []
    step = 7_000.0 / (0.6 * len(fleet.servers))
    for old in fleet.servers[: int(0.6 * len(fleet.servers))]:
        (replacement,) = restarted([Server(f"new-{old.id}")], fleet.now)
        new.append(replacement)
        fleet.arrive(2, 1_000.0, groups)
        fleet.announce([replacement], 300.0)
        fleet.announce(removed([old]), 300.0)
        fleet.arrive(fleet.fail_servers({old.id}), step, groups)
    return new


def zone(fleet: Fleet, groups: int) -> list[Server]:
    """Fail 40 % of the servers at once; they leave the list after 3 s and restart cold after 6 s."""
    lost = fleet.servers[: int(0.4 * len(fleet.servers))]
    lost_connections = fleet.fail_servers({server.id for server in lost})
    fleet.arrive(lost_connections, 1_500.0, groups)
    fleet.arrive(20, 1_500.0, groups)
    fleet.announce(removed(lost), 500.0)
    fleet.arrive(20, 2_500.0, groups)
    fleet.dead.clear()
    restarted_servers = restarted(lost, fleet.now)
    fleet.arrive(5, 800.0, groups)
    fleet.announce(restarted_servers, 500.0)
    fleet.arrive(100, 10_000.0, groups)
    return restarted_servers


def herd(fleet: Fleet, groups: int) -> list[Server]:
    """Restart 70 % of the balancers at once, with two new servers; clients reconnect within 1.5 s."""
    new = restarted([Server("new-1"), Server("new-2")], fleet.now)
    fleet.arrive(5, 2_000.0, groups)
    fleet.announce(new, 500.0)
    before = len(fleet.connections)
    for balancer in range(int(0.7 * len(fleet.balancers))):
        fleet.restart(balancer, fleet.servers)
    lost_connections = before - len(fleet.connections)
    for balancer in range(int(0.7 * len(fleet.balancers))):
        fleet.handle(balancer, ServerList(ListKind.REPLACE, [*fleet.servers, *new]))
    fleet.arrive(lost_connections, 1_500.0, groups)
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
    """Simulate one story; return its metrics, with `us` in microseconds of processor time per event."""
    fleet = Fleet(servers, balancers, seed, on_request=True)
    fleet.arrive(clients, 10_000.0, groups)
    fleet.placements.clear()
    fleet.attempts = 0
    fleet.cpu_seconds, fleet.event_count = 0.0, 0
    cold = story(fleet, groups)
    budget_use = 0.0
    for server in cold:
        for at in [at for at, _, to in fleet.placements if to == server.id]:
            warmth = min(
                1.0,
                COLD_CAPACITY_FRACTION + (1.0 - COLD_CAPACITY_FRACTION) * (at - server.started) / WARM_UP_MS,
            )
            sent = sum(at - 1_000.0 < other <= at for other, _, to in fleet.placements if to == server.id)
            budget_use = max(
                budget_use,
                sent / (BUDGET_MULTIPLE * SIMULATED_WARM_CAPACITY / QUOTA_FRACTION * warmth / 23.0),
            )
    held = fleet.connections_by_server()
    up = [server.id for server in fleet.servers if server.id in held]
    return {
        "fill": budget_use,
        "cold_held": statistics.mean(held[server.id] for server in cold),
        "spread": max(held[server_id] for server_id in up)
        / statistics.mean(held[server_id] for server_id in up),
        "pairs": fleet.server_group_pairs() / groups,
        "attempts": fleet.attempts / max(1, len(fleet.placements)),
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
    """Print a table and the summary line, with means over the seeds and the maximum of `fill`."""
    click.echo(f"{servers} servers, {clients} clients in {groups} groups, seeds 1 to {runs}")
    headers = (
        "story", "balancers", "cold fill / budget", "cold connections", "max / mean", "servers / group",
        "attempts / request", "refused", "calls in 250 ms", "us / event",
    )  # fmt: skip
    rows = []
    line = []
    for story in (release, zone, herd):
        for balancers in BALANCER_COUNTS:
            found = [play(story, balancers, seed, servers, clients, groups) for seed in range(1, runs + 1)]
            mean = {name: statistics.mean(result[name] for result in found) for name in found[0]}
            mean["fill"] = max(result["fill"] for result in found)
            rows.append((story.__name__, balancers, *(f"{value:.2f}" for value in mean.values())))
            if balancers in (3, 40):
                line += [
                    f"{story.__name__}_{name}_{balancers}={mean[name]:.2f}"
                    for name in ("fill", "pairs", "us")
                ]
    click.echo(format_table(headers, rows))
    click.echo("bench fleet " + " ".join(line))


if __name__ == "__main__":
    main()
