"""The list service of a scale run: `python -m puffinford.scale.list_service_process`, started by the driver.

Reads its `ListServiceSpec` and then commands as JSON lines from standard input, and writes reports to
standard output. Ends when its input is closed.
"""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import AsyncIterator

import anyio
import anyio.abc

from puffinford.scale.messages import (
    Change,
    Changed,
    Cut,
    Finish,
    GroupTally,
    Listening,
    ListServiceSpec,
    ListTally,
    Outage,
    Plan,
    ResetWatches,
    ToListService,
    decode,
)
from puffinford.scale.pipes import read_lines, send_to_driver
from puffinford.standins.lists import ListService

REPORT_INTERVAL_S = 0.5


class ListServiceProcess:
    """Runs the list service and applies the driver's commands to it."""

    def __init__(self, spec: ListServiceSpec) -> None:
        self._spec = spec
        self._service = ListService(spec.service_ms)
        for entry in spec.servers:
            self._service.put(str(entry["id"]), **{name: entry[name] for name in entry if name != "id"})

    async def run(self, commands: AsyncIterator[bytes]) -> None:
        """Serve and handle commands until `Finish` or the end of the input."""
        send_to_driver(Listening(await self._service.open(self._spec.groups)))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._report_periodically)
            async for line in commands:
                command: ToListService = decode(line, ToListService)
                match command:
                    case Plan():
                        for change in command.changes:
                            self._schedule(change.at, change)
                    case ResetWatches():
                        tasks.start_soon(self._reset_watches, command)
                    case Outage():
                        tasks.start_soon(self._take_down, command)
                    case Cut():
                        tasks.start_soon(self._cut, command)
                    case Finish():
                        send_to_driver(self._tally())
                        break
            tasks.cancel_scope.cancel()

    def _schedule(self, at_ms: float, change: Change) -> None:
        asyncio.get_running_loop().call_later(
            max(0.0, at_ms / 1_000.0 - time.time()), self._apply_change, change
        )

    def _apply_change(self, change: Change) -> None:
        at_ms = time.time() * 1_000.0
        version = self._service.put(change.ident, state=change.state, weight=change.weight)
        send_to_driver(Changed(version, at_ms))

    async def _reset_watches(self, command: ResetWatches) -> None:
        await _sleep_until(command.at)
        self._service.reset_all()

    async def _take_down(self, command: Outage) -> None:
        await _sleep_until(command.at)
        self._service.close()
        await anyio.sleep(command.for_ms / 1_000.0)
        await self._service.open(self._spec.groups)

    async def _cut(self, command: Cut) -> None:
        await _sleep_until(command.at)
        self._service.silent.add(command.group)
        await anyio.sleep(command.for_ms / 1_000.0)
        self._service.silent.discard(command.group)

    async def _report_periodically(self) -> None:
        while True:
            await anyio.sleep(REPORT_INTERVAL_S)
            send_to_driver(self._tally())

    def _tally(self) -> ListTally:
        groups = {
            name: GroupTally(counts.calls, counts.bytes_received, counts.bytes_sent)
            for name, counts in self._service.counts.items()
        }
        return ListTally(
            groups=groups,
            calls_by_second=dict(self._service.calls_by_second),
            queue_most=self._service.max_queue_length,
            broken=self._service.reset_count,
            cpu_s=time.process_time(),
        )


async def _sleep_until(at_ms: float) -> None:
    await anyio.sleep(max(0.0, at_ms / 1_000.0 - time.time()))


async def _main() -> None:
    commands = read_lines(sys.stdin.fileno())
    spec: ListServiceSpec = decode(await anext(commands), ListServiceSpec)
    await ListServiceProcess(spec).run(commands)


if __name__ == "__main__":
    anyio.run(_main)
