"""The list client: where server lists come from, what judges each, and the exchange that takes them.

`serve` runs one, and so does each hollow balancer of `puffinford.scale`.
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
from puffinford.server_list.inventory import InventoryFile
from puffinford.state.recovery import ListValidator, StartState

log = logging.getLogger(__name__)

ListSource = DiscoveryWatch | InventoryFile
_WATCH_SEED = 0xD15C  # keeps the draws of the watch apart from those of the decision module


class ListConsumer(Protocol):
    """What goes by the lists: the exchange."""

    def take_list(self, machines: ServerEntries | None) -> None:
        """A list has come, or (None) a call for one has failed."""


class ListClient:
    """Asks one source for server lists, has each judged, and passes on what is to be taken.

    `source` is for the exchange, which asks through it, and is run beside it.
    """

    def __init__(
        self,
        exchange: ListConsumer,
        start: StartState,
        clock: Clock,
        note: Callable[[ServerEntries], None],
        starts: StartTimes | None = None,
    ) -> None:
        """`start` is what there is to go by before the source has spoken; `note` hears each list that was
        taken, once it is in force. `watch` or `read` names the source, before anything runs.
        `starts` is shared with whatever else in this process reads lists.
        """
        self._starts = starts or StartTimes(clock)
        self.restored: RestoredState = start.restored
        self.source: ListSource
        self._exchange = exchange
        self._version = start.version
        self._clock = clock
        self._note = note
        self._validator = ListValidator(start.version, start.restored.entries.entries)

    def watch(
        self,
        discovery: tuple[str, int],
        *,
        always_subscribed: bool,
        seed: int,
        relays: Sequence[tuple[str, int]] = (),
    ) -> None:
        """Take lists from discovery; `always_subscribed` where changes count as told without being asked for.

        `relays` are asked in its place, the preferred one first.
        """
        rng = random.Random(seed ^ _WATCH_SEED)
        self.source = DiscoveryWatch(
            discovery, self._version, self._clock, self._take, always_subscribed, rng, relays, self._starts
        )

    def read(self, inventory: Path) -> None:
        """Take lists from an inventory file; raises as `InventoryFile.check` does."""
        self.source = InventoryFile(inventory, self._clock, self._take, self._starts)
        self.source.check()

    def change_address(self, discovery: tuple[str, int], *, changed: bool) -> None:
        """Discovery answers there from now on; `changed` where that is another address than before."""
        if isinstance(self.source, DiscoveryWatch):
            if changed and not self.source.uses_relays:
                self._validator.moved()
            self.source.change_address(discovery)

    def _take(self, machines: ServerEntries | None) -> int | None:
        """An answer of the list's source, or None for none; the version that the next call goes on from."""
        if machines is None:
            self._exchange.take_list(None)
            return self._validator.version
        if isinstance(self.source, InventoryFile):
            self._validator.moved()  # the file counts anew in each process, and is the operators' word
        taken = self._validator.validate(machines)
        if taken.note:
            log.warning("discovery suspect", extra={"why": taken.note})
        if taken.entries is not None:
            self._exchange.take_list(taken.entries)
            self._note(taken.entries)
        return taken.version
