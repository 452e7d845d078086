"""KNOWN-RED.txt: real faults that are still to be mended, three at most.

A line is `TEST | COMMAND | SEEN | issue N`: TEST as pytest names it, or `none` where no test shows the fault;
COMMAND with its seed makes it come; SEEN is what was seen then. CI passes over just these tests, and prints
each entry with its result, also when it has passed.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path

MOST = 3
NO_TEST = "none"
FORM = "TEST | COMMAND | SEEN | issue N"
_TEST = re.compile(rf"tests/\S+\.py::\S.*|{NO_TEST}")
_ISSUE = re.compile(r"issue (\d+)")


class BadKnownRed(Exception):
    """The file cannot be used; the text names the line."""


@dataclass(frozen=True)
class KnownRed:
    """A known fault. `test` is empty where none shows it."""

    test: str
    command: str
    seen: str
    issue: int

    def __str__(self) -> str:
        return f"{self.test or self.command}: {self.seen} (issue {self.issue})"


def read(path: Path) -> list[KnownRed]:
    """The file's entries; none where there is no file. Raises BadKnownRed."""
    if not path.exists():
        return []
    listed: list[KnownRed] = []
    for number, line in enumerate(path.read_text().splitlines(), 1):
        red = _entry(line)
        if red is None:
            raise BadKnownRed(f"{path.name}:{number}: {line!r} is not {FORM}")
        if any((other.test or other.command) == (red.test or red.command) for other in listed):
            raise BadKnownRed(f"{path.name}:{number}: {red.test or red.command} is listed twice")
        listed.append(red)
    if len(listed) > MOST:
        raise BadKnownRed(f"{path.name}: {len(listed)} lines, {MOST} at most")
    return listed


def _entry(line: str) -> KnownRed | None:
    """The entry of a line; None where it is incomplete."""
    parts = [part.strip() for part in line.split(" | ")]
    if len(parts) != 4 or not all(parts):
        return None
    test, command, seen, issue = parts
    number = _ISSUE.fullmatch(issue)
    if _TEST.fullmatch(test) is None or number is None:
        return None
    return KnownRed("" if test == NO_TEST else test, command, seen, int(number[1]))


def absent(listed: list[KnownRed], collected: set[str]) -> list[str]:
    """The listed tests that do not exist."""
    return [red.test for red in listed if red.test and red.test not in collected]
