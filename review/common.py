"""Shared parts of the review's cases: the balancer process, line servers and clients, and the record.

Standard library only. Everything listens on loopback addresses and free ports; every process that is started
here is ended here.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import zlib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

# A small deployment: three classes that may be repeated, a drain grace of 3 s, discovery that is asked.
SETTINGS: dict[str, Any] = {
    "balancers": 2,
    "me": 0,
    "classes": [
        {"name": "price-lookup", "give_up": 2000.0, "aim": 500.0, "gain": 1.0, "repeat": "idempotent"},
        {"name": "basket-sync", "give_up": 1800.0, "aim": 300.0, "gain": 1.0, "repeat": "idempotent"},
        {"name": "till-status", "give_up": 3000.0, "aim": 500.0, "gain": 2.0, "repeat": "idempotent"},
    ],
    "discovery": "subscribe",
    "domain": {"groups": True, "message_aim": [100.0, 50.0, 60.0], "mode": "proxy", "tells_delay": True},
    "kind_of_service": "conn",
    "permissions": {
        "cancel": True,
        "connect_timeout": 120.0,
        "idle_close": 30000.0,
        "max_attempts": 4,
        "max_retry_after": 1500.0,
        "may_probe": True,
        "retry_after": True,
        "second_copies": False,
    },
    "report": {"fields": [], "how": "silent"},
    "rules": {
        "answer_slack": 8.0,
        "ask_within": 10000.0,
        "cold_from": 0.13,
        "fall": 1000.0,
        "ramp_time": 23000.0,
        "stop_sending_within": 3000.0,
        "tip_multiple": 3.0,
    },
    "tick": 2.0,
    "zone": "recife-boa-vista",
    "dcs": ["recife-boa-vista", "recife-imbiribeira"],
}


def ssh_text(value: bytes) -> bytes:
    """A string of RFC 4251."""
    return struct.pack(">I", len(value)) + value


def ssh_packet(payload: bytes) -> bytes:
    """A packet of RFC 4253, section 6, without cipher and MAC."""
    padding = 8 - (5 + len(payload)) % 8
    padding += 8 if padding < 4 else 0
    return struct.pack(">IB", 1 + len(payload) + padding, padding) + payload + bytes(padding)


async def read_ssh_payload(reader: asyncio.StreamReader) -> bytes:
    """Read one packet and return its payload."""
    length, padding = struct.unpack(">IB", await reader.readexactly(5))
    return (await reader.readexactly(length - 1))[: length - 1 - padding]


class Record:
    """record.txt of a case: what was sent, answered and run, with the time since the start in seconds."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started = time.monotonic()

    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self._started

    def add(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


class CannotRun(Exception):
    """The case couldn't be played; the text says why."""


def free_port() -> int:
    """Return a port that is free on 127.0.0.1."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class LineServer:
    """A sound server of the line protocol: UP for each opening, a line back for each line."""

    def __init__(self, ident: str, record: Record) -> None:
        self.id = ident
        self._record = record
        self.port = 0
        self.openings: list[float] = []  # when each came
        self.leaving = False  # it finishes what it has and turns new work away

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            line = await reader.readline()
            if line.startswith(b"OPEN "):
                self.openings.append(self._record.now())
                self._record.add(f"server {self.id}: got {line.decode('latin-1').split()[1]}")
                if self.leaving:
                    writer.write(b"BUSY\r\n")
                    line = b""
                else:
                    writer.write(f"UP r-{self.id}-{len(self.openings)}\r\n".encode())
                while line and (line := await reader.readline()):
                    writer.write(b"ACK " + line)
        writer.close()


class Balancer:
    """One balancer process, started with the `run` command of the deploy file."""

    def __init__(self, record: Record, folder: Path, arguments: str = "") -> None:
        self._record = record
        self._arguments = arguments
        self._temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self._log_path = self._temporary / "log.txt"
        self._process: subprocess.Popen[bytes] | None = None
        self.port = free_port()
        self.directory = self._temporary
        self.folder = folder
        self.sockets = 1024

    def start(self, discovery: int | None, known: dict[str, Any] | None, **settings: Any) -> None:
        """Start it with a configuration of its own; without discovery it reads an inventory."""
        config = {
            "name": "n1",
            "listen": f"127.0.0.1:{self.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "settings": SETTINGS | settings,
        }
        if known is not None:
            config["known"] = known
        if discovery is not None:
            config["discovery"] = f"127.0.0.1:{discovery}"
        path = self._temporary / "config.json"
        path.write_text(json.dumps(config))
        (self._temporary / "tmp").mkdir()
        environment = dict(os.environ) | {
            "EDGE_NAME": "n1",
            "EDGE_CONFIG": str(path),
            "EDGE_LISTEN": config["listen"],
            "EDGE_DISCOVERY": config.get("discovery", ""),
            "TMPDIR": str(self._temporary / "tmp"),
        }
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        # The platform lets a process hold `sockets` descriptors.
        command = f"ulimit -n {self.sockets}; {run} {self._arguments}".strip()
        log = self._log_path.open("wb")
        self._process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self._record.add(f"balancer: started with {command!r}, listens at {config['listen']}")

    async def wait_ready(self) -> None:
        """Wait until it answers PING, as the front does; raises CannotRun."""
        for _ in range(200):
            if self._process is None or self._process.poll() is not None:
                break
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"PING\r\n")
                line = await asyncio.wait_for(reader.readline(), 2)
                writer.close()
                if line == b"PONG\r\n":
                    return
            await asyncio.sleep(0.1)
        raise CannotRun(f"the balancer is not ready: {self.log()[-500:]}")

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def log(self) -> str:
        """What it has logged."""
        return self._log_path.read_text(errors="replace") if self._log_path.exists() else ""

    def end(self) -> None:
        """End the process and remove its folder."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGKILL)
            self._process.wait()
        if os.environ.get("KEEP_LOG"):
            (self.folder / "balancer.log").write_text(self.log())
        shutil.rmtree(self._temporary, ignore_errors=True)


class LineClient:
    """A client of the line protocol: opens, then sends a line every 2 s, and reads all that comes."""

    def __init__(self, record: Record, port: int, ident: str, cls: str = "till-status") -> None:
        self._record = record
        self._port = port
        self.id = ident
        self._cls = cls
        self.answer = ""
        self.lines: list[str] = []
        self.ended = ""  # how the connection ended: "" while it is open
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> str:
        """Connect and send OPEN; return the first line of the answer, or "" without one."""
        try:
            reader, self._writer = await asyncio.open_connection("127.0.0.1", self._port)
            key = f"{zlib.crc32(self.id.encode()):016x}"
            self._writer.write(f"OPEN {self.id} {key} c={self._cls},d=3000,g={key}\r\n".encode())
            line = await asyncio.wait_for(reader.readline(), 4)
        except (OSError, TimeoutError) as exc:
            self.ended = f"no answer: {type(exc).__name__}"
            line = b""
        self.answer = line.decode("latin-1").strip()
        self._record.add(f"client {self.id}: OPEN answered {self.answer or 'nothing'!r}")
        if self.answer.startswith("UP "):
            self._tasks = [asyncio.create_task(self._read(reader)), asyncio.create_task(self._write())]
        return self.answer

    @property
    def is_open(self) -> bool:
        """Whether it was brought up and has not ended."""
        return self.answer.startswith("UP ") and not self.ended

    async def _write(self) -> None:
        number = 0
        with contextlib.suppress(OSError):
            while not self.ended:
                await asyncio.sleep(2)
                number += 1
                assert self._writer is not None
                if not self.ended:
                    self._writer.write(f"ITEM {self.id} {number}\r\n".encode())

    async def _read(self, reader: asyncio.StreamReader) -> None:
        try:
            while line := await reader.readline():
                self.lines.append(line.decode("latin-1").rstrip("\r\n"))
            ended = "closed"
        except OSError:
            ended = "reset"
        if self.lines and self.lines[-1] == "MOVE":
            ended = "moved"
        self.ended = ended
        self._record.add(f"client {self.id}: {ended} after {len(self.lines)} lines")

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()


def main(folder: Path, play: Callable[[Record], Awaitable[int]]) -> None:
    """Play a case within its time and exit with its verdict."""
    record = Record(folder)
    record.add(f"disruption {'on' if TROUBLE else 'off'}")

    async def run() -> int:
        # Connections that are open at the end of a case are cancelled; that is no error.
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: None)
        playing = asyncio.ensure_future(asyncio.wait_for(play(record), 110))
        for number in (signal.SIGTERM, signal.SIGINT):  # the balancer is ended then too
            loop.add_signal_handler(number, playing.cancel)
        return await playing

    try:
        verdict = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as exc:
        record.add(f"cannot run: {type(exc).__name__}: {exc}")
        verdict = NOT_RUN
    record.add(f"exit {verdict}: {('rule held', 'RULE BROKEN', 'not run')[verdict]}")
    sys.exit(verdict)
