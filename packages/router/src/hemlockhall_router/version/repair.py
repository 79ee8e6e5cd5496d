"""Repair: ways to close a coverage gap of a group."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hemlockhall_router.version.coverage import Coverage
from hemlockhall_router.version.endpoint import LayerRange

if TYPE_CHECKING:
    from hemlockhall_router.version.member import Member
    from hemlockhall_router.version.routing import Model


def fill_by_growth(
    gap: LayerRange, group: list[Member], fill: float
) -> dict[str, LayerRange]:
    """Extend the members next to a gap into it, or return no orders.

    One member is extended, or one on each side, which then load at the same time. Each
    fills at most the fraction ``fill`` of its memory. No layers go out of service.
    """
    holding = [member for member in group if member.assigned is not None]
    before = _neighbour_before(holding, gap.first, [])
    after = _neighbour_after(holding, gap.end, [])
    spare_before = before.spare_layers_at(fill) if before is not None else 0
    spare_after = after.spare_layers_at(fill) if after is not None else 0
    if spare_before + spare_after < gap.size:
        return {}
    half = gap.size // 2 if spare_after else gap.size
    split = gap.first + min(spare_before, max(gap.size - spare_after, half))
    orders: dict[str, LayerRange] = {}
    if before is not None and before.assigned is not None and split > gap.first:
        orders[before.endpoint.id] = LayerRange(before.assigned.first, split)
    if after is not None and after.assigned is not None and split < gap.end:
        orders[after.endpoint.id] = LayerRange(split, after.assigned.end)
    return orders


def fill_by_spares(
    model: Model, gap: LayerRange, group: list[Member]
) -> dict[str, LayerRange]:
    """Move empty or redundant members into a gap, or return no orders.

    They load only the gap, which is quickest, and grow later. A member drops layers
    once the last stream on it has ended, so small members are preferred: they carry
    fewer streams, and several of them load at the same time.
    """
    chosen = select_spares(model, gap, group)
    total = sum(member.max_layers for member in chosen)
    if total < gap.size:
        return {}
    orders: dict[str, LayerRange] = {}
    first = gap.first
    cumulative = 0
    for member in chosen:
        cumulative += member.max_layers
        end = min(
            gap.first + round(gap.size * cumulative / total), first + member.max_layers
        )
        if end > first:
            orders[member.endpoint.id] = LayerRange(first, end)
        first = max(first, end)
    return orders if first >= gap.end else {}


def select_spares(model: Model, gap: LayerRange, group: list[Member]) -> list[Member]:
    """Return empty and redundant members to fill a gap: empty, then smallest first.

    Their memory may be less than the gap needs.
    """
    # Layers that another member is still loading do not make their holder redundant.
    coverage = Coverage.retained(model, group)
    chosen: list[Member] = []
    total = 0
    while total < gap.size:
        candidates = []
        for member in group:
            if member.locked or member in chosen:
                continue
            if member.assigned is None or coverage.is_redundant(member):
                candidates.append(member)
        if not candidates:
            break
        member = min(candidates, key=_spare_cost)
        if member.retained is not None:
            coverage.add(member.retained, -1)
        chosen.append(member)
        total += member.max_layers
    return chosen


def _spare_cost(member: Member) -> tuple[bool, int, str]:
    return (member.assigned is not None, member.capacity, member.endpoint.id)


def fill_by_shifting(
    model: Model, gap: LayerRange, holding: list[Member]
) -> dict[str, LayerRange]:
    """Shift the nearest members on both sides of a gap into it, or return no orders.

    Members next to the gap move into it and those behind them follow, so that few
    layers are loaded and the rest of the copy stays in service. Redistributing all
    layers would take the whole copy out of service.
    """
    left: list[Member] = []
    right: list[Member] = []
    first, end = gap.first, gap.end
    while sum(member.spare_layers for member in (*left, *right)) < gap.size:
        before = _neighbour_before(holding, first, left + right) if first > 0 else None
        after = (
            _neighbour_after(holding, end, left + right) if end < model.layers else None
        )
        if before is None and after is None:
            return {}
        prefer_left = len(left) <= len(right)
        if before is not None and (prefer_left or after is None):
            assert before.assigned is not None
            left.insert(0, before)
            first = before.assigned.first
        elif after is not None:
            assert after.assigned is not None
            right.append(after)
            end = after.assigned.end
    return _distribute(LayerRange(first, end), gap, left, right)


def _neighbour_before(
    holding: list[Member], layer: int, excluded: list[Member]
) -> Member | None:
    """Return the member with the most spare memory that holds up to ``layer``."""
    candidates = []
    for member in holding:
        assigned = member.assigned
        if (
            assigned
            and assigned.first < layer <= assigned.end
            and member not in excluded
        ):
            candidates.append(member)
    return max(candidates, key=_spare_layers, default=None)


def _neighbour_after(
    holding: list[Member], layer: int, excluded: list[Member]
) -> Member | None:
    """Return the member with the most spare memory that holds ``layer``."""
    candidates = []
    for member in holding:
        assigned = member.assigned
        if (
            assigned
            and assigned.first <= layer < assigned.end
            and member not in excluded
        ):
            candidates.append(member)
    return max(candidates, key=_spare_layers, default=None)


def _distribute(
    span: LayerRange, gap: LayerRange, left: list[Member], right: list[Member]
) -> dict[str, LayerRange]:
    """Return orders for the members around a gap that shift into it.

    ``span`` is what they hold together, with the gap. The layers of the gap are
    distributed in proportion to spare layers.
    """
    members = left + right
    total = sum(member.spare_layers for member in members)
    orders: dict[str, LayerRange] = {}
    first = span.first
    cumulative = 0
    gained_total = 0
    position = span.first
    for member in members:
        assert member.assigned is not None
        if member in right and position < gap.end:
            position = gap.end
        size = _own_size(member, position, left, right, gap)
        position += size
        cumulative += member.spare_layers
        gained = round(gap.size * cumulative / total) - gained_total
        gained_total += gained
        layers = LayerRange(first, first + size + gained)
        first = layers.end
        if layers != member.assigned and layers.size > 0:
            orders[member.endpoint.id] = layers
    return orders


def _own_size(
    member: Member,
    start: int,
    left: list[Member],
    right: list[Member],
    gap: LayerRange,
) -> int:
    """Return how many layers from ``start`` on count as a member's own.

    Layers that two members hold count for the one nearer to the gap.
    """
    assert member.assigned is not None
    side = left if member in left else right
    index = side.index(member)
    end = member.assigned.end
    if member in left:
        end = gap.first
        if index + 1 < len(side):
            next_assigned = side[index + 1].assigned
            assert next_assigned is not None
            end = next_assigned.first
    return max(0, end - start)


def _spare_layers(member: Member) -> int:
    return member.spare_layers


__all__ = [
    "fill_by_growth",
    "fill_by_shifting",
    "fill_by_spares",
    "select_spares",
]
