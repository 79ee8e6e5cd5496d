"""Which endpoint should hold which layers.

Each data centre that has the memory holds a whole copy, because activations
of a prompt fill the links between data centres; a large one is divided into
replicas that each hold copies of their own. What memory is left holds layers
again: the loss of an endpoint whose layers are held twice interrupts nothing, and
one that is not needed for the copy can take over the layers of another without
taking any out of service.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hemlockhall_router.version.balance import improve_group, weakest
from hemlockhall_router.version.coverage import Coverage, fewest_parts
from hemlockhall_router.version.endpoint import LayerRange
from hemlockhall_router.version.member import FILL, FULL, Member
from hemlockhall_router.version.path import MAX_STAGES
from hemlockhall_router.version.repair import (
    fill_by_growth,
    fill_by_neighbours,
    fill_by_spares,
)
from hemlockhall_router.version.target import (
    capacity,
    fastest_first,
    target_size,
    usual_fill,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hemlockhall_router.version.endpoint import Endpoint
    from hemlockhall_router.version.replica import Replica, ReplicaDivision
    from hemlockhall_router.version.routing import Model

# What the improvements of a group follow from.
GroupState = tuple[
    bool, tuple[tuple[str, LayerRange | None, LayerRange | None, bool], ...]
]

# Memory of a group against that of one copy below which the group does not
# stand alone: what is left over holds requests.
GROUP_ROOM = 1.2


def plan_layout(
    model: Model,
    endpoints: Iterable[Endpoint],
    held: dict[str, LayerRange | None],
    serving: dict[str, LayerRange | None] | None = None,
    fixed: frozenset[str] = frozenset(),
    division: ReplicaDivision | None = None,
    settled: set[GroupState] | None = None,
) -> dict[str, LayerRange]:
    """Return the layers that endpoints should be ordered to hold.

    Orders stand in the order in which they should be given: the fastest endpoints
    of each replica first, which complete its first copy.

    Parameters
    ----------
    model : Model
        The model that all of them run.
    endpoints : iterable of Endpoint
        Those that live and are not leaving.
    held : dict
        By endpoint id, what it holds or was just ordered to hold.
    serving : dict, optional
        By endpoint id, what it holds without the orders under way.
    fixed : frozenset of str
        Ids of the endpoints that take no other order now.
    division : ReplicaDivision, optional
        How data centres are divided into replicas; not at all if not given.
    settled : set of GroupState, optional
        States of groups that an earlier plan found nothing to improve in; brought up
        to date, so that a plan looks only at groups that changed.
    """
    serving = held if serving is None else serving
    members = _members(model, endpoints, held, serving, fixed)
    found = groups(model, members, division)
    rebuilt = _may_rebuild(model, found)
    repairs = []
    for index, group in enumerate(found):
        repairs.append(repair_group(model, group, rebuild=index == rebuilt))
    orders = _interleaved(repairs)
    if orders:
        return orders
    # Loads share the weight store: while a copy is being mended only endpoints
    # that serve nothing are given layers.
    whole = not any(Coverage.kept(model, group).holes() for group in found)
    known = settled if settled is not None else set()
    calm: set[GroupState] = set()
    for group in found:
        state = _state(group, only_empty=not whole)
        improvements = {}
        if state not in known:
            improvements = improve_group(model, group, only_empty=not whole)
        if not improvements:
            calm.add(state)
        orders.update(improvements)
    if settled is not None:
        settled.clear()
        settled.update(calm)
    return orders


def _state(group: list[Member], *, only_empty: bool) -> GroupState:
    members = []
    for member in group:
        members.append((member.endpoint.id, member.held, member.serving, member.fixed))
    return (only_empty, tuple(members))


def _interleaved(found: list[dict[str, LayerRange]]) -> dict[str, LayerRange]:
    """Return the orders of all groups, with those that come first in each first."""
    ranked: list[tuple[int, int, str]] = []
    merged: dict[str, LayerRange] = {}
    for index, orders in enumerate(found):
        merged.update(orders)
        for position, key in enumerate(orders):
            ranked.append((position, index, key))
    return {key: merged[key] for _, _, key in sorted(ranked)}


def is_complete(
    model: Model,
    endpoints: Iterable[Endpoint],
    serving: dict[str, LayerRange | None],
    division: ReplicaDivision | None = None,
) -> bool:
    """Return whether each group serves all layers now."""
    members = _members(model, endpoints, serving, serving, frozenset())
    for group in groups(model, members, division):
        if Coverage(model, group).holes():
            return False
    return True


def endpoints_beyond_max_stages(
    model: Model,
    endpoints: Iterable[Endpoint],
    held: dict[str, LayerRange | None],
    division: ReplicaDivision | None = None,
) -> frozenset[str]:
    """Return the ids of the endpoints in groups whose paths engines would refuse."""
    found: set[str] = set()
    members = _members(model, endpoints, held, held, frozenset())
    for group in groups(model, members, division):
        ranges = [member.held for member in group if member.held is not None]
        parts = fewest_parts(model, ranges)
        if parts is not None and parts > MAX_STAGES:
            found.update(member.endpoint.id for member in group)
    return frozenset(found)


def _members(
    model: Model,
    endpoints: Iterable[Endpoint],
    held: dict[str, LayerRange | None],
    serving: dict[str, LayerRange | None],
    fixed: frozenset[str],
) -> list[Member]:
    members = []
    for endpoint in endpoints:
        most = model.capacity(endpoint.accelerator)
        key = endpoint.id
        if most > 0:
            layers, now = held.get(key), serving.get(key)
            members.append(Member(endpoint, most, layers, now, key in fixed))
    return members


def _may_rebuild(model: Model, found: list[list[Member]]) -> int | None:
    """Return which group may give up layers that nobody else holds, if any.

    Whether neighbours shift towards a hole or all layers are shared out anew,
    the group is out of service for seconds. Only one does it at a time, since
    all copies away together would have every request refused.
    """
    broken = None
    for index, group in enumerate(found):
        if Coverage(model, group).holes():
            broken = index if broken is None else broken
        elif Coverage.kept(model, group).holes():
            # It loads what it was ordered to hold; the next one waits for it.
            return None
    return broken


def groups(
    model: Model, members: list[Member], division: ReplicaDivision | None = None
) -> list[list[Member]]:
    """Split members into groups that each hold a copy.

    A data centre stands alone if its memory suffices, as one group for each of its
    replicas; the others together form one group.
    """
    by_place: dict[str, list[Member]] = {}
    for member in sorted(members, key=lambda member: member.endpoint.id):
        by_place.setdefault(member.endpoint.data_centre, []).append(member)
    alone: list[list[Member]] = []
    rest: list[Member] = []
    for place in sorted(by_place):
        group = by_place[place]
        if capacity(group) >= model.layers * GROUP_ROOM:
            alone += _replicas(group, division)
        else:
            rest += group
    if capacity(rest) >= model.layers * GROUP_ROOM or (rest and not alone):
        alone.append(rest)
    return alone


def _replicas(
    group: list[Member], division: ReplicaDivision | None
) -> list[list[Member]]:
    if division is None:
        return [group]
    parts: dict[Replica, list[Member]] = {}
    for member in group:
        parts.setdefault(division.replica(member.endpoint), []).append(member)
    return [parts[replica] for replica in sorted(parts)]


def repair_group(
    model: Model, group: list[Member], *, rebuild: bool = True
) -> dict[str, LayerRange]:
    """Return the orders that complete one group's copy.

    The members are brought up to date with the orders.
    """
    if all(member.held is None for member in group):
        orders = lay_out(model, group)
        _apply(group, orders)
        return orders
    missing = Coverage(model, group).holes()
    orders = {}
    if sum(hole.size for hole in missing) > model.layers // 2:
        if not rebuild:
            return {}
        orders = _changes(share_out(model, group), group)
        _apply(group, orders)
        return orders
    for hole in missing:
        # A neighbour that takes over more than usual has memory for few
        # requests left, and bounds the whole copy until it is relieved.
        found = fill_by_growth(hole, group, FILL)
        found = found or fill_by_spares(model, hole, group)
        found = found or fill_by_growth(hole, group, FULL)
        if not found and rebuild:
            holding = [member for member in group if member.held is not None]
            found = fill_by_neighbours(model, hole, holding)
        if not found and rebuild:
            orders = _changes(share_out(model, group), group)
            _apply(group, orders)
            return orders
        orders.update(found)
        _apply(group, found)
    return orders


def lay_out(model: Model, group: list[Member]) -> dict[str, LayerRange]:
    """Return the first layout: a copy on the fastest members that hold one.

    The others hold what is left of a second copy. Long ranges on fast
    accelerators make paths short, so a token takes less time.
    """
    fill = usual_fill(model, group)
    if sum(target_size(model, member, fill) for member in group) < model.layers:
        return share_out(model, group)
    orders: dict[str, LayerRange] = {}
    first = 0
    for member in fastest_first(model, group):
        size = target_size(model, member, fill)
        if first < model.layers:
            start = min(first, model.layers - size)
            first = start + size
            orders[member.endpoint.id] = LayerRange(start, first)
            continue
        taken = Coverage(model, [])
        for layers in orders.values():
            taken.add(layers)
        orders[member.endpoint.id] = weakest(taken, group, size, model.layers)
    return orders


def share_out(model: Model, group: list[Member]) -> dict[str, LayerRange]:
    """Share all layers out in proportion to capacity.

    The present order of the members is kept, so that few layers move.
    """

    def place(member: Member) -> tuple[int, str]:
        first = member.held.first if member.held else model.layers
        return (first, member.endpoint.id)

    ordered = sorted(group, key=place)
    total = capacity(ordered)
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


def _changes(
    wanted: dict[str, LayerRange], group: list[Member]
) -> dict[str, LayerRange]:
    held = {member.endpoint.id: member.held for member in group}
    return {key: layers for key, layers in wanted.items() if held[key] != layers}


def _apply(group: list[Member], orders: dict[str, LayerRange]) -> None:
    for member in group:
        member.held = orders.get(member.endpoint.id, member.held)


__all__ = [
    "groups",
    "lay_out",
    "plan_layout",
    "repair_group",
    "share_out",
    "endpoints_beyond_max_stages",
    "is_complete",
]
