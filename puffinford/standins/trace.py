"""The trace of a run: typed events in the order in which the stand-ins saw them, for reports and checks."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from enum import Enum


class EventKind(Enum):
    """What a stand-in saw. `request_id` and `server` of the event name the request and the server."""

    REQUESTED = "asked"  # a client sent its opening
    UP = "up"  # the client got UP
    BUSY = "busy"  # the client got BUSY
    FAILED = "failed"  # the client got any other answer
    LOST = "lost"  # the client got none: its connection ended, or its time ran out
    MOVED = "moved"  # an established client got MOVE
    CUT_OFF = "cut"  # an established connection ended without MOVE
    ANSWERED = "answered"  # an established client got its line back
    DONE = "done"  # an established client closed its connection
    ATTEMPT = "claim"  # a server received an opening
    EXECUTED = "ran"  # the request may have had its effect: the server will not refuse it
    ATTEMPT_END = "claim end"  # the connection of an attempt ended
    BROKEN = "broken"  # a server resets an established connection, so that the cut is its own
    LISTED = "told"  # discovery wrote an answer that holds a server; `detail` is the listed state
    FAULT = "fault"  # a fault begins or ends; `balancer` is the link or process, `detail` the fault
    STATE = "state"  # a server changed its behaviour; `detail` is the new state


KILLED = "killed"  # detail of a FAULT: a balancer outlived its shutdown and is killed
CROWD_ARRIVES = "crowd"  # first word of the detail of a FAULT: idle clients connect to a balancer
FAULT_OVER = "wake"  # detail of a FAULT: the balancer's fault has ended
ANSWERS = (EventKind.UP, EventKind.BUSY, EventKind.FAILED, EventKind.LOST)


@dataclass(frozen=True, slots=True)
class TraceEvent:
    """One event; `at` is in ms since the trace began."""

    at: float
    kind: EventKind
    request_id: str = ""
    server: str = ""
    cls: str = ""
    ms: float = 0.0  # duration, if the event has one; of a LISTED, the start of the server in Unix ms
    detail: str = ""
    balancer: str = ""  # the balancer at the other end, if known; of a FAULT, the link or balancer


class Trace:
    """Events in the order in which they were seen; `now` returns ms of a single clock."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._started_at = now()
        self.events: list[TraceEvent] = []
        self.serving_started_at = 0.0  # ms: when clients began to arrive
        self.serving_ended_at = 0.0  # ms: when the last client had arrived
        self._balancer_of_request: dict[str, str] = {}  # as the client of each request names it

    @property
    def elapsed(self) -> float:
        """Time since the trace began, in ms."""
        return self._now() - self._started_at

    def add(self, kind: EventKind, **more: object) -> None:
        """Record an event that happens now."""
        event = TraceEvent(self.elapsed, kind, **more)  # type: ignore[arg-type]
        if kind is EventKind.REQUESTED:
            self._balancer_of_request[event.request_id] = event.balancer
        elif kind in (EventKind.ATTEMPT, EventKind.EXECUTED, EventKind.ATTEMPT_END) and not event.balancer:
            event = replace(event, balancer=self._balancer_of_request.get(event.request_id, ""))
        self.events.append(event)

    def of(self, *kinds: EventKind) -> Iterator[TraceEvent]:
        """Return the events of these kinds, in order."""
        return (event for event in self.events if event.kind in kinds)

    def count(
        self, kind: EventKind, key: Callable[[TraceEvent], str] = lambda event: event.cls
    ) -> Counter[str]:
        """Return the number of events of a kind, by request class or by the result of `key`."""
        return Counter(key(event) for event in self.of(kind))
