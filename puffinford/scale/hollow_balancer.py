"""A hollow balancer: the real list client and exchange, with in-memory clients and servers.

`ListClient` (with `DiscoveryWatch` and `ListValidator`) and `Exchange` (with `Balancer`) are the classes that
`serve` runs. Fronts, the management address, stored state and rebalancing are left out, so a restarted hollow
balancer requests a full list.
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
from puffinford.scale.arrivals import Arrival, ConnectionOutcome, generate_arrivals, run_client
from puffinford.scale.hollow_connections import HollowClientConnection, HollowServerConnector
from puffinford.scale.messages import ClientWorkload, HollowSpec, Skip
from puffinford.server_list.endpoints import rendezvous_order
from puffinford.server_list.entries import parse_address
from puffinford.state import recovery
from puffinford.state.keeper import trust_settings
from puffinford.state.list_client import ListClient

VersionRecorder = Callable[[int, int], None]  # called with the balancer's number and the applied version


class ListRecorder:
    """Passes lists from the list client to the exchange and records each version once it is applied."""

    def __init__(self, exchange: Exchange, number: int, record: VersionRecorder, skip: Skip) -> None:
        self._exchange = exchange
        self._number = number
        self._record = record
        self._skips_lists = skip is Skip.LISTS
        self._lists_received = 0
        self.list_applied = anyio.Event()  # set once a list has been applied

    def take_list(self, entries: ServerEntries | None) -> None:
        """Pass on a list, or None for a failed call."""
        if entries is not None:
            self._lists_received += 1
            if self._skips_lists and self._lists_received % 2 == 0:
                return
        self._exchange.take_list(entries)
        if entries is not None:
            self.list_applied.set()
            self._record(self._number, entries.version)


class HollowTotals:
    """Counters of all hollow balancers of a process, kept over their restarts."""

    def __init__(self) -> None:
        self.placed: dict[int, Counter[str]] = {}  # established connections by balancer and server
        self.refused = 0
        self.moved = 0


class PlacementCounter:
    """Observer of the exchange that counts established connections by server."""

    def __init__(self, placed: Counter[str]) -> None:
        self._placed = placed

    def on_established(self, key: int, cls: str, server: str, setup_ms: float) -> None:
        """Count the connection."""
        self._placed[server] += 1

    def on_refused(self, key: int, cls: str, *, failed: bool) -> None:
        """Refusals are counted by the client's outcome."""

    def on_closed(self, key: int, cls: str, server: str, duration_ms: float, *, cut: bool) -> None:
        """Not counted."""

    def on_delay(self, server: str, delay_ms: float) -> None:
        """Hollow servers send no messages."""


class HollowBalancer:
    """One balancer from its start until it is killed; `number` identifies it in the fleet."""

    def __init__(
        self,
        spec: HollowSpec,
        number: int,
        settings: Settings,
        operators: OperatorSettings,
        clock: Clock,
        record: VersionRecorder,
        totals: HollowTotals,
    ) -> None:
        self._spec = spec
        self._number = number
        self._clock = clock
        self._totals = totals
        seed = balancer_seed(spec.seed, number)
        self._servers = HollowServerConnector(clock, random.Random(seed), spec.set_up_ms, spec.dead)
        connectors = {"lines": self._servers, "channels": self._servers}
        self._exchange = Exchange(settings, seed, clock, connectors)
        placed = totals.placed.setdefault(number, Counter())
        self._exchange.observer = PlacementCounter(placed)
        restored = recovery.build_start_state(
            None, None, clock.now(), 0.0, trust_settings(operators.state), 0.0
        )
        self._recorder = ListRecorder(self._exchange, number, record, spec.skip)
        self._list_client = ListClient(self._recorder, restored, clock, lambda entries: None)
        discovery = parse_address(spec.discovery[number - spec.first])
        always_subscribed = not settings.list_on_request
        relays = rendezvous_order(balancer_name(number), operators.discovery.relays)
        self._list_client.watch(discovery, always_subscribed=always_subscribed, seed=seed, relays=relays)

    @property
    def list_applied(self) -> anyio.Event:
        """Set once a list has been applied."""
        return self._recorder.list_applied

    async def run(self) -> None:
        """Watch the list until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._exchange.run, self._list_client.source, self._list_client.restored)
            tasks.start_soon(self._list_client.source.run)

    async def serve_clients(self, begin_ms: float, end_ms: float) -> None:
        """Run the clients that arrive between two times of the clock.

        Clients that arrived before a restart of the balancer are skipped.
        """
        workload = self._spec.crowd
        async with anyio.create_task_group() as tasks:
            for arrival in generate_arrivals(workload, self._spec.seed, self._number):
                arrives_at = begin_ms + arrival.after_ms
                if arrives_at >= end_ms:
                    return
                if arrives_at < self._clock.now() - 1_000.0:
                    continue
                await self._clock.sleep(arrives_at - self._clock.now())
                tasks.start_soon(self._run_client, arrival, workload)

    async def _run_client(self, arrival: Arrival, workload: ClientWorkload) -> None:
        await run_client(arrival, workload, self._number, self._clock, self._connect)

    async def _connect(self, opening: Opening, life_ms: float) -> ConnectionOutcome:
        if self._spec.skip is Skip.PLACING:
            return ConnectionOutcome.REFUSED
        client = HollowClientConnection(self._clock, life_ms)
        await self._exchange.serve(opening, client)
        self._totals.refused += client.outcome is ConnectionOutcome.REFUSED
        self._totals.moved += client.outcome is ConnectionOutcome.MOVED
        return client.outcome


def balancer_seed(seed: int, number: int) -> int:
    """Return the random seed of a hollow or real balancer."""
    return (seed * 1_000_003 + number) & 0xFFFFFFFF


def balancer_name(number: int) -> str:
    """Return the name of a hollow or real balancer, which determines its order of relays."""
    return f"b{number}"
