"""Client side of the channel front: each channel that a client opens is one request."""

from __future__ import annotations

import logging

import anyio

from puffinford.core.exchange import Exchange
from puffinford.core.values import InvalidOpening
from puffinford.fronts.accepting import ConnectionTracker
from puffinford.fronts.channels import codec
from puffinford.fronts.channels.connection import ChannelConnection
from puffinford.fronts.channels.multiplexer import Channel, Multiplexer
from puffinford.fronts.channels.opening import decode_opening
from puffinford.fronts.memory import CHANNEL_REQUEST_BYTES, OPENING_COPIES
from puffinford.fronts.sockets import TcpStream

log = logging.getLogger("puffinford.fronts.channels.client")


class ChannelClientHandler:
    """Accepts the channels of each connection and serves their requests."""

    def __init__(self, exchange: Exchange, tracker: ConnectionTracker) -> None:
        self._exchange = exchange
        self._tracker = tracker

    async def handle(self, stream: TcpStream) -> None:
        """Serve one connection until it and all its channels are closed."""
        memory = self._tracker.memory.connection()
        async with anyio.create_task_group() as requests:

            def on_open(channel: Channel, message: codec.ChannelOpen) -> None:
                try:
                    opening = decode_opening(message.extra)
                except InvalidOpening as exc:
                    multiplexer.refuse(channel, codec.PROHIBITED, str(exc))
                    return
                connection = ChannelConnection(channel, stream.clock)
                size = CHANNEL_REQUEST_BYTES + OPENING_COPIES * len(message.extra)

                async def serve() -> None:
                    try:
                        with memory.reserve(size) as has_room:
                            await self._exchange.serve(opening, connection, has_room)
                    except Exception:
                        # A failed request must not close the connection's other channels.
                        log.exception("request failed", extra={"request": opening.request_id})

                requests.start_soon(serve)

            multiplexer = Multiplexer(
                stream, stream.clock, is_client=False, on_open=on_open, tracker=self._tracker
            )
            await multiplexer.run()
