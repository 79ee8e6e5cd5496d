"""Upper bound of the number of hosts, for dividing limits among them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hemlockhall_router.membership.message import DataCentre

# Hosts assumed until the hosts table was read or a second data centre is known: a
# host that assumed to be alone would spend the whole retry budget.
ASSUMED_HOSTS = 8
# Seconds since a data centre last had its highest host count, after which a lower
# count that it reports is used instead.
PEAK_TTL_S = 60.0


class HostCount:
    """Recent maximum of the host count of each data centre.

    During a network partition each side must not divide the shared limits among
    its own hosts only, so a data centre that is unreachable keeps its last count,
    without a time limit.
    """

    def __init__(self) -> None:
        self._minimum = ASSUMED_HOSTS
        self._peaks: dict[str, tuple[int, float]] = {}
        self._cautious_until: float | None = None

    def set_minimum(self, hosts: int) -> None:
        """Set the lower bound of the result while only one data centre is known.

        ``hosts`` is the number of rows in the hosts table.
        """
        self._minimum = max(1, hosts)

    def upper_bound(self, data_centres: list[DataCentre], now: float) -> int:
        """Return the largest number of hosts that may be running."""
        for data_centre in data_centres:
            peak, deadline = self._peaks.get(data_centre.name, (0, 0.0))
            if data_centre.hosts >= peak or now >= deadline:
                self._peaks[data_centre.name] = (
                    data_centre.hosts,
                    now + PEAK_TTL_S,
                )
        total = self._total()
        return max(1, self._minimum if len(data_centres) <= 1 else 0, total)

    def cautious_bound(self, data_centres: list[DataCentre], now: float) -> int:
        """Return the ``upper_bound``, at first no less than the hosts table has rows.

        This host may have started while other data centres were out of reach. The table
        may have rows of hosts that are gone.
        """
        if self._cautious_until is None:
            self._cautious_until = now + PEAK_TTL_S
        bound = self.upper_bound(data_centres, now)
        if now < self._cautious_until:
            return max(bound, self._minimum)
        return bound

    def unknown(self, data_centres: list[DataCentre], now: float) -> int:
        """Return how many of the ``upper_bound`` are in no known data centre."""
        return self.upper_bound(data_centres, now) - self._total()

    def peak(self, data_centre: str) -> int:
        """Return the recent maximum of a data centre, 1 if it is not known."""
        return self._peaks.get(data_centre, (1, 0.0))[0]

    def _total(self) -> int:
        return sum(peak for peak, _ in self._peaks.values())


__all__ = [
    "HostCount",
]
