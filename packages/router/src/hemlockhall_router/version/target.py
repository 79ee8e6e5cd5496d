"""How many layers each member of a group should hold."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hemlockhall_router.version.member import DEFAULT_FILL, MAX_FILL

if TYPE_CHECKING:
    from hemlockhall_router.version.member import Member
    from hemlockhall_router.version.routing import Model

# Layers that a group should hold at least, in copies: the ranges must overlap
# for layers to pass from one member to another without an interruption.
MIN_COVERAGE = 1.05
FILL_STEP = 0.01


def total_capacity(members: list[Member]) -> int:
    """Return how many layers the members' memory holds together."""
    return sum(member.capacity for member in members)


def choose_fill(model: Model, group: list[Member]) -> float:
    """Return the part of its memory that each member's layers should fill.

    More than usual where that does not hold a copy and ``SLACK``: then those
    beside a member that took over too much grow, and it gives that up again.
    """
    fill = DEFAULT_FILL
    while fill < MAX_FILL:
        if (
            sum(target_size(model, member, fill) for member in group)
            >= model.layers * MIN_COVERAGE
        ):
            break
        fill += FILL_STEP
    return min(fill, MAX_FILL)


def target_size(model: Model, member: Member, fill: float) -> int:
    """Return how many layers fill a part of a member's memory."""
    return min(model.layers, max(1, int(member.capacity * fill)))


def fastest_first(model: Model, group: list[Member]) -> list[Member]:
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
