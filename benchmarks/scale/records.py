"""Typed records of what was measured, as they are committed under `benchmarks/scale/results/`.

`slopes.json` holds a `SlopeResults`, `runs.json` a `RunResults`. A file that is missing, of another schema or
holds a value out of its bounds is refused with its place and value.
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

SCHEMA = 1  # of the files; one of another number is refused
RESULTS = Path(__file__).with_name("results")
SLOPES = RESULTS / "slopes.json"
RUNS = RESULTS / "runs.json"
_GIB = 2.0**30

NotNegative = Annotated[float, msgspec.Meta(ge=0.0)]
Count = Annotated[int, msgspec.Meta(ge=0)]
Name = Annotated[str, msgspec.Meta(min_length=1)]


class BadRecord(Exception):
    """A file of results or targets cannot be used; the text names place and value."""


class MachineInfo(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The machine that was measured on."""

    cores: Annotated[int, msgspec.Meta(ge=1)]
    memory_gib: NotNegative
    python: Name
    system: Name


class Provenance(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where figures come from: machine, program and moment."""

    machine: MachineInfo
    commit: Name  # of the program; with `+` behind it where the tree held changes beside it
    date: Name  # ISO 8601, UTC
    remarks: str = ""  # what else ran on the machine, and other noise


class Point(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One series measured at one size: a value for each run, in the series' unit."""

    series: Name  # for example `module.one_change`
    unit: Name  # for example `ms`
    inputs: dict[str, NotNegative]  # for example {"servers": 1000}
    values: Annotated[list[float], msgspec.Meta(min_length=1)]
    seeds: list[int] = []
    measured: Count = 0  # its place in the results' `measured`: which machine, program and moment


class Fit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A straight line by least squares through a series, over one of its inputs.

    `residual` is the root of the mean squared difference from the points, in the series' unit; `slope_low`
    and `slope_high` are the least and greatest slope of the single runs.
    """

    series: Name
    unit: Name
    over: Name  # the input that varies
    fixed: dict[str, NotNegative]  # the other inputs
    slope: float
    intercept: float
    residual: NotNegative
    low: NotNegative  # the range of the input that was measured
    high: NotNegative
    runs: Annotated[int, msgspec.Meta(ge=1)]
    slope_low: float
    slope_high: float


class SlopeResults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All series with their points and lines."""

    schema: int
    measured: list[Provenance]
    points: list[Point]
    fits: list[Fit]


class PropagationTimes(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Seconds from a change at the list service until it is in force, over balancers and changes."""

    balancers: Count
    changes: Count
    p50_s: NotNegative
    p99_s: NotNegative
    last_s: NotNegative
    missed: Count  # balancers that did not have the last change at the end


class ScaleRun(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One run of hollow balancers beside real ones, directly at the list service or behind relays."""

    story: Name
    measured: Provenance
    hollow: Count
    processes: Count
    real: Count
    relays: Count  # 0: every balancer asks the list service itself
    servers: Count
    seed: int
    seconds: NotNegative
    held: bool  # whether all balancers ran to the end
    service_ms: NotNegative  # that the list service takes for a call
    source_calls: Count
    source_calls_per_s: NotNegative
    source_calls_peak: NotNegative  # in any one second
    source_bytes_per_s: NotNegative
    source_core_pct: NotNegative
    told_hollow: PropagationTimes
    told_real: PropagationTimes
    calls_per_balancer_s: NotNegative
    bytes_per_balancer_s: NotNegative
    hollow_core_pct: NotNegative  # a hollow balancer, of one core
    hollow_kib: NotNegative  # of resident memory a hollow balancer
    real_core_pct: NotNegative  # a real balancer, of one core
    real_mib: NotNegative  # of resident memory a real balancer
    relay_core_pct: NotNegative = 0.0  # the mean relay, of one core
    relay_core_pct_most: NotNegative = 0.0
    relay_mib: NotNegative = 0.0
    relay_bytes_per_s: NotNegative = 0.0  # the mean relay, downstream
    clients_per_balancer_s: NotNegative = 0.0  # that arrive
    placed_hollow: Count = 0  # clients brought up at all hollow balancers
    queue_most: Count = 0  # calls that waited for their turn at the list service together
    connections_reset: Count = 0  # by the list service
    restarts: Count = 0  # of hollow balancers that were killed
    late_p99_s: NotNegative = 0.0  # of the hollow processes' own loops: part of what they were told late by
    lost_part: NotNegative = 0.0  # of the story, that the clock of the worst hollow process did not count
    hollow_gib: NotNegative = 0.0  # resident memory of all hollow processes


class RunResults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All runs that a page may quote."""

    schema: int
    runs: list[ScaleRun]


Record = TypeVar("Record", SlopeResults, RunResults)


def this_machine() -> MachineInfo:
    """The machine that this process runs on."""
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / _GIB
    python = f"{platform.python_implementation()} {platform.python_version()}"
    system = f"{platform.system()} {platform.machine()}"
    return MachineInfo(os.cpu_count() or 1, round(memory, 1), python, system)


def now_utc() -> str:
    """The present moment for `Provenance.date`."""
    return datetime.now(UTC).isoformat(timespec="seconds")


def read(path: Path, kind: type[Record]) -> Record:
    """A file of results; raises BadRecord with the place and the value that are wrong."""
    return parse(_bytes_of(path), kind, path.name)


def write(path: Path, results: Record) -> None:
    """Write a file of results, a value a line so that changes can be read; raises BadRecord on a bad one."""
    text = json.dumps(msgspec.to_builtins(results), indent=1, sort_keys=True) + "\n"
    parse(text.encode(), type(results), path.name)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(text)


def parse(text: bytes, kind: type[Record], name: str) -> Record:
    """The results that a file of this name holds; raises BadRecord."""
    try:
        plain = json.loads(text)
    except (ValueError, RecursionError) as exc:
        raise BadRecord(f"{name}: not JSON: {exc}") from None
    for place, value in numbers_in(plain, "$"):
        if not math.isfinite(value):
            raise BadRecord(f"{name}: {place}: {value} is no finite number")
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
    """Every floating-point number with its place, for JSON's reader takes NaN and Infinity."""
    if isinstance(plain, float):
        yield place, plain
    elif isinstance(plain, dict):
        for key, value in plain.items():
            yield from numbers_in(value, f"{place}.{key}")
    elif isinstance(plain, list):
        for number, value in enumerate(plain):
            yield from numbers_in(value, f"{place}[{number}]")


def value_at(plain: Any, message: str) -> str:
    """The value at the place that a validation message names, where it names one."""
    _, sign, place = message.rpartition(" - at `$")
    if not sign:
        return ""
    value = plain
    for step in place.rstrip("`").replace("[", ".").replace("]", "").split("."):
        if step == "...":  # the place stands for a value of a mapping, whose key is not told
            return ""
        if step:
            value = value[int(step)] if isinstance(value, list) else value.get(step)
    return f": {json.dumps(value)[:80]}"
