"""Discovery: the list and the watch over HTTP/1.1, with the ways in which it lets its callers down."""

from __future__ import annotations

import contextlib
import json
import re
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
import anyio.abc
from anyio.abc import SocketStream

from puffinford.core.clock import Clock
from puffinford.standins.listeners import HOST, ListeningPort, reset
from puffinford.standins.trace import EventKind, Trace

DISCOVERY_MODES = ("sound", "absent", "hung", "late", "unavailable", "garbage", "reset", "older")
LATE = 3_000.0  # ms that a late answer takes
TWISTS = ("plain", "reversed", "short", "late")  # how one balancer's answers differ; `late` has ms behind it
SHORT = 2 / 3  # the part of the entries that a short list still names
CALL = re.compile(rb"GET /v1/servers(?:\?index=(-?\d+)&wait=(\d+))? HTTP/1\.1\r\n")
_GARBAGE = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nnot a list"[:-1],
    b"\x00\xff\x17 nothing\r\n\r\n",
    b'HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{"version":"x","full":1,"servers":{"a":1}}'[:80],
    b'HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{"version":1e9',
)


@dataclass
class EntryRegistry:
    """The entries with the version that last changed each. `left` ones stay for the watches."""

    version: int = 0
    entries: dict[str, dict[str, Any]] = field(default_factory=dict)
    changed: dict[str, int] = field(default_factory=dict)

    def put(self, ident: str, **more: object) -> None:
        """Add an entry or change it."""
        self.version += 1
        base: dict[str, Any] = {"id": ident, "state": "active", "weight": 1.0, "started_ms": 0}
        self.entries[ident] = {**self.entries.get(ident, base), **more}
        self.changed[ident] = self.version

    def answer(self, index: int | None) -> dict[str, Any]:
        """The whole list, or what changed after version `index`."""
        whole = index is None or index > self.version
        chosen = [
            entry
            for ident, entry in self.entries.items()
            if (whole and entry["state"] != "left") or (not whole and self.changed[ident] > (index or 0))
        ]
        return {"version": self.version, "full": whole, "servers": chosen}


def parse_twist(text: str) -> tuple[str, float]:
    """One balancer's twist and its figure in ms; raises ValueError."""
    word, _, figure = text.partition(" ")
    if word not in TWISTS or bool(figure) != (word == "late"):
        raise ValueError(f"{text!r} is none of plain, reversed, short and late MS")
    try:
        ms = float(figure or 0.0)
    except ValueError:
        ms = -1.0
    if not 0.0 <= ms <= 60_000.0:
        raise ValueError(f"{text!r} needs 0 to 60000 ms")
    return word, ms


async def _until_gone(stream: SocketStream, call: anyio.CancelScope) -> None:
    """Give a call up when its caller has ended: what would be written then tells nobody."""
    with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
        while True:
            await stream.receive()
    call.cancel()


class Discovery:
    """The service. Changes made with `put` are listed after `lag_ms`; `mode` is one of DISCOVERY_MODES."""

    def __init__(self, clock: Clock, trace: Trace, tasks: anyio.abc.TaskGroup, lag_ms: float = 0.0) -> None:
        self.registry = EntryRegistry()
        self.lag_ms = lag_ms
        self.mode = "absent"
        self.call_count = 0
        self.bytes_sent = 0  # bytes of the lists that were written
        self._clock = clock
        self._trace = trace
        self._tasks = tasks
        self._news = anyio.Event()
        self._one = anyio.Lock()  # it answers one call at a time
        self._port = ListeningPort(self._handle_call, tasks)
        self._views: list[ListeningPort] = []
        self._twists: dict[str, tuple[str, float]] = {}  # of balancers that are told lists of their own

    @property
    def address(self) -> str:
        """HOST:PORT, the same for as long as it is there."""
        return f"{HOST}:{self._port.number}"

    def add_view(self, balancer: str, address_of: Callable[[str], str]) -> str:
        """Listen for one balancer, whose lists name `address_of(id)` as a server's address; HOST:PORT."""

        async def play(stream: SocketStream) -> None:
            await self._handle_call(stream, balancer, address_of)

        port = ListeningPort(play, self._tasks)
        self._views.append(port)
        if self.mode != "absent":
            port.open()
        return f"{HOST}:{port.number}"

    def set_mode(self, mode: str) -> None:
        """Change how calls are answered. Watches end when it goes down."""
        if mode not in DISCOVERY_MODES:
            raise ValueError(f"{mode!r} is none of {' '.join(DISCOVERY_MODES)}")
        was, self.mode = self.mode, mode
        for port in (self._port, *self._views):
            if mode == "absent":
                port.close()
                self._tasks.start_soon(port.reset_all)
            elif was == "absent":
                port.open()
        self._tell()

    def set_twist(self, balancer: str, how: str) -> None:
        """Tell one balancer, which has a view, its lists another way from now on: see TWISTS."""
        self._twists[balancer] = parse_twist(how)
        self.registry.version += 1  # guards the change against a watch that hears of no news
        self._tell()

    def put(self, ident: str, **more: object) -> None:
        """Change an entry; it is told after the lag."""
        self._tasks.start_soon(self._later, lambda: self.registry.put(ident, **more))

    async def _later(self, change: Callable[[], None]) -> None:
        if self.lag_ms:
            await self._clock.sleep(self.lag_ms)
        change()
        self._tell()

    def _tell(self) -> None:
        self._news.set()
        self._news = anyio.Event()

    async def _handle_call(
        self, stream: SocketStream, balancer: str = "", address_of: Callable[[str], str] | None = None
    ) -> None:
        head = b""
        while b"\r\n\r\n" not in head:
            head += await stream.receive()
        self.call_count += 1
        found = CALL.match(head)
        index = int(found[1]) if found and found[1] else None
        wait = float(found[2]) if found and found[2] else 0.0
        async with anyio.create_task_group() as call:
            call.start_soon(_until_gone, stream, call.cancel_scope)
            with contextlib.suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
                await self._reply(stream, index, wait, balancer, address_of)
            call.cancel_scope.cancel()

    async def _reply(
        self,
        stream: SocketStream,
        index: int | None,
        wait: float,
        balancer: str,
        address_of: Callable[[str], str] | None,
    ) -> None:
        if self.mode in ("sound", "late") and index is not None:
            with self._clock.limit(wait):
                while self.registry.version <= index and self.mode == "sound":
                    await self._news.wait()
        await self._clock.sleep(self._twists.get(balancer, ("", 0.0))[1])
        async with self._one:
            await self._answer(stream, index, balancer, address_of)

    async def _answer(
        self, stream: SocketStream, index: int | None, balancer: str, address_of: Callable[[str], str] | None
    ) -> None:
        match self.mode:
            case "hung":
                while self.mode == "hung":
                    await self._news.wait()
                return
            case "late":
                await self._clock.sleep(LATE)
            case "unavailable":
                return await stream.send(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            case "garbage":
                return await stream.send(_GARBAGE[self.call_count % len(_GARBAGE)])
            case "reset" | "absent":
                return await reset(stream)
        twist, _ = self._twists.get(balancer, ("plain", 0.0))
        told = self.registry.answer(index if twist in ("plain", "late") else None)
        missing: list[dict[str, Any]] = []
        if twist == "reversed":
            told["servers"].reverse()
        elif twist == "short":
            whole = told["servers"]
            told["servers"] = whole[: max(1, int(SHORT * len(whole)))]
            missing = [{**entry, "state": "left"} for entry in whole[len(told["servers"]) :]]
        if self.mode == "older":
            told = {**self.registry.answer(None), "version": 1}
        if address_of is not None:
            told["servers"] = [{**entry, "addr": address_of(entry["id"])} for entry in told["servers"]]
        body = json.dumps(told).encode()
        await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        self.bytes_sent += len(body)
        for entry in [*told["servers"], *missing]:
            started = float(entry["started_ms"])
            self._trace.add(
                EventKind.LISTED, server=entry["id"], detail=entry["state"], balancer=balancer, ms=started
            )
