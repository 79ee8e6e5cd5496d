"""Endpoints as members of a group that holds copies of the model."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hemlockhall_router.version.endpoint import LayerRange

if TYPE_CHECKING:
    from hemlockhall_router.version.endpoint import Endpoint

# Fraction of an endpoint's memory that layers normally fill. A higher one holds more
# layers twice, so that a loss interrupts less; a lower one leaves more for requests.
DEFAULT_FILL = 0.7
# Fraction that layers may fill after taking over those of a lost endpoint. It leaves
# memory for a few requests until other members have taken a share.
MAX_FILL = 0.92


@dataclass(slots=True)
class Member:
    """An endpoint of a group, the layers it can hold and those it holds.

    ``capacity`` is the number of layers that fill its memory. ``assigned`` counts
    orders under way as done, ``serving`` does not. A ``locked`` member takes no
    further order now.
    """

    endpoint: Endpoint
    capacity: int
    assigned: LayerRange | None
    serving: LayerRange | None = None
    locked: bool = False

    @property
    def retained(self) -> LayerRange | None:
        """Layers that it serves now and after the orders under way."""
        if self.assigned is None or self.serving is None:
            return None
        first = max(self.assigned.first, self.serving.first)
        return LayerRange(first, max(first, min(self.assigned.end, self.serving.end)))

    @property
    def fill_fraction(self) -> float:
        """Fraction of the memory that assigned layers fill."""
        return self.assigned.size / self.capacity if self.assigned else 0.0

    @property
    def max_layers(self) -> int:
        """Layers that it may hold, which leave memory for a few requests."""
        return max(1, int(self.capacity * MAX_FILL))

    @property
    def spare_layers(self) -> int:
        """Layers that it can take over in addition to its own."""
        return self.spare_layers_at(MAX_FILL)

    def spare_layers_at(self, fill: float) -> int:
        """Return the layers that it can take over up to fill fraction ``fill``."""
        if self.assigned is None or self.locked:
            return 0
        return max(0, int(self.capacity * fill) - self.assigned.size)


__all__ = [
    "DEFAULT_FILL",
    "MAX_FILL",
    "Member",
]
