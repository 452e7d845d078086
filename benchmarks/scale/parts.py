"""The parts of a measurement. Each part runs once for each seed, in its own process."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial

from benchmarks.scale import control, data, failure, lists, module
from benchmarks.scale.samples import Sample
from benchmarks.scale.sizes import Sizes

Measure = Callable[[Sizes, int], Iterable[Sample]]


@dataclass(frozen=True)
class Part:
    """Series that are measured together, and how."""

    name: str
    series: tuple[str, ...]
    cores: float  # approximate use, including its helper processes
    measure: Measure

    def matches(self, prefixes: tuple[str, ...]) -> bool:
        """Whether the name of any of its series starts with one of the prefixes."""
        return any(name.startswith(prefixes) for name in self.series)


_SERVERS = ("module.whole_list", "module.one_change", "module.place_after_change")
_PLACE = ("module.place", "module.place_p99")
_OWN_GROUPS = ("module.place_own_groups", "module.place_own_groups_p99")
_CONTROL = ("control.core_pct", "control.resident_mib", "control.bytes_per_s", "control.calls_per_s")
_RESTART = ("failure.restart_s", "failure.restart_cpu_s")
_REST = ("control.standing_core_pct", "control.standing_resident_mib")
_CONNECTION = ("data.connection_us", "data.connection_kib")
_LINES = ("data.line_us", "data.core_pct")
_ZONE = ("failure.zone_arrivals", "failure.zone_seconds")
_LIST = ("list.core_pct", "list.calls_per_s", "list.bytes_per_s", "list.call_us")
_PROPAGATION = ("list.told_p50", "list.told_p99", "list.told_last", "list.change_us")
_RESET = ("failure.reset_all_last",)


def parts(sizes: Sizes) -> list[Part]:
    """Return all parts, longest first so that short ones fill the remaining cores at the end."""
    found = [
        Part("rest", _REST + _CONNECTION, 0.6, data.idle_connections),
        Part("own_groups", _OWN_GROUPS, 1.0, module.over_own_groups),
        Part("servers", _SERVERS + _PLACE, 1.0, module.over_servers),
        Part("standing", _PLACE, 1.0, module.over_connections),
        Part("lines", _LINES, 0.8, data.forwarded_lines),
        Part("control", _CONTROL + _RESTART, 0.6, control.measure_idle),
        Part("standing_bytes", ("module.standing_bytes",), 1.0, module.connection_bytes),
        Part("list_bytes", ("module.list_bytes",), 1.0, module.list_bytes),
        Part("zone", _ZONE, 1.0, failure.lost_zone),
        Part("balancers", _PLACE, 1.0, module.over_balancers),
        Part("timers", ("module.timers",), 1.0, module.over_timers),
    ]
    for number in reversed(sizes.watchers):
        busy = min(1.0, 0.1 + number / 1_000)
        for ms in sizes.service_ms:
            measure = partial(_watch_part, number, ms)
            found.append(Part(f"list-{number}-{ms:g}", _LIST + _PROPAGATION, busy, measure))
        for ms in sizes.reset_service_ms:
            measure = partial(_reset_part, number, ms)
            found.append(Part(f"reset-{number}-{ms:g}", _RESET, busy, measure))
    return found


def _watch_part(number: int, ms: float, sizes: Sizes, seed: int) -> Iterable[Sample]:
    return lists.measure_watches(sizes, number, ms, seed)


def _reset_part(number: int, ms: float, sizes: Sizes, seed: int) -> Iterable[Sample]:
    return lists.measure_resets(sizes, number, ms, seed)
