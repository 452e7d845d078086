"""Helper processes of a measurement, which are told what to do in lines, and the cost of any process.

Each helper reads commands from its standard input, a line each, and answers each with a line of JSON.
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

from benchmarks.scale.samples import NotHeld

MIB = 2.0**20
_NS = 1e9
_END_WITHIN = 5.0  # seconds


def cpu_seconds(pid: int) -> float:
    """Seconds of processor time that all threads of a process have taken, by the scheduler's count of ns."""
    total = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        with contextlib.suppress(FileNotFoundError):
            total += int((task / "schedstat").read_text().split()[0])
    return total / _NS


def resident_mib(pid: int) -> float:
    """Memory that a process holds."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / MIB


class Helper:
    """A module of this package as a process of its own."""

    def __init__(self, module: str, *words: object) -> None:
        self.module = module
        command = [sys.executable, "-m", f"benchmarks.scale.{module}", *map(str, words)]
        self._process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        self.ready = self._answer()  # the helper's first line, written once it is there

    @property
    def pid(self) -> int:
        return self._process.pid

    def ask(self, *words: object) -> Any:
        """Tell it a command; what it answers. Raises NotHeld where it has ended."""
        assert self._process.stdin is not None
        with contextlib.suppress(BrokenPipeError):
            self._process.stdin.write(" ".join(map(str, words)).encode() + b"\n")
            self._process.stdin.flush()
        return self._answer()

    def _answer(self) -> Any:
        assert self._process.stdout is not None
        line = self._process.stdout.readline()
        if not line:
            raise NotHeld(f"{self.module}: its process ended with {self._process.wait()}")
        return json.loads(line)

    def stop(self) -> None:
        """End it: it ends by itself when its input ends."""
        assert self._process.stdin is not None and self._process.stdout is not None
        with contextlib.suppress(BrokenPipeError):
            self._process.stdin.close()
        try:
            self._process.wait(_END_WITHIN)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()
        self._process.stdout.close()


@contextlib.contextmanager
def helper(module: str, *words: object) -> Iterator[Helper]:
    """A helper process for as long as the scope lasts."""
    made = Helper(module, *words)
    try:
        yield made
    finally:
        made.stop()


async def obey(handle: Callable[[list[str]], Awaitable[object]], ready: object) -> None:
    """The helper's side: say that it is there, then answer commands until its input ends."""
    print(json.dumps(ready), flush=True)
    while True:
        line = await anyio.to_thread.run_sync(sys.stdin.readline, abandon_on_cancel=True)
        if not line:
            return
        print(json.dumps(await handle(line.split())), flush=True)
