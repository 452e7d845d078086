"""A link: one way between two parties through a port of its own on loopback, with the faults that links have.

A line through a sound link keeps its bytes, their order and how it ends: FIN stays FIN, RST stays RST.
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

PIECES = 64  # read ahead on a way that is delayed; guards memory against a peer that writes without end
CONNECT = 2_000.0  # ms
Piece = tuple[float, bytes | None]  # when it came; no bytes: FIN, None: RST


class Link:
    """One link. `become` changes what it does, for the lines that stand too."""

    def __init__(
        self,
        name: str,
        target: tuple[str, int],
        clock: Clock,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """`target` is the host and port it leads to."""
        self.name = name
        self.fault = Fault()
        self.lines = 0  # that were taken
        self.passed = 0  # bytes
        self.lateness = 0.0  # ms: the most that a piece was passed on after it was due
        self._target = target
        self._clock = clock
        self._changed = anyio.Event()
        self._port = ListeningPort(self._play, tasks)
        self._port.open()

    @property
    def number(self) -> int:
        """The port to connect to, on HOST."""
        return self._port.number

    async def become(self, fault: Fault) -> None:
        """Change what it does."""
        self.fault = fault
        self._changed.set()
        self._changed = anyio.Event()
        if fault.kind == "rst":
            await self._port.reset_all()
        elif fault.kind == "fin":
            for stream in list(self._port.streams):
                with contextlib.suppress(anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
                    await stream.aclose()

    async def _play(self, near: SocketStream) -> None:
        self.lines += 1
        if self.fault.kind in ("fin", "rst"):
            if self.fault.kind == "rst":
                await reset(near)
            return
        while self.fault.on("there") == "hold":  # accepted, and as good as not there
            await self._changed.wait()
        try:
            with anyio.fail_after(CONNECT / 1_000.0):
                far = await anyio.connect_tcp(*self._target)
        except (OSError, TimeoutError):
            return await reset(near)
        try:
            async with anyio.create_task_group() as ways:
                for way, source, sink in (("there", near, far), ("back", far, near)):
                    send, take = anyio.create_memory_object_stream[Piece](PIECES)
                    ways.start_soon(self._read, source, send)
                    ways.start_soon(self._write, way, take, (near, far), sink, ways)
        finally:
            await anyio.aclose_forcefully(far)

    async def _read(self, source: SocketStream, send: MemoryObjectSendStream[Piece]) -> None:
        """What comes, with its times; bytes of a line that ended with RST after them are still passed on."""
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
        way: str,
        take: MemoryObjectReceiveStream[Piece],
        ends: tuple[SocketStream, SocketStream],
        sink: SocketStream,
        ways: anyio.abc.TaskGroup,
    ) -> None:
        """Pass on what came on one way, as the fault of the moment says."""
        passed, lost = 0, False
        with take:
            async for came, data in take:
                due = await self._due(way, came, len(data or b""))
                kind = self.fault.on(way)
                lost = lost or kind == "drop"
                if lost:  # a line with a gap in it says nothing any more, nor that it has ended
                    continue
                cut = kind == "cut" and data and passed + len(data) > self.fault.figure
                if cut and data:
                    data = data[: max(0, int(self.fault.figure) - passed)]
                try:
                    if data:
                        await sink.send(data)
                        passed += len(data)
                        self.passed += len(data)
                        self.lateness = max(self.lateness, self._clock.now() - due)
                    elif data is not None and not cut:
                        await sink.send_eof()
                except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
                    data = None
                if data is None or cut:
                    for end in ends:
                        await reset(end)
                    ways.cancel_scope.cancel()
                    return

    async def _due(self, way: str, came: float, size: int) -> float:
        """Wait until a piece may be passed on; tells when that was."""
        due = came
        while self.fault.on(way) == "hold":
            await self._changed.wait()
            due = self._clock.now()
        if self.fault.on(way) == "delay":
            due = max(due, came + self.fault.figure)
        elif self.fault.on(way) == "rate":
            due = max(due, self._clock.now()) + size / self.fault.figure * 1_000.0
        if due > self._clock.now():
            await self._clock.sleep(due - self._clock.now())
        return due
