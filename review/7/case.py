"""An old list and slow discovery at the start: connections at a newer server have to come up again."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common_2 import (
    BROKEN,
    HELD,
    HOST,
    CannotRun,
    Case,
    Discovery,
    LineClient,
    LineServer,
    free_port,
    run_case,
    small_settings,
    trouble,
)

STANDING = 4
TRIES = 4  # of a client: the first, and three more
RETRY_S = 0.19  # the fixed wait before each of them; the site's longest
SLOW_S = 2.5  # that discovery takes for a call; the site gives one 3 s
LIMIT_S = 40.0  # a standing connection that is not up by then is lost


async def wait_for_pong(port: int) -> None:
    """Ask as the front does, and return at the first PONG."""
    for _ in range(6000):
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(b"PING\r\n")
            line = await reader.readline()
            writer.close()
            if line == b"PONG\r\n":
                return
        await asyncio.sleep(0.005)
    raise CannotRun("no PONG")


async def play(case: Case) -> int:
    """Start the balancer, and let the standing connections come as soon as it is admitted."""
    record = case.record
    discovery = Discovery(record)
    await discovery.start()
    servers = [await LineServer(f"s-{n}", record).start() for n in range(1, 5)]
    newest = servers[-1]
    for server in servers[:-1]:
        discovery.put(server.id, addr=server.address)
    old = discovery.full_list()
    discovery.put(newest.id, addr=newest.address)
    port = free_port()
    config = {
        "name": "n1",
        "listen": f"{HOST}:{port}",
        "discovery": discovery.address,
        "seed": "8c1f30d27a5be964",
        "known": old,
        "settings": small_settings(balancers=3),
    }
    discovery.delay_s = SLOW_S if trouble() else 0.0
    balancer = await case.start_balancer("n1", config)
    await wait_for_pong(port)
    record.note("the front admits the balancer")

    async def standing(number: int) -> LineClient | None:
        for attempt in range(TRIES):
            client = LineClient(record, f"c{number}-{attempt}")
            answer = await client.open(port, d=10000, more=f",at={newest.id}")
            if answer.startswith("UP "):
                return client
            client.close()
            await asyncio.sleep(RETRY_S)
        return None

    begun = record.now()
    clients = await asyncio.gather(*(standing(number) for number in range(STANDING)))
    up = [client for client in clients if client is not None]
    # Nobody tries again, so that waiting cannot mend it; the rule gives 40 s all the same.
    await asyncio.sleep(2.0 if len(up) == STANDING else max(2.0, begun + LIMIT_S - record.now()))
    later = await LineClient(record, "later").open(port)
    for client in up:
        await client.send("line")
        if await client.line(1.0) != "line":
            return BROKEN
    record.note(
        "count", standing=STANDING, up=len(up), seconds=round(record.now() - begun, 3), later=repr(later)
    )
    return HELD if len(up) == STANDING and not balancer.ended else BROKEN


run_case(__file__, play)
