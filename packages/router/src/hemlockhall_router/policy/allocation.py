"""Division of contended room among priorities and customers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


def allocate(
    capacity: float, demand: Mapping[int, float], floor: float
) -> dict[int, float]:
    """Return the fraction of its demand that each priority gets, 0 the most urgent.

    Each gets ``floor`` of what it would get if all were admitted alike; the rest goes
    to the priorities in order. A more urgent one never gets a smaller fraction.
    """
    total = sum(demand.values())
    if capacity >= total:
        return dict.fromkeys(demand, 1.0)
    least = floor * max(0.0, capacity) / total
    left = max(0.0, capacity) - least * total
    fractions = {}
    for priority in sorted(demand):
        wanted = demand[priority] * (1.0 - least)
        if left <= 0.0:
            fractions[priority] = least
        elif wanted <= left:
            fractions[priority] = 1.0
            left -= wanted
        else:
            fractions[priority] = least + left / demand[priority]
            left = 0.0
    return fractions


def fair_fractions(
    capacity: float, customers: Mapping[int, float], others: float, other_count: int
) -> tuple[dict[int, float], float]:
    """Return the fractions of demand that customers get with max-min fairness.

    Each gets its demand or a common level, whichever is less. The second result is the
    fraction of each of the ``other_count`` customers that demand ``others`` together,
    in equal parts.
    """
    if capacity >= others + sum(customers.values()):
        return dict.fromkeys(customers, 1.0), 1.0
    other = others / max(1, other_count)
    demands = [(demand, 1) for demand in customers.values()]
    if others > 0.0:
        demands.append((other, max(1, other_count)))
    level = _level(max(0.0, capacity), demands)
    fractions = {key: _fraction(level, demand) for key, demand in customers.items()}
    return fractions, _fraction(level, other)


def _level(capacity: float, demands: list[tuple[float, int]]) -> float:
    """Return the most that any customer gets; ``demands`` are pairs with a count."""
    left = capacity
    count = sum(number for _, number in demands)
    for demand, number in sorted(demands):
        level = left / count
        if demand >= level:
            return level
        left -= demand * number
        count -= number
    return float("inf")


def _fraction(level: float, demand: float) -> float:
    return 1.0 if demand <= level else level / demand


__all__ = [
    "allocate",
    "fair_fractions",
]
