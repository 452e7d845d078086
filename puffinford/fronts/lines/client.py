"""The client side of the line front: takes connections and hands their requests to the exchange."""

from __future__ import annotations

import contextlib
import logging

from puffinford.core.exchange import Exchange
from puffinford.core.values import BadOpening, Broken, Ended, Failed
from puffinford.fronts.accepting import TURNED_FOR, Door
from puffinford.fronts.lines import codec
from puffinford.fronts.lines.leg import LineLeg
from puffinford.fronts.sockets import Wire
from puffinford.logs import Seldom

# The name of before: operators find these lines by `from`.
seldom = Seldom(logging.getLogger("puffinford.fronts.lines.submitter"))

# A connection that has sent no whole line by then is ended. Bad clients must hear within 3 s, and sound ones
# may write their line in pieces over 2 s.
FIRST_LINE = 2_700.0
PINGS_IDLE = 10_000.0  # one that has sent PING may stay this long for the next


class Dismissed(Exception):
    """The process ends before the client has asked for anything."""


class LineClients:
    def __init__(self, exchange: Exchange, door: Door) -> None:
        self._exchange = exchange
        self._door = door

    async def handle(self, wire: Wire) -> None:
        """Serve one connection to its end."""
        leg = LineLeg(wire)
        line = b""
        try:
            while True:
                line = await self._first_line(leg)
                first = codec.decode_first(line)
                if leg.pending:
                    # Guards against commands sent at once: a client waits for the answer to each.
                    raise codec.BadLine("more than one line at once")
                if not isinstance(first, codec.Ping):
                    await self._exchange.serve(first, leg)
                    return
                await wire.write(codec.PONG)
                await self._rest(leg)
        except BadOpening as exc:
            # Guards against whatever else connects: a plain failing answer, and no request.
            seldom.info("bad first line", error=str(exc), line=repr(line[:80]))
            with contextlib.suppress(Broken):
                await leg.answer(Failed(str(exc)))
                await leg.end()
        except Dismissed:
            # Guards a request that crosses the end of the process: its answer is there before the end.
            with contextlib.suppress(Broken):
                await leg.answer(self._exchange.leaving)
                await leg.end()
        except (Ended, Broken):
            pass

    async def _first_line(self, leg: LineLeg) -> bytes:
        """The next line, all of it within FIRST_LINE; raises BadLine, Dismissed."""
        line = b""
        with self._door.wait(FIRST_LINE) as heard:
            line = await leg.read_line(heard)
        # Guards the line that came in the moment in which its time was up, or its place was needed.
        line = line or leg.ready_line() or b""
        if not line:
            raise self._no_line()
        return line

    def _no_line(self) -> Exception:
        """Why the wait for a line is over."""
        return Dismissed() if self._door.dismissed else codec.BadLine("no line in time")

    async def _rest(self, leg: LineLeg) -> None:
        """Wait for the next line to begin; raises BadLine, Dismissed.

        Guards the descriptors against clients that stop in the middle of a line: this long wait ends with its
        first byte.
        """
        with self._door.wait(PINGS_IDLE) as heard:
            await leg.begun(heard)
        if not leg.has_begun():
            raise self._no_line()

    async def turn_away(self, wire: Wire) -> None:
        """Answer one that finds no place, if its line comes at once; a close would tell it nothing."""
        leg = LineLeg(wire)
        line = b""
        with contextlib.suppress(BadOpening, Ended, Broken):
            with wire.clock.limit(TURNED_FOR):
                line = await leg.read_line()
            first = codec.decode_first(line)
            if not isinstance(first, codec.Ping):
                await self._exchange.serve(first, leg, room=False)
