"""The processes of one balancer: the old and the new version share their limits, and one takes over.

Each holds a file of its own in a directory of the balancer, locked for as long as it lives, with what the
others need to know of it.
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

PLACES = 4  # processes that may live at a time; two is usual
OWN_DESCRIPTORS = 16  # descriptors of a process besides its counted sockets
_RECORD = struct.Struct("=III")  # its number in the line of versions, ready, descriptors held
_READY_AT, _HELD_AT = 4, 8


@contextmanager
def locked(path: Path) -> Iterator[None]:
    """One process at a time; what is within takes no longer than a few file calls."""
    with open(path, "ab") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


@dataclass
class _Other:
    """Another living process, through its file."""

    view: mmap.mmap

    def read(self) -> tuple[int, int, int]:
        number, ready, held = _RECORD.unpack_from(self.view)
        return number, ready, held


class VersionRegistry:
    """This process among those of its balancer. `path` None: there is no other, ever."""

    def __init__(self, path: Path | None) -> None:
        self._path = path
        self._others: dict[int, _Other] = {}
        self._place = -1
        self._view: mmap.mmap | None = None
        self._number = 1
        self._file = -1  # stays open, and locked, to the end of the process

    def register(self) -> None:
        """Take a place; raises OSError where there is none."""
        if self._path is None:
            return
        with locked(self._path.with_name(self._path.name + ".lock")):
            self.refresh()
            self._number = 1 + max((other.read()[0] for other in self._others.values()), default=0)
            for place in range(PLACES):
                if place not in self._others and self._take(place):
                    return
        raise OSError(f"{PLACES} processes of this balancer run already")

    def _name(self, place: int) -> Path:
        assert self._path is not None
        return self._path.with_name(f"{self._path.name}.version-{place}")

    def _take(self, place: int) -> bool:
        file = os.open(self._name(place), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(file)
            return False
        os.ftruncate(file, _RECORD.size)
        self._view = mmap.mmap(file, _RECORD.size)
        _RECORD.pack_into(self._view, 0, self._number, 0, OWN_DESCRIPTORS)
        self._place, self._file = place, file
        return True

    def refresh(self) -> None:
        """See who lives. Guards against the file of a killed process: its lock went with it."""
        if self._path is None:
            return
        for place in range(PLACES):
            if place == self._place:
                continue
            try:
                view = self._living(place)
            except OSError:
                continue  # no descriptor for a look: what was seen last holds
            if view is None:
                self._others.pop(place, None)
            elif place not in self._others:
                self._others[place] = _Other(view)

    def _living(self, place: int) -> mmap.mmap | None:
        with contextlib.suppress(FileNotFoundError), open(self._name(place), "rb") as file:
            try:
                fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
            except BlockingIOError:
                known = self._others.get(place)
                with contextlib.suppress(ValueError):  # just made, and still empty
                    return (
                        known.view if known else mmap.mmap(file.fileno(), _RECORD.size, prot=mmap.PROT_READ)
                    )
        return None

    # What this one tells

    def publish_ready(self, ready: bool) -> None:
        if self._view is not None:
            struct.pack_into("=I", self._view, _READY_AT, ready)

    def publish_sockets(self, sockets: int) -> None:
        if self._view is not None:
            struct.pack_into("=I", self._view, _HELD_AT, sockets + OWN_DESCRIPTORS)

    # What it knows of the others

    @property
    def descriptors_elsewhere(self) -> int:
        """The descriptors of the others, which count against the same limit."""
        return sum(other.read()[2] for other in self._others.values()) if self._others else 0

    @property
    def has_ready_successor(self) -> bool:
        """Whether a later version is ready."""
        return any(
            number > self._number and ready for number, ready, _ in map(_Other.read, self._others.values())
        )

    @property
    def has_successor(self) -> bool:
        """Whether a later version lives, ready or not."""
        return any(other.read()[0] > self._number for other in self._others.values())

    @property
    def has_predecessor(self) -> bool:
        """Whether an earlier version lives."""
        return any(other.read()[0] < self._number for other in self._others.values())
