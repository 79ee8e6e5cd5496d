"""How long the requests of each route took lately."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Time for which a duration is known at least, and up to twice that.
PERIOD_S = 60.0


@dataclass(slots=True)
class _Sums:
    """Durations of a route in a period, in multiples of an estimate."""

    longest: float = 0.0
    total: float = 0.0
    count: int = 0


class Durations:
    """Durations of the last minute or two, in multiples of an estimate.

    Parameters
    ----------
    clock : callable
        Returns the monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        # By the name of the route, in this period and in the one before.
        self._current: dict[str, _Sums] = {}
        self._previous: dict[str, _Sums] = {}
        self._deadline = clock() + PERIOD_S

    def record(self, route: str, took_s: float, estimate_s: float) -> None:
        """Record the duration of a request, and the estimate that there was of it."""
        self._expire()
        factor = took_s / estimate_s
        sums = self._current.setdefault(route, _Sums())
        sums.longest = max(factor, sums.longest)
        sums.total += factor
        sums.count += 1

    def longest(self, route: str) -> float | None:
        """Return the highest multiple of a route, None if there is none."""
        return max((sums.longest for sums in self._sums(route)), default=None)

    def mean(self, route: str) -> float | None:
        """Return the mean multiple of a route, None if there is none."""
        found = self._sums(route)
        if not found:
            return None
        return sum(sums.total for sums in found) / sum(sums.count for sums in found)

    def _sums(self, route: str) -> list[_Sums]:
        self._expire()
        found = []
        for period in (self._current, self._previous):
            if route in period:
                found.append(period[route])
        return found

    def _expire(self) -> None:
        now = self._clock()
        if now < self._deadline:
            return
        recent = now < self._deadline + PERIOD_S
        self._previous = self._current if recent else {}
        self._current = {}
        self._deadline = now + PERIOD_S


__all__ = [
    "Durations",
]
