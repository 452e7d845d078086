"""Assembles a relay from its parts, runs it and logs its statistics."""

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
from puffinford.relay.core import ListRelay, RelayParameters, Response
from puffinford.relay.entries import RawList, decode
from puffinford.relay.server import Caller, CallServer, ServerLimits
from puffinford.relay.wire import Call
from puffinford.server_list.endpoints import EndpointSelector, RetryPolicy
from puffinford.server_list.watch import ListWatch, ReceivedAnswer, WatchTiming

log = logging.getLogger(__name__)

TICK_MS = 20.0
MAX_RESPONSES_PER_TURN = 128  # written in a row before other events are handled
STATISTICS_INTERVAL_MS = 10_000.0  # also the minimum between warnings about a suspect upstream
RESERVED_DESCRIPTORS = 64  # for everything but callers
# Shorter than a balancer's: relays are few, and their lists age while upstream is unreachable.
RETRY_POLICY = RetryPolicy(initial_window=250.0, max_window=1_000.0)


def watch_timing(wait: float) -> WatchTiming:
    """The timing of calls upstream, each of which waits `wait` ms for changes."""
    return WatchTiming(
        int(wait),
        answer_grace=RELAY_ANSWER_GRACE_MS,
        hedge_delay=500.0,
        max_hedge_delay=1_000.0,
        jitter=50.0,
        retry=RETRY_POLICY,
    )


def relay_parameters(settings: RelaySettings) -> RelayParameters:
    """The decision module's parameters from the settings."""
    return RelayParameters(
        settings.max_age,
        settings.upstream_age,
        settings.wait,
        settings.coalesce,
        LogLimits(settings.log_entries, settings.log_bytes),
    )


@dataclass(frozen=True, slots=True)
class RelayStatistics:
    """Current values and totals since the start; the field names are keys in the log.

    `age` is in ms, `held` the bytes buffered for answers, `whole` the number of full answers, `bytes` the
    size of all answers, `behind` the number of calls with a version above the relay's, and `slow` the number
    of connections that timed out.
    """

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
    """One relay: the watch upstream, the decision module, and the listening side."""

    def __init__(self, settings: RelaySettings, clock: Clock, rng: random.Random | None = None) -> None:
        rng = rng or random.Random()
        self._settings = settings
        self._clock = clock
        self.relay = ListRelay(relay_parameters(settings))
        limits = ServerLimits(min(settings.calls, _raise_descriptor_limit() - RESERVED_DESCRIPTORS))
        self.server = CallServer(clock, limits, self._handle_call, self.relay.caller_disconnected)
        upstream = EndpointSelector(settings.upstream, rng, RETRY_POLICY)
        reject = partial(_log_rejected_entry, log)
        self._watch: ListWatch[RawList] = ListWatch(
            upstream,
            None,
            clock,
            lambda body: decode(body, reject),
            self._handle_answer,
            watch_timing(settings.wait),
            always_subscribed=True,
            rng=rng,
        )
        self._is_fresh: bool | None = None
        self._freshness_changed_at = clock.now()
        self._refused_before = 0
        self._suspect_logged_at = float("-inf")

    async def listen(self) -> tuple[str, int]:
        """Start listening. Return the address with the port bound. Raises OSError."""
        address = self.server.listen(self._settings.listen)
        log.info("serving", extra={"front": "relay", "listen": "{}:{}".format(*address)})
        return address

    async def run(self) -> None:
        """Watch upstream and answer calls until cancelled."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._watch.run)
                tasks.start_soon(self._respond_when_due)
                tasks.start_soon(self._log_statistics)
        finally:
            self.server.close()

    def _handle_answer(self, received: ReceivedAnswer[RawList] | None) -> int | None:
        version, reason = self.relay.handle_answer(received, self._clock.now())
        if reason and self._clock.now() >= self._suspect_logged_at + STATISTICS_INTERVAL_MS:
            self._suspect_logged_at = self._clock.now()
            log.warning("upstream suspect", extra={"why": reason})
        return version

    def _handle_call(self, caller: Caller, call: Call) -> Response | None:
        return self.relay.handle_call(caller, call, self._clock.now())

    async def _respond_when_due(self) -> None:
        while True:
            self._log_freshness_change()
            while responses := self.relay.take_due(self._clock.now(), MAX_RESPONSES_PER_TURN):
                for response in responses:
                    self.server.respond(response)
                await anyio.sleep(0)
            self.server.close_timed_out(self._clock.now())
            await self._clock.sleep(TICK_MS)

    def _log_freshness_change(self) -> None:
        """Log once when the list becomes too old to serve, and once when it is fresh again."""
        now = self._clock.now()
        is_fresh = self.relay.staleness.is_fresh(now)
        if is_fresh is self._is_fresh:
            return
        if is_fresh:
            fields = {
                "version": self.relay.change_log.version,
                "after_ms": f"{now - self._freshness_changed_at:.0f}",
            }
            log.info("fresh", extra=fields)
        elif self._is_fresh:
            log.warning("stale", extra={"age_ms": f"{self.relay.staleness.age(now):.0f}"})
        self._is_fresh, self._freshness_changed_at = is_fresh, now

    def statistics(self) -> RelayStatistics:
        """Return the current statistics."""
        relay, counters, limits = self.relay, self.relay.counters, self.server.limits
        return RelayStatistics(
            relay.change_log.version,
            relay.staleness.age(self._clock.now()),
            relay.watchers,
            relay.change_log.server_count,
            relay.change_log.log_entries,
            relay.buffered_bytes,
            counters.calls,
            counters.answers,
            counters.full_answers,
            counters.answer_bytes,
            counters.refused + limits.refused,
            counters.ahead_calls,
            limits.timed_out,
        )

    async def _log_statistics(self) -> None:
        while True:
            await self._clock.sleep(STATISTICS_INTERVAL_MS)
            statistics = self.statistics()
            log.info("figures", extra={**asdict(statistics), "age": f"{statistics.age:.0f}"})
            if statistics.refused > self._refused_before:
                log.warning("refused", extra={"calls": statistics.refused - self._refused_before})
            self._refused_before = statistics.refused
            # Frees answers that are not requested any more; the others are encoded again when needed.
            self.relay.cache.clear()


def _log_rejected_entry(log: logging.Logger, text: str) -> None:
    log.warning("discovery entry rejected", extra={"error": text})


def _raise_descriptor_limit() -> int:
    """Raise the soft limit of file descriptors to the hard limit, and return the limit in force."""
    soft_limit, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard_limit == resource.RLIM_INFINITY:
        return soft_limit
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
    return hard_limit


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
