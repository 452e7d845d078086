"""Guards against a balancer that exceeds its resource limits with 16 times the servers.

Processor time varies on a shared machine and is covered by `make bench-size` and a test of the module.
"""

from __future__ import annotations

import anyio

from benchmarks.size.__main__ import limits, play

USUAL, MANY = 60, 960
SECONDS, RATE, GROUPS = 6.0, 25.0, 100_000


def test_sixteen_times_the_servers_cost_no_more_than_is_allowed() -> None:
    usual, many = [anyio.run(play, servers, SECONDS, RATE, 1, GROUPS) for servers in (USUAL, MANY)]
    allowed = limits(usual, MANY / 1_000.0)
    assert many.memory <= allowed.memory
    assert many.descriptors <= allowed.descriptors
    assert many.connections <= allowed.connections
    assert many.list_bytes <= allowed.list_bytes
    assert many.share >= allowed.share > 0.8
