"""A new version of the program starts next to the old one and takes over without losing clients."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
from pathlib import Path

import anyio
import pytest

from puffinford.core.clock import SettableClock
from puffinford.core.state_path import state_path
from puffinford.fronts.accepting import ConnectionTracker
from puffinford.fronts.channels import codec
from puffinford.fronts.sockets import DescriptorBudget
from puffinford.management.versions import OWN_DESCRIPTORS, VersionRegistry
from tests.harness import ChannelPeer, Peer, discovery, echo, harness, http_call, opening, program
from tests.test_program import FACTS


@pytest.mark.anyio
@pytest.mark.parametrize("killed_first", [False, True], ids=["", "beside the file of a killed one"])
async def test_the_old_version_hands_over_only_to_one_that_is_ready(
    tmp_path: Path, killed_first: bool
) -> None:
    """Guards against an old version that goes on accepting after a new one is ready."""
    config, state = tmp_path / "config.json", tmp_path / "state"
    state.mkdir()
    platform = socket.create_server(("127.0.0.1", 0))
    port, fd = platform.getsockname()[1], platform.fileno()
    discovery_requests: list[bytes] = []
    async with harness() as here:
        server = {"id": "s-1", "addr": f"127.0.0.1:{await here.listen(lambda s: echo(Peer(s)))}"}
        addresses = {
            "listen": f"127.0.0.1:{port}",
            "discovery": f"127.0.0.1:{await here.listen(discovery(discovery_requests, server))}",
        }
        config.write_text(json.dumps({**addresses, "settings": FACTS}))
        env = {"TMPDIR": str(state), "EDGE_SOCKET_FD": str(fd), "EDGE_MGMT": "127.0.0.1:0"}

        async def client(request_id: str) -> Peer:
            peer = Peer(await anyio.connect_tcp("127.0.0.1", port))
            await peer.send_line(opening(request_id))
            assert await peer.line() == b"UP r1\r\n"
            return peer

        async with program(config, fds=[fd], **env) as old:
            await old.wait_for_log(b"list=replace")
            first = await client("0a")
            if killed_first:
                async with program(config, fds=[fd], **env) as dead:
                    # A version that starts from the store requests only changes of the list.
                    await dead.wait_for_log(b"event=discovery ")
                    dead.process.kill()
                    await dead.process.wait()
            async with program(config, fds=[fd], **env) as new:
                address = await new.port(b"management")
                while (await http_call(address, "GET /admin/health"))[0] != 200:
                    await anyio.sleep(0.01)
                waiting = Peer(await anyio.connect_tcp("127.0.0.1", port))
                old.process.send_signal(signal.SIGTERM)
                await old.wait_for_log(b"event=succeeded")
                assert [await first.line(), await first.line()] == [b"MOVE\r\n", b"FIN"]
                await first.fin()
                await waiting.send_line(opening("0b"))
                assert await waiting.line() == b"UP r1\r\n", "either version serves it"
                second = await client("0c")
                assert await old.process.wait() == 0, "the old version exits by itself"
                await second.send_line(b"on")
                assert await second.line() == b"on\r\n"
                new.process.send_signal(signal.SIGTERM)
                await new.wait_for_log(b"event=stopping")
                await (await client("0d")).fin()  # without a successor, new clients are still served
                new.process.kill()
    platform.close()


@pytest.mark.anyio
async def test_the_channel_front_changes_versions_too(tmp_path: Path) -> None:
    """Guards against clients of the channel front that connect to an old version which has stopped."""
    config, channels, state = tmp_path / "config.json", tmp_path / "puffinford.conf", tmp_path / "state"
    state.mkdir()
    platform, reserved = socket.create_server(("127.0.0.1", 0)), socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    reserved.bind(("127.0.0.1", 0))
    port, fd = reserved.getsockname()[1], platform.fileno()
    channels.write_text(f"section channels\n enabled on\n listen 127.0.0.1:{port}\n")
    async with harness() as here:
        server = {"id": "s-1", "addr": f"127.0.0.1:{await here.listen(lambda s: echo(Peer(s)))}"}
        addresses = {
            "listen": "127.0.0.1:1",
            "discovery": f"127.0.0.1:{await here.listen(discovery([], server))}",
        }
        config.write_text(json.dumps({**addresses, "settings": FACTS}))
        env = {"TMPDIR": str(state), "EDGE_SOCKET_FD": str(fd), "EDGE_MGMT": "127.0.0.1:0"}
        words = ("serve", "--settings", str(channels))

        async def client(request_id: str) -> ChannelPeer:
            peer = await ChannelPeer(await anyio.connect_tcp("127.0.0.1", port)).hello()
            await peer.open(1, request_id)
            assert isinstance(await peer.next(), codec.OpenConfirmation)
            return peer

        async with program(config, *words, fds=[fd], **env) as old:
            await old.wait_for_log(b"list=replace")
            first = await client("0a")
            async with program(config, *words, fds=[fd], **env) as new:
                address = await new.port(b"management")
                while (await http_call(address, "GET /admin/health"))[0] != 200:
                    await anyio.sleep(0.01)
                old.process.send_signal(signal.SIGTERM)
                await old.wait_for_log(b"event=succeeded front=channels")
                assert await first.next() == codec.ChannelRequest(1, codec.MOVE, False)
                await first.stream.aclose()
                assert await old.process.wait() == 0
                await client("0b")
                await new.wait_for_log(b"event=up request=0b")
                new.process.kill()
    platform.close()
    reserved.close()


def test_versions_share_their_limits_and_a_dead_one_counts_for_nothing(tmp_path: Path) -> None:
    path = state_path(str(tmp_path), "n/1")
    old, new = VersionRegistry(path), VersionRegistry(path)
    old.register()
    new.register()
    budget = DescriptorBudget(200, 50)
    budget.used_elsewhere = lambda: old.descriptors_elsewhere
    tracker = ConnectionTracker(SettableClock(), budget)
    new.publish_sockets(140)
    old.refresh()
    assert (old.descriptors_elsewhere, old.has_ready_successor, new.has_predecessor) == (
        140 + OWN_DESCRIPTORS,
        False,
        True,
    )
    assert not tracker.ensure_capacity()
    new.publish_ready(True)
    assert old.has_ready_successor and not new.has_ready_successor
    os.close(new._file)
    old.refresh()
    assert (old.descriptors_elsewhere, old.has_ready_successor) == (0, False)
    assert tracker.ensure_capacity()


@pytest.mark.parametrize("record", [b"", b"\1", b"\xff" * 12, b"\1\0\0\0\2\0\0\0\0\0\0\0"])
def test_a_record_that_is_cut_or_overwritten_leaves_the_last_state(record: bytes, tmp_path: Path) -> None:
    """Guards against a process that ends with SIGBUS, or refuses all clients, for another one's record."""
    path = state_path(str(tmp_path), "n/1")
    old, new = VersionRegistry(path), VersionRegistry(path)
    old.register()
    new.register()
    new.publish_sockets(140)
    new.publish_ready(True)
    old.refresh()
    before = (old.descriptors_elsewhere, old.has_ready_successor)
    assert before == (140 + OWN_DESCRIPTORS, True)
    file = new._slot_path(new._slot)
    os.truncate(file, 0)
    with file.open("r+b") as other:
        other.write(record)
    old.refresh()
    assert (old.descriptors_elsewhere, old.has_ready_successor) == before
    new.publish_sockets(10)
    assert new.has_predecessor


def test_what_is_no_file_in_the_place_of_a_record_ends_no_process(tmp_path: Path) -> None:
    """Guards against waiting for the writer of a FIFO, and against an exception at the start."""
    path = state_path(str(tmp_path), "n/1")
    assert path is not None
    for slot, make in enumerate((os.mkfifo, os.mkdir)):
        make(path.with_name(f"{path.name}.version-{slot}"))
    registry = VersionRegistry(path)
    with pytest.raises(OSError):
        registry.register()
    registry.refresh()
    registry.publish_ready(True)
    assert not registry.has_ready_successor and not registry.descriptors_elsewhere


@pytest.mark.anyio
async def test_an_old_version_ends_what_rests_before_the_earliest_kill(tmp_path: Path) -> None:
    """Guards against an idle client whose request is cut off unanswered while its balancer shuts down."""
    config, state = tmp_path / "config.json", tmp_path / "state"
    state.mkdir()
    platform = socket.create_server(("127.0.0.1", 0))
    port, fd = platform.getsockname()[1], platform.fileno()
    async with harness() as here:
        server = {"id": "s-1", "addr": f"127.0.0.1:{await here.listen(lambda s: echo(Peer(s)))}"}
        addresses = {
            "listen": f"127.0.0.1:{port}",
            "discovery": f"127.0.0.1:{await here.listen(discovery([], server))}",
        }
        config.write_text(json.dumps({**addresses, "settings": FACTS}))
        env = {"TMPDIR": str(state), "EDGE_SOCKET_FD": str(fd), "EDGE_MGMT": "127.0.0.1:0"}
        async with program(config, fds=[fd], **env) as old:
            await old.wait_for_log(b"list=replace")
            idle_clients = [Peer(await anyio.connect_tcp("127.0.0.1", port)) for _ in range(24)]
            for peer in idle_clients:
                await peer.send_line(b"PING")
                assert await peer.line() == b"PONG\r\n"
            async with program(config, fds=[fd], **env) as new:
                address = await new.port(b"management")
                while (await http_call(address, "GET /admin/health"))[0] != 200:
                    await anyio.sleep(0.01)
                old.process.send_signal(signal.SIGTERM)
                kill_at = anyio.current_time() + FACTS["classes"][0]["give_up"] / 1_000.0 + 0.7

                async def ask(peer: Peer, number: int) -> None:
                    await anyio.sleep_until(kill_at + 0.02 - 1.1 * number / len(idle_clients))
                    with contextlib.suppress(anyio.BrokenResourceError):
                        await peer.send_line(opening(f"0{number}"))

                async def expect_answer(peer: Peer) -> None:
                    answer = (await peer.line()).split()[0]
                    assert answer in (b"UP", b"BUSY", b"ERR")
                    if answer == b"UP":
                        assert await peer.line() == b"MOVE\r\n"
                    assert await peer.line() == b"FIN"
                    assert anyio.current_time() < kill_at

                async with anyio.create_task_group() as tasks:
                    for number, peer in enumerate(idle_clients):
                        tasks.start_soon(expect_answer, peer)
                        tasks.start_soon(ask, peer, number)
                new.process.kill()
            assert await old.process.wait() == 0
    platform.close()
