"""Watches an inventory file, and takes each content once it is complete.

Nothing in a file says whether its editor has written all of it, so a changed file is read only after it has
rested, and rests longer while it may be incomplete.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path

from puffinford.core.clock import Clock
from puffinford.core.start_times import StartTimes
from puffinford.core.values import ServerEntries
from puffinford.server_list.inventory import BadInventory, Inventory, load
from puffinford.server_list.open_writers import has_writer

log = logging.getLogger(__name__)

CHECK_INTERVAL_MS = 100.0  # between looks at the modification time and size of the file
REST_MS = 250.0  # without a change, before the file is read
MAX_SAVE_MS = 3_200.0  # without a change, before a file that may be incomplete is taken as complete
WRITER_POLL_S = 0.02

_FileStamp = tuple[int, int, int]  # inode, modification time in ns, size


@dataclass(frozen=True, slots=True)
class InventoryStatus:
    """What is in force, and what keeps a later content of the file from it. Times are of the clock, in ms."""

    version: int  # counts the contents taken by this process; 0: none
    entries: int
    taken_at: float
    problem: str = ""  # why the file is refused or not taken yet; empty if what it holds is in force
    is_refused: bool = False
    since: float = 0.0  # of the problem


class InventoryFile:
    """A server list source that takes the file at the start and whenever it has changed."""

    def __init__(
        self,
        path: Path,
        clock: Clock,
        on_list: Callable[[ServerEntries | None], object],
        start_times: StartTimes | None = None,
        drain_grace: float = MAX_SAVE_MS,
    ) -> None:
        """`on_list` receives each list, or None if the file is refused. `start_times` is shared by all
        sources of lists in this process.

        A file that may be incomplete waits no longer than `drain_grace`, for which a server may get new work
        after it was announced as draining, and REST_MS. In ms.
        """
        self.path = path
        self._start_times = start_times or StartTimes(clock)
        self._clock = clock
        self._on_list = on_list
        self._max_rest_ms = min(MAX_SAVE_MS, drain_grace + REST_MS)
        self._stamp: _FileStamp | None = None  # of the content that was seen last
        self._changed_at = float("-inf")  # when it was seen first
        self._judged = False  # whether it was taken or refused
        self._loaded: Inventory | None = None  # that content, if it was read and is not in force yet
        self._error = ""  # what is malformed in it
        self._in_force: Inventory | None = None
        self.status = InventoryStatus(0, 0, 0.0)

    def check(self) -> None:
        """Take the file for the start, where there is no earlier list; raises BadInventory.

        Waits for the end of a save, for MAX_SAVE_MS at most. It blocks, as nothing is served yet.
        """
        deadline = time.monotonic() + MAX_SAVE_MS / 1000.0
        while has_writer(self.path) and time.monotonic() < deadline:
            time.sleep(WRITER_POLL_S)
        self._stamp, self._judged = self._read_stamp(), True
        self._put_in_force(self._load_whole())

    def fetch(self) -> None:
        """Look at the file, and pass on the list in force."""
        if not self._look():
            self._pass_on()

    def refresh(self) -> bool:
        """Look at the file; returns False, as no answer is pending."""
        self._look()
        return False

    def subscribe(self, on: bool) -> None:
        """Pass on the list if `on`; `run` looks at the file in either case."""
        if on:
            self.fetch()

    async def run(self) -> None:
        """Pass on the list, and again after each change, until cancelled."""
        self.fetch()
        while True:
            await self._clock.sleep(CHECK_INTERVAL_MS)
            self._look()

    def _read_stamp(self) -> _FileStamp | None:
        """The stamp of the file; None if it is not accessible."""
        try:
            stat = self.path.stat()
        except OSError:
            return None
        return stat.st_ino, stat.st_mtime_ns, stat.st_size

    def _look(self) -> bool:
        """Take or refuse the file once it has rested; returns whether a list or a refusal was passed on."""
        stamp, now = self._read_stamp(), self._clock.now()
        if stamp != self._stamp:
            self._stamp, self._changed_at = stamp, now
            self._judged, self._loaded = False, None
        is_first = self._in_force is None
        rested_ms = now - self._changed_at
        if self._judged or (rested_ms < REST_MS and not is_first):
            return False
        if not is_first and rested_ms < self._max_rest_ms:
            incomplete = self._why_incomplete()
            if incomplete:
                self._wait(incomplete)
                return False
        return self._judge()

    def _why_incomplete(self) -> str:
        """Why the file may still be written; empty if nothing says so, or if it is malformed as it is."""
        if has_writer(self.path):
            return "a process has it open for writing"
        inventory = self._load()
        if inventory is None:
            return ""
        if not inventory.ends_with_newline:
            return "it does not end with a newline"
        if self._in_force is not None and inventory.tells_less_than(self._in_force):
            return "it tells less than the list in force"
        return ""

    def _load(self) -> Inventory | None:
        """Return the content, which is read once; None if it is malformed, with the reason in `_error`."""
        if self._loaded is None:
            try:
                self._loaded = self._load_whole()
            except BadInventory as exc:
                self._error = str(exc)
        return self._loaded

    def _load_whole(self) -> Inventory:
        """Read the file; raises BadInventory, with a line for each malformed entry."""
        inventory = load(self.path, self._start_times.local_time)
        if inventory.rejected:
            raise BadInventory("\n".join(inventory.rejected))
        return inventory

    def _judge(self) -> bool:
        """Put the content in force, or refuse it; returns False if it has changed while it was read."""
        inventory = self._load()
        if self._read_stamp() != self._stamp:
            self._loaded = None
            return False
        self._judged = True
        if inventory is None:
            self._refuse()
        else:
            self._put_in_force(inventory)
            self._pass_on()
        return True

    def _put_in_force(self, inventory: Inventory) -> None:
        self._in_force, self._loaded = inventory, None
        self.status = InventoryStatus(
            self.status.version + 1, len(inventory.entries), taken_at=self._clock.now()
        )
        fields = {"version": self.status.version, "entries": self.status.entries}
        log.info("inventory", extra={"file": str(self.path), **fields})

    def _pass_on(self) -> None:
        if self._in_force is None:
            self._on_list(None)
        else:
            self._on_list(ServerEntries(self.status.version, True, self._in_force.entries))

    def _wait(self, problem: str) -> None:
        if (self.status.problem, self.status.since) != (problem, self._changed_at):
            self.status = replace(self.status, problem=problem, is_refused=False, since=self._changed_at)
            log.info("inventory waiting", extra={"file": str(self.path), "why": problem})

    def _refuse(self) -> None:
        self.status = replace(self.status, problem=self._error, is_refused=True, since=self._changed_at)
        for error in self._error.splitlines():
            log.error("inventory refused", extra={"error": error, "version": self.status.version})
        self._on_list(None)
