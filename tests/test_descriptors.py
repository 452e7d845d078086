"""Idle clients that take all the descriptors they can get must not block calls, reloads and other clients."""

from __future__ import annotations

import json
import signal
from pathlib import Path

import anyio
import anyio.abc
import pytest

from tests.harness import Peer, discovery, echo, harness, http_call, opening, program

pytestmark = pytest.mark.anyio
DESCRIPTOR_LIMIT = 128
IDLE_CONNECTIONS = 300


def open_descriptors(pid: int) -> int:
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))


@pytest.mark.parametrize(
    "configured", [DESCRIPTOR_LIMIT, 4 * DESCRIPTOR_LIMIT], ids=["as configured", "fewer than configured"]
)
async def test_silent_connections_leave_descriptors_for_calls_a_reload_and_a_client(
    configured: int, tmp_path: Path
) -> None:
    """Guards against idle connections on reserved descriptors if the system allows fewer than configured."""
    discovery_up = anyio.Event()
    calls: list[bytes] = []
    async with harness() as here:
        server = {"id": "s-1", "addr": f"127.0.0.1:{await here.listen(lambda s: echo(Peer(s)))}"}
        respond = discovery(calls, server)

        async def service(stream: anyio.abc.SocketStream) -> None:
            await (respond(stream) if discovery_up.is_set() else Peer(stream).rst())

        config = tmp_path / "config.json"
        classes = [{"name": "price-lookup", "give_up": 2_000.0, "repeat": "idempotent"}]
        config_fields = {
            "listen": "127.0.0.1:0",
            "mgmt": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{await here.listen(service)}",
            "limits": {"cores": 1.0, "memory_mb": 96, "sockets": configured},
            "settings": {"classes": classes},
        }
        config.write_text(json.dumps(config_fields))
        async with program(config, DESCRIPTORS=str(DESCRIPTOR_LIMIT), TMPDIR=str(tmp_path)) as running:
            ports = {}
            for front in (b"lines", b"management"):
                ports[front] = await running.port(front)
            pid = running.process.pid
            before = open_descriptors(pid)
            idle_streams = []
            for _ in range(IDLE_CONNECTIONS):
                idle_streams.append(await anyio.connect_tcp("127.0.0.1", ports[b"lines"]))
                await idle_streams[-1].send(b"OPEN ")
            status, _ = await http_call(ports[b"management"], "GET /admin/health")
            assert status == 503, "answered, though there is no list yet"
            running.process.send_signal(signal.SIGHUP)
            await running.wait_for_log(b"event=reloaded")
            discovery_up.set()
            await running.wait_for_log(b"server=s-1 .*list=replace")
            client = Peer(await anyio.connect_tcp("127.0.0.1", ports[b"lines"]))
            await client.send_line(opening())
            assert await client.line() == b"UP r1\r\n"
            assert b"accept failed" not in running.log_read and b"connect failed" not in running.log_read
            for stream in idle_streams:
                await anyio.aclose_forcefully(stream)
            await client.fin()
            with anyio.fail_after(10):
                while open_descriptors(pid) > before + 3:  # the watch and files of the store
                    await anyio.sleep(0.01)
            running.process.kill()
