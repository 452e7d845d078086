"""The records of the store and their encoding. No I/O.

A value consists of a header and a msgpack payload. The header holds an xxHash (XXH3, 64 bits) over key,
schema, time and payload, the schema number, and the Unix time in ms at which the source last confirmed the
record. This detects a corrupted record, and one under a wrong key, without the other records.
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
MAX_KEY_BYTES = 500  # without the prefix; LMDB's limit is 511
_HEADER = struct.Struct("<Hd")  # schema, confirmation time
_CHECKSUM = struct.Struct("<Q")

Text = Annotated[str, msgspec.Meta(max_length=4096)]
Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
NonNegative = Annotated[float, msgspec.Meta(ge=0)]


class InvalidRecord(Exception):
    """A record that cannot be used; the message says why."""


class NewerSchema(InvalidRecord):
    """A record written by a later release."""

    def __init__(self, schema: int) -> None:
        super().__init__(f"schema {schema} is newer than {SCHEMA}")
        self.schema = schema


class ListRecord(msgspec.Struct, frozen=True, array_like=True):
    """The server list as a whole, and the time base of all records in the store."""

    version: int
    entry_count: int  # listed servers; fewer server records mean that one was lost
    boot_id: Text = ""  # the boot in which the time base was established
    monotonic_offset: float = 0.0  # the store's time minus the system's monotonic clock, in ms


class ServerRecord(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the server list, as of its last change. Times are Unix ms."""

    id: Text
    host: Text
    port: Port
    front: Text
    state: Text  # in discovery's spelling: active, leaving or left
    version: int  # the list version of the last change
    zone: Text = ""
    kind: Text = ""
    cell: int = 0
    weight: NonNegative = 1.0
    started: NonNegative = 0.0
    announced_started: NonNegative = 0.0  # the start time as discovery announced it; 0 if unknown


class HealthRecord(msgspec.Struct, frozen=True, array_like=True):
    """What was learned about one server. Times are Unix ms; 0 means never. `delay` is in ms."""

    id: Text
    failures: Annotated[int, msgspec.Meta(ge=0)] = 0
    retry_at: NonNegative = 0.0
    unreachable_since: NonNegative = 0.0
    slow_until: NonNegative = 0.0
    late_report_at: NonNegative = 0.0
    delay: NonNegative = 0.0
    capacity_estimate: float = -1.0  # in mean connections; negative: unknown
    capacity_estimated_at: NonNegative = 0.0
    cold_since: NonNegative = 0.0


class PaceRecord(msgspec.Struct, frozen=True, array_like=True):
    """The progress of rebalancing: the rate in moves per second, and the clients moved recently.

    Each move is the client's key, its time in Unix ms, the servers that the client was moved from, and the
    target.
    """

    rate: NonNegative
    recent_moves: list[tuple[int, NonNegative, tuple[Text, ...], Text]]


class OwnerRecord(msgspec.Struct, frozen=True, array_like=True):
    """The deployment that wrote the store, identified by its request classes."""

    classes: list[Text]


Record = ListRecord | ServerRecord | HealthRecord | PaceRecord | OwnerRecord
RecordT = TypeVar("RecordT", ListRecord, ServerRecord, HealthRecord, PaceRecord, OwnerRecord)

_encode = msgspec.msgpack.Encoder().encode
_decoders: dict[type[Any], Any] = {
    kind: msgspec.msgpack.Decoder(kind)
    for kind in (ListRecord, ServerRecord, HealthRecord, PaceRecord, OwnerRecord)
}


@dataclass
class StoreContents:
    """All valid records of a store. `confirmed_at` is Unix ms; 0 without a list."""

    version: int = 0
    confirmed_at: float = 0.0
    entry_count: int = -1  # listed servers at the time of writing; -1 without a list
    servers: dict[str, tuple[ServerRecord, float]] = field(default_factory=dict)
    health: dict[str, tuple[HealthRecord, float]] = field(default_factory=dict)
    pace: PaceRecord | None = None
    owner: OwnerRecord | None = None  # None also in a store of an earlier release
    rejected: list[str] = field(default_factory=list)  # "KEY: reason" for each invalid record
    newer_schema: int = 0  # the highest schema found above SCHEMA
    boot_id: str = ""  # see ListRecord
    monotonic_offset: float = 0.0

    def belongs_to_other_deployment(self, classes: frozenset[str]) -> bool:
        """Return whether the store's owner has no class in common with these."""
        return self.owner is not None and bool(classes) and classes.isdisjoint(self.owner.classes)

    @property
    def listed_count(self) -> int:
        """The number of servers on the list; servers that left are stored but not counted."""
        return sum(record.state != "left" for record, _ in self.servers.values())

    @property
    def is_complete(self) -> bool:
        """Whether the records of all listed servers are present."""
        return self.listed_count == self.entry_count


def server_key(ident: str) -> bytes:
    """Return the key of a server's list entry; an id too long for a key is hashed."""
    return _key(SERVER_PREFIX, ident)


def health_key(ident: str) -> bytes:
    """Return the key of a server's health."""
    return _key(HEALTH_PREFIX, ident)


def _key(prefix: bytes, ident: str) -> bytes:
    raw = ident.encode("utf-8", "surrogatepass")
    return prefix + (raw if len(raw) <= MAX_KEY_BYTES else xxhash.xxh3_128_digest(raw))


def _checksum(key: bytes, content: bytes) -> bytes:
    return _CHECKSUM.pack(xxhash.xxh3_64_intdigest(content, seed=xxhash.xxh3_64_intdigest(key) & 0xFFFFFFFF))


def encode(key: bytes, record: Record, confirmed: float, schema: int = SCHEMA) -> bytes:
    """Return the value of a record that its source confirmed at that Unix time in ms."""
    content = _HEADER.pack(schema, confirmed) + _encode(record)
    return _checksum(key, content) + content


def decode(key: bytes, value: bytes, kind: type[RecordT]) -> tuple[RecordT, float]:
    """Return a record and its confirmation time in Unix ms; raises InvalidRecord or NewerSchema."""
    if len(value) < _CHECKSUM.size + _HEADER.size:
        raise InvalidRecord("shorter than a record header")
    content = bytes(value[_CHECKSUM.size :])
    if _checksum(key, content) != bytes(value[: _CHECKSUM.size]):
        raise InvalidRecord("checksum mismatch")
    schema, confirmed = _HEADER.unpack_from(content)
    if schema > SCHEMA:
        raise NewerSchema(schema)
    if not 0 <= confirmed < 1e15:
        raise InvalidRecord("confirmation time out of range")
    try:
        record: RecordT = _decoders[kind].decode(content[_HEADER.size :])
    except msgspec.MsgspecError as exc:
        raise InvalidRecord(str(exc)) from None
    return record, confirmed


def load_pair(stored: StoreContents, key: bytes, value: bytes) -> None:
    """Add one key-value pair of a store to `stored`; an invalid one is noted there and skipped."""
    try:
        if key == LIST_KEY:
            list_record, stored.confirmed_at = decode(key, value, ListRecord)
            stored.version = list_record.version
            stored.entry_count = list_record.entry_count
            stored.boot_id, stored.monotonic_offset = list_record.boot_id, list_record.monotonic_offset
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
            raise InvalidRecord("unknown key")
    except NewerSchema as exc:
        stored.newer_schema = max(stored.newer_schema, exc.schema)
    except InvalidRecord as exc:
        stored.rejected.append(f"{key[:80]!r}: {exc}")
