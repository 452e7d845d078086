"""Helper processes of a measurement, and the processor time and memory of any process.

A helper process reads one command per line from standard input and answers each with a line of JSON.
"""

from __future__ import annotations

import contextlib
import json
import os
import subprocess
import sys
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any

import anyio

from benchmarks.scale.samples import SizeNotReached

MIB = 2.0**20
_NS = 1e9
_STOP_TIMEOUT_S = 5.0


def cpu_seconds(pid: int) -> float:
    """Return the processor time (s) of all threads of a process, from the scheduler's count in ns."""
    total = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        with contextlib.suppress(FileNotFoundError):
            total += int((task / "schedstat").read_text().split()[0])
    return total / _NS


def resident_mib(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / MIB


class HelperProcess:
    """A module of this package that runs as a helper process."""

    def __init__(self, module: str, *arguments: object) -> None:
        self.module = module
        command = [sys.executable, "-m", f"benchmarks.scale.{module}", *map(str, arguments)]
        self._process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        self.ready = self._answer()  # the first line, which the helper writes when it is ready

    @property
    def pid(self) -> int:
        return self._process.pid

    def send_command(self, *arguments: object) -> Any:
        """Send a command and return the answer. Raises SizeNotReached if the process has exited."""
        assert self._process.stdin is not None
        with contextlib.suppress(BrokenPipeError):
            self._process.stdin.write(" ".join(map(str, arguments)).encode() + b"\n")
            self._process.stdin.flush()
        return self._answer()

    def _answer(self) -> Any:
        assert self._process.stdout is not None
        line = self._process.stdout.readline()
        if not line:
            raise SizeNotReached(f"{self.module}: helper process exited with code {self._process.wait()}")
        return json.loads(line)

    def stop(self) -> None:
        """Close its standard input, which makes it exit; kill it after _STOP_TIMEOUT_S."""
        assert self._process.stdin is not None and self._process.stdout is not None
        with contextlib.suppress(BrokenPipeError):
            self._process.stdin.close()
        try:
            self._process.wait(_STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()
        self._process.stdout.close()


@contextlib.contextmanager
def helper_process(module: str, *arguments: object) -> Iterator[HelperProcess]:
    """Yield a helper process and stop it on exit."""
    process = HelperProcess(module, *arguments)
    try:
        yield process
    finally:
        process.stop()


async def serve_commands(handle: Callable[[list[str]], Awaitable[object]], ready: object) -> None:
    """Run in the helper process: print `ready`, then answer commands until standard input is closed."""
    print(json.dumps(ready), flush=True)
    while True:
        line = await anyio.to_thread.run_sync(sys.stdin.readline, abandon_on_cancel=True)
        if not line:
            return
        print(json.dumps(await handle(line.split())), flush=True)
