"""What the two sides and the exchange say to each other: small typed values, decoded once by a front."""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from puffinford.interface import Health, Result, Server


class InvalidOpening(Exception):
    """An opening that asks for nothing that can be served; the text says why."""


_NUMBER = re.compile(r"\d{1,15}(\.\d{1,15})?", re.ASCII)


def parse_number(text: str | None) -> float | None:
    """A plain number of 0 or more, or None.

    Guards against what only float() takes for one: exponents, underscores, spaces, infinity.
    """
    return float(text) if text is not None and _NUMBER.fullmatch(text) else None


@dataclass(frozen=True, slots=True)
class Opening:
    """What a client asks for. `parameters` are all its named values in their order, `wait` (d) among them."""

    request_id: str  # the client's own id for it
    key: str
    cls: str
    wait: float  # milliseconds that the client will wait for UP
    tenant: str | None = None
    group: str | None = None
    retry: bool = False
    came_back: bool = False
    at: str | None = None  # the server that already holds this connection
    load: float | None = None
    parameters: tuple[tuple[str, str | None], ...] = ()

    @classmethod
    def from_parameters(
        cls, request_id: str, key: str, parameters: tuple[tuple[str, str | None], ...]
    ) -> Opening:
        """An opening from its named values, whichever front brought them; raises BadOpening."""
        named = dict(parameters)
        if len(named) < len(parameters):
            # Guards against an opening that we and a server read differently.
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
            parameters,
        )


class MessageKind(Enum):
    DATA = "data"
    BYE = "bye"  # the server has served the connection to its end
    MOVE = "move"  # the server sends its client away
    NOTE = "note"  # the server's note: which of the two the settings name


@dataclass(frozen=True, slots=True)
class Message:
    """One message on a standing connection, as it came, with its line end.

    Where a front tells a kind other than by a line, `data` is empty.
    """

    data: bytes
    kind: MessageKind = MessageKind.DATA
    note: float = 0.0
    report: str = ""  # the load report of a BYE, as text


@dataclass(frozen=True, slots=True)
class Up:
    receipt: str


@dataclass(frozen=True, slots=True)
class Busy:
    """Trying again is harmless, and after how many ms."""

    retry_after: float = 0.0
    reason: str = ""  # for the log: what gave it up


@dataclass(frozen=True, slots=True)
class Failed:
    reason: str = "failed"
    timed_out: bool = False  # the client's time was up


class PeerClosed(Exception):
    """The peer ended its side in order."""


class ConnectionBroken(Exception):
    """The connection broke."""


class AttemptEnded(Exception):
    """An attempt ended without standing; `messages` are what the server sent for the client.

    `report` is the load report beside the server's answer, as text; empty where there is none.
    """

    def __init__(self, result: Result, messages: tuple[Message, ...] = (), report: str = "") -> None:
        super().__init__(result.value)
        self.result = result
        self.messages = messages
        self.report = report


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """An entry of the server list: what the decisions see of a server, its address and its front."""

    server: Server
    host: str
    port: int
    front: str = "lines"


@dataclass(frozen=True, slots=True)
class ServerEntries:
    version: int
    full: bool
    entries: list[ServerEntry] = field(default_factory=list)

    @property
    def size(self) -> int:
        """The number of entries."""
        return len(self.entries)


@dataclass(frozen=True, slots=True)
class RestoredState:
    """What a start goes by before discovery has spoken: a list, and how far it can be relied on.

    At most `max_attempts` attempts (0: any number) are out at once to entries in `unverified`, for
    `attempt_timeout` ms each.
    """

    entries: ServerEntries
    unverified: frozenset[str] = frozenset()
    max_attempts: int = 0
    attempt_timeout: float = 400.0
    health: list[Health] = field(default_factory=list)


class PeerConnection(Protocol):
    """One side's connection of a request."""

    async def receive(self) -> Message:
        """The next message; raises Ended or Broken."""

    async def send(self, message: Message) -> None:
        """Pass a message on whole; raises Broken."""

    async def end_sending(self) -> None:
        """Tell the peer that nothing more comes."""

    async def end(self) -> None:
        """End in order, within a second."""

    async def abort(self) -> None:
        """Break the connection, so that the peer sees it broken."""


class ClientConnection(PeerConnection, Protocol):
    async def has_left(self) -> bool:
        """Whether the client has ended or cancelled, as far as that has arrived, read or not."""

    async def answer(self, answer: Up | Busy | Failed) -> None:
        """The one answer to the opening. Any but UP is the last of the connection, and `end` follows."""

    async def move(self) -> None:
        """Tell the client to come back through the front."""


class ServerConnector(Protocol):
    async def open_connection(
        self,
        entry: ServerEntry,
        opening: Opening,
        wait: float,
        admit: Callable[[], Awaitable[None]],
        sent: Callable[[], None],
    ) -> tuple[PeerConnection, Up]:
        """Make an attempt; raises AttemptEnded with its result, TIMEOUT after `wait`.

        `admit` is awaited once the connection is there, right before the first byte of the opening, and may
        end the attempt; `sent` is called once its last byte has been written.
        """

    async def probe(self, entry: ServerEntry, wait: float, load: bool) -> tuple[Result, str]:
        """Whether the machine answers within `wait` ms; with `load` also its load report as text, if any."""


class RequestObserver(Protocol):
    """Hears what becomes of requests. What it does takes no time and raises nothing."""

    def on_established(self, key: int, cls: str, server: str, set_up: float) -> None:
        """A connection stands, `set_up` ms after its opening came."""

    def on_refused(self, key: int, cls: str, *, failed: bool) -> None:
        """A request of a known class was told to retry later, or (`failed`) got any other answer."""

    def on_closed(self, key: int, cls: str, server: str, stood: float, *, cut: bool) -> None:
        """A connection that stood for so many ms ended; `cut` where neither side wanted it."""

    def on_delay(self, server: str, delay: float) -> None:
        """Messages at a server take so many ms."""


class ServerListSource(Protocol):
    """Where server lists come from; the exchange hears of each through `take_list`."""

    def subscribe(self, on: bool) -> None: ...

    def fetch(self) -> None: ...

    def refresh(self) -> bool:
        """Ask for what is new at once, whatever call is out; tells whether an answer may come."""
        ...
