"""An endpoint as a member of a group that holds copies of the model."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hemlockhall_router.version.endpoint import LayerRange

if TYPE_CHECKING:
    from hemlockhall_router.version.endpoint import Endpoint

# Part of an endpoint's memory that layers fill in calm times. More holds more
# layers a second time, so that a loss interrupts less; less holds more requests.
DEFAULT_FILL = 0.7
# The same while layers of a lost endpoint are taken over: room for a few requests
# until others have taken their part.
MAX_FILL = 0.92


@dataclass(slots=True)
class Member:
    """An endpoint of a group: what it may hold, and what it holds.

    ``held`` counts orders under way as carried out, ``serving`` does not.
    ``fixed`` tells that it takes no other order now.
    """

    endpoint: Endpoint
    capacity: int
    assigned: LayerRange | None
    serving: LayerRange | None = None
    locked: bool = False

    @property
    def retained(self) -> LayerRange | None:
        """The layers that it serves now and after the orders under way."""
        if self.assigned is None or self.serving is None:
            return None
        first = max(self.assigned.first, self.serving.first)
        return LayerRange(first, max(first, min(self.assigned.end, self.serving.end)))

    @property
    def fill_fraction(self) -> float:
        """Part of the memory that layers fill."""
        return self.assigned.size / self.capacity if self.assigned else 0.0

    @property
    def max_layers(self) -> int:
        """Layers that it holds at most."""
        return max(1, int(self.capacity * MAX_FILL))

    @property
    def spare_layers(self) -> int:
        """Layers of others that it can take over beside its own."""
        return self.spare_layers_at(MAX_FILL)

    def spare_layers_at(self, fill: float) -> int:
        """Return how many it can take over until a part of its memory is full."""
        if self.assigned is None or self.locked:
            return 0
        return max(0, int(self.capacity * fill) - self.assigned.size)


__all__ = [
    "DEFAULT_FILL",
    "MAX_FILL",
    "Member",
]
