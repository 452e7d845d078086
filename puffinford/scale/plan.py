"""The size of a scale run and what is played."""

from __future__ import annotations

from dataclasses import dataclass, field

from puffinford.scale.agreement import Bounds
from puffinford.scale.messages import ClientWorkload, Skip
from puffinford.scale.stories import Story

MAX_LOST_FRACTION = 0.2  # of a story: a machine that gives the hollow processes less does not carry the size


@dataclass(frozen=True, kw_only=True)
class RunPlan:
    """The size of a run and what is played."""

    story: Story
    hollow: int
    processes: int
    real: int = 0
    relays: int = 0
    servers: int = 100
    service_ms: float = 0.0
    seed: int = 1
    crowd: ClientWorkload = field(default_factory=lambda: ClientWorkload(rate=0.05))
    paired: bool = False  # real balancers have the numbers of the first hollow ones: for the agreement
    skip: Skip = Skip.NOTHING
    max_lost_fraction: float = (
        MAX_LOST_FRACTION  # part of the story that the hollow balancers' clock may lose
    )
    bounds: Bounds = field(default_factory=Bounds)  # of the agreement

    @property
    def balancers(self) -> int:
        """Balancers that settings tell of."""
        return self.hollow if self.paired else self.hollow + self.real

    @property
    def first_real(self) -> int:
        """The number of the first real balancer."""
        return 0 if self.paired else self.hollow
