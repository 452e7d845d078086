"""The record of at-most-once requests that all processes of one balancer share through a file.

The file is a table with a slot for each hash of an id: the hash, and the time of the system's monotonic clock
at which the request ended. A slot is read and written in one call, and a later id of the slot replaces it.
"""

from __future__ import annotations

import contextlib
import os
import struct
import time
from pathlib import Path

from puffinford.core.run_requests import RETENTION_MS, RunRecord
from puffinford.hashing import stable_hash

SLOTS = 65_536
_SLOT = struct.Struct("=Qd")  # hash, seconds


class SharedRunRecord:
    """A record kept by this process and, as far as the file can be used, by the others."""

    def __init__(self, path: Path, local: RunRecord) -> None:
        """`path` is the prefix of the balancer's files. Raises OSError."""
        self._local = local
        name = path.with_name(path.name + ".run-requests")
        self._file = os.open(name, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NONBLOCK, 0o600)

    def remember(self, request_id: str) -> None:
        """Record a request that may have run."""
        self._local.remember(request_id)
        hashed = stable_hash(request_id)
        with contextlib.suppress(OSError):
            os.pwrite(self._file, _SLOT.pack(hashed, time.monotonic()), self._offset(hashed))

    def may_have_run(self, request_id: str) -> bool:
        """Whether this process or another one recorded the request within RETENTION_MS."""
        if self._local.may_have_run(request_id):
            return True
        hashed = stable_hash(request_id)
        slot = b""
        with contextlib.suppress(OSError):
            slot = os.pread(self._file, _SLOT.size, self._offset(hashed))
        if len(slot) < _SLOT.size:
            return False
        recorded, ended_at = _SLOT.unpack(slot)
        is_recent = 0.0 <= time.monotonic() - ended_at < RETENTION_MS / 1_000.0
        return bool(recorded == hashed and is_recent)

    def _offset(self, hashed: int) -> int:
        return hashed % SLOTS * _SLOT.size
