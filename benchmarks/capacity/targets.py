"""A fleet's targets and the assumptions of the capacity model, read from a TOML file."""

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
    """The size of the fleet and its load."""

    balancers: Count
    connections: Count
    shards: Count
    largest_topic_listeners: Count
    deliveries_per_s: Positive
    delivery_within_ms: Positive
    delivery_part: Fraction  # fraction of deliveries within delivery_within_ms
    regions: Count
    zones: Count


class Changes(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Rate of configuration changes and the deadline for them to take effect."""

    per_day: Positive
    in_force_within_s: Positive
    bursts: Annotated[list[Count], msgspec.Meta(min_length=1)]  # simultaneous changes in each burst


class ControlBudget(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Resource budget for control at each balancer, and the number of dedicated machines in the fleet."""

    core_pct: Positive  # percent of one core
    memory_mb: Positive
    bytes_per_s: Positive
    machines: Count


class Failures(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Expected failures per day, and the duration of a network partition between regions."""

    machines_per_day: Positive
    restarts_per_day: Positive
    apart_s: Positive


class Assumption(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A value that is neither specified nor measured, with the reason for it."""

    value: Positive
    reason: Annotated[str, msgspec.Meta(min_length=1)]


class Assumptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All assumptions. The suffix of a name is its unit; a name without one is a count or a ratio."""

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
        """All assumptions with a single value by name, in declaration order."""
        fields = {name: getattr(self, name) for name in self.__struct_fields__}
        return {name: value for name, value in fields.items() if isinstance(value, Assumption)}

    def quantity(self, name: str) -> Quantity:
        """An assumption converted to the units of the page."""
        unit, scale = unit_of(name)
        return assumed(self.single_values()[name].value * scale, unit)


class Targets(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One fleet: the contents of a targets file."""

    fleet: Fleet
    changes: Changes
    budget: ControlBudget
    failures: Failures
    assumed: Assumptions


# Suffix of an assumption's name: the unit of its quantity, and the factor that converts to it.
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
    """The unit for the suffix of a name, and the factor that converts a value to it."""
    for suffix, unit in _UNITS.items():
        if name.endswith(suffix):
            return unit
    return "", 1.0


def read_targets(path: Path) -> Targets:
    """Read a targets file; raises BadRecord with the place and the invalid value."""
    try:
        text = path.read_bytes().decode()
    except OSError as exc:
        raise BadRecord(f"{path.name}: {exc.strerror}") from None
    except UnicodeDecodeError as exc:
        raise BadRecord(f"{path.name}: byte {exc.start}: not UTF-8") from None
    return parse_targets(text, path.name)


def parse_targets(text: str, name: str) -> Targets:
    """Parse the text of a targets file; raises BadRecord. `name` is the file name for messages."""
    try:
        plain = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as exc:
        raise BadRecord(f"{name}: not TOML: {exc}") from None
    for place, value in numbers_in(plain, "$"):
        if not math.isfinite(value):
            raise BadRecord(f"{name}: {place}: {value} is not a finite number")
    try:
        targets = msgspec.convert(plain, Targets)
    except msgspec.ValidationError as exc:
        raise BadRecord(f"{name}: {exc}{value_at(plain, str(exc))}") from None
    _check_together(targets, name)
    return targets


def _check_together(targets: Targets, name: str) -> None:
    """Check constraints between values; raises BadRecord."""
    fleet = targets.fleet
    counts = targets.assumed.server_counts
    checks: list[tuple[bool, str, Any, str]] = [
        (fleet.zones < fleet.regions, "fleet.zones", fleet.zones, "fewer than regions"),
        (fleet.balancers < fleet.zones, "fleet.balancers", fleet.balancers, "fewer than zones"),
        (fleet.zones < 2, "fleet.zones", fleet.zones, "a loss leaves none"),
        (fleet.regions < 2, "fleet.regions", fleet.regions, "a loss leaves none"),
        (
            fleet.largest_topic_listeners > fleet.connections,
            "fleet.largest_topic_listeners",
            fleet.largest_topic_listeners,
            "more than connections",
        ),
        (counts != sorted(set(counts)), "assumed.server_counts", counts, "not in ascending order"),
    ]
    for is_wrong, place, value, reason in checks:
        if is_wrong:
            raise BadRecord(f"{name}: $.{place}: {value}: {reason}")
