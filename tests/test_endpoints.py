"""Selection among relays: spread by hash, failover after a failure, delayed return, all with jitter."""

from __future__ import annotations

import random
from collections import Counter
from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from puffinford.server_list.endpoints import Address, EndpointSelector, RetryPolicy, rendezvous_order

RELAYS: list[Address] = [("10.0.0.1", 8124 + number) for number in range(6)]
POLICY = RetryPolicy()


def test_names_spread_evenly_and_one_relay_less_moves_only_its_own() -> None:
    names = [f"balancer-{number}" for number in range(6_000)]
    first = {name: rendezvous_order(name, RELAYS)[0] for name in names}
    shares = Counter(first.values())
    assert len(shares) == 6 and all(850 <= share <= 1_150 for share in shares.values())
    fewer = {name: rendezvous_order(name, RELAYS[1:])[0] for name in names}
    assert all(fewer[name] == first[name] for name in names if first[name] != RELAYS[0])
    moved = Counter(fewer[name] for name in names if first[name] == RELAYS[0])
    assert len(moved) == 5 and min(moved.values()) >= 0.6 * max(moved.values()), (
        "its clients spread over all others"
    )


@given(st.lists(st.sampled_from(RELAYS), min_size=1), st.text(max_size=20))
def test_the_order_is_the_same_each_time_and_names_each_relay_once(relays: list[Address], name: str) -> None:
    assert sorted(rendezvous_order(name, relays)) == sorted(set(relays))
    assert rendezvous_order(name, relays[::-1]) == rendezvous_order(name, relays)


@given(st.integers(2, 6), st.data())
def test_failures_go_round_and_pauses_keep_within_their_window(count: int, data: st.DataObject) -> None:
    endpoints = EndpointSelector(RELAYS[:count], random.Random(data.draw(st.integers(0, 99))), POLICY)
    now, seen = 0.0, []
    for failures in range(1, 3 * count + 1):
        chosen = endpoints.choose(now)
        seen.append(chosen)
        endpoints.record_failure(chosen, now)
        pause = endpoints.retry_pause()
        assert 0.0 <= pause <= min(POLICY.max_window, POLICY.initial_window * 2.0 ** (failures - 1))
        now += pause
    assert set(seen[:count]) == set(RELAYS[:count]), "every relay is tried before any is tried again"
    assert all(earlier != later for earlier, later in pairwise(seen))


@given(st.lists(st.sampled_from(range(6)), max_size=3, unique=True))
def test_a_call_beside_others_goes_where_none_of_them_went(pending: list[int]) -> None:
    endpoints = EndpointSelector(RELAYS, random.Random(1), POLICY)
    assert endpoints.choose_hedge([RELAYS[number] for number in pending]) not in {
        RELAYS[number] for number in pending
    }


def test_a_call_beside_others_spares_the_relay_that_has_just_failed() -> None:
    endpoints = EndpointSelector(RELAYS[:3], random.Random(1), POLICY)
    second = endpoints.choose_hedge([RELAYS[0]])
    endpoints.record_failure(second, 0.0)
    assert endpoints.choose_hedge([RELAYS[0]]) not in (RELAYS[0], second)


def test_a_returned_relay_gets_its_share_again_and_not_all_at_once() -> None:
    """Guards against 1,000 clients that lost a relay together returning to it together."""
    return_seconds = []
    for seed in range(1_000):
        endpoints = EndpointSelector(RELAYS[:2], random.Random(seed), POLICY)
        endpoints.record_failure(RELAYS[0], 0.0)
        endpoints.record_answer(RELAYS[1], 0.0)
        second = next(second for second in range(36) if endpoints.choose(second * 1_000.0) == RELAYS[0])
        return_seconds.append(second)
    assert min(return_seconds) > POLICY.min_return_delay / 1_000.0
    assert max(Counter(return_seconds).values()) <= 60


def test_one_that_goes_on_failing_is_tried_ever_more_seldom_and_never_while_others_fail() -> None:
    endpoints = EndpointSelector(RELAYS[:2], random.Random(7), POLICY)
    now, attempts_at = 0.0, []
    while now < 3_600_000.0:
        if endpoints.choose(now) == RELAYS[0]:
            attempts_at.append(now)
            endpoints.record_failure(RELAYS[0], now)
            assert endpoints.choose(now + 1e9) == RELAYS[1], "no return before the other relay has answered"
            endpoints.record_answer(RELAYS[1], now)
        now += 500.0
    assert 15 <= len(attempts_at) <= 45


def test_a_silent_preferred_relay_is_left_for_the_one_that_answered() -> None:
    endpoints = EndpointSelector(RELAYS[:3], random.Random(1), POLICY)
    endpoints.record_answer(RELAYS[2], 0.0)
    assert endpoints.choose(0.0) == RELAYS[2] and endpoints.choose(1e9) == RELAYS[0]


def test_there_has_to_be_one() -> None:
    with pytest.raises(ValueError, match="no endpoint"):
        EndpointSelector([], random.Random(1), POLICY)
