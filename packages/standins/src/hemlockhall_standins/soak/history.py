"""What callers, endpoints and the player of a soak saw, as lines of JSON."""

from __future__ import annotations

import json
import time
from typing import IO, TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

Entry = dict[str, Any]


class History:
    """Entries with the seconds since its start, in memory and in a file."""

    def __init__(self, file: IO[str] | None = None) -> None:
        self.entries: list[Entry] = []
        self._file = file
        self._started = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started

    def add(self, kind: str, **fields: Any) -> None:
        """Add an entry."""
        entry = {"t": round(self.now(), 4), "kind": kind, **fields}
        self.entries.append(entry)
        if self._file is not None:
            self._file.write(json.dumps(entry) + "\n")


def read_entries(path: Path) -> list[Entry]:
    """Return the entries of a file."""
    return [json.loads(line) for line in path.read_text().splitlines()]


def of_kind(entries: Iterable[Entry], kind: str) -> list[Entry]:
    """Return the entries of one kind."""
    return [entry for entry in entries if entry["kind"] == kind]


__all__ = [
    "Entry",
    "History",
    "of_kind",
    "read_entries",
]
