"""Reads KNOWN-RED.txt, the list of known failures that are still to be fixed, three at most.

A line is `TEST | COMMAND | SEEN | issue N`. TEST is a pytest node id, or `none` if no test shows the fault;
COMMAND, with its seed, reproduces it; SEEN is the observed failure. CI tolerates only these failures and
prints each entry with its result.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path

MAX_ENTRIES = 3
NO_TEST = "none"
LINE_FORMAT = "TEST | COMMAND | SEEN | issue N"
_TEST = re.compile(rf"tests/\S+\.py::\S.*|{NO_TEST}")
_ISSUE = re.compile(r"issue (\d+)")


class BadKnownRed(Exception):
    """Raised for an unusable file; the message names the line."""


@dataclass(frozen=True)
class KnownRed:
    """A known failure. `test` is empty if no test shows it."""

    test: str
    command: str
    seen: str
    issue: int

    def __str__(self) -> str:
        return f"{self.test or self.command}: {self.seen} (issue {self.issue})"


def read(path: Path) -> list[KnownRed]:
    """Return the file's entries; an empty list if there is no file. Raises BadKnownRed."""
    if not path.exists():
        return []
    entries: list[KnownRed] = []
    for number, line in enumerate(path.read_text().splitlines(), 1):
        red = _parse_entry(line)
        if red is None:
            raise BadKnownRed(f"{path.name}:{number}: {line!r} is not {LINE_FORMAT}")
        if any((other.test or other.command) == (red.test or red.command) for other in entries):
            raise BadKnownRed(f"{path.name}:{number}: {red.test or red.command} is listed twice")
        entries.append(red)
    if len(entries) > MAX_ENTRIES:
        raise BadKnownRed(f"{path.name}: {len(entries)} lines, {MAX_ENTRIES} at most")
    return entries


def _parse_entry(line: str) -> KnownRed | None:
    """Parse a line; None if it is malformed."""
    parts = [part.strip() for part in line.split(" | ")]
    if len(parts) != 4 or not all(parts):
        return None
    test, command, seen, issue = parts
    issue_number = _ISSUE.fullmatch(issue)
    if _TEST.fullmatch(test) is None or issue_number is None:
        return None
    return KnownRed("" if test == NO_TEST else test, command, seen, int(issue_number[1]))


def absent(entries: list[KnownRed], collected: set[str]) -> list[str]:
    """Return the tests of the entries that were not collected."""
    return [red.test for red in entries if red.test and red.test not in collected]
