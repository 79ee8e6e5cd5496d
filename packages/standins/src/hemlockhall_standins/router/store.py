"""In-memory store with faults that tests switch on."""

from __future__ import annotations

import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field

import anyio

from hemlockhall_router.process.store import (
    HistoryCompactedError,
    ReadResult,
    Row,
    Store,
    StoreNoAnswerError,
    StoreRefusedError,
    StoreTimeoutError,
    Table,
    VersionConflictError,
    WriteResult,
)

# Shortest duration of a call for changes, and the interval of looking for one.
POLL_INTERVAL_S = 0.005


@dataclass
class MemoryStore(Store):
    """Tables in memory, with one version counter and a history of changes.

    ``down`` refuses every call, ``refused_tables`` those for changes of some tables.
    The next ``lose_writes`` writes take effect but raise as if their response were
    lost. ``history_from`` is the version since which changes are kept. With
    ``hide_changes``, long polls for changes time out without any. ``silence`` ends the
    calls for changes that are under way. ``calls`` counts those that were made by
    table. Responses to them arrive ``delay_s`` after ``responded_at``, the time of the
    last one.
    """

    down: bool = False
    lose_writes: int = 0
    hide_changes: bool = False
    history_from: int = 0
    version: int = 0
    tables: dict[Table, dict[str, Row]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    history: list[tuple[Table, Row]] = field(default_factory=list)
    delay_s: float = 0.0
    responded_at: float = 0.0
    reads: int = 0
    refused_tables: set[Table] = field(default_factory=set)
    calls: Counter[Table] = field(default_factory=Counter)
    # Number of times that the open connections went silent.
    _silences: int = 0

    def put(self, table: Table, key: str, value: bytes) -> int:
        """Write a row without a condition; return its version."""
        self.version += 1
        row = Row(key, value, self.version)
        self.tables[table][key] = row
        self.history.append((table, row))
        return self.version

    def remove(self, table: Table, key: str) -> None:
        """Delete a row."""
        self.version += 1
        self.tables[table].pop(key, None)
        self.history.append((table, Row(key, b"", self.version, deleted=True)))

    def compact_history(self) -> None:
        """Drop the history, as a store does that compacts it."""
        self.history.clear()
        self.history_from = self.version

    def silence(self) -> None:
        """Lose the calls for changes under way, without an error to their callers.

        As on open connections that went silent for good while new ones work.
        """
        self._silences += 1

    async def read(self, table: Table, deadline: float) -> ReadResult:
        """Return all rows."""
        self._raise_if_down()
        self.reads += 1
        rows = tuple(self.tables[table].values())
        return ReadResult(rows, self.version, time.monotonic())

    async def changes(
        self, table: Table, after: int, wait_s: float, deadline: float
    ) -> ReadResult:
        """Return the rows changed after a version; wait for one up to ``wait_s``."""
        self.calls[table] += 1
        wait_until = time.monotonic() + wait_s
        silences = self._silences
        await anyio.sleep(POLL_INTERVAL_S)
        while True:
            if silences != self._silences:
                await anyio.sleep(max(0.0, deadline - time.monotonic()))
                raise StoreTimeoutError("nothing received before the deadline")
            self._raise_if_down()
            if table in self.refused_tables:
                raise StoreRefusedError("the table is down: see refused_tables")
            if after < self.history_from:
                raise HistoryCompactedError(
                    f"no changes before version {self.history_from}: read the table"
                )
            rows = []
            for name, row in self.history:
                if name is table and row.version > after and not self.hide_changes:
                    rows.append(row)
            if rows or time.monotonic() >= wait_until:
                version = after if self.hide_changes else self.version
                self.responded_at = time.monotonic()
                await anyio.sleep(self.delay_s)
                return ReadResult(tuple(rows), version, time.monotonic())
            await anyio.sleep(POLL_INTERVAL_S)

    async def write(
        self, table: Table, key: str, value: bytes, expected: int, deadline: float
    ) -> WriteResult:
        """Write a row if its version is ``expected``, 0 for a new row."""
        self._raise_if_down()
        current = self.tables[table].get(key)
        if (current.version if current else 0) != expected:
            raise VersionConflictError(current, time.monotonic())
        version = self.put(table, key, value)
        if self.lose_writes:
            self.lose_writes -= 1
            raise StoreNoAnswerError("the response was lost: lose_writes is set")
        return WriteResult(version, time.monotonic())

    async def close(self) -> None:
        """Do nothing: no connection is open."""

    def _raise_if_down(self) -> None:
        if self.down:
            raise StoreRefusedError("the store is down: down is set")


__all__ = [
    "MemoryStore",
]
