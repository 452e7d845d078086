"""Memory of requests: in proportion to the bytes that clients sent, and bounded over all clients."""

from __future__ import annotations

import tracemalloc
from itertools import islice, product
from string import ascii_lowercase

import pytest

from puffinford.core.values import Opening
from puffinford.fronts.channels.opening import MAX_PARAMETERS, decode_opening, encode_opening
from puffinford.fronts.lines import codec as line_codec
from puffinford.fronts.sockets import MAX_LINE_BYTES

OPENING_COPIES = 2
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
