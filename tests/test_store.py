"""The store: killed writers, corruption, full disks, concurrent processes, newer releases."""

from __future__ import annotations

import errno
import json
import logging
import os
import subprocess
import sys
import textwrap
import time
from pathlib import Path
from random import Random
from typing import Any

import anyio
import lmdb
import pytest

from puffinford.cli import main
from puffinford.core.clock import SettableClock
from puffinford.core.values import ServerEntries, ServerEntry
from puffinford.interface import Health, Server, ServerState
from puffinford.operators.schema import StateSettings
from puffinford.state import records, store
from puffinford.state.keeper import StateKeeper
from puffinford.state.records import LIST_KEY, HealthRecord, ListRecord, ServerRecord, encode, server_key
from puffinford.state.store import Store, StoreError, StoreFullError, Verdict, open_store
from tests.harness import program
from tests.processes import SEAM, FaultPlan
from tests.test_program import FACTS

SIZE = 1 << 20
NOW = 1_800_000_000_000.0


def server_pair(ident: str, state: str = "active", version: int = 1) -> tuple[bytes, bytes]:
    record = ServerRecord(ident, "127.0.0.1", 80, "lines", state, version)
    return server_key(ident), encode(server_key(ident), record, NOW)


def list_pair(entries: int, version: int = 1) -> tuple[bytes, bytes]:
    return LIST_KEY, encode(LIST_KEY, ListRecord(version, entries), NOW)


def create_store(path: Path, count: int = 20, durable: bool = False) -> Store:
    opened, _ = open_store(path, SIZE, durable=durable)
    opened.write(dict([list_pair(count), *(server_pair(f"s-{n}") for n in range(count))]))
    return opened


def create_keeper(path: Path, learned: list[Health] | None = None, **settings: float) -> StateKeeper:
    state_settings = StateSettings(**settings)  # type: ignore[arg-type]
    return StateKeeper(state_settings, (path, False), SettableClock(), lambda: learned or [], lambda _: None)


def server_list(*idents: str, version: int = 1, full: bool = True, state: str = "live") -> ServerEntries:
    entries = [ServerEntry(Server(ident, state=ServerState(state)), "127.0.0.1", 1) for ident in idents]
    return ServerEntries(version, full, entries)


def run_python(code: str, *arguments: str, **options: object) -> subprocess.Popen[bytes]:
    return subprocess.Popen([sys.executable, "-c", textwrap.dedent(code), *arguments], **options)  # type: ignore[call-overload,no-any-return]


WRITER = """
    import sys
    from pathlib import Path
    from tests.test_store import list_pair, server_pair
    from puffinford.state.store import open_store
    opened, _ = open_store(Path(sys.argv[1]), 1 << 20, durable=sys.argv[2] == "durable")
    turn = 0
    print("ready", flush=True)
    while True:
        turn += 1
        opened.write(dict([list_pair(50, turn), *(server_pair(f"s-{n}", version=turn) for n in range(50))]))
"""


@pytest.mark.parametrize("kind", ["durable", "shared"])
def test_a_writer_killed_at_any_moment_leaves_its_last_commit(tmp_path: Path, kind: str) -> None:
    """A SIGKILL during a write must leave exactly one complete commit."""
    path, rng = tmp_path / "state", Random(5)
    last = 0
    for _ in range(12):
        writer = run_python(WRITER, str(path), kind, stdout=subprocess.PIPE)
        assert writer.stdout is not None and writer.stdout.readline() == b"ready\n"
        time.sleep(rng.uniform(0.0, 0.03))  # the assertions hold for any moment
        writer.kill()
        writer.wait()
        writer.stdout.close()
        opened, rebuild = open_store(path, SIZE, durable=kind == "durable")
        stored = opened.read()
        opened.close()
        assert rebuild is None and not stored.rejected
        assert {record.version for record, _ in stored.servers.values()} <= {stored.version}
        assert len(stored.servers) in (0, 50) and stored.version >= min(last, 1)
        last = stored.version


def test_rot_costs_the_record_or_the_store_and_never_the_start(tmp_path: Path) -> None:
    """Corrupted bytes anywhere, LMDB's own pages included, or a truncated file must not prevent a start."""
    path, rng = tmp_path / "state", Random(9)
    create_store(path, 200, durable=True).close()
    sound = path.read_bytes()
    verdicts = set()
    for turn in range(40):
        rotten = bytearray(sound)
        if turn % 4 == 0:
            del rotten[rng.randrange(len(rotten)) :]
        for _ in range(rng.choice((1, 8, 64))):
            if rotten:
                rotten[rng.randrange(len(rotten))] ^= rng.randrange(1, 256)
        path.write_bytes(rotten)
        opened, rebuild = open_store(path, SIZE, durable=True)
        stored = opened.read()
        assert all(record.id.startswith("s-") and record.port == 80 for record, _ in stored.servers.values())
        assert opened.write(dict([server_pair("s-new")])) > 0, "a rebuilt store accepts writes"
        opened.close()
        verdicts.add(rebuild.verdict if rebuild else None)
        if rebuild and rebuild.verdict is Verdict.UNREADABLE:
            assert Path(rebuild.quarantined_path).exists() and not stored.servers
    assert Verdict.UNREADABLE in verdicts and len(verdicts) > 1


def test_a_changed_or_moved_record_is_found_out() -> None:
    key, value = server_pair("s-1")
    for at in range(len(value)):
        changed = bytearray(value)
        changed[at] ^= 0x41
        with pytest.raises(records.InvalidRecord):
            records.decode(key, bytes(changed), ServerRecord)
    with pytest.raises(records.InvalidRecord):
        records.decode(server_key("s-2"), value, ServerRecord)
    with pytest.raises(records.InvalidRecord):
        records.decode(key, encode(key, ListRecord(1, 2), NOW), ServerRecord)


def test_a_store_of_a_newer_release_is_set_aside_whole(tmp_path: Path) -> None:
    path = tmp_path / "state"
    opened = create_store(path)
    key, _ = server_pair("s-3")
    opened.write({key: encode(key, ServerRecord("s-3", "h", 1, "lines", "active", 1), NOW, schema=9)})
    opened.close()
    opened, rebuild = open_store(path, SIZE, durable=True)
    assert rebuild is not None and rebuild.verdict is Verdict.NEWER and "schema 9" in rebuild.reason
    assert not opened.read().servers
    opened.close()
    assert len(store.inspect(Path(rebuild.quarantined_path)).servers) == 19


def test_one_process_writes_and_the_next_takes_over(tmp_path: Path) -> None:
    path = tmp_path / "state"
    first = create_store(path)
    code = """
        import sys
        from pathlib import Path
        from tests.test_store import server_pair
        from puffinford.state.store import StoreError, open_store
        opened, _ = open_store(Path(sys.argv[1]), 1 << 20, durable=False)
        assert not opened.is_writer and not opened.acquire_write_lock() and len(opened.read().servers) == 20
        try:
            opened.write(dict([server_pair("x")]))
        except StoreError:
            print("reads", flush=True)
        sys.stdin.readline()
        assert opened.acquire_write_lock() and opened.write(dict([server_pair("x")]))
        print("writes", flush=True)
        sys.stdin.readline()
    """
    second = run_python(code, str(path), stdin=subprocess.PIPE, stdout=subprocess.PIPE)
    assert second.stdin is not None and second.stdout is not None
    assert second.stdout.readline() == b"reads\n"
    first.write(dict([server_pair("y")]))
    first.release_write_lock()
    second.stdin.write(b"\n")
    second.stdin.flush()
    assert second.stdout.readline() == b"writes\n"
    assert {"x", "y"} <= first.read().servers.keys() and not first.acquire_write_lock()
    second.kill()
    second.wait()
    assert first.acquire_write_lock(), "a killed writer's lock is released"
    first.close()
    for pipe in (second.stdin, second.stdout):
        pipe.close()


@pytest.mark.parametrize("boot", ["another boot", ""], ids=["another boot", "an older release"])
def test_a_store_says_by_which_clock_its_times_are_with_the_first_that_are_written(
    boot: str, tmp_path: Path
) -> None:
    """The list record must carry the new time base at once, though the list itself has not changed."""
    opened = create_store(tmp_path / "state", 1)
    opened.write({LIST_KEY: encode(LIST_KEY, ListRecord(1, 1, boot, 7.0), NOW)})
    opened.close()
    keeper = create_keeper(tmp_path / "state")
    keeper.start(None)
    keeper.record_list(server_list("s-0", version=1))
    keeper._commit_blocking()
    assert keeper._store is not None
    stored = keeper._store.read()
    assert stored.boot_id not in ("", boot) and stored.monotonic_offset == keeper._timeline.monotonic_offset
    keeper._store.close()


@pytest.mark.anyio
async def test_a_lock_that_cannot_be_opened_for_a_moment_ends_no_process(tmp_path: Path) -> None:
    """A process without a free descriptor for the lock must keep serving, and retry."""
    plan, config = FaultPlan(tmp_path / "plan.json"), tmp_path / "config.json"
    fields = {"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1"}
    known = {"version": 1, "full": True, "servers": [{"id": "s-1", "addr": "127.0.0.1:1"}]}
    config.write_text(json.dumps({**fields, "settings": FACTS, "known": known}))
    env: dict[str, Any] = {"TMPDIR": str(tmp_path), "FAULT_PLAN": str(plan.path), "PYTHONPATH": str(SEAM)}
    with anyio.fail_after(15):
        async with program(config, **env) as first:
            await first.port(b"lines")
            async with program(config, **env) as second:
                await second.port(b"lines")
                plan.apply(0.0, {"call": "open", "errno": "EMFILE", "file": ".writer", "most": 2})
                first.process.kill()
                await second.wait_for_log(b'event="state not kept"')
                await second.wait_for_log(b'event="state writer"')
                second.process.kill()


@pytest.mark.anyio
@pytest.mark.parametrize("failing", ["_open", "_read"])
async def test_a_store_that_fails_as_it_is_taken_over_is_taken_over_later(
    failing: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A failed attempt to become the writer must be retried."""
    path = tmp_path / "state"
    create_store(path).close()
    lock = store._take_lock(path)  # held by the writing process
    second = create_keeper(path)
    assert lock is not None

    def fail(*args: object, **kwargs: object) -> None:
        raise lmdb.Error(os.strerror(errno.EIO))

    async def rounds() -> None:
        for _ in range(3):
            await anyio.wait_all_tasks_blocked()
            second._clock.advance(2_000.0)  # type: ignore[attr-defined]
        await anyio.wait_all_tasks_blocked()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(second.run)
        with monkeypatch.context() as patch:
            patch.setattr(store, failing, fail)
            second.start(None)
            second.record_list(server_list("x-1", version=2))
            os.close(lock)
            await rounds()
        await rounds()
        assert second._store is not None and second._store.is_writer
        servers = second._store.read().servers.values()
        assert [record.id for record, _ in servers if record.state != "left"] == ["x-1"]
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
@pytest.mark.parametrize("error", [errno.EIO, errno.ENOSPC])
async def test_a_disk_that_fails_for_a_while_costs_one_line_and_no_change(
    error: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Changes during disk errors must be written once the disk works again."""
    keeper = create_keeper(tmp_path / "state")
    put = Store._put

    def fail_half_way(opened: Store, pairs: store.Pairs) -> None:
        with opened._environment.begin(write=True) as transaction:
            for key in pairs:
                transaction.put(key, b"half")
                raise lmdb.Error(os.strerror(error))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(keeper.run)
        for turn in range(6):
            monkeypatch.setattr(Store, "_put", fail_half_way if 1 <= turn <= 4 else put)
            keeper.record_list(server_list(*(f"s-{n}" for n in range(turn, 8)), version=turn + 1))
            await anyio.wait_all_tasks_blocked()
            keeper._clock.advance(2_000.0)  # type: ignore[attr-defined]
            await anyio.wait_all_tasks_blocked()
        assert keeper._store is not None
        stored = keeper._store.read()
        there = {ident for ident, (record, _) in stored.servers.items() if record.state != "left"}
        assert there == {"s-5", "s-6", "s-7"} and stored.version == 6 and not stored.rejected
        tasks.cancel_scope.cancel()
    assert [record.getMessage() for record in caplog.records].count("state not kept") == 1


def test_a_store_never_passes_its_size_and_goes_on_when_it_is_full(tmp_path: Path) -> None:
    path = tmp_path / "state"
    opened, _ = open_store(path, 256 << 10, durable=False)
    with pytest.raises(StoreFullError):
        opened.write(dict(server_pair(f"server-{n:06}") for n in range(5_000)))
    for turn in range(300):
        opened.write(dict(server_pair(f"server-{n:03}", version=turn) for n in range(100)))
    assert opened.used_bytes() <= 256 << 10 and path.stat().st_size <= 256 << 10
    assert len(opened.read().servers) == 100
    opened.close()


def test_a_full_disk_is_one_line_and_a_program_that_goes_on(tmp_path: Path) -> None:
    """A full disk, simulated by a file size limit, must not end the process."""
    code = """
        import logging, resource, sys, anyio
        from pathlib import Path
        from tests.test_store import create_keeper, server_list
        logging.basicConfig(level="INFO", format="%(message)s", stream=sys.stdout)
        keeper = create_keeper(Path(sys.argv[1]), write_every=50.0)
        async def story():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(keeper.run)
                for turn in range(30):
                    if turn == 3:
                        resource.setrlimit(resource.RLIMIT_FSIZE, (20_000, resource.RLIM_INFINITY))
                    keeper.record_list(server_list(*(f"s-{turn}-{n}" for n in range(50)), version=turn + 1))
                    for _ in range(5):
                        await anyio.sleep(0)
                    keeper._clock.advance(60.0)
                    for _ in range(5):
                        await anyio.sleep(0)
                tasks.cancel_scope.cancel()
        anyio.run(story)
        print("went on")
    """
    done = run_python(code, str(tmp_path / "state"), stdout=subprocess.PIPE)
    out = done.communicate()[0].decode()
    assert done.returncode == 0 and out.splitlines()[-1] == "went on"
    assert out.count("state not kept") == 1
    assert not store.inspect(tmp_path / "state").rejected, "the last commit stays"


@pytest.mark.skipif(os.geteuid() != 0, reason="root alone can give rights away")
def test_a_directory_without_write_right_is_one_line_and_a_start_without(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    for place in (tmp_path, *tmp_path.parents[:2]):
        place.chmod(0o755)  # lets the other user reach the directory
    (tmp_path / "closed").mkdir(mode=0o555)
    code = """
        import os, sys
        from pathlib import Path
        from puffinford.state.store import StoreError, open_store
        os.seteuid(65534)
        try:
            open_store(Path(sys.argv[1]), 1 << 20, durable=True)
        except StoreError as exc:
            print(exc)
    """
    done = run_python(code, str(tmp_path / "closed/state"), stdout=subprocess.PIPE)
    assert b"ermission" in done.communicate()[0] and done.returncode == 0
    keeper = create_keeper(tmp_path / "file" / "state")
    (tmp_path / "file").touch()
    keeper = create_keeper(tmp_path / "file" / "state")
    assert keeper.start(None).source == "nothing"
    keeper.record_list(server_list("s-1"))
    assert "state unusable" in caplog.text


def test_what_changes_is_gathered_and_what_left_is_remembered_for_a_while(tmp_path: Path) -> None:
    path = tmp_path / "state"
    learned = [Health("s-1", 0.0, failures=3, retry_at=5.0), Health("s-9", 0.0, failures=1)]
    keeper = create_keeper(path, learned, forget_after=60_000.0)
    keeper.record_list(server_list("s-1", "s-2", "s-3"))
    keeper.record_list(server_list("s-2", version=2, full=False, state="draining"))
    assert keeper._write_soon.is_set(), "a drain is written at once"
    keeper.record_list(server_list("s-1", "s-2", version=3))
    keeper._collect_health()
    keeper._commit_blocking()
    assert keeper._store is not None
    stored = keeper._store.read()
    states = {ident: record.state for ident, (record, _) in stored.servers.items()}
    assert states == {"s-1": "active", "s-2": "active", "s-3": "left"} and stored.is_complete
    assert stored.version == 3 and set(stored.health) == {"s-1"}
    learned.clear()
    keeper._clock.advance(61_000.0)  # type: ignore[attr-defined]
    keeper._left_at["s-3"] -= 61_000.0
    keeper._collect_health()
    keeper._forget_departed()
    keeper._commit_blocking()
    stored = keeper._store.read()
    assert set(stored.servers) == {"s-1", "s-2"} and not stored.health
    keeper._store.close()


@pytest.mark.anyio
@pytest.mark.parametrize("turns", range(6))
async def test_the_end_of_the_program_loses_nothing_that_was_noted(tmp_path: Path, turns: int) -> None:
    """A commit handed to a thread that has not started must not be lost at the end of the program."""
    keeper = create_keeper(tmp_path / "state")
    keeper._commits_in_thread = True
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(keeper.run)
        await anyio.wait_all_tasks_blocked()
        keeper.record_list(server_list("s-1", state="draining"))
        for _ in range(turns):
            await anyio.sleep(0)
        tasks.cancel_scope.cancel()
    opened, _ = open_store(tmp_path / "state", SIZE, durable=False)
    assert set(opened.read().servers) == {"s-1"}
    opened.close()


def test_a_known_list_that_discovery_only_adds_to_is_kept_whole(tmp_path: Path) -> None:
    """The store must hold the known list as well as the changes that discovery announces."""
    path = tmp_path / "state"
    keeper = create_keeper(path)
    assert keeper.start(server_list("s-1", "s-2", "s-3", version=4)).source == "known"
    keeper.record_list(server_list("s-4", version=5, full=False))
    keeper._commit_blocking()
    assert keeper._store is not None
    stored = keeper._store.read()
    assert set(stored.servers) == {"s-1", "s-2", "s-3", "s-4"} and stored.is_complete and stored.version == 5
    keeper._store.close()
    again = create_keeper(path)
    start = again.start(server_list("s-1", version=2))
    assert (start.source, len(start.restored.entries.entries), start.version) == ("store", 4, 5)
    assert again._store is not None
    again._store.close()


def test_a_store_of_another_deployment_is_refused_and_made_over(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """A store with the same name and directory must not supply the servers of another deployment."""
    path = tmp_path / "state"

    def create(*classes: str) -> StateKeeper:
        learn: list[Health] = []
        state_settings, clock = StateSettings(), SettableClock()
        return StateKeeper(
            state_settings, (path, False), clock, list, learn.extend, classes=frozenset(classes)
        )

    first = create("tills", "prices")
    first.start(server_list("s-1", "s-2", version=9))
    first._commit_blocking()
    assert first._store is not None
    first._store.close()
    with caplog.at_level(logging.WARNING, "puffinford.state.keeper"):
        other = create("parcels")
        start = other.start(server_list("s-7", version=1))
    assert [m.server.id for m in start.restored.entries.entries] == ["s-7"] and start.version == 1
    assert [r.getMessage() for r in caplog.records] == ["state of another deployment"]
    other._commit_blocking()
    assert other._store is not None
    stored = other._store.read()
    assert set(stored.servers) == {"s-7"} and stored.owner is not None and stored.is_complete
    assert stored.owner.classes == ["parcels"]
    other._store.close()
    grown = create("parcels", "letters")  # a deployment stays the same when it gains a class
    assert grown.start(None).source == "store"
    assert grown._store is not None
    grown._store.close()


def test_how_far_rebalancing_had_come_is_handed_on(tmp_path: Path) -> None:
    path = tmp_path / "state"
    restored: list[records.PaceRecord] = []
    pace = records.PaceRecord(2.5, [(7, NOW, ("s-1",), "s-2")])
    old = StateKeeper(
        StateSettings(), (path, False), SettableClock(), list, lambda _: None, lambda _: pace, lambda *_: None
    )
    old.release_store()
    assert old._store is not None
    old._store.close()  # a process may not open an LMDB file twice
    new = StateKeeper(
        StateSettings(),
        (path, False),
        SettableClock(),
        list,
        lambda _: None,
        lambda _: None,
        lambda record, _: restored.append(record),
    )
    assert new._store is not None
    new.start(None)
    new._store.release_write_lock()
    assert new._become_writer(new._store) and restored == [pace, pace]
    new._store.close()


def test_the_tools_show_move_verify_and_compact(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path, other, text = tmp_path / "state", tmp_path / "other", str(tmp_path / "export.json")
    opened = create_store(path, 3)
    key = records.health_key("s-1")
    opened.write({key: encode(key, HealthRecord("s-1", failures=2), NOW)})

    def run(*words: str) -> tuple[int, str]:
        code = main(["state", *words])
        captured = capsys.readouterr()
        return code, captured.out + captured.err

    opened.close()
    code, out = run("show", "--file", str(path))
    assert code == 0 and "3 listed" in out and "down after 2 failures" in out
    assert run("show", "--file", str(path), "--json")[1].count('"server"') == 3
    assert run("export", "--file", str(path), text) == (0, "")
    with store.exclusive_writer(path):
        assert run("import", "--file", str(path), text)[0] == 1, "the write lock is held"
        assert run("compact", "--file", str(path))[0] == 1
    assert run("import", "--file", str(other), text)[0] == 0
    assert store.inspect(other).servers == store.inspect(path).servers
    assert run("compact", "--file", str(other))[0] == 0
    assert run("verify", "--file", str(other))[0] == 0
    assert '"sound": true' in run("verify", "--file", str(other), "--json")[1]
    (tmp_path / "bad.json").write_text('{"format": "x"}')
    assert run("import", "--file", str(other), str(tmp_path / "bad.json"))[0] == 2
    raw = other.read_bytes()
    at = raw.index(b"\xa3s-2")
    other.write_bytes(raw[:at] + b"\xa3s-7" + raw[at + 4 :])
    code, out = run("verify", "--file", str(other))
    assert code == 1 and "checksum" in out and "3 servers were listed, 2 are there" in out
    assert run("show", "--file", str(tmp_path / "none"))[0] == 1


def test_a_store_made_smaller_keeps_the_list_first(tmp_path: Path) -> None:
    path = tmp_path / "state"
    opened, _ = open_store(path, 8 << 20, durable=True)
    pairs = dict(server_pair(f"gone-{n:05}", "left") for n in range(8_000))
    opened.write(pairs | dict([list_pair(50), *(server_pair(f"z-{n}") for n in range(50))]))
    opened.close()
    opened, rebuild = open_store(path, 512 << 10, durable=True)
    stored = opened.read()
    assert rebuild is not None and rebuild.verdict is Verdict.FULL
    assert stored.is_complete and 0 < len(stored.servers) < 8_000
    opened.close()


def test_a_store_that_another_kind_of_file_took_the_place_of(tmp_path: Path) -> None:
    path = tmp_path / "state"
    path.write_text("not a store at all")
    opened, rebuild = open_store(path, SIZE, durable=True)
    assert rebuild is not None and rebuild.verdict is Verdict.UNREADABLE
    opened.close()
    path.write_text("not a store at all")
    with pytest.raises(StoreError):
        open_store(path, SIZE, durable=False)
