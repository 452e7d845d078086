"""The records of the store, and their form on disk. No I/O.

A value is a head and a msgpack payload. The head holds the schema number, the Unix time in ms at which the
source last confirmed the record, and an xxHash (XXH3, 64 bits) over key, schema, time and payload: a record
that was changed, or stands under another's key, is found out by itself.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from typing import Annotated, Any, TypeVar

import msgspec
import xxhash

SCHEMA = 1
LIST_KEY = b"list"
PACE_KEY = b"pace"
OWNER_KEY = b"owner"
SERVER_PREFIX = b"s/"
HEALTH_PREFIX = b"h/"
MAX_KEY_BYTES = 500  # bytes; LMDB takes 511
_HEAD = struct.Struct("<Hd")  # schema, confirmed
_SUM = struct.Struct("<Q")

Text = Annotated[str, msgspec.Meta(max_length=4096)]
Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
Time = Annotated[float, msgspec.Meta(ge=0)]


class InvalidRecord(Exception):
    """A record that cannot be used; the text says why."""


class NewerSchema(InvalidRecord):
    """A record that a later release has written."""

    def __init__(self, schema: int) -> None:
        super().__init__(f"schema {schema} is newer than {SCHEMA}")
        self.schema = schema


class ListRecord(msgspec.Struct, frozen=True, array_like=True):
    """The machine list as a whole, and by which clock all times of the store are."""

    version: int
    entry_count: int  # how many servers it names: what says that one was lost
    boot_id: Text = ""  # of the machine, in which ...
    monotonic_offset: float = 0.0  # ... the store's times are so many ms ahead of its monotonic clock


class ServerRecord(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the machine list, as of its last change. Times are Unix ms."""

    id: Text
    host: Text
    port: Port
    front: Text
    state: Text  # as discovery names it: active, leaving or left
    version: int  # the list version that last changed it
    zone: Text = ""
    kind: Text = ""
    cell: int = 0
    weight: Time = 1.0
    started: Time = 0.0
    announced_started: Time = (
        0.0  # the start as discovery told it, by whatever clock; 0 where that is not known
    )


class HealthRecord(msgspec.Struct, frozen=True, array_like=True):
    """What was learned of one server. Times are Unix ms; 0 is never."""

    id: Text
    failures: Annotated[int, msgspec.Meta(ge=0)] = 0
    retry_at: Time = 0.0
    unreachable_since: Time = 0.0
    slow_until: Time = 0.0
    late_report_at: Time = 0.0
    delay: Time = 0.0
    capacity_estimate: float = -1.0  # negative: not known
    capacity_estimated_at: Time = 0.0
    cold_since: Time = 0.0


class PaceRecord(msgspec.Struct, frozen=True, array_like=True):
    """How far rebalancing had come: its rate in moves a second, and the clients that rest.

    A client is its key, Unix ms of its move, the servers it was at, and where it was sent.
    """

    rate: Time
    recent_moves: list[tuple[int, Time, tuple[Text, ...], Text]]


class OwnerRecord(msgspec.Struct, frozen=True, array_like=True):
    """Whose list it is: the classes of the deployment that wrote it."""

    classes: list[Text]


Record = ListRecord | ServerRecord | HealthRecord | PaceRecord | OwnerRecord
R = TypeVar("R", ListRecord, ServerRecord, HealthRecord, PaceRecord, OwnerRecord)

_encode = msgspec.msgpack.Encoder().encode
_decoders: dict[type[Any], Any] = {
    kind: msgspec.msgpack.Decoder(kind)
    for kind in (ListRecord, ServerRecord, HealthRecord, PaceRecord, OwnerRecord)
}


@dataclass
class Stored:
    """Everything sound that a store holds. `confirmed` is Unix ms; 0 without a list."""

    version: int = 0
    confirmed_at: float = 0.0
    entry_count: int = -1  # how many servers the list named when it was written; -1 without a list
    servers: dict[str, tuple[ServerRecord, float]] = field(default_factory=dict)
    health: dict[str, tuple[HealthRecord, float]] = field(default_factory=dict)
    pace: PaceRecord | None = None
    owner: OwnerRecord | None = None  # None also in a store that an earlier release wrote
    rejected: list[str] = field(default_factory=list)  # KEY: what is wrong
    newer_schema: int = 0  # the highest schema above ours that was met
    boot_id: str = ""  # see ListRecord
    monotonic_offset: float = 0.0

    def belongs_to_other_deployment(self, classes: frozenset[str]) -> bool:
        """Whether a deployment wrote it that has no class in common with these."""
        return self.owner is not None and bool(classes) and classes.isdisjoint(self.owner.classes)

    @property
    def listed_count(self) -> int:
        """How many servers the list names; those that left are kept beside it."""
        return sum(record.state != "left" for record, _ in self.servers.values())

    @property
    def is_complete(self) -> bool:
        """Whether no entry of the list is lost."""
        return self.listed_count == self.entry_count


def server_key(ident: str) -> bytes:
    """The key of a server's entry; ids too long for a key go by their hash."""
    return _key(SERVER_PREFIX, ident)


def health_key(ident: str) -> bytes:
    """The key of what was learned of a server."""
    return _key(HEALTH_PREFIX, ident)


def _key(prefix: bytes, ident: str) -> bytes:
    raw = ident.encode("utf-8", "surrogatepass")
    return prefix + (raw if len(raw) <= MAX_KEY_BYTES else xxhash.xxh3_128_digest(raw))


def _sum(key: bytes, rest: bytes) -> bytes:
    return _SUM.pack(xxhash.xxh3_64_intdigest(rest, seed=xxhash.xxh3_64_intdigest(key) & 0xFFFFFFFF))


def encode(key: bytes, record: Record, confirmed: float, schema: int = SCHEMA) -> bytes:
    """The value of a record that its source confirmed at that Unix time in ms."""
    rest = _HEAD.pack(schema, confirmed) + _encode(record)
    return _sum(key, rest) + rest


def decode(key: bytes, value: bytes, kind: type[R]) -> tuple[R, float]:
    """A record and when it was confirmed, in Unix ms; raises InvalidRecord or NewerSchema."""
    if len(value) < _SUM.size + _HEAD.size:
        raise InvalidRecord("too short")
    rest = bytes(value[_SUM.size :])
    if _sum(key, rest) != bytes(value[: _SUM.size]):
        raise InvalidRecord("the checksum does not fit")
    schema, confirmed = _HEAD.unpack_from(rest)
    if schema > SCHEMA:
        raise NewerSchema(schema)
    if not 0 <= confirmed < 1e15:
        raise InvalidRecord("no time")
    try:
        record: R = _decoders[kind].decode(rest[_HEAD.size :])
    except msgspec.MsgspecError as exc:
        raise InvalidRecord(str(exc)) from None
    return record, confirmed


def load_pair(stored: Stored, key: bytes, value: bytes) -> None:
    """Add one pair of a store to what was read; what cannot be used is named and left out."""
    try:
        if key == LIST_KEY:
            whole, stored.confirmed_at = decode(key, value, ListRecord)
            stored.version = whole.version
            stored.entry_count = whole.entry_count
            stored.boot_id, stored.monotonic_offset = whole.boot_id, whole.monotonic_offset
        elif key == PACE_KEY:
            stored.pace, _ = decode(key, value, PaceRecord)
        elif key == OWNER_KEY:
            stored.owner, _ = decode(key, value, OwnerRecord)
        elif key.startswith(SERVER_PREFIX):
            server, confirmed = decode(key, value, ServerRecord)
            stored.servers[server.id] = (server, confirmed)
        elif key.startswith(HEALTH_PREFIX):
            health, confirmed = decode(key, value, HealthRecord)
            stored.health[health.id] = (health, confirmed)
        else:
            raise InvalidRecord("no key of ours")
    except NewerSchema as exc:
        stored.newer_schema = max(stored.newer_schema, exc.schema)
    except InvalidRecord as exc:
        stored.rejected.append(f"{key[:80]!r}: {exc}")
