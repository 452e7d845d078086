"""Cost for a decision module when a zone fails and all its clients reconnect to this balancer."""

from __future__ import annotations

from collections.abc import Iterator

from benchmarks.scale.driver import Driver
from benchmarks.scale.samples import Sample
from benchmarks.scale.sizes import Sizes

_US = 1e6


def lost_zone(sizes: Sizes, seed: int) -> Iterator[Sample]:
    """Measure the processor time of placing and establishing all reconnecting clients."""
    plan = [(connections, sizes.zone_arrivals[-1]) for connections in sizes.zone_connections[:-1]]
    plan += [(sizes.zone_connections[-1], arrivals) for arrivals in sizes.zone_arrivals]
    for connections, arrivals in plan:
        driver = Driver(sizes.at_servers, sizes.at_balancers, sizes.groups, seed)
        driver.send_full_list()
        while len(driver.connections) < connections:
            driver.place()
        driver.lose_servers(driver.servers[: max(1, sizes.at_servers // sizes.zones)])
        before = driver.cpu
        for _ in range(arrivals):
            driver.place(came_back=True)
        seconds = driver.cpu - before
        inputs: dict[str, float] = {
            "servers": sizes.at_servers,
            "standing": connections,
            "arrivals": arrivals,
        }
        yield Sample("failure.zone_arrivals", "us", inputs, seconds / arrivals * _US)
        yield Sample("failure.zone_seconds", "s", inputs, seconds)
