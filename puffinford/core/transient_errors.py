"""What this machine may lack for a moment: ports, buffers, memory, places in the system's tables.

The error numbers are those that Linux documents for socket(2), connect(2), accept(2), send(2) and recv(2).
A call that failed with one of them is made again after a pause; the peer has done nothing amiss.
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
# Failures that may be over in a moment, and none of the peer's; of descriptors the budget keeps count.
TRANSIENT_ERRNOS = LOCAL_SHORTAGE_ERRNOS - {errno.EMFILE} | {errno.ENETUNREACH}
RETRY_PAUSES_MS = (
    10.0,
    20.0,
    40.0,
    80.0,
    160.0,
    320.0,
)  # ms before a call is made again; no line is held 1 s


def is_transient(failure: BaseException) -> bool:
    """Whether a failure, or what a library gives as its cause, is a lack of the moment."""
    cause: BaseException | None = failure
    while cause is not None:
        if isinstance(cause, OSError) and cause.errno in TRANSIENT_ERRNOS:
            return True
        cause = cause.__cause__
    return False


async def retry_transient(call: Callable[[], T], clock: Clock) -> T:
    """What a call gives, made again while it fails for a lack of the moment; raises the last failure."""
    for pause in RETRY_PAUSES_MS:
        try:
            return call()
        except OSError as exc:
            if not is_transient(exc):
                raise
        await clock.sleep(pause)
    return call()
