"""Puts the parts together and runs them until the end."""

from __future__ import annotations

import logging
import random
import signal
from collections.abc import AsyncIterator, Callable

import anyio
import anyio.abc

from puffinford import interface as it
from puffinford.config import BadConfig, Config
from puffinford.core.clock import Clock
from puffinford.core.exchange import Exchange
from puffinford.core.shutdown import plan_shutdown
from puffinford.core.start_times import StartTimes
from puffinford.core.state_path import state_path
from puffinford.core.transient_errors import retry_transient
from puffinford.core.values import ServerConnector
from puffinford.fronts.accepting import ConnectionTracker
from puffinford.fronts.channels.client import ChannelClientHandler
from puffinford.fronts.channels.server import ChannelServerConnector
from puffinford.fronts.lines.client import LineClientHandler
from puffinford.fronts.lines.server import LineServerConnector
from puffinford.fronts.sockets import (
    MAX_MGMT_DESCRIPTORS,
    MGMT_ACCEPTS_PER_TURN,
    RESERVED_DESCRIPTORS,
    DescriptorBudget,
    raise_descriptor_limit,
)
from puffinford.listening import Bound, Front, Listening
from puffinford.management.admin_api import AdminApi
from puffinford.management.cordons import Cordons
from puffinford.management.http import HttpCallHandler
from puffinford.management.versions import VersionRegistry
from puffinford.rebalance.service import Rebalancer, planner_settings
from puffinford.server_list.endpoints import rendezvous_order
from puffinford.state.keeper import StateKeeper, store_file
from puffinford.state.list_client import ListClient

log = logging.getLogger(__name__)

LOOK = 50.0  # ms between looks for other versions of this balancer
LAST_LOOK = 10.0  # ms between looks for connections that have not ended, at the end of the process
LAST_WORDS = 50.0  # ms before the close in which channel connections end that still have channels
SIGNALS_TOGETHER = 20.0  # ms in which signals that were sent in a row may be seen in another order
RELOAD_MOST = 200.0  # ms that the end waits for a configuration that was told before it
HAND_OVER = 300.0  # in which an earlier version sees this one, and writes what it has learned


class Service:
    """The parts of one balancer, and what a new configuration changes in them."""

    def __init__(self, config: Config, clock: Clock, load: Callable[[], Config], starts: StartTimes) -> None:
        """`load` reads the configuration anew; `starts` has mapped the starts of its `known`."""
        self._config = config
        self._clock = clock
        self._load = load
        self._budget = DescriptorBudget(
            raise_descriptor_limit(config.limits.sockets),
            RESERVED_DESCRIPTORS + MAX_MGMT_DESCRIPTORS + MGMT_ACCEPTS_PER_TURN,
        )
        tracker = ConnectionTracker(clock, self._budget)
        connect_timeout = config.settings.connect_timeout
        self._line_servers = LineServerConnector(clock, self._budget, connect_timeout)
        self._channel_servers = ChannelServerConnector(clock, self._budget, connect_timeout)
        sides: dict[str, ServerConnector] = {"lines": self._line_servers, "channels": self._channel_servers}
        self._exchange = Exchange(config.settings, config.seed, clock, sides)
        place = store_file(config.operators.state, config.state, config.name)
        exchange = self._exchange
        self._rebalancer = Rebalancer(
            planner_settings(config.operators.rebalance),
            config.settings,
            exchange,
            clock,
            random.Random(config.seed ^ 0x4EBA),
        )
        self._keeper = StateKeeper(
            config.operators.state,
            place,
            clock,
            exchange.health,
            exchange.learn,
            self._rebalancer.pace_record,
            self._rebalancer.restore_pace,
            frozenset(cls.name for cls in config.settings.classes),
            starts,
        )
        start = self._keeper.start(config.known)
        self._list = ListClient(exchange, start, clock, self._keeper.record_list, starts)
        if config.inventory is not None:
            self._list.read(config.inventory)
        else:
            assert config.discovery is not None
            always_subscribed = not config.settings.list_on_request
            relays = rendezvous_order(config.name or str(config.listen), config.operators.discovery.relays)
            self._list.watch(
                config.discovery, always_subscribed=always_subscribed, seed=config.seed, relays=relays
            )
        clients = LineClientHandler(self._exchange, tracker)
        lines = Front("lines", clients.handle, tracker, turn_away=clients.turn_away)
        channels = Front("channels", ChannelClientHandler(self._exchange, tracker).handle, tracker)
        # Guards operators against crowds of clients: callers have descriptors of their own.
        callers = ConnectionTracker(clock, DescriptorBudget(MAX_MGMT_DESCRIPTORS + 1, 0), idle_divisor=1)
        path = state_path(config.state, config.name)
        self._cordons = Cordons(path, self._exchange.cordon)
        extras = {"rebalance": self._rebalancer.handle_call}
        calls = HttpCallHandler(
            AdminApi(self._exchange, self._cordons, self._lacking, extras).answer, callers
        )
        management = Front("management", calls.handle, callers, MGMT_ACCEPTS_PER_TURN)
        self._listening = Listening(config, clock, lines, channels, management, self._may_accept)
        self._versions = VersionRegistry(path)
        for budget in (self._budget, callers.budget):
            budget.on_change = lambda: self._versions.publish_sockets(self._budget.used + callers.budget.used)
        self._budget.used_elsewhere = lambda: self._versions.descriptors_elsewhere
        self._tasks: anyio.abc.TaskGroup
        self._connections: anyio.abc.TaskGroup  # what was accepted
        self._draining = False
        self._reloads = 0  # SIGHUPs so far
        self._reloading = 0  # of these, those that are not done
        self._ready = False
        self._started = clock.now()

    async def run(self) -> None:
        signums = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        try:
            self._versions.register()
        except OSError as exc:
            log.error("version coordination unavailable", extra={"error": str(exc)})
        self._cordons.refresh()
        with anyio.open_signal_receiver(*signums) as signals:
            # Guards who comes at once against a signal that nobody obeys yet: its default ends the process.
            listeners = await retry_transient(lambda: self._listening.bind(self._config), self._clock)
            self._name_absent()
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                tasks.start_soon(self._channel_servers.run)
                tasks.start_soon(self._exchange.run, self._list.source, self._list.restored)
                tasks.start_soon(self._list.source.run)
                tasks.start_soon(self._keeper.run)
                if self._config.operators.rebalance.enabled:
                    self._start_rebalancing()
                tasks.start_soon(self._watch_versions)
                async with anyio.create_task_group() as self._connections:
                    self._listening.listen(self._config, listeners, tasks, self._connections)
                    await self._obey(signals)
                    self._connections.cancel_scope.cancel()
                tasks.cancel_scope.cancel()
        log.info("stopped")

    def _name_absent(self) -> None:
        """Guards operators against a meaning that nobody has chosen: what is not told is said."""
        if self._config.absent:
            named = ", ".join(f"{place}: {meaning}" for place, meaning in self._config.absent.items())
            log.warning("settings absent", extra={"taken": named})

    def _start_rebalancing(self) -> None:
        if self._exchange.observer is None:
            self._exchange.observer = self._rebalancer
            self._tasks.start_soon(self._rebalancer.run)

    async def _obey(self, signals: AsyncIterator[signal.Signals]) -> None:
        """Take signals until one ends the process. A reload may come during a drain, and before one."""
        async for signum in signals:
            if signum == signal.SIGHUP:
                self._reloads += 1
                self._reloading += 1
                self._tasks.start_soon(self._reload, self._reloads)
                continue
            log.info("stopping", extra={"signal": signal.Signals(signum).name})
            if signum != signal.SIGTERM:
                return
            if self._draining:
                # Guards the clients that are being moved: the plan of the end counts from the first signal.
                continue
            self._draining = True
            self._tasks.start_soon(self._shut_down, self._clock.now(), self._config.settings)

    async def _told_before(self) -> it.Settings:
        """The settings once a reload that was told before the end, or together with it, is done.

        Guards against a kill that counts by these: signals that are pending together come in any order.
        """
        await self._clock.sleep(SIGNALS_TOGETHER)
        with self._clock.limit(RELOAD_MOST):
            while self._reloading:
                await self._clock.sleep(LAST_LOOK)
        return self._config.settings

    async def _shut_down(self, told: float, settings: it.Settings) -> None:
        """End the process by the plan that counts from `told`, when `settings` were in force."""
        known = (settings, await self._told_before())
        self._versions.refresh()
        has_ready_successor = self._versions.has_ready_successor
        plan = plan_shutdown(known, has_ready_successor=has_ready_successor)
        spans = {"answer_ms": round(plan.answer_at), "close_ms": round(plan.close_at)}
        log.info("shutdown", extra={**spans, "kill_ms": round(plan.kill_at)})
        self._budget.close_at = told + plan.close_at
        self._rebalancer.planner.paused = True  # everybody is moved now
        if has_ready_successor:
            self._keeper.release_store()
        settle = max(0.0, told + plan.move_from - self._clock.now())
        await self._exchange.drain(settle, told + plan.answer_at - self._clock.now() - settle)
        await self._end_connections(told + plan.last_at)
        self._connections.cancel_scope.cancel()

    async def _end_connections(self, last: float) -> None:
        """Listen no more, answer those who wait or rest, and let the last ends arrive by the close.

        Guards a request that crosses the end of the process against a close over it, unread. `last` is when
        even those are closed that have no answer yet, on the clock.
        """
        self._listening.stop()
        tracker = self._listening.lines.tracker  # both fronts have the same
        close_at = self._budget.close_at
        while True:
            tracker.evict_all()
            if self._clock.now() >= close_at - LAST_WORDS:
                tracker.end_sessions()
            await self._clock.sleep(LAST_LOOK)
            now = self._clock.now()
            over = (now >= close_at and tracker.all_answered) or (self._listening.ended and tracker.is_empty)
            if over or now >= last:
                break

    # Versions

    async def _watch_versions(self) -> None:
        while True:
            self._versions.refresh()
            if self._versions.has_successor:
                self._keeper.publish_health()
            self._cordons.refresh()
            self._lacking()
            self._succeeded()
            await self._clock.sleep(LOOK)

    def _succeeded(self) -> bool:
        """Whether this process is leaving and a later version is there: then that one alone accepts."""
        if not (self._draining and self._versions.has_ready_successor):
            return False
        for front in self._listening.fronts:
            if front.stop():
                log.info("succeeded", extra={"front": front.name})
        return True

    def _may_accept(self) -> bool:
        """Whether clients are accepted: beside an earlier version only once this one can serve."""
        return self._exchange.has_server_list or not self._versions.has_predecessor

    def _lacking(self) -> str:
        """What this process lacks to serve; nothing where it is ready."""
        lack = ""
        lines = self._listening.lines
        if not self._exchange.has_server_list:
            lack = "no machine list yet"
        elif not self._cordons.in_sync:
            lack = "the cordons cannot be read"
        elif not lines.listeners or lines.scope is None:
            lack = "not listening yet"
        elif not self._exchange.serving or lines.scope.cancel_called:
            lack = "leaving"
        elif self._versions.has_predecessor and self._clock.now() < self._started + HAND_OVER:
            lack = "an earlier version has not handed over yet"
        # Guards the change of versions: the old one's SIGTERM may follow a yes within milliseconds.
        ready = not (lack or self._draining)
        if ready and not self._ready:
            # As of the moment of the yes: until then the old version is the one that learns.
            self._keeper.learn_from_writer()
        self._ready = ready
        self._versions.publish_ready(ready)
        return lack

    # A new configuration

    async def _reload(self, number: int) -> None:
        """Take a new configuration whole or not at all; connections and what is known of servers stay.

        `number` counts the signals for it: the last one reads the newest file, and those before give way.
        """

        def made() -> tuple[Config, Bound] | None:
            if number != self._reloads:
                return None
            config = self._load()
            return config, self._listening.bind(config)

        try:
            loaded = await retry_transient(made, self._clock)
            if loaded is not None:
                self._take_config(*loaded)
        except (BadConfig, OSError) as exc:
            log.error("reload failed", extra={"error": str(exc)})
        finally:
            self._reloading -= 1

    def _take_config(self, config: Config, made: Bound) -> None:
        """Go by a configuration whose new addresses are bound."""
        old, self._config = self._config, config
        if config.operators.state != old.operators.state:
            log.warning("state settings", extra={"in_force": "at the next start"})
        if config.operators.discovery != old.operators.discovery:
            log.warning("discovery settings", extra={"in_force": "at the next start"})
        self._rebalancer.take_settings(config.settings)
        if config.operators.rebalance != old.operators.rebalance:
            self._rebalancer.planner.configure(planner_settings(config.operators.rebalance))
            if config.operators.rebalance.enabled:
                self._start_rebalancing()
        self._budget.limit = raise_descriptor_limit(config.limits.sockets)
        self._exchange.configure(config.settings)
        self._line_servers.connect_timeout = config.settings.connect_timeout
        self._channel_servers.connect_timeout = config.settings.connect_timeout
        if config.discovery is not None:
            self._list.change_address(config.discovery, changed=config.discovery != old.discovery)
        self._listening.listen(config, made, self._tasks, self._connections)
        self._name_absent()
        log.info("reloaded", extra={"balancer": config.name})


async def serve(config: Config, clock: Clock, load: Callable[[], Config], starts: StartTimes) -> None:
    """Serve until a signal ends it; `load` reads the configuration anew."""
    await Service(config, clock, load, starts).run()
