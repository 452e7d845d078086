"""What a balancer is told at its start, from the environment and the file that it names."""

from __future__ import annotations

import json
import logging
import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from puffinford.codec import WireError, absent_settings, decode_settings
from puffinford.core.start_times import StartTimes
from puffinford.core.values import ServerEntries
from puffinford.interface import Settings
from puffinford.operators import DEFAULT_FILE, BadSettings, OperatorSettings, load_settings
from puffinford.server_list.entries import BadEntry, parse_address, parse_server_list

log = logging.getLogger(__name__)


class BadConfig(Exception):
    """The configuration cannot be used; the text says where and why."""


@dataclass(frozen=True)
class Limits:
    """What the platform allows. The program counts its descriptors; the rest is kept by its bounds."""

    cores: float = 1.0
    memory_mb: float = 192.0
    sockets: int = 1_024


@dataclass(frozen=True)
class Config:
    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int] | None
    seed: int
    settings: Settings
    known: ServerEntries | None
    inventory: Path | None = None
    limits: Limits = Limits()
    operators: OperatorSettings = field(default_factory=OperatorSettings)
    mgmt: tuple[str, int] | None = None  # the second address
    socket_fd: int | None = None  # the platform's listening socket, where it holds one
    state: str | None = None  # the directory that the versions of this balancer share
    absent: Mapping[str, str] = field(default_factory=dict)  # settings not told, with what stands for each

    @property
    def channels(self) -> tuple[str, int] | None:
        """Where the channel front listens; None where it is off."""
        return self.operators.channels.listen if self.operators.channels.enabled else None


def _reject(text: str) -> None:
    log.warning("known entry rejected", extra={"error": text})


def _address(told: Mapping[str, Any], name: str) -> tuple[str, int] | None:
    text = told.get(name)
    if text is None:
        return None
    if not isinstance(text, str):
        raise BadConfig(f"{name}: no text")
    try:
        return parse_address(text)
    except BadEntry as exc:
        raise BadConfig(f"{name}: {exc}") from None


def _limits(told: object) -> Limits:
    """The limits that are told, the rest as they are by default."""
    if told is None:
        return Limits()
    if not isinstance(told, dict):
        raise BadConfig("limits: not an object")
    values: dict[str, float] = {}
    for name in ("cores", "memory_mb", "sockets"):
        value = told.get(name)
        if value is None:
            continue
        if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < math.inf:
            raise BadConfig(f"limits.{name}: no number above 0")
        values[name] = value
    sockets = int(values.pop("sockets", Limits.sockets))
    return Limits(sockets=sockets, **values)


def load(
    env: Mapping[str, str],
    starts: StartTimes,
    inventory: Path | None = None,
    operators: Path = DEFAULT_FILE,
    *,
    again: bool = False,
) -> Config:
    """The configuration; `again` when it is read anew: the file is newer than the environment then."""
    path = env.get("EDGE_CONFIG")
    if not path:
        raise BadConfig("EDGE_CONFIG names no file")
    try:
        told = json.loads(Path(path).read_bytes())
    except (OSError, ValueError, RecursionError) as exc:
        raise BadConfig(f"{path}: {exc}") from None
    if not isinstance(told, dict):
        raise BadConfig(f"{path}: not an object")
    for name in ("name", "listen", "discovery"):
        # Guards a reload against the address that the process was started with: the file has moved on.
        if env.get(f"EDGE_{name.upper()}") and not (again and name in told):
            told[name] = env[f"EDGE_{name.upper()}"]
    if env.get("EDGE_MGMT"):
        # Guards the second address of a new version, which the file of both versions cannot tell.
        told["mgmt"] = env["EDGE_MGMT"]
    listen = _address(told, "listen")
    if listen is None:
        raise BadConfig("listen: missing")
    if not isinstance(told.get("settings"), dict):
        raise BadConfig("settings: missing")
    try:
        settings = decode_settings(told["settings"])
    except (WireError, ValueError) as exc:
        raise BadConfig(str(exc)) from None
    seed = told.get("seed", 0)
    try:
        number = int(seed, 16) if isinstance(seed, str) else int(seed)
    except (ValueError, TypeError, OverflowError):
        raise BadConfig("seed: no number") from None
    known = None
    if told.get("known") is not None:
        try:
            known = parse_server_list(
                told["known"],
                starts,
                lambda text: log.warning("known entry rejected", extra={"error": text}),
            )
        except BadEntry as exc:
            raise BadConfig(f"known: {exc}") from None
    discovery = _address(told, "discovery")
    if discovery is None and inventory is None:
        raise BadConfig("discovery: missing, and no inventory is given")
    name = str(told.get("name", ""))
    limits = _limits(told.get("limits"))
    mgmt = _address(told, "mgmt")
    try:
        told_by_operators = load_settings(operators).settings
    except BadSettings as exc:
        raise BadConfig(str(exc)) from None
    return Config(
        name,
        listen,
        discovery,
        number,
        settings,
        known,
        inventory,
        limits,
        told_by_operators,
        mgmt,
        _descriptor(env.get("EDGE_SOCKET_FD")),
        env.get("TMPDIR") or None,
        absent_settings(told["settings"]),
    )


def _descriptor(text: str | None) -> int | None:
    if not text:
        return None
    if not text.isascii() or not text.isdigit():
        raise BadConfig("EDGE_SOCKET_FD: no descriptor")
    return int(text)
