"""Stories of a start on an old list, told to the decision module alone."""

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


class Table:
    """A module on an old list, and the claims that are out. Servers in `dead` never answer."""

    def __init__(self, names: str, dead: str = "", most: int = 2, seed: int = 1, **more: object) -> None:
        told = Settings(CLASSES, max_attempts=4, max_retry_after=1_500.0, **more)  # type: ignore[arg-type]
        self.balancer = Balancer(told, seed)
        self.now = 1_000.0
        self.dead = set(dead)
        self.out: dict[str, tuple[str, int, float]] = {}  # job: server, number, its end
        self.sent: dict[str, list[str]] = {}
        self.answers: dict[str, str] = {}
        self.wakes: list[tuple[float, int]] = []
        self.most_out = 0
        self.proved: set[str] = set()
        self.tell(ServerList(ListKind.RESTORED, [Server(name) for name in names]))
        self.tell(it.UnverifiedServers(frozenset(names), most, 150.0))

    def tell(self, *events: it.Event) -> None:
        for action in self.balancer.handle(self.now, list(events)):
            match action:
                case it.Attempt():
                    number = len(self.sent.setdefault(action.id, []))
                    self.sent[action.id].append(action.server)
                    self.out[action.id] = (action.server, number, self.now + (action.timeout or 2_000.0))
                case it.Refuse():
                    self.answers[action.id] = "refused"
                case it.SetTimer():
                    self.wakes.append((self.now + action.delay, action.token))
                case it.Move():
                    self.answers[action.id] = "moved"
        proving = [s for s, _, _ in self.out.values() if s not in self.proved]
        self.most_out = max(self.most_out, len(proving))

    def ask(self, job: str, cls: str = "lookup") -> None:
        self.tell(it.Request(job, cls, 2_000.0))

    def answer(self, job: str, result: Result | None = None) -> None:
        """End the claim that is out: it stands, or by `result`."""
        server, number, _ = self.out.pop(job)
        if result is None:
            self.proved.add(server)
            self.answers[job] = server
            self.tell(it.Established(job, number, server, 5.0))
        else:
            self.tell(it.Outcome(job, number, server, result, 5.0))

    def run(self, ms: float) -> None:
        """Time passes: the sound answer in 5 ms, the dead when the claim's time is up."""
        end = self.now + ms
        while self.now < end:
            self.now += 5.0
            due, self.wakes = (
                [w for w in self.wakes if w[0] <= self.now],
                [w for w in self.wakes if w[0] > self.now],
            )
            for _, token in due:
                self.tell(it.Timer(token))
            for job, (server, _, until) in list(self.out.items()):
                if server not in self.dead:
                    self.answer(job)
                elif until <= self.now:
                    self.answer(job, Result.TIMEOUT)


def test_few_claims_are_out_to_unproven_entries_and_the_rest_wait_for_them() -> None:
    table = Table("abcdefgh", dead="abcd")
    for n in range(30):
        table.ask(f"j{n}")
    assert len(table.out) == 2 and not table.answers
    table.run(500.0)
    assert table.most_out <= 2
    assert len(table.answers) == 30 and set(table.answers.values()) <= set("efgh")


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 10_000), st.sampled_from(["", "ab", "abcd", "abcdefg"]), st.integers(1, 3))
def test_nobody_pays_for_two_dead_entries_once_one_is_proved(seed: int, dead: str, most: int) -> None:
    rng = random.Random(seed)
    table = Table("abcdefgh", dead, most, seed)
    for n in range(60):
        proved = bool(table.proved)
        table.ask(f"j{n}")
        table.run(rng.choice((0.0, 20.0, 60.0)))
        if proved:
            assert sum(server in table.dead for server in table.sent[f"j{n}"]) <= 1
    table.run(1_500.0)
    assert table.most_out <= most
    assert len(table.answers) == 60, "everybody is answered"
    if table.proved:
        late = [table.sent[f"j{n}"] for n in range(20, 60) if f"j{n}" in table.sent]
        assert all(sum(server in table.dead for server in sent) <= 1 for sent in late)


def test_a_request_that_may_not_be_repeated_meets_only_proved_entries() -> None:
    table = Table("abcd", dead="abc")
    while not table.proved:
        table.ask(f"j{len(table.sent)}")
        table.run(200.0)
    for n in range(10):
        table.ask(f"p{n}", "pay")
        assert table.sent[f"p{n}"] == ["d"]
        table.answer(f"p{n}")


def test_past_all_trust_it_is_a_trial_at_a_time_and_then_a_time_to_come_back() -> None:
    table = Table("abcd", dead="abcd", most=1)
    for n in range(5):
        table.ask(f"j{n}")
    assert len(table.out) == 1
    table.run(3_000.0)
    assert table.most_out == 1 and set(table.answers.values()) == {"refused"}


def test_the_word_of_discovery_ends_the_proving_at_once() -> None:
    table = Table("abcd", dead="abcd")
    for n in range(4):
        table.ask(f"j{n}")
    assert len(table.out) == 2
    table.dead.clear()
    table.tell(ServerList(ListKind.UNAVAILABLE))
    assert len(table.out) == 2, "a failed call says nothing of them"
    table.tell(ServerList(ListKind.UPDATE))
    assert len(table.out) == 4


def test_clients_of_servers_that_discovery_does_not_know_are_moved_away() -> None:
    table = Table("ab", most=0)
    for n in range(12):
        table.ask(f"j{n}")
    table.run(50.0)
    gone = [job for job, server in table.answers.items() if server == "a"]
    assert gone
    table.tell(ServerList(ListKind.REPLACE, [Server("b"), Server("x")]))
    table.run(2_500.0)
    assert {job for job, what in table.answers.items() if what == "moved"} == set(gone)


def test_a_listed_drain_gets_nothing_from_the_first_moment() -> None:
    table = Table("a", most=0)
    table.tell(ServerList(ListKind.RESTORED, [Server("a", state=ServerState.DRAINING), Server("b")]))
    for n in range(10):
        table.ask(f"j{n}")
        table.run(10.0)
    assert {server for sent in table.sent.values() for server in sent} == {"b"}


@pytest.mark.parametrize("restarted", [False, True])
def test_what_another_process_learned_holds_unless_the_server_has_started_since(restarted: bool) -> None:
    table = Table("abc", most=0)
    table.tell(ServerList(ListKind.REPLACE, [Server(n, started=900.0 * restarted) for n in "abc"]))
    down = it.Health("a", 800.0, failures=4, retry_at=9_000.0)
    slow = it.Health(
        "b",
        800.0,
        slow_until=4_000.0,
        late_report_at=790.0,
        delay=900.0,
        capacity_estimate=1.0,
        capacity_estimated_at=790.0,
    )
    table.tell(it.LearnedHealth([down, slow]))
    assert table.balancer.listed_servers.excluded(table.now) == (set() if restarted else {"a", "b"})
    told = {health.server: health for health in table.balancer.listed_servers.health(table.now)}
    if not restarted:
        assert (told["a"].failures, told["a"].retry_at) == (4, 9_000.0)
        assert (told["b"].slow_until, told["b"].capacity_estimate) == (4_000.0, 1.0)
        table.ask("j")
        assert table.sent["j"] == ["c"]


def test_learned_health_does_not_outweigh_what_stands_here() -> None:
    table = Table("a", most=0)
    table.ask("j0")
    table.run(10.0)
    table.tell(it.LearnedHealth([it.Health("a", table.now, failures=2, retry_at=table.now + 5_000.0)]))
    table.ask("j1")
    assert table.sent["j1"] == ["a"]


def test_forty_balancers_do_not_come_in_step_when_discovery_returns() -> None:
    """All started at once, and every call failed for a minute: the calls of any 250 ms are few."""
    calls: list[float] = []
    for seed in range(40):
        told = Settings(CLASSES, list_on_request=True, ask_within=10_000.0)
        balancer, now = Balancer(told, seed), 0.0
        wakes: list[tuple[float, int]] = []
        events: list[it.Event] = [ServerList(ListKind.RESTORED, [Server("a")])]
        while now < 60_000.0:
            for action in balancer.handle(now, events):
                if isinstance(action, it.SetTimer):
                    wakes.append((now + action.delay, action.token))
                elif isinstance(action, it.Subscribe):
                    calls.append(now)
                    wakes.append((now + 1.0, -1))
            wakes.sort()
            now, token = wakes.pop(0)
            events = [ServerList(ListKind.UNAVAILABLE)] if token < 0 else [it.Timer(token)]
    late = [at for at in calls if at > 20_000.0]
    fullest = max(sum(start <= at < start + 250.0 for at in late) for start in late)
    assert fullest <= 12 and max(calls) > 55_000.0
