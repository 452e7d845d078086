"""Parses and validates entries of the server list, for every source: discovery, inventory, configuration."""

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
MAX_NUMBER = 1 << 53  # in an entry; floats hold every integer up to it exactly
MAX_VERSION = (1 << 63) - 1  # of a list: the largest that the state store holds


MAX_ENTRIES = 32_768  # of a list: ten times the largest fleet
MAX_REPORTED_ENTRIES = 20  # of the malformed ones


class BadEntry(Exception):
    """An entry or list is malformed; the text gives the reason."""


def _text(entry: Mapping[str, Any], name: str, default: str | None = None) -> str:
    value = entry.get(name, default)
    if not is_text(value) or not value:
        raise BadEntry(f"{name} is missing or not text")
    return value


def _number(entry: Mapping[str, Any], name: str, default: float) -> float:
    value = entry.get(name, default)
    if isinstance(value, str):
        try:
            value = float(value)
        except ValueError:
            raise BadEntry(f"{name} is not a number") from None
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value <= MAX_NUMBER:
        raise BadEntry(f"{name} is not a number of 0 or more")
    return float(value)


def parse_address(text: str) -> tuple[str, int]:
    """Parse IP:PORT, with an IPv6 address in brackets; raises BadEntry."""
    host, separator, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        number = int(port)
    except ValueError:
        number = -1
    if not separator or not 0 <= number <= 65535:
        raise BadEntry(f"{text!r} is not IP:PORT")
    return host.strip("[]"), number


def parse_entry(entry: object, start_of: StartTimeLookup) -> ServerEntry:
    """Parse one entry. `start_of` maps an id and a start in Unix ms to local time. Raises BadEntry."""
    if not isinstance(entry, Mapping):
        raise BadEntry("the entry is not a mapping")
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
    """The latest start time in the entries, in Unix ms; 0 if there is none."""
    starts = (entry.get("started_ms") for entry in entries if isinstance(entry, Mapping))
    return max(
        (float(ms) for ms in starts if isinstance(ms, int | float) and 0 <= ms <= MAX_NUMBER), default=0.0
    )


def parse_server_list(
    answer: object, start_times: StartTimes, reject: Callable[[str], None]
) -> ServerEntries:
    """Parse an answer of discovery.

    A malformed entry is left out and reported to `reject`, the first MAX_REPORTED_ENTRIES by themselves; a
    malformed answer raises BadEntry.
    """
    if not isinstance(answer, dict) or not isinstance(answer.get("servers"), list):
        raise BadEntry("servers is missing or not a list")
    if len(answer["servers"]) > MAX_ENTRIES:
        # Prevents lines from being late while hundreds of thousands of entries are read.
        raise BadEntry(f"servers has {len(answer['servers'])} entries, {MAX_ENTRIES} at most")
    version = answer.get("version")
    if type(version) is not int or abs(version) > MAX_VERSION:
        raise BadEntry("version is missing or not a 64-bit integer")
    if type(answer.get("full")) is not bool:
        raise BadEntry("full is missing or not a boolean")
    start_times.observe_latest(_newest_start(answer["servers"]))
    entries = []
    rejected = 0
    for number, entry in enumerate(answer["servers"]):
        try:
            entries.append(parse_entry(entry, start_times.local_time))
        except BadEntry as exc:
            rejected += 1
            if rejected <= MAX_REPORTED_ENTRIES:
                reject(f"entry {number}: {exc}")
    if rejected > MAX_REPORTED_ENTRIES:
        reject(f"{rejected - MAX_REPORTED_ENTRIES} more entries are malformed")
    return ServerEntries(version, answer["full"], entries)
