"""What can be set in the operators' file: a dataclass a section, a field a keyword.

A field's metadata holds its reader (`puffinford/operators/units.py`), how its value is shown, and a line for
`puffinford check`. The keyword is the field's name with dashes. Defaults are what the platform runs with.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, fields
from typing import Any

from puffinford.operators import units
from puffinford.operators.units import Reader

MIN = 60_000.0
HOUR = 60 * MIN
DAY = 24 * HOUR
LIST_AGE_MOST = 2_000.0  # of a list from relays, all tiers together: docs/design-relay.md has the budget
RELAY_ANSWER_GRACE_MS = 400.0  # a relay's own watch without an answer is late so long after its wait


def _show(value: Any) -> str:
    if isinstance(value, bool):
        return "on" if value else "off"
    if isinstance(value, tuple):
        return "{}:{}".format(*value)
    return "none" if value is None else str(value)


def setting(default: Any, read: Reader, doc: str, show: Callable[[Any], str] = _show) -> Any:
    """A field with its keyword's reader and a line of documentation."""
    return field(default=default, metadata={"read": read, "doc": doc, "show": show})


def _time(default: float, low: float, high: float, doc: str) -> Any:
    return setting(default, units.duration(low, high), doc, units.show_duration)


def _part(default: float, low: float, high: float, doc: str) -> Any:
    return setting(default, units.share(low, high), doc, units.show_share)


def _rate(default: float, doc: str) -> Any:
    return setting(default, units.rate(0.001, 1_000.0), doc, units.show_rate)


@dataclass(frozen=True)
class StateSettings:
    """`section state`: what outlives the process. Durations in ms, sizes in bytes."""

    directory: str | None = setting(None, units.path, "where the store is kept for good; none: nowhere")
    versions: bool = setting(True, units.flag, "share what is learned with the next version through TMPDIR")
    size: int = setting(
        4 << 20, units.size(256 << 10, 1 << 30), "the store never grows past this", units.show_size
    )
    write_every: float = _time(500.0, 50.0, MIN, "changes are gathered for so long before a write")
    fresh: float = _time(MIN, 0.0, DAY, "a list no older is used almost as if told now")
    distrust: float = _time(DAY, 1_000.0, 365 * DAY, "a list older than this is tried one claim at a time")
    known_age: float = _time(0.0, 0.0, 365 * DAY, "the age that the configuration's known list is given")
    patience: float = _time(400.0, 50.0, 10_000.0, "for a claim at an entry of a fresh list")
    patience_old: float = _time(150.0, 50.0, 10_000.0, "for a claim at an entry of a list of no trust")
    learned_for: float = _time(MIN, 1_000.0, HOUR, "what was learned of a server counts no longer than this")
    forget_after: float = _time(DAY, MIN, 365 * DAY, "servers that left are remembered for so long")


@dataclass(frozen=True)
class RebalanceSettings:
    """`section rebalance`: moving standing connections. Ratios to the mean, rates in moves a second, times in
    ms.
    """

    enabled: bool = setting(False, units.flag, "whether standing connections are moved towards balance")
    start_at: float = _part(1.25, 1.01, 10.0, "a server so far over the mean, or under it: moving starts")
    stop_at: float = _part(1.10, 1.0, 10.0, "all within so much of it: it stops")
    settle: float = _time(3_000.0, 0.0, HOUR, "out of balance for so long before it starts")
    rest: float = _time(MIN, 0.0, DAY, "a client that was moved is left alone for so long")
    rest_back: float = _time(10_000.0, 0.0, DAY, "one that came back for another reason, for so long")
    hold: float = _time(2_500.0, 100.0, MIN, "a place is kept so long for a moved client's return")
    in_time: float = _time(1_000.0, 10.0, MIN, "a return that takes longer slows the pace")
    start_rate: float = _rate(1.0, "moves a second to begin with")
    least_rate: float = _rate(0.2, "moves a second, whatever the signals")
    most_rate: float = _rate(10.0, "moves a second at most")
    cool: float = _time(5_000.0, 100.0, HOUR, "no growth for so long after a bad signal")


@dataclass(frozen=True)
class ChannelSettings:
    """`section channels`: the channel front."""

    enabled: bool = setting(False, units.flag, "whether the channel front listens")
    listen: tuple[str, int] = setting(("127.0.0.1", 8122), units.address, "IP:PORT where it listens")


def _addresses(doc: str) -> Any:
    return setting((), units.addresses, doc, units.show_addresses)


@dataclass(frozen=True)
class DiscoverySettings:
    """`section discovery`: where a balancer's server list comes from."""

    relays: tuple[tuple[str, int], ...] = _addresses("IP:PORT,IP:PORT of list relays; none: discovery itself")


@dataclass(frozen=True)
class RelaySettings:
    """`section relay`: a list relay (`puffinford relay`). Durations in ms, sizes in bytes."""

    listen: tuple[str, int] = setting(("127.0.0.1", 8124), units.address, "IP:PORT where it listens")
    upstream: tuple[tuple[str, int], ...] = _addresses("the source, or several in order of preference")
    max_age: float = _time(2_000.0, 500.0, LIST_AGE_MOST, "a list not confirmed for so long is not served")
    upstream_age: float = _time(0.0, 0.0, LIST_AGE_MOST, "the max-age of what upstream names; 0: the source")
    wait: float = _time(500.0, 50.0, 1_000.0, "how long its own watch waits upstream")
    log_entries: int = setting(4_096, units.count(1, 1_000_000), "changes that are kept at most")
    log_bytes: int = setting(4 << 20, units.size(1 << 10, 1 << 30), "bytes of them at most", units.show_size)
    coalesce: float = _time(100.0, 0.0, 500.0, "changes that come within so long are sent together")
    calls: int = setting(8_192, units.count(1, 1_000_000), "calls open at once at most")


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
    """The fields of a section by keyword, in their order."""
    return {entry.name.replace("_", "-"): entry for entry in fields(SECTIONS[section])}
