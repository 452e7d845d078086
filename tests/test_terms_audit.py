"""docs/terms-audit.md: each test and function named in its table exists, and each verdict is a known one."""

from __future__ import annotations

import ast
import importlib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
VERDICTS = {"holds", "fixed", "open", "not reached"}
COLUMNS = 6


def rows() -> list[list[str]]:
    """Return the cells of each row of the table, without its two header lines."""
    lines = (ROOT / "docs" / "terms-audit.md").read_text().splitlines()
    table = [line for line in lines if line.startswith("|")]
    return [[cell.strip() for cell in line.strip("|").split("|")] for line in table[2:]]


def functions_of(file: str) -> set[str]:
    """Return the names of the functions at the top level of a test file."""
    tree = ast.parse((ROOT / "tests" / file).read_text())
    functions = (ast.FunctionDef, ast.AsyncFunctionDef)
    return {node.name for node in tree.body if isinstance(node, functions)}


def test_the_table_has_rows_of_every_column() -> None:
    assert len(rows()) >= 60
    assert [row for row in rows() if len(row) != COLUMNS] == []


@pytest.mark.parametrize("row", rows(), ids=lambda row: f"{row[0]}: {row[1][:60]}")
def test_a_row_names_what_there_is(row: list[str]) -> None:
    _, _, reading, code, tests, verdict = row
    assert verdict in VERDICTS and reading and code
    assert tests or verdict in ("open", "not reached"), "the verdict needs a test"
    for reference in tests.split():
        file, _, name = reference.partition("::")
        assert name in functions_of(file), reference
    for reference in code.split():
        module, _, path = reference.partition(":")
        target: object = importlib.import_module(f"puffinford.{module}")
        for attribute in path.split("."):
            target = getattr(target, attribute)
