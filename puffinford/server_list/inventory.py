"""The inventory file, as configuration tools keep it: CSV with a header, or YAML groups of hosts.

Bad entries are rejected with file and line, and the others used; DEPLOY's names are the columns.
"""

from __future__ import annotations

import csv
import logging
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path
from typing import Any

import yaml

from puffinford.core.clock import Clock
from puffinford.core.start_times import StartTimeLookup, StartTimes
from puffinford.core.values import ServerEntries, ServerEntry
from puffinford.server_list.entries import BadEntry, parse_entry

log = logging.getLogger(__name__)

POLL = 1_000.0  # between looks at the file's time and size
_LINES = "__lines__"
Entry = tuple[int, Mapping[str, Any]]


class BadInventory(Exception):
    """The file cannot be read as an inventory at all."""


class _LinedLoader(yaml.SafeLoader):
    """The safe loader, which also tells on which line each key of a mapping stands."""

    def construct_mapping(self, node: yaml.MappingNode, deep: bool = False) -> dict[Any, Any]:
        mapping = super().construct_mapping(node, deep)
        mapping[_LINES] = {key.value: key.start_mark.line + 1 for key, _ in node.value}
        return mapping


def _csv_entries(text: str) -> Iterator[Entry]:
    rows = csv.DictReader(text.splitlines(), strict=True)
    if "id" not in (rows.fieldnames or ()):
        raise BadInventory("the header names no id")
    for row in rows:
        if None in row:
            yield rows.line_num, {}
        else:
            yield rows.line_num, {name: value.strip() for name, value in row.items() if value}


def _yaml_entries(text: str) -> Iterator[Entry]:
    root = yaml.load(text, Loader=_LinedLoader)
    if not isinstance(root, dict):
        raise BadInventory("no mapping of groups")
    yield from _groups(root, {})


def _groups(groups: Mapping[str, Any], inherited: Mapping[str, Any]) -> Iterator[Entry]:
    lines = groups[_LINES]
    for name, group in groups.items():
        if name == _LINES:
            continue
        if not isinstance(group, dict) or not set(group) <= {"hosts", "vars", "children", _LINES}:
            yield lines.get(name, 0), {}
            continue
        given = {**inherited, **_mapping(group, "vars")}
        hosts = _mapping(group, "hosts")
        for ident, values in hosts.items():
            if ident != _LINES:
                own = values if isinstance(values, dict) else {} if values is None else {"id": None}
                yield hosts[_LINES].get(str(ident), lines.get(name, 0)), {"id": ident, **given, **own}
        yield from _groups({_LINES: {}, **_mapping(group, "children")}, given)


def _mapping(group: Mapping[str, Any], name: str) -> Mapping[str, Any]:
    value = group.get(name)
    return value if isinstance(value, dict) else {_LINES: {}}


def _with_address(entry: Mapping[str, Any]) -> Mapping[str, Any]:
    """`addr`, also from the names that configuration tools give a host and its port."""
    host = entry.get("ansible_host", entry.get("host"))
    port = entry.get("ansible_port", entry.get("port"))
    if "addr" in entry or host is None or port is None:
        return entry
    return {**entry, "addr": f"{host}:{port}"}


def load(path: Path, start_of: StartTimeLookup) -> tuple[list[ServerEntry], list[str]]:
    """The machines of a file, and a line `FILE:LINE: what is wrong` for each entry that is rejected."""
    read = {".csv": _csv_entries, ".yaml": _yaml_entries, ".yml": _yaml_entries}.get(path.suffix)
    if read is None:
        raise BadInventory(f"{path}: neither .csv nor .yaml")
    machines: dict[str, ServerEntry] = {}
    rejected = []
    try:
        for line, entry in read(path.read_text(encoding="utf-8")):
            try:
                made = parse_entry(_with_address(entry), start_of)
                if made.server.id in machines:
                    raise BadEntry(f"id {made.server.id!r} stands there twice")
                machines[made.server.id] = made
            except BadEntry as exc:
                rejected.append(f"{path}:{line}: {exc}")
    except yaml.MarkedYAMLError as exc:
        line = exc.problem_mark.line + 1 if exc.problem_mark else 0
        raise BadInventory(f"{path}:{line}: {exc.problem}") from None
    except (OSError, ValueError, csv.Error, yaml.YAMLError, RecursionError, BadInventory) as exc:
        raise BadInventory(f"{path}: {exc}") from None
    return list(machines.values()), rejected


class InventoryFile:
    """A machine source: the whole list at the start and whenever the file has changed."""

    def __init__(
        self,
        path: Path,
        clock: Clock,
        take: Callable[[ServerEntries | None], object],
        starts: StartTimes | None = None,
    ) -> None:
        """`take` hears each list; `starts` is shared with whatever else in this process reads lists."""
        self._path = path
        self._starts = starts or StartTimes(clock)
        self._clock = clock
        self._take = take
        self._seen: tuple[int, int] | None = None
        self._version = 0

    def check(self) -> None:
        """Raise BadInventory if the file cannot be read: at a start there is no last list to keep."""
        load(self._path, self._starts.local_time)

    def _stamp(self) -> tuple[int, int] | None:
        try:
            stat = self._path.stat()
        except OSError:
            return None
        return stat.st_mtime_ns, stat.st_size

    def fetch(self) -> None:
        """Read the file; a file that cannot be read leaves the last list in force."""
        self._seen = self._stamp()
        try:
            machines, rejected = load(self._path, self._starts.local_time)
        except BadInventory as exc:
            log.error("inventory unreadable", extra={"error": str(exc)})
            self._take(None)
            return
        for text in rejected:
            log.warning("inventory entry rejected", extra={"error": text})
        self._version += 1
        log.info("inventory", extra={"file": str(self._path), "entries": len(machines)})
        self._take(ServerEntries(self._version, True, machines))

    def refresh(self) -> bool:
        """Read the file if it has changed; nothing is left to wait for."""
        if self._stamp() != self._seen:
            self.fetch()
        return False

    def subscribe(self, on: bool) -> None:
        if on:
            self.fetch()

    async def run(self) -> None:
        self.fetch()
        while True:
            await self._clock.sleep(POLL)
            if self._stamp() != self._seen:
                self.fetch()
