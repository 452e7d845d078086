"""Parser for the text form of servers' load reports."""

from __future__ import annotations

from puffinford.core.values import parse_number

MAX_VALUE = 1e9


class BadReport(Exception):
    """Raised for an invalid report. The text names the field and its value."""


def parse_report(text: str, fields: list[str]) -> list[float] | None:
    """Return the values of `fields`, in their order, from `name=value,name=value`; None for an empty report.

    Raises BadReport if a field is missing, repeated or not a decimal number from 0 to MAX_VALUE. Other fields
    are ignored.
    """
    if not text:
        return None
    found: dict[str, str] = {}
    for field_text in text.split(","):
        name, _, value = field_text.strip().partition("=")
        if name in found:
            raise BadReport(f"{name}: given twice")
        found[name] = value
    numbers = []
    for name in fields:
        if name not in found:
            raise BadReport(f"{name}: missing")
        number = parse_number(found[name])
        if number is None or number > MAX_VALUE:
            raise BadReport(f"{name}: {found[name][:40]!r} is not a number from 0 to {MAX_VALUE:.0f}")
        numbers.append(number)
    return numbers
