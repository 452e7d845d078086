"""A broken inventory file: the balancer has to keep the last good list, and every connection."""

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
    LineClient,
    LineServer,
    free_port,
    run_case,
    small_settings,
    trouble,
    write_whole,
)

CLIENTS = 12
ROUNDS = 3  # of a line on each connection, 2 s apart
SERVERS = 3

# The template of a configuration tool, copied in the place of the file that the tool makes of it.
TEMPLATE = """all:
  hosts:
    {{ inventory_hostname }}:
      addr: {{ gateway_address }}
      zone: {{ site }}
"""


def rendered(servers: list[LineServer]) -> str:
    """The file as the tool writes it."""
    hosts = "".join(
        f"    {server.id}:\n      addr: {server.address}\n      zone: recife-boa-vista\n"
        for server in servers
    )
    return f"all:\n  hosts:\n{hosts}"


async def play(case: Case) -> int:
    """Establish connections, replace the inventory, and see what becomes of them."""
    record = case.record
    servers = [await LineServer(f"gw-{n}", record).start() for n in range(1, SERVERS + 1)]
    inventory = case.temporary / "inventory.yaml"
    write_whole(inventory, rendered(servers))
    port = free_port()
    config = {"name": "n1", "listen": f"{HOST}:{port}", "seed": "8c1f", "settings": small_settings()}
    balancer = await case.start_balancer("n1", config, f"serve --inventory {inventory}")
    await balancer.wait_ready(port)

    clients = []
    for n in range(CLIENTS):
        client = LineClient(record, f"c{n:02}")
        if not (await client.open(port)).startswith("UP "):
            raise CannotRun("a client was not served before the disruption")
        clients.append(client)
    if trouble():
        write_whole(inventory, TEMPLATE)
        record.note("inventory replaced", by="'the template, not rendered'")
    else:
        write_whole(inventory, rendered(servers) + "# checked\n")
        record.note("inventory replaced", by="'the same hosts and a comment'")

    broken = 0
    for number in range(ROUNDS):
        await asyncio.sleep(2.0)
        for client in clients:
            text = f"line {number}"
            await client.send(text)
            got = await client.line(1.0)
            record.note("client asked", request=client.request, line=repr(text), got=repr(got))
            if got not in (text, "MOVE"):
                broken += 1
    later = await LineClient(record, "later").open(port)
    ended = balancer.ended
    record.note("balancer", ended=int(ended), code=balancer.process.returncode)
    for line in balancer.log_lines("Error: ")[-1:]:
        record.note("log", line=repr(line.strip(" |")))
    record.note("count", lines_without_answer=broken, later=repr(later))
    return BROKEN if ended or broken or not later.startswith("UP ") else HELD


run_case(__file__, play)
