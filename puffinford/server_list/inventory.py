"""Reads the inventory file of a configuration tool: CSV with a header, or YAML groups of hosts.

Malformed entries are reported with file and line, and the others are used.
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

POLL_INTERVAL_MS = 1_000.0  # between checks of the modification time and size of the file
_LINES = "__lines__"  # key under which a mapping holds the line numbers of its keys
NumberedEntry = tuple[int, Mapping[str, Any]]  # line number and values; no values where the row is malformed


class BadInventory(Exception):
    """The file is not an inventory; the text gives the reason."""


class _LineNumberLoader(yaml.SafeLoader):
    """The safe loader, with the line number of each key added to every mapping."""

    def construct_mapping(self, node: yaml.MappingNode, deep: bool = False) -> dict[Any, Any]:
        mapping = super().construct_mapping(node, deep)
        mapping[_LINES] = {key.value: key.start_mark.line + 1 for key, _ in node.value}
        return mapping


def _csv_entries(text: str) -> Iterator[NumberedEntry]:
    rows = csv.DictReader(text.splitlines(), strict=True)
    if "id" not in (rows.fieldnames or ()):
        raise BadInventory("the header has no column id")
    for row in rows:
        if None in row:
            yield rows.line_num, {}
        else:
            yield rows.line_num, {name: value.strip() for name, value in row.items() if value}


def _yaml_entries(text: str) -> Iterator[NumberedEntry]:
    root = yaml.load(text, Loader=_LineNumberLoader)
    if not isinstance(root, dict):
        raise BadInventory("not a mapping of groups")
    yield from _groups(root, {})


def _groups(groups: Mapping[str, Any], inherited: Mapping[str, Any]) -> Iterator[NumberedEntry]:
    lines = groups[_LINES]
    for name, group in groups.items():
        if name == _LINES:
            continue
        if not isinstance(group, dict) or not set(group) <= {"hosts", "vars", "children", _LINES}:
            yield lines.get(name, 0), {}
            continue
        group_vars = {**inherited, **_mapping(group, "vars")}
        hosts = _mapping(group, "hosts")
        for ident, values in hosts.items():
            if ident != _LINES:
                host_vars = values if isinstance(values, dict) else {} if values is None else {"id": None}
                yield (
                    hosts[_LINES].get(str(ident), lines.get(name, 0)),
                    {"id": ident, **group_vars, **host_vars},
                )
        yield from _groups({_LINES: {}, **_mapping(group, "children")}, group_vars)


def _mapping(group: Mapping[str, Any], name: str) -> Mapping[str, Any]:
    value = group.get(name)
    return value if isinstance(value, dict) else {_LINES: {}}


def _with_address(entry: Mapping[str, Any]) -> Mapping[str, Any]:
    """Add `addr` from the host and port names that configuration tools use."""
    host = entry.get("ansible_host", entry.get("host"))
    port = entry.get("ansible_port", entry.get("port"))
    if "addr" in entry or host is None or port is None:
        return entry
    return {**entry, "addr": f"{host}:{port}"}


def load(path: Path, start_of: StartTimeLookup) -> tuple[list[ServerEntry], list[str]]:
    """Read a file; returns its entries and a line `FILE:LINE: reason` for each rejected one.

    `start_of` maps an id and a start in Unix ms to local time. Raises BadInventory.
    """
    read = {".csv": _csv_entries, ".yaml": _yaml_entries, ".yml": _yaml_entries}.get(path.suffix)
    if read is None:
        raise BadInventory(f"{path}: not a .csv, .yaml or .yml file")
    entries: dict[str, ServerEntry] = {}
    rejected = []
    try:
        for line, entry in read(path.read_text(encoding="utf-8")):
            try:
                parsed = parse_entry(_with_address(entry), start_of)
                if parsed.server.id in entries:
                    raise BadEntry(f"id {parsed.server.id!r} is listed twice")
                entries[parsed.server.id] = parsed
            except BadEntry as exc:
                rejected.append(f"{path}:{line}: {exc}")
    except yaml.MarkedYAMLError as exc:
        line = exc.problem_mark.line + 1 if exc.problem_mark else 0
        raise BadInventory(f"{path}:{line}: {exc.problem}") from None
    except (OSError, ValueError, csv.Error, yaml.YAMLError, RecursionError, BadInventory) as exc:
        raise BadInventory(f"{path}: {exc}") from None
    return list(entries.values()), rejected


class InventoryFile:
    """A server list source that reads the file at the start and whenever it has changed."""

    def __init__(
        self,
        path: Path,
        clock: Clock,
        on_list: Callable[[ServerEntries | None], object],
        start_times: StartTimes | None = None,
    ) -> None:
        """`on_list` receives each list, or None if the file cannot be read. `start_times` is shared by all
        sources of lists in this process.
        """
        self._path = path
        self._start_times = start_times or StartTimes(clock)
        self._clock = clock
        self._on_list = on_list
        self._last_stamp: tuple[int, int] | None = None
        self._version = 0

    def check(self) -> None:
        """Raise BadInventory if the file cannot be read. For a start, where there is no earlier list."""
        load(self._path, self._start_times.local_time)

    def _stamp(self) -> tuple[int, int] | None:
        """The modification time in ns and the size in bytes; None if the file is not accessible."""
        try:
            stat = self._path.stat()
        except OSError:
            return None
        return stat.st_mtime_ns, stat.st_size

    def fetch(self) -> None:
        """Read the file; if it cannot be read, the last list stays in use."""
        self._last_stamp = self._stamp()
        try:
            entries, rejected = load(self._path, self._start_times.local_time)
        except BadInventory as exc:
            log.error("inventory unreadable", extra={"error": str(exc)})
            self._on_list(None)
            return
        for text in rejected:
            log.warning("inventory entry rejected", extra={"error": text})
        self._version += 1
        log.info("inventory", extra={"file": str(self._path), "entries": len(entries)})
        self._on_list(ServerEntries(self._version, True, entries))

    def refresh(self) -> bool:
        """Read the file if it has changed; returns False, as no answer is pending."""
        if self._stamp() != self._last_stamp:
            self.fetch()
        return False

    def subscribe(self, on: bool) -> None:
        """Read the file if `on`; `run` checks it for changes in either case."""
        if on:
            self.fetch()

    async def run(self) -> None:
        """Read the file, and again after each change, until cancelled."""
        self.fetch()
        while True:
            await self._clock.sleep(POLL_INTERVAL_MS)
            if self._stamp() != self._last_stamp:
                self.fetch()
