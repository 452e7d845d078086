"""What the two sides and the exchange say to each other: small typed values, decoded once by a front."""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from puffinford.interface import Health, Result, Server


class BadOpening(Exception):
    """An opening that asks for nothing that can be served; the text says why."""


_NUMBER = re.compile(r"\d{1,15}(\.\d{1,15})?", re.ASCII)


def number(text: str | None) -> float | None:
    """A plain number of 0 or more, or None.

    Guards against what only float() takes for one: exponents, underscores, spaces, infinity.
    """
    return float(text) if text is not None and _NUMBER.fullmatch(text) else None


@dataclass(frozen=True, slots=True)
class Opening:
    """What a client asks for. `figures` are all its named values in their order, `wait` (d) among them."""

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
    figures: tuple[tuple[str, str | None], ...] = ()

    @classmethod
    def from_figures(cls, request_id: str, key: str, figures: tuple[tuple[str, str | None], ...]) -> Opening:
        """An opening from its named values, whichever front brought them; raises BadOpening."""
        named = dict(figures)
        if len(named) < len(figures):
            # Guards against an opening that we and a server read differently.
            raise BadOpening("a name stands there twice")
        wait = number(named.get("d"))
        if not named.get("c"):
            raise BadOpening("no class")
        if wait is None:
            raise BadOpening("d is no number of milliseconds")
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
            number(named.get("h")),
            figures,
        )


class Kind(Enum):
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
    kind: Kind = Kind.DATA
    note: float = 0.0
    report: str = ""  # the load report of a BYE, as text


@dataclass(frozen=True, slots=True)
class Up:
    receipt: str


@dataclass(frozen=True, slots=True)
class Busy:
    """Trying again is harmless, and after how many ms."""

    retry_after: float = 0.0
    why: str = ""  # for the log: what gave it up


@dataclass(frozen=True, slots=True)
class Failed:
    reason: str = "failed"
    late: bool = False  # the client's time was up


class Ended(Exception):
    """The peer ended its side in order."""


class Broken(Exception):
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
class Machine:
    """An entry of the server list: what the decisions see of a server, its address and its front."""

    server: Server
    host: str
    port: int
    front: str = "lines"


@dataclass(frozen=True, slots=True)
class MachineList:
    version: int
    full: bool
    machines: list[Machine] = field(default_factory=list)

    @property
    def size(self) -> int:
        """The number of entries."""
        return len(self.machines)


@dataclass(frozen=True, slots=True)
class Restored:
    """What a start goes by before discovery has spoken: a list, and how far it can be relied on.

    At most `most` attempts (0: any number) are out at once to entries in `unproven`, for `patience` ms each.
    """

    machines: MachineList
    unproven: frozenset[str] = frozenset()
    most: int = 0
    patience: float = 400.0
    health: list[Health] = field(default_factory=list)


class Leg(Protocol):
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


class ClientLeg(Leg, Protocol):
    async def left(self) -> bool:
        """Whether the client has ended or cancelled, as far as that has arrived, read or not."""

    async def answer(self, answer: Up | Busy | Failed) -> None:
        """The one answer to the opening. Any but UP is the last of the connection, and `end` follows."""

    async def move(self) -> None:
        """Tell the client to come back through the front."""


class ServerSide(Protocol):
    async def claim(
        self,
        machine: Machine,
        opening: Opening,
        wait: float,
        admit: Callable[[], Awaitable[None]],
        sent: Callable[[], None],
    ) -> tuple[Leg, Up]:
        """Make an attempt; raises AttemptEnded with its result, TIMEOUT after `wait`.

        `admit` is awaited once the connection is there, right before the first byte of the opening, and may
        end the attempt; `sent` is called once its last byte has been written.
        """

    async def probe(self, machine: Machine, wait: float, load: bool) -> tuple[Result, str]:
        """Whether the machine answers within `wait` ms; with `load` also its load report as text, if any."""


class RequestWatcher(Protocol):
    """Hears what becomes of requests. What it does takes no time and raises nothing."""

    def came_up(self, key: int, cls: str, server: str, set_up: float) -> None:
        """A connection stands, `set_up` ms after its opening came."""

    def turned_away(self, key: int, cls: str, *, failed: bool) -> None:
        """A request of a known class was told to retry later, or (`failed`) got any other answer."""

    def ended(self, key: int, cls: str, server: str, stood: float, *, cut: bool) -> None:
        """A connection that stood for so many ms ended; `cut` where neither side wanted it."""

    def late(self, server: str, delay: float) -> None:
        """Messages at a server take so many ms."""


class MachineSource(Protocol):
    """Where server lists come from; the exchange hears of each through `take_list`."""

    def subscribe(self, on: bool) -> None: ...

    def fetch(self) -> None: ...

    def refresh(self) -> bool:
        """Ask for what is new at once, whatever call is out; tells whether an answer may come."""
        ...
