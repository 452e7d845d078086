"""The sizes at which series are measured, in a full and in a quick run."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Sizes:
    """Sizes of every series. `at_*` is the fixed value of an input while another one varies.

    Durations (`_s`) are in wall-clock seconds.
    """

    at_servers: int = 1_000
    at_balancers: int = 7_500  # as configured in the module
    groups: int = 100  # in measurements whose connections share groups
    servers: tuple[int, ...] = (100, 1_000, 10_000, 100_000)
    connections: tuple[int, ...] = (1_000, 5_000, 15_000, 30_000, 60_000)
    balancers: tuple[int, ...] = (3, 30, 200, 2_000)  # besides `at_balancers`
    timers: tuple[int, ...] = (100, 1_000, 10_000, 60_000)
    placements: int = 300  # at each size
    changes: int = 20  # of one entry, at each size
    wake_ups: int = 2_000

    control_servers: tuple[int, ...] = (1_000, 4_000, 10_000, 16_000)
    control_changes: tuple[float, ...] = (0.1, 1.0, 5.0)  # list changes per second, with `at_servers`
    connection_servers: int = 20  # of a balancer process with connections
    idle_connections: tuple[int, ...] = (0, 500, 1_000, 2_500, 5_000)
    lines_per_s: tuple[int, ...] = (500, 1_000, 2_000, 4_000)
    line_connections: int = 200  # on which lines are forwarded
    settle_s: float = 5.0
    window_s: float = 12.0

    watchers: tuple[int, ...] = (100, 300, 1_000)
    service_ms: tuple[float, ...] = (0.0, 10.0)
    reset_service_ms: tuple[float, ...] = (0.0,)
    propagation_timeout_s: float = 60.0

    zones: int = 26
    zone_connections: tuple[int, ...] = (1_000, 5_000, 10_000)
    zone_arrivals: tuple[int, ...] = (600, 1_200, 2_400)


FULL = Sizes()
QUICK = Sizes(
    servers=(100, 300, 1_000),
    connections=(100, 300, 1_000),
    balancers=(3, 30),
    timers=(100, 1_000, 10_000),
    placements=60,
    changes=5,
    wake_ups=200,
    control_servers=(100, 300, 1_000),
    control_changes=(1.0, 5.0),
    idle_connections=(0, 50, 100),
    lines_per_s=(50, 100, 200),
    line_connections=20,
    settle_s=1.0,
    window_s=1.5,
    watchers=(10, 20, 40),
    service_ms=(0.0,),
    propagation_timeout_s=20.0,
    zone_connections=(100, 300, 1_000),
    zone_arrivals=(50, 100, 200),
)
