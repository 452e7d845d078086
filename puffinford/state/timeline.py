"""The times of a store: Unix ms as its first process in a boot of the machine counted them.

They go by the system's monotonic clock (clock_gettime(2), CLOCK_MONOTONIC), which all processes of a boot
share. So a wall clock that is stepped, within a process or between two, changes no age of what is kept.
"""

from __future__ import annotations

import time
from pathlib import Path

from puffinford.core.clock import Clock
from puffinford.state.records import Stored
from puffinford.state.trust import CLOCK_SKEW_TOLERANCE_MS

BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")  # proc(5): a new one at each start of the kernel
MAX_CLOCK_STEP_MS = (
    7_200_000.0  # ms; a greater difference is no step of a clock, and what is kept is not relied on
)


def boot_id() -> str:
    """This boot of the machine; empty where it cannot be told."""
    try:
        return BOOT_ID_PATH.read_text(encoding="ascii").strip()
    except (OSError, ValueError):
        return ""


class Timeline:
    """The store's time, beside the host's clock. It begins at the wall clock of now."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.boot_id = boot_id()
        self.offset = time.time() * 1_000.0 - clock.now()  # the store's time less the host's, in ms

    @property
    def monotonic_offset(self) -> float:
        """The store's time less the system's monotonic clock, in ms."""
        return self.offset + self._clock.anchor

    def now(self) -> float:
        """Now, in the store's time."""
        return self._clock.now() + self.offset

    def resume(self, stored: Stored) -> bool:
        """Go on with the time of a store that was written in this boot; tells whether it is one.

        What was confirmed at a time to come was written under another monotonic clock, whatever its boot.
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
