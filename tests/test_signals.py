"""Signals sent in quick succession to a process with open connections."""

from __future__ import annotations

import contextlib
import signal
from pathlib import Path

import anyio
import pytest

from tests.harness import Peer, opening
from tests.processes import site

pytestmark = pytest.mark.anyio


async def test_signals_in_series_cut_nobody_off(tmp_path: Path) -> None:
    """Guards against a second SIGTERM ending the process before clients get MOVE."""
    async with site(tmp_path) as here:
        clients = [await here.connect(f"0{n}") for n in range(20)]
        assert all(line == b"UP r1\r\n" for _, line in clients)
        process = here.running.process
        for signum in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGTERM):
            process.send_signal(signum)
            await here.running.wait_for_log(b"event=(reloaded|stopping)")
        newcomer, answer = await here.connect("late")
        assert answer == b"UP r1\r\n", "new clients are still served"
        for peer in (newcomer, *(peer for peer, _ in clients)):
            assert [await peer.line(), await peer.line()] == [b"MOVE\r\n", b"FIN"]
            await peer.fin()
        process.send_signal(signal.SIGTERM)
        with anyio.fail_after(3):
            assert await process.wait() == 0, "a second SIGTERM after all clients have left ends it"


async def test_requests_that_cross_the_end_of_the_process_are_answered(tmp_path: Path) -> None:
    """Guards against closing idle connections whose request has not been read."""
    async with site(tmp_path) as here:
        clients = [Peer(await anyio.connect_tcp("127.0.0.1", here.port)) for _ in range(40)]

        async def ping_all() -> None:
            for client in clients:
                await client.send_line(b"PING")
                assert await client.line() == b"PONG\r\n"

        await ping_all()
        here.running.process.send_signal(signal.SIGTERM)
        signalled_at = anyio.current_time()
        await anyio.sleep_until(signalled_at + 1.5)
        await ping_all()
        answers: list[bytes] = []

        async def send_late_request(client: Peer, number: int) -> None:
            await anyio.sleep_until(signalled_at + 1.95 + 0.015 * number)
            with contextlib.suppress(anyio.BrokenResourceError):
                await client.send_line(opening(f"0{number}"))
            answers.append((await client.line()).split()[0])
            if answers[-1] == b"UP":
                assert await client.line() == b"MOVE\r\n"
            assert await client.line() == b"FIN"
            assert anyio.current_time() < signalled_at + 2.7

        async with anyio.create_task_group() as tasks:
            for number, client in enumerate(clients):
                tasks.start_soon(send_late_request, client, number)
        assert await here.running.process.wait() == 0
        assert set(answers) <= {b"UP", b"BUSY", b"ERR"}, answers


async def test_a_process_signalled_to_end_as_it_begins_to_listen_serves_arrivals(tmp_path: Path) -> None:
    """Guards against listening before the signal handler is installed."""
    async with site(tmp_path) as here:
        await here.wait_stored()
        await here.restart(0.0, signals=[signal.SIGTERM])
        client, line = await here.connect("0a")
        assert line == b"UP r1\r\n"
        assert [await client.line(), await client.line()] == [b"MOVE\r\n", b"FIN"]


async def test_a_connection_that_rests_is_ended_in_order_before_the_earliest_kill(tmp_path: Path) -> None:
    """Guards against idle connections held until SIGKILL, whose late requests are lost."""
    classes = [{"name": "price-lookup", "give_up": 500.0, "repeat": "idempotent"}]
    async with site(tmp_path, classes=classes) as here:
        client = Peer(await anyio.connect_tcp("127.0.0.1", here.port))
        await client.send_line(b"PING")
        assert await client.line() == b"PONG\r\n"
        here.running.process.send_signal(signal.SIGTERM)
        with anyio.fail_after(1.15):  # the kill comes 1.2 s after SIGTERM
            assert (await client.line()).split()[0] in (b"BUSY", b"ERR")
            assert await client.line() == b"FIN"
