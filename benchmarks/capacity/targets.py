"""A fleet's targets and the page's assumptions, typed, from a TOML file."""

from __future__ import annotations

import math
import tomllib
from pathlib import Path
from typing import Annotated, Any

import msgspec

from benchmarks.capacity.quantity import Quantity, assumed
from benchmarks.scale.records import BadRecord, numbers_in, value_at

TARGETS = Path(__file__).with_name("targets.toml")

Positive = Annotated[float, msgspec.Meta(gt=0.0)]
Count = Annotated[int, msgspec.Meta(ge=1)]
Percent = Annotated[float, msgspec.Meta(gt=0.0, le=100.0)]
Fraction = Annotated[float, msgspec.Meta(gt=0.0, lt=1.0)]


class Fleet(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the fleet is to carry."""

    balancers: Count
    connections: Count
    shards: Count
    largest_topic_listeners: Count
    deliveries_per_s: Positive
    delivery_within_ms: Positive
    delivery_part: Fraction  # of the deliveries, within that time
    regions: Count
    zones: Count


class Changes(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Changes of configuration."""

    per_day: Positive
    in_force_within_s: Positive
    bursts: Annotated[list[Count], msgspec.Meta(min_length=1)]  # changes that come together


class ControlBudget(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What control may cost: a balancer's part, and the machines set aside for it."""

    core_pct: Positive  # of one core
    memory_mb: Positive
    bytes_per_s: Positive
    machines: Count


class Failures(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What fails on an ordinary day, and for how long regions lose each other."""

    machines_per_day: Positive
    restarts_per_day: Positive
    apart_s: Positive


class Assumption(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A figure that nobody has told or measured, and why it was taken."""

    value: Positive
    reason: Annotated[str, msgspec.Meta(min_length=1)]


class Assumptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Everything assumed. The end of a name is its unit; a name without one is a count."""

    server_counts: Annotated[list[Count], msgspec.Meta(min_length=1)]
    list_service_ms: Assumption
    shard_entry_bytes: Assumption
    change_bytes: Assumption
    message_bytes: Assumption
    machine_cores: Assumption
    machine_memory_gb: Assumption
    process_core_pct: Assumption
    budget_window_s: Assumption
    peak_over_mean: Assumption
    tree_fan_out: Assumption
    round_trip_zone_ms: Assumption
    round_trip_region_ms: Assumption
    round_trip_world_ms: Assumption
    heartbeat_ms: Assumption
    heartbeats_missed: Assumption
    heartbeat_bytes: Assumption
    gossip_probes: Assumption
    cryptography_us: Assumption
    return_core_pct: Assumption
    return_within_s: Assumption
    machines_a_rack: Assumption
    shards_asked_per_s: Assumption
    shard_cache_mb: Assumption
    shard_lease_s: Assumption
    shard_slots: Assumption
    exceptions_pct: Assumption

    def single_values(self) -> dict[str, Assumption]:
        """All but the numbers of servers, by name, in their order."""
        fields = {name: getattr(self, name) for name in self.__struct_fields__}
        return {name: value for name, value in fields.items() if isinstance(value, Assumption)}

    def quantity(self, name: str) -> Quantity:
        """An assumption in the page's units."""
        unit, scale = unit_of(name)
        return assumed(self.single_values()[name].value * scale, unit)


class Targets(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One fleet: a file of targets."""

    fleet: Fleet
    changes: Changes
    budget: ControlBudget
    failures: Failures
    assumed: Assumptions


# The end of an assumption's name: the unit of its quantity, and by how much a value is multiplied for it.
_UNITS = {
    "_per_s": ("/s", 1.0),
    "_bytes": ("B", 1.0),
    "_mb": ("B", 1e6),
    "_gb": ("B", 1e9),
    "_pct": ("%", 1.0),
    "_us": ("s", 1e-6),
    "_ms": ("s", 1e-3),
    "_s": ("s", 1.0),
}


def unit_of(name: str) -> tuple[str, float]:
    """The unit that the end of a name says, and the factor from the name's own unit to it."""
    for ending, unit in _UNITS.items():
        if name.endswith(ending):
            return unit
    return "", 1.0


def read_targets(path: Path) -> Targets:
    """The targets that a file holds; raises BadRecord with the place and the value that are wrong."""
    try:
        text = path.read_bytes().decode()
    except OSError as exc:
        raise BadRecord(f"{path.name}: {exc.strerror}") from None
    except UnicodeDecodeError as exc:
        raise BadRecord(f"{path.name}: byte {exc.start}: not UTF-8") from None
    return parse_targets(text, path.name)


def parse_targets(text: str, name: str) -> Targets:
    """The targets that a file of this name holds; raises BadRecord."""
    try:
        plain = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as exc:
        raise BadRecord(f"{name}: not TOML: {exc}") from None
    for place, value in numbers_in(plain, "$"):
        if not math.isfinite(value):
            raise BadRecord(f"{name}: {place}: {value} is no finite number")
    try:
        targets = msgspec.convert(plain, Targets)
    except msgspec.ValidationError as exc:
        raise BadRecord(f"{name}: {exc}{value_at(plain, str(exc))}") from None
    _check_together(targets, name)
    return targets


def _check_together(targets: Targets, name: str) -> None:
    """What single values cannot show; raises BadRecord."""
    fleet = targets.fleet
    counts = targets.assumed.server_counts
    wrong: list[tuple[bool, str, Any, str]] = [
        (fleet.zones < fleet.regions, "fleet.zones", fleet.zones, "fewer than regions"),
        (fleet.balancers < fleet.zones, "fleet.balancers", fleet.balancers, "fewer than zones"),
        (fleet.zones < 2, "fleet.zones", fleet.zones, "none is left when one is lost"),
        (fleet.regions < 2, "fleet.regions", fleet.regions, "none is left when one is lost"),
        (
            fleet.largest_topic_listeners > fleet.connections,
            "fleet.largest_topic_listeners",
            fleet.largest_topic_listeners,
            "more than connections",
        ),
        (counts != sorted(set(counts)), "assumed.server_counts", counts, "not in rising order"),
    ]
    for is_wrong, place, value, reason in wrong:
        if is_wrong:
            raise BadRecord(f"{name}: $.{place}: {value}: {reason}")
