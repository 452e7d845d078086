"""Memory of requests: in proportion to the bytes that clients sent, and bounded over all clients."""

from __future__ import annotations

import tracemalloc
from itertools import islice, product
from string import ascii_lowercase

import anyio
import pytest

from puffinford.core.values import Opening
from puffinford.fronts.channels import codec as channel_codec
from puffinford.fronts.channels.opening import MAX_PARAMETERS, decode_opening, encode_opening
from puffinford.fronts.lines import codec as line_codec
from puffinford.fronts.memory import (
    CHANNEL_REQUEST_BYTES,
    LINE_REQUEST_BYTES,
    OPENING_COPIES,
    MemoryBudget,
    request_memory_limit,
)
from puffinford.fronts.sockets import MAX_LINE_BYTES
from tests.harness import Peer, answering, harness, opening

OPENING_OVERHEAD_BYTES = 1_000  # of the object and its named fields


def short_fields(count: int) -> list[tuple[str, str | None]]:
    """Named values of three bytes each."""
    names = map("".join, product(ascii_lowercase, repeat=3))
    return [(name, None) for name in islice(names, count)]


def line_opening(number: int) -> tuple[Opening, int]:
    """An opening of as many short fields as a line holds, and its bytes."""
    head = f"OPEN {number:04} 7f3a c=a,d=2000"
    fields = short_fields((MAX_LINE_BYTES - len(head) - 2) // 4)
    line = f"{head},{','.join(name for name, _ in fields)}\r\n".encode()
    command = line_codec.decode_command(line)
    assert isinstance(command, Opening) and len(command.parameters) == len(fields) + 2
    return command, len(line)


def channel_opening(number: int) -> tuple[Opening, int]:
    """An opening of as many short fields as a channel may have, and its bytes."""
    parameters = [("c", "a"), ("d", "2000"), *short_fields(MAX_PARAMETERS)]
    extra = encode_opening(Opening.from_parameters(f"{number:04}", "7f3a", tuple(parameters)), 2_000.0)
    return decode_opening(extra), len(extra)


@pytest.mark.parametrize("make", [line_opening, channel_opening])
def test_openings_of_very_many_short_fields_take_no_more_memory_than_their_bytes(make: object) -> None:
    """Guards against an object for each field: 800 clients with 4 KB of them took 100 MB more."""
    assert callable(make)
    make(0)
    tracemalloc.start()
    try:
        openings = [make(number) for number in range(200)]
        held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    sent = sum(size for _, size in openings)
    assert held < OPENING_COPIES * sent + 200 * OPENING_OVERHEAD_BYTES


@pytest.mark.anyio
async def test_line_clients_over_the_memory_limit_are_told_to_come_back() -> None:
    """Guards against a process that takes every client until it is killed for its memory."""
    async with harness() as here:
        await here.server("s-1", answering(b"UP r1", stay=True))
        here.tracker.memory.limit = 3.5 * LINE_REQUEST_BYTES
        clients = [await here.client(opening(f"0{number}")) for number in range(3)]
        assert [await client.line() for client in clients] == [b"UP r1\r\n"] * 3
        refused = await here.client(opening("09"))
        assert [await refused.line(), await refused.line()] == [b"BUSY 1500\r\n", b"FIN"]
        await clients[0].fin()
        with anyio.fail_after(5):
            while here.tracker.memory.used > 2.5 * LINE_REQUEST_BYTES:
                await anyio.sleep(0.01)
        assert await (await here.client(opening("0a"))).line() == b"UP r1\r\n"


@pytest.mark.anyio
async def test_a_connection_that_holds_much_is_refused_before_the_others() -> None:
    """Guards against one channel connection that uses up the memory of all clients."""

    async def script(peer: Peer) -> None:
        line = await peer.line()
        if line.startswith(b"OPEN calm"):
            await peer.send_line(b"UP r1")
        await peer.line()

    async with harness() as here:
        await here.server("s-1", script)
        here.tracker.memory.limit = 30 * CHANNEL_REQUEST_BYTES
        greedy = await here.channel_client()
        for number in range(40):
            await greedy.open(number, f"greedy-{number}")
        refusal = await greedy.next()
        assert isinstance(refusal, channel_codec.OpenFailure)
        assert refusal.reason == channel_codec.RESOURCE_SHORTAGE and "retry-after=" in refusal.description
        assert here.tracker.memory.free > 20 * CHANNEL_REQUEST_BYTES
        for number in range(5):
            assert await (await here.client(opening(f"calm-{number}"))).line() == b"UP r1\r\n"


def test_the_limit_leaves_room_for_the_process_and_counts_what_has_ended() -> None:
    assert request_memory_limit(192.0) < (192 - 48) << 20
    assert request_memory_limit(32.0) == 8 << 20
    budget = MemoryBudget(100.0)
    with budget.connection().reserve(60) as first, budget.connection().reserve(60) as second:
        assert first and not second and budget.used == 60
    assert budget.used == 0
