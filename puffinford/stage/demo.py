"""`make demo`: ten seconds of a small fleet round one balancer, and what was served."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

import anyio

from puffinford.stage.play import Play
from puffinford.stage.report import class_table, rule_violations
from puffinford.stage.script import InvalidScript, read_script

SCRIPT = Path(__file__).with_name("demo.yaml")


def main(words: list[str]) -> int:
    """Play the script named, or the demo's; the exit code is 1 where a rule was broken."""
    try:
        script = read_script(Path(words[0]) if words else SCRIPT)
    except (InvalidScript, OSError) as exc:
        print(f"demo: {exc}", file=sys.stderr)
        return 2
    for event in script.events:
        print(f"at {event.at / 1_000.0:4.1f} s  {' '.join(event.names) or event.whom}: {event.do}")
    print(f"{script.seconds:g} s, {script.rate:g} openings a second ...", flush=True)
    with tempfile.TemporaryDirectory() as directory:
        trace = anyio.run(Play(script, Path(directory)).run)
    print()
    print(class_table(trace, script.kinds))
    broken = rule_violations(trace, trace.elapsed - 3_000.0)
    print()
    print(
        "\n".join(["rules broken:", *broken])
        if broken
        else "rules kept: one answer each, never two claims out"
    )
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
