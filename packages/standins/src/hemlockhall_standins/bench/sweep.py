"""The users' sweep on some deployments, judged against the gate of a landing.

The users' bench plays one day at growing numbers of machines and leaves an entry in
its journal; the judgement is made from that entry.
"""

from __future__ import annotations

import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click
import msgspec

JOURNAL = Path("journal")
SMALL = "sweep-30"
LARGE = "sweep-300"
# Part of what the small day serves that the large one has to serve.
SERVED_PART = 0.7


@dataclass(slots=True, frozen=True)
class Day:
    """One day of a sweep; ``rules`` counts the broken rules by name."""

    name: str
    served: float
    rules: dict[str, Any]
    fault: str | None = None


def days(entry: bytes) -> list[Day]:
    """Return the days in an entry of the journal."""
    raw = msgspec.json.decode(entry)
    found = []
    for day in raw.get("days") or ():
        rules, fault = day.get("rules") or {}, day.get("fault")
        found.append(Day(day["name"], float(day.get("served") or 0.0), rules, fault))
    return found


def problems(played: list[Day]) -> list[str]:
    """Return why a sweep does not pass the gate; nothing if it does."""
    found = []
    by_name = {day.name: day for day in played}
    for day in played:
        if day.rules:
            found.append(f"{day.name}: rules broken: {', '.join(sorted(day.rules))}")
        if day.fault:
            found.append(f"{day.name}: {day.fault}")
    for name in (SMALL, LARGE):
        if name not in by_name:
            found.append(f"{name}: not played")
    if SMALL in by_name and LARGE in by_name:
        least = SERVED_PART * by_name[SMALL].served
        if by_name[LARGE].served < least:
            served = by_name[LARGE].served
            found.append(f"{LARGE}: served {served:.3f}, the gate asks for {least:.3f}")
    return found


def newest_entry(known: set[Path]) -> Path | None:
    """Return the entry that a run has left beside the known ones."""
    fresh = sorted(set(JOURNAL.glob("*.json")) - known)
    return fresh[-1] if fresh else None


@click.command()
@click.argument("bench", type=click.Path(exists=True, dir_okay=False))
@click.argument("sites", nargs=-1, required=True)
@click.option("--why", default="gate of a landing", help="Line for the journal.")
@click.option("--jobs", default=4, help="Cores to use.")
def main(bench: str, sites: tuple[str, ...], why: str, jobs: int) -> None:
    """Play a sweep on each of SITES with BENCH; fail where the gate fails."""
    failed = False
    for site in sites:
        known = set(JOURNAL.glob("*.json"))
        command = [bench, "sweep", site, "--most", "300", "--jobs", str(jobs)]
        subprocess.run([*command, "--why", why], check=False)  # noqa: S603
        entry = newest_entry(known)
        found = ["no entry in the journal"]
        if entry is not None:
            found = problems(days(entry.read_bytes()))
        for problem in found:
            click.echo(f"{site}: {problem}")
        failed = failed or bool(found)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()


__all__ = [
    "Day",
    "days",
    "newest_entry",
    "problems",
]
