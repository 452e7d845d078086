"""Runs rebalancing: periodic rounds, notifications of the exchange, logging, and the management calls."""

from __future__ import annotations

import json
import logging
import random
from dataclasses import replace
from typing import Any

from puffinford.core.clock import Clock
from puffinford.core.exchange import Exchange
from puffinford.interface import Settings
from puffinford.management.http import Call, Reply
from puffinford.operators import RebalanceSettings, units
from puffinford.rebalance.pace import PaceSettings
from puffinford.rebalance.planner import (
    Candidate,
    PlannedMove,
    Planner,
    PlannerSettings,
    ServerLoad,
    SkipReason,
)
from puffinford.state.records import PaceRecord

log = logging.getLogger(__name__)

ROUND_INTERVAL_MS = 200.0
IDLE_ROUND_INTERVAL_MS = 1_000.0  # while servers are in balance
MAX_SAVED_MOVES = 1_000  # the latest moves, stored for the next process
MAX_SOURCES_PER_ROUND = 4


def planner_settings(operators: RebalanceSettings) -> PlannerSettings:
    """Return the operators' settings as the planner's."""
    pace = PaceSettings(
        operators.start_rate, operators.least_rate, operators.most_rate, cooldown=operators.cool
    )
    return PlannerSettings(
        enabled=operators.enabled,
        start_ratio=operators.start_at,
        stop_ratio=operators.stop_at,
        settle_time=operators.settle,
        move_cooldown=operators.rest,
        return_cooldown=operators.rest_back,
        reservation_time=operators.hold,
        return_deadline=operators.in_time,
        pace=pace,
    )


class Rebalancer:
    """Rebalances the connections of one balancer: the exchange's `observer`, and `run` until cancelled."""

    def __init__(
        self,
        initial_settings: PlannerSettings,
        settings: Settings,
        exchange: Exchange,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.planner = Planner(initial_settings, rng, settings.balancers)
        self._exchange = exchange
        self._clock = clock
        self._delay_threshold = 0.0  # ms
        self._values: dict[str, float] = {}  # by class
        self._last_reason: SkipReason | None = None
        self._preferred: frozenset[str] = frozenset()
        self.take_settings(settings)

    def take_settings(self, settings: Settings) -> None:
        """Apply the request classes, at the start and after a reload."""
        self._values = {cls.name: cls.value for cls in settings.classes}
        self.planner.pace.return_weight = settings.balancers
        aims = [cls.message_aim for cls in settings.classes if cls.message_aim > 0]
        self._delay_threshold = min(aims, default=float("inf"))

    # RequestObserver

    def on_established(self, key: int, cls: str, server: str, set_up: float) -> None:
        """Notify the planner, which recognizes the returns of moved clients."""
        signal = self.planner.on_established(self._clock.now(), key, server, set_up)
        if signal is not None:
            self._log_signal(signal.value, server=server, ms=round(set_up))

    def on_refused(self, key: int, cls: str, *, failed: bool) -> None:
        """Notify the planner, which recognizes moved clients."""
        signal = self.planner.on_refused(self._clock.now(), key, failed=failed)
        if signal is not None:
            self._log_signal(signal.value)

    def on_closed(self, key: int, cls: str, server: str, duration: float, *, cut: bool) -> None:
        """Record the lifetime of a connection, in ms."""
        self.planner.on_closed(cls, duration, cut=cut)

    def on_delay(self, server: str, delay: float) -> None:
        """Notify the planner of messages delayed beyond the aim."""
        if delay > self._delay_threshold:
            signal = self.planner.on_delay(self._clock.now(), server)
            if signal is not None:
                self._log_signal(signal.value, server=server, ms=round(delay))

    def _log_signal(self, signal: str, **fields: object) -> None:
        rate = round(self.planner.pace.rate, 2)
        log.info("rebalance signal", extra={"signal": signal, "rate": rate, **fields})

    # Rounds

    async def run(self) -> None:
        """Run rounds until cancelled."""
        while True:
            await self._clock.sleep(ROUND_INTERVAL_MS if self.planner.moving else IDLE_ROUND_INTERVAL_MS)
            self.run_round()

    def run_round(self) -> int:
        """Observe the servers and make the moves that are due; return their number."""
        now = self._clock.now()
        planner = self.planner
        planner.expire_returns(now)
        servers = [
            ServerLoad(s.server, s.load, s.capacity, s.usable, s.degraded, s.connection_count)
            for s in self._exchange.survey()
        ]
        was_moving = planner.moving
        reason = planner.observe(now, servers)
        if planner.moving != was_moving or (
            reason is SkipReason.DEGRADED and self._last_reason is not reason
        ):
            event = (
                "rebalance begins"
                if planner.moving and not was_moving
                else "rebalance ends"
                if was_moving
                else "rebalance"
            )
            log.info(event, extra={"ratio": round(planner.imbalance, 2), "why": planner.reason.value})
        self._last_reason = reason
        preferred = planner.underloaded() if reason in (None, SkipReason.RATE_LIMITED) else frozenset()
        if preferred != self._preferred:
            self._preferred = preferred
            self._exchange.prefer(preferred)
        moves = 0
        while reason is None and planner.pace.is_due(now) and self._move_one(now):
            moves += 1
        return moves

    def _move_one(self, now: float) -> bool:
        """Make one move if there is one; return whether it was made."""
        for source in self.planner.sources()[:MAX_SOURCES_PER_ROUND]:
            sample = [
                Candidate(
                    flow.id,
                    flow.key,
                    source.id,
                    flow.cls,
                    self._values.get(flow.cls, 1.0),
                    flow.load,
                    now - flow.placed_at,
                    flow.group,
                    idle,
                    flow.came_back,
                    flow.group_size,
                )
                for flow, idle in self._exchange.established_connections(
                    source.id, self.planner.settings.sample_size
                )
            ]
            planned = self.planner.choose_move(now, sample, self._exchange.best_server)
            if planned is not None:
                self._move(planned)
                return True
        return False

    def _move(self, planned: PlannedMove) -> None:
        moved = self._exchange.relocate(
            planned.request_id, planned.target, self.planner.settings.reservation_time
        )
        log.info(
            "rebalance move",
            extra={
                "request": planned.request_id,
                "server": planned.source,
                "to": planned.target,
                "gain": round(planned.gain, 2),
                "moved": moved,
            },
        )

    # Persistence

    def pace_record(self, offset: float) -> PaceRecord | None:
        """Return the progress for the store; None while rebalancing is disabled.

        `offset` is the store's time minus the process clock's, in ms.
        """
        planner, now = self.planner, self._clock.now()
        if not planner.settings.enabled:
            return None
        moves = [
            (key, now - elapsed + offset, sources, target)
            for key, elapsed, sources, target in planner.recent_moves(now)[-MAX_SAVED_MOVES:]
        ]
        return PaceRecord(planner.pace.rate, moves)

    def restore_pace(self, record: PaceRecord, offset: float) -> None:
        """Continue from the progress of another process of this balancer; `offset` as for `pace_record`."""
        now = self._clock.now()
        moves = [
            (key, now - (moved_at - offset), sources, target)
            for key, moved_at, sources, target in record.recent_moves
        ]
        self.planner.restore(now, record.rate, moves)

    # Management

    def handle_call(self, call: Call) -> Reply:
        """Answer the calls under /admin/rebalance."""
        match call.path[2:]:
            case ():
                if call.method != "GET":
                    return Reply(405, "GET is the method here", allow="GET")
                return Reply(200, json.dumps(self.report()))
            case ("start" | "pause" as command,):
                change = {"paused": command == "pause"}
            case ("limit", text):
                try:
                    change = {"limit": units.rate(0.001, 1_000.0)(text.replace("-", "/"))}
                except ValueError as exc:
                    return Reply(400, str(exc))
            case _:
                return Reply(404, "no such path")
        if call.method != "POST":
            return Reply(405, "POST is the method here", allow="POST")
        if not self.planner.settings.enabled:
            return Reply(409, "rebalancing is switched off: see section rebalance of the operators' file")
        return self._apply_command(**change)

    def _apply_command(self, paused: bool | None = None, limit: float | None = None) -> Reply:
        planner = self.planner
        if paused is not None:
            planner.paused = paused
        if limit is not None:
            pace = planner.settings.pace
            pace = replace(
                pace,
                max_rate=limit,
                start_rate=min(pace.start_rate, limit),
                min_rate=min(pace.min_rate, limit),
            )
            planner.configure(replace(planner.settings, pace=pace))
        state = {"paused": planner.paused, "most": planner.settings.pace.max_rate}
        log.info("rebalance command", extra=state)
        return Reply(200, json.dumps(state))

    def report(self) -> dict[str, Any]:
        """Return the plan, its progress, and why connections were not moved, as JSON fields."""
        planner = self.planner
        return {
            "state": "moving" if planner.moving else "resting",
            "why": planner.reason.value,
            "ratio": round(planner.imbalance, 3),
            "rate": round(planner.pace.rate, 3),
            "moves": planner.move_count,
            "landed": dict(planner.returns_by_server),
            "elsewhere": planner.not_returned,
            "clients_at_rest": len(planner.recent_moves(self._clock.now())),
            "signals": {signal.value: count for signal, count in planner.pace.signal_counts.items()},
            "left_out": {reason.value: count for reason, count in planner.skipped.items()},
            "servers": [
                {
                    "server": s.server,
                    "load": round(s.load, 2),
                    "capacity": round(s.capacity, 3),
                    "usable": s.usable,
                    "connections": s.connection_count,
                }
                for s in self._exchange.survey()
            ],
        }
