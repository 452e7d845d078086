"""A fleet's capacity: all roles, chapters and the ranking, from targets and results. No I/O."""

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
    """Everything that the page shows of one fleet."""

    targets: Targets
    slopes: SlopeResults | None
    runs: list[ScaleRun]
    roles: list[Role]
    named_quantities: dict[str, Quantity]  # that the text quotes, by name
    hops: list[delivery.Hop]
    lookup_options: list[shards.LookupOption]
    loads: list[lists.RelayLoad]
    losses: list[reconnecting.Loss]
    ranking: list[RankedQuantity]

    @property
    def first_to_build(self) -> RankedQuantity | None:
        """The ranked quantity whose mechanism is built first."""
        return ranking.first_to_build(self.ranking)

    @property
    def ranked_above_first(self) -> list[RankedQuantity]:
        """What is further over its budget than that."""
        built = self.first_to_build
        return self.ranking[: self.ranking.index(built)] if built else []

    def quantities(self) -> Iterator[Quantity]:
        """All quantities that the page may show, with the parts of its tables."""
        yield from self.named_quantities.values()
        for role in self.roles:
            yield from (row.quantity for row in role.rows)
        for load in self.loads:
            yield load.last_notified_after
        for entry in self.ranking:
            yield entry.quantity

    def ranked_quantities(self) -> list[Quantity]:
        """Those of the table of ranks."""
        return [quantity for entry in self.ranking for quantity in (entry.quantity, entry.budget)]

    def process_count_quantities(self) -> list[Quantity]:
        """Those of the chapter on what a balancer is."""
        return [quantity for name, quantity in self.named_quantities.items() if name.startswith("data.")]

    def load_quantities(self) -> list[Quantity]:
        """Those of the table of relays."""
        return [quantity for load in self.loads for quantity in (load.core_pct, load.last_notified_after)]

    def loss_quantities(self) -> list[Quantity]:
        """Those of the table of losses."""
        return [quantity for one in self.losses for quantity in (one.plain_time, one.encrypted_time)]

    @property
    def missing(self) -> list[str]:
        """What has not been measured and the page would show."""
        return sorted({series for one in self.quantities() for series in one.missing})


def compute_capacity(targets: Targets, slopes: SlopeResults | None, runs: RunResults | None) -> Capacity:
    """The capacity of a fleet by what was measured; None: nothing was."""
    inputs = Inputs(targets, Measurements(slopes))
    shown = runs.runs if runs else []
    named_quantities: dict[str, Quantity] = {}
    for part in (
        balancer.data_path_quantities,
        lists.list_quantities,
        shards.shard_quantities,
        delivery.delivery_quantities,
        detection.detection_quantities,
        configuration.configuration_quantities,
        reconnecting.reconnecting_quantities,
    ):
        named_quantities |= part(inputs)
    return Capacity(
        targets=targets,
        slopes=slopes,
        runs=shown,
        roles=[
            balancer.control(inputs),
            balancer.data_path(inputs),
            lists.list_service_role(inputs, relay_status(shown)),
            shards.holder(inputs),
            delivery.delivery(inputs),
            detection.detection(inputs),
            configuration.configuration(inputs),
            reconnecting.reconnecting(inputs),
        ],
        named_quantities=named_quantities,
        hops=delivery.tree(inputs),
        lookup_options=shards.lookup_options(inputs),
        loads=lists.relay_loads(inputs),
        losses=reconnecting.losses(inputs),
        ranking=ranking.ranking(inputs),
    )


def relay_status(runs: list[ScaleRun]) -> Status:
    """Runs here once a run with relays held its size; begun until then."""
    return Status.IMPLEMENTED if any(run.relays > 0 and run.held for run in runs) else Status.PARTIAL
