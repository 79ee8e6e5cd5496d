"""Command line of the stand-ins, each of which runs as its own process."""

from __future__ import annotations

import click

from hemlockhall_standins.engine import Engine, EngineFaults
from hemlockhall_standins.link import TcpProxy
from hemlockhall_standins.service import Service
from hemlockhall_standins.storage import hosts_app, objects_app, weights_app
from hemlockhall_standins.table import Table
from hemlockhall_standins.web import run

LISTEN = click.option("--listen", required=True, help="IP:port to listen on.")


@click.group()
def main() -> None:
    """Run a stand-in for one of the systems around hemlockhall."""


@main.command()
@LISTEN
def table(listen: str) -> None:
    """Run the table service."""
    run(Table().app(), listen)


@main.command()
@LISTEN
def objects(listen: str) -> None:
    """Run the object store."""
    run(objects_app(), listen)


@main.command()
@LISTEN
def weights(listen: str) -> None:
    """Run the weight store."""
    run(weights_app(), listen)


@main.command()
@LISTEN
def hosts(listen: str) -> None:
    """Run the host list."""
    run(hosts_app(), listen)


@main.command()
@LISTEN
@click.option("--name", required=True)
def service(listen: str, name: str) -> None:
    """Run a plain service that accepts bookings."""
    run(Service(name).app(), listen)


@main.command()
@LISTEN
@click.option("--first", type=int, required=True)
@click.option("--last", type=int, required=True)
@click.option("--step-s", type=float, default=0.002)
@click.option("--token-layer-s", type=float, default=0.0)
def engine(
    listen: str, first: int, last: int, step_s: float, token_layer_s: float
) -> None:
    """Run a model engine that holds layers FIRST up to LAST, exclusive."""
    faults = EngineFaults(step_s=step_s, token_layer_s=token_layer_s)
    run(Engine(first, last, faults).app(), listen)


@main.command()
@LISTEN
@click.option("--target", required=True, help="IP:port to forward connections to.")
@click.option("--admin", required=True, help="IP:port for setting faults.")
def link(listen: str, target: str, admin: str) -> None:
    """Run a TCP proxy that can black-hole or close its connections."""
    TcpProxy(listen, target).run(admin)


if __name__ == "__main__":
    main()
