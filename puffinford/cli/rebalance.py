"""`puffinford rebalance`: watch and steer a running balancer through its second address."""

from __future__ import annotations

import http.client
import json
from typing import Any

import click

from puffinford.cli import fail, json_option
from puffinford.text_table import format_table

WAIT = 5.0  # seconds for a call


def call(address: str, method: str, path: str) -> Any:
    """One call of the second address; ends with the reason where it brings no yes."""
    host, _, port = address.rpartition(":")
    try:
        connection = http.client.HTTPConnection(host.strip("[]"), int(port), timeout=WAIT)
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
    "--address", required=True, envvar="EDGE_MGMT", metavar="IP:PORT", help="The second address [EDGE_MGMT]."
)
@click.pass_context
def rebalance(context: click.Context, address: str) -> None:
    """Moving standing connections towards balance: what it does, and why what is not moved is not."""
    context.obj = address


@rebalance.command()
@json_option
@click.pass_obj
def show(address: str, as_json: bool) -> None:
    """Print the plan, the progress, and the reasons."""
    told = call(address, "GET", "/admin/rebalance")
    if as_json:
        click.echo(json.dumps(told, indent=1))
        return
    click.echo(
        f"{told['state']}: {told['why']}; {told['ratio']:.2f} off the mean (1: none),"
        f" {told['rate']:g} moves a second, {told['moves']} moved,"
        f" {told['clients_at_rest']} at rest, {told['elsewhere']} seen no more here"
    )
    for name, counts in (
        ("signals", told["signals"]),
        ("landed", told["landed"]),
        ("not moved", told["left_out"]),
    ):
        if counts:
            click.echo(f"{name}: " + ", ".join(f"{what} {count}" for what, count in counts.items()))
    rows = [
        (
            s["server"],
            s["connections"],
            f"{s['load']:.1f}",
            f"{s['capacity']:.2f}",
            "yes" if s["usable"] else "no",
        )
        for s in told["servers"]
    ]
    click.echo(format_table(("server", "connections", "load", "capacity", "target"), rows))


@rebalance.command()
@click.pass_obj
def start(address: str) -> None:
    """Go on after a pause."""
    call(address, "POST", "/admin/rebalance/start")


@rebalance.command()
@click.pass_obj
def pause(address: str) -> None:
    """Move nothing until `start`, or the balancer's next start."""
    call(address, "POST", "/admin/rebalance/pause")


@rebalance.command()
@click.argument("rate")
@click.pass_obj
def limit(address: str, rate: str) -> None:
    """Move at most RATE, such as 2/s or 30/min, until the balancer's next start or reload."""
    call(address, "POST", "/admin/rebalance/limit/" + rate.replace("/", "-"))
