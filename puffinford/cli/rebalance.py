"""`puffinford rebalance`: inspect and control rebalancing of a running balancer by its management address."""

from __future__ import annotations

import http.client
import json
from typing import Any

import click

from puffinford.cli import fail, json_option
from puffinford.text_table import format_table

CALL_TIMEOUT_S = 5.0


def call(address: str, method: str, path: str) -> Any:
    """Call the management address; return its JSON, or exit with an error unless the status is 200."""
    host, _, port = address.rpartition(":")
    try:
        connection = http.client.HTTPConnection(host.strip("[]"), int(port), timeout=CALL_TIMEOUT_S)
        connection.request(method, path)
        reply = connection.getresponse()
        text = reply.read().decode("utf-8", "replace").strip()
    except (OSError, ValueError, http.client.HTTPException) as exc:
        return fail(f"{address}: {exc}", 1)
    if reply.status != 200:
        return fail(f"{address}: {reply.status}: {text}", 1)
    return json.loads(text)


@click.group()
@click.option(
    "--address",
    required=True,
    envvar="EDGE_MGMT",
    metavar="IP:PORT",
    help="The management address [EDGE_MGMT].",
)
@click.pass_context
def rebalance(context: click.Context, address: str) -> None:
    """Inspect and control how established connections are moved between servers."""
    context.obj = address


@rebalance.command()
@json_option
@click.pass_obj
def show(address: str, as_json: bool) -> None:
    """Print the state of rebalancing, its progress, and why connections are not moved."""
    status = call(address, "GET", "/admin/rebalance")
    if as_json:
        click.echo(json.dumps(status, indent=1))
        return
    click.echo(
        f"{status['state']}: {status['why']}; {status['ratio']:.2f} load imbalance (1: none),"
        f" {status['rate']:g} moves per second, {status['moves']} moved,"
        f" {status['clients_at_rest']} at rest, {status['elsewhere']} not seen again here"
    )
    for name, counts in (
        ("signals", status["signals"]),
        ("landed", status["landed"]),
        ("not moved", status["left_out"]),
    ):
        if counts:
            click.echo(f"{name}: " + ", ".join(f"{key} {count}" for key, count in counts.items()))
    rows = [
        (
            server["server"],
            server["connections"],
            f"{server['load']:.1f}",
            f"{server['capacity']:.2f}",
            "yes" if server["usable"] else "no",
        )
        for server in status["servers"]
    ]
    click.echo(format_table(("server", "connections", "load", "capacity", "target"), rows))


@rebalance.command()
@click.pass_obj
def start(address: str) -> None:
    """Resume moving after a pause."""
    call(address, "POST", "/admin/rebalance/start")


@rebalance.command()
@click.pass_obj
def pause(address: str) -> None:
    """Move no connections until `start`, or until the balancer restarts."""
    call(address, "POST", "/admin/rebalance/pause")


@rebalance.command()
@click.argument("rate")
@click.pass_obj
def limit(address: str, rate: str) -> None:
    """Limit moves to RATE, such as 2/s or 30/min, until the balancer restarts or reloads."""
    call(address, "POST", "/admin/rebalance/limit/" + rate.replace("/", "-"))
