"""The decisions of a relay: what each call is answered, and when. No I/O; it is given the time in ms.

Every answer is made at a moment that is given, and whether the list may be answered from is looked at then: a
process that stood still answers nothing from the list of before.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass, field

from puffinford.relay.admission import Admission, Turn
from puffinford.relay.answers import AnswerCache, Encoded
from puffinford.relay.changes import ChangeLog, LogLimits
from puffinford.relay.coalescing import CoalescingWindow
from puffinford.relay.entries import RawGuard, RawList
from puffinford.relay.staleness import Staleness
from puffinford.relay.wire import UNAVAILABLE, Call
from puffinford.server_list.watch import ReceivedAnswer

LONG = 65_536  # bytes from which an answer waits for its turn
WRITING_MOST = 32 << 20  # bytes of long answers that are written at once
TURN_WAITING = 4_096  # callers that wait for their turn
TURN_PATIENCE = 800.0  # ms that they wait: a caller asks elsewhere after 1,000
DUES_SPARE = 4_096
BEHIND_SPARE = 100.0  # ms beyond the time that a confirmation takes


@dataclass(frozen=True, slots=True)
class RelayFigures:
    """What a relay goes by. Times are ms; `wait` is that of its own calls upstream."""

    max_age: float = 2_000.0
    upstream_age: float = 0.0  # how old a list may be that is confirmed upstream
    wait: float = 500.0
    coalesce: float = 100.0
    log: LogLimits = field(default_factory=lambda: LogLimits(4_096, 4 << 20))


@dataclass(slots=True)
class Counts:
    """What was done since the start."""

    calls: int = 0
    answers: int = 0
    whole: int = 0  # whole lists among the answers
    refused: int = 0  # 503, or a reset
    behind: int = 0  # calls from a version above that held
    size: int = 0  # bytes of answers


@dataclass(frozen=True, slots=True)
class Response:
    """What to write to a caller, whose connection ends with it."""

    caller: Hashable
    data: bytes


@dataclass(slots=True)
class _Parked:
    """A call that waits for news until `due`."""

    index: int
    due: float
    number: int


@dataclass(frozen=True, slots=True)
class _Behind:
    """A call from a version above that held, which came at `arrived`."""

    index: int
    arrived: float
    due: float
    until: float  # the end of the caller's own wait


class ListRelay:
    """The list, the calls that wait, and what is due to be written."""

    def __init__(self, figures: RelayFigures) -> None:
        self.counts = Counts()
        self.staleness = Staleness(figures.max_age)
        self._figures = figures
        self._guard = RawGuard()
        self.log = ChangeLog(figures.log)
        self.cache = AnswerCache(self.log)
        self._window = CoalescingWindow(figures.coalesce)
        self._admission = Admission(WRITING_MOST, TURN_WAITING, TURN_PATIENCE)
        self._parked: dict[Hashable, _Parked] = {}
        self._dues: list[tuple[float, int, Hashable]] = []
        self._number = 0
        self._behind: dict[Hashable, _Behind] = {}
        self._noticed = False  # there is bad news that belongs to no version
        self._ready: deque[Hashable] = deque()  # parked callers to whom there is something to tell

    @property
    def watchers(self) -> int:
        """Calls that wait for news."""
        return len(self._parked) + len(self._behind)

    @property
    def held(self) -> int:
        """Bytes that are held for answers: the log, the cache, and what is being written."""
        return self.log.log_size + self.cache.size + self._admission.size

    # Upstream

    def heard(self, heard: ReceivedAnswer[RawList] | None, now: float) -> tuple[int | None, str]:
        """An answer from upstream, or None for none: the version that the next call goes on from, and why the
        answer is doubted, if it is.
        """
        if heard is None:
            return self._guard.version, ""
        answer, list_call = heard.answer, heard.list_call
        judged = self._guard.judge(answer, self.log.held)
        if judged.note:
            if judged.taken is not None and self.log.notice(judged.taken.entries):
                self._noticed = True
                self._tell(now)
            return judged.version, judged.note
        quiet = list_call.index == answer.version and not answer.full and not answer.entries
        self.staleness.confirm(list_call.sent_at, list_call.wait, heard.received_at, quiet)
        if judged.taken is not None and self.log.take(judged.taken):
            self._tell(now)
        return judged.version, ""

    def _tell(self, now: float) -> None:
        self.cache.clear()
        self._window.news(now)

    # Downstream

    def call(self, caller: Hashable, call: Call, now: float) -> Response | None:
        """A call; None where its answer comes later, among those that are `due`."""
        self.counts.calls += 1
        version = self.log.version
        if version is None or not self.staleness.fresh(now):
            return self._refuse(caller)
        if call.index is None:
            return self._answer(caller, None, now)
        if call.index > version:
            self._wait_behind(caller, call.index, call.wait, now)
            return None
        if call.wait and (call.index == version or self._window.open):
            self._park(caller, call.index, now + call.wait)
            return None
        return self._answer(caller, call.index, now)

    def left(self, caller: Hashable) -> None:
        """The caller's connection has ended, however it did."""
        self._parked.pop(caller, None)
        self._behind.pop(caller, None)
        self._admission.done(caller)

    def due(self, now: float, most: int) -> list[Response]:
        """What is to be written now, `most` answers at once. To be asked again until there is nothing."""
        if not self.staleness.fresh(now):
            return self._end_watches(most)
        if self._window.close(now):
            self._ready.extend(self._with_news())
        responses: list[Response | None] = []
        for caller in self._admission.next():
            responses.append(self._send(caller, self.cache.get(None)))
        for caller in self._admission.expired(now):
            responses.append(self._refuse(caller))
        while self._ready and len(responses) < most:
            responses.append(self._answer_parked(self._ready.popleft(), now))
        while self._dues and self._dues[0][0] <= now and len(responses) < most:
            _, number, caller = heapq.heappop(self._dues)
            parked = self._parked.get(caller)
            if parked is not None and parked.number == number:
                responses.append(self._answer_parked(caller, now))
        responses += self._look_behind(now, most - len(responses))
        return [response for response in responses if response is not None]

    def _with_news(self) -> list[Hashable]:
        """The parked callers to whom there is something to tell."""
        everybody, self._noticed = self._noticed, False
        version = self.log.version
        return [caller for caller, parked in self._parked.items() if everybody or parked.index != version]

    def _park(self, caller: Hashable, index: int, due: float) -> None:
        self._number += 1
        self._parked[caller] = _Parked(index, due, self._number)
        heapq.heappush(self._dues, (due, self._number, caller))
        if len(self._dues) > DUES_SPARE + 4 * len(self._parked):
            # Guards memory against the dues of calls that were answered long before.
            self._dues = [(parked.due, parked.number, key) for key, parked in self._parked.items()]
            heapq.heapify(self._dues)

    def _answer_parked(self, caller: Hashable, now: float) -> Response | None:
        parked = self._parked.pop(caller, None)
        if parked is None:
            return None
        if self.log.version is not None and parked.index > self.log.version:
            # The source went back while the call waited.
            self._wait_behind(caller, parked.index, parked.due - now, now)
            return None
        return self._answer(caller, parked.index, now)

    def _end_watches(self, most: int) -> list[Response]:
        callers: list[Hashable] = []
        for waiting in (self._parked, self._behind):
            for caller in waiting:
                if len(callers) >= most:
                    break
                callers.append(caller)
        callers += self._admission.expired(float("inf"))
        for caller in callers:
            self._parked.pop(caller, None)
            self._behind.pop(caller, None)
        if not self._parked:
            self._ready.clear()
            self._dues.clear()
        return [self._refuse(caller) for caller in callers]

    # Calls from a version above that held: it is behind, was restarted, or its source has gone back

    def _wait_behind(self, caller: Hashable, index: int, wait: float, now: float) -> None:
        self.counts.behind += 1
        figures = self._figures
        least = figures.upstream_age + 1.5 * figures.wait + BEHIND_SPARE
        self._behind[caller] = _Behind(index, now, now + max(wait, least), now + wait)

    def _look_behind(self, now: float, most: int) -> list[Response | None]:
        responses: list[Response | None] = []
        confirmed = self.staleness.confirmed - self._figures.upstream_age
        for caller, behind in list(self._behind.items()):
            if len(responses) >= most:
                break
            version = self.log.version
            caught_up = version is not None and behind.index <= version
            if caught_up and now < behind.until:
                del self._behind[caller]
                self._park(caller, behind.index, behind.until)
                if behind.index != version and not self._window.open:
                    self._ready.append(caller)
            elif caught_up or confirmed > behind.arrived:
                # Below it still, though known to be the source's after the call came: the source went back.
                del self._behind[caller]
                responses.append(self._answer(caller, behind.index, now))
            elif now >= behind.due:
                del self._behind[caller]
                responses.append(self._refuse(caller))
        return responses

    # Answers

    def _answer(self, caller: Hashable, index: int | None, now: float) -> Response | None:
        encoded = self.cache.get(index)
        if len(encoded.data) < LONG:
            return self._send(caller, encoded)
        turn = self._admission.ask(caller, len(encoded.data), now)
        if turn is Turn.NOW:
            return self._send(caller, encoded)
        return self._refuse(caller) if turn is Turn.NEVER else None

    def _send(self, caller: Hashable, encoded: Encoded) -> Response:
        self.counts.answers += 1
        self.counts.whole += encoded.full
        self.counts.size += len(encoded.data)
        return Response(caller, encoded.data)

    def _refuse(self, caller: Hashable) -> Response:
        self.counts.refused += 1
        return Response(caller, UNAVAILABLE)
