"""Line-based pipes between the driver and its processes, and the processes' resource usage."""

from __future__ import annotations

import os
import sys
from collections.abc import AsyncIterator
from pathlib import Path

import anyio

from puffinford.scale.messages import encode

READ_SIZE_BYTES = 1 << 16


async def read_lines(descriptor: int) -> AsyncIterator[bytes]:
    """Yield the lines of a pipe, without line ends, until its other end is closed."""
    os.set_blocking(descriptor, False)
    remainder = b""
    while True:
        await anyio.wait_readable(descriptor)
        chunk = os.read(descriptor, READ_SIZE_BYTES)
        if not chunk:
            return
        *lines, remainder = (remainder + chunk).split(b"\n")
        for line in lines:
            yield line


def send_to_driver(message: object) -> None:
    """Write a message to standard output. This blocks the event loop while the pipe is full."""
    sys.stdout.buffer.write(encode(message))
    sys.stdout.buffer.flush()


def resident_bytes(pid: int | str = "self") -> int:
    """Return the resident memory of a process in bytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def cpu_seconds(pid: int | str = "self") -> float:
    """Return the user and system CPU time of a process in seconds, from /proc."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
