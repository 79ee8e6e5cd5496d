"""Which new connections of callers this host serves while it has too many."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from hemlockhall_router.process.metric import Metrics

# Time between two measurements of how late the event loop runs.
SAMPLE_INTERVAL_S = 0.05
# Average lateness above which the host is overloaded: each event of a stream waits as
# long, or longer, on its way to the caller.
MAX_LAG_S = 0.05
# Weight of the newest sample. A single stall, as from a large configuration, does not
# raise the average above the limit.
LAG_WEIGHT = 0.1
# Demand of callers, in multiples of the mean of all hosts, above which other hosts can
# take over connections.
MIN_RELATIVE_DEMAND = 1.9
# Change of the fraction of new connections that are served, with each sample, and its
# minimum.
DECREASE_FACTOR = 0.9
INCREASE_STEP = 0.02
MIN_FRACTION = 0.1
# Time after which a new connection is served in any case.
MAX_PAUSE_S = 0.5


class Intake:
    """Closes some new connections unread while this host gets most of them.

    A balancer may send most callers to one host. Callers whose connection is closed
    before their request was read come back at another host.

    Parameters
    ----------
    relative_demand : callable
        Returns this host's demand in multiples of the mean of all hosts; 1.0 if it is
        the only one of its data centre, to which its callers then come back.
    metrics : Metrics
        Counts connections; has gauges of the lateness and the fraction.
    clock : callable
        Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        relative_demand: Callable[[], float],
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._relative_demand = relative_demand
        self._metrics = metrics
        self._clock = clock
        self._lag_s = 0.0
        self._fraction = 1.0
        self._credit = 0.0
        self._accepted_at = float("-inf")
        metrics.add_gauge("loop_lag_seconds", "all", lambda: self._lag_s)
        metrics.add_gauge("connections_fraction", "all", lambda: self._fraction)

    async def run(self) -> None:
        """Measure the event loop's lateness until cancelled."""
        while True:
            due_at = self._clock() + SAMPLE_INTERVAL_S
            await anyio.sleep(SAMPLE_INTERVAL_S)
            self.record_lag(max(0.0, self._clock() - due_at))

    def record_lag(self, lag_s: float) -> None:
        """Record how late the event loop woke up, and adjust the fraction."""
        self._lag_s += LAG_WEIGHT * (lag_s - self._lag_s)
        before = self._fraction
        if self._lag_s <= MAX_LAG_S:
            self._fraction = min(1.0, before + INCREASE_STEP)
        elif self._relative_demand() > MIN_RELATIVE_DEMAND:
            self._fraction = max(MIN_FRACTION, before * DECREASE_FACTOR)
        if (before < 1.0) != (self._fraction < 1.0):
            logger.info(
                "connections closed unread"
                if self._fraction < 1.0
                else "all connections served",
                lag_ms=round(self._lag_s * 1000, 1),
                relative_demand=round(self._relative_demand(), 2),
            )

    def accepts(self) -> bool:
        """Return whether to serve the next new connection."""
        if self._fraction >= 1.0:
            return True
        now = self._clock()
        self._credit = min(1.0, self._credit + self._fraction)
        if self._credit >= 1.0 or now - self._accepted_at > MAX_PAUSE_S:
            self._credit = 0.0
            self._accepted_at = now
            self._metrics.count("connections", "served_while_overloaded")
            return True
        self._metrics.count("connections", "closed_unread")
        return False


__all__ = [
    "Intake",
]
