"""Shares the event loop between connections by what their messages cost.

Start-time fair queueing (Goyal, Vin and Cheng, 1996): the work of each connection moves its virtual time
on, and the connection that is least far is next. One slice of work is granted in a turn of the event loop, so
that the tasks that are ready otherwise wait for no more than that, however many connections have work.
"""

from __future__ import annotations

import asyncio
import heapq
from itertools import count

SLICE = 8  # units of work in one turn of the event loop
LINE_COST = 1
MESSAGE_COST = 1
OPEN_COST = SLICE  # a request: its tasks, the decision and the answer


class FairTurns:
    """Grants slices of work to connections, one in a turn of the event loop."""

    def __init__(self) -> None:
        self._virtual_time = 0
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []  # a heap
        self._arrivals = count()
        self._granting = False

    async def wait(self, start: int) -> int:
        """Wait for a slice for a connection whose work so far ends at `start`; returns the slice's start.

        One that has done less than the others is a slice ahead of them, and not behind those that are level.
        """
        start = max(start, self._virtual_time - SLICE)
        loop = asyncio.get_running_loop()
        granted: asyncio.Future[None] = loop.create_future()
        heapq.heappush(self._waiting, (start, next(self._arrivals), granted))
        if not self._granting:
            self._granting = True
            loop.call_soon(self._grant_next)
        await granted
        return start

    def _grant_next(self) -> None:
        while self._waiting:
            start, _, granted = heapq.heappop(self._waiting)
            if not granted.done():  # else its connection has ended
                self._virtual_time = max(self._virtual_time, start)
                granted.set_result(None)
                asyncio.get_running_loop().call_soon(self._grant_next)
                return
        self._granting = False


class WorkShare:
    """The share of one connection."""

    def __init__(self, turns: FairTurns) -> None:
        self._turns = turns
        self._left = SLICE
        self._end = 0  # of its last slice, in virtual time

    async def spend(self, cost: int) -> None:
        """Wait until work of this cost may be done; at once while the present slice lasts."""
        if cost > self._left:
            start = await self._turns.wait(self._end)
            self._end = start + SLICE
            self._left = SLICE
        self._left -= cost
