"""How often a group holds each layer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hemlockhall_router.version.endpoint import LayerRange

if TYPE_CHECKING:
    from hemlockhall_router.version.member import Member
    from hemlockhall_router.version.routing import Model


# Holders of the first layer beyond those of others: a request takes a place at its
# first endpoint only, and these have few.
STARTS = 1


def fewest_parts(model: Model, ranges: list[LayerRange]) -> int | None:
    """Return the parts of the shortest path through ranges, or None without one."""
    ordered = sorted(ranges, key=lambda layers: layers.first)
    reached = parts = index = 0
    while reached < model.layers:
        furthest = reached
        while index < len(ordered) and ordered[index].first <= reached:
            furthest = max(furthest, ordered[index].end)
            index += 1
        if furthest == reached:
            return None
        reached = furthest
        parts += 1
    return parts


class Coverage:
    """Counts of the holders of each layer."""

    def __init__(self, model: Model, members: list[Member]) -> None:
        self.counts = [0] * model.layers
        for member in members:
            if member.held is not None:
                self.add(member.held)

    @classmethod
    def kept(cls, model: Model, members: list[Member]) -> Coverage:
        """Count only what is served now and after the orders under way."""
        coverage = cls(model, [])
        for member in members:
            if member.kept is not None:
                coverage.add(member.kept)
        return coverage

    def add(self, layers: LayerRange, count: int = 1) -> None:
        """Count one holder more, or with -1 one less."""
        for layer in range(max(0, layers.first), min(len(self.counts), layers.end)):
            self.counts[layer] += count

    def holes(self) -> list[LayerRange]:
        """Return the ranges that nobody holds."""
        found: list[LayerRange] = []
        first = None
        for layer, count in enumerate([*self.counts, 1]):
            if count == 0 and first is None:
                first = layer
            elif count > 0 and first is not None:
                found.append(LayerRange(first, layer))
                first = None
        return found

    def without(self, member: Member) -> bool:
        """Return whether others hold all layers of a holder counted here too."""
        assert member.held is not None
        kept = member.kept
        for layer in range(member.held.first, member.held.end):
            own = kept is not None and kept.first <= layer < kept.end
            if self.counts[layer] - own < 1:
                return False
        return True

    def need(self, first: int, end: int) -> float:
        """Return how much another holder of a range would help.

        A layer with one holder is lost with it; each further holder helps less.
        """
        helped = sum(0.2**count for count in self.counts[first:end])
        if first <= 0 < end:
            helped += 0.2 ** max(0, self.counts[0] - STARTS) - 0.2 ** self.counts[0]
        return helped

    def starts_spared(self) -> bool:
        """Return whether a holder of the first layer may give it up."""
        return self.counts[0] > 1 + STARTS


__all__ = [
    "Coverage",
    "fewest_parts",
]
