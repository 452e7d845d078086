"""Files that a serving process reads: bad content is refused with its place, and the last state stays."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from puffinford.config import BadConfig
from puffinford.config import load as load_config
from puffinford.core.clock import Clock
from puffinford.core.start_times import StartTimes
from puffinford.management.cordons import Cordons
from puffinford.operators import BadSettings, load_settings
from puffinford.server_list.inventory import BadInventory, load


def in_the_place_of(path: Path, what: str) -> None:
    """Put something that is no file of a sound size there."""
    path.unlink(missing_ok=True)
    match what:
        case "directory":
            path.mkdir()
        case "FIFO":
            os.mkfifo(path)
        case "10 MB":
            path.write_bytes(b"#" * 10_000_000)
        case "not UTF-8":
            path.write_bytes(b"\xff\xfe\n")


@pytest.mark.parametrize("what", ["directory", "FIFO", "10 MB", "not UTF-8"])
def test_what_is_no_file_in_the_place_of_one_is_refused_at_once(what: str, tmp_path: Path) -> None:
    """Guards against a read that waits for the writer of a FIFO, with every line held meanwhile."""
    path = tmp_path / "i.yaml"
    in_the_place_of(path, what)
    with pytest.raises(BadInventory, match=f"^{path}"):
        load(path, lambda _, ms: ms)
    with pytest.raises(BadConfig, match=f"^{path}"):
        load_config({"EDGE_CONFIG": str(path)}, StartTimes(Clock()))
    with pytest.raises(BadSettings, match=f"^{path}"):
        load_settings(path)
    cordons = Cordons(tmp_path / "n1", lambda out: None)
    in_the_place_of(tmp_path / "n1.cordons", what)
    cordons.refresh()
    assert not cordons.in_sync and not cordons.cordoned
