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


def total_capacity(members: list[Member]) -> int:
    """Return the number of layers that fill the memory of all members."""
    return sum(member.capacity for member in members)


def choose_fill(model: Model, group: list[Member]) -> float:
    """Return the fraction of its memory that each member's layers should fill.

    It is above ``DEFAULT_FILL`` only where that holds fewer than ``MIN_LAYOUT_COPIES``
    copies. Members next to an overfull one then load its excess layers, which it can
    drop afterwards.
    """
    fill = DEFAULT_FILL
    while fill < MAX_FILL:
        if (
            sum(target_size(model, member, fill) for member in group)
            >= model.layers * MIN_LAYOUT_COPIES
        ):
            break
        fill += FILL_STEP
    return min(fill, MAX_FILL)


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
