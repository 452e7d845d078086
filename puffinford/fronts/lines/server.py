"""The server side of the line front: each claim is a connection of its own."""

from __future__ import annotations

import anyio
import anyio.abc

from puffinford.core.clock import Clock
from puffinford.core.values import Broken, ClaimEnded, Ended, Machine, Opening, Up
from puffinford.fronts.lines import codec
from puffinford.fronts.lines.leg import LineLeg
from puffinford.fronts.sockets import Wire, connect
from puffinford.interface import Result


class LineServers:
    def __init__(self, clock: Clock, connect_timeout: float) -> None:
        self._clock = clock
        self.connect_timeout = connect_timeout

    async def _connect(self, machine: Machine, wait: float) -> anyio.abc.SocketStream:
        stream = None
        with self._clock.limit(min(wait, self.connect_timeout)):
            stream = await connect((machine.host, machine.port))
        if stream is None:
            raise ClaimEnded(Result.CONNECT_FAILED)
        return stream

    async def claim(self, machine: Machine, opening: Opening, wait: float) -> tuple[LineLeg, Up]:
        started = self._clock.now()
        stream = await self._connect(machine, wait)
        wire = Wire(stream, self._clock)
        leg = LineLeg(wire)
        answer: Up | Result = Result.TIMEOUT
        line = b""
        try:
            left = wait - (self._clock.now() - started)
            try:
                await wire.write(codec.encode_opening(opening, left))
            except Broken:
                raise ClaimEnded(Result.CONNECT_FAILED) from None
            with self._clock.limit(left):
                try:
                    line = await leg.read_line()
                    answer = codec.decode_answer(line)
                except (Ended, Broken):
                    answer = Result.RESET
            if isinstance(answer, Up):
                stream = None  # type: ignore[assignment]  # it is the leg's now
                return leg, answer
            messages = (codec.decode_message(line),) if answer is Result.OK else ()
            raise ClaimEnded(answer, messages)
        finally:
            # Guards against a second claim beside one given up: its connection is closed first.
            if stream is not None:
                await anyio.aclose_forcefully(stream)

    async def probe(self, machine: Machine, wait: float) -> Result:
        try:
            stream = await self._connect(machine, wait)
        except ClaimEnded as exc:
            return exc.result
        wire = Wire(stream, self._clock)
        result = Result.TIMEOUT
        try:
            with self._clock.limit(wait):
                await wire.write(codec.PING.encode() + codec.END)
                line = await LineLeg(wire).read_line()
                result = Result.OK if line == codec.PONG else Result.ERROR
        except (Ended, Broken):
            result = Result.RESET
        finally:
            await wire.close()
        return result
