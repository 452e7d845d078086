"""Detection of stalls of this process, after which the server list may be out of date."""

from __future__ import annotations

import anyio

from puffinford.core.clock import Clock
from puffinford.core.logger import log
from puffinford.core.values import ServerListSource

WATCH_INTERVAL_MS = 500.0  # between checks by the exchange
STALL_THRESHOLD_MS = 300.0  # a check this late is a stall of the process: all limits were late by as much
LIST_WAIT_MS = 500.0  # longest wait of a new attempt for a list after a stall


class StallWatch:
    """Detects that the process was suspended, and requests a new list before the old one is used."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._source: ServerListSource | None = None
        self._interval_started_at = clock.now()
        self._suspect_until = float("-inf")  # or until a list arrives
        self._list_update = anyio.Event()

    def set_source(self, source: ServerListSource) -> None:
        """Set the source that is refreshed after a stall."""
        self._source = source

    def start_interval(self) -> None:
        """Start an interval: the next check is expected in WATCH_INTERVAL_MS."""
        self._interval_started_at = self._clock.now()

    def list_received(self) -> None:
        """Record that a list has arrived since the stall."""
        self._list_update.set()

    def is_list_suspect(self) -> bool:
        """Check for a stall; return whether the list is suspect because none has arrived since."""
        now = self._clock.now()
        late = now - self._interval_started_at - WATCH_INTERVAL_MS
        if late > STALL_THRESHOLD_MS:
            log.warning("stalled", extra={"ms": round(late)})
            self._interval_started_at = now
            if self._source is not None and self._source.refresh():
                self._suspect_until = now + LIST_WAIT_MS
                self._list_update = anyio.Event()
        return now < self._suspect_until and not self._list_update.is_set()

    async def wait_for_list(self) -> None:
        """Wait while the list is suspect, at most LIST_WAIT_MS after the stall.

        Prevents new connections to servers that began to drain while the process was suspended.
        """
        if self.is_list_suspect():
            with self._clock.limit(self._suspect_until - self._clock.now()):
                await self._list_update.wait()
