"""A process whose system calls fail with errors documented for Linux."""

from __future__ import annotations

import contextlib
import json
import signal
import socket
from pathlib import Path

import anyio
import pytest

from tests.harness import Peer, opening
from tests.processes import Site, site

pytestmark = pytest.mark.anyio


# Call, error and the fraction of calls that fail, low enough that a call's retries do not all fail.
SHORTAGES = [
    ("connect", "EADDRNOTAVAIL", 0.3),
    ("connect", "ENETUNREACH", 0.3),
    ("socket", "ENOBUFS", 0.3),
    ("socket", "ENFILE", 0.3),
    ("getsockopt", "ENOBUFS", 0.3),
    ("setsockopt", "ENOMEM", 1.0),
    ("send", "ENOBUFS", 0.1),
    ("recv", "ENOMEM", 0.1),
]


async def test_transient_local_shortages_cost_no_client_its_answer(tmp_path: Path) -> None:
    """Guards against counting local errors as failures of servers."""
    async with site(tmp_path, server_count=3) as here:
        for number, (call, error, part) in enumerate(SHORTAGES):
            here.plan.apply(0.0, {"call": call, "errno": error, "part": part}, seed=number)
            assert await here.connect_many(40, f"{number}-") == {"UP": 40}, (call, error)


async def test_transient_accept_errors_displace_no_connection(tmp_path: Path) -> None:
    """Guards against closing a client that is writing its opening when `accept` fails for a moment."""
    async with site(tmp_path) as here:
        for error in ("ENFILE", "ENOBUFS", "ENETDOWN"):
            slow = Peer(await anyio.connect_tcp("127.0.0.1", here.port))
            await slow.send_line(b"PING")
            assert await slow.line() == b"PONG\r\n"
            await slow.stream.send(opening(error)[:20])
            here.plan.apply(0.0, {"call": "accept", "errno": error, "most": 2})
            assert await here.connect_many(5, error) == {"UP": 5}
            await slow.send_line(opening(error)[20:])
            assert await slow.line() == b"UP r1\r\n"


async def test_those_who_wait_at_an_address_that_is_given_up_are_served(tmp_path: Path) -> None:
    """Guards against resetting queued connections if `accept` fails during a change of the listen address."""
    for error, lost in (("ECONNABORTED", 4), ("EHOSTUNREACH", 0), ("ENFILE", 0)):
        directory = tmp_path / error
        directory.mkdir()
        async with site(directory) as here:
            clients = await _come_while_it_moves(here, directory, error)
            served = sum([await client.line() == b"UP r1\r\n" for client in clients])
            assert served >= len(clients) - lost, error


async def _come_while_it_moves(here: Site, directory: Path, error: str) -> list[Peer]:
    """Connect clients while the process is suspended; after resuming it listens on another address."""
    config = directory / "config.json"
    contents = json.loads(config.read_text())
    with socket.create_server(("127.0.0.1", 0)) as free:
        contents["listen"] = f"127.0.0.1:{free.getsockname()[1]}"
    config.write_text(json.dumps(contents))
    process = here.running.process
    process.send_signal(signal.SIGSTOP)
    clients = []
    for number in range(60):
        client = Peer(await anyio.connect_tcp("127.0.0.1", here.port))
        with contextlib.suppress(anyio.BrokenResourceError):
            await client.send_line(opening(f"0{number}"))
        clients.append(client)
    here.plan.apply(0.0, {"call": "accept", "errno": error, "part": 0.2, "most": 4}, seed=3)
    process.send_signal(signal.SIGHUP)
    process.send_signal(signal.SIGCONT)
    await here.running.wait_for_log(b"event=reloaded")
    return clients


@pytest.mark.parametrize("call", ["connect", "socket"])
async def test_a_transient_shortage_does_not_delay_list_updates(call: str, tmp_path: Path) -> None:
    """Guards against the long pause that follows a failed discovery call."""
    rules = {"ask_within": 10_000.0}
    async with site(tmp_path, server_count=3, discovery="subscribe", rules=rules) as here:
        port = int(here.discovery.address.rpartition(":")[2])
        fault = {"call": call, "errno": "ENOBUFS", "most": 5}
        here.plan.apply(0.0, {**fault, "port": port} if call == "connect" else fault)
        with anyio.fail_after(2.0):
            await here.update_entry("s-1", state="leaving")
        with anyio.fail_after(6.0):
            await here.update_entry("s-2", state="leaving")
        assert here.running.log_read.count(b"discovery failed") == 0


@pytest.mark.parametrize(("call", "error"), [("socket", "ENOBUFS"), ("bind", "EADDRINUSE")])
async def test_a_start_and_a_reload_wait_out_local_shortages(call: str, error: str, tmp_path: Path) -> None:
    """Guards against a start or a reload that fails with the first error.

    The address is in use until the previous process has ended.
    """
    fault = {"call": call, "errno": error, "most": 3}
    async with site(tmp_path) as here:
        await here.restart(0.0, fault)
        await here.running.wait_for_log(b"event=discovery version")
        assert await here.connect_many(3, "a") == {"UP": 3}
        config = tmp_path / "config.json"
        contents = json.loads(config.read_text())
        with socket.create_server(("127.0.0.1", 0)) as free:
            contents["listen"] = f"127.0.0.1:{free.getsockname()[1]}"
        config.write_text(json.dumps(contents))
        here.plan.apply(0.0, fault)
        here.running.process.send_signal(signal.SIGHUP)
        with anyio.fail_after(3.0):
            here.port = await here.running.port(b"lines")
        assert await here.connect_many(3, "b") == {"UP": 3}
