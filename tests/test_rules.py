"""Invariants over arbitrary legal sequences of events.

One final answer in time, no effect twice, nothing new to draining servers, and the budget of cold servers.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from puffinford.balance import Balancer
from puffinford.decision_state import DEFAULT_WARM_CAPACITY
from puffinford.interface import (
    Action,
    Attempt,
    Cancel,
    ClientLeft,
    DelayUpdate,
    Effect,
    Established,
    Event,
    Fail,
    ListKind,
    Move,
    Outcome,
    Probe,
    Refuse,
    Request,
    RequestClass,
    Result,
    Scope,
    Server,
    ServerList,
    ServerState,
    SetTimer,
    Settings,
    Timer,
)
from puffinford.slow_start import MAX_BUDGET_RATIO

CLASSES = [
    RequestClass("safe", 900.0, 200.0, message_aim=60.0),
    RequestClass("all", 900.0, 200.0, Effect.KEYED, Scope.ALL, 400.0, message_aim=60.0),
    RequestClass("zone", 900.0, 200.0, Effect.KEYED, Scope.ZONE, 400.0, message_aim=60.0),
    RequestClass("cell", 900.0, 200.0, Effect.KEYED, Scope.CELL, 400.0, message_aim=60.0),
    RequestClass("unsafe", 900.0, 200.0, Effect.UNSAFE, message_aim=60.0),
]
NEVER_RAN = {Result.FULL, Result.CONNECT_FAILED, Result.NOT_SENT}
ENDINGS = [Result.ERROR, Result.FULL, Result.CONNECT_FAILED, Result.RESET, Result.TIMEOUT]
COLD_FROM, WARM_TIME, WINDOW = 0.25, 6_000.0, 1_000.0


@dataclass
class RequestState:
    cls: RequestClass
    deadline: float
    attempts: int = 0
    server: str = ""  # of the attempt or connection
    timeout_at: float = 0.0
    sent_at: float = 0.0
    established: bool = False
    finals: int = 0
    may_have_run: list[tuple[float, Server]] = field(default_factory=list)


class CheckedHost:
    """A host that follows the interface, and checks each action against the invariants."""

    def __init__(self, seed: int, servers: int, grouped: bool) -> None:
        self.now = 50_000.0
        self.grouped = grouped
        self.balancer = Balancer(
            Settings(
                classes=CLASSES,
                max_attempts=3,
                max_retry_after=500.0,
                may_cancel=True,
                grouped=grouped,
                cold_from=COLD_FROM,
                warm_time=WARM_TIME,
                fall_window=WINDOW,
            ),
            seed,
        )
        self.entries = {f"s{n}": Server(f"s{n}", zone=f"z{n % 2}", cell=n // 2) for n in range(servers)}
        self.cases: dict[str, RequestState] = {}
        self.timers: list[tuple[float, int]] = []
        self.sends: dict[str, list[float]] = {}
        self.count = 0
        self.play([ServerList(ListKind.REPLACE, list(self.entries.values()))])

    def play(self, events: list[Event]) -> None:
        for action in self.balancer.handle(self.now, events):
            self.check(action)

    def check(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            assert action.delay >= 0.0
            self.timers.append((self.now + action.delay, action.token))
        elif isinstance(action, Attempt):
            self.check_attempt(action)
        elif isinstance(action, Refuse | Fail | Move):
            case = self.cases[action.id]
            assert case.finals == 0, "a second final answer"
            case.finals = 1
            if isinstance(action, Move):
                assert case.established
                return
            assert not case.server, "an answer during an attempt"
            assert self.now <= case.deadline, "an answer after the deadline"
            if isinstance(action, Refuse) and case.may_have_run and case.cls.effect is not Effect.SAFE:
                assert case.cls.effect is Effect.KEYED and case.cls.scope is Scope.ALL
        elif isinstance(action, Cancel):
            assert self.cases[action.id].attempts > action.attempt
        else:
            assert not isinstance(action, Probe)

    def check_attempt(self, action: Attempt) -> None:
        case = self.cases[action.id]
        entry = self.entries[action.server]
        assert case.finals == 0 and not case.server, "an attempt after the end, or two at once"
        assert case.attempts < 3
        assert entry.state is ServerState.LIVE, "an attempt at a server that is draining or gone"
        for at, risk in case.may_have_run:
            if case.cls.effect is Effect.SAFE:
                continue
            assert case.cls.effect is Effect.KEYED and self.now < at + case.cls.window
            assert case.cls.scope is not Scope.ZONE or entry.zone == risk.zone
            assert case.cls.scope is not Scope.CELL or entry.cell == risk.cell
        left = case.deadline - self.now
        case.attempts += 1
        case.server = action.server
        case.sent_at = self.now
        case.timeout_at = self.now + (min(action.timeout, left) if action.timeout else left)
        if entry.started and self.now < entry.started + WARM_TIME:
            sends = self.sends.setdefault(action.server, [])
            sends.append(self.now)
            recent = [at for at in sends if at > max(self.now - WINDOW, entry.started)]
            # The connections that fill it over its warm-up, times its warmth, the multiple and the allowance.
            warmth = COLD_FROM + (1.0 - COLD_FROM) * (self.now - entry.started) / WARM_TIME
            assert (
                len(recent)
                <= 1.0 + MAX_BUDGET_RATIO * 3.0 * DEFAULT_WARM_CAPACITY * warmth * WINDOW / WARM_TIME
            )

    def end(self, ident: str, result: Result) -> None:
        case = self.cases[ident]
        entry = self.entries[case.server]
        event = Outcome(ident, case.attempts - 1, case.server, result, self.now - case.sent_at)
        if result is Result.CONNECT_FAILED and case.sent_at in self.sends.get(entry.id, ()):
            self.sends[entry.id].remove(case.sent_at)  # the server received nothing
        case.server = ""
        if case.established or result is Result.OK or case.finals:
            event.closed = True
            case.finals = 1
        elif result not in NEVER_RAN:
            case.may_have_run.append((case.sent_at, entry))
        self.play([event])
        if not event.closed:
            assert case.finals or case.server, "neither an answer nor another attempt"

    def advance(self, step: float) -> None:
        """Advance the clock, and run the timers and timeouts that are due."""
        until = self.now + step
        while True:
            due = [(case.timeout_at, ident) for ident, case in self.cases.items()
                   if case.server and not case.established and not case.finals]  # fmt: skip
            next_event_at = min([at for at, _ in due] + [at for at, _ in self.timers], default=float("inf"))
            if next_event_at > until:
                break
            self.now = max(self.now, next_event_at)
            tokens = [timer for timer in self.timers if timer[0] <= self.now]
            self.timers = [timer for timer in self.timers if timer[0] > self.now]
            if tokens:
                self.play([Timer(token) for _, token in tokens])
            for at, ident in due:
                if at <= self.now and self.cases[ident].server:
                    self.end(ident, Result.TIMEOUT)
        self.now = until
        for case in self.cases.values():
            assert case.finals or case.established or case.server, "neither answered nor in progress"

    def step(self, kind: int, pick: int) -> None:
        open_requests = [ident for ident, case in self.cases.items() if case.server and not case.finals]
        waiting = [ident for ident in open_requests if not self.cases[ident].established]
        entries = list(self.entries.values())
        if kind <= 3:
            self.count += 1
            cls = CLASSES[pick % len(CLASSES)]
            left = 100.0 + pick % 800
            self.cases[f"r{self.count}"] = RequestState(cls, self.now + left)
            group = pick % 3 if self.grouped else None
            self.play([Request(f"r{self.count}", cls.name, left, group=group)])
        elif kind == 4 and waiting:
            ident = waiting[pick % len(waiting)]
            case = self.cases[ident]
            case.established = True
            self.play([Established(ident, case.attempts - 1, case.server, 1.0)])
        elif kind <= 6 and waiting:
            self.end(waiting[pick % len(waiting)], ENDINGS[pick % len(ENDINGS)])
        elif kind == 7 and open_requests:
            ident = open_requests[pick % len(open_requests)]
            results = [Result.OK, Result.RESET, Result.CANCELLED]
            self.end(ident, results[pick % 3] if self.cases[ident].established else Result.OK)
        elif kind == 8 and open_requests:
            ident = open_requests[pick % len(open_requests)]
            self.cases[ident].finals = 1
            self.play([ClientLeft(ident)])
        elif kind == 9:
            entry = entries[pick % len(entries)]
            entry.state = [ServerState.LIVE, ServerState.DRAINING, ServerState.GONE][pick % 3]
            if entry.state is ServerState.LIVE:
                entry.started = self.now
                self.sends.pop(entry.id, None)
            self.play([ServerList(ListKind.UPDATE, [Server(**{
                name: getattr(entry, name) for name in Server.__slots__})])])  # fmt: skip
        elif kind == 10 and open_requests:
            ident = open_requests[pick % len(open_requests)]
            self.play([DelayUpdate(ident, self.cases[ident].server, float(pick % 400))])
        else:
            self.advance(float(pick % 700))


@settings(max_examples=150, derandomize=True, deadline=None, suppress_health_check=list(HealthCheck))
@given(
    seed=st.integers(0, 1000),
    servers=st.integers(1, 6),
    grouped=st.booleans(),
    steps=st.lists(st.tuples(st.integers(0, 12), st.integers(0, 9_999)), max_size=120),
)
def test_the_four_rules(seed: int, servers: int, grouped: bool, steps: list[tuple[int, int]]) -> None:
    host = CheckedHost(seed, servers, grouped)
    for kind, pick in steps:
        host.step(kind, pick)
    host.advance(5_000.0)
    for case in host.cases.values():
        assert case.finals == 1 or case.established
