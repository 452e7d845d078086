"""Registry of the processes of one balancer, so that an old and a new version share limits and hand over.

Each process holds a file in a directory of the balancer, locked for as long as the process lives, that
contains its number, whether it is ready, and how many descriptors it uses.
"""

from __future__ import annotations

import contextlib
import fcntl
import mmap
import os
import struct
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

MAX_PROCESSES = 4  # at a time; two during an upgrade
OWN_DESCRIPTORS = 16  # of a process, besides its counted sockets
_RECORD = struct.Struct("=III")  # number in order of start, ready, descriptors
_READY_OFFSET, _DESCRIPTORS_OFFSET = 4, 8


@contextmanager
def locked(path: Path) -> Iterator[None]:
    """Hold an exclusive lock on a file. The body should be short, as other processes block meanwhile."""
    with open(path, "ab") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


@dataclass
class _Other:
    """The record of another live process, mapped from its file."""

    view: mmap.mmap

    def read(self) -> tuple[int, int, int]:
        number, ready, descriptors = _RECORD.unpack_from(self.view)
        return number, ready, descriptors


class VersionRegistry:
    """Registers this process, and reads the records of the balancer's other processes.

    `path` is the prefix of the files; None for a balancer that always has a single process.
    """

    def __init__(self, path: Path | None) -> None:
        self._path = path
        self._others: dict[int, _Other] = {}
        self._slot = -1
        self._view: mmap.mmap | None = None
        self._number = 1
        self._file = -1  # descriptor, open and locked until the process ends

    def register(self) -> None:
        """Take a slot for this process; raises OSError if all are in use."""
        if self._path is None:
            return
        with locked(self._path.with_name(self._path.name + ".lock")):
            self.refresh()
            self._number = 1 + max((other.read()[0] for other in self._others.values()), default=0)
            for slot in range(MAX_PROCESSES):
                if slot not in self._others and self._claim(slot):
                    return
        raise OSError(f"{MAX_PROCESSES} processes of this balancer are running already")

    def _slot_path(self, slot: int) -> Path:
        assert self._path is not None
        return self._path.with_name(f"{self._path.name}.version-{slot}")

    def _claim(self, slot: int) -> bool:
        file = os.open(self._slot_path(slot), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(file)
            return False
        os.ftruncate(file, _RECORD.size)
        self._view = mmap.mmap(file, _RECORD.size)
        _RECORD.pack_into(self._view, 0, self._number, 0, OWN_DESCRIPTORS)
        self._slot, self._file = slot, file
        return True

    def refresh(self) -> None:
        """Update which other processes are alive; a process that was killed has lost its lock."""
        if self._path is None:
            return
        for slot in range(MAX_PROCESSES):
            if slot == self._slot:
                continue
            try:
                view = self._live_view(slot)
            except OSError:
                continue  # out of descriptors, for example: keep the last state
            if view is None:
                self._others.pop(slot, None)
            elif slot not in self._others:
                self._others[slot] = _Other(view)

    def _live_view(self, slot: int) -> mmap.mmap | None:
        """The record of the process that holds a slot; None if no live process does."""
        with contextlib.suppress(FileNotFoundError), open(self._slot_path(slot), "rb") as file:
            try:
                fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
            except BlockingIOError:
                known = self._others.get(slot)
                with contextlib.suppress(ValueError):  # the file was just created and is still empty
                    return (
                        known.view if known else mmap.mmap(file.fileno(), _RECORD.size, prot=mmap.PROT_READ)
                    )
        return None

    # Published to the other processes

    def publish_ready(self, ready: bool) -> None:
        """Record whether this process is ready."""
        if self._view is not None:
            struct.pack_into("=I", self._view, _READY_OFFSET, ready)

    def publish_sockets(self, sockets: int) -> None:
        """Record how many counted sockets this process has open."""
        if self._view is not None:
            struct.pack_into("=I", self._view, _DESCRIPTORS_OFFSET, sockets + OWN_DESCRIPTORS)

    # Read from the other processes

    @property
    def descriptors_elsewhere(self) -> int:
        """The descriptors that the other processes use, which count against the same limit."""
        return sum(other.read()[2] for other in self._others.values()) if self._others else 0

    @property
    def has_ready_successor(self) -> bool:
        """Whether a process that started later is ready."""
        return any(
            number > self._number and ready for number, ready, _ in map(_Other.read, self._others.values())
        )

    @property
    def has_successor(self) -> bool:
        """Whether a process that started later is alive, ready or not."""
        return any(other.read()[0] > self._number for other in self._others.values())

    @property
    def has_predecessor(self) -> bool:
        """Whether a process that started earlier is alive."""
        return any(other.read()[0] < self._number for other in self._others.values())
