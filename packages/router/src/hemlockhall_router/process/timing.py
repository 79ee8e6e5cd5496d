"""Intervals and timeouts that follow from the bounds of the deployment."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hemlockhall_router.process.setting import BoundsSection

# Each is the smaller one of what serves callers best and of a part of the bound
# that it answers.
# Between two rounds of messages between hosts, and its part of the time in which
# a configuration must be in force.
ROUND_S = 0.25
ROUND_PART = 0.125
# Silence after which a host counts as dead. A change has still to arrive in time
# when its hub dies just before, so the next hub and one call to the store must
# fit beside it.
DEAD_S = 1.0
DEAD_PART = 0.5
# Age of what is known of the store from which a host asks it itself.
STALE_PART = 0.9
# Pause after a change before the next call to the store: changes come in groups,
# and each call is billed.
BATCH_S = 0.4
BATCH_PART = 0.2
# One call for changes waits at the store for this many times the time in which a
# configuration must be in force, if all hosts follow the store.
FEED_WAIT_PARTS = 2.5
FEED_ALONE_PARTS = 1.25
# Reading a whole table.
READ_S = 1.5
READ_PART = 0.75
# Lost contact with the store that still excuses missing entries of endpoints, in
# heartbeats of these.
OUTAGE_BEATS = 2.5
# All endpoints that live appear within one heartbeat, and some delay.
SETTLE_BEATS = 1.25
# After an endpoint began to leave its streams go on elsewhere, in groups.
MOVE_S = 0.8
MOVE_PART = 0.4
MOVE_AGAIN_S = 0.25
MOVE_AGAIN_PART = 0.125
ASK_AGAIN_S = 0.7
ASK_AGAIN_PART = 0.35


@dataclass(slots=True)
class Timing:
    """Times in seconds; ``bounds`` may be replaced while the process runs."""

    bounds: BoundsSection

    @property
    def gossip_interval_s(self) -> float:
        """Between two rounds of messages between hosts."""
        return min(ROUND_S, self._config_s * ROUND_PART)

    @property
    def host_timeout_s(self) -> float:
        """Silence after which a host counts as dead."""
        return min(DEAD_S, self._config_s * DEAD_PART)

    @property
    def max_staleness_s(self) -> float:
        """Age of a copy from which a host asks the store itself."""
        return self._config_s * STALE_PART

    @property
    def debounce_s(self) -> float:
        """Pause after a change before the next call to the store."""
        return min(BATCH_S, self._config_s * BATCH_PART)

    @property
    def long_poll_alone_s(self) -> float:
        """Wait of a call for changes while no other host is heard."""
        return self._config_s * FEED_ALONE_PARTS

    @property
    def long_poll_s(self) -> float:
        """Wait of a call for changes while others would pass changes on."""
        return self._config_s * FEED_WAIT_PARTS

    @property
    def read_timeout_s(self) -> float:
        """Time for reading a whole table."""
        return min(READ_S, self._config_s * READ_PART)

    @property
    def entry_grace_s(self) -> float:
        """Time since losing the store that excuses missing entries."""
        return self.bounds.heartbeat_ms / 1000 * OUTAGE_BEATS

    @property
    def settle_time_s(self) -> float:
        """Time without a new endpoint before the first plan."""
        return self.bounds.heartbeat_ms / 1000 * SETTLE_BEATS

    @property
    def move_delay_s(self) -> float:
        """Time after which the streams of a leaving endpoint go on elsewhere."""
        return min(MOVE_S, self._drain_s * MOVE_PART)

    @property
    def move_interval_s(self) -> float:
        """Time between two groups of streams that go on elsewhere."""
        return min(MOVE_AGAIN_S, self._drain_s * MOVE_AGAIN_PART)

    @property
    def move_retry_s(self) -> float:
        """Time before a stream that found no room elsewhere is asked again."""
        return min(ASK_AGAIN_S, self._drain_s * ASK_AGAIN_PART)

    @property
    def _config_s(self) -> float:
        return self.bounds.config_ms / 1000

    @property
    def _drain_s(self) -> float:
        return self.bounds.drain_ms / 1000


__all__ = [
    "Timing",
]
