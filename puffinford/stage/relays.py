"""Links in processes of their own, so that thousands of them do not hold up the play.

Each relay process holds a share of the links. It is told what to do in lines of JSON on its standard input,
answers each in one line, and ends when that input does:

    {"make": [[NAME, PORT], ...]}             ->  {"ports": [PORT, ...]}
    {"become": [NAME, ...], "do": FAULT}      ->  {}
    {"tell": true}                            ->  {"lateness": MS, "lines": N, "passed": BYTES}
"""

from __future__ import annotations

import contextlib
import json
import os
import resource
import subprocess
import sys
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import asynccontextmanager
from typing import Any

import anyio
import anyio.abc
from anyio.streams.buffered import BufferedByteReceiveStream

from puffinford.core.clock import Clock
from puffinford.stage.faults import read_fault
from puffinford.stage.links import Link
from puffinford.standins.listeners import HOST

LINE_MOST = 1 << 24  # bytes of one command: the links of hundreds of balancers
END_WITHIN = 2.0  # seconds


class RelayEnded(Exception):
    """A relay process is gone, and its links with it."""


class _Relay:
    def __init__(self, number: int, process: anyio.abc.Process) -> None:
        assert process.stdin is not None and process.stdout is not None
        self._number = number
        self._process = process
        self._send = process.stdin
        self._take = BufferedByteReceiveStream(process.stdout)
        self._one = anyio.Lock()  # guards answers against being taken by another question

    async def ask(self, told: dict[str, Any]) -> dict[str, Any]:
        async with self._one:
            try:
                await self._send.send(json.dumps(told).encode() + b"\n")
                answer = json.loads(await self._take.receive_until(b"\n", LINE_MOST))
            except (anyio.BrokenResourceError, anyio.IncompleteRead, anyio.EndOfStream, OSError) as exc:
                raise RelayEnded(f"relay {self._number} ended: {type(exc).__name__}") from None
        if "error" in answer:
            raise RelayEnded(f"relay {self._number}: {answer['error']}")
        return dict(answer)


class LinkRelays:
    """Some relay processes with their links. Made by `start_relays`."""

    def __init__(self, parts: Sequence[_Relay]) -> None:
        self._parts = parts
        self._holder: dict[str, _Relay] = {}
        self.ports: dict[str, int] = {}  # to connect to, on HOST, by the link's name
        self.max_lateness_ms = (
            0.0  # ms: the most that a piece was passed on after it was due, as far as it was told
        )

    async def add_links(self, number: int, links: Mapping[str, int]) -> None:
        """Make links, by name with the ports that they lead to, in the relay process of this number."""
        relay = self._parts[number % len(self._parts)]
        answer = await relay.ask({"make": list(links.items())})
        for name, port in zip(links, answer["ports"], strict=True):
            self.ports[name] = port
            self._holder[name] = relay

    async def set_fault(self, names: Sequence[str], do: str) -> None:
        """Change what these links do; each relay is told once."""
        for relay in self._parts:
            mine = [name for name in names if self._holder[name] is relay]
            if mine:
                await relay.ask({"become": mine, "do": do})

    async def poll_lateness(self) -> None:
        """Ask all of them how late they were; raises RelayEnded where one is gone."""
        for relay in self._parts:
            told = await relay.ask({"tell": True})
            self.max_lateness_ms = max(self.max_lateness_ms, told["lateness"])


@asynccontextmanager
async def start_relays(count: int) -> AsyncIterator[LinkRelays]:
    """So many relay processes, ended with the block."""
    async with contextlib.AsyncExitStack() as stack:
        processes, parts = [], []
        for number in range(count):
            words = [sys.executable, "-m", "puffinford.stage.relays"]
            env = {"PATH": os.environ.get("PATH", ""), "PYTHONPATH": os.pathsep.join(filter(None, sys.path))}
            process = await anyio.open_process(words, stderr=None, stdin=subprocess.PIPE, env=env)
            processes.append(process)
            stack.push_async_callback(_end, process)
            parts.append(_Relay(number + 1, process))
        yield LinkRelays(parts)


async def _end(process: anyio.abc.Process) -> None:
    with anyio.CancelScope(shield=True):
        if process.stdin is not None:
            with contextlib.suppress(anyio.BrokenResourceError, OSError):
                await process.stdin.aclose()
        with anyio.move_on_after(END_WITHIN):
            await process.wait()
        if process.returncode is None:
            process.kill()
        await process.aclose()


async def _serve() -> None:
    """One relay process."""
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    links: dict[str, Link] = {}
    clock = Clock()
    async with anyio.create_task_group() as tasks:

        async def carry_out(told: dict[str, Any]) -> dict[str, Any]:
            if "make" in told:
                made = []
                for name, port in told["make"]:
                    links[name] = Link(name, (HOST, port), clock, tasks)
                    made.append(links[name].port)
                return {"ports": made}
            if "become" in told:
                fault = read_fault(told["do"])
                for name in told["become"]:
                    await links[name].set_fault(fault)
                return {}
            return {
                "lateness": max((link.max_lateness_ms for link in links.values()), default=0.0),
                "lines": sum(link.accepted_connections for link in links.values()),
                "passed": sum(link.forwarded_bytes for link in links.values()),
            }

        while line := await anyio.to_thread.run_sync(sys.stdin.readline, abandon_on_cancel=True):
            try:
                answer = await carry_out(json.loads(line))
            except (ValueError, KeyError, OSError) as exc:
                answer = {"error": f"{type(exc).__name__}: {exc}"}
            print(json.dumps(answer), flush=True)
        tasks.cancel_scope.cancel()


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        anyio.run(_serve)
