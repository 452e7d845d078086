"""The inventory file while it is edited: no half-written one is taken, and a whole one is in force soon."""

from __future__ import annotations

import os
from collections.abc import Callable
from io import BufferedWriter
from pathlib import Path

import pytest

from puffinford.core.clock import SettableClock
from puffinford.core.values import ServerEntries
from puffinford.server_list import inventory_file
from puffinford.server_list.inventory import BadInventory, load
from puffinford.server_list.inventory_file import CHECK_INTERVAL_MS, InventoryFile
from puffinford.server_list.open_writers import has_writer

IN_FORCE_MS = 1_200.0  # after a sound save
SLOWEST_SAVE_MS = 3_000.0
DRAIN_GRACE_MS = 3_000.0
CSV = b"""id,addr,state
gw-1,127.0.0.1:8101,active
gw-2,127.0.0.1:8102,active
gw-3,127.0.0.1:8103,leaving
"""
ADDRESS_LAST = b"""id,state,addr
gw-1,active,127.0.0.1:8101
gw-2,active,127.0.0.1:8102
gw-3,leaving,127.0.0.1:8103
"""
BLOCK_YAML = b"""gateways:
  hosts:
    gw-1: {addr: "127.0.0.1:8101"}
    gw-2:
      addr: 127.0.0.1:8102
      weight: 20
    gw-3:
      addr: 127.0.0.1:8103
      state: leaving
"""
VARS_LAST = b"""active:
  hosts:
    gw-1: {host: 127.0.0.1}
    gw-2: {host: 127.0.0.1, zone: boa}
  vars:
    port: 8101
retired:
  hosts:
    gw-3: {host: 127.0.0.1}
  vars: {port: 8103, state: leaving}
"""
FILES = [("i.csv", CSV), ("i.csv", ADDRESS_LAST), ("i.yaml", BLOCK_YAML), ("i.yaml", VARS_LAST)]


class Editor:
    """Saves a file under the eyes of an `InventoryFile`, on a clock of its own."""

    def __init__(self, path: Path, content: bytes) -> None:
        self.path = path
        self.clock = SettableClock()
        self.lists: list[ServerEntries | None] = []
        self._saves = 0
        self.save(content)
        self.file = InventoryFile(path, self.clock, self.lists.append, drain_grace=DRAIN_GRACE_MS)
        self.file.check()
        self.file.fetch()
        assert self.taken() == 1

    def save(self, content: bytes) -> None:
        """Truncate the file and write it."""
        with self.path.open("wb") as file:
            self.write(file, content)

    def write(self, file: BufferedWriter, piece: bytes) -> None:
        """Write a piece, with a modification time of its own: those of the system come in steps of ms."""
        file.write(piece)
        file.flush()
        self._saves += 1
        os.utime(file.fileno(), ns=(0, self._saves))

    def wait(self, ms: float) -> None:
        """Let time pass, with the looks that `run` takes."""
        for _ in range(round(ms / CHECK_INTERVAL_MS)):
            self.clock.advance(CHECK_INTERVAL_MS)
            self.file.refresh()

    def taken(self) -> int:
        """The number of lists so far."""
        return sum(servers is not None for servers in self.lists)

    def in_force(self) -> object:
        """The list that came last."""
        return next(servers.entries for servers in reversed(self.lists) if servers is not None)

    def is_in_force(self, content: bytes) -> bool:
        """Whether the list that came last is that of a content."""
        other = self.path.with_name("other" + self.path.suffix)
        other.write_bytes(content)
        return self.in_force() == load(other, lambda _, ms: 0.0).entries


@pytest.mark.parametrize("before", ["the same", "all active"])
@pytest.mark.parametrize(("name", "whole"), FILES)
def test_no_cut_of_a_save_is_taken_while_its_editor_writes(
    name: str, whole: bytes, before: str, tmp_path: Path
) -> None:
    """Guards against a list without the hosts, ports or states that are still to be written."""
    earlier = whole if before == "the same" else whole.replace(b"leaving", b"active").replace(b"81", b"71")
    editor = Editor(tmp_path / name, earlier)
    for cut in range(len(whole)):
        editor.save(earlier)
        editor.wait(3_500.0)
        taken = editor.taken()
        with editor.path.open("wb") as file:
            editor.write(file, whole[:cut])
            editor.wait(1_500.0)
            assert editor.taken() == taken, f"taken: {whole[:cut]!r}"
            editor.file.fetch()
            assert editor.is_in_force(earlier)
            editor.write(file, whole[cut:])
        editor.wait(IN_FORCE_MS)
        assert editor.is_in_force(whole), f"not in force after {whole[cut:]!r}"


@pytest.mark.parametrize(("name", "whole"), FILES)
def test_no_cut_is_taken_where_the_system_cannot_tell_of_writers(
    name: str, whole: bytes, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against trusting the system alone: a tool may close the file between two pieces."""
    monkeypatch.setattr(inventory_file, "has_writer", lambda path: False)
    editor = Editor(tmp_path / name, whole)
    for cut in range(len(whole)):
        taken = editor.taken()
        editor.save(whole[:cut])
        editor.wait(SLOWEST_SAVE_MS)
        assert editor.taken() == taken, f"taken: {whole[:cut]!r}"
        editor.save(whole)
        editor.wait(IN_FORCE_MS)
        assert editor.is_in_force(whole)


@pytest.mark.parametrize("pieces", [2, 5, 30])
@pytest.mark.parametrize("duration_ms", [100.0, 1_000.0, SLOWEST_SAVE_MS])
def test_a_slow_save_is_taken_once_and_whole(pieces: int, duration_ms: float, tmp_path: Path) -> None:
    """Guards against taking a save by parts, for example after the first row of new hosts."""
    editor = Editor(tmp_path / "i.yaml", b"gateways: {hosts: {gw-9: {addr: 127.0.0.1:9}}}\n")
    with editor.path.open("wb") as file:
        size = -(-len(BLOCK_YAML) // pieces)
        for at in range(0, len(BLOCK_YAML), size):
            editor.write(file, BLOCK_YAML[at : at + size])
            editor.wait(duration_ms / pieces)
    assert editor.taken() == 1
    editor.wait(DRAIN_GRACE_MS + IN_FORCE_MS)  # gw-9 is gone
    assert editor.taken() == 2 and editor.is_in_force(BLOCK_YAML)


def truncate_and_write(editor: Editor, content: bytes) -> None:
    editor.save(content)


def rename_over(editor: Editor, content: bytes) -> None:
    new = editor.path.with_name("new")
    new.write_bytes(content)
    os.replace(new, editor.path)


def remove_and_write(editor: Editor, content: bytes) -> None:
    editor.path.unlink()
    editor.wait(CHECK_INTERVAL_MS)
    editor.save(content)


@pytest.mark.parametrize("save", [truncate_and_write, rename_over, remove_and_write])
def test_a_sound_save_is_in_force_soon(save: Callable[[Editor, bytes], None], tmp_path: Path) -> None:
    """Guards against new work for a server that leaves, as its list is held off."""
    editor = Editor(tmp_path / "i.csv", CSV.replace(b"leaving", b"active"))
    save(editor, CSV)
    editor.wait(IN_FORCE_MS)
    assert editor.is_in_force(CSV)


def test_each_of_two_saves_a_second_is_taken(tmp_path: Path) -> None:
    editor = Editor(tmp_path / "i.csv", CSV)
    for number in range(6):
        content = CSV.replace(b"8103", b"82%02d" % number)
        editor.save(content)
        editor.wait(500.0)
        assert editor.is_in_force(content)


def test_a_file_without_a_newline_at_its_end_is_taken_when_it_rests(tmp_path: Path) -> None:
    """Guards against a port or a state cut short, and against an editor whose files are never taken."""
    editor = Editor(tmp_path / "i.csv", CSV.replace(b"leaving", b"active"))
    editor.save(CSV[:-1])
    editor.wait(SLOWEST_SAVE_MS)
    assert editor.taken() == 1 and editor.file.status.problem == "it does not end with a newline"
    editor.wait(DRAIN_GRACE_MS + IN_FORCE_MS - SLOWEST_SAVE_MS)
    assert editor.is_in_force(CSV) and not editor.file.status.problem


def test_a_host_that_is_taken_off_is_gone_within_the_drain_grace(tmp_path: Path) -> None:
    """Guards against waiting for the rest of a file for longer than a removed server may get new work."""
    shorter = b"\n".join(CSV.splitlines()[:-1]) + b"\n"
    for grace in (1_000.0, DRAIN_GRACE_MS):
        editor = Editor(tmp_path / "i.csv", CSV)
        editor.file = InventoryFile(editor.path, editor.clock, editor.lists.append, drain_grace=grace)
        editor.file.check()
        editor.save(shorter)
        editor.wait(grace + IN_FORCE_MS)
        assert editor.is_in_force(shorter)


def test_a_writer_that_never_closes_the_file_does_not_hold_it_off(tmp_path: Path) -> None:
    editor = Editor(tmp_path / "i.csv", CSV.replace(b"leaving", b"active"))
    with editor.path.open("wb") as file:
        editor.write(file, CSV)
        editor.wait(SLOWEST_SAVE_MS)
        assert editor.taken() == 1 and editor.file.status.problem == "a process has it open for writing"
        editor.wait(DRAIN_GRACE_MS + IN_FORCE_MS - SLOWEST_SAVE_MS)
        assert editor.is_in_force(CSV)


def test_a_refused_file_is_named_once_and_the_last_list_stays(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    editor = Editor(tmp_path / "i.csv", CSV)
    editor.save(CSV.replace(b"8102", b"none"))
    editor.wait(5_000.0)
    status = editor.file.status
    assert status.is_refused and status.problem.startswith(f"{editor.path}:3: ")
    assert (status.version, status.entries) == (1, 3) and status.taken_at < status.since
    editor.file.fetch()
    assert editor.is_in_force(CSV)
    assert sum(record.message == "inventory refused" for record in caplog.records) == 1
    editor.save(CSV)
    editor.wait(IN_FORCE_MS)
    assert not editor.file.status.is_refused and editor.file.status.version == 2


def test_a_start_refuses_a_broken_file_and_waits_for_one_that_is_being_saved(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a start with the hosts that happen to be written already."""
    path = tmp_path / "i.csv"
    path.write_bytes(CSV[:-5])
    with pytest.raises(BadInventory, match=f"^{path}:4: "):
        InventoryFile(path, SettableClock(), print).check()
    file = path.open("wb")
    file.write(CSV[:-20])
    file.flush()
    assert has_writer(path)

    def finish(seconds: float) -> None:
        file.write(CSV[-20:])
        file.close()

    monkeypatch.setattr("time.sleep", finish)
    lists: list[ServerEntries | None] = []
    started = InventoryFile(path, SettableClock(), lists.append)
    started.check()
    started.fetch()
    assert not has_writer(path) and [len(servers.entries) for servers in lists if servers] == [3]
