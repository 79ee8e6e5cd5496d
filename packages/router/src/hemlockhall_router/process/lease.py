"""Lease in the store that elects the host that plans the layout."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

from hemlockhall_router.connection.decoding import DecodeError, decoding
from hemlockhall_router.process.store import (
    Store,
    StoreError,
    Table,
    VersionConflictError,
)

if TYPE_CHECKING:
    from hemlockhall_router.process.store import Row

LEASE_KEY = "planner"
# Time to live of the lease. After its holder died, no host plans until it has expired
# and another host has acquired it, except in a store outage (see ``leadership``).
TTL_S = 3.0
# Time between renewals, short enough for one to fail.
RENEW_INTERVAL_S = 1.0
# Timeout of a call to the store.
CALL_TIMEOUT_S = 0.8


def boottime_s() -> float:
    """Return the seconds since boot, including time in which the host was suspended.

    After a suspension the lease has expired by the store's clock. By the monotonic
    clock it would seem valid here, and not yet due for renewal.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class LeaseRow(msgspec.Struct):
    """Holder of the lease, and its expiry ``until_s`` by the store's clock.

    ``boot`` identifies the run of the holder's process.
    """

    holder: str
    boot: str
    until_s: float


class Lease:
    """The planning lease, as this host holds it or not.

    ``fence`` is the fencing token, or 0 if this host is not the holder: the version of
    the holder's first write of the row. It grows from holder to holder, so endpoints
    can refuse an older one. It stays set after the expiry of a lease that could not be
    renewed, until ``mark_lost`` or ``release``. ``unreachable_since`` is the monotonic
    time since which calls to the store have failed, or None.

    Parameters
    ----------
    store : Store
        Keeps the lease's row.
    name : str
        Name of this host.
    run_id : str
        Identifies this run of the host's process.
    """

    def __init__(self, store: Store, name: str, run_id: str) -> None:
        self._store = store
        self._name = name
        self._run_id = run_id
        self._version = 0
        self._deadline = 0.0
        self._store_clock: tuple[float, float] | None = None
        self.fence = 0
        self.unreachable_since: float | None = None

    @property
    def held(self) -> bool:
        """Whether this host holds the lease and it has not expired."""
        return self.fence > 0 and boottime_s() < self._deadline

    @property
    def renewal_due(self) -> bool:
        """Whether it is time to renew."""
        return boottime_s() > self._deadline - TTL_S + RENEW_INTERVAL_S

    def mark_lost(self, cause: str) -> None:
        """Stop acting as the holder, without a write to the store."""
        if self.fence:
            logger.warning("lease lost", fence=self.fence, cause=cause)
        self.fence = 0

    async def acquire_or_renew(self) -> None:
        """Renew the lease, or acquire it if no host holds it."""
        deadline = time.monotonic() + CALL_TIMEOUT_S
        try:
            if not self.fence:
                await self._read(deadline)
            await self._write(deadline)
            self.unreachable_since = None
        except VersionConflictError as exc:
            self.unreachable_since = None
            self._store_clock = (exc.store_time_s, boottime_s())
            if not self._adopt_own_write(exc):
                self.mark_lost("the row has another version")
        except _HeldByAnotherError:
            self.unreachable_since = None
        except StoreError as exc:
            if self.unreachable_since is None:
                self.unreachable_since = time.monotonic()
            logger.info(
                "lease not acquired or renewed", cause=str(exc), fence=self.fence
            )

    async def release(self) -> None:
        """Release the lease for another host; keep it if the store does not respond."""
        if not self.fence:
            return
        deadline = time.monotonic() + CALL_TIMEOUT_S
        row = LeaseRow(self._name, self._run_id, 0.0)
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

    def _adopt_own_write(self, conflict: VersionConflictError) -> bool:
        """Adopt the row if an earlier renewal wrote it, whose response did not come.

        Return whether it did. The row had this holder's version then, so no other host
        has held the lease since.
        """
        row = conflict.row
        if not self.fence or row is None or row.version <= self._version:
            return False
        try:
            with decoding("row of the lease"):
                lease_row = msgspec.json.decode(row.value, type=LeaseRow)
        except DecodeError:
            return False
        if (lease_row.holder, lease_row.boot) != (self._name, self._run_id):
            return False
        left_s = lease_row.until_s - conflict.store_time_s
        if not 0 < left_s <= TTL_S:
            return False
        self._version = row.version
        self._deadline = boottime_s() + left_s
        logger.info("renewal found in the store", fence=self.fence)
        return True

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
            with decoding("row of the lease"):
                lease_row = msgspec.json.decode(row.value, type=LeaseRow)
        except DecodeError as exc:
            logger.warning("lease row unreadable; overwriting it", cause=str(exc))
            return False
        # An earlier run of this host wrote the row, and has ended.
        if lease_row.holder == self._name:
            return False
        return store_time_s < lease_row.until_s

    async def _write(self, deadline: float) -> None:
        assert self._store_clock is not None
        began = boottime_s()
        store_time_s = self._store_clock[0] + began - self._store_clock[1]
        row = LeaseRow(self._name, self._run_id, store_time_s + TTL_S)
        value = msgspec.json.encode(row)
        written = await self._store.write(
            Table.LEASE, LEASE_KEY, value, self._version, deadline
        )
        self._store_clock = (written.store_time_s, boottime_s())
        self._version = written.version
        # Counted from before the call, so that it expires here before the store.
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
