"""Helper process: servers and clients of the line protocol on both sides of a balancer.

python -m benchmarks.scale.peers SERVERS

It prints the HOST:PORT of each server first. Commands:

- `stand PORT NUMBER`: establish connections through the balancer at PORT until there are NUMBER in total
- `lines PER_SECOND SECONDS`: send lines from the servers over all connections in turn, count those received
- `count`: the number of established connections
"""

from __future__ import annotations

import asyncio
import itertools
import sys
import time

from benchmarks.scale.processes import serve_commands
from puffinford.standins.listeners import HOST

LINE = b"m" * 98 + b"\r\n"  # 100 bytes
MAX_CONCURRENT_SETUPS = 16
MAX_ATTEMPTS = 20  # per client
ANSWER_TIMEOUT_S = 4.0  # from connecting to UP
BURSTS_PER_S = 200  # lines are sent in bursts


class PeerConnection(asyncio.Protocol):
    """The server side of a connection: answers OPEN with UP, then sends lines on command."""

    def __init__(self, connections: dict[PeerConnection, None]) -> None:
        self._connections = connections
        self._received = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if self in self._connections:
            return
        self._received += data
        first, newline, _ = self._received.partition(b"\n")
        if not newline:
            return
        if first.startswith(b"OPEN "):
            self._connections[self] = None
            self.transport.write(b"UP r-" + first.split(b" ")[1] + b"\r\n")
        else:
            self.transport.write(b"PONG\r\n")

    def connection_lost(self, exc: Exception | None) -> None:
        self._connections.pop(self, None)


class Client(asyncio.Protocol):
    """The client side of a connection: sends OPEN, then counts received lines."""

    def __init__(self, peers: Peers, request_id: str, group: str) -> None:
        self._peers = peers
        self._opening = f"OPEN {request_id} {group} c=chat,t=m1,d=2000,g={group}\r\n".encode()
        self.answered: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._established = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.write(self._opening)

    def data_received(self, data: bytes) -> None:
        if self._established:
            self._peers.received += data.count(b"\n")
            return
        self._established = data.startswith(b"UP ")
        self._peers.established += self._established
        if not self.answered.done():
            self.answered.set_result(self._established)

    def connection_lost(self, exc: Exception | None) -> None:
        self._peers.established -= self._established
        self._established = False
        if not self.answered.done():
            self.answered.set_result(False)


class Peers:
    """All servers and clients of a measurement."""

    def __init__(self) -> None:
        self.established = 0
        self.received = 0  # lines received by all clients
        self.failed = 0  # attempts without an established connection
        self._connections: dict[PeerConnection, None] = {}
        self._numbers = itertools.count()
        self._servers: list[asyncio.Server] = []

    async def listen(self) -> str:
        """Start another server and return its HOST:PORT."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: PeerConnection(self._connections), HOST, 0, backlog=1_024)
        self._servers.append(server)
        return f"{HOST}:{server.sockets[0].getsockname()[1]}"

    async def _connect_client(self, port: int) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(MAX_ATTEMPTS):
            number = next(self._numbers)
            _, client = await loop.create_connection(
                lambda number=number: Client(self, f"{number:016x}", f"{number % 100:x}"),  # type: ignore[misc]
                HOST,
                port,
            )
            try:
                if await asyncio.wait_for(asyncio.shield(client.answered), ANSWER_TIMEOUT_S):
                    return
            except TimeoutError:
                pass
            client.transport.abort()
            self.failed += 1
            await asyncio.sleep(0.2)

    async def _establish(self, port: int, number: int) -> None:
        missing = number - self.established
        for first in range(0, missing, MAX_CONCURRENT_SETUPS):
            await asyncio.gather(
                *(self._connect_client(port) for _ in range(min(MAX_CONCURRENT_SETUPS, missing - first)))
            )

    async def _send_lines(self, per_second: float, seconds: float) -> None:
        """Send lines over the connections in turn, evenly spaced."""
        started_at, sent = time.monotonic(), 0
        connections = list(self._connections)
        while (now := time.monotonic()) < started_at + seconds:
            due_lines = int((now - started_at) * per_second)
            while sent < due_lines:
                connections[sent % len(connections)].transport.write(LINE)
                sent += 1
            await asyncio.sleep(1.0 / BURSTS_PER_S)

    async def handle(self, words: list[str]) -> object:
        """Run one command."""
        match words:
            case ["stand", port, number]:
                await self._establish(int(port), int(number))
                return {"standing": self.established, "failed": self.failed}
            case ["lines", per_second, seconds]:
                before, started_at = self.received, time.monotonic()
                await self._send_lines(float(per_second), float(seconds))
                return {"lines": self.received - before, "seconds": time.monotonic() - started_at}
            case ["count"]:
                return self.established
        raise ValueError(f"unknown command: {words}")


async def serve(servers: int) -> None:
    """Serve until standard input is closed."""
    peers = Peers()
    await serve_commands(peers.handle, [await peers.listen() for _ in range(servers)])


if __name__ == "__main__":
    asyncio.run(serve(int(sys.argv[1])))
