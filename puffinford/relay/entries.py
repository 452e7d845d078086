"""Lists as a relay keeps them: entries as they came, fields that it does not know among them. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

import orjson

from puffinford.core.values import ServerEntries, ServerEntry
from puffinford.interface import Server, ServerState
from puffinford.server_list.entries import STATES_BY_NAME
from puffinford.server_list.watch import CallFailed
from puffinford.state.recovery import ListValidator

LEFT = "left"


@dataclass(frozen=True, slots=True)
class RawEntry:
    """One entry; `data` is its JSON."""

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
    """An answer's body. An entry without an id is rejected by itself; a bad frame raises CallFailed."""
    try:
        answer = orjson.loads(body)
    except orjson.JSONDecodeError as exc:
        raise CallFailed(f"not a list: {exc}") from None
    if not isinstance(answer, dict) or not isinstance(answer.get("servers"), list):
        raise CallFailed("not a list: servers is missing or no list")
    version, full = answer.get("version"), answer.get("full")
    if type(version) is not int:
        raise CallFailed("not a list: version is missing or no whole number")
    if type(full) is not bool:
        raise CallFailed("not a list: full is missing or not true or false")
    entries = []
    for number, told in enumerate(answer["servers"]):
        entry = _entry(told)
        if entry is None:
            reject(f"entry {number}: id or state is missing or no text")
        else:
            entries.append(entry)
    return RawList(version, full, entries)


def _entry(told: object) -> RawEntry | None:
    if not isinstance(told, dict):
        return None
    ident, state = told.get("id"), told.get("state", "active")
    if not isinstance(ident, str) or not ident or not isinstance(state, str):
        return None
    return RawEntry(ident, state, orjson.dumps(told))


def left(entry: RawEntry) -> RawEntry:
    """The same server once it has left."""
    told = {**orjson.loads(entry.data), "state": LEFT}
    return RawEntry(entry.id, LEFT, orjson.dumps(told))


@dataclass(frozen=True, slots=True)
class Judged:
    """What to take of an answer (None: nothing), and from which version the next call goes on (None: ask for
    all). With a `note` the answer is doubted; what is taken then is bad news under the version held.
    """

    taken: RawList | None
    version: int | None
    note: str


class RawGuard:
    """`ListValidator` for entries as they came: a relay believes what a balancer would."""

    def __init__(self) -> None:
        self._guard = ListValidator()

    @property
    def version(self) -> int | None:
        """Where a call after a failed one goes on from."""
        return self._guard.version

    def judge(self, answer: RawList, held: Callable[[str], RawEntry | None]) -> Judged:
        """What to take of an answer; `held` gives the entry in force of an id."""
        machines = [_machine(entry) for entry in answer.entries]
        taken = self._guard.validate(ServerEntries(answer.version, answer.full, machines))
        if taken.entries is None:
            return Judged(None, taken.version, taken.note)
        chosen = _as_came(taken.entries.entries, answer.entries, held)
        return Judged(
            replace(answer, version=taken.entries.version, full=taken.entries.full, entries=chosen),
            taken.version,
            taken.note,
        )


def _machine(entry: RawEntry) -> ServerEntry:
    """What the guard looks at. A state that is not known here is the balancers' to judge."""
    return ServerEntry(Server(entry.id, state=STATES_BY_NAME.get(entry.state, ServerState.LIVE)), "", 0)


def _as_came(
    machines: Iterable[ServerEntry], entries: list[RawEntry], held: Callable[[str], RawEntry | None]
) -> list[RawEntry]:
    """The entries that the guard has chosen; one that it found absent is the held one, as left."""
    came = {(entry.id, STATES_BY_NAME.get(entry.state, ServerState.LIVE)): entry for entry in entries}
    chosen = []
    for machine in machines:
        entry = came.get((machine.server.id, machine.server.state))
        if entry is None:
            before = held(machine.server.id)
            if before is None:
                continue
            entry = left(before)
        chosen.append(entry)
    return chosen
