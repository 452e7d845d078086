"""Measurement of the time in which the event loop was held up, by the process or by its host.

A timer is due at short intervals, and its lateness is the lag. Messages that pass through the process in that
time are late by as much, whatever their peers do.
"""

from __future__ import annotations

import asyncio

import anyio

CHECK_INTERVAL_MS = 50.0
# After a lag the loop has a backlog, which delays messages again and again for shorter times.
BACKLOG_CHECK_INTERVAL_MS = 10.0
BACKLOG_CHECKS = 20  # consecutive checks without a lag after which there is no backlog
MIN_LAG_MS = 5.0  # timers of a loop that is on time are less late
MIN_HOLD_UP_MS = 50.0  # from here on a lag counts from the last check, since when it may have lasted


class LoopLag:
    """The sum of all lags of the running event loop. The timer is no task, as it would wake too often."""

    def __init__(self) -> None:
        self._loop: asyncio.AbstractEventLoop | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._interval_ms = CHECK_INTERVAL_MS
        self._finished_ms = 0.0
        self._checks_on_time = BACKLOG_CHECKS

    @property
    def total_ms(self) -> float:
        """The lag since `run` was started in ms, including one that has not ended."""
        return self._finished_ms + self._current_ms()

    async def run(self) -> None:
        """Measure until cancelled."""
        self._loop = asyncio.get_running_loop()
        self._schedule_check()
        try:
            await anyio.sleep_forever()
        finally:
            if self._timer is not None:
                self._timer.cancel()
                self._timer = None

    def _schedule_check(self) -> None:
        assert self._loop is not None
        has_backlog = self._checks_on_time < BACKLOG_CHECKS
        self._interval_ms = BACKLOG_CHECK_INTERVAL_MS if has_backlog else CHECK_INTERVAL_MS
        self._timer = self._loop.call_later(self._interval_ms / 1_000.0, self._check)

    def _check(self) -> None:
        late_ms = self._current_ms()
        self._finished_ms += late_ms
        self._checks_on_time = 0 if late_ms else self._checks_on_time + 1
        self._schedule_check()

    def _current_ms(self) -> float:
        """The lag since the last check; 0 if the next one is not due or hardly late."""
        if self._loop is None or self._timer is None:
            return 0.0
        late_ms = (self._loop.time() - self._timer.when()) * 1_000.0
        if late_ms < MIN_LAG_MS:
            return 0.0
        return late_ms + (self._interval_ms if late_ms >= MIN_HOLD_UP_MS else 0.0)
