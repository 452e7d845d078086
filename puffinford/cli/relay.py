"""`puffinford relay`: run a relay of the server list."""

from __future__ import annotations

from pathlib import Path

import anyio
import click

from puffinford import logs
from puffinford.cli import fail, settings_option
from puffinford.core.clock import Clock
from puffinford.operators import BadSettings, load_settings
from puffinford.relay.service import serve_relay


@click.command()
@settings_option
@click.option(
    "--log-level", default="INFO", type=click.Choice(["DEBUG", "INFO", "WARNING", "ERROR"]), show_default=True
)
def relay(settings: Path, log_level: str) -> None:
    """Relay the server list from discovery to balancers until SIGTERM or SIGINT.

    The relay is configured by `section relay` of the operators' settings file.
    """
    try:
        loaded = load_settings(settings)
    except BadSettings as exc:
        return fail(str(exc))
    if not loaded.settings.relay.upstream:
        return fail(f"{settings}: section relay: upstream names nothing")
    logs.set_up(log_level)
    try:
        anyio.run(serve_relay, loaded.settings.relay, Clock())
    except OSError as exc:
        fail(f"{settings}: section relay: listen: {exc}")
