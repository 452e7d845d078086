"""`puffinford state`: show, export, import, verify and compact the store of a balancer's state."""

from __future__ import annotations

import json
import os
import time
from pathlib import Path
from typing import Any

import click
import msgspec

from puffinford.cli import FILE_TYPE, fail, json_option, settings_option
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
    """The JSON document that `export` writes and `import` reads. Times are Unix ms."""

    format: str
    schema: int
    version: int
    confirmed: float
    servers: list[tuple[float, ServerRecord]]
    health: list[tuple[float, HealthRecord]]


def _store_options(command: Any) -> Any:
    """Add the options that select a store."""
    command = click.option(
        "--name", default="", envvar="EDGE_NAME", metavar="NAME", help="The balancer's name [EDGE_NAME]."
    )(command)
    command = click.option(
        "--file",
        type=FILE_TYPE,
        metavar="FILE",
        help="The store's file; by default, the one in the settings.",
    )(command)
    return settings_option(command)


def _locate_store(settings: Path, file: Path | None, name: str) -> tuple[Path, StateSettings]:
    """Return the store's path and the settings of `section state`; exit with an error if there are none."""
    try:
        state_settings = load_settings(settings).settings.state
    except BadSettings as exc:
        fail(str(exc))
        raise
    if file is not None:
        return file, state_settings
    location = store_file(state_settings, os.environ.get("TMPDIR"), name)
    if location is None:
        fail("no store: neither `directory` of section state nor TMPDIR is set; name one with --file")
        raise AssertionError
    return location[0], state_settings


def _read_store(path: Path) -> StoreContents:
    """Read a store without opening it for writing; exit with an error if it cannot be read."""
    try:
        return store.inspect(path)
    except store.StoreError as exc:
        fail(str(exc), 1)
        raise


@click.group()
def state() -> None:
    """The store of state kept across restarts: the server list and the health of each server."""


def _format_time(unix_ms: float) -> str:
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(unix_ms / 1_000.0)) if unix_ms else "-"


def _format_age(unix_ms: float, now: float) -> str:
    return show_duration(round(max(0.0, now - unix_ms), -3)) if unix_ms <= now else "ahead"


@state.command()
@_store_options
@json_option
def show(settings: Path, file: Path | None, name: str, as_json: bool) -> None:
    """Print the server list with its age and trust, and the health of each server."""
    path, state_settings = _locate_store(settings, file, name)
    stored = _read_store(path)
    now = time.time() * 1_000.0
    level = (
        trust_level(age(stored.confirmed_at, now), trust_settings(state_settings))
        if stored.entry_count >= 0
        else 0.0
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
                _format_age(confirmed, now),
                _describe_health(health[0], now) if health else "-",
            )
        )
    columns = ("server", "state", "address", "front", "zone", "version", "unchanged", "learned")
    if as_json:
        document = {
            "file": str(path),
            "version": stored.version,
            "confirmed_ms": stored.confirmed_at,
            "trust": round(level, 3),
            "whole": stored.is_complete,
            "rejected": stored.rejected,
            "servers": [dict(zip(columns, row, strict=True)) for row in rows],
        }
        click.echo(json.dumps(document, indent=1))
        return
    click.echo(
        f"{path}: version {stored.version}, confirmed {_format_time(stored.confirmed_at)}"
        f" ({_format_age(stored.confirmed_at, now)} ago), trust {level:.2f},"
        f" {stored.listed_count} listed, {len(stored.servers) - stored.listed_count} left"
    )
    for text in stored.rejected:
        click.echo(f"rejected {text}")
    if rows:
        click.echo(format_table(columns, rows))


def _describe_health(health: HealthRecord, now: float) -> str:
    """Describe what was learned of a server, in words."""
    parts = []
    if health.failures:
        parts.append(f"down after {health.failures} failures")
    if health.slow_until > now:
        parts.append(f"slow ({health.delay:.0f}ms a message)")
    if health.capacity_estimate >= 0:
        parts.append(f"capacity {health.capacity_estimate:.1f}")
    if health.cold_since:
        parts.append(f"cold since {_format_time(health.cold_since)}")
    return ", ".join(parts) or "-"


@state.command()
@_store_options
@click.argument("to", type=click.File("w"), default="-")
def export(settings: Path, file: Path | None, name: str, to: Any) -> None:
    """Export the store as JSON to a file, or to standard output."""
    path, _ = _locate_store(settings, file, name)
    stored = _read_store(path)
    document = Exported(
        FORMAT,
        records.SCHEMA,
        stored.version,
        stored.confirmed_at,
        [(confirmed, record) for record, confirmed in stored.servers.values()],
        [(confirmed, record) for record, confirmed in stored.health.values()],
    )
    to.write(msgspec.json.format(msgspec.json.encode(document), indent=1).decode() + "\n")


@state.command("import")
@_store_options
@click.argument("source", type=click.File("rb"))
def import_(settings: Path, file: Path | None, name: str, source: Any) -> None:
    """Replace the store with an exported one. The balancer must not be running."""
    path, state_settings = _locate_store(settings, file, name)
    try:
        document = msgspec.json.decode(source.read(), type=Exported)
        if document.format != FORMAT or document.schema > records.SCHEMA:
            raise ValueError(f"format {document.format!r} with schema {document.schema} is not supported")
    except (msgspec.MsgspecError, ValueError) as exc:
        return fail(f"{source.name}: {exc}")
    pairs = [
        _pair(records.server_key(record.id), record, confirmed) for confirmed, record in document.servers
    ]
    pairs += [
        _pair(records.health_key(record.id), record, confirmed) for confirmed, record in document.health
    ]
    listed = sum(record.state != "left" for _, record in document.servers)
    pairs.append(_pair(records.LIST_KEY, ListRecord(document.version, listed), document.confirmed))
    try:
        with store.exclusive_writer(path):
            store.replace_store(pairs, path, state_settings.size)
    except store.StoreError as exc:
        return fail(str(exc), 1)
    click.echo(f"{path}: {len(document.servers)} servers, {len(document.health)} learned")


def _pair(key: bytes, record: records.Record, confirmed: float) -> tuple[bytes, bytes]:
    return key, records.encode(key, record, confirmed)


@state.command()
@_store_options
@json_option
def verify(settings: Path, file: Path | None, name: str, as_json: bool) -> None:
    """Check every record of the store. The exit code is 1 if one is unusable."""
    path, _ = _locate_store(settings, file, name)
    stored = _read_store(path)
    faults = list(stored.rejected)
    if stored.newer_schema:
        faults.append(f"records of schema {stored.newer_schema}, newer than {records.SCHEMA}")
    if stored.entry_count >= 0 and not stored.is_complete:
        faults.append(f"{stored.entry_count} servers were listed, {stored.listed_count} are there")
    if as_json:
        counts = {"servers": len(stored.servers), "learned": len(stored.health)}
        click.echo(json.dumps({"file": str(path), "sound": not faults, "wrong": faults, **counts}, indent=1))
        return fail("", 1) if faults else None
    if faults:
        return fail("\n".join(f"{path}: {text}" for text in faults), 1)
    free = show_size(store.free_bytes(path) // (1 << 20) * (1 << 20))
    click.echo(f"{path}: sound; {len(stored.servers)} servers, {len(stored.health)} learned; {free} free")


@state.command()
@_store_options
def compact(settings: Path, file: Path | None, name: str) -> None:
    """Rewrite the store from its valid records. The balancer must not be running."""
    path, state_settings = _locate_store(settings, file, name)
    if not path.exists():
        return fail(f"{path}: no such store", 1)
    size_before = path.stat().st_size
    try:
        with store.exclusive_writer(path):
            rebuilt = store.rebuild(path, state_settings.size)
    except (store.StoreError, OSError) as exc:
        return fail(str(exc), 1)
    if rebuilt is not None:
        fail(
            f"{path}: {rebuilt.verdict.name.lower()}: {rebuilt.reason} {rebuilt.quarantined_path}".rstrip(), 1
        )
    click.echo(f"{path}: {show_size(size_before)} before, {show_size(path.stat().st_size)} now")
