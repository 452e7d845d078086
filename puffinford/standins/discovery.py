"""The discovery service: the server list and its watch over HTTP/1.1, with scripted faults."""

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
LATE_ANSWER_DELAY_MS = 3_000.0  # in mode `late`
TWISTS = ("plain", "reversed", "short", "late")  # of one balancer's answers; `late MS` delays them
SHORT_LIST_FRACTION = 2 / 3  # of the entries that a short list has
CALL_PATTERN = re.compile(rb"GET /v1/servers(?:\?index=(-?\d+)&wait=(\d+))? HTTP/1\.1\r\n")
_GARBAGE = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nnot a list"[:-1],
    b"\x00\xff\x17 nothing\r\n\r\n",
    b'HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{"version":"x","full":1,"servers":{"a":1}}'[:80],
    b'HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{"version":1e9',
)


@dataclass
class EntryRegistry:
    """The entries, each with the version of its last change. Those in state `left` are kept for watches."""

    version: int = 0
    entries: dict[str, dict[str, Any]] = field(default_factory=dict)
    changed: dict[str, int] = field(default_factory=dict)  # version of each entry's last change

    def put(self, ident: str, **more: object) -> None:
        """Add or change an entry, under a new version."""
        self.version += 1
        defaults: dict[str, Any] = {"id": ident, "state": "active", "weight": 1.0, "started_ms": 0}
        self.entries[ident] = {**self.entries.get(ident, defaults), **more}
        self.changed[ident] = self.version

    def answer(self, index: int | None) -> dict[str, Any]:
        """Return the complete list, or the entries changed after version `index`."""
        full = index is None or index > self.version
        chosen = [
            entry
            for ident, entry in self.entries.items()
            if (full and entry["state"] != "left") or (not full and self.changed[ident] > (index or 0))
        ]
        return {"version": self.version, "full": full, "servers": chosen}


def parse_twist(text: str) -> tuple[str, float]:
    """Parse the twist of one balancer's answers into its name and delay in ms; raises ValueError."""
    word, _, delay = text.partition(" ")
    if word not in TWISTS or bool(delay) != (word == "late"):
        raise ValueError(f"{text!r} is none of plain, reversed, short, late MS")
    try:
        ms = float(delay or 0.0)
    except ValueError:
        ms = -1.0
    if not 0.0 <= ms <= 60_000.0:
        raise ValueError(f"{text!r} is out of range: 0 to 60000 ms")
    return word, ms


async def _cancel_when_closed(stream: SocketStream, call: anyio.CancelScope) -> None:
    """Cancel a call when its caller closes the connection, so that no answer is recorded as listed."""
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
        self.bytes_sent = 0  # of the lists that were written
        self._clock = clock
        self._trace = trace
        self._tasks = tasks
        self._changed = anyio.Event()
        self._answer_lock = anyio.Lock()  # calls are answered one at a time
        self._port = ListeningPort(self._handle_call, tasks)
        self._views: list[ListeningPort] = []
        self._twists: dict[str, tuple[str, float]] = {}  # by balancer; name and delay in ms

    @property
    def address(self) -> str:
        """HOST:PORT, the same as long as the instance exists."""
        return f"{HOST}:{self._port.number}"

    def add_view(self, balancer: str, address_of: Callable[[str], str]) -> str:
        """Listen for one balancer, to which servers are listed at `address_of(id)`; return HOST:PORT."""

        async def handle(stream: SocketStream) -> None:
            await self._handle_call(stream, balancer, address_of)

        port = ListeningPort(handle, self._tasks)
        self._views.append(port)
        if self.mode != "absent":
            port.open()
        return f"{HOST}:{port.number}"

    def set_mode(self, mode: str) -> None:
        """Change how calls are answered. Watches end with mode `absent`."""
        if mode not in DISCOVERY_MODES:
            raise ValueError(f"{mode!r} is none of {' '.join(DISCOVERY_MODES)}")
        previous, self.mode = self.mode, mode
        for port in (self._port, *self._views):
            if mode == "absent":
                port.close()
                self._tasks.start_soon(port.reset_all)
            elif previous == "absent":
                port.open()
        self._notify_watches()

    def set_twist(self, balancer: str, how: str) -> None:
        """Change the lists of one balancer that has a view, from now on; see TWISTS."""
        self._twists[balancer] = parse_twist(how)
        self.registry.version += 1  # otherwise its open watch would not be answered
        self._notify_watches()

    def put(self, ident: str, **more: object) -> None:
        """Change an entry; it is listed after the lag."""
        self._tasks.start_soon(self._change_after_lag, lambda: self.registry.put(ident, **more))

    async def _change_after_lag(self, change: Callable[[], None]) -> None:
        if self.lag_ms:
            await self._clock.sleep(self.lag_ms)
        change()
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def _handle_call(
        self, stream: SocketStream, balancer: str = "", address_of: Callable[[str], str] | None = None
    ) -> None:
        head = b""
        while b"\r\n\r\n" not in head:
            head += await stream.receive()
        self.call_count += 1
        found = CALL_PATTERN.match(head)
        index = int(found[1]) if found and found[1] else None
        wait = float(found[2]) if found and found[2] else 0.0
        async with anyio.create_task_group() as call:
            call.start_soon(_cancel_when_closed, stream, call.cancel_scope)
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
                    await self._changed.wait()
        await self._clock.sleep(self._twists.get(balancer, ("", 0.0))[1])
        async with self._answer_lock:
            await self._answer(stream, index, balancer, address_of)

    async def _answer(
        self, stream: SocketStream, index: int | None, balancer: str, address_of: Callable[[str], str] | None
    ) -> None:
        match self.mode:
            case "hung":
                while self.mode == "hung":
                    await self._changed.wait()
                return
            case "late":
                await self._clock.sleep(LATE_ANSWER_DELAY_MS)
            case "unavailable":
                return await stream.send(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            case "garbage":
                return await stream.send(_GARBAGE[self.call_count % len(_GARBAGE)])
            case "reset" | "absent":
                return await reset(stream)
        twist, _ = self._twists.get(balancer, ("plain", 0.0))
        answer = self.registry.answer(index if twist in ("plain", "late") else None)
        missing: list[dict[str, Any]] = []
        if twist == "reversed":
            answer["servers"].reverse()
        elif twist == "short":
            complete = answer["servers"]
            answer["servers"] = complete[: max(1, int(SHORT_LIST_FRACTION * len(complete)))]
            missing = [{**entry, "state": "left"} for entry in complete[len(answer["servers"]) :]]
        if self.mode == "older":
            answer = {**self.registry.answer(None), "version": 1}
        if address_of is not None:
            answer["servers"] = [{**entry, "addr": address_of(entry["id"])} for entry in answer["servers"]]
        body = json.dumps(answer).encode()
        await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        self.bytes_sent += len(body)
        for entry in [*answer["servers"], *missing]:
            started = float(entry["started_ms"])
            self._trace.add(
                EventKind.LISTED, server=entry["id"], detail=entry["state"], balancer=balancer, ms=started
            )
