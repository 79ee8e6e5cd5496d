"""Turns of items that are more than a message holds."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Sequence

T = TypeVar("T")


def take_turn(items: Sequence[T], limit: int, turn: int) -> list[T]:
    """Return the items of a turn, ``limit`` at most.

    Turns in a row have all items. Each cycle of them begins half a turn later than the
    one before, so that a host that gets each second turn gets all items, too.
    """
    if len(items) <= limit:
        return list(items)
    cycle, number = divmod(turn, -(-len(items) // limit))
    start = (cycle * (limit // 2) + number * limit) % len(items)
    return [*items[start:], *items[:start]][:limit]


__all__ = [
    "take_turn",
]
