"""Command line for operators: edit, submit and watch the document."""

from __future__ import annotations

import difflib
import getpass
import re
import time
from pathlib import Path
from typing import TYPE_CHECKING, TypeVar

import anyio
import click
import httpx
import msgspec

from hemlockhall_core.connection.decoding import DecodeError, decoding
from hemlockhall_core.connection.message import DocumentText, SectionRef, SectionText
from hemlockhall_core.process.error import PlatformError
from hemlockhall_core.process.status import Status
from hemlockhall_core.process.table import Objects, Table
from hemlockhall_core.version.document import validate
from hemlockhall_core.version.error import DocumentError, SubmitError
from hemlockhall_core.version.repository import Repository
from hemlockhall_core.version.text import digest, join, split

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from hemlockhall_core.version.repository import Accepted, Revision

T = TypeVar("T")
BASE_VERSION_LINE = "# hemlockhall version {}"
BASE_VERSION_PATTERN = re.compile(r"^# hemlockhall version (\d+)$", re.MULTILINE)
MAX_VERSION_DIGITS = 15
WATCH_INTERVAL_S = 0.5
NOTIFY_TIMEOUT_S = 2.0

TABLE_OPTION = click.option("--table", envvar="HEMLOCKHALL_TABLE", required=True)
OBJECTS_OPTION = click.option("--objects", envvar="HEMLOCKHALL_OBJECTS", required=True)
ENTRIES_OPTION = click.option(
    "--entry",
    "entries",
    envvar="HEMLOCKHALL_ENTRIES",
    multiple=True,
    required=True,
    help="Administrative URL of an entry host; repeat for each host.",
)
FILE_ARGUMENT = click.argument("path", type=click.Path(exists=True, path_type=Path))


@click.group()
def main() -> None:
    """Edit, submit and watch the hemlockhall document."""


@main.command()
@FILE_ARGUMENT
def check(path: Path) -> None:
    """Validate a document without submitting it."""
    try:
        text = path.read_text()
        split(text)
        validate(text)
    except DocumentError as exc:
        raise click.ClickException(f"{path}:\n{exc}") from exc
    click.echo(f"{path}: valid")


@main.command()
@FILE_ARGUMENT
@TABLE_OPTION
@OBJECTS_OPTION
@click.option("--base", type=int, help="Version that the document was edited from.")
@click.option("--who", default=getpass.getuser, help="Name of the submitter.")
@click.option("--revision", default="", help="Revision in your own version control.")
@click.option(
    "--entry",
    "entries",
    envvar="HEMLOCKHALL_ENTRIES",
    multiple=True,
    help="Administrative URL of an entry host to notify; may be repeated.",
)
def submit(
    path: Path,
    table: str,
    objects: str,
    base: int | None,
    who: str,
    revision: str,
    entries: tuple[str, ...],
) -> None:
    """Submit the document in PATH."""
    text = path.read_text()
    if base is None:
        base = _base_version(text)

    async def run(repository: Repository) -> Accepted:
        return await repository.submit(text, base, who, revision)

    accepted = _with_repository(table, objects, run)
    _notify_entry_hosts(entries, accepted, split(text))
    names = ", ".join(accepted.changed) or "nothing"
    click.echo(f"version {accepted.version} accepted; changed: {names}")


@main.command()
@TABLE_OPTION
@OBJECTS_OPTION
@click.option("--version", type=int, help="Version to print; default: the newest.")
def show(table: str, objects: str, version: int | None) -> None:
    """Print an accepted document, to edit and submit."""

    async def run(repository: Repository) -> str:
        return await _document_text(repository, version)

    click.echo(_with_repository(table, objects, run), nl=False)


@main.command()
@FILE_ARGUMENT
@TABLE_OPTION
@OBJECTS_OPTION
def diff(path: Path, table: str, objects: str) -> None:
    """Show what submitting PATH would change in the accepted document."""

    async def run(repository: Repository) -> str:
        return await _document_text(repository, None)

    accepted = _strip_base_version(_with_repository(table, objects, run))
    local_text = join(split(path.read_text()))
    lines = difflib.unified_diff(
        accepted.splitlines(),
        local_text.splitlines(),
        "accepted",
        str(path),
        lineterm="",
    )
    for line in lines:
        click.echo(line)


@main.command()
@TABLE_OPTION
@OBJECTS_OPTION
@click.option("--limit", default=20, show_default=True)
def history(table: str, objects: str, limit: int) -> None:
    """List the newest versions with time, submitter and own revision."""

    async def run(repository: Repository) -> list[Revision]:
        return await repository.history(limit)

    for revision in _with_repository(table, objects, run):
        line = f"{revision.version}  {revision.when}  {revision.who}"
        click.echo(f"{line}  {revision.revision}".rstrip())


@main.command()
@ENTRIES_OPTION
@click.option("--count", default=0, help="Number of updates; 0: no limit.")
def watch(entries: tuple[str, ...], count: int) -> None:
    """Print the version in force at each process at regular intervals."""
    updates = 0
    while True:
        click.echo(_version_line(entries))
        updates += 1
        if updates == count:
            return
        time.sleep(WATCH_INTERVAL_S)


@main.command()
@ENTRIES_OPTION
def status(entries: tuple[str, ...]) -> None:
    """Show the peers, requests and counters of each entry host."""
    for url in entries:
        process_status = _read_status(url)
        if process_status is None:
            click.echo(f"{url}: no answer")
            continue
        click.echo(
            f"{process_status.name} ({process_status.data_centre}): "
            f"version {process_status.version}, {process_status.state}, "
            f"{process_status.in_flight} in flight"
        )
        for peer in process_status.peers:
            alive = "alive" if peer.alive else "dead"
            click.echo(
                f"  {peer.name}: version {peer.version}, {peer.state}, "
                f"load {peer.load}, {alive}"
            )
        for name, value in sorted(process_status.counters.items()):
            click.echo(f"  {name} {value:g}")


@main.command()
@click.argument("name")
@ENTRIES_OPTION
def drain(name: str, entries: tuple[str, ...]) -> None:
    """Let an endpoint or an entry host finish its requests and stop."""
    reached = 0
    for url in entries:
        try:
            response = httpx.post(f"{url}/drain/{name}")
        except httpx.HTTPError as exc:
            click.echo(f"{url}: {exc}", err=True)
            continue
        if response.status_code == httpx.codes.ACCEPTED:
            reached += 1
    if not reached:
        msg = f"no entry host knows {name}; see 'hemlockhall status' for the names"
        raise click.ClickException(msg)
    click.echo(f"{name} is draining")


def _notify_entry_hosts(
    entries: tuple[str, ...], accepted: Accepted, texts: dict[str, str]
) -> None:
    """Send an accepted document to the entry hosts.

    They also poll the table service for it, but would not get the version if
    that service failed right after the acceptance.
    """
    refs = [
        SectionRef(name, section_digest)
        for name, section_digest in accepted.digests.items()
    ]
    sections = [SectionText(n, digest(t), t) for n, t in texts.items()]
    body = msgspec.json.encode(DocumentText(accepted.version, refs, sections))
    for url in entries:
        try:
            httpx.post(f"{url}/document", content=body, timeout=NOTIFY_TIMEOUT_S)
        except httpx.HTTPError as exc:
            click.echo(f"{url}: not told: {exc}", err=True)


def _base_version(text: str) -> int:
    match = BASE_VERSION_PATTERN.search(text)
    if match is None:
        return 0
    if len(match.group(1)) > MAX_VERSION_DIGITS:
        msg = "the version in the first line is no version of the history; edit anew"
        raise click.ClickException(msg)
    return int(match.group(1))


def _strip_base_version(text: str) -> str:
    return BASE_VERSION_PATTERN.sub("", text, count=1).lstrip("\n")


async def _document_text(repository: Repository, version: int | None) -> str:
    if version is None:
        revision = await repository.head()
    else:
        revision = await repository.revision(version)
    sections = await repository.sections(revision.digests)
    return BASE_VERSION_LINE.format(revision.version) + "\n\n" + join(sections)


def _with_repository(
    table: str, objects: str, run: Callable[[Repository], Awaitable[T]]
) -> T:
    async def main() -> T:
        rows, texts = Table(table), Objects(objects)
        try:
            return await run(Repository(rows, texts))
        finally:
            await rows.aclose()
            await texts.aclose()

    try:
        return anyio.run(main)
    except (DocumentError, SubmitError, PlatformError) as exc:
        raise click.ClickException(str(exc)) from exc


def _read_status(url: str) -> Status | None:
    """Return the status of a process, None if it sends none that can be read."""
    try:
        response = httpx.get(f"{url}/status")
        with decoding("status"):
            return msgspec.json.decode(response.content, type=Status)
    except (httpx.HTTPError, DecodeError):
        return None


def _version_line(entries: tuple[str, ...]) -> str:
    versions: dict[str, str] = {}
    for url in entries:
        process_status = _read_status(url)
        if process_status is None:
            versions[url] = "no answer"
            continue
        versions[process_status.name] = str(process_status.version)
        for peer in process_status.peers:
            versions.setdefault(peer.name, str(peer.version) if peer.alive else "dead")
    return "  ".join(f"{name}={version}" for name, version in sorted(versions.items()))


if __name__ == "__main__":
    main()
