"""Puts the parts together and runs them until the end."""

from __future__ import annotations

import logging
import signal

import anyio

from puffinford.config import Config
from puffinford.core.clock import Clock
from puffinford.core.exchange import Exchange
from puffinford.fronts.lines.server import LineServers
from puffinford.fronts.lines.submitter import LineSubmitters
from puffinford.fronts.sockets import accept_all, bind
from puffinford.machines.discovery import DiscoveryWatch

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
    exchange = Exchange(
        settings,
        config.seed,
        clock,
        {"lines": LineServers(clock, settings.connect_timeout)},
    )
    assert config.discovery is not None
    watch = DiscoveryWatch(config.discovery, config.known, clock, exchange.take_list)
    longest = min(DRAIN_MOST, max(cls.deadline for cls in settings.classes))
    listeners = await bind(config.listen)
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch.run)
            tasks.start_soon(exchange.run, watch, config.known)
            for listener in listeners:
                tasks.start_soon(accept_all, listener, LineSubmitters(exchange, clock).handle, clock)
            log.info("serving", extra={"balancer": config.name, "listen": "{}:{}".format(*config.listen)})
            async for signum in signals:
                log.info("stopping", extra={"signal": signal.Signals(signum).name})
                if signum == signal.SIGTERM:
                    await exchange.drain(DRAIN_FROM, longest + KILL_AFTER - DRAIN_FROM - DRAIN_SPARE)
                    with clock.limit(STAY):
                        async for _ in signals:
                            break
                break
            tasks.cancel_scope.cancel()
    log.info("stopped")
