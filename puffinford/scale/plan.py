"""The parameters of a scale run: its story, fleet size, clients and limits."""

from __future__ import annotations

from dataclasses import dataclass, field

from puffinford.scale.agreement import Bounds
from puffinford.scale.messages import ClientWorkload, Skip
from puffinford.scale.stories import Story

MAX_LOST_FRACTION = 0.2  # of the story's time


@dataclass(frozen=True, kw_only=True)
class RunPlan:
    """The parameters of one run."""

    story: Story
    hollow: int  # hollow balancers
    processes: int  # over which the hollow balancers are spread
    real: int = 0  # real balancers
    relays: int = 0
    servers: int = 100
    service_ms: float = 0.0  # processing time of one call at the list service
    seed: int = 1
    workload: ClientWorkload = field(default_factory=lambda: ClientWorkload(rate=0.05))
    paired: bool = False  # real balancers share the numbers of hollow ones, to be compared with them
    skip: Skip = Skip.NOTHING
    max_lost_fraction: float = MAX_LOST_FRACTION  # that the hollow balancers' clock may lose
    bounds: Bounds = field(default_factory=Bounds)

    @property
    def balancers(self) -> int:
        """The number of balancers in the fleet, as configured in their settings."""
        return self.hollow if self.paired else self.hollow + self.real

    @property
    def first_real(self) -> int:
        """The number of the first real balancer."""
        return 0 if self.paired else self.hollow
