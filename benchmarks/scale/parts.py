"""The parts of a measurement. Each is run once a seed, in a process of its own."""

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
    """Series that are measured together."""

    name: str
    series: tuple[str, ...]
    cores: float  # that it keeps busy, about, helpers among them
    measure: Measure

    def wanted(self, prefixes: tuple[str, ...]) -> bool:
        """Whether any of its series begins with any of these."""
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
_TOLD = ("list.told_p50", "list.told_p99", "list.told_last", "list.change_us")
_RESET = ("failure.reset_all_last",)


def parts(sizes: Sizes) -> list[Part]:
    """All parts at these sizes, the longest first, so that short ones fill the gaps at the end."""
    made = [
        Part("rest", _REST + _CONNECTION, 0.6, data.rest),
        Part("own_groups", _OWN_GROUPS, 1.0, module.over_own_groups),
        Part("servers", _SERVERS + _PLACE, 1.0, module.over_servers),
        Part("standing", _PLACE, 1.0, module.over_standing),
        Part("lines", _LINES, 0.8, data.lines),
        Part("control", _CONTROL + _RESTART, 0.6, control.control),
        Part("standing_bytes", ("module.standing_bytes",), 1.0, module.standing_bytes),
        Part("list_bytes", ("module.list_bytes",), 1.0, module.list_bytes),
        Part("zone", _ZONE, 1.0, failure.lost_zone),
        Part("balancers", _PLACE, 1.0, module.over_balancers),
        Part("timers", ("module.timers",), 1.0, module.over_timers),
    ]
    for number in reversed(sizes.watchers):
        busy = min(1.0, 0.1 + number / 1_000)
        for ms in sizes.service_ms:
            measure = partial(_list, number, ms)
            made.append(Part(f"list-{number}-{ms:g}", _LIST + _TOLD, busy, measure))
        for ms in sizes.reset_service_ms:
            measure = partial(_reset, number, ms)
            made.append(Part(f"reset-{number}-{ms:g}", _RESET, busy, measure))
    return made


def _list(number: int, ms: float, sizes: Sizes, seed: int) -> Iterable[Sample]:
    return lists.watches(sizes, number, ms, seed)


def _reset(number: int, ms: float, sizes: Sizes, seed: int) -> Iterable[Sample]:
    return lists.resets(sizes, number, ms, seed)
