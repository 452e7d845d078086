"""The addresses at which a process listens, and who accepts there."""

from __future__ import annotations

import logging
import socket
from collections.abc import Callable
from dataclasses import dataclass

import anyio
import anyio.abc

from puffinford.config import Config
from puffinford.core.clock import Clock
from puffinford.fronts.accepting import (
    MAX_ACCEPTS_PER_TURN,
    ConnectionTracker,
    Handler,
    accept_connections,
    bind,
    inherited_listener,
    local_address,
)

log = logging.getLogger("puffinford.serve")  # operators find these lines by `from`

MAY_ACCEPT_LOOK = 50.0  # ms between looks whether a front may accept yet

Bound = list[tuple["Front", socket.socket]]  # fronts with the listeners of their new addresses


@dataclass
class Front:
    """One listening address and what serves the connections that come there."""

    name: str
    handle: Handler
    tracker: ConnectionTracker
    turn: int = MAX_ACCEPTS_PER_TURN
    turn_away: Handler | None = None  # answers those who find no place
    address: tuple[str, int] | None = None
    scope: anyio.CancelScope | None = None  # ends the listening; what was accepted stays
    listeners: int = 0  # that accept, or take what waits at an address given up

    def stop(self) -> bool:
        """Listen no more; tells whether it did until now."""
        if self.scope is None or self.scope.cancel_called:
            return False
        self.scope.cancel()
        return True


class Listening:
    """Binds and listens where a configuration says, and accepts into a task group of the caller's."""

    def __init__(
        self,
        config: Config,
        clock: Clock,
        lines: Front,
        channels: Front,
        management: Front,
        may_accept: Callable[[], bool],
    ) -> None:
        """`may_accept` tells whether clients are accepted yet; callers of the second address always are."""
        self._home = config.listen
        self._socket_fd = config.socket_fd
        self._clock = clock
        self.lines = lines
        self.channels = channels
        self._management = management
        self._may_accept = may_accept

    @property
    def fronts(self) -> tuple[Front, Front]:
        """Those for clients."""
        return self.lines, self.channels

    @property
    def ended(self) -> bool:
        """Whether nobody accepts clients any more, nor takes what waits at an address given up."""
        return not any(front.listeners for front in self.fronts)

    def stop(self) -> None:
        """Listen for no more clients."""
        for front in self.fronts:
            front.stop()

    def bind(self, config: Config) -> Bound:
        """Listeners where a front's address is new; raises OSError, and then none is left open."""
        made: Bound = []
        try:
            for front, address in self._wanted(config):
                if address is not None and address != front.address:
                    made.append((front, self._bind_one(front, address)))
        except OSError:
            for _, listener in made:
                listener.close()
            raise
        return made

    def listen(
        self,
        config: Config,
        made: Bound,
        tasks: anyio.abc.TaskGroup,
        connections: anyio.abc.TaskGroup,
    ) -> None:
        """Listen at the new addresses and no longer at those that are not wanted.

        Accepting runs in `tasks`, what was accepted in `connections`.
        """
        for front, address in self._wanted(config):
            if address != front.address:
                front.address = address
                front.stop()
                front.scope = anyio.CancelScope()
        for front, listener in made:
            assert front.scope is not None
            tasks.start_soon(self._accept, front, listener, front.scope, connections)
            told = {"balancer": config.name, "front": front.name, "listen": local_address(listener)}
            log.info("serving", extra=told)

    def _wanted(self, config: Config) -> list[tuple[Front, tuple[str, int] | None]]:
        return [
            (self.lines, config.listen),
            (self.channels, config.channels),
            (self._management, config.mgmt),
        ]

    def _from_platform(self, front: Front, address: tuple[str, int] | None) -> bool:
        """Whether the platform holds the listening socket there."""
        return self._socket_fd is not None and front is self.lines and address == self._home

    def _bind_one(self, front: Front, address: tuple[str, int]) -> socket.socket:
        if self._from_platform(front, address):
            assert self._socket_fd is not None
            return inherited_listener(self._socket_fd)
        return bind(address, share_port=front is self.channels and self._socket_fd is not None)

    async def _accept(
        self,
        front: Front,
        listener: socket.socket,
        scope: anyio.CancelScope,
        connections: anyio.abc.TaskGroup,
    ) -> None:
        """Accept at a front, beside an earlier version only once this one can serve."""
        shared = self._from_platform(front, front.address)
        if front is not self._management:
            while not (self._may_accept() or scope.cancel_called):
                await self._clock.sleep(MAY_ACCEPT_LOOK)
        front.listeners += 1
        given = (listener, front.handle, front.tracker, connections, scope, front.turn, shared)
        try:
            await accept_connections(*given, front.turn_away)
        finally:
            front.listeners -= 1
