"""A process of a scale run, and what it says."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc

from puffinford.scale.messages import decode, encode

READ = 1 << 16
END_MOST_S = 5.0  # a process that does not end by itself is killed


class ChildFailed(Exception):
    """A process of the run ended by itself, or said what cannot be read."""


class Child:
    """A module run as a process; each message that it tells goes to `hear`."""

    def __init__(self, module: str, spec: object, kind: Any, hear: Callable[[Any], None]) -> None:
        """`spec` is its first line of input, `kind` the messages that it may tell."""
        self.module = module
        self._spec = spec
        self._kind = kind
        self._hear = hear
        self._process: anyio.abc.Process | None = None
        self._finishing = False
        self.ended = anyio.Event()

    @property
    def pid(self) -> int:
        """Of the process; it must have been started."""
        assert self._process is not None
        return self._process.pid

    async def run(self) -> None:
        """Start it and listen until it ends; raises ChildFailed where nobody had told it to."""
        command = [sys.executable, "-m", self.module]
        async with await anyio.open_process(command, stderr=None, stdin=subprocess.PIPE) as process:
            self._process = process
            try:
                await self.tell(self._spec)
                await self._listen(process)
            finally:
                await self._end(process)
        if not self._finishing:
            raise ChildFailed(f"{self.module} ended by itself with code {process.returncode}")

    async def _listen(self, process: anyio.abc.Process) -> None:
        assert process.stdout is not None
        rest = b""
        async for piece in process.stdout:
            *lines, rest = (rest + piece).split(b"\n")
            for line in lines:
                self._hear(decode(line, self._kind))
        self.ended.set()

    async def _end(self, process: anyio.abc.Process) -> None:
        with anyio.CancelScope(shield=True), anyio.move_on_after(END_MOST_S):
            if process.stdin is not None:
                await process.stdin.aclose()
            await process.wait()
        if process.returncode is None:
            process.kill()

    def kill(self) -> None:
        """End it at once."""
        assert self._process is not None
        self._process.kill()

    async def tell(self, message: object) -> None:
        """Send it a message; raises ChildFailed where it has ended."""
        if self._process is None or self._process.stdin is None:
            raise ChildFailed(f"{self.module} was not started")
        try:
            await self._process.stdin.send(encode(message))
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            raise ChildFailed(f"{self.module} takes no message") from None

    async def finish(self, message: object) -> None:
        """Tell it to end, and wait until all that it said has been heard."""
        self._finishing = True
        await self.tell(message)
        await self.ended.wait()
