"""A copy of one table of the store, kept up to date."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING, Protocol

import anyio
from loguru import logger

from hemlockhall_router.process.store import HistoryCompactedError, Row, StoreError

if TYPE_CHECKING:
    from collections.abc import Callable

    from hemlockhall_router.process.store import ReadResult, Store, Table
    from hemlockhall_router.process.timing import Timing

# Seconds between tries while the store does not answer.
RETRY_S = 0.2
RETRY_MAX_S = 0.5
# The same for a host that others would pass changes on to.
RETRY_IDLE_S = 2.0
# Seconds between two looks at whether this host should follow the store.
IDLE_S = 0.05
# Part of its wait that a call for changes waits at least. Hosts whose calls return
# together after a change would confirm their copies at the same moments.
WAIT_LEAST = 0.5
# Deletions remembered for hosts that are behind.
TOMBSTONES = 512


class WatchPolicy(Protocol):
    """Whether and how this host follows the store."""

    def should_watch(self) -> bool:
        """Return whether this host should ask the store itself."""

    def is_store_watcher(self) -> bool:
        """Return whether others rely on what this host gets there."""

    def long_poll_s(self) -> float:
        """Return for how long one call for changes waits."""


class Watch:
    """Rows of a table as of ``version``; only newer versions are taken.

    ``last_change`` is the version of the newest change, and ``complete_as_of`` the
    monotonic time as of which the copy is known to be complete.

    Parameters
    ----------
    store : Store
        Where changes come from.
    table : Table
        The table.
    taken : callable
        Called with the changed rows after each step.
    following : WatchPolicy
        Whether this host asks the store.
    timing : Timing
        Times of calls.
    """

    def __init__(
        self,
        store: Store,
        table: Table,
        taken: Callable[[list[Row]], None],
        following: WatchPolicy,
        timing: Timing,
    ) -> None:
        self._store = store
        self._following = following
        self._timing = timing
        self.table = table
        self._taken = taken
        self.version = 0
        self.last_change = 0
        self.complete_as_of = float("-inf")
        self.rows: dict[str, Row] = {}
        self._dead: dict[str, Row] = {}
        self._dead_floor = 0
        self.connected = False
        self.regained_at = 0.0
        self.lost_at = 0.0

    async def run(self) -> None:
        """Follow the table, while this host should, until cancelled."""
        fresh = self.version > 0
        delay = RETRY_S
        while True:
            if not self._following.should_watch():
                self.connected = False
                fresh = self.version > 0
                await anyio.sleep(IDLE_S)
                continue
            try:
                if not fresh:
                    page = await self._read()
                    fresh = True
                else:
                    page = await self._changes()
                    if page.rows:
                        await anyio.sleep(self._timing.debounce_s)
                delay = RETRY_S
            except HistoryCompactedError:
                logger.info("history gone, reading anew", table=self.table.value)
                fresh = False
            except StoreError as exc:
                self._lose(exc)
                await anyio.sleep(delay)
                most = (
                    RETRY_MAX_S if self._following.is_store_watcher() else RETRY_IDLE_S
                )
                delay = min(most, delay * 1.5)

    async def _read(self) -> ReadResult:
        deadline = time.monotonic() + self._timing.read_timeout_s
        page = await self._store.read(self.table, deadline)
        self._reach()
        self.replace(page.rows, page.version)
        return page

    async def _changes(self) -> ReadResult:
        wait_s = self._following.long_poll_s() * random.uniform(WAIT_LEAST, 1.0)  # noqa: S311
        page = await self._store.changes(self.table, self.version, wait_s)
        self._reach()
        self.apply(page.rows, page.version)
        return page

    def _reach(self) -> None:
        self.complete_as_of = time.monotonic()
        if self.connected:
            return
        self.connected = True
        self.regained_at = time.monotonic()
        logger.info("store reached", table=self.table.value, version=self.version)

    def _lose(self, exc: StoreError) -> None:
        self.lost_at = time.monotonic()
        if not self.connected:
            return
        self.connected = False
        logger.warning("store lost", table=self.table.value, cause=str(exc))

    @property
    def store_unreachable(self) -> bool:
        """Whether the store turned this host away a moment ago."""
        if self.connected or not self.lost_at:
            return False
        return time.monotonic() - self.lost_at < self._timing.entry_grace_s

    def confirm(self, changed: int, complete: int, at: float) -> bool:
        """Take another host's word on its copy; return whether this one lacks rows.

        A copy that holds all changes up to a version, the newest of which this
        one has too, says that this one is complete up to there.
        """
        if changed > self.version:
            return True
        if self.version > 0:
            self.version = max(self.version, complete)
            self.complete_as_of = max(self.complete_as_of, at)
        return False

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
            self.last_change = max(self.last_change, row.version)
        self.version = version
        if taken:
            self._taken(taken)

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

    def changes_since(self, version: int) -> tuple[bool, list[Row]]:
        """Return whether all rows follow, and the rows changed since."""
        if version < self._dead_floor or version == 0:
            return True, list(self.rows.values())
        changed = [row for row in self.rows.values() if row.version > version]
        changed += [row for row in self._dead.values() if row.version > version]
        changed.sort(key=lambda row: row.version)
        return False, changed


__all__ = [
    "WatchPolicy",
    "Watch",
]
