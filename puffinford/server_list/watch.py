"""Long-polling watch of a list over HTTP/1.1, with hedged calls ("The Tail at Scale", Dean and Barroso 2013).

Calls follow one another. When a call is overdue, a second one (the hedge), which does not wait for a change,
is made to another endpoint. The decoder, the timing and the endpoints are parameters, so that a
balancer watching discovery, a balancer watching relays and a relay watching its source share this code.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

import anyio
import anyio.abc
import h11

from puffinford.core.clock import Clock
from puffinford.core.transient_errors import RETRY_PAUSES_MS, is_transient
from puffinford.server_list.endpoints import Address, EndpointSelector, RetryPolicy

log = logging.getLogger(__name__)

MAX_CONCURRENT_CALLS = 3  # discovery may queue a call for 3 s, so an overdue one is not cancelled at once
MIN_UNCHANGED_INTERVAL_MS = (
    100.0  # between answers without a change; below the gap of 200 ms that ends a watch
)
MOVED_RETRY_DURATION_MS = 4_000.0  # after a change of endpoints, failed calls are repeated here for this long
MOVED_RETRY_MS = 250.0
AGENT_RETRY_MS = 150.0  # a watch counts as uninterrupted if the next call follows within 200 ms
SUSPECT_DURATION_MS = 10_000.0  # one endpoint alone is not trusted with an older list for this long
FAILURE_LOG_INTERVAL_MS = 10_000.0
MAX_ANSWER_BYTES = 4 << 20
LIST_PATH = "/v1/servers"


class CallFailed(Exception):
    """A call did not yield a list; the text gives the reason."""


class ListAnswer(Protocol):
    """A decoded answer."""

    @property
    def version(self) -> int:
        """The version of the list."""
        ...

    @property
    def size(self) -> int:
        """The number of entries."""
        ...


Answer = TypeVar("Answer", bound=ListAnswer)


@dataclass(frozen=True, slots=True)
class WatchTiming:
    """Timeouts and pauses of a watch, in ms."""

    wait: int = 4_000  # how long the endpoint may hold a watch call open until there is a change
    answer_grace: float = 400.0  # a watch call is overdue this long after its wait
    hedge_delay: float = 1_000.0  # any other call is overdue after this; a hedge is made for an overdue call
    max_hedge_delay: float = 2_500.0  # instead of `hedge_delay` once MAX_CONCURRENT_CALLS are pending
    jitter: float = 100.0  # up to this is added at random, so that watches do not become overdue in step
    retry: RetryPolicy | None = None  # pauses after a failure; None: the owner decides when to call again


@dataclass(frozen=True, slots=True)
class ListCall:
    """One call. `index` is the version held, None to ask for the full list; `wait` and `sent_at` are ms."""

    endpoint: Address
    index: int | None
    wait: float
    sent_at: float

    @property
    def path(self) -> str:
        """The target of the HTTP request."""
        if self.index is None:
            return LIST_PATH
        return f"{LIST_PATH}?index={self.index}&wait={self.wait:.0f}"


@dataclass(frozen=True, slots=True)
class ReceivedAnswer(Generic[Answer]):
    """An answer with its call and its arrival time in ms."""

    answer: Answer
    list_call: ListCall
    received_at: float


@dataclass(frozen=True, slots=True)
class _SuspectAnswer:
    """An answer from `endpoint`, received at `suspected_at` ms, whose version was below `held_version`."""

    held_version: int
    endpoint: Address
    suspected_at: float

    def is_repeated_by(self, received: ReceivedAnswer[Answer]) -> bool:
        """Whether an answer from the same endpoint is older than the held list too.

        Prevents one relay that was restarted with an older list from replacing a newer one: its list is
        rejected until SUSPECT_DURATION_MS have passed without an answer from another endpoint.
        """
        older = received.answer.version < self.held_version and received.list_call.endpoint == self.endpoint
        return older and received.received_at < self.suspected_at + SUSPECT_DURATION_MS


class ListWatch(Generic[Answer]):
    """Calls a list service repeatedly while subscribed."""

    def __init__(
        self,
        endpoints: EndpointSelector,
        version: int | None,
        clock: Clock,
        decode: Callable[[bytes], Answer],
        on_answer: Callable[[ReceivedAnswer[Answer] | None], int | None],
        timing: WatchTiming,
        always_subscribed: bool = False,
        rng: random.Random | None = None,
    ) -> None:
        """`decode` parses a body and raises CallFailed. `on_answer` receives each answer, or None for a
        failed call, and returns the version from which the next call continues (None: ask for the full list).
        The first call continues from `version`. With `always_subscribed` the watch starts with `run`, without
        a call of `subscribe`.
        """
        self._endpoints = endpoints
        self._version = version  # 0 is a valid version
        self._suspect: _SuspectAnswer | None = None
        self._rng = rng or random.Random()
        self._clock = clock
        self._decode = decode
        self._on_answer = on_answer
        self._timing = timing
        self._always_subscribed = always_subscribed
        self._watch_scope: anyio.CancelScope | None = None
        self._endpoints_changed_at = float("-inf")
        self._failure_logged_at = float("-inf")
        self._has_called = False
        self._last_endpoint: Address | None = None
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Make the calls that are requested, until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            if self._always_subscribed:
                self.subscribe(True)
            await anyio.sleep_forever()

    def subscribe(self, on: bool) -> None:
        """Start the watch, or stop it."""
        if on and self._watch_scope is not None:
            return  # discovery answers one call at a time, so there is one watch
        self._stop()
        if on and self._tasks is not None:
            self._watch_scope = anyio.CancelScope()
            self._tasks.start_soon(self._watch, self._watch_scope)

    def _stop(self) -> None:
        if self._watch_scope is not None:
            self._watch_scope.cancel()
            self._watch_scope = None

    def use_endpoints(self, endpoints: EndpointSelector) -> None:
        """Switch to other endpoints and ask them for the full list at once."""
        self._endpoints = endpoints
        self._version = None
        self._endpoints_changed_at = self._clock.now()
        self._stop()
        self.subscribe(True)

    def refresh(self) -> bool:
        """Replace the pending call by one that is answered at once; returns True, as an answer will follow.

        Prevents a process that was suspended from waiting seconds for an update: the pending call has timed
        out, even if its answer is in the receive buffer.
        """
        self._has_called = False
        self._stop()
        self.subscribe(True)
        return True

    def fetch(self) -> None:
        """Ask for the full list once, beside the watch."""
        if self._tasks is not None:
            self._tasks.start_soon(self._fetch_once, None, 0)

    async def _watch(self, scope: anyio.CancelScope) -> None:
        """Call continuously; calls less than 200 ms apart count as one uninterrupted watch."""
        with scope:
            while True:
                # The first call does not wait: a restored list may be old, and a new process is not ready
                # before discovery has answered.
                wait = self._timing.wait if self._version is not None and self._has_called else 0
                self._has_called = True
                started_at, version = self._clock.now(), self._version
                if await self._fetch_once(self._next_index(), wait):
                    if (
                        wait
                        and self._version == version
                        and self._clock.now() < started_at + MIN_UNCHANGED_INTERVAL_MS
                    ):
                        # Prevents a busy loop when discovery answers watch calls at once without a change.
                        await self._clock.sleep(MIN_UNCHANGED_INTERVAL_MS)
                    elif version is None and self._version is None:
                        # Prevents a busy loop when every answer is rejected.
                        await self._clock.sleep(MIN_UNCHANGED_INTERVAL_MS)
                    continue
                if self._timing.retry is not None:
                    self._has_called = False
                    await self._clock.sleep(self._endpoints.retry_pause())
                    continue
                if self._always_subscribed:
                    # Changes count as announced once the local agent has them, and local calls are cheap. The
                    # decision module's pauses of seconds would delay drains.
                    await self._clock.sleep(AGENT_RETRY_MS * (0.5 + 0.5 * self._rng.random()))
                    continue
                if self._clock.now() - self._endpoints_changed_at >= MOVED_RETRY_DURATION_MS:
                    break  # the decision module subscribes again
                # Prevents balancers that were reloaded together from calling discovery in step.
                await self._clock.sleep(MOVED_RETRY_MS * (0.5 + self._rng.random()))
        if self._watch_scope is scope:
            self._watch_scope = None

    def _next_index(self) -> int | None:
        """The version from which the next call continues.

        After a suspect answer this is the version held before it, so that another endpoint is asked for newer
        changes before an older list is believed.
        """
        if self._version is None and self._suspect is not None:
            return self._suspect.held_version
        return self._version

    async def _fetch_once(self, index: int | None, wait: int) -> bool:
        """Make one call, with its hedges, and pass the first answer on; returns whether it was accepted."""
        chosen = self._endpoints.choose(self._clock.now())
        if self._timing.retry is not None and chosen != self._last_endpoint:
            wait = 0  # a newly chosen endpoint may hang: ask for an immediate answer first
        list_call = ListCall(chosen, index, wait if index is not None else 0, self._clock.now())
        try:
            received = await self._first_answer(list_call)
        except CallFailed as exc:
            self._log_failure(list_call.path, str(exc))
            self._on_answer(None)
            return False
        if self._suspect is not None and self._suspect.is_repeated_by(received):
            self._endpoints.record_failure(received.list_call.endpoint, received.received_at)
            self._log_failure(
                list_call.path, f"version {received.answer.version} after {self._suspect.held_version}"
            )
            self._on_answer(None)
            return False
        self._failure_logged_at = float("-inf")
        self._last_endpoint = received.list_call.endpoint
        log.info("discovery", extra={"version": received.answer.version, "entries": received.answer.size})
        held = self._version
        self._version = self._on_answer(received)
        self._update_suspect(received, held)
        return True

    def _update_suspect(self, received: ReceivedAnswer[Answer], held: int | None) -> None:
        """After an answer, keep its endpoint or mark it as suspect and switch to another."""
        endpoint = received.list_call.endpoint
        if self._version is not None or len(self._endpoints) == 1:
            self._suspect = None
            self._endpoints.record_answer(endpoint, received.received_at)
            return
        self._suspect = None if held is None else _SuspectAnswer(held, endpoint, received.received_at)
        self._endpoints.record_failure(endpoint, received.received_at)

    def _log_failure(self, path: str, error: str) -> None:
        if self._clock.now() >= self._failure_logged_at + FAILURE_LOG_INTERVAL_MS:
            self._failure_logged_at = self._clock.now()
            log.warning("discovery failed", extra={"path": path, "error": error})

    async def _first_answer(self, list_call: ListCall) -> ReceivedAnswer[Answer]:
        """Return the first answer to a call or to its hedges, and cancel the others.

        A hedge is made each time the latest call is overdue, which bounds the list's age when calls hang.
        Raises CallFailed once every pending call has failed.
        """
        timing = self._timing
        received: ReceivedAnswer[Answer] | None = None
        failure = CallFailed("no call was made")
        pending: dict[anyio.CancelScope, Address] = {}  # oldest first
        async with anyio.create_task_group() as calls:

            async def call(list_call: ListCall) -> None:
                nonlocal received, failure
                with anyio.CancelScope() as scope:
                    pending[scope] = list_call.endpoint
                    try:
                        answer = await self._call(list_call)
                        received = ReceivedAnswer(answer, list_call, self._clock.now())
                    except CallFailed as exc:
                        failure = exc
                        self._endpoints.record_failure(list_call.endpoint, self._clock.now())
                    pending.pop(scope, None)
                    if received is not None or not pending:
                        calls.cancel_scope.cancel()

            calls.start_soon(call, list_call)
            overdue_after = list_call.wait + timing.answer_grace if list_call.wait else timing.hedge_delay
            while True:
                await self._clock.sleep(overdue_after + timing.jitter * self._rng.random())
                endpoint = self._endpoints.choose_hedge(pending.values())
                if len(pending) >= MAX_CONCURRENT_CALLS:
                    oldest = next(iter(pending))
                    del pending[oldest]
                    oldest.cancel()
                    self._log_failure(list_call.path, "call cancelled: no answer in time")
                calls.start_soon(call, ListCall(endpoint, self._next_index(), 0, self._clock.now()))
                overdue_after = (
                    timing.hedge_delay if len(pending) < MAX_CONCURRENT_CALLS - 1 else timing.max_hedge_delay
                )
        if received is None:
            raise failure
        return received

    async def _call(self, list_call: ListCall) -> Answer:
        """Make a call, with retries while this host is briefly short of descriptors, ports or buffers."""
        pauses = iter(RETRY_PAUSES_MS)
        while True:
            try:
                return self._decode(await self._get(list_call.endpoint, list_call.path))
            except (OSError, anyio.BrokenResourceError, anyio.EndOfStream, h11.ProtocolError) as exc:
                pause = next(pauses, None)
                if pause is None or not is_transient(exc):
                    raise CallFailed(f"{type(exc).__name__}: {exc}") from None
            await self._clock.sleep(pause)

    async def _get(self, endpoint: Address, path: str) -> bytes:
        host, port = endpoint
        connection = h11.Connection(h11.CLIENT)
        headers = [("Host", f"{host}:{port}"), ("Accept", "application/json"), ("Connection", "close")]
        request = h11.Request(method="GET", target=path, headers=headers)
        async with await anyio.connect_tcp(host, port) as stream:
            await stream.send(connection.send(request) + connection.send(h11.EndOfMessage()))
            body = bytearray()
            status = 0
            while True:
                event = connection.next_event()
                if event is h11.NEED_DATA:
                    try:
                        connection.receive_data(await stream.receive())
                    except anyio.EndOfStream:
                        connection.receive_data(b"")
                elif isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.Data):
                    body += event.data
                    if len(body) > MAX_ANSWER_BYTES:
                        raise CallFailed("answer too long: more than 4 MiB")
                elif isinstance(event, h11.EndOfMessage):
                    break
                elif isinstance(event, h11.ConnectionClosed):
                    raise CallFailed("connection closed before a complete answer")
        if status != 200:
            raise CallFailed(f"status {status}")
        return bytes(body)
