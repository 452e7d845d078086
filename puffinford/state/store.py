"""The store on LMDB: one file, written by one process, read by any.

A store that is kept for good is made anew from its sound records at each start, by a child process: LMDB maps
its file, and a page that has rotted can end whoever reads it. The same step compacts it.
"""

from __future__ import annotations

import contextlib
import errno
import faulthandler
import fcntl
import os
import signal
import tempfile
import time
from collections.abc import Callable, Iterable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path

import lmdb

from puffinford.state import records
from puffinford.state.records import HEALTH_PREFIX, LIST_KEY, SERVER_PREFIX, Stored

MIN_MAP_BYTES = 64 << 10  # bytes; LMDB needs some pages for any tree
CHILD_TIMEOUT_S = 10.0  # seconds for the child that reads a store; then it counts as one that cannot be read
MAX_READERS = 16  # processes and tools that may read at once

Pairs = Mapping[bytes, bytes | None]  # values by key; None deletes


class StoreError(Exception):
    """A file or LMDB operation failed; the text says which and why. The last commit stays."""


class StoreFullError(StoreError):
    """The store has reached its size, or its disk has."""


class Verdict(IntEnum):
    """What the child says of a store, as its exit code."""

    SOUND = 0
    UNREADABLE = 10
    NEWER = 11
    FULL = 12


@dataclass(frozen=True)
class Rebuild:
    """What came of making a store anew: what was wrong, and where the old file is now, if set aside."""

    verdict: Verdict
    quarantined_path: str = ""
    reason: str = ""


def lock_path(path: Path) -> Path:
    """The file whose lock says who writes."""
    return path.with_name(path.name + ".writer")


def _open(path: Path, size: int, *, sync: bool, write: bool, lock: bool = True) -> lmdb.Environment:
    return lmdb.open(
        str(path),
        map_size=max(size, MIN_MAP_BYTES),
        subdir=False,
        readonly=not write,
        create=write,
        sync=sync,
        metasync=sync,
        mode=0o600,
        max_readers=MAX_READERS,
        lock=lock,
    )


def _read(environment: lmdb.Environment) -> Stored:
    stored = Stored()
    with environment.begin(buffers=True) as transaction:
        for key, value in transaction.cursor():
            records.load_pair(stored, bytes(key), bytes(value))
    return stored


@contextmanager
def _translate_errors(what: str) -> Iterator[None]:
    """LMDB's errors as ours."""
    try:
        yield
    except (lmdb.MapFullError, lmdb.DiskError) as exc:
        raise StoreFullError(f"{what}: {exc}") from None
    except (lmdb.Error, OSError) as exc:
        # LMDB hands on errno as text alone.
        lack = (errno.ENOSPC, errno.EFBIG, errno.EDQUOT)
        full = any(os.strerror(number) in str(exc) for number in lack)
        raise (StoreFullError if full else StoreError)(f"{what}: {exc}") from None


class Store:
    """An open store. Construct with `open_store`; not for several threads at once."""

    def __init__(self, path: Path, environment: lmdb.Environment, lock: int | None, sync: bool) -> None:
        self.path = path
        self._environment = environment
        self._map_size = int(environment.info()["map_size"])
        self._lock = lock
        self._sync = sync

    @property
    def is_writer(self) -> bool:
        """Whether this process is the one that writes."""
        return self._lock is not None

    def read(self) -> Stored:
        """All that is sound; raises StoreError."""
        with _translate_errors("read"):
            return _read(self._environment)

    def read_health(self) -> Stored:
        """What was learned alone, which is what a new version takes over; raises StoreError."""
        stored = Stored()
        with _translate_errors("read"), self._environment.begin(buffers=True) as transaction:
            cursor = transaction.cursor()
            if cursor.set_range(HEALTH_PREFIX):
                for key, value in cursor:
                    if not bytes(key).startswith(HEALTH_PREFIX):
                        break
                    records.load_pair(stored, bytes(key), bytes(value))
        return stored

    def write(self, pairs: Pairs) -> float:
        """Commit all of them or none; the ms it took. Raises StoreFullError or StoreError."""
        if not self.is_writer:
            raise StoreError("write: another process writes")
        started = time.perf_counter()
        with _translate_errors("write"):
            try:
                self._put(pairs)
            except lmdb.MapFullError:
                # Guards against a reader that was killed: the pages that it saw are not used again until it
                # is struck from the table.
                if not self._environment.reader_check():
                    raise
                self._put(pairs)
        return (time.perf_counter() - started) * 1_000.0

    def _put(self, pairs: Pairs) -> None:
        with self._environment.begin(write=True) as transaction:
            for key, value in pairs.items():
                if value is None:
                    transaction.delete(key)
                else:
                    transaction.put(key, value)

    def acquire_write_lock(self) -> bool:
        """Become the one that writes, where nobody is; tells whether this process is now.

        Raises StoreError; then it is not, and may try again.
        """
        if self._lock is None:
            with _translate_errors("lock"):
                lock = _take_lock(self.path)
            if lock is not None:
                self._reopen_to_write(lock)
        return self.is_writer

    def release_write_lock(self) -> None:
        """Leave writing to another process; reading goes on."""
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None

    def _reopen_to_write(self, lock: int) -> None:
        """Open the file anew, as the holder of the writer's lock."""
        try:
            with _translate_errors("open"):
                self._environment.close()  # LMDB opens a file once in a process
                self._environment = _open(self.path, self._map_size, sync=self._sync, write=True)
        except StoreError:
            os.close(lock)
            raise
        self._lock = lock

    def close(self) -> None:
        """Close the file and let the lock go."""
        self._environment.close()
        self.release_write_lock()

    def used_bytes(self) -> int:
        """Bytes of the file that are in use or were."""
        info, stat = self._environment.info(), self._environment.stat()
        return (int(info["last_pgno"]) + 1) * int(stat["psize"])


def _take_lock(path: Path) -> int | None:
    """The writer's lock, held as long as the descriptor is open; None where another process has it."""
    descriptor = os.open(lock_path(path), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(descriptor)
        return None
    return descriptor


def open_store(path: Path, size: int, *, durable: bool) -> tuple[Store, Rebuild | None]:
    """Open a store, or make it. The first process writes; later ones read.

    `size` is the most bytes that its file may take. A `durable` one is synced at each commit, and made anew
    first where this process writes. Raises StoreError.
    """
    with _translate_errors("open"):
        path.parent.mkdir(parents=True, exist_ok=True)
        lock = _take_lock(path)
        try:
            rebuilt = rebuild(path, size) if durable and lock is not None and path.exists() else None
            environment = _open(path, size, sync=durable, write=lock is not None)
        except BaseException:
            if lock is not None:
                os.close(lock)
            raise
    return Store(path, environment, lock, durable), rebuilt


def inspect(path: Path) -> Stored:
    """What a store holds, read by a child so that a rotten one ends the child alone; raises StoreError.

    For tools: it works beside a running balancer.
    """
    if not path.exists():
        raise StoreError(f"{path}: no such store")
    with tempfile.TemporaryDirectory() as directory, _translate_errors("read"):
        copy = Path(directory) / "copy"
        verdict, why = _in_child(lambda: _copy(path, copy, lock=True, keep_all=True))
        if verdict is not Verdict.SOUND:
            raise StoreError(f"{path}: cannot be read: {why}")
        environment = _open(copy, 0, sync=False, write=False)
        try:
            return _read(environment)
        finally:
            environment.close()


def rebuild(path: Path, size: int) -> Rebuild | None:
    """Make a store anew from its sound records. The caller holds the writer's lock.

    A store that cannot be read is set aside as `NAME.bad`, one that a later release wrote as `NAME.newer`; in
    both cases what starts is empty. Raises OSError.
    """
    fresh = path.with_name(path.name + ".new")
    remove_files(fresh)
    verdict, why = _in_child(lambda: _copy(path, fresh, size))
    if verdict in (Verdict.SOUND, Verdict.FULL):
        remove_files(path, keep=True)
        os.replace(fresh, path)
        remove_files(fresh)
        return Rebuild(verdict, reason=why) if why else None
    remove_files(fresh)
    aside = path.with_name(path.name + (".newer" if verdict is Verdict.NEWER else ".bad"))
    os.replace(path, aside)
    remove_files(path)
    return Rebuild(verdict, str(aside), why)


def remove_files(path: Path, *, keep: bool = False) -> None:
    """Delete a store's file (or `keep` it) and LMDB's lock file beside it."""
    for name in ([] if keep else [path]) + [path.with_name(path.name + "-lock")]:
        with contextlib.suppress(FileNotFoundError):
            name.unlink()


def _copy(
    source: Path, target: Path, size: int | None = None, *, lock: bool = False, keep_all: bool = False
) -> tuple[Verdict, str]:
    """Write the sound records of a store into a fresh one. Runs in a child.

    In this order, so that a smaller size costs the least first: the list, its servers, what was learned,
    those that left. With `keep_all` records that cannot be used are copied too, to be looked at; with `lock`
    others may write meanwhile.
    """
    try:
        old = _open(source, 0, sync=False, write=False, lock=lock)
        with old.begin() as transaction:
            pairs = [(bytes(key), bytes(value)) for key, value in transaction.cursor()]
    except lmdb.Error as exc:
        return Verdict.UNREADABLE, str(exc)
    stored = Stored()
    good: list[tuple[int, bytes, bytes]] = []
    for key, value in pairs:
        before = len(stored.rejected)
        records.load_pair(stored, key, value)
        if keep_all or len(stored.rejected) == before:
            good.append((_rank(key, stored), key, value))
    if stored.newer_schema and not keep_all:
        return Verdict.NEWER, f"schema {stored.newer_schema} is newer than {records.SCHEMA}"
    good.sort(key=lambda entry: entry[0])
    new = _open(target, size or max(1 << 20, 4 * source.stat().st_size), sync=False, write=True)
    verdict, why = Verdict.SOUND, "; ".join(stored.rejected[:3])
    try:
        # In pieces: a transaction that meets the end of the store is lost whole.
        for start in range(0, len(good), 256):
            with new.begin(write=True) as transaction:
                for _, key, value in good[start : start + 256]:
                    transaction.put(key, value)
    except lmdb.MapFullError:
        verdict, why = Verdict.FULL, f"{len(good)} records are more than its size holds"
    new.sync(True)
    new.close()
    return verdict, why


def _rank(key: bytes, stored: Stored) -> int:
    if key == LIST_KEY:
        return 0
    if key.startswith(SERVER_PREFIX):
        latest = next(reversed(stored.servers.values()), None)
        return 3 if latest is not None and latest[0].state == "left" else 1
    return 2


def _in_child(work: Callable[[], tuple[Verdict, str]]) -> tuple[Verdict, str]:
    """Run `work` in a child process; a signal that ends it, or silence, is an unreadable store."""
    ours, theirs = os.pipe()
    child = os.fork()
    if child == 0:  # pragma: no cover - another process
        code = int(Verdict.UNREADABLE)
        faulthandler.disable()  # a signal that ends it is an answer, not a fault to print
        try:
            verdict, why = work()
            os.write(theirs, why.encode("utf-8", "replace")[:4_000])
            code = int(verdict)
        except BaseException as exc:
            with contextlib.suppress(OSError):
                os.write(theirs, f"{type(exc).__name__}: {exc}".encode()[:4_000])
        finally:
            os._exit(code)
    os.close(theirs)
    status = _wait(child)
    with os.fdopen(ours, "rb") as pipe:
        os.set_blocking(ours, False)
        why = (pipe.read() or b"").decode("utf-8", "replace")
    if os.WIFSIGNALED(status):
        return Verdict.UNREADABLE, f"reading it ended with {signal.Signals(os.WTERMSIG(status)).name}"
    code = os.WEXITSTATUS(status)
    known = code in [verdict.value for verdict in Verdict]
    return Verdict(code) if known else Verdict.UNREADABLE, why


def _wait(child: int) -> int:
    """The child's status; it is killed after CHILD_TIMEOUT_S."""
    end = time.monotonic() + CHILD_TIMEOUT_S
    while True:
        done, status = os.waitpid(child, os.WNOHANG)
        if done:
            return status
        if time.monotonic() >= end:
            os.kill(child, signal.SIGKILL)
            return os.waitpid(child, 0)[1]
        time.sleep(0.001)


def replace_store(stored: Iterable[tuple[bytes, bytes]], path: Path, size: int) -> None:
    """Write a store from pairs, beside it first and then in its place; raises StoreError."""
    fresh = path.with_name(path.name + ".new")
    remove_files(fresh)
    with _translate_errors("write"):
        environment = _open(fresh, size, sync=True, write=True)
        with environment.begin(write=True) as transaction:
            for key, value in stored:
                transaction.put(key, value)
        environment.close()
        remove_files(path, keep=True)
        os.replace(fresh, path)
        remove_files(fresh)


@contextmanager
def exclusive_writer(path: Path) -> Iterator[None]:
    """Be the process that writes; raises StoreError where a balancer is."""
    with _translate_errors("lock"):
        lock = _take_lock(path)
    if lock is None:
        raise StoreError(f"{path}: a balancer writes there; stop it first")
    try:
        yield
    finally:
        os.close(lock)


def free_bytes(path: Path) -> int:
    """Bytes free where a store is, for `puffinford state verify`."""
    found = os.statvfs(path.parent)
    return found.f_bavail * found.f_frsize
