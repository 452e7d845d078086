"""The command line, built on click. Serving without a command bypasses it: see `puffinford/__main__.py`."""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence
from importlib import metadata
from pathlib import Path

import click

from puffinford.config import BadConfig, load
from puffinford.core.clock import Clock
from puffinford.core.start_times import StartTimes
from puffinford.operators import DEFAULT_FILE, BadSettings, LoadedSettings, load_settings
from puffinford.server_list import inventory
from puffinford.start import serve_program
from puffinford.text_table import format_table

VERSION = "0.2.0"

FILE_TYPE = click.Path(path_type=Path, dir_okay=False)
settings_option = click.option(
    "--settings",
    type=FILE_TYPE,
    default=DEFAULT_FILE,
    show_default=True,
    metavar="FILE",
    help="The operators' settings file.",
)
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON instead of text.")


def fail(text: str, code: int = 2) -> None:
    """Print each line of `text` on standard error and exit with `code`."""
    for line in text.splitlines():
        click.echo(f"puffinford: {line}", err=True)
    sys.exit(code)


@click.group(invoke_without_command=True, context_settings={"help_option_names": ["-h", "--help"]})
@click.pass_context
def puffinford(context: click.Context) -> None:
    """A load balancer for long-lived connections. Without a command it serves."""
    if context.invoked_subcommand is None:
        sys.exit(serve_program())


@puffinford.command()
@click.option(
    "--inventory",
    "inventory_file",
    type=FILE_TYPE,
    metavar="FILE",
    help="Read the server list from a CSV or YAML file.",
)
@settings_option
@click.option(
    "--log-level", default="INFO", type=click.Choice(["DEBUG", "INFO", "WARNING", "ERROR"]), show_default=True
)
def serve(inventory_file: Path | None, settings: Path, log_level: str) -> None:
    """Serve until SIGTERM or SIGINT."""
    sys.exit(serve_program(inventory_file, settings, log_level))


@puffinford.command()
def version() -> None:
    """Print the version of puffinford."""
    try:
        click.echo(metadata.version("puffinford"))
    except metadata.PackageNotFoundError:
        click.echo(VERSION)


@puffinford.command("inventory")
@click.argument("file", type=FILE_TYPE)
def print_inventory(file: Path) -> None:
    """Read an inventory file and print its entries and the rejected lines."""
    try:
        loaded = inventory.load(file, StartTimes(Clock()).local_time)
    except inventory.BadInventory as exc:
        return fail(str(exc))
    for entry in loaded.entries:
        server = entry.server
        line = f"{server.id} {entry.host}:{entry.port} {entry.front} {server.state.value} {server.zone}"
        click.echo(line.strip())
    if loaded.rejected:
        fail("\n".join(loaded.rejected), 1)


@puffinford.command()
@settings_option
@click.option(
    "--config",
    type=FILE_TYPE,
    envvar="EDGE_CONFIG",
    metavar="FILE",
    help="The platform's file [EDGE_CONFIG].",
)
@click.option(
    "--inventory",
    "inventory_file",
    type=FILE_TYPE,
    metavar="FILE",
    help="Read the server list from a CSV or YAML file.",
)
@json_option
def check(settings: Path, config: Path | None, inventory_file: Path | None, as_json: bool) -> None:
    """Check the configuration files and print the operators' settings with the source of each.

    The platform's file and the inventory are checked if they are given.
    """
    errors: list[str] = []
    loaded = LoadedSettings()
    try:
        loaded = load_settings(settings)
    except BadSettings as exc:
        errors += exc.errors
    start_times = StartTimes(Clock())
    if config is not None:
        try:
            load({"EDGE_CONFIG": str(config)}, start_times, inventory_file, DEFAULT_FILE)
        except BadConfig as exc:
            errors += [text for text in str(exc).splitlines() if text not in errors]
    if inventory_file is not None:
        try:
            errors += inventory.load(inventory_file, start_times.local_time).rejected
        except inventory.BadInventory as exc:
            errors.append(str(exc))
    if errors:
        return fail("\n".join(errors))
    rows = loaded.table()
    if as_json:
        keys = ("section", "keyword", "value", "from", "meaning")
        click.echo(json.dumps([dict(zip(keys, row, strict=True)) for row in rows], indent=1))
        return
    click.echo(format_table(("section", "keyword", "value", "from", "meaning"), rows))


def main(argv: Sequence[str] | None = None) -> int:
    """Run a command and return its exit code."""
    from puffinford.cli.rebalance import rebalance
    from puffinford.cli.relay import relay
    from puffinford.cli.stage import stage
    from puffinford.cli.state import state

    puffinford.add_command(state)
    puffinford.add_command(rebalance)
    puffinford.add_command(stage)
    puffinford.add_command(relay)
    try:
        puffinford.main(argv, prog_name="puffinford")
    except SystemExit as exc:
        return exc.code if isinstance(exc.code, int) else 1
    return 0
