"""The current server list and a bounded log of its changes. No I/O, no clock.

The log holds the latest change of each server, oldest first; the oldest changes are dropped when a limit is
exceeded. A call that resumes from a version before `min_resumable_version` gets the full list.
"""

from __future__ import annotations

from dataclasses import dataclass

from puffinford.relay.entries import LEFT, RawEntry, RawList, as_left


@dataclass(frozen=True, slots=True)
class LogLimits:
    """Bounds of the log; `max_bytes` counts the JSON of the logged entries."""

    max_entries: int
    max_bytes: int


@dataclass(frozen=True, slots=True)
class Change:
    """The latest change of a server: the version that holds it, and the entry's JSON."""

    version: int
    data: bytes


class ChangeLog:
    """The list, its log, and drains and removals from unconfirmed answers, which belong to no version."""

    def __init__(self, limits: LogLimits) -> None:
        self._limits = limits
        self._entries: dict[str, RawEntry] = {}
        self._log: dict[str, Change] = {}
        self._unconfirmed: dict[str, bytes] = {}
        self._log_bytes = 0
        self.version: int | None = None
        self.min_resumable_version = 0

    @property
    def log_entries(self) -> int:
        """The number of changes in the log."""
        return len(self._log)

    @property
    def log_bytes(self) -> int:
        """The size of the logged changes, in bytes of JSON."""
        return self._log_bytes

    @property
    def server_count(self) -> int:
        """The number of servers listed."""
        return len(self._entries)

    def entry(self, server_id: str) -> RawEntry | None:
        """The current entry of a server."""
        return self._entries.get(server_id)

    def apply(self, answer: RawList) -> bool:
        """Apply a trusted answer. Return whether it changed the list or its version."""
        self._unconfirmed.clear()
        if answer.full:
            return self._apply_snapshot(answer)
        updated = answer.version != self.version or bool(answer.entries)
        self._apply_changes(answer.version, answer.entries)
        return updated

    def apply_unconfirmed(self, entries: list[RawEntry]) -> bool:
        """Apply drains and removals from a suspect answer. Return whether any of them is new.

        They are sent to every caller until the next trusted answer.
        """
        new_entries = [entry for entry in entries if self._unconfirmed.get(entry.id) != entry.data]
        for entry in new_entries:
            self._unconfirmed[entry.id] = entry.data
            self._store(entry)
        return bool(new_entries)

    def changes_since(self, index: int) -> list[bytes] | None:
        """The JSON of the changes after version `index`; None if the log does not reach back that far."""
        if self.version is None or not self.min_resumable_version <= index <= self.version:
            return None
        changes: dict[str, bytes] = {}
        for server_id in reversed(self._log):
            change = self._log[server_id]
            if change.version <= index:
                break
            changes[server_id] = change.data
        changes.update(self._unconfirmed)
        return list(changes.values())

    def snapshot(self) -> list[bytes]:
        """The JSON of all entries."""
        return [entry.data for entry in self._entries.values()]

    def _apply_snapshot(self, answer: RawList) -> bool:
        if self.version is None or answer.version < self.version or not answer.entries:
            # A first list, an older version or an empty list: callers with an earlier list need the full one.
            self._reset(answer)
            return True
        listed = {entry.id: entry for entry in answer.entries}
        removed = [server_id for server_id in self._entries if server_id not in listed]
        changed = [entry for entry in answer.entries if self._entries.get(entry.id) != entry]
        changed += [as_left(self._entries[server_id]) for server_id in removed]
        updated = answer.version != self.version or bool(changed)
        self._apply_changes(answer.version, changed)
        return updated

    def _reset(self, answer: RawList) -> None:
        self._entries = {entry.id: entry for entry in answer.entries if entry.state != LEFT}
        self._log.clear()
        self._log_bytes = 0
        self.version = self.min_resumable_version = answer.version

    def _apply_changes(self, version: int, entries: list[RawEntry]) -> None:
        self.version = version
        for entry in entries:
            self._store(entry)
            previous = self._log.pop(entry.id, None)
            if previous is not None:
                self._log_bytes -= len(previous.data)
            self._log[entry.id] = Change(version, entry.data)
            self._log_bytes += len(entry.data)
        self._trim()

    def _store(self, entry: RawEntry) -> None:
        if entry.state == LEFT:
            self._entries.pop(entry.id, None)
        else:
            self._entries[entry.id] = entry

    def _trim(self) -> None:
        while self._log:
            oldest = next(iter(self._log))
            change = self._log[oldest]
            over = len(self._log) > self._limits.max_entries or self._log_bytes > self._limits.max_bytes
            if not over and change.version > self.min_resumable_version:
                return
            self.min_resumable_version = max(self.min_resumable_version, change.version)
            self._log_bytes -= len(change.data)
            del self._log[oldest]
