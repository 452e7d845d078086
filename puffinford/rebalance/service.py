"""The shell of rebalancing: rounds by the clock, the exchange's word, the log, operators' calls."""

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

ROUND_INTERVAL_MS = 200.0  # ms between looks
IDLE_ROUND_INTERVAL_MS = 1_000.0  # the same while nothing is out of balance
MAX_SAVED_MOVES = 1_000  # clients at rest that the next process hears of, the latest
MAX_SOURCES_PER_ROUND = 4  # servers whose connections are looked at in a round


def planner_settings(told: RebalanceSettings) -> PlannerSettings:
    """The operators' figures as the planner has them."""
    pace = PaceSettings(told.start_rate, told.least_rate, told.most_rate, cooldown=told.cool)
    return PlannerSettings(
        enabled=told.enabled,
        start_ratio=told.start_at,
        stop_ratio=told.stop_at,
        settle_time=told.settle,
        move_cooldown=told.rest,
        return_cooldown=told.rest_back,
        reservation_time=told.hold,
        return_deadline=told.in_time,
        pace=pace,
    )


class Rebalancer:
    """One balancer's. It is the exchange's `observer`; `run` moves until cancelled."""

    def __init__(
        self,
        figures: PlannerSettings,
        settings: Settings,
        exchange: Exchange,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.planner = Planner(figures, rng, settings.balancers)
        self._exchange = exchange
        self._clock = clock
        self._late_from = 0.0
        self._worth: dict[str, float] = {}
        self._told: SkipReason | None = None
        self._wanted: frozenset[str] = frozenset()
        self.take_settings(settings)

    def take_settings(self, settings: Settings) -> None:
        """The classes and their worth, at the start and after a reload."""
        self._worth = {cls.name: cls.value for cls in settings.classes}
        self.planner.pace.return_weight = settings.balancers
        aims = [cls.message_aim for cls in settings.classes if cls.message_aim > 0]
        self._late_from = min(aims, default=float("inf"))

    # The exchange's word

    def on_established(self, key: int, cls: str, server: str, set_up: float) -> None:
        """A connection stands: perhaps that of a client that was moved."""
        signal = self.planner.on_established(self._clock.now(), key, server, set_up)
        if signal is not None:
            self._tell_signal(signal.value, server=server, ms=round(set_up))

    def on_refused(self, key: int, cls: str, *, failed: bool) -> None:
        """A client was turned away: perhaps one that was moved."""
        signal = self.planner.on_refused(self._clock.now(), key, failed=failed)
        if signal is not None:
            self._tell_signal(signal.value)

    def on_closed(self, key: int, cls: str, server: str, stood: float, *, cut: bool) -> None:
        """A connection ended: what lives are judged by."""
        self.planner.on_closed(cls, stood, cut=cut)

    def on_delay(self, server: str, delay: float) -> None:
        """Messages are late there: a signal where it took moved clients."""
        if delay > self._late_from:
            signal = self.planner.on_delay(self._clock.now(), server)
            if signal is not None:
                self._tell_signal(signal.value, server=server, ms=round(delay))

    def _tell_signal(self, signal: str, **more: object) -> None:
        rate = round(self.planner.pace.rate, 2)
        log.info("rebalance signal", extra={"signal": signal, "rate": rate, **more})

    # Rounds

    async def run(self) -> None:
        """Look and move, until cancelled."""
        while True:
            await self._clock.sleep(ROUND_INTERVAL_MS if self.planner.moving else IDLE_ROUND_INTERVAL_MS)
            self.round()

    def round(self) -> int:
        """One look; the moves made."""
        now = self._clock.now()
        planner = self.planner
        planner.expire_returns(now)
        places = [
            ServerLoad(s.server, s.load, s.capacity, s.usable, s.degraded, s.connection_count)
            for s in self._exchange.survey()
        ]
        was = planner.moving
        why = planner.observe(now, places)
        if planner.moving != was or (why is SkipReason.DEGRADED and self._told is not why):
            event = (
                "rebalance begins" if planner.moving and not was else "rebalance ends" if was else "rebalance"
            )
            log.info(event, extra={"ratio": round(planner.imbalance, 2), "why": planner.reason.value})
        self._told = why
        wanted = planner.underloaded() if why in (None, SkipReason.PACE) else frozenset()
        if wanted != self._wanted:
            self._wanted = wanted
            self._exchange.prefer(wanted)
        made = 0
        while why is None and planner.pace.is_due(now) and self._one(now):
            made += 1
        return made

    def _one(self, now: float) -> bool:
        """Make one move, if there is one to make."""
        for source in self.planner.sources()[:MAX_SOURCES_PER_ROUND]:
            sample = [
                Candidate(
                    flow.id,
                    flow.key,
                    source.id,
                    flow.cls,
                    self._worth.get(flow.cls, 1.0),
                    flow.load,
                    now - flow.placed_at,
                    flow.group,
                    quiet,
                    flow.came_back,
                    flow.group_size,
                )
                for flow, quiet in self._exchange.established_connections(
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

    # What is kept over a restart

    def pace_record(self, offset: float) -> PaceRecord | None:
        """How far it has come; None while it is switched off. `offset`: the record's time less the host's."""
        planner, now = self.planner, self._clock.now()
        if not planner.settings.enabled:
            return None
        rests = [
            (key, now - since + offset, was, to)
            for key, since, was, to in planner.recent_moves(now)[-MAX_SAVED_MOVES:]
        ]
        return PaceRecord(planner.pace.rate, rests)

    def restore_pace(self, record: PaceRecord, offset: float) -> None:
        """Go on from what another process of this balancer had come to; `offset` as for `pace_record`."""
        now = self._clock.now()
        rests = [(key, now - (at - offset), was, to) for key, at, was, to in record.recent_moves]
        self.planner.restore(now, record.rate, rests)

    # Operators

    def handle_call(self, call: Call) -> Reply:
        """The calls under /admin/rebalance."""
        match call.path[2:]:
            case ():
                if call.method != "GET":
                    return Reply(405, "GET is the method here", allow="GET")
                return Reply(200, json.dumps(self.report()))
            case ("start" | "pause" as what,):
                wanted = {"paused": what == "pause"}
            case ("limit", text):
                try:
                    wanted = {"limit": units.rate(0.001, 1_000.0)(text.replace("-", "/"))}
                except ValueError as exc:
                    return Reply(400, str(exc))
            case _:
                return Reply(404, "no such path")
        if call.method != "POST":
            return Reply(405, "POST is the method here", allow="POST")
        if not self.planner.settings.enabled:
            return Reply(409, "rebalancing is switched off: see section rebalance of the operators' file")
        return self._command(**wanted)

    def _command(self, paused: bool | None = None, limit: float | None = None) -> Reply:
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
        """Plan, progress, and why what is not moved is not."""
        planner = self.planner
        return {
            "state": "moving" if planner.moving else "resting",
            "why": planner.reason.value,
            "ratio": round(planner.imbalance, 3),
            "rate": round(planner.pace.rate, 3),
            "moves": planner.moves,
            "landed": dict(planner.returns_by_server),
            "elsewhere": planner.not_returned,
            "clients_at_rest": len(planner.recent_moves(self._clock.now())),
            "signals": {signal.value: count for signal, count in planner.pace.signal_counts.items()},
            "left_out": {why.value: count for why, count in planner.skipped.items()},
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
