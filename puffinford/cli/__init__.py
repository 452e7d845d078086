"""The command line, on click. Serving alone goes past it: see `puffinford/__main__.py`."""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence
from importlib import metadata
from pathlib import Path

import click

from puffinford.cli.tables import table
from puffinford.core.clock import Clock
from puffinford.machines import inventory
from puffinford.operators import DEFAULT_FILE, BadSettings, load_settings
from puffinford.start import serve_program

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
        machines, rejected = inventory.load(file, Clock().from_unix)
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
@json_option
def check(settings: Path, as_json: bool) -> None:
    """Check the operators' file and all it includes; say what would be in force, and from where."""
    try:
        loaded = load_settings(settings)
    except BadSettings as exc:
        return fail(str(exc))
    rows = loaded.table()
    if as_json:
        keys = ("section", "keyword", "value", "from", "meaning")
        click.echo(json.dumps([dict(zip(keys, row, strict=True)) for row in rows], indent=1))
        return
    click.echo(table(("section", "keyword", "value", "from", "meaning"), rows))


def main(argv: Sequence[str] | None = None) -> int:
    """Run a command; its exit code."""
    from puffinford.cli.state import state

    puffinford.add_command(state)
    try:
        puffinford.main(argv, prog_name="puffinford")
    except SystemExit as exc:
        return exc.code if isinstance(exc.code, int) else 1
    return 0
