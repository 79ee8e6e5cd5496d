"""Which endpoint should hold which layers.

Each data centre that has the memory holds a whole copy, because activations
of a prompt fill the links between data centres. Layers are shared out in
proportion to memory, so that every endpoint keeps the same part of its memory
for requests.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hemlockhall_router.version.endpoint import LayerRange

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hemlockhall_router.version.endpoint import Endpoint
    from hemlockhall_router.version.routing import Model

# Memory of a group against that of one copy below which the group does not
# stand alone: what is left over holds requests.
GROUP_ROOM = 1.2
# Part of an endpoint's memory that layers may fill when a neighbour's layers
# have to be taken over; the rest holds a few requests.
FULL = 0.8
# Filling from which an endpoint gives up layers that another one holds too.
TIGHT = 0.65


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
        found = found or _fill_by_neighbours(model, hole, holding)
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


def _fill_by_neighbours(
    model: Model, hole: LayerRange, holding: list[Member]
) -> dict[str, LayerRange]:
    """Let the nearest holders on both sides take a hole, each a little.

    Holders next to the hole move towards it, and those behind them follow, so
    that few layers are loaded and the rest of the copy stays where it is.
    Sharing all layers out anew would take the whole copy out of service.
    """
    left: list[Member] = []
    right: list[Member] = []
    first, end = hole.first, hole.end
    while sum(_room(member) for member in (*left, *right)) < hole.size:
        before = _ending(holding, first, left + right) if first > 0 else None
        after = _starting(holding, end, left + right) if end < model.layers else None
        if before is None and after is None:
            return {}
        nearer_left = len(left) <= len(right)
        if before is not None and (nearer_left or after is None):
            assert before.held is not None
            left.insert(0, before)
            first = before.held.first
        elif after is not None:
            assert after.held is not None
            right.append(after)
            end = after.held.end
    return _spread(LayerRange(first, end), hole, left, right)


def _ending(holding: list[Member], layer: int, taken: list[Member]) -> Member | None:
    """Return the roomiest holder of the layers right before ``layer``."""
    found = []
    for member in holding:
        held = member.held
        if held and held.first < layer <= held.end and member not in taken:
            found.append(member)
    return max(found, key=_room, default=None)


def _starting(holding: list[Member], layer: int, taken: list[Member]) -> Member | None:
    """Return the roomiest holder of the layers from ``layer`` on."""
    found = []
    for member in holding:
        held = member.held
        if held and held.first <= layer < held.end and member not in taken:
            found.append(member)
    return max(found, key=_room, default=None)


def _spread(
    window: LayerRange, hole: LayerRange, left: list[Member], right: list[Member]
) -> dict[str, LayerRange]:
    """Share a window out in order; each takes its part of the hole by its room."""
    chain = left + right
    room = sum(_room(member) for member in chain)
    orders: dict[str, LayerRange] = {}
    first = window.first
    passed = 0
    given = 0
    old = window.first
    for member in chain:
        assert member.held is not None
        if member in right and old < hole.end:
            old = hole.end
        size = _own_size(member, old, left, right, hole)
        old += size
        passed += _room(member)
        take = round(hole.size * passed / room) - given
        given += take
        layers = LayerRange(first, first + size + take)
        first = layers.end
        if layers != member.held and layers.size > 0:
            orders[member.endpoint.id] = layers
    return orders


def _own_size(
    member: Member,
    start: int,
    left: list[Member],
    right: list[Member],
    hole: LayerRange,
) -> int:
    """Return how many layers of the window a holder has from ``start`` on."""
    assert member.held is not None
    chain = left if member in left else right
    index = chain.index(member)
    end = member.held.end
    if member in left:
        end = hole.first
        if index + 1 < len(chain):
            following = chain[index + 1].held
            assert following is not None
            end = following.first
    return max(0, end - start)


def _room(member: Member) -> int:
    """Return how many layers a holder can take over."""
    if member.held is None:
        return 0
    return max(0, int(member.capacity * FULL) - member.held.size)


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
    "Member",
    "groups",
    "holes",
    "plan",
    "plan_group",
    "share_out",
]
