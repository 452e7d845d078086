"""Files that a serving process reads: bad content is refused with its place, and the last state stays."""

from __future__ import annotations

import os
import time
from pathlib import Path

import anyio
import pytest
from anyio import to_thread

from puffinford.config import BadConfig
from puffinford.config import load as load_config
from puffinford.core.clock import Clock, SettableClock
from puffinford.core.start_times import StartTimes
from puffinford.core.values import ServerEntries
from puffinford.management.cordons import Cordons
from puffinford.operators import BadSettings, load_settings
from puffinford.relay.entries import decode as decode_relayed
from puffinford.server_list.discovery import CallFailed, DiscoveryWatch
from puffinford.server_list.entries import MAX_REPORTED_ENTRIES, parse_server_list
from puffinford.server_list.inventory import MAX_FILE_BYTES, BadInventory, load
from puffinford.server_list.inventory_file import MAX_INLINE_BYTES, InventoryFile

SOUND = "all:\n  hosts:\n    gw-1: {addr: 127.0.0.1:81}\n"
TEMPLATE = "all:\n  hosts:\n    {{ inventory_hostname }}:\n      addr: {{ gateway_address }}\n"
LINE_HELD_S = 1.0  # at most, whatever happens


def host(details: str) -> str:
    """An inventory whose third line is a host with these details."""
    return f"all:\n  hosts:\n    gw-1: {{{details}}}\n"


def growing(reference: str) -> str:
    """Groups of which each names the one before it ten times, on lines of their own."""
    groups = ["a0: &a0 {hosts: {}}"]
    for number in range(1, 9):
        groups.append(f"a{number}: &a{number} {reference}".replace("LAST", f"*a{number - 1}"))
    return "\n".join(groups) + "\n"


@pytest.mark.parametrize(
    ("text", "line"),
    [
        (TEMPLATE, 3),
        ("? [a]\n: 1\n", 1),
        (host("addr: !!int ''"), 3),
        (host("addr: !!timestamp abc"), 3),
        (host("weight: !!bool maybe"), 3),
        (host("weight: !!python/name:os.system"), 3),
        (host("weight: 0b_"), 3),
        (host("weight: 2001-99-99"), 3),
        (host("weight: " + "1:" * 2_500 + "1"), 3),
        (host("weight: " + "1" * 5_000), 3),
        (host("addr: 127.0.0.1:81, weight: .nan"), 3),
        (host("addr: 127.0.0.1:81, cell: .inf"), 3),
        (host("addr: [127.0.0.1]"), 3),
        ("all:\n  hosts: &a\n    gw-1: *a\n", 3),
        ("all: &a\n  children: *a\n", 2),
        (growing("{children: {" + ", ".join(f"c{n}: LAST" for n in range(10)) + "}}"), 6),
        (growing("{<<: [" + ", ".join(["LAST"] * 10) + "]}"), 6),
        ("all:\n  hosts:\n    2001-01-01: {addr: 127.0.0.1:81}\n", 3),
        ("all: {hosts: {yes: {addr: 127.0.0.1:81}}}\n", 1),
        ("[" * 100_000, 1),
    ],
)
def test_an_inventory_that_yaml_allows_and_we_do_not_names_its_line(
    text: str, line: int, tmp_path: Path
) -> None:
    """Guards against an exception of the YAML library, or a text that grows, ending a serving process."""
    path = tmp_path / "i.yaml"
    path.write_text(SOUND)
    lists: list[ServerEntries | None] = []
    clock = SettableClock()
    file = InventoryFile(path, clock, lists.append)
    file.check()
    path.write_text(text)
    file.refresh()
    clock.advance(4_000.0)
    file.refresh()
    assert file.status.is_refused and file.status.version == 1
    assert file.status.problem.startswith(f"{path}:{line}: "), file.status.problem
    file.fetch()
    assert [servers and servers.size for servers in lists] == [None, 1]


@pytest.mark.parametrize(
    "text", ["a: " * 5_000, "".join(f"{' ' * n}a:\n" for n in range(900)), "a: \0\n", "\ud800", ""]
)
def test_an_inventory_that_is_no_document_names_its_file(text: str, tmp_path: Path) -> None:
    path = tmp_path / "i.yaml"
    path.write_bytes(text.encode("utf-8", "surrogatepass"))
    with pytest.raises(BadInventory, match=f"^{path}:"):
        load(path, lambda _, ms: ms)


@pytest.mark.anyio
async def test_a_long_inventory_holds_up_no_line(tmp_path: Path) -> None:
    """Guards against parsing thousands of hosts between two messages: 3,200 took 1.8 s."""
    path = tmp_path / "i.yaml"
    path.write_text(SOUND)
    clock = Clock()
    lists: list[ServerEntries | None] = []
    file = InventoryFile(path, clock, lists.append)
    file.check()
    hosts = "".join(f"    gw-{n}: {{addr: 10.0.{n // 250}.{n % 250}:81, zone: boa}}\n" for n in range(15_000))
    text = f"all:\n  hosts:\n{hosts}"
    assert MAX_INLINE_BYTES < len(text) < MAX_FILE_BYTES
    longest = 0.0
    threads: list[bool] = []

    async def measure() -> None:
        nonlocal longest
        while True:
            before = clock.now()
            await anyio.sleep(0.01)
            longest = max(longest, clock.now() - before)
            threads.append(to_thread.current_default_thread_limiter().borrowed_tokens > 0)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(file.run)
        tasks.start_soon(measure)
        await anyio.sleep(0.2)
        path.write_text(text)
        with anyio.fail_after(30):
            while file.status.version < 2:
                file.refresh()
                await anyio.sleep(0.05)
        tasks.cancel_scope.cancel()
    assert lists[-1] is not None and lists[-1].size == 15_000
    assert longest < LINE_HELD_S * 1_000.0 and any(threads)


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


@pytest.mark.parametrize(
    "line", ["a\n", "a ", '"', "section state\nsiz 4\n", "# a comment\n", "include i.conf\n"]
)
def test_settings_of_any_length_are_judged_before_a_line_is_late(line: str, tmp_path: Path) -> None:
    """Guards against a reload that parses for seconds: 500,000 short lines took 15 s."""
    path = tmp_path / "x.conf"
    path.write_text(line * (1_000_000 // len(line)) + "\nsection nowhere\n")
    (tmp_path / "i.conf").write_text("# nothing\n" * 10_000)
    started_at = time.perf_counter()
    with pytest.raises(BadSettings, match=f"^{tmp_path}/"):
        load_settings(path)
    assert time.perf_counter() - started_at < LINE_HELD_S


def test_an_answer_of_very_many_entries_holds_up_no_line() -> None:
    """Guards against a list of 4 MB that is read, and complained of entry by entry, for 30 s."""
    entries = ",".join(["{}"] * 1_300_000)
    body = f'{{"version":1,"full":true,"servers":[{entries}]}}'.encode()
    watch = DiscoveryWatch(("127.0.0.1", 1), None, Clock(), lambda entries: None)
    started_at = time.perf_counter()
    with pytest.raises(CallFailed, match="1300000 entries"):
        watch._parse(body)
    with pytest.raises(CallFailed, match="1300000 entries"):
        decode_relayed(body, print)
    assert time.perf_counter() - started_at < LINE_HELD_S


def test_the_malformed_entries_of_a_list_are_reported_up_to_a_number() -> None:
    """Guards against thousands of log records for one list."""
    servers: list[object] = [{"id": f"s-{number}"} for number in range(1_000)]
    reported: list[str] = []
    answer = {"version": 1, "full": True, "servers": [*servers, {"id": "s-1", "addr": "127.0.0.1:81"}]}
    entries = parse_server_list(answer, StartTimes(Clock()), reported.append)
    assert entries.size == 1 and len(reported) == MAX_REPORTED_ENTRIES + 1
    assert reported[-1] == f"{1_000 - MAX_REPORTED_ENTRIES} more entries are malformed"
