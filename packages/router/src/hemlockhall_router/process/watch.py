"""Cached copy of one table, kept up to date by long polls and by other hosts."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING, Protocol

import anyio
from loguru import logger

from hemlockhall_router.process.store import (
    HistoryCompactedError,
    Row,
    StoreError,
    StoreRefusedError,
    StoreTimeoutError,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from hemlockhall_router.process.metric import Metrics
    from hemlockhall_router.process.store import ReadResult, Store, Table
    from hemlockhall_router.process.timing import Timing

# Upper bound of the backoff on a host that gets changes from the store watchers.
RETRY_MAX_NON_WATCHER_S = 2.0
# Interval at which a host that does not watch the store checks whether it should.
POLICY_CHECK_INTERVAL_S = 0.05
# The duration of long polls is randomised down to this fraction: polls of several
# hosts return together after a change, and without jitter would stay in step.
MIN_WAIT_FRACTION = 0.5
# Deletions kept for hosts with an older version of the table.
MAX_TOMBSTONES = 512
# Upper bound of the age of a copy, which has this age before it was ever complete.
MAX_AGE_S = 3600.0
# Source of rows that did not come from another host.
STORE_SOURCE = "store"


class WatchPolicy(Protocol):
    """Whether and how this host watches the store."""

    def should_watch(self, watch: Watch) -> bool:
        """Return whether this host should poll the store itself for a table."""

    def is_store_watcher(self) -> bool:
        """Return whether other hosts rely on this host's polls."""

    def long_poll_s(self) -> float:
        """Return the duration of one long poll in seconds."""


class Watch:
    """Rows of a table as of ``version``; older versions are ignored.

    ``last_change`` is the version of the newest change, and ``complete_as_of`` the
    monotonic time as of which the copy is known to be complete. ``connected`` tells
    whether this host watches the store and its last call succeeded, ``connected_at``
    when that began; ``last_failure_at`` is the time of the last failed call, or 0.
    ``source`` is where the newest rows came from, ``STORE_SOURCE`` or the address of a
    host, and ``delay_s`` the longest time that they can have taken to arrive.

    Parameters
    ----------
    store : Store
        Source of the rows.
    table : Table
        The table.
    on_change : callable
        Called with the changed rows after each update.
    policy : WatchPolicy
        Decides whether this host polls the store.
    timing : Timing
        Timeouts and pauses.
    metrics : Metrics
        Counts the outcomes of calls, and exports the age of the copy.
    """

    def __init__(
        self,
        store: Store,
        table: Table,
        on_change: Callable[[list[Row]], None],
        policy: WatchPolicy,
        timing: Timing,
        metrics: Metrics,
    ) -> None:
        self._store = store
        self._policy = policy
        self._timing = timing
        self.table = table
        self._on_change = on_change
        self.version = 0
        self.last_change = 0
        self.complete_as_of = float("-inf")
        self.rows: dict[str, Row] = {}
        self._tombstones: dict[str, Row] = {}
        # Version of the newest deletion that was dropped from the tombstones.
        self._dropped_deletion_version = 0
        self.connected = False
        self.connected_at = 0.0
        self.last_failure_at = 0.0
        self.source = STORE_SOURCE
        self.delay_s = 0.0
        self._call_started_at = 0.0
        # ``age_s`` before the last response of the store.
        self._previous_age_s = MAX_AGE_S
        self._metrics = metrics
        metrics.add_gauge("table_age_seconds", table.value, lambda: self.age_s)

    @property
    def age_s(self) -> float:
        """Time since the copy was last known to be complete, at most ``MAX_AGE_S``."""
        return min(time.monotonic() - self.complete_as_of, MAX_AGE_S)

    async def run(self) -> None:
        """Watch the table while the policy asks for it, until cancelled."""
        has_copy = self.version > 0
        delay_s = self._timing.retry_min_s
        while True:
            if not self._policy.should_watch(self):
                self.connected = False
                has_copy = self.version > 0
                await anyio.sleep(POLICY_CHECK_INTERVAL_S)
                continue
            self._call_started_at = time.monotonic()
            try:
                if not has_copy:
                    result = await self._read()
                    has_copy = True
                else:
                    result = await self._changes()
                    if result.rows:
                        await anyio.sleep(self._timing.debounce_s)
                delay_s = self._timing.retry_min_s
            except HistoryCompactedError:
                self._count("compacted")
                logger.info(
                    "history compacted, reading whole table", table=self.table.value
                )
                has_copy = False
            except StoreError as exc:
                self._mark_failed(exc)
                await anyio.sleep(delay_s)
                max_delay_s = (
                    self._timing.retry_max_s
                    if self._policy.is_store_watcher()
                    else RETRY_MAX_NON_WATCHER_S
                )
                delay_s = min(max_delay_s, delay_s * 1.5)

    async def _read(self) -> ReadResult:
        started_at = time.monotonic()
        deadline = started_at + self._timing.read_timeout_s
        result = await self._store.read(self.table, deadline)
        self._mark_connected(started_at)
        self._count("read")
        self.replace(result.rows, result.version)
        return result

    async def _changes(self) -> ReadResult:
        wait_s = self._policy.long_poll_s() * random.uniform(MIN_WAIT_FRACTION, 1.0)  # noqa: S311
        started_at = time.monotonic()
        deadline = started_at + wait_s + self._timing.response_timeout_s
        result = await self._store.changes(self.table, self.version, wait_s, deadline)
        # The response may have been held up on its way. The store responds without
        # rows after the wait, and with rows at any time since the call began.
        self._mark_connected(started_at if result.rows else started_at + wait_s)
        self._count("changed" if result.rows else "unchanged")
        self.apply(result.rows, result.version)
        return result

    def _mark_connected(self, as_of: float) -> None:
        self._previous_age_s = self.age_s
        self.complete_as_of = max(self.complete_as_of, min(as_of, time.monotonic()))
        if self.connected:
            return
        self.connected = True
        self.connected_at = time.monotonic()
        logger.info("store reached", table=self.table.value, version=self.version)

    def _mark_failed(self, exc: StoreError) -> None:
        self.last_failure_at = time.monotonic()
        self._count(_outcome(exc))
        logger.info(
            "store call failed",
            table=self.table.value,
            outcome=_outcome(exc),
            cause=str(exc),
            elapsed_ms=int((self.last_failure_at - self._call_started_at) * 1000),
        )
        if not self.connected:
            return
        self.connected = False
        logger.warning("store lost", table=self.table.value, cause=str(exc))

    def _count(self, outcome: str) -> None:
        self._metrics.count("store_watch_calls", f"{self.table.value}_{outcome}")

    @property
    def store_unreachable(self) -> bool:
        """Whether calls to the store fail, the last one recently."""
        if self.connected or not self.last_failure_at:
            return False
        return time.monotonic() - self.last_failure_at < self._timing.entry_grace_s

    def confirm(self, last_change: int, complete_to: int, as_of: float) -> bool:
        """Compare with a peer's copy; return whether this one lacks changes.

        At the monotonic time ``as_of`` the peer's copy had all changes up to version
        ``complete_to``, the newest of them at ``last_change``. If this copy has that
        one too, it is complete up to the same version.
        """
        if last_change > self.version:
            return True
        if self.version > 0:
            self.version = max(self.version, complete_to)
            self.complete_as_of = max(self.complete_as_of, as_of)
        return False

    def apply(
        self,
        rows: tuple[Row, ...] | list[Row],
        version: int,
        source: str = STORE_SOURCE,
    ) -> None:
        """Apply the changes between the current version and a newer one."""
        if version <= self.version:
            return
        self.source = source
        from_store = source == STORE_SOURCE
        self.delay_s = self._previous_age_s if from_store else self.age_s
        changed_rows = []
        for row in rows:
            known = self.rows.get(row.key) or self._tombstones.get(row.key)
            if known is not None and known.version >= row.version:
                continue
            self._put(row)
            changed_rows.append(row)
            self.last_change = max(self.last_change, row.version)
        self.version = version
        if changed_rows:
            self._on_change(changed_rows)

    def replace(
        self,
        rows: tuple[Row, ...] | list[Row],
        version: int,
        source: str = STORE_SOURCE,
    ) -> None:
        """Replace all rows by those of a newer version; delete the others."""
        if version <= self.version:
            return
        kept = {row.key for row in rows}
        changes = list(rows)
        for key in list(self.rows):
            if key not in kept:
                changes.append(Row(key, b"", version, deleted=True))
        self.apply(changes, version, source)

    def _put(self, row: Row) -> None:
        if not row.deleted:
            self.rows[row.key] = row
            self._tombstones.pop(row.key, None)
            return
        self.rows.pop(row.key, None)
        self._tombstones[row.key] = row
        while len(self._tombstones) > MAX_TOMBSTONES:
            oldest = min(self._tombstones.values(), key=lambda item: item.version)
            self._dropped_deletion_version = oldest.version
            del self._tombstones[oldest.key]

    def changes_since(self, version: int) -> tuple[bool, list[Row]]:
        """Return whether all rows follow, and the rows changed after ``version``.

        All rows follow, without deletions, if the tombstones do not go back that far.
        """
        if version < self._dropped_deletion_version or version == 0:
            return True, list(self.rows.values())
        changed = [row for row in self.rows.values() if row.version > version]
        changed += [row for row in self._tombstones.values() if row.version > version]
        changed.sort(key=lambda row: row.version)
        return False, changed


def _outcome(exc: StoreError) -> str:
    if isinstance(exc, StoreTimeoutError):
        return "timed_out"
    return "refused" if isinstance(exc, StoreRefusedError) else "no_answer"


__all__ = [
    "MAX_AGE_S",
    "STORE_SOURCE",
    "Watch",
    "WatchPolicy",
]
