"""Reading of files that operators or other processes replace while this process serves."""

from __future__ import annotations

import io
import os
import stat
from pathlib import Path


class UnusableFile(OSError):
    """The file is not a regular file, or is too long; the text gives the reason."""


def read_regular_file(path: Path, max_bytes: int) -> bytes:
    """Return the content of a regular file of at most `max_bytes`; raises OSError.

    Prevents a FIFO or a device in the file's place from blocking the process, and a huge file from using up
    its memory.
    """
    with io.open(path, "rb", opener=_open_without_waiting) as file:  # noqa: UP020 - fault plans replace it
        if not stat.S_ISREG(os.fstat(file.fileno()).st_mode):
            raise UnusableFile("not a regular file")
        content: bytes = file.read(max_bytes + 1)
    if len(content) > max_bytes:
        raise UnusableFile(f"longer than {max_bytes} bytes")
    return content


def _open_without_waiting(path: str, flags: int) -> int:
    """Open a file; a FIFO without a writer is opened too, at once."""
    return os.open(path, flags | os.O_NONBLOCK)
