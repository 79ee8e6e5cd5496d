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

KEY = "planner"
# Seconds the lease lasts: how long nobody plans after its holder died.
TTL_S = 3.0
# Seconds between renewals; one may be lost.
RENEW_S = 1.0
# Seconds a call may take.
CALL_S = 0.8


def boot_time() -> float:
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
        self._clock: tuple[float, float] | None = None
        self.fence = 0
        self.silent_since: float | None = None

    @property
    def held(self) -> bool:
        """Whether this host is the holder and its lease has not lapsed."""
        return self.fence > 0 and boot_time() < self._deadline

    @property
    def due(self) -> bool:
        """Whether it is time to renew."""
        return boot_time() > self._deadline - TTL_S + RENEW_S

    def drop(self, cause: str) -> None:
        """Stop holding the lease."""
        if self.fence:
            logger.warning("lease lost", fence=self.fence, cause=cause)
        self.fence = 0

    async def acquire_or_renew(self) -> None:
        """Renew the lease, or acquire it if nobody holds it."""
        deadline = time.monotonic() + CALL_S
        try:
            if not self.fence:
                await self._look(deadline)
            await self._write(deadline)
            self.silent_since = None
        except VersionConflictError as exc:
            self.silent_since = None
            self._clock = (exc.store_time_s, boot_time())
            self.drop("another host wrote the row")
        except _HeldElsewhereError:
            self.silent_since = None
        except StoreError as exc:
            if self.silent_since is None:
                self.silent_since = time.monotonic()
            logger.info("lease not written", cause=str(exc), fence=self.fence)

    async def release(self) -> None:
        """Let another host take over at once; keep it if the store is away."""
        if not self.fence:
            return
        deadline = time.monotonic() + CALL_S
        row = LeaseRow(self._name, self._boot, 0.0)
        version, fence = self._version, self.fence
        self.fence = 0
        try:
            value = msgspec.json.encode(row)
            await self._store.write(Table.LEASE, KEY, value, version, deadline)
        except VersionConflictError:
            return
        except StoreError as exc:
            logger.info("lease not released", cause=str(exc))
            self.fence = fence

    async def _look(self, deadline: float) -> None:
        page = await self._store.read(Table.LEASE, deadline)
        self._clock = (page.store_time_s, boot_time())
        self._version = 0
        for row in page.rows:
            if row.key != KEY:
                continue
            self._version = row.version
            if self._taken(row, page.store_time_s):
                raise _HeldElsewhereError

    def _taken(self, row: Row, now_s: float) -> bool:
        try:
            held = msgspec.json.decode(row.value, type=LeaseRow)
        except msgspec.DecodeError:
            logger.warning("the lease's row cannot be read; it is written anew")
            return False
        # The row of an earlier run of this host: that run is over.
        if held.holder == self._name:
            return False
        return now_s < held.until_s

    async def _write(self, deadline: float) -> None:
        assert self._clock is not None
        began = boot_time()
        now_s = self._clock[0] + began - self._clock[1]
        row = LeaseRow(self._name, self._boot, now_s + TTL_S)
        value = msgspec.json.encode(row)
        written = await self._store.write(
            Table.LEASE, KEY, value, self._version, deadline
        )
        self._clock = (written.store_time_s, boot_time())
        self._version = written.version
        # Counted from before the call, so it lapses here first.
        self._deadline = began + TTL_S
        if not self.fence:
            self.fence = written.version
            logger.info("lease acquired", fence=self.fence)


class _HeldElsewhereError(StoreError):
    """Another host holds the lease."""


__all__ = [
    "Lease",
    "boot_time",
]
