"""Types and protocols shared by the core and the protocol fronts."""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from puffinford.interface import Health, Result, Server


class InvalidOpening(Exception):
    """Raised for an opening that cannot be served. The text is sent to the client."""


_NUMBER = re.compile(r"\d{1,15}(\.\d{1,15})?", re.ASCII)


def parse_number(text: str | None) -> float | None:
    """Parse a non-negative decimal number; return None for anything else.

    Rejects forms that float() accepts: exponents, underscores, spaces and infinity.
    """
    return float(text) if text is not None and _NUMBER.fullmatch(text) else None


def split_parameters(text: str) -> tuple[tuple[str, str | None], ...]:
    """Split NAME=VALUE or NAME with commas between them; a name without `=` has the value None."""
    items = (item.partition("=") for item in text.split(",")) if text else ()
    return tuple((name, value if separator else None) for name, separator, value in items)


@dataclass(frozen=True, slots=True)
class Opening:
    """A client's request for a connection.

    `parameter_list` holds all its named values in their order, as NAME=VALUE or NAME between commas:
    one text takes no more memory than its bytes, whatever a client has divided them into.
    """

    request_id: str  # chosen by the client
    key: str
    cls: str  # name of the request class
    wait: float  # how long the client waits for UP, in ms
    tenant: str | None = None
    group: str | None = None
    retry: bool = False
    came_back: bool = False
    resume_server: str | None = None  # server that already holds this connection
    expected_load: float | None = None  # work in ms per second
    parameter_list: str = ""

    @property
    def parameters(self) -> tuple[tuple[str, str | None], ...]:
        """All named values in their order."""
        return split_parameters(self.parameter_list)

    @classmethod
    def from_parameters(
        cls, request_id: str, key: str, parameters: tuple[tuple[str, str | None], ...]
    ) -> Opening:
        """Build an opening from its named values, without `,` and `=` in names; raises InvalidOpening."""
        named = dict(parameters)
        if len(named) < len(parameters):
            # Prevents an opening that the balancer and a server read differently.
            raise InvalidOpening("a name stands there twice")
        wait = parse_number(named.get("d"))
        if not named.get("c"):
            raise InvalidOpening("no class")
        if wait is None:
            raise InvalidOpening("d is no number of milliseconds")
        return cls(
            request_id,
            key,
            named["c"] or "",
            wait,
            named.get("t") or None,
            named.get("g") or None,
            named.get("r") == "1",
            named.get("again") == "1",
            named.get("at") or None,
            parse_number(named.get("h")),
            ",".join(name if value is None else f"{name}={value}" for name, value in parameters),
        )


class MessageKind(Enum):
    """What a message on an established connection means."""

    DATA = "data"
    BYE = "bye"  # the server has completed the connection
    MOVE = "move"  # the server asks its client to reconnect elsewhere
    NOTE = "note"  # load of the connection or message delay at the server, depending on the settings


@dataclass(frozen=True, slots=True)
class Message:
    """One message on an established connection, as received, with its line end.

    `data` is empty where the front does not encode this kind as a line.
    """

    data: bytes
    kind: MessageKind = MessageKind.DATA
    note: float = 0.0  # value of a NOTE
    report: str = ""  # undecoded load report of a BYE


@dataclass(frozen=True, slots=True)
class Up:
    """The answer to an opening whose connection is established."""

    receipt: str


@dataclass(frozen=True, slots=True)
class Busy:
    """A refusal: retrying has no side effects. `retry_after` is in ms."""

    retry_after: float = 0.0
    reason: str = ""  # logged only


@dataclass(frozen=True, slots=True)
class Failed:
    """A final failure: the request may have taken effect."""

    reason: str = "failed"
    timed_out: bool = False  # the client's deadline has passed


class PeerClosed(Exception):
    """Raised when the peer has closed its side in order."""


class ConnectionBroken(Exception):
    """Raised when the connection was reset or failed."""


class AttemptEnded(Exception):
    """Raised when an attempt ends without an established connection.

    `messages` are those that the server sent for the client. `report` is the undecoded load report in the
    server's answer, or empty.
    """

    def __init__(self, result: Result, messages: tuple[Message, ...] = (), report: str = "") -> None:
        super().__init__(result.value)
        self.result = result
        self.messages = messages
        self.report = report


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """An entry of the server list: the server as used in decisions, its address and its protocol front."""

    server: Server
    host: str
    port: int
    front: str = "lines"


@dataclass(frozen=True, slots=True)
class ServerEntries:
    """A server list, either a full snapshot or (`full` unset) the changed entries only."""

    version: int
    full: bool
    entries: list[ServerEntry] = field(default_factory=list)

    @property
    def size(self) -> int:
        """Number of entries."""
        return len(self.entries)


@dataclass(frozen=True, slots=True)
class RestoredState:
    """Server list and health used after a start until discovery has answered.

    At most `max_attempts` attempts (0: no limit) are in progress at once to servers in `unverified`, each
    with a timeout of `attempt_timeout` ms.
    """

    entries: ServerEntries
    unverified: frozenset[str] = frozenset()
    max_attempts: int = 0
    attempt_timeout: float = 400.0
    health: list[Health] = field(default_factory=list)


class PeerConnection(Protocol):
    """The connection of a request to its client or its server."""

    async def receive(self) -> Message:
        """Return the next message; raises PeerClosed or ConnectionBroken."""

    async def send(self, message: Message) -> None:
        """Write a complete message; raises ConnectionBroken."""

    async def end_sending(self) -> None:
        """Close the sending direction."""

    async def end(self) -> None:
        """Close in order, within a second."""

    async def abort(self) -> None:
        """Reset the connection."""


class ClientConnection(PeerConnection, Protocol):
    """The connection to the client of a request."""

    async def has_left(self) -> bool:
        """Whether the client has closed or cancelled, including input received but not yet read."""

    async def answer(self, answer: Up | Busy | Failed) -> None:
        """Send the only answer to the opening. After any answer but UP the caller closes with `end`."""

    async def move(self) -> None:
        """Ask the client to reconnect."""


class ServerConnector(Protocol):
    """Opens connections to servers over one protocol."""

    async def open_connection(
        self,
        entry: ServerEntry,
        opening: Opening,
        timeout_ms: float,
        admit: Callable[[], Awaitable[None]],
        on_sent: Callable[[], None],
    ) -> tuple[PeerConnection, Up]:
        """Make one attempt; raises AttemptEnded with its result, TIMEOUT after `timeout_ms`.

        `admit` is awaited when the transport has connected, before the first byte of the opening, and may end
        the attempt. `on_sent` is called when the last byte of the opening has been written.
        """

    async def probe(self, entry: ServerEntry, timeout_ms: float, load: bool) -> tuple[Result, str]:
        """Probe a server for at most `timeout_ms`.

        Returns the result and, with `load`, the server's undecoded load report.
        """


class RequestObserver(Protocol):
    """Callbacks on the outcome of requests. They must neither block nor raise."""

    def on_established(self, key: int, cls: str, server: str, setup_ms: float) -> None:
        """A connection is established, `setup_ms` after its opening arrived."""

    def on_refused(self, key: int, cls: str, *, failed: bool) -> None:
        """A request of a known class was refused with a retry time or, with `failed`, failed."""

    def on_closed(self, key: int, cls: str, server: str, duration_ms: float, *, cut: bool) -> None:
        """An established connection has ended; `cut` when neither its client nor its server closed it."""

    def on_delay(self, server: str, delay_ms: float) -> None:
        """A server takes `delay_ms` to answer a message."""


class ServerListSource(Protocol):
    """A source of server lists. It passes each list to `Exchange.take_list`."""

    def subscribe(self, on: bool) -> None:
        """Start or stop watching for changes."""
        ...

    def fetch(self) -> None:
        """Request the list once."""
        ...

    def refresh(self) -> bool:
        """Request changes now, even if a call is in progress; return whether an answer may follow."""
        ...
