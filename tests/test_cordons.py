"""Cordons: servers that operators take out of use and put back, through the admin API."""

from __future__ import annotations

import errno
import io
import itertools
import json
import os
import re
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
import pytest

from puffinford.core.state_path import state_path
from puffinford.management.cordons import Cordons
from tests.harness import Peer, answering, echo, harness, http_call, opening, program
from tests.processes import SEAM, FaultPlan, site
from tests.test_program import FACTS

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize("front", ["lines", "channels"])
async def test_a_server_taken_out_loses_its_clients_and_is_used_again_once_back(
    front: str, tmp_path: Path
) -> None:
    async with harness() as here:
        port = here.management(state=state_path(str(tmp_path), "n1"))
        await here.server("s-1", echo)
        client = await (here.channel_client() if front == "channels" else here.client(opening()))
        if not isinstance(client, Peer):
            await client.open(1, "0a")
            await client.next()
        else:
            assert await client.line() == b"UP r1\r\n"
        for admin_call, status in (
            ("POST /admin/cordon/s-0", 404),
            ("POST /admin/uncordon/s-0", 404),
            ("GET /admin/cordon/s-1", 405),
            ("POST /admin/cordon/s-1", 200),
            ("POST /admin/cordon/s%2D1", 200),
        ):
            assert (await http_call(port, admin_call))[0] == status
        here.tasks.start_soon(here.run_clock)
        if isinstance(client, Peer):
            assert [await client.line(), await client.line()] == [b"MOVE\r\n", b"FIN"]
        else:
            assert "move@" in str(await client.next())
        await here.server("s-1", answering(b"UP back", stay=True))  # listed as live, and restarted
        refused = await here.client(opening("0b"))
        assert (await refused.line()).startswith(b"BUSY ")
        assert "servers_excluded:1|g" in (await http_call(port, "GET /admin/stats"))[1]
        assert (await http_call(port, "POST /admin/uncordon/s-1"))[0] == 200, (
            "one uncordon reverts two cordons"
        )
        again = await here.client(opening("0c"))
        assert await again.line() == b"UP back\r\n"


def test_a_call_to_one_version_counts_in_the_other_and_outlives_it(tmp_path: Path) -> None:
    path = state_path(str(tmp_path), "n1")
    applied: list[frozenset[str]] = []
    old, new = Cordons(path, lambda out: None), Cordons(path, applied.append)
    anyio.run(old.set_cordon, "s-1", True)
    anyio.run(old.set_cordon, "s-2", True)
    new.refresh()
    new.refresh()
    anyio.run(new.set_cordon, "s-1", False)
    old.refresh()
    assert applied == [{"s-1", "s-2"}, {"s-2"}] and old.cordoned == {"s-2"}
    later = Cordons(path, applied.append)
    later.refresh()
    assert later.cordoned == {"s-2"}


@pytest.mark.parametrize("text", ["", "[", "{}", "[1]", "[" * 100_000])
def test_a_file_that_cannot_be_read_changes_nothing(text: str, tmp_path: Path) -> None:
    path = state_path(str(tmp_path), "n1")
    cordons = Cordons(path, lambda out: None)
    anyio.run(cordons.set_cordon, "s-1", True)
    next(tmp_path.glob("*.cordons")).write_text(text)
    cordons.refresh()
    assert cordons.cordoned == {"s-1"} and not cordons.in_sync
    anyio.run(cordons.set_cordon, "s-2", True)
    assert cordons.cordoned == {"s-1", "s-2"} and cordons.in_sync


async def test_a_cordon_that_cannot_be_kept_is_no_cordon(tmp_path: Path) -> None:
    async with harness() as here:
        port = here.management(state=state_path(str(tmp_path / "none"), "n1"))
        await here.server("s-1", echo)
        assert (await http_call(port, "POST /admin/cordon/s-1"))[0] == 503
        client = await here.client(opening())
        assert await client.line() == b"UP r1\r\n"
        await anyio.aclose_forcefully(client.stream)


class FileFaults:
    """Makes one call on files fail with EIO, after `left` calls that succeed."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.left = -1
        for module, name in ((io, "open"), (os, "replace"), (os, "stat")):
            patch.setattr(module, name, self._counted(getattr(module, name)))

    def _counted(self, original: Callable[..., Any]) -> Callable[..., Any]:
        def call(*args: Any, **kwargs: Any) -> Any:
            self.left -= 1
            if self.left == -1:
                raise OSError(errno.EIO, os.strerror(errno.EIO))
            return original(*args, **kwargs)

        return call


def test_a_call_and_the_file_agree_whichever_file_operation_fails(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a cordon that is reported as failed but is in effect, and against a failed read that
    reverts the cordon of another process.
    """
    for number in itertools.count():
        (tmp_path / f"{number}").mkdir()
        path = state_path(str(tmp_path / f"{number}"), "n1")
        other = Cordons(path, lambda out: None)
        cordons = Cordons(path, lambda out: None)
        anyio.run(other.set_cordon, "s-1", True)
        with monkeypatch.context() as patch:
            faults = FileFaults(patch)
            faults.left = number
            try:
                anyio.run(cordons.set_cordon, "s-2", True)
                wanted = {"s-1", "s-2"}
            except OSError:
                wanted = {"s-1"}
            failed = faults.left < 0
        for _ in range(2):
            cordons.refresh()
            other.refresh()
        assert cordons.cordoned == other.cordoned == wanted and cordons.in_sync, number
        if not failed:
            assert number >= 4, "read, write, rename and stat must each have failed once"
            break


async def test_a_read_that_fails_for_a_moment_leaves_no_cordon_out_of_force(tmp_path: Path) -> None:
    """Guards against a process that stays unready after one failed read of an unchanged file."""
    plan, config = FaultPlan(tmp_path / "plan.json"), tmp_path / "config.json"
    fields = {"name": "n1", "listen": "127.0.0.1:0", "mgmt": "127.0.0.1:0", "discovery": "127.0.0.1:1"}
    known = {"version": 1, "full": True, "servers": [{"id": "s-1", "addr": "127.0.0.1:1"}]}
    config.write_text(json.dumps({**fields, "settings": FACTS, "known": known}))
    env: dict[str, Any] = {"TMPDIR": str(tmp_path), "FAULT_PLAN": str(plan.path), "PYTHONPATH": str(SEAM)}
    with anyio.fail_after(10):
        async with program(config, **env) as running:
            port = await running.port(b"management")
            fault = {"call": "io.open", "errno": "EMFILE", "file": ".cordons", "most": 1}
            plan.apply(0.0, fault)
            path = state_path(str(tmp_path), "n1")
            await Cordons(path, lambda out: None).set_cordon("s-1", True)
            await running.wait_for_log(b'event="cordons unreadable"')
            await running.wait_for_log(b"event=cordons out=s-1")
            assert "cordons" not in (await http_call(port, "GET /admin/health"))[1]
            running.process.kill()


async def test_a_slow_disk_under_a_call_holds_up_no_line(tmp_path: Path) -> None:
    """Guards against a slow rename of the cordon file blocking the event loop."""
    async with site(tmp_path) as here:
        client, line = await here.connect("0a")
        assert line == b"UP r1\r\n"
        other = next(ident for ident in here.servers if not here.openings[ident])
        found = re.search(rb"front=management .*:(\d+)", here.running.log_read)
        assert found is not None
        here.plan.apply(0.0, {"call": "replace", "slow_s": 1.5, "file": ".new"})
        statuses = []

        async def cordon() -> None:
            statuses.append((await http_call(int(found[1]), f"POST /admin/cordon/{other}"))[0])

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(cordon)
            while not statuses:
                await client.send_line(b"on")
                with anyio.fail_after(0.7):
                    assert await client.line() == b"on\r\n"
                await anyio.sleep(0.05)
        assert statuses == [200]
        assert await here.connect_many(10) == {"UP": 10} and not here.openings[other]
