"""A TCP proxy on a loopback port of its own, which injects the faults of a network link between two parties.

A connection through a sound link keeps its bytes, their order and how it ends: FIN stays FIN, RST stays RST.
"""

from __future__ import annotations

import contextlib

import anyio
import anyio.abc
from anyio.abc import SocketStream
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from puffinford.core.clock import Clock
from puffinford.stage.faults import Fault
from puffinford.standins.listeners import ListeningPort, reset

MAX_QUEUED_CHUNKS = 64  # of each direction of a connection: bounds memory while a fault delays them
CONNECT_TIMEOUT_MS = 2_000.0
Chunk = tuple[float, bytes | None]  # arrival time in ms and data; empty data: FIN, None: RST


class Link:
    """A proxied link. `set_fault` changes its fault, also for open connections."""

    def __init__(
        self,
        name: str,
        target: tuple[str, int],
        clock: Clock,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Listen on a free port; connections are forwarded to `target`, a host and port."""
        self.name = name
        self.fault = Fault()
        self.accepted_connections = 0
        self.forwarded_bytes = 0
        self.max_lateness_ms = 0.0  # longest delay of a chunk beyond the time at which it was due
        self._target = target
        self._clock = clock
        self._changed = anyio.Event()
        self._listener = ListeningPort(self._forward, tasks)
        self._listener.open()

    @property
    def port(self) -> int:
        """The port of HOST to connect to."""
        return self._listener.number

    async def set_fault(self, fault: Fault) -> None:
        """Replace the fault of this link."""
        self.fault = fault
        self._changed.set()
        self._changed = anyio.Event()
        if fault.kind == "rst":
            await self._listener.reset_all()
        elif fault.kind == "fin":
            for stream in list(self._listener.streams):
                with contextlib.suppress(anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
                    await stream.aclose()

    async def _forward(self, near: SocketStream) -> None:
        self.accepted_connections += 1
        if self.fault.kind in ("fin", "rst"):
            if self.fault.kind == "rst":
                await reset(near)
            return
        while self.fault.kind_for("there") == "hold":  # accepted, but not yet forwarded
            await self._changed.wait()
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_MS / 1_000.0):
                far = await anyio.connect_tcp(*self._target)
        except (OSError, TimeoutError):
            return await reset(near)
        try:
            async with anyio.create_task_group() as directions:
                for direction, source, sink in (("there", near, far), ("back", far, near)):
                    send, receive = anyio.create_memory_object_stream[Chunk](MAX_QUEUED_CHUNKS)
                    directions.start_soon(self._read, source, send)
                    directions.start_soon(self._write, direction, receive, (near, far), sink, directions)
        finally:
            await anyio.aclose_forcefully(far)

    async def _read(self, source: SocketStream, send: MemoryObjectSendStream[Chunk]) -> None:
        """Queue what arrives with its arrival time; data that arrived before an RST is still forwarded."""
        data: bytes | None = b""
        with send:
            while True:
                try:
                    data = await source.receive()
                except anyio.EndOfStream:
                    data = b""
                except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                    data = None
                with contextlib.suppress(anyio.BrokenResourceError):
                    await send.send((self._clock.now(), data))
                if not data:
                    return

    async def _write(
        self,
        direction: str,
        receive: MemoryObjectReceiveStream[Chunk],
        ends: tuple[SocketStream, SocketStream],
        sink: SocketStream,
        directions: anyio.abc.TaskGroup,
    ) -> None:
        """Forward the chunks of one direction, subject to the current fault."""
        forwarded, lost = 0, False
        with receive:
            async for arrived_at, data in receive:
                due = await self._wait_until_due(direction, arrived_at, len(data or b""))
                kind = self.fault.kind_for(direction)
                lost = lost or kind == "drop"
                if lost:  # after a gap neither data nor the end of the connection is forwarded
                    continue
                cut = kind == "cut" and data and forwarded + len(data) > self.fault.value
                if cut and data:
                    data = data[: max(0, int(self.fault.value) - forwarded)]
                try:
                    if data:
                        await sink.send(data)
                        forwarded += len(data)
                        self.forwarded_bytes += len(data)
                        self.max_lateness_ms = max(self.max_lateness_ms, self._clock.now() - due)
                    elif data is not None and not cut:
                        await sink.send_eof()
                except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
                    data = None
                if data is None or cut:
                    for end in ends:
                        await reset(end)
                    directions.cancel_scope.cancel()
                    return

    async def _wait_until_due(self, direction: str, arrived_at: float, size: int) -> float:
        """Wait until a chunk may be forwarded; return when it became due (ms of the clock)."""
        due = arrived_at
        while self.fault.kind_for(direction) == "hold":
            await self._changed.wait()
            due = self._clock.now()
        if self.fault.kind_for(direction) == "delay":
            due = max(due, arrived_at + self.fault.value)
        elif self.fault.kind_for(direction) == "rate":
            due = max(due, self._clock.now()) + size / self.fault.value * 1_000.0
        if due > self._clock.now():
            await self._clock.sleep(due - self._clock.now())
        return due
