"""A request as it travels in CHANNEL_OPEN, and its answers as CHANNEL_OPEN_FAILURE tells them."""

from __future__ import annotations

import math
import re

from puffinford.core.values import Busy, Failed, InvalidOpening, Opening
from puffinford.fronts.channels import codec
from puffinford.fronts.channels.multiplexer import Refused
from puffinford.interface import Result

FIGURES_MOST = 64
_WAIT = re.compile(r"retry-after=(\d{1,9})\b")
# Guards the line protocol against values that would end a line or a list of its own.
_UNSAFE = re.compile(r"[\x00-\x20\x7f,]")


def encode_opening(opening: Opening, wait: float) -> bytes:
    """Id, key, class, tenant, group, wait in milliseconds, then the figures that have no field here."""
    named = {"c", "t", "g", "d"}
    rest = [(name, value) for name, value in opening.parameters if name not in named]
    data = codec.string(opening.request_id) + codec.string(opening.key) + codec.string(opening.cls)
    data += codec.string(opening.tenant or "") + codec.string(opening.group or "")
    data += codec.uint32(min(max(1, int(wait)), 0xFFFFFFFF)) + codec.uint32(len(rest))
    for name, value in rest:
        data += codec.string(name) + codec.boolean(value is not None) + codec.string(value or "")
    return data


def decode_opening(extra: bytes) -> Opening:
    reader = codec.PayloadReader(extra)
    request_id, key, cls, tenant, group = (reader.text() for _ in range(5))
    wait = reader.uint32()
    count = reader.uint32()
    if count > FIGURES_MOST:
        raise InvalidOpening(f"{count} figures")
    parameters: list[tuple[str, str | None]] = [("c", cls)]
    parameters += [(name, value) for name, value in (("t", tenant), ("d", str(wait)), ("g", group)) if value]
    for _ in range(count):
        name, given, value = reader.text(), reader.boolean(), reader.text()
        if name in ("c", "t", "d", "g"):
            raise InvalidOpening(f"{name} has a field of its own")
        parameters.append((name, value if given else None))
    if reader.rest():
        raise codec.Malformed("opening too long")
    texts = [request_id, key, *(name for name, _ in parameters), *(value or "" for _, value in parameters)]
    if any(_UNSAFE.search(text) for text in texts):
        raise InvalidOpening("a value holds a space, a comma or a control character")
    return Opening.from_parameters(request_id, key, tuple(parameters))


def encode_refusal(answer: Busy | Failed) -> tuple[int, str]:
    match answer:
        case Busy(retry_after):
            return codec.RESOURCE_SHORTAGE, f"retry-after={math.ceil(retry_after)}"
        case Failed(reason, True):
            return codec.TIMED_OUT, reason
        case Failed(reason):
            return codec.FAILED, reason


def decode_wait(refused: Refused) -> float:
    """The retry-after that a refusal carries, in milliseconds; 0 where there is none."""
    found = _WAIT.search(refused.description)
    return float(found.group(1)) if found else 0.0


def decode_refusal(refused: Refused) -> Result:
    """How an attempt ended. Only reasons that say so prove that the request never ran."""
    return {
        codec.RESOURCE_SHORTAGE: Result.FULL,
        codec.CONNECT_FAILED: Result.CONNECT_FAILED,
        codec.TIMED_OUT: Result.TIMEOUT,
    }.get(refused.reason, Result.ERROR)
