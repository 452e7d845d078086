"""Turns for answers that are long: bounded bytes of them are being written at once. No I/O; times are ms.

Guards memory, and the news of all others, against a herd that asks for whole lists.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum


class Turn(Enum):
    NOW = "now"
    LATER = "later"  # it will be among those that `next` names, or `expired`
    NEVER = "never"  # too many wait already


@dataclass(frozen=True, slots=True)
class _Waiting:
    size: int
    until: float


class Admission:
    """First come, first served. One answer is let through alone, whatever its size."""

    def __init__(self, size_most: int, waiting_most: int, patience: float) -> None:
        self._size_most = size_most
        self._waiting_most = waiting_most
        self._patience = patience
        self._writing: dict[Hashable, int] = {}
        self._waiting: dict[Hashable, _Waiting] = {}
        self.size = 0  # bytes being written

    @property
    def waiting(self) -> int:
        """How many wait for their turn."""
        return len(self._waiting)

    def ask(self, caller: Hashable, size: int, now: float) -> Turn:
        """Whether `size` bytes may be written to this caller."""
        if not self._waiting and self._fits(size):
            self._start(caller, size)
            return Turn.NOW
        if len(self._waiting) >= self._waiting_most:
            return Turn.NEVER
        self._waiting[caller] = _Waiting(size, now + self._patience)
        return Turn.LATER

    def done(self, caller: Hashable) -> None:
        """The caller's answer is written, or the caller has gone."""
        self.size -= self._writing.pop(caller, 0)
        self._waiting.pop(caller, None)

    def next(self) -> list[Hashable]:
        """Those whose turn it is now; their bytes count as being written from now on."""
        started: list[Hashable] = []
        while self._waiting:
            caller, first = next(iter(self._waiting.items()))
            if not self._fits(first.size):
                break
            del self._waiting[caller]
            self._start(caller, first.size)
            started.append(caller)
        return started

    def expired(self, now: float) -> list[Hashable]:
        """Those who have waited too long, and wait no more."""
        gone: list[Hashable] = []
        while self._waiting:
            caller, first = next(iter(self._waiting.items()))
            if first.until > now:
                break
            del self._waiting[caller]
            gone.append(caller)
        return gone

    def _fits(self, size: int) -> bool:
        return not self._writing or self.size + size <= self._size_most

    def _start(self, caller: Hashable, size: int) -> None:
        self._writing[caller] = size
        self.size += size
