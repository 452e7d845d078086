"""The messages between the driver of a scale run and its processes: one JSON object per line.

Times of events are in Unix milliseconds.
"""

from __future__ import annotations

from enum import Enum
from typing import Any, TypeVar

import msgspec


class Skip(Enum):
    """Work that a hollow balancer omits, to test that the comparison with real balancers detects it."""

    NOTHING = "nothing"
    LISTS = "lists"  # drops every second list
    PLACING = "placing"  # refuses all clients without a request to the decision module


class ClientWorkload(msgspec.Struct, frozen=True, kw_only=True):
    """The simulated clients of each balancer: an open-loop Poisson process."""

    rate: float = 0.0  # arrivals per second at each balancer
    life_ms: float = 20_000.0  # mean lifetime of a client
    wait_ms: float = 2_000.0  # a client's time limit for its connection to be established
    groups: int = 1_000_000  # number of client groups, shared by all balancers
    cls: str = "till"  # request class


# Specifications, the first message to a process


class HollowSpec(msgspec.Struct, frozen=True, kw_only=True):
    """One process of hollow balancers, with the numbers `first` to `first + count - 1`."""

    first: int
    count: int
    seed: int
    settings: dict[str, Any]  # balancer settings; each balancer replaces `me` by its number
    discovery: list[str]  # HOST:PORT of each balancer's list service, in order of number
    operators: str = ""  # text of the settings file
    crowd: ClientWorkload = ClientWorkload()
    set_up_ms: tuple[float, float] = (0.0, 0.0)  # range of an attempt's delay
    dead: list[str] = []  # ids of servers that accept no connection
    skip: Skip = Skip.NOTHING
    starting_most: int = 32  # limit of balancers that wait for their first list at a time


class ListServiceSpec(msgspec.Struct, frozen=True, kw_only=True):
    """The stand-in list service, which listens on one port per group and counts calls by group."""

    groups: list[str]
    servers: list[dict[str, Any]]  # server list entries, each with `id` and `addr`
    service_ms: float = 0.0  # processing time of one call; calls are processed one at a time


# Commands of the driver


class Begin(msgspec.Struct, frozen=True, tag=True):
    """Start the story: clients arrive from `at` until `end`."""

    at: float
    end: float


class Kill(msgspec.Struct, frozen=True, tag=True):
    """Kill these balancers at `at` and restart them `down_ms` later."""

    at: float
    balancers: list[int]
    down_ms: float


class Change(msgspec.Struct, frozen=True, tag=True):
    """Change one entry of the server list at `at`."""

    at: float
    ident: str
    state: str
    weight: float


class Plan(msgspec.Struct, frozen=True, tag=True):
    """The list changes of the story, in order of time."""

    changes: list[Change]


class ResetWatches(msgspec.Struct, frozen=True, tag=True):
    """Reset all connections of the list service at `at`."""

    at: float


class Outage(msgspec.Struct, frozen=True, tag=True):
    """Stop the list service at `at`: reset its connections and refuse new ones for `for_ms`."""

    at: float
    for_ms: float


class Cut(msgspec.Struct, frozen=True, tag=True):
    """Leave all calls of a group unanswered from `at` for `for_ms`; connections are still accepted."""

    group: str
    at: float
    for_ms: float


class Finish(msgspec.Struct, frozen=True, tag=True):
    """Send the last reports and exit."""


ToHollow = Begin | Kill | Finish
ToListService = Plan | ResetWatches | Outage | Cut | Finish


# Reports to the driver


class InForce(msgspec.Struct, frozen=True, tag=True):
    """Applied list versions as rows of balancer, version and Unix time in ms."""

    rows: list[tuple[int, int, float]]


class Started(msgspec.Struct, frozen=True, tag=True):
    """Restarts after a kill as rows of balancer and Unix time in ms."""

    rows: list[tuple[int, float]]


class HollowTally(msgspec.Struct, frozen=True, tag=True):
    """Cumulative counters of one process of hollow balancers."""

    running: int
    informed: int  # running balancers that have a list
    placed: dict[int, dict[str, int]]  # established connections by balancer and server; last tally only
    refused: int  # requests that were rejected or failed
    moved: int  # established connections that were moved
    cpu_s: float
    resident: int  # memory in bytes
    resident_before: int  # memory in bytes before the first balancer was created
    lost_ms: float  # time that the shared clock skipped since `Begin`
    late_ms: list[float]  # samples of the event loop's lateness since `Begin`; last tally only


class Listening(msgspec.Struct, frozen=True, tag=True):
    """The list service's addresses by group."""

    addresses: dict[str, str]


class Changed(msgspec.Struct, frozen=True, tag=True):
    """A list version that the list service has published."""

    version: int
    at: float


class GroupTally(msgspec.Struct, frozen=True):
    """Cumulative counters of one group's port of the list service."""

    calls: int = 0
    received: int = 0  # bytes of calls
    sent: int = 0  # bytes of answers


class ListTally(msgspec.Struct, frozen=True, tag=True):
    """Cumulative counters of the list service."""

    groups: dict[str, GroupTally]
    calls_by_second: dict[int, int]  # by Unix time in seconds
    queue_most: int  # largest number of queued calls
    broken: int  # connections that were reset
    cpu_s: float


FromHollow = InForce | Started | HollowTally
FromListService = Listening | Changed | ListTally

Message = TypeVar("Message")


def encode(message: object) -> bytes:
    """Return a message as one line with a newline."""
    return msgspec.json.encode(message) + b"\n"


def decode(line: bytes, message_type: type[Message] | Any) -> Message:
    """Return the message of one line; raises msgspec.DecodeError unless it is of the type `message_type`."""
    message: Message = msgspec.json.decode(line, type=message_type)
    return message
