"""The server list in force, and the operators' cordons over it."""

from __future__ import annotations

from collections.abc import Set

from puffinford import interface as it
from puffinford.core.context import Context
from puffinford.core.logger import log
from puffinford.core.values import ServerEntries, ServerEntry

SOURCE_MOST = 3_000.0  # a new process waits this long for its list's source before the known list does
NAMED_MOST = 64  # machines of a list that the log names; thousands would hold up a start


class ServerTable:
    """The servers that the list names now, by id. It tells the decision module of each list."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._started = context.clock.now()
        self._entries: dict[str, ServerEntry] = {}
        self._named: set[str] = set()  # the servers that a list has named, gone or not
        self.cordoned: frozenset[str] = frozenset()
        self.source_answered = False  # the list's source has answered or failed

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def ids(self) -> Set[str]:
        return self._entries.keys()

    def get(self, ident: str) -> ServerEntry | None:
        return self._entries.get(ident)

    @property
    def has_server_list(self) -> bool:
        """Whether there is a list to go by: from its source, or the known one when that says nothing.

        Guards a change of versions against a source that is down: the old version has no better list.
        """
        late = self._context.clock.now() >= self._started + SOURCE_MOST
        return self.source_answered or (late and bool(self._entries))

    def is_known_id(self, ident: str) -> bool:
        """Whether anybody has that id. One that is restarting may be off the list for now."""
        return ident in self._named or ident in self.cordoned

    def may_begin(self, ident: str) -> bool:
        """Whether a new connection may begin at a server, by what the list and the operators have told."""
        entry = self._entries.get(ident)
        if entry is None or entry.server.state is not it.ServerState.LIVE:
            return False
        return ident not in self.cordoned

    def take_list(self, entries: ServerEntries | None) -> None:
        """A list has come, or (None) a call for one has failed."""
        if entries is None:
            self._context.dispatch(it.ServerList(it.ListKind.UNAVAILABLE))
        else:
            self.take(entries, it.ListKind.REPLACE if entries.full else it.ListKind.UPDATE)
        self.source_answered |= entries is not None or bool(self._entries)

    def take(self, entries: ServerEntries, kind: it.ListKind) -> None:
        """Go by a list, whole or (UPDATE) of changes, and tell the module of it."""
        if kind is not it.ListKind.UPDATE:
            self._entries.clear()
        self._named.update(entry.server.id for entry in entries.entries)
        for entry in entries.entries:
            if entry.server.state is it.ServerState.GONE:
                self._entries.pop(entry.server.id, None)
            else:
                self._entries[entry.server.id] = entry
        self._log_entries(entries, kind)
        self._context.dispatch(it.ServerList(kind, [m.server for m in entries.entries], entries.version))

    def _log_entries(self, entries: ServerEntries, kind: it.ListKind) -> None:
        if len(entries.entries) > NAMED_MOST:
            log.info("servers", extra={"entries": len(entries.entries), "list": kind.value})
        now = self._context.clock.now()
        for entry in entries.entries[:NAMED_MOST]:
            server = entry.server
            up_s = round((now - server.started) / 1_000.0, 1) if server.started else "long"
            told = {"server": server.id, "state": server.state.value, "up_s": up_s, "list": kind.value}
            told |= {"zone": server.zone, "kind": server.kind, "weight": server.weight}
            log.info("server", extra=told)
