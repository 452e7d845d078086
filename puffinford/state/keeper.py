"""Keeps the store up to date and takes from it at the start: the thin shell round `trust` and `recovery`.

It hears each list that is taken and asks the exchange what was learned; changes are gathered and written
together, never faster than the settings say, but for bad news of servers, which are written at once.
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
    Stored,
    encode,
    health_key,
    server_key,
)
from puffinford.state.store import Rebuild, Store, StoreError, StoreFullError, open_store
from puffinford.state.timeline import Timeline

log = logging.getLogger(__name__)

MAX_LOOP_COMMIT_MS = 1.0  # ms that a commit may hold the loop; a slower one sends the next to a thread
PUBLISH_INTERVAL_MS = 100.0  # what was learned is written so often while a later version is starting
CONFIRM_INTERVAL_MS = 5_000.0  # the list's time is written no more often while nothing changes
ERROR_LOG_INTERVAL_MS = 60_000.0  # a store that stays full or broken is a line in the log this often
FORGET_INTERVAL_MS = 60_000.0  # between looks for servers that left long ago


def store_file(settings: StateSettings, shared: str | None, balancer: str) -> tuple[Path, bool] | None:
    """The store's file, and whether it is kept for good; None where there is to be none.

    `shared` is the directory that the versions of a balancer share.
    """
    directory, durable = (settings.directory, True) if settings.directory else (shared, False)
    if not directory or not (durable or settings.versions):
        return None
    path = state_path(directory, balancer)
    return (path.with_name(path.name + ".state"), durable) if path is not None else None


def trust_settings(settings: StateSettings) -> trust.TrustSettings:
    """The operators' figures for trust."""
    return trust.TrustSettings(
        settings.fresh, settings.distrust, settings.patience, settings.patience_old, settings.learned_for
    )


class StateKeeper:
    """`learned` tells what the module knows of the servers, `learn` hands it what others knew."""

    def __init__(
        self,
        settings: StateSettings,
        place: tuple[Path, bool] | None,
        clock: Clock,
        learned: Callable[[], list[Health]],
        learn: Callable[[list[Health]], None],
        pace: Callable[[float], PaceRecord | None] = lambda _: None,
        go_on: Callable[[PaceRecord, float], None] = lambda *_: None,
        classes: frozenset[str] = frozenset(),
        starts: StartTimes | None = None,
    ) -> None:
        """`pace` tells how far rebalancing has come, `go_on` hands it what another process had come to; both
        are given the store's time less the host's, in ms.

        `classes` are those of the deployment: a store of one that shares none is not used. `starts` is shared
        with whatever reads lists.
        """
        self._starts = starts or StartTimes(clock)
        self._timeline = Timeline(clock)
        self._classes = classes
        self._foreign = False  # the store is another deployment's
        self._settings = settings
        self._clock = clock
        self._learned = learned
        self._learn = learn
        self._pace = pace
        self._go_on = go_on
        self._pace_at = float("-inf")
        self._store: Store | None = None
        self._durable = place is not None and place[1]
        if place is not None:
            self._open(*place)
        self._list: ListRecord | None = None
        self._confirmed = 0.0  # Unix ms
        self._written_at = 0.0  # Unix ms of the list's time as it was last written
        self._servers: dict[str, ServerRecord] = {}  # as they are written, or will be
        self._left: dict[str, float] = {}  # servers that left, and when, in Unix ms
        self._health: dict[str, Health] = {}  # as it is written
        self._due: dict[bytes, bytes | None] = {}
        self._urgent = anyio.Event()
        self._slow_commits = self._durable
        self._told_at = self._gathered_at = float("-inf")
        self._forget_at = 0.0
        self._took_over = False

    def _open(self, path: Path, durable: bool) -> None:
        rebuild: Rebuild | None = None
        try:
            self._store, rebuild = open_store(path, self._settings.size, durable=durable)
        except StoreError as exc:
            log.error("state unusable", extra={"file": str(path), "error": str(exc)})
        if rebuild is not None:
            told = {"file": str(path), "verdict": rebuild.verdict.name.lower(), "why": rebuild.reason}
            log.warning(
                "state renewed",
                extra={**told, "aside": rebuild.quarantined_path} if rebuild.quarantined_path else told,
            )

    @property
    def _offset(self) -> float:
        """The store's time less the host's, in ms."""
        return self._timeline.offset

    # The start

    def start(self, known: ServerEntries | None) -> recovery.StartState:
        """What to go by until discovery speaks."""
        stored: Stored | None = None
        if self._store is not None:
            try:
                stored = self._store.read()
            except StoreError as exc:
                log.error("state unusable", extra={"file": str(self._store.path), "error": str(exc)})
        if stored is not None and stored.belongs_to_other_deployment(self._classes):
            self._refuse(stored)
            stored = None
        if stored is not None:
            resumed = self._timeline.resume(stored)
            for text in stored.rejected[:10]:
                log.warning("state record rejected", extra={"error": text})
            self._take_in(stored)
            if resumed:
                known = self._restore_starts(known)
            if stored.pace is not None:
                self._go_on(stored.pace, self._offset)
        if self._store is not None and (stored is None or stored.owner is None):
            self._own()
        told = self._settings
        begun = recovery.build_start_state(
            stored, known, self._clock.now(), self._offset, trust_settings(told), told.known_age
        )
        restored = begun.restored
        if begun.source == "nothing":
            return begun
        self._note_start(begun)
        log.info(
            "restored",
            extra={
                "source": begun.source,
                "entries": len(restored.entries.entries),
                "age_s": round(begun.age / 1_000.0, 1),
                "at_once": restored.max_attempts or "any",
                "attempt_timeout_ms": round(restored.attempt_timeout),
                "learned": len(restored.health),
            },
        )
        return begun

    def _own(self) -> None:
        """Say in the store whose it is."""
        owner = OwnerRecord(sorted(self._classes))
        self._due[OWNER_KEY] = encode(OWNER_KEY, owner, self._timeline.now())

    def _refuse(self, stored: Stored) -> None:
        """Guards a start against the servers of another deployment under the same name and place.

        What that left is struck out as soon as this process writes.
        """
        assert stored.owner is not None
        log.warning(
            "state of another deployment",
            extra={"classes": ",".join(stored.owner.classes)[:300], "entries": len(stored.servers)},
        )
        self._foreign = True
        keys = [LIST_KEY, PACE_KEY, *map(server_key, stored.servers), *map(health_key, stored.health)]
        self._due.update(dict.fromkeys(keys))

    def _take_in(self, stored: Stored) -> None:
        """What is in the store already needs no writing."""
        if stored.entry_count >= 0:
            # Guards the times written from now on against those of another clock: that is written first.
            self._list = ListRecord(
                stored.version, stored.entry_count, stored.boot_id, stored.monotonic_offset
            )
            self._confirmed = self._written_at = stored.confirmed_at
        for ident, (record, confirmed) in stored.servers.items():
            self._servers[ident] = record
            if record.state == "left":
                self._left[ident] = confirmed
        for ident, (health, confirmed) in stored.health.items():
            self._health[ident] = recovery.to_health(health, confirmed, self._offset)

    def _restore_starts(self, known: ServerEntries | None) -> ServerEntries | None:
        """The known list, with the starts that an earlier process has mapped.

        Guards a server's age against a wall clock that was stepped between two processes.
        """
        machines = known.entries if known is not None else []
        told = [self._starts.announced_time(entry.server.id, entry.server.started) for entry in machines]
        for ident, record in self._servers.items():
            if record.announced_started and record.started:
                self._starts.restore(ident, record.announced_started, record.started - self._offset)
        if known is None:
            return None
        mapped = [
            replace(entry, server=replace(server, started=self._starts.local_time(server.id, unix_ms)))
            for entry, unix_ms in zip(machines, told, strict=True)
            if (server := entry.server)
        ]
        return ServerEntries(known.version, known.full, mapped)

    def _note_start(self, begun: recovery.StartState) -> None:
        """Keep what the start goes by.

        Guards the next start against half a list: discovery may answer this one with changes alone, and the
        rest would be in no store.
        """
        confirmed = self._timeline.now() - begun.age
        for entry in begun.restored.entries.entries:
            ident = entry.server.id
            held = self._servers.get(ident)
            version = held.version if held is not None else begun.version or 0
            record = self._record(entry, version)
            if held is None or not _same(record, held):
                self._servers[ident] = record
                self._left.pop(ident, None)
                self._due[server_key(ident)] = encode(server_key(ident), record, confirmed)
        named = {entry.server.id for entry in begun.restored.entries.entries}
        for ident, record in list(self._servers.items()):
            if ident not in named and record.state != "left":
                self._note_left(ident, record, begun.version or 0, confirmed)
        listed = sum(record.state != "left" for record in self._servers.values())
        if begun.source == "known" or self._list is None:
            self._list = self._list_record(begun.version or 0, listed)
            self._confirmed = confirmed
            self._due[LIST_KEY] = encode(LIST_KEY, self._list, confirmed)

    def learn_from_writer(self) -> None:
        """Learn what the process that writes, the old version, has learned by now."""
        if self._store is None or self._store.is_writer or self._foreign:
            return
        try:
            stored = self._store.read_health()
        except StoreError as exc:
            return self._tell_once(exc)
        now, offset, figures = self._clock.now(), self._offset, trust_settings(self._settings)
        found = [
            weighed
            for record, confirmed in stored.health.values()
            if (weighed := trust.discard_expired(recovery.to_health(record, confirmed, offset), now, figures))
        ]
        if found:
            self._learn(found)
        if not self._took_over:
            self._took_over = True
            log.info("took over", extra={"learned": ",".join(health.server for health in found) or "nothing"})

    def publish_health(self) -> None:
        """A later version is starting: write what was learned soon, for it goes by that from its yes on."""
        if self._store is None or not self._store.is_writer:
            return
        if self._clock.now() - self._gathered_at >= PUBLISH_INTERVAL_MS:
            self._gather_health()
            self._urgent.set()

    def release_store(self) -> None:
        """Leave the store to the next version. What has changed is written first."""
        if self._store is not None and self._store.is_writer:
            self._gather_health()
            self._gather_pace(last=True)
            self._commit_now()
            self._store.release_write_lock()

    # What changes

    def note_list(self, machines: ServerEntries) -> None:
        """A list that the exchange took: it is confirmed as of now, and what it changes will be written."""
        if self._store is None:
            return
        now = self._timeline.now()
        self._confirmed = now
        urgent = False
        named = set()
        for entry in machines.entries:
            named.add(entry.server.id)
            urgent |= self._note(entry, machines.version, now)
        if machines.full:
            for ident, record in list(self._servers.items()):
                if ident not in named and record.state != "left":
                    urgent |= self._note_left(ident, record, machines.version, now)
        listed = sum(record.state != "left" for record in self._servers.values())
        whole = self._list_record(machines.version, listed)
        if whole != self._list or now - self._written_at >= CONFIRM_INTERVAL_MS:
            self._list = whole
            self._written_at = now
            self._due[LIST_KEY] = encode(LIST_KEY, whole, now)
        if urgent:
            # Guards the rule on drains across a crash: the next start must know of it.
            self._urgent.set()

    def _record(self, entry: ServerEntry, version: int) -> ServerRecord:
        """A machine as it is kept."""
        server = entry.server
        return recovery.to_server_record(
            entry, version, self._offset, self._starts.announced_time(server.id, server.started)
        )

    def _list_record(self, version: int, entries: int) -> ListRecord:
        return ListRecord(version, entries, self._timeline.boot_id, self._timeline.monotonic_offset)

    def _note(self, entry: ServerEntry, version: int, now: float) -> bool:
        """Take in an entry; tells whether it is bad news."""
        ident, state = entry.server.id, entry.server.state
        held = self._servers.get(ident)
        if state is ServerState.GONE:
            if held is not None and held.state == "left":
                return False
            return self._note_left(ident, held or self._record(entry, version), version, now)
        record = self._record(entry, version)
        if held is not None and _same(record, held):
            return False
        self._servers[ident] = record
        self._left.pop(ident, None)
        key = server_key(ident)
        self._due[key] = encode(key, record, now)
        return state is ServerState.DRAINING

    def _note_left(self, ident: str, held: ServerRecord, version: int, now: float) -> bool:
        """Keep a server that left as such, so that no older list brings it back."""
        record = ServerRecord(
            ident, held.host, held.port, held.front, "left", version, held.zone, held.kind, held.cell
        )
        self._servers[ident] = record
        self._left[ident] = now
        key = server_key(ident)
        self._due[key] = encode(key, record, now)
        if self._health.pop(ident, None) is not None:
            self._due[health_key(ident)] = None
        return True

    def _gather_health(self) -> None:
        """What the module has learned since the last write."""
        offset = self._offset
        self._gathered_at = self._clock.now()
        now = self._gathered_at + offset
        told = {health.server: health for health in self._learned() if health.server in self._servers}
        for ident, health in told.items():
            held = self._health.get(ident)
            if (
                held is None
                or not _alike(held, health)
                or health.observed_at - held.observed_at > CONFIRM_INTERVAL_MS
            ):
                self._health[ident] = health
                key = health_key(ident)
                self._due[key] = encode(key, recovery.to_health_record(health, offset), now)
        for ident in self._health.keys() - told.keys():
            del self._health[ident]
            self._due[health_key(ident)] = None

    def _gather_pace(self, *, last: bool = False) -> None:
        """How far rebalancing has come, now and then and at the end."""
        now = self._clock.now()
        if last or now - self._pace_at >= CONFIRM_INTERVAL_MS:
            self._pace_at = now
            record = self._pace(self._offset)
            if record is not None:
                self._due[PACE_KEY] = encode(PACE_KEY, record, now + self._offset)

    def _forget(self) -> None:
        """Retention: servers that left long ago."""
        now = self._timeline.now()
        if now < self._forget_at:
            return
        self._forget_at = now + FORGET_INTERVAL_MS
        for ident, at in list(self._left.items()):
            if now - at > self._settings.forget_after:
                self._drop_left(ident)

    def _drop_left(self, ident: str) -> None:
        self._left.pop(ident, None)
        self._servers.pop(ident, None)
        self._due[server_key(ident)] = None

    # Writing

    async def run(self) -> None:
        """Write what changes, until cancelled; the last of it is written then."""
        if self._store is None:
            return
        try:
            while True:
                with self._clock.limit(self._settings.write_every):
                    await self._urgent.wait()
                self._urgent = anyio.Event()
                if self._become_writer(self._store):
                    if self._clock.now() - self._gathered_at >= self._settings.write_every:
                        # Bad news of a list hurries; what was learned keeps its pace.
                        self._gather_health()
                        self._gather_pace()
                        self._forget()
                    await self._commit()
                elif self._took_over:
                    self.learn_from_writer()
        finally:
            self._commit_now()
            self._store.close()
            self._store = None

    def _become_writer(self, store: Store) -> bool:
        """Whether this process writes; when it has just come to, the store is made to say what it holds."""
        if store.is_writer:
            return True
        try:
            if not store.acquire_write_lock():
                return False
            stored = store.read()
        except StoreError as exc:
            store.release_write_lock()  # what it holds was not seen: it is claimed anew
            self._tell_once(exc)
            return False
        if stored.belongs_to_other_deployment(self._classes):
            self._refuse(stored)
            self._own()
            stored = Stored()
        self._foreign = False  # from now on what it holds is ours
        now = self._timeline.now()
        if stored.pace is not None:
            self._go_on(stored.pace, self._offset)
        self._health.clear()
        for ident, (health, confirmed) in stored.health.items():
            self._health[ident] = recovery.to_health(health, confirmed, self._offset)
        for ident, (record, confirmed) in stored.servers.items():
            if ident not in self._servers and record.state == "left":
                self._servers[ident] = record
                self._left[ident] = confirmed
            elif ident not in self._servers:
                self._due[server_key(ident)] = None
        for ident, record in self._servers.items():
            held = stored.servers.get(ident)
            if held is None or not _same(held[0], record):
                self._due[server_key(ident)] = encode(server_key(ident), record, now)
        if self._list is not None:
            self._due[LIST_KEY] = encode(LIST_KEY, self._list, self._confirmed)
        log.info("state writer", extra={"file": str(store.path)})
        return True

    async def _commit(self) -> None:
        store, due = self._store, self._due
        if store is None or not due:
            return
        self._due = {}
        try:
            if self._slow_commits:
                took = await to_thread.run_sync(store.write, due)
            else:
                took = store.write(due)
                self._slow_commits = took > MAX_LOOP_COMMIT_MS
        except StoreError as exc:
            self._failed(due, exc)
        except BaseException:
            # Guards what was to be written against the end of the program before the thread had begun.
            self._due = {**due, **self._due}
            raise

    def _commit_now(self) -> None:
        due, self._due = self._due, {}
        if self._store is None or not due or not self._store.is_writer:
            return
        try:
            self._store.write(due)
        except StoreError as exc:
            self._failed(due, exc)

    def _failed(self, due: dict[bytes, bytes | None], exc: StoreError) -> None:
        """Nothing was written: it is due again, less the least needed where there is no room."""
        self._due = {**due, **self._due}
        if isinstance(exc, StoreFullError):
            for ident in sorted(self._left, key=self._left.__getitem__)[: 1 + len(self._left) // 2]:
                self._drop_left(ident)
        self._tell_once(exc)

    def _tell_once(self, exc: StoreError) -> None:
        now = self._clock.now()
        if now - self._told_at >= ERROR_LOG_INTERVAL_MS:
            self._told_at = now
            log.error("state not kept", extra={"error": str(exc)})


def _same(one: ServerRecord, other: ServerRecord) -> bool:
    """Alike but for a start that went through two clocks."""
    if abs(one.started - other.started) > 1_000.0:
        return False
    return all(
        getattr(one, name) == getattr(other, name)
        for name in ("host", "port", "front", "state", "zone", "kind", "cell", "weight")
    )


def _alike(one: Health, other: Health) -> bool:
    """Whether there is no news in the second: times that only moved on with the clock do not count."""
    return (
        one.failures == other.failures
        and abs(one.retry_at - other.retry_at) < 1.0
        and one.slow_until == other.slow_until
        and one.capacity_estimate == other.capacity_estimate
        and one.cold_since == other.cold_since
    )
