"""One decision module in settable time, with what the timed series need of a host."""

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

KIND = ClientClass("chat")
STEP = 1.0  # ms that pass between two events
PATIENCE = 2_000.0  # ms that a client waits


class Driver:
    """A balancer of a fleet, its servers all warm, and connections that stand until they are ended."""

    def __init__(self, servers: int, balancers: int, groups: int, seed: int) -> None:
        """`groups` are shared by the connections; 0: each has one of its own."""
        self.rng = random.Random(seed)
        self.now = 1_000_000.0
        self.servers = [Server(f"s-{seed}-{n:06}", zone=f"z{n % 26}") for n in range(servers)]
        settings = decode_settings(platform_settings([KIND], balancers, self.rng.randrange(balancers)))
        self.balancer = Balancer(settings, seed)
        self.standing: dict[str, str] = {}  # the server of each connection
        self.cpu = 0.0  # seconds of processor time that the module has taken
        self._groups = groups
        self._numbers = itertools.count()

    def handle(self, event: Event) -> tuple[list[Action], float]:
        """The actions, and the seconds of processor time that they took."""
        self.now += STEP
        began = time.process_time()
        actions = self.balancer.handle(self.now, [event])
        seconds = time.process_time() - began
        self.cpu += seconds
        return actions, seconds

    def tell_whole(self) -> float:
        """Tell the complete list; seconds of processor time."""
        return self.handle(ServerList(ListKind.REPLACE, self.servers))[1]

    def tell_change(self) -> float:
        """One server drains, or is back; seconds of processor time."""
        number = self.rng.randrange(len(self.servers))
        was = self.servers[number]
        state = ServerState.DRAINING if was.state is ServerState.LIVE else ServerState.LIVE
        self.servers[number] = Server(was.id, was.zone, state=state)
        return self.handle(ServerList(ListKind.UPDATE, [self.servers[number]]))[1]

    def request(self, came_back: bool = False) -> Request:
        """A client that comes now; the first ones of shared groups come from each group in turn."""
        number = next(self._numbers)
        group = number
        if number >= self._groups > 0:
            group = self.rng.randrange(self._groups)
        return Request(f"{number:016x}", KIND.name, PATIENCE, group=group, came_back=came_back, key=number)

    def place(self, came_back: bool = False) -> tuple[str, float]:
        """A client is placed and stands: its id, and the seconds of processor time to the attempt."""
        request = self.request(came_back)
        actions, seconds = self.handle(request)
        attempt = next((action for action in actions if isinstance(action, Attempt)), None)
        if attempt is None:
            raise RuntimeError(f"not placed: {actions}")
        self.handle(Established(request.id, 0, attempt.server, 1.0))
        self.standing[request.id] = attempt.server
        return request.id, seconds

    def inherit(self) -> None:
        """A client stands at a server drawn at random, without having been placed."""
        request = self.request()
        server = self.rng.choice(self.servers).id
        self.handle(Inherited(request, server))
        self.standing[request.id] = server

    def end(self, ident: str, result: Result = Result.OK) -> None:
        """A standing client has gone."""
        self.handle(Outcome(ident, 0, self.standing.pop(ident), result, 1.0, closed=True))

    def lose(self, servers: Sequence[Server]) -> None:
        """All connections at these servers are reset, and the list no longer has them."""
        lost = {server.id for server in servers}
        for ident in [ident for ident, server in self.standing.items() if server in lost]:
            self.end(ident, Result.RESET)
        gone = [Server(server.id, server.zone, state=ServerState.GONE) for server in servers]
        self.handle(ServerList(ListKind.UPDATE, gone))

    def placings(self, number: int) -> list[float]:
        """Seconds of processor time of so many placings, each ended before the next."""
        times = []
        for _ in range(number):
            ident, seconds = self.place()
            self.end(ident)
            times.append(seconds)
        return times
