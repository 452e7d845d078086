"""The project's stand-in for the list service as a process of its own, with a count of its calls and bytes.

python -m benchmarks.scale.list_service SERVERS CHANGES_PER_S SERVICE_MS SEED [HOST:PORT...]; its first line
is its own HOST:PORT. The servers have the addresses told, or ones at which nothing is.
Commands: `figures`, `change` (one entry, now), `break` (all watches are reset), `open` (calls that are out).
Changes a second come at even distances. Nothing is kept of what was told, as a stage's stand-in would do.
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

from benchmarks.scale.processes import obey
from puffinford.core.clock import Clock
from puffinford.standins.discovery import Discovery
from puffinford.standins.trace import EventKind, Trace


class NoTrace(Trace):
    """Keeps nothing: a trace of every entry told would be the greater part of the cost."""

    def add(self, kind: EventKind, **more: object) -> None:
        pass


@dataclass
class Traffic:
    """What went over all connections, both ways."""

    received: int = 0
    sent: int = 0


class CountedStream:
    """A stream that adds its bytes to a count."""

    def __init__(self, stream: SocketStream, traffic: Traffic) -> None:
        self._stream = stream
        self._traffic = traffic

    async def receive(self, most: int = 65_536) -> bytes:
        data = await self._stream.receive(most)
        self._traffic.received += len(data)
        return data

    async def send(self, data: bytes) -> None:
        self._traffic.sent += len(data)
        await self._stream.send(data)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._stream, name)


class MeasuredDiscovery(Discovery):
    """The stand-in, which counts, and takes `service_ms` for each call, one call after the other."""

    def __init__(self, clock: Clock, tasks: anyio.abc.TaskGroup, service_ms: float) -> None:
        super().__init__(clock, NoTrace(clock.now), tasks)
        self.traffic = Traffic()
        self.out = 0  # calls that are open now ...
        self._breaks = 0  # ... and came after the last of so many resets of all
        self._service_ms = service_ms

    async def _handle_call(self, stream: SocketStream, balancer: str = "", address_of: Any = None) -> None:
        breaks = self._breaks
        self.out += 1
        try:
            await super()._handle_call(
                cast(SocketStream, CountedStream(stream, self.traffic)), balancer, address_of
            )
        finally:
            # Guards the count against a watch that was reset and is still waited for here.
            if breaks == self._breaks:
                self.out -= 1

    async def _answer(self, stream: SocketStream, index: int | None, balancer: str, address_of: Any) -> None:
        await self._clock.sleep(self._service_ms)
        await super()._answer(stream, index, balancer, address_of)

    async def break_all(self) -> None:
        """Reset every connection that is open."""
        self._breaks += 1
        self.out = 0
        await self._port.reset_all()


def nowhere(number: int) -> str:
    """An address on loopback, another for each number, at which nothing listens."""
    return f"127.{1 + number // 65_536}.{number // 256 % 256}.{number % 256}:9"


class ListService:
    """The stand-in with its list, and the commands."""

    def __init__(
        self, discovery: MeasuredDiscovery, servers: int, seed: int, addresses: Sequence[str] = ()
    ) -> None:
        self.discovery = discovery
        self._rng = random.Random(seed)
        self._names = [f"s-{seed}-{n:06}" for n in range(servers)]
        for number, name in enumerate(self._names):
            address = addresses[number] if addresses else nowhere(number)
            discovery.registry.put(name, addr=address, zone=f"z{number % 26}")
        discovery.set_mode("sound")

    def change(self) -> int:
        """One server drains, or is back; the version that tells it."""
        name = self._rng.choice(self._names)
        registry = self.discovery.registry
        state = "leaving" if registry.entries[name]["state"] == "active" else "active"
        self.discovery.put(name, state=state)
        return registry.version + 1

    async def change_on(self, per_second: float) -> None:
        """Changes at even distances."""
        due = time.monotonic()
        while True:
            due += 1.0 / per_second
            await anyio.sleep(due - time.monotonic())
            self.change()

    async def handle(self, words: list[str]) -> object:
        """Answer one command."""
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
                return self.discovery.out
        raise ValueError(f"{words} is no command")


async def serve(servers: int, changes: float, service_ms: float, seed: int, addresses: Sequence[str]) -> None:
    """Run until the input ends."""
    async with anyio.create_task_group() as tasks:
        discovery = MeasuredDiscovery(Clock(), tasks, service_ms)
        service = ListService(discovery, servers, seed, addresses)
        if changes:
            tasks.start_soon(service.change_on, changes)
        await obey(service.handle, discovery.address)
        tasks.cancel_scope.cancel()


if __name__ == "__main__":
    _servers, _changes, _service_ms, _seed, *_addresses = sys.argv[1:]
    anyio.run(serve, int(_servers), float(_changes), float(_service_ms), int(_seed), _addresses)
