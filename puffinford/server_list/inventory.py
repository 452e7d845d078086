"""Reads the inventory file of a configuration tool: CSV with a header, or YAML groups of hosts.

Malformed entries are reported with file and line, and `InventoryFile` refuses a file that has any: what is
left of a broken file says nothing about the hosts that it fails to name.
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
_GROUP_KEYS = ("hosts", "vars", "children")
NumberedEntry = tuple[int, Mapping[str, Any] | BadEntry]  # line number, and values or what is wrong with them


class BadInventory(Exception):
    """The file is not an inventory; the text gives the reason."""


class _LineNumberLoader(yaml.SafeLoader):
    """The safe loader, with the line number of each key added to every mapping, and no key twice in any."""

    def compose_mapping_node(self, anchor: Any) -> yaml.MappingNode:
        node = super().compose_mapping_node(anchor)
        seen = set()
        for key, _ in node.value:
            if key.value in seen:
                # Prevents the last of two hosts of one name from being taken without a word.
                problem = f"{key.value!r} is listed twice"
                raise yaml.constructor.ConstructorError(None, None, problem, key.start_mark)
            seen.add(key.value if isinstance(key, yaml.ScalarNode) else id(key))
        return node

    def construct_mapping(self, node: yaml.MappingNode, deep: bool = False) -> dict[Any, Any]:
        mapping = super().construct_mapping(node, deep)
        mapping[_LINES] = {key.value: key.start_mark.line + 1 for key, _ in node.value}
        return mapping


def _csv_entries(text: str) -> Iterator[NumberedEntry]:
    rows = csv.DictReader(text.splitlines(), strict=True)
    if "id" not in (rows.fieldnames or ()):
        raise BadInventory("the header has no column id")
    columns = len(rows.fieldnames or ())
    for row in rows:
        if None in row or None in row.values():
            # A row without its last columns is cut, not a row of defaults.
            yield rows.line_num, BadEntry(f"the row does not have {columns} columns")
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
        if group is not None and not isinstance(group, dict):
            yield lines.get(name, 0), BadEntry(f"group {name!r} is not a mapping")
            continue
        group = group or {_LINES: {}}
        yield from _bad_keys(group)
        group_vars = {**inherited, **_mapping(group, "vars")}
        yield from _hosts(_mapping(group, "hosts"), group_vars)
        yield from _groups(_mapping(group, "children"), group_vars)


def _bad_keys(group: Mapping[str, Any]) -> Iterator[NumberedEntry]:
    for key, value in group.items():
        line = group[_LINES].get(str(key), 0)
        if key == _LINES:
            continue
        if key not in _GROUP_KEYS:
            yield line, BadEntry(f"{key!r} is not one of {', '.join(_GROUP_KEYS)}")
        elif value is not None and not isinstance(value, dict):
            yield line, BadEntry(f"{key} is not a mapping")


def _hosts(hosts: Mapping[str, Any], group_vars: Mapping[str, Any]) -> Iterator[NumberedEntry]:
    for ident, values in hosts.items():
        if ident == _LINES:
            continue
        line = hosts[_LINES].get(str(ident), 0)
        if values is not None and not isinstance(values, dict):
            yield line, BadEntry(f"host {ident!r} is not a mapping")
        else:
            yield line, {"id": ident, **group_vars, **(values or {})}


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
                if isinstance(entry, BadEntry):
                    raise entry
                parsed = parse_entry(_with_address(entry), start_of)
                if entries.get(parsed.server.id, parsed) != parsed:
                    raise BadEntry(f"id {parsed.server.id!r} is listed twice with different details")
                entries[parsed.server.id] = parsed
            except BadEntry as exc:
                rejected.append(f"{path}:{line}: {exc}")
    except yaml.MarkedYAMLError as exc:
        line = exc.problem_mark.line + 1 if exc.problem_mark else 0
        raise BadInventory(f"{path}:{line}: {exc.problem}") from None
    except (OSError, ValueError, csv.Error, yaml.YAMLError, RecursionError, BadInventory) as exc:
        raise BadInventory(f"{path}: {exc}") from None
    if not entries and not rejected:
        # A file of which only the head is written is no order to remove all servers.
        raise BadInventory(f"{path}: no host is listed")
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
        """Raise BadInventory if the file is refused. For a start, where there is no earlier list."""
        self._load_whole()

    def _load_whole(self) -> list[ServerEntry]:
        """Read the file; raises BadInventory, with a line for each malformed entry."""
        entries, rejected = load(self._path, self._start_times.local_time)
        if rejected:
            raise BadInventory("\n".join(rejected))
        return entries

    def _stamp(self) -> tuple[int, int] | None:
        """The modification time in ns and the size in bytes; None if the file is not accessible."""
        try:
            stat = self._path.stat()
        except OSError:
            return None
        return stat.st_mtime_ns, stat.st_size

    def fetch(self) -> None:
        """Read the file; if it is refused, the last list stays in use."""
        self._last_stamp = self._stamp()
        try:
            entries = self._load_whole()
        except BadInventory as exc:
            for text in str(exc).splitlines():
                log.error("inventory refused", extra={"error": text})
            self._on_list(None)
            return
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
