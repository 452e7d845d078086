"""Typed records of the results that are committed under `benchmarks/scale/results/`.

`slopes.json` holds a `SlopeResults`, `runs.json` a `RunResults`. A file that is missing, has another schema
or contains a value out of bounds is rejected; the error names the place and the value.
"""

from __future__ import annotations

import json
import math
import os
import platform
from collections.abc import Iterator
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated, Any, TypeVar

import msgspec

SCHEMA = 1  # version of the file format
RESULTS = Path(__file__).with_name("results")
SLOPES = RESULTS / "slopes.json"
RUNS = RESULTS / "runs.json"
_GIB = 2.0**30

NotNegative = Annotated[float, msgspec.Meta(ge=0.0)]
Count = Annotated[int, msgspec.Meta(ge=0)]
Name = Annotated[str, msgspec.Meta(min_length=1)]


class BadRecord(Exception):
    """A file of results or targets is invalid; the text names the place and the value."""


class MachineInfo(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The computer on which a measurement ran."""

    cores: Annotated[int, msgspec.Meta(ge=1)]
    memory_gib: NotNegative
    python: Name
    system: Name


class Provenance(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The origin of results: computer, program and time."""

    machine: MachineInfo
    commit: Name  # of the program, with a `+` suffix if the tree had uncommitted changes
    date: Name  # ISO 8601, UTC
    remarks: str = ""  # what else ran at the same time, and other noise


class Point(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One series at one size, with a value for each run in the unit of the series."""

    series: Name  # for example `module.one_change`
    unit: Name  # for example `ms`
    inputs: dict[str, NotNegative]  # for example {"servers": 1000}
    values: Annotated[list[float], msgspec.Meta(min_length=1)]
    seeds: list[int] = []
    measured: Count = 0  # index into `SlopeResults.measured`


class Fit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A least-squares line through a series over one of its inputs.

    `residual` is the root mean square error in the unit of the series. `slope_low` and `slope_high` are the
    lowest and the highest slope of the single runs.
    """

    series: Name
    unit: Name
    over: Name  # the input that varies
    fixed: dict[str, NotNegative]  # the other inputs
    slope: float
    intercept: float
    residual: NotNegative
    low: NotNegative  # lowest and highest measured value of the input
    high: NotNegative
    runs: Annotated[int, msgspec.Meta(ge=1)]
    slope_low: float
    slope_high: float


class SlopeResults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All series with their points and fitted lines."""

    schema: int
    measured: list[Provenance]
    points: list[Point]
    fits: list[Fit]


class PropagationTimes(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Seconds from a change at the list service until balancers apply it, over all balancers and changes."""

    balancers: Count
    changes: Count
    p50_s: NotNegative
    p99_s: NotNegative
    last_s: NotNegative
    missed: Count  # balancers without the last change at the end


class ScaleRun(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One run of hollow and real balancers, connected to the list service directly or through relays."""

    story: Name
    measured: Provenance
    hollow: Count
    processes: Count
    real: Count
    relays: Count  # 0: balancers call the list service directly
    servers: Count
    seed: int
    seconds: NotNegative
    held: bool  # whether all balancers ran to the end and the clocks skipped little time
    service_ms: NotNegative  # processing time of a call at the list service
    source_calls: Count
    source_calls_per_s: NotNegative
    source_calls_peak: NotNegative  # in the busiest second
    source_bytes_per_s: NotNegative
    source_core_pct: NotNegative
    told_hollow: PropagationTimes
    told_real: PropagationTimes
    calls_per_balancer_s: NotNegative
    bytes_per_balancer_s: NotNegative
    hollow_core_pct: NotNegative  # per hollow balancer, of one core
    hollow_kib: NotNegative  # resident memory per hollow balancer
    real_core_pct: NotNegative  # per real balancer, of one core
    real_mib: NotNegative  # resident memory per real balancer
    relay_core_pct: NotNegative = 0.0  # mean of the relays, of one core
    relay_core_pct_most: NotNegative = 0.0  # maximum of the relays, of one core
    relay_mib: NotNegative = 0.0
    relay_bytes_per_s: NotNegative = 0.0  # mean of the relays, downstream
    clients_per_balancer_s: NotNegative = 0.0  # arrivals
    placed_hollow: Count = 0  # connections established by all hollow balancers
    queue_most: Count = 0  # longest queue of calls at the list service
    connections_reset: Count = 0  # by the list service
    restarts: Count = 0  # of killed hollow balancers
    late_p99_s: NotNegative = 0.0  # event loop lag of the hollow processes, included in told_hollow
    lost_part: NotNegative = 0.0  # fraction of the story that the clock of the worst hollow process skipped
    hollow_gib: NotNegative = 0.0  # resident memory of all hollow processes


class RunResults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All stored runs."""

    schema: int
    runs: list[ScaleRun]


Record = TypeVar("Record", SlopeResults, RunResults)


def this_machine() -> MachineInfo:
    """Describe the computer that this process runs on."""
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / _GIB
    python = f"{platform.python_implementation()} {platform.python_version()}"
    system = f"{platform.system()} {platform.machine()}"
    return MachineInfo(os.cpu_count() or 1, round(memory, 1), python, system)


def now_utc() -> str:
    """Return the current time for `Provenance.date`."""
    return datetime.now(UTC).isoformat(timespec="seconds")


def read(path: Path, kind: type[Record]) -> Record:
    """Read a results file; raises BadRecord with the invalid place and value."""
    return parse(_bytes_of(path), kind, path.name)


def write(path: Path, results: Record) -> None:
    """Write a results file, one value per line for readable diffs; raises BadRecord on an invalid value."""
    text = json.dumps(msgspec.to_builtins(results), indent=1, sort_keys=True) + "\n"
    parse(text.encode(), type(results), path.name)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(text)


def parse(text: bytes, kind: type[Record], name: str) -> Record:
    """Parse the contents of the file `name`; raises BadRecord."""
    try:
        plain = json.loads(text)
    except (ValueError, RecursionError) as exc:
        raise BadRecord(f"{name}: not JSON: {exc}") from None
    for place, value in numbers_in(plain, "$"):
        if not math.isfinite(value):
            raise BadRecord(f"{name}: {place}: {value} is not a finite number")
    schema = plain.get("schema") if isinstance(plain, dict) else None
    if schema != SCHEMA:
        raise BadRecord(f"{name}: $.schema: {schema!r} is not {SCHEMA}")
    try:
        return msgspec.convert(plain, kind)
    except msgspec.ValidationError as exc:
        raise BadRecord(f"{name}: {exc}{value_at(plain, str(exc))}") from None


def _bytes_of(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as exc:
        raise BadRecord(f"{path.name}: {exc.strerror}") from None


def numbers_in(plain: Any, place: str) -> Iterator[tuple[str, float]]:
    """Yield every float with its place, since the JSON parser accepts NaN and Infinity."""
    if isinstance(plain, float):
        yield place, plain
    elif isinstance(plain, dict):
        for key, value in plain.items():
            yield from numbers_in(value, f"{place}.{key}")
    elif isinstance(plain, list):
        for number, value in enumerate(plain):
            yield from numbers_in(value, f"{place}[{number}]")


def value_at(plain: Any, message: str) -> str:
    """Return the value at the place that a validation message names, or an empty text if it names none."""
    _, sign, place = message.rpartition(" - at `$")
    if not sign:
        return ""
    value = plain
    for step in place.rstrip("`").replace("[", ".").replace("]", "").split("."):
        if step == "...":  # a value of a mapping, whose key the message omits
            return ""
        if step:
            value = value[int(step)] if isinstance(value, list) else value.get(step)
    return f": {json.dumps(value)[:80]}"
