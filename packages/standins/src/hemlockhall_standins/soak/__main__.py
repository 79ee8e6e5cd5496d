"""Command line of the soak."""

from __future__ import annotations

import sys
from collections import Counter
from pathlib import Path

import anyio
import click

from hemlockhall_standins.soak.checker import Run, judge, most_of_budget
from hemlockhall_standins.soak.history import History, of_kind, read_entries
from hemlockhall_standins.soak.player import RunOptions, play
from hemlockhall_standins.soak.scenario import SCENARIOS


@click.group()
def main() -> None:
    """Play series of faults with router processes, and judge what happened."""


@main.command()
@click.argument("scenario", type=click.Choice(sorted(SCENARIOS)))
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--seconds", type=float, default=40.0, show_default=True)
@click.option("--hosts", type=int, default=4, show_default=True)
@click.option("--source", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--folder", type=click.Path(file_okay=False, path_type=Path))
def run(
    scenario: str,
    seed: int,
    seconds: float,
    hosts: int,
    source: Path | None,
    folder: Path | None,
) -> None:
    """Play SCENARIO, and judge it.

    SOURCE is another checkout whose router is played. The history and the logs of the
    hosts are kept in FOLDER. Exit code 1 if a rule is broken.
    """
    if source is not None:
        source = source.absolute()
    options = RunOptions(scenario, seed, seconds, hosts, source, folder)
    if folder is None:
        history = History()
        anyio.run(play, options, history)
    else:
        folder.mkdir(parents=True, exist_ok=True)
        with (folder / "history.jsonl").open("w") as file:
            history = History(file)
            anyio.run(play, options, history)
    _report(history.entries)


@main.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def check(file: Path) -> None:
    """Judge the history in FILE."""
    _report(read_entries(file))


def _report(entries: list[dict]) -> None:
    """Print what was played and what is broken; exit with 1 if something is."""
    run = Run(entries)
    counts: Counter[str] = Counter()
    for request in run.requests.values():
        if request.response is None:
            continue
        status = "served" if request.served else str(request.response["status"])
        counts[f"{request.route} {status}"] += 1
    names = Counter(entry["name"] for entry in of_kind(entries, "disruption"))
    settings = run.settings
    click.echo(
        f"{settings['scenario']}, seed {settings['seed']}, {settings['hosts']} hosts"
    )
    click.echo("  " + ", ".join(f"{k}: {n}" for k, n in sorted(counts.items())))
    click.echo("  " + ", ".join(f"{k}: {n}" for k, n in sorted(names.items())))
    used = most_of_budget(run)
    click.echo("  retry budget: " + ", ".join(f"{k} {u:.2f}" for k, u in used.items()))
    broken = judge(entries)
    for name, cases in broken.items():
        click.echo(f"  {name}: {len(cases)}")
        for case in cases[:5]:
            click.echo(f"    {case}")
    if not broken:
        click.echo("  all rules hold")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
