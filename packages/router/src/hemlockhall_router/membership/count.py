"""How many hosts there are at most, for shares that must add up."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hemlockhall_router.membership.message import DataCentre

# Hosts assumed until others are heard: a host that believed itself alone would
# spend the whole allowance of repeats.
ASSUMED_HOSTS = 8
# Seconds for which a data centre counts with the most hosts that it had.
PEAK_TTL_S = 60.0


class HostCount:
    """The most hosts of each data centre lately.

    Hosts that are cut off from each other must not share out anew what all of
    them have together, so a data centre that is not heard at all keeps its last
    number.
    """

    def __init__(self) -> None:
        self._minimum = ASSUMED_HOSTS
        self._peaks: dict[str, tuple[int, float]] = {}

    def set_minimum(self, hosts: int) -> None:
        """Take the number of entries in the table of hosts."""
        self._minimum = max(1, hosts)

    def upper_bound(self, data_centres: list[DataCentre], now: float) -> int:
        """Return the most hosts that may be there."""
        for data_centre in data_centres:
            peak, deadline = self._peaks.get(data_centre.name, (0, 0.0))
            if data_centre.hosts >= peak or now >= deadline:
                self._peaks[data_centre.name] = (data_centre.hosts, now + PEAK_TTL_S)
        total = sum(peak for peak, _ in self._peaks.values())
        return max(1, self._minimum if len(data_centres) <= 1 else 0, total)


__all__ = [
    "HostCount",
]
