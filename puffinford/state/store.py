"""The store on LMDB: one file with a single writing process and any number of readers.

A durable store is rebuilt from its valid records at each start, which also compacts it. A child process reads
the old file: LMDB maps it into memory, and a corrupted page can crash the reader.
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
from puffinford.state.records import HEALTH_PREFIX, LIST_KEY, SERVER_PREFIX, StoreContents

MIN_MAP_BYTES = 64 << 10  # LMDB needs several pages even for an empty store
CHILD_TIMEOUT_S = 10.0  # for the child that reads a store; after that the store counts as unreadable
MAX_READERS = 16  # processes that may read concurrently

Pairs = Mapping[bytes, bytes | None]  # values by key; None deletes the key


class StoreError(Exception):
    """A file or LMDB operation failed; the message says which and why. The last commit is unaffected."""


class StoreFullError(StoreError):
    """The store has reached its size limit, or its disk is full."""


class Verdict(IntEnum):
    """The result of reading a store in a child process; the values are its exit codes."""

    SOUND = 0
    UNREADABLE = 10
    NEWER = 11
    FULL = 12


@dataclass(frozen=True)
class Rebuild:
    """A rebuild that lost records; `quarantined_path` is the old file where an empty store replaced it."""

    verdict: Verdict
    quarantined_path: str = ""
    reason: str = ""


def lock_path(path: Path) -> Path:
    """Return the path of the file that the writing process locks."""
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


def _read(environment: lmdb.Environment) -> StoreContents:
    stored = StoreContents()
    with environment.begin(buffers=True) as transaction:
        for key, value in transaction.cursor():
            records.load_pair(stored, bytes(key), bytes(value))
    return stored


@contextmanager
def _translate_errors(operation: str) -> Iterator[None]:
    """Raise errors of LMDB and the system as StoreError, naming the operation."""
    try:
        yield
    except (lmdb.MapFullError, lmdb.DiskError) as exc:
        raise StoreFullError(f"{operation}: {exc}") from None
    except (lmdb.Error, OSError) as exc:
        # LMDB reports errno only in its text.
        full_disk_errors = (errno.ENOSPC, errno.EFBIG, errno.EDQUOT)
        full = any(os.strerror(number) in str(exc) for number in full_disk_errors)
        raise (StoreFullError if full else StoreError)(f"{operation}: {exc}") from None


class Store:
    """An open store, created by `open_store`. Not thread-safe."""

    def __init__(self, path: Path, environment: lmdb.Environment, lock: int | None, sync: bool) -> None:
        self.path = path
        self._environment = environment
        self._map_size = int(environment.info()["map_size"])
        self._lock = lock
        self._sync = sync

    @property
    def is_writer(self) -> bool:
        """Whether this process holds the write lock."""
        return self._lock is not None

    def read(self) -> StoreContents:
        """Return all valid records; raises StoreError."""
        with _translate_errors("read"):
            return _read(self._environment)

    def read_health(self) -> StoreContents:
        """Return the health records only; raises StoreError."""
        stored = StoreContents()
        with _translate_errors("read"), self._environment.begin(buffers=True) as transaction:
            cursor = transaction.cursor()
            if cursor.set_range(HEALTH_PREFIX):
                for key, value in cursor:
                    if not bytes(key).startswith(HEALTH_PREFIX):
                        break
                    records.load_pair(stored, bytes(key), bytes(value))
        return stored

    def write(self, pairs: Pairs) -> float:
        """Commit the pairs in one transaction and return its duration in ms; raises StoreError."""
        if not self.is_writer:
            raise StoreError("write: this process does not hold the write lock")
        started = time.perf_counter()
        with _translate_errors("write"):
            try:
                self._put(pairs)
            except lmdb.MapFullError:
                # Frees the pages held by readers that were killed: LMDB does not reuse them before
                # reader_check() has removed such readers from its table.
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
        """Take the write lock if it is free; return whether this process holds it.

        Raises StoreError without holding the lock; the call can be repeated.
        """
        if self._lock is None:
            with _translate_errors("lock"):
                lock = _take_lock(self.path)
            if lock is not None:
                self._reopen_to_write(lock)
        return self.is_writer

    def release_write_lock(self) -> None:
        """Let another process write; this one can still read."""
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None

    def _reopen_to_write(self, lock: int) -> None:
        """Reopen the file for writing; the caller holds the write lock."""
        try:
            with _translate_errors("open"):
                self._environment.close()  # a process may not open an LMDB file twice
                self._environment = _open(self.path, self._map_size, sync=self._sync, write=True)
        except StoreError:
            os.close(lock)
            raise
        self._lock = lock

    def close(self) -> None:
        """Close the file and release the lock."""
        self._environment.close()
        self.release_write_lock()

    def used_bytes(self) -> int:
        """Return the bytes of all pages allocated so far, free ones included."""
        info, stat = self._environment.info(), self._environment.stat()
        return (int(info["last_pgno"]) + 1) * int(stat["psize"])


def _take_lock(path: Path) -> int | None:
    """Take the write lock and return its descriptor, which holds it; None if another process has it."""
    descriptor = os.open(lock_path(path), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(descriptor)
        return None
    return descriptor


def open_store(path: Path, size: int, *, durable: bool) -> tuple[Store, Rebuild | None]:
    """Open or create a store. The first process writes; later ones read.

    `size` is the maximum file size in bytes. A `durable` store is synced at each commit, and rebuilt first if
    this process writes. Raises StoreError.
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


def inspect(path: Path) -> StoreContents:
    """Return the records of a store, for tools; works while a balancer uses the store. Raises StoreError.

    A child process reads the file, since a corrupted one can crash its reader.
    """
    if not path.exists():
        raise StoreError(f"{path}: no such store")
    with tempfile.TemporaryDirectory() as directory, _translate_errors("read"):
        copy = Path(directory) / "copy"
        verdict, reason = _in_child(lambda: _copy(path, copy, lock=True, keep_all=True))
        if verdict is not Verdict.SOUND:
            raise StoreError(f"{path}: cannot be read: {reason}")
        environment = _open(copy, 0, sync=False, write=False)
        try:
            return _read(environment)
        finally:
            environment.close()


def rebuild(path: Path, size: int) -> Rebuild | None:
    """Rebuild a store from its valid records; None if none was lost. The caller holds the write lock.

    An unreadable store is renamed to `NAME.bad`, one of a later release to `NAME.newer`; an empty store
    replaces it. Raises OSError.
    """
    new_path = path.with_name(path.name + ".new")
    remove_files(new_path)
    verdict, reason = _in_child(lambda: _copy(path, new_path, size))
    if verdict in (Verdict.SOUND, Verdict.FULL):
        remove_files(path, keep=True)
        os.replace(new_path, path)
        remove_files(new_path)
        return Rebuild(verdict, reason=reason) if reason else None
    remove_files(new_path)
    quarantined_path = path.with_name(path.name + (".newer" if verdict is Verdict.NEWER else ".bad"))
    os.replace(path, quarantined_path)
    remove_files(path)
    return Rebuild(verdict, str(quarantined_path), reason)


def remove_files(path: Path, *, keep: bool = False) -> None:
    """Delete LMDB's lock file and, unless `keep` is set, the store's file."""
    for name in ([] if keep else [path]) + [path.with_name(path.name + "-lock")]:
        with contextlib.suppress(FileNotFoundError):
            name.unlink()


def _copy(
    source: Path, target: Path, size: int | None = None, *, lock: bool = False, keep_all: bool = False
) -> tuple[Verdict, str]:
    """Copy the valid records of a store into a new one. Runs in a child process.

    Records are written by importance, in case the new size is too small: the list, its servers, health, and
    servers that left. `keep_all` copies invalid records too; `lock` allows concurrent writes to the source.
    """
    try:
        old = _open(source, 0, sync=False, write=False, lock=lock)
        with old.begin() as transaction:
            pairs = [(bytes(key), bytes(value)) for key, value in transaction.cursor()]
    except lmdb.Error as exc:
        return Verdict.UNREADABLE, str(exc)
    stored = StoreContents()
    valid: list[tuple[int, bytes, bytes]] = []
    for key, value in pairs:
        rejected_before = len(stored.rejected)
        records.load_pair(stored, key, value)
        if keep_all or len(stored.rejected) == rejected_before:
            valid.append((_rank(key, stored), key, value))
    if stored.newer_schema and not keep_all:
        return Verdict.NEWER, f"schema {stored.newer_schema} is newer than {records.SCHEMA}"
    valid.sort(key=lambda entry: entry[0])
    new = _open(target, size or max(1 << 20, 4 * source.stat().st_size), sync=False, write=True)
    verdict, reason = Verdict.SOUND, "; ".join(stored.rejected[:3])
    try:
        # Written in batches: a transaction that fills the store is lost entirely.
        for start in range(0, len(valid), 256):
            with new.begin(write=True) as transaction:
                for _, key, value in valid[start : start + 256]:
                    transaction.put(key, value)
    except lmdb.MapFullError:
        verdict, reason = Verdict.FULL, f"{len(valid)} records exceed the configured size"
    new.sync(True)
    new.close()
    return verdict, reason


def _rank(key: bytes, stored: StoreContents) -> int:
    if key == LIST_KEY:
        return 0
    if key.startswith(SERVER_PREFIX):
        latest = next(reversed(stored.servers.values()), None)
        return 3 if latest is not None and latest[0].state == "left" else 1
    return 2


def _in_child(work: Callable[[], tuple[Verdict, str]]) -> tuple[Verdict, str]:
    """Run `work` in a child process; one that crashes or times out means an unreadable store."""
    read_end, write_end = os.pipe()
    child = os.fork()
    if child == 0:  # pragma: no cover - another process
        code = int(Verdict.UNREADABLE)
        faulthandler.disable()  # a crash is an expected result here: print no traceback
        try:
            verdict, reason = work()
            os.write(write_end, reason.encode("utf-8", "replace")[:4_000])
            code = int(verdict)
        except BaseException as exc:
            with contextlib.suppress(OSError):
                os.write(write_end, f"{type(exc).__name__}: {exc}".encode()[:4_000])
        finally:
            os._exit(code)
    os.close(write_end)
    status = _wait(child)
    with os.fdopen(read_end, "rb") as pipe:
        os.set_blocking(read_end, False)
        reason = (pipe.read() or b"").decode("utf-8", "replace")
    if os.WIFSIGNALED(status):
        return Verdict.UNREADABLE, f"reader process ended by {signal.Signals(os.WTERMSIG(status)).name}"
    code = os.WEXITSTATUS(status)
    is_known = code in [verdict.value for verdict in Verdict]
    return Verdict(code) if is_known else Verdict.UNREADABLE, reason


def _wait(child: int) -> int:
    """Return the child's exit status; it is killed after CHILD_TIMEOUT_S."""
    deadline = time.monotonic() + CHILD_TIMEOUT_S
    while True:
        finished, status = os.waitpid(child, os.WNOHANG)
        if finished:
            return status
        if time.monotonic() >= deadline:
            os.kill(child, signal.SIGKILL)
            return os.waitpid(child, 0)[1]
        time.sleep(0.001)


def replace_store(stored: Iterable[tuple[bytes, bytes]], path: Path, size: int) -> None:
    """Replace a store atomically by one with these pairs; raises StoreError."""
    new_path = path.with_name(path.name + ".new")
    remove_files(new_path)
    with _translate_errors("write"):
        environment = _open(new_path, size, sync=True, write=True)
        with environment.begin(write=True) as transaction:
            for key, value in stored:
                transaction.put(key, value)
        environment.close()
        remove_files(path, keep=True)
        os.replace(new_path, path)
        remove_files(new_path)


@contextmanager
def exclusive_writer(path: Path) -> Iterator[None]:
    """Hold the write lock; raises StoreError while a balancer holds it."""
    with _translate_errors("lock"):
        lock = _take_lock(path)
    if lock is None:
        raise StoreError(f"{path}: a running balancer holds the write lock; stop it first")
    try:
        yield
    finally:
        os.close(lock)


def free_bytes(path: Path) -> int:
    """Return the free bytes of the file system of a store."""
    statistics = os.statvfs(path.parent)
    return statistics.f_bavail * statistics.f_frsize
