"""Opening TCP connections to servers, with retries after transient local errors."""

from __future__ import annotations

import errno
import logging
import socket
from dataclasses import dataclass

import anyio

from puffinford.core.clock import Clock
from puffinford.core.transient_errors import LOCAL_SHORTAGE_ERRNOS, RETRY_PAUSES_MS, TRANSIENT_ERRNOS
from puffinford.fronts.sockets import DescriptorBudget, LocalShortage, TcpStream, socket_address

log = logging.getLogger("puffinford.fronts.sockets")  # the name that operators filter logs by

CONNECT_RETRY_PAUSES_MS = RETRY_PAUSES_MS[:3]  # fewer retries: another server can be tried


async def connect(address: tuple[str, int], clock: Clock, budget: DescriptorBudget) -> TcpStream | None:
    """Return a connection, or None if the server refuses it or is unreachable.

    Raises LocalShortage if this host is short of a resource; transient errors are retried first, so that they
    do not make a healthy server count as failed.
    """
    result = await _connect_once(address, clock, budget)
    for pause in CONNECT_RETRY_PAUSES_MS:
        if isinstance(result, TcpStream) or result.errno not in TRANSIENT_ERRNOS:
            break
        await clock.sleep(pause)
        result = await _connect_once(address, clock, budget)
    if isinstance(result, TcpStream):
        return result
    is_local = result.no_socket or result.errno in LOCAL_SHORTAGE_ERRNOS
    error = errno.errorcode.get(result.errno, str(result.errno))
    fields = {"to": "{}:{}".format(*address), "error": error}
    log.log(logging.WARNING if is_local else logging.INFO, "connect failed", extra=fields)
    if is_local:
        raise LocalShortage(result.errno)
    return None


@dataclass(frozen=True, slots=True)
class _Failure:
    """Why a connection failed; `no_socket` if socket(2) itself failed."""

    errno: int
    no_socket: bool = False


async def _connect_once(
    address: tuple[str, int], clock: Clock, budget: DescriptorBudget
) -> TcpStream | _Failure:
    family, target = socket_address(*address)
    try:
        sock = socket.socket(family, socket.SOCK_STREAM)
    except OSError as exc:
        return _Failure(exc.errno or errno.EIO, no_socket=True)
    stream = TcpStream(sock, clock, budget)
    try:
        error = sock.connect_ex(target)
        if error == errno.EINPROGRESS:
            await anyio.wait_writable(sock)
            error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    except OSError as exc:
        error = exc.errno or errno.EIO
    except BaseException:
        stream.close()
        raise
    if not error:
        return stream
    stream.close()
    return _Failure(error)
