"""Stories of servers that operators take out and put back."""

from __future__ import annotations

from pathlib import Path

import anyio
import pytest

from puffinford.core.places import state_path
from puffinford.management.cordons import Cordons
from tests.stage import Peer, answering, call, echo, opening, stage

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize("front", ["lines", "channels"])
async def test_a_server_taken_out_loses_its_clients_and_is_used_again_once_back(
    front: str, tmp_path: Path
) -> None:
    async with stage() as here:
        port = here.management(state=state_path(str(tmp_path), "n1"))
        await here.server("s-1", echo)
        client = await (here.channel_client() if front == "channels" else here.client(opening()))
        if not isinstance(client, Peer):
            await client.open(1, "0a")
            await client.next()
        else:
            assert await client.line() == b"UP r1\r\n"
        for said, status in (
            ("POST /admin/cordon/s-0", 404),
            ("POST /admin/uncordon/s-0", 404),
            ("GET /admin/cordon/s-1", 405),
            ("POST /admin/cordon/s-1", 200),
            ("POST /admin/cordon/s%2D1", 200),
        ):
            assert (await call(port, said))[0] == status
        here.tasks.start_soon(here.pass_time)
        if isinstance(client, Peer):
            assert [await client.line(), await client.line()] == [b"MOVE\r\n", b"FIN"]
        else:
            assert "move@" in str(await client.next())
        await here.server("s-1", answering(b"UP back", stay=True))  # listed as live, and started anew
        refused = await here.client(opening("0b"))
        assert (await refused.line()).startswith(b"BUSY ")
        assert "servers_excluded:1|g" in (await call(port, "GET /admin/stats"))[1]
        assert (await call(port, "POST /admin/uncordon/s-1"))[0] == 200, "two calls out take one back"
        again = await here.client(opening("0c"))
        assert await again.line() == b"UP back\r\n"


def test_a_call_to_one_version_counts_in_the_other_and_outlives_it(tmp_path: Path) -> None:
    path = state_path(str(tmp_path), "n1")
    heard: list[frozenset[str]] = []
    old, new = Cordons(path, lambda out: None), Cordons(path, heard.append)
    old.change("s-1", True)
    old.change("s-2", True)
    new.look()
    new.look()
    new.change("s-1", False)
    old.look()
    assert heard == [{"s-1", "s-2"}, {"s-2"}] and old.out == {"s-2"}
    later = Cordons(path, heard.append)
    later.look()
    assert later.out == {"s-2"}


@pytest.mark.parametrize("text", ["", "[", "{}", "[1]", "[" * 100_000])
def test_a_file_that_cannot_be_read_changes_nothing(text: str, tmp_path: Path) -> None:
    path = state_path(str(tmp_path), "n1")
    cordons = Cordons(path, lambda out: None)
    cordons.change("s-1", True)
    next(tmp_path.glob("*.cordons")).write_text(text)
    cordons.look()
    assert cordons.out == {"s-1"} and not cordons.in_force
    cordons.change("s-2", True)
    assert cordons.out == {"s-1", "s-2"} and cordons.in_force


async def test_a_cordon_that_cannot_be_kept_is_no_cordon(tmp_path: Path) -> None:
    async with stage() as here:
        port = here.management(state=state_path(str(tmp_path / "none"), "n1"))
        await here.server("s-1", echo)
        assert (await call(port, "POST /admin/cordon/s-1"))[0] == 503
        client = await here.client(opening())
        assert await client.line() == b"UP r1\r\n"
        await anyio.aclose_forcefully(client.stream)
