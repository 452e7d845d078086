"""Processor time of rebalancing rounds with many connections, in the decision module and the planner."""

from __future__ import annotations

import random
import time
from functools import partial

from puffinford import Balancer, Settings
from puffinford import interface as it
from puffinford.interface import ListKind, RequestClass, Server, ServerList
from puffinford.rebalance.planner import Candidate, Planner, PlannerSettings, ServerLoad
from puffinford.rebalance.service import ROUND_INTERVAL_MS


def core_share(connections: int, servers: int, rounds: int = 200) -> float:
    """Return the fraction of a core that rounds use while each of them moves a connection."""
    balancer = Balancer(Settings([RequestClass("x", 2_000.0)]), 1)
    now = 100_000.0
    servers_listed = [Server(f"s-{n}") for n in range(servers)]
    balancer.handle(now, [ServerList(ListKind.REPLACE, servers_listed[: servers // 2])])
    for n in range(connections):
        for action in balancer.handle(now, [it.Request(f"j{n}", "x", 2_000.0, key=n)]):
            if isinstance(action, it.Attempt):
                balancer.handle(now, [it.Established(action.id, 0, action.server, 1.0)])
    balancer.handle(now, [ServerList(ListKind.REPLACE, servers_listed)])
    planner = Planner(PlannerSettings(settle_time=0.0, min_age=0.0), random.Random(1))
    started_at = time.process_time()
    for _ in range(rounds):
        now += ROUND_INTERVAL_MS
        places = [
            ServerLoad(s.server, s.load, s.capacity, s.usable, s.degraded, s.connection_count)
            for s in balancer.survey(now)
        ]
        planner.observe(now, places)
        for source in planner.sources()[:1]:
            sample = [
                Candidate(f.id, f.key, source.id, f.cls, 1.0, f.load, now - f.placed_at)
                for f in balancer.listed_servers.sample_established(source.id, 64)
            ]
            planned = planner.choose_move(now, sample, partial(balancer.best_server, now=now))
            if planned is not None:
                balancer.handle(now, [it.Relocate(planned.request_id, planned.target, 2_500.0)])
    return (time.process_time() - started_at) / (rounds * ROUND_INTERVAL_MS / 1_000.0)
