"""A copy of one table of the store, kept up to date."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import anyio
from loguru import logger

from hemlockhall_router.process.store import HistoryGoneError, Row, StoreError

if TYPE_CHECKING:
    from collections.abc import Callable

    from hemlockhall_router.process.store import Store, Table

# Seconds one call for changes waits at the store. It bounds how long a silent
# connection hides a change: wait, allowance and one read of the table stay below
# the contact time of 3 s plus the 2 s in which a change must hold.
WAIT_S = 2.5
# The same while other hosts are heard: they pass on what a silent connection
# hides, and each call is billed.
WAIT_HEARD_S = 5.0
# Seconds allowed for reading the whole table.
READ_S = 1.5
# Seconds between tries while the store does not answer.
RETRY_S = 0.2
RETRY_MAX_S = 0.5
# Seconds after a change before the next call: changes come in groups, and each
# call is billed, while a change may take 2 s to be in force.
BATCH_S = 0.4
# Deletions remembered for hosts that are behind.
TOMBSTONES = 512


class Watch:
    """Rows of a table as of ``version``; only newer versions are taken.

    Parameters
    ----------
    store : Store
        Where changes come from.
    table : Table
        The table.
    changed : callable
        Called with the changed rows after each step.
    heard : callable
        Returns whether another host is heard that would pass changes on.
    """

    def __init__(
        self,
        store: Store,
        table: Table,
        changed: Callable[[list[Row]], None],
        heard: Callable[[], bool],
    ) -> None:
        self._store = store
        self._heard = heard
        self.table = table
        self._changed = changed
        self.version = 0
        self.rows: dict[str, Row] = {}
        self._dead: dict[str, Row] = {}
        self._dead_floor = 0
        self.reached = False
        self.regained_at = 0.0
        self.lost_at = 0.0

    async def run(self) -> None:
        """Follow the table until cancelled."""
        fresh = self.version > 0
        delay = RETRY_S
        while True:
            try:
                if not fresh:
                    page = await self._store.read(self.table, time.monotonic() + READ_S)
                    self._reach()
                    self.replace(page.rows, page.version)
                    fresh = True
                else:
                    wait_s = WAIT_HEARD_S if self._heard() else WAIT_S
                    page = await self._store.changes(self.table, self.version, wait_s)
                    self._reach()
                    self.apply(page.rows, page.version)
                    if page.rows:
                        await anyio.sleep(BATCH_S)
                delay = RETRY_S
            except HistoryGoneError:
                logger.info("history gone, reading anew", table=self.table.value)
                fresh = False
            except StoreError as exc:
                self._lose(exc)
                await anyio.sleep(delay)
                delay = min(RETRY_MAX_S, delay * 1.5)

    def _reach(self) -> None:
        if self.reached:
            return
        self.reached = True
        self.regained_at = time.monotonic()
        logger.info("store reached", table=self.table.value, version=self.version)

    def _lose(self, exc: StoreError) -> None:
        self.lost_at = time.monotonic()
        if not self.reached:
            return
        self.reached = False
        logger.warning("store lost", table=self.table.value, cause=str(exc))

    def apply(self, rows: tuple[Row, ...] | list[Row], version: int) -> None:
        """Take changes that lead from the own version to a newer one."""
        if version <= self.version:
            return
        taken = []
        for row in rows:
            held = self.rows.get(row.key) or self._dead.get(row.key)
            if held is not None and held.version >= row.version:
                continue
            self._put(row)
            taken.append(row)
        self.version = version
        if taken:
            self._changed(taken)

    def replace(self, rows: tuple[Row, ...] | list[Row], version: int) -> None:
        """Take all rows as of a newer version; the others are deleted."""
        if version <= self.version:
            return
        kept = {row.key for row in rows}
        changes = list(rows)
        for key in list(self.rows):
            if key not in kept:
                changes.append(Row(key, b"", version, deleted=True))
        self.apply(changes, version)

    def _put(self, row: Row) -> None:
        if not row.deleted:
            self.rows[row.key] = row
            self._dead.pop(row.key, None)
            return
        self.rows.pop(row.key, None)
        self._dead[row.key] = row
        while len(self._dead) > TOMBSTONES:
            oldest = min(self._dead.values(), key=lambda dead: dead.version)
            self._dead_floor = oldest.version
            del self._dead[oldest.key]

    def since(self, version: int) -> tuple[bool, list[Row]]:
        """Return whether all rows follow, and the rows changed since."""
        if version < self._dead_floor or version == 0:
            return True, list(self.rows.values())
        changed = [row for row in self.rows.values() if row.version > version]
        changed += [row for row in self._dead.values() if row.version > version]
        changed.sort(key=lambda row: row.version)
        return False, changed


__all__ = [
    "Watch",
]
