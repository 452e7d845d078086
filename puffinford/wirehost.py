"""Plays many balancers on the JSON-lines wire. It translates and decides nothing.

Each line read is a batch of events for any number of instances; each line written holds the actions.
Malformed input ends the process with a plain line on standard error and exit code 2.
"""

from __future__ import annotations

import sys
from typing import BinaryIO

import orjson

from puffinford import codec
from puffinford.balance import Balancer
from puffinford.interface import Event

Batch = list[tuple[int, list[Event]]]


class WireHost:
    """The instances of one process; they share nothing."""

    def __init__(self) -> None:
        self._balancers: dict[int, Balancer] = {}

    def reply(self, line: bytes) -> bytes:
        """Answer one batch."""
        now, pending = codec.parse_batch(line)
        actions: list[dict[str, object]] = []
        events: dict[int, list[Event]] = {}
        for name, fields in pending:
            inst = codec.integer(name, fields, "i")
            if name == "hello":
                seed, settings = codec.decode_hello(fields)
                self._balancers[inst] = Balancer(settings, seed)
                events.pop(inst, None)
            elif name == "teardown":
                self._balancers.pop(inst, None)
                events.pop(inst, None)
            else:
                if inst not in self._balancers:
                    raise codec.WireError(f"{name}: field i: no instance {inst}")
                event = codec.decode_event(name, fields)
                held = events.get(inst)
                if held is None:
                    events[inst] = [event]
                else:
                    held.append(event)
        for inst, batch in events.items():
            try:
                for action in self._balancers[inst].handle(now, batch):
                    actions.append(codec.encode_action(inst, action))
            except Exception as exc:  # the day must end with the text, never silently
                message = f"{type(exc).__name__}: {exc}"
                actions.append({"broken": {"i": inst, "message": message}})
        return orjson.dumps({"do": actions})


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Answer batches until the input ends."""
    host = WireHost()
    for line in source:
        if not line.strip():
            continue
        try:
            answer = host.reply(line)
        except (codec.WireError, ValueError) as exc:
            print(f"wirehost: {exc}", file=sys.stderr)
            return 2
        sink.write(answer)
        sink.write(b"\n")
        sink.flush()
    return 0


def main() -> int:
    return serve(sys.stdin.buffer, sys.stdout.buffer)


if __name__ == "__main__":
    sys.exit(main())
