"""Converts between the JSON of the simulator's adapter and the types of `puffinford.interface`."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any, TypeGuard

import orjson

from puffinford import interface as it

Fields = dict[str, Any]


class WireError(Exception):
    """Raised for malformed input; the message names the event and the field."""


MAX_EXACT_INTEGER = 1 << 53  # larger integers are not represented exactly as floats

_RESULTS = {
    100: it.Result.OK,
    301: it.Result.ERROR,
    302: it.Result.FULL,
    303: it.Result.TIMEOUT,
    304: it.Result.CONNECT_FAILED,
    305: it.Result.RESET,
    306: it.Result.CANCELLED,
    307: it.Result.NOT_SENT,
}
_STATES = {
    "live": it.ServerState.LIVE,
    "quiescing": it.ServerState.DRAINING,
    "dead": it.ServerState.GONE,
}
_LISTS = {
    "update": it.ListKind.UPDATE,
    "replace": it.ListKind.REPLACE,
    "restored": it.ListKind.RESTORED,
    "unavailable": it.ListKind.UNAVAILABLE,
}
_EFFECTS = {
    "idempotent": it.Effect.SAFE,
    "deduplicated": it.Effect.KEYED,
    "at_most_once": it.Effect.UNSAFE,
}


def _field_error(event: str, name: str, fields: Fields) -> WireError:
    fault = "is missing" if fields.get(name) is None else "has the wrong type or an unknown value"
    return WireError(f"{event}: field {name} {fault}")


def is_text(value: object) -> TypeGuard[str]:
    """Return whether `value` is a string without lone surrogates, which JSON escapes can produce."""
    if not isinstance(value, str):
        return False
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def text(event: str, fields: Fields, name: str) -> str:
    """Return a required string field. Raises WireError."""
    value = fields.get(name)
    if not is_text(value):
        raise _field_error(event, name, fields)
    return value


def _text_or(event: str, fields: Fields, name: str, default: str = "") -> str:
    return default if fields.get(name) is None else text(event, fields, name)


def _is_number(value: object) -> TypeGuard[float]:
    """Return whether `value` is a finite number: Python's JSON accepts NaN, which defeats range checks."""
    if type(value) is int:
        return abs(value) <= MAX_EXACT_INTEGER  # a larger one may overflow a float
    return type(value) is float and math.isfinite(value)


def number(event: str, fields: Fields, name: str) -> float:
    """Return a required finite number. Raises WireError."""
    value = fields.get(name)
    if not _is_number(value):
        raise _field_error(event, name, fields)
    return float(value)


def integer(event: str, fields: Fields, name: str) -> int:
    """Return a required integer. Raises WireError."""
    value = fields.get(name)
    if type(value) is not int:
        raise _field_error(event, name, fields)
    return value


def _integer_or(event: str, fields: Fields, name: str, default: int) -> int:
    if fields.get(name) is None:
        return default
    value = integer(event, fields, name)
    if abs(value) > MAX_EXACT_INTEGER:
        raise _field_error(event, name, fields)
    return value


def _number_or(event: str, fields: Fields, name: str, default: float) -> float:
    return default if fields.get(name) is None else number(event, fields, name)


def _flag(event: str, fields: Fields, name: str) -> bool:
    value = fields.get(name)
    if value is None or value is False:
        return False
    if value is not True:
        raise _field_error(event, name, fields)
    return True


def _section(event: str, fields: Fields, name: str) -> Fields:
    value = fields.get(name, {})
    if type(value) is not dict:
        raise _field_error(event, name, fields)
    return value


def _list(event: str, fields: Fields, name: str) -> list[Any]:
    value = fields.get(name)
    if value is None:
        return []
    if type(value) is not list:
        raise _field_error(event, name, fields)
    return value


def _numbers(event: str, fields: Fields, name: str) -> list[float] | None:
    if fields.get(name) is None:
        return None
    values = _list(event, fields, name)
    if not all(map(_is_number, values)):
        raise _field_error(event, name, fields)
    return [float(value) for value in values]


def _choice(event: str, fields: Fields, name: str, choices: dict[Any, Any]) -> Any:
    value = fields.get(name)
    if type(value) not in (str, int) or value not in choices:
        raise _field_error(event, name, fields)
    return choices[value]


def parse_batch(line: bytes) -> tuple[float, list[tuple[str, Fields]]]:
    """Return the time of a batch (ms) and its events, each as a name and fields. Raises WireError."""
    try:
        batch = orjson.loads(line)
    except orjson.JSONDecodeError as exc:
        raise WireError(f"batch: not JSON: {exc}") from None
    if type(batch) is not dict:
        raise WireError("batch: not an object")
    now = number("batch", batch, "t")
    if type(batch.get("events")) is not list:
        raise _field_error("batch", "events", batch)
    events: list[tuple[str, Fields]] = []
    for item in batch["events"]:
        if type(item) is not dict or len(item) != 1:
            raise WireError("batch: field events: an event is an object with one key")
        name, fields = next(iter(item.items()))
        if name not in _EVENT_NAMES:
            raise WireError(f"{name}: unknown event")
        if type(fields) is not dict:
            raise WireError(f"{name}: not an object")
        events.append((name, fields))
    return now, events


def decode_hello(fields: Fields) -> tuple[int, it.Settings]:
    """Return the random seed and the settings of a new instance. Raises WireError."""
    seed = integer("hello", fields, "rng_seed")
    if type(fields.get("facts")) is not dict:
        raise _field_error("hello", "facts", fields)
    return seed, decode_settings(fields["facts"])


# Defaults, in words, of the settings that a site may leave out.
_DEFAULT_DESCRIPTIONS = {
    "balancers": "1",
    "discovery": "lists are pushed",
    "me": "0",
    "weight_source": "servers have no weights",
    "domain.groups": "no groups",
    "domain.message_aim": "no target for message delays",
    "domain.mode": "connections are proxied",
    "domain.tells_delay": "no delay notifications",
    "domain.tells_load": "no load notifications",
    "permissions.cancel": "attempts are not cancelled",
    "permissions.connect_timeout": "250 ms",
    "permissions.max_attempts": "3",
    "permissions.may_probe": "no probes",
    "permissions.retry_after": "refusals have no retry-after",
    "report.how": "no load reports",
    "rules.ask_within": "10 s",
    "rules.cold_from": "servers start at full capacity",
    "rules.fall": "2 s",
    "rules.ramp_time": "servers are warm at once",
    "rules.tip_multiple": "3",
}


def absent_settings(facts: Fields) -> dict[str, str]:
    """Return the settings that `facts` leaves out, by path, each with a description of its default."""
    absent = {}
    for path, default in _DEFAULT_DESCRIPTIONS.items():
        section, _, name = path.rpartition(".")
        settings = facts.get(section, {}) if section else facts
        if isinstance(settings, dict) and settings.get(name) is None:
            absent[path] = default
    return absent


def decode_settings(facts: Fields) -> it.Settings:
    """Decode a site's settings. Raises WireError for the field, ValueError for an invalid combination."""
    event = "hello.facts"
    domain = _section(event, facts, "domain")
    permissions = _section(event, facts, "permissions")
    rules = _section(event, facts, "rules")
    report = _section(event, facts, "report")
    tariffs = _section(event, facts, "tariffs")
    aims = _list("hello.facts.domain", domain, "message_aim")
    classes = []
    for index, entry in enumerate(_list(event, facts, "classes")):
        path = f"{event}.classes"
        if type(entry) is not dict:
            raise _field_error(event, "classes", facts)
        aim = aims[index] if index < len(aims) else 0.0
        if not _is_number(aim):
            raise _field_error("hello.facts.domain", "message_aim", domain)
        scope = {scope.value: scope for scope in it.Scope}
        classes.append(
            it.RequestClass(
                name=text(path, entry, "name"),
                deadline=number(path, entry, "give_up"),
                aim=_number_or(path, entry, "aim", 0.0),
                effect=_choice(path, entry, "repeat", _EFFECTS),
                scope=_choice(path, entry, "group", scope) if "group" in entry else it.Scope.ALL,
                window=_number_or(path, entry, "window", 0.0),
                value=_number_or(path, entry, "gain", 1.0),
                message_aim=aim,
            )
        )
    tenants = []
    quotas = _numbers("hello.facts.domain", domain, "tenant_quota_connections") or []
    for index, entry in enumerate(_list(event, facts, "customers")):
        path = f"{event}.customers"
        if type(entry) is not dict:
            raise _field_error(event, "customers", facts)
        tenants.append(
            it.Tenant(
                name=text(path, entry, "name"),
                share=_number_or(path, entry, "share", 0.0),
                quota_per_s=_number_or(path, entry, "quota_per_s", 0.0),
                quota=quotas[index] if index < len(quotas) else 0.0,
            )
        )
    may_suggest_wait = _flag("hello.facts.permissions", permissions, "retry_after")
    max_wait = _number_or("hello.facts.permissions", permissions, "max_retry_after", 0.0)
    path = "hello.facts.rules"
    permissions_path = "hello.facts.permissions"
    tariffs_path = "hello.facts.tariffs"
    return it.Settings(
        classes=classes,
        tenants=tenants,
        zones=[str(zone) for zone in _list(event, facts, "dcs")],
        zone=_text_or(event, facts, "zone"),
        me=_integer_or(event, facts, "me", 0),
        balancers=_integer_or(event, facts, "balancers", 1),
        list_on_request=facts.get("discovery") == "subscribe",
        ask_within=_number_or(path, rules, "ask_within", 10_000.0),
        pass_through=domain.get("mode") == "pass",
        park=_number_or("hello.facts.domain", domain, "park", 0.0),
        tells_load=_flag("hello.facts.domain", domain, "tells_load"),
        tells_delay=_flag("hello.facts.domain", domain, "tells_delay"),
        grouped=_flag("hello.facts.domain", domain, "groups"),
        max_attempts=_integer_or(permissions_path, permissions, "max_attempts", 3),
        max_retry_after=max_wait if may_suggest_wait else 0.0,
        connect_timeout=_number_or(permissions_path, permissions, "connect_timeout", 250.0),
        may_cancel=_flag(permissions_path, permissions, "cancel"),
        may_probe=_flag(permissions_path, permissions, "may_probe"),
        overlap=_flag(permissions_path, permissions, "second_copies"),
        tick=_number_or(event, facts, "tick", 1.0),
        answer_slack=_number_or(path, rules, "answer_slack", 0.0),
        drain_grace=_number_or(path, rules, "stop_sending_within", 1_000.0),
        cold_from=_number_or(path, rules, "cold_from", 1.0),
        warm_time=_number_or(path, rules, "ramp_time", 0.0),
        fall_multiple=_number_or(path, rules, "tip_multiple", 3.0),
        fall_window=_number_or(path, rules, "fall", 2_000.0),
        sized=facts.get("weight_source") in ("nominal", "rough"),
        report_fields=[str(name) for name in _list("hello.facts.report", report, "fields")],
        report_on_probe=report.get("how") == "pull",
        report_on_answer=report.get("how") == "piggyback",
        probe_price=_number_or(tariffs_path, tariffs, "probe", 0.0),
        move_price=_number_or(tariffs_path, tariffs, "moves", 0.0),
        cross_zone_price=_number_or(tariffs_path, tariffs, "cross_zone", 0.0),
        over_share_worth=_number_or(event, facts, "over_share_worth", 1.0),
        worth_by_work=facts.get("worth_by") == "work",
    )


def _decode_targets(fields: Fields) -> it.Event:
    servers = []
    for entry in _list("targets", fields, "elements"):
        if type(entry) is not dict:
            raise _field_error("targets", "elements", fields)
        servers.append(
            it.Server(
                id=text("targets", entry, "server"),
                zone=_text_or("targets", entry, "rack_zone"),
                kind=_text_or("targets", entry, "flavor"),
                cell=_integer_or("targets", entry, "group", 0),
                state=_choice("targets", entry, "phase", _STATES),
                weight=_number_or("targets", entry, "nominal", 1.0),
                started=_number_or("targets", entry, "last_start", 0.0),
            )
        )
    kind = _choice("targets", fields, "kind", _LISTS)
    return it.ServerList(kind, servers, _integer_or("targets", fields, "version", 0))


def _decode_request(fields: Fields, event: str = "new_request") -> it.Request:
    realm = fields.get("realm")
    group = fields.get("team_id")
    load = fields.get("expected")
    key = fields.get("name_key")
    return it.Request(
        text(event, fields, "id"),
        text(event, fields, "type"),
        number(event, fields, "grace"),
        None if not realm else text(event, fields, "realm"),
        _flag(event, fields, "came_back"),
        _flag(event, fields, "again_by_client"),
        None if group is None else integer(event, fields, "team_id"),
        _flag(event, fields, "midflow"),
        None if load is None else number(event, fields, "expected"),
        None if key is None else integer(event, fields, "name_key"),
    )


def _decode_inherited(fields: Fields) -> it.Event:
    if fields.get("grace") is None:
        fields = {**fields, "grace": 0.0}
    request = _decode_request(fields, "inherited")
    return it.Inherited(request, text("inherited", fields, "server"))


def _decode_streaming(fields: Fields) -> it.Event:
    event = "streaming"
    return it.Established(
        text(event, fields, "id"),
        _integer_or(event, fields, "shot", 0),
        text(event, fields, "server"),
        _number_or(event, fields, "wait_time", 0.0),
    )


def _decode_note(fields: Fields) -> it.Event:
    event = "update_of"
    ident = text(event, fields, "id")
    server = text(event, fields, "server")
    value = _number_or(event, fields, "value", 0.0)
    if _choice(event, fields, "kind", {1: True, 2: False}):
        return it.LoadUpdate(ident, server, value)
    return it.DelayUpdate(ident, server, value)


def _decode_outcome(fields: Fields) -> it.Event:
    event = "report_back"
    return it.Outcome(
        text(event, fields, "id"),
        _integer_or(event, fields, "shot", 0),
        text(event, fields, "server"),
        _choice(event, fields, "ending", _RESULTS),
        _number_or(event, fields, "wait_time", 0.0),
        _flag(event, fields, "complete"),
        _numbers(event, fields, "health_info"),
    )


def _decode_left(fields: Fields) -> it.Event:
    return it.ClientLeft(text("client_left", fields, "id"))


def _decode_timer(fields: Fields) -> it.Event:
    return it.Timer(_integer_or("reminder", fields, "token", 0))


def _decode_probe(fields: Fields) -> it.Event:
    return it.ProbeResult(
        text("health", fields, "server"),
        _choice("health", fields, "ending", _RESULTS),
        _number_or("health", fields, "wait_time", 0.0),
        _numbers("health", fields, "health_info"),
    )


def _decode_peer(fields: Fields) -> it.Event:
    sender = _integer_or("datagram", fields, "src_peer", 0)
    return it.PeerMessage(sender, _text_or("datagram", fields, "blob").encode())


_DECODERS: dict[str, Callable[[Fields], it.Event]] = {
    "targets": _decode_targets,
    "new_request": _decode_request,
    "inherited": _decode_inherited,
    "streaming": _decode_streaming,
    "update_of": _decode_note,
    "report_back": _decode_outcome,
    "client_left": _decode_left,
    "reminder": _decode_timer,
    "health": _decode_probe,
    "datagram": _decode_peer,
}
_EVENT_NAMES = frozenset(_DECODERS) | {"hello", "teardown"}


def decode_event(name: str, fields: Fields) -> it.Event:
    """Decode an event other than hello and teardown. Raises WireError."""
    return _DECODERS[name](fields)


def _round_ms(value: float) -> float:
    return round(value, 3)  # the simulator's resolution is 1 us


_ENCODERS: dict[type, Callable[[int, Any], dict[str, object]]] = {
    it.Attempt: lambda i, a: {
        "place": {"i": i, "id": a.id, "server": a.server, "limit": _round_ms(a.timeout)}
    },
    it.Cancel: lambda i, a: {"call_off": {"i": i, "id": a.id, "shot": a.attempt}},
    it.Refuse: lambda i, a: {"turn_away": {"i": i, "id": a.id, "hold_off": _round_ms(a.retry_after)}},
    it.Fail: lambda i, a: {"abort": {"i": i, "id": a.id}},
    it.Move: lambda i, a: {"move": {"i": i, "id": a.id}},
    it.SetTimer: lambda i, a: {"wake_at": {"i": i, "wait": _round_ms(a.delay + 0.0005), "token": a.token}},
    it.Probe: lambda i, a: {"health_check": {"i": i, "server": a.server}},
    it.CloseIdle: lambda i, a: {"close": {"i": i, "server": a.server}},
    it.Subscribe: lambda i, a: {"subscribe": {"i": i, "want": a.on}},
    it.ListAll: lambda i, a: {"list_all": {"i": i}},
    it.Log: lambda i, a: {"print": {"i": i, "message": a.message}},
}


def encode_action(instance: int, action: it.Action) -> dict[str, object]:
    """Encode an action of the instance with this number."""
    return _ENCODERS[type(action)](instance, action)
