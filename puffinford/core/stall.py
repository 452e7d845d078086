"""Doubt in the server list after the program itself stood still."""

from __future__ import annotations

import anyio

from puffinford.core.clock import Clock
from puffinford.core.logger import log
from puffinford.core.values import ServerListSource

WATCH = 500.0  # between turns of the exchange's own loop, in ms
STALLED = 300.0  # the program itself came this late to its turn: all limits were late by as much
DOUBT_MOST = 500.0  # after that a new attempt waits so long for a list, and no longer


class StallWatch:
    """Notices that the program stood still, and has the list asked for anew before it is relied on."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._source: ServerListSource | None = None
        self._turned = clock.now()  # the last turn of the exchange's loop
        self._doubted = float("-inf")  # until then a list is waited for, since the program stood still ...
        self._news = anyio.Event()  # ... unless it has come

    def watch(self, source: ServerListSource) -> None:
        """Ask this source from now on."""
        self._source = source

    def turn(self) -> None:
        """A turn of the exchange's loop begins; the next is WATCH away."""
        self._turned = self._clock.now()

    def list_came(self) -> None:
        """A list has come: what it says is of after the stall."""
        self._news.set()

    def in_doubt(self) -> bool:
        """Whether the list may be out of date, for the program stood still and has not heard anew since."""
        now = self._clock.now()
        late = now - self._turned - WATCH
        if late > STALLED:
            log.warning("stalled", extra={"ms": round(late)})
            self._turned = now
            if self._source is not None and self._source.refresh():
                self._doubted = now + DOUBT_MOST
                self._news = anyio.Event()
        return now < self._doubted and not self._news.is_set()

    async def trusted(self) -> None:
        """Wait until the list can be trusted.

        Guards a server that was told to drain while the program stood still: what had been written to it
        counts as told, and clients of before the stop were sent there for a second after it.
        """
        if self.in_doubt():
            with self._clock.limit(self._doubted - self._clock.now()):
                await self._news.wait()
