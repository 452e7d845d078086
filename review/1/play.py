"""Case: a channel server writes one line in small pieces, and every client of that server is cut off."""

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
    LineClient,
    Record,
    main,
    read_ssh_payload,
    ssh_packet,
    ssh_text,
)

FOLDER = Path(__file__).resolve().parent
CLIENTS = 16
LINE_BYTES = 3_000  # of the one long answer; a line may hold 4 KiB
PIECE_BYTES = 4


class ChannelServer:
    """A server that speaks channels: confirms each open and answers each line with a line at once.

    It keeps to the windows that the balancer grants.
    """

    def __init__(self, ident: str, record: Record) -> None:
        self.id = ident
        self._record = record
        self.port = 0
        self.long_answers = 0  # answers of LINE_BYTES still to be given, each to the next line that comes

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"SSH-2.0-standin_1\r\n")
        peers: dict[int, int] = {}  # the balancer's channel numbers by ours
        windows: dict[int, int] = {}  # bytes that the balancer lets us send
        rests: dict[int, bytes] = {}
        try:
            await reader.readline()
            while True:
                payload = await read_ssh_payload(reader)
                kind = payload[0]
                if kind == 90:  # CHANNEL_OPEN
                    (size,) = struct.unpack_from(">I", payload, 1)
                    sender, window, _ = struct.unpack_from(">III", payload, 5 + size)
                    number = len(peers)
                    peers[number], windows[number], rests[number] = sender, window, b""
                    self._record.add(f"server {self.id}: channel {number} opened and confirmed")
                    head = struct.pack(">BIIII", 91, sender, number, 1 << 20, 32_768)
                    writer.write(ssh_packet(head + ssh_text(f"r-{self.id}-{number}".encode())))
                    continue
                if kind == 1:  # DISCONNECT
                    (size,) = struct.unpack_from(">I", payload, 5)
                    why = payload[9 : 9 + size].decode()
                    self._record.add(f"server {self.id}: the balancer disconnects: {why}")
                    break
                if kind not in (93, 94, 96, 97):
                    continue
                (number,) = struct.unpack_from(">I", payload, 1)
                if kind == 93:  # WINDOW_ADJUST
                    windows[number] += struct.unpack_from(">I", payload, 5)[0]
                elif kind == 94:  # DATA
                    rests[number] += payload[9:]
                    writer.write(ssh_packet(struct.pack(">BII", 93, peers[number], len(payload) - 9)))
                    *lines, rests[number] = rests[number].split(b"\n")
                    for line in lines:
                        self._answer(writer, peers[number], number, windows, line.rstrip(b"\r"))
                elif kind == 97:  # CLOSE
                    self._record.add(f"server {self.id}: channel {number} closed by the balancer")
                    writer.write(ssh_packet(struct.pack(">BI", 97, peers[number])))
        except (asyncio.IncompleteReadError, OSError) as exc:
            self._record.add(f"server {self.id}: connection ended: {type(exc).__name__}")
        with contextlib.suppress(OSError):
            writer.close()

    def _answer(
        self, writer: asyncio.StreamWriter, peer: int, number: int, windows: dict[int, int], line: bytes
    ) -> None:
        answer, size = b"ACK " + line + b"\r\n", 1 << 15
        if self.long_answers:
            self.long_answers -= 1
            answer = answer[:-2].ljust(LINE_BYTES - 2, b".") + b"\r\n"
            size = PIECE_BYTES if TROUBLE else size
            pieces = -(-len(answer) // size)
            self._record.add(
                f"server {self.id}: channel {number}: a line of {len(answer)} bytes in {pieces} pieces, "
                f"window {windows[number]}"
            )
        if windows[number] < len(answer):
            raise CannotRun("no window")
        windows[number] -= len(answer)
        cuts = range(0, len(answer), size)
        packets = (struct.pack(">BI", 94, peer) + ssh_text(answer[at : at + size]) for at in cuts)
        writer.write(b"".join(map(ssh_packet, packets)))


async def play(record: Record) -> int:
    servers = [ChannelServer(f"gw-{n}", record) for n in (1, 2)]
    for server in servers:
        await server.start()
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        inventory = Path(folder) / "inventory.yaml"  # in the form of deploy/inventory.example.yaml
        hosts = [f"    {s.id}: {{host: 127.0.0.1, port: {s.port}, kind: rapido}}\n" for s in servers]
        inventory.write_text(
            "till_gateways:\n  vars: {front: channels, zone: recife-boa-vista}\n  hosts:\n" + "".join(hosts)
        )
        return await play_with(record, servers, Balancer(record, FOLDER, f"serve --inventory {inventory}"))


async def play_with(record: Record, servers: list[ChannelServer], balancer: Balancer) -> int:
    try:
        balancer.start(None, None)
        await balancer.wait_ready()
        clients = [LineClient(record, balancer.port, f"c{n:03}") for n in range(CLIENTS)]
        for client in clients:
            await client.open()
            await asyncio.sleep(0.1)
        up = [client for client in clients if client.is_open]
        if len(up) < CLIENTS:
            raise CannotRun(f"only {len(up)} of {CLIENTS} clients are up")
        await asyncio.sleep(3)  # every client sends and gets lines
        if not all(client.is_open and client.lines for client in up):
            raise CannotRun("not all clients were served before the disruption")
        for server in servers:
            server.long_answers = 1
        await asyncio.sleep(8)
        lost = [client for client in up if client.ended in ("closed", "reset")]
        long_lines = sum(len(line) > LINE_BYTES // 2 for client in up for line in client.lines)
        record.add(
            f"of {len(up)} connections {len(lost)} were cut off without MOVE while their servers ran; "
            f"{long_lines} long lines arrived; balancer running: {balancer.is_running}"
        )
        for line in balancer.log().splitlines():
            if "malformed" in line:
                record.add(f"balancer log: {line}")
        return BROKEN if lost else HELD
    finally:
        balancer.end()


if __name__ == "__main__":
    main(FOLDER, play)
