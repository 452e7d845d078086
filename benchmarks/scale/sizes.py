"""At which sizes the series are measured: in full, and quickly."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Sizes:
    """Sizes of every series; `_s` is in seconds of wall clock. `at_*` holds where another input varies."""

    at_servers: int = 1_000
    at_balancers: int = 7_500  # those that a module is told of
    groups: int = 100  # of the connections, where they share some
    servers: tuple[int, ...] = (100, 1_000, 10_000, 100_000)
    standing: tuple[int, ...] = (1_000, 5_000, 15_000, 30_000, 60_000)
    balancers: tuple[int, ...] = (3, 30, 200, 2_000)  # and `at_balancers`, among the points over servers
    timers: tuple[int, ...] = (100, 1_000, 10_000, 60_000)
    placings: int = 300  # timed at each size
    changes: int = 20  # of one entry, timed at each size
    wake_ups: int = 2_000

    control_servers: tuple[int, ...] = (1_000, 4_000, 10_000, 16_000)
    control_changes: tuple[float, ...] = (0.1, 1.0, 5.0)  # a second, at `at_servers`; 0 is among the servers'
    rest_servers: int = 20  # that hold the connections of a process
    rest_standing: tuple[int, ...] = (0, 500, 1_000, 2_500, 5_000)
    rates: tuple[int, ...] = (500, 1_000, 2_000, 4_000)  # lines a second
    line_standing: int = 200  # connections that carry those
    settle_s: float = 5.0
    window_s: float = 12.0

    watchers: tuple[int, ...] = (100, 300, 1_000)
    service_ms: tuple[float, ...] = (0.0, 10.0)
    reset_service_ms: tuple[float, ...] = (0.0,)
    told_most_s: float = 60.0  # a change that has not reached all watchers then was not held

    zones: int = 26
    zone_standing: tuple[int, ...] = (1_000, 5_000, 10_000)
    zone_arrivals: tuple[int, ...] = (600, 1_200, 2_400)


FULL = Sizes()
QUICK = Sizes(
    servers=(100, 300, 1_000),
    standing=(100, 300, 1_000),
    balancers=(3, 30),
    timers=(100, 1_000, 10_000),
    placings=60,
    changes=5,
    wake_ups=200,
    control_servers=(100, 300, 1_000),
    control_changes=(1.0, 5.0),
    rest_standing=(0, 50, 100),
    rates=(50, 100, 200),
    line_standing=20,
    settle_s=1.0,
    window_s=1.5,
    watchers=(10, 20, 40),
    service_ms=(0.0,),
    told_most_s=20.0,
    zone_standing=(100, 300, 1_000),
    zone_arrivals=(50, 100, 200),
)
