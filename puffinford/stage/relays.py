"""Links in separate relay processes, so that thousands of them do not slow down the playing process.

Each relay process holds a share of the links. It reads commands as lines of JSON from its standard input,
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

MAX_ANSWER_BYTES = 1 << 24  # of one command: the links of hundreds of balancers
EXIT_TIMEOUT_S = 2.0


class RelayEnded(Exception):
    """A relay process has ended or reported an error, so its links are unusable."""


class _Relay:
    def __init__(self, number: int, process: anyio.abc.Process) -> None:
        assert process.stdin is not None and process.stdout is not None
        self._number = number
        self._process = process
        self._stdin = process.stdin
        self._stdout = BufferedByteReceiveStream(process.stdout)
        self._lock = anyio.Lock()  # one command at a time, so that each gets its own answer

    async def ask(self, command: dict[str, Any]) -> dict[str, Any]:
        async with self._lock:
            try:
                await self._stdin.send(json.dumps(command).encode() + b"\n")
                answer = json.loads(await self._stdout.receive_until(b"\n", MAX_ANSWER_BYTES))
            except (anyio.BrokenResourceError, anyio.IncompleteRead, anyio.EndOfStream, OSError) as exc:
                raise RelayEnded(f"relay {self._number} ended: {type(exc).__name__}") from None
        if "error" in answer:
            raise RelayEnded(f"relay {self._number}: {answer['error']}")
        return dict(answer)


class LinkRelays:
    """The relay processes with their links. Created by `start_relays`."""

    def __init__(self, processes: Sequence[_Relay]) -> None:
        self._processes = processes
        self._relay_of_link: dict[str, _Relay] = {}
        self.ports: dict[str, int] = {}  # on HOST, to connect to, by name of the link
        self.max_lateness_ms = 0.0  # longest delay of a chunk beyond its due time, as last polled

    async def add_links(self, number: int, links: Mapping[str, int]) -> None:
        """Open links in the relay process of this number; `links` maps names to the ports they lead to."""
        relay = self._processes[number % len(self._processes)]
        answer = await relay.ask({"make": list(links.items())})
        for name, port in zip(links, answer["ports"], strict=True):
            self.ports[name] = port
            self._relay_of_link[name] = relay

    async def set_fault(self, names: Sequence[str], do: str) -> None:
        """Set the fault of these links, with one command to each relay process."""
        for relay in self._processes:
            own = [name for name in names if self._relay_of_link[name] is relay]
            if own:
                await relay.ask({"become": own, "do": do})

    async def poll_lateness(self) -> None:
        """Update `max_lateness_ms` from all relay processes; raises RelayEnded if one has ended."""
        for relay in self._processes:
            report = await relay.ask({"tell": True})
            self.max_lateness_ms = max(self.max_lateness_ms, report["lateness"])


@asynccontextmanager
async def start_relays(count: int) -> AsyncIterator[LinkRelays]:
    """Start `count` relay processes, and end them when the block is left."""
    async with contextlib.AsyncExitStack() as stack:
        processes, handles = [], []
        for number in range(count):
            command = [sys.executable, "-m", "puffinford.stage.relays"]
            env = {"PATH": os.environ.get("PATH", ""), "PYTHONPATH": os.pathsep.join(filter(None, sys.path))}
            process = await anyio.open_process(command, stderr=None, stdin=subprocess.PIPE, env=env)
            processes.append(process)
            stack.push_async_callback(_end, process)
            handles.append(_Relay(number + 1, process))
        yield LinkRelays(handles)


async def _end(process: anyio.abc.Process) -> None:
    with anyio.CancelScope(shield=True):
        if process.stdin is not None:
            with contextlib.suppress(anyio.BrokenResourceError, OSError):
                await process.stdin.aclose()
        with anyio.move_on_after(EXIT_TIMEOUT_S):
            await process.wait()
        if process.returncode is None:
            process.kill()
        await process.aclose()


async def _serve() -> None:
    """Run one relay process: carry out the commands of standard input until it ends."""
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
    links: dict[str, Link] = {}
    clock = Clock()
    async with anyio.create_task_group() as tasks:

        async def carry_out(command: dict[str, Any]) -> dict[str, Any]:
            if "make" in command:
                opened_ports = []
                for name, port in command["make"]:
                    links[name] = Link(name, (HOST, port), clock, tasks)
                    opened_ports.append(links[name].port)
                return {"ports": opened_ports}
            if "become" in command:
                fault = read_fault(command["do"])
                for name in command["become"]:
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
