"""The command line."""

from __future__ import annotations

import argparse
import os
import sys
from collections.abc import Sequence
from importlib import metadata

import anyio

from puffinford import logs
from puffinford.config import BadConfig, load
from puffinford.core.clock import Clock
from puffinford.serve import serve

VERSION = "0.1.0"


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="puffinford", description="A balancer of long-lived connections.")
    commands = parser.add_subparsers(dest="command")
    run = commands.add_parser("serve", help="serve until SIGTERM or SIGINT (the default)")
    run.add_argument("--log-level", default="INFO", choices=["DEBUG", "INFO", "WARNING", "ERROR"])
    commands.add_parser("version", help="print the version")
    return parser


def _version() -> str:
    try:
        return metadata.version("puffinford")
    except metadata.PackageNotFoundError:
        return VERSION


def main(argv: Sequence[str] | None = None) -> int:
    words = list(sys.argv[1:] if argv is None else argv)
    args = _parser().parse_args(words or ["serve"])
    if args.command == "version":
        print(_version())
        return 0
    clock = Clock()
    try:
        config = load(os.environ, clock.from_unix)
        logs.set_up(args.log_level)
        anyio.run(serve, config, clock)
    except (BadConfig, OSError) as exc:
        print(f"puffinford: {exc}", file=sys.stderr)
        return 2
    return 0
