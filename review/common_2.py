"""What the cases 6 to 9 share: a record, the balancer as a process, and stand-ins on loopback addresses.

Only the standard library is used. The stand-ins speak the platform's line protocol, discovery's HTTP and
the multiplexed channels of `docs/channels.md`, as far as the cases need them.
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
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine, Mapping, Sequence
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
CASE_LIMIT_S = 110.0
KEY = "7f3a9c21e0b4d655"


class CannotRun(Exception):
    """The case could not be played to its end; nothing is said about the rule."""


def trouble() -> bool:
    """Whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file `record.txt`: one line for each thing that was sent, answered or run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self._start

    def note(self, event: str, **fields: object) -> float:
        """Write a line and return its time in seconds."""
        now = self.now()
        rest = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{now:9.3f} {event} {rest}".rstrip() + "\n")
        self._file.flush()
        return now


def free_port() -> int:
    """A port of the loopback address that nobody listens on now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        port: int = sock.getsockname()[1]
        return port


def deploy_command(name: str) -> str:
    """A command of the deploy file."""
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        command: str = tomllib.load(file)[name]
        return command


def small_settings(**changes: Any) -> dict[str, Any]:
    """The settings of a small deployment, as the operators' page on the wire shows them."""
    classes = [
        _class("price-lookup", 500.0, 2000.0, 1.0),
        _class("basket-sync", 300.0, 1800.0, 1.0),
        _class("till-status", 500.0, 3000.0, 2.0),
    ]
    settings: dict[str, Any] = {
        "balancers": 2,
        "me": 0,
        "classes": classes,
        "clients": {"marks_retry": False},
        "customers": [{"name": "mercado-sertao", "quota_per_s": 3.0, "share": 1.0}],
        "dcs": ["recife-boa-vista"],
        "zone": "recife-boa-vista",
        "discovery": "subscribe",
        "domain": {
            "groups": True,
            "message_aim": [100.0, 50.0, 60.0],
            "mode": "proxy",
            "park": 0.0,
            "tells_delay": True,
            "tells_load": False,
            "tenant_quota_connections": [400.0],
        },
        "host_types": ["rapido", "lento"],
        "kind_of_service": "conn",
        "permissions": {
            "cancel": True,
            "connect_timeout": 120.0,
            "idle_close": 30000.0,
            "max_attempts": 4,
            "max_retry_after": 1500.0,
            "may_probe": True,
            "may_tell": False,
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
        "tariffs": {"handshake": 0.099, "moves": 0.0089, "probe": 0.0023},
        "tick": 2.0,
        "weight_source": "rough",
        "worth_by": "request",
    }
    for name, value in changes.items():
        old = settings.get(name)
        settings[name] = {**old, **value} if isinstance(old, dict) else value
    return settings


def _class(name: str, aim: float, give_up: float, gain: float) -> dict[str, Any]:
    return {
        "name": name,
        "aim": aim,
        "give_up": give_up,
        "gain": gain,
        "group": "all",
        "late_share": 0.0,
        "repeat": "idempotent",
        "stream": True,
        "window": 5000.0,
    }


class Case:
    """The folder, the record and the processes of one run."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.record = Record(folder / "record.txt")
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self._processes: list[asyncio.subprocess.Process] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run something beside the case until it ends."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def start_balancer(
        self,
        name: str,
        config: Mapping[str, Any],
        arguments: str = "",
        env: Mapping[str, str] | None = None,
        pass_fds: Sequence[int] = (),
        log_name: str = "",
    ) -> Balancer:
        """Start the program with the `run` command of the deploy file, with `arguments` after it."""
        directory = self.temporary / name
        (directory / "tmp").mkdir(parents=True, exist_ok=True)
        config_file = directory / "config.json"
        write_whole(config_file, json.dumps(config))
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "HOME": str(directory),
            "LANG": "C.UTF-8",
            "PYTHONDONTWRITEBYTECODE": "1",
            "TMPDIR": str(directory / "tmp"),
            "EDGE_CONFIG": str(config_file),
            "EDGE_NAME": name,
            **(env or {}),
        }
        log_path = directory / f"{log_name or 'log'}.txt"
        with log_path.open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                f"{deploy_command('run')} {arguments}".strip(),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=pass_fds,
            )
        self._processes.append(process)
        self.record.note("balancer started", name=log_name or name, pid=process.pid)
        return Balancer(process, config_file, log_path)

    async def close(self) -> None:
        """End every process that was started, and remove the temporary folder."""
        for task in list(self._tasks):
            task.cancel()
        for process in self._processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                await process.wait()
        shutil.rmtree(self.temporary, ignore_errors=True)


class Balancer:
    """A running balancer."""

    def __init__(self, process: asyncio.subprocess.Process, config_file: Path, log_path: Path) -> None:
        self.process = process
        self.config_file = config_file
        self.log_path = log_path

    @property
    def ended(self) -> bool:
        """Whether the process has ended."""
        return self.process.returncode is not None

    def log_lines(self, word: str) -> list[str]:
        """The lines of the log that hold a word."""
        text = self.log_path.read_text(encoding="utf-8", errors="replace")
        return [line for line in text.splitlines() if word in line]

    async def wait_ready(self, port: int, limit_s: float = 30.0) -> None:
        """Wait until it answers PING at its address."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end and not self.ended:
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                reader, writer = await asyncio.open_connection(HOST, port)
                writer.write(b"PING\r\n")
                line = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if line == b"PONG\r\n":
                    return
            await asyncio.sleep(0.05)
        raise CannotRun(f"no PONG within {limit_s} s")


def write_whole(path: Path, text: str) -> None:
    """Replace a file by a rename, so that no reader finds a part of it."""
    new = path.with_name(path.name + ".part")
    new.write_text(text, encoding="utf-8")
    new.replace(path)


def run_case(script: str, play: Callable[[Case], Awaitable[int]]) -> None:
    """Play a case, write its verdict and exit with it."""
    folder = Path(script).resolve().parent

    async def main() -> int:
        case = Case(folder)
        case.record.note("case", folder=folder.name, trouble=int(trouble()))
        playing = asyncio.ensure_future(play(case))
        for ending in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(ending, playing.cancel)
        try:
            verdict = await asyncio.wait_for(playing, CASE_LIMIT_S)
        except (Exception, asyncio.CancelledError) as exc:
            case.record.note("could not run", why=repr(exc))
            verdict = COULD_NOT_RUN
        finally:
            await case.close()
        words = {HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "could not run"}
        case.record.note("verdict", exit=verdict, means=repr(words[verdict]))
        print(f"case {folder.name}: {words[verdict]}")
        return verdict

    sys.exit(asyncio.run(main()))


class Discovery:
    """Discovery, or the agent of pushed lists: the whole list and a watch on its changes."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._entries: dict[str, dict[str, Any]] = {}
        self._changed_at: dict[str, int] = {}
        self.version = 0
        self.down = False  # says nothing: what is open then stays silent for good
        self.delay_s = 0.0  # before each answer
        self._wake = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.port = 0

    @property
    def address(self) -> str:
        """HOST:PORT."""
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._call, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, ident: str, **fields: Any) -> float:
        """Add or change an entry; returns the time."""
        default = {"id": ident, "zone": "recife-boa-vista", "kind": "rapido", "cell": 0, "state": "active"}
        self.version += 1
        entry = {**default, "weight": 1.0, "started_ms": 0, **self._entries.get(ident, {}), **fields}
        self._entries[ident] = entry
        self._changed_at[ident] = self.version
        now = self._record.note("discovery has", version=self.version, server=ident, state=entry["state"])
        self._notify()
        return now

    def set_down(self, down: bool) -> None:
        """Begin or end an outage."""
        self.down = down
        self._record.note("discovery", down=int(down))
        self._notify()

    def _notify(self) -> None:
        self._wake.set()
        self._wake = asyncio.Event()

    def full_list(self) -> dict[str, Any]:
        """The whole list in discovery's form."""
        servers = [entry for entry in self._entries.values() if entry["state"] != "left"]
        return {"version": self.version, "full": True, "servers": servers}

    async def _call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            target = head.split(b" ")[1].decode()
            query = dict(item.split("=") for item in target.partition("?")[2].split("&") if item)
            index = int(query["index"]) if "index" in query else None
            self._record.note("discovery called", target=target)
            left = asyncio.create_task(reader.read(1))
            answer = asyncio.create_task(self._answer(index, float(query.get("wait", 0)) / 1000.0))
            await asyncio.wait({left, answer}, return_when=asyncio.FIRST_COMPLETED)
            if answer.done():
                body = json.dumps(answer.result()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n")
                writer.write(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()
                self._record.note("discovery answered", target=target, version=answer.result()["version"])
            answer.cancel()
            left.cancel()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, index: int | None, wait_s: float) -> dict[str, Any]:
        end = time.monotonic() + wait_s
        while True:
            if self.down:
                await asyncio.Event().wait()
            remaining = end - time.monotonic()
            if index is None or index > self.version or index < self.version or remaining <= 0:
                break
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._wake.wait(), remaining)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
            if self.down:
                await asyncio.Event().wait()
        if index is None or index > self.version:
            return self.full_list()
        changed = [e for ident, e in self._entries.items() if self._changed_at[ident] > index]
        return {"version": self.version, "full": False, "servers": changed}


class LineServer:
    """A sound server of the line protocol: UP at once, and each line comes back."""

    def __init__(self, ident: str, record: Record) -> None:
        self.id = ident
        self.record = record
        self.openings: list[tuple[float, str]] = []  # time and id of each request that came whole
        self.established = 0
        self.port = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """HOST:PORT."""
        return f"{HOST}:{self.port}"

    async def start(self) -> LineServer:
        """Listen, at the same port as before."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def die(self) -> None:
        """Reset all connections, and refuse new ones."""
        self.record.note("server dies", server=self.id)
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            first = await reader.readline()
            words = first.decode("latin-1").split()
            if not words or words[0] != "OPEN":
                writer.write(b"PONG\r\n" if words == ["PING"] else b"NO\r\n")
                return
            at = self.record.note("server got", server=self.id, request=words[1])
            self.openings.append((at, words[1]))
            await self.answer(words[1], writer)
            self.established += 1
            try:
                while line := await reader.readline():
                    writer.write(line)
                    await writer.drain()
            finally:
                self.established -= 1
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(self, request: str, writer: asyncio.StreamWriter) -> None:
        """Answer an opening."""
        writer.write(f"UP r-{self.id}-{request}\r\n".encode())
        await writer.drain()


class LineClient:
    """A connection of the line protocol to a balancer."""

    def __init__(self, record: Record, request: str) -> None:
        self._record = record
        self.request = request
        self._reader: asyncio.StreamReader
        self._writer: asyncio.StreamWriter

    async def open(
        self, port: int, cls: str = "price-lookup", d: int = 2000, more: str = "", key: str = KEY
    ) -> str:
        """Send an opening; return the first line of the answer, or what came instead of one."""
        try:
            self._reader, self._writer = await asyncio.open_connection(HOST, port)
        except OSError as exc:
            self._record.note("client not connected", request=self.request, why=type(exc).__name__)
            return "refused"
        line = f"OPEN {self.request} {key} c={cls},t=mercado-sertao,d={d},g={self.request}{more}"
        self._record.note("client sent", request=self.request)
        self._writer.write(line.encode() + b"\r\n")
        answer = await self.line(d / 1000.0 + 5.0)
        self._record.note("client got", request=self.request, answer=repr(answer))
        return answer

    async def line(self, limit_s: float) -> str:
        """The next line; `end`, `reset` or `nothing` if there is none within the limit."""
        try:
            line = await asyncio.wait_for(self._reader.readline(), limit_s)
        except TimeoutError:
            return "nothing"
        except OSError:
            return "reset"
        return line.decode("latin-1").rstrip("\r\n") if line else "end"

    async def send(self, text: str) -> None:
        """Send a line."""
        with contextlib.suppress(OSError):
            self._writer.write(text.encode("latin-1") + b"\r\n")
            await self._writer.drain()

    def close(self) -> None:
        """End the connection."""
        with contextlib.suppress(AttributeError, OSError):
            self._writer.close()


# Multiplexed channels: packets of RFC 4253 without cipher and MAC, messages of RFC 4254

CHANNEL_KIND = b"job@puffinford.example"
VERSION_LINE = b"SSH-2.0-standin\r\n"
GLOBAL_REQUEST, OPEN, CONFIRMATION, OPEN_FAILURE = 80, 90, 91, 92
ADJUST, DATA, EOF, CLOSE, REQUEST = 93, 94, 96, 97, 98


def ssh_string(value: bytes | str) -> bytes:
    """A string of RFC 4251."""
    data = value.encode("latin-1") if isinstance(value, str) else value
    return struct.pack(">I", len(data)) + data


def ssh_packet(payload: bytes) -> bytes:
    """A packet."""
    padding = 8 - (5 + len(payload)) % 8
    padding += 8 if padding < 4 else 0
    return struct.pack(">IB", 1 + len(payload) + padding, padding) + payload + bytes(padding)


def take_string(data: bytes) -> tuple[bytes, bytes]:
    """A string and what follows it."""
    size = struct.unpack(">I", data[:4])[0]
    return data[4 : 4 + size], data[4 + size :]


async def read_packet(reader: asyncio.StreamReader) -> bytes:
    """The payload of the next packet."""
    length, padding = struct.unpack(">IB", await reader.readexactly(5))
    rest = await reader.readexactly(length - 1)
    return rest[: length - 1 - padding]


def channel_opening(request: str, cls: str, wait_ms: int, number: int) -> bytes:
    """The packet that opens a channel."""
    data = b"".join(map(ssh_string, (request, KEY, cls, "mercado-sertao", request)))
    data += struct.pack(">II", wait_ms, 0)
    return ssh_packet(
        bytes((OPEN,)) + ssh_string(CHANNEL_KIND) + struct.pack(">III", number, 16384, 32768) + data
    )


class ChannelClient:
    """A client that opens one channel on a connection of its own and waits for the answer."""

    def __init__(self, record: Record, request: str) -> None:
        self._record = record
        self.request = request
        self._writer: asyncio.StreamWriter | None = None
        self.local = ""  # the client's address

    async def open(self, port: int, cls: str, wait_ms: int, limit_s: float) -> tuple[str, float]:
        """Send version and opening at once; return the answer and the seconds that it took."""
        try:
            reader, self._writer = await asyncio.open_connection(HOST, port)
        except OSError as exc:
            self._record.note("client not connected", request=self.request, why=type(exc).__name__)
            return "refused", 0.0
        self._writer.write(VERSION_LINE + channel_opening(self.request, cls, wait_ms, 7))
        sent = self._record.note("client sent", request=self.request, wait_ms=wait_ms)
        answer = "nothing"
        with contextlib.suppress(TimeoutError):
            answer = await asyncio.wait_for(self._answer(reader), limit_s)
        took = self._record.note("client got", request=self.request, answer=repr(answer)) - sent
        return answer, took

    async def _answer(self, reader: asyncio.StreamReader) -> str:
        try:
            await reader.readline()
            while True:
                payload = await read_packet(reader)
                if payload[0] == CONFIRMATION:
                    return "UP"
                if payload[0] == OPEN_FAILURE:
                    reason = struct.unpack(">I", payload[5:9])[0]
                    return f"FAILURE {reason}"
        except (OSError, asyncio.IncompleteReadError) as exc:
            return "end" if isinstance(exc, asyncio.IncompleteReadError) else "reset"

    def close(self) -> None:
        """End the connection."""
        if self._writer is not None:
            with contextlib.suppress(OSError):
                self._writer.close()


class ChannelServer:
    """A sound server of multiplexed channels: confirms each opening, and sends all data back."""

    def __init__(self, ident: str, record: Record) -> None:
        self.id = ident
        self._record = record
        self.openings: list[tuple[float, str]] = []  # time and id of each request that came whole
        self.data = b""  # of all channels
        self.port = 0
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """HOST:PORT."""
        return f"{HOST}:{self.port}"

    async def start(self) -> ChannelServer:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peers: dict[int, int] = {}  # the peer's number of each channel, by our own
        requests: dict[int, str] = {}
        count = 0
        writer.write(VERSION_LINE)
        try:
            await reader.readline()
            while True:
                payload = await read_packet(reader)
                kind, body = payload[0], payload[1:]
                number = struct.unpack(">I", body[:4])[0] if len(body) >= 4 else 0
                if kind == OPEN:
                    _, rest = take_string(body)
                    peer = struct.unpack(">I", rest[:4])[0]
                    request = take_string(rest[12:])[0].decode("latin-1")
                    peers[count], requests[count] = peer, request
                    self.openings.append(
                        (self._record.note("server got", server=self.id, request=request), request)
                    )
                    up = struct.pack(">IIII", peer, count, 1 << 20, 32768) + ssh_string(f"r-{request}")
                    writer.write(ssh_packet(bytes((CONFIRMATION,)) + up))
                    count += 1
                elif kind == DATA and number in peers:
                    data, _ = take_string(body[4:])
                    self.data += data
                    self._record.note("server got data", request=requests[number], data=repr(data))
                    back = struct.pack(">I", peers[number])
                    writer.write(ssh_packet(bytes((ADJUST,)) + back + struct.pack(">I", len(data))))
                    writer.write(ssh_packet(bytes((DATA,)) + back + ssh_string(data)))
                elif kind == REQUEST and number in peers:
                    name = take_string(body[4:])[0].decode("latin-1")
                    self._record.note("server got channel request", request=requests[number], name=name)
                elif kind == CLOSE and number in peers:
                    writer.write(ssh_packet(bytes((CLOSE,)) + struct.pack(">I", peers.pop(number))))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
