"""The submitter side of the line front: takes connections and hands their jobs to the exchange."""

from __future__ import annotations

import logging

import anyio.abc

from puffinford.core.clock import Clock
from puffinford.core.exchange import Exchange
from puffinford.core.values import BadOpening, Broken, Ended, Failed
from puffinford.fronts.lines import codec
from puffinford.fronts.lines.leg import LineLeg
from puffinford.fronts.sockets import Wire

log = logging.getLogger(__name__)

FIRST_LINE = 2_000.0  # a connection that has sent no whole line by then is ended; 3 s are allowed
PINGS_IDLE = 60_000.0  # one that has sent PING may stay this long for the next


class LineSubmitters:
    def __init__(self, exchange: Exchange, clock: Clock) -> None:
        self._exchange = exchange
        self._clock = clock

    async def handle(self, stream: anyio.abc.SocketStream) -> None:
        """Serve one connection to its end."""
        wire = Wire(stream, self._clock)
        leg = LineLeg(wire)
        wait = FIRST_LINE
        try:
            while True:
                line = b""
                with self._clock.limit(wait):
                    line = await leg.read_line()
                if not line:
                    log.info("no first line")
                    await leg.answer(Failed("no line"))
                    break
                first = codec.decode_first(line)
                if isinstance(first, codec.Ping):
                    await wire.write(codec.PONG)
                    wait = PINGS_IDLE
                    continue
                await self._exchange.serve(first, leg)
                return
        except BadOpening as exc:
            # Guards against whatever else connects: a plain failing answer, and no job.
            log.info("bad first line", extra={"error": str(exc), "line": repr(line[:80])})
            try:
                await leg.answer(Failed(str(exc)))
            except Broken:
                return
        except (Ended, Broken):
            return
        await leg.end()
