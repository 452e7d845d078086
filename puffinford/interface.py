"""The interface of the decision module: settings, events and actions.

A host creates one `Balancer(settings, seed)` for each balancer and calls `handle(now, events)`, which returns
the actions to carry out in order. Times are in milliseconds, and `now` never decreases. The module reads no
clock, does no input or output and starts no threads.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """Whether a request may run more than once."""

    SAFE = "safe"  # idempotent: may be repeated and refused at any time
    KEYED = "keyed"  # a group of servers discards repeats within a window
    UNSAFE = "unsafe"  # at most once


class Scope(Enum):
    """The group of servers that discards the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ServerState(Enum):
    """The state of a server in a list."""

    LIVE = "live"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How a list event relates to the list before it."""

    UPDATE = "update"  # changed entries only
    REPLACE = "replace"  # the complete list
    RESTORED = "restored"  # the last list from before a restart, possibly stale
    UNAVAILABLE = "unavailable"  # a list call failed or the subscription broke


class FailureReason(Enum):
    """Why a request was given up; part of the final answer."""

    ATTEMPTS = "attempts spent"
    TIME = "no time left"
    UNREACHABLE = "every server unreachable"  # one trial after each backoff interval
    LIMIT = "own load at its limit"  # many servers are overloaded
    NO_SERVER = "no server can take it"  # each one was tried, or is unreachable, slow or cold
    MAY_HAVE_RUN = "it may have run, and may not be repeated"  # the reason of every Fail


class Result(Enum):
    """How an attempt or a probe ended. Only FULL, CONNECT_FAILED and NOT_SENT prove that it never ran."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"


MAX_TIME_MS = 1e10  # sums with longer durations lose precision
_DURATION_SETTINGS = (
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
    """The limits and the value of one class of requests."""

    name: str
    deadline: float  # the longest wait of the client for its answer, ms
    aim: float = 0.0  # an answer within this time has its full value, ms
    effect: Effect = Effect.SAFE
    scope: Scope = Scope.ALL
    window: float = 0.0  # how long repeats of a keyed request are discarded, ms
    value: float = 1.0  # of an answer within `aim`, in points of the result
    message_aim: float = 0.0  # wanted delay of a message on an open connection, ms; 0: none


@dataclass(slots=True)
class Tenant:
    """A customer, with its share of the capacity."""

    name: str
    share: float = 0.0
    quota_per_s: float = 0.0
    quota: float = 0.0  # open connections at all balancers; 0: not configured


@dataclass(slots=True)
class Settings:
    """The configuration of a balancer. Durations are in ms; prices and worth are in points of the result."""

    classes: list[RequestClass]
    tenants: list[Tenant] = field(default_factory=list)
    zones: list[str] = field(default_factory=list)
    zone: str = ""
    me: int = 0  # index of this balancer, from 0
    balancers: int = 1
    list_on_request: bool = False  # the list is sent only after Subscribe or ListAll
    ask_within: float = 10_000.0  # longest time between list calls
    pass_through: bool = False  # packets are forwarded, so connections outlive their balancer
    park: float = 0.0  # how long a server keeps a connection without packets
    tells_load: bool = False  # servers send load updates of connections
    tells_delay: bool = False  # servers send updates of their message delay
    grouped: bool = False  # connections of a group share work at a server
    max_attempts: int = 3
    max_retry_after: float = 0.0  # 0: refusals carry no retry-after
    connect_timeout: float = 250.0
    may_cancel: bool = False
    may_probe: bool = False
    overlap: bool = False  # two attempts of a request may run at once
    tick: float = 1.0
    answer_slack: float = 0.0
    drain_grace: float = 1_000.0
    cold_from: float = 1.0  # minimum fraction of its capacity that a server starts with
    warm_time: float = 0.0  # from the start of a server to its full capacity
    fall_multiple: float = 3.0  # of its current capacity, over which a cold server fails
    fall_window: float = 2_000.0  # if it is exceeded for this long
    sized: bool = False  # Server.weight is the size of the server
    report_fields: list[str] = field(default_factory=list)
    report_on_probe: bool = False
    report_on_answer: bool = False
    probe_price: float = 0.0
    move_price: float = 0.0
    cross_zone_price: float = 0.0
    over_share_worth: float = 1.0
    worth_by_work: bool = False  # the value of a class is for each unit of work, not each request

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("settings: classes: at least one request class is needed")
        for cls in self.classes:
            if not 0 < cls.deadline <= MAX_TIME_MS:
                raise ValueError(
                    f"settings: classes.deadline of {cls.name}: must be above 0, up to {MAX_TIME_MS:.0f} ms"
                )
            for name in ("aim", "window", "message_aim"):
                if getattr(cls, name) < 0:
                    raise ValueError(f"settings: classes.{name} of {cls.name}: must not be negative")
        for name in _DURATION_SETTINGS:
            if not 0 <= getattr(self, name) <= MAX_TIME_MS:
                raise ValueError(f"settings: {name}: must be from 0 to {MAX_TIME_MS:.0f} ms")
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
    """An entry of a server list."""

    id: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: ServerState = ServerState.LIVE
    weight: float = 1.0  # relative size, if `Settings.sized`
    started: float = 0.0  # time of its latest start, ms; 0: unknown, taken as long ago


# Events


@dataclass(slots=True)
class ServerList:
    """A server list, or changes of it."""

    kind: ListKind
    servers: list[Server] = field(default_factory=list)
    version: int = 0


@dataclass(slots=True)
class Cordoned:
    """The complete set of servers that operators have cordoned, which replaces the previous one.

    A server that is no longer in it is in use again, and may have been restarted.
    """

    servers: frozenset[str] = frozenset()


@dataclass(slots=True)
class UnverifiedServers:
    """Entries of a restored list that are not yet verified.

    An entry is verified when a connection to it is established or discovery answers. At most
    `max_concurrent` attempts at unverified entries run at once (0: any number), each for `attempt_timeout`
    ms if its request may be repeated. The event follows the restored list.
    """

    servers: frozenset[str] = frozenset()
    max_concurrent: int = 0
    attempt_timeout: float = 400.0


@dataclass(slots=True)
class Health:
    """The health of one server, as observed by a balancer. Times are on the host's clock, in ms."""

    server: str
    observed_at: float  # obsolete if the server has started since
    failures: int = 0  # in a row; 0: reachable
    retry_at: float = 0.0  # when the next trial is due
    unreachable_since: float | None = None  # first of the current failures to connect
    slow_until: float = 0.0  # skipped until then for slow messages
    late_report_at: float = 0.0  # last report of late messages; 0: never
    delay: float = 0.0  # of a message at that report, ms
    capacity_estimate: float | None = None  # own load that it can carry, in mean connections
    capacity_estimated_at: float = 0.0  # last late report; 0: never
    cold_since: float | None = None  # its start, if it may still be cold


@dataclass(slots=True)
class LearnedHealth:
    """Health observed by another process of this balancer; own observations take precedence."""

    entries: list[Health] = field(default_factory=list)


@dataclass(slots=True)
class Relocate:
    """Move a connection, and reserve a slot at `server` for its client for `reservation_time` ms.

    Ignored if the connection has ended or the server cannot take it.
    """

    id: str
    server: str
    reservation_time: float


@dataclass(slots=True)
class PreferServers:
    """Servers that are preferred for clients that came back, until the next such event.

    Serves moved clients that return to another balancer than the one that holds their reservation.
    """

    servers: frozenset[str] = frozenset()


@dataclass(slots=True)
class Request:
    """A client requests a connection; it gets one final answer within `time_left` ms."""

    id: str
    cls: str
    time_left: float
    tenant: str | None = None
    came_back: bool = False  # the client was moved or disconnected before
    retry: bool = False
    group: int | None = None
    midflow: bool = False  # an open pass-through connection, not a new one
    load: float | None = None  # expected work in ms per second
    key: int | None = None


@dataclass(slots=True)
class Inherited:
    """A connection that is already established at `server`; it counts as attempt 0."""

    request: Request
    server: str


@dataclass(slots=True)
class Established:
    """The connection of an attempt is established; `latency` in ms."""

    id: str
    attempt: int
    server: str
    latency: float


@dataclass(slots=True)
class LoadUpdate:
    """The load of an open connection has changed, in microseconds of work per second."""

    id: str
    server: str
    load: float


@dataclass(slots=True)
class DelayUpdate:
    """The message delay of a server has changed, in ms."""

    id: str
    server: str
    delay: float


@dataclass(slots=True)
class Outcome:
    """An attempt or its connection has ended, after `latency` ms.

    Unless `closed`, the request still needs a final answer. `report` is in the order of
    `Settings.report_fields`.
    """

    id: str
    attempt: int
    server: str
    result: Result
    latency: float
    closed: bool = False
    report: list[float] | None = None


@dataclass(slots=True)
class ClientLeft:
    """A client has closed its connection or given up waiting."""

    id: str


@dataclass(slots=True)
class Timer:
    """A wake-up requested by SetTimer has arrived."""

    token: int


@dataclass(slots=True)
class ProbeResult:
    """A probe has ended; `latency` in ms, `report` in the order of `Settings.report_fields`."""

    server: str
    result: Result
    latency: float
    report: list[float] | None = None


@dataclass(slots=True)
class PeerMessage:
    """A message from another balancer."""

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
    """The state of one server; loads are of this balancer, in mean connections."""

    server: str
    load: float  # with the cost of its groups
    capacity: float  # by size and warmth; 0 if it takes no new connections
    usable: bool  # can be the target of a move: reachable, not slow, with capacity
    degraded: bool  # overloaded or unreachable
    connection_count: int


@dataclass(frozen=True, slots=True)
class EstablishedConnection:
    """An established connection of this balancer. `load` is in mean connections."""

    id: str
    key: int
    cls: str
    load: float
    group: int | None
    placed_at: float  # time of its attempt, ms on the host's clock
    came_back: bool  # its client was moved or disconnected before
    group_size: int  # own connections of its group at that server, with itself; 0 without a group


# Actions


@dataclass(slots=True)
class Attempt:
    """Send the request to a server and wait at most `timeout` ms; 0: until the client gives up.

    It must not be sent after `until` (ms), even if the connection is established: a later repeat could run
    a second time.
    """

    id: str
    server: str
    timeout: float = 0.0
    until: float = float("inf")


@dataclass(slots=True)
class Cancel:
    """Abort an attempt."""

    id: str
    attempt: int


@dataclass(slots=True)
class Refuse:
    """Final answer: refused; a retry by the client after `retry_after` ms is harmless."""

    id: str
    retry_after: float = 0.0
    reason: FailureReason = FailureReason.NO_SERVER


@dataclass(slots=True)
class Fail:
    """Final answer: failed; the request may have run."""

    id: str
    reason: FailureReason = FailureReason.NO_SERVER


@dataclass(slots=True)
class Move:
    """Ask the client of an open connection to reconnect, and close it."""

    id: str


@dataclass(slots=True)
class SetTimer:
    """Request a Timer event after `delay` ms."""

    delay: float
    token: int


@dataclass(slots=True)
class Probe:
    """Ask a server for its health and load."""

    server: str


@dataclass(slots=True)
class CloseIdle:
    """Close idle connections to a server."""

    server: str


@dataclass(slots=True)
class Subscribe:
    """Start or stop a subscription to the server list."""

    on: bool = True


@dataclass(slots=True)
class ListAll:
    """Request the complete server list."""

    pass


@dataclass(slots=True)
class Log:
    """Write a message to the log."""

    message: str


Action = Attempt | Cancel | Refuse | Fail | Move | SetTimer | Probe | CloseIdle | Subscribe | ListAll | Log
