"""`puffinford state`: look at a store, move it, mend it."""

from __future__ import annotations

import json
import os
import time
from pathlib import Path
from typing import Any

import click
import msgspec

from puffinford.cli import FILE, fail, json_option, settings_option
from puffinford.operators import BadSettings, load_settings
from puffinford.operators.schema import StateSettings
from puffinford.operators.units import show_duration, show_size
from puffinford.state import records, store
from puffinford.state.keeper import store_file, trust_settings
from puffinford.state.records import HealthRecord, ListRecord, ServerRecord, StoreContents
from puffinford.state.trust import age, trust_level
from puffinford.text_table import format_table

FORMAT = "puffinford-state"


class Exported(msgspec.Struct):
    """A store as JSON: what `export` writes and `import` reads. Times are Unix ms."""

    format: str
    schema: int
    version: int
    confirmed: float
    servers: list[tuple[float, ServerRecord]]
    health: list[tuple[float, HealthRecord]]


def _names(command: Any) -> Any:
    """The options that say which store is meant."""
    command = click.option(
        "--name", default="", envvar="EDGE_NAME", metavar="NAME", help="The balancer's name [EDGE_NAME]."
    )(command)
    command = click.option(
        "--file", type=FILE, metavar="FILE", help="The store's file; by default where the settings have it."
    )(command)
    return settings_option(command)


def _place(settings: Path, file: Path | None, name: str) -> tuple[Path, StateSettings]:
    try:
        told = load_settings(settings).settings.state
    except BadSettings as exc:
        fail(str(exc))
        raise
    if file is not None:
        return file, told
    place = store_file(told, os.environ.get("TMPDIR"), name)
    if place is None:
        fail("no store: neither `directory` of section state nor TMPDIR is set; name one with --file")
        raise AssertionError
    return place[0], told


def _inspect(path: Path) -> StoreContents:
    try:
        return store.inspect(path)
    except store.StoreError as exc:
        fail(str(exc), 1)
        raise


@click.group()
def state() -> None:
    """The store of what outlives the process: the machine list, and what was learned of each server."""


def _when(unix_ms: float) -> str:
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(unix_ms / 1_000.0)) if unix_ms else "-"


def _old(unix_ms: float, now: float) -> str:
    return show_duration(round(max(0.0, now - unix_ms), -3)) if unix_ms <= now else "ahead"


@state.command()
@_names
@json_option
def show(settings: Path, file: Path | None, name: str, as_json: bool) -> None:
    """Print the list with its age and trust, and what was learned of each server."""
    path, told = _place(settings, file, name)
    stored = _inspect(path)
    now = time.time() * 1_000.0
    level = (
        trust_level(age(stored.confirmed_at, now), trust_settings(told)) if stored.entry_count >= 0 else 0.0
    )
    rows = []
    for ident, (server, confirmed) in sorted(stored.servers.items()):
        health = stored.health.get(ident)
        rows.append(
            (
                ident,
                server.state,
                f"{server.host}:{server.port}",
                server.front,
                server.zone or "-",
                server.version,
                _old(confirmed, now),
                _learned(health[0], now) if health else "-",
            )
        )
    heads = ("server", "state", "address", "front", "zone", "version", "unchanged", "learned")
    if as_json:
        told_list = {
            "file": str(path),
            "version": stored.version,
            "confirmed_ms": stored.confirmed_at,
            "trust": round(level, 3),
            "whole": stored.is_complete,
            "rejected": stored.rejected,
            "servers": [dict(zip(heads, row, strict=True)) for row in rows],
        }
        click.echo(json.dumps(told_list, indent=1))
        return
    click.echo(
        f"{path}: version {stored.version}, confirmed {_when(stored.confirmed_at)}"
        f" ({_old(stored.confirmed_at, now)} ago), trust {level:.2f},"
        f" {stored.listed_count} listed, {len(stored.servers) - stored.listed_count} left"
    )
    for text in stored.rejected:
        click.echo(f"rejected {text}")
    if rows:
        click.echo(format_table(heads, rows))


def _learned(health: HealthRecord, now: float) -> str:
    parts = []
    if health.failures:
        parts.append(f"down after {health.failures} failures")
    if health.slow_until > now:
        parts.append(f"slow ({health.delay:.0f}ms a message)")
    if health.capacity_estimate >= 0:
        parts.append(f"room {health.capacity_estimate:.1f}")
    if health.cold_since:
        parts.append(f"cold since {_when(health.cold_since)}")
    return ", ".join(parts) or "-"


@state.command()
@_names
@click.argument("to", type=click.File("w"), default="-")
def export(settings: Path, file: Path | None, name: str, to: Any) -> None:
    """Write the store as JSON to a file, or to standard output."""
    path, _ = _place(settings, file, name)
    stored = _inspect(path)
    made = Exported(
        FORMAT,
        records.SCHEMA,
        stored.version,
        stored.confirmed_at,
        [(confirmed, record) for record, confirmed in stored.servers.values()],
        [(confirmed, record) for record, confirmed in stored.health.values()],
    )
    to.write(msgspec.json.format(msgspec.json.encode(made), indent=1).decode() + "\n")


@state.command("import")
@_names
@click.argument("source", type=click.File("rb"))
def import_(settings: Path, file: Path | None, name: str, source: Any) -> None:
    """Replace the store by an exported one. The balancer must not run."""
    path, told = _place(settings, file, name)
    try:
        read = msgspec.json.decode(source.read(), type=Exported)
        if read.format != FORMAT or read.schema > records.SCHEMA:
            raise ValueError(f"format {read.format!r} with schema {read.schema} is not one of ours")
    except (msgspec.MsgspecError, ValueError) as exc:
        return fail(f"{source.name}: {exc}")
    pairs = [_pair(records.server_key(record.id), record, at) for at, record in read.servers]
    pairs += [_pair(records.health_key(record.id), record, at) for at, record in read.health]
    listed = sum(record.state != "left" for _, record in read.servers)
    pairs.append(_pair(records.LIST_KEY, ListRecord(read.version, listed), read.confirmed))
    try:
        with store.exclusive_writer(path):
            store.replace_store(pairs, path, told.size)
    except store.StoreError as exc:
        return fail(str(exc), 1)
    click.echo(f"{path}: {len(read.servers)} servers, {len(read.health)} learned")


def _pair(key: bytes, record: records.Record, confirmed: float) -> tuple[bytes, bytes]:
    return key, records.encode(key, record, confirmed)


@state.command()
@_names
@json_option
def verify(settings: Path, file: Path | None, name: str, as_json: bool) -> None:
    """Read every record. Exit code 1 where one cannot be used."""
    path, _ = _place(settings, file, name)
    stored = _inspect(path)
    wrong = list(stored.rejected)
    if stored.newer_schema:
        wrong.append(f"records of schema {stored.newer_schema}, newer than {records.SCHEMA}")
    if stored.entry_count >= 0 and not stored.is_complete:
        wrong.append(f"{stored.entry_count} servers were listed, {stored.listed_count} are there")
    if as_json:
        counts = {"servers": len(stored.servers), "learned": len(stored.health)}
        click.echo(json.dumps({"file": str(path), "sound": not wrong, "wrong": wrong, **counts}, indent=1))
        return fail("", 1) if wrong else None
    if wrong:
        return fail("\n".join(f"{path}: {text}" for text in wrong), 1)
    free = show_size(store.free_bytes(path) // (1 << 20) * (1 << 20))
    click.echo(f"{path}: sound; {len(stored.servers)} servers, {len(stored.health)} learned; {free} free")


@state.command()
@_names
def compact(settings: Path, file: Path | None, name: str) -> None:
    """Make the store anew from its sound records. The balancer must not run."""
    path, told = _place(settings, file, name)
    if not path.exists():
        return fail(f"{path}: no such store", 1)
    before = path.stat().st_size
    try:
        with store.exclusive_writer(path):
            rebuilt = store.rebuild(path, told.size)
    except (store.StoreError, OSError) as exc:
        return fail(str(exc), 1)
    if rebuilt is not None:
        fail(
            f"{path}: {rebuilt.verdict.name.lower()}: {rebuilt.reason} {rebuilt.quarantined_path}".rstrip(), 1
        )
    click.echo(f"{path}: {show_size(before)} before, {show_size(path.stat().st_size)} now")
