"""Number of members of a group that hold each layer.

A holder of a layer is a member whose range contains it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hemlockhall_router.version.endpoint import LayerRange

if TYPE_CHECKING:
    from hemlockhall_router.version.member import Member
    from hemlockhall_router.version.routing import Model


# Holders that the first layer should have beyond those of other layers. A request takes
# a slot at its first endpoint only, and an endpoint has few slots.
EXTRA_FIRST_LAYER_HOLDERS = 1


def min_stages(model: Model, ranges: list[LayerRange]) -> int | None:
    """Return the stages of the shortest path through ranges, or None without one."""
    ordered = sorted(ranges, key=lambda layers: layers.first)
    reached = stages = index = 0
    while reached < model.layers:
        furthest = reached
        while index < len(ordered) and ordered[index].first <= reached:
            furthest = max(furthest, ordered[index].end)
            index += 1
        if furthest == reached:
            return None
        reached = furthest
        stages += 1
    return stages


class Coverage:
    """Counts the holders of each layer, by assigned layers."""

    def __init__(self, model: Model, members: list[Member]) -> None:
        self.counts = [0] * model.layers
        for member in members:
            if member.assigned is not None:
                self.add(member.assigned)

    @classmethod
    def retained(cls, model: Model, members: list[Member]) -> Coverage:
        """Count only layers that are served now and after the orders under way."""
        coverage = cls(model, [])
        for member in members:
            if member.retained is not None:
                coverage.add(member.retained)
        return coverage

    def add(self, layers: LayerRange, count: int = 1) -> None:
        """Add ``count`` holders of a range; -1 removes one."""
        for layer in range(max(0, layers.first), min(len(self.counts), layers.end)):
            self.counts[layer] += count

    def gaps(self) -> list[LayerRange]:
        """Return the ranges that no member holds."""
        gaps: list[LayerRange] = []
        first = None
        for layer, count in enumerate([*self.counts, 1]):
            if count == 0 and first is None:
                first = layer
            elif count > 0 and first is not None:
                gaps.append(LayerRange(first, layer))
                first = None
        return gaps

    def is_redundant(self, member: Member) -> bool:
        """Return whether other members hold all layers of a member.

        Valid only for counts made by ``retained``, which count this member's own
        retained layers once.
        """
        assert member.assigned is not None
        retained = member.retained
        for layer in range(member.assigned.first, member.assigned.end):
            own = retained is not None and retained.first <= layer < retained.end
            if self.counts[layer] - own < 1:
                return False
        return True

    def redundancy_gain(self, first: int, end: int) -> float:
        """Return the benefit of one more holder of a range, without a unit.

        The first holder of a layer counts 1, each further one a fifth of the one
        before, since a layer with one holder is lost if that endpoint is. The first
        layer counts as if it had ``EXTRA_FIRST_LAYER_HOLDERS`` fewer.
        """
        gain = sum(0.2**count for count in self.counts[first:end])
        if first <= 0 < end:
            gain += (
                0.2 ** max(0, self.counts[0] - EXTRA_FIRST_LAYER_HOLDERS)
                - 0.2 ** self.counts[0]
            )
        return gain

    def can_spare_first_layer(self) -> bool:
        """Return whether a holder of the first layer may drop it."""
        return self.counts[0] > 1 + EXTRA_FIRST_LAYER_HOLDERS


__all__ = [
    "Coverage",
    "min_stages",
]
