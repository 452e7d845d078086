"""`make demo`: runs one balancer with simulated servers and clients, and prints the requests by outcome."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

import anyio

from puffinford.stage.play import Play
from puffinford.stage.report import class_table, rule_violations
from puffinford.stage.script import InvalidScript, read_script

DEMO_SCRIPT = Path(__file__).with_name("demo.yaml")


def main(args: list[str]) -> int:
    """Play the script at the given path, by default the demo's.

    Return the exit code: 1 if a rule was broken, 2 if the script could not be read.
    """
    try:
        script = read_script(Path(args[0]) if args else DEMO_SCRIPT)
    except (InvalidScript, OSError) as exc:
        print(f"demo: {exc}", file=sys.stderr)
        return 2
    for event in script.events:
        print(f"at {event.at / 1_000.0:4.1f} s  {' '.join(event.names) or event.whom}: {event.do}")
    print(f"{script.seconds:g} s, {script.rate:g} requests a second ...", flush=True)
    with tempfile.TemporaryDirectory() as directory:
        trace = anyio.run(Play(script, Path(directory)).run)
    print()
    print(class_table(trace, script.kinds))
    violations = rule_violations(trace, trace.elapsed - 3_000.0)
    print()
    print(
        "\n".join(["rules broken:", *violations])
        if violations
        else "rules kept: one answer each, never two attempts at once"
    )
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
