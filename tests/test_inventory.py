"""The inventory file: CSV and YAML yield the same entries; malformed ones are reported with their line."""

from __future__ import annotations

import os
from pathlib import Path

import anyio
import pytest

from puffinford.core.clock import SettableClock
from puffinford.core.values import ServerEntries
from puffinford.server_list.inventory import BadInventory, load
from puffinford.server_list.inventory_file import CHECK_INTERVAL_MS, InventoryFile

CSV = """id,addr,zone,front,state,weight
s-1,127.0.0.1:81,boa,channels,,2
s-2,nowhere,boa,lines,active,1
s-1,127.0.0.3:81,boa,lines,active,1
s-3,127.0.0.2:82,,,leaving,
s-4,127.0.0.2:82,boa,lines,active,1,extra
"""
YAML = """gateways:
  vars: {zone: boa, port: 81}
  hosts:
    s-1: {ansible_host: 127.0.0.1, front: channels, weight: 2}
    s-2: {addr: nowhere}
    s-9:
      - a list
  children:
    old:
      hosts:
        s-3: {addr: "127.0.0.2:82", zone: "", state: leaving}
        s-4: {addr: "127.0.0.2:82", started_ms: -1}
"""


@pytest.mark.parametrize(
    ("name", "text", "bad"),
    [("i.csv", CSV, [3, 4, 6]), ("i.yaml", YAML, [5, 6, 12]), ("i.yml", YAML, [5, 6, 12])],
)
def test_both_forms_give_the_same_entries(name: str, text: str, bad: list[int], tmp_path: Path) -> None:
    path = tmp_path / name
    path.write_text(text)
    inventory = load(path, lambda _, ms: ms)
    loaded = [
        (entry.server.id, entry.host, entry.port, entry.front, entry.server.state.value, entry.server.weight)
        for entry in inventory.entries
    ]
    assert loaded == [
        ("s-1", "127.0.0.1", 81, "channels", "live", 2.0),
        ("s-3", "127.0.0.2", 82, "lines", "draining", 1.0),
    ]
    assert [text.rsplit(": ", 1)[0].split(":")[1] for text in inventory.rejected] == [
        str(line) for line in bad
    ]
    assert all(text.startswith(f"{path}:") for text in inventory.rejected)


@pytest.mark.parametrize(
    ("name", "text"),
    [
        ("i.txt", ""),
        ("i.csv", "name\nx\n"),
        ("i.yaml", "- a\n"),
        ("i.yaml", "a: [\n"),
        ("i.yaml", "\x00"),
        ("i.yaml", "a:\n  hosts:\n    s-1: {addr: 127.0.0.1:81}\n    s-1: {addr: 127.0.0.1:82}\n"),
    ],
)
def test_what_is_no_inventory_says_so(name: str, text: str, tmp_path: Path) -> None:
    path = tmp_path / name
    path.write_text(text)
    with pytest.raises(BadInventory, match=name):
        load(path, lambda _, ms: ms)


@pytest.mark.parametrize(
    ("name", "text", "line"),
    [
        ("i.csv", "id,addr,state\ns-1,127.0.0.1:81,active\ns-2,127.0.0.1:82\n", 3),
        ("i.csv", "id,addr,state\ns-1,127.0.0.1:81,active\ns-2,nowhere,active\n", 3),
        ("i.csv", "id,addr,state\ns-1,127.0.0.1:81,active\ns-2,127.0.0.1:82,act\n", 3),
        ("i.csv", "id,addr,state\ns-1,127.0.0.1:81,active\ns-1,127.0.0.1:81,leaving\n", 3),
        ("i.yaml", "a:\n  hosts:\n    s-1: {addr: 127.0.0.1:81}\n    s-2: addr\n", 4),
        ("i.yaml", "a:\n  hosts:\n    s-1: {addr: 127.0.0.1:81}\n  vars: zone\n", 4),
        ("i.yaml", "a:\n  hosts:\n    s-1: {addr: 127.0.0.1:81}\n  chil: {}\n", 4),
        ("i.yaml", "a:\n  hosts: {s-1: {addr: 127.0.0.1:81}}\nb:\n  hosts: {s-1: {addr: 127.0.0.1:82}}\n", 4),
        ("i.yaml", "a:\n  hosts: {s-1: {addr: 127.0.0.1:81}}\nb: c\n", 3),
    ],
)
def test_a_file_of_which_any_part_is_malformed_is_refused_whole(
    name: str, text: str, line: int, tmp_path: Path
) -> None:
    """Guards against a broken file that drops hosts from the list, or lists a leaving one as active."""
    path = tmp_path / name
    path.write_text(text)
    lists: list[ServerEntries | None] = []
    file = InventoryFile(path, SettableClock(), lists.append)
    with pytest.raises(BadInventory, match=f"^{path}:{line}: "):
        file.check()
    file.fetch()
    assert lists == [None]


@pytest.mark.parametrize(("name", "text"), [("i.csv", "id,addr,state\n"), ("i.yaml", "a:\n  hosts:\n")])
def test_a_file_that_lists_no_host_is_refused(name: str, text: str, tmp_path: Path) -> None:
    """Guards against taking a file of which only the head is written for one without servers."""
    path = tmp_path / name
    path.write_text(text)
    with pytest.raises(BadInventory, match="no host is listed"):
        InventoryFile(path, SettableClock(), print).check()


def test_a_host_in_two_groups_with_the_same_details_is_listed_once(tmp_path: Path) -> None:
    path = tmp_path / "i.yaml"
    path.write_text("a: {hosts: {s-1: {addr: 127.0.0.1:81}}}\nb: {hosts: {s-1: {addr: 127.0.0.1:81}}}\nc:\n")
    inventory = load(path, lambda _, ms: ms)
    assert [entry.server.id for entry in inventory.entries] == ["s-1"] and not inventory.rejected


@pytest.mark.anyio
async def test_a_changed_file_is_read_again_and_a_broken_one_leaves_the_last_list(tmp_path: Path) -> None:
    path = tmp_path / "i.csv"
    path.write_text("id,addr\ns-1,127.0.0.1:81\n")
    clock = SettableClock()
    lists: list[ServerEntries | None] = []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(InventoryFile(path, clock, lists.append).run)
        for text in ("", "id,addr\ns-1,127.0.0.1:81\n", "id,addr\ns-2,127.0.0.1:82\n"):
            await anyio.wait_all_tasks_blocked()
            path.write_text(text)
            os.utime(path, ns=(0, len(lists) + 1))
            for _ in range(35):  # a list that no longer has s-1 rests for 3.2 s
                clock.advance(CHECK_INTERVAL_MS)
                await anyio.wait_all_tasks_blocked()
        tasks.cancel_scope.cancel()
    assert [servers and [entry.server.id for entry in servers.entries] for servers in lists] == [
        ["s-1"],
        None,
        ["s-1"],
        ["s-2"],
    ]
