"""System call errors caused by a short local shortage of ports, buffers, memory or descriptors.

The error numbers are those documented for socket(2), connect(2), accept(2), send(2) and recv(2) on Linux. A
call that fails with one of them is retried after a pause and does not count as a failure of the peer.
"""

from __future__ import annotations

import errno
from collections.abc import Callable
from typing import TypeVar

from puffinford.core.clock import Clock

T = TypeVar("T")

LOCAL_SHORTAGE_ERRNOS = frozenset(
    (
        errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.EADDRINUSE,
        errno.EAGAIN,
    )
)  # fmt: skip
# Without EMFILE, because the process's own descriptors are limited by a budget.
TRANSIENT_ERRNOS = LOCAL_SHORTAGE_ERRNOS - {errno.EMFILE} | {errno.ENETUNREACH}
RETRY_PAUSES_MS = (
    10.0,
    20.0,
    40.0,
    80.0,
    160.0,
    320.0,
)


def is_transient(failure: BaseException) -> bool:
    """Whether an exception or one of its causes has one of TRANSIENT_ERRNOS."""
    cause: BaseException | None = failure
    while cause is not None:
        if isinstance(cause, OSError) and cause.errno in TRANSIENT_ERRNOS:
            return True
        cause = cause.__cause__
    return False


async def retry_transient(call: Callable[[], T], clock: Clock) -> T:
    """Return the result of a call, retried while it fails with a transient error; raises the last error."""
    for pause in RETRY_PAUSES_MS:
        try:
            return call()
        except OSError as exc:
            if not is_transient(exc):
                raise
        await clock.sleep(pause)
    return call()
