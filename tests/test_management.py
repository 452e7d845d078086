"""The management address: the status of each call, and the counters of /admin/stats."""

from __future__ import annotations

import anyio
import pytest

from puffinford.fronts.sockets import MAX_MGMT_DESCRIPTORS
from puffinford.management.cordons import Cordons
from tests.harness import Peer, answering, echo, harness, http_call, opening

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize(
    ("admin_call", "status"),
    [
        ("GET /admin/health", 200),
        ("GET /admin/stats?all", 200),
        ("POST /admin/health", 405),
        ("DELETE /admin/stats", 405),
        ("GET /", 404),
        ("GET /admin/health/", 404),
        ("GET /admin/%ff", 400),
        (b"\x16\x03\x01\x02\x00\r\n\r\n", 400),
        (b"GET /admin/health HTTP/1.1\r\n\r\n", 400),  # HTTP/1.1 requires a Host header
        (b"GET /admin/health HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", 400),
        (b"GET /" + b"a" * 20_000, 400),
        (b"GET /admin/health HTTP/1.0\r\n\r\n", 200),
        ("HEAD /admin/health", 405),
        (
            b"GET /admin/health HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\nall",
            100,
        ),
        ("POST /admin/cordon/s-1", 503),  # no list yet, so the id may become known
    ],
)
async def test_each_call_has_its_answer(admin_call: str | bytes, status: int) -> None:
    async with harness() as here:
        assert (await http_call(here.management(), admin_call))[0] == status


async def test_a_fault_of_ours_is_answered_too() -> None:
    def missing() -> str:
        raise RuntimeError

    async with harness() as here:
        assert (await http_call(here.management(missing), "GET /admin/health"))[0] == 500


async def test_ready_means_that_nothing_is_lacking() -> None:
    missing = "no machine list yet"
    async with harness() as here:
        port = here.management(lambda: missing)
        assert await http_call(port, "GET /admin/health") == (503, "not ready: no machine list yet\n")
        missing = ""
        assert await http_call(port, "GET /admin/health") == (200, "ready\n")


async def test_a_call_that_is_being_answered_keeps_its_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against evicting the caller of a cordon while it is stored, for a crowd of other callers."""
    storing, stored = anyio.Event(), anyio.Event()

    async def store_slowly(self: Cordons, server_id: str, out: bool) -> None:
        storing.set()
        await stored.wait()

    monkeypatch.setattr(Cordons, "set_cordon", store_slowly)
    async with harness() as here:
        here.list_server("s-1", 1)
        port = here.management()
        operator = Peer(await anyio.connect_tcp("127.0.0.1", port))
        await operator.stream.send(b"POST /admin/cordon/s-1 HTTP/1.1\r\nHost: here\r\n\r\n")
        await storing.wait()
        others = [await anyio.connect_tcp("127.0.0.1", port) for _ in range(2 * MAX_MGMT_DESCRIPTORS)]
        assert (await http_call(port, "GET /admin/health"))[0] == 200
        stored.set()
        assert (await operator.line()).startswith(b"HTTP/1.1 200")
        for stream in (operator.stream, *others):
            await anyio.aclose_forcefully(stream)


@pytest.mark.parametrize("failed", [True, False], ids=["discovery fails", "discovery says nothing"])
async def test_with_a_known_list_a_new_process_does_not_wait_for_discovery_for_long(failed: bool) -> None:
    async with harness() as here:
        if failed:
            here.exchange.take_list(None)
        assert not here.exchange.has_server_list, "there is no list at all"
        here.list_server("s-1", 1)
        here.exchange._servers.source_answered = False
        assert not here.exchange.has_server_list
        if failed:
            here.exchange.take_list(None)
        else:
            here.clock.advance(3_000.0)
        assert here.exchange.has_server_list


async def test_callers_that_stall_and_crowds_of_clients_hold_up_no_call() -> None:
    """Stalled callers are evicted by their number alone: the clock does not advance here."""
    async with harness() as here:
        here.tracker.budget.limit = 0
        port = here.management()
        stalled = [await anyio.connect_tcp("127.0.0.1", port) for _ in range(2 * MAX_MGMT_DESCRIPTORS)]
        for stream in stalled[-MAX_MGMT_DESCRIPTORS:]:
            await stream.send(b"GET /admin/health HTT")
        assert (await http_call(port, "GET /admin/health"))[0] == 200
        assert await Peer(stalled[0]).line() in (b"FIN", b"RST")
        await stalled[-1].send(b"P/1.1\r\nHost: here\r\n\r\n")
        assert (await Peer(stalled[-1]).line()).startswith(b"HTTP/1.1 200")
        for stream in stalled:
            await anyio.aclose_forcefully(stream)


@pytest.mark.parametrize(("ms", "stalls_ms"), [(500.0, []), (900.0, [400])])
async def test_the_log_tells_when_the_program_itself_was_late(
    ms: float, stalls_ms: list[int], caplog: pytest.LogCaptureFixture
) -> None:
    async with harness() as here:
        here.clock.advance(ms)
        await here.settle()
        assert [vars(r)["ms"] for r in caplog.records if r.message == "stalled"] == stalls_ms


@pytest.mark.parametrize("front", ["lines", "channels"])
async def test_the_figures_count_what_was_answered_and_what_was_written(front: str) -> None:
    async with harness() as here:
        port = here.management()

        async def counters() -> dict[str, str]:
            lines = (await http_call(port, "GET /admin/stats"))[1].split()
            return dict(line.removeprefix("app.").split(":") for line in lines)

        zero = await counters()
        assert [
            zero[f"requests.{cls}.{name}"]
            for cls in ("price-lookup", "payment")
            for name in ("served", "refused", "failed", "attempts")
        ] == ["0|c"] * 8
        await here.server("s-1", echo)
        if front == "channels":
            channel = await here.channel_client()
            await channel.open(1, "0a")
            await channel.next()
        else:
            client = await here.client(opening())
            assert await client.line() == b"UP r1\r\n"
        again = await here.client(opening())
        assert (await again.line()).startswith(b"ERR ")
        unknown = await here.client(opening("0c", b"c=none,d=9"))
        assert (await unknown.line()).startswith(b"ERR ")
        await here.server("s-1", answering(b"ERR no"))
        refused = await here.client(opening("0d", b"c=payment,d=900"))
        assert (await refused.line()).startswith(b"ERR ")
        seen = await counters()
        names = ("price-lookup.served", "price-lookup.failed", "price-lookup.attempts", "payment.failed")
        assert [seen[f"requests.{name}"] for name in names] == ["1|c"] * 4
        assert seen["requests.price-lookup.refused"] == "0|c"
        assert {n: seen[n] for n in ("in_flight", "servers_known", "servers_excluded")} == {
            "in_flight": "1|g",
            "servers_known": "1|g",
            "servers_excluded": "1|g",  # it sent a malformed answer
        }
