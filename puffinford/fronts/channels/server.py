"""The server side of the channel front: one connection a machine, a channel an attempt."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc

from puffinford.core.clock import Clock
from puffinford.core.values import AttemptEnded, ConnectionBroken, Opening, ServerEntry, Up
from puffinford.fronts.channels import codec
from puffinford.fronts.channels.connection import ChannelConnection
from puffinford.fronts.channels.multiplexer import Channel, Multiplexer, Refused
from puffinford.fronts.channels.opening import decode_refusal, encode_opening
from puffinford.fronts.connecting import connect
from puffinford.fronts.sockets import DescriptorBudget, OwnLack
from puffinford.interface import Result

log = logging.getLogger(__name__)


class ChannelServerConnector:
    """`run` owns the connections; attempts made before it are refused by their connections' lack."""

    def __init__(self, clock: Clock, budget: DescriptorBudget, connect_timeout: float) -> None:
        self._clock = clock
        self._budget = budget
        self.connect_timeout = connect_timeout
        self._tasks: anyio.abc.TaskGroup | None = None
        self._muxes: dict[tuple[str, int], Multiplexer] = {}
        self._locks: dict[tuple[str, int], anyio.Lock] = {}

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await anyio.sleep_forever()

    async def _mux(self, entry: ServerEntry) -> Multiplexer:
        """The machine's connection, opened where there is none."""
        address = (entry.host, entry.port)
        async with self._locks.setdefault(address, anyio.Lock()):
            multiplexer = self._muxes.get(address)
            if multiplexer is None or multiplexer.over:
                try:
                    stream = await connect(address, self._clock, self._budget)
                except OwnLack:
                    raise AttemptEnded(Result.NOT_SENT) from None
                if stream is None or self._tasks is None:
                    raise AttemptEnded(Result.CONNECT_FAILED)
                multiplexer = self._muxes[address] = Multiplexer(stream, self._clock, client=True)
                self._tasks.start_soon(multiplexer.run)
                await multiplexer.up.wait()
        if multiplexer.over:
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
        started = self._clock.now()
        multiplexer = None
        with self._clock.limit(min(wait, self.connect_timeout)):
            multiplexer = await self._mux(entry)
        if multiplexer is None:
            raise AttemptEnded(Result.CONNECT_FAILED)
        await admit()
        left = wait - (self._clock.now() - started)
        if left <= 0:
            raise AttemptEnded(Result.CONNECT_FAILED)
        try:
            channel = await multiplexer.open(encode_opening(opening, left), sent)
        except (ConnectionBroken, Refused):
            raise AttemptEnded(Result.CONNECT_FAILED) from None
        standing = False
        opened = self._clock.now()
        try:
            with self._clock.limit(left):
                await channel.settled.wait()
            if not channel.settled.is_set() and multiplexer.heard_at < opened:
                self._retire(entry, multiplexer)
            connection, up = self._settle(channel)
            standing = True
            return connection, up
        finally:
            # Guards against a second attempt beside one given up: the server is told first.
            if not standing:
                multiplexer.cancel_open(channel)

    def _retire(self, entry: ServerEntry, multiplexer: Multiplexer) -> None:
        """Make the next attempt there on a new connection.

        Guards a sound server against a connection that it has forgotten: nothing comes on it, and no end.
        """
        address = (entry.host, entry.port)
        if self._muxes.get(address) is multiplexer:
            del self._muxes[address]
        multiplexer.retire()

    def _settle(self, channel: Channel) -> tuple[ChannelConnection, Up]:
        if not channel.settled.is_set():
            raise AttemptEnded(
                Result.CONNECT_FAILED if channel.multiplexer.waits(channel) else Result.TIMEOUT
            )
        if channel.refused is not None:
            raise AttemptEnded(decode_refusal(channel.refused))
        if channel.gone:
            raise AttemptEnded(Result.RESET if channel.sent_open else Result.CONNECT_FAILED)
        try:
            receipt = codec.PayloadReader(channel.confirmation).text()
        except codec.Malformed:
            raise AttemptEnded(Result.ERROR) from None
        return ChannelConnection(channel, self._clock), Up(receipt)

    async def probe(self, entry: ServerEntry, wait: float, load: bool) -> tuple[Result, str]:
        """Whether the machine speaks: its connection stands, or comes to stand. Channels carry no report."""
        result = Result.TIMEOUT
        try:
            with self._clock.limit(wait):
                await self._mux(entry)
                result = Result.OK
        except AttemptEnded as exc:
            result = exc.result
        return result, ""
