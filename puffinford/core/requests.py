"""Requests in progress and their attempts, from the opening to the end of the connection."""

from __future__ import annotations

import anyio
import anyio.abc

from puffinford.core.delays import UnansweredLines
from puffinford.core.values import Busy, ClientConnection, Failed, Opening, PeerConnection, ServerEntry
from puffinford.hashing import stable_hash


class ServerAttempt:
    """One attempt to connect a request to a server."""

    __slots__ = ("connection", "entry", "number", "scope", "sent", "started_at", "unanswered")

    def __init__(self, entry: ServerEntry, number: int, started_at: float) -> None:
        self.entry = entry
        self.number = number
        self.started_at = started_at
        self.scope = anyio.CancelScope()
        self.connection: PeerConnection | None = None  # set when established
        self.sent = False  # the opening has been written completely: the server may run it
        self.unanswered = UnansweredLines()


class ClientRequest:
    """One request, from its opening to the end of its connection."""

    def __init__(self, opening: Opening, client: ClientConnection, deadline: float) -> None:
        self.opening = opening
        self.client = client
        self.deadline = deadline
        self.tasks: anyio.abc.TaskGroup
        self.attempt: ServerAttempt | None = None
        self.attempt_count = 0
        self.up = anyio.Event()
        self.done = anyio.Event()
        self.client_closed = False  # the client has closed its sending side
        self.client_left = False  # the client has closed or reset its connection, or cancelled
        self.may_have_run = False  # a server has been sent the opening and has not said that it did nothing
        self.completion: Completion | None = None

    @property
    def id(self) -> str:
        """The client's id of the request."""
        return self.opening.request_id

    @property
    def key(self) -> int:
        """The opening's key as an integer."""
        return numeric_key(self.opening.key)

    @property
    def is_established(self) -> bool:
        """Whether the server's connection is open and the request not completed."""
        return self.completion is None and self.attempt is not None and self.attempt.connection is not None


class Completion:
    """How a request ends: with a final answer, or by closing both connections.

    `broken`: the client's connection is reset. `move`: the client is asked to reconnect."""

    __slots__ = ("answer", "broken", "move")

    def __init__(
        self, answer: Busy | Failed | None = None, *, broken: bool = False, move: bool = False
    ) -> None:
        self.answer = answer
        self.broken = broken
        self.move = move


class RequestTable(dict[str, ClientRequest]):
    """Requests in progress by id."""

    def established(self) -> list[tuple[ClientRequest, ServerAttempt]]:
        """Requests with an established connection, each with its successful attempt."""
        return [
            (request, request.attempt)
            for request in self.values()
            if request.is_established and request.attempt is not None
        ]

    def is_established(self, request_id: str) -> bool:
        """Whether the request exists and its connection is established."""
        request = self.get(request_id)
        return request is not None and request.is_established


def numeric_key(text: str) -> int:
    """Return a key or group as an integer that is the same at every balancer."""
    try:
        return int(text, 16)
    except ValueError:
        return stable_hash(text)
