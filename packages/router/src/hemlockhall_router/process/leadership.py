"""Election of the host that plans the layout."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from hemlockhall_router.membership.hosts import Membership
    from hemlockhall_router.process.lease import Lease

# Time between attempts to acquire the lease.
ACQUIRE_INTERVAL_S = 1.0
# Time between attempts to renew it, from when its renewal is due.
RENEW_RETRY_S = 0.2
# Time without a response of the store, and without a holder of the lease, after which
# one host plans without the lease: the time to live of the lease.
FALLBACK_AFTER_S = 3.0


class Leadership:
    """Decides whether this host plans.

    The holder of the lease plans. While the store is unreachable no host can acquire
    the lease. If the holder ends in such an outage, layers that are lost would leave a
    coverage gap until the store is back, and their replica would serve no requests. The
    live host with the lowest name therefore plans without the lease, as a fallback. In
    a partition two such hosts could send contrary orders. That costs additional loads
    but is safe: an order names the number of orders before it, and the endpoint refuses
    it if it has begun more.
    """

    def __init__(self, lease: Lease, membership: Membership) -> None:
        self._lease = lease
        self._membership = membership
        self._next_attempt = 0.0
        self._fallback = False
        self._leaving = False

    async def may_plan(self) -> bool:
        """Return whether this host may send orders now; renews the lease if due.

        A holder that cannot renew the lease may send orders beyond its expiry, until it
        learns of another version of the row or of a newer fencing token.
        """
        lease, now = self._lease, time.monotonic()
        newest_fence = self._membership.newest_fence()
        if lease.fence and newest_fence > lease.fence:
            lease.mark_lost("another host holds a newer lease")
        if lease.fence:
            if lease.renewal_due and now >= self._next_attempt:
                self._next_attempt = now + RENEW_RETRY_S
                await lease.acquire_or_renew()
            return lease.fence > 0
        if newest_fence or (self._leaving and self._membership.has_active_peer()):
            self._set_fallback(False)
            return False
        if not self._membership.is_hub:
            # Each attempt costs a call to the store, so only hubs try: the few hosts
            # that pass on what the others in their data centre report.
            self._set_fallback(False)
            return False
        if now >= self._next_attempt:
            self._next_attempt = now + ACQUIRE_INTERVAL_S
            await lease.acquire_or_renew()
        if not lease.fence:
            self._set_fallback(self._should_fall_back(now))
        return lease.fence > 0 or self._fallback

    async def resign(self) -> None:
        """Leave planning to another host, or continue while there is none."""
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
