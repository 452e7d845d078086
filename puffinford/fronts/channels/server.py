"""Server side of the channel front: one connection per server, one channel per attempt."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc

from puffinford.core.clock import Clock
from puffinford.core.values import AttemptEnded, ConnectionBroken, Opening, ServerEntry, Up
from puffinford.fronts.channels import codec
from puffinford.fronts.channels.connection import ChannelConnection
from puffinford.fronts.channels.multiplexer import Channel, Multiplexer, OpenRefused
from puffinford.fronts.channels.opening import decode_refusal, encode_opening
from puffinford.fronts.connecting import connect
from puffinford.fronts.sockets import DescriptorBudget, LocalShortage
from puffinford.interface import Result

log = logging.getLogger(__name__)


class ChannelServerConnector:
    """Opens channels to servers; `connect_timeout` is in ms.

    `run` owns the connections; attempts before it runs fail with CONNECT_FAILED.
    """

    def __init__(self, clock: Clock, budget: DescriptorBudget, connect_timeout: float) -> None:
        self._clock = clock
        self._budget = budget
        self.connect_timeout = connect_timeout
        self._tasks: anyio.abc.TaskGroup | None = None
        self._multiplexers: dict[tuple[str, int], Multiplexer] = {}
        self._locks: dict[tuple[str, int], anyio.Lock] = {}

    async def run(self) -> None:
        """Serve the connections until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await anyio.sleep_forever()

    async def _multiplexer(self, entry: ServerEntry) -> Multiplexer:
        """Return the server's connection, opened if there is none; raises AttemptEnded."""
        address = (entry.host, entry.port)
        async with self._locks.setdefault(address, anyio.Lock()):
            multiplexer = self._multiplexers.get(address)
            if multiplexer is None or multiplexer.closed:
                try:
                    stream = await connect(address, self._clock, self._budget)
                except LocalShortage:
                    raise AttemptEnded(Result.NOT_SENT) from None
                if stream is None or self._tasks is None:
                    raise AttemptEnded(Result.CONNECT_FAILED)
                multiplexer = self._multiplexers[address] = Multiplexer(stream, self._clock, is_client=True)
                self._tasks.start_soon(multiplexer.run)
                await multiplexer.ready.wait()
        if multiplexer.closed:
            raise AttemptEnded(Result.CONNECT_FAILED)
        return multiplexer

    async def open_connection(
        self,
        entry: ServerEntry,
        opening: Opening,
        wait: float,
        admit: Callable[[], Awaitable[None]],
        sent: Callable[[], None],
    ) -> tuple[ChannelConnection, Up]:
        """Open a channel for an opening within `wait` ms; see `ServerConnector`."""
        started_at = self._clock.now()
        multiplexer = None
        with self._clock.limit(min(wait, self.connect_timeout)):
            multiplexer = await self._multiplexer(entry)
        if multiplexer is None:
            raise AttemptEnded(Result.CONNECT_FAILED)
        await admit()
        remaining_ms = wait - (self._clock.now() - started_at)
        if remaining_ms <= 0:
            raise AttemptEnded(Result.CONNECT_FAILED)
        try:
            channel = await multiplexer.open_channel(encode_opening(opening, remaining_ms), sent)
        except (ConnectionBroken, OpenRefused):
            raise AttemptEnded(Result.CONNECT_FAILED) from None
        established = False
        opened_at = self._clock.now()
        try:
            with self._clock.limit(remaining_ms):
                await channel.answered.wait()
            if not channel.answered.is_set() and multiplexer.last_read_at < opened_at:
                self._replace_connection(entry, multiplexer)
            connection, up = self._attempt_result(channel)
            established = True
            return connection, up
        finally:
            # Prevents two attempts at a time: the open is cancelled before the next attempt starts.
            if not established:
                multiplexer.cancel_open(channel)

    def _replace_connection(self, entry: ServerEntry, multiplexer: Multiplexer) -> None:
        """Open a new connection for the next attempt to this server.

        Prevents attempts on a connection that the server has lost, from which neither data nor a FIN arrives.
        """
        address = (entry.host, entry.port)
        if self._multiplexers.get(address) is multiplexer:
            del self._multiplexers[address]
        multiplexer.retire()

    def _attempt_result(self, channel: Channel) -> tuple[ChannelConnection, Up]:
        """Return the established connection; raises AttemptEnded if the open failed or has no answer."""
        if not channel.answered.is_set():
            raise AttemptEnded(
                Result.CONNECT_FAILED if channel.multiplexer.is_unwritten(channel) else Result.TIMEOUT
            )
        if channel.refusal is not None:
            raise AttemptEnded(decode_refusal(channel.refusal))
        if channel.connection_lost:
            raise AttemptEnded(Result.RESET if channel.open_sent else Result.CONNECT_FAILED)
        try:
            receipt = codec.PayloadReader(channel.confirmation).text()
        except codec.MalformedMessage:
            raise AttemptEnded(Result.ERROR) from None
        return ChannelConnection(channel, self._clock, is_server=True), Up(receipt)

    async def probe(self, entry: ServerEntry, wait: float, load: bool) -> tuple[Result, str]:
        """Check that the server accepts a connection within `wait` ms; there is no load report."""
        result = Result.TIMEOUT
        try:
            with self._clock.limit(wait):
                await self._multiplexer(entry)
                result = Result.OK
        except AttemptEnded as exc:
            result = exc.result
        return result, ""
