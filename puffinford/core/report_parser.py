"""Load reports as text: what a server says of itself beside an answer."""

from __future__ import annotations

from puffinford.core.values import parse_number

VALUE_MOST = 1e9  # above this a field says nothing of a server


class BadReport(Exception):
    """A report that cannot be used; the text names the field and its value."""


def parse_report(text: str, fields: list[str]) -> list[float] | None:
    """The values of `fields` in their order, out of `name=value,name=value`; None where there is no report.

    Raises BadReport where a field is missing, stands twice or is no plain number of 0 or more. Fields that
    the settings do not name are left out: a server may tell more than a balancer was told to read.
    """
    if not text:
        return None
    found: dict[str, str] = {}
    for piece in text.split(","):
        name, _, value = piece.strip().partition("=")
        if name in found:
            raise BadReport(f"{name}: stands there twice")
        found[name] = value
    row = []
    for name in fields:
        if name not in found:
            raise BadReport(f"{name}: missing")
        figure = parse_number(found[name])
        if figure is None or figure > VALUE_MOST:
            raise BadReport(f"{name}: {found[name][:40]!r} is no number from 0 to {VALUE_MOST:.0f}")
        row.append(figure)
    return row
