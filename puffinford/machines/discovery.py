"""The discovery watch: HTTP/1.1 through h11, one call after the other, and others beside one that is late.

A change counts as told 6 s after discovery had it and could be reached, whatever calls failed. The bound on
the list's staleness, in ms (docs/design-ends.md has the arithmetic): a watch that falls silent is out for
WAIT + LATE + JITTER, a call beside it that hangs too for BESIDE + JITTER; after a failure the module pauses
3,000 at most, and two calls that hang take as long each. Either leaves the answer itself 400 ms or more.
"""

from __future__ import annotations

import json
import logging
import random
from collections.abc import Callable

import anyio
import anyio.abc
import h11

from puffinford.core.clock import Clock
from puffinford.core.values import MachineList
from puffinford.machines.entries import BadEntry, machine_list

log = logging.getLogger(__name__)

WAIT = 4_000  # how long a watch call may wait at discovery: what a call that hangs holds back
LATE = 400.0  # after its wait a watch without an answer is late ...
BESIDE = 1_000.0  # ... as any call is after this: another, which does not wait, goes beside it ...
BESIDE_LONG = 2_500.0  # ... and once OUT_MOST are out, so that a long silence costs discovery few calls
JITTER = 100.0  # at most, drawn each time: watches that fell silent together are not late together
OUT_MOST = 3  # calls out at once; discovery's queue alone may take 3 s, so one is not given up before
SAME_LEAST = 100.0  # between answers with no news, with room for the 200 ms in which a watch goes on
MOVED_FOR = 4_000.0  # after a move its news counts as told; until then a failed call is repeated soon
MOVED_RETRY = 250.0
AGENT_RETRY = 150.0  # where lists are pushed: a watch goes on if the next call follows within 200 ms
SAID_EVERY = 10_000.0  # a call that fails again and again is logged no more often
ANSWER_MOST = 4 << 20
WHOLE = "/v1/servers"


class CallFailed(Exception):
    """A call brought no list."""


class DiscoveryWatch:
    """Calls discovery when the module asks; the module also paces the calls after a failure."""

    def __init__(
        self,
        address: tuple[str, int],
        version: int | None,
        clock: Clock,
        take: Callable[[MachineList | None], int | None],
        unprompted: bool = False,
        rng: random.Random | None = None,
    ) -> None:
        """`take` hears each answer, or None for a call that failed, and says from which version the next call
        goes on:
        None for the whole list. `version` is where the first call goes on from."""
        self._address = address
        self._version = version  # 0 is a version too
        self._rng = rng or random.Random()
        self._clock = clock
        self._take = take
        self._unprompted = unprompted  # the module takes changes for told without asking
        self._watching: anyio.CancelScope | None = None
        self._moved_at = float("-inf")
        self._said_at = float("-inf")
        self._asked = False
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

    def move(self, address: tuple[str, int]) -> None:
        """Discovery answers at another address from now on: ask there at once, for the whole list.

        Guards against the news between two addresses: a version of the old one may mean nothing at the
        new one. The list held stays in force until the answer is there.
        """
        if address == self._address:
            return
        log.info("discovery moved", extra={"to": "{}:{}".format(*address)})
        self._address = address
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
            self._tasks.start_soon(self._once, WHOLE, 0.0)

    async def _watch(self, scope: anyio.CancelScope) -> None:
        """Calls on end: the rules count one watch while each next call follows within 200 ms."""
        with scope:
            while True:
                # Guards a new process against being told nothing for seconds: the known list may be old, and
                # until it has heard from discovery it is not ready.
                wait = WAIT if self._version is not None and self._asked else 0
                self._asked = True
                began, version = self._clock.now(), self._version
                if await self._once(self._path(wait), wait):
                    if wait and self._version == version and self._clock.now() < began + SAME_LEAST:
                        # Guards our own core against a discovery that answers a watch at once without news.
                        await self._clock.sleep(SAME_LEAST)
                    continue
                if self._unprompted:
                    # Guards the drains: what the agent of our own machine has counts as told, and it
                    # costs nothing to ask. The pauses that the module makes are seconds long.
                    await self._clock.sleep(AGENT_RETRY * (0.5 + 0.5 * self._rng.random()))
                    continue
                if self._clock.now() - self._moved_at >= MOVED_FOR:
                    break  # the module asks again
                # Guards discovery against all balancers of a reload asking in step.
                await self._clock.sleep(MOVED_RETRY * (0.5 + self._rng.random()))
        if self._watching is scope:
            self._watching = None

    def _path(self, wait: int) -> str:
        return WHOLE if self._version is None else f"{WHOLE}?index={self._version}&wait={wait}"

    async def _once(self, path: str, wait: float) -> bool:
        """One answer: that of whichever call brings it first, the one for `path` or those beside it."""
        try:
            machines = await self._first(path, wait)
        except CallFailed as exc:
            self._say(path, str(exc))
            self._take(None)
            return False
        self._said_at = float("-inf")
        log.info("discovery", extra={"version": machines.version, "entries": len(machines.machines)})
        self._version = self._take(machines)
        return True

    def _say(self, path: str, error: str) -> None:
        if self._clock.now() >= self._said_at + SAID_EVERY:
            self._said_at = self._clock.now()
            log.warning("discovery failed", extra={"path": path, "error": error})

    async def _first(self, path: str, wait: float) -> MachineList:
        """Guards the list's age against calls that hang: none is waited for alone.

        Raises CallFailed once every call out has failed.
        """
        answer: MachineList | None = None
        failure = CallFailed("no call was made")
        out: dict[anyio.CancelScope, None] = {}  # the oldest first
        async with anyio.create_task_group() as calls:

            async def call(path: str) -> None:
                nonlocal answer, failure
                with anyio.CancelScope() as scope:
                    out[scope] = None
                    try:
                        answer = await self._call(path)
                    except CallFailed as exc:
                        failure = exc
                    out.pop(scope, None)
                    if answer is not None or not out:
                        calls.cancel_scope.cancel()

            calls.start_soon(call, path)
            late = wait + LATE if wait else BESIDE
            while True:
                await self._clock.sleep(late + JITTER * self._rng.random())
                if len(out) >= OUT_MOST:
                    oldest = next(iter(out))
                    del out[oldest]
                    oldest.cancel()
                    self._say(path, "no answer in time")
                calls.start_soon(call, self._path(0))
                late = BESIDE if len(out) < OUT_MOST - 1 else BESIDE_LONG
        if answer is None:
            raise failure
        return answer

    async def _call(self, path: str) -> MachineList:
        try:
            body = await self._get(path)
        except (OSError, anyio.BrokenResourceError, anyio.EndOfStream, h11.ProtocolError) as exc:
            raise CallFailed(f"{type(exc).__name__}: {exc}") from None
        try:
            return machine_list(
                json.loads(body),
                self._clock.from_unix,
                lambda text: log.warning("discovery entry rejected", extra={"error": text}),
            )
        except (BadEntry, ValueError, RecursionError) as exc:
            raise CallFailed(f"not a list: {exc}") from None

    async def _get(self, path: str) -> bytes:
        host, port = self._address
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
