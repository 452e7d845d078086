"""Case: one client with a long key is moved by rebalancing, and the balancer process crashes."""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common import BROKEN, HELD, TROUBLE, Balancer, CannotRun, Discovery, LineServer, Record, main

FOLDER = Path(__file__).resolve().parent
CLIENTS = 40
LONG_KEYS = 4  # clients whose key has 32 hexadecimal digits in place of 16; they ask for the cheapest class


class Till:
    """A client that comes back whenever it was moved, and tells so with again=1."""

    def __init__(self, record: Record, port: int, number: int, digits: int, cls: str) -> None:
        self._record = record
        self._port = port
        self.name = f"till{number:02}"
        self._cls = cls
        drawn = random.Random(number)
        self.key = f"{drawn.getrandbits(4 * digits) | 1 << (4 * digits - 1):0{digits}x}"
        self.tries = 0
        self.moves = 0
        self.is_up = False
        self.lost = ""

    async def run(self) -> None:
        """Stay connected until the balancer cuts the connection off."""
        while not self.lost:
            self.tries += 1
            ident = f"{self.name}-{self.tries}"
            again = ",again=1" if self.tries > 1 else ""
            opening = f"OPEN {ident} {self.key} c={self._cls},d=2000,g={self.name}{again}"
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
                writer.write(opening.encode() + b"\r\n")
                answer = (await asyncio.wait_for(reader.readline(), 4)).decode().strip()
            except (OSError, TimeoutError) as exc:
                self.lost = f"no connection: {type(exc).__name__}"
                break
            self._record.add(f"client: {opening}: {answer}")
            if answer.startswith("UP "):
                self.is_up = True
                writing = asyncio.create_task(self._write(writer, ident))
                last = b""
                try:
                    while line := await reader.readline():
                        last = line
                    ended = "closed"
                except OSError:
                    ended = "reset"
                writing.cancel()
                self.is_up = False
                if last != b"MOVE\r\n":
                    self.lost = f"cut off: {ended}"
                    break
                self.moves += 1
                self._record.add(f"client {ident}: moved")
            writer.close()
            await asyncio.sleep(0.3)
        self._record.add(f"client {self.name}: {self.lost}")

    async def _write(self, writer: asyncio.StreamWriter, ident: str) -> None:
        with contextlib.suppress(OSError):
            while True:
                await asyncio.sleep(2)
                writer.write(f"ITEM {ident}\r\n".encode())


async def play(record: Record) -> int:
    discovery = Discovery(record)
    await discovery.start()
    servers = [LineServer(f"gw-{n}", record) for n in (1, 2, 3, 4)]
    for server in servers:
        await server.start()
    for server in servers[:2]:
        discovery.put(server.id, f"127.0.0.1:{server.port}")
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        operators = Path(folder) / "puffinford.conf"
        operators.write_text("section rebalance\n    enabled on\n")
        balancer = Balancer(record, FOLDER, f"serve --settings {operators}")
        try:
            balancer.start(discovery.port, discovery.full_list(), balancers=1)
            await balancer.wait_ready()
            tills = [
                Till(record, balancer.port, n, 32 if TROUBLE else 16, "price-lookup")
                if n < LONG_KEYS
                else Till(record, balancer.port, n, 16, "till-status")
                for n in range(CLIENTS)
            ]
            tasks = []
            for till in tills:
                tasks.append(asyncio.create_task(till.run()))
                await asyncio.sleep(0.05)
            await asyncio.sleep(3)
            if not all(till.is_up for till in tills):
                raise CannotRun("not all clients are up")
            for server in servers[2:]:
                discovery.put(server.id, f"127.0.0.1:{server.port}")
            for _ in range(60):
                await asyncio.sleep(1)
                if not balancer.is_running or any(till.lost for till in tills):
                    break
            moves = sum(till.moves for till in tills)
            long_moves = sum(till.moves for till in tills[:LONG_KEYS])
            lost = [till for till in tills if till.lost]
            record.add(
                f"{moves} moves, {long_moves} of the first {LONG_KEYS} clients; balancer running: "
                f"{balancer.is_running}; {len(lost)} of {CLIENTS} clients cut off or without a balancer"
            )
            if not balancer.is_running:
                record.add(f"balancer log ends: {balancer.log().strip().splitlines()[-1]}")
            if not moves:
                raise CannotRun("nothing was moved")
            return BROKEN if lost or not balancer.is_running else HELD
        finally:
            balancer.end()


if __name__ == "__main__":
    main(FOLDER, play)
