"""What the processes of a run have told, and what they cost up to a moment."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from puffinford.scale.messages import (
    Changed,
    FromHollow,
    FromListService,
    GroupTally,
    HollowTally,
    InForce,
    Listening,
    ListTally,
    Started,
)
from puffinford.scale.propagation import VersionTimestamp


@dataclass
class ProcessReports:
    """What the processes have told."""

    taken: dict[int, list[VersionTimestamp]] = field(default_factory=dict)
    started: dict[int, list[float]] = field(default_factory=dict)
    changed: list[VersionTimestamp] = field(default_factory=list)
    hollow: dict[int, HollowTally] = field(default_factory=dict)  # by process
    lists: ListTally | None = None
    addresses: dict[str, str] = field(default_factory=dict)

    def hear_hollow(self, process: int, message: FromHollow) -> None:
        """A message of one hollow process."""
        match message:
            case InForce():
                for me, version, at in message.rows:
                    self.taken.setdefault(me, []).append(VersionTimestamp(version, at))
            case Started():
                for me, at in message.rows:
                    self.started.setdefault(me, []).append(at)
            case HollowTally():
                self.hollow[process] = message

    def hear_lists(self, message: FromListService) -> None:
        """A message of the list service."""
        match message:
            case Listening():
                self.addresses = message.addresses
            case Changed():
                self.changed.append(VersionTimestamp(message.version, message.at))
            case ListTally():
                self.lists = message

    def has(self, me: int, version: int) -> bool:
        """Whether a version, or a later one, is in force at a hollow balancer, in its present process."""
        rows, starts = self.taken.get(me), self.started.get(me)
        if not rows or rows[-1].version < version:
            return False
        return not starts or rows[-1].at >= starts[-1]

    def informed(self) -> int:
        """Hollow balancers that have a list."""
        return sum(tally.informed for tally in self.hollow.values())


@dataclass(frozen=True)
class UsageSnapshot:
    """Counts of a moment; the story's are the difference of two."""

    at: float  # Unix ms
    hollow_cpu: float  # seconds, all processes
    real_cpu: float
    lists_cpu: float
    relay_cpu: tuple[float, ...]
    groups: Mapping[str, GroupTally]
