"""Encoding of a request in CHANNEL_OPEN and of its refusal in CHANNEL_OPEN_FAILURE."""

from __future__ import annotations

import math
import re

from puffinford.core.values import Busy, Failed, InvalidOpening, Opening
from puffinford.fronts.channels import codec
from puffinford.fronts.channels.multiplexer import OpenRefused
from puffinford.interface import Result

MAX_PARAMETERS = 64
_RETRY_AFTER = re.compile(r"retry-after=(\d{1,9})\b")
# Characters that would end a line or split a list of the line protocol.
_UNSAFE_CHARACTERS = re.compile(r"[\x00-\x20\x7f,]")


def encode_opening(opening: Opening, timeout_ms: float) -> bytes:
    """Encode id, key, class, tenant, group, timeout in ms and the parameters without a field of their own."""
    named = {"c", "t", "g", "d"}
    rest = [(name, value) for name, value in opening.parameters if name not in named]
    data = codec.string(opening.request_id) + codec.string(opening.key) + codec.string(opening.cls)
    data += codec.string(opening.tenant or "") + codec.string(opening.group or "")
    data += codec.uint32(min(max(1, int(timeout_ms)), 0xFFFFFFFF)) + codec.uint32(len(rest))
    for name, value in rest:
        data += codec.string(name) + codec.boolean(value is not None) + codec.string(value or "")
    return data


def decode_opening(extra: bytes) -> Opening:
    """Decode the data of a CHANNEL_OPEN; raises MalformedMessage, or InvalidOpening for its values."""
    reader = codec.PayloadReader(extra)
    request_id, key, cls, tenant, group = (reader.text() for _ in range(5))
    timeout_ms = reader.uint32()
    count = reader.uint32()
    if count > MAX_PARAMETERS:
        raise InvalidOpening(f"{count} figures")
    parameters: list[tuple[str, str | None]] = [("c", cls)]
    parameters += [
        (name, value) for name, value in (("t", tenant), ("d", str(timeout_ms)), ("g", group)) if value
    ]
    for _ in range(count):
        name, has_value, value = reader.text(), reader.boolean(), reader.text()
        if name in ("c", "t", "d", "g"):
            raise InvalidOpening(f"{name} has a field of its own")
        if "=" in name:
            raise InvalidOpening("a name holds an equals sign")
        parameters.append((name, value if has_value else None))
    if reader.rest():
        raise codec.MalformedMessage("opening too long")
    texts = [request_id, key, *(name for name, _ in parameters), *(value or "" for _, value in parameters)]
    if any(_UNSAFE_CHARACTERS.search(text) for text in texts):
        raise InvalidOpening("a value holds a space, a comma or a control character")
    return Opening.from_parameters(request_id, key, tuple(parameters))


def encode_refusal(answer: Busy | Failed) -> tuple[int, str]:
    """Return the reason code and description of a CHANNEL_OPEN_FAILURE."""
    match answer:
        case Busy(retry_after):
            return codec.RESOURCE_SHORTAGE, f"retry-after={math.ceil(retry_after)}"
        case Failed(reason, True):
            return codec.TIMED_OUT, reason
        case Failed(reason):
            return codec.FAILED, reason


def decode_retry_after(refusal: OpenRefused) -> float:
    """Return the retry-after of a refusal in ms, or 0 if it has none."""
    found = _RETRY_AFTER.search(refusal.description)
    return float(found.group(1)) if found else 0.0


def decode_refusal(refusal: OpenRefused) -> Result:
    """Return the result of a refused attempt; any other reason is ERROR, as the request may have run."""
    return {
        codec.RESOURCE_SHORTAGE: Result.FULL,
        codec.CONNECT_FAILED: Result.CONNECT_FAILED,
        codec.TIMED_OUT: Result.TIMEOUT,
    }.get(refusal.reason, Result.ERROR)
