"""The request table: one entry for each request, from its opening to the end of its connection."""

from __future__ import annotations

import anyio
import anyio.abc

from puffinford.core.delays import UnansweredLines
from puffinford.core.values import Busy, ClientConnection, Failed, Opening, PeerConnection, ServerEntry
from puffinford.hashing import stable_hash


class ServerAttempt:
    """One attempt at a server."""

    __slots__ = ("connection", "entry", "number", "scope", "sent", "started", "unanswered")

    def __init__(self, entry: ServerEntry, number: int, started: float) -> None:
        self.entry = entry
        self.number = number
        self.started = started
        self.scope = anyio.CancelScope()
        self.connection: PeerConnection | None = None  # set once it stands
        self.sent = False  # the last byte of the opening was written: it may run
        self.unanswered = UnansweredLines()


class ClientRequest:
    """One request, from its opening to the end of its connection."""

    def __init__(self, opening: Opening, client: ClientConnection, deadline: float) -> None:
        self.opening = opening
        self.client = client
        self.deadline = deadline
        self.tasks: anyio.abc.TaskGroup
        self.attempt: ServerAttempt | None = None
        self.attempts = 0
        self.up = anyio.Event()
        self.done = anyio.Event()
        self.left = False  # the client has ended its side
        self.completion: Completion | None = None

    @property
    def id(self) -> str:
        return self.opening.request_id

    @property
    def key(self) -> int:
        """The opening's key as a number."""
        return number_of(self.opening.key)

    @property
    def is_established(self) -> bool:
        return self.completion is None and self.attempt is not None and self.attempt.connection is not None


class Completion:
    """How a request ends: an answer, or what happens to both legs of a connection that stood."""

    __slots__ = ("answer", "broken", "move")

    def __init__(
        self, answer: Busy | Failed | None = None, *, broken: bool = False, move: bool = False
    ) -> None:
        self.answer = answer
        self.broken = broken
        self.move = move


class RequestTable(dict[str, ClientRequest]):
    """The requests that are served now, by id."""

    def established(self) -> list[tuple[ClientRequest, ServerAttempt]]:
        """The requests whose connections stand, each with the attempt that does."""
        return [
            (request, request.attempt)
            for request in self.values()
            if request.is_established and request.attempt is not None
        ]

    def is_established(self, ident: str) -> bool:
        """Whether there is such a request and its connection stands."""
        request = self.get(ident)
        return request is not None and request.is_established


def number_of(text: str) -> int:
    """A key or group as the module wants it: the same number at every balancer."""
    try:
        return int(text, 16)
    except ValueError:
        return stable_hash(text)
