"""Selects which of several equivalent endpoints the next call goes to. No I/O and no clock; times are ms.

Endpoints are in order of preference. A client keeps to one endpoint while it answers, switches to the next
after a failure, and returns to the preferred one after a delay. Pauses have full jitter ("Exponential Backoff
And Jitter", Brooker 2015), so that clients that failed together do not retry together.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from puffinford.hashing import hash_fraction, stable_hash

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Pauses in ms.

    After n consecutive failures the pause is drawn from 0 to `initial_window` times 2^(n-1), `max_window` at
    most.
    """

    initial_window: float = 1_000.0
    max_window: float = 2_000.0
    min_return_delay: float = 5_000.0  # before a return to the preferred endpoint
    return_spread: float = 30_000.0  # random extra delay; doubles with each further failure
    max_return_spread: float = 240_000.0


def rendezvous_order(name: str, endpoints: Sequence[Address]) -> list[Address]:
    """Order endpoints for a client by rendezvous hashing (Thaler and Ravishankar 1998), without duplicates.

    Adding or removing an endpoint moves only the clients that prefer it.
    """

    def weight(endpoint: Address) -> tuple[float, Address]:
        return hash_fraction(stable_hash("{}|{}:{}".format(name, *endpoint))), endpoint

    return sorted(dict.fromkeys(endpoints), key=weight, reverse=True)


class EndpointSelector:
    """Selects endpoints for one client.

    `addresses` are in order of preference; raises ValueError if there are none.
    """

    def __init__(self, addresses: Sequence[Address], rng: random.Random, policy: RetryPolicy) -> None:
        if not addresses:
            raise ValueError("no endpoint given")
        self._addresses = list(addresses)
        self._rng = rng
        self._policy = policy
        self._chosen = 0
        self._suspect: set[Address] = set()  # failed since the last answer from any endpoint
        self._failures = 0  # consecutive, of any endpoint
        self._preferred_failures = 0  # consecutive
        self._return_at = 0.0

    def __len__(self) -> int:
        return len(self._addresses)

    def choose(self, now: float) -> Address:
        """Return the endpoint for a call when no other call is pending; `now` is ms."""
        if self._chosen and now >= self._return_at and not self._failures:
            self._chosen = 0
        return self._addresses[self._chosen]

    def choose_hedge(self, pending: Collection[Address]) -> Address:
        """Return the endpoint for a hedged call: one without a pending call, if there is one."""
        return self._next_wanted([address for address in self._addresses if address not in pending])

    def record_failure(self, address: Address, now: float) -> None:
        """Record a failed call or a suspect answer; the next call goes to another endpoint."""
        self._failures += 1
        self._suspect.add(address)
        if address == self._addresses[0]:
            self._preferred_failures += 1
        if address == self._addresses[self._chosen] and len(self._addresses) > 1:
            others = [other for other in self._addresses if other != address]
            self._switch_to(self._addresses.index(self._next_wanted(others)), now)

    def record_answer(self, address: Address, now: float) -> None:
        """Record an answer; the next calls go to this endpoint."""
        self._failures = 0
        self._suspect.clear()
        if address == self._addresses[0]:
            self._preferred_failures = 0
        index = self._addresses.index(address)
        if index != self._chosen:
            # Prevents an early return to a preferred endpoint that is silent and so has no recorded failure.
            self._preferred_failures += self._chosen == 0
            self._switch_to(index, now)

    def _next_wanted(self, wanted: Collection[Address]) -> Address:
        """Return the next wanted endpoint after the chosen one, if possible one that has not failed."""
        count = len(self._addresses)
        candidates = [self._addresses[(self._chosen + step) % count] for step in range(1, count + 1)]
        return min(candidates, key=lambda address: (address not in wanted, address in self._suspect))

    def retry_pause(self) -> float:
        """Draw the pause after a failure, in ms."""
        window = min(
            self._policy.max_window, self._policy.initial_window * 2.0 ** min(max(0, self._failures - 1), 16)
        )
        return window * self._rng.random()

    def _switch_to(self, index: int, now: float) -> None:
        if self._chosen == 0:
            policy = self._policy
            factor = 2.0 ** min(max(0, self._preferred_failures - 1), 16)
            spread = min(policy.max_return_spread, policy.return_spread * factor)
            self._return_at = now + policy.min_return_delay + spread * self._rng.random()
        self._chosen = index
