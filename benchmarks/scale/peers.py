"""Line servers and clients that stand, all in one process of their own.

python -m benchmarks.scale.peers SERVERS; its first line lists the servers' HOST:PORT. Commands: `stand PORT
NUMBER` (clients that stand in all through the balancer at PORT), `lines PER_SECOND SECONDS` (the servers send
lines over connections in turn; what came to the clients), `count` (those that stand).
"""

from __future__ import annotations

import asyncio
import itertools
import sys
import time

from benchmarks.scale.processes import obey
from puffinford.standins.listeners import HOST

LINE = b"m" * 98 + b"\r\n"  # 100 bytes
AT_ONCE = 16  # clients that are being set up together
TRIES = 20  # of one client
ANSWER_WITHIN = 4.0  # seconds, from connecting to UP
BURSTS = 200  # a second: lines are sent in so many bursts


class PeerConnection(asyncio.Protocol):
    """One server's end of a connection: UP to its opening, then lines as told."""

    def __init__(self, legs: dict[PeerConnection, None]) -> None:
        self._legs = legs
        self._rest = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if self in self._legs:
            return
        self._rest += data
        first, sign, _ = self._rest.partition(b"\n")
        if not sign:
            return
        if first.startswith(b"OPEN "):
            self._legs[self] = None
            self.transport.write(b"UP r-" + first.split(b" ")[1] + b"\r\n")
        else:
            self.transport.write(b"PONG\r\n")

    def connection_lost(self, exc: Exception | None) -> None:
        self._legs.pop(self, None)


class Client(asyncio.Protocol):
    """One client's end: its opening, then a count of the lines that come."""

    def __init__(self, peers: Peers, job: str, group: str) -> None:
        self._peers = peers
        self._opening = f"OPEN {job} {group} c=chat,t=m1,d=2000,g={group}\r\n".encode()
        self.answered: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._standing = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.write(self._opening)

    def data_received(self, data: bytes) -> None:
        if self._standing:
            self._peers.received += data.count(b"\n")
            return
        self._standing = data.startswith(b"UP ")
        self._peers.standing += self._standing
        if not self.answered.done():
            self.answered.set_result(self._standing)

    def connection_lost(self, exc: Exception | None) -> None:
        self._peers.standing -= self._standing
        self._standing = False
        if not self.answered.done():
            self.answered.set_result(False)


class Peers:
    """All servers and clients of a measurement."""

    def __init__(self) -> None:
        self.standing = 0
        self.received = 0  # lines, by all clients
        self.failed = 0  # tries that did not stand
        self._legs: dict[PeerConnection, None] = {}
        self._numbers = itertools.count()
        self._servers: list[asyncio.Server] = []

    async def listen(self) -> str:
        """One more server; its HOST:PORT."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: PeerConnection(self._legs), HOST, 0, backlog=1_024)
        self._servers.append(server)
        return f"{HOST}:{server.sockets[0].getsockname()[1]}"

    async def _join(self, port: int) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(TRIES):
            number = next(self._numbers)
            _, client = await loop.create_connection(
                lambda number=number: Client(self, f"{number:016x}", f"{number % 100:x}"),  # type: ignore[misc]
                HOST,
                port,
            )
            try:
                if await asyncio.wait_for(asyncio.shield(client.answered), ANSWER_WITHIN):
                    return
            except TimeoutError:
                pass
            client.transport.abort()
            self.failed += 1
            await asyncio.sleep(0.2)

    async def _stand(self, port: int, number: int) -> None:
        missing = number - self.standing
        for first in range(0, missing, AT_ONCE):
            await asyncio.gather(*(self._join(port) for _ in range(min(AT_ONCE, missing - first))))

    async def _send(self, per_second: float, seconds: float) -> None:
        """Lines over the connections in turn, at even distances."""
        began, sent = time.monotonic(), 0
        legs = list(self._legs)
        while (now := time.monotonic()) < began + seconds:
            due = int((now - began) * per_second)
            while sent < due:
                legs[sent % len(legs)].transport.write(LINE)
                sent += 1
            await asyncio.sleep(1.0 / BURSTS)

    async def handle(self, words: list[str]) -> object:
        """Answer one command."""
        match words:
            case ["stand", port, number]:
                await self._stand(int(port), int(number))
                return {"standing": self.standing, "failed": self.failed}
            case ["lines", per_second, seconds]:
                was, began = self.received, time.monotonic()
                await self._send(float(per_second), float(seconds))
                return {"lines": self.received - was, "seconds": time.monotonic() - began}
            case ["count"]:
                return self.standing
        raise ValueError(f"{words} is no command")


async def serve(servers: int) -> None:
    """Run until the input ends."""
    peers = Peers()
    await obey(peers.handle, [await peers.listen() for _ in range(servers)])


if __name__ == "__main__":
    asyncio.run(serve(int(sys.argv[1])))
