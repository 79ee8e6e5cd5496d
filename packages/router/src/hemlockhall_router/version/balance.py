"""Changes that make a whole copy safer, and interrupt nothing."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hemlockhall_router.version.coverage import Coverage
from hemlockhall_router.version.endpoint import LayerRange
from hemlockhall_router.version.repair import spares
from hemlockhall_router.version.target import fastest_first, target_size, usual_fill

if TYPE_CHECKING:
    from hemlockhall_router.version.member import Member
    from hemlockhall_router.version.routing import Model

# Orders at once that make a whole copy safer; loads share the weight store, and
# the next repair should not have to wait for them.
IMPROVE_AT_ONCE = 4
# Filling from which a spare member is moved to relieve another one: below it the
# tight one has room for more than half of what the others have.
TIGHT = 0.8


def improve_group(
    model: Model, group: list[Member], *, only_empty: bool = False
) -> dict[str, LayerRange]:
    """Return orders that make a whole copy safer; they interrupt nothing."""
    fill = usual_fill(model, group)
    coverage = Coverage(model, group)
    kept = Coverage.kept(model, group)
    orders: dict[str, LayerRange] = {}
    for member in fastest_first(model, group):
        size = target_size(model, member, fill)
        if member.fixed or (only_empty and member.held is not None):
            continue
        if member.held is None:
            layers = weakest(coverage, group, size, model.layers)
        elif member.held.size < size:
            layers = _grown(coverage, member.held, size, model.layers)
        elif member.held.size > size:
            layers = _shrunk(kept, member, size)
            if layers == member.held and member.filling > TIGHT and not orders:
                found = _relief(model, member, size, group)
                if found:
                    return found
        else:
            continue
        if layers == member.held:
            continue
        if member.held is not None and len(orders) >= IMPROVE_AT_ONCE:
            continue
        # Two members that hold the same layers must not both give them up.
        if member.kept is not None:
            kept.add(member.kept, -1)
        if member.held is not None:
            coverage.add(member.held, -1)
        coverage.add(layers)
        member.held = layers
        if member.kept is not None:
            kept.add(member.kept)
        orders[member.endpoint.id] = layers
    return orders


def _relief(
    model: Model, tight: Member, size: int, group: list[Member]
) -> dict[str, LayerRange]:
    """Let a spare member hold the layers that a tight one has too many.

    It took them over from a lost endpoint and has memory for a few requests
    left, which bounds the whole copy. It gives them up in a later step.
    """
    assert tight.held is not None
    excess = LayerRange(tight.held.first, tight.held.end - size)
    if tight.held.first == 0:
        excess = LayerRange(size, tight.held.end)
    others = [member for member in group if member is not tight]
    chosen = spares(model, excess, others)
    if not chosen or sum(member.most for member in chosen) < excess.size:
        return {}
    orders: dict[str, LayerRange] = {}
    first = excess.first
    for member in chosen:
        end = min(excess.end, first + member.most)
        orders[member.endpoint.id] = LayerRange(first, end)
        first = end
    return orders


def weakest(
    coverage: Coverage, group: list[Member], size: int, layers: int
) -> LayerRange:
    """Return the range of a size where another holder helps most.

    Ranges that begin or end where another one does come into question: then
    one of the two can be spared.
    """
    starts = {0, layers - size}
    for member in group:
        if member.held is not None:
            starts.add(min(member.held.first, layers - size))
            starts.add(max(0, member.held.end - size))
    for layer in range(1, layers):
        if coverage.counts[layer] != coverage.counts[layer - 1]:
            starts.add(min(layer, layers - size))
            starts.add(max(0, layer - size))

    def gain(start: int) -> tuple[float, int]:
        return (coverage.need(start, start + size), -start)

    first = max(sorted(starts), key=gain)
    return LayerRange(first, first + size)


def _grown(coverage: Coverage, held: LayerRange, size: int, layers: int) -> LayerRange:
    """Return a range grown layer by layer to the side that needs it more."""
    first, end = held.first, held.end
    while end - first < size:
        before = coverage.need(first - 1, first) if first > 0 else -1.0
        after = coverage.need(end, end + 1) if end < layers else -1.0
        if before > after:
            first -= 1
        else:
            end += 1
    return LayerRange(first, end)


def _shrunk(coverage: Coverage, member: Member, size: int) -> LayerRange:
    """Return a range without layers at its edges that others hold too."""
    assert member.held is not None
    first, end = member.held.first, member.held.end
    while end - first > size and coverage.counts[first] > 1:
        if first == 0 and not coverage.starts_spared():
            break
        first += 1
    while end - first > size and coverage.counts[end - 1] > 1:
        end -= 1
    return LayerRange(first, end)


__all__ = [
    "improve_group",
    "weakest",
]
