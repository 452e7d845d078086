"""Lag of the process itself: it is measured, and not taken for slow answers of the servers."""

from __future__ import annotations

import re
import signal
import time
from collections import Counter
from pathlib import Path

import anyio
import pytest

from puffinford.core.delays import UnansweredLines
from puffinford.core.loop_lag import LoopLag
from tests.harness import Peer
from tests.processes import site

pytestmark = pytest.mark.anyio

CLIENTS = 20
LINE = b"line\r\n"
ANSWER_S = 0.01  # for which a server has a line
HOLD_UP_S = 0.15  # for which the platform may hold up a balancer
HOLD_UPS = 4


async def test_a_lag_counts_before_the_next_check_has_run() -> None:
    async with anyio.create_task_group() as tasks:
        lag = LoopLag()
        tasks.start_soon(lag.run)
        await anyio.wait_all_tasks_blocked()
        before = lag.total_ms
        time.sleep(0.2)  # holds up the event loop
        held_up = lag.total_ms - before
        assert held_up >= 200.0
        await anyio.sleep(0.02)
        assert lag.total_ms >= before + held_up, "kept when the check has run"
        tasks.cancel_scope.cancel()


async def test_a_delay_excludes_the_lag_between_a_line_and_its_answer() -> None:
    lines = UnansweredLines()
    lines.sent(1_000.0, lag=50.0)
    lines.sent(1_100.0, lag=250.0)
    assert lines.delay(1_230.0, lag=250.0) == 30.0
    assert lines.answered(1_230.0, lag=250.0) == 30.0, "200 of the 230 ms were the process's own"
    assert lines.answered(1_230.0, lag=250.0) == 130.0
    assert lines.answered(1_230.0, lag=250.0) is None


async def echo_slowly(peer: Peer) -> None:
    """Answer UP, then send each line back after ANSWER_S."""
    await peer.line()
    await peer.send_line(b"UP r1")
    while (line := await peer.line()) not in (b"FIN", b"RST"):
        await anyio.sleep(ANSWER_S)
        await peer.stream.send(line)


async def test_a_process_that_is_held_up_does_not_find_its_servers_slow(tmp_path: Path) -> None:
    """Guards against moving clients off servers whose answers lay unread while the balancer was held up."""
    received: Counter[bytes] = Counter()

    async def read(client: Peer) -> None:
        while (line := await client.line()) not in (b"FIN", b"RST"):
            received[line] += 1

    async with site(tmp_path, 0, custom_servers=[echo_slowly] * 4, domain={"message_aim": [60.0]}) as here:
        process = here.running.process
        async with anyio.create_task_group() as tasks:
            clients = [(await here.connect(f"c{number}"))[0] for number in range(CLIENTS)]
            for client in clients:
                tasks.start_soon(read, client)
            for _ in range(HOLD_UPS):
                for client in clients:
                    await client.stream.send(LINE)
                await anyio.sleep(ANSWER_S / 2.0)
                process.send_signal(signal.SIGSTOP)
                await anyio.sleep(HOLD_UP_S)
                process.send_signal(signal.SIGCONT)
                await anyio.sleep(1.0)  # until the next report
            tasks.cancel_scope.cancel()
        process.terminate()
        await here.running.wait_for_log(b"event=stopping")
    assert received == {LINE: HOLD_UPS * CLIENTS}, "each line is answered, and nobody is moved"
    assert re.findall(rb"event=slow.*", here.running.log_read) == []
