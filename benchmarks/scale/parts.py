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
    series: tuple[str, ...]  # whose names begin with one of these
    cores: float  # that it keeps busy, about, helpers among them
    measure: Measure

    def wanted(self, prefix: str) -> bool:
        """Whether any of its series may begin with `prefix`."""
        return any(name.startswith(prefix) or prefix.startswith(name) for name in self.series)


_ZONE = ("failure.zone_arrivals", "failure.zone_seconds")
_CONTROL = ("control.core_pct", "control.resident_mib", "control.bytes_per_s", "control.calls_per_s")
_REST = ("control.standing_", "data.connection_")


def parts(sizes: Sizes) -> list[Part]:
    """All parts at these sizes, the longest first, so that short ones fill the gaps at the end."""
    made = [
        Part("rest", _REST, 0.6, data.rest),
        Part("own_groups", ("module.place_own_groups",), 1.0, module.over_own_groups),
        Part("servers", ("module.",), 1.0, module.over_servers),
        Part("standing", ("module.place",), 1.0, module.over_standing),
        Part("lines", ("data.line_us", "data.core_pct"), 0.8, data.lines),
        Part("control", (*_CONTROL, "failure.restart_"), 0.6, control.control),
        Part("standing_bytes", ("module.standing_bytes",), 1.0, module.standing_bytes),
        Part("list_bytes", ("module.list_bytes",), 1.0, module.list_bytes),
        Part("zone", _ZONE, 1.0, failure.lost_zone),
        Part("balancers", ("module.place",), 1.0, module.over_balancers),
        Part("timers", ("module.timers",), 1.0, module.over_timers),
    ]
    for number in reversed(sizes.watchers):
        busy = min(1.0, 0.1 + number / 1_000)
        for ms in sizes.service_ms:
            measure = partial(_list, number, ms)
            made.append(Part(f"list-{number}-{ms:g}", ("list.",), busy, measure))
        for ms in sizes.reset_service_ms:
            measure = partial(_reset, number, ms)
            made.append(Part(f"reset-{number}-{ms:g}", ("failure.reset_all_last",), busy, measure))
    return made


def _list(number: int, ms: float, sizes: Sizes, seed: int) -> Iterable[Sample]:
    return lists.watches(sizes, number, ms, seed)


def _reset(number: int, ms: float, sizes: Sizes, seed: int) -> Iterable[Sample]:
    return lists.resets(sizes, number, ms, seed)
