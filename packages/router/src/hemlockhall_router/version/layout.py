"""Which endpoint should hold which layers.

Each data centre that has the memory holds a whole copy, because activations
of a prompt fill the links between data centres. Layers are shared out in
proportion to memory, so that every endpoint keeps the same part of its memory
for requests.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hemlockhall_router.version.endpoint import LayerRange
from hemlockhall_router.version.member import FULL, Member
from hemlockhall_router.version.repair import fill_by_neighbours

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hemlockhall_router.version.endpoint import Endpoint
    from hemlockhall_router.version.routing import Model

# Memory of a group against that of one copy below which the group does not
# stand alone: what is left over holds requests.
GROUP_ROOM = 1.2
# Filling from which an endpoint gives up layers that another one holds too.
TIGHT = 0.65


def plan(
    model: Model, endpoints: Iterable[Endpoint], held: dict[str, LayerRange | None]
) -> dict[str, LayerRange]:
    """Return the layers that endpoints should be ordered to hold.

    Parameters
    ----------
    model : Model
        The model that all of them run.
    endpoints : iterable of Endpoint
        Those that live and are not leaving.
    held : dict
        By endpoint id, what it holds or was just ordered to hold.
    """
    members = []
    for endpoint in endpoints:
        capacity = model.capacity(endpoint.accelerator)
        if capacity > 0:
            members.append(Member(endpoint, capacity, held.get(endpoint.id)))
    found = groups(model, members)
    whole = [not _broken(model, group) for group in found]
    orders: dict[str, LayerRange] = {}
    for index, group in enumerate(found):
        others = whole[:index] + whole[index + 1 :]
        # Sharing a group's layers out anew takes it out of service. If that
        # were the last whole copy's turn, nothing would be served meanwhile.
        rebuild = any(others) or not any(whole)
        orders.update(plan_group(model, group, rebuild=rebuild))
    return orders


def _broken(model: Model, group: list[Member]) -> bool:
    return bool(holes(model, [member for member in group if member.held]))


def groups(model: Model, members: list[Member]) -> list[list[Member]]:
    """Split members into groups that each hold a copy.

    A data centre stands alone if its memory suffices; the others together
    form one group, which joins the largest one if it still has too little.
    """
    by_place: dict[str, list[Member]] = {}
    for member in sorted(members, key=lambda member: member.endpoint.id):
        by_place.setdefault(member.endpoint.data_centre, []).append(member)
    alone: list[list[Member]] = []
    rest: list[Member] = []
    for place in sorted(by_place):
        group = by_place[place]
        if _capacity(group) >= model.layers * GROUP_ROOM:
            alone.append(group)
        else:
            rest += group
    if _capacity(rest) >= model.layers * GROUP_ROOM or (rest and not alone):
        alone.append(rest)
    return alone


def _capacity(members: list[Member]) -> int:
    return sum(member.capacity for member in members)


def plan_group(
    model: Model, group: list[Member], *, rebuild: bool = True
) -> dict[str, LayerRange]:
    """Return the orders that complete and balance one group's copy.

    Parameters
    ----------
    model : Model
        The model.
    group : list of Member
        Those that hold a copy together; brought up to date with the orders.
    rebuild : bool
        Whether all layers may be shared out anew if nothing else helps.
    """
    empty = [member for member in group if member.held is None]
    holding = [member for member in group if member.held is not None]
    if not holding:
        return share_out(model, group)
    orders: dict[str, LayerRange] = {}
    missing = holes(model, holding)
    total = sum(hole.size for hole in missing)
    if total > model.layers // 2:
        return _changes(share_out(model, group), group)
    for hole in missing:
        found = _fill_by_empty(model, hole, empty, group)
        found = found or fill_by_neighbours(model, hole, holding)
        if not found and rebuild:
            return _changes(share_out(model, group), group)
        orders.update(found)
        _apply(group, found)
        empty = [member for member in group if member.held is None]
    if missing:
        return orders
    for member in empty:
        found = _relieve(model, member, group)
        orders.update(found)
        _apply(group, found)
    if not orders:
        orders.update(_give_up(model, holding))
    return orders


def share_out(model: Model, group: list[Member]) -> dict[str, LayerRange]:
    """Share all layers out in proportion to capacity.

    The present order of the members is kept, so that few layers move.
    """

    def place(member: Member) -> tuple[int, str]:
        first = member.held.first if member.held else model.layers
        return (first, member.endpoint.id)

    ordered = sorted(group, key=place)
    total = _capacity(ordered)
    if total < model.layers:
        return {}
    orders: dict[str, LayerRange] = {}
    first = 0
    passed = 0
    for member in ordered:
        passed += member.capacity
        end = round(model.layers * passed / total)
        end = min(end, first + member.capacity)
        if end > first:
            orders[member.endpoint.id] = LayerRange(first, end)
        first = max(first, end)
    return orders


def holes(model: Model, holding: list[Member]) -> list[LayerRange]:
    """Return the ranges that nobody holds."""
    ranges = [member.held for member in holding if member.held is not None]
    ranges.sort(key=lambda held: held.first)
    found: list[LayerRange] = []
    reached = 0
    for held in ranges:
        if held.first > reached:
            found.append(LayerRange(reached, held.first))
        reached = max(reached, held.end)
    if reached < model.layers:
        found.append(LayerRange(reached, model.layers))
    return found


def _changes(
    wanted: dict[str, LayerRange], group: list[Member]
) -> dict[str, LayerRange]:
    held = {member.endpoint.id: member.held for member in group}
    return {key: layers for key, layers in wanted.items() if held[key] != layers}


def _apply(group: list[Member], orders: dict[str, LayerRange]) -> None:
    for member in group:
        member.held = orders.get(member.endpoint.id, member.held)


def _fair(model: Model, member: Member, group: list[Member]) -> int:
    return max(1, round(model.layers * member.capacity / _capacity(group)))


def _fill_by_empty(
    model: Model, hole: LayerRange, empty: list[Member], group: list[Member]
) -> dict[str, LayerRange]:
    """Let empty endpoints take a hole; each takes at least its fair share."""
    orders: dict[str, LayerRange] = {}
    first = hole.first
    for member in sorted(empty, key=lambda member: -member.capacity):
        if first >= hole.end:
            break
        most = max(1, int(member.capacity * FULL))
        end = min(hole.end, first + most)
        size = max(end - first, min(_fair(model, member, group), most))
        start = max(0, min(first, model.layers - size))
        if hole.end - hole.first < size:
            # Widen to both sides, which relieves both neighbours.
            start = max(0, first - (size - (end - first)) // 2)
            start = min(start, model.layers - size)
        orders[member.endpoint.id] = LayerRange(start, start + size)
        first = start + size
    return orders if first >= hole.end else {}


def _relieve(
    model: Model, member: Member, group: list[Member]
) -> dict[str, LayerRange]:
    """Give an empty endpoint layers of the endpoint with the least memory left."""
    holding = [other for other in group if other.held is not None]
    tightest = max(holding, key=lambda other: other.filling)
    assert tightest.held is not None
    size = min(_fair(model, member, group), model.layers)
    middle = (tightest.held.first + tightest.held.end) // 2
    start = max(0, min(middle - size // 2, model.layers - size))
    return {member.endpoint.id: LayerRange(start, start + size)}


def _give_up(model: Model, holding: list[Member]) -> dict[str, LayerRange]:
    """Let one tight endpoint give up layers at its edges that others hold."""
    for member in sorted(holding, key=lambda member: -member.filling):
        if member.filling <= TIGHT or member.held is None:
            break
        others = [other for other in holding if other is not member]
        target = max(1, int(member.capacity * TIGHT))
        first, end = member.held.first, member.held.end
        while end - first > target and _covered(first, others):
            first += 1
        while end - first > target and _covered(end - 1, others):
            end -= 1
        if (first, end) != (member.held.first, member.held.end):
            return {member.endpoint.id: LayerRange(first, end)}
    return {}


def _covered(layer: int, members: list[Member]) -> bool:
    for member in members:
        if member.held and member.held.first <= layer < member.held.end:
            return True
    return False


__all__ = [
    "groups",
    "holes",
    "plan",
    "plan_group",
    "share_out",
]
