"""Plain-text tables for command output and reports."""

from __future__ import annotations

from collections.abc import Iterable, Sequence


def format_table(headers: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Format rows below their headers in columns of minimum width. Numeric columns are right-aligned."""
    lines = [[str(cell) for cell in row] for row in rows]
    widths = [max(len(cell) for cell in column) for column in zip(headers, *lines, strict=True)]
    numeric = [
        bool(lines) and all(cell.replace(".", "", 1).removeprefix("-").isdigit() for cell in column)
        for column in zip(*lines, strict=True)
    ] or [False] * len(headers)

    def format_line(cells: Sequence[str]) -> str:
        aligned = (
            cell.rjust(width) if right else cell.ljust(width)
            for cell, width, right in zip(cells, widths, numeric, strict=True)
        )
        return "  ".join(aligned).rstrip()

    return "\n".join(map(format_line, [list(headers), *lines]))
