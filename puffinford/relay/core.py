"""Decisions of a relay: how and when each call is answered. No I/O; the caller passes the time, in ms.

The age of the list is checked whenever an answer is made, so a process resumed after a suspension does not
serve its outdated list.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass, field

from puffinford.relay.admission import Admission, AdmissionResult
from puffinford.relay.answers import AnswerCache, EncodedAnswer
from puffinford.relay.changes import ChangeLog, LogLimits
from puffinford.relay.coalescing import CoalescingWindow
from puffinford.relay.entries import RawList, RawListGuard
from puffinford.relay.staleness import Staleness
from puffinford.relay.wire import UNAVAILABLE, Call
from puffinford.server_list.watch import ReceivedAnswer

MIN_LONG_ANSWER_BYTES = 65_536  # shorter answers bypass admission control
MAX_IN_FLIGHT_BYTES = 32 << 20
MAX_QUEUED_CALLERS = 4_096
QUEUE_TIMEOUT_MS = 800.0  # less than the 1,000 ms after which balancers hedge a call
MAX_OBSOLETE_DEADLINES = 4_096
CONFIRMATION_MARGIN_MS = 100.0


@dataclass(frozen=True, slots=True)
class RelayParameters:
    """Parameters of a relay. Times are in ms; `wait` is the wait of its own calls upstream."""

    max_age: float = 2_000.0
    upstream_age: float = 0.0  # maximum age of a list served by the upstream; 0 for the source itself
    wait: float = 500.0
    coalesce: float = 100.0
    log_limits: LogLimits = field(default_factory=lambda: LogLimits(4_096, 4 << 20))


@dataclass(slots=True)
class RelayCounters:
    """Totals since the start."""

    calls: int = 0
    answers: int = 0
    full_answers: int = 0
    refused: int = 0  # calls answered with 503
    ahead_calls: int = 0  # calls with a version above the relay's
    answer_bytes: int = 0


@dataclass(frozen=True, slots=True)
class Response:
    """The complete response to a caller; its connection is closed afterwards."""

    caller: Hashable
    data: bytes


@dataclass(slots=True)
class _WaitingCall:
    """A call that waits for changes after version `index`; answered at `deadline` at the latest."""

    index: int
    deadline: float
    sequence: int


@dataclass(frozen=True, slots=True)
class _AheadCall:
    """A call with version `index`, above the relay's; refused at `deadline` if still unresolved."""

    index: int
    arrived_at: float
    deadline: float
    wait_ends_at: float  # the end of the wait that the caller asked for


class ListRelay:
    """The list, the calls that wait for a change, and the responses to send now."""

    def __init__(self, parameters: RelayParameters) -> None:
        self.counters = RelayCounters()
        self.staleness = Staleness(parameters.max_age)
        self._parameters = parameters
        self._guard = RawListGuard()
        self.change_log = ChangeLog(parameters.log_limits)
        self.cache = AnswerCache(self.change_log)
        self._coalescing = CoalescingWindow(parameters.coalesce)
        self._admission = Admission(MAX_IN_FLIGHT_BYTES, MAX_QUEUED_CALLERS, QUEUE_TIMEOUT_MS)
        self._waiting: dict[Hashable, _WaitingCall] = {}
        self._deadlines: list[tuple[float, int, Hashable]] = []
        self._last_sequence = 0
        self._ahead: dict[Hashable, _AheadCall] = {}
        self._has_unconfirmed = False  # unconfirmed changes have not been sent to the waiting callers yet
        self._ready: deque[Hashable] = deque()  # waiting callers with changes to send

    @property
    def watchers(self) -> int:
        """The number of calls that wait for a change."""
        return len(self._waiting) + len(self._ahead)

    @property
    def buffered_bytes(self) -> int:
        """Bytes held for answers: the log, the cache, and answers in flight."""
        return self.change_log.log_bytes + self.cache.cached_bytes + self._admission.bytes_in_flight

    # Upstream

    def handle_answer(self, received: ReceivedAnswer[RawList] | None, now: float) -> tuple[int | None, str]:
        """Apply an answer from upstream; None after a failed call.

        Return the version that the next call resumes from, and why the answer is suspect ("" if it is not).
        """
        if received is None:
            return self._guard.version, ""
        answer, list_call = received.answer, received.list_call
        verdict = self._guard.judge(answer, self.change_log.entry)
        if verdict.note:
            if verdict.accepted is not None and self.change_log.apply_unconfirmed(verdict.accepted.entries):
                self._has_unconfirmed = True
                self._schedule_update(now)
            return verdict.version, verdict.note
        unchanged = list_call.index == answer.version and not answer.full and not answer.entries
        self.staleness.confirm(list_call.sent_at, list_call.wait, received.received_at, unchanged)
        if verdict.accepted is not None and self.change_log.apply(verdict.accepted):
            self._schedule_update(now)
        return verdict.version, ""

    def _schedule_update(self, now: float) -> None:
        self.cache.clear()
        self._coalescing.add_update(now)

    # Downstream

    def handle_call(self, caller: Hashable, call: Call, now: float) -> Response | None:
        """Answer a call, or return None if `take_due` returns its response later."""
        self.counters.calls += 1
        version = self.change_log.version
        if version is None or not self.staleness.is_fresh(now):
            return self._refuse(caller)
        if call.index is None:
            return self._answer(caller, None, now)
        if call.index > version:
            self._wait_for_version(caller, call.index, call.wait, now)
            return None
        if call.wait and (call.index == version or self._coalescing.is_open):
            self._wait_for_change(caller, call.index, now + call.wait)
            return None
        return self._answer(caller, call.index, now)

    def caller_disconnected(self, caller: Hashable) -> None:
        """Forget a caller whose connection has ended, answered or not."""
        self._waiting.pop(caller, None)
        self._ahead.pop(caller, None)
        self._admission.release(caller)

    def take_due(self, now: float, limit: int) -> list[Response]:
        """Return about `limit` responses that are due. Call it again until none are returned."""
        if not self.staleness.is_fresh(now):
            return self._refuse_waiting(limit)
        if self._coalescing.close_if_due(now):
            self._ready.extend(self._callers_to_update())
        responses: list[Response | None] = []
        for caller in self._admission.admit_queued():
            responses.append(self._send(caller, self.cache.get(None)))
        for caller in self._admission.remove_expired(now):
            responses.append(self._refuse(caller))
        while self._ready and len(responses) < limit:
            responses.append(self._answer_waiting(self._ready.popleft(), now))
        while self._deadlines and self._deadlines[0][0] <= now and len(responses) < limit:
            _, sequence, caller = heapq.heappop(self._deadlines)
            waiting = self._waiting.get(caller)
            if waiting is not None and waiting.sequence == sequence:
                responses.append(self._answer_waiting(caller, now))
        responses += self._resolve_ahead(now, limit - len(responses))
        return [response for response in responses if response is not None]

    def _callers_to_update(self) -> list[Hashable]:
        """The waiting callers with changes to send; all of them if there are unconfirmed changes."""
        update_all, self._has_unconfirmed = self._has_unconfirmed, False
        version = self.change_log.version
        return [caller for caller, waiting in self._waiting.items() if update_all or waiting.index != version]

    def _wait_for_change(self, caller: Hashable, index: int, deadline: float) -> None:
        self._last_sequence += 1
        self._waiting[caller] = _WaitingCall(index, deadline, self._last_sequence)
        heapq.heappush(self._deadlines, (deadline, self._last_sequence, caller))
        if len(self._deadlines) > MAX_OBSOLETE_DEADLINES + 4 * len(self._waiting):
            # Prevents the deadlines of calls already answered from accumulating.
            self._deadlines = [
                (waiting.deadline, waiting.sequence, key) for key, waiting in self._waiting.items()
            ]
            heapq.heapify(self._deadlines)

    def _answer_waiting(self, caller: Hashable, now: float) -> Response | None:
        waiting = self._waiting.pop(caller, None)
        if waiting is None:
            return None
        if self.change_log.version is not None and waiting.index > self.change_log.version:
            # The source was set back to an older version while the call waited.
            self._wait_for_version(caller, waiting.index, waiting.deadline - now, now)
            return None
        return self._answer(caller, waiting.index, now)

    def _refuse_waiting(self, limit: int) -> list[Response]:
        callers: list[Hashable] = []
        for calls in (self._waiting, self._ahead):
            for caller in calls:
                if len(callers) >= limit:
                    break
                callers.append(caller)
        callers += self._admission.remove_expired(float("inf"))
        for caller in callers:
            self._waiting.pop(caller, None)
            self._ahead.pop(caller, None)
        if not self._waiting:
            self._ready.clear()
            self._deadlines.clear()
        return [self._refuse(caller) for caller in callers]

    # Calls with a version above the relay's: the relay lags or was restarted, or the source went back to an
    # older version

    def _wait_for_version(self, caller: Hashable, index: int, wait: float, now: float) -> None:
        self.counters.ahead_calls += 1
        parameters = self._parameters
        min_wait = parameters.upstream_age + 1.5 * parameters.wait + CONFIRMATION_MARGIN_MS
        self._ahead[caller] = _AheadCall(index, now, now + max(wait, min_wait), now + wait)

    def _resolve_ahead(self, now: float, limit: int) -> list[Response | None]:
        responses: list[Response | None] = []
        confirmed_at = self.staleness.confirmed_at - self._parameters.upstream_age
        for caller, ahead in list(self._ahead.items()):
            if len(responses) >= limit:
                break
            version = self.change_log.version
            caught_up = version is not None and ahead.index <= version
            if caught_up and now < ahead.wait_ends_at:
                del self._ahead[caller]
                self._wait_for_change(caller, ahead.index, ahead.wait_ends_at)
                if ahead.index != version and not self._coalescing.is_open:
                    self._ready.append(caller)
            elif caught_up or confirmed_at > ahead.arrived_at:
                # If not caught up: the list was confirmed after the call arrived, so the source's is older.
                del self._ahead[caller]
                responses.append(self._answer(caller, ahead.index, now))
            elif now >= ahead.deadline:
                del self._ahead[caller]
                responses.append(self._refuse(caller))
        return responses

    # Answers

    def _answer(self, caller: Hashable, index: int | None, now: float) -> Response | None:
        encoded = self.cache.get(index)
        if len(encoded.data) < MIN_LONG_ANSWER_BYTES:
            return self._send(caller, encoded)
        admission = self._admission.request(caller, len(encoded.data), now)
        if admission is AdmissionResult.ADMITTED:
            return self._send(caller, encoded)
        return self._refuse(caller) if admission is AdmissionResult.REJECTED else None

    def _send(self, caller: Hashable, encoded: EncodedAnswer) -> Response:
        self.counters.answers += 1
        self.counters.full_answers += encoded.full
        self.counters.answer_bytes += len(encoded.data)
        return Response(caller, encoded.data)

    def _refuse(self, caller: Hashable) -> Response:
        self.counters.refused += 1
        return Response(caller, UNAVAILABLE)
