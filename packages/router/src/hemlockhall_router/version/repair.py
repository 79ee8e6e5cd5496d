"""Filling of a hole in a copy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hemlockhall_router.version.coverage import Coverage
from hemlockhall_router.version.endpoint import LayerRange

if TYPE_CHECKING:
    from hemlockhall_router.version.member import Member
    from hemlockhall_router.version.routing import Model


def fill_by_growth(
    hole: LayerRange, group: list[Member], fill: float
) -> dict[str, LayerRange]:
    """Let the holders next to a hole take it beside what they hold.

    Nothing goes out of service, and both load at the same time. Each fills at
    most the part ``fill`` of its memory.
    """
    holding = [member for member in group if member.held is not None]
    before = _ending(holding, hole.first, [])
    after = _starting(holding, hole.end, [])
    room_before = before.room_at(fill) if before is not None else 0
    room_after = after.room_at(fill) if after is not None else 0
    if room_before + room_after < hole.size:
        return {}
    half = hole.size // 2 if room_after else hole.size
    cut = hole.first + min(room_before, max(hole.size - room_after, half))
    orders: dict[str, LayerRange] = {}
    if before is not None and before.held is not None and cut > hole.first:
        orders[before.endpoint.id] = LayerRange(before.held.first, cut)
    if after is not None and after.held is not None and cut < hole.end:
        orders[after.endpoint.id] = LayerRange(cut, after.held.end)
    return orders


def fill_by_spares(
    model: Model, hole: LayerRange, group: list[Member]
) -> dict[str, LayerRange]:
    """Let members take a hole that hold nothing, or nothing but what others do.

    They load just the hole, which is quickest, and are grown afterwards. A
    member that gives up layers does so when the last stream there has ended,
    so small ones are preferred: they carry less, and several load at once.
    """
    chosen = spares(model, hole, group)
    room = sum(member.most for member in chosen)
    if room < hole.size:
        return {}
    orders: dict[str, LayerRange] = {}
    first = hole.first
    passed = 0
    for member in chosen:
        passed += member.most
        end = min(hole.first + round(hole.size * passed / room), first + member.most)
        if end > first:
            orders[member.endpoint.id] = LayerRange(first, end)
        first = max(first, end)
    return orders if first >= hole.end else {}


def spares(model: Model, hole: LayerRange, group: list[Member]) -> list[Member]:
    """Return the members that take a hole: empty ones, then the smallest."""
    # Layers that somebody still loads do not make their present holder spare.
    coverage = Coverage.kept(model, group)
    chosen: list[Member] = []
    room = 0
    while room < hole.size:
        free = []
        for member in group:
            if member.fixed or member in chosen:
                continue
            if member.held is None or coverage.without(member):
                free.append(member)
        if not free:
            break
        member = min(free, key=_cost_of_use)
        if member.kept is not None:
            coverage.add(member.kept, -1)
        chosen.append(member)
        room += member.most
    return chosen


def _cost_of_use(member: Member) -> tuple[bool, int, str]:
    return (member.held is not None, member.capacity, member.endpoint.id)


def fill_by_neighbours(
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
    while sum(member.room for member in (*left, *right)) < hole.size:
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
    return max(found, key=_by_room, default=None)


def _starting(holding: list[Member], layer: int, taken: list[Member]) -> Member | None:
    """Return the roomiest holder of the layers from ``layer`` on."""
    found = []
    for member in holding:
        held = member.held
        if held and held.first <= layer < held.end and member not in taken:
            found.append(member)
    return max(found, key=_by_room, default=None)


def _spread(
    window: LayerRange, hole: LayerRange, left: list[Member], right: list[Member]
) -> dict[str, LayerRange]:
    """Share a window out in order; each takes its part of the hole by its room."""
    chain = left + right
    room = sum(member.room for member in chain)
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
        passed += member.room
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


def _by_room(member: Member) -> int:
    return member.room


__all__ = [
    "fill_by_growth",
    "fill_by_neighbours",
    "fill_by_spares",
    "spares",
]
