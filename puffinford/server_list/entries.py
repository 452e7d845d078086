"""Entries of the machine list from plain named values, whatever file or service they came from."""

from __future__ import annotations

import ipaddress
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from puffinford.codec import is_text
from puffinford.core.start_times import StartTimeLookup, StartTimes
from puffinford.core.values import ServerEntries, ServerEntry
from puffinford.interface import Server, ServerState

STATES_BY_NAME = {"active": ServerState.LIVE, "leaving": ServerState.DRAINING, "left": ServerState.GONE}
FRONT_NAMES = ("lines", "channels")
FIGURE_MOST = 1 << 53  # of an entry: what a float holds exactly; JSON may tell more than any float can
VERSION_MOST = (1 << 63) - 1  # of a list: what a store holds


class BadEntry(Exception):
    """An entry or list in no known form; the text says what is wrong."""


def _text(entry: Mapping[str, Any], name: str, default: str | None = None) -> str:
    value = entry.get(name, default)
    if not is_text(value) or not value:
        raise BadEntry(f"{name} is missing or no text")
    return value


def _number(entry: Mapping[str, Any], name: str, default: float) -> float:
    value = entry.get(name, default)
    if isinstance(value, str):
        try:
            value = float(value)
        except ValueError:
            raise BadEntry(f"{name} is no number") from None
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value <= FIGURE_MOST:
        raise BadEntry(f"{name} is no number of 0 or more")
    return float(value)


def parse_address(text: str) -> tuple[str, int]:
    host, sign, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        number = int(port)
    except ValueError:
        number = -1
    if not sign or not 0 <= number <= 65535:
        raise BadEntry(f"{text!r} is no IP:PORT")
    return host.strip("[]"), number


def parse_entry(entry: object, start_of: StartTimeLookup) -> ServerEntry:
    """One entry; raises BadEntry."""
    if not isinstance(entry, Mapping):
        raise BadEntry("the entry is no set of named values")
    state = _text(entry, "state", "active")
    if state not in STATES_BY_NAME:
        raise BadEntry(f"state {state!r} is unknown")
    front = _text(entry, "front", "lines")
    if front not in FRONT_NAMES:
        raise BadEntry(f"front {front!r} is unknown")
    ident = _text(entry, "id")
    gone = STATES_BY_NAME[state] is ServerState.GONE
    host, port = parse_address(_text(entry, "addr")) if not gone or "addr" in entry else ("", 0)
    server = Server(
        ident,
        _text(entry, "zone", "-") if entry.get("zone") else "",
        _text(entry, "kind", "-") if entry.get("kind") else "",
        int(_number(entry, "cell", 0)),
        STATES_BY_NAME[state],
        _number(entry, "weight", 1.0),
        start_of(ident, _number(entry, "started_ms", 0)),
    )
    return ServerEntry(server, host, port, front)


def _newest_start(entries: Iterable[object]) -> float:
    """The latest start that any entry tells, in Unix ms; 0 where none does."""
    told = (entry.get("started_ms") for entry in entries if isinstance(entry, Mapping))
    return max(
        (float(ms) for ms in told if isinstance(ms, int | float) and 0 <= ms <= FIGURE_MOST), default=0.0
    )


def parse_server_list(answer: object, starts: StartTimes, reject: Callable[[str], None]) -> ServerEntries:
    """A whole answer in discovery's form. A bad entry is rejected by itself; a bad frame raises BadEntry."""
    if not isinstance(answer, dict) or not isinstance(answer.get("servers"), list):
        raise BadEntry("servers is missing or no list")
    version = answer.get("version")
    if type(version) is not int or abs(version) > VERSION_MOST:
        raise BadEntry("version is missing or no whole number of 64 bits")
    if type(answer.get("full")) is not bool:
        raise BadEntry("full is missing or not true or false")
    starts.observe_latest(_newest_start(answer["servers"]))
    machines = []
    for number, entry in enumerate(answer["servers"]):
        try:
            machines.append(parse_entry(entry, starts.local_time))
        except BadEntry as exc:
            reject(f"entry {number}: {exc}")
    return ServerEntries(version, answer["full"], machines)
