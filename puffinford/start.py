"""Entry point of the serving process. Doesn't import click, to save memory."""

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
    """Serve until SIGTERM or SIGINT. Return the exit code: 2 if the configuration cannot be used."""
    clock = Clock()
    start_times = StartTimes(clock)
    try:
        logs.set_up(log_level)
        # SIGHUP ends a process by default: ignore it until the service handles reloads.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        load_config = partial(load, os.environ, start_times, inventory, settings)
        anyio.run(serve, load_config(), clock, partial(load_config, reloading=True), start_times)
    except (BadConfig, BadInventory, OSError) as exc:
        for line in str(exc).splitlines() or [""]:
            print(f"puffinford: {line}", file=sys.stderr)
        return 2
    return 0
