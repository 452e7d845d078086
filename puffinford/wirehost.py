"""The adapter to the simulator: runs any number of balancer instances on JSON lines over stdin and stdout.

Each input line is a batch of events; each output line holds the resulting actions. Malformed input ends the
process with one line on standard error and exit code 2.
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
    """The balancer instances of one process. They share no state."""

    def __init__(self) -> None:
        self._balancers: dict[int, Balancer] = {}

    def reply(self, line: bytes) -> bytes:
        """Handle a batch of events and return the actions. Raises WireError."""
        now, pending = codec.parse_batch(line)
        actions: list[dict[str, object]] = []
        events: dict[int, list[Event]] = {}
        for name, fields in pending:
            instance = codec.integer(name, fields, "i")
            if name == "hello":
                seed, settings = codec.decode_hello(fields)
                self._balancers[instance] = Balancer(settings, seed)
                events.pop(instance, None)
            elif name == "teardown":
                self._balancers.pop(instance, None)
                events.pop(instance, None)
            else:
                if instance not in self._balancers:
                    raise codec.WireError(f"{name}: field i: no instance {instance}")
                event = codec.decode_event(name, fields)
                instance_events = events.get(instance)
                if instance_events is None:
                    events[instance] = [event]
                else:
                    instance_events.append(event)
        for instance, batch in events.items():
            try:
                for action in self._balancers[instance].handle(now, batch):
                    actions.append(codec.encode_action(instance, action))
            except Exception as exc:  # reported to the simulator, which ends the run with the message
                message = f"{type(exc).__name__}: {exc}"
                actions.append({"broken": {"i": instance, "message": message}})
        return orjson.dumps({"do": actions})


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Answer batches until the input ends. Return the exit code."""
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
    """Serve standard input and output. Return the exit code."""
    return serve(sys.stdin.buffer, sys.stdout.buffer)


if __name__ == "__main__":
    sys.exit(main())
