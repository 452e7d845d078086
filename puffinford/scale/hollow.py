"""One hollow balancer: the program's own list client, staleness, backoff and decisions, without fronts.

`ListClient` (with `DiscoveryWatch` and `ListValidator`) and `Exchange` (with `Balancer`) are the classes that
`serve` runs. Left out are fronts, the second address, the store, rebalancing and versions: a hollow balancer
that is started again knows nothing and asks for the whole list.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

import anyio
import anyio.abc

from puffinford.core.clock import Clock
from puffinford.core.exchange import Exchange
from puffinford.core.values import Opening, ServerEntries
from puffinford.interface import Settings
from puffinford.operators import OperatorSettings
from puffinford.scale.arrivals import Arrival, Outcome, arrivals, live
from puffinford.scale.messages import Crowd, HollowSpec, Skip
from puffinford.scale.sides import HollowClient, HollowServers
from puffinford.server_list.endpoints import rendezvous_order
from puffinford.server_list.entries import parse_address
from puffinford.state import recovery
from puffinford.state.keeper import trust_settings
from puffinford.state.list_client import ListClient

Recorded = Callable[[int, int], None]  # balancer and version, at the moment of the call


class ListRecorder:
    """Between list client and exchange: notes when a version is in force, once the exchange has taken it."""

    def __init__(self, exchange: Exchange, me: int, record: Recorded, skip: Skip) -> None:
        self._exchange = exchange
        self._me = me
        self._record = record
        self._skip = skip is Skip.LISTS
        self._lists = 0
        self.informed = anyio.Event()  # a list is in force

    def take_list(self, machines: ServerEntries | None) -> None:
        """Pass on a list, or the failure of a call (None)."""
        if machines is not None:
            self._lists += 1
            if self._skip and self._lists % 2 == 0:
                return
        self._exchange.take_list(machines)
        if machines is not None:
            self.informed.set()
            self._record(self._me, machines.version)


class HollowTotals:
    """What hollow balancers of a process have come to, over the restarts of each."""

    def __init__(self) -> None:
        self.placed: dict[int, Counter[str]] = {}
        self.refused = 0
        self.moved = 0


class PlacementCounter:
    """The exchange's watcher: counts connections that came up, by server."""

    def __init__(self, placed: Counter[str]) -> None:
        self._placed = placed

    def on_established(self, key: int, cls: str, server: str, set_up: float) -> None:
        self._placed[server] += 1

    def on_refused(self, key: int, cls: str, *, failed: bool) -> None:
        """Counted by the client's outcome."""

    def on_closed(self, key: int, cls: str, server: str, stood: float, *, cut: bool) -> None:
        """Not counted."""

    def on_delay(self, server: str, delay: float) -> None:
        """Hollow servers are never late."""


class HollowBalancer:
    """One balancer from its start to its kill; `me` is its number in the fleet."""

    def __init__(
        self,
        spec: HollowSpec,
        me: int,
        settings: Settings,
        operators: OperatorSettings,
        clock: Clock,
        record: Recorded,
        totals: HollowTotals,
    ) -> None:
        self._spec = spec
        self._me = me
        self._clock = clock
        self._totals = totals
        seed = balancer_seed(spec.seed, me)
        self._servers = HollowServers(clock, random.Random(seed), spec.set_up_ms, spec.dead)
        sides = {"lines": self._servers, "channels": self._servers}
        self._exchange = Exchange(settings, seed, clock, sides)
        placed = totals.placed.setdefault(me, Counter())
        self._exchange.observer = PlacementCounter(placed)
        start = recovery.build_start_state(None, None, clock.now(), 0.0, trust_settings(operators.state), 0.0)
        self._recorder = ListRecorder(self._exchange, me, record, spec.skip)
        self._list = ListClient(self._recorder, start, clock, lambda machines: None)
        discovery = parse_address(spec.discovery[me - spec.first])
        always_subscribed = not settings.list_on_request
        relays = rendezvous_order(balancer_name(me), operators.discovery.relays)
        self._list.watch(discovery, always_subscribed=always_subscribed, seed=seed, relays=relays)

    @property
    def informed(self) -> anyio.Event:
        """Set once a list is in force."""
        return self._recorder.informed

    async def run(self) -> None:
        """Watch the list until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._exchange.run, self._list.source, self._list.restored)
            tasks.start_soon(self._list.source.run)

    async def serve_crowd(self, begin: float, end: float) -> None:
        """Serve the balancer's clients that come between two moments on the clock.

        One that is started later serves those that come from now on.
        """
        crowd = self._spec.crowd
        async with anyio.create_task_group() as tasks:
            for arrival in arrivals(crowd, self._spec.seed, self._me):
                due = begin + arrival.after
                if due >= end:
                    return
                if due < self._clock.now() - 1_000.0:
                    continue
                await self._clock.sleep(due - self._clock.now())
                tasks.start_soon(self._live, arrival, crowd)

    async def _live(self, arrival: Arrival, crowd: Crowd) -> None:
        await live(arrival, crowd, self._me, self._clock, self._connect)

    async def _connect(self, opening: Opening, life: float) -> Outcome:
        if self._spec.skip is Skip.PLACING:
            return Outcome.REFUSED
        client = HollowClient(self._clock, life)
        await self._exchange.serve(opening, client)
        self._totals.refused += client.outcome is Outcome.REFUSED
        self._totals.moved += client.outcome is Outcome.MOVED
        return client.outcome


def balancer_seed(seed: int, me: int) -> int:
    """The seed of one balancer, hollow or real."""
    return (seed * 1_000_003 + me) & 0xFFFFFFFF


def balancer_name(me: int) -> str:
    """The name of one balancer, hollow or real, by which it prefers one relay."""
    return f"b{me}"
