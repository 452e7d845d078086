"""What a lost zone costs a decision module: its clients come back, all to this one balancer."""

from __future__ import annotations

from collections.abc import Iterator

from benchmarks.scale.driver import Driver
from benchmarks.scale.samples import Sample
from benchmarks.scale.sizes import Sizes

_US = 1e6


def lost_zone(sizes: Sizes, seed: int) -> Iterator[Sample]:
    """Processor time of the module for the list's change and all arrivals, each placed and standing."""
    plan = [(standing, sizes.zone_arrivals[-1]) for standing in sizes.zone_standing[:-1]]
    plan += [(sizes.zone_standing[-1], arrivals) for arrivals in sizes.zone_arrivals]
    for standing, arrivals in plan:
        driver = Driver(sizes.at_servers, sizes.at_balancers, sizes.groups, seed)
        driver.tell_whole()
        while len(driver.standing) < standing:
            driver.place()
        driver.lose(driver.servers[: max(1, sizes.at_servers // sizes.zones)])
        before = driver.cpu
        for _ in range(arrivals):
            driver.place(came_back=True)
        seconds = driver.cpu - before
        inputs: dict[str, float] = {"servers": sizes.at_servers, "standing": standing, "arrivals": arrivals}
        yield Sample("failure.zone_arrivals", "us", inputs, seconds / arrivals * _US)
        yield Sample("failure.zone_seconds", "s", inputs, seconds)
