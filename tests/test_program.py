"""The program as a process: configuration, both client fronts, the inventory, reload and SIGTERM."""

from __future__ import annotations

import contextlib
import itertools
import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any, cast

import anyio
import pytest

from puffinford.fronts.channels import codec
from tests.harness import ChannelPeer, Peer, answering, discovery, echo, harness, http_call, opening, program

FACTS: dict[str, Any] = {"classes": [{"name": "price-lookup", "give_up": 400.0, "repeat": "idempotent"}]}


@pytest.mark.anyio
async def test_the_program_serves_both_fronts_and_moves_its_clients_at_sigterm(tmp_path: Path) -> None:
    (tmp_path / "puffinford.conf").write_text("section channels\n enabled on\n listen 127.0.0.1:0\n")
    (tmp_path / "config.json").write_text(
        json.dumps({"name": "n1", "listen": "127.0.0.1:0", "seed": "0a", "settings": FACTS})
    )
    words = ["serve", "--inventory", str(tmp_path / "servers.csv")]
    words += ["--settings", str(tmp_path / "puffinford.conf")]
    async with harness() as here:
        port = await here.listen(lambda stream: answering(b"UP r1", stay=True)(Peer(stream)))
        (tmp_path / "servers.csv").write_text(f"id,addr\ns-1,127.0.0.1:{port}\n")
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
            with contextlib.suppress(ProcessLookupError):  # the process may have exited already
                process.send_signal(signal.SIGINT)
            assert await process.wait() == 0


@pytest.mark.anyio
async def test_a_server_that_leaves_gets_no_client_while_its_inventory_is_saved_slowly(
    tmp_path: Path,
) -> None:
    """Guards against openings at a leaving server whose entry is half-written, and against saying nothing."""
    config, inventory = tmp_path / "config.json", tmp_path / "servers.yaml"
    config.write_text(
        json.dumps(
            {"name": "n1", "listen": "127.0.0.1:0", "mgmt": "127.0.0.1:0", "seed": "0a", "settings": FACTS}
        )
    )

    async def report() -> dict[str, Any]:
        status, body = await http_call(management, "GET /admin/inventory")
        assert status == 200
        return cast(dict[str, Any], json.loads(body))

    async def connect_many() -> set[bytes]:
        answers = set()
        for number in range(20):
            client = Peer(await anyio.connect_tcp("127.0.0.1", port))
            await client.send_line(opening(f"{next(ids):x}", b"c=price-lookup,d=2000,g=%d" % number))
            answers.add(await client.line())
            await client.fin()
        return answers

    ids = itertools.count(1)
    async with harness() as here:
        hosts = {}
        for up in (b"UP r1", b"UP r2"):
            listening = await here.listen(lambda s, up=up: answering(up, stay=True)(Peer(s)))  # type: ignore[misc]
            hosts[up + b"\r\n"] = f"    s-{up[-1:].decode()}:\n      addr: 127.0.0.1:{listening}\n"
        inventory.write_text("servers:\n  hosts:\n" + "".join(hosts.values()))
        async with program(config, "serve", "--inventory", str(inventory)) as running:
            port, management = await running.port(b"lines"), await running.port(b"management")
            used = (await connect_many()).pop()  # it is to leave, and is listed last
            (other,) = hosts.keys() - {used}
            active = "servers:\n  hosts:\n" + hosts[other] + hosts[used]
            leaving = active + "      state: leaving\n"
            inventory.write_text(leaving)
            await running.wait_for_log(b"event=inventory .*version=2")
            assert await connect_many() == {other}
            with inventory.open("w") as file:
                file.write(active)
                file.flush()
                await running.wait_for_log(b'event="inventory waiting"')
                assert (await report())["why"] == ["a process has it open for writing"]
                assert await connect_many() == {other}
                file.write("      state: lea")
            await running.wait_for_log(b'event="inventory refused"')
            refused = await report()
            assert (refused["state"], refused["version"], refused["entries"]) == ("refused", 2, 2)
            assert refused["why"] == [f"{inventory}:5: state 'lea' is unknown"]
            assert "app.inventory_refused:1|g" in (await http_call(management, "GET /admin/stats"))[1]
            assert await connect_many() == {other}
            inventory.write_text(leaving)
            await running.wait_for_log(b"event=inventory .*version=3")
            assert (await report())["state"] == "in-force"
            running.process.send_signal(signal.SIGINT)
            assert await running.process.wait() == 0
        inventory.write_text(leaving[:-5])
        async with program(config, "serve", "--inventory", str(inventory)) as running:
            await running.wait_for_log(f"puffinford: {inventory}:5: ".encode())
            assert await running.process.wait() == 2


@pytest.mark.anyio
async def test_a_reload_is_whole_or_not_at_all_and_sigterm_still_moves_everyone(tmp_path: Path) -> None:
    """Guards against a reload that ends the process or its connections."""
    config = tmp_path / "config.json"
    async with harness() as here:
        server = {"id": "s-1", "addr": f"127.0.0.1:{await here.listen(lambda s: echo(Peer(s)))}"}
        requests: list[list[bytes]] = [[], []]
        ports = [await here.listen(discovery(lines, server)) for lines in requests]

        def write_config(port: int, classes: list[dict[str, object]]) -> None:
            addresses = {"listen": "127.0.0.1:0", "discovery": f"127.0.0.1:{port}"}
            config.write_text(json.dumps({**addresses, "settings": {"classes": classes}}))

        write_config(ports[0], FACTS["classes"])
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
            assert not requests[1]
            for source in (1, 0, 1):
                before = len(requests[source])
                write_config(
                    ports[source], [*FACTS["classes"], {**FACTS["classes"][0], "name": f"new-{source}"}]
                )
                process.send_signal(signal.SIGHUP)
                await logged(b"event=reloaded")
                await logged(b"server=s-1 .*list=replace")
                assert requests[source][before].startswith(b"GET /v1/servers HTTP"), "the complete list"
                await client.send_line(b"on")
                assert await client.line() == b"on\r\n"
            second_client = Peer(await anyio.connect_tcp("127.0.0.1", port))
            await second_client.send_line(opening("0b", b"c=new-1,d=2000"))
            assert await second_client.line() == b"UP r1\r\n"
            process.send_signal(signal.SIGTERM)
            for peer in (client, second_client):
                assert [await peer.line(), await peer.line()] == [b"MOVE\r\n", b"FIN"]
                await peer.fin()
            await logged(b"event=drained")
            with contextlib.suppress(ProcessLookupError):  # the process may have exited already
                process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0


@pytest.mark.parametrize(
    "config_text",
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
def test_bad_configuration_is_one_line_and_exit_2(config_text: str, tmp_path: Path) -> None:
    assert_refused(config_text, tmp_path)


@pytest.mark.parametrize("descriptor", ["x", "-1", "0", "999"])
def test_a_descriptor_that_is_no_listening_socket_is_refused(descriptor: str, tmp_path: Path) -> None:
    document = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": FACTS}
    assert_refused(json.dumps(document), tmp_path, EDGE_SOCKET_FD=descriptor)


def assert_refused(config_text: str, tmp_path: Path, **environment: str) -> None:
    """Assert that the program exits with code 2 and one line on standard error."""
    (tmp_path / "config.json").write_text(config_text)
    env = {**os.environ, "EDGE_CONFIG": str(tmp_path / "config.json"), **environment}
    completed = subprocess.run([sys.executable, "-m", "puffinford"], env=env, capture_output=True, timeout=30)
    assert completed.returncode == 2
    assert len(completed.stderr.splitlines()) == 1 and completed.stderr.startswith(b"puffinford: ")
