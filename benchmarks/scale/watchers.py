"""Helper process: many watches of one list service.

python -m benchmarks.scale.watchers HOST:PORT NUMBER KIND SEED

It prints NUMBER first. KIND is `scripted` (a minimal client that makes one long-polling call after another)
or `program` (the list client of the program with the backoff of the decision module, without fronts).
Commands:

- `listed`: the number of watches that have a list
- `told VERSION`: the times at which watches received the version
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

from benchmarks.scale.processes import serve_commands
from puffinford import Balancer
from puffinford.codec import decode_settings
from puffinford.core.clock import Clock
from puffinford.core.values import ServerEntries
from puffinford.interface import Event, ListKind, ServerList, SetTimer, Subscribe, Timer
from puffinford.server_list.discovery import WATCH_WAIT_MS, DiscoveryWatch
from puffinford.standins.balancer import platform_settings
from puffinford.standins.clients import ClientClass

_VERSION = re.compile(rb'"version": (\d+)')
MAX_RETRY_DELAY_S = 0.1
START_WINDOW_S = WATCH_WAIT_MS / 1_000.0  # spreads the starts, so that calls are not synchronized


class VersionLog:
    """When each version reached the watches of this process."""

    def __init__(self) -> None:
        self.listed = 0
        # Times in seconds of the monotonic clock, by version.
        self.received_at: dict[int, list[float]] = defaultdict(list)

    def record(self, before: int | None, version: int) -> None:
        """Record that a watch at version `before` (None: no list yet) has received `version`."""
        self.listed += before is None
        if version != before:
            self.received_at[version].append(time.monotonic())

    async def handle(self, words: list[str]) -> object:
        """Run one command."""
        match words:
            case ["listed"]:
                return self.listed
            case ["told", version]:
                return self.received_at.get(int(version), [])
        raise ValueError(f"unknown command: {words}")


async def _get(host: str, port: int, path: str) -> bytes:
    reader, writer = await asyncio.open_connection(host, port, limit=1 << 20)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\nConnection: close\r\n\r\n".encode())
        return await reader.read(-1)
    finally:
        writer.close()


async def scripted(host: str, port: int, log: VersionLog, rng: random.Random) -> None:
    """Run one minimal watch until cancelled."""
    await asyncio.sleep(rng.random() * START_WINDOW_S)
    version: int | None = None
    while True:
        path = "/v1/servers" if version is None else f"/v1/servers?index={version}&wait={WATCH_WAIT_MS}"
        try:
            found = _VERSION.search(await _get(host, port, path))
        except OSError:
            found = None
        if found is None:
            await asyncio.sleep(MAX_RETRY_DELAY_S * rng.random())
            continue
        received = int(found[1])
        log.record(version, received)
        version = received


class ProgramWatch:
    """A watch by the list client of the program, with a decision module for its backoff."""

    def __init__(
        self, address: tuple[str, int], log: VersionLog, seed: int, clock: Clock, tasks: anyio.abc.TaskGroup
    ) -> None:
        settings = decode_settings(platform_settings([ClientClass("chat")], balancers=7_500, me=seed % 7_500))
        self._balancer = Balancer(settings, seed)
        self._rng = random.Random(seed)
        self._log = log
        self._clock = clock
        self._tasks = tasks
        self._version: int | None = None
        self._watch = DiscoveryWatch(address, None, clock, self._take, rng=self._rng)

    async def run(self) -> None:
        """Watch until cancelled, after a random delay."""
        await anyio.sleep(self._rng.random() * START_WINDOW_S)
        self._tasks.start_soon(self._watch.run)
        await anyio.sleep(0)
        self._watch.subscribe(True)

    def _take(self, listed_servers: ServerEntries | None) -> int | None:
        if listed_servers is None:
            self._handle(ServerList(ListKind.UNAVAILABLE))
            return self._version
        kind = ListKind.REPLACE if listed_servers.full else ListKind.UPDATE
        self._handle(
            ServerList(kind, [entry.server for entry in listed_servers.entries], listed_servers.version)
        )
        self._log.record(self._version, listed_servers.version)
        self._version = listed_servers.version
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
    """Serve until standard input is closed."""
    log, clock = VersionLog(), Clock()
    async with anyio.create_task_group() as tasks:
        for index in range(number):
            watch_seed = seed * 10_000 + index
            if kind == "scripted":
                tasks.start_soon(scripted, host, port, log, random.Random(watch_seed))
            else:
                tasks.start_soon(ProgramWatch((host, port), log, watch_seed, clock, tasks).run)
        await serve_commands(log.handle, number)
        tasks.cancel_scope.cancel()


if __name__ == "__main__":
    _address, _number, _kind, _seed = sys.argv[1:]
    _host, _, _port = _address.rpartition(":")
    assert _kind in ("scripted", "program")
    logging.disable(logging.WARNING)  # broken calls are expected after a reset
    anyio.run(serve, _host, int(_port), int(_number), _kind, int(_seed))
