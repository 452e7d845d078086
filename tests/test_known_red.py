"""KNOWN-RED.txt: malformed files are rejected, and a test run tolerates only the listed failures."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from tests import known_red

ROOT = Path(__file__).parent.parent
LINE = "tests/test_{}.py::test_{} | make test | it fails | issue 7\n"


@pytest.mark.parametrize(
    "text",
    [
        "".join(LINE.format(n, n) for n in range(4)),
        LINE.format(1, 1) * 2,
        "tests/test_a.py::test_a | make test | it fails | no issue\n",
        "test_a | make test | it fails | issue 7\n",
        "\n",
        "tests/test_a.py::test_a | it fails | issue 7\n",
        "tests/test_a.py::test_a | | it fails | issue 7\n",
        "none | make soak FIRST=3 | it fails | issue 7\n" * 2,
    ],
    ids=[
        "four lines",
        "twice",
        "no issue",
        "no file",
        "an empty line",
        "no command",
        "empty",
        "twice a command",
    ],
)
def test_a_list_that_cannot_be_used_is_named(text: str, tmp_path: Path) -> None:
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text(text)
    with pytest.raises(known_red.BadKnownRed, match=r"KNOWN-RED\.txt"):
        known_red.read(path)


def run(tmp_path: Path, listed: str) -> subprocess.CompletedProcess[str]:
    tests = tmp_path / "tests"
    tests.mkdir()
    for name in ("conftest.py", "known_red.py"):
        (tests / name).write_text((ROOT / "tests" / name).read_text())
    (tests / "__init__.py").touch()
    (tests / "test_a.py").write_text("def test_red():\n    assert 0\n\n\ndef test_green():\n    pass\n")
    (tmp_path / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
    (tmp_path / "KNOWN-RED.txt").write_text(listed)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
    return subprocess.run(command, cwd=tmp_path, capture_output=True, text=True, check=False)


def test_a_run_passes_over_just_the_listed_and_prints_each_with_its_result(tmp_path: Path) -> None:
    completed = run(
        tmp_path,
        "tests/test_a.py::test_red | make test | a | issue 7\n"
        "tests/test_a.py::test_green | make test | b | issue 8\n"
        "none | make soak FIRST=3 | c | issue 9\n",
    )
    assert completed.returncode == 0, completed.stdout
    assert "KNOWN-RED failed: tests/test_a.py::test_red: a (issue 7)" in completed.stdout
    assert "KNOWN-RED passed: tests/test_a.py::test_green: b (issue 8)" in completed.stdout
    assert "KNOWN-RED no test: make soak FIRST=3: c (issue 9)" in completed.stdout


@pytest.mark.parametrize(
    "listed", ["", "tests/test_a.py::test_other | make test | a | issue 7\n", "nonsense\n"]
)
def test_a_run_fails_for_what_is_not_listed_and_for_a_list_that_names_no_test(
    listed: str, tmp_path: Path
) -> None:
    assert run(tmp_path, listed).returncode != 0
