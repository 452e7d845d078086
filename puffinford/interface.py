"""The interface of the decision module: settings, events and actions.

A host makes one `Balancer(settings, seed)` for each balancer and calls `handle(now, events)`, which
returns the actions to carry out in order. Times are milliseconds; `now` never goes back. The module
keeps no clock, does no input or output and starts no threads.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """What a repeat of a request may do."""

    SAFE = "safe"  # may be repeated and refused freely
    KEYED = "keyed"  # repeats are dropped inside a group of servers, for a while
    UNSAFE = "unsafe"  # may never run twice


class Scope(Enum):
    """The group of servers that drops the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ServerState(Enum):
    LIVE = "live"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    UPDATE = "update"  # changed entries only
    REPLACE = "replace"  # the complete list
    RESTORED = "restored"  # the list last held before a restart, possibly stale
    UNAVAILABLE = "unavailable"  # a list call failed or the subscription broke


class FailureReason(Enum):
    """Why the module gave a request up; said with its final answer."""

    ATTEMPTS = "attempts spent"
    TIME = "no time left"
    DOWN = "every server unreachable"  # a trial is out after a backoff
    LIMIT = "own load at its limit"  # most servers late: fewer connections, served in time
    NO_SERVER = "no server can take it"  # tried, unreachable, late or cold at every one
    RAN = "it may have run, and may not be repeated"  # the cause of every Fail


class Result(Enum):
    """How an attempt or a probe ended. Only FULL, CONNECT_FAILED and MOOT prove it never ran."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"


TIME_MOST = 1e10  # ms; no site tells a longer time, and sums of longer ones are not exact
_TIMES = (
    "ask_within",
    "park",
    "max_retry_after",
    "connect_timeout",
    "tick",
    "answer_slack",
    "drain_grace",
    "warm_time",
    "fall_window",
)


@dataclass(slots=True)
class RequestClass:
    name: str
    deadline: float  # the client's whole wait
    aim: float = 0.0  # an answer inside this time earns full worth
    effect: Effect = Effect.SAFE
    scope: Scope = Scope.ALL
    window: float = 0.0  # how long a keyed request's repeats are dropped
    value: float = 1.0
    message_aim: float = 0.0  # wanted time of a message on an open connection


@dataclass(slots=True)
class Tenant:
    name: str
    share: float = 0.0
    quota_per_s: float = 0.0
    quota: float = 0.0  # open connections within its share, at all balancers; 0: not told


@dataclass(slots=True)
class Settings:
    """What a balancer is told at its start."""

    classes: list[RequestClass]
    tenants: list[Tenant] = field(default_factory=list)
    zones: list[str] = field(default_factory=list)
    zone: str = ""
    me: int = 0
    balancers: int = 1
    list_on_request: bool = False  # changes come only after Subscribe or ListAll
    ask_within: float = 10_000.0
    pass_through: bool = False  # packets pass through; connections outlive their balancer
    park: float = 0.0  # how long a server keeps a connection whose packets stopped
    tells_load: bool = False  # notes tell the load of a connection
    tells_delay: bool = False  # notes tell how long a message takes at its server
    grouped: bool = False  # connections of a group share work on a server
    max_attempts: int = 3
    max_retry_after: float = 0.0  # 0 where clients are told no wait
    connect_timeout: float = 250.0
    may_cancel: bool = False
    may_probe: bool = False
    overlap: bool = False  # two attempts of a request may be out together
    tick: float = 1.0
    answer_slack: float = 0.0
    drain_grace: float = 1_000.0
    cold_from: float = 1.0  # a server starts at this share of its capacity at least
    warm_time: float = 0.0  # and is warm within this time
    fall_multiple: float = 3.0  # sent more than this multiple of its present capacity ...
    fall_window: float = 2_000.0  # ... for this long, a cold server falls over
    sized: bool = False  # Server.weight tells a size
    report_fields: list[str] = field(default_factory=list)
    report_on_probe: bool = False
    report_on_answer: bool = False
    probe_price: float = 0.0
    move_price: float = 0.0
    cross_zone_price: float = 0.0
    over_share_worth: float = 1.0
    worth_by_work: bool = False  # a class's value counts for each unit of work, not each request

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("settings: classes: at least one request class is needed")
        for cls in self.classes:
            if not 0 < cls.deadline <= TIME_MOST:
                raise ValueError(
                    f"settings: classes.deadline of {cls.name}: must be above 0, up to {TIME_MOST:.0f} ms"
                )
            for name in ("aim", "window", "message_aim"):
                if getattr(cls, name) < 0:
                    raise ValueError(f"settings: classes.{name} of {cls.name}: must not be negative")
        for name in _TIMES:
            if not 0 <= getattr(self, name) <= TIME_MOST:
                raise ValueError(f"settings: {name}: must be from 0 to {TIME_MOST:.0f} ms")
        for tenant in self.tenants:
            if not 0 <= tenant.quota < float("inf"):
                raise ValueError(f"settings: tenants.quota of {tenant.name}: must be 0 or a number above it")
        if not self.me >= 0:
            raise ValueError("settings: me: must not be negative")
        if self.balancers < 1:
            raise ValueError("settings: balancers: at least one is needed")
        if self.max_attempts < 1:
            raise ValueError("settings: max_attempts: at least one is needed")
        if not 0 < self.cold_from <= 1:
            raise ValueError("settings: cold_from: must be above 0 and at most 1")
        if not 0 < self.fall_multiple <= 1e6:
            raise ValueError("settings: fall_multiple: must be above 0, and at most 1000000")


@dataclass(slots=True)
class Server:
    """One entry of a server list."""

    id: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: ServerState = ServerState.LIVE
    weight: float = 1.0
    started: float = 0.0  # time of its latest start; 0: long ago


# Events


@dataclass(slots=True)
class ServerList:
    kind: ListKind
    servers: list[Server] = field(default_factory=list)
    version: int = 0


@dataclass(slots=True)
class Cordoned:
    """The servers that operators have taken out, all of them, whatever lists name. One that is no longer
    among them has been put back, and may have restarted meanwhile."""

    servers: frozenset[str] = frozenset()


@dataclass(slots=True)
class UnverifiedServers:
    """Entries of a restored list that have to prove themselves, until a claim stands there or discovery
    speaks.

    At most `most` claims are out to them together (0: any number), each for `patience` ms where its
    request may be repeated. It comes after the restored list.
    """

    servers: frozenset[str] = frozenset()
    most: int = 0
    patience: float = 400.0


@dataclass(slots=True)
class Health:
    """What is known of one server besides its place in the list. Times are the host's, in ms."""

    server: str
    observed_at: float  # when it was so: a server that has started since is another
    failures: int = 0  # failed trials on end; 0: reachable
    retry_at: float = 0.0  # when the next trial is due
    unreachable_since: float | None = None  # since when it has taken no connection
    slow_until: float = 0.0  # passed over for slow messages
    late_report_at: float = 0.0  # its messages were last too late; 0: never
    delay: float = 0.0  # what a message took there then, in ms
    capacity_estimate: float | None = None  # own load that it can carry, in mean connections ...
    capacity_estimated_at: float = 0.0  # ... as late messages showed then
    cold_since: float | None = None  # it started then, and may still be cold


@dataclass(slots=True)
class LearnedHealth:
    """What another process of this balancer has learned. It never outweighs what this one has seen."""

    entries: list[Health] = field(default_factory=list)


@dataclass(slots=True)
class Relocate:
    """Move a standing connection, and keep a place for its client at `server` for `hold` ms.

    Nothing happens where the connection no longer stands or the server cannot take it.
    """

    id: str
    server: str
    hold: float


@dataclass(slots=True)
class PreferServers:
    """Servers to which clients that come back are sent first, until the next such event; none ends it.

    A client that another balancer moved has its place kept there, and may come here: it finds these instead.
    """

    servers: frozenset[str] = frozenset()


@dataclass(slots=True)
class Request:
    """A client wants a connection; it is owed one final answer within `left`."""

    id: str
    cls: str
    left: float
    tenant: str | None = None
    came_back: bool = False
    retry: bool = False
    group: int | None = None
    midflow: bool = False
    load: float | None = None  # expected work a second
    key: int | None = None


@dataclass(slots=True)
class Inherited:
    """A connection that already stands on `server`: its attempt 0 counts as made."""

    request: Request
    server: str


@dataclass(slots=True)
class Established:
    id: str
    attempt: int
    server: str
    latency: float


@dataclass(slots=True)
class LoadUpdate:
    """The load of an open connection has changed, in microseconds of work a second."""

    id: str
    server: str
    load: float


@dataclass(slots=True)
class DelayUpdate:
    """How long a message on this server takes now."""

    id: str
    server: str
    delay: float


@dataclass(slots=True)
class Outcome:
    """An attempt has ended; with `closed` unset a final answer is still owed."""

    id: str
    attempt: int
    server: str
    result: Result
    latency: float
    closed: bool = False
    report: list[float] | None = None


@dataclass(slots=True)
class ClientLeft:
    id: str


@dataclass(slots=True)
class Timer:
    token: int


@dataclass(slots=True)
class ProbeResult:
    server: str
    result: Result
    latency: float
    report: list[float] | None = None


@dataclass(slots=True)
class PeerMessage:
    sender: int
    data: bytes


Event = (
    ServerList
    | Cordoned
    | UnverifiedServers
    | LearnedHealth
    | Relocate
    | PreferServers
    | Request
    | Inherited
    | Established
    | LoadUpdate
    | DelayUpdate
    | Outcome
    | ClientLeft
    | Timer
    | ProbeResult
    | PeerMessage
)

# Queries


@dataclass(frozen=True, slots=True)
class ServerSnapshot:
    """One server as the module sees it; loads are own ones, in mean connections."""

    server: str
    load: float  # with what groups cost
    capacity: float  # by size and warmth; 0 where it takes nothing new
    usable: bool  # reachable, not slow, and with room: a place to move to
    degraded: bool  # its messages are late, or it is unreachable
    connection_count: int


@dataclass(frozen=True, slots=True)
class EstablishedConnection:
    """One standing connection as the module sees it."""

    id: str
    key: int
    cls: str
    load: float
    group: int | None
    placed_at: float  # when, in ms of the host's time
    came_back: bool  # its client had been moved or cut off before
    group_size: int  # own connections of its group at that server, itself among them; 0 without a group


# Actions


@dataclass(slots=True)
class Attempt:
    """Send the request to a server; `timeout` 0 means until the client gives up.

    It may begin before `until` (ms on the module's clock) and no later, connecting included: after that a
    repeat could run a second time.
    """

    id: str
    server: str
    timeout: float = 0.0
    until: float = float("inf")


@dataclass(slots=True)
class Cancel:
    id: str
    attempt: int


@dataclass(slots=True)
class Refuse:
    """Final answer: turned away, trying again does no harm."""

    id: str
    retry_after: float = 0.0
    reason: FailureReason = FailureReason.NO_SERVER


@dataclass(slots=True)
class Fail:
    """Final answer: failed, nothing promised about its effect."""

    id: str
    reason: FailureReason = FailureReason.NO_SERVER


@dataclass(slots=True)
class Move:
    """Close an open connection politely; the client comes again."""

    id: str


@dataclass(slots=True)
class SetTimer:
    delay: float
    token: int


@dataclass(slots=True)
class Probe:
    server: str


@dataclass(slots=True)
class CloseIdle:
    server: str


@dataclass(slots=True)
class Subscribe:
    on: bool = True


@dataclass(slots=True)
class ListAll:
    pass


@dataclass(slots=True)
class Log:
    message: str


Action = Attempt | Cancel | Refuse | Fail | Move | SetTimer | Probe | CloseIdle | Subscribe | ListAll | Log
