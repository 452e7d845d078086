"""What a start goes by, and which word of discovery to take. No I/O, no clock; times are ms.

`build_start_state` makes one list of the store and the configuration's `known`, entry by entry.
`ListValidator` looks at each
answer of discovery before it goes on.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from puffinford.core.values import RestoredState, ServerEntries, ServerEntry
from puffinford.interface import Health, Server, ServerState
from puffinford.server_list.entries import FRONT_NAMES, STATES_BY_NAME
from puffinford.state import trust
from puffinford.state.records import HealthRecord, ServerRecord, Stored

_WORDS = {state: word for word, state in STATES_BY_NAME.items()}
_WORSE = {ServerState.LIVE: 0, ServerState.DRAINING: 1, ServerState.GONE: 2}


def to_server_record(entry: ServerEntry, version: int, offset: float, told: float = 0.0) -> ServerRecord:
    """A machine as it is kept; `offset` is the store's time less the host's, in ms, `told` its start in Unix
    ms as discovery told it.
    """
    server = entry.server
    started = max(0.0, server.started + offset) if server.started else 0.0
    return ServerRecord(
        server.id,
        entry.host,
        entry.port,
        entry.front,
        _WORDS[server.state],
        version,
        server.zone,
        server.kind,
        server.cell,
        server.weight,
        started,
        told,
    )


def to_server_entry(record: ServerRecord, offset: float, now: float) -> ServerEntry | None:
    """A kept machine; None where the record names a state or front that nobody knows. `now` is the host's."""
    state = STATES_BY_NAME.get(record.state)
    if state is None or record.front not in FRONT_NAMES:
        return None
    # Guards a server against being cold until a wall clock that was set back has come there again.
    started = min(record.started - offset, now) if record.started else 0.0
    server = Server(record.id, record.zone, record.kind, record.cell, state, record.weight, started)
    return ServerEntry(server, record.host, record.port, record.front)


def to_health_record(health: Health, offset: float) -> HealthRecord:
    """What was learned of a server as it is kept."""

    def unix(at: float | None) -> float:
        return max(0.0, at + offset) if at else 0.0

    return HealthRecord(
        health.server,
        health.failures,
        unix(health.retry_at),
        unix(health.unreachable_since),
        unix(health.slow_until),
        unix(health.late_report_at),
        health.delay,
        -1.0 if health.capacity_estimate is None else health.capacity_estimate,
        unix(health.capacity_estimated_at),
        unix(health.cold_since),
    )


def to_health(record: HealthRecord, confirmed: float, offset: float) -> Health:
    """What was learned of a server, on the host's time."""

    def here(at: float) -> float:
        return at - offset if at else 0.0

    return Health(
        record.id,
        confirmed - offset,
        record.failures,
        here(record.retry_at),
        here(record.unreachable_since) or None,
        here(record.slow_until),
        here(record.late_report_at),
        record.delay,
        record.capacity_estimate if record.capacity_estimate >= 0 else None,
        here(record.capacity_estimated_at),
        here(record.cold_since) or None,
    )


@dataclass(frozen=True)
class StartState:
    """What a start goes by. `version` is what the first call of discovery continues from; None: it asks for
    all.
    """

    restored: RestoredState
    version: int | None
    source: str  # for the log: store, known or nothing
    age: float  # of what was used, in ms


def build_start_state(
    stored: Stored | None,
    known: ServerEntries | None,
    now: float,
    offset: float,
    trust_settings: trust.TrustSettings,
    known_age: float,
) -> StartState:
    """One list of both, the newer side entry by entry; `now` and `known_age` in ms of the host's time."""
    kept = _kept(stored, offset, now)
    told = {entry.server.id: entry for entry in known.entries} if known is not None else {}
    stored_age = trust.age(stored.confirmed_at - offset, now) if stored is not None else 0.0
    known_newer = known is not None and _newer(known.version, known_age, stored, stored_age)
    # Guards against what is gone coming back to life: the newer side would name it, had it stayed.
    newer, older = (told, kept) if known_newer else (kept, told)
    used: dict[str, ServerEntry] = {}
    for ident, entry in newer.items():
        other = older.get(ident)
        used[ident] = _with_start(entry, other) if other is not None else entry
    machines = [entry for entry in used.values() if entry.server.state is not ServerState.GONE]
    live = frozenset(m.server.id for m in machines if m.server.state is ServerState.LIVE)
    version: int | None = None
    if known is not None and known_newer:
        version = known.version
    elif stored is not None and stored.is_complete:
        # An answer with the changes alone would never name an entry that the store has lost.
        version = stored.version
    old = known_age if known_newer else stored_age
    limits = trust.attempt_limits(old, len(live), trust_settings)
    unverified = live if old > trust.TRUSTED_LIST_AGE_MS else frozenset()
    health = [] if stored is None else _health(stored, now, offset, trust_settings)
    listed = ServerEntries(version or 0, True, machines)
    restored = RestoredState(listed, unverified, limits.max_attempts, limits.attempt_timeout, health)
    source = "nothing" if not used else "known" if known_newer else "store"
    return StartState(restored, version, source, old)


def _kept(stored: Stored | None, offset: float, now: float) -> dict[str, ServerEntry]:
    if stored is None:
        return {}
    made = {record.id: to_server_entry(record, offset, now) for record, _ in stored.servers.values()}
    return {ident: entry for ident, entry in made.items() if entry is not None}


def _newer(version: int, known_age: float, stored: Stored | None, stored_age: float) -> bool:
    """Whether `known` is newer than the store. Where both tell their version, ages do not matter."""
    if stored is None or not stored.servers:
        return True
    if version and stored.version:
        return version > stored.version
    return known_age < stored_age


def _with_start(entry: ServerEntry, other: ServerEntry) -> ServerEntry:
    """A server's latest start, whichever side names it: one that is cold is cold whoever told."""
    if other.server.started <= entry.server.started:
        return entry
    return replace(entry, server=replace(entry.server, started=other.server.started))


def _health(stored: Stored, now: float, offset: float, trust_settings: trust.TrustSettings) -> list[Health]:
    """What was learned and still counts."""
    weighed = (
        trust.discard_expired(to_health(record, confirmed, offset), now, trust_settings)
        for record, confirmed in stored.health.values()
    )
    return [health for health in weighed if health is not None]


@dataclass(frozen=True)
class AcceptedUpdate:
    """What to pass on of an answer (None: nothing), and what the next call continues from (None: ask for
    all).
    """

    entries: ServerEntries | None
    version: int | None
    note: str = ""  # why it was not taken as it is


class ListValidator:
    """Holds the list in force, and judges each answer by it.

    The rules count news as told once they are written to us, so leaving, left and absent servers are taken
    from any answer. What an answer below the version in force says to use has to be said twice.
    """

    def __init__(self, version: int | None = None, machines: list[ServerEntry] | None = None) -> None:
        self._version = version
        self._held = {entry.server.id: entry for entry in machines or []}
        self._doubted = False  # the last answer was an older one, and we have asked for all

    @property
    def version(self) -> int | None:
        """The version in force, which a call after a failed one goes on from; None while one is doubted."""
        return None if self._doubted else self._version

    def moved(self) -> None:
        """Discovery answers at another address: its versions need not go on from those held."""
        self._version = None
        self._doubted = False

    def validate(self, answer: ServerEntries) -> AcceptedUpdate:
        """What to take of an answer."""
        machines = _each_once(answer.entries)
        older = self._version is not None and answer.version < self._version
        if not older or (answer.full and self._doubted):
            if not answer.full and self._version is None:
                # Guards against changes against a list that we never had.
                return self._bad_news(machines, None, "changes without a list")
            self._doubted = False
            self._hold(answer, machines)
            return AcceptedUpdate(ServerEntries(answer.version, answer.full, machines), answer.version)
        note = f"version {answer.version} after {self._version}"
        self._doubted = True
        if answer.full:
            machines = machines + self._absent(machines)
        return self._bad_news(machines, None, note)

    def _bad_news(self, machines: list[ServerEntry], version: int | None, note: str) -> AcceptedUpdate:
        bad = [m for m in machines if m.server.state is not ServerState.LIVE and m.server.id in self._held]
        for entry in bad:
            self._held[entry.server.id] = entry
        passed = ServerEntries(self._version or 0, False, bad) if bad else None
        return AcceptedUpdate(passed, version, note)

    def _absent(self, machines: list[ServerEntry]) -> list[ServerEntry]:
        """The held servers that a whole answer does not name, as gone."""
        named = {entry.server.id for entry in machines}
        return [
            replace(held, server=replace(held.server, state=ServerState.GONE))
            for ident, held in self._held.items()
            if ident not in named
        ]

    def _hold(self, answer: ServerEntries, machines: list[ServerEntry]) -> None:
        self._version = answer.version
        if answer.full:
            self._held.clear()
        for entry in machines:
            if entry.server.state is ServerState.GONE:
                self._held.pop(entry.server.id, None)
            else:
                self._held[entry.server.id] = entry


def _each_once(machines: list[ServerEntry]) -> list[ServerEntry]:
    """Of a server named twice the worse state counts: an answer at odds with itself is told either way."""
    seen: dict[str, ServerEntry] = {}
    for entry in machines:
        other = seen.get(entry.server.id)
        if other is None or _WORSE[entry.server.state] >= _WORSE[other.server.state]:
            seen[entry.server.id] = entry
    return machines if len(seen) == len(machines) else list(seen.values())
