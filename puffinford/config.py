"""Reads the balancer's configuration from the environment and the file that EDGE_CONFIG names."""

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
from puffinford.regular_file import read_regular_file
from puffinford.server_list.entries import BadEntry, parse_address, parse_server_list

log = logging.getLogger(__name__)

MAX_FILE_BYTES = 4 << 20  # as for an answer of discovery, which `known` may hold


class BadConfig(Exception):
    """Raised for an unusable configuration; the message names the field and the fault."""


@dataclass(frozen=True)
class Limits:
    """Resource limits set by the platform. `sockets` and `memory_mb` are enforced at run time."""

    cores: float = 1.0
    memory_mb: float = 192.0
    sockets: int = 1_024  # file descriptors


@dataclass(frozen=True)
class Config:
    """The configuration of one balancer process."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int] | None
    seed: int
    settings: Settings
    known: ServerEntries | None
    inventory: Path | None = None
    limits: Limits = Limits()
    operators: OperatorSettings = field(default_factory=OperatorSettings)
    mgmt: tuple[str, int] | None = None  # the management address
    socket_fd: int | None = None  # a listening socket inherited from the platform
    state: str | None = None  # the directory shared by all versions of this balancer
    absent_settings: Mapping[str, str] = field(default_factory=dict)  # each with its default in words

    @property
    def channels(self) -> tuple[str, int] | None:
        """The address of the channel front; None if it is disabled."""
        return self.operators.channels.listen if self.operators.channels.enabled else None


def _log_rejected_entry(text: str) -> None:
    log.warning("known entry rejected", extra={"error": text})


def _address(document: Mapping[str, Any], name: str) -> tuple[str, int] | None:
    text = document.get(name)
    if text is None:
        return None
    if not isinstance(text, str):
        raise BadConfig(f"{name}: not a string")
    try:
        return parse_address(text)
    except BadEntry as exc:
        raise BadConfig(f"{name}: {exc}") from None


def _limits(section: object) -> Limits:
    """Return the configured limits, with defaults for those left out."""
    if section is None:
        return Limits()
    if not isinstance(section, dict):
        raise BadConfig("limits: not an object")
    values: dict[str, float] = {}
    for name in ("cores", "memory_mb", "sockets"):
        value = section.get(name)
        if value is None:
            continue
        if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < math.inf:
            raise BadConfig(f"limits.{name}: not a number above 0")
        values[name] = value
    sockets = int(values.pop("sockets", Limits.sockets))
    return Limits(sockets=sockets, **values)


def load(
    env: Mapping[str, str],
    start_times: StartTimes,
    inventory: Path | None = None,
    operators: Path = DEFAULT_FILE,
    *,
    reloading: bool = False,
) -> Config:
    """Read the configuration. Raises BadConfig.

    On a reload, a name or an address in the file overrides the environment, except the management address.
    """
    path = env.get("EDGE_CONFIG")
    if not path:
        raise BadConfig("EDGE_CONFIG names no file")
    try:
        document = json.loads(read_regular_file(Path(path), MAX_FILE_BYTES))
    except (OSError, ValueError, RecursionError) as exc:
        raise BadConfig(f"{path}: {exc}") from None
    if not isinstance(document, dict):
        raise BadConfig(f"{path}: not an object")
    for name in ("name", "listen", "discovery"):
        # On a reload the file may have changed since the environment was set.
        if env.get(f"EDGE_{name.upper()}") and not (reloading and name in document):
            document[name] = env[f"EDGE_{name.upper()}"]
    if env.get("EDGE_MGMT"):
        # Two versions of a balancer share the file, but each has a management address of its own.
        document["mgmt"] = env["EDGE_MGMT"]
    listen = _address(document, "listen")
    if listen is None:
        raise BadConfig("listen: missing")
    if not isinstance(document.get("settings"), dict):
        raise BadConfig("settings: missing")
    try:
        settings = decode_settings(document["settings"])
    except (WireError, ValueError) as exc:
        raise BadConfig(str(exc)) from None
    seed = document.get("seed", 0)
    try:
        seed_value = int(seed, 16) if isinstance(seed, str) else int(seed)
    except (ValueError, TypeError, OverflowError):
        raise BadConfig("seed: not a number") from None
    known = None
    if document.get("known") is not None:
        try:
            known = parse_server_list(
                document["known"],
                start_times,
                lambda text: log.warning("known entry rejected", extra={"error": text}),
            )
        except BadEntry as exc:
            raise BadConfig(f"known: {exc}") from None
    discovery = _address(document, "discovery")
    if discovery is None and inventory is None:
        raise BadConfig("discovery: missing, and no inventory is given")
    name = str(document.get("name", ""))
    limits = _limits(document.get("limits"))
    mgmt = _address(document, "mgmt")
    try:
        operator_settings = load_settings(operators).settings
    except BadSettings as exc:
        raise BadConfig(str(exc)) from None
    return Config(
        name,
        listen,
        discovery,
        seed_value,
        settings,
        known,
        inventory,
        limits,
        operator_settings,
        mgmt,
        _descriptor(env.get("EDGE_SOCKET_FD")),
        env.get("TMPDIR") or None,
        absent_settings(document["settings"]),
    )


def _descriptor(text: str | None) -> int | None:
    if not text:
        return None
    if not text.isascii() or not text.isdigit():
        raise BadConfig("EDGE_SOCKET_FD: not a descriptor number")
    return int(text)
