"""Clients of one balancer: clients that hold a connection until it shuts down, and crowds of idle clients."""

from __future__ import annotations

import random

import anyio
import anyio.abc

from puffinford.core.clock import Clock
from puffinford.standins.balancer import BalancerProcess
from puffinford.standins.clients import Clients
from puffinford.standins.holding import HELD_STATES, send
from puffinford.standins.listeners import HOST, LineStream

BEFORE_KILL_MS = 300.0  # a third of the held requests are written in this time before the kill
AFTER_KILL_MS = 20.0  # another third are written in this time after it
PARTIAL_OPEN = b"OPEN 0"  # an unfinished first line, written by every second idle client


def hold_connections(
    clients: Clients, balancer: BalancerProcess, kill_at: float, each: int, clock: Clock, rng: random.Random
) -> None:
    """Start clients of each state on each front of a balancer that is killed at `kill_at` (ms of the clock).

    For each state and front, `each` clients write their request at any time before the kill, `each` in the
    last BEFORE_KILL_MS before it, and `each` in the AFTER_KILL_MS after it. Connections that the balancer
    still holds at the kill are lost.
    """
    fronts = [(balancer.port, False)]
    if balancer.channel_port:
        fronts.append((balancer.channel_port, True))
    now = clock.now()
    windows = [
        (now, kill_at),
        (max(now, kill_at - BEFORE_KILL_MS), kill_at),
        (kill_at, kill_at + AFTER_KILL_MS),
    ] * each
    for port, channels in fronts:
        for state in HELD_STATES:
            for start, end in windows:
                clients.hold_connection(
                    state, balancer.name, port, rng.uniform(start, end), channels=channels
                )


class Crowds:
    """Idle clients, by balancer: they connect and send nothing, or an unfinished first line."""

    def __init__(self, tasks: anyio.abc.TaskGroup) -> None:
        self._tasks = tasks
        self._scopes: dict[str, anyio.CancelScope] = {}

    def start(self, name: str, port: int, number: int) -> None:
        """Connect `number` idle clients to a balancer, until `stop` or until it closes them."""
        self.stop(name)
        scope = self._scopes[name] = anyio.CancelScope()
        self._tasks.start_soon(self._crowd, scope, port, number)

    def stop(self, name: str) -> None:
        """Disconnect the idle clients of a balancer, if there are any."""
        scope = self._scopes.pop(name, None)
        if scope is not None:
            scope.cancel()

    async def _crowd(self, scope: anyio.CancelScope, port: int, number: int) -> None:
        with scope:
            async with anyio.create_task_group() as tasks:
                for index in range(number):
                    tasks.start_soon(self._idle, port, index % 2 == 1)
                    await anyio.sleep(0)

    async def _idle(self, port: int, partial_line: bool) -> None:
        try:
            stream = await anyio.connect_tcp(HOST, port)
        except OSError:
            return
        lines = LineStream(stream)
        try:
            if partial_line:
                await send(stream, PARTIAL_OPEN)
            while await lines.next() not in (LineStream.FIN, LineStream.RST):
                pass
        finally:
            await anyio.aclose_forcefully(stream)
