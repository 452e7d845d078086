"""Persists server lists, learned health and rebalancing progress, and restores them at the start.

Changes are written in batches, at the interval in the settings; drains and removals are written at once.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import anyio
from anyio import to_thread

from puffinford.core.clock import Clock
from puffinford.core.start_times import StartTimes
from puffinford.core.state_path import state_path
from puffinford.core.values import ServerEntries, ServerEntry
from puffinford.interface import Health, ServerState
from puffinford.operators.schema import StateSettings
from puffinford.state import recovery, trust
from puffinford.state.records import (
    LIST_KEY,
    OWNER_KEY,
    PACE_KEY,
    ListRecord,
    OwnerRecord,
    PaceRecord,
    ServerRecord,
    StoreContents,
    encode,
    health_key,
    server_key,
)
from puffinford.state.store import Rebuild, Store, StoreError, StoreFullError, open_store
from puffinford.state.timeline import Timeline

log = logging.getLogger(__name__)

MAX_LOOP_COMMIT_MS = 1.0  # after a slower commit on the event loop, the next runs in a thread
PUBLISH_INTERVAL_MS = 100.0  # between writes of learned health while a later version is starting
CONFIRM_INTERVAL_MS = 5_000.0  # between writes of confirmation times while nothing else changes
ERROR_LOG_INTERVAL_MS = 60_000.0  # between log lines about a store that stays full or broken
FORGET_INTERVAL_MS = 60_000.0  # between removals of servers that left long ago


def store_file(settings: StateSettings, shared: str | None, balancer: str) -> tuple[Path, bool] | None:
    """Return the path of the store and whether it is durable; None if no store is configured.

    `shared` is the directory shared by the versions of a balancer.
    """
    directory, durable = (settings.directory, True) if settings.directory else (shared, False)
    if not directory or not (durable or settings.versions):
        return None
    path = state_path(directory, balancer)
    return (path.with_name(path.name + ".state"), durable) if path is not None else None


def trust_settings(settings: StateSettings) -> trust.TrustSettings:
    """Return the trust settings in the operators' settings."""
    return trust.TrustSettings(
        settings.fresh, settings.distrust, settings.patience, settings.patience_old, settings.learned_for
    )


class StateKeeper:
    """Keeps the store of one balancer up to date; `run` writes until cancelled."""

    def __init__(
        self,
        settings: StateSettings,
        location: tuple[Path, bool] | None,
        clock: Clock,
        read_health: Callable[[], list[Health]],
        merge_health: Callable[[list[Health]], None],
        read_pace: Callable[[float], PaceRecord | None] = lambda _: None,
        restore_pace: Callable[[PaceRecord, float], None] = lambda *_: None,
        classes: frozenset[str] = frozenset(),
        starts: StartTimes | None = None,
    ) -> None:
        """`location` is the result of `store_file`.

        `read_health` returns the health known to the decision module, `merge_health` adds to it.
        `read_pace` returns the progress of rebalancing, `restore_pace` restores that of another process; both
        take the store's time minus the process clock's, in ms. `classes` are those of the deployment: a store
        of a deployment that has none of them is not used. `starts` is shared with the readers of lists.
        """
        self._starts = starts or StartTimes(clock)
        self._timeline = Timeline(clock)
        self._classes = classes
        self._is_foreign = False  # the store belongs to another deployment
        self._settings = settings
        self._clock = clock
        self._read_health = read_health
        self._merge_health = merge_health
        self._read_pace = read_pace
        self._restore_pace = restore_pace
        self._pace_collected_at = float("-inf")
        self._store: Store | None = None
        self._durable = location is not None and location[1]
        if location is not None:
            self._open(*location)
        self._list: ListRecord | None = None
        self._confirmed_at = 0.0  # Unix ms
        self._list_written_at = 0.0  # Unix ms
        self._servers: dict[str, ServerRecord] = {}  # as stored or pending
        self._left_at: dict[str, float] = {}  # Unix ms at which servers left
        self._health: dict[str, Health] = {}  # as stored or pending
        self._pending: dict[bytes, bytes | None] = {}
        self._write_soon = anyio.Event()
        self._commits_in_thread = self._durable
        self._error_logged_at = self._health_collected_at = float("-inf")
        self._next_forget_at = 0.0
        self._has_learned_from_writer = False

    def _open(self, path: Path, durable: bool) -> None:
        rebuild: Rebuild | None = None
        try:
            self._store, rebuild = open_store(path, self._settings.size, durable=durable)
        except StoreError as exc:
            log.error("state unusable", extra={"file": str(path), "error": str(exc)})
        if rebuild is not None:
            fields = {"file": str(path), "verdict": rebuild.verdict.name.lower(), "why": rebuild.reason}
            log.warning(
                "state renewed",
                extra={**fields, "aside": rebuild.quarantined_path} if rebuild.quarantined_path else fields,
            )

    @property
    def _offset(self) -> float:
        """The store's time minus the process clock's, in ms."""
        return self._timeline.offset

    # Restoring

    def start(self, known: ServerEntries | None) -> recovery.StartState:
        """Return the state to start with, from the store and the configuration's `known` list."""
        stored: StoreContents | None = None
        if self._store is not None:
            try:
                stored = self._store.read()
            except StoreError as exc:
                log.error("state unusable", extra={"file": str(self._store.path), "error": str(exc)})
        if stored is not None and stored.belongs_to_other_deployment(self._classes):
            self._discard_foreign_state(stored)
            stored = None
        if stored is not None:
            resumed = self._timeline.resume(stored)
            for text in stored.rejected[:10]:
                log.warning("state record rejected", extra={"error": text})
            self._adopt_stored(stored)
            if resumed:
                known = self._restore_starts(known)
            if stored.pace is not None:
                self._restore_pace(stored.pace, self._offset)
        if self._store is not None and (stored is None or stored.owner is None):
            self._write_owner()
        settings = self._settings
        start_state = recovery.build_start_state(
            stored, known, self._clock.now(), self._offset, trust_settings(settings), settings.known_age
        )
        restored = start_state.restored
        if start_state.source == "nothing":
            return start_state
        self._record_start(start_state)
        log.info(
            "restored",
            extra={
                "source": start_state.source,
                "entries": len(restored.entries.entries),
                "age_s": round(start_state.age / 1_000.0, 1),
                "at_once": restored.max_attempts or "any",
                "attempt_timeout_ms": round(restored.attempt_timeout),
                "learned": len(restored.health),
            },
        )
        return start_state

    def _write_owner(self) -> None:
        """Queue the owner record."""
        owner = OwnerRecord(sorted(self._classes))
        self._pending[OWNER_KEY] = encode(OWNER_KEY, owner, self._timeline.now())

    def _discard_foreign_state(self, stored: StoreContents) -> None:
        """Queue the deletion of all records of another deployment with the same balancer name and directory.

        Prevents a start with the servers of that deployment.
        """
        assert stored.owner is not None
        log.warning(
            "state of another deployment",
            extra={"classes": ",".join(stored.owner.classes)[:300], "entries": len(stored.servers)},
        )
        self._is_foreign = True
        keys = [LIST_KEY, PACE_KEY, *map(server_key, stored.servers), *map(health_key, stored.health)]
        self._pending.update(dict.fromkeys(keys))

    def _adopt_stored(self, stored: StoreContents) -> None:
        """Adopt the records that are stored already, so that they are not written again."""
        if stored.entry_count >= 0:
            # With the stored time base: if the current one differs, the next update writes the list record.
            self._list = ListRecord(
                stored.version, stored.entry_count, stored.boot_id, stored.monotonic_offset
            )
            self._confirmed_at = self._list_written_at = stored.confirmed_at
        for ident, (record, confirmed) in stored.servers.items():
            self._servers[ident] = record
            if record.state == "left":
                self._left_at[ident] = confirmed
        for ident, (health, confirmed) in stored.health.items():
            self._health[ident] = recovery.to_health(health, confirmed, self._offset)

    def _restore_starts(self, known: ServerEntries | None) -> ServerEntries | None:
        """Return the known list with the start times that an earlier process has mapped to the store's time.

        Keeps a server's age correct when the wall clock was stepped between the two processes.
        """
        entries = known.entries if known is not None else []
        announced = [self._starts.announced_time(entry.server.id, entry.server.started) for entry in entries]
        for ident, record in self._servers.items():
            if record.announced_started and record.started:
                self._starts.restore(ident, record.announced_started, record.started - self._offset)
        if known is None:
            return None
        mapped = [
            replace(entry, server=replace(server, started=self._starts.local_time(server.id, unix_ms)))
            for entry, unix_ms in zip(entries, announced, strict=True)
            if (server := entry.server)
        ]
        return ServerEntries(known.version, known.full, mapped)

    def _record_start(self, start_state: recovery.StartState) -> None:
        """Queue the list that the process starts with.

        Prevents an incomplete stored list when discovery answers this process with changes only.
        """
        confirmed = self._timeline.now() - start_state.age
        for entry in start_state.restored.entries.entries:
            ident = entry.server.id
            recorded = self._servers.get(ident)
            version = recorded.version if recorded is not None else start_state.version or 0
            record = self._record(entry, version)
            if recorded is None or not _is_same_server(record, recorded):
                self._servers[ident] = record
                self._left_at.pop(ident, None)
                self._pending[server_key(ident)] = encode(server_key(ident), record, confirmed)
        named = {entry.server.id for entry in start_state.restored.entries.entries}
        for ident, record in list(self._servers.items()):
            if ident not in named and record.state != "left":
                self._mark_left(ident, record, start_state.version or 0, confirmed)
        listed = sum(record.state != "left" for record in self._servers.values())
        if start_state.source == "known" or self._list is None:
            self._list = self._list_record(start_state.version or 0, listed)
            self._confirmed_at = confirmed
            self._pending[LIST_KEY] = encode(LIST_KEY, self._list, confirmed)

    def learn_from_writer(self) -> None:
        """Merge the health that the writing process, the old version, has stored so far."""
        if self._store is None or self._store.is_writer or self._is_foreign:
            return
        try:
            stored = self._store.read_health()
        except StoreError as exc:
            return self._log_error(exc)
        now, offset, settings = self._clock.now(), self._offset, trust_settings(self._settings)
        found = [
            health
            for record, confirmed in stored.health.values()
            if (health := trust.discard_expired(recovery.to_health(record, confirmed, offset), now, settings))
        ]
        if found:
            self._merge_health(found)
        if not self._has_learned_from_writer:
            self._has_learned_from_writer = True
            log.info("took over", extra={"learned": ",".join(item.server for item in found) or "nothing"})

    def publish_health(self) -> None:
        """Write learned health soon, for a later version that is starting."""
        if self._store is None or not self._store.is_writer:
            return
        if self._clock.now() - self._health_collected_at >= PUBLISH_INTERVAL_MS:
            self._collect_health()
            self._write_soon.set()

    def release_store(self) -> None:
        """Write all changes, then let the next version write the store."""
        if self._store is not None and self._store.is_writer:
            self._collect_health()
            self._collect_pace(last=True)
            self._commit_blocking()
            self._store.release_write_lock()

    # Recording changes

    def record_list(self, update: ServerEntries) -> None:
        """Record a list that the exchange has applied as confirmed now, and queue its changes."""
        if self._store is None:
            return
        now = self._timeline.now()
        self._confirmed_at = now
        is_urgent = False
        named = set()
        for entry in update.entries:
            named.add(entry.server.id)
            is_urgent |= self._update_server(entry, update.version, now)
        if update.full:
            for ident, record in list(self._servers.items()):
                if ident not in named and record.state != "left":
                    is_urgent |= self._mark_left(ident, record, update.version, now)
        listed = sum(record.state != "left" for record in self._servers.values())
        list_record = self._list_record(update.version, listed)
        if list_record != self._list or now - self._list_written_at >= CONFIRM_INTERVAL_MS:
            self._list = list_record
            self._list_written_at = now
            self._pending[LIST_KEY] = encode(LIST_KEY, list_record, now)
        if is_urgent:
            # Prevents a start after a crash from using a server that was drained or removed.
            self._write_soon.set()

    def _record(self, entry: ServerEntry, version: int) -> ServerRecord:
        """Return the record of a server entry."""
        server = entry.server
        return recovery.to_server_record(
            entry, version, self._offset, self._starts.announced_time(server.id, server.started)
        )

    def _list_record(self, version: int, entries: int) -> ListRecord:
        return ListRecord(version, entries, self._timeline.boot_id, self._timeline.monotonic_offset)

    def _update_server(self, entry: ServerEntry, version: int, now: float) -> bool:
        """Queue the record of a changed entry; return whether it was drained or removed."""
        ident, state = entry.server.id, entry.server.state
        recorded = self._servers.get(ident)
        if state is ServerState.GONE:
            if recorded is not None and recorded.state == "left":
                return False
            return self._mark_left(ident, recorded or self._record(entry, version), version, now)
        record = self._record(entry, version)
        if recorded is not None and _is_same_server(record, recorded):
            return False
        self._servers[ident] = record
        self._left_at.pop(ident, None)
        key = server_key(ident)
        self._pending[key] = encode(key, record, now)
        return state is ServerState.DRAINING

    def _mark_left(self, ident: str, recorded: ServerRecord, version: int, now: float) -> bool:
        """Queue a server's record as left, which prevents an older list from restoring it."""
        record = ServerRecord(
            ident,
            recorded.host,
            recorded.port,
            recorded.front,
            "left",
            version,
            recorded.zone,
            recorded.kind,
            recorded.cell,
        )
        self._servers[ident] = record
        self._left_at[ident] = now
        key = server_key(ident)
        self._pending[key] = encode(key, record, now)
        if self._health.pop(ident, None) is not None:
            self._pending[health_key(ident)] = None
        return True

    def _collect_health(self) -> None:
        """Queue the health that has changed since the last call."""
        offset = self._offset
        self._health_collected_at = self._clock.now()
        now = self._health_collected_at + offset
        current = {health.server: health for health in self._read_health() if health.server in self._servers}
        for ident, health in current.items():
            recorded = self._health.get(ident)
            if (
                recorded is None
                or not _is_same_health(recorded, health)
                or health.observed_at - recorded.observed_at > CONFIRM_INTERVAL_MS
            ):
                self._health[ident] = health
                key = health_key(ident)
                self._pending[key] = encode(key, recovery.to_health_record(health, offset), now)
        for ident in self._health.keys() - current.keys():
            del self._health[ident]
            self._pending[health_key(ident)] = None

    def _collect_pace(self, *, last: bool = False) -> None:
        """Queue the progress of rebalancing, every CONFIRM_INTERVAL_MS or (`last`) immediately."""
        now = self._clock.now()
        if last or now - self._pace_collected_at >= CONFIRM_INTERVAL_MS:
            self._pace_collected_at = now
            record = self._read_pace(self._offset)
            if record is not None:
                self._pending[PACE_KEY] = encode(PACE_KEY, record, now + self._offset)

    def _forget_departed(self) -> None:
        """Remove servers that left longer ago than the retention time."""
        now = self._timeline.now()
        if now < self._next_forget_at:
            return
        self._next_forget_at = now + FORGET_INTERVAL_MS
        for ident, at in list(self._left_at.items()):
            if now - at > self._settings.forget_after:
                self._drop_departed(ident)

    def _drop_departed(self, ident: str) -> None:
        self._left_at.pop(ident, None)
        self._servers.pop(ident, None)
        self._pending[server_key(ident)] = None

    # Writing

    async def run(self) -> None:
        """Write changes until cancelled; pending ones are written before the return."""
        if self._store is None:
            return
        try:
            while True:
                with self._clock.limit(self._settings.write_every):
                    await self._write_soon.wait()
                self._write_soon = anyio.Event()
                if self._become_writer(self._store):
                    if self._clock.now() - self._health_collected_at >= self._settings.write_every:
                        # Prevents urgent writes of the list from writing health and progress more often too.
                        self._collect_health()
                        self._collect_pace()
                        self._forget_departed()
                    await self._commit()
                elif self._has_learned_from_writer:
                    self.learn_from_writer()
        finally:
            self._commit_blocking()
            self._store.close()
            self._store = None

    def _become_writer(self, store: Store) -> bool:
        """Return whether this process writes; on becoming the writer, queue all that the store lacks."""
        if store.is_writer:
            return True
        try:
            if not store.acquire_write_lock():
                return False
            stored = store.read()
        except StoreError as exc:
            store.release_write_lock()  # its content was not read: retry both together
            self._log_error(exc)
            return False
        if stored.belongs_to_other_deployment(self._classes):
            self._discard_foreign_state(stored)
            self._write_owner()
            stored = StoreContents()
        self._is_foreign = False  # its records are deleted by the next commit
        now = self._timeline.now()
        if stored.pace is not None:
            self._restore_pace(stored.pace, self._offset)
        self._health.clear()
        for ident, (health, confirmed) in stored.health.items():
            self._health[ident] = recovery.to_health(health, confirmed, self._offset)
        for ident, (record, confirmed) in stored.servers.items():
            if ident not in self._servers and record.state == "left":
                self._servers[ident] = record
                self._left_at[ident] = confirmed
            elif ident not in self._servers:
                self._pending[server_key(ident)] = None
        for ident, record in self._servers.items():
            recorded = stored.servers.get(ident)
            if recorded is None or not _is_same_server(recorded[0], record):
                self._pending[server_key(ident)] = encode(server_key(ident), record, now)
        if self._list is not None:
            self._pending[LIST_KEY] = encode(LIST_KEY, self._list, self._confirmed_at)
        log.info("state writer", extra={"file": str(store.path)})
        return True

    async def _commit(self) -> None:
        store, pairs = self._store, self._pending
        if store is None or not pairs:
            return
        self._pending = {}
        try:
            if self._commits_in_thread:
                duration = await to_thread.run_sync(store.write, pairs)
            else:
                duration = store.write(pairs)
                self._commits_in_thread = duration > MAX_LOOP_COMMIT_MS
        except StoreError as exc:
            self._requeue(pairs, exc)
        except BaseException:
            # Keeps the changes if the program ends before the thread has started.
            self._pending = {**pairs, **self._pending}
            raise

    def _commit_blocking(self) -> None:
        pairs, self._pending = self._pending, {}
        if self._store is None or not pairs or not self._store.is_writer:
            return
        try:
            self._store.write(pairs)
        except StoreError as exc:
            self._requeue(pairs, exc)

    def _requeue(self, pairs: dict[bytes, bytes | None], exc: StoreError) -> None:
        """Queue pairs of a failed commit again; if the store is full, drop half of the servers that left."""
        self._pending = {**pairs, **self._pending}
        if isinstance(exc, StoreFullError):
            for ident in sorted(self._left_at, key=self._left_at.__getitem__)[: 1 + len(self._left_at) // 2]:
                self._drop_departed(ident)
        self._log_error(exc)

    def _log_error(self, exc: StoreError) -> None:
        now = self._clock.now()
        if now - self._error_logged_at >= ERROR_LOG_INTERVAL_MS:
            self._error_logged_at = now
            log.error("state not kept", extra={"error": str(exc)})


def _is_same_server(one: ServerRecord, other: ServerRecord) -> bool:
    """Compare records, allowing for rounding of start times converted between clocks."""
    if abs(one.started - other.started) > 1_000.0:
        return False
    return all(
        getattr(one, name) == getattr(other, name)
        for name in ("host", "port", "front", "state", "zone", "kind", "cell", "weight")
    )


def _is_same_health(one: Health, other: Health) -> bool:
    """Compare health, ignoring times that only advance with the clock."""
    return (
        one.failures == other.failures
        and abs(one.retry_at - other.retry_at) < 1.0
        and one.slow_until == other.slow_until
        and one.capacity_estimate == other.capacity_estimate
        and one.cold_since == other.cold_since
    )
