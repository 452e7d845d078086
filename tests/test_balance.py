"""Decisions of one balancer, driven through its interface by scripted events."""

from __future__ import annotations

from dataclasses import replace

import pytest

from puffinford.balance import Balancer
from puffinford.interface import (
    Action,
    Attempt,
    Cancel,
    ClientLeft,
    Cordoned,
    DelayUpdate,
    Effect,
    Established,
    EstablishedConnection,
    Event,
    Inherited,
    ListKind,
    LoadUpdate,
    Move,
    Outcome,
    Probe,
    ProbeResult,
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
    Subscribe,
    Tenant,
    Timer,
)

SAFE = RequestClass(name="safe", deadline=2_000.0, aim=300.0, message_aim=60.0)


def settings(**changes: object) -> Settings:
    base = Settings(classes=[SAFE], max_attempts=3, max_retry_after=1_000.0, may_cancel=True)
    return replace(base, **changes)  # type: ignore[arg-type]


def servers(count: int, **fields: object) -> list[Server]:
    return [replace(Server(id=f"10.0.0.{n}:80"), **fields) for n in range(count)]  # type: ignore[arg-type]


class Script:
    """A balancer with a settable clock."""

    def __init__(self, given: Settings, count: int = 0, seed: int = 1) -> None:
        self.balancer = Balancer(given, seed)
        self.now = 1_000_000.0
        if count:
            self.play(ServerList(ListKind.REPLACE, servers(count)))

    def play(self, *events: Event, after: float = 0.0) -> list[Action]:
        self.now += after
        return self.balancer.handle(self.now, list(events))

    def ask(self, ident: str, cls: str = "safe", left: float = 2_000.0, **fields: object) -> list[Action]:
        return self.play(Request(ident, cls, left, **fields))  # type: ignore[arg-type]

    def open(self, ident: str, **fields: object) -> str:
        """Open a connection, and return its server."""
        server = sent(self.ask(ident, **fields)).server  # type: ignore[arg-type]
        self.play(Established(ident, 0, server, 5.0))
        return server

    def end(
        self, ident: str, server: str, result: Result, attempt: int = 0, closed: bool = False
    ) -> list[Action]:
        return self.play(Outcome(ident, attempt, server, result, 10.0, closed))


def sent(actions: list[Action]) -> Attempt:
    return next(action for action in actions if isinstance(action, Attempt))


def kinds(actions: list[Action]) -> list[str]:
    return [type(action).__name__ for action in actions if not isinstance(action, SetTimer)]


# Placement


def test_ties_go_to_the_head() -> None:
    script = Script(settings(), 3)
    first = script.open("a")
    script.end("a", first, Result.OK, closed=True)
    assert script.open("b") == first


def test_fewer_own_open_connections_win() -> None:
    script = Script(settings(), 2)
    places = [script.open(f"r{n}") for n in range(6)]
    assert sorted(places.count(place) for place in set(places)) == [3, 3]


def test_the_working_set_is_a_short_prefix() -> None:
    script = Script(settings(balancers=40, me=3), 40)
    assert 2 <= len({script.open(f"r{n}") for n in range(60)}) <= 8


def test_the_prefix_grows_with_own_connections() -> None:
    """A balancer that receives most clients must not overload a short prefix of the servers."""
    script = Script(settings(balancers=150, tenants=[Tenant("all", 1.0, quota=1_200.0)]), 30)
    homes = [script.open(f"r{n}") for n in range(180)]
    assert len(set(homes[:30])) <= 3, "few connections use few servers"
    max_count = max(homes.count(home) for home in homes)
    assert len(set(homes)) >= 24 and max_count <= 20, f"{max_count} at one server, of a capacity of 80"


def test_one_balancer_works_on_the_whole_fleet() -> None:
    script = Script(settings(balancers=1), 9)
    assert len({script.open(f"r{n}") for n in range(90)}) == 9


def test_slices_cover_the_fleet_evenly() -> None:
    heads = [Script(settings(balancers=24, me=me), 24).open("r") for me in range(24)]
    assert len(set(heads)) == 24


def test_the_same_events_give_the_same_actions() -> None:
    def run() -> list[Action]:
        script = Script(settings(balancers=3), 12, seed=9)
        return [action for n in range(40) for action in script.ask(f"r{n}")]

    assert run() == run()


def test_a_newcomer_does_not_reorder_the_others() -> None:
    known = [Script(settings(balancers=40, me=3), 40).open(f"r{n}") for n in range(5)]
    script = Script(settings(balancers=40, me=3), 40)
    script.play(ServerList(ListKind.UPDATE, [Server("10.0.1.1:80")]))
    again = [script.open(f"r{n}") for n in range(5)]
    assert len(set(known) & set(again)) >= 1


def test_hints_weigh_connections() -> None:
    script = Script(settings(), 2)
    heavy = script.open("heavy", load=30.0)
    script.open("mean", load=10.0)
    light = [script.open(f"l{n}", load=10.0) for n in range(1)]
    assert heavy not in light


def test_a_larger_server_takes_more() -> None:
    script = Script(settings(sized=True))
    big, small = servers(2)
    script.play(ServerList(ListKind.REPLACE, [replace(big, weight=3.0), small]))
    places = [script.open(f"r{n}") for n in range(40)]
    assert places.count(big.id) == 30


# Attempts and final answers


@pytest.mark.parametrize(
    "result", [Result.ERROR, Result.FULL, Result.CONNECT_FAILED, Result.RESET, Result.TIMEOUT]
)
def test_a_failed_attempt_moves_on_and_the_server_is_unreachable(result: Result) -> None:
    script = Script(settings(), 3)
    first = sent(script.ask("a")).server
    second = sent(script.end("a", first, result)).server
    assert second != first
    assert first not in {script.open(f"r{n}") for n in range(6)}


def test_attempts_leave_time_for_further_ones_and_the_last_has_it_all() -> None:
    script = Script(settings(), 3)
    attempt = sent(script.ask("a"))
    assert attempt.timeout == 1_000.0
    attempt = sent(script.end("a", attempt.server, Result.FULL))
    attempt = sent(script.end("a", attempt.server, Result.FULL, 1))
    assert attempt.timeout == 0.0
    assert kinds(script.end("a", attempt.server, Result.FULL, 2)) == ["Refuse"]


def test_no_attempt_without_time() -> None:
    script = Script(settings(), 3)
    attempt = sent(script.ask("a", left=200.0))
    assert kinds(script.play(Outcome("a", 0, attempt.server, Result.TIMEOUT, 200.0), after=200.0)) == [
        "Refuse"
    ]


def test_an_empty_list_is_answered_at_once() -> None:
    assert kinds(Script(settings()).ask("a")) == ["Refuse"]


@pytest.mark.parametrize("before", [0, 1])
def test_servers_that_a_list_brings_are_used_at_once(before: int) -> None:
    """The backoff of a total failure must not delay the use of newly listed servers."""
    script = Script(settings(), before)
    for n in range(3):
        actions = script.ask(f"a{n}")
        if "Attempt" in kinds(actions):
            actions = script.end(f"a{n}", sent(actions).server, Result.CONNECT_FAILED)
        assert kinds(actions) == ["Refuse"]
    script.play(ServerList(ListKind.UPDATE, [Server("10.0.0.9:80")]), after=1.0)
    assert script.open("b") == "10.0.0.9:80"


def test_the_client_leaving_ends_it_and_cancels_the_attempt() -> None:
    script = Script(settings(), 2)
    server = sent(script.ask("a")).server
    assert script.play(ClientLeft("a"))[0] == Cancel("a", 0)
    assert kinds(script.end("a", server, Result.CANCELLED)) == []


def test_a_client_that_leaves_in_the_batch_of_the_final_answer_is_passed_over() -> None:
    script = Script(settings(max_attempts=1), 2)
    server = sent(script.ask("a")).server
    assert kinds(script.play(Outcome("a", 0, server, Result.FULL, 1.0), ClientLeft("a"))) == ["Refuse"]


def test_late_facts_are_passed_over() -> None:
    script = Script(settings(), 2)
    late: list[Event] = [
        Outcome("x", 0, "10.0.0.1:80", Result.OK, 1.0),
        Established("x", 0, "10.0.0.1:80", 1.0),
        LoadUpdate("x", "nowhere", 3.0),
        DelayUpdate("x", "nowhere", 3.0),
        ClientLeft("x"),
        Timer(99),
        ProbeResult("nowhere", Result.OK, 1.0, [0.5]),
    ]
    assert kinds(script.play(*late)) == []


def test_inherited_connections_count() -> None:
    script = Script(settings(), 2)
    head = script.open("a")
    script.end("a", head, Result.OK, closed=True)
    script.play(Inherited(Request("old", "safe", 0.0), head))
    assert script.open("b") != head


def test_packets_of_an_open_connection_go_to_the_server_that_holds_it() -> None:
    script = Script(settings(pass_through=True, park=5_000.0, balancers=1), 6)
    held = {n: script.open(f"r{n}", key=n) for n in range(6)}
    for n, server in held.items():
        script.end(f"r{n}", server, Result.CANCELLED, closed=True)
    drained = Server(held[2], state=ServerState.DRAINING)
    script.play(ServerList(ListKind.UPDATE, [drained]))
    again = {n: sent(script.ask(f"s{n}", key=n, midflow=True)).server for n in range(6)}
    assert again == held
    assert sent(script.ask("new", key=2)).server != held[2]


def test_a_connection_parked_too_long_is_placed_anew() -> None:
    script = Script(settings(pass_through=True, park=5_000.0), 2)
    server = script.open("a", key=7)
    script.end("a", server, Result.CANCELLED, closed=True)
    script.play(ServerList(ListKind.UPDATE, [Server(server, state=ServerState.DRAINING)]), after=5_001.0)
    assert sent(script.ask("b", key=7, midflow=True)).server != server


# At most one effect


def effects(effect: Effect, scope: Scope = Scope.ALL) -> Settings:
    return settings(classes=[replace(SAFE, effect=effect, scope=scope, window=500.0)])


def test_unsafe_is_not_sent_again_once_it_may_have_run() -> None:
    script = Script(effects(Effect.UNSAFE), 3)
    server = sent(script.ask("a")).server
    assert kinds(script.end("a", server, Result.RESET)) == ["Fail"]


def test_unsafe_is_sent_again_when_it_never_ran() -> None:
    script = Script(effects(Effect.UNSAFE), 3)
    server = sent(script.ask("a")).server
    assert kinds(script.end("a", server, Result.FULL)) == ["Attempt"]


def test_keyed_stays_in_its_zone_and_may_not_be_refused() -> None:
    script = Script(effects(Effect.KEYED, Scope.ZONE))
    a, b, c = servers(3)
    script.play(
        ServerList(ListKind.REPLACE, [replace(a, zone="x"), replace(b, zone="x"), replace(c, zone="y")])
    )
    zone = {a.id: "x", b.id: "x", c.id: "y"}
    first = sent(script.ask("a")).server
    after = script.end("a", first, Result.ERROR)
    if zone[first] == "x":
        assert zone[sent(after).server] == "x"
        after = script.end("a", sent(after).server, Result.ERROR, 1)
    assert kinds(after) == ["Fail"]


def test_keyed_is_not_sent_again_past_its_window() -> None:
    script = Script(effects(Effect.KEYED), 3)
    server = sent(script.ask("a")).server
    actions = script.play(Outcome("a", 0, server, Result.TIMEOUT, 500.0), after=500.0)
    assert kinds(actions) == ["Refuse"]  # all servers discard repeats: a retry is harmless


def test_keyed_in_a_cell_stays_there() -> None:
    script = Script(effects(Effect.KEYED, Scope.CELL))
    a, b = servers(2)
    script.play(ServerList(ListKind.REPLACE, [replace(a, cell=1), replace(b, cell=2)]))
    server = sent(script.ask("a")).server
    assert kinds(script.end("a", server, Result.RESET)) == ["Fail"]


# Unreachable servers and total failure


def test_a_trial_brings_a_server_back() -> None:
    script = Script(settings(), 2)
    first = sent(script.ask("a")).server
    second = sent(script.end("a", first, Result.CONNECT_FAILED)).server
    script.play(Established("a", 1, second, 1.0))
    trial = sent(script.play(Request("b", "safe", 2_000.0), after=600.0)).server
    assert trial == first
    assert sent(script.ask("c")).server == second  # one trial at a time
    script.play(Established("b", 0, first, 1.0))
    assert first in {script.open(f"r{n}") for n in range(4)}


def test_total_failure_refuses_and_sends_single_trials() -> None:
    script = Script(settings(), 2)
    first = sent(script.ask("a")).server
    second = sent(script.end("a", first, Result.CONNECT_FAILED)).server
    assert kinds(script.end("a", second, Result.CONNECT_FAILED, 1)) == ["Refuse"]
    answers = [kinds(script.ask(f"r{n}")) for n in range(5)]
    assert answers == [["Refuse"]] * 5
    later = [kinds(script.play(Request(f"s{n}", "safe", 2_000.0), after=600.0 * (n == 0))) for n in range(5)]
    assert later.count(["Attempt"]) <= 2


def test_refusals_carry_a_jittered_retry_after() -> None:
    script = Script(settings())
    waits = {
        action.retry_after for n in range(8) for action in script.ask(f"r{n}") if isinstance(action, Refuse)
    }
    assert len(waits) == 8
    assert all(0.0 < wait <= 1_000.0 for wait in waits)


# Server list


def test_nothing_new_to_draining_or_gone_servers() -> None:
    script = Script(settings(), 4)
    a, b, c, d = servers(4)
    drained = [replace(a, state=ServerState.DRAINING), replace(b, state=ServerState.GONE)]
    script.play(ServerList(ListKind.UPDATE, drained))
    script.play(ServerList(ListKind.REPLACE, [drained[0], d]))
    assert {script.open(f"r{n}") for n in range(12)} == {d.id}
    assert c.id not in {script.open(f"s{n}") for n in range(12)}


def test_a_cordoned_server_drains_whatever_lists_say_and_comes_back_cold() -> None:
    script = Script(settings(warm_time=23_000.0, cold_from=0.13), 2)
    held = [f"c{n}" for n in range(20) if script.open(f"c{n}") == "10.0.0.0:80"]
    moved = 0
    for _ in range(30):
        actions = script.play(Cordoned(frozenset({"10.0.0.0:80"})), after=100.0)
        script.play(
            *(
                Outcome(a.id, 0, "10.0.0.0:80", Result.CANCELLED, 1.0, True)
                for a in actions
                if isinstance(a, Move)
            )
        )
        moves = kinds(actions).count("Move")
        assert moves <= 1, "moves are spread evenly"
        moved += moves
    assert moved == len(held) > 5
    for kind in (ListKind.REPLACE, ListKind.UPDATE):
        script.play(ServerList(kind, [*servers(1, started=script.now), servers(2)[1]]))
        assert {script.open(f"{kind}{n}") for n in range(20)} == {"10.0.0.1:80"}
    assert script.balancer.listed_servers.excluded(script.now) == {"10.0.0.0:80"}
    script.play(Cordoned())
    first = script.ask("t1")
    assert sent(first).server == "10.0.0.0:80", "attempted immediately"
    assert sent(script.end("t1", "10.0.0.0:80", Result.CONNECT_FAILED)).server == "10.0.0.1:80"
    script.play(after=600.0)
    assert script.open("t2") == "10.0.0.0:80", "a failed connect uses no turn credit"
    assert [script.open(f"after{n}") for n in range(20)].count("10.0.0.0:80") <= 1, "cold"


def test_subscribes_with_jitter_and_again_after_failures() -> None:
    def first_ask(seed: int) -> float:
        script = Script(settings(list_on_request=True, ask_within=8_000.0), seed=seed)
        script.play(ServerList(ListKind.RESTORED, servers(2)))
        for step in range(9_000):
            if Subscribe(True) in script.play(after=1.0):
                return float(step)
        raise AssertionError("no list call")

    waits = {first_ask(seed) for seed in range(6)}
    assert len(waits) > 3
    assert max(waits) <= 8_000.0

    script = Script(settings(list_on_request=True, ask_within=8_000.0))
    script.play(ServerList(ListKind.RESTORED, servers(2)))
    for _ in range(5):
        for _step in range(9_000):
            if Subscribe(True) in script.play(after=1.0):
                break
        else:
            raise AssertionError("no list call within the limit")
        script.play(ServerList(ListKind.UNAVAILABLE))


def test_a_pushed_list_is_not_asked_for() -> None:
    script = Script(settings())
    script.play(ServerList(ListKind.RESTORED, servers(2)))
    assert all(Subscribe(True) not in script.play(after=100.0) for _ in range(200))


def test_a_restart_makes_a_server_reachable_but_cold() -> None:
    given = settings(cold_from=0.2, warm_time=10_000.0, max_attempts=1)
    script = Script(given, 1)
    (only,) = servers(1)
    server = sent(script.ask("a")).server
    script.end("a", server, Result.CONNECT_FAILED)
    script.play(ServerList(ListKind.UPDATE, [replace(only, started=script.now)]))
    assert kinds(script.ask("b")) == ["Refuse"]  # no budget right after the start
    script.play(after=10_001.0)
    assert kinds(script.ask("c")) == ["Attempt"]


@pytest.mark.parametrize("away", [False, True])
def test_a_server_is_cold_after_a_trial_only_if_it_was_away(away: bool) -> None:
    """A single dropped connection must not put a server into slow start."""
    script = Script(settings(cold_from=0.2, warm_time=23_000.0), 1)
    first = script.open("a")
    script.end("a", first, Result.RESET, closed=True)
    if away:
        script.play(after=1_000.0)
        assert sent(script.ask("t"))
        script.end("t", first, Result.CONNECT_FAILED)
    script.play(after=2_000.0)
    script.open("b")
    assert (script.balancer._fleet.backends[first].cold_since is not None) is away


def test_servers_that_only_broke_a_connection_are_better_than_none() -> None:
    script = Script(settings(), 2)
    homes = [script.open(f"r{n}") for n in range(2)]
    for n, home in enumerate(homes):
        script.end(f"r{n}", home, Result.RESET, closed=True)
    assert kinds(script.ask("a")) == ["Attempt"], "without a delay"


def test_connections_that_a_server_drops_together_count_as_one_failure() -> None:
    script = Script(settings(), 1)
    first = script.open("r0")
    for n in range(1, 9):
        assert script.open(f"r{n}") == first
    for n in range(9):
        script.end(f"r{n}", first, Result.RESET, closed=True)
    script.play(after=500.0)  # the initial retry delay, not the longest
    assert script.open("b") == first


@pytest.mark.parametrize("result", [Result.TIMEOUT, Result.RESET, Result.CANCELLED, Result.OK])
def test_attempts_from_before_a_trial_do_not_end_it(result: Result) -> None:
    """A second trial must not be sent to a silent server while one is in progress."""
    script = Script(settings(), 2)
    homes = {f"r{n}": sent(script.ask(f"r{n}")).server for n in range(8)}
    silent = homes["r0"]
    before = [ident for ident, home in homes.items() if home == silent]
    script.end(before[0], silent, Result.TIMEOUT)
    assert sent(script.ask("t", left=8_000.0)).server != silent
    assert sent(script.play(Request("trial", "safe", 8_000.0), after=500.0)).server == silent
    script.end(before[1], silent, result, closed=True)
    script.play(ClientLeft(before[2]))
    later = [sent(script.play(Request(f"s{n}", "safe", 8_000.0), after=60.0)).server for n in range(20)]
    assert silent not in later, "one trial at a time"


def test_a_cold_server_without_a_turn_is_tried_again_later() -> None:
    """A trial that was not sent must not count as in progress, or the server stays unreachable."""
    script = Script(settings(cold_from=0.2, warm_time=10_000.0, balancers=1), 2)
    homes = [script.open(f"r{n}") for n in range(2)]
    cold = homes[0]
    script.play(ServerList(ListKind.UPDATE, [Server(cold, started=script.now)]))
    script.end("r0", cold, Result.RESET, closed=True)
    script.balancer._fleet.backends[cold].turn_credit = 0.0
    assert [script.open(f"s{n}") for n in range(2) if not script.play(after=30.0)] == [homes[1]] * 2
    script.play(after=10_000.0)  # warm by now
    assert cold in {script.open(f"t{n}") for n in range(4)}


def test_a_new_process_fills_cold_servers_by_their_part_of_the_load() -> None:
    """Cold servers must get their share from the start, or the warm one is overloaded."""
    script = Script(settings(cold_from=0.2, warm_time=10_000.0, balancers=1))
    cold = [Server(f"cold-{n}", started=script.now) for n in range(4)]
    script.play(ServerList(ListKind.REPLACE, [Server("warm"), *cold]))
    homes = [script.open(f"r{n}") for n in range(30) if not script.play(after=30.0)]
    each = [homes.count(server.id) for server in cold]
    # After 0.9 s each has 0.27 of the warm capacity; 1.5 times its share is allowed.
    assert min(each) >= 2 and max(each) <= 0.27 * 1.5 * 30 / (1.0 + 4 * 0.27) + 1


def test_clients_beyond_the_capacity_of_a_late_server_are_refused_with_a_retry_after() -> None:
    """A late server must not receive all new connections when it is the only one left."""
    script = Script(settings(), 1)
    (home,) = {script.open(f"r{n}") for n in range(10)}
    script.play(DelayUpdate("r0", home, 40.0))
    assert script.open("slow") == home, "slow, but with capacity"
    script.play(DelayUpdate("r0", home, 90.0))
    assert kinds(script.ask("late")) == ["Refuse"]


@pytest.mark.parametrize(("cold", "passed"), [(False, True), (True, False)])
def test_a_cold_server_is_not_passed_over_for_being_a_little_slow(cold: bool, passed: bool) -> None:
    script = Script(settings(cold_from=0.2, warm_time=10_000.0, balancers=1), 2)
    if cold:
        script.play(ServerList(ListKind.UPDATE, [replace(servers(1)[0], started=script.now)]))
    script.play(DelayUpdate("r0", "10.0.0.0:80", 25.0))
    homes = {script.open(f"r{n}") for n in range(20) if not script.play(after=100.0)}
    assert ("10.0.0.0:80" not in homes) is passed


def test_settings_without_a_fall_window_do_not_stop_decisions() -> None:
    """A fall window of 0 must not cause a division by zero."""
    script = Script(settings(cold_from=0.2, warm_time=10_000.0, fall_window=0.0), 2)
    script.play(ServerList(ListKind.UPDATE, [replace(servers(1)[0], started=script.now)]))
    assert all(script.open(f"r{n}") for n in range(20) if not script.play(after=100.0))


def test_cold_servers_get_little_of_a_storm() -> None:
    given = settings(cold_from=0.2, warm_time=10_000.0, balancers=1)
    script = Script(given)
    warm, cold = servers(2)
    script.play(ServerList(ListKind.REPLACE, [warm, replace(cold, started=script.now)]))
    for n in range(20):  # two connections a second for ten seconds
        script.play(after=500.0)
        server = script.open(f"r{n}")
        script.end(f"r{n}", server, Result.OK, closed=True)
    storm = [script.open(f"s{n}") for n in range(100)]
    script.play(ServerList(ListKind.UPDATE, [replace(cold, started=script.now)]))
    storm = [script.open(f"t{n}") for n in range(100)]
    assert storm.count(cold.id) <= 1


# Timers


def test_a_wake_up_that_comes_a_hair_early_is_asked_for_anew() -> None:
    script = Script(settings(list_on_request=True, ask_within=8_000.0))
    actions = script.play(ServerList(ListKind.RESTORED, servers(2)))
    (wake,) = [action for action in actions if isinstance(action, SetTimer)]
    early = script.play(Timer(wake.token), after=wake.delay - 0.01)
    assert kinds(early) == []
    (again,) = [action for action in early if isinstance(action, SetTimer)]
    assert Subscribe(True) in script.play(Timer(again.token), after=0.02)


# Load: updates, probes, moves, the limit


def test_slow_servers_are_passed_over_until_they_are_back() -> None:
    script = Script(settings(), 3)
    slow = script.open("a")
    script.play(DelayUpdate("a", slow, 30.0))
    assert slow not in {script.open(f"r{n}") for n in range(6)}
    script.play(DelayUpdate("a", slow, 10.0))
    assert slow in {script.open(f"s{n}") for n in range(6)}


def test_a_late_server_loses_the_connection_that_suffers_most() -> None:
    strict = replace(SAFE, name="strict", message_aim=20.0)
    script = Script(settings(classes=[SAFE, strict], balancers=1), 3)
    script.play(Inherited(Request("a", "safe", 0.0), "10.0.0.1:80"))
    script.play(Inherited(Request("b", "strict", 0.0), "10.0.0.1:80"))
    assert kinds(script.play(DelayUpdate("a", "10.0.0.1:80", 50.0))) == ["Move"]
    moved = script.play(DelayUpdate("a", "10.0.0.1:80", 500.0))
    assert Move("a") in moved


def test_a_client_that_came_back_is_left_alone_for_a_while() -> None:
    script = Script(settings(), 3)
    server = script.open("a", came_back=True)
    assert kinds(script.play(DelayUpdate("a", server, 500.0))) == []
    script.play(after=3_001.0)
    assert Move("a") in script.play(DelayUpdate("a", server, 500.0))


@pytest.mark.parametrize(("late", "moves"), [(1, [14]), (2, [14, 7])])
def test_a_late_server_sheds_most_at_once_and_less_where_others_are_late(late: int, moves: list[int]) -> None:
    """A move of one connection for each update would relieve an overloaded server too slowly."""
    script = Script(settings(balancers=1), 3)
    for n in range(80):
        script.play(Inherited(Request(f"r{n}", "safe", 0.0), f"10.0.0.{n % 4}:80"))
    seen = [
        kinds(script.play(DelayUpdate(f"r{n}", f"10.0.0.{n}:80", 500.0))).count("Move") for n in range(late)
    ]
    assert seen == moves


@pytest.mark.parametrize(
    ("here", "there", "moves"),
    [(1.7, 0.1, 9), (1.7, 0.8, 1), (1.7, 0.9, 0), (0.8, 0.1, 0), (None, 0.1, 14)],
)
def test_a_late_server_loses_its_excess_load_as_far_as_others_have_capacity(
    here: float | None, there: float, moves: int
) -> None:
    """Moving more than the excess would overload the next server, and move clients back and forth."""
    configured = settings(balancers=1, report_fields=["x0"], report_on_probe=True, may_probe=True)
    script = Script(configured, 2)
    for n in range(40):
        script.play(Inherited(Request(f"r{n}", "safe", 0.0), f"10.0.0.{n % 2}:80"))
    script.play(ProbeResult("10.0.0.1:80", Result.OK, 1.0, [there]))
    noted = script.play(DelayUpdate("r0", "10.0.0.0:80", 500.0))
    assert [action for action in noted if isinstance(action, Probe)] == [Probe("10.0.0.0:80")]
    assert "Move" not in kinds(noted), "not before the report has arrived"
    report = None if here is None else [here]
    result = Result.TIMEOUT if here is None else Result.OK
    assert kinds(script.play(ProbeResult("10.0.0.0:80", result, 1.0, report))).count("Move") == moves


def limited(**changes: object) -> Script:
    """A balancer with a load limit, caused by three of five servers that are no longer overloaded."""
    configured = settings(balancers=1, report_fields=["x0"], report_on_probe=True, may_probe=True, **changes)
    script = Script(configured, 5)
    for n in range(100):
        script.play(Inherited(Request(f"r{n}", "safe", 0.0), f"10.0.0.{n % 5}:80"))
    for _ in range(2):
        script.play(*(DelayUpdate(f"r{n}", f"10.0.0.{n}:80", 900.0) for n in range(3)), after=1_000.0)
    assert [kinds(script.ask(f"first{n}")) for n in range(10)][-1] == ["Refuse"]
    script.play(*(DelayUpdate(f"r{n}", f"10.0.0.{n}:80", 5.0) for n in range(3)))
    return script


@pytest.mark.parametrize(("others", "moves"), [(0, True), (1, False)])
def test_one_late_server_is_relieved_though_a_limit_is_in_force(others: int, moves: bool) -> None:
    """A load limit must not keep the clients of a single overloaded server there."""
    script = limited()
    for _ in range(3):  # a single late report may be a pause
        notes = [DelayUpdate(f"r{n}", f"10.0.0.{n}:80", 900.0) for n in range(3, 4 + others)]
        script.play(*notes, after=1_000.0)
        reports = [ProbeResult(f"10.0.0.{n}:80", Result.OK, 1.0, [0.3]) for n in range(3)]
        seen = kinds(script.play(*reports, ProbeResult("10.0.0.3:80", Result.OK, 1.0, [1.5])))
    assert ("Move" in seen) is moves


@pytest.mark.parametrize(("used", "kind"), [(0.4, "Attempt"), (0.8, "Refuse"), (None, "Refuse")])
def test_a_limit_goes_soon_where_reports_tell_of_a_fleet_half_empty(used: float | None, kind: str) -> None:
    """A limit must not go on refusing clients while the fleet's utilization is low."""
    script = limited()
    for _ in range(5):
        if used is not None:
            script.play(*(ProbeResult(f"10.0.0.{n}:80", Result.OK, 1.0, [used]) for n in range(5)))
        script.play(after=1_000.0)
    assert [kinds(script.ask(f"n{n}")) for n in range(20)][-1] == [kind]


def test_a_server_that_may_be_back_is_tried_though_a_limit_refuses_all_others() -> None:
    """A load limit must not prevent the trial of an unreachable server."""
    script = limited()
    (broken, *_) = script.balancer._fleet.backends["10.0.0.4:80"].requests
    script.end(broken, "10.0.0.4:80", Result.RESET, closed=True)
    assert [kinds(script.ask(f"soon{n}")) for n in range(20)][-1] == ["Refuse"]
    trial = script.play(Request("trial", "safe", 2_000.0), after=500.0)
    assert sent(trial).server == "10.0.0.4:80"
    beside = [script.ask(f"beside{n}") for n in range(20)]
    assert kinds(beside[-1]) == ["Refuse"], "one trial at a time"
    assert kinds(script.end("trial", "10.0.0.4:80", Result.ERROR)) == ["Refuse"]


def test_the_group_of_a_sick_server_spreads_over_two_others() -> None:
    script = Script(settings(grouped=True, balancers=1), 3)
    home = script.open("a", group=7)
    assert {script.open(f"b{n}", group=7) for n in range(3)} == {home}
    script.play(DelayUpdate("a", home, 30.0))
    assert len({script.open(f"c{n}", group=7) for n in range(12)}) == 2


def test_a_server_is_not_filled_again_past_what_made_its_messages_late() -> None:
    script = Script(settings(balancers=1), 3)
    for n in range(40):
        script.play(Inherited(Request(f"r{n}", "safe", 0.0), f"10.0.0.{n % 4}:80"))
    script.play(DelayUpdate("r0", "10.0.0.0:80", 500.0))
    script.play(DelayUpdate("r0", "10.0.0.0:80", 5.0))
    homes = [script.open(f"s{n}") for n in range(60)]
    assert 0 < homes.count("10.0.0.0:80") <= 6, "three remained, and its capacity estimate is eight"
    script.play(after=30_001.0)  # the capacity estimate has expired
    assert [script.open(f"t{n}") for n in range(12)].count("10.0.0.0:80") >= 4


def test_a_group_passes_over_a_server_that_holds_far_more_than_others() -> None:
    """Groups must not concentrate most clients of a balancer at one server."""
    script = Script(settings(grouped=True, balancers=1), 3)
    home = script.open("a", group=7)
    for n in range(30):
        script.play(Inherited(Request(f"r{n}", "safe", 0.0), home))
    assert home not in {script.open(f"b{n}", group=7) for n in range(6)}


def test_a_full_fleet_is_relieved_of_what_is_worth_least() -> None:
    dear = replace(SAFE, name="dear", value=5.0)
    script = Script(settings(classes=[SAFE, dear], balancers=1), 4)
    homes = {f"{cls}{n}": f"10.0.0.{n % 4}:80" for n in range(40) for cls in ("safe", "dear")}
    for ident, home in homes.items():
        script.play(Inherited(Request(ident, ident[:4], 0.0), home))
    moved: list[str] = []
    for second in range(2):
        notes: list[Event] = [DelayUpdate(f"dear{n}", f"10.0.0.{n}:80", 900.0) for n in range(4)]
        actions = script.play(*notes, after=1_000.0)
        moved += [action.id for action in actions if isinstance(action, Move) and second > 0]
    assert len(moved) >= 8  # others were moved at the first updates
    assert len([ident for ident in moved if ident.startswith("dear")]) <= 4  # moved at a single update
    assert kinds(script.ask("late")) == ["Refuse"]
    assert len([n for n in range(30) if kinds(script.ask(f"d{n}", cls="dear")) == ["Attempt"]]) >= 1
    for _ in range(120):  # no server is overloaded: the limit grows until it is removed
        script.play(after=1_000.0)
    assert kinds(script.ask("again")) == ["Attempt"]


@pytest.mark.parametrize(("sick", "kind"), [(2, "Attempt"), (3, "Refuse")])
def test_a_small_fleet_is_overloaded_only_with_three_degraded_servers(sick: int, kind: str) -> None:
    script = Script(settings(balancers=1), 5)
    for n in range(40):
        script.play(Inherited(Request(f"r{n}", "safe", 0.0), f"10.0.0.{n % 5}:80"))
    for _ in range(2):
        notes: list[Event] = [DelayUpdate(f"r{n}", f"10.0.0.{n}:80", 900.0) for n in range(sick)]
        script.play(*notes, after=1_000.0)
    assert [kinds(script.ask(f"new{n}")) for n in range(10)][-1] == [kind]


def test_probes_are_paid_by_requests_and_reports_decide() -> None:
    given = settings(
        may_probe=True, report_on_probe=True, report_fields=["utilization", "x0"], probe_price=0.002
    )
    script = Script(given, 2)
    assert not any(isinstance(action, Probe) for _ in range(50) for action in script.play(after=100.0))
    server = script.open("a")
    probed: list[str] = []
    for _ in range(30):
        probed += [action.server for action in script.play(after=100.0) if isinstance(action, Probe)]
    assert 1 <= len(probed) <= 3
    (other,) = {f"10.0.0.{n}:80" for n in range(2)} - {server}
    script.play(
        ProbeResult(other, Result.OK, 1.0, [0.5, 0.7]), ProbeResult(server, Result.OK, 1.0, [0.5, 0.2])
    )
    assert script.open("b") == server


def test_reports_that_come_with_answers_decide_too() -> None:
    script = Script(settings(report_fields=["x0"]), 2)
    busy = script.open("a", tenant="one")
    idle = script.open("b", tenant="two")
    assert busy != idle
    script.play(Outcome("a", 0, busy, Result.OK, 1.0, True, [0.8]))
    script.play(Outcome("b", 0, idle, Result.OK, 1.0, True, [0.2]))
    assert script.open("c", tenant="one") == idle


def test_a_stale_restored_list_is_used_until_a_newer_one_comes() -> None:
    script = Script(settings(list_on_request=True))
    old, new = servers(2)
    script.play(ServerList(ListKind.RESTORED, [old]))
    assert script.open("a") == old.id
    script.play(ServerList(ListKind.REPLACE, [new]))
    assert script.open("b") == new.id


def test_no_probes_where_they_are_forbidden() -> None:
    script = Script(settings(report_on_probe=True, report_fields=["x0"]), 2)
    actions = [action for n in range(50) for action in script.ask(f"r{n}")]
    actions += [action for _ in range(50) for action in script.play(after=100.0)]
    assert not any(isinstance(action, Probe) for action in actions)


# Groups


def test_a_small_group_meets_at_one_server_whatever_the_balancer() -> None:
    homes = {Script(settings(grouped=True, balancers=30, me=me), 24).open("r", group=77) for me in range(30)}
    assert len(homes) <= 2


def test_a_large_group_is_spread() -> None:
    script = Script(settings(grouped=True, balancers=1), 12)
    assert len({script.open(f"r{n}", group=5) for n in range(80)}) >= 6


# Settings


@pytest.mark.parametrize(
    ("changes", "name"),
    [
        ({"classes": []}, "classes"),
        ({"classes": [replace(SAFE, deadline=0.0)]}, "deadline"),
        ({"classes": [replace(SAFE, window=-1.0)]}, "window"),
        ({"warm_time": -1.0}, "warm_time"),
        ({"max_attempts": 0}, "max_attempts"),
        ({"balancers": 0}, "balancers"),
        ({"cold_from": 0.0}, "cold_from"),
        ({"tenants": [Tenant("a", quota=-1.0)]}, "tenants.quota of a"),
        ({"tenants": [Tenant("a", quota=float("nan"))]}, "tenants.quota of a"),
    ],
)
def test_settings_that_cannot_be_used_name_the_setting(changes: dict[str, object], name: str) -> None:
    with pytest.raises(ValueError, match=name):
        settings(**changes)


def test_the_mean_load_is_that_of_the_reported_loads() -> None:
    """The first reported load must not dominate the mean."""
    script = Script(settings(tells_load=True, balancers=1), 2)
    for n in range(20):
        script.open(f"r{n}", key=n)
    for n in range(20):
        script.play(LoadUpdate(f"r{n}", "10.0.0.0:80", 1_000.0 if n == 0 else 60_000.0))
    loads = [row.load for server in ("10.0.0.0:80", "10.0.0.1:80") for row in established(script, server)]
    assert 0.5 < sum(loads) / len(loads) < 2.0


def established(script: Script, server: str) -> list[EstablishedConnection]:
    return script.balancer.listed_servers.sample_established(server, 50)


def test_a_cold_server_gets_turns_again_soon_after_it_is_taken_to_carry_less() -> None:
    """A lower warm capacity must not suspend turns until the new numbering has caught up."""
    script = Script(settings(cold_from=0.13, warm_time=23_000.0, fall_window=1_000.0, balancers=3), 2)
    cold = "10.0.0.1:80"
    script.play(ServerList(ListKind.UPDATE, [Server(cold, started=script.now)]))

    def places(name: str, count: int) -> list[str]:
        made = []
        for n in range(count):
            script.play(after=100.0)
            made.append(script.open(f"{name}{n}"))
            script.end(f"{name}{n}", made[-1], Result.OK, closed=True)
        return made

    assert cold in places("before", 80)
    script.balancer._fleet.warm_capacity = 20.0
    assert cold in places("after", 40)


def test_a_group_that_meets_at_a_small_server_goes_on_to_the_next_one() -> None:
    """The load limit of a group must follow the size of the server."""
    for seed in range(20):
        script = Script(settings(grouped=True, sized=True, balancers=2, me=seed % 2), seed=seed)
        fleet = [replace(server, weight=2.0 if n < 3 else 6.5) for n, server in enumerate(servers(5))]
        script.play(ServerList(ListKind.REPLACE, fleet))
        for n in range(40):
            script.play(Inherited(Request(f"o{n}", "safe", 0.0), f"10.0.0.{3 + n % 2}:80"))
        places = [script.open(f"r{n}", group=seed) for n in range(24)]
        max_count = max(places.count(server.id) for server in fleet if server.weight == 2.0)
        assert max_count <= 18, f"{max_count} of 24 at one small server, group {seed}"


@pytest.mark.parametrize("figure", ["fall_window", "fall_multiple"])
def test_settings_that_allow_a_cold_server_next_to_nothing_are_lived_by(figure: str) -> None:
    """A turn rate that rounds to zero must not be divided by."""
    configured = Settings(classes=[RequestClass("desk", 2_000.0)], warm_time=23_000.0, cold_from=0.13)
    setattr(configured, figure, 5e-324)
    balancer = Balancer(configured, 1)
    balancer.handle(1_000.0, [ServerList(ListKind.REPLACE, [Server("s", started=900.0)], 1)])
    for n in range(5):
        actions = balancer.handle(1_000.0 + n, [Request(f"r{n}", "desk", 500.0)])
        assert [action for action in actions if isinstance(action, Attempt | Refuse)]
