"""A request that may have run is repeated only as its effect, scope and window allow."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from puffinford import Balancer
from puffinford import interface as it
from puffinford.interface import Effect, RequestClass, Result, Scope, Server, Settings

WINDOW = 800.0
NEVER_RAN = {Result.FULL, Result.CONNECT_FAILED, Result.NOT_SENT}
FAILED = [result for result in Result if result is not Result.OK]
AFTER = [50.0, 790.0, 810.0]  # ms between the first attempt and its outcome


def make_settings(effect: Effect, scope: Scope, window: float = WINDOW, name: str = "pay") -> Settings:
    cls = RequestClass(name, 2_000.0, effect=effect, scope=scope, window=window)
    return Settings([cls], max_attempts=4, max_retry_after=1_500.0, may_cancel=True)


# Zone and cell: a and b share both, c shares only a's zone, d neither.
PLACES = {"a": ("z1", 1), "b": ("z1", 1), "c": ("z1", 2), "d": ("z2", 3)}


def start(settings: Settings) -> tuple[Balancer, float]:
    balancer = Balancer(settings, 3)
    servers = [Server(ident, zone=zone, cell=cell) for ident, (zone, cell) in PLACES.items()]
    balancer.handle(1_000.0, [it.ServerList(it.ListKind.REPLACE, servers)])
    return balancer, 1_000.0


def attempt(actions: list[it.Action]) -> it.Attempt | None:
    return next((action for action in actions if isinstance(action, it.Attempt)), None)


def answered(actions: list[it.Action]) -> type | None:
    return next((type(action) for action in actions if isinstance(action, it.Refuse | it.Fail)), None)


def allowed(first: str, effect: Effect, scope: Scope, result: Result, after: float) -> set[str]:
    """Servers that the next attempt may use."""
    others = set(PLACES) - {first}
    if effect is Effect.SAFE or result in NEVER_RAN:
        return others
    if effect is Effect.UNSAFE or after >= WINDOW:
        return set()
    if scope is Scope.ALL:
        return others
    place = 0 if scope is Scope.ZONE else 1
    return {ident for ident in others if PLACES[ident][place] == PLACES[first][place]}


@pytest.mark.parametrize(("effect", "scope"), list(itertools.product(Effect, Scope)))
@pytest.mark.parametrize("result", FAILED)
@pytest.mark.parametrize("after", AFTER)
def test_an_outcome_is_followed_only_by_what_the_effect_allows(
    result: Result, after: float, effect: Effect, scope: Scope
) -> None:
    balancer, now = start(make_settings(effect, scope))
    sent = attempt(balancer.handle(now, [it.Request("r", "pay", 2_000.0)]))
    assert sent is not None
    outcome = it.Outcome("r", 0, sent.server, result, after, False)
    actions = balancer.handle(now + after, [outcome])
    permitted = allowed(sent.server, effect, scope, result, after)
    following = attempt(actions)
    if following is not None:
        assert following.server in permitted
        ran = result not in NEVER_RAN
        until = now + WINDOW if ran and effect is Effect.KEYED else float("inf")
        assert following.until == until, "a connection that is established later must not start a repeat"
    else:
        assert not permitted, "a permitted server must be tried"
        harmless = result in NEVER_RAN or effect is Effect.SAFE
        harmless |= effect is Effect.KEYED and scope is Scope.ALL
        assert answered(actions) is (it.Refuse if harmless else it.Fail)
    assert (following is None) != (answered(actions) is None), "either an attempt or an answer"


@pytest.mark.parametrize(("before", "then"), list(itertools.product(Effect, Effect)))
def test_a_reload_between_an_attempt_and_its_repeat_binds_as_the_stricter_of_both(
    before: Effect, then: Effect
) -> None:
    """A request that a reload makes unsafe must not be sent twice."""
    balancer, now = start(make_settings(before, Scope.ALL))
    sent = attempt(balancer.handle(now, [it.Request("r", "pay", 2_000.0)]))
    assert sent is not None
    balancer.configure(make_settings(then, Scope.ALL, WINDOW / 2))
    actions = balancer.handle(now + 500.0, [it.Outcome("r", 0, sent.server, Result.RESET, 500.0, False)])
    permitted = then is Effect.SAFE and before is not Effect.UNSAFE
    assert (attempt(actions) is not None) == permitted, "at 500 ms only the old window is open"


@given(
    st.lists(st.tuples(st.integers(0, 1), st.sampled_from(FAILED), st.floats(1.0, 900.0)), max_size=25),
    st.sampled_from(Effect),
    st.sampled_from(Effect),
)
def test_two_balancers_in_one_process_behave_as_each_alone(
    steps: list[tuple[int, Result, float]],
    one: Effect,
    other: Effect,
) -> None:
    """Instances must not share state."""
    configured = [
        make_settings(one, Scope.ALL, name="pay"),
        make_settings(other, Scope.ZONE, 300.0, name="scan"),
    ]
    names = ["pay", "scan"]

    def play(instances: list[int]) -> dict[int, list[str]]:
        balancers = {n: start(configured[n])[0] for n in instances}
        seen: dict[int, list[str]] = {n: [] for n in instances}
        now = 1_000.0
        for number, (n, result, wait) in enumerate(steps):
            now += wait
            if n not in balancers:
                continue
            actions = balancers[n].handle(
                now, [it.Request(f"r{number}", names[n], 2_000.0, group=number % 3)]
            )
            seen[n].append(repr(actions))
            sent = attempt(actions)
            if sent is not None:
                outcome = it.Outcome(f"r{number}", 0, sent.server, result, wait, False)
                seen[n].append(repr(balancers[n].handle(now + wait, [outcome])))
        return seen

    together = play([0, 1])
    assert together == {**play([0]), **play([1])}
