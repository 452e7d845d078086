"""What can go wrong on a link or with a process, as a script writes it, and whom it strikes. No I/O.

    delay 300        each piece is passed on 300 ms after it came, in order
    hold             nothing is passed on until the fault ends, then all of it
    drop             what comes meanwhile is lost, and so is the rest of those lines
    fin, rst         open lines end that way, and so do new ones
    rate 2000        no more than 2,000 bytes a second on each line
    cut 120          each line ends with RST once 120 bytes have passed

Each but `fin` and `rst` can end in `there` (from the party that connects) or `back`; both ways without.

Processes: `kill` (started again when the fault ends), `restart` (killed and started), `terminate` (SIGTERM),
`roll` (SIGTERM, and started once it has ended), `end` (SIGTERM, SIGHUP and SIGTERM again, killed as early as
the platform may, and started), `reload` (SIGHUP), `freeze` (SIGSTOP until the fault ends),
`stall` (killed, started anew and frozen at once: not ready until the fault ends), `descriptors 40` (no more
open files than that), `crowd 300` (so many idle clients, until the fault ends).
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from fnmatch import fnmatchcase

FIGURES = {"delay": "ms", "rate": "bytes a second", "cut": "bytes"}
PLAIN = ("sound", "hold", "drop", "fin", "rst")
WAYS = ("there", "back")
FIGURE_MOST = 1e9
COUNTED = ("descriptors", "crowd")
COUNT_MOST = 65_536
PROCESS_FAULTS = ("kill", "terminate", "reload", "restart", "roll", "end", "freeze", "stall")


class InvalidFault(ValueError):
    """A fault that cannot be played; the text names the value."""


@dataclass(frozen=True, slots=True)
class Fault:
    """What a link does to what passes through it. `figure` in the unit that FIGURES tells."""

    kind: str = "sound"
    figure: float = 0.0
    way: str = ""  # one of WAYS; empty: both

    def on(self, way: str) -> str:
        """The kind that holds for one way."""
        return self.kind if self.way in ("", way) else "sound"


def read_fault(text: object) -> Fault:
    """A fault from a script's words; raises BadFault."""
    words = str(text).split()
    kind = words.pop(0) if words else ""
    figure = 0.0
    if kind in FIGURES:
        try:
            figure = float(words.pop(0))
        except (IndexError, ValueError):
            figure = math.nan
        if not 0.0 < figure <= FIGURE_MOST:
            raise InvalidFault(f"{text!r}: {kind} needs {FIGURES[kind]}, over 0 and up to {FIGURE_MOST:.0f}")
    elif kind not in PLAIN:
        raise InvalidFault(f"{text!r} is none of {' '.join((*PLAIN, *FIGURES))}")
    way = words.pop(0) if words and kind not in ("sound", "fin", "rst") else ""
    if words or way not in ("", *WAYS):
        raise InvalidFault(f"{text!r}: {' '.join([way, *words]).strip()!r} is no way ({' or '.join(WAYS)})")
    return Fault(kind, figure, way)


def read_process_fault(text: str) -> tuple[str, int]:
    """A process fault's kind and figure, which is 0 where it has none; raises BadFault."""
    words = text.split()
    if len(words) == 1 and words[0] in PROCESS_FAULTS:
        return words[0], 0
    if len(words) == 2 and words[0] in COUNTED and words[1].isdecimal() and 0 < int(words[1]) <= COUNT_MOST:
        return words[0], int(words[1])
    counted = " or ".join(f"`{name}`" for name in COUNTED)
    raise InvalidFault(f"{text!r} is none of {' '.join(PROCESS_FAULTS)} nor {counted} with 1 to {COUNT_MOST}")


def select_parties(pattern: object, names: Mapping[str, str], part: float, rng: random.Random) -> list[str]:
    """The parties that a pattern names, in order; of those a part, drawn, but one at least.

    `names` are the parties with their zones. A pattern is one name, a glob of names (`n*`), `zone:NAME`, or
    several of these with commas between them. Raises BadFault where it names nobody.
    """
    if not 0.0 < part <= 1.0:
        raise InvalidFault(f"part {part!r} is not over 0 and up to 1")
    found: set[str] = set()
    for piece in (piece.strip() for piece in str(pattern).split(",")):
        zone = piece.removeprefix("zone:") if piece.startswith("zone:") else None
        named = [name for name, at in names.items() if (at == zone if zone else fnmatchcase(name, piece))]
        if not named:
            raise InvalidFault(f"{piece!r} names none of {_some(names)}")
        found.update(named)
    ordered = [name for name in names if name in found]
    number = max(1, round(part * len(ordered)))
    chosen = set(rng.sample(ordered, number))
    return [name for name in ordered if name in chosen]


def _some(names: Iterable[str], most: int = 8) -> str:
    listed = list(names)
    return ", ".join(listed[:most]) + (" and others" if len(listed) > most else "")
