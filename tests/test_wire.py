"""The simulator's adapter: batches of events in, actions out, and the errors for malformed input."""

from __future__ import annotations

import io
import json
import subprocess
import sys
from typing import Any

import pytest

from puffinford.wirehost import WireHost, serve

FACTS: dict[str, Any] = {
    "classes": [{"name": "feed", "give_up": 2000.0, "repeat": "idempotent", "group": "all", "aim": 300.0}],
    "domain": {"groups": False, "mode": "proxy", "message_aim": [100.0]},
    "permissions": {"max_attempts": 3, "cancel": True, "retry_after": True, "max_retry_after": 1000.0},
    "rules": {"cold_from": 0.2, "ramp_time": 8000.0},
    "discovery": "automatic",
    "unheard_of": {"x": 1},
}
TARGETS = {
    "i": 0,
    "kind": "replace",
    "version": 1,
    "elements": [{"server": "10.0.0.1:80", "phase": "live", "nominal": 1, "extra": 2}],
}


def batch(*events: dict[str, Any], now: float = 1_000.0) -> bytes:
    return json.dumps({"t": now, "events": list(events)}).encode()


def hello(i: int = 0, **facts: Any) -> dict[str, Any]:
    return {"hello": {"i": i, "rng_seed": 5, "facts": {**FACTS, **facts}}}


def request(ident: str = "a", i: int = 0) -> dict[str, Any]:
    return {"new_request": {"i": i, "id": ident, "grace": 1500.0, "type": "feed"}}


def actions(host: WireHost, *events: dict[str, Any], now: float = 1_000.0) -> list[dict[str, Any]]:
    reply: dict[str, list[dict[str, Any]]] = json.loads(host.reply(batch(*events, now=now)))
    return reply["do"]


def test_an_empty_batch() -> None:
    assert WireHost().reply(batch()) == b'{"do":[]}'


def test_a_request_becomes_an_attempt_and_an_outcome_an_answer() -> None:
    host = WireHost()
    placements = actions(host, hello(), {"targets": TARGETS}, request())
    assert placements == [{"place": {"i": 0, "id": "a", "server": "10.0.0.1:80", "limit": 750.0}}]
    outcome = {"i": 0, "id": "a", "server": "10.0.0.1:80", "ending": 302, "wait_time": 1.0}
    (answer,) = [action for action in actions(host, {"report_back": outcome}) if "turn_away" in action]
    assert answer["turn_away"]["id"] == "a"


def test_every_event_is_understood() -> None:
    host = WireHost()
    common = {"i": 0, "id": "a", "server": "10.0.0.1:80"}
    stream = [
        hello(),
        {"targets": TARGETS},
        {"inherited": {**common, "id": "old", "type": "feed"}},
        request(),
        {"streaming": {**common, "wait_time": 3.0}},
        {"update_of": {**common, "kind": 1, "value": 500.0}},
        {"update_of": {**common, "kind": 2, "value": 5.0}},
        {"health": {"i": 0, "server": "10.0.0.1:80", "ending": 100, "health_info": [0.5]}},
        {"datagram": {"i": 0, "src_peer": 1, "blob": "aGk="}},
        {"reminder": {"i": 0, "token": 4}},
        {"report_back": {**common, "ending": 100, "wait_time": 9.0, "complete": True, "health_info": [0.1]}},
        {"client_left": {"i": 0, "id": "a"}},
        {"targets": {"i": 0, "kind": "unavailable", "version": 1}},
        {"teardown": {"i": 0}},
    ]
    assert not any("broken" in action for event in stream for action in actions(host, event))


def test_a_restart_in_one_batch_forgets_what_was_held() -> None:
    host = WireHost()
    actions(host, hello(), {"targets": TARGETS}, request())
    after_restart = actions(host, request("b"), {"teardown": {"i": 0}}, hello(), request("c"))
    assert [next(iter(action)) for action in after_restart] == ["turn_away"]
    assert after_restart[0]["turn_away"]["id"] == "c"


def test_instances_share_nothing() -> None:
    host = WireHost()
    actions(host, hello(0), hello(1), {"targets": TARGETS})
    (answer,) = actions(host, request("a", 1))
    assert answer["turn_away"]["i"] == 1


def test_an_exception_in_an_instance_is_reported() -> None:
    host = WireHost()
    actions(host, hello())
    unknown = {"new_request": {"i": 0, "id": "a", "grace": 9.0, "type": "no such class"}}
    (reported,) = actions(host, unknown)
    assert "no such class" in reported["broken"]["message"]


@pytest.mark.parametrize(
    ("raw", "words"),
    [
        (b"not json", ["not JSON"]),
        (b'{"events":[]}', ["batch", "t"]),
        (batch({"surprise": {"i": 0}}), ["surprise", "unknown"]),
        (batch({"reminder": {"token": 1}}), ["reminder", "i"]),
        (batch(hello(), {"new_request": {"i": 0, "id": "a", "type": "feed"}}), ["new_request", "grace"]),
        (
            batch(hello(), {"new_request": {"i": 0, "id": 7, "type": "feed", "grace": 1}}),
            ["new_request", "id"],
        ),
        (batch(hello(), {"client_left": {"i": 0}}), ["client_left", "id"]),
        (batch(hello(), {"targets": {"i": 0, "kind": "odd"}}), ["targets", "kind"]),
        (
            batch(
                hello(),
                {"targets": {**TARGETS, "elements": [{"server": "s", "phase": "live", "rack_zone": 4}]}},
            ),
            ["targets", "rack_zone"],
        ),
        (batch(hello(classes=[])), ["classes"]),
        (batch(hello(rules={"ramp_time": -5.0})), ["warm_time"]),
        (batch(request("a", 9)), ["new_request", "9"]),
    ],
)
def test_malformed_input_is_named(raw: bytes, words: list[str], capsys: pytest.CaptureFixture[str]) -> None:
    sink = io.BytesIO()
    assert serve(io.BytesIO(raw + b"\n"), sink) == 2
    assert sink.getvalue() == b""
    errors = capsys.readouterr().err
    assert errors.count("\n") == 1
    assert all(word in errors for word in words)


def test_the_program_ends_with_its_input() -> None:
    completed = subprocess.run(
        [sys.executable, "-m", "puffinford.wirehost"], input=batch() + b"\n", capture_output=True, check=False
    )
    assert (completed.returncode, completed.stdout, completed.stderr) == (0, b'{"do":[]}\n', b"")
