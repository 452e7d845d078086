"""The list service of a scale run as a process of its own: `python -m puffinford.scale.list_process`.

The first line of standard input is its `ListServiceSpec`; further lines are commands. It ends with its input.
"""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import AsyncIterator

import anyio
import anyio.abc

from puffinford.scale.channel import lines_from, tell
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
from puffinford.standins.lists import ListService

TELL_EVERY_S = 0.5


class ListProcess:
    """The service and the commands that change it."""

    def __init__(self, spec: ListServiceSpec) -> None:
        self._spec = spec
        self._service = ListService(spec.service_ms)
        for entry in spec.servers:
            self._service.put(str(entry["id"]), **{name: entry[name] for name in entry if name != "id"})

    async def run(self, commands: AsyncIterator[bytes]) -> None:
        """Serve and obey until the end."""
        tell(Listening(await self._service.open(self._spec.groups)))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._tell_all)
            async for line in commands:
                command: ToListService = decode(line, ToListService)
                match command:
                    case Plan():
                        for change in command.changes:
                            self._at(change.at, change)
                    case ResetWatches():
                        tasks.start_soon(self._reset, command)
                    case Outage():
                        tasks.start_soon(self._be_out, command)
                    case Cut():
                        tasks.start_soon(self._cut, command)
                    case Finish():
                        tell(self._tally())
                        break
            tasks.cancel_scope.cancel()

    def _at(self, at: float, change: Change) -> None:
        asyncio.get_running_loop().call_later(max(0.0, at / 1_000.0 - time.time()), self._change, change)

    def _change(self, change: Change) -> None:
        at = time.time() * 1_000.0
        version = self._service.put(change.ident, state=change.state, weight=change.weight)
        tell(Changed(version, at))

    async def _reset(self, command: ResetWatches) -> None:
        await _until(command.at)
        self._service.reset_all()

    async def _be_out(self, command: Outage) -> None:
        await _until(command.at)
        self._service.close()
        await anyio.sleep(command.for_ms / 1_000.0)
        await self._service.open(self._spec.groups)

    async def _cut(self, command: Cut) -> None:
        await _until(command.at)
        self._service.silent.add(command.group)
        await anyio.sleep(command.for_ms / 1_000.0)
        self._service.silent.discard(command.group)

    async def _tell_all(self) -> None:
        while True:
            await anyio.sleep(TELL_EVERY_S)
            tell(self._tally())

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


async def _until(at: float) -> None:
    await anyio.sleep(max(0.0, at / 1_000.0 - time.time()))


async def _main() -> None:
    commands = lines_from(sys.stdin.fileno())
    spec: ListServiceSpec = decode(await anext(commands), ListServiceSpec)
    await ListProcess(spec).run(commands)


if __name__ == "__main__":
    anyio.run(_main)
