"""The servers in the orders in which they are looked at: this balancer's, the common one, and each group's.

Which of them takes a client is decided in `puffinford/balance.py`.
"""

from __future__ import annotations

import random
from bisect import bisect_left
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from operator import attrgetter

from puffinford import interface as it
from puffinford.decision_state import DEFAULT_WARM_CAPACITY, QUOTA_FRACTION, Backend, ListedServers
from puffinford.hashing import hash_fraction, scrambled, scrambled_all
from puffinford.timers import Timers

THIN = 12.0  # own part of what a server carries, in connections, under which one connection is a large step
ORDERED_MOST = 100_000  # entries in all the groups' orders that are remembered ...
ORDERS = 1_000  # ... which are no more than so many, those used last
CHANGES_MOST = 256  # changes of the list that these are kept through; after more they are worked out anew
PREFIX_LEAST = 64  # entries of an order that are worked out at once ...
PREFIX_PART = 8  # ... or one of so many of the servers
COLD_LOOK = 200.0  # ms between looks for servers that have become cold while the list stayed the same


@dataclass(frozen=True, slots=True)
class Change:
    """A server that came into the common order, or went out of it."""

    backend: Backend
    came: bool


class GroupOrder:
    """The first servers in one group's order, as far as they are asked for, and how list changes move them.

    A server's rank is its hash with the group (rendezvous hashing, Thaler and Ravishankar 1998): one server
    more or less moves no other, and each balancer finds the same.
    """

    __slots__ = ("_common", "_group", "_heard", "_ranks", "_servers", "_whole")

    def __init__(self, group: int, common: list[Backend], heard: int) -> None:
        """`heard` is how many changes of the list `common` holds already."""
        self._group = group
        self._common = common
        self._heard = heard
        self._ranks: list[int] = []
        self._servers: list[Backend] = []
        self._whole = False
        self._extend(max(PREFIX_LEAST, len(common) // PREFIX_PART))

    def catch_up(self, common: list[Backend], changes: list[Change]) -> None:
        """Take in what has changed since; `common` is how the servers are now."""
        self._common = common
        for change in changes[self._heard :]:
            rank = scrambled(self._group ^ change.backend.reach)
            place = bisect_left(self._ranks, rank)
            known = place < len(self._ranks)
            if change.came and (known or self._whole):
                self._ranks.insert(place, rank)
                self._servers.insert(place, change.backend)
            elif known and self._servers[place] is change.backend:
                del self._ranks[place], self._servers[place]
        self._heard = len(changes)

    def __len__(self) -> int:
        return len(self._servers)

    def __iter__(self) -> Iterator[Backend]:
        place = 0
        while True:
            if place == len(self._servers):
                if self._whole:
                    return
                self._extend(2 * place + PREFIX_LEAST)
                continue
            yield self._servers[place]
            place += 1

    def _extend(self, count: int) -> None:
        """Work out so many of the first servers."""
        ranks = scrambled_all(self._group, [b.reach for b in self._common])
        first = sorted(zip(ranks, range(len(ranks)), strict=True))[:count]
        self._ranks = [rank for rank, _ in first]
        self._servers = [self._common[place] for _, place in first]
        self._whole = count >= len(ranks)


class Fleet(ListedServers):
    """The server list, and the order of this balancer in it."""

    def __init__(
        self,
        settings: it.Settings,
        seed: int,
        rng: random.Random,
        timers: Timers,
        act: Callable[[it.Action], None],
    ):
        super().__init__(settings, seed, rng, timers, act)
        self.order: list[Backend] = []  # this balancer's shuffle
        self.common: list[Backend] = []  # the shuffle common to all balancers
        self._orders: dict[int, GroupOrder] = {}  # those of groups, the last used last
        self._changes: list[Change] = []  # of the common order, since the oldest of those was made
        self._cold: list[Backend] = []  # as `cold_due` found them last
        self._cold_until = float("-inf")
        self.most = 0  # servers that were up together, at most
        self.warm_capacity = (
            DEFAULT_WARM_CAPACITY  # connections that a warm one can be counted on to carry, for all balancers
        )
        self.mean_size = 0.0  # 0 where sizes are not told
        self.quotas = 0.0  # connections of all tenants
        self.thin = False  # this balancer sees so little of each that its own steps are all or nothing

    def configure(self, settings: it.Settings) -> None:
        self._settings = settings
        self.most = 0
        self._shuffle()

    def take(self, event: it.ServerList, now: float) -> bool:
        """Take in a list; tells whether the order has changed."""
        changed = super().take(event, now)
        if changed:
            self._shuffle()
        return changed

    def cordon(self, servers: frozenset[str], now: float) -> tuple[list[Backend], list[Backend]]:
        out, back = super().cordon(servers, now)
        if out or back:
            self._shuffle()
        return out, back

    def _shuffle(self) -> None:
        """Order the live servers: this balancer's slice of a shuffle common to all comes first.

        The slices of all balancers cover the fleet evenly, where independent shuffles would leave some
        servers to few balancers. A newcomer enters at a place of its own and moves no other entry.
        Zones do not matter here: clients crowd into some zones, and a server kept to its zone's
        clients would have no room there while others stand idle.
        """
        live = [b for b in self.backends.values() if b.open]
        self.most = max(self.most, len(live))
        sizes = [b.size for b in live if b.size > 0]
        self.mean_size = sum(sizes) / len(sizes) if self._settings.sized and sizes else 0.0
        self.quotas = sum(tenant.quota for tenant in self._settings.tenants)
        if self.quotas:
            self.warm_capacity = self.quotas / QUOTA_FRACTION / max(1, self.most)
        self.thin = self.warm_capacity < THIN * self._settings.balancers
        self._note_changes(sorted(live, key=attrgetter("reach")))
        self._cold_until = float("-inf")
        start = int((self._settings.me + 0.5) / self._settings.balancers * len(live)) % max(1, len(live))
        self.order = self.common[start:] + self.common[:start]

    def cold_due(self, now: float) -> list[Backend]:
        """The cold servers that may have a turn to give within COLD_LOOK, in the common order.

        One found to be cold since the last look may be missing.
        """
        if now >= self._cold_until:
            self._cold_until = soon = now + COLD_LOOK
            cold = [b for b in self.common if b.cold_since is not None]
            self._cold = [b for b in cold if b.turn_due <= soon or b.credit >= 1.0]
        return self._cold

    def share(self, backend: Backend) -> float:
        """A server's size beside the mean of the live ones; 1 where sizes are not told."""
        return backend.size / self.mean_size if backend.size > 0 and self.mean_size else 1.0

    def _note_changes(self, common: list[Backend]) -> None:
        """Put a common order in force, and note in what it differs."""
        was, now = set(self.common), set(common)
        self._changes += [Change(b, came=False) for b in self.common if b not in now]
        self._changes += [Change(b, came=True) for b in common if b not in was]
        self.common = common
        if len(self._changes) > CHANGES_MOST:
            self._orders.clear()
            self._changes.clear()

    def group_order(self, group: int) -> Iterable[Backend]:
        """The servers in a group's order, the same at every balancer.

        Among many balancers each group has a shuffle of its own. Guards the server that follows in a
        common one against all the groups of a zone that is lost: 93 of 164 connections met at one of five.
        """
        if not self.thin:
            start = self._start(group)
            return self.common[start:] + self.common[:start]
        order = self._orders.pop(group, None)
        if order is None:
            order = GroupOrder(group, self.common, len(self._changes))
            most = min(ORDERS, ORDERED_MOST // max(1, len(order)))
            while len(self._orders) >= most:
                del self._orders[next(iter(self._orders))]
        else:
            order.catch_up(self.common, self._changes)
        self._orders[group] = order
        return order

    def in_group_order(self, group: int, chosen: list[Backend]) -> list[Backend]:
        """Some of the servers, in a group's order."""
        if len(chosen) < 2:
            return chosen
        if self.thin:
            return sorted(chosen, key=lambda b: scrambled(group ^ b.reach))
        first = self.common[self._start(group)].reach
        return sorted(chosen, key=lambda b: (b.reach < first, b.reach))

    def _start(self, group: int) -> int:
        """Where in the common order a group begins, where balancers are few."""
        return int(hash_fraction(group) * len(self.common))
