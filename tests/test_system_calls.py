"""System calls that fail as Linux documents, under a real process."""

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


# Each call, its error and the part of the calls that fail so. Seven in a row of those that pass bytes, which
# would be no moment any more, are one of ten million.
LACKS = [
    ("connect", "EADDRNOTAVAIL", 0.3),
    ("connect", "ENETUNREACH", 0.3),
    ("socket", "ENOBUFS", 0.3),
    ("socket", "ENFILE", 0.3),
    ("getsockopt", "ENOBUFS", 0.3),
    ("setsockopt", "ENOMEM", 1.0),
    ("send", "ENOBUFS", 0.1),
    ("recv", "ENOMEM", 0.1),
]


async def test_what_this_machine_lacks_for_a_moment_costs_no_client_its_answer(tmp_path: Path) -> None:
    """A lack of ports was taken for the servers' failure: 42 of 150 clients were turned away."""
    async with site(tmp_path, count=3) as here:
        for number, (call, error, part) in enumerate(LACKS):
            here.plan.apply(0.0, {"call": call, "errno": error, "part": part}, seed=number)
            assert await here.connect_many(40, f"{number}-") == {"UP": 40}, (call, error)


async def test_a_moment_without_room_for_newcomers_sends_nobody_away(tmp_path: Path) -> None:
    """One that was writing its line gave way to a newcomer that found no place for an instant."""
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
    """The last turn of accepting ended with the first call that failed; the others were reset unread."""
    for error, lost in (("ECONNABORTED", 4), ("EHOSTUNREACH", 0), ("ENFILE", 0)):
        directory = tmp_path / error
        directory.mkdir()
        async with site(directory) as here:
            clients = await _come_while_it_moves(here, directory, error)
            served = sum([await client.line() == b"UP r1\r\n" for client in clients])
            assert served >= len(clients) - lost, error


async def _come_while_it_moves(here: Site, directory: Path, error: str) -> list[Peer]:
    """Clients that connect and ask while the process stands still; when it goes on, it listens elsewhere."""
    config = directory / "config.json"
    told = json.loads(config.read_text())
    with socket.create_server(("127.0.0.1", 0)) as free:
        told["listen"] = f"127.0.0.1:{free.getsockname()[1]}"
    config.write_text(json.dumps(told))
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
async def test_a_lack_of_a_moment_does_not_hold_up_the_servers_news(call: str, tmp_path: Path) -> None:
    """Each failed call for the list was followed by a pause of up to 3 s: five of them took 6 s and more."""
    rules = {"ask_within": 10_000.0}
    async with site(tmp_path, count=3, discovery="subscribe", rules=rules) as here:
        port = int(here.lists.address.rpartition(":")[2])
        fault = {"call": call, "errno": "ENOBUFS", "most": 5}
        here.plan.apply(0.0, {**fault, "port": port} if call == "connect" else fault)
        with anyio.fail_after(2.0):
            await here.told("s-1", state="leaving")
        with anyio.fail_after(6.0):
            await here.told("s-2", state="leaving")
        assert here.running.log_read.count(b"discovery failed") == 0


@pytest.mark.parametrize(("call", "error"), [("socket", "ENOBUFS"), ("bind", "EADDRINUSE")])
async def test_a_start_and_a_reload_wait_out_what_this_machine_lacks(
    call: str, error: str, tmp_path: Path
) -> None:
    """Either ended with the first failure: a process did not start, a new configuration was never taken.

    The address is in use for as long as the process before takes to die.
    """
    fault = {"call": call, "errno": error, "most": 3}
    async with site(tmp_path) as here:
        await here.restart(0.0, fault)
        await here.running.wait_for_log(b"event=discovery version")
        assert await here.connect_many(3, "a") == {"UP": 3}
        config = tmp_path / "config.json"
        told = json.loads(config.read_text())
        with socket.create_server(("127.0.0.1", 0)) as free:
            told["listen"] = f"127.0.0.1:{free.getsockname()[1]}"
        config.write_text(json.dumps(told))
        here.plan.apply(0.0, fault)
        here.running.process.send_signal(signal.SIGHUP)
        with anyio.fail_after(3.0):
            here.port = await here.running.port(b"lines")
        assert await here.connect_many(3, "b") == {"UP": 3}
