"""The program as it is started: configuration, both fronts, the inventory, SIGTERM."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import anyio
import pytest

from puffinford.fronts.channels import codec
from tests.harness import ChannelPeer, Peer, answering, discovery, echo, harness, opening, program

FACTS: dict[str, Any] = {"classes": [{"name": "price-lookup", "give_up": 400.0, "repeat": "idempotent"}]}


@pytest.mark.anyio
async def test_the_program_serves_both_fronts_and_moves_its_clients_at_sigterm(tmp_path: Path) -> None:
    (tmp_path / "puffinford.conf").write_text("section channels\n enabled on\n listen 127.0.0.1:0\n")
    (tmp_path / "config.json").write_text(
        json.dumps({"name": "n1", "listen": "127.0.0.1:0", "seed": "0a", "settings": FACTS})
    )
    words = ["serve", "--inventory", str(tmp_path / "machines.csv")]
    words += ["--settings", str(tmp_path / "puffinford.conf")]
    async with harness() as here:
        port = await here.listen(lambda stream: answering(b"UP r1", stay=True)(Peer(stream)))
        (tmp_path / "machines.csv").write_text(f"id,addr\ns-1,127.0.0.1:{port}\n")
        async with program(tmp_path / "config.json", *words) as running:
            process = running.process
            ports = [await running.port(front) for front in (b"lines", b"channels")]
            line = Peer(await anyio.connect_tcp("127.0.0.1", ports[0]))
            await line.send_line(opening())
            assert await line.line() == b"UP r1\r\n"
            channel = ChannelPeer(await anyio.connect_tcp("127.0.0.1", ports[1]))
            await (await channel.hello()).open(1, "0b")
            assert isinstance(await channel.next(), codec.OpenConfirmation)
            process.send_signal(signal.SIGTERM)
            assert [await line.line(), await line.line()] == [b"MOVE\r\n", b"FIN"]
            assert await channel.next() == codec.ChannelRequest(1, codec.MOVE, False)
            await line.fin()
            await channel.stream.aclose()
            await running.wait_for_log(b"event=drained")
            with contextlib.suppress(ProcessLookupError):  # it may have ended by itself
                process.send_signal(signal.SIGINT)
            assert await process.wait() == 0


@pytest.mark.anyio
async def test_a_reload_is_whole_or_not_at_all_and_sigterm_still_moves_everyone(tmp_path: Path) -> None:
    """SIGHUP ended the process, and every connection with it."""
    config = tmp_path / "config.json"
    async with harness() as here:
        server = {"id": "s-1", "addr": f"127.0.0.1:{await here.listen(lambda s: echo(Peer(s)))}"}
        asked: list[list[bytes]] = [[], []]
        ports = [await here.listen(discovery(heard, server)) for heard in asked]

        def tell(port: int, classes: list[dict[str, object]]) -> None:
            told = {"listen": "127.0.0.1:0", "discovery": f"127.0.0.1:{port}"}
            config.write_text(json.dumps({**told, "settings": {"classes": classes}}))

        tell(ports[0], FACTS["classes"])
        async with program(config, EDGE_DISCOVERY=f"127.0.0.1:{ports[0]}") as running:
            process, logged = running.process, running.wait_for_log
            port = await running.port(b"lines")
            await logged(b"server=s-1 .*list=replace")
            client = Peer(await anyio.connect_tcp("127.0.0.1", port))
            await client.send_line(opening())
            assert await client.line() == b"UP r1\r\n"
            for text in ("{", json.dumps({"listen": "nowhere"})):
                config.write_text(text)
                process.send_signal(signal.SIGHUP)
                await logged(b'level=error .*event="reload failed"')
            assert not asked[1]
            for turn in (1, 0, 1):
                before = len(asked[turn])
                tell(ports[turn], [*FACTS["classes"], {**FACTS["classes"][0], "name": f"new-{turn}"}])
                process.send_signal(signal.SIGHUP)
                await logged(b"event=reloaded")
                await logged(b"server=s-1 .*list=replace")
                assert asked[turn][before].startswith(b"GET /v1/servers HTTP"), "the whole list"
                await client.send_line(b"on")
                assert await client.line() == b"on\r\n"
            fresh = Peer(await anyio.connect_tcp("127.0.0.1", port))
            await fresh.send_line(opening("0b", b"c=new-1,d=2000"))
            assert await fresh.line() == b"UP r1\r\n"
            process.send_signal(signal.SIGTERM)
            for peer in (client, fresh):
                assert [await peer.line(), await peer.line()] == [b"MOVE\r\n", b"FIN"]
                await peer.fin()
            await logged(b"event=drained")
            with contextlib.suppress(ProcessLookupError):  # it may have ended by itself
                process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0


@pytest.mark.parametrize(
    "told",
    [
        "not json",
        json.dumps({"listen": "127.0.0.1:0", "settings": FACTS}),
        json.dumps({"listen": "127.0.0.1:0", "settings": FACTS, "discovery": "a:1"}),
        json.dumps({"listen": "127.0.0.1:0", "settings": FACTS, "known": 5}),
        "[]",
        '{"listen": "nowhere"}',
        '{"listen": "127.0.0.1:0", "settings": {"classes": []}}',
        '{"listen": "127.0.0.1:0", "settings": {"classes": [{"name": 3}]}}',
    ],
)
def test_bad_configuration_is_one_line_and_exit_2(told: str, tmp_path: Path) -> None:
    assert_refused(told, tmp_path)


@pytest.mark.parametrize("descriptor", ["x", "-1", "0", "999"])
def test_a_descriptor_that_is_no_listening_socket_is_refused(descriptor: str, tmp_path: Path) -> None:
    told = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": FACTS}
    assert_refused(json.dumps(told), tmp_path, EDGE_SOCKET_FD=descriptor)


def assert_refused(told: str, tmp_path: Path, **more: str) -> None:
    (tmp_path / "config.json").write_text(told)
    env = {**os.environ, "EDGE_CONFIG": str(tmp_path / "config.json"), **more}
    done = subprocess.run([sys.executable, "-m", "puffinford"], env=env, capture_output=True, timeout=30)
    assert done.returncode == 2
    assert len(done.stderr.splitlines()) == 1 and done.stderr.startswith(b"puffinford: ")
