"""The time base of a store: Unix ms, as counted by its first process since the host booted.

It advances with the system's monotonic clock (clock_gettime(2), CLOCK_MONOTONIC), which all processes of a
boot share. Stepping the wall clock, within a process or between two, therefore changes no age of stored data.
"""

from __future__ import annotations

import time
from pathlib import Path

from puffinford.core.clock import Clock
from puffinford.state.records import StoreContents
from puffinford.state.trust import CLOCK_SKEW_TOLERANCE_MS

BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")  # proc(5): a new value at each boot
MAX_CLOCK_STEP_MS = 7_200_000.0  # a stored time base further off than this is not used


def boot_id() -> str:
    """Return the id of the current boot; empty where it cannot be read."""
    try:
        return BOOT_ID_PATH.read_text(encoding="ascii").strip()
    except (OSError, ValueError):
        return ""


class Timeline:
    """The store's time relative to the process clock. It starts at the current wall clock time."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.boot_id = boot_id()
        self.offset = time.time() * 1_000.0 - clock.now()  # the store's time minus the process clock's, in ms

    @property
    def monotonic_offset(self) -> float:
        """The store's time minus the system's monotonic clock, in ms."""
        return self.offset + self._clock.anchor

    def now(self) -> float:
        """Return the current time of the store, in Unix ms."""
        return self._clock.now() + self.offset

    def resume(self, stored: StoreContents) -> bool:
        """Adopt the time base of a store if it was written in this boot; return whether it was adopted.

        A list confirmed in the future was written by a different monotonic clock, even with the same boot id.
        """
        if not stored.boot_id or stored.boot_id != self.boot_id:
            return False
        offset = stored.monotonic_offset - self._clock.anchor
        if (
            abs(offset - self.offset) > MAX_CLOCK_STEP_MS
            or stored.confirmed_at > self._clock.now() + offset + CLOCK_SKEW_TOLERANCE_MS
        ):
            return False
        self.offset = offset
        return True
