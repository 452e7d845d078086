"""Scripts of plays: read from YAML or a mapping, and validated completely. Nothing is started here.

    seed: 7
    seconds: 10
    balancers: 1                   # n1, n2 and so on
    zones: 1                       # z1, z2 and so on; assigned to balancers and servers in rotation
    rate: 20                       # requests a second
    quota: 1200                    # connections granted to all tenants together; 0: no quota
    grouped: true                  # whether balancers are configured to share work within a group
    busy: {"n1": 5, "n*": {part: 0.1, times: 3}}   # balancers that get a multiple of the others' clients
    notice: 0                      # seconds for which the front still sends clients to a dead balancer
    patience: 0                    # ms for which clients wait for an answer past their deadline
    rests: 0                       # fraction of the clients that connect some time before their request
    holding: 0                     # connections per kind held to a balancer whose fault is `end`
    channels: false                # whether balancers also serve the channel front
    sockets: 4096                  # descriptor limit of each balancer
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
      - {at: 4, balancers: "n*", do: restart, over: 10}             # in sequence, within 10 s
      - {at: 4, links: "n* > gw-*", part: 0.5, do: hold back, for: 6}
      - {at: 4, links: "clients > n1", do: delay 300}               # without `for`: to the end
      - {at: 4, links: "n* > discovery", part: 0.5, do: hold back, for: 6}
      - {at: 4, lists: "n*", part: 0.3, do: late 800}               # see `discovery.TWISTS`

`part` is the fraction of the named balancers, or servers, that the event affects. If the script has events of
links or lists, all connections from clients to balancers, and from balancers to servers and discovery, pass
through links.
"""

from __future__ import annotations

import math
import random
from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import Any

import yaml

from puffinford.stage.faults import InvalidFault, read_fault, read_process_fault, select_parties
from puffinford.standins.balancer import DEFAULT_SOCKETS
from puffinford.standins.clients import ClientClass
from puffinford.standins.discovery import DISCOVERY_MODES, parse_twist
from puffinford.standins.servers import SERVER_STATES, ServerProfile

CLIENTS = "clients"  # name of the clients as a party of links
DISCOVERY = "discovery"  # name of discovery as a party of links
INTEGER_KEYS = ("balancers", "zones", "seed", "holding", "sockets")
NUMBER_KEYS = (*INTEGER_KEYS, "seconds", "rate", "quota", "notice", "patience", "rests")
SCRIPT_KEYS = {
    *NUMBER_KEYS,
    "channels",
    "grouped",
    "busy",
    "operators",
    "discovery",
    "classes",
    "servers",
    "events",
}
EVENT_KEYS = {"at", "whom", "do", "for", "part", "over"}
EVENT_TARGETS = ("discovery", "server", "servers", "balancer", "balancers", "links", "lists")
SERVER_ACTIONS = (*SERVER_STATES, "crash", "start", "start cold", "leaving", "left")


class InvalidScript(Exception):
    """A script that cannot be played; the message names the entry."""


@dataclass(frozen=True)
class Event:
    """One event of a script; its time `at` is in ms from the start of serving."""

    at: float
    whom: str  # server, discovery, balancers, links or lists
    do: str
    names: tuple[str, ...] = ()  # of the servers, balancers or links that it affects
    lasts: float = 0.0  # ms; 0: to the end of the script
    over: float = 0.0  # ms within which the parties are affected in sequence; 0: all at once


@dataclass
class Script:
    """A script; the head of this module describes its keys.

    `lag` is the delay of discovery in ms, `operators` the text of the balancers' settings file, and `known`
    the server list in their configuration.
    """

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
    def has_links(self) -> bool:
        """Whether an event needs links, through which all traffic passes then."""
        return any(event.whom in ("links", "lists") for event in self.events)

    @property
    def balancer_zones(self) -> dict[str, str]:
        """The zone of each balancer, by name."""
        return {f"n{number}": self.zone(number - 1) for number in range(1, int(self.balancers) + 1)}

    def zone(self, number: int) -> str:
        """Return the zone of a party by its number, from 0; empty if there is only one zone."""
        return f"z{number % int(self.zones) + 1}" if self.zones > 1 else ""


def read_script(source: Path | Mapping[str, Any], **changes: Any) -> Script:
    """Read a script from a YAML file or a mapping; raises InvalidScript or OSError.

    `changes` override keys of the script, such as `balancers`.
    """
    document: Any = source
    if isinstance(source, Path):
        try:
            document = yaml.safe_load(source.read_text(encoding="utf-8"))
        except (yaml.YAMLError, UnicodeDecodeError) as exc:
            raise InvalidScript(f"{source}: {exc}") from None
    if not isinstance(document, Mapping):
        raise InvalidScript("not a mapping")
    document = {**document, **changes}
    unknown = {str(name) for name in document} - SCRIPT_KEYS
    if unknown:
        raise InvalidScript(f"unknown: {' '.join(sorted(unknown))}")
    script = Script()
    for name in NUMBER_KEYS:
        setattr(script, name, _number(name, document.get(name, getattr(script, name))))
    for name in INTEGER_KEYS:
        if getattr(script, name) != int(getattr(script, name)):
            raise InvalidScript(f"{name}: not a whole number")
        setattr(script, name, int(getattr(script, name)))
    script.zones = max(1, script.zones)
    script.grouped = bool(document.get("grouped", True))
    script.channels = bool(document.get("channels", False))
    script.operators = str(document.get("operators", ""))
    script.lag = _number("discovery.lag", _mapping("discovery", document.get("discovery")).get("lag", 0.0))
    classes = _mapping("classes", document.get("classes"))
    if classes:
        script.kinds = [
            _build(ClientClass, f"classes.{name}", entry, name=name) for name, entry in classes.items()
        ]
    _read_servers(_mapping("servers", document.get("servers")), script)
    for name, value in _mapping("busy", document.get("busy")).items():
        _read_busy(f"busy.{name}", str(name), value, script)
    events = document.get("events") or []
    if not isinstance(events, list):
        raise InvalidScript("events: not a list")
    for number, entry in enumerate(events, 1):
        script.events.append(_read_event(f"events, entry {number}", entry, script, number))
    script.events.sort(key=lambda event: event.at)
    return script


def _number(where: str, value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < math.inf:
        raise InvalidScript(f"{where} {value!r} is not a number of 0 or more")
    return value


def _mapping(where: str, value: object) -> Mapping[str, Any]:
    if value is None:
        return {}
    if not isinstance(value, Mapping):
        raise InvalidScript(f"{where}: not a mapping")
    return value


def _build(kind: type[Any], where: str, source: object, **more: object) -> Any:
    defaults = {entry.name: entry.default for entry in fields(kind)}
    entry = _mapping(where, source)
    if not set(entry) <= set(defaults):
        raise InvalidScript(f"{where}: not a mapping of {' '.join(sorted(defaults))}")
    for name, value in entry.items():
        if isinstance(defaults[name], int | float):
            _number(f"{where}.{name}", value)
    try:
        return kind(**{**entry, **more})
    except TypeError as exc:
        raise InvalidScript(f"{where}: {exc}") from None


def _read_servers(entries: Mapping[str, Any], script: Script) -> None:
    for name, entry in entries.items():
        entry = dict(_mapping(f"servers.{name}", entry))
        count = int(_number(f"servers.{name}.count", entry.pop("count", 1)))
        for number in range(1, count + 1):
            ident = f"{name}-{number}" if count > 1 else str(name)
            zone = script.zone(len(script.servers))
            script.servers[ident] = _build(ServerProfile, f"servers.{name}", {"zone": zone, **entry})


def _read_busy(where: str, pattern: str, source: Any, script: Script) -> None:
    entry = source if isinstance(source, Mapping) else {"times": source}
    if not {"times"} <= set(entry) <= {"times", "part"}:
        raise InvalidScript(f"{where}: not a mapping of part times")
    times = _number(f"{where}: times", entry["times"])
    part = _number(f"{where}: part", entry.get("part", 1.0))
    if not times:
        raise InvalidScript(f"{where}: times must be over 0")
    try:
        for name in select_parties(
            pattern, script.balancer_zones, part, random.Random(f"{script.seed}/{where}")
        ):
            script.busy[name] = float(times)
    except InvalidFault as exc:
        raise InvalidScript(f"{where}: {exc}") from None


def _read_event(where: str, entry: Any, script: Script, number: int) -> Event:
    """Read an event. The parties it affects are drawn here, the same in each run of the script."""
    if not isinstance(entry, Mapping):
        raise InvalidScript(f"{where}: not a mapping")
    targets = [name for name in EVENT_TARGETS if name in entry]
    if len(targets) != 1:
        raise InvalidScript(f"{where}: needs one of {' '.join(EVENT_TARGETS)}")
    unknown = {str(name) for name in entry} - EVENT_KEYS - {targets[0]}
    if unknown:
        raise InvalidScript(f"{where}: unknown: {' '.join(sorted(unknown))}")
    if "at" not in entry:
        raise InvalidScript(f"{where}: missing `at` (seconds)")
    at, lasts, over = (_number(f"{where}: {name}", entry.get(name, 0.0)) for name in ("at", "for", "over"))
    part = _number(f"{where}: part", entry.get("part", 1.0))
    do, pattern = str(entry.get("do")), entry[targets[0]]
    rng = random.Random(f"{script.seed}/{number}")
    kind = {"server": "server", "servers": "server", "balancer": "balancers"}.get(targets[0], targets[0])
    names: list[str] = []
    try:
        match targets[0]:
            case "discovery":
                if pattern not in DISCOVERY_MODES:
                    raise InvalidFault(f"discovery {pattern!r} is none of {' '.join(DISCOVERY_MODES)}")
                do = pattern
            case "server" | "servers":
                if do not in SERVER_ACTIONS:
                    raise InvalidFault(f"a server cannot {do!r}")
                servers = {ident: profile.zone for ident, profile in script.servers.items()}
                names = select_parties(pattern, servers, part, rng)
            case "balancer" | "balancers":
                read_process_fault(do)
                names = select_parties(
                    f"n{pattern}" if targets[0] == "balancer" else pattern, script.balancer_zones, part, rng
                )
            case "lists":
                parse_twist(do)
                names = select_parties(pattern, script.balancer_zones, part, rng)
            case "links":
                read_fault(do)
                names = _select_links(pattern, script, part, rng)
    except ValueError as exc:
        raise InvalidScript(f"{where}: {exc}") from None
    return Event(at * 1_000.0, kind, do, tuple(names), lasts * 1_000.0, over * 1_000.0)


def _select_links(pattern: object, script: Script, part: float, rng: random.Random) -> list[str]:
    near, separator, far = (piece.strip() for piece in str(pattern).partition(">"))
    if not separator:
        raise InvalidFault(f"{pattern!r} is not of the form A > B")
    if near == CLIENTS:
        return [f"{CLIENTS}>{balancer}" for balancer in select_parties(far, script.balancer_zones, part, rng)]
    servers = {ident: profile.zone for ident, profile in script.servers.items()}
    ends = [DISCOVERY] if far == DISCOVERY else select_parties(far, servers, 1.0, rng)
    return [
        f"{balancer}>{end}"
        for balancer in select_parties(near, script.balancer_zones, part, rng)
        for end in ends
    ]
