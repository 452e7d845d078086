"""Requests that may run at most once, whose clients leave and come again; and clients that left unread."""

from __future__ import annotations

import os
import socket
from pathlib import Path

import anyio
import pytest

from puffinford.core.clock import Clock, SettableClock
from puffinford.core.run_requests import MAX_REQUESTS, RETENTION_MS, LocalRunRecord
from puffinford.core.values import Opening
from puffinford.fronts.channels import codec
from puffinford.fronts.channels.opening import encode_opening
from puffinford.fronts.sockets import DescriptorBudget, TcpStream
from puffinford.management.shared_run_record import SharedRunRecord
from tests.harness import Harness, Peer, harness, opening

pytestmark = pytest.mark.anyio
PAYMENT = b"c=payment,t=a,d=2000,g=5c"
UNREAD_BYTES = 100_000  # more than is read at a time


class Server:
    """A server that answers with these words, one for each opening, and then keeps quiet."""

    def __init__(self, *answers: bytes) -> None:
        self.openings: list[bytes] = []
        self._answers = list(answers)

    async def __call__(self, peer: Peer) -> None:
        self.openings.append((await peer.line()).split(b" ")[1])
        if self._answers:
            await peer.send_line(self._answers.pop(0))
        await peer.line()


async def wait_for_openings(server: Server, count: int) -> None:
    with anyio.fail_after(5):
        while len(server.openings) < count:
            await anyio.sleep(0.005)


async def wait_for_no_request(here: Harness) -> None:
    with anyio.fail_after(5):
        while here.exchange._requests:
            await anyio.sleep(0.005)


async def come_and_leave(here: Harness, front: str, server: Server) -> None:
    """Send a payment, and close the connection once its server has it."""
    if front == "lines":
        client = await here.client(opening("0a", PAYMENT))
        await wait_for_openings(server, 1)
        await client.fin()
    else:
        channel_client = await here.channel_client()
        await channel_client.open(1, "0a", cls="payment")
        await wait_for_openings(server, 1)
        await channel_client.stream.aclose()
    await wait_for_no_request(here)


async def come_again(here: Harness, front: str, request_id: str = "0a") -> str:
    """Send the same payment; return `failed` or the answer's kind."""
    if front == "lines":
        client = await here.client(opening(request_id, PAYMENT))
        word = (await client.line()).split()[0].decode()
        return {"ERR": "failed", "UP": "up"}.get(word, word)
    channel_client = await here.channel_client()
    await channel_client.open(1, request_id, cls="payment")
    message = await channel_client.next()
    if isinstance(message, codec.OpenFailure):
        return "failed" if message.reason == codec.FAILED else str(message.reason)
    return "up"


@pytest.mark.parametrize("again", ["lines", "channels"])
@pytest.mark.parametrize("front", ["lines", "channels"])
@pytest.mark.parametrize("answers", [(), (b"UP r1",)], ids=["at work", "up"])
async def test_a_payment_whose_client_left_does_not_run_again(
    answers: tuple[bytes, ...], front: str, again: str
) -> None:
    """Guards against a second execution for an id that comes again after its client had left."""
    server = Server(*answers)
    async with harness() as here:
        here.over = True
        await here.server("s-1", server)
        await come_and_leave(here, front, server)
        assert await come_again(here, again) == "failed"
        assert server.openings == [b"0a"]
        here.clock.advance(RETENTION_MS)
        assert not here.exchange.run_record.may_have_run("0a")


async def test_a_payment_that_did_not_run_or_was_moved_may_come_again() -> None:
    """Guards against refusing what is harmless to repeat."""
    server = Server(b"BUSY", b"UP r1", b"UP r2")
    async with harness() as here:
        here.over = True
        await here.server("s-1", server)
        refused = await here.client(opening("0a", PAYMENT))
        assert (await refused.line()).startswith(b"BUSY")
        here.clock.advance(5_000.0)  # the server is not taken for full any more
        moved = await here.client(opening("0a", PAYMENT))
        assert await moved.line() == b"UP r1\r\n"
        here.exchange.cordon(frozenset({"s-1"}))
        with anyio.fail_after(5):
            while await moved.line() != b"MOVE\r\n":
                pass
        await wait_for_no_request(here)
        here.exchange.cordon(frozenset())
        back = await here.client(opening("0a", PAYMENT + b",again=1"))
        assert await back.line() == b"UP r2\r\n"


def test_the_record_is_bounded_and_shared_by_the_processes_of_a_balancer(tmp_path: Path) -> None:
    """Guards against an id that runs again at the other process of an upgrade."""
    old = SharedRunRecord(tmp_path / "n1", LocalRunRecord(SettableClock()))
    new = SharedRunRecord(tmp_path / "n1", LocalRunRecord(SettableClock()))
    old.remember("0a")
    assert new.may_have_run("0a") and not new.may_have_run("0b")
    os.truncate(tmp_path / "n1.run-requests", 0)
    assert not new.may_have_run("0a") and old.may_have_run("0a")
    local = LocalRunRecord(SettableClock())
    for number in range(MAX_REQUESTS + 1):
        local.remember(str(number))
    assert not local.may_have_run("0") and local.may_have_run("1")


@pytest.mark.parametrize("end", ["FIN", "RST"])
async def test_a_peer_that_has_closed_behind_unread_input_has_left(end: str) -> None:
    """Guards against an attempt for a client that left, as much that it sent is still unread."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        peer = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
    stream = TcpStream(accepted, Clock(), DescriptorBudget())
    peer.sendall(b"x" * 1_000)
    assert not await stream.peer_closed()
    if end == "FIN":
        peer.shutdown(socket.SHUT_WR)
    else:
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        peer.close()
    await anyio.sleep(0.05)
    assert await stream.peer_closed()
    peer.close()
    stream.close()


async def test_no_open_of_a_client_that_left_behind_much_unread_is_begun() -> None:
    """Guards against sending on the requests of a channel client whose FIN is behind 100 KB of input."""
    server = Server()
    async with harness() as here:
        here.over = True
        await here.server("s-1", server)
        port = here.channel_port()
        parameters = (("c", "price-lookup"), ("d", "2000"))
        extra = encode_opening(Opening.from_parameters("0a", "7f3a", parameters), 2_000.0)
        channel_open = codec.ChannelOpen(codec.REQUEST_CHANNEL, 1, 1_000, 32_768, extra)
        with socket.create_connection(("127.0.0.1", port)) as client:
            client.sendall(codec.VERSION.encode() + b"\r\n" + codec.encode(channel_open))
            client.sendall(codec.encode(codec.Ignore(b"x" * 10_000)) * (UNREAD_BYTES // 10_000))
            client.shutdown(socket.SHUT_WR)
            await anyio.sleep(0.2)
        assert not server.openings
