"""Values with units, as they stand in the operators' file.

Each reader takes one word and returns a typed value; it raises ValueError with a text that says what would
do.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any

from puffinford.server_list.entries import BadEntry, parse_address

_DURATIONS = {"ms": 1.0, "s": 1_000.0, "min": 60_000.0, "h": 3_600_000.0, "d": 86_400_000.0}
_SIZES = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
_AMOUNT = re.compile(r"(\d{1,12}(?:\.\d{1,6})?)([A-Za-z%]*)", re.ASCII)

Reader = Callable[[str], Any]


def _amount(word: str, units: dict[str, Any], what: str) -> float:
    found = _AMOUNT.fullmatch(word)
    if found is None or found[2] not in units:
        raise ValueError(f"{word!r} is no {what}: a number and one of {' '.join(units)}")
    return float(found[1]) * float(units[found[2]])


def _within(value: float, low: float, high: float, show: Callable[[float], str], word: str) -> None:
    if not low <= value <= high:
        raise ValueError(f"{word!r} is out of range: {show(low)} to {show(high)}")


def show_duration(ms: float) -> str:
    """A duration in its largest whole unit, as the file would have it."""
    for unit in ("d", "h", "min", "s"):
        if ms and ms % _DURATIONS[unit] == 0:
            return f"{ms / _DURATIONS[unit]:.0f}{unit}"
    return f"{ms:g}ms"


def show_size(size: float) -> str:
    """A size in its largest whole unit, as the file would have it."""
    for unit in ("GiB", "MiB", "KiB"):
        if size and size % _SIZES[unit] == 0:
            return f"{size / _SIZES[unit]:.0f}{unit}"
    return f"{size:.0f}B"


def duration(low: float, high: float) -> Reader:
    """Milliseconds as a float, `low` to `high`, from a number with ms, s, min, h or d."""

    def read(word: str) -> float:
        ms = _amount(word, _DURATIONS, "duration")
        _within(ms, low, high, show_duration, word)
        return ms

    return read


def size(low: int, high: int) -> Reader:
    """Bytes as an int, `low` to `high`, from a number with B, KiB, MiB or GiB."""

    def read(word: str) -> int:
        amount = int(_amount(word, _SIZES, "size"))
        _within(amount, low, high, show_size, word)
        return amount

    return read


def share(low: float = 0.0, high: float = 1.0) -> Reader:
    """A part of 1 as a float, from a number with %."""

    def read(word: str) -> float:
        part = _amount(word, {"%": 0.01}, "share")
        _within(part, low, high, show_share, word)
        return part

    return read


def rate(low: float, high: float) -> Reader:
    """Times a second as a float, `low` to `high`, from a number with /s, /min or /h."""

    def read(word: str) -> float:
        number, sign, unit = word.partition("/")
        seconds = {"s": 1.0, "min": 60.0, "h": 3_600.0}.get(unit)
        if not sign or seconds is None:
            raise ValueError(f"{word!r} is no rate: a number and one of /s /min /h")
        value = _amount(number, {"": 1.0}, "rate") / seconds
        _within(value, low, high, show_rate, word)
        return value

    return read


def show_rate(a_second: float) -> str:
    """A rate as the file would have it."""
    return f"{a_second:g}/s" if a_second >= 0.1 else f"{a_second * 60:g}/min"


def show_share(part: float) -> str:
    """A part of 1 in %."""
    return f"{part * 100:g}%"


def count(low: int, high: int) -> Reader:
    """A whole number without a unit, `low` to `high`."""

    def read(word: str) -> int:
        if not (word.isascii() and word.isdigit() and len(word) <= 12):
            raise ValueError(f"{word!r} is no whole number")
        _within(int(word), low, high, lambda value: f"{value:.0f}", word)
        return int(word)

    return read


def flag(word: str) -> bool:
    """on or off."""
    if word not in ("on", "off"):
        raise ValueError(f"{word!r} is neither on nor off")
    return word == "on"


def path(word: str) -> str | None:
    """A path; `none` for none."""
    return None if word == "none" else word


ADDRESSES_MOST = 64


def addresses(word: str) -> tuple[tuple[str, int], ...]:
    """IP:PORT, or several with commas between them, each once; `none` for none."""
    if word == "none":
        return ()
    listed = [address(part) for part in word.split(",")]
    if len(listed) > ADDRESSES_MOST:
        raise ValueError(f"more than {ADDRESSES_MOST} addresses")
    for number, one in enumerate(listed):
        if one in listed[:number]:
            raise ValueError(f"{show_address(one)!r} stands there twice")
        if one[1] == 0:
            raise ValueError(f"{show_address(one)!r} names no port")
    return tuple(listed)


def show_address(one: tuple[str, int]) -> str:
    """An address as the file would have it."""
    host, port = one
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def show_addresses(listed: tuple[tuple[str, int], ...]) -> str:
    """Addresses as the file would have them."""
    return ",".join(map(show_address, listed)) or "none"


def address(word: str) -> tuple[str, int]:
    """IP:PORT; an IPv6 address stands in brackets."""
    try:
        return parse_address(word)
    except BadEntry as exc:
        raise ValueError(str(exc)) from None
