"""Rebalancing: orders that add redundancy to a group or free memory for requests.

They never take layers out of service.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hemlockhall_router.version.coverage import Coverage
from hemlockhall_router.version.endpoint import LayerRange
from hemlockhall_router.version.repair import select_spares
from hemlockhall_router.version.target import choose_fill, fastest_first, target_size

if TYPE_CHECKING:
    from hemlockhall_router.version.member import Member
    from hemlockhall_router.version.routing import Model

# Orders for one group in one plan beyond which its members that hold layers get no
# more. All loads share the weight store, and the next repair must not wait for too many
# of them.
MAX_REBALANCE_ORDERS = 4
# Fill fraction of a member above which empty or redundant members load its excess
# layers. Up to here it has memory for more than half as many requests as a member at
# DEFAULT_FILL.
RELIEF_FILL = 0.8


def rebalance_group(
    model: Model, group: list[Member], *, only_empty: bool = False
) -> dict[str, LayerRange]:
    """Return orders that add redundancy or free memory, by endpoint id.

    With ``only_empty`` only members that hold no layers get orders.
    """
    fill = choose_fill(model, group)
    coverage = Coverage(model, group)
    retained = Coverage.retained(model, group)
    orders: dict[str, LayerRange] = {}
    for member in fastest_first(model, group):
        size = target_size(model, member, fill)
        if member.locked or (only_empty and member.assigned is not None):
            continue
        if member.assigned is None:
            layers = least_covered_range(coverage, group, size, model.layers)
        elif member.assigned.size < size:
            layers = _grow_range(coverage, member.assigned, size, model.layers)
        elif member.assigned.size > size:
            layers = _shrink_range(retained, member, size)
            if (
                layers == member.assigned
                and member.fill_fraction > RELIEF_FILL
                and not orders
            ):
                relief = _relieve(model, member, size, group)
                if relief:
                    return relief
        else:
            continue
        if layers == member.assigned:
            continue
        if member.assigned is not None and len(orders) >= MAX_REBALANCE_ORDERS:
            continue
        # Count the order at once, so that two members that hold the same layers
        # do not both drop them.
        if member.retained is not None:
            retained.add(member.retained, -1)
        if member.assigned is not None:
            coverage.add(member.assigned, -1)
        coverage.add(layers)
        member.assigned = layers
        if member.retained is not None:
            retained.add(member.retained)
        orders[member.endpoint.id] = layers
    return orders


def _relieve(
    model: Model, overfull: Member, size: int, group: list[Member]
) -> dict[str, LayerRange]:
    """Return orders to load the excess layers of an overfull member, if any.

    Empty or redundant members load them. The overfull member took them over from a lost
    endpoint and has memory left for few requests, which limits the whole copy of the
    model. It drops them in a later plan.
    """
    assert overfull.assigned is not None
    excess = LayerRange(overfull.assigned.first, overfull.assigned.end - size)
    if overfull.assigned.first == 0:
        excess = LayerRange(size, overfull.assigned.end)
    others = [member for member in group if member is not overfull]
    selected = select_spares(model, excess, others)
    if not selected or sum(member.max_layers for member in selected) < excess.size:
        return {}
    orders: dict[str, LayerRange] = {}
    first = excess.first
    for member in selected:
        end = min(excess.end, first + member.max_layers)
        orders[member.endpoint.id] = LayerRange(first, end)
        first = end
    return orders


def least_covered_range(
    coverage: Coverage, group: list[Member], size: int, layers: int
) -> LayerRange:
    """Return the range of ``size`` layers where one more holder helps most.

    Only ranges at either end of the model are considered, and those that begin or end
    where a present one does or where the number of holders changes: the new range can
    then make a present holder redundant.
    """
    starts = {0, layers - size}
    for member in group:
        if member.assigned is not None:
            starts.add(min(member.assigned.first, layers - size))
            starts.add(max(0, member.assigned.end - size))
    for layer in range(1, layers):
        if coverage.counts[layer] != coverage.counts[layer - 1]:
            starts.add(min(layer, layers - size))
            starts.add(max(0, layer - size))

    def gain(start: int) -> tuple[float, int]:
        return (coverage.redundancy_gain(start, start + size), -start)

    first = max(sorted(starts), key=gain)
    return LayerRange(first, first + size)


def _grow_range(
    coverage: Coverage, assigned: LayerRange, size: int, layers: int
) -> LayerRange:
    """Extend a range to ``size`` layers, each on the side with fewer holders."""
    first, end = assigned.first, assigned.end
    while end - first < size:
        before = coverage.redundancy_gain(first - 1, first) if first > 0 else -1.0
        after = coverage.redundancy_gain(end, end + 1) if end < layers else -1.0
        if before > after:
            first -= 1
        else:
            end += 1
    return LayerRange(first, end)


def _shrink_range(coverage: Coverage, member: Member, size: int) -> LayerRange:
    """Shrink a range towards ``size`` by edge layers that other members hold too."""
    assert member.assigned is not None
    first, end = member.assigned.first, member.assigned.end
    while end - first > size and coverage.counts[first] > 1:
        if first == 0 and not coverage.can_spare_first_layer():
            break
        first += 1
    while end - first > size and coverage.counts[end - 1] > 1:
        end -= 1
    return LayerRange(first, end)


__all__ = [
    "rebalance_group",
    "least_covered_range",
]
