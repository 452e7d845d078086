"""Case: an inventory caught half-written lists a leaving server as active, and it gets new work."""

from __future__ import annotations

import asyncio
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common import BROKEN, HELD, TROUBLE, Balancer, CannotRun, LineClient, LineServer, Record, main

FOLDER = Path(__file__).resolve().parent
GRACE_S = 3.05  # stop_sending_within and the 50 ms of the protocol page


async def play(record: Record) -> int:
    servers = [LineServer(f"gw-{n}", record) for n in (1, 2, 3)]
    for server in servers:
        await server.start()
    leaving = servers[-1]
    rows = [f"{server.id},127.0.0.1:{server.port},active\n" for server in servers]
    header = "id,addr,state\n"
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        inventory = Path(folder) / "inventory.csv"
        inventory.write_text(header + "".join(rows))
        balancer = Balancer(record, FOLDER, f"serve --inventory {inventory}")
        try:
            balancer.start(None, None)
            await balancer.wait_ready()
            clients: list[LineClient] = []

            async def arrivals() -> None:
                while True:
                    clients.append(LineClient(record, balancer.port, f"c{len(clients):03}", "price-lookup"))
                    await clients[-1].open()
                    await asyncio.sleep(0.1)

            arriving = asyncio.create_task(arrivals())
            await asyncio.sleep(3)
            if not leaving.openings:
                raise CannotRun("the server got no work before it was to leave")
            record.add(f"operator: {leaving.id} is leaving")
            rows[-1] = rows[-1].replace("active", "leaving")
            inventory.write_text(header + "".join(rows))
            told_at = record.now() + 1.2  # read once a second
            await asyncio.sleep(2)
            record.add(f"operator: {leaving.id} turns new work away from now on")
            leaving.leaving = True
            await asyncio.sleep(4)
            whole = header + "".join(rows)
            cut = len(whole) - len(",leaving\n")
            if TROUBLE:
                record.add(f"editor: saves the file; the first {cut} of {len(whole)} bytes are written")
                with inventory.open("w") as file:
                    file.write(whole[:cut])
                    file.flush()
                    await asyncio.sleep(1.5)
                    file.write(whole[cut:])
                record.add("editor: the rest is written")
            else:
                record.add("editor: saves the file at once")
                inventory.write_text(whole)
            await asyncio.sleep(4)
            arriving.cancel()
            late = [at for at in leaving.openings if at > told_at + GRACE_S]
            record.add(
                f"{leaving.id} got {len(leaving.openings)} openings, {len(late)} of them over {GRACE_S} s "
                f"after the balancer had read that it leaves; last at {max(leaving.openings):.3f}"
            )
            return BROKEN if late else HELD
        finally:
            balancer.end()


if __name__ == "__main__":
    main(FOLDER, play)
