"""The lease under which one host plans the layout."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

from hemlockhall_router.process.store import (
    Store,
    StoreError,
    Table,
    VersionConflictError,
)

if TYPE_CHECKING:
    from hemlockhall_router.process.store import Row

LEASE_KEY = "planner"
# Seconds the lease lasts: how long nobody plans after its holder died.
TTL_S = 3.0
# Seconds between renewals; one may be lost.
RENEW_INTERVAL_S = 1.0
# Seconds a call may take.
CALL_TIMEOUT_S = 0.8


def boottime_s() -> float:
    """Return a clock that goes on while the host is suspended.

    A holder that was suspended must see on waking that its lease has lapsed;
    the monotonic clock would still show it as valid.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class LeaseRow(msgspec.Struct):
    """Who holds the lease, until when by the store's clock."""

    holder: str
    boot: str
    until_s: float


class Lease:
    """This host's part in the lease.

    ``fence`` is the version of the row's first write by this holder; it only
    grows from holder to holder, so endpoints can refuse an older holder.
    ``silent_since`` is the monotonic time since which the store has not
    answered, or None.
    """

    def __init__(self, store: Store, name: str, boot: str) -> None:
        self._store = store
        self._name = name
        self._boot = boot
        self._version = 0
        self._deadline = 0.0
        self._store_clock: tuple[float, float] | None = None
        self.fence = 0
        self.unreachable_since: float | None = None

    @property
    def held(self) -> bool:
        """Whether this host is the holder and its lease has not lapsed."""
        return self.fence > 0 and boottime_s() < self._deadline

    @property
    def renewal_due(self) -> bool:
        """Whether it is time to renew."""
        return boottime_s() > self._deadline - TTL_S + RENEW_INTERVAL_S

    def mark_lost(self, cause: str) -> None:
        """Stop holding the lease."""
        if self.fence:
            logger.warning("lease lost", fence=self.fence, cause=cause)
        self.fence = 0

    async def acquire_or_renew(self) -> None:
        """Renew the lease, or acquire it if nobody holds it."""
        deadline = time.monotonic() + CALL_TIMEOUT_S
        try:
            if not self.fence:
                await self._read(deadline)
            await self._write(deadline)
            self.unreachable_since = None
        except VersionConflictError as exc:
            self.unreachable_since = None
            self._store_clock = (exc.store_time_s, boottime_s())
            self.mark_lost("another host wrote the row")
        except _HeldByAnotherError:
            self.unreachable_since = None
        except StoreError as exc:
            if self.unreachable_since is None:
                self.unreachable_since = time.monotonic()
            logger.info("lease not written", cause=str(exc), fence=self.fence)

    async def release(self) -> None:
        """Let another host take over at once; keep it if the store is away."""
        if not self.fence:
            return
        deadline = time.monotonic() + CALL_TIMEOUT_S
        row = LeaseRow(self._name, self._boot, 0.0)
        version, fence = self._version, self.fence
        self.fence = 0
        try:
            value = msgspec.json.encode(row)
            await self._store.write(Table.LEASE, LEASE_KEY, value, version, deadline)
        except VersionConflictError:
            return
        except StoreError as exc:
            logger.info("lease not released", cause=str(exc))
            self.fence = fence

    async def _read(self, deadline: float) -> None:
        result = await self._store.read(Table.LEASE, deadline)
        self._store_clock = (result.store_time_s, boottime_s())
        self._version = 0
        for row in result.rows:
            if row.key != LEASE_KEY:
                continue
            self._version = row.version
            if self._held_by_another(row, result.store_time_s):
                raise _HeldByAnotherError

    def _held_by_another(self, row: Row, store_time_s: float) -> bool:
        try:
            lease_row = msgspec.json.decode(row.value, type=LeaseRow)
        except msgspec.DecodeError:
            logger.warning("the lease's row cannot be read; it is written anew")
            return False
        # The row of an earlier run of this host: that run is over.
        if lease_row.holder == self._name:
            return False
        return store_time_s < lease_row.until_s

    async def _write(self, deadline: float) -> None:
        assert self._store_clock is not None
        began = boottime_s()
        store_time_s = self._store_clock[0] + began - self._store_clock[1]
        row = LeaseRow(self._name, self._boot, store_time_s + TTL_S)
        value = msgspec.json.encode(row)
        written = await self._store.write(
            Table.LEASE, LEASE_KEY, value, self._version, deadline
        )
        self._store_clock = (written.store_time_s, boottime_s())
        self._version = written.version
        # Counted from before the call, so it lapses here first.
        self._deadline = began + TTL_S
        if not self.fence:
            self.fence = written.version
            logger.info("lease acquired", fence=self.fence)


class _HeldByAnotherError(StoreError):
    """Another host holds the lease."""


__all__ = [
    "Lease",
    "boottime_s",
]
