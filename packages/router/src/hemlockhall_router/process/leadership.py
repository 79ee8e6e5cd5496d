"""Which host gives orders to endpoints."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from hemlockhall_router.membership.hosts import Membership
    from hemlockhall_router.process.lease import Lease

# Seconds between tries to acquire or renew the lease.
ACQUIRE_INTERVAL_S = 1.0
RENEW_RETRY_S = 0.2
# Seconds without an answer of the store, and without a host that holds the lease,
# from which one host plans without it: as long as the lease lasts.
FALLBACK_AFTER_S = 3.0


class Leadership:
    """Whether this host plans.

    The holder of the lease does. While the store is away nobody can acquire
    it, and a holder that ends or dies then would leave lost layers unreplaced
    for as long as the outage lasts: the copy they belong to serves nothing. The
    first of the live hosts by name therefore stands in. Two of them, cut off
    from each other, could give contrary orders; that costs loads but harms
    nothing, as each order names the number of orders that it follows, and the
    endpoint refuses it if that has passed.
    """

    def __init__(self, lease: Lease, membership: Membership) -> None:
        self._lease = lease
        self._membership = membership
        self._next_attempt = 0.0
        self._fallback = False
        self._leaving = False

    async def may_plan(self) -> bool:
        """Return whether this host may give orders now."""
        lease, now = self._lease, time.monotonic()
        peer_fence = self._membership.newest_fence()
        if lease.fence and peer_fence > lease.fence:
            lease.mark_lost("another host holds a newer one")
        if lease.fence:
            if lease.renewal_due and now >= self._next_attempt:
                self._next_attempt = now + RENEW_RETRY_S
                await lease.acquire_or_renew()
            return lease.fence > 0
        if peer_fence or (self._leaving and self._membership.has_active_peer()):
            self._set_fallback(False)
            return False
        if not self._membership.is_hub:
            # Hubs are enough: a try of each host costs a call to the store.
            self._set_fallback(False)
            return False
        if now >= self._next_attempt:
            self._next_attempt = now + ACQUIRE_INTERVAL_S
            await lease.acquire_or_renew()
        if not lease.fence:
            self._set_fallback(self._should_fall_back(now))
        return lease.fence > 0 or self._fallback

    async def resign(self) -> None:
        """Leave planning to another host; go on while there is none."""
        self._leaving = True
        if self._membership.has_active_peer():
            await self._lease.release()

    def _should_fall_back(self, now: float) -> bool:
        unreachable_since = self._lease.unreachable_since
        if unreachable_since is None or now - unreachable_since < FALLBACK_AFTER_S:
            return False
        return self._membership.has_lowest_name()

    def _set_fallback(self, wanted: bool) -> None:
        if wanted == self._fallback:
            return
        self._fallback = wanted
        event = "planning without the lease" if wanted else "planning left to the lease"
        logger.warning(event)


__all__ = [
    "Leadership",
]
