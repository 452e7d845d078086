"""The state that a process starts with, and the validation of server lists. No I/O, no clock; times are ms.

`build_start_state` combines the store with the configuration's `known` list. `ListValidator` checks each
answer of discovery before it is applied.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from puffinford.core.values import RestoredState, ServerEntries, ServerEntry
from puffinford.interface import Health, Server, ServerState
from puffinford.server_list.entries import FRONT_NAMES, STATES_BY_NAME
from puffinford.state import trust
from puffinford.state.records import HealthRecord, ServerRecord, StoreContents

_NAMES_BY_STATE = {state: name for name, state in STATES_BY_NAME.items()}
_STATE_SEVERITY = {ServerState.LIVE: 0, ServerState.DRAINING: 1, ServerState.GONE: 2}


def to_server_record(
    entry: ServerEntry, version: int, offset: float, announced_started: float = 0.0
) -> ServerRecord:
    """Return the record of a server entry.

    `offset` is the store's time minus the process clock's, in ms; `announced_started` the start time in Unix
    ms as discovery announced it.
    """
    server = entry.server
    started = max(0.0, server.started + offset) if server.started else 0.0
    return ServerRecord(
        server.id,
        entry.host,
        entry.port,
        entry.front,
        _NAMES_BY_STATE[server.state],
        version,
        server.zone,
        server.kind,
        server.cell,
        server.weight,
        started,
        announced_started,
    )


def to_server_entry(record: ServerRecord, offset: float, now: float) -> ServerEntry | None:
    """Return the entry of a record; None if its state or front is unknown. `now` is the process clock's."""
    state = STATES_BY_NAME.get(record.state)
    if state is None or record.front not in FRONT_NAMES:
        return None
    # Prevents a start in the future, which would keep the server cold after the clock was set back.
    started = min(record.started - offset, now) if record.started else 0.0
    server = Server(record.id, record.zone, record.kind, record.cell, state, record.weight, started)
    return ServerEntry(server, record.host, record.port, record.front)


def to_health_record(health: Health, offset: float) -> HealthRecord:
    """Return the record of a server's health."""

    def to_store_time(at: float | None) -> float:
        return max(0.0, at + offset) if at else 0.0

    return HealthRecord(
        health.server,
        health.failures,
        to_store_time(health.retry_at),
        to_store_time(health.unreachable_since),
        to_store_time(health.slow_until),
        to_store_time(health.late_report_at),
        health.delay,
        -1.0 if health.capacity_estimate is None else health.capacity_estimate,
        to_store_time(health.capacity_estimated_at),
        to_store_time(health.cold_since),
    )


def to_health(record: HealthRecord, confirmed: float, offset: float) -> Health:
    """Return a server's health with its times on the process clock."""

    def to_process_time(at: float) -> float:
        return at - offset if at else 0.0

    return Health(
        record.id,
        confirmed - offset,
        record.failures,
        to_process_time(record.retry_at),
        to_process_time(record.unreachable_since) or None,
        to_process_time(record.slow_until),
        to_process_time(record.late_report_at),
        record.delay,
        record.capacity_estimate if record.capacity_estimate >= 0 else None,
        to_process_time(record.capacity_estimated_at),
        to_process_time(record.cold_since) or None,
    )


@dataclass(frozen=True)
class StartState:
    """The state that a process starts with.

    The first call to discovery continues from `version`; None requests a full list.
    """

    restored: RestoredState
    version: int | None
    source: str  # for the log: store, known or nothing
    age: float  # of the list that was used, in ms


def build_start_state(
    stored: StoreContents | None,
    known: ServerEntries | None,
    now: float,
    offset: float,
    trust_settings: trust.TrustSettings,
    known_age: float,
) -> StartState:
    """Choose the newer of the two lists, and take start times and health from the store.

    `now` is on the process clock, `known_age` the age of `known`; both in ms.
    """
    stored_entries = _stored_entries(stored, offset, now)
    known_entries = {entry.server.id: entry for entry in known.entries} if known is not None else {}
    stored_age = trust.age(stored.confirmed_at - offset, now) if stored is not None else 0.0
    known_newer = known is not None and _is_known_newer(known.version, known_age, stored, stored_age)
    # Prevents the return of removed servers: only entries of the newer list are used.
    newer, older = (known_entries, stored_entries) if known_newer else (stored_entries, known_entries)
    used: dict[str, ServerEntry] = {}
    for ident, entry in newer.items():
        other = older.get(ident)
        used[ident] = _with_latest_start(entry, other) if other is not None else entry
    entries = [entry for entry in used.values() if entry.server.state is not ServerState.GONE]
    live = frozenset(item.server.id for item in entries if item.server.state is ServerState.LIVE)
    version: int | None = None
    if known is not None and known_newer:
        version = known.version
    elif stored is not None and stored.is_complete:
        # An incomplete store needs a full list: incremental changes would never name the lost entry.
        version = stored.version
    list_age = known_age if known_newer else stored_age
    limits = trust.attempt_limits(list_age, len(live), trust_settings)
    unverified = live if list_age > trust.TRUSTED_LIST_AGE_MS else frozenset()
    health = [] if stored is None else _current_health(stored, now, offset, trust_settings)
    server_list = ServerEntries(version or 0, True, entries)
    restored = RestoredState(server_list, unverified, limits.max_attempts, limits.attempt_timeout, health)
    source = "nothing" if not used else "known" if known_newer else "store"
    return StartState(restored, version, source, list_age)


def _stored_entries(stored: StoreContents | None, offset: float, now: float) -> dict[str, ServerEntry]:
    if stored is None:
        return {}
    entries = {record.id: to_server_entry(record, offset, now) for record, _ in stored.servers.values()}
    return {ident: entry for ident, entry in entries.items() if entry is not None}


def _is_known_newer(version: int, known_age: float, stored: StoreContents | None, stored_age: float) -> bool:
    """Return whether `known` is newer than the store: by version where both have one, else by age."""
    if stored is None or not stored.servers:
        return True
    if version and stored.version:
        return version > stored.version
    return known_age < stored_age


def _with_latest_start(entry: ServerEntry, other: ServerEntry) -> ServerEntry:
    """Return the entry with the later start time of both, so that a cold server is not taken for warm."""
    if other.server.started <= entry.server.started:
        return entry
    return replace(entry, server=replace(entry.server, started=other.server.started))


def _current_health(
    stored: StoreContents, now: float, offset: float, trust_settings: trust.TrustSettings
) -> list[Health]:
    """Return the stored health that has not expired."""
    current = (
        trust.discard_expired(to_health(record, confirmed, offset), now, trust_settings)
        for record, confirmed in stored.health.values()
    )
    return [health for health in current if health is not None]


@dataclass(frozen=True)
class AcceptedUpdate:
    """The accepted part of an answer (None: nothing), and the version the next call continues from.

    A version of None requests a full list.
    """

    entries: ServerEntries | None
    version: int | None
    note: str = ""  # why the answer was not accepted as it is


class ListValidator:
    """Holds the current list, and validates each answer against it.

    Drains and removals are accepted from any answer, since they take effect as soon as they are announced.
    Anything else in an answer older than the current list is ignored at first. A full list is requested,
    and accepted even if it is older too.
    """

    def __init__(self, version: int | None = None, entries: list[ServerEntry] | None = None) -> None:
        self._version = version
        self._entries = {entry.server.id: entry for entry in entries or []}
        self._awaiting_confirmation = False  # the last answer was older, and a full list was requested

    @property
    def version(self) -> int | None:
        """The version that the call after a failed one continues from; None while a full list is awaited."""
        return None if self._awaiting_confirmation else self._version

    def reset_version(self) -> None:
        """Forget the version: another source counts its versions independently."""
        self._version = None
        self._awaiting_confirmation = False

    def validate(self, answer: ServerEntries) -> AcceptedUpdate:
        """Return the accepted part of an answer."""
        entries = _deduplicated(answer.entries)
        is_older = self._version is not None and answer.version < self._version
        if not is_older or (answer.full and self._awaiting_confirmation):
            if not answer.full and self._version is None:
                # Changes relative to a list that was never received cannot be applied.
                return self._accept_removals(entries, None, "changes without a list")
            self._awaiting_confirmation = False
            self._apply(answer, entries)
            return AcceptedUpdate(ServerEntries(answer.version, answer.full, entries), answer.version)
        note = f"version {answer.version} after {self._version}"
        self._awaiting_confirmation = True
        if answer.full:
            entries = entries + self._absent_entries(entries)
        return self._accept_removals(entries, None, note)

    def _accept_removals(self, entries: list[ServerEntry], version: int | None, note: str) -> AcceptedUpdate:
        """Accept only what drains or removes a server of the current list."""
        removals = [
            item
            for item in entries
            if item.server.state is not ServerState.LIVE and item.server.id in self._entries
        ]
        for entry in removals:
            self._entries[entry.server.id] = entry
        accepted = ServerEntries(self._version or 0, False, removals) if removals else None
        return AcceptedUpdate(accepted, version, note)

    def _absent_entries(self, entries: list[ServerEntry]) -> list[ServerEntry]:
        """Return the current servers that a full answer does not name, as gone."""
        named = {entry.server.id for entry in entries}
        return [
            replace(current, server=replace(current.server, state=ServerState.GONE))
            for ident, current in self._entries.items()
            if ident not in named
        ]

    def _apply(self, answer: ServerEntries, entries: list[ServerEntry]) -> None:
        self._version = answer.version
        if answer.full:
            self._entries.clear()
        for entry in entries:
            if entry.server.state is ServerState.GONE:
                self._entries.pop(entry.server.id, None)
            else:
                self._entries[entry.server.id] = entry


def _deduplicated(entries: list[ServerEntry]) -> list[ServerEntry]:
    """Return one entry for each server; of contradicting ones the most severe state wins."""
    by_id: dict[str, ServerEntry] = {}
    for entry in entries:
        other = by_id.get(entry.server.id)
        if other is None or _STATE_SEVERITY[entry.server.state] >= _STATE_SEVERITY[other.server.state]:
            by_id[entry.server.id] = entry
    return entries if len(by_id) == len(entries) else list(by_id.values())
