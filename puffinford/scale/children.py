"""The driver's side of a child process of a scale run."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc

from puffinford.scale.messages import decode, encode

READ_SIZE_BYTES = 1 << 16
EXIT_TIMEOUT_S = 5.0  # then the process is killed


class ChildFailed(Exception):
    """A child process ended unexpectedly or cannot be reached."""


class Child:
    """A module run as a child process; each message that it sends is passed to `on_message`."""

    def __init__(
        self, module: str, spec: object, message_types: Any, on_message: Callable[[Any], None]
    ) -> None:
        """`spec` is sent as the first line of its input; `message_types` is the union of its messages."""
        self.module = module
        self._spec = spec
        self._message_types = message_types
        self._on_message = on_message
        self._process: anyio.abc.Process | None = None
        self._finishing = False
        self.output_closed = anyio.Event()

    @property
    def pid(self) -> int:
        """The process id; the process must have been started."""
        assert self._process is not None
        return self._process.pid

    async def run(self) -> None:
        """Run the process until it ends; raises ChildFailed unless `finish` was called before."""
        command = [sys.executable, "-m", self.module]
        async with await anyio.open_process(command, stderr=None, stdin=subprocess.PIPE) as process:
            self._process = process
            try:
                await self.send(self._spec)
                await self._listen(process)
            finally:
                await self._terminate(process)
        if not self._finishing:
            raise ChildFailed(f"{self.module} ended by itself with code {process.returncode}")

    async def _listen(self, process: anyio.abc.Process) -> None:
        assert process.stdout is not None
        remainder = b""
        async for chunk in process.stdout:
            *lines, remainder = (remainder + chunk).split(b"\n")
            for line in lines:
                self._on_message(decode(line, self._message_types))
        self.output_closed.set()

    async def _terminate(self, process: anyio.abc.Process) -> None:
        with anyio.CancelScope(shield=True), anyio.move_on_after(EXIT_TIMEOUT_S):
            if process.stdin is not None:
                await process.stdin.aclose()
            await process.wait()
        if process.returncode is None:
            process.kill()

    def kill(self) -> None:
        """Kill the process."""
        assert self._process is not None
        self._process.kill()

    async def send(self, message: object) -> None:
        """Send a message to the process; raises ChildFailed if it has not started or has ended."""
        if self._process is None or self._process.stdin is None:
            raise ChildFailed(f"{self.module} was not started")
        try:
            await self._process.stdin.send(encode(message))
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            raise ChildFailed(f"{self.module} has closed its input") from None

    async def finish(self, message: object) -> None:
        """Send the last message and wait until all messages of the process have been received."""
        self._finishing = True
        await self.send(message)
        await self.output_closed.wait()
