"""The list in force and a bounded log of its changes. No I/O, no clock.

The log holds the latest change of each server, the one that changed longest ago first; the oldest go when it
is over its bounds. A call that goes on from a version before `floor` gets the whole list.
"""

from __future__ import annotations

from dataclasses import dataclass

from puffinford.relay.entries import LEFT, RawEntry, RawList, left


@dataclass(frozen=True, slots=True)
class LogLimits:
    """What the log may hold: so many entries, and bytes of their JSON."""

    entries: int
    size: int


@dataclass(frozen=True, slots=True)
class Change:
    version: int
    data: bytes


class ChangeLog:
    """The list, the log, and bad news of a doubted answer, which belong to no version."""

    def __init__(self, limits: LogLimits) -> None:
        self._limits = limits
        self._entries: dict[str, RawEntry] = {}
        self._log: dict[str, Change] = {}
        self._notices: dict[str, bytes] = {}
        self._log_size = 0
        self.version: int | None = None
        self.floor = 0

    @property
    def logged(self) -> int:
        """The number of changes in the log."""
        return len(self._log)

    @property
    def log_size(self) -> int:
        """The bytes of their JSON."""
        return self._log_size

    @property
    def servers(self) -> int:
        """The number of servers listed."""
        return len(self._entries)

    def held(self, ident: str) -> RawEntry | None:
        """The entry in force."""
        return self._entries.get(ident)

    def take(self, answer: RawList) -> bool:
        """Put an answer in force that is believed; tells whether there is news in it."""
        self._notices.clear()
        if answer.full:
            return self._replace(answer)
        news = answer.version != self.version or bool(answer.entries)
        self._change(answer.version, answer.entries)
        return news

    def notice(self, entries: list[RawEntry]) -> bool:
        """Bad news from a doubted answer: told to everybody until another answer is believed."""
        fresh = [entry for entry in entries if self._notices.get(entry.id) != entry.data]
        for entry in fresh:
            self._notices[entry.id] = entry.data
            self._put(entry)
        return bool(fresh)

    def since(self, index: int) -> list[bytes] | None:
        """The JSON of what changed after version `index`; None where only the whole list tells it."""
        if self.version is None or not self.floor <= index <= self.version:
            return None
        changed: dict[str, bytes] = {}
        for ident in reversed(self._log):
            change = self._log[ident]
            if change.version <= index:
                break
            changed[ident] = change.data
        changed.update(self._notices)
        return list(changed.values())

    def whole(self) -> list[bytes]:
        """The JSON of all entries."""
        return [entry.data for entry in self._entries.values()]

    def _replace(self, answer: RawList) -> bool:
        if self.version is None or answer.version < self.version or not answer.entries:
            # A first list, a source that went back, or an empty list: nothing of the log leads there.
            self._restart(answer)
            return True
        named = {entry.id: entry for entry in answer.entries}
        gone = [ident for ident in self._entries if ident not in named]
        changed = [entry for entry in answer.entries if self._entries.get(entry.id) != entry]
        changed += [left(self._entries[ident]) for ident in gone]
        news = answer.version != self.version or bool(changed)
        self._change(answer.version, changed)
        return news

    def _restart(self, answer: RawList) -> None:
        self._entries = {entry.id: entry for entry in answer.entries if entry.state != LEFT}
        self._log.clear()
        self._log_size = 0
        self.version = self.floor = answer.version

    def _change(self, version: int, entries: list[RawEntry]) -> None:
        self.version = version
        for entry in entries:
            self._put(entry)
            before = self._log.pop(entry.id, None)
            if before is not None:
                self._log_size -= len(before.data)
            self._log[entry.id] = Change(version, entry.data)
            self._log_size += len(entry.data)
        self._trim()

    def _put(self, entry: RawEntry) -> None:
        if entry.state == LEFT:
            self._entries.pop(entry.id, None)
        else:
            self._entries[entry.id] = entry

    def _trim(self) -> None:
        while self._log:
            oldest = next(iter(self._log))
            change = self._log[oldest]
            over = len(self._log) > self._limits.entries or self._log_size > self._limits.size
            if not over and change.version > self.floor:
                return
            self.floor = max(self.floor, change.version)
            self._log_size -= len(change.data)
            del self._log[oldest]
