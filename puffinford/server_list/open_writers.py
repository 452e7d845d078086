"""Whether a file is open for writing, found with a lease of fcntl(2)."""

from __future__ import annotations

import errno
import fcntl
import os
import signal
from pathlib import Path


def has_writer(path: Path) -> bool:
    """Whether any process has the file open for writing.

    False also where the system cannot tell: a file of another user, a file system without leases, no file.
    """
    try:
        file = os.open(path, os.O_RDONLY | os.O_CLOEXEC | os.O_NONBLOCK)
    except OSError:
        return False
    try:
        # A writer that opens the file now is announced by a signal. SIGIO, the default, would end us.
        fcntl.fcntl(file, fcntl.F_SETSIG, signal.SIGURG)
        fcntl.fcntl(file, fcntl.F_SETLEASE, fcntl.F_RDLCK)
        fcntl.fcntl(file, fcntl.F_SETLEASE, fcntl.F_UNLCK)
    except OSError as exc:
        return exc.errno == errno.EAGAIN
    finally:
        os.close(file)
    return False
