"""Inputs shared by all roles: targets, measurements, and values derived directly from them."""

from __future__ import annotations

import math
from dataclasses import dataclass
from functools import cached_property

from benchmarks.capacity.measurements import Measurements
from benchmarks.capacity.quantity import Quantity, assumed, derived, specified
from benchmarks.capacity.targets import Targets
from puffinford.operators import RelaySettings
from puffinford.server_list.discovery import RELAYED_TIMING, WATCH_WAIT_MS

DAY_S = 86_400.0
PERCENT = 100.0


@dataclass(frozen=True)
class Inputs:
    """The targets and measurements of one fleet, with the values derived directly from them."""

    targets: Targets
    measurements: Measurements

    def assumed(self, name: str) -> Quantity:
        """An assumption, by its name in the targets file."""
        return self.targets.assumed.quantity(name)

    @property
    def server_counts(self) -> list[int]:
        """The assumed numbers of servers, in ascending order."""
        return self.targets.assumed.server_counts

    @cached_property
    def max_servers(self) -> Quantity:
        """The largest assumed number of servers."""
        return assumed(self.server_counts[-1], "servers")

    @cached_property
    def balancers(self) -> Quantity:
        """The number of balancers in the fleet."""
        return specified(self.targets.fleet.balancers, "balancers")

    @cached_property
    def zones(self) -> Quantity:
        """The number of zones in the fleet."""
        return specified(self.targets.fleet.zones, "zones")

    @cached_property
    def control_machines(self) -> Quantity:
        """The number of machines dedicated to control."""
        return specified(self.targets.budget.machines, "machines")

    @cached_property
    def connections_per_balancer(self) -> Quantity:
        """Established connections per balancer."""
        fleet = self.targets.fleet
        return specified(fleet.connections / fleet.balancers, "connections")

    @cached_property
    def deliveries_per_balancer(self) -> Quantity:
        """Mean deliveries per second and balancer."""
        fleet = self.targets.fleet
        return specified(fleet.deliveries_per_s / fleet.balancers, "/s")

    @cached_property
    def changes_per_s(self) -> Quantity:
        """Configuration changes per second, averaged over a day."""
        return specified(self.targets.changes.per_day / DAY_S, "/s")

    @cached_property
    def change_deadline(self) -> Quantity:
        """The time until a change has to be in force everywhere."""
        return specified(self.targets.changes.in_force_within_s, "s")

    @cached_property
    def largest_burst(self) -> Quantity:
        """The largest number of simultaneous changes."""
        return specified(max(self.targets.changes.bursts), "changes")

    @cached_property
    def core_budget(self) -> Quantity:
        """The percentage of one core that control may use at a balancer."""
        return specified(self.targets.budget.core_pct, "%")

    @cached_property
    def memory_budget(self) -> Quantity:
        """The memory that control may use at a balancer, in bytes."""
        return specified(self.targets.budget.memory_mb * 1e6, "B")

    @cached_property
    def bytes_budget(self) -> Quantity:
        """The bytes per second that control may send and receive at a balancer."""
        return specified(self.targets.budget.bytes_per_s, "B/s")

    @cached_property
    def watch_wait(self) -> Quantity:
        """How long a balancer's watch waits at the list service, as set in this program."""
        return specified(WATCH_WAIT_MS / 1_000.0, "s")

    @cached_property
    def relay_watch_wait(self) -> Quantity:
        """How long a balancer's watch waits at a relay, as set in this program."""
        return specified(RELAYED_TIMING.wait / 1_000.0, "s")

    def relay_setting(self, name: str) -> Quantity:
        """The default of one duration in the relay's settings."""
        return specified(getattr(RelaySettings(), name) / 1_000.0, "s")

    @cached_property
    def list_service_rate(self) -> Quantity:
        """Calls per second that one list service can answer."""
        return derived("/s", lambda service: 1.0 / service, self.assumed("list_service_ms"))

    @cached_property
    def line_cost(self) -> Quantity:
        """Processor time per delivered line."""
        return self.measurements.unit_cost(
            "data.line_us", self.targets.fleet.deliveries_per_s / self.targets.fleet.balancers
        )

    @cached_property
    def connection_memory(self) -> Quantity:
        """Resident memory per established connection."""
        connections = self.connections_per_process
        found = self.measurements.unit_cost("data.connection_kib", connections.value or 0.0)
        return derived("B", lambda size, _: size, found, connections)

    @cached_property
    def delivery_cores(self) -> Quantity:
        """Mean number of cores used by a balancer's deliveries."""
        return derived("cores", lambda rate, cost: rate * cost, self.deliveries_per_balancer, self.line_cost)

    @cached_property
    def process_core_budget(self) -> Quantity:
        """The fraction of its core that a process may use."""
        return derived("cores", lambda percent: percent / PERCENT, self.assumed("process_core_pct"))

    @cached_property
    def processes_per_balancer(self) -> Quantity:
        """Processes needed for one balancer's deliveries."""
        return derived(
            "processes",
            lambda cores, limit: max(1, math.ceil(cores / limit)),
            self.delivery_cores,
            self.process_core_budget,
        )

    @cached_property
    def cores_per_machine(self) -> Quantity:
        """The assumed number of cores of a machine."""
        return assumed(self.targets.assumed.machine_cores.value, "cores")

    @cached_property
    def connections_per_process(self) -> Quantity:
        """Established connections per process."""
        return derived(
            "connections",
            lambda count, processes: count / processes,
            self.connections_per_balancer,
            self.processes_per_balancer,
        )

    @cached_property
    def total_process_watches(self) -> Quantity:
        """Watches in the fleet if every process of every balancer has its own."""
        return derived(
            "watches", lambda count, processes: count * processes, self.balancers, self.processes_per_balancer
        )

    def measured_at_quantity(self, series: str, over: str, size: Quantity) -> Quantity:
        """A series at a size that is itself derived; the basis is the weaker of the two."""
        found = self.measurements.at(series, over, size.value or 0.0)
        return derived(found.unit, lambda value, _: value, found, size)

    def per_control_machine(self, quantity: Quantity, lost: int = 0) -> Quantity:
        """A fleet-wide quantity divided evenly among the control machines, of which `lost` have failed."""
        remaining = specified(max(1, self.targets.budget.machines - lost), "machines")
        return derived(
            quantity.unit, lambda fleet_total, machines: fleet_total / machines, quantity, remaining
        )
