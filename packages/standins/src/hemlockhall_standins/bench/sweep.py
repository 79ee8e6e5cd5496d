"""Runs the sweep of an external benchmark and checks it against the merge gate.

The benchmark simulates a day with increasing numbers of machines and writes an entry
to its journal, which is checked here.
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
SMALL_DAY = "sweep-30"
LARGE_DAY = "sweep-300"
# Fraction of the small day's ``served`` that the large day must reach.
MIN_SERVED_FRACTION = 0.7


@dataclass(slots=True, frozen=True)
class SweepDay:
    """Result of a simulated day; ``rules`` counts the broken rules by name.

    ``served`` is the served share of the load of the day.
    """

    name: str
    served: float
    rules: dict[str, Any]
    fault: str | None = None


def parse_days(entry: bytes) -> list[SweepDay]:
    """Parse the days of a journal entry (JSON)."""
    raw = msgspec.json.decode(entry)
    parsed = []
    for day in raw.get("days") or ():
        rules, fault = day.get("rules") or {}, day.get("fault")
        parsed.append(
            SweepDay(day["name"], float(day.get("served") or 0.0), rules, fault)
        )
    return parsed


def gate_violations(sweep_days: list[SweepDay]) -> list[str]:
    """Return the reasons why a sweep fails the gate, none if it passes."""
    violations = []
    by_name = {day.name: day for day in sweep_days}
    for day in sweep_days:
        if day.rules:
            violations.append(
                f"{day.name}: rules broken: {', '.join(sorted(day.rules))}"
            )
        if day.fault:
            violations.append(f"{day.name}: {day.fault}")
    for name in (SMALL_DAY, LARGE_DAY):
        if name not in by_name:
            violations.append(f"{name}: not played")
    if SMALL_DAY in by_name and LARGE_DAY in by_name:
        min_served = MIN_SERVED_FRACTION * by_name[SMALL_DAY].served
        if by_name[LARGE_DAY].served < min_served:
            served = by_name[LARGE_DAY].served
            violations.append(
                f"{LARGE_DAY}: served {served:.3f}, the gate asks for {min_served:.3f}"
            )
    return violations


def newest_entry(known_entries: set[Path]) -> Path | None:
    """Return the newest journal entry that is not among the known ones."""
    new_entries = sorted(set(JOURNAL.glob("*.json")) - known_entries)
    return new_entries[-1] if new_entries else None


@click.command()
@click.argument("bench", type=click.Path(exists=True, dir_okay=False))
@click.argument("sites", nargs=-1, required=True)
@click.option("--why", default="gate of a landing", help="Line for the journal.")
@click.option("--jobs", default=4, help="Cores to use.")
def main(bench: str, sites: tuple[str, ...], why: str, jobs: int) -> None:
    """Run a sweep with BENCH on each of SITES; exit with 1 if one fails the gate."""
    failed = False
    for site in sites:
        known_entries = set(JOURNAL.glob("*.json"))
        command = [bench, "sweep", site, "--most", "300", "--jobs", str(jobs)]
        subprocess.run([*command, "--why", why], check=False)  # noqa: S603
        entry = newest_entry(known_entries)
        violations = ["no entry in the journal"]
        if entry is not None:
            violations = gate_violations(parse_days(entry.read_bytes()))
        for violation in violations:
            click.echo(f"{site}: {violation}")
        failed = failed or bool(violations)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()


__all__ = [
    "SweepDay",
    "parse_days",
    "newest_entry",
    "gate_violations",
]
