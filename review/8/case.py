"""An old till's lines towards a channel server: every line has to arrive as it was sent."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common_2 import (
    BROKEN,
    HELD,
    HOST,
    CannotRun,
    Case,
    ChannelServer,
    LineClient,
    free_port,
    run_case,
    small_settings,
    trouble,
    write_whole,
)

CLIENTS = 4
PAUSE_S = 2.0  # between a client's lines
ANSWER_S = 6.0
LINES = [
    "PRICE 7891000100103",
    "MOVE 3 to basket 2",
    "STATUS open",
    "LOAD 2.5",
    "BYE 7891000100103",
    "STATUS shut",
]


async def play(case: Case) -> int:
    """Send each line on a connection of each client, and look for it at the servers and in the answer."""
    record = case.record
    servers = [await ChannelServer(f"gw-{n}", record).start() for n in range(1, 3)]
    inventory = case.temporary / "inventory.csv"
    rows = "".join(f"{server.id},{server.address},channels\n" for server in servers)
    write_whole(inventory, f"id,addr,front\n{rows}")
    port = free_port()
    config = {"name": "n1", "listen": f"{HOST}:{port}", "seed": "8c1f", "settings": small_settings()}
    balancer = await case.start_balancer("n1", config, f"serve --inventory {inventory}")
    await balancer.wait_ready(port)
    sent: list[str] = []

    async def till(number: int) -> None:
        """Send the lines, and come back whenever the connection is moved or ends."""
        visit = 0
        client: LineClient | None = None
        for line in LINES:
            if client is None:
                client = LineClient(record, f"c{number}-{visit}")
                if not (await client.open(port, more=",again=1" if visit else "")).startswith("UP "):
                    raise CannotRun("a client was not served")
                visit += 1
            # The disruption is the first word alone: with it, some lines look like the servers' own messages.
            text = line if trouble() else f"ITEM {line}"
            if line.startswith(("MOVE", "STATUS", "PRICE")):
                text += f" of till {number}"
            sent.append(text)
            await client.send(text)
            got = await client.line(ANSWER_S)
            record.note("client asked", request=client.request, line=repr(text), got=repr(got))
            if got != text:
                client.close()
                client = None
            await asyncio.sleep(PAUSE_S)

    await asyncio.gather(*(till(number) for number in range(CLIENTS)))
    if balancer.ended:
        return BROKEN
    arrived = b"".join(server.data for server in servers).decode("latin-1").splitlines()
    lost = 0
    for text in sent:
        if text in arrived:
            arrived.remove(text)
        else:
            lost += 1
            record.note("at no server", line=repr(text))
    record.note("count", lines=len(sent), lost=lost)
    return BROKEN if lost else HELD


run_case(__file__, play)
