"""Many decision modules side by side in settable time, under one story. No sockets, no clock, seeded.

Each balancer is the real module; servers only stand or do not, so nothing here tells how late they would be.
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

SIMULATED_WARM_CAPACITY = 70.0  # connections that the settings tell for each server


@dataclass(slots=True)
class OpenConnection:
    """A connection that stands."""

    balancer: int
    server: str
    group: int | None
    attempt: int = 0


class Fleet:
    """Balancers that hear nothing of each other, and what they send to each server."""

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
        """Servers have `sizes` in turn; `quotas` tell `warm_capacity` for each; without, nothing tells it."""
        self.now = 1_000_000.0
        self.rng = random.Random(seed)
        self.servers = [Server(f"s-{seed}-{n}", weight=sizes[n % len(sizes)]) for n in range(servers)]
        self.placements: list[tuple[float, int, str]] = []  # time in ms, balancer, server
        self.list_requests: list[float] = []  # when lists were asked for
        self.connections: dict[str, OpenConnection] = {}
        self.refused = 0
        self.attempts = 0
        self.dead: set[str] = set()
        self.dropping: dict[str, float] = {}  # servers that drop each connection so many ms after it stands
        self._pending_drops: list[tuple[float, int, str, str]] = []  # when, balancer, request, server
        self.cpu_seconds = 0.0  # seconds that the modules took ...
        self.event_count = 0  # ... for so many events
        self._count = 0
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
        """Give one balancer one event, and look at what it asks for besides placing."""
        began = time.process_time()
        actions = self.balancers[me].handle(self.now, [event])  # type: ignore[list-item]
        self.cpu_seconds += time.process_time() - began
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
        """Let time pass; what modules asked to be woken for, and what sick servers drop, comes in order."""
        while True:
            timer = self._timers[0][0] if self._timers else float("inf")
            drop = self._pending_drops[0][0] if self._pending_drops else float("inf")
            if min(timer, drop) > until:
                break
            if timer <= drop:
                at, me, token = heapq.heappop(self._timers)
                self.now = max(self.now, at)
                self.handle(me, Timer(token))
                continue
            at, me, ident, server = heapq.heappop(self._pending_drops)
            self.now = max(self.now, at)
            held = self.connections.get(ident)
            if held is not None and held.server == server:
                del self.connections[ident]
                self.handle(me, Outcome(ident, held.attempt, server, Result.RESET, 0.0, True))
        self.now = until

    def announce(self, servers: list[Server], within: float = 0.0) -> None:
        """All balancers hear of changes, each at a time of its own within so many ms."""
        start = self.now
        times = sorted((self.rng.random() * within, me) for me in range(len(self.balancers)))
        for after, me in times:
            self.advance(start + after)
            self.handle(me, ServerList(ListKind.UPDATE, servers))

    def restart(self, me: int, known: list[Server]) -> None:
        """One balancer dies and starts anew from the list that it last had; its clients are cut off."""
        for ident in [ident for ident, held in self.connections.items() if held.balancer == me]:
            del self.connections[ident]
        self._count += 1
        self.balancers[me] = Balancer(self.settings[me], self._count)
        self.handle(me, ServerList(ListKind.RESTORED, known))

    def fail_servers(self, servers: set[str]) -> int:
        """Servers die with what stands there; tells how many clients were cut off."""
        self.dead |= servers
        cut = [ident for ident, held in self.connections.items() if held.server in servers]
        for ident in cut:
            held = self.connections.pop(ident)
            self.handle(held.balancer, Outcome(ident, 0, held.server, Result.RESET, 0.0, True))
        return len(cut)

    def arrive(self, clients: int, over: float, groups: int) -> None:
        """So many clients over so many ms, at any balancer; a claim at a dead server cannot connect."""
        start = self.now
        for after in sorted(self.rng.random() * over for _ in range(clients)):
            self.advance(start + after)
            self.place(self.rng.randrange(groups) * 0x9E3779B97F4A7C15)
        self.advance(start + over)

    def leave(self, ident: str) -> None:
        """A client that stands ends its connection itself; nothing where it stands no more."""
        held = self.connections.pop(ident, None)
        if held is not None:
            self.handle(held.balancer, ClientLeft(ident))

    def place(self, group: int | None, me: int | None = None) -> str | None:
        """One client: claims until one stands, and its id; None where the balancer turns it away.

        It comes to balancer `me`, any one where that is not told.
        """
        me = self.rng.randrange(len(self.balancers)) if me is None else me
        self._count += 1
        ident = f"r{self._count}"
        actions = self.handle(me, Request(ident, "safe", 2_000.0, group=group))
        for number in range(5):
            sent = next((action for action in actions if isinstance(action, Attempt)), None)
            if sent is None:
                self.refused += any(isinstance(action, Refuse) for action in actions)
                return None
            self.attempts += 1
            if sent.server not in self.dead:
                self.placements.append((self.now, me, sent.server))
                self.connections[ident] = OpenConnection(me, sent.server, group, number)
                self.handle(me, Established(ident, number, sent.server, 5.0))
                if sent.server in self.dropping:
                    heapq.heappush(
                        self._pending_drops, (self.now + self.dropping[sent.server], me, ident, sent.server)
                    )
                return ident
            actions = self.handle(me, Outcome(ident, number, sent.server, Result.CONNECT_FAILED, 0.0))
        return None

    # What came of it

    def peak_placements(self, server: str, window: float = 1_000.0) -> int:
        """The most openings at a server in any window of so many ms."""
        times = [at for at, _, to in self.placements if to == server]
        return max((sum(at <= t < at + window for t in times) for at in times), default=0)

    def peak_list_requests(self, window: float = 250.0) -> int:
        """The most calls for lists in any window of so many ms."""
        return max(
            (sum(at <= t < at + window for t in self.list_requests) for at in self.list_requests), default=0
        )

    def connections_by_server(self) -> Counter[str]:
        """Connections that stand at each server."""
        return Counter(held.server for held in self.connections.values())

    def server_group_pairs(self) -> int:
        """Pairs of a server and a group that it holds any of: what servers pay for."""
        return len({(held.server, held.group) for held in self.connections.values()})


def restarted(servers: list[Server], at: float) -> list[Server]:
    """The same servers as a list tells them after a start at that time, in ms."""
    return [Server(server.id, started=at, weight=server.weight) for server in servers]


def removed(servers: list[Server]) -> list[Server]:
    """The same servers as a list tells their end."""
    return [Server(server.id, state=ServerState.GONE) for server in servers]
