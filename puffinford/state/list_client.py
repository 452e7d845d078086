"""The list client: reads server lists from one source, validates each, and hands it to the exchange.

Both `serve` and the simulated balancers of `puffinford.scale` use it.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Protocol

from puffinford.core.clock import Clock
from puffinford.core.start_times import StartTimes
from puffinford.core.values import RestoredState, ServerEntries
from puffinford.server_list.discovery import DiscoveryWatch
from puffinford.server_list.inventory_file import InventoryFile
from puffinford.state.recovery import ListValidator, StartState

log = logging.getLogger(__name__)

ListSource = DiscoveryWatch | InventoryFile
_WATCH_SEED_MASK = 0xD15C  # gives the watch a random sequence of its own, apart from the decision module's


class ListConsumer(Protocol):
    """The part of the exchange that receives server lists."""

    def take_list(self, entries: ServerEntries | None) -> None:
        """Apply a list; None reports a failed call for one."""


class ListClient:
    """Passes the validated lists of one source to the exchange.

    The caller runs `source` and gives it to the exchange, which requests lists through it.
    """

    def __init__(
        self,
        exchange: ListConsumer,
        start: StartState,
        clock: Clock,
        on_list: Callable[[ServerEntries], None],
        starts: StartTimes | None = None,
    ) -> None:
        """Begin with the state `start`. `on_list` is called with each list once the exchange has applied it.

        Call `watch` or `read` before anything runs: it sets the source. `starts` is shared with the other
        readers of lists in this process.
        """
        self._starts = starts or StartTimes(clock)
        self.restored: RestoredState = start.restored
        self.source: ListSource
        self._exchange = exchange
        self._version = start.version
        self._clock = clock
        self._on_list = on_list
        self._validator = ListValidator(start.version, start.restored.entries.entries)

    def watch(
        self,
        discovery: tuple[str, int],
        *,
        always_subscribed: bool,
        seed: int,
        relays: Sequence[tuple[str, int]] = (),
    ) -> None:
        """Use discovery as the source.

        With `always_subscribed`, changes are announced without a subscription. `relays` are called in place
        of discovery, the preferred one first.
        """
        rng = random.Random(seed ^ _WATCH_SEED_MASK)
        self.source = DiscoveryWatch(
            discovery, self._version, self._clock, self._take, always_subscribed, rng, relays, self._starts
        )

    def read(self, inventory: Path, drain_grace: float) -> None:
        """Use an inventory file as the source; raises what `InventoryFile.check` raises.

        `drain_grace` is in ms, see `InventoryFile`.
        """
        self.source = InventoryFile(inventory, self._clock, self._take, self._starts, drain_grace)
        self.source.check()

    def change_address(self, discovery: tuple[str, int], *, changed: bool) -> None:
        """Set the address of discovery; `changed` where it differs from the one before."""
        if isinstance(self.source, DiscoveryWatch):
            if changed and not self.source.uses_relays:
                self._validator.reset_version()
            self.source.change_address(discovery)

    def _take(self, answer: ServerEntries | None) -> int | None:
        """Handle an answer (None: a failed call); return the version that the next call continues from."""
        if answer is None:
            self._exchange.take_list(None)
            return self._validator.version
        if isinstance(self.source, InventoryFile):
            self._validator.reset_version()  # versions of a file restart with each process
        accepted = self._validator.validate(answer)
        if accepted.note:
            log.warning("discovery suspect", extra={"why": accepted.note})
        if accepted.entries is not None:
            self._exchange.take_list(accepted.entries)
            self._on_list(accepted.entries)
        return accepted.version
