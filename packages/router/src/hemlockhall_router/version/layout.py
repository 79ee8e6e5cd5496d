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

from hemlockhall_router.version.balance import least_covered_range, rebalance_group
from hemlockhall_router.version.coverage import Coverage, min_stages
from hemlockhall_router.version.endpoint import LayerRange
from hemlockhall_router.version.member import DEFAULT_FILL, MAX_FILL, Member
from hemlockhall_router.version.path import MAX_STAGES
from hemlockhall_router.version.repair import (
    fill_by_growth,
    fill_by_shifting,
    fill_by_spares,
)
from hemlockhall_router.version.target import (
    choose_fill,
    fastest_first,
    target_size,
    total_capacity,
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
MIN_GROUP_COPIES = 1.2


def plan_layout(
    model: Model,
    endpoints: Iterable[Endpoint],
    assigned: dict[str, LayerRange | None],
    serving: dict[str, LayerRange | None] | None = None,
    locked: frozenset[str] = frozenset(),
    division: ReplicaDivision | None = None,
    converged: set[GroupState] | None = None,
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
    serving = assigned if serving is None else serving
    members = _members(model, endpoints, assigned, serving, locked)
    groups = split_groups(model, members, division)
    rebuild_index = _group_to_rebuild(model, groups)
    repairs = []
    for index, group in enumerate(groups):
        repairs.append(repair_group(model, group, rebuild=index == rebuild_index))
    orders = _interleave(repairs)
    if orders:
        return orders
    # Loads share the weight store: while a copy is being mended only endpoints
    # that serve nothing are given layers.
    complete = not any(Coverage.retained(model, group).gaps() for group in groups)
    skipped = converged if converged is not None else set()
    newly_converged: set[GroupState] = set()
    for group in groups:
        state = _group_state(group, only_empty=not complete)
        rebalanced = {}
        if state not in skipped:
            rebalanced = rebalance_group(model, group, only_empty=not complete)
        if not rebalanced:
            newly_converged.add(state)
        orders.update(rebalanced)
    if converged is not None:
        converged.clear()
        converged.update(newly_converged)
    return orders


def _group_state(group: list[Member], *, only_empty: bool) -> GroupState:
    members = []
    for member in group:
        members.append(
            (member.endpoint.id, member.assigned, member.serving, member.locked)
        )
    return (only_empty, tuple(members))


def _interleave(orders_by_group: list[dict[str, LayerRange]]) -> dict[str, LayerRange]:
    """Return the orders of all groups, with those that come first in each first."""
    ranked: list[tuple[int, int, str]] = []
    merged: dict[str, LayerRange] = {}
    for index, orders in enumerate(orders_by_group):
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
    for group in split_groups(model, members, division):
        if Coverage(model, group).gaps():
            return False
    return True


def endpoints_beyond_max_stages(
    model: Model,
    endpoints: Iterable[Endpoint],
    assigned: dict[str, LayerRange | None],
    division: ReplicaDivision | None = None,
) -> frozenset[str]:
    """Return the ids of the endpoints in groups whose paths engines would refuse."""
    ids: set[str] = set()
    members = _members(model, endpoints, assigned, assigned, frozenset())
    for group in split_groups(model, members, division):
        ranges = [member.assigned for member in group if member.assigned is not None]
        stages = min_stages(model, ranges)
        if stages is not None and stages > MAX_STAGES:
            ids.update(member.endpoint.id for member in group)
    return frozenset(ids)


def _members(
    model: Model,
    endpoints: Iterable[Endpoint],
    assigned: dict[str, LayerRange | None],
    serving: dict[str, LayerRange | None],
    locked: frozenset[str],
) -> list[Member]:
    members = []
    for endpoint in endpoints:
        capacity = model.capacity(endpoint.accelerator)
        key = endpoint.id
        if capacity > 0:
            layers, layers_now = assigned.get(key), serving.get(key)
            members.append(
                Member(endpoint, capacity, layers, layers_now, key in locked)
            )
    return members


def _group_to_rebuild(model: Model, groups: list[list[Member]]) -> int | None:
    """Return which group may give up layers that nobody else holds, if any.

    Whether neighbours shift towards a hole or all layers are shared out anew,
    the group is out of service for seconds. Only one does it at a time, since
    all copies away together would have every request refused.
    """
    chosen = None
    for index, group in enumerate(groups):
        if Coverage(model, group).gaps():
            chosen = index if chosen is None else chosen
        elif Coverage.retained(model, group).gaps():
            # It loads what it was ordered to hold; the next one waits for it.
            return None
    return chosen


def split_groups(
    model: Model, members: list[Member], division: ReplicaDivision | None = None
) -> list[list[Member]]:
    """Split members into groups that each hold a copy.

    A data centre stands alone if its memory suffices, as one group for each of its
    replicas; the others together form one group.
    """
    by_data_centre: dict[str, list[Member]] = {}
    for member in sorted(members, key=lambda member: member.endpoint.id):
        by_data_centre.setdefault(member.endpoint.data_centre, []).append(member)
    standalone: list[list[Member]] = []
    remaining: list[Member] = []
    for data_centre in sorted(by_data_centre):
        group = by_data_centre[data_centre]
        if total_capacity(group) >= model.layers * MIN_GROUP_COPIES:
            standalone += _split_replicas(group, division)
        else:
            remaining += group
    if total_capacity(remaining) >= model.layers * MIN_GROUP_COPIES or (
        remaining and not standalone
    ):
        standalone.append(remaining)
    return standalone


def _split_replicas(
    group: list[Member], division: ReplicaDivision | None
) -> list[list[Member]]:
    if division is None:
        return [group]
    by_replica: dict[Replica, list[Member]] = {}
    for member in group:
        by_replica.setdefault(division.replica(member.endpoint), []).append(member)
    return [by_replica[replica] for replica in sorted(by_replica)]


def repair_group(
    model: Model, group: list[Member], *, rebuild: bool = True
) -> dict[str, LayerRange]:
    """Return the orders that complete one group's copy.

    The members are brought up to date with the orders.
    """
    if all(member.assigned is None for member in group):
        orders = initial_layout(model, group)
        _apply(group, orders)
        return orders
    gaps = Coverage(model, group).gaps()
    orders = {}
    if sum(gap.size for gap in gaps) > model.layers // 2:
        if not rebuild:
            return {}
        orders = _changed(redistribute(model, group), group)
        _apply(group, orders)
        return orders
    for gap in gaps:
        # A neighbour that takes over more than usual has memory for few
        # requests left, and bounds the whole copy until it is relieved.
        found = fill_by_growth(gap, group, DEFAULT_FILL)
        found = found or fill_by_spares(model, gap, group)
        found = found or fill_by_growth(gap, group, MAX_FILL)
        if not found and rebuild:
            holding = [member for member in group if member.assigned is not None]
            found = fill_by_shifting(model, gap, holding)
        if not found and rebuild:
            orders = _changed(redistribute(model, group), group)
            _apply(group, orders)
            return orders
        orders.update(found)
        _apply(group, found)
    return orders


def initial_layout(model: Model, group: list[Member]) -> dict[str, LayerRange]:
    """Return the first layout: a copy on the fastest members that hold one.

    The others hold what is left of a second copy. Long ranges on fast
    accelerators make paths short, so a token takes less time.
    """
    fill = choose_fill(model, group)
    if sum(target_size(model, member, fill) for member in group) < model.layers:
        return redistribute(model, group)
    orders: dict[str, LayerRange] = {}
    first = 0
    for member in fastest_first(model, group):
        size = target_size(model, member, fill)
        if first < model.layers:
            start = min(first, model.layers - size)
            first = start + size
            orders[member.endpoint.id] = LayerRange(start, first)
            continue
        covered = Coverage(model, [])
        for layers in orders.values():
            covered.add(layers)
        orders[member.endpoint.id] = least_covered_range(
            covered, group, size, model.layers
        )
    return orders


def redistribute(model: Model, group: list[Member]) -> dict[str, LayerRange]:
    """Share all layers out in proportion to capacity.

    The present order of the members is kept, so that few layers move.
    """

    def position(member: Member) -> tuple[int, str]:
        first = member.assigned.first if member.assigned else model.layers
        return (first, member.endpoint.id)

    ordered = sorted(group, key=position)
    total = total_capacity(ordered)
    if total < model.layers:
        return {}
    orders: dict[str, LayerRange] = {}
    first = 0
    cumulative = 0
    for member in ordered:
        cumulative += member.capacity
        end = round(model.layers * cumulative / total)
        end = min(end, first + member.capacity)
        if end > first:
            orders[member.endpoint.id] = LayerRange(first, end)
        first = max(first, end)
    return orders


def _changed(
    wanted: dict[str, LayerRange], group: list[Member]
) -> dict[str, LayerRange]:
    assigned = {member.endpoint.id: member.assigned for member in group}
    return {key: layers for key, layers in wanted.items() if assigned[key] != layers}


def _apply(group: list[Member], orders: dict[str, LayerRange]) -> None:
    for member in group:
        member.assigned = orders.get(member.endpoint.id, member.assigned)


__all__ = [
    "split_groups",
    "initial_layout",
    "plan_layout",
    "repair_group",
    "redistribute",
    "endpoints_beyond_max_stages",
    "is_complete",
]
