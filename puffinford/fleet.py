"""The server list in the orders in which servers are tried: this balancer's, the common one and each group's.

Placement is decided in `puffinford/balance.py`.
"""

from __future__ import annotations

import random
from bisect import bisect_left
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from operator import attrgetter

from puffinford import interface as it
from puffinford.decision_state import DEFAULT_WARM_CAPACITY, QUOTA_FRACTION, Backend, ListedServers
from puffinford.hashing import hash_fraction, mix64, mix64_all
from puffinford.timers import Timers

SPARSE_CONNECTIONS = 12.0  # warm capacity of a server per balancer, below which the fleet is sparse
MAX_CACHED_ENTRIES = 100_000  # in all cached group orders
MAX_CACHED_ORDERS = 1_000
MAX_CHANGES = 256  # list changes kept for cached orders; with more they are rebuilt
MIN_PREFIX = 64  # minimum number of entries of a group order that are computed at first
PREFIX_DIVISOR = 8  # this fraction of the servers is computed at first, if it is more
COLD_SCAN_INTERVAL_MS = 200.0  # for servers that became cold without a list change


@dataclass(frozen=True, slots=True)
class Change:
    """A server that was added to the common order, or removed from it."""

    backend: Backend
    added: bool


class GroupOrder:
    """The first servers in one group's order, extended on demand and updated with list changes.

    A server's rank is its hash combined with the group (rendezvous hashing, Thaler and Ravishankar 1998):
    adding or removing a server moves no other, and every balancer computes the same order.
    """

    __slots__ = ("_applied_changes", "_common_order", "_complete", "_group", "_ranks", "_servers")

    def __init__(self, group: int, common_order: list[Backend], applied_changes: int) -> None:
        """`applied_changes`: the number of list changes that `common_order` already includes."""
        self._group = group
        self._common_order = common_order
        self._applied_changes = applied_changes
        self._ranks: list[int] = []
        self._servers: list[Backend] = []
        self._complete = False
        self._extend(max(MIN_PREFIX, len(common_order) // PREFIX_DIVISOR))

    def catch_up(self, common_order: list[Backend], changes: list[Change]) -> None:
        """Apply the changes since the last call; `common_order` already includes them."""
        self._common_order = common_order
        for change in changes[self._applied_changes :]:
            rank = mix64(self._group ^ change.backend.id_hash)
            index = bisect_left(self._ranks, rank)
            within = index < len(self._ranks)
            if change.added and (within or self._complete):
                self._ranks.insert(index, rank)
                self._servers.insert(index, change.backend)
            elif within and self._servers[index] is change.backend:
                del self._ranks[index], self._servers[index]
        self._applied_changes = len(changes)

    def __len__(self) -> int:
        return len(self._servers)

    def __iter__(self) -> Iterator[Backend]:
        index = 0
        while True:
            if index == len(self._servers):
                if self._complete:
                    return
                self._extend(2 * index + MIN_PREFIX)
                continue
            yield self._servers[index]
            index += 1

    def _extend(self, count: int) -> None:
        """Compute the first `count` servers of the order."""
        ranks = mix64_all(self._group, [b.id_hash for b in self._common_order])
        first = sorted(zip(ranks, range(len(ranks)), strict=True))[:count]
        self._ranks = [rank for rank, _ in first]
        self._servers = [self._common_order[index] for _, index in first]
        self._complete = count >= len(ranks)


class Fleet(ListedServers):
    """The server list with its orders, and the totals computed from it."""

    def __init__(
        self,
        settings: it.Settings,
        seed: int,
        rng: random.Random,
        timers: Timers,
        emit: Callable[[it.Action], None],
    ):
        super().__init__(settings, seed, rng, timers, emit)
        self.order: list[Backend] = []  # of this balancer
        self.common_order: list[Backend] = []  # the same at all balancers
        self._group_orders: dict[int, GroupOrder] = {}  # cache, the most recently used last
        self._changes: list[Change] = []  # of the common order, since the cache was last cleared
        self._cold: list[Backend] = []  # result of the last scan of `cold_candidates`
        self._cold_expires_at = float("-inf")
        self.max_live = 0  # highest number of live servers so far
        self.warm_capacity = DEFAULT_WARM_CAPACITY  # connections of a warm server, for all balancers
        self.mean_size = 0.0  # 0 where sizes are not listed
        self.total_quota = 0.0  # connections of all tenants
        self.sparse = False  # few connections per server at this balancer

    def configure(self, settings: it.Settings) -> None:
        """Apply new settings."""
        self._settings = settings
        self.max_live = 0
        self._rebuild_order()

    def apply(self, event: it.ServerList, now: float) -> bool:
        """Apply a list event; returns whether the order has changed."""
        changed = super().apply(event, now)
        if changed:
            self._rebuild_order()
        return changed

    def cordon(self, servers: frozenset[str], now: float) -> tuple[list[Backend], list[Backend]]:
        cordoned, restored = super().cordon(servers, now)
        if cordoned or restored:
            self._rebuild_order()
        return cordoned, restored

    def _rebuild_order(self) -> None:
        """Rotate the common order so that this balancer's slice of it comes first.

        The slices of all balancers cover the fleet evenly, where independent shuffles would leave some
        servers to few balancers. A new server does not change the order of the others. Zones are ignored:
        clients are spread unevenly over zones, and preferring the client's zone would overload its servers
        while others are idle.
        """
        live = [b for b in self.backends.values() if b.accepts_new]
        self.max_live = max(self.max_live, len(live))
        sizes = [b.size for b in live if b.size > 0]
        self.mean_size = sum(sizes) / len(sizes) if self._settings.sized and sizes else 0.0
        self.total_quota = sum(tenant.quota for tenant in self._settings.tenants)
        if self.total_quota:
            self.warm_capacity = self.total_quota / QUOTA_FRACTION / max(1, self.max_live)
        self.sparse = self.warm_capacity < SPARSE_CONNECTIONS * self._settings.balancers
        self._replace_common_order(sorted(live, key=attrgetter("id_hash")))
        self._cold_expires_at = float("-inf")
        start = int((self._settings.me + 0.5) / self._settings.balancers * len(live)) % max(1, len(live))
        self.order = self.common_order[start:] + self.common_order[:start]

    def cold_candidates(self, now: float) -> list[Backend]:
        """Cold servers that may have a turn within COLD_SCAN_INTERVAL_MS, in the common order.

        The result is cached for that time, so a server that became cold since the last scan may be missing.
        """
        if now >= self._cold_expires_at:
            self._cold_expires_at = horizon = now + COLD_SCAN_INTERVAL_MS
            cold = [b for b in self.common_order if b.cold_since is not None]
            self._cold = [b for b in cold if b.next_turn_at <= horizon or b.turn_credit >= 1.0]
        return self._cold

    def relative_size(self, backend: Backend) -> float:
        """A server's size over the mean of the live ones; 1 where sizes are not listed."""
        return backend.size / self.mean_size if backend.size > 0 and self.mean_size else 1.0

    def _replace_common_order(self, common_order: list[Backend]) -> None:
        """Set the common order, and record the changes for the cached group orders."""
        before, after = set(self.common_order), set(common_order)
        self._changes += [Change(b, added=False) for b in self.common_order if b not in after]
        self._changes += [Change(b, added=True) for b in common_order if b not in before]
        self.common_order = common_order
        if len(self._changes) > MAX_CHANGES:
            self._group_orders.clear()
            self._changes.clear()

    def group_order(self, group: int) -> Iterable[Backend]:
        """The servers in a group's order, the same at every balancer.

        Where connections are sparse, each group has an order of its own. This prevents the groups of a lost
        zone from all moving to the server that follows it in the common order.
        """
        if not self.sparse:
            start = self._group_start(group)
            return self.common_order[start:] + self.common_order[:start]
        order = self._group_orders.pop(group, None)
        if order is None:
            order = GroupOrder(group, self.common_order, len(self._changes))
            limit = min(MAX_CACHED_ORDERS, MAX_CACHED_ENTRIES // max(1, len(order)))
            while len(self._group_orders) >= limit:
                del self._group_orders[next(iter(self._group_orders))]
        else:
            order.catch_up(self.common_order, self._changes)
        self._group_orders[group] = order
        return order

    def in_group_order(self, group: int, backends: list[Backend]) -> list[Backend]:
        """Sort a selection of servers by a group's order."""
        if len(backends) < 2:
            return backends
        if self.sparse:
            return sorted(backends, key=lambda b: mix64(group ^ b.id_hash))
        first = self.common_order[self._group_start(group)].id_hash
        return sorted(backends, key=lambda b: (b.id_hash < first, b.id_hash))

    def _group_start(self, group: int) -> int:
        """The index in the common order at which a group's order starts, where connections are not sparse."""
        return int(hash_fraction(group) * len(self.common_order))
