"""How many hosts there are at most, for shares that must add up."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hemlockhall_router.membership.message import DataCentre

# Hosts assumed until others are heard: a host that believed itself alone would
# spend the whole allowance of repeats.
UNKNOWN_HOSTS = 8
# Seconds for which a data centre counts with the most hosts that it had.
MEMORY_S = 60.0


class Count:
    """The most hosts of each data centre lately.

    Hosts that are cut off from each other must not share out anew what all of
    them have together, so a data centre that is not heard at all keeps its last
    number.
    """

    def __init__(self) -> None:
        self._least = UNKNOWN_HOSTS
        self._most: dict[str, tuple[int, float]] = {}

    def at_least(self, hosts: int) -> None:
        """Take the number of entries in the table of hosts."""
        self._least = max(1, hosts)

    def hosts(self, places: list[DataCentre], now: float) -> int:
        """Return the most hosts that may be there."""
        for place in places:
            most, deadline = self._most.get(place.name, (0, 0.0))
            if place.hosts >= most or now >= deadline:
                self._most[place.name] = (place.hosts, now + MEMORY_S)
        seen = sum(most for most, _ in self._most.values())
        return max(1, self._least if len(places) <= 1 else 0, seen)


__all__ = [
    "Count",
]
