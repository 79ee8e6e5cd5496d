"""Layout planning: which endpoint should hold which layers.

Each data centre with enough memory holds a copy of the model, that is, all of its
layers, because the activations of prompts saturate the links between data centres. A
large data centre is divided into replicas with copies of their own. The remaining
memory holds layers a second time: the loss of an endpoint whose layers are held twice
interrupts nothing, and a redundant endpoint can take over layers of another one without
an interruption.
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

# All that the rebalancing of a group depends on: whether only empty members get orders,
# and the id, assigned layers, served layers and lock of each member.
GroupState = tuple[
    bool, tuple[tuple[str, LayerRange | None, LayerRange | None, bool], ...]
]

# Copies of the model that the memory of a data centre must hold for it to form groups
# of its own.
# What exceeds one copy is left for requests.
MIN_GROUP_COPIES = 1.2


def plan_layout(
    model: Model,
    endpoints: Iterable[Endpoint],
    assigned: dict[str, LayerRange | None],
    serving: dict[str, LayerRange | None] | None = None,
    locked: frozenset[str] = frozenset(),
    division: ReplicaDivision | None = None,
    balanced_states: set[GroupState] | None = None,
) -> dict[str, LayerRange]:
    """Return the layers that endpoints should be ordered to hold, by endpoint id.

    Orders are sorted as they should be sent: those to the fastest endpoints of each
    replica, which complete its first copy, come first.

    Parameters
    ----------
    model : Model
        The model that the endpoints run.
    endpoints : iterable of Endpoint
        Live endpoints that are not draining.
    assigned : dict
        Layers by endpoint id, with orders under way counted as done.
    serving : dict, optional
        Layers by endpoint id, without orders under way; as ``assigned`` if not given.
    locked : frozenset of str
        Ids of the endpoints that take no further order now.
    division : ReplicaDivision, optional
        Division of data centres into replicas; each is one replica if not given.
    balanced_states : set of GroupState, optional
        Group states that an earlier plan had no rebalancing orders for. They are
        skipped, and the set is updated, so that only changed groups are rebalanced.
    """
    serving = assigned if serving is None else serving
    members = _members(model, endpoints, assigned, serving, locked)
    groups = split_groups(model, members, division)
    interruptible_index = _group_to_interrupt(model, groups)
    repairs = []
    for index, group in enumerate(groups):
        repairs.append(
            repair_group(model, group, allow_interruption=index == interruptible_index)
        )
    orders = _interleave(repairs)
    if orders:
        return orders
    # Loads share the weight store, so while a group is being repaired only members
    # that hold no layers get rebalancing orders.
    complete = not any(Coverage.retained(model, group).gaps() for group in groups)
    skipped = balanced_states if balanced_states is not None else set()
    newly_balanced: set[GroupState] = set()
    for group in groups:
        state = _group_state(group, only_empty=not complete)
        rebalanced = {}
        if state not in skipped:
            rebalanced = rebalance_group(model, group, only_empty=not complete)
        if not rebalanced:
            newly_balanced.add(state)
        orders.update(rebalanced)
    if balanced_states is not None:
        balanced_states.clear()
        balanced_states.update(newly_balanced)
    return orders


def _group_state(group: list[Member], *, only_empty: bool) -> GroupState:
    members = []
    for member in group:
        members.append(
            (member.endpoint.id, member.assigned, member.serving, member.locked)
        )
    return (only_empty, tuple(members))


def _interleave(orders_by_group: list[dict[str, LayerRange]]) -> dict[str, LayerRange]:
    """Merge the orders of all groups: the first ones of each, then the second ones."""
    ranked: list[tuple[int, int, str]] = []
    merged: dict[str, LayerRange] = {}
    for index, orders in enumerate(orders_by_group):
        merged.update(orders)
        for position, endpoint_id in enumerate(orders):
            ranked.append((position, index, endpoint_id))
    return {endpoint_id: merged[endpoint_id] for _, _, endpoint_id in sorted(ranked)}


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
    """Return the ids of endpoints in groups whose shortest path is too long.

    Endpoints refuse paths of more than ``MAX_STAGES``.
    """
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
        endpoint_id = endpoint.id
        if capacity > 0:
            layers, layers_now = assigned.get(endpoint_id), serving.get(endpoint_id)
            members.append(
                Member(endpoint, capacity, layers, layers_now, endpoint_id in locked)
            )
    return members


def _group_to_interrupt(model: Model, groups: list[list[Member]]) -> int | None:
    """Return the index of the group whose repair may interrupt its service, if any.

    Shifting neighbours into a gap or redistributing all layers makes members drop
    layers that nobody else holds, which takes a group out of service for seconds.
    Only one group does so at a time: with all copies out of service every request
    would be refused.
    """
    chosen = None
    for index, group in enumerate(groups):
        if Coverage(model, group).gaps():
            chosen = index if chosen is None else chosen
        elif Coverage.retained(model, group).gaps():
            # This group is still loading its layers; the next one waits for it.
            return None
    return chosen


def split_groups(
    model: Model, members: list[Member], division: ReplicaDivision | None = None
) -> list[list[Member]]:
    """Split members into groups that each hold a copy.

    Each replica of a data centre with enough memory is a group. The members of the
    other data centres form one group together, if they have enough memory or there is
    no other group.
    """
    by_data_centre: dict[str, list[Member]] = {}
    for member in sorted(members, key=lambda member: member.endpoint.id):
        by_data_centre.setdefault(member.endpoint.data_centre, []).append(member)
    groups: list[list[Member]] = []
    remaining: list[Member] = []
    for data_centre in sorted(by_data_centre):
        group = by_data_centre[data_centre]
        if total_capacity(group) >= model.layers * MIN_GROUP_COPIES:
            groups += _split_replicas(group, division)
        else:
            remaining += group
    if total_capacity(remaining) >= model.layers * MIN_GROUP_COPIES or (
        remaining and not groups
    ):
        groups.append(remaining)
    return groups


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
    model: Model, group: list[Member], *, allow_interruption: bool = True
) -> dict[str, LayerRange]:
    """Return the orders that close the coverage gaps of a group.

    The members are updated to the orders. Without ``allow_interruption`` no member is
    ordered to drop layers that nobody else holds.
    """
    if all(member.assigned is None for member in group):
        orders = initial_layout(model, group)
        _apply(group, orders)
        return orders
    gaps = Coverage(model, group).gaps()
    orders = {}
    if sum(gap.size for gap in gaps) > model.layers // 2:
        if not allow_interruption:
            return {}
        orders = _changed(redistribute(model, group), group)
        _apply(group, orders)
        return orders
    for gap in gaps:
        # Neighbours are filled beyond DEFAULT_FILL only if no spares are left: such
        # a neighbour has memory for few requests, which limits the whole copy until
        # it is relieved.
        gap_orders = fill_by_growth(gap, group, DEFAULT_FILL)
        gap_orders = gap_orders or fill_by_spares(model, gap, group)
        gap_orders = gap_orders or fill_by_growth(gap, group, MAX_FILL)
        if not gap_orders and allow_interruption:
            holding = [member for member in group if member.assigned is not None]
            gap_orders = fill_by_shifting(model, gap, holding)
        if not gap_orders and allow_interruption:
            orders = _changed(redistribute(model, group), group)
            _apply(group, orders)
            return orders
        orders.update(gap_orders)
        _apply(group, gap_orders)
    return orders


def initial_layout(model: Model, group: list[Member]) -> dict[str, LayerRange]:
    """Return the layout of an empty group: a copy on its fastest members.

    The other members hold further copies of the least covered layers. Long ranges on
    fast accelerators make paths short, so a token takes less time.
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
    """Distribute all layers in proportion to capacity.

    Members stay in their present order, so that few layers move. Without the memory
    for a copy there are no orders.
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
    return {
        endpoint_id: layers
        for endpoint_id, layers in wanted.items()
        if assigned[endpoint_id] != layers
    }


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
