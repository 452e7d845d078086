"""Listening sockets: binds them as the configuration says and accepts connections for each front."""

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

log = logging.getLogger("puffinford.serve")  # keeps the `from` field that operators search for

MAY_ACCEPT_POLL_INTERVAL_MS = 50.0

BoundListeners = list[tuple["Front", socket.socket]]  # newly bound fronts


@dataclass
class Front:
    """One listening address and the handler of its connections."""

    name: str
    handle: Handler
    tracker: ConnectionTracker
    accepts_per_turn: int = MAX_ACCEPTS_PER_TURN
    turn_away: Handler | None = None  # answers connections beyond the descriptor budget
    address: tuple[str, int] | None = None
    scope: anyio.CancelScope | None = None  # cancels listening; accepted connections stay
    acceptors: int = 0  # running accept loops, including those that empty the backlog of a former address

    def stop(self) -> bool:
        """Stop listening; return whether the front was listening until now."""
        if self.scope is None or self.scope.cancel_called:
            return False
        self.scope.cancel()
        return True


class ListenerManager:
    """Binds the configured addresses and accepts connections into the caller's task group."""

    def __init__(
        self,
        config: Config,
        clock: Clock,
        lines: Front,
        channels: Front,
        management: Front,
        may_accept: Callable[[], bool],
    ) -> None:
        """Clients are accepted once `may_accept` returns true; management callers are accepted at once."""
        self._initial_address = config.listen
        self._socket_fd = config.socket_fd
        self._clock = clock
        self.lines = lines
        self.channels = channels
        self._management = management
        self._may_accept = may_accept

    @property
    def fronts(self) -> tuple[Front, Front]:
        """The fronts that serve clients."""
        return self.lines, self.channels

    @property
    def all_stopped(self) -> bool:
        """Whether every accept loop for clients has ended, including those that empty a backlog."""
        return not any(front.acceptors for front in self.fronts)

    def stop(self) -> None:
        """Stop listening for clients."""
        for front in self.fronts:
            front.stop()

    def bind(self, config: Config) -> BoundListeners:
        """Bind each front whose address is new. Raises OSError, having closed what was bound."""
        bound: BoundListeners = []
        try:
            for front, address in self._configured_addresses(config):
                if address is not None and address != front.address:
                    bound.append((front, self._bind_one(front, address)))
        except OSError:
            for _, listener in bound:
                listener.close()
            raise
        return bound

    def listen(
        self,
        config: Config,
        bound: BoundListeners,
        tasks: anyio.abc.TaskGroup,
        connections: anyio.abc.TaskGroup,
    ) -> None:
        """Listen at the newly bound addresses, and stop listening at addresses no longer configured.

        Accept loops run in `tasks`, connection handlers in `connections`.
        """
        for front, address in self._configured_addresses(config):
            if address != front.address:
                front.address = address
                front.stop()
                front.scope = anyio.CancelScope()
        for front, listener in bound:
            assert front.scope is not None
            tasks.start_soon(self._accept, front, listener, front.scope, connections)
            fields = {"balancer": config.name, "front": front.name, "listen": local_address(listener)}
            log.info("serving", extra=fields)

    def _configured_addresses(self, config: Config) -> list[tuple[Front, tuple[str, int] | None]]:
        return [
            (self.lines, config.listen),
            (self.channels, config.channels),
            (self._management, config.mgmt),
        ]

    def _is_inherited(self, front: Front, address: tuple[str, int] | None) -> bool:
        """Whether the front listens on the socket inherited from the platform."""
        return self._socket_fd is not None and front is self.lines and address == self._initial_address

    def _bind_one(self, front: Front, address: tuple[str, int]) -> socket.socket:
        if self._is_inherited(front, address):
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
        """Accept connections at a front; client fronts wait until clients may be accepted."""
        inherited = self._is_inherited(front, front.address)
        if front is not self._management:
            while not (self._may_accept() or scope.cancel_called):
                await self._clock.sleep(MAY_ACCEPT_POLL_INTERVAL_MS)
        front.acceptors += 1
        arguments = (
            listener,
            front.handle,
            front.tracker,
            connections,
            scope,
            front.accepts_per_turn,
            inherited,
        )
        try:
            await accept_connections(*arguments, front.turn_away)
        finally:
            front.acceptors -= 1
