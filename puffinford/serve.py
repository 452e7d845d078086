"""Puts the parts together and runs them until the end."""

from __future__ import annotations

import logging
import signal

import anyio

from puffinford.config import Config
from puffinford.core.clock import Clock
from puffinford.core.exchange import Exchange
from puffinford.fronts.channels.server import ChannelServers
from puffinford.fronts.channels.submitter import ChannelSubmitters
from puffinford.fronts.lines.server import LineServers
from puffinford.fronts.lines.submitter import LineSubmitters
from puffinford.fronts.sockets import Handler, accept_all, bind, local_address
from puffinford.machines.discovery import DiscoveryWatch
from puffinford.machines.inventory import InventoryFile

log = logging.getLogger(__name__)

# At a planned restart the kill comes no earlier than the longest deadline (3 s at most) plus 0.7 s after
# SIGTERM, and new connections arrive for up to 0.4 s: clients moved before that would come back here.
DRAIN_FROM = 450.0
DRAIN_MOST = 3_000.0
KILL_AFTER = 700.0
DRAIN_SPARE = 900.0  # for the last ends to arrive before the kill
STAY = 10_000.0  # after the drain, for the platform to end the process itself


async def serve(config: Config, clock: Clock) -> None:
    settings = config.settings
    channel_servers = ChannelServers(clock, settings.connect_timeout)
    exchange = Exchange(
        settings,
        config.seed,
        clock,
        {"lines": LineServers(clock, settings.connect_timeout), "channels": channel_servers},
    )
    source: DiscoveryWatch | InventoryFile
    if config.inventory is not None:
        source = InventoryFile(config.inventory, clock, exchange.take_list)
        source.check()
    else:
        assert config.discovery is not None
        source = DiscoveryWatch(config.discovery, config.known, clock, exchange.take_list)
    longest = min(DRAIN_MOST, max(cls.deadline for cls in settings.classes))
    fronts: list[tuple[tuple[str, int], Handler]] = [(config.listen, LineSubmitters(exchange, clock).handle)]
    if config.channels is not None:
        fronts.append((config.channels, ChannelSubmitters(exchange, clock).handle))
    listeners = [(listener, handle) for address, handle in fronts for listener in await bind(address)]
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(channel_servers.run)
            tasks.start_soon(exchange.run, source, config.known)
            tasks.start_soon(source.run)
            for listener, handle in listeners:
                tasks.start_soon(accept_all, listener, handle, clock)
            for listener, _ in listeners:
                log.info("serving", extra={"balancer": config.name, "listen": local_address(listener)})
            async for signum in signals:
                log.info("stopping", extra={"signal": signal.Signals(signum).name})
                if signum == signal.SIGTERM:
                    await exchange.drain(DRAIN_FROM, longest + KILL_AFTER - DRAIN_FROM - DRAIN_SPARE)
                    log.info("drained")
                    with clock.limit(STAY):
                        async for _ in signals:
                            break
                break
            tasks.cancel_scope.cancel()
    log.info("stopped")
