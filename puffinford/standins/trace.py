"""What stand-ins saw, in one order, for reports and for the checkers of the rules."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from enum import Enum


class EventKind(Enum):
    """A thing seen. `job` and `server` of the entry say of whom."""

    REQUESTED = "asked"  # a client has sent its opening
    UP = "up"  # ... and stands
    BUSY = "busy"  # ... or was turned away
    FAILED = "failed"  # ... or got any other answer
    LOST = "lost"  # ... or none: the connection ended first, or its time was up
    MOVED = "moved"  # a standing client was sent away in order
    CUT_OFF = "cut"  # ... or its connection ended without a word
    ANSWERED = "answered"  # a line of a standing client came back
    DONE = "done"  # ... or it ended it itself
    ATTEMPT = "claim"  # an opening has come to a server
    EXECUTED = "ran"  # ... and may have had its effect: the server did anything but turn it away
    ATTEMPT_END = "claim end"  # its connection has ended
    BROKEN = "broken"  # a server resets a connection that stands at it: the cut that follows is its own
    LISTED = "told"  # discovery wrote an answer that says of a server: see `detail`
    FAULT = "fault"  # a fault begins or ends at a link or process: see `by` and `detail`
    STATE = "state"  # a server has changed what it does: see `detail`


KILLED = "killed"  # detail of a FAULT: a balancer that was told to end ran on until then
CROWD_ARRIVES = "crowd"  # first word of the detail of a FAULT: idle clients come to a balancer
FAULT_OVER = "wake"  # detail of a FAULT: that of a balancer is over
ANSWERS = (EventKind.UP, EventKind.BUSY, EventKind.FAILED, EventKind.LOST)


@dataclass(frozen=True, slots=True)
class TraceEvent:
    """One thing at one time, in ms since the trace began."""

    at: float
    kind: EventKind
    request_id: str = ""
    server: str = ""
    cls: str = ""
    ms: float = 0.0  # how long it took, where that can be said; of a TOLD, the server's start in Unix ms
    detail: str = ""
    balancer: str = (
        ""  # the balancer that it came from or went to, where known; of a FAULT, the link or balancer
    )


class Trace:
    """Entries in the order in which they were seen; `now` gives ms of any one clock."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._began = now()
        self.events: list[TraceEvent] = []
        self.serving_started_at = 0.0  # ms: when the first client could come
        self.serving_ended_at = 0.0  # ms: when the last had come
        self._balancer_of_request: dict[
            str, str
        ] = {}  # the balancer that each job went to, where its client says

    @property
    def elapsed(self) -> float:
        """Ms since the trace began."""
        return self._now() - self._began

    def add(self, kind: EventKind, **more: object) -> None:
        """See a thing now."""
        entry = TraceEvent(self.elapsed, kind, **more)  # type: ignore[arg-type]
        if kind is EventKind.REQUESTED:
            self._balancer_of_request[entry.request_id] = entry.balancer
        elif kind in (EventKind.ATTEMPT, EventKind.EXECUTED, EventKind.ATTEMPT_END) and not entry.balancer:
            entry = replace(entry, balancer=self._balancer_of_request.get(entry.request_id, ""))
        self.events.append(entry)

    def of(self, *kinds: EventKind) -> Iterator[TraceEvent]:
        """The entries of these kinds."""
        return (entry for entry in self.events if entry.kind in kinds)

    def count(
        self, kind: EventKind, by: Callable[[TraceEvent], str] = lambda entry: entry.cls
    ) -> Counter[str]:
        """How often a thing was seen, by class or by whatever `by` names."""
        return Counter(by(entry) for entry in self.of(kind))
