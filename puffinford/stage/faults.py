"""Faults of links and processes, as a script writes them, and the choice of the parties that they affect.

Faults of links:

    delay 300        each chunk is forwarded 300 ms after it arrived, in order
    hold             nothing is forwarded until the fault ends, then all held data
    drop             data that arrives during the fault is lost, and so is the rest of its connection
    fin, rst         open connections are closed that way, and so are new ones
    rate 2000        at most 2,000 bytes a second on each connection
    cut 120          each connection ends with RST after 120 bytes

All but `fin` and `rst` may be followed by `there` (from the party that connects) or `back`, which restricts
the fault to that direction.

Faults of processes:

    kill             SIGKILL; the process is started again when the fault ends
    restart          SIGKILL, then started
    terminate        SIGTERM
    roll             SIGTERM, then started once the process has ended
    end              SIGTERM, SIGHUP and SIGTERM, SIGKILL as early as the platform may send it, then started
    reload           SIGHUP
    freeze           SIGSTOP until the fault ends
    stall            SIGKILL, started and stopped at once, so that it is not ready until the fault ends
    descriptors 40   the process may have at most 40 open descriptors
    crowd 300        300 idle clients connect, until the fault ends

This module does no I/O.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from fnmatch import fnmatchcase

VALUE_UNITS = {"delay": "ms", "rate": "bytes a second", "cut": "bytes"}
KINDS_WITHOUT_VALUE = ("sound", "hold", "drop", "fin", "rst")
DIRECTIONS = ("there", "back")
MAX_VALUE = 1e9
COUNTED_PROCESS_FAULTS = ("descriptors", "crowd")
MAX_COUNT = 65_536
PROCESS_FAULTS = ("kill", "terminate", "reload", "restart", "roll", "end", "freeze", "stall")


class InvalidFault(ValueError):
    """A fault that cannot be played; the message names the value."""


@dataclass(frozen=True, slots=True)
class Fault:
    """What a link does to the data that it forwards. `value` is in the unit that VALUE_UNITS gives."""

    kind: str = "sound"
    value: float = 0.0
    direction: str = ""  # one of DIRECTIONS, or empty for both

    def kind_for(self, direction: str) -> str:
        """Return the kind of fault in one direction, `sound` if the other direction alone is affected."""
        return self.kind if self.direction in ("", direction) else "sound"


def read_fault(text: object) -> Fault:
    """Parse a fault of a link as a script writes it; raises InvalidFault."""
    words = str(text).split()
    kind = words.pop(0) if words else ""
    value = 0.0
    if kind in VALUE_UNITS:
        try:
            value = float(words.pop(0))
        except (IndexError, ValueError):
            value = math.nan
        if not 0.0 < value <= MAX_VALUE:
            raise InvalidFault(
                f"{text!r}: {kind} needs {VALUE_UNITS[kind]}, over 0 and at most {MAX_VALUE:.0f}"
            )
    elif kind not in KINDS_WITHOUT_VALUE:
        raise InvalidFault(f"{text!r} is none of {' '.join((*KINDS_WITHOUT_VALUE, *VALUE_UNITS))}")
    direction = words.pop(0) if words and kind not in ("sound", "fin", "rst") else ""
    if words or direction not in ("", *DIRECTIONS):
        raise InvalidFault(
            f"{text!r}: {' '.join([direction, *words]).strip()!r} is not a direction"
            f" ({' or '.join(DIRECTIONS)})"
        )
    return Fault(kind, value, direction)


def read_process_fault(text: str) -> tuple[str, int]:
    """Parse a fault of a process into its kind and count, which is 0 if it has none; raises InvalidFault."""
    words = text.split()
    if len(words) == 1 and words[0] in PROCESS_FAULTS:
        return words[0], 0
    if (
        len(words) == 2
        and words[0] in COUNTED_PROCESS_FAULTS
        and words[1].isdecimal()
        and 0 < int(words[1]) <= MAX_COUNT
    ):
        return words[0], int(words[1])
    counted = " or ".join(f"`{name}`" for name in COUNTED_PROCESS_FAULTS)
    raise InvalidFault(f"{text!r} is none of {' '.join(PROCESS_FAULTS)} nor {counted} with 1 to {MAX_COUNT}")


def select_parties(pattern: object, zones: Mapping[str, str], part: float, rng: random.Random) -> list[str]:
    """Draw the fraction `part` of the parties that match a pattern, at least one, in the order of `zones`.

    `zones` maps each party to its zone. A pattern is a name, a glob of names (`n*`), `zone:NAME`, or several
    of these separated by commas. Raises InvalidFault if a piece of it matches no party.
    """
    if not 0.0 < part <= 1.0:
        raise InvalidFault(f"part {part!r} must be over 0 and at most 1")
    matching: set[str] = set()
    for piece in (piece.strip() for piece in str(pattern).split(",")):
        zone = piece.removeprefix("zone:") if piece.startswith("zone:") else None
        named = [
            name
            for name, party_zone in zones.items()
            if (party_zone == zone if zone else fnmatchcase(name, piece))
        ]
        if not named:
            raise InvalidFault(f"{piece!r} names none of {_abbreviated(zones)}")
        matching.update(named)
    ordered = [name for name in zones if name in matching]
    count = max(1, round(part * len(ordered)))
    chosen = set(rng.sample(ordered, count))
    return [name for name in ordered if name in chosen]


def _abbreviated(names: Iterable[str], limit: int = 8) -> str:
    listed = list(names)
    return ", ".join(listed[:limit]) + (" and others" if len(listed) > limit else "")
