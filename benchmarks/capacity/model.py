"""The capacity model of a fleet: all roles and the ranking, from targets and results. No I/O."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from benchmarks.capacity import (
    balancer,
    configuration,
    delivery,
    detection,
    lists,
    ranking,
    reconnecting,
    shards,
)
from benchmarks.capacity.inputs import Inputs
from benchmarks.capacity.measurements import Measurements
from benchmarks.capacity.quantity import Quantity
from benchmarks.capacity.roles import RankedQuantity, Role, Status
from benchmarks.capacity.targets import Targets
from benchmarks.scale.records import RunResults, ScaleRun, SlopeResults


@dataclass(frozen=True)
class Capacity:
    """All that the page shows about one fleet."""

    targets: Targets
    slopes: SlopeResults | None
    runs: list[ScaleRun]
    roles: list[Role]
    named_quantities: dict[str, Quantity]  # quoted in the template's text
    hops: list[delivery.Hop]
    lookup_options: list[shards.LookupOption]
    loads: list[lists.RelayLoad]
    losses: list[reconnecting.Loss]
    ranking: list[RankedQuantity]

    @property
    def first_to_build(self) -> RankedQuantity | None:
        """The ranked quantity whose mechanism is to be built first."""
        return ranking.first_to_build(self.ranking)

    @property
    def ranked_above_first(self) -> list[RankedQuantity]:
        """The quantities ranked above the one whose mechanism is to be built first."""
        first = self.first_to_build
        return self.ranking[: self.ranking.index(first)] if first else []

    def quantities(self) -> Iterator[Quantity]:
        """All quantities that the page may show."""
        yield from self.named_quantities.values()
        for role in self.roles:
            yield from (row.quantity for row in role.rows)
        for load in self.loads:
            yield load.last_notified_after
        for entry in self.ranking:
            yield entry.quantity

    def ranked_quantities(self) -> list[Quantity]:
        """Quantities of the ranking table."""
        return [quantity for entry in self.ranking for quantity in (entry.quantity, entry.budget)]

    def process_count_quantities(self) -> list[Quantity]:
        """Quantities of the chapter on the processes of a balancer."""
        return [quantity for name, quantity in self.named_quantities.items() if name.startswith("data.")]

    def load_quantities(self) -> list[Quantity]:
        """Quantities of the relay load table."""
        return [quantity for load in self.loads for quantity in (load.core_pct, load.last_notified_after)]

    def loss_quantities(self) -> list[Quantity]:
        """Quantities of the loss table."""
        return [quantity for loss in self.losses for quantity in (loss.plain_time, loss.encrypted_time)]

    @property
    def missing(self) -> list[str]:
        """Names of series that the page needs and that have not been measured."""
        return sorted({series for quantity in self.quantities() for series in quantity.missing})


def compute_capacity(targets: Targets, slopes: SlopeResults | None, runs: RunResults | None) -> Capacity:
    """Compute the capacity of a fleet. `slopes` and `runs` are None if no such results exist."""
    inputs = Inputs(targets, Measurements(slopes))
    scale_runs = runs.runs if runs else []
    named_quantities: dict[str, Quantity] = {}
    for quantities_of in (
        balancer.data_path_quantities,
        lists.list_quantities,
        shards.shard_quantities,
        delivery.delivery_quantities,
        detection.detection_quantities,
        configuration.configuration_quantities,
        reconnecting.reconnecting_quantities,
    ):
        named_quantities |= quantities_of(inputs)
    return Capacity(
        targets=targets,
        slopes=slopes,
        runs=scale_runs,
        roles=[
            balancer.control_role(inputs),
            balancer.data_path_role(inputs),
            lists.list_service_role(inputs, relay_status(scale_runs)),
            shards.shard_directory_role(inputs),
            delivery.delivery_role(inputs),
            detection.detection_role(inputs),
            configuration.configuration_role(inputs),
            reconnecting.reconnecting_role(inputs),
        ],
        named_quantities=named_quantities,
        hops=delivery.tree(inputs),
        lookup_options=shards.lookup_options(inputs),
        loads=lists.relay_loads(inputs),
        losses=reconnecting.losses(inputs),
        ranking=ranking.ranking(inputs),
    )


def relay_status(runs: list[ScaleRun]) -> Status:
    """Implemented once a run with relays has held its size; partial until then."""
    return Status.IMPLEMENTED if any(run.relays > 0 and run.held for run in runs) else Status.PARTIAL
