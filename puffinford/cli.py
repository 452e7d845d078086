"""The command line."""

from __future__ import annotations

import argparse
import os
import signal
import sys
from collections.abc import Sequence
from functools import partial
from importlib import metadata
from pathlib import Path

import anyio

from puffinford import logs
from puffinford.config import CHANNELS, BadConfig, load
from puffinford.core.clock import Clock
from puffinford.machines import inventory
from puffinford.serve import serve

VERSION = "0.1.0"


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="puffinford", description="A balancer of long-lived connections.")
    commands = parser.add_subparsers(dest="command")
    run = commands.add_parser("serve", help="serve until SIGTERM or SIGINT (the default)")
    run.add_argument("--inventory", type=Path, metavar="FILE", help="machine list from CSV or YAML")
    run.add_argument(
        "--channels", type=Path, default=CHANNELS, metavar="FILE", help="the channel front's file"
    )
    run.add_argument("--log-level", default="INFO", choices=["DEBUG", "INFO", "WARNING", "ERROR"])
    commands.add_parser("version", help="print the version")
    check = commands.add_parser("inventory", help="read an inventory and print its entries")
    check.add_argument("file", type=Path)
    return parser


def _version() -> str:
    try:
        return metadata.version("puffinford")
    except metadata.PackageNotFoundError:
        return VERSION


def _inventory(path: Path, clock: Clock) -> int:
    machines, rejected = inventory.load(path, clock.from_unix)
    for entry in machines:
        server = entry.server
        print(
            f"{server.id} {entry.host}:{entry.port} {entry.front} {server.state.value} {server.zone}".strip()
        )
    for text in rejected:
        print(f"puffinford: {text}", file=sys.stderr)
    return 1 if rejected else 0


def main(argv: Sequence[str] | None = None) -> int:
    words = list(sys.argv[1:] if argv is None else argv)
    args = _parser().parse_args(words or ["serve"])
    if args.command == "version":
        print(_version())
        return 0
    clock = Clock()
    try:
        if args.command == "inventory":
            return _inventory(args.file, clock)
        logs.set_up(args.log_level)
        # Guards against a reload asked for before it can be obeyed: by default the signal would end us.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        again = partial(load, os.environ, clock.from_unix, args.inventory, args.channels)
        anyio.run(serve, again(), clock, partial(again, again=True))
    except (BadConfig, inventory.BadInventory, OSError) as exc:
        print(f"puffinford: {exc}", file=sys.stderr)
        return 2
    return 0
