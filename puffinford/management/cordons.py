"""The servers that operators have cordoned: a set that all processes of a balancer share through a file."""

from __future__ import annotations

import contextlib
import json
import logging
import os
from collections.abc import Callable
from pathlib import Path

import anyio
from anyio import to_thread

from puffinford.management.versions import locked
from puffinford.regular_file import read_regular_file

log = logging.getLogger(__name__)

MAX_FILE_BYTES = 1 << 20
_FileStamp = tuple[int, int, int]  # inode, modification time in ns, size: changes with each replacement


def _with_cordon(cordoned: frozenset[str], server_id: str, out: bool) -> frozenset[str]:
    return cordoned | {server_id} if out else cordoned - {server_id}


class _Unusable(Exception):
    """The file exists but cannot be used; the text gives the reason."""


class Cordons:
    """The set of cordoned servers.

    `apply` receives the complete set after each change. Without a `path` the set is kept in memory only.
    """

    def __init__(self, path: Path | None, apply: Callable[[frozenset[str]], None]) -> None:
        self._path = path.with_name(path.name + ".cordons") if path else None
        self._apply = apply
        self._stamp: _FileStamp | None = None
        self.cordoned: frozenset[str] = frozenset()
        self.in_sync = True  # whether `cordoned` is what the file holds
        self._logged_error = ""  # the last reason logged, while the file cannot be used
        self._change_lock = anyio.Lock()

    def refresh(self) -> None:
        """Apply changes that another process has made to the file.

        A read that failed is repeated at the next call, even if the file has not changed since.
        """
        stamp = None
        with contextlib.suppress(OSError):
            stamp = self._read_stamp()
        if stamp == self._stamp and self.in_sync:
            return
        try:
            self._adopt(self._read())
        except (OSError, _Unusable) as exc:
            self._log_unusable(str(exc))
            return
        self._stamp = stamp
        self._mark_in_sync()

    async def set_cordon(self, server_id: str, out: bool) -> None:
        """Cordon or uncordon a server; raises OSError, and then nothing has changed.

        The file is written in a thread, so that a slow disk does not delay messages.
        """
        if self._path is None:
            self._adopt(_with_cordon(self.cordoned, server_id, out))
            return
        async with self._change_lock:
            cordoned, self._stamp = await to_thread.run_sync(self._write, server_id, out)
            self._mark_in_sync()
            self._adopt(cordoned)

    def _write(self, server_id: str, out: bool) -> tuple[frozenset[str], _FileStamp | None]:
        """Replace the file; returns its new set, and its stamp if it can be read."""
        assert self._path is not None
        with locked(self._path.with_name(self._path.name + ".lock")):
            try:
                cordoned = self._read()
            except _Unusable as exc:
                self._log_unusable(str(exc))
                cordoned = self.cordoned
            cordoned = _with_cordon(cordoned, server_id, out)
            # Prevents a reader, or a process that starts after a crash, from finding a partial file.
            new_path = self._path.with_name(self._path.name + ".new")
            new_path.write_text(json.dumps(sorted(cordoned)), encoding="utf-8")
            os.replace(new_path, self._path)
            # The change is in effect from here on, so a failure below must not fail it.
            with contextlib.suppress(OSError):
                return cordoned, self._read_stamp()
            return cordoned, None

    def _read_stamp(self) -> _FileStamp | None:
        if self._path is None:
            return None
        stat = self._path.stat()
        return stat.st_ino, stat.st_mtime_ns, stat.st_size

    def _read(self) -> frozenset[str]:
        """The set in the file, or the current one if there is no file; raises OSError or _Unusable."""
        assert self._path is not None
        try:
            ids = json.loads(read_regular_file(self._path, MAX_FILE_BYTES))
        except FileNotFoundError:
            return self.cordoned
        except (ValueError, RecursionError) as exc:
            raise _Unusable(str(exc)) from None
        if not isinstance(ids, list) or not all(isinstance(server_id, str) for server_id in ids):
            raise _Unusable("not a list of ids")
        return frozenset(ids)

    def _log_unusable(self, error: str) -> None:
        """Note that the file cannot be used, and log each reason once."""
        self.in_sync = False
        if error != self._logged_error:
            self._logged_error = error
            log.error("cordons unreadable", extra={"error": error})

    def _mark_in_sync(self) -> None:
        self.in_sync = True
        self._logged_error = ""

    def _adopt(self, cordoned: frozenset[str]) -> None:
        if cordoned != self.cordoned:
            log.info("cordons", extra={"out": ",".join(sorted(cordoned))})
            self.cordoned = cordoned
            self._apply(cordoned)
