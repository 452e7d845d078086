"""What is played: a script, read from YAML or a mapping and checked whole. Nothing is started here.

    seed: 7
    seconds: 10
    balancers: 1                   # n1, n2 and so on
    zones: 1                       # z1, z2 and so on; balancers and servers stand in them in turn
    rate: 20                       # openings a second
    quota: 1200                    # connections that all tenants together are granted; 0: none is told
    grouped: true                  # whether connections of a group share work, as the balancers are told
    busy: {"n1": 5, "n*": {part: 0.1, times: 3}}   # balancers that get so many times the others' part
    notice: 0                      # seconds for which the front goes on sending clients to a dead balancer
    patience: 0                    # ms for which clients listen past their time
    rests: 0                       # part of the clients that rest on their connection before they ask
    holding: 0                     # clients of each kind that hold a connection to one that is told to `end`
    channels: false                # whether balancers have the channel front too
    sockets: 4096                  # descriptors that a balancer may hold
    classes:                       # see `clients.ClientClass`
      price-lookup: {share: 52, aim: 500, give_up: 2000, life: 4000}
    servers:                       # see `servers.ServerProfile`; `count` makes NAME-1, NAME-2, ...
      gw: {count: 4, set_up: 5, capacity: 60}
    discovery: {lag: 200}
    events:                        # at: seconds
      - {at: 2, server: gw-2, do: crash}
      - {at: 5, servers: "zone:z1", do: start cold}
      - {at: 6, server: gw-1, do: draining}
      - {at: 3, discovery: unavailable}
      - {at: 4, balancer: 1, do: restart}
      - {at: 4, balancers: "n*", part: 0.2, do: freeze, for: 4}     # see `stage.faults`
      - {at: 4, balancers: "n*", do: restart, over: 10}             # one after the other within 10 s
      - {at: 4, links: "n* > gw-*", part: 0.5, do: hold back, for: 6}
      - {at: 4, links: "clients > n1", do: delay 300}               # without `for`: to the end
      - {at: 4, links: "n* > discovery", part: 0.5, do: hold back, for: 6}
      - {at: 4, lists: "n*", part: 0.3, do: late 800}               # see `discovery.TWISTS`

`part` is that of the balancers, or of the servers where servers are named. Where links fail, every way from
clients to a balancer, and from a balancer to a server and to discovery, is a link.
"""

from __future__ import annotations

import math
import random
from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import Any

import yaml

from puffinford.stage.faults import BadFault, read_fault, read_process_fault, struck
from puffinford.standins.balancer import DEFAULT_SOCKETS
from puffinford.standins.clients import ClientClass
from puffinford.standins.discovery import DISCOVERY_MODES, parse_twist
from puffinford.standins.servers import SERVER_STATES, ServerProfile

CLIENTS = "clients"  # as a party of links
DISCOVERY = "discovery"  # as a party of links
WHOLE = ("balancers", "zones", "seed", "holding", "sockets")  # figures that are whole numbers
FIGURES = (*WHOLE, "seconds", "rate", "quota", "notice", "patience", "rests")
NAMES = {*FIGURES, "channels", "grouped", "busy", "operators", "discovery", "classes", "servers", "events"}
EVENT_NAMES = {"at", "whom", "do", "for", "part", "over"}
WHOM = ("discovery", "server", "servers", "balancer", "balancers", "links", "lists")
SERVER_DOES = (*SERVER_STATES, "crash", "start", "start cold", "leaving", "left")


class BadScript(Exception):
    """The script cannot be played; the text names the place."""


@dataclass(frozen=True)
class Event:
    """One thing that happens, in ms from the first arrival."""

    at: float
    whom: str  # server, discovery, balancers, links or lists
    do: str
    names: tuple[str, ...] = ()  # of the servers, balancers or links that it strikes
    lasts: float = 0.0  # ms; 0: to the end
    over: float = 0.0  # ms in which it strikes them, one after the other


@dataclass
class Script:
    """What is played. `known` is the list in the balancers' configuration."""

    seed: int = 1
    seconds: float = 10.0
    balancers: int = 1
    zones: int = 1
    rate: float = 20.0
    lag: float = 0.0
    kinds: list[ClientClass] = field(default_factory=lambda: [ClientClass("price-lookup")])
    servers: dict[str, ServerProfile] = field(default_factory=dict)
    events: list[Event] = field(default_factory=list)
    operators: str = ""
    grouped: bool = True
    known: dict[str, Any] | None = None
    quota: float = 0.0
    notice: float = 0.0
    patience: float = 0.0
    rests: float = 0.0
    holding: int = 0
    channels: bool = False
    sockets: int = DEFAULT_SOCKETS
    busy: dict[str, float] = field(default_factory=dict)

    @property
    def linked(self) -> bool:
        """Whether links can fail in it: then every way goes through one."""
        return any(event.whom in ("links", "lists") for event in self.events)

    @property
    def names(self) -> dict[str, str]:
        """The balancers with their zones."""
        return {f"n{one}": self.zone(one - 1) for one in range(1, int(self.balancers) + 1)}

    def zone(self, number: int) -> str:
        """The zone of the party with that number, counted from 0; empty where there is but one."""
        return f"z{number % int(self.zones) + 1}" if self.zones > 1 else ""


def read_script(source: Path | Mapping[str, Any], **changes: Any) -> Script:
    """A script from a YAML file or a mapping; raises BadScript or OSError.

    `changes` are figures of the script that hold in place of what it says, such as `balancers`.
    """
    told: Any = source
    if isinstance(source, Path):
        try:
            told = yaml.safe_load(source.read_text(encoding="utf-8"))
        except (yaml.YAMLError, UnicodeDecodeError) as exc:
            raise BadScript(f"{source}: {exc}") from None
    if not isinstance(told, Mapping):
        raise BadScript("not a mapping")
    told = {**told, **changes}
    unknown = {str(name) for name in told} - NAMES
    if unknown:
        raise BadScript(f"unknown: {' '.join(sorted(unknown))}")
    made = Script()
    for name in FIGURES:
        setattr(made, name, _figure(name, told.get(name, getattr(made, name))))
    for name in WHOLE:
        if getattr(made, name) != int(getattr(made, name)):
            raise BadScript(f"{name}: no whole number")
        setattr(made, name, int(getattr(made, name)))
    made.zones = max(1, made.zones)
    made.grouped = bool(told.get("grouped", True))
    made.channels = bool(told.get("channels", False))
    made.operators = str(told.get("operators", ""))
    made.lag = _figure("discovery.lag", _mapping("discovery", told.get("discovery")).get("lag", 0.0))
    classes = _mapping("classes", told.get("classes"))
    if classes:
        made.kinds = [
            _made(ClientClass, f"classes.{name}", entry, name=name) for name, entry in classes.items()
        ]
    _read_servers(_mapping("servers", told.get("servers")), made)
    for name, value in _mapping("busy", told.get("busy")).items():
        _read_busy(f"busy.{name}", str(name), value, made)
    events = told.get("events") or []
    if not isinstance(events, list):
        raise BadScript("events: no list")
    for number, entry in enumerate(events, 1):
        made.events.append(_event(f"events, entry {number}", entry, made, number))
    made.events.sort(key=lambda event: event.at)
    return made


def _figure(where: str, value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < math.inf:
        raise BadScript(f"{where} {value!r} is no number of 0 or more")
    return value


def _mapping(where: str, value: object) -> Mapping[str, Any]:
    if value is None:
        return {}
    if not isinstance(value, Mapping):
        raise BadScript(f"{where}: not a mapping")
    return value


def _made(kind: type[Any], where: str, told: object, **more: object) -> Any:
    names = {entry.name: entry.default for entry in fields(kind)}
    entry = _mapping(where, told)
    if not set(entry) <= set(names):
        raise BadScript(f"{where}: not a mapping of {' '.join(sorted(names))}")
    for name, value in entry.items():
        if isinstance(names[name], int | float):
            _figure(f"{where}.{name}", value)
    try:
        return kind(**{**entry, **more})
    except TypeError as exc:
        raise BadScript(f"{where}: {exc}") from None


def _read_servers(told: Mapping[str, Any], script: Script) -> None:
    for name, entry in told.items():
        entry = dict(_mapping(f"servers.{name}", entry))
        count = int(_figure(f"servers.{name}.count", entry.pop("count", 1)))
        for number in range(1, count + 1):
            ident = f"{name}-{number}" if count > 1 else str(name)
            zone = script.zone(len(script.servers))
            script.servers[ident] = _made(ServerProfile, f"servers.{name}", {"zone": zone, **entry})


def _read_busy(where: str, pattern: str, told: Any, script: Script) -> None:
    entry = told if isinstance(told, Mapping) else {"times": told}
    if not {"times"} <= set(entry) <= {"times", "part"}:
        raise BadScript(f"{where}: not a mapping of part times")
    times = _figure(f"{where}: times", entry["times"])
    part = _figure(f"{where}: part", entry.get("part", 1.0))
    if not times:
        raise BadScript(f"{where}: times is not over 0")
    try:
        for name in struck(pattern, script.names, part, random.Random(f"{script.seed}/{where}")):
            script.busy[name] = float(times)
    except BadFault as exc:
        raise BadScript(f"{where}: {exc}") from None


def _event(where: str, entry: Any, script: Script, number: int) -> Event:
    """An event; whom it strikes is drawn now, the same ones each time the script is played."""
    if not isinstance(entry, Mapping):
        raise BadScript(f"{where}: not a mapping")
    whom = [name for name in WHOM if name in entry]
    if len(whom) != 1:
        raise BadScript(f"{where}: needs one of {' '.join(WHOM)}")
    unknown = {str(name) for name in entry} - EVENT_NAMES - {whom[0]}
    if unknown:
        raise BadScript(f"{where}: unknown: {' '.join(sorted(unknown))}")
    if "at" not in entry:
        raise BadScript(f"{where}: no `at` in seconds")
    at, lasts, over = (_figure(f"{where}: {name}", entry.get(name, 0.0)) for name in ("at", "for", "over"))
    part = _figure(f"{where}: part", entry.get("part", 1.0))
    do, named = str(entry.get("do")), entry[whom[0]]
    rng = random.Random(f"{script.seed}/{number}")
    kind = {"server": "server", "servers": "server", "balancer": "balancers"}.get(whom[0], whom[0])
    names: list[str] = []
    try:
        match whom[0]:
            case "discovery":
                if named not in DISCOVERY_MODES:
                    raise BadFault(f"discovery {named!r} is none of {' '.join(DISCOVERY_MODES)}")
                do = named
            case "server" | "servers":
                if do not in SERVER_DOES:
                    raise BadFault(f"a server cannot {do!r}")
                servers = {ident: make.zone for ident, make in script.servers.items()}
                names = struck(named, servers, part, rng)
            case "balancer" | "balancers":
                read_process_fault(do)
                names = struck(f"n{named}" if whom[0] == "balancer" else named, script.names, part, rng)
            case "lists":
                parse_twist(do)
                names = struck(named, script.names, part, rng)
            case "links":
                read_fault(do)
                names = _links(named, script, part, rng)
    except ValueError as exc:
        raise BadScript(f"{where}: {exc}") from None
    return Event(at * 1_000.0, kind, do, tuple(names), lasts * 1_000.0, over * 1_000.0)


def _links(pattern: object, script: Script, part: float, rng: random.Random) -> list[str]:
    near, sign, far = (piece.strip() for piece in str(pattern).partition(">"))
    if not sign:
        raise BadFault(f"{pattern!r} is no A > B")
    if near == CLIENTS:
        return [f"{CLIENTS}>{one}" for one in struck(far, script.names, part, rng)]
    servers = {ident: make.zone for ident, make in script.servers.items()}
    ends = [DISCOVERY] if far == DISCOVERY else struck(far, servers, 1.0, rng)
    return [f"{one}>{end}" for one in struck(near, script.names, part, rng) for end in ends]
