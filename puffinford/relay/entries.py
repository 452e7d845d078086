"""Server lists as raw JSON entries, so that a relay passes on fields it does not know. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

import orjson

from puffinford.core.values import ServerEntries, ServerEntry
from puffinford.interface import Server, ServerState
from puffinford.server_list.entries import MAX_ENTRIES, STATES_BY_NAME
from puffinford.server_list.watch import CallFailed
from puffinford.state.recovery import ListValidator

LEFT = "left"


@dataclass(frozen=True, slots=True)
class RawEntry:
    """One server's entry; `data` is its JSON."""

    id: str
    state: str
    data: bytes


@dataclass(frozen=True, slots=True)
class RawList:
    """An answer of the list service."""

    version: int
    full: bool
    entries: list[RawEntry]

    @property
    def size(self) -> int:
        """The number of entries."""
        return len(self.entries)


def decode(body: bytes, reject: Callable[[str], None]) -> RawList:
    """Decode the body of an answer. Raises CallFailed if its outer fields are invalid.

    An entry without a valid id or state is left out, and `reject` is called with the reason.
    """
    try:
        answer = orjson.loads(body)
    except orjson.JSONDecodeError as exc:
        raise CallFailed(f"not a list: {exc}") from None
    if not isinstance(answer, dict) or not isinstance(answer.get("servers"), list):
        raise CallFailed("not a list: servers is missing or not an array")
    if len(answer["servers"]) > MAX_ENTRIES:
        raise CallFailed(f"not a list: {len(answer['servers'])} entries, {MAX_ENTRIES} at most")
    version, full = answer.get("version"), answer.get("full")
    if type(version) is not int:
        raise CallFailed("not a list: version is missing or not an integer")
    if type(full) is not bool:
        raise CallFailed("not a list: full is missing or not a boolean")
    entries = []
    for number, fields in enumerate(answer["servers"]):
        entry = _decode_entry(fields)
        if entry is None:
            reject(f"entry {number}: id or state is missing or not a string")
        else:
            entries.append(entry)
    return RawList(version, full, entries)


def _decode_entry(fields: object) -> RawEntry | None:
    if not isinstance(fields, dict):
        return None
    server_id, state = fields.get("id"), fields.get("state", "active")
    if not isinstance(server_id, str) or not server_id or not isinstance(state, str):
        return None
    return RawEntry(server_id, state, orjson.dumps(fields))


def as_left(entry: RawEntry) -> RawEntry:
    """Return a copy of the entry in state `left`."""
    fields = {**orjson.loads(entry.data), "state": LEFT}
    return RawEntry(entry.id, LEFT, orjson.dumps(fields))


@dataclass(frozen=True, slots=True)
class RawVerdict:
    """What to apply of an answer (None: nothing), and the version to resume from (None: request all).

    A non-empty `note` says why the answer is suspect; `accepted` then holds only drains and
    removals, under the current version.
    """

    accepted: RawList | None
    version: int | None
    note: str


class RawListGuard:
    """`ListValidator` for raw entries: a relay trusts the same answers as a balancer."""

    def __init__(self) -> None:
        self._guard = ListValidator()

    @property
    def version(self) -> int | None:
        """The version to resume from after a failed call."""
        return self._guard.version

    def judge(self, answer: RawList, current_entry: Callable[[str], RawEntry | None]) -> RawVerdict:
        """Decide what to apply of an answer; `current_entry` returns the present entry of an id."""
        servers = [_server_entry(entry) for entry in answer.entries]
        verdict = self._guard.validate(ServerEntries(answer.version, answer.full, servers))
        if verdict.entries is None:
            return RawVerdict(None, verdict.version, verdict.note)
        selected = _select_raw(verdict.entries.entries, answer.entries, current_entry)
        return RawVerdict(
            replace(answer, version=verdict.entries.version, full=verdict.entries.full, entries=selected),
            verdict.version,
            verdict.note,
        )


def _server_entry(entry: RawEntry) -> ServerEntry:
    """The fields that `ListValidator` reads. An unknown state counts as live; balancers check it."""
    return ServerEntry(Server(entry.id, state=STATES_BY_NAME.get(entry.state, ServerState.LIVE)), "", 0)


def _select_raw(
    servers: Iterable[ServerEntry], entries: list[RawEntry], current_entry: Callable[[str], RawEntry | None]
) -> list[RawEntry]:
    """The raw entries of the selected servers; for one absent from the answer, its current entry as left."""
    received = {(entry.id, STATES_BY_NAME.get(entry.state, ServerState.LIVE)): entry for entry in entries}
    selected = []
    for listed in servers:
        entry = received.get((listed.server.id, listed.server.state))
        if entry is None:
            current = current_entry(listed.server.id)
            if current is None:
                continue
            entry = as_left(current)
        selected.append(entry)
    return selected
