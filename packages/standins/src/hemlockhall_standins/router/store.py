"""A store in memory, with the faults of a real one."""

from __future__ import annotations

import time
from collections import defaultdict
from dataclasses import dataclass, field

import anyio

from hemlockhall_router.process.store import (
    HistoryCompactedError,
    ReadResult,
    Row,
    Store,
    StoreNoAnswerError,
    StoreRefusedError,
    Table,
    VersionConflictError,
    WriteResult,
)

POLL_S = 0.005


@dataclass
class MemoryStore(Store):
    """Tables in memory.

    ``down`` refuses every call; ``lose_writes`` counts writes that are done
    without an answer; ``history_from`` is the version since which changes are
    kept; ``mute`` lets calls for changes wait without seeing any.
    """

    down: bool = False
    lose_writes: int = 0
    mute: bool = False
    history_from: int = 0
    version: int = 0
    tables: dict[Table, dict[str, Row]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    history: list[tuple[Table, Row]] = field(default_factory=list)
    reads: int = 0

    def put(self, table: Table, key: str, value: bytes) -> int:
        """Write a row as the operator or an endpoint does."""
        self.version += 1
        row = Row(key, value, self.version)
        self.tables[table][key] = row
        self.history.append((table, row))
        return self.version

    def remove(self, table: Table, key: str) -> None:
        """Remove a row."""
        self.version += 1
        self.tables[table].pop(key, None)
        self.history.append((table, Row(key, b"", self.version, deleted=True)))

    def forget(self) -> None:
        """Drop the history."""
        self.history.clear()
        self.history_from = self.version

    async def read(self, table: Table, deadline: float) -> ReadResult:
        """Return all rows."""
        self._check()
        self.reads += 1
        rows = tuple(self.tables[table].values())
        return ReadResult(rows, self.version, time.monotonic())

    async def changes(self, table: Table, after: int, wait_s: float) -> ReadResult:
        """Return the changed rows."""
        deadline = time.monotonic() + wait_s
        while True:
            self._check()
            if after < self.history_from:
                raise HistoryCompactedError("forgotten")
            rows = []
            for name, row in self.history:
                if name is table and row.version > after and not self.mute:
                    rows.append(row)
            if rows or time.monotonic() >= deadline:
                version = after if self.mute else self.version
                return ReadResult(tuple(rows), version, time.monotonic())
            await anyio.sleep(POLL_S)

    async def write(
        self, table: Table, key: str, value: bytes, expected: int, deadline: float
    ) -> WriteResult:
        """Write a row under a condition."""
        self._check()
        held = self.tables[table].get(key)
        if (held.version if held else 0) != expected:
            raise VersionConflictError(held, time.monotonic())
        version = self.put(table, key, value)
        if self.lose_writes:
            self.lose_writes -= 1
            raise StoreNoAnswerError("the answer was lost")
        return WriteResult(version, time.monotonic())

    async def close(self) -> None:
        """Nothing is open."""

    def _check(self) -> None:
        if self.down:
            raise StoreRefusedError("the store is down")


__all__ = [
    "MemoryStore",
]
