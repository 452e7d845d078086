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

from anyio import to_thread

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
MAX_INLINE_BYTES = 1 << 16  # of a file that is parsed between two messages; a longer one is in a thread
MAX_REPORTED_ERRORS = 20  # of one file

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
        # That content, or what is malformed in it, if it was read and is not in force yet.
        self._loaded: Inventory | BadInventory | None = None
        self._running = False
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
        self._running = True
        while True:
            await self._clock.sleep(CHECK_INTERVAL_MS)
            self._note_change()
            if self._is_due_in_thread():
                await self._load_in_thread()
            self._look()

    def _is_due_in_thread(self) -> bool:
        """Whether the file is to be read now, and is so long that messages would wait for it."""
        rested = self._clock.now() - self._changed_at >= REST_MS
        is_long = self._stamp is not None and self._stamp[2] > MAX_INLINE_BYTES
        return self._running and not self._judged and self._loaded is None and rested and is_long

    async def _load_in_thread(self) -> None:
        stamp = self._stamp
        loaded = await to_thread.run_sync(self._try_load)
        if self._read_stamp() == stamp == self._stamp:
            self._loaded = loaded

    def _read_stamp(self) -> _FileStamp | None:
        """The stamp of the file; None if it is not accessible."""
        try:
            stat = self.path.stat()
        except OSError:
            return None
        return stat.st_ino, stat.st_mtime_ns, stat.st_size

    def _note_change(self) -> None:
        """Forget what was read of the file if it has changed since."""
        stamp = self._read_stamp()
        if stamp != self._stamp:
            self._stamp, self._changed_at = stamp, self._clock.now()
            self._judged, self._loaded = False, None

    def _look(self) -> bool:
        """Take or refuse the file once it has rested; returns whether a list or a refusal was passed on."""
        self._note_change()
        is_first = self._in_force is None
        rested_ms = self._clock.now() - self._changed_at
        if self._judged or (rested_ms < REST_MS and not is_first) or self._is_due_in_thread():
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
        if isinstance(inventory, BadInventory):
            return ""
        if not inventory.ends_with_newline:
            return "it does not end with a newline"
        if self._in_force is not None and inventory.tells_less_than(self._in_force):
            return "it tells less than the list in force"
        return ""

    def _load(self) -> Inventory | BadInventory:
        """Return the content, which is read once, or what is malformed in it."""
        if self._loaded is None:
            self._loaded = self._try_load()
        return self._loaded

    def _try_load(self) -> Inventory | BadInventory:
        try:
            return self._load_whole()
        except BadInventory as exc:
            return exc

    def _load_whole(self) -> Inventory:
        """Read the file; raises BadInventory, with a line for each malformed entry."""
        inventory = load(self.path, self._start_times.local_time)
        if inventory.rejected:
            errors = inventory.rejected[:MAX_REPORTED_ERRORS]
            if len(inventory.rejected) > len(errors):
                errors.append(f"{self.path}: {len(inventory.rejected) - len(errors)} more errors")
            raise BadInventory("\n".join(errors))
        return inventory

    def _judge(self) -> bool:
        """Put the content in force, or refuse it; returns False if it has changed while it was read."""
        inventory = self._load()
        if self._read_stamp() != self._stamp:
            self._loaded = None
            return False
        self._judged = True
        if isinstance(inventory, BadInventory):
            self._refuse(str(inventory))
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

    def _refuse(self, problem: str) -> None:
        self._loaded = None
        self.status = replace(self.status, problem=problem, is_refused=True, since=self._changed_at)
        for error in problem.splitlines():
            log.error("inventory refused", extra={"error": error, "version": self.status.version})
        self._on_list(None)
