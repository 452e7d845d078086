"""Registry of the processes of one balancer, so that an old and a new version share limits and hand over.

Each process holds a file in a directory of the balancer, locked for as long as the process lives, that
contains its number, whether it is ready, and how many descriptors it uses.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import stat
import struct
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

MAX_PROCESSES = 4  # at a time; two during an upgrade
OWN_DESCRIPTORS = 16  # of a process, besides its counted sockets
_RECORD = struct.Struct("=III")  # number in order of start, ready, descriptors
_READY_OFFSET, _DESCRIPTORS_OFFSET = 4, 8
_FIELD = struct.Struct("=I")
MAX_NUMBER = 1 << 30  # of a process; starts from there on are not counted on
MAX_DESCRIPTORS = 1 << 20  # of a process


@contextmanager
def locked(path: Path) -> Iterator[None]:
    """Hold an exclusive lock on a file. The body should be short, as other processes block meanwhile."""
    with open(path, "ab") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


class _Other:
    """The record of another live process, read from its file.

    Read anew each time and not mapped: a file that is cut short would end a process that has it mapped.
    """

    def __init__(self, file: int) -> None:
        self._file = file
        self._last = (0, 0, OWN_DESCRIPTORS)  # numbers count from 1

    def read(self) -> tuple[int, int, int]:
        """Number, ready and descriptors; the last sound ones if the file holds no record."""
        record = b""
        with contextlib.suppress(OSError):
            record = os.pread(self._file, _RECORD.size, 0)
        if len(record) == _RECORD.size:
            number, ready, descriptors = _RECORD.unpack(record)
            if number <= MAX_NUMBER and ready <= 1 and descriptors <= MAX_DESCRIPTORS:
                self._last = number, ready, descriptors
        return self._last

    def close(self) -> None:
        os.close(self._file)


class VersionRegistry:
    """Registers this process, and reads the records of the balancer's other processes.

    `path` is the prefix of the files; None for a balancer that always has a single process.
    """

    def __init__(self, path: Path | None) -> None:
        self._path = path
        self._others: dict[int, _Other] = {}
        self._slot = -1
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
        """Lock a slot's file and write the record; False if it is in use. Raises OSError."""
        file = os.open(self._slot_path(slot), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NONBLOCK, 0o600)
        try:
            if not stat.S_ISREG(os.fstat(file).st_mode):
                raise OSError(f"{self._slot_path(slot)}: not a regular file")
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            os.ftruncate(file, _RECORD.size)
            os.pwrite(file, _RECORD.pack(self._number, 0, OWN_DESCRIPTORS), 0)
        except BlockingIOError:
            os.close(file)
            return False
        except OSError:
            os.close(file)
            raise
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
                is_alive = self._is_locked(slot)
            except OSError:
                continue  # out of descriptors, for example: keep the last state
            if not is_alive and slot in self._others:
                self._others.pop(slot).close()

    def _is_locked(self, slot: int) -> bool:
        """Whether a live process holds a slot, whose record is then in `_others`. Raises OSError."""
        with contextlib.suppress(FileNotFoundError):
            file = os.open(self._slot_path(slot), os.O_RDONLY | os.O_CLOEXEC | os.O_NONBLOCK)
            try:
                fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
            except BlockingIOError:
                if slot not in self._others:
                    other = _Other(os.dup(file))
                    if not other.read()[0]:
                        other.close()  # just created, and without a record yet
                        return False
                    self._others[slot] = other
                return True
            finally:
                os.close(file)
        return False

    # Published to the other processes

    def publish_ready(self, ready: bool) -> None:
        """Record whether this process is ready."""
        self._publish(_READY_OFFSET, int(ready))

    def publish_sockets(self, sockets: int) -> None:
        """Record how many counted sockets this process has open."""
        self._publish(_DESCRIPTORS_OFFSET, sockets + OWN_DESCRIPTORS)

    def _publish(self, offset: int, value: int) -> None:
        """Write a field of the record; it stays as it was if that fails."""
        if self._file >= 0:
            with contextlib.suppress(OSError):
                os.pwrite(self._file, _FIELD.pack(value), offset)

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
