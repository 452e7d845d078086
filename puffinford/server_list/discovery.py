"""A balancer's watch of the server list, at discovery itself or at relays of it.

A change counts as told 6 s after discovery had it and could be reached, whatever calls failed. The bound on
the list's staleness, in ms (docs/design-ends.md has the arithmetic): a watch that falls silent is out for
WAIT + LATE + JITTER, a call beside it that hangs too for BESIDE + JITTER; after a failure the module pauses
3,000 at most, and two calls that hang take as long each. Either leaves the answer itself 400 ms or more.

Through relays, whose lists may be 2,000 old, the watch waits less: a change at 0 may be left out of an answer
until 2,000; the next call falls silent for 1,500 + 400 + 100, the one beside it, at another relay, for
1,000 + 100, and the third is answered by 5,500. After a failure the watch pauses 1,000, then 2,000 at most,
by itself (docs/design-relay.md).
"""

from __future__ import annotations

import json
import logging
import random
from collections.abc import Callable, Sequence

from puffinford.core.clock import Clock
from puffinford.core.start_times import StartTimes
from puffinford.core.values import ServerEntries
from puffinford.server_list.endpoints import Address, EndpointSelector, RetryPolicy
from puffinford.server_list.entries import BadEntry, parse_server_list
from puffinford.server_list.watch import (
    AGENT_RETRY_MS,
    ANSWER_MOST,
    MAX_CONCURRENT_CALLS,
    CallFailed,
    ListWatch,
    ReceivedAnswer,
    WatchTiming,
)

__all__ = [
    "AGENT_RETRY_MS",
    "ANSWER_GRACE_MS",
    "ANSWER_MOST",
    "DIRECT_TIMING",
    "MAX_CONCURRENT_CALLS",
    "RELAYED_TIMING",
    "WATCH_WAIT_MS",
    "CallFailed",
    "DiscoveryWatch",
]

log = logging.getLogger(__name__)

DIRECT_TIMING = WatchTiming()  # at discovery itself; after a failure the module paces the calls
RELAYED_TIMING = WatchTiming(wait=1_500, retry=RetryPolicy())
WATCH_WAIT_MS = DIRECT_TIMING.wait
ANSWER_GRACE_MS = DIRECT_TIMING.answer_grace


class DiscoveryWatch(ListWatch[ServerEntries]):
    """Calls discovery when the module asks; the module also paces the calls after a failure."""

    def __init__(
        self,
        address: Address,
        version: int | None,
        clock: Clock,
        take: Callable[[ServerEntries | None], int | None],
        always_subscribed: bool = False,
        rng: random.Random | None = None,
        relays: Sequence[Address] = (),
        starts: StartTimes | None = None,
    ) -> None:
        """`take` hears each answer, or None for a call that failed, and says from which version the next call
        goes on: None for the whole list. `version` is where the first call goes on from. `always_subscribed`:
        the module takes changes for told without asking. `relays` are asked in place of `address`, the
        preferred one first. `starts` is shared with whatever else in this process reads lists.
        """
        self._starts = starts or StartTimes(clock)
        self._address = address
        self.uses_relays = bool(relays)  # whether relays are asked in place of discovery
        rng = rng or random.Random()
        timing = RELAYED_TIMING if relays else DIRECT_TIMING
        endpoints = EndpointSelector(relays or [address], rng, timing.retry or RetryPolicy())

        def heard(heard: ReceivedAnswer[ServerEntries] | None) -> int | None:
            return take(None if heard is None else heard.answer)

        super().__init__(endpoints, version, clock, self._machines, heard, timing, always_subscribed, rng)

    def change_address(self, address: Address) -> None:
        """Discovery answers at another address from now on: ask there at once, for the whole list.

        Guards against the news between two addresses: a version of the old one may mean nothing at the
        new one. The list held stays in force until the answer is there. Relays are not moved by this.
        """
        if address == self._address:
            return
        self._address = address
        if self.uses_relays:
            return
        log.info("discovery moved", extra={"to": "{}:{}".format(*address)})
        self.restart(EndpointSelector([address], self._rng, RetryPolicy()))

    def _machines(self, body: bytes) -> ServerEntries:
        """The machines of a body; raises CallFailed."""
        try:
            return parse_server_list(
                json.loads(body),
                self._starts,
                lambda text: log.warning("discovery entry rejected", extra={"error": text}),
            )
        except (BadEntry, ValueError, RecursionError) as exc:
            raise CallFailed(f"not a list: {exc}") from None
