"""KNOWN-RED.txt: tests that fail for a real fault which is still to be mended, three at most.

A line is `TEST | CAUSE | issue N`, TEST as pytest names it. CI passes over just these, and prints each with
its result, also when it has passed.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path

MOST = 3
_LINE = re.compile(r"(tests/\S+\.py::\S.*?) \| (\S.*?) \| issue (\d+)")


class BadKnownRed(Exception):
    """The file cannot be used; the text names the line."""


@dataclass(frozen=True)
class KnownRed:
    test: str
    cause: str
    issue: int


def read(path: Path) -> list[KnownRed]:
    """The file's lines; none where there is no file. Raises BadKnownRed."""
    if not path.exists():
        return []
    listed: list[KnownRed] = []
    for number, line in enumerate(path.read_text().splitlines(), 1):
        found = _LINE.fullmatch(line)
        if found is None:
            raise BadKnownRed(f"{path.name}:{number}: {line!r} is not TEST | CAUSE | issue N")
        if any(red.test == found[1] for red in listed):
            raise BadKnownRed(f"{path.name}:{number}: {found[1]} is listed twice")
        listed.append(KnownRed(found[1], found[2], int(found[3])))
    if len(listed) > MOST:
        raise BadKnownRed(f"{path.name}: {len(listed)} lines, {MOST} at most")
    return listed


def absent(listed: list[KnownRed], collected: set[str]) -> list[str]:
    """The listed tests that do not exist."""
    return [red.test for red in listed if red.test not in collected]
