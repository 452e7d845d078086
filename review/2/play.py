"""Case: a burst of channels uses up the descriptors, and clients of the line front are never answered."""

from __future__ import annotations

import asyncio
import contextlib
import struct
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common import (
    BROKEN,
    HELD,
    TROUBLE,
    Balancer,
    CannotRun,
    Discovery,
    LineServer,
    Record,
    free_port,
    main,
    read_ssh_payload,
    ssh_packet,
    ssh_text,
)

FOLDER = Path(__file__).resolve().parent
SOCKETS = 256
TILLS = 40  # each has one connection
BURST_TILLS = 16  # 40% of them: the member mercado-sertao
CHANNELS = 130  # open on an ordinary day: 3.4 new ones a second that live 38 s in the mean
BURST_PER_S = 7.5  # 5.5 times that member's 40% of 3.4 a second
BURST_S = 16.0
WAIT_S = 2.0  # of a line client, and then half a second in which an answer still counts


class Till:
    """A till with one connection, on which it opens channels side by side."""

    def __init__(self, record: Record, number: int) -> None:
        self._record = record
        self.name = f"till{number:02}"
        self.tenant = "mercado-sertao" if number < BURST_TILLS else "rede-litoral"
        self.opened = self.up = self.refused = 0
        self._channels: dict[int, int] = {}  # the balancer's channel numbers by ours
        self._writer: asyncio.StreamWriter

    async def connect(self, port: int) -> None:
        """Connect and go on reading."""
        reader, self._writer = await asyncio.open_connection("127.0.0.1", port)
        self._writer.write(b"SSH-2.0-till_1\r\n")
        await reader.readline()
        self._tasks = [asyncio.create_task(self._read(reader)), asyncio.create_task(self._write())]

    def open_channel(self) -> None:
        """Send one request."""
        number = self.opened
        self.opened += 1
        self._record.add(f"{self.name}: opens channel {number}")
        texts = (f"{self.name}-{number}", f"{number:04x}{self.name[4:]:0>12}", "till-status", self.tenant, "")
        extra = b"".join(ssh_text(text.encode()) for text in texts) + struct.pack(">II", 3000, 0)
        head = ssh_text(b"job@puffinford.example") + struct.pack(">III", number, 1 << 20, 32_768)
        self._writer.write(ssh_packet(bytes((90,)) + head + extra))

    async def _read(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while payload := await read_ssh_payload(reader):
                kind = payload[0]
                if kind == 91:  # CHANNEL_OPEN_CONFIRMATION
                    own, theirs = struct.unpack_from(">II", payload, 1)
                    self._channels[own] = theirs
                    self.up += 1
                    self._record.add(f"{self.name}: channel {own} is up")
                elif kind == 92:  # CHANNEL_OPEN_FAILURE
                    own, reason = struct.unpack_from(">II", payload, 1)
                    self.refused += 1
                    self._record.add(f"{self.name}: channel {own} is refused, reason {reason}")
                elif kind == 94:  # DATA
                    own, size = struct.unpack_from(">II", payload, 1)
                    self._writer.write(ssh_packet(struct.pack(">BII", 93, self._channels[own], size)))
        self._record.add(f"{self.name}: connection ended")

    async def _write(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                await asyncio.sleep(2)
                for theirs in self._channels.values():
                    line = ssh_text(b"ITEM\r\n")
                    self._writer.write(ssh_packet(struct.pack(">BI", 94, theirs) + line))


class Caller:
    """A client of the line front that asks once and leaves after the answer."""

    def __init__(self, record: Record, number: int) -> None:
        self.id = f"line{number:03}"
        self.answer = ""
        self._record = record

    async def ask(self, port: int) -> None:
        """Send OPEN and wait until half a second after the request's time."""
        writer = None
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            opening = f"OPEN {self.id} {self.id[4:]:0>16} c=price-lookup,t=rede-litoral,d=2000"
            writer.write(opening.encode() + b"\r\n")
            line = await asyncio.wait_for(reader.readline(), WAIT_S + 0.55)
            self.answer = line.decode().strip() or "closed"
        except TimeoutError:  # before OSError, of which it is a kind
            self.answer = "never"
        except OSError:
            self.answer = "closed"
        self._record.add(f"client {self.id}: {self.answer}")
        if writer is not None:
            writer.close()


async def play(record: Record) -> int:
    discovery = Discovery(record)
    await discovery.start()
    for n in (1, 2, 3, 4):
        server = LineServer(f"gw-{n}", record)
        await server.start()
        discovery.put(server.id, f"127.0.0.1:{server.port}")
    channels = free_port()
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        operators = Path(folder) / "puffinford.conf"
        operators.write_text(f"section channels\n    enabled on\n    listen 127.0.0.1:{channels}\n")
        balancer = Balancer(record, FOLDER, f"serve --settings {operators}")
        balancer.sockets = SOCKETS
        try:
            balancer.start(discovery.port, discovery.full_list(), balancers=2)
            await balancer.wait_ready()
            tills = [Till(record, n) for n in range(TILLS)]
            for till in tills:
                await till.connect(channels)
            for n in range(CHANNELS):
                tills[n % TILLS].open_channel()
                await asyncio.sleep(0.01)
            callers: list[Caller] = []
            asking: list[asyncio.Task[None]] = []

            async def arrivals() -> None:
                while True:
                    callers.append(Caller(record, len(callers)))
                    asking.append(asyncio.create_task(callers[-1].ask(balancer.port)))
                    await asyncio.sleep(0.5)

            arriving = asyncio.create_task(arrivals())
            await asyncio.sleep(4)
            if sum(till.up for till in tills) < CHANNELS:
                raise CannotRun("not all channels of an ordinary day are up")
            if any(caller.answer and not caller.answer.startswith("UP ") for caller in callers):
                raise CannotRun("a line client was not served before the burst")
            if TROUBLE:
                record.add(f"burst: mercado-sertao opens {BURST_PER_S} channels a second for {BURST_S} s")
                for n in range(int(BURST_PER_S * BURST_S)):
                    tills[n % BURST_TILLS].open_channel()
                    await asyncio.sleep(1 / BURST_PER_S)
            else:
                record.add("no burst")
                await asyncio.sleep(BURST_S)
            record.add("the burst is over")
            await asyncio.sleep(6)
            arriving.cancel()
            await asyncio.gather(*asking)
            never = sum(caller.answer == "never" for caller in callers)
            record.add(
                f"channels: {sum(t.opened for t in tills)} opened, {sum(t.up for t in tills)} up, "
                f"{sum(t.refused for t in tills)} refused; line clients: {len(callers)}, "
                f"{never} of them with neither an answer nor a close {WAIT_S + 0.55:.2f} s after OPEN"
            )
            return BROKEN if never else HELD
        finally:
            balancer.end()


if __name__ == "__main__":
    main(FOLDER, play)
