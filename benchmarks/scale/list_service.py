"""Helper process: a stand-in for the list service that counts its calls and bytes.

python -m benchmarks.scale.list_service SERVERS CHANGES_PER_S SERVICE_MS SEED [HOST:PORT...]

It prints its own HOST:PORT first. The servers have the given addresses, by default unreachable ones.
Changes are evenly spaced. Commands:

- `figures`: the counts of calls and bytes
- `change`: change one entry now
- `break`: reset all watches
- `open`: the number of open calls
"""

from __future__ import annotations

import random
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, cast

import anyio
import anyio.abc
from anyio.abc import SocketStream

from benchmarks.scale.processes import serve_commands
from puffinford.core.clock import Clock
from puffinford.standins.discovery import Discovery
from puffinford.standins.trace import EventKind, Trace


class NullTrace(Trace):
    """Discards all entries, since tracing them would dominate the measured cost."""

    def add(self, kind: EventKind, **more: object) -> None:
        pass


@dataclass
class Traffic:
    """Bytes over all connections, by direction."""

    received: int = 0
    sent: int = 0


class CountedStream:
    """A stream that counts its bytes."""

    def __init__(self, stream: SocketStream, traffic: Traffic) -> None:
        self._stream = stream
        self._traffic = traffic

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        data = await self._stream.receive(max_bytes)
        self._traffic.received += len(data)
        return data

    async def send(self, data: bytes) -> None:
        self._traffic.sent += len(data)
        await self._stream.send(data)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._stream, name)


class MeasuredDiscovery(Discovery):
    """The stand-in with counts of its traffic and calls, and a delay of `service_ms` for each answer."""

    def __init__(self, clock: Clock, tasks: anyio.abc.TaskGroup, service_ms: float) -> None:
        super().__init__(clock, NullTrace(clock.now), tasks)
        self.traffic = Traffic()
        self.open_calls = 0  # calls since the last reset that are still open
        self._resets = 0
        self._service_ms = service_ms

    async def _handle_call(self, stream: SocketStream, balancer: str = "", address_of: Any = None) -> None:
        resets = self._resets
        self.open_calls += 1
        try:
            await super()._handle_call(
                cast(SocketStream, CountedStream(stream, self.traffic)), balancer, address_of
            )
        finally:
            # Prevents a call that a reset has already removed from being subtracted twice.
            if resets == self._resets:
                self.open_calls -= 1

    async def _answer(self, stream: SocketStream, index: int | None, balancer: str, address_of: Any) -> None:
        await self._clock.sleep(self._service_ms)
        await super()._answer(stream, index, balancer, address_of)

    async def break_all(self) -> None:
        """Reset all open connections."""
        self._resets += 1
        self.open_calls = 0
        await self._port.reset_all()


def unreachable_address(number: int) -> str:
    """Return a loopback address with no listener, different for each number."""
    return f"127.{1 + number // 65_536}.{number // 256 % 256}.{number % 256}:9"


class ListService:
    """The stand-in with its server list, and the commands on it."""

    def __init__(
        self, discovery: MeasuredDiscovery, servers: int, seed: int, addresses: Sequence[str] = ()
    ) -> None:
        self.discovery = discovery
        self._rng = random.Random(seed)
        self._names = [f"s-{seed}-{n:06}" for n in range(servers)]
        for number, name in enumerate(self._names):
            address = addresses[number] if addresses else unreachable_address(number)
            discovery.registry.put(name, addr=address, zone=f"z{number % 26}")
        discovery.set_mode("sound")

    def change(self) -> int:
        """Toggle one server between active and leaving; return the version of the list with this change."""
        name = self._rng.choice(self._names)
        registry = self.discovery.registry
        state = "leaving" if registry.entries[name]["state"] == "active" else "active"
        self.discovery.put(name, state=state)
        return registry.version + 1

    async def change_periodically(self, per_second: float) -> None:
        """Change an entry at regular intervals."""
        next_change_at = time.monotonic()
        while True:
            next_change_at += 1.0 / per_second
            await anyio.sleep(next_change_at - time.monotonic())
            self.change()

    async def handle(self, words: list[str]) -> object:
        """Run one command."""
        match words:
            case ["figures"]:
                traffic = self.discovery.traffic
                return {"calls": self.discovery.call_count, "bytes": traffic.received + traffic.sent}
            case ["change"]:
                return {"version": self.change(), "at": time.monotonic()}
            case ["break"]:
                await self.discovery.break_all()
                return {"at": time.monotonic()}
            case ["open"]:
                return self.discovery.open_calls
        raise ValueError(f"unknown command: {words}")


async def serve(servers: int, changes: float, service_ms: float, seed: int, addresses: Sequence[str]) -> None:
    """Serve until standard input is closed."""
    async with anyio.create_task_group() as tasks:
        discovery = MeasuredDiscovery(Clock(), tasks, service_ms)
        service = ListService(discovery, servers, seed, addresses)
        if changes:
            tasks.start_soon(service.change_periodically, changes)
        await serve_commands(service.handle, discovery.address)
        tasks.cancel_scope.cancel()


if __name__ == "__main__":
    _servers, _changes, _service_ms, _seed, *_addresses = sys.argv[1:]
    anyio.run(serve, int(_servers), float(_changes), float(_service_ms), int(_seed), _addresses)
