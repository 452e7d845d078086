"""A balancer's watch of the server list, at discovery itself or at list relays.

The timings bound the age of the list: a change is applied within 6 s of the moment at which discovery had it
and was reachable, whichever calls failed. docs/design-ends.md derives the bound for DIRECT_TIMING, and
docs/design-relay.md the one for RELAYED_TIMING, where a relay's list may itself be 2 s old.
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
    MAX_ANSWER_BYTES,
    MAX_CONCURRENT_CALLS,
    CallFailed,
    ListWatch,
    ReceivedAnswer,
    WatchTiming,
)

__all__ = [
    "AGENT_RETRY_MS",
    "ANSWER_GRACE_MS",
    "DIRECT_TIMING",
    "MAX_ANSWER_BYTES",
    "MAX_CONCURRENT_CALLS",
    "RELAYED_TIMING",
    "WATCH_WAIT_MS",
    "CallFailed",
    "DiscoveryWatch",
]

log = logging.getLogger(__name__)

DIRECT_TIMING = WatchTiming()  # no retry policy: after a failure the decision module schedules the next call
RELAYED_TIMING = WatchTiming(wait=1_500, retry=RetryPolicy())
WATCH_WAIT_MS = DIRECT_TIMING.wait
ANSWER_GRACE_MS = DIRECT_TIMING.answer_grace


class DiscoveryWatch(ListWatch[ServerEntries]):
    """Watches discovery or relays while the decision module is subscribed.

    Without relays the decision module also schedules the calls after a failure.
    """

    def __init__(
        self,
        address: Address,
        version: int | None,
        clock: Clock,
        on_list: Callable[[ServerEntries | None], int | None],
        always_subscribed: bool = False,
        rng: random.Random | None = None,
        relays: Sequence[Address] = (),
        start_times: StartTimes | None = None,
    ) -> None:
        """`on_list` receives each list, or None for a failed call, and returns the version from which the
        next call continues (None: ask for the full list). The first call continues from `version`.
        `always_subscribed` is for installations that announce changes without a subscription. `relays`, the
        preferred one first, are called instead of `address`. `start_times` is shared by all sources of lists
        in this process.
        """
        self._start_times = start_times or StartTimes(clock)
        self._address = address
        self.uses_relays = bool(relays)
        rng = rng or random.Random()
        timing = RELAYED_TIMING if relays else DIRECT_TIMING
        endpoints = EndpointSelector(relays or [address], rng, timing.retry or RetryPolicy())

        def on_answer(received: ReceivedAnswer[ServerEntries] | None) -> int | None:
            return on_list(None if received is None else received.answer)

        super().__init__(endpoints, version, clock, self._parse, on_answer, timing, always_subscribed, rng)

    def change_address(self, address: Address) -> None:
        """Use another address of discovery, and ask there at once for the full list.

        The full list is needed because versions of the old address may mean nothing at the new one. The list
        held stays in use until the answer arrives. Relays are not affected.
        """
        if address == self._address:
            return
        self._address = address
        if self.uses_relays:
            return
        log.info("discovery moved", extra={"to": "{}:{}".format(*address)})
        self.use_endpoints(EndpointSelector([address], self._rng, RetryPolicy()))

    def _parse(self, body: bytes) -> ServerEntries:
        """Parse the body of an answer; raises CallFailed."""
        try:
            return parse_server_list(
                json.loads(body),
                self._start_times,
                lambda text: log.warning("discovery entry rejected", extra={"error": text}),
            )
        except (BadEntry, ValueError, RecursionError) as exc:
            raise CallFailed(f"not a list: {exc}") from None
