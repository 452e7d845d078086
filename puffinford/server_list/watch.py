"""The watch of a list: HTTP/1.1 through h11, one call after the other, and others beside one that is late.

What the answers are decoded to, how long calls take and where they go is given to the watch: a balancer at
the list service, a balancer at relays and a relay at its source are the same watch.
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

MAX_CONCURRENT_CALLS = (
    3  # calls out at once; discovery's queue alone may take 3 s, so one is not given up before
)
SAME_LEAST = 100.0  # between answers with no news, with room for the 200 ms in which a watch goes on
MOVED_FOR = 4_000.0  # after a move its news counts as told; until then a failed call is repeated soon
MOVED_RETRY = 250.0
AGENT_RETRY_MS = 150.0  # where lists are pushed: a watch goes on if the next call follows within 200 ms
DOUBT_FOR = 10_000.0  # so long an older list is not believed that one of several endpoints tells alone
SAID_EVERY = 10_000.0  # a call that fails again and again is logged no more often
ANSWER_MOST = 4 << 20
WHOLE = "/v1/servers"


class CallFailed(Exception):
    """A call brought no list."""


class ListAnswer(Protocol):
    """What an answer is decoded to."""

    @property
    def version(self) -> int: ...

    @property
    def size(self) -> int:
        """The number of its entries."""
        ...


Answer = TypeVar("Answer", bound=ListAnswer)


@dataclass(frozen=True, slots=True)
class WatchTiming:
    """How long calls take, in ms."""

    wait: int = 4_000  # how long a watch call may wait at its endpoint: what a call that hangs holds back
    answer_grace: float = 400.0  # after its wait a watch without an answer is late ...
    hedge_delay: float = (
        1_000.0  # ... as any call is after this: another, which does not wait, goes beside it ...
    )
    max_hedge_delay: float = 2_500.0  # ... and once OUT_MOST are out, so that a long silence costs few calls
    jitter: float = 100.0  # at most, drawn each time: watches that fell silent together are not late together
    retry: RetryPolicy | None = None  # how a watch paces itself after a failure; None: its owner paces it


@dataclass(frozen=True, slots=True)
class ListCall:
    """One call. `index` is None where it asks for the whole list; `wait` and `sent_at` are ms."""

    endpoint: Address
    index: int | None
    wait: float
    sent_at: float

    @property
    def path(self) -> str:
        if self.index is None:
            return WHOLE
        return f"{WHOLE}?index={self.index}&wait={self.wait:.0f}"


@dataclass(frozen=True, slots=True)
class ReceivedAnswer(Generic[Answer]):
    """An answer, with the call that it answers and when it was there."""

    answer: Answer
    list_call: ListCall
    received_at: float


@dataclass(frozen=True, slots=True)
class _Doubt:
    """An answer below the version `held` came from `endpoint`, at `since` ms."""

    held: int
    endpoint: Address
    since: float

    def stays(self, heard: ReceivedAnswer[Answer]) -> bool:
        """Whether an answer says no more than what is doubted.

        Guards against one relay that was restarted with an older list: while there are others, it is not
        believed for saying it again, until these have been silent for long.
        """
        older = heard.answer.version < self.held and heard.list_call.endpoint == self.endpoint
        return older and heard.received_at < self.since + DOUBT_FOR


class ListWatch(Generic[Answer]):
    """Calls a list service for as long as it is subscribed."""

    def __init__(
        self,
        endpoints: EndpointSelector,
        version: int | None,
        clock: Clock,
        decode: Callable[[bytes], Answer],
        take: Callable[[ReceivedAnswer[Answer] | None], int | None],
        timing: WatchTiming,
        always_subscribed: bool = False,
        rng: random.Random | None = None,
    ) -> None:
        """`decode` reads a body and raises CallFailed. `take` hears each answer, or None for a call that
        failed, and says from which version the next call goes on: None for the whole list. `version` is where
        the first call goes on from. `always_subscribed`: it watches from the start, and is never told to.
        """
        self._endpoints = endpoints
        self._version = version  # 0 is a version too
        self._doubt: _Doubt | None = None
        self._rng = rng or random.Random()
        self._clock = clock
        self._decode = decode
        self._take = take
        self._timing = timing
        self._unprompted = always_subscribed
        self._watching: anyio.CancelScope | None = None
        self._moved_at = float("-inf")
        self._said_at = float("-inf")
        self._asked = False
        self._heard_from: Address | None = None
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            if self._unprompted:
                self.subscribe(True)
            await anyio.sleep_forever()

    def subscribe(self, on: bool) -> None:
        if on and self._watching is not None:
            return  # one watch is enough, and discovery answers one call at a time
        self._stop()
        if on and self._tasks is not None:
            self._watching = anyio.CancelScope()
            self._tasks.start_soon(self._watch, self._watching)

    def _stop(self) -> None:
        if self._watching is not None:
            self._watching.cancel()
            self._watching = None

    def restart(self, endpoints: EndpointSelector) -> None:
        """Ask at other endpoints from now on, at once and for the whole list."""
        self._endpoints = endpoints
        self._version = None
        self._moved_at = self._clock.now()
        self._stop()
        self.subscribe(True)

    def refresh(self) -> bool:
        """Ask at once for what is new, in place of the call that is out.

        Guards a process that stood still against the call of before: its time is up, though its answer may be
        there unread, and the next one would come seconds later.
        """
        self._asked = False
        self._stop()
        self.subscribe(True)
        return True

    def fetch(self) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(self._once, None, 0)

    async def _watch(self, scope: anyio.CancelScope) -> None:
        """Calls on end: the rules count one watch while each next call follows within 200 ms."""
        with scope:
            while True:
                # Guards a new process against being told nothing for seconds: the known list may be old, and
                # until it has heard from discovery it is not ready.
                wait = self._timing.wait if self._version is not None and self._asked else 0
                self._asked = True
                began, version = self._clock.now(), self._version
                if await self._once(self._index(), wait):
                    if wait and self._version == version and self._clock.now() < began + SAME_LEAST:
                        # Guards our own core against a discovery that answers a watch at once without news.
                        await self._clock.sleep(SAME_LEAST)
                    elif version is None and self._version is None:
                        # Guards it against a discovery whose every answer is doubted.
                        await self._clock.sleep(SAME_LEAST)
                    continue
                if self._timing.retry is not None:
                    self._asked = False
                    await self._clock.sleep(self._endpoints.pause())
                    continue
                if self._unprompted:
                    # Guards the drains: what the agent of our own machine has counts as told, and it
                    # costs nothing to ask. The pauses that the module makes are seconds long.
                    await self._clock.sleep(AGENT_RETRY_MS * (0.5 + 0.5 * self._rng.random()))
                    continue
                if self._clock.now() - self._moved_at >= MOVED_FOR:
                    break  # the module asks again
                # Guards discovery against all balancers of a reload asking in step.
                await self._clock.sleep(MOVED_RETRY * (0.5 + self._rng.random()))
        if self._watching is scope:
            self._watching = None

    def _index(self) -> int | None:
        """What the next call goes on from.

        Guards against an endpoint that is behind: where there is another, it is asked whether there is
        anything newer than what is held before an older list is believed.
        """
        if self._version is None and self._doubt is not None:
            return self._doubt.held
        return self._version

    async def _once(self, index: int | None, wait: int) -> bool:
        """One answer: that of whichever call brings it first, the one for `index` or those beside it."""
        chosen = self._endpoints.choose(self._clock.now())
        if self._timing.retry is not None and chosen != self._heard_from:
            wait = 0  # guards the list's age against an endpoint that is tried, and may hang
        list_call = ListCall(chosen, index, wait if index is not None else 0, self._clock.now())
        try:
            heard = await self._first(list_call)
        except CallFailed as exc:
            self._say(list_call.path, str(exc))
            self._take(None)
            return False
        if self._doubt is not None and self._doubt.stays(heard):
            self._endpoints.failed(heard.list_call.endpoint, heard.received_at)
            self._say(list_call.path, f"version {heard.answer.version} after {self._doubt.held}")
            self._take(None)
            return False
        self._said_at = float("-inf")
        self._heard_from = heard.list_call.endpoint
        log.info("discovery", extra={"version": heard.answer.version, "entries": heard.answer.size})
        held = self._version
        self._version = self._take(heard)
        self._note_doubt(heard, held)
        return True

    def _note_doubt(self, heard: ReceivedAnswer[Answer], held: int | None) -> None:
        """After an answer: whether its endpoint is gone on with."""
        endpoint = heard.list_call.endpoint
        if self._version is not None or len(self._endpoints) == 1:
            self._doubt = None
            self._endpoints.answered(endpoint, heard.received_at)
            return
        self._doubt = None if held is None else _Doubt(held, endpoint, heard.received_at)
        self._endpoints.failed(endpoint, heard.received_at)

    def _say(self, path: str, error: str) -> None:
        if self._clock.now() >= self._said_at + SAID_EVERY:
            self._said_at = self._clock.now()
            log.warning("discovery failed", extra={"path": path, "error": error})

    async def _first(self, list_call: ListCall) -> ReceivedAnswer[Answer]:
        """Guards the list's age against calls that hang: none is waited for alone.

        Raises CallFailed once every call out has failed.
        """
        timing = self._timing
        heard: ReceivedAnswer[Answer] | None = None
        failure = CallFailed("no call was made")
        out: dict[anyio.CancelScope, Address] = {}  # the oldest first
        async with anyio.create_task_group() as calls:

            async def call(list_call: ListCall) -> None:
                nonlocal heard, failure
                with anyio.CancelScope() as scope:
                    out[scope] = list_call.endpoint
                    try:
                        answer = await self._call(list_call)
                        heard = ReceivedAnswer(answer, list_call, self._clock.now())
                    except CallFailed as exc:
                        failure = exc
                        self._endpoints.failed(list_call.endpoint, self._clock.now())
                    out.pop(scope, None)
                    if heard is not None or not out:
                        calls.cancel_scope.cancel()

            calls.start_soon(call, list_call)
            answer_grace = list_call.wait + timing.answer_grace if list_call.wait else timing.hedge_delay
            while True:
                await self._clock.sleep(answer_grace + timing.jitter * self._rng.random())
                endpoint = self._endpoints.choose_hedge(out.values())
                if len(out) >= MAX_CONCURRENT_CALLS:
                    oldest = next(iter(out))
                    del out[oldest]
                    oldest.cancel()
                    self._say(list_call.path, "no answer in time")
                calls.start_soon(call, ListCall(endpoint, self._index(), 0, self._clock.now()))
                answer_grace = (
                    timing.hedge_delay if len(out) < MAX_CONCURRENT_CALLS - 1 else timing.max_hedge_delay
                )
        if heard is None:
            raise failure
        return heard

    async def _call(self, list_call: ListCall) -> Answer:
        """Guards the list's age against what this machine lacks for a moment: it is waited out first."""
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
                    if len(body) > ANSWER_MOST:
                        raise CallFailed("the answer is too long")
                elif isinstance(event, h11.EndOfMessage):
                    break
                elif isinstance(event, h11.ConnectionClosed):
                    raise CallFailed("closed without an answer")
        if status != 200:
            raise CallFailed(f"status {status}")
        return bytes(body)
