"""The current server list and the operators' cordons."""

from __future__ import annotations

from collections.abc import Set

import anyio

from puffinford import interface as it
from puffinford.core.context import Context
from puffinford.core.logger import log
from puffinford.core.values import ServerEntries, ServerEntry

SOURCE_TIMEOUT_MS = 3_000.0  # then a new process uses its restored list
MAX_LOGGED_ENTRIES = 64  # logging thousands of entries would delay a start


class ServerTable:
    """The listed servers by id. Each list is reported to the decision module."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._started_at = context.clock.now()
        self._entries: dict[str, ServerEntry] = {}
        self._known_ids: set[str] = set()  # all servers listed so far
        self.cordoned: frozenset[str] = frozenset()
        self.source_answered = False  # or failed while a restored list is in use
        self.is_confirmed = False  # the source has sent a list since the start
        self._confirmed = anyio.Event()

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def ids(self) -> Set[str]:
        """Ids of the listed servers."""
        return self._entries.keys()

    def get(self, server_id: str) -> ServerEntry | None:
        """The entry of a listed server, or None."""
        return self._entries.get(server_id)

    @property
    def has_server_list(self) -> bool:
        """Whether a list is in use: from its source or, after SOURCE_TIMEOUT_MS, a restored one.

        The timeout allows a version change while discovery is unreachable.
        """
        timed_out = self._context.clock.now() >= self._started_at + SOURCE_TIMEOUT_MS
        return self.source_answered or (timed_out and bool(self._entries))

    async def wait_until_known(self, server_id: str, timeout_ms: float) -> ServerEntry | None:
        """Return the entry of a server, waiting for the first list of the source if it is in no list yet.

        None if that list does not have it either, or has not come after `timeout_ms`. Prevents a server that
        a restored list lacks from being taken for one that is gone.
        """
        if server_id not in self._entries and not self.is_confirmed:
            with self._context.clock.limit(timeout_ms):
                await self._confirmed.wait()
        return self._entries.get(server_id)

    def is_known_id(self, server_id: str) -> bool:
        """Whether a server with that id is or was listed, or is cordoned."""
        return server_id in self._known_ids or server_id in self.cordoned

    def may_start_attempt(self, server_id: str) -> bool:
        """Whether a server is listed as live and not cordoned."""
        entry = self._entries.get(server_id)
        if entry is None or entry.server.state is not it.ServerState.LIVE:
            return False
        return server_id not in self.cordoned

    def take_list(self, entries: ServerEntries | None) -> None:
        """Apply a list from discovery; None reports a failed call."""
        if entries is None:
            self._context.dispatch(it.ServerList(it.ListKind.UNAVAILABLE))
        else:
            self.apply(entries, it.ListKind.REPLACE if entries.full else it.ListKind.UPDATE)
            self.is_confirmed = True
            self._confirmed.set()
        self.source_answered |= entries is not None or bool(self._entries)

    def apply(self, entries: ServerEntries, kind: it.ListKind) -> None:
        """Apply a full list or, for UPDATE, changed entries, and report it to the decision module."""
        if kind is not it.ListKind.UPDATE:
            self._entries.clear()
        self._known_ids.update(entry.server.id for entry in entries.entries)
        for entry in entries.entries:
            if entry.server.state is it.ServerState.GONE:
                self._entries.pop(entry.server.id, None)
            else:
                self._entries[entry.server.id] = entry
        self._log_entries(entries, kind)
        self._context.dispatch(it.ServerList(kind, [m.server for m in entries.entries], entries.version))

    def _log_entries(self, entries: ServerEntries, kind: it.ListKind) -> None:
        if len(entries.entries) > MAX_LOGGED_ENTRIES:
            log.info("servers", extra={"entries": len(entries.entries), "list": kind.value})
        now = self._context.clock.now()
        for entry in entries.entries[:MAX_LOGGED_ENTRIES]:
            server = entry.server
            up_s = round((now - server.started) / 1_000.0, 1) if server.started else "long"
            fields = {"server": server.id, "state": server.state.value, "up_s": up_s, "list": kind.value}
            fields |= {"zone": server.zone, "kind": server.kind, "weight": server.weight}
            log.info("server", extra=fields)
