"""Connections to servers: made, tried again after a lack of the moment, or given up."""

from __future__ import annotations

import errno
import logging
import socket
from dataclasses import dataclass

import anyio

from puffinford.core.clock import Clock
from puffinford.core.transient_errors import LOCAL_SHORTAGE_ERRNOS, RETRY_PAUSES_MS, TRANSIENT_ERRNOS
from puffinford.fronts.sockets import DescriptorBudget, OwnLack, TcpStream, socket_address

log = logging.getLogger("puffinford.fronts.sockets")  # operators find these lines by `from`

CONNECT_PAUSES = RETRY_PAUSES_MS[:3]  # the same for a connect, which another server may take


async def connect(address: tuple[str, int], clock: Clock, budget: DescriptorBudget) -> TcpStream | None:
    """A connection, or None where it is refused or unreachable; raises OwnLack.

    Guards sound servers, and clients, against what this machine lacks for a moment: it is waited out first.
    """
    made = await _connect_once(address, clock, budget)
    for pause in CONNECT_PAUSES:
        if isinstance(made, TcpStream) or made.errno not in TRANSIENT_ERRNOS:
            break
        await clock.sleep(pause)
        made = await _connect_once(address, clock, budget)
    if isinstance(made, TcpStream):
        return made
    own = made.of_socket or made.errno in LOCAL_SHORTAGE_ERRNOS
    error = errno.errorcode.get(made.errno, str(made.errno))
    told = {"to": "{}:{}".format(*address), "error": error}
    log.log(logging.WARNING if own else logging.INFO, "connect failed", extra=told)
    if own:
        raise OwnLack(made.errno)
    return None


@dataclass(frozen=True, slots=True)
class _Failure:
    """Why a connection was not made; `of_socket`: there was not even a socket for it."""

    errno: int
    of_socket: bool = False


async def _connect_once(
    address: tuple[str, int], clock: Clock, budget: DescriptorBudget
) -> TcpStream | _Failure:
    family, target = socket_address(*address)
    try:
        sock = socket.socket(family, socket.SOCK_STREAM)
    except OSError as exc:
        return _Failure(exc.errno or errno.EIO, of_socket=True)
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
