"""Grace period for endpoint entries that lapse during a store outage."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from hemlockhall_router.process.timing import Timing
    from hemlockhall_router.process.watch import Watch

# Time of connection to the store after which this host counts as stable: only then
# can it tell that an entry was removed and has not just lapsed.
STABLE_AFTER_S = 1.0
# Time after the store's return in which endpoints renew lapsed entries: the platform
# states 2 s, the rest allows for its delay.
ENTRY_RENEWAL_S = 2.2


class StoreOutage:
    """Decides whether a missing entry may have lapsed during a store outage.

    Parameters
    ----------
    watch : Watch
        Cached copy of the endpoint table.
    peer_store_stable : callable
        Returns whether the ``store_stable`` of a live peer is true.
    timing : Timing
        Source of the entry grace time.
    """

    def __init__(
        self, watch: Watch, peer_store_stable: Callable[[], bool], timing: Timing
    ) -> None:
        self._watch = watch
        self._peer_store_stable = peer_store_stable
        self._timing = timing

    @property
    def store_stable(self) -> bool:
        """Whether this host is connected and has had the store for some time.

        It has been connected for ``STABLE_AFTER_S``, and no call to the store has
        failed within the time ``entry_grace_s``.
        """
        watch = self._watch
        if not watch.connected or self._lost_recently():
            return False
        # A host that connected just now does not know what happened before.
        return time.monotonic() - watch.connected_at > STABLE_AFTER_S

    def grace_deadline(self) -> float:
        """Return the monotonic time until which lapsed entries are kept, or 0.

        It is 0 if a peer is stably connected, or if this host is connected and had no
        failed call within the time ``entry_grace_s``.

        Entries of live endpoints lapse if the endpoints cannot reach the store to
        renew them. If the store was down for this host only, the endpoints could
        renew them, so a missing entry means that the endpoint left. Keeping it
        would send requests there long after the other hosts dropped it. One peer
        with a stable connection to the store is enough to rule out an outage.
        """
        watch = self._watch
        if self._peer_store_stable():
            return 0.0
        if not watch.connected:
            return time.monotonic() + ENTRY_RENEWAL_S
        if not self._lost_recently():
            return 0.0
        return max(watch.connected_at, watch.last_failure_at) + ENTRY_RENEWAL_S

    def _lost_recently(self) -> bool:
        last_failure_at = self._watch.last_failure_at
        return (
            last_failure_at > 0.0
            and time.monotonic() - last_failure_at <= self._timing.entry_grace_s
        )


__all__ = [
    "ENTRY_RENEWAL_S",
    "StoreOutage",
]
