"""Puts a relay together and runs it until its end."""

from __future__ import annotations

import logging
import random
import resource
import signal
from dataclasses import asdict, dataclass
from functools import partial

import anyio

from puffinford.core.clock import Clock
from puffinford.operators import RelaySettings
from puffinford.operators.schema import RELAY_ANSWER_GRACE_MS
from puffinford.relay.changes import LogLimits
from puffinford.relay.core import ListRelay, RelayFigures, Response
from puffinford.relay.entries import RawList, decode
from puffinford.relay.server import Caller, CallServer, Limits
from puffinford.relay.wire import Call
from puffinford.server_list.endpoints import EndpointSelector, RetryPolicy
from puffinford.server_list.watch import ListWatch, ReceivedAnswer, WatchTiming

log = logging.getLogger(__name__)

TICK = 20.0  # ms between looks for what is due
BATCH = 128  # answers written before the loop has a turn
FIGURES_EVERY = 10_000.0  # ms; doubts of an upstream are logged no more often either
DESCRIPTORS_SPARE = 64  # for all that is no caller
RETRY = RetryPolicy(
    initial_window=250.0, max_window=1_000.0
)  # relays are few, and their lists grow old meanwhile


def timing(wait: float) -> WatchTiming:
    """How a relay calls upstream, by the wait of its watch in ms."""
    return WatchTiming(
        int(wait),
        answer_grace=RELAY_ANSWER_GRACE_MS,
        hedge_delay=500.0,
        max_hedge_delay=1_000.0,
        jitter=50.0,
        retry=RETRY,
    )


def figures(settings: RelaySettings) -> RelayFigures:
    """What the decisions go by."""
    return RelayFigures(
        settings.max_age,
        settings.upstream_age,
        settings.wait,
        settings.coalesce,
        LogLimits(settings.log_entries, settings.log_bytes),
    )


@dataclass(frozen=True, slots=True)
class Report:
    """The figures of a moment: what is held and what was done since the start. Sizes are bytes, ages ms."""

    version: int | None
    age: float
    watchers: int
    servers: int
    log_entries: int
    held: int
    calls: int
    answers: int
    whole: int
    bytes: int
    refused: int
    behind: int
    slow: int


class RelayService:
    """One relay: the watch upstream, the decisions, the listening side."""

    def __init__(self, settings: RelaySettings, clock: Clock, rng: random.Random | None = None) -> None:
        rng = rng or random.Random()
        self._settings = settings
        self._clock = clock
        self.relay = ListRelay(figures(settings))
        limits = Limits(min(settings.calls, _descriptors() - DESCRIPTORS_SPARE))
        self.server = CallServer(clock, limits, self._call, self.relay.left)
        upstream = EndpointSelector(settings.upstream, rng, RETRY)
        reject = partial(_rejected, log)
        self._watch: ListWatch[RawList] = ListWatch(
            upstream,
            None,
            clock,
            lambda body: decode(body, reject),
            self._heard,
            timing(settings.wait),
            always_subscribed=True,
            rng=rng,
        )
        self._fresh: bool | None = None
        self._stale_since = clock.now()
        self._refused_before = 0
        self._doubted_at = float("-inf")

    async def listen(self) -> tuple[str, int]:
        """Listen from now on; the address, with its port. Raises OSError."""
        address = self.server.listen(self._settings.listen)
        log.info("serving", extra={"front": "relay", "listen": "{}:{}".format(*address)})
        return address

    async def run(self) -> None:
        """Watch and answer until cancelled."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._watch.run)
                tasks.start_soon(self._answer_due)
                tasks.start_soon(self._tell_figures)
        finally:
            self.server.close()

    def _heard(self, heard: ReceivedAnswer[RawList] | None) -> int | None:
        version, doubt = self.relay.heard(heard, self._clock.now())
        if doubt and self._clock.now() >= self._doubted_at + FIGURES_EVERY:
            self._doubted_at = self._clock.now()
            log.warning("upstream suspect", extra={"why": doubt})
        return version

    def _call(self, caller: Caller, call: Call) -> Response | None:
        return self.relay.call(caller, call, self._clock.now())

    async def _answer_due(self) -> None:
        while True:
            self._tell_age()
            while responses := self.relay.due(self._clock.now(), BATCH):
                for response in responses:
                    self.server.finish(response)
                await anyio.sleep(0)
            self.server.cut_slow(self._clock.now())
            await self._clock.sleep(TICK)

    def _tell_age(self) -> None:
        """Say once that the list is too old to be answered from, and once that it is not any more."""
        now = self._clock.now()
        fresh = self.relay.staleness.fresh(now)
        if fresh is self._fresh:
            return
        if fresh:
            told = {"version": self.relay.log.version, "after_ms": f"{now - self._stale_since:.0f}"}
            log.info("fresh", extra=told)
        elif self._fresh:
            log.warning("stale", extra={"age_ms": f"{self.relay.staleness.age(now):.0f}"})
        self._fresh, self._stale_since = fresh, now

    def report(self) -> Report:
        """The figures of now."""
        relay, counts, limits = self.relay, self.relay.counts, self.server.limits
        return Report(
            relay.log.version,
            relay.staleness.age(self._clock.now()),
            relay.watchers,
            relay.log.servers,
            relay.log.logged,
            relay.held,
            counts.calls,
            counts.answers,
            counts.whole,
            counts.size,
            counts.refused + limits.refused,
            counts.behind,
            limits.slow,
        )

    async def _tell_figures(self) -> None:
        while True:
            await self._clock.sleep(FIGURES_EVERY)
            report = self.report()
            log.info("figures", extra={**asdict(report), "age": f"{report.age:.0f}"})
            if report.refused > self._refused_before:
                log.warning("refused", extra={"calls": report.refused - self._refused_before})
            self._refused_before = report.refused
            # Guards memory: answers that nobody has asked for since are made anew when they are.
            self.relay.cache.clear()


def _rejected(log: logging.Logger, text: str) -> None:
    log.warning("discovery entry rejected", extra={"error": text})


def _descriptors() -> int:
    """How many descriptors this process may have: as many as the system lets it take."""
    allowed, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    if most == resource.RLIM_INFINITY:
        return allowed
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    return most


async def serve_relay(settings: RelaySettings, clock: Clock) -> None:
    """Run a relay until SIGTERM or SIGINT."""
    service = RelayService(settings, clock)
    await service.listen()
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(service.run)
            async for signum in signals:
                log.info("stopping", extra={"signal": signal.Signals(signum).name})
                tasks.cancel_scope.cancel()
                break
    log.info("stopped")
