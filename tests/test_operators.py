"""The settings file: all errors at once, each with its location; the values in effect and their origin."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from puffinford.cli import main
from puffinford.operators import DEFAULT_FILE, BadSettings, OperatorSettings, load_settings, units
from puffinford.operators.schema import SECTIONS, keywords

GOOD = """
# a comment
section state
    directory "/var/lib/a \\"b\\" # c"   # quotes preserve it
    size 8MiB
    fresh 90s
section channels
    enabled on
"""


def test_values_are_typed_and_say_where_they_stand(tmp_path: Path) -> None:
    path = tmp_path / "p.conf"
    path.write_text(GOOD)
    loaded = load_settings(path)
    state = loaded.settings.state
    assert (state.directory, state.size, state.fresh) == ('/var/lib/a "b" # c', 8 << 20, 90_000.0)
    assert loaded.settings.channels.enabled and state.distrust == OperatorSettings().state.distrust
    assert str(loaded.origins["state", "size"]) == f"{path}:5:5"
    rows = {(row[0], row[1]): row[2:4] for row in loaded.table()}
    assert rows["state", "fresh"] == ("90s", f"{path}:6:5")
    assert rows["channels", "listen"] == ("127.0.0.1:8122", "default")


def test_every_error_is_named_at_once_with_its_place(tmp_path: Path) -> None:
    path = tmp_path / "p.conf"
    lines = {
        "size 1KiB": "before any section",
        "section stat": "did you mean 'state'",
        "ignored here 5": None,
        "section state": None,
        "  size 3x": "is not a size",
        "  fresh 1h 2h": "takes one value",
        "  directory": "takes one value",
        "  bogus 4": "has no 'bogus'",
        '  directory "a b': "does not end",
        "  patience 1ms": "out of range: 50ms to 10s",
        "  versions yes": "neither on nor off",
        "  write-every 1s": None,
        "  write-every 2s": "is set at",
        "include": "takes one pattern",
        "include missing.conf": "no file",
        "section channels": None,
        "  listen gateway:80": "is not IP:PORT",
    }
    path.write_text("\n".join(lines))
    with pytest.raises(BadSettings) as raised:
        load_settings(path)
    expected = [(number, text) for number, text in enumerate(lines.values(), 1) if text]
    assert len(raised.value.errors) == len(expected)
    for number, text in expected:
        assert any(e.startswith(f"{path}:{number}:") and text in e for e in raised.value.errors), (
            number,
            text,
        )


def test_includes_are_read_in_their_place_and_by_name(tmp_path: Path) -> None:
    (tmp_path / "conf.d").mkdir()
    (tmp_path / "conf.d/20.conf").write_text("section state\n size 3MiB\n")
    (tmp_path / "conf.d/10.conf").write_text("section state\n size 2MiB\n fresh 2min\n")
    path = tmp_path / "p.conf"
    path.write_text("section state\n size 1MiB\ninclude conf.d/*.conf\ninclude none.d/*.conf\n")
    loaded = load_settings(path)
    assert (loaded.settings.state.size, loaded.settings.state.fresh) == (3 << 20, 120_000.0)
    assert loaded.origins["state", "size"].file.endswith("20.conf")
    (tmp_path / "conf.d/30.conf").write_text("include ../p.conf\n")
    with pytest.raises(BadSettings, match=r"30\.conf:1:9: .*includes itself"):
        load_settings(path)


@pytest.mark.parametrize("raw", [b"\xff\xfe", b"a" * (2 << 20), b"section state\n fresh 2d\n distrust 1d\n"])
def test_what_cannot_be_read_or_contradicts_itself_is_refused(raw: bytes, tmp_path: Path) -> None:
    path = tmp_path / "p.conf"
    path.write_bytes(raw)
    with pytest.raises(BadSettings, match=r"p\.conf"):
        load_settings(path)


def test_the_file_as_shipped_shows_every_default_and_costs_no_parser() -> None:
    """Guards against a shipped file that differs from the defaults, and against a needless slow import."""
    shown = {}
    section = ""
    for line in DEFAULT_FILE.read_text().splitlines():
        words = line.removeprefix("#").split("#")[0].split()
        if line.startswith("#section"):
            section = words[1]
        elif line.startswith("#    "):
            shown[section, words[0]] = words[1]
    assert shown == {row[:2]: row[2] for row in load_settings().table()}
    code = "import sys, puffinford.operators as o; o.load_settings(); print('lark' in sys.modules)"
    completed = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert completed.stdout == "False\n"


@given(st.text(max_size=200))
def test_any_text_is_either_settings_or_errors(text: str) -> None:
    import tempfile

    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "p.conf"
        path.write_text(text, encoding="utf-8", errors="surrogatepass")
        try:
            load_settings(path)
        except BadSettings as exc:
            assert exc.errors and all(error.startswith(str(path)) for error in exc.errors)


@pytest.mark.parametrize("section", list(SECTIONS))
def test_what_is_shown_is_read_back(section: str) -> None:
    for entry in keywords(section).values():
        shown = entry.metadata["show"](entry.default)
        assert entry.metadata["read"](shown) == entry.default, entry.name


@given(st.floats(0, 1e9), st.sampled_from(["ms", "s", "min", "h"]))
def test_durations_keep_their_unit(amount: float, unit: str) -> None:
    read = units.duration(0.0, 1e18)
    assert read(f"{amount:.3f}{unit}") == pytest.approx(round(amount, 3) * units._DURATIONS[unit])


def test_check_says_what_is_in_force_and_from_where(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "p.conf"
    path.write_text(GOOD)
    assert main(["check", "--settings", str(path)]) == 0
    assert f"{path}:5:5" in capsys.readouterr().out
    assert main(["check", "--settings", str(path), "--json"]) == 0
    assert {"section": "state", "keyword": "size", "value": "8MiB"}.items() <= json.loads(
        capsys.readouterr().out
    )[2].items()
    (tmp_path / "c.json").write_text('{"listen": "nowhere"}')
    (tmp_path / "i.csv").write_text("id,addr\ns-1,here\n")
    options = ["--config", str(tmp_path / "c.json"), "--inventory", str(tmp_path / "i.csv")]
    assert main(["check", "--settings", str(path), *options]) == 2
    errors = capsys.readouterr().err
    assert "listen: 'nowhere' is not IP:PORT" in errors and "i.csv:2: " in errors
    path.write_text("section state\n size 1\n fresh 2\n")
    assert main(["check", "--settings", str(path)]) == 2
    assert len(capsys.readouterr().err.splitlines()) == 2
