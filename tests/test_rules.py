"""The four rules over arbitrary legal sequences of events."""

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
from puffinford.slow_start import SLACK

CLASSES = [
    RequestClass("safe", 900.0, 200.0, message_aim=60.0),
    RequestClass("all", 900.0, 200.0, Effect.KEYED, Scope.ALL, 400.0, message_aim=60.0),
    RequestClass("zone", 900.0, 200.0, Effect.KEYED, Scope.ZONE, 400.0, message_aim=60.0),
    RequestClass("cell", 900.0, 200.0, Effect.KEYED, Scope.CELL, 400.0, message_aim=60.0),
    RequestClass("unsafe", 900.0, 200.0, Effect.UNSAFE, message_aim=60.0),
]
NEVER_RAN = {Result.FULL, Result.CONNECT_FAILED, Result.NOT_SENT}
ENDINGS = [Result.ERROR, Result.FULL, Result.CONNECT_FAILED, Result.RESET, Result.TIMEOUT]
COLD, WARM_TIME, WINDOW = 0.25, 6_000.0, 1_000.0


@dataclass
class Case:
    cls: RequestClass
    deadline: float
    attempts: int = 0
    server: str = ""  # of the attempt that is out
    timeout_at: float = 0.0
    sent_at: float = 0.0
    standing: bool = False
    finals: int = 0
    risks: list[tuple[float, Server]] = field(default_factory=list)


class World:
    """A host that plays by the interface and checks each action against the rules."""

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
                cold_from=COLD,
                warm_time=WARM_TIME,
                fall_window=WINDOW,
            ),
            seed,
        )
        self.entries = {f"s{n}": Server(f"s{n}", zone=f"z{n % 2}", cell=n // 2) for n in range(servers)}
        self.cases: dict[str, Case] = {}
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
            assert case.finals == 0, "one final answer"
            case.finals = 1
            if isinstance(action, Move):
                assert case.standing
                return
            assert not case.server, "an answer while an attempt is out"
            assert self.now <= case.deadline, "the answer is late"
            if isinstance(action, Refuse) and case.risks and case.cls.effect is not Effect.SAFE:
                assert case.cls.effect is Effect.KEYED and case.cls.scope is Scope.ALL
        elif isinstance(action, Cancel):
            assert self.cases[action.id].attempts > action.attempt
        else:
            assert not isinstance(action, Probe)

    def check_attempt(self, action: Attempt) -> None:
        case = self.cases[action.id]
        entry = self.entries[action.server]
        assert case.finals == 0 and not case.server, "sent after the end, or two attempts out"
        assert case.attempts < 3
        assert entry.state is ServerState.LIVE, "drains are kept"
        for at, risk in case.risks:
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
            # What fills it over its warm-up, by its warmth, times the told multiple and the slack.
            warmth = COLD + (1.0 - COLD) * (self.now - entry.started) / WARM_TIME
            assert len(recent) <= 1.0 + SLACK * 3.0 * DEFAULT_WARM_CAPACITY * warmth * WINDOW / WARM_TIME

    def end(self, ident: str, result: Result) -> None:
        case = self.cases[ident]
        entry = self.entries[case.server]
        event = Outcome(ident, case.attempts - 1, case.server, result, self.now - case.sent_at)
        if result is Result.CONNECT_FAILED and case.sent_at in self.sends.get(entry.id, ()):
            self.sends[entry.id].remove(case.sent_at)  # nothing arrived there
        case.server = ""
        if case.standing or result is Result.OK or case.finals:
            event.closed = True
            case.finals = 1
        elif result not in NEVER_RAN:
            case.risks.append((case.sent_at, entry))
        self.play([event])
        if not event.closed:
            assert case.finals or case.server, "neither answered nor sent again"

    def advance(self, step: float) -> None:
        """Move the clock; what falls due comes in its time."""
        until = self.now + step
        while True:
            due = [(case.timeout_at, ident) for ident, case in self.cases.items()
                   if case.server and not case.standing and not case.finals]  # fmt: skip
            coming = min([at for at, _ in due] + [at for at, _ in self.timers], default=float("inf"))
            if coming > until:
                break
            self.now = max(self.now, coming)
            tokens = [timer for timer in self.timers if timer[0] <= self.now]
            self.timers = [timer for timer in self.timers if timer[0] > self.now]
            if tokens:
                self.play([Timer(token) for _, token in tokens])
            for at, ident in due:
                if at <= self.now and self.cases[ident].server:
                    self.end(ident, Result.TIMEOUT)
        self.now = until
        for case in self.cases.values():
            assert case.finals or case.standing or case.server, "held past its time"

    def step(self, kind: int, pick: int) -> None:
        out = [ident for ident, case in self.cases.items() if case.server and not case.finals]
        waiting = [ident for ident in out if not self.cases[ident].standing]
        entries = list(self.entries.values())
        if kind <= 3:
            self.count += 1
            cls = CLASSES[pick % len(CLASSES)]
            left = 100.0 + pick % 800
            self.cases[f"r{self.count}"] = Case(cls, self.now + left)
            group = pick % 3 if self.grouped else None
            self.play([Request(f"r{self.count}", cls.name, left, group=group)])
        elif kind == 4 and waiting:
            ident = waiting[pick % len(waiting)]
            case = self.cases[ident]
            case.standing = True
            self.play([Established(ident, case.attempts - 1, case.server, 1.0)])
        elif kind <= 6 and waiting:
            self.end(waiting[pick % len(waiting)], ENDINGS[pick % len(ENDINGS)])
        elif kind == 7 and out:
            ident = out[pick % len(out)]
            results = [Result.OK, Result.RESET, Result.CANCELLED]
            self.end(ident, results[pick % 3] if self.cases[ident].standing else Result.OK)
        elif kind == 8 and out:
            ident = out[pick % len(out)]
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
        elif kind == 10 and out:
            ident = out[pick % len(out)]
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
    world = World(seed, servers, grouped)
    for kind, pick in steps:
        world.step(kind, pick)
    world.advance(5_000.0)
    for case in world.cases.values():
        assert case.finals == 1 or case.standing
