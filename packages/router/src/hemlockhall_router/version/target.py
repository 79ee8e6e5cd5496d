"""Target number of layers for each member of a group."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hemlockhall_router.version.member import DEFAULT_FILL, MAX_FILL

if TYPE_CHECKING:
    from hemlockhall_router.version.member import Member
    from hemlockhall_router.version.routing import Model

# Copies of the model that the layout of a group should hold: ranges must overlap for
# layers to move from one member to another without an interruption.
MIN_LAYOUT_COPIES = 1.05
# Step of the search for a fill fraction.
FILL_STEP = 0.01
# Copies that a group holds rather than a part of a second one. With a part, the layers
# held once limit all requests, although the others have memory to spare, and the loss
# of one of their holders interrupts service. The margin is for moving layers, as above.
REDUNDANT_COPIES = 2.05
# Copies at which a group that holds two stops doing so: less than the above, so that an
# endpoint that is lost or added does not change the size of all ranges.
MIN_REDUNDANT_COPIES = 1.85
# Highest fill fraction for two copies. Beyond it their endpoints together have memory
# for fewer requests than those of one copy at ``DEFAULT_FILL``.
MAX_REDUNDANT_FILL = 0.78


def total_capacity(members: list[Member]) -> int:
    """Return the number of layers that fill the memory of all members."""
    return sum(member.capacity for member in members)


def choose_fill(model: Model, group: list[Member]) -> float:
    """Return the fraction of its memory that each member's layers should fill.

    It is above ``DEFAULT_FILL`` where that holds fewer than ``MIN_LAYOUT_COPIES``
    copies. Members next to an overfull one then load its excess layers, which it can
    drop afterwards. It is also above where up to ``MAX_REDUNDANT_FILL`` suffices for
    two copies.
    """
    if _redundant(model, group):
        wanted = min(REDUNDANT_COPIES, _copies(model, group, MAX_REDUNDANT_FILL))
        return _least_fill(model, group, wanted, MAX_REDUNDANT_FILL)
    return _least_fill(model, group, MIN_LAYOUT_COPIES, MAX_FILL)


def _redundant(model: Model, group: list[Member]) -> bool:
    """Return whether the group should hold two copies."""
    copies = _copies(model, group, MAX_REDUNDANT_FILL)
    held = 0
    for member in group:
        if member.assigned is not None:
            held += member.assigned.size
    if held >= model.layers * MIN_REDUNDANT_COPIES:
        return copies >= MIN_REDUNDANT_COPIES
    return copies >= REDUNDANT_COPIES


def _copies(model: Model, group: list[Member], fill: float) -> float:
    """Return the copies that the members hold at a fill fraction."""
    return sum(target_size(model, member, fill) for member in group) / model.layers


def _least_fill(
    model: Model, group: list[Member], copies: float, highest: float
) -> float:
    """Return the least fill fraction for so many copies, at most ``highest``."""
    fill = DEFAULT_FILL
    while fill < highest and _copies(model, group, fill) < copies:
        fill += FILL_STEP
    return min(fill, highest)


def target_size(model: Model, member: Member, fill: float) -> int:
    """Return the number of layers that fill a fraction of a member's memory."""
    return min(model.layers, max(1, int(member.capacity * fill)))


def fastest_first(model: Model, group: list[Member]) -> list[Member]:
    """Return members by prefill speed, then by memory, largest first."""

    def rank(member: Member) -> tuple[float, int, str]:
        accelerator = model.accelerators.get(member.endpoint.accelerator)
        prefill_factor = accelerator.prefill_factor if accelerator else 1.0
        return (prefill_factor, -member.capacity, member.endpoint.id)

    return sorted(group, key=rank)


__all__ = [
    "total_capacity",
    "fastest_first",
    "target_size",
    "choose_fill",
]
