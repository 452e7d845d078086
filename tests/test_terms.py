"""Limits of the protocol's terms, tested on a process. `docs/terms-audit.md` lists them."""

from __future__ import annotations

import contextlib
import json
import re
import signal
from collections import Counter
from pathlib import Path

import anyio
import pytest

from puffinford.core.clock import Clock
from puffinford.standins.discovery import Discovery
from puffinford.standins.trace import Trace
from tests.harness import Peer, http_call, opening
from tests.processes import SETTINGS, Site, site

pytestmark = pytest.mark.anyio

EFFECTS = ("at_most_once", "deduplicated", "idempotent")


async def silent(peer: Peer) -> None:
    """Read openings as a server that never answers."""
    while await peer.line() not in (b"FIN", b"RST"):
        pass


async def ask(here: Site, request_id: str, parameters: bytes) -> Peer:
    """Connect a client and send its opening."""
    peer = Peer(await anyio.connect_tcp("127.0.0.1", here.port))
    await peer.send_line(opening(request_id, parameters))
    return peer


@pytest.mark.parametrize("deadline", [500.0, 3_000.0])
async def test_every_request_is_answered_before_the_kill_while_servers_hang(
    deadline: float, tmp_path: Path
) -> None:
    """Half of the servers never answer. Established connections are moved, and new requests answered."""
    classes = [{"name": effect, "give_up": deadline, "repeat": effect, "window": 5e3} for effect in EFFECTS]
    answers: Counter[bytes] = Counter()
    lost: list[str] = []
    async with site(tmp_path, server_count=2, custom_servers=[silent, silent], classes=classes) as here:
        process = here.running.process

        async def client(request_id: str, effect: str) -> None:
            parameters = f"c={effect},t=a,d={deadline:.0f},g={request_id}".encode()
            peer = await ask(here, request_id, parameters)
            first = (await peer.line()).split()[0]
            answers[first] += 1
            if first not in (b"UP", b"BUSY", b"ERR"):
                lost.append(f"{request_id}: {first!r}")
            elif first == b"UP" and [await peer.line(), await peer.line()] != [b"MOVE\r\n", b"FIN"]:
                lost.append(f"{request_id}: not moved")
            await peer.fin()

        async with anyio.create_task_group() as clients:
            for n in range(30):
                clients.start_soon(client, f"a{n:x}", EFFECTS[n % 3])
                await anyio.sleep(0.01)
            signalled_at = anyio.current_time()
            process.send_signal(signal.SIGTERM)
            for n in range(20):
                await anyio.sleep_until(signalled_at + 0.02 * n)
                clients.start_soon(client, f"b{n:x}", EFFECTS[n % 3])
            await anyio.sleep_until(signalled_at + (deadline + 700.0) / 1_000.0)
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        assert lost == [] and sum(answers.values()) == 50
        assert answers[b"UP"] >= 25, answers


async def test_ping_is_answered_before_there_is_a_list_and_over_and_over(tmp_path: Path) -> None:
    async with site(tmp_path, discovery_mode="absent") as here:
        peer = Peer(await anyio.connect_tcp("127.0.0.1", here.port))
        for _ in range(50):
            await peer.send_line(b"PING")
            assert await peer.line() == b"PONG\r\n"
        await peer.send_line(opening("0a"))
        assert (await peer.line()).split()[0] == b"BUSY"


@pytest.mark.parametrize("mode", ["absent", "hung", "unavailable"])
async def test_a_restarted_process_is_ready_within_six_seconds_without_discovery(
    mode: str, tmp_path: Path
) -> None:
    async with site(tmp_path) as here:
        await here.wait_stored()
        here.discovery.set_mode(mode)
        with anyio.fail_after(6.0):
            await here.restart(0.0)
            peer = Peer(await anyio.connect_tcp("127.0.0.1", here.port))
            await peer.send_line(b"PING")
            assert await peer.line() == b"PONG\r\n"
            await peer.send_line(opening("0a"))
            assert await peer.line() == b"UP r1\r\n"


async def flooding(peer: Peer) -> None:
    """Write long lines without pause, as a server."""
    await peer.line()
    await peer.send_line(b"UP r1")
    with contextlib.suppress(anyio.BrokenResourceError):
        while True:
            await peer.send_line(b"x" * 4_000)


async def test_move_comes_between_two_lines_of_a_server_that_writes_on(tmp_path: Path) -> None:
    """The client may read slowly. A client that never reads is closed in time."""
    async with site(tmp_path, server_count=0, custom_servers=[flooding]) as here:
        parameters = b"c=price-lookup,t=a,d=2000,g=5c"
        reading, late, never = [await ask(here, request_id, parameters) for request_id in ("0a", "0b", "0c")]
        for peer in (reading, late, never):
            assert await peer.line() == b"UP r1\r\n"
        for _ in range(200):
            assert len(await reading.line()) == 4_002
        here.running.process.send_signal(signal.SIGTERM)
        await here.running.wait_for_log(b"event=drain ")

        async def moved(peer: Peer) -> None:
            while len(line := await peer.line()) == 4_002:
                pass
            assert line == b"MOVE\r\n" and await peer.line() == b"FIN"
            await peer.fin()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(moved, reading)
            tasks.start_soon(moved, late)
        with anyio.fail_after(2.7):
            await here.running.wait_for_log(b"event=drained")


async def ending(peer: Peer, how: str) -> None:
    """Answer one line as a server, then close, reset or ignore the connection."""
    await peer.line()
    await peer.send_line(b"UP r1")
    await peer.stream.send(await peer.line())
    if how == "reset":
        await peer.rst()
    elif how == "forget":
        await silent(peer)


@pytest.mark.parametrize(
    ("how", "within", "expected"),
    [("close", 1.0, b"FIN"), ("reset", 1.0, b"RST"), ("forget", 7.0, b"MOVE\r\n")],
)
async def test_a_connection_that_its_server_ends_or_forgets_is_ended_in_time(
    how: str, within: float, expected: bytes, tmp_path: Path
) -> None:
    """The client sends a line every 2 s."""

    async def server(peer: Peer) -> None:
        await ending(peer, how)

    async with site(tmp_path, server_count=0, custom_servers=[server]) as here:
        client = await ask(here, "0a", b"c=price-lookup,t=a,d=2000,g=5c")
        assert await client.line() == b"UP r1\r\n"
        await client.send_line(b"one")
        assert await client.line() == b"one\r\n"
        async with anyio.create_task_group() as tasks:

            async def send_on() -> None:
                while True:
                    await anyio.sleep(2.0)
                    with contextlib.suppress(anyio.BrokenResourceError):
                        await client.send_line(b"two")

            tasks.start_soon(send_on)
            with anyio.fail_after(within):
                assert await client.line() == expected
            tasks.cancel_scope.cancel()


@pytest.mark.parametrize("first", [b"nonsense", b"OPEN 0a 7f3a c=none,t=a,d=2000,g=5c"])
async def test_nothing_that_comes_behind_the_last_answer_is_forwarded(first: bytes, tmp_path: Path) -> None:
    """Guards against forwarding a request while the process shuts down, which would lose it."""
    async with site(tmp_path) as here:
        rested = Peer(await anyio.connect_tcp("127.0.0.1", here.port))
        await rested.send_line(b"PING")
        assert await rested.line() == b"PONG\r\n"
        bad = Peer(await anyio.connect_tcp("127.0.0.1", here.port))
        await bad.send_line(first)
        assert (await bad.line()).startswith(b"ERR")
        await bad.send_line(opening("0b"))
        here.running.process.send_signal(signal.SIGTERM)
        await here.running.wait_for_log(b"event=drained")
        await rested.send_line(opening("0c"))
        assert (await rested.line()).startswith(b"BUSY")
        await rested.send_line(opening("0d"))
        assert [await bad.line(), await rested.line()] == [b"FIN", b"FIN"]
        assert sum(here.openings.values()) == 0


@pytest.mark.parametrize("mode", ["sound", "late"])
async def test_new_configurations_in_quick_succession_move_discovery_in_four_seconds(
    mode: str, tmp_path: Path
) -> None:
    """Five reloads, 20 ms apart, switch between a hanging discovery and another. One file is truncated."""
    async with site(tmp_path, discovery="subscribe") as here:
        config = tmp_path / "config.json"
        contents = json.loads(config.read_text())
        clock = Clock()
        async with anyio.create_task_group() as tasks:
            hung, last = [Discovery(clock, Trace(clock.now), tasks) for _ in range(2)]
            last.registry.entries = {
                ident: dict(entry) for ident, entry in here.discovery.registry.entries.items()
            }
            last.registry.changed = dict(here.discovery.registry.changed)
            last.registry.put("s-1", state="leaving")
            hung.set_mode("hung")
            last.set_mode(mode)
            texts = [
                json.dumps({**contents, "discovery": place.address}) for place in (hung, last, hung, last)
            ]
            for text in (texts[0], texts[1], texts[2], texts[3][:99], texts[3]):
                fresh = config.with_suffix(".new")
                fresh.write_text(text)
                fresh.replace(config)
                here.running.process.send_signal(signal.SIGHUP)
                await anyio.sleep(0.02)
            with anyio.fail_after(4.0):
                await here.running.wait_for_log(b"server=s-1 state=draining")
            assert here.running.log_read.count(b'event="reload failed"') <= 1
            assert await here.connect_many(5) == {"UP": 5} and here.openings["s-1"] == 0
            tasks.cancel_scope.cancel()


NUMBER_SETTINGS = ["settings.classes.0.give_up", "settings.rules.ramp_time", "settings.balancers"]


@pytest.mark.parametrize(
    ("beyond", "places"),
    [(10**400, NUMBER_SETTINGS), (float("inf"), [*NUMBER_SETTINGS, "seed"])],
    ids=["a huge number", "infinity"],
)
async def test_a_configuration_with_a_number_beyond_all_is_not_taken(
    beyond: float, places: list[str], tmp_path: Path
) -> None:
    """Guards against SIGHUP ending the process over a number too large for a float, except for a seed."""
    async with site(tmp_path) as here:
        config = tmp_path / "config.json"
        sound = config.read_text()
        for place in places:
            contents = json.loads(sound)
            *path, last = place.split(".")
            parent = contents
            for name in path:
                parent = parent[int(name)] if name.isdigit() else parent[name]
            parent[last] = beyond
            config.write_text(json.dumps(contents))
            here.running.process.send_signal(signal.SIGHUP)
            with anyio.fail_after(5.0):
                await here.running.wait_for_log(b'event="reload failed"')
            assert await here.connect_many(1, place) == {"UP": 1}


COLD_BUDGET = 8  # connections per second to a server at its start, with random variation


async def test_a_server_whose_cordon_is_taken_back_is_cold_for_every_client(tmp_path: Path) -> None:
    """The server may have been restarted while cordoned, without a change of its entry."""
    async with site(tmp_path, server_count=3) as here:
        found = re.search(rb"event=serving .*front=management .*:(\d+)", here.running.log_read)
        assert found is not None
        address = int(found[1])
        await here.connect_many(30, "a")
        assert here.openings["s-1"] > 0
        assert (await http_call(address, "POST /admin/cordon/s-1"))[0] == 200
        openings_before = here.openings["s-1"]
        await here.connect_many(30, "b")
        assert here.openings["s-1"] == openings_before, "no new connections while cordoned"
        assert (await http_call(address, "POST /admin/uncordon/s-1"))[0] == 200
        uncordoned_at = anyio.current_time()
        while anyio.current_time() < uncordoned_at + 0.9:
            assert (await here.connect_many(1, f"c{sum(here.openings.values())}-"))["UP"] == 1
            await anyio.sleep(0.01)  # limits the log, whose pipe is not read here
        assert 0 <= here.openings["s-1"] - openings_before <= COLD_BUDGET
        with anyio.fail_after(5.0):
            while here.openings["s-1"] == openings_before:
                await here.connect_many(1, f"d{sum(here.openings.values())}-")
                await anyio.sleep(0.01)


MAX_SERVERS = 3_200
READY_S = 6.0


async def test_a_process_starts_in_time_among_as_many_servers_as_there_may_be(tmp_path: Path) -> None:
    """Starts without and with a store, without long stalls of the event loop."""
    async with site(tmp_path) as here:
        for number in range(MAX_SERVERS - 2):
            # Draining, so that clients are sent to the two real servers.
            here.discovery.registry.put(f"x-{number}", addr="127.0.0.1:9", state="leaving")
        for _ in range(2):
            await here.restart(0.0)
            with anyio.fail_after(READY_S):
                while (await here.connect_many(1, f"{anyio.current_time()}-"))["UP"] < 1:
                    await anyio.sleep(0.05)
            await here.running.wait_for_log(b"event=servers")
            await here.wait_stored()
        assert not re.search(rb"event=stalled ms=(\d{4,})", here.running.log_read), (
            "stalled for a second or more"
        )


async def test_a_drain_grace_of_a_second_is_kept_from_the_moment_it_is_announced(tmp_path: Path) -> None:
    """Clients connect throughout the grace period."""
    rules = {**SETTINGS["rules"], "stop_sending_within": 1_000.0}
    async with site(tmp_path, server_count=3, rules=rules) as here:
        await here.connect_many(30, "a")
        for ident in ("s-1", "s-2"):
            here.discovery.put(ident, state="leaving")
            announced_at = anyio.current_time()
            while anyio.current_time() < announced_at + 1.0:
                await here.connect_many(1, f"{ident}-{anyio.current_time()}-")
                await anyio.sleep(0.02)  # limits the log
            connections = here.openings[ident]
            assert (await here.connect_many(40, f"{ident}-late-"))["UP"] == 40
            assert here.openings[ident] == connections
