"""Many watches of one list service in a process of their own.

python -m benchmarks.scale.watchers HOST:PORT NUMBER KIND SEED; its first line tells its number. KIND is
`scripted` (cheap: a call after the other, which waits as long as it takes) or `program` (the program's own
list client and the decision module's backoff, with fronts left out). Commands: `listed` (watches that have a
list), `told VERSION` (the moments at which watches had it).
"""

from __future__ import annotations

import asyncio
import logging
import random
import re
import sys
import time
from collections import defaultdict

import anyio
import anyio.abc

from benchmarks.scale.processes import obey
from puffinford import Balancer
from puffinford.codec import decode_settings
from puffinford.core.clock import Clock
from puffinford.core.values import ServerEntries
from puffinford.interface import Event, ListKind, ServerList, SetTimer, Subscribe, Timer
from puffinford.server_list.discovery import WATCH_WAIT_MS, DiscoveryWatch
from puffinford.standins.balancer import platform_settings
from puffinford.standins.clients import ClientClass

_VERSION = re.compile(rb'"version": (\d+)')
RETRY = 0.1  # seconds after a failed call, drawn between 0 and this
SPREAD = WATCH_WAIT_MS / 1_000.0  # seconds in which the watches begin, so that they do not ask in step


class Book:
    """Which version came when, over all watches of this process."""

    def __init__(self) -> None:
        self.listed = 0
        self.told: dict[int, list[float]] = defaultdict(list)  # by version, in seconds of the system's clock

    def take(self, before: int | None, version: int) -> None:
        """A watch that had `before`, or nothing, has this version now."""
        self.listed += before is None
        if version != before:
            self.told[version].append(time.monotonic())

    async def handle(self, words: list[str]) -> object:
        """Answer one command."""
        match words:
            case ["listed"]:
                return self.listed
            case ["told", version]:
                return self.told.get(int(version), [])
        raise ValueError(f"{words} is no command")


async def _get(host: str, port: int, path: str) -> bytes:
    reader, writer = await asyncio.open_connection(host, port, limit=1 << 20)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\nConnection: close\r\n\r\n".encode())
        return await reader.read(-1)
    finally:
        writer.close()


async def scripted(host: str, port: int, book: Book, rng: random.Random) -> None:
    """One watch, for ever."""
    await asyncio.sleep(rng.random() * SPREAD)
    version: int | None = None
    while True:
        path = "/v1/servers" if version is None else f"/v1/servers?index={version}&wait={WATCH_WAIT_MS}"
        try:
            found = _VERSION.search(await _get(host, port, path))
        except OSError:
            found = None
        if found is None:
            await asyncio.sleep(RETRY * rng.random())
            continue
        now = int(found[1])
        book.take(version, now)
        version = now


class ProgramWatch:
    """The program's list client, paced after a failure by a decision module of its own."""

    def __init__(
        self, address: tuple[str, int], book: Book, seed: int, clock: Clock, tasks: anyio.abc.TaskGroup
    ) -> None:
        settings = decode_settings(platform_settings([ClientClass("chat")], balancers=7_500, me=seed % 7_500))
        self._balancer = Balancer(settings, seed)
        self._rng = random.Random(seed)
        self._book = book
        self._clock = clock
        self._tasks = tasks
        self._version: int | None = None
        self._watch = DiscoveryWatch(address, None, clock, self._take, rng=self._rng)

    async def run(self) -> None:
        """Watch for ever, from a moment of its own on."""
        await anyio.sleep(self._rng.random() * SPREAD)
        self._tasks.start_soon(self._watch.run)
        await anyio.sleep(0)
        self._watch.subscribe(True)

    def _take(self, machines: ServerEntries | None) -> int | None:
        if machines is None:
            self._handle(ServerList(ListKind.UNAVAILABLE))
            return self._version
        kind = ListKind.REPLACE if machines.full else ListKind.UPDATE
        self._handle(ServerList(kind, [machine.server for machine in machines.entries], machines.version))
        self._book.take(self._version, machines.version)
        self._version = machines.version
        return self._version

    def _handle(self, event: Event) -> None:
        for action in self._balancer.handle(self._clock.now(), [event]):
            if isinstance(action, SetTimer):
                self._tasks.start_soon(self._wake, action)
            elif isinstance(action, Subscribe):
                self._watch.subscribe(action.on)

    async def _wake(self, timer: SetTimer) -> None:
        await self._clock.sleep(timer.delay)
        self._handle(Timer(timer.token))


async def serve(host: str, port: int, number: int, kind: str, seed: int) -> None:
    """Run until the input ends."""
    book, clock = Book(), Clock()
    async with anyio.create_task_group() as tasks:
        for one in range(number):
            own = seed * 10_000 + one
            if kind == "scripted":
                tasks.start_soon(scripted, host, port, book, random.Random(own))
            else:
                tasks.start_soon(ProgramWatch((host, port), book, own, clock, tasks).run)
        await obey(book.handle, number)
        tasks.cancel_scope.cancel()


if __name__ == "__main__":
    _address, _number, _kind, _seed = sys.argv[1:]
    _host, _, _port = _address.rpartition(":")
    assert _kind in ("scripted", "program")
    logging.disable(logging.WARNING)  # calls that a reset breaks are what is measured
    anyio.run(serve, _host, int(_port), int(_number), _kind, int(_seed))
