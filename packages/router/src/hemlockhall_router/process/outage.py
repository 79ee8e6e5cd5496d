"""Whether entries of endpoints that vanished may come back."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from hemlockhall_router.process.timing import Timing
    from hemlockhall_router.process.watch import Watch

# Seconds for which a host has followed the store before it can say that entries
# are missing for good.
STEADY_S = 1.0
# Seconds for which entries that lapsed while the store was away may still
# come back after its return; the platform names two, the rest is its lag.
RETURN_S = 2.2


class StoreOutage:
    """What this host's loss of the store says about missing entries.

    Parameters
    ----------
    watch : Watch
        The copy of the table of endpoints.
    others_steady : callable
        Returns whether a live host has had the store all the while.
    timing : Timing
        How long a loss of the store counts.
    """

    def __init__(
        self, watch: Watch, others_steady: Callable[[], bool], timing: Timing
    ) -> None:
        self._watch = watch
        self._others_steady = others_steady
        self._timing = timing

    @property
    def store_stable(self) -> bool:
        """Whether this host has the store and has not lost it lately."""
        watch = self._watch
        if not watch.connected or self._lost_lately():
            return False
        # One that took over a moment ago cannot tell what was before.
        return time.monotonic() - watch.regained_at > STEADY_S

    def grace_deadline(self) -> float:
        """Return the monotonic time until which entries may come back, or 0.

        Endpoints that could not reach the store while it was down lapse there
        although they live. If only this host lost it, the endpoints did not,
        and a missing entry means that the endpoint left. Kept in use, it would
        get requests long after the other hosts have dropped it. One host that
        had the store all the while is enough to tell the two apart.
        """
        watch = self._watch
        if self._others_steady():
            return 0.0
        if not watch.connected:
            return time.monotonic() + RETURN_S
        if not self._lost_lately():
            return 0.0
        return max(watch.regained_at, watch.lost_at) + RETURN_S

    def _lost_lately(self) -> bool:
        lost_at = self._watch.lost_at
        return (
            lost_at > 0.0 and time.monotonic() - lost_at <= self._timing.entry_grace_s
        )


__all__ = [
    "RETURN_S",
    "StoreOutage",
]
