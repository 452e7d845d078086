"""The submitter side of the channel front: each channel that a submitter opens is one job."""

from __future__ import annotations

import logging

import anyio
import anyio.abc

from puffinford.core.clock import Clock
from puffinford.core.exchange import Exchange
from puffinford.core.values import BadOpening
from puffinford.fronts.channels import codec
from puffinford.fronts.channels.leg import ChannelLeg
from puffinford.fronts.channels.mux import Channel, Mux
from puffinford.fronts.channels.opening import decode_opening
from puffinford.fronts.sockets import Wire

log = logging.getLogger(__name__)


class ChannelSubmitters:
    def __init__(self, exchange: Exchange, clock: Clock) -> None:
        self._exchange = exchange
        self._clock = clock

    async def handle(self, stream: anyio.abc.SocketStream) -> None:
        """Serve one connection and all its channels to their ends."""
        async with anyio.create_task_group() as jobs:

            def on_open(channel: Channel, message: codec.ChannelOpen) -> None:
                try:
                    opening = decode_opening(message.extra)
                except BadOpening as exc:
                    mux.refuse(channel, codec.PROHIBITED, str(exc))
                    return
                leg = ChannelLeg(channel, self._clock)

                async def serve() -> None:
                    try:
                        await self._exchange.serve(opening, leg)
                    except Exception:
                        # Guards the connection's other channels against one job's fault.
                        log.exception("job failed", extra={"job": opening.job})

                jobs.start_soon(serve)

            mux = Mux(Wire(stream, self._clock), self._clock, client=False, on_open=on_open)
            await mux.run()
