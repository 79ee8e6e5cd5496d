"""Schedule of the permits of an endpoint that states a request limit.

A permit lets one host send one request. Time is divided into slots, the same for all
hosts, and each slot has a fixed number of permits, so that the permits of all slots
together are those that the limit allows.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, floor
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hemlockhall_router.process.setting import LimitsSection

# Shortest slot in seconds; higher limits have several permits a slot. Each slot costs
# processor time at each host.
MIN_SLOT_S = 0.02
# Highest rate in requests per second, more than all hosts send. It bounds the permits
# that are kept.
MAX_RATE = 10_000.0


@dataclass(slots=True, frozen=True)
class PermitSchedule:
    """Slots of an endpoint with a limit; times are seconds of the shared clock.

    ``permits`` become available at the start of each slot of ``slot_s`` seconds, and
    expire ``validity_s`` after it.
    """

    permits: int
    slot_s: float
    validity_s: float

    @classmethod
    def of(cls, limit: float, cfg: LimitsSection) -> PermitSchedule:
        """Return the schedule for a limit in requests per second."""
        rate = min(MAX_RATE, max(cfg.min_rate, limit))
        permits = ceil(rate * MIN_SLOT_S)
        validity_s = cfg.validity_s + cfg.validity_permits / rate
        return cls(permits, permits / rate, validity_s)

    @property
    def rate(self) -> float:
        """Permits per second."""
        return self.permits / self.slot_s

    def start_of(self, slot: int) -> float:
        """Return the time at which a slot starts."""
        return slot * self.slot_s

    def slots_between(self, after: float, until: float) -> range:
        """Return the slots that start later than ``after``, up to ``until``."""
        return range(floor(after / self.slot_s) + 1, floor(until / self.slot_s) + 1)


__all__ = [
    "PermitSchedule",
]
