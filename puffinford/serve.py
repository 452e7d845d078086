"""The serving process: wires the components together, reloads the configuration and shuts down."""

from __future__ import annotations

import logging
import random
import signal
from collections.abc import AsyncIterator, Callable, Mapping
from pathlib import Path

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
from puffinford.fronts.memory import request_memory_limit
from puffinford.fronts.sockets import (
    MAX_MGMT_DESCRIPTORS,
    MGMT_ACCEPTS_PER_TURN,
    RESERVED_DESCRIPTORS,
    DescriptorBudget,
    raise_descriptor_limit,
)
from puffinford.listening import BoundListeners, Front, ListenerManager
from puffinford.management.admin_api import AdminApi, AdminHandler
from puffinford.management.cordons import Cordons
from puffinford.management.http import HttpCallHandler
from puffinford.management.inventory_report import InventoryReport
from puffinford.management.shared_run_record import SharedRunRecord
from puffinford.management.versions import VersionRegistry
from puffinford.rebalance.service import Rebalancer, planner_settings
from puffinford.server_list.endpoints import rendezvous_order
from puffinford.server_list.inventory_file import InventoryFile
from puffinford.state.keeper import StateKeeper, store_file
from puffinford.state.list_client import ListClient

log = logging.getLogger(__name__)

VERSION_POLL_INTERVAL_MS = 50.0
SHUTDOWN_POLL_INTERVAL_MS = 10.0
SESSION_CLOSE_LEAD_MS = 50.0  # channel sessions still open are closed this long before `close_at`
SIGNAL_REORDER_WINDOW_MS = 20.0  # signals sent in quick succession may be delivered in another order
MAX_RELOAD_WAIT_MS = 200.0  # how long a shutdown waits for a reload that was requested before it
HANDOVER_WAIT_MS = 300.0  # for an earlier version to detect this one and store its learned state


class Service:
    """The components of one balancer process, from start to shutdown."""

    def __init__(
        self, config: Config, clock: Clock, load: Callable[[], Config], start_times: StartTimes
    ) -> None:
        """`load` rereads the configuration; `start_times` must be the converter that loaded `config`."""
        self._config = config
        self._clock = clock
        self._load = load
        self._budget = DescriptorBudget(
            raise_descriptor_limit(config.limits.sockets),
            RESERVED_DESCRIPTORS + MAX_MGMT_DESCRIPTORS + MGMT_ACCEPTS_PER_TURN,
        )
        tracker = ConnectionTracker(clock, self._budget)
        self._memory = tracker.memory
        self._memory.limit = request_memory_limit(config.limits.memory_mb)
        connect_timeout = config.settings.connect_timeout
        self._line_servers = LineServerConnector(clock, self._budget, connect_timeout)
        self._channel_servers = ChannelServerConnector(clock, self._budget, connect_timeout)
        connectors: dict[str, ServerConnector] = {
            "lines": self._line_servers,
            "channels": self._channel_servers,
        }
        self._exchange = Exchange(config.settings, config.seed, clock, connectors)
        store_location = store_file(config.operators.state, config.state, config.name)
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
            store_location,
            clock,
            exchange.health,
            exchange.learn,
            self._rebalancer.pace_record,
            self._rebalancer.restore_pace,
            frozenset(cls.name for cls in config.settings.classes),
            start_times,
        )
        start = self._keeper.start(config.known)
        self._list = ListClient(exchange, start, clock, self._keeper.record_list, start_times)
        if config.inventory is not None:
            self._list.read(config.inventory, config.settings.drain_grace)
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
        # A separate budget keeps the management address reachable when clients use up their descriptors.
        mgmt_tracker = ConnectionTracker(clock, DescriptorBudget(MAX_MGMT_DESCRIPTORS + 1, 0), idle_divisor=1)
        path = state_path(config.state, config.name)
        self._cordons = Cordons(path, self._exchange.cordon)
        http_handler = HttpCallHandler(self._admin_api().answer, mgmt_tracker)
        management = Front("management", http_handler.handle, mgmt_tracker, MGMT_ACCEPTS_PER_TURN)
        self._listeners = ListenerManager(config, clock, lines, channels, management, self._may_accept)
        self._versions = VersionRegistry(path)
        self._share_run_record(path)
        for budget in (self._budget, mgmt_tracker.budget):
            budget.on_change = lambda: self._versions.publish_sockets(
                self._budget.used + mgmt_tracker.budget.used
            )
        self._budget.used_elsewhere = lambda: self._versions.descriptors_elsewhere
        self._tasks: anyio.abc.TaskGroup
        self._connections: anyio.abc.TaskGroup  # accepted connections
        self._draining = False
        self._reload_count = 0  # SIGHUPs received
        self._pending_reloads = 0  # reloads not finished
        self._ready = False
        self._started_at = clock.now()

    def _admin_api(self) -> AdminApi:
        handlers: dict[str, AdminHandler] = {"rebalance": self._rebalancer.handle_call}
        gauges: Callable[[], Mapping[str, int]] = dict
        if isinstance(self._list.source, InventoryFile):
            report = InventoryReport(self._list.source, self._clock)
            handlers["inventory"], gauges = report.handle_call, report.gauges
        return AdminApi(self._exchange, self._cordons, self._lacking, handlers, gauges)

    def _share_run_record(self, path: Path | None) -> None:
        """Share the record of at-most-once requests with the balancer's other processes, if possible."""
        if path is None:
            return
        try:
            self._exchange.run_record = SharedRunRecord(path, self._exchange.run_record)
        except OSError as exc:
            log.error("record of requests not shared", extra={"error": str(exc)})

    async def run(self) -> None:
        """Serve until a signal ends the process."""
        handled_signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        try:
            self._versions.register()
        except OSError as exc:
            log.error("version coordination unavailable", extra={"error": str(exc)})
        self._cordons.refresh()
        with anyio.open_signal_receiver(*handled_signals) as signals:
            # Listen only once signals are handled: by default they would end the process and its connections.
            listeners = await retry_transient(lambda: self._listeners.bind(self._config), self._clock)
            self._log_absent_settings()
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
                    self._listeners.listen(self._config, listeners, tasks, self._connections)
                    await self._obey(signals)
                    self._connections.cancel_scope.cancel()
                tasks.cancel_scope.cancel()
        log.info("stopped")

    def _log_absent_settings(self) -> None:
        """Log which settings are absent, with the defaults that apply instead."""
        if self._config.absent_settings:
            defaults = ", ".join(
                f"{name}: {default}" for name, default in self._config.absent_settings.items()
            )
            log.warning("settings absent", extra={"taken": defaults})

    def _start_rebalancing(self) -> None:
        if self._exchange.observer is None:
            self._exchange.observer = self._rebalancer
            self._tasks.start_soon(self._rebalancer.run)

    async def _obey(self, signals: AsyncIterator[signal.Signals]) -> None:
        """Handle signals until one ends the process; reloads are allowed during a drain."""
        async for signum in signals:
            if signum == signal.SIGHUP:
                self._reload_count += 1
                self._pending_reloads += 1
                self._tasks.start_soon(self._reload, self._reload_count)
                continue
            log.info("stopping", extra={"signal": signal.Signals(signum).name})
            if signum != signal.SIGTERM:
                return
            if self._draining:
                # The shutdown plan counts from the first SIGTERM: a second one must not cut it short.
                continue
            self._draining = True
            self._tasks.start_soon(self._shut_down, self._clock.now(), self._config.settings)

    async def _settings_after_reload(self) -> it.Settings:
        """Return the settings after reloads that were requested before or together with the shutdown.

        The platform may schedule its kill by the reloaded settings, and signals that are pending together
        are delivered in any order.
        """
        await self._clock.sleep(SIGNAL_REORDER_WINDOW_MS)
        with self._clock.limit(MAX_RELOAD_WAIT_MS):
            while self._pending_reloads:
                await self._clock.sleep(SHUTDOWN_POLL_INTERVAL_MS)
        return self._config.settings

    async def _shut_down(self, signalled_at: float, settings: it.Settings) -> None:
        """Shut down by the plan that counts from `signalled_at` (ms), when `settings` were in force."""
        possible_settings = (settings, await self._settings_after_reload())
        self._versions.refresh()
        has_ready_successor = self._versions.has_ready_successor
        plan = plan_shutdown(possible_settings, has_ready_successor=has_ready_successor)
        plan_times = {"answer_ms": round(plan.answer_at), "close_ms": round(plan.close_at)}
        log.info("shutdown", extra={**plan_times, "kill_ms": round(plan.kill_at)})
        self._budget.close_at = signalled_at + plan.close_at
        self._rebalancer.planner.paused = True  # the drain moves every client
        if has_ready_successor:
            self._keeper.release_store()
        settle_ms = max(0.0, signalled_at + plan.move_from - self._clock.now())
        await self._exchange.drain(settle_ms, signalled_at + plan.answer_at - self._clock.now() - settle_ms)
        await self._end_connections(signalled_at + plan.listen_until, signalled_at + plan.last_at)
        self._connections.cancel_scope.cancel()

    async def _end_connections(self, listen_until: float, deadline: float) -> None:
        """Answer waiting and idle clients, stop listening, and wait until all connections have ended.

        Requests that arrive during the shutdown are still read and answered, not cut off unread. New
        connections are accepted until `listen_until`; at `deadline` unanswered ones are no longer waited for.
        Both are in ms of the clock.
        """
        tracker = self._listeners.lines.tracker  # shared by both client fronts
        close_at = self._budget.close_at
        while True:
            if self._clock.now() >= listen_until:
                self._listeners.stop()
            tracker.evict_all()
            if self._clock.now() >= close_at - SESSION_CLOSE_LEAD_MS:
                tracker.end_sessions()
            await self._clock.sleep(SHUTDOWN_POLL_INTERVAL_MS)
            now = self._clock.now()
            all_ended = (now >= close_at and tracker.all_answered) or (
                self._listeners.all_stopped and tracker.is_empty
            )
            if all_ended or now >= deadline:
                break

    # Version changes

    async def _watch_versions(self) -> None:
        while True:
            self._versions.refresh()
            if self._versions.has_successor:
                self._keeper.publish_health()
            self._cordons.refresh()
            self._lacking()
            self._stop_if_succeeded()
            await self._clock.sleep(VERSION_POLL_INTERVAL_MS)

    def _stop_if_succeeded(self) -> bool:
        """Stop accepting when this process is draining and a later version is ready; return whether it is."""
        if not (self._draining and self._versions.has_ready_successor):
            return False
        for front in self._listeners.fronts:
            if front.stop():
                log.info("succeeded", extra={"front": front.name})
        return True

    def _may_accept(self) -> bool:
        """Whether to accept clients: next to an earlier version only once this process has a server list."""
        return self._exchange.has_server_list or not self._versions.has_predecessor

    def _lacking(self) -> str:
        """Publish whether this process is ready; return why it is not, or an empty string."""
        reason = ""
        lines = self._listeners.lines
        if not self._exchange.has_server_list:
            reason = "no machine list yet"
        elif not self._cordons.in_sync:
            reason = "the cordons cannot be read"
        elif not lines.acceptors or lines.scope is None:
            reason = "not listening yet"
        elif not self._exchange.serving or lines.scope.cancel_called:
            reason = "leaving"
        elif self._versions.has_predecessor and self._clock.now() < self._started_at + HANDOVER_WAIT_MS:
            reason = "an earlier version has not handed over yet"
        # The platform may stop the old version within milliseconds of a positive answer.
        ready = not (reason or self._draining)
        if ready and not self._ready:
            # Read the learned state only now: until this process is ready the old version updates it.
            self._keeper.learn_from_writer()
        self._ready = ready
        self._versions.publish_ready(ready)
        return reason

    # Configuration reload

    async def _reload(self, reload_number: int) -> None:
        """Apply a new configuration completely or not at all; connections and server state are kept.

        `reload_number` counts reload signals: a reload that a later signal has superseded does nothing.
        """

        def load_and_bind() -> tuple[Config, BoundListeners] | None:
            if reload_number != self._reload_count:
                return None
            config = self._load()
            return config, self._listeners.bind(config)

        try:
            loaded = await retry_transient(load_and_bind, self._clock)
            if loaded is not None:
                self._apply_config(*loaded)
        except (BadConfig, OSError) as exc:
            log.error("reload failed", extra={"error": str(exc)})
        except Exception as exc:
            # Prevents a content that no test foresaw from ending the process, and with it every connection.
            log.exception("reload failed", extra={"error": repr(exc)})
        finally:
            self._pending_reloads -= 1

    def _apply_config(self, config: Config, bound: BoundListeners) -> None:
        """Switch to a configuration whose new addresses are already bound."""
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
        self._memory.limit = request_memory_limit(config.limits.memory_mb)
        self._exchange.configure(config.settings)
        self._line_servers.connect_timeout = config.settings.connect_timeout
        self._channel_servers.connect_timeout = config.settings.connect_timeout
        if config.discovery is not None:
            self._list.change_address(config.discovery, changed=config.discovery != old.discovery)
        self._listeners.listen(config, bound, self._tasks, self._connections)
        self._log_absent_settings()
        log.info("reloaded", extra={"balancer": config.name})


async def serve(config: Config, clock: Clock, load: Callable[[], Config], start_times: StartTimes) -> None:
    """Serve until a signal ends the process; `load` rereads the configuration for a reload."""
    await Service(config, clock, load, start_times).run()
