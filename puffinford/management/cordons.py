"""The servers that operators have taken out: a set that all versions of a balancer share through a file."""

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

log = logging.getLogger(__name__)

_Mark = tuple[int, int, int]  # what changes with each file renamed into place


def _with(held: frozenset[str], ident: str, out: bool) -> frozenset[str]:
    return held | {ident} if out else held - {ident}


class _Unusable(Exception):
    """The file is there and cannot be used; the text says why."""


class Cordons:
    """`apply` hears the whole set whenever it has changed. Without a `path` it is kept in memory alone."""

    def __init__(self, path: Path | None, apply: Callable[[frozenset[str]], None]) -> None:
        self._path = path.with_name(path.name + ".cordons") if path else None
        self._apply = apply
        self._mark: _Mark | None = None
        self.out: frozenset[str] = frozenset()
        self.in_sync = True  # what the file says is what holds here
        self._said = ""  # why it could not be used, as the log has it
        self._one = anyio.Lock()  # one change at a time

    def refresh(self) -> None:
        """Take in what another version has changed.

        Guards a cordon against a read that fails for a moment: it is made again at each look.
        """
        mark = None
        with contextlib.suppress(OSError):
            mark = self._stat()
        if mark == self._mark and self.in_sync:
            return
        try:
            self._hold(self._read())
        except (OSError, _Unusable) as exc:
            self._say(str(exc))
            return
        self._mark = mark
        self._in_force_again()

    async def change(self, ident: str, out: bool) -> None:
        """Take a server out or put it back; raises OSError, and then nothing has changed.

        Guards the lines that are passed on against a slow disk: its part is done by a thread.
        """
        if self._path is None:
            self._hold(_with(self.out, ident, out))
            return
        async with self._one:
            held, self._mark = await to_thread.run_sync(self._write, ident, out)
            self._in_force_again()
            self._hold(held)

    def _write(self, ident: str, out: bool) -> tuple[frozenset[str], _Mark | None]:
        """Change the file; the set that it holds now, and its mark where that can be had."""
        assert self._path is not None
        with locked(self._path.with_name(self._path.name + ".lock")):
            try:
                held = self._read()
            except _Unusable as exc:
                self._say(str(exc))
                held = self.out
            held = _with(held, ident, out)
            # Guards readers, and whoever starts after a crash, against half a file.
            fresh = self._path.with_name(self._path.name + ".new")
            fresh.write_text(json.dumps(sorted(held)), encoding="utf-8")
            os.replace(fresh, self._path)
            # What follows cannot take the answer back: the set holds from here on.
            with contextlib.suppress(OSError):
                return held, self._stat()
            return held, None

    def _stat(self) -> _Mark | None:
        if self._path is None:
            return None
        seen = self._path.stat()
        return seen.st_ino, seen.st_mtime_ns, seen.st_size

    def _read(self) -> frozenset[str]:
        """The set in the file, the one held where there is none; raises OSError or _Unusable."""
        assert self._path is not None
        try:
            told = json.loads(self._path.read_bytes())
        except FileNotFoundError:
            return self.out
        except (ValueError, RecursionError) as exc:
            raise _Unusable(str(exc)) from None
        if not isinstance(told, list) or not all(isinstance(ident, str) for ident in told):
            raise _Unusable("no list of ids")
        return frozenset(told)

    def _say(self, error: str) -> None:
        """The file cannot be used: one line for each cause."""
        self.in_sync = False
        if error != self._said:
            self._said = error
            log.error("cordons unreadable", extra={"error": error})

    def _in_force_again(self) -> None:
        self.in_sync = True
        self._said = ""

    def _hold(self, out: frozenset[str]) -> None:
        if out != self.out:
            log.info("cordons", extra={"out": ",".join(sorted(out))})
            self.out = out
            self._apply(out)
