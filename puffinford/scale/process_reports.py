"""Collects the messages of a run's processes, and snapshots of their resource usage."""

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
    """What the hollow processes and the list service have reported so far."""

    applied: dict[int, list[VersionTimestamp]] = field(default_factory=dict)  # by hollow balancer
    restarted_at: dict[int, list[float]] = field(default_factory=dict)  # Unix ms, by hollow balancer
    published: list[VersionTimestamp] = field(default_factory=list)
    hollow_tallies: dict[int, HollowTally] = field(default_factory=dict)  # by process
    list_tally: ListTally | None = None
    addresses: dict[str, str] = field(default_factory=dict)  # of the list service, by group

    def record_hollow(self, process: int, message: FromHollow) -> None:
        """Store a message of the hollow process with this number."""
        match message:
            case InForce():
                for number, version, at in message.rows:
                    self.applied.setdefault(number, []).append(VersionTimestamp(version, at))
            case Started():
                for number, at in message.rows:
                    self.restarted_at.setdefault(number, []).append(at)
            case HollowTally():
                self.hollow_tallies[process] = message

    def record_list_service(self, message: FromListService) -> None:
        """Store a message of the list service."""
        match message:
            case Listening():
                self.addresses = message.addresses
            case Changed():
                self.published.append(VersionTimestamp(message.version, message.at))
            case ListTally():
                self.list_tally = message

    def has_version(self, number: int, version: int) -> bool:
        """Return whether a hollow balancer has applied this version or a later one since its last restart."""
        rows, starts = self.applied.get(number), self.restarted_at.get(number)
        if not rows or rows[-1].version < version:
            return False
        return not starts or rows[-1].at_ms >= starts[-1]

    def balancers_with_list(self) -> int:
        """Return the number of hollow balancers that have a list."""
        return sum(tally.informed for tally in self.hollow_tallies.values())


@dataclass(frozen=True)
class UsageSnapshot:
    """Cumulative CPU times and call counts at one time; two snapshots give the usage in between."""

    at_ms: float  # Unix time
    hollow_cpu_s: float  # of all hollow processes
    real_cpu_s: float
    list_service_cpu_s: float
    relay_cpu_s: tuple[float, ...]
    groups: Mapping[str, GroupTally]
