"""Command line that starts an entry host, a side process or a router."""

from __future__ import annotations

import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

# A SIGHUP that comes before a role handles it must not end the process: the settings
# are read later anyway.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import anyio  # noqa: E402
import click  # noqa: E402
from loguru import logger  # noqa: E402

if TYPE_CHECKING:
    from hemlockhalld.process.base import Process

SETTINGS_OPTION = click.option(
    "--settings",
    "path",
    type=click.Path(path_type=Path),
    required=True,
    help="Settings file (TOML).",
)
CHECK_OPTION = click.option(
    "--check-settings", "check", is_flag=True, help="Check the settings file and exit."
)


@click.group()
def main() -> None:
    """Run a hemlockhall process."""


@main.command()
@SETTINGS_OPTION
@CHECK_OPTION
def entry(path: Path, check: bool) -> None:
    """Run an entry host, which serves callers."""
    _run_process(path, "entry", check)


@main.command()
@SETTINGS_OPTION
@CHECK_OPTION
def side(path: Path, check: bool) -> None:
    """Run a side process next to an endpoint."""
    _run_process(path, "side", check)


@main.command()
@SETTINGS_OPTION
@CHECK_OPTION
def router(path: Path, check: bool) -> None:
    """Run a router in front of endpoints that are HTTP servers."""
    from hemlockhall_router.process.log import configure
    from hemlockhall_router.process.metric import Metrics
    from hemlockhall_router.process.router import Router
    from hemlockhall_router.process.setting import SettingsError, load_settings

    try:
        settings = load_settings(path)
    except SettingsError as exc:
        raise click.ClickException(str(exc)) from exc
    if check:
        click.echo(f"{path}: settings are valid")
        return
    metrics = Metrics()
    configure(settings.host.name, settings.log.level, metrics)
    anyio.run(Router(path, settings, metrics).run)


def _run_process(path: Path, role: str, check: bool) -> None:
    # Each role imports only its own modules, for a fast start and a small process.
    from hemlockhall_core.connection.error import LinkError
    from hemlockhall_core.process.error import SettingsError
    from hemlockhall_core.process.log import configure
    from hemlockhall_core.process.setting import load_settings
    from hemlockhalld.process.chooser import CHOOSERS

    try:
        settings = load_settings(path, role)
        if settings.entry and settings.entry.chooser not in CHOOSERS:
            names = ", ".join(sorted(CHOOSERS))
            msg = f"{path}: entry.chooser: unknown; choose one of {names}"
            raise SettingsError(msg)
    except SettingsError as exc:
        raise click.ClickException(str(exc)) from exc
    if check:
        click.echo(f"{path}: settings are valid")
        return
    log = settings.log
    configure(settings.process.name, level=log.level, json=log.json_lines)
    process: Process
    if role == "entry":
        from hemlockhalld.process.entry import Entry

        process = Entry(settings)
    else:
        from hemlockhalld.process.side import Side

        process = Side(settings)
    try:
        anyio.run(process.run)
    except* (LinkError, OSError) as group:
        for error in group.exceptions:
            logger.error("{}", error)
        sys.exit(1)


if __name__ == "__main__":
    main()
