"""Parsers and formatters of the values in the settings file, with their units.

A parser takes one word and returns a typed value; it raises ValueError with a text that names what is valid.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any

from puffinford.server_list.entries import BadEntry, parse_address

_DURATIONS = {"ms": 1.0, "s": 1_000.0, "min": 60_000.0, "h": 3_600_000.0, "d": 86_400_000.0}
_SIZES = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
_AMOUNT = re.compile(r"(\d{1,12}(?:\.\d{1,6})?)([A-Za-z%]*)", re.ASCII)

ValueParser = Callable[[str], Any]


def _parse_amount(word: str, units: dict[str, Any], quantity: str) -> float:
    """Parse a number with one of `units`, which maps each unit to its factor; raises ValueError."""
    found = _AMOUNT.fullmatch(word)
    if found is None or found[2] not in units:
        raise ValueError(f"{word!r} is not a {quantity}: expected a number and one of {' '.join(units)}")
    return float(found[1]) * float(units[found[2]])


def _check_range(value: float, low: float, high: float, show: Callable[[float], str], word: str) -> None:
    if not low <= value <= high:
        raise ValueError(f"{word!r} is out of range: {show(low)} to {show(high)}")


def show_duration(ms: float) -> str:
    """Format a duration in ms, in the largest unit that gives a whole number."""
    for unit in ("d", "h", "min", "s"):
        if ms and ms % _DURATIONS[unit] == 0:
            return f"{ms / _DURATIONS[unit]:.0f}{unit}"
    return f"{ms:g}ms"


def show_size(size: float) -> str:
    """Format a size in bytes, in the largest unit that gives a whole number."""
    for unit in ("GiB", "MiB", "KiB"):
        if size and size % _SIZES[unit] == 0:
            return f"{size / _SIZES[unit]:.0f}{unit}"
    return f"{size:.0f}B"


def duration(low: float, high: float) -> ValueParser:
    """Parser of a duration with ms, s, min, h or d, from `low` to `high` ms; gives ms as a float."""

    def read(word: str) -> float:
        ms = _parse_amount(word, _DURATIONS, "duration")
        _check_range(ms, low, high, show_duration, word)
        return ms

    return read


def size(low: int, high: int) -> ValueParser:
    """Parser of a size with B, KiB, MiB or GiB, from `low` to `high` bytes; gives bytes as an int."""

    def read(word: str) -> int:
        amount = int(_parse_amount(word, _SIZES, "size"))
        _check_range(amount, low, high, show_size, word)
        return amount

    return read


def fraction(low: float = 0.0, high: float = 1.0) -> ValueParser:
    """Parser of a percentage, from `low` to `high`; gives a fraction of 1 as a float."""

    def read(word: str) -> float:
        value = _parse_amount(word, {"%": 0.01}, "share")
        _check_range(value, low, high, show_fraction, word)
        return value

    return read


def rate(low: float, high: float) -> ValueParser:
    """Parser of a rate with /s, /min or /h, from `low` to `high` per second; gives the rate per second."""

    def read(word: str) -> float:
        number, separator, unit = word.partition("/")
        seconds = {"s": 1.0, "min": 60.0, "h": 3_600.0}.get(unit)
        if not separator or seconds is None:
            raise ValueError(f"{word!r} is not a rate: expected a number and one of /s /min /h")
        value = _parse_amount(number, {"": 1.0}, "rate") / seconds
        _check_range(value, low, high, show_rate, word)
        return value

    return read


def show_rate(per_second: float) -> str:
    """Format a rate per second, with /s or /min."""
    return f"{per_second:g}/s" if per_second >= 0.1 else f"{per_second * 60:g}/min"


def show_fraction(value: float) -> str:
    """Format a fraction of 1 as a percentage."""
    return f"{value * 100:g}%"


def count(low: int, high: int) -> ValueParser:
    """Parser of a whole number without a unit, from `low` to `high`."""

    def read(word: str) -> int:
        if not (word.isascii() and word.isdigit() and len(word) <= 12):
            raise ValueError(f"{word!r} is not a whole number")
        _check_range(int(word), low, high, lambda value: f"{value:.0f}", word)
        return int(word)

    return read


def flag(word: str) -> bool:
    """Parse `on` or `off`."""
    if word not in ("on", "off"):
        raise ValueError(f"{word!r} is neither on nor off")
    return word == "on"


def path(word: str) -> str | None:
    """Parse a path; None for `none`."""
    return None if word == "none" else word


MAX_ADDRESSES = 64


def addresses(word: str) -> tuple[tuple[str, int], ...]:
    """Parse IP:PORT or a comma-separated list of them, without duplicates; `none` gives an empty tuple."""
    if word == "none":
        return ()
    items = [address(part) for part in word.split(",")]
    if len(items) > MAX_ADDRESSES:
        raise ValueError(f"more than {MAX_ADDRESSES} addresses")
    for index, item in enumerate(items):
        if item in items[:index]:
            raise ValueError(f"{show_address(item)!r} is listed twice")
        if item[1] == 0:
            raise ValueError(f"{show_address(item)!r} has no port")
    return tuple(items)


def show_address(item: tuple[str, int]) -> str:
    """Format an address as IP:PORT, with an IPv6 address in brackets."""
    host, port = item
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def show_addresses(items: tuple[tuple[str, int], ...]) -> str:
    """Format addresses as a comma-separated list, `none` if there are none."""
    return ",".join(map(show_address, items)) or "none"


def address(word: str) -> tuple[str, int]:
    """Parse IP:PORT, with an IPv6 address in brackets."""
    try:
        return parse_address(word)
    except BadEntry as exc:
        raise ValueError(str(exc)) from None
