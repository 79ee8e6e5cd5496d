"""An endpoint as a member of a group that holds a copy of the model."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hemlockhall_router.version.endpoint import Endpoint, LayerRange

# Part of an endpoint's memory that layers may fill when a neighbour's layers
# have to be taken over; the rest holds a few requests.
FULL = 0.8


@dataclass(slots=True)
class Member:
    """An endpoint of a group: what it may hold, and what it holds."""

    endpoint: Endpoint
    capacity: int
    held: LayerRange | None

    @property
    def filling(self) -> float:
        """Part of the memory that layers fill."""
        return self.held.size / self.capacity if self.held else 0.0

    @property
    def room(self) -> int:
        """Layers of others that it can take over."""
        if self.held is None:
            return 0
        return max(0, int(self.capacity * FULL) - self.held.size)


__all__ = [
    "FULL",
    "Member",
]
