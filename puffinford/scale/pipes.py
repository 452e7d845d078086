"""The lines between a driver and its processes, over their standard input and output."""

from __future__ import annotations

import os
import sys
from collections.abc import AsyncIterator
from pathlib import Path

import anyio

from puffinford.scale.messages import encode

READ = 1 << 16


async def lines_from(descriptor: int) -> AsyncIterator[bytes]:
    """Lines of a pipe, until its other end is closed."""
    os.set_blocking(descriptor, False)
    rest = b""
    while True:
        await anyio.wait_readable(descriptor)
        piece = os.read(descriptor, READ)
        if not piece:
            return
        *lines, rest = (rest + piece).split(b"\n")
        for line in lines:
            yield line


def tell(message: object) -> None:
    """Write a message to the driver, which reads at once: what waits for it is late itself."""
    sys.stdout.buffer.write(encode(message))
    sys.stdout.buffer.flush()


def resident(pid: int | str = "self") -> int:
    """Bytes of memory that a process holds."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def cpu_seconds(pid: int | str = "self") -> float:
    """Processor time that a process has taken, in seconds, by the kernel's count."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
