"""Reads the inventory file of a configuration tool: CSV with a header, or YAML groups of hosts.

Malformed entries are reported with file and line. A file that has any is to be refused: what is left of a
broken file says nothing about the hosts that it fails to name.
"""

from __future__ import annotations

import csv
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import yaml

from puffinford.core.start_times import StartTimeLookup
from puffinford.core.values import ServerEntry
from puffinford.regular_file import read_regular_file
from puffinford.server_list import inventory_yaml
from puffinford.server_list.entries import BadEntry, parse_entry
from puffinford.server_list.inventory_yaml import LINES

MAX_FILE_BYTES = 1 << 20  # about 10,000 hosts
_GROUP_KEYS = ("hosts", "vars", "children")
NumberedEntry = tuple[int, Mapping[str, Any] | BadEntry]  # line number, and values or what is wrong with them


class BadInventory(Exception):
    """The file is not an inventory; the text gives the reason."""


@dataclass(slots=True)
class Inventory:
    """The content of a file. It is malformed if any entry was rejected."""

    entries: list[ServerEntry] = field(default_factory=list)
    rejected: list[str] = field(default_factory=list)  # `FILE:LINE: reason` for each malformed entry
    given: dict[str, frozenset[str]] = field(default_factory=dict)  # names of the values given, by host
    ends_with_newline: bool = True

    def tells_less_than(self, earlier: Inventory) -> bool:
        """Whether a host of an earlier content is missing, or a value that was given for it."""
        return any(not names <= self.given.get(ident, frozenset()) for ident, names in earlier.given.items())


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
    root = inventory_yaml.parse(text)
    if not isinstance(root, dict):
        raise BadInventory("not a mapping of groups")
    yield from _groups(root, {})


def _groups(groups: Mapping[str, Any], inherited: Mapping[str, Any]) -> Iterator[NumberedEntry]:
    lines = groups[LINES]
    for name, group in groups.items():
        if name == LINES:
            continue
        if group is not None and not isinstance(group, dict):
            yield lines.get(name, 0), BadEntry(f"group {name!r} is not a mapping")
            continue
        group = group or {LINES: {}}
        yield from _bad_keys(group)
        group_vars = {**inherited, **_mapping(group, "vars")}
        yield from _hosts(_mapping(group, "hosts"), group_vars)
        yield from _groups(_mapping(group, "children"), group_vars)


def _bad_keys(group: Mapping[str, Any]) -> Iterator[NumberedEntry]:
    for key, value in group.items():
        line = group[LINES].get(key, 0)
        if key == LINES:
            continue
        if key not in _GROUP_KEYS:
            yield line, BadEntry(f"{key!r} is not one of {', '.join(_GROUP_KEYS)}")
        elif value is not None and not isinstance(value, dict):
            yield line, BadEntry(f"{key} is not a mapping")


def _hosts(hosts: Mapping[str, Any], group_vars: Mapping[str, Any]) -> Iterator[NumberedEntry]:
    for ident, values in hosts.items():
        if ident == LINES:
            continue
        line = hosts[LINES].get(ident, 0)
        if values is not None and not isinstance(values, dict):
            yield line, BadEntry(f"host {ident!r} is not a mapping")
        else:
            yield line, {"id": ident, **group_vars, **(values or {})}


def _mapping(group: Mapping[str, Any], name: str) -> Mapping[str, Any]:
    value = group.get(name)
    return value if isinstance(value, dict) else {LINES: {}}


def _with_address(entry: Mapping[str, Any]) -> Mapping[str, Any]:
    """Add `addr` from the host and port names that configuration tools use."""
    host = entry.get("ansible_host", entry.get("host"))
    port = entry.get("ansible_port", entry.get("port"))
    if "addr" in entry or host is None or port is None:
        return entry
    return {**entry, "addr": f"{host}:{port}"}


def load(path: Path, start_of: StartTimeLookup) -> Inventory:
    """Read a file. `start_of` maps an id and a start in Unix ms to local time. Raises BadInventory."""
    read = {".csv": _csv_entries, ".yaml": _yaml_entries, ".yml": _yaml_entries}.get(path.suffix)
    if read is None:
        raise BadInventory(f"{path}: not a .csv, .yaml or .yml file")
    try:
        text = read_regular_file(path, MAX_FILE_BYTES).decode("utf-8")
        inventory = _parse(path, read(text), start_of)
    except yaml.MarkedYAMLError as exc:
        line = exc.problem_mark.line + 1 if exc.problem_mark else 0
        raise BadInventory(f"{path}:{line}: {exc.problem}") from None
    except (OSError, ValueError, csv.Error, yaml.YAMLError, RecursionError, BadInventory) as exc:
        raise BadInventory(f"{path}: {exc}") from None
    except Exception as exc:
        # Prevents a content that no test foresaw from ending the process, and with it every connection.
        raise BadInventory(f"{path}: {type(exc).__name__}: {exc}") from exc
    if not inventory.entries and not inventory.rejected:
        # A file of which only the head is written is no order to remove all servers.
        raise BadInventory(f"{path}: no host is listed")
    inventory.ends_with_newline = text.endswith("\n")
    return inventory


def _parse(path: Path, entries: Iterator[NumberedEntry], start_of: StartTimeLookup) -> Inventory:
    parsed: dict[str, ServerEntry] = {}
    inventory = Inventory()
    for line, entry in entries:
        try:
            if isinstance(entry, BadEntry):
                raise entry
            server_entry = parse_entry(_with_address(entry), start_of)
            ident = server_entry.server.id
            if parsed.setdefault(ident, server_entry) != server_entry:
                raise BadEntry(f"id {ident!r} is listed twice with different details")
            inventory.given[ident] = frozenset(
                name for name, value in entry.items() if value not in (None, "")
            )
        except BadEntry as exc:
            inventory.rejected.append(f"{path}:{line}: {exc}")
    inventory.entries = list(parsed.values())
    return inventory
