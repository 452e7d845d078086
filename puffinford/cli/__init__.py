"""The command line, on click. Serving alone goes past it: see `puffinford/__main__.py`."""

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

FILE = click.Path(path_type=Path, dir_okay=False)
settings_option = click.option(
    "--settings",
    type=FILE,
    default=DEFAULT_FILE,
    show_default=True,
    metavar="FILE",
    help="The operators' file.",
)
json_option = click.option("--json", "as_json", is_flag=True, help="JSON in place of a table.")


def fail(text: str, code: int = 2) -> None:
    """End with each line of `text` on standard error."""
    for line in text.splitlines():
        click.echo(f"puffinford: {line}", err=True)
    sys.exit(code)


@click.group(invoke_without_command=True, context_settings={"help_option_names": ["-h", "--help"]})
@click.pass_context
def puffinford(context: click.Context) -> None:
    """A balancer of long-lived connections. Without a command it serves."""
    if context.invoked_subcommand is None:
        sys.exit(serve_program())


@puffinford.command()
@click.option("--inventory", "inventory_file", type=FILE, metavar="FILE", help="Machines from CSV or YAML.")
@settings_option
@click.option(
    "--log-level", default="INFO", type=click.Choice(["DEBUG", "INFO", "WARNING", "ERROR"]), show_default=True
)
def serve(inventory_file: Path | None, settings: Path, log_level: str) -> None:
    """Serve until SIGTERM or SIGINT."""
    sys.exit(serve_program(inventory_file, settings, log_level))


@puffinford.command()
def version() -> None:
    """Print the version."""
    try:
        click.echo(metadata.version("puffinford"))
    except metadata.PackageNotFoundError:
        click.echo(VERSION)


@puffinford.command("inventory")
@click.argument("file", type=FILE)
def print_inventory(file: Path) -> None:
    """Read an inventory and print its entries, and what is rejected."""
    try:
        machines, rejected = inventory.load(file, StartTimes(Clock()).local_time)
    except inventory.BadInventory as exc:
        return fail(str(exc))
    for entry in machines:
        server = entry.server
        line = f"{server.id} {entry.host}:{entry.port} {entry.front} {server.state.value} {server.zone}"
        click.echo(line.strip())
    if rejected:
        fail("\n".join(rejected), 1)


@puffinford.command()
@settings_option
@click.option(
    "--config", type=FILE, envvar="EDGE_CONFIG", metavar="FILE", help="The platform's file [EDGE_CONFIG]."
)
@click.option("--inventory", "inventory_file", type=FILE, metavar="FILE", help="Machines from CSV or YAML.")
@json_option
def check(settings: Path, config: Path | None, inventory_file: Path | None, as_json: bool) -> None:
    """Check all files; say what of the operators' would be in force, and from where.

    The platform's file and an inventory are checked where they are named.
    """
    wrong: list[str] = []
    loaded = LoadedSettings()
    try:
        loaded = load_settings(settings)
    except BadSettings as exc:
        wrong += exc.errors
    starts = StartTimes(Clock())
    if config is not None:
        try:
            load({"EDGE_CONFIG": str(config)}, starts, inventory_file, DEFAULT_FILE)
        except BadConfig as exc:
            wrong += [text for text in str(exc).splitlines() if text not in wrong]
    if inventory_file is not None:
        try:
            wrong += inventory.load(inventory_file, starts.local_time)[1]
        except inventory.BadInventory as exc:
            wrong.append(str(exc))
    if wrong:
        return fail("\n".join(wrong))
    rows = loaded.table()
    if as_json:
        keys = ("section", "keyword", "value", "from", "meaning")
        click.echo(json.dumps([dict(zip(keys, row, strict=True)) for row in rows], indent=1))
        return
    click.echo(format_table(("section", "keyword", "value", "from", "meaning"), rows))


def main(argv: Sequence[str] | None = None) -> int:
    """Run a command; its exit code."""
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
