"""The memory that the requests of all clients may take together, paid for by the process's memory limit."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

MEBIBYTE = 1 << 20
PROCESS_BYTES = 48 * MEBIBYTE  # of a process that serves nobody
# Of the rest; what connections hold beside requests, and what a peer sends while it is served, takes more.
REQUEST_SHARE = 0.6
MIN_SHARE = 0.25  # of the whole limit, where it is so low that little more than the process fits

FREE_SHARE_DIVISOR = 4  # several requests of one connection may hold 1/4 of what is free
OPENING_COPIES = 2  # of its bytes: as text, and as written to a server
# Beside the opening:
LINE_REQUEST_BYTES = 32_768  # two sockets with their tasks and buffers
CHANNEL_REQUEST_BYTES = 49_152  # a socket with its tasks and buffers, and the window of unread data


class MemoryBudget:
    """Counts the bytes that requests hold, as estimated when they arrive, against a limit."""

    def __init__(self, limit: float = float("inf")) -> None:
        self.limit = limit
        self.used = 0

    @property
    def free(self) -> float:
        """Bytes under the limit; negative after the limit was lowered."""
        return self.limit - self.used

    def connection(self) -> ConnectionMemory:
        """Begin the account of a connection."""
        return ConnectionMemory(self)


class ConnectionMemory:
    """The part of a budget that the requests of one connection hold.

    Several requests may hold no more than a share of what is free, so that the connections that hold much are
    refused before one that asks for its first request (dynamic thresholds: Choudhury and Hahne, 1998).
    """

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._used = 0

    @contextmanager
    def reserve(self, count: int) -> Iterator[bool]:
        """Count `count` bytes within the block if they fit; yields whether they do."""
        free = self._budget.free
        fits = count <= free and (not self._used or self._used + count <= free / FREE_SHARE_DIVISOR)
        counted = count if fits else 0
        self._add(counted)
        try:
            yield fits
        finally:
            self._add(-counted)

    def _add(self, count: int) -> None:
        self._used += count
        self._budget.used += count


def request_memory_limit(memory_mb: float) -> float:
    """Bytes that requests may hold in a process with this memory limit."""
    total = memory_mb * MEBIBYTE
    return max(total * MIN_SHARE, (total - PROCESS_BYTES) * REQUEST_SHARE)
