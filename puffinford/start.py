"""Starts the serving process. Free of the command line's library, which serving has no use for."""

from __future__ import annotations

import os
import signal
import sys
from functools import partial
from pathlib import Path

import anyio

from puffinford import logs
from puffinford.config import BadConfig, load
from puffinford.core.clock import Clock
from puffinford.core.start_times import StartTimes
from puffinford.operators import DEFAULT_FILE
from puffinford.serve import serve
from puffinford.server_list.inventory import BadInventory


def serve_program(
    inventory: Path | None = None, settings: Path = DEFAULT_FILE, log_level: str = "INFO"
) -> int:
    """Serve until SIGTERM or SIGINT; the exit code, 2 where the configuration cannot be used."""
    clock = Clock()
    starts = StartTimes(clock)
    try:
        logs.set_up(log_level)
        # Guards against a reload asked for before it can be obeyed: by default the signal would end us.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        again = partial(load, os.environ, starts, inventory, settings)
        anyio.run(serve, again(), clock, partial(again, again=True), starts)
    except (BadConfig, BadInventory, OSError) as exc:
        for line in str(exc).splitlines() or [""]:
            print(f"puffinford: {line}", file=sys.stderr)
        return 2
    return 0
