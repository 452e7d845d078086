"""Which of several endpoints that serve the same list the next call goes to. No I/O, no clock; times are ms.

Endpoints stand in order of preference. A client stays with one for as long as it answers; another takes its
place after a failure, and the client returns to the preferred one after a while. All pauses have full jitter
("Exponential Backoff And Jitter", Brooker 2015), so that clients that failed together do not come together.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from puffinford.hashing import hash_fraction, stable_hash

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Pauses in ms. The n-th failure in a row is followed by one from 0 to `initial_window` times 2^(n-1)."""

    initial_window: float = 1_000.0
    max_window: float = 2_000.0
    return_least: float = 5_000.0  # with another endpoint at least this long, and up to ...
    return_spread: float = 30_000.0  # ... so much longer, doubled while the preferred one goes on failing
    return_most: float = 240_000.0


def rendezvous_order(name: str, endpoints: Sequence[Address]) -> list[Address]:
    """Endpoints by rendezvous hashing (Thaler and Ravishankar 1998) of the client's name with each of them.

    One endpoint more or less moves only the clients that prefer it. Doubled ones count once.
    """

    def weight(endpoint: Address) -> tuple[float, Address]:
        return hash_fraction(stable_hash("{}|{}:{}".format(name, *endpoint))), endpoint

    return sorted(dict.fromkeys(endpoints), key=weight, reverse=True)


class EndpointSelector:
    """The choice of one client. `addresses` are in order of preference, and not empty."""

    def __init__(self, addresses: Sequence[Address], rng: random.Random, policy: RetryPolicy) -> None:
        if not addresses:
            raise ValueError("no endpoint is given")
        self._addresses = list(addresses)
        self._rng = rng
        self._policy = policy
        self._chosen = 0
        self._suspect: set[Address] = set()  # failed since the last answer
        self._failures = 0  # in a row, whichever endpoint it was
        self._preferred_failures = 0  # in a row
        self._return_at = 0.0

    def __len__(self) -> int:
        return len(self._addresses)

    def choose(self, now: float) -> Address:
        """The endpoint for a call that is out alone."""
        if self._chosen and now >= self._return_at and not self._failures:
            self._chosen = 0
        return self._addresses[self._chosen]

    def choose_hedge(self, out: Collection[Address]) -> Address:
        """The endpoint for a call beside others: the next that none of them went to, if there is one."""
        return self._next([address for address in self._addresses if address not in out])

    def failed(self, address: Address, now: float) -> None:
        """A call to this endpoint failed, or its answer is doubted: the next call goes to another."""
        self._failures += 1
        self._suspect.add(address)
        if address == self._addresses[0]:
            self._preferred_failures += 1
        if address == self._addresses[self._chosen] and len(self._addresses) > 1:
            others = [other for other in self._addresses if other != address]
            self._take(self._addresses.index(self._next(others)), now)

    def answered(self, address: Address, now: float) -> None:
        """A call to this endpoint was answered: the next ones go there as well."""
        self._failures = 0
        self._suspect.clear()
        if address == self._addresses[0]:
            self._preferred_failures = 0
        number = self._addresses.index(address)
        if number != self._chosen:
            # Guards a preferred endpoint that is silent, and so has not failed, against being returned to.
            self._preferred_failures += self._chosen == 0
            self._take(number, now)

    def _next(self, wanted: Collection[Address]) -> Address:
        """The one after the chosen, in a circle: one that has not failed since the last answer, if it can be,
        and a wanted one.
        """
        count = len(self._addresses)
        circle = [self._addresses[(self._chosen + step) % count] for step in range(1, count + 1)]
        return min(circle, key=lambda address: (address not in wanted, address in self._suspect))

    def pause(self) -> float:
        """How long to wait after a failure, in ms, drawn anew each time."""
        window = min(
            self._policy.max_window, self._policy.initial_window * 2.0 ** min(max(0, self._failures - 1), 16)
        )
        return window * self._rng.random()

    def _take(self, number: int, now: float) -> None:
        if self._chosen == 0:
            policy = self._policy
            longer = 2.0 ** min(max(0, self._preferred_failures - 1), 16)
            spread = min(policy.return_most, policy.return_spread * longer)
            self._return_at = now + policy.return_least + spread * self._rng.random()
        self._chosen = number
