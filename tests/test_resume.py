"""Connections that were open at a server before the start, while the list is old or has not come yet."""

from __future__ import annotations

import anyio
import pytest

from puffinford.core.values import Opening, ServerEntries, ServerEntry
from puffinford.fronts.channels import codec
from puffinford.fronts.channels.opening import encode_opening
from puffinford.interface import ListKind, Server
from tests.harness import Harness, answering, harness, http_call

pytestmark = pytest.mark.anyio
WAIT_MS = 2_000.0
STANDING = (("c", "price-lookup"), ("d", "2000"), ("at", "s-9"))


async def answer_of(here: Harness, front: str) -> str:
    """Ask for the connection at s-9 over a front; return `up`, `failed` or another answer."""
    if front == "lines":
        figures = ",".join(f"{name}={value}" for name, value in STANDING)
        client = await here.client(f"OPEN 0a 7f3a {figures}".encode())
        word = (await client.line()).split()[0].decode()
        return {"UP": "up", "ERR": "failed"}.get(word, word)
    channel_client = await here.channel_client()
    extra = encode_opening(Opening.from_parameters("0a", "7f3a", STANDING), WAIT_MS)
    await channel_client.send_messages(codec.ChannelOpen(codec.REQUEST_CHANNEL, 0, 1_000, 32_768, extra))
    message = await channel_client.next()
    if isinstance(message, codec.OpenConfirmation):
        return "up"
    assert isinstance(message, codec.OpenFailure)
    return "failed" if message.reason == codec.FAILED else str(message.reason)


def restore_old_list(here: Harness) -> None:
    """Put a list in force that is older than s-9."""
    old = ServerEntry(Server("s-1"), "127.0.0.1", 1)
    here.exchange._apply_list(ServerEntries(1, True, [old]), ListKind.RESTORED)


@pytest.mark.parametrize("front", ["lines", "channels"])
@pytest.mark.parametrize("old_list", [True, False])
async def test_a_connection_at_a_server_that_the_old_list_lacks_waits_for_the_list(
    front: str, old_list: bool
) -> None:
    """Guards against failing a standing connection at once, as its server is newer than the known list."""
    async with harness() as here:
        if old_list:
            restore_old_list(here)
        answers: list[str] = []

        async def ask() -> None:
            answers.append(await answer_of(here, front))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask)
            await anyio.sleep(0.05)
            here.clock.advance(1_500.0)
            here.exchange.take_list(None)  # a call that failed says nothing of the server
            await anyio.sleep(0.05)
            assert not answers
            await here.server("s-9", answering(b"UP nine", stay=True))
        assert answers == ["up"]


@pytest.mark.parametrize("front", ["lines", "channels"])
@pytest.mark.parametrize("listed", [True, False])
async def test_a_standing_connection_is_answered_at_once_or_within_its_time(front: str, listed: bool) -> None:
    """Guards against waiting for a server that the new list lacks too, or past the client's time."""
    async with harness() as here:
        restore_old_list(here)
        answers: list[str] = []

        async def ask() -> None:
            answers.append(await answer_of(here, front))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask)
            await anyio.sleep(0.05)
            if listed:
                here.exchange.take_list(ServerEntries(2, True, [ServerEntry(Server("s-2"), "127.0.0.1", 1)]))
            else:
                here.clock.advance(WAIT_MS - 1.0)
        assert answers == ["failed"]


async def test_a_cordon_of_a_server_that_the_old_list_lacks_is_not_called_unknown() -> None:
    """Guards against telling an operator that a server does not exist before discovery has answered."""
    async with harness() as here:
        restore_old_list(here)
        port = here.management()
        here.clock.advance(4_000.0)  # the old list is in use, as the source has not answered
        assert here.exchange.has_server_list
        assert (await http_call(port, "POST /admin/cordon/s-9"))[0] == 503
        await here.server("s-9", answering(b"UP nine"))
        assert (await http_call(port, "POST /admin/cordon/s-9"))[0] == 200
        assert (await http_call(port, "POST /admin/cordon/s-8"))[0] == 404
