"""A start on a restored list: verification of its entries and health from another process."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from puffinford import Balancer, Settings
from puffinford import interface as it
from puffinford.interface import Effect, ListKind, RequestClass, Result, Server, ServerList, ServerState

CLASSES = [
    RequestClass("lookup", 2_000.0, message_aim=60.0),
    RequestClass("pay", 2_000.0, effect=Effect.UNSAFE),
]


class RestoredBalancer:
    """A balancer on a restored list, with its attempts in progress. Servers in `dead` never answer."""

    def __init__(
        self, names: str, dead: str = "", max_concurrent: int = 2, seed: int = 1, **more: object
    ) -> None:
        configured = Settings(CLASSES, max_attempts=4, max_retry_after=1_500.0, **more)  # type: ignore[arg-type]
        self.balancer = Balancer(configured, seed)
        self.now = 1_000.0
        self.dead = set(dead)
        # By request: server, number, time of the timeout.
        self.in_progress: dict[str, tuple[str, int, float]] = {}
        self.sent: dict[str, list[str]] = {}
        self.answers: dict[str, str] = {}
        self.wakeups: list[tuple[float, int]] = []
        self.max_out = 0
        self.verified: set[str] = set()
        self.dispatch(ServerList(ListKind.RESTORED, [Server(name) for name in names]))
        self.dispatch(it.UnverifiedServers(frozenset(names), max_concurrent, 150.0))

    def dispatch(self, *events: it.Event) -> None:
        for action in self.balancer.handle(self.now, list(events)):
            match action:
                case it.Attempt():
                    number = len(self.sent.setdefault(action.id, []))
                    self.sent[action.id].append(action.server)
                    self.in_progress[action.id] = (
                        action.server,
                        number,
                        self.now + (action.timeout or 2_000.0),
                    )
                case it.Refuse():
                    self.answers[action.id] = "refused"
                case it.SetTimer():
                    self.wakeups.append((self.now + action.delay, action.token))
                case it.Move():
                    self.answers[action.id] = "moved"
        verifying = [s for s, _, _ in self.in_progress.values() if s not in self.verified]
        self.max_out = max(self.max_out, len(verifying))

    def ask(self, request: str, cls: str = "lookup") -> None:
        self.dispatch(it.Request(request, cls, 2_000.0))

    def answer(self, request: str, result: Result | None = None) -> None:
        """End the current attempt: established, or with `result`."""
        server, number, _ = self.in_progress.pop(request)
        if result is None:
            self.verified.add(server)
            self.answers[request] = server
            self.dispatch(it.Established(request, number, server, 5.0))
        else:
            self.dispatch(it.Outcome(request, number, server, result, 5.0))

    def run(self, ms: float) -> None:
        """Advance the time: live servers answer after 5 ms, attempts at dead ones time out."""
        end = self.now + ms
        while self.now < end:
            self.now += 5.0
            due, self.wakeups = (
                [w for w in self.wakeups if w[0] <= self.now],
                [w for w in self.wakeups if w[0] > self.now],
            )
            for _, token in due:
                self.dispatch(it.Timer(token))
            for request, (server, _, until) in list(self.in_progress.items()):
                if server not in self.dead:
                    self.answer(request)
                elif until <= self.now:
                    self.answer(request, Result.TIMEOUT)


def test_few_attempts_are_out_to_unverified_entries_and_the_rest_wait_for_them() -> None:
    restored = RestoredBalancer("abcdefgh", dead="abcd")
    for n in range(30):
        restored.ask(f"j{n}")
    assert len(restored.in_progress) == 2 and not restored.answers
    restored.run(500.0)
    assert restored.max_out <= 2
    assert len(restored.answers) == 30 and set(restored.answers.values()) <= set("efgh")


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 10_000), st.sampled_from(["", "ab", "abcd", "abcdefg"]), st.integers(1, 3))
def test_no_request_meets_two_dead_entries_once_one_is_verified(
    seed: int, dead: str, max_concurrent: int
) -> None:
    rng = random.Random(seed)
    restored = RestoredBalancer("abcdefgh", dead, max_concurrent, seed)
    for n in range(60):
        verified = bool(restored.verified)
        restored.ask(f"j{n}")
        restored.run(rng.choice((0.0, 20.0, 60.0)))
        if verified:
            assert sum(server in restored.dead for server in restored.sent[f"j{n}"]) <= 1
    restored.run(1_500.0)
    assert restored.max_out <= max_concurrent
    assert len(restored.answers) == 60, "every request is answered"
    if restored.verified:
        late = [restored.sent[f"j{n}"] for n in range(20, 60) if f"j{n}" in restored.sent]
        assert all(sum(server in restored.dead for server in sent) <= 1 for sent in late)


def test_a_request_that_may_not_be_repeated_meets_only_verified_entries() -> None:
    restored = RestoredBalancer("abcd", dead="abc")
    while not restored.verified:
        restored.ask(f"j{len(restored.sent)}")
        restored.run(200.0)
    for n in range(10):
        restored.ask(f"p{n}", "pay")
        assert restored.sent[f"p{n}"] == ["d"]
        restored.answer(f"p{n}")


def test_an_untrusted_list_gets_one_trial_at_a_time_and_then_refusals() -> None:
    restored = RestoredBalancer("abcd", dead="abcd", max_concurrent=1)
    for n in range(5):
        restored.ask(f"j{n}")
    assert len(restored.in_progress) == 1
    restored.run(3_000.0)
    assert restored.max_out == 1 and set(restored.answers.values()) == {"refused"}


def test_an_answer_of_discovery_ends_the_verification_at_once() -> None:
    restored = RestoredBalancer("abcd", dead="abcd")
    for n in range(4):
        restored.ask(f"j{n}")
    assert len(restored.in_progress) == 2
    restored.dead.clear()
    restored.dispatch(ServerList(ListKind.UNAVAILABLE))
    assert len(restored.in_progress) == 2, "a failed call verifies nothing"
    restored.dispatch(ServerList(ListKind.UPDATE))
    assert len(restored.in_progress) == 4


def test_clients_of_servers_that_discovery_does_not_know_are_moved_away() -> None:
    restored = RestoredBalancer("ab", max_concurrent=0)
    for n in range(12):
        restored.ask(f"j{n}")
    restored.run(50.0)
    gone = [request for request, server in restored.answers.items() if server == "a"]
    assert gone
    restored.dispatch(ServerList(ListKind.REPLACE, [Server("b"), Server("x")]))
    restored.run(2_500.0)
    assert {request for request, what in restored.answers.items() if what == "moved"} == set(gone)


def test_a_listed_drain_gets_nothing_from_the_first_moment() -> None:
    restored = RestoredBalancer("a", max_concurrent=0)
    restored.dispatch(ServerList(ListKind.RESTORED, [Server("a", state=ServerState.DRAINING), Server("b")]))
    for n in range(10):
        restored.ask(f"j{n}")
        restored.run(10.0)
    assert {server for sent in restored.sent.values() for server in sent} == {"b"}


@pytest.mark.parametrize("restarted", [False, True])
def test_what_another_process_learned_holds_unless_the_server_has_started_since(restarted: bool) -> None:
    restored = RestoredBalancer("abc", max_concurrent=0)
    restored.dispatch(ServerList(ListKind.REPLACE, [Server(n, started=900.0 * restarted) for n in "abc"]))
    unreachable = it.Health("a", 800.0, failures=4, retry_at=9_000.0)
    slow = it.Health(
        "b",
        800.0,
        slow_until=4_000.0,
        late_report_at=790.0,
        delay=900.0,
        capacity_estimate=1.0,
        capacity_estimated_at=790.0,
    )
    restored.dispatch(it.LearnedHealth([unreachable, slow]))
    assert restored.balancer.listed_servers.excluded(restored.now) == (set() if restarted else {"a", "b"})
    known_health = {health.server: health for health in restored.balancer.listed_servers.health(restored.now)}
    if not restarted:
        assert (known_health["a"].failures, known_health["a"].retry_at) == (4, 9_000.0)
        assert (known_health["b"].slow_until, known_health["b"].capacity_estimate) == (4_000.0, 1.0)
        restored.ask("j")
        assert restored.sent["j"] == ["c"]


def test_learned_health_does_not_override_an_established_connection() -> None:
    restored = RestoredBalancer("a", max_concurrent=0)
    restored.ask("j0")
    restored.run(10.0)
    restored.dispatch(
        it.LearnedHealth([it.Health("a", restored.now, failures=2, retry_at=restored.now + 5_000.0)])
    )
    restored.ask("j1")
    assert restored.sent["j1"] == ["a"]


def test_forty_balancers_do_not_come_in_step_when_discovery_returns() -> None:
    """Balancers that started together must not call discovery at the same moments while it fails."""
    calls: list[float] = []
    for seed in range(40):
        configured = Settings(CLASSES, list_on_request=True, ask_within=10_000.0)
        balancer, now = Balancer(configured, seed), 0.0
        wakeups: list[tuple[float, int]] = []
        events: list[it.Event] = [ServerList(ListKind.RESTORED, [Server("a")])]
        while now < 60_000.0:
            for action in balancer.handle(now, events):
                if isinstance(action, it.SetTimer):
                    wakeups.append((now + action.delay, action.token))
                elif isinstance(action, it.Subscribe):
                    calls.append(now)
                    wakeups.append((now + 1.0, -1))
            wakeups.sort()
            now, token = wakeups.pop(0)
            events = [ServerList(ListKind.UNAVAILABLE)] if token < 0 else [it.Timer(token)]
    late = [at for at in calls if at > 20_000.0]
    fullest = max(sum(start <= at < start + 250.0 for at in late) for start in late)
    assert fullest <= 12 and max(calls) > 55_000.0
