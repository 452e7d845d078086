"""Schema of the settings file: one dataclass per section, one field per keyword.

A field's metadata holds its parser (see `puffinford/operators/units.py`), its formatter, and the text that
`puffinford check` prints. The keyword is the field's name with dashes.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, fields
from typing import Any

from puffinford.operators import units
from puffinford.operators.units import ValueParser

MINUTE_MS = 60_000.0
HOUR_MS = 60 * MINUTE_MS
DAY_MS = 24 * HOUR_MS
MAX_LIST_AGE_MS = 2_000.0  # of a list from relays, over all tiers: see docs/design-relay.md
RELAY_ANSWER_GRACE_MS = 400.0  # a relay's own watch call is overdue this long after its wait


def _show(value: Any) -> str:
    if isinstance(value, bool):
        return "on" if value else "off"
    if isinstance(value, tuple):
        return "{}:{}".format(*value)
    return "none" if value is None else str(value)


def setting(default: Any, read: ValueParser, doc: str, show: Callable[[Any], str] = _show) -> Any:
    """Declare a field with its parser, its documentation and its formatter."""
    return field(default=default, metadata={"read": read, "doc": doc, "show": show})


def _duration(default: float, low: float, high: float, doc: str) -> Any:
    return setting(default, units.duration(low, high), doc, units.show_duration)


def _ratio(default: float, low: float, high: float, doc: str) -> Any:
    return setting(default, units.fraction(low, high), doc, units.show_fraction)


def _rate(default: float, doc: str) -> Any:
    return setting(default, units.rate(0.001, 1_000.0), doc, units.show_rate)


@dataclass(frozen=True)
class StateSettings:
    """`section state`: what is kept beyond the process. Durations in ms, sizes in bytes."""

    directory: str | None = setting(
        None, units.path, "directory of the durable store; none: no durable store"
    )
    versions: bool = setting(True, units.flag, "share learned state with the next version through TMPDIR")
    size: int = setting(4 << 20, units.size(256 << 10, 1 << 30), "maximum size of the store", units.show_size)
    write_every: float = _duration(500.0, 50.0, MINUTE_MS, "how long changes are collected before a write")
    fresh: float = _duration(
        MINUTE_MS, 0.0, DAY_MS, "a restored list up to this age is used almost like a current one"
    )
    distrust: float = _duration(
        DAY_MS, 1_000.0, 365 * DAY_MS, "a restored list above this age is tried one attempt at a time"
    )
    known_age: float = _duration(
        0.0, 0.0, 365 * DAY_MS, "the assumed age of the known list in the configuration"
    )
    patience: float = _duration(400.0, 50.0, 10_000.0, "attempt timeout at an entry of a fresh restored list")
    patience_old: float = _duration(
        150.0, 50.0, 10_000.0, "attempt timeout at an entry of an untrusted restored list"
    )
    learned_for: float = _duration(MINUTE_MS, 1_000.0, HOUR_MS, "how long learned state of a server is used")
    forget_after: float = _duration(
        DAY_MS, MINUTE_MS, 365 * DAY_MS, "how long servers that left are remembered"
    )


@dataclass(frozen=True)
class RebalanceSettings:
    """`section rebalance`: moving established connections. Durations in ms, rates in moves per second.

    `start_at` and `stop_at` are ratios to the mean load.
    """

    enabled: bool = setting(False, units.flag, "whether established connections are moved to restore balance")
    start_at: float = _ratio(
        1.25, 1.01, 10.0, "moving starts when a server is this far above or below the mean"
    )
    stop_at: float = _ratio(1.10, 1.0, 10.0, "moving stops when all servers are within this of the mean")
    settle: float = _duration(3_000.0, 0.0, HOUR_MS, "how long the imbalance must last before moving starts")
    rest: float = _duration(MINUTE_MS, 0.0, DAY_MS, "how long a moved client is not moved again")
    rest_back: float = _duration(
        10_000.0, 0.0, DAY_MS, "the same for a client that reconnected for another reason"
    )
    hold: float = _duration(2_500.0, 100.0, MINUTE_MS, "how long a slot is reserved for a moved client")
    in_time: float = _duration(1_000.0, 10.0, MINUTE_MS, "a return that takes longer reduces the rate")
    start_rate: float = _rate(1.0, "initial moves per second")
    least_rate: float = _rate(0.2, "minimum moves per second")
    most_rate: float = _rate(10.0, "maximum moves per second")
    cool: float = _duration(5_000.0, 100.0, HOUR_MS, "how long the rate does not grow after a bad signal")


@dataclass(frozen=True)
class ChannelSettings:
    """`section channels`: the channel front."""

    enabled: bool = setting(False, units.flag, "whether the channel front listens")
    listen: tuple[str, int] = setting(("127.0.0.1", 8122), units.address, "listen address, IP:PORT")


def _addresses(doc: str) -> Any:
    return setting((), units.addresses, doc, units.show_addresses)


@dataclass(frozen=True)
class DiscoverySettings:
    """`section discovery`: the source of a balancer's server list."""

    relays: tuple[tuple[str, int], ...] = _addresses("list relays, IP:PORT,IP:PORT; none: discovery itself")


@dataclass(frozen=True)
class RelaySettings:
    """`section relay`: a list relay (`puffinford relay`). Durations in ms, sizes in bytes."""

    listen: tuple[str, int] = setting(("127.0.0.1", 8124), units.address, "listen address, IP:PORT")
    upstream: tuple[tuple[str, int], ...] = _addresses("the source, or several in order of preference")
    max_age: float = _duration(
        2_000.0, 500.0, MAX_LIST_AGE_MS, "a list not confirmed within this time is not served"
    )
    upstream_age: float = _duration(
        0.0, 0.0, MAX_LIST_AGE_MS, "the max-age of the relays in upstream; 0: upstream is the source"
    )
    wait: float = _duration(500.0, 50.0, 1_000.0, "how long a watch call upstream waits for a change")
    log_entries: int = setting(4_096, units.count(1, 1_000_000), "maximum number of changes kept")
    log_bytes: int = setting(
        4 << 20, units.size(1 << 10, 1 << 30), "maximum bytes of changes kept", units.show_size
    )
    coalesce: float = _duration(100.0, 0.0, 500.0, "changes within this time are sent together")
    calls: int = setting(8_192, units.count(1, 1_000_000), "maximum number of open calls")


@dataclass(frozen=True)
class OperatorSettings:
    """All sections."""

    state: StateSettings = StateSettings()
    rebalance: RebalanceSettings = RebalanceSettings()
    channels: ChannelSettings = ChannelSettings()
    discovery: DiscoverySettings = DiscoverySettings()
    relay: RelaySettings = RelaySettings()


SECTIONS: dict[str, type[Any]] = {
    "state": StateSettings,
    "rebalance": RebalanceSettings,
    "channels": ChannelSettings,
    "discovery": DiscoverySettings,
    "relay": RelaySettings,
}


def keywords(section: str) -> dict[str, Any]:
    """The dataclass fields of a section by keyword, in order of declaration."""
    return {entry.name.replace("_", "-"): entry for entry in fields(SECTIONS[section])}
