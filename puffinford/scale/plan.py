"""The size of a scale run and what is played."""

from __future__ import annotations

from dataclasses import dataclass, field

from puffinford.scale.agreement import Bounds
from puffinford.scale.messages import Crowd, Skip
from puffinford.scale.stories import Story

LOST_MOST = 0.2  # of a story: a machine that gives the hollow processes less does not carry the size


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
    crowd: Crowd = field(default_factory=lambda: Crowd(rate=0.05))
    twins: bool = False  # real balancers have the numbers of the first hollow ones: for the agreement
    skip: Skip = Skip.NOTHING
    lost_most: float = LOST_MOST  # part of the story that the hollow balancers' clock may lose
    bounds: Bounds = field(default_factory=Bounds)  # of the agreement

    @property
    def balancers(self) -> int:
        """Balancers that settings tell of."""
        return self.hollow if self.twins else self.hollow + self.real

    @property
    def first_real(self) -> int:
        """The number of the first real balancer."""
        return 0 if self.twins else self.hollow
