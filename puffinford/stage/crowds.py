"""Clients that come for one balancer: those that hold a connection until it ends, and idle crowds."""

from __future__ import annotations

import random

import anyio
import anyio.abc

from puffinford.core.clock import Clock
from puffinford.standins.balancer import BalancerProcess
from puffinford.standins.clients import Clients
from puffinford.standins.holding import HELD_STATES, send
from puffinford.standins.listeners import HOST, LineStream

LAST = 300.0  # ms before the kill in which a third of the held requests are written
PAST = 20.0  # ms after it, in which another third is
HALF_OPEN = b"OPEN 0"  # what every other idle client writes


def hold_connections(
    clients: Clients, balancer: BalancerProcess, until: float, each: int, clock: Clock, rng: random.Random
) -> None:
    """Clients of each state and front come to this balancer, which is killed at `until` on the clock.

    There are `each` for each time to write a request: any before the kill, its last LAST ms, and PAST ms
    after it, for a connection that is held until then is lost.
    """
    fronts = [(balancer.port, False)]
    if balancer.channel_port:
        fronts.append((balancer.channel_port, True))
    now = clock.now()
    times = [(now, until), (max(now, until - LAST), until), (until, until + PAST)] * each
    for port, channels in fronts:
        for state in HELD_STATES:
            for since, before in times:
                clients.hold_connection(
                    state, balancer.name, port, rng.uniform(since, before), channels=channels
                )


class Crowds:
    """Idle clients, by balancer: they connect and say nothing, or stop in their first line."""

    def __init__(self, tasks: anyio.abc.TaskGroup) -> None:
        self._tasks = tasks
        self._scopes: dict[str, anyio.CancelScope] = {}

    def come(self, name: str, port: int, number: int) -> None:
        """So many come to a balancer at once, and stay until they are ended or told to go."""
        self.go(name)
        scope = self._scopes[name] = anyio.CancelScope()
        self._tasks.start_soon(self._crowd, scope, port, number)

    def go(self, name: str) -> None:
        """Those at a balancer leave, if there are any."""
        scope = self._scopes.pop(name, None)
        if scope is not None:
            scope.cancel()

    async def _crowd(self, scope: anyio.CancelScope, port: int, number: int) -> None:
        with scope:
            async with anyio.create_task_group() as tasks:
                for one in range(number):
                    tasks.start_soon(self._idle, port, one % 2 == 1)
                    await anyio.sleep(0)

    async def _idle(self, port: int, half: bool) -> None:
        try:
            stream = await anyio.connect_tcp(HOST, port)
        except OSError:
            return
        lines = LineStream(stream)
        try:
            if half:
                await send(stream, HALF_OPEN)
            while await lines.next() not in (LineStream.FIN, LineStream.RST):
                pass
        finally:
            await anyio.aclose_forcefully(stream)
