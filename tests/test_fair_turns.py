"""Connections that have much work leave the others their turn of the event loop."""

from __future__ import annotations

import anyio
import anyio.abc
import pytest

from puffinford.core.values import Message, Opening
from puffinford.fronts.channels import codec
from puffinford.fronts.channels.multiplexer import Channel, Multiplexer
from puffinford.fronts.channels.opening import encode_opening
from puffinford.fronts.fair_turns import SLICE, FairTurns, WorkShare
from puffinford.fronts.lines.connection import LineConnection
from tests.harness import Harness, echo, harness, opening

pytestmark = pytest.mark.anyio
BUSY_CONNECTIONS = 30
WORK_AT_ONCE = 100  # opens or lines that a busy connection sends in one piece
# Of all busy connections while one request is served, in some twenty turns of the loop with a slice each.
MAX_WORK_MEANWHILE = 300


async def test_a_connection_with_little_work_is_next_whoever_has_waited() -> None:
    """Guards against a calm connection queueing behind all that thirty busy ones have sent."""
    turns = FairTurns()
    done = 0

    async def work() -> None:
        nonlocal done
        share = WorkShare(turns)
        while True:
            await share.spend(1)
            done += 1

    async with anyio.create_task_group() as tasks:
        for _ in range(BUSY_CONNECTIONS):
            tasks.start_soon(work)
        calm = WorkShare(turns)
        for _ in range(5):
            await anyio.sleep(0.01)
            before = done
            await calm.spend(SLICE)
            assert done - before <= 3 * SLICE
        tasks.cancel_scope.cancel()


async def test_a_connection_that_ends_while_it_waits_holds_up_nobody() -> None:
    turns = FairTurns()
    first, second = WorkShare(turns), WorkShare(turns)
    await first.spend(SLICE)
    await second.spend(SLICE)
    with anyio.CancelScope() as scope:
        scope.cancel()
        await first.spend(SLICE)
    with anyio.fail_after(1):
        await second.spend(SLICE)
        await first.spend(SLICE)


async def flood_with_opens(here: Harness, number: int) -> None:
    """Send malformed opens under new names without end, on a connection of its own."""
    client = await here.channel_client()
    extra = encode_opening(Opening.from_parameters("0a", "7f3a", (("c", "x y"), ("d", "5"))), 5.0)
    opens = [codec.ChannelOpen(codec.REQUEST_CHANNEL, n, 1, 1, extra) for n in range(WORK_AT_ONCE)]
    await send_without_end(client.stream, b"".join(map(codec.encode, opens)))


async def flood_with_lines(here: Harness, number: int) -> None:
    """Send lines without end on an established line connection."""
    client = await here.client(opening(f"busy-{number}"))
    assert (await client.line()).startswith(b"UP ")
    await send_without_end(client.stream, b"x\r\n" * WORK_AT_ONCE)


async def send_without_end(stream: anyio.abc.SocketStream, data: bytes) -> None:
    """Send the data again and again, and read all answers."""

    async def read() -> None:
        while True:
            await stream.receive()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(read)
        while True:
            await stream.send(data)


@pytest.mark.parametrize("front", ["lines", "channels"])
async def test_a_calm_client_does_not_wait_for_what_thirty_others_send(
    front: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against answers that come seconds late while others send malformed requests at full speed."""
    done = 0
    refuse, receive = Multiplexer.refuse, LineConnection.receive

    def counting_refuse(multiplexer: Multiplexer, channel: Channel, reason: int, description: str) -> None:
        nonlocal done
        done += 1
        refuse(multiplexer, channel, reason, description)

    async def counting_receive(connection: LineConnection) -> Message:
        nonlocal done
        message = await receive(connection)
        done += not connection._is_server
        return message

    monkeypatch.setattr(Multiplexer, "refuse", counting_refuse)
    monkeypatch.setattr(LineConnection, "receive", counting_receive)
    flood = flood_with_lines if front == "lines" else flood_with_opens
    async with harness() as here:
        here.over = True
        await here.server("s-1", echo)
        async with anyio.create_task_group() as tasks:
            for number in range(BUSY_CONNECTIONS):
                tasks.start_soon(flood, here, number)
            with anyio.fail_after(10):  # all of them are at work
                while done < WORK_AT_ONCE * BUSY_CONNECTIONS:
                    await anyio.sleep(0.01)
            before = done
            client = await here.client(opening("calm"))
            assert await client.line() == b"UP r1\r\n"
            assert done - before < MAX_WORK_MEANWHILE
            before = done
            with anyio.fail_after(10):  # and the others' work goes on
                while done < before + WORK_AT_ONCE:
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()


async def test_opens_that_wait_for_their_turn_are_answered_when_their_connection_ends() -> None:
    """Guards against requests that were read and get no answer, as the process ends while others are busy."""
    async with harness() as here:
        here.over = True
        client = await here.channel_client()
        await client.send_messages(codec.Ignore())
        await here.settle()
        extra = encode_opening(Opening.from_parameters("0a", "7f3a", (("c", "nowhere"), ("d", "900"))), 900.0)
        opens = [codec.ChannelOpen(codec.REQUEST_CHANNEL, n, 1, 1, extra) for n in range(WORK_AT_ONCE)]

        async def never(start: int) -> int:
            await anyio.sleep_forever()
            return start

        here.tracker.turns.wait = never  # type: ignore[method-assign]
        await client.send_messages(*opens)
        await here.settle()
        here.tracker.end_sessions()
        answers = [await client.next()]
        while answers[-1] not in (b"FIN", b"RST"):
            answers.append(await client.next())
        refused = [message.recipient for message in answers if isinstance(message, codec.OpenFailure)]
        assert sorted(refused) == list(range(WORK_AT_ONCE))
