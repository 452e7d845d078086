"""Drives one decision module in simulated time and measures its processor time."""

from __future__ import annotations

import itertools
import random
import time
from collections.abc import Sequence

from puffinford import Balancer
from puffinford.codec import decode_settings
from puffinford.interface import (
    Action,
    Attempt,
    Established,
    Event,
    Inherited,
    ListKind,
    Outcome,
    Request,
    Result,
    Server,
    ServerList,
    ServerState,
)
from puffinford.standins.balancer import platform_settings
from puffinford.standins.clients import ClientClass

CLIENT_CLASS = ClientClass("chat")
EVENT_INTERVAL_MS = 1.0
REQUEST_TIMEOUT_MS = 2_000.0


class Driver:
    """One balancer of a fleet whose servers are all warm, and its established connections."""

    def __init__(self, servers: int, balancers: int, groups: int, seed: int) -> None:
        """The connections share `groups` groups; with 0, each connection has its own group."""
        self.rng = random.Random(seed)
        self.now = 1_000_000.0
        self.servers = [Server(f"s-{seed}-{n:06}", zone=f"z{n % 26}") for n in range(servers)]
        settings = decode_settings(
            platform_settings([CLIENT_CLASS], balancers, self.rng.randrange(balancers))
        )
        self.balancer = Balancer(settings, seed)
        self.connections: dict[str, str] = {}  # server id by request id
        self.cpu = 0.0  # processor time of the module, in seconds
        self._groups = groups
        self._numbers = itertools.count()

    def handle(self, event: Event) -> tuple[list[Action], float]:
        """Handle an event; return the actions and the processor time in seconds."""
        self.now += EVENT_INTERVAL_MS
        started_at = time.process_time()
        actions = self.balancer.handle(self.now, [event])
        seconds = time.process_time() - started_at
        self.cpu += seconds
        return actions, seconds

    def send_full_list(self) -> float:
        """Send the full server list; return the processor time in seconds."""
        return self.handle(ServerList(ListKind.REPLACE, self.servers))[1]

    def send_change(self) -> float:
        """Toggle one server between live and draining; return the processor time in seconds."""
        number = self.rng.randrange(len(self.servers))
        previous = self.servers[number]
        state = ServerState.DRAINING if previous.state is ServerState.LIVE else ServerState.LIVE
        self.servers[number] = Server(previous.id, previous.zone, state=state)
        return self.handle(ServerList(ListKind.UPDATE, [self.servers[number]]))[1]

    def request(self, came_back: bool = False) -> Request:
        """Return the next request; the first requests cover each shared group once, in order."""
        number = next(self._numbers)
        group = number
        if number >= self._groups > 0:
            group = self.rng.randrange(self._groups)
        return Request(
            f"{number:016x}",
            CLIENT_CLASS.name,
            REQUEST_TIMEOUT_MS,
            group=group,
            came_back=came_back,
            key=number,
        )

    def place(self, came_back: bool = False) -> tuple[str, float]:
        """Place and establish a connection; return its id and the processor time (s) up to the attempt."""
        request = self.request(came_back)
        actions, seconds = self.handle(request)
        attempt = next((action for action in actions if isinstance(action, Attempt)), None)
        if attempt is None:
            raise RuntimeError(f"no attempt among the actions: {actions}")
        self.handle(Established(request.id, 0, attempt.server, 1.0))
        self.connections[request.id] = attempt.server
        return request.id, seconds

    def inherit(self) -> None:
        """Add an inherited connection at a random server, without a placement."""
        request = self.request()
        server = self.rng.choice(self.servers).id
        self.handle(Inherited(request, server))
        self.connections[request.id] = server

    def end(self, ident: str, result: Result = Result.OK) -> None:
        """Close an established connection."""
        self.handle(Outcome(ident, 0, self.connections.pop(ident), result, 1.0, closed=True))

    def lose_servers(self, servers: Sequence[Server]) -> None:
        """Reset all connections at these servers and remove the servers from the list."""
        lost = {server.id for server in servers}
        for ident in [ident for ident, server in self.connections.items() if server in lost]:
            self.end(ident, Result.RESET)
        gone = [Server(server.id, server.zone, state=ServerState.GONE) for server in servers]
        self.handle(ServerList(ListKind.UPDATE, gone))

    def time_placements(self, number: int) -> list[float]:
        """Return the processor time (s) of each of `number` placements, each closed before the next."""
        times = []
        for _ in range(number):
            ident, seconds = self.place()
            self.end(ident)
            times.append(seconds)
        return times
