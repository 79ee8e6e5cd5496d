"""Intervals and timeouts derived from the time bounds of the deployment."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hemlockhall_router.process.setting import BoundsSection

# Fractions refer to the bound of cached tables, the shorter one of ``config_ms`` and
# ``drain_ms``, and those of moves to ``drain_ms``. A time with a value in seconds as
# well is the smaller of the two: short bounds shorten it.
GOSSIP_INTERVAL_S = 0.25
GOSSIP_INTERVAL_FRACTION = 0.125
# A configuration must arrive within its bound even if a hub (a host that passes on
# what the hosts of its data centre report) dies just before: that leaves time for the
# next hub and one call to the store.
HOST_TIMEOUT_S = 1.0
HOST_TIMEOUT_FRACTION = 0.5
MAX_STALENESS_FRACTION = 0.9
# Changes come in groups, and each call to the store is billed.
DEBOUNCE_S = 0.4
DEBOUNCE_FRACTION = 0.2
# Connections can go silent without an error, those of all hosts at once: then only the
# deadline of a call ends it. A long poll, the rest of its deadline and the pause before
# the next call are together shorter than the bound.
LONG_POLL_FRACTION = 0.5
RESPONSE_TIMEOUT_S = 0.5
RESPONSE_TIMEOUT_FRACTION = 0.25
RETRY_MIN_S = 0.2
RETRY_MIN_FRACTION = 0.1
RETRY_MAX_S = 0.4
RETRY_MAX_FRACTION = 0.2
READ_TIMEOUT_S = 1.5
READ_TIMEOUT_FRACTION = 0.75
# Multiples of ``heartbeat_ms``, at which endpoints renew their entries.
ENTRY_GRACE_HEARTBEATS = 2.5
# All live endpoints appear within one heartbeat and some delay.
SETTLE_HEARTBEATS = 1.25
# The streams of a draining endpoint are moved in groups.
MOVE_DELAY_S = 0.8
MOVE_DELAY_FRACTION = 0.4
MOVE_INTERVAL_S = 0.25
MOVE_INTERVAL_FRACTION = 0.125
MOVE_RETRY_S = 0.7
MOVE_RETRY_FRACTION = 0.35


@dataclass(slots=True)
class Timing:
    """Times in seconds; ``bounds`` is replaced when the settings are reloaded."""

    bounds: BoundsSection

    @property
    def gossip_interval_s(self) -> float:
        """Interval between two rounds in which a host sends its state to others."""
        return min(GOSSIP_INTERVAL_S, self._table_s * GOSSIP_INTERVAL_FRACTION)

    @property
    def host_timeout_s(self) -> float:
        """Time without a message after which a host counts as dead."""
        return min(HOST_TIMEOUT_S, self._table_s * HOST_TIMEOUT_FRACTION)

    @property
    def max_staleness_s(self) -> float:
        """Age of a cached table from which a host polls the store itself."""
        return self._table_s * MAX_STALENESS_FRACTION

    @property
    def debounce_s(self) -> float:
        """Pause after a change before the next long poll."""
        return min(DEBOUNCE_S, self._table_s * DEBOUNCE_FRACTION)

    @property
    def long_poll_s(self) -> float:
        """Longest duration of a long poll."""
        return self._table_s * LONG_POLL_FRACTION

    @property
    def response_timeout_s(self) -> float:
        """Time that a call for changes may take beyond its wait at the store."""
        return min(RESPONSE_TIMEOUT_S, self._table_s * RESPONSE_TIMEOUT_FRACTION)

    @property
    def retry_min_s(self) -> float:
        """Pause after the first failed call to the store."""
        return min(RETRY_MIN_S, self._table_s * RETRY_MIN_FRACTION)

    @property
    def retry_max_s(self) -> float:
        """Longest pause after a failed call of a store watcher."""
        return min(RETRY_MAX_S, self._table_s * RETRY_MAX_FRACTION)

    @property
    def read_timeout_s(self) -> float:
        """Timeout for reading a whole table."""
        return min(READ_TIMEOUT_S, self._table_s * READ_TIMEOUT_FRACTION)

    @property
    def entry_grace_s(self) -> float:
        """Time after losing the store in which missing entries may have lapsed."""
        return self.bounds.heartbeat_ms / 1000 * ENTRY_GRACE_HEARTBEATS

    @property
    def settle_time_s(self) -> float:
        """Time without a new endpoint before the first plan is made."""
        return self.bounds.heartbeat_ms / 1000 * SETTLE_HEARTBEATS

    @property
    def move_delay_s(self) -> float:
        """Delay before the streams of a draining endpoint are moved."""
        return min(MOVE_DELAY_S, self._drain_s * MOVE_DELAY_FRACTION)

    @property
    def move_interval_s(self) -> float:
        """Interval between two groups of moved streams."""
        return min(MOVE_INTERVAL_S, self._drain_s * MOVE_INTERVAL_FRACTION)

    @property
    def move_retry_s(self) -> float:
        """Delay before a stream that found no other path is asked to move again."""
        return min(MOVE_RETRY_S, self._drain_s * MOVE_RETRY_FRACTION)

    @property
    def _table_s(self) -> float:
        """Bound of the age of a cached table, of routing as well as of endpoints."""
        return min(self.bounds.config_ms, self.bounds.drain_ms) / 1000

    @property
    def _drain_s(self) -> float:
        return self.bounds.drain_ms / 1000


__all__ = [
    "Timing",
]
