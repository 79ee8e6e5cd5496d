"""Priorities of requests, from those of their customer and route."""

from __future__ import annotations

from math import isnan

# Number of priorities that a route or customer may state; 0 is the most urgent.
PRIORITIES = 10
LEAST_URGENT = PRIORITIES - 1


def usable_priority(value: object) -> int:
    """Return a configured priority, from 0 to ``LEAST_URGENT``.

    A number outside the range is clamped to it, and anything else is the least urgent.
    """
    if not isinstance(value, int | float) or isnan(value):
        return LEAST_URGENT
    return int(min(LEAST_URGENT, max(0, value)))


def combine_priorities(own: int | None, route: int) -> int:
    """Return one number for the priorities of a customer and a route.

    The customer's comes first, the route's decides among equal ones. Without one of its
    own, ``None``, a customer has that of the route.
    """
    return (route if own is None else own) * PRIORITIES + route


__all__ = [
    "LEAST_URGENT",
    "combine_priorities",
    "usable_priority",
]
