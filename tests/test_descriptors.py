"""Idle clients hold every descriptor that they can get while discovery is down: the rest goes on."""

from __future__ import annotations

import json
import signal
from pathlib import Path

import anyio
import anyio.abc
import pytest

from tests.harness import Peer, discovery, echo, harness, http_call, opening, program

pytestmark = pytest.mark.anyio
LIMIT = 128
CROWD = 300


def held(pid: int) -> int:
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))


@pytest.mark.parametrize("told", [LIMIT, 4 * LIMIT], ids=["as told", "fewer than told"])
async def test_a_crowd_that_says_nothing_leaves_room_for_calls_a_reload_and_a_client(
    told: int, tmp_path: Path
) -> None:
    """Where the system had fewer descriptors than the configuration told, the crowd took all of them: the
    second address, discovery and clients waited until its time was up."""
    back = anyio.Event()
    asked: list[bytes] = []
    async with harness() as here:
        server = {"id": "s-1", "addr": f"127.0.0.1:{await here.listen(lambda s: echo(Peer(s)))}"}
        sound = discovery(asked, server)

        async def service(stream: anyio.abc.SocketStream) -> None:
            await (sound(stream) if back.is_set() else Peer(stream).rst())

        config = tmp_path / "config.json"
        classes = [{"name": "price-lookup", "give_up": 2_000.0, "repeat": "idempotent"}]
        facts = {
            "listen": "127.0.0.1:0",
            "mgmt": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{await here.listen(service)}",
            "limits": {"cores": 1.0, "memory_mb": 96, "sockets": told},
            "settings": {"classes": classes},
        }
        config.write_text(json.dumps(facts))
        async with program(config, DESCRIPTORS=str(LIMIT), TMPDIR=str(tmp_path)) as running:
            ports = {}
            for front in (b"lines", b"management"):
                ports[front] = await running.port(front)
            pid = running.process.pid
            before = held(pid)
            crowd = []
            for _ in range(CROWD):
                crowd.append(await anyio.connect_tcp("127.0.0.1", ports[b"lines"]))
                await crowd[-1].send(b"OPEN ")
            status, _ = await http_call(ports[b"management"], "GET /admin/health")
            assert status == 503, "answered: there is no list yet"
            running.process.send_signal(signal.SIGHUP)
            await running.wait_for_log(b"event=reloaded")
            back.set()
            await running.wait_for_log(b"server=s-1 .*list=replace")
            client = Peer(await anyio.connect_tcp("127.0.0.1", ports[b"lines"]))
            await client.send_line(opening())
            assert await client.line() == b"UP r1\r\n"
            assert b"accept failed" not in running.log_read and b"connect failed" not in running.log_read
            for stream in crowd:
                await anyio.aclose_forcefully(stream)
            await client.fin()
            with anyio.fail_after(10):
                while held(pid) > before + 3:  # the watch, and a keeper's file or two
                    await anyio.sleep(0.01)
            running.process.kill()
