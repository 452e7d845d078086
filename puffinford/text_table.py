"""Tables for people."""

from __future__ import annotations

from collections.abc import Iterable, Sequence


def format_table(heads: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Columns as wide as they need to be, without trailing spaces; numbers stand at the right."""
    lines = [[str(cell) for cell in row] for row in rows]
    widths = [max(len(cell) for cell in column) for column in zip(heads, *lines, strict=True)]
    numeric = [
        bool(lines) and all(cell.replace(".", "", 1).removeprefix("-").isdigit() for cell in column)
        for column in zip(*lines, strict=True)
    ] or [False] * len(heads)

    def line(cells: Sequence[str]) -> str:
        aligned = (
            cell.rjust(width) if right else cell.ljust(width)
            for cell, width, right in zip(cells, widths, numeric, strict=True)
        )
        return "  ".join(aligned).rstrip()

    return "\n".join(map(line, [list(heads), *lines]))
