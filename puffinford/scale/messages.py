"""What the driver of a scale run and its processes say to each other: one JSON message a line.

Times are Unix milliseconds unless a name says otherwise.
"""

from __future__ import annotations

from enum import Enum
from typing import Any, TypeVar

import msgspec


class Skip(Enum):
    """Work that a hollow balancer leaves out on purpose, so that the agreement check can be checked."""

    NOTHING = "nothing"
    LISTS = "lists"  # every second list is not given to the exchange
    PLACING = "placing"  # arrivals are not given to the exchange


class ClientWorkload(msgspec.Struct, frozen=True, kw_only=True):
    """The clients of each balancer: open loop, drawn from the run's seed and the balancer's number."""

    rate: float = 0.0  # arrivals a second at each balancer
    life_ms: float = 20_000.0  # mean time that a client stays
    wait_ms: float = 2_000.0  # what it gives its balancer to bring it up
    groups: int = 1_000_000  # groups that the clients of all balancers belong to
    cls: str = "till"


# What a process is started with


class HollowSpec(msgspec.Struct, frozen=True, kw_only=True):
    """One process of hollow balancers, with the numbers `first` to `first + count - 1`."""

    first: int
    count: int
    seed: int
    settings: dict[str, Any]  # as the platform tells them; `me` is each balancer's own
    discovery: list[str]  # HOST:PORT of each balancer's list service or relay, in the order of the balancers
    operators: str = ""  # the text of the operators' file
    crowd: ClientWorkload = ClientWorkload()
    set_up_ms: tuple[float, float] = (0.0, 0.0)  # what an attempt takes at a server: drawn between these
    dead: list[str] = []  # servers that take no connection
    skip: Skip = Skip.NOTHING
    starting_most: int = 32  # balancers that wait for their first list together, until all have begun


class ListServiceSpec(msgspec.Struct, frozen=True, kw_only=True):
    """The stand-in list service: a port for each group, whose calls are counted together."""

    groups: list[str]
    servers: list[dict[str, Any]]  # entries of the list, each with `id` and `addr`
    service_ms: float = 0.0  # the time that one call takes; calls are answered one at a time


# From the driver


class Begin(msgspec.Struct, frozen=True, tag=True):
    """Clients come from this moment on, until `end`."""

    at: float
    end: float


class Kill(msgspec.Struct, frozen=True, tag=True):
    """End these balancers at once, without a word to anybody, and start them anew `down_ms` later."""

    at: float
    balancers: list[int]
    down_ms: float


class Change(msgspec.Struct, frozen=True, tag=True):
    """At this moment the list service has an entry changed."""

    at: float
    ident: str
    state: str
    weight: float


class Plan(msgspec.Struct, frozen=True, tag=True):
    """Changes of the list, in order of time."""

    changes: list[Change]


class ResetWatches(msgspec.Struct, frozen=True, tag=True):
    """The list service breaks all its connections at this moment."""

    at: float


class Outage(msgspec.Struct, frozen=True, tag=True):
    """The list service refuses connections from this moment, and breaks those that it has."""

    at: float
    for_ms: float


class Cut(msgspec.Struct, frozen=True, tag=True):
    """From this moment the list service takes the connections of a group and answers none of its calls."""

    group: str
    at: float
    for_ms: float


class Finish(msgspec.Struct, frozen=True, tag=True):
    """Say the last figures and end."""


ToHollow = Begin | Kill | Finish
ToListService = Plan | ResetWatches | Outage | Cut | Finish


# To the driver


class InForce(msgspec.Struct, frozen=True, tag=True):
    """Versions that came into force: balancer, version, moment."""

    rows: list[tuple[int, int, float]]


class Started(msgspec.Struct, frozen=True, tag=True):
    """Balancers that were started again after a kill, and when."""

    rows: list[tuple[int, float]]


class HollowTally(msgspec.Struct, frozen=True, tag=True):
    """What one process of hollow balancers has come to so far."""

    running: int
    informed: int  # balancers that have had a list
    placed: dict[int, dict[str, int]]  # by balancer: connections brought up, by server; the last tally only
    refused: int  # arrivals that were turned away or failed
    moved: int  # standing connections that were moved
    cpu_s: float
    resident: int  # bytes
    resident_before: int  # bytes, before the first balancer was made
    lost_ms: float  # that the balancers' clock did not count since `Begin`: see `shared_clock`
    late_ms: list[float]  # how late the process's own loop was, each 100 ms since `Begin`; the last only


class Listening(msgspec.Struct, frozen=True, tag=True):
    """The list service's address of each group."""

    addresses: dict[str, str]


class Changed(msgspec.Struct, frozen=True, tag=True):
    """A change that the list service has made."""

    version: int
    at: float


class GroupTally(msgspec.Struct, frozen=True):
    """The calls that came to one port of the list service."""

    calls: int = 0
    received: int = 0  # bytes of calls
    sent: int = 0  # bytes of answers


class ListTally(msgspec.Struct, frozen=True, tag=True):
    """What the list service has come to so far."""

    groups: dict[str, GroupTally]
    calls_by_second: dict[int, int]  # Unix second
    queue_most: int  # calls that waited for their turn together, at most
    broken: int  # connections that it has reset
    cpu_s: float


FromHollow = InForce | Started | HollowTally
FromListService = Listening | Changed | ListTally

Message = TypeVar("Message")


def encode(message: object) -> bytes:
    """One line, with its end."""
    return msgspec.json.encode(message) + b"\n"


def decode(line: bytes, kind: type[Message] | Any) -> Message:
    """The message of one line; raises msgspec.DecodeError where it is none of `kind`."""
    made: Message = msgspec.json.decode(line, type=kind)
    return made
