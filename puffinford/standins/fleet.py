"""A seeded simulation of many decision modules side by side, without sockets, in simulated time.

Each balancer is the real decision module. A server is either up or down: its message delays are not modelled.
"""

from __future__ import annotations

import heapq
import random
import time
from collections import Counter
from dataclasses import dataclass

from puffinford import Balancer
from puffinford.interface import (
    Action,
    Attempt,
    ClientLeft,
    Established,
    ListKind,
    Move,
    Outcome,
    Refuse,
    Request,
    RequestClass,
    Result,
    Server,
    ServerList,
    ServerState,
    SetTimer,
    Settings,
    Subscribe,
    Tenant,
    Timer,
)

SIMULATED_WARM_CAPACITY = 70.0  # connections per server, as the settings configure it


@dataclass(slots=True)
class OpenConnection:
    """An established connection."""

    balancer: int
    server: str
    group: int | None
    attempt: int = 0


class Fleet:
    """Balancers that do not communicate, and the connections that they place on servers."""

    def __init__(
        self,
        servers: int,
        balancers: int,
        seed: int,
        *,
        on_request: bool = False,
        sizes: tuple[float, ...] = (1.0,),
        quotas: bool = True,
        warm_capacity: float = SIMULATED_WARM_CAPACITY,
    ) -> None:
        """Assign `sizes` to the servers in turn.

        With `quotas`, the settings grant `warm_capacity` connections per server to the tenants.
        """
        self.now = 1_000_000.0
        self.rng = random.Random(seed)
        self.servers = [Server(f"s-{seed}-{n}", weight=sizes[n % len(sizes)]) for n in range(servers)]
        self.placements: list[tuple[float, int, str]] = []  # time in ms, balancer, server
        self.list_requests: list[float] = []  # times in ms at which lists were requested
        self.connections: dict[str, OpenConnection] = {}
        self.refused = 0
        self.attempts = 0
        self.dead: set[str] = set()
        self.dropping: dict[str, float] = {}  # ms after which a server drops each connection, by server
        self._pending_drops: list[tuple[float, int, str, str]] = []  # time in ms, balancer, request, server
        self.cpu_seconds = 0.0  # taken by the decision modules
        self.event_count = 0  # handled by the decision modules
        self._id_count = 0
        self._timers: list[tuple[float, int, int]] = []
        self.settings = [
            Settings(
                classes=[RequestClass("safe", 2_000.0, 300.0, message_aim=60.0)],
                tenants=[Tenant("all", 1.0, quota=warm_capacity * servers)] if quotas else [],
                sized=len(sizes) > 1,
                me=me,
                balancers=balancers,
                grouped=True,
                list_on_request=on_request,
                max_attempts=4,
                max_retry_after=1_500.0,
                cold_from=0.13,
                warm_time=23_000.0,
                fall_window=1_000.0,
            )
            for me in range(balancers)
        ]
        self.balancers: list[Balancer] = []
        for me in range(balancers):
            self.balancers.append(Balancer(self.settings[me], seed * 1_000 + me))
            self.handle(me, ServerList(ListKind.REPLACE, self.servers))

    def handle(self, me: int, event: object) -> list[Action]:
        """Dispatch an event to a balancer, and carry out its timers, moves and subscriptions."""
        started_at = time.process_time()
        actions = self.balancers[me].handle(self.now, [event])  # type: ignore[list-item]
        self.cpu_seconds += time.process_time() - started_at
        self.event_count += 1
        for action in actions:
            if isinstance(action, Subscribe):
                self.list_requests.append(self.now)
            elif isinstance(action, SetTimer):
                heapq.heappush(self._timers, (self.now + action.delay, me, action.token))
            elif isinstance(action, Move):
                self.connections.pop(action.id, None)
        return actions

    def advance(self, until: float) -> None:
        """Advance the time to `until` (ms), and run due timers and connection drops in order."""
        while True:
            next_timer = self._timers[0][0] if self._timers else float("inf")
            next_drop = self._pending_drops[0][0] if self._pending_drops else float("inf")
            if min(next_timer, next_drop) > until:
                break
            if next_timer <= next_drop:
                at, me, token = heapq.heappop(self._timers)
                self.now = max(self.now, at)
                self.handle(me, Timer(token))
                continue
            at, me, ident, server = heapq.heappop(self._pending_drops)
            self.now = max(self.now, at)
            connection = self.connections.get(ident)
            if connection is not None and connection.server == server:
                del self.connections[ident]
                self.handle(me, Outcome(ident, connection.attempt, server, Result.RESET, 0.0, True))
        self.now = until

    def announce(self, servers: list[Server], within: float = 0.0) -> None:
        """Send changed entries to all balancers, each at a random time within `within` ms."""
        started_at = self.now
        times = sorted((self.rng.random() * within, me) for me in range(len(self.balancers)))
        for delay, me in times:
            self.advance(started_at + delay)
            self.handle(me, ServerList(ListKind.UPDATE, servers))

    def restart(self, me: int, known: list[Server]) -> None:
        """Crash a balancer and start it from the `known` list; its clients lose their connections."""
        for ident in [ident for ident, held in self.connections.items() if held.balancer == me]:
            del self.connections[ident]
        self._id_count += 1
        self.balancers[me] = Balancer(self.settings[me], self._id_count)
        self.handle(me, ServerList(ListKind.RESTORED, known))

    def fail_servers(self, servers: set[str]) -> int:
        """Crash servers with their connections; return the number of clients that lost one."""
        self.dead |= servers
        cut = [ident for ident, held in self.connections.items() if held.server in servers]
        for ident in cut:
            held = self.connections.pop(ident)
            self.handle(held.balancer, Outcome(ident, 0, held.server, Result.RESET, 0.0, True))
        return len(cut)

    def arrive(self, clients: int, over: float, groups: int) -> None:
        """Let clients arrive within `over` ms, at random balancers and in random groups."""
        started_at = self.now
        for delay in sorted(self.rng.random() * over for _ in range(clients)):
            self.advance(started_at + delay)
            self.place(self.rng.randrange(groups) * 0x9E3779B97F4A7C15)
        self.advance(started_at + over)

    def leave(self, ident: str) -> None:
        """Let a client close its connection; without effect if it is no longer established."""
        connection = self.connections.pop(ident, None)
        if connection is not None:
            self.handle(connection.balancer, ClientLeft(ident))

    def place(self, group: int | None, me: int | None = None) -> str | None:
        """Attempt servers for a new client until one accepts it; return its id, or None if it is refused.

        The client arrives at balancer `me`, by default at a random one. Attempts at a crashed server fail.
        """
        me = self.rng.randrange(len(self.balancers)) if me is None else me
        self._id_count += 1
        ident = f"r{self._id_count}"
        actions = self.handle(me, Request(ident, "safe", 2_000.0, group=group))
        for number in range(5):
            attempt = next((action for action in actions if isinstance(action, Attempt)), None)
            if attempt is None:
                self.refused += any(isinstance(action, Refuse) for action in actions)
                return None
            self.attempts += 1
            if attempt.server not in self.dead:
                self.placements.append((self.now, me, attempt.server))
                self.connections[ident] = OpenConnection(me, attempt.server, group, number)
                self.handle(me, Established(ident, number, attempt.server, 5.0))
                if attempt.server in self.dropping:
                    heapq.heappush(
                        self._pending_drops,
                        (self.now + self.dropping[attempt.server], me, ident, attempt.server),
                    )
                return ident
            actions = self.handle(me, Outcome(ident, number, attempt.server, Result.CONNECT_FAILED, 0.0))
        return None

    # Results

    def peak_placements(self, server: str, window: float = 1_000.0) -> int:
        """Return the largest number of openings at a server in any window of `window` ms."""
        times = [at for at, _, to in self.placements if to == server]
        return max((sum(at <= t < at + window for t in times) for at in times), default=0)

    def peak_list_requests(self, window: float = 250.0) -> int:
        """Return the largest number of list requests in any window of `window` ms."""
        return max(
            (sum(at <= t < at + window for t in self.list_requests) for at in self.list_requests), default=0
        )

    def connections_by_server(self) -> Counter[str]:
        """Return the number of established connections at each server."""
        return Counter(held.server for held in self.connections.values())

    def server_group_pairs(self) -> int:
        """Return the number of pairs of a server and a group that has a connection there."""
        return len({(held.server, held.group) for held in self.connections.values()})


def restarted(servers: list[Server], at: float) -> list[Server]:
    """Return list entries of the same servers after a start at `at`, in ms."""
    return [Server(server.id, started=at, weight=server.weight) for server in servers]


def removed(servers: list[Server]) -> list[Server]:
    """Return list entries that announce the end of these servers."""
    return [Server(server.id, state=ServerState.GONE) for server in servers]
