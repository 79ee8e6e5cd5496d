"""How long the requests of each route took lately."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Time for which a duration is known at least, and up to twice that.
PERIOD_S = 60.0


class Durations:
    """The longest durations of the last minute or two, in multiples of an estimate.

    Parameters
    ----------
    clock : callable
        Returns the monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        # By the name of the route, in this period and in the one before.
        self._current: dict[str, float] = {}
        self._previous: dict[str, float] = {}
        self._deadline = clock() + PERIOD_S

    def record(self, route: str, took_s: float, estimate_s: float) -> None:
        """Record the duration of a request, and the estimate that there was of it."""
        self._expire()
        factor = took_s / estimate_s
        self._current[route] = max(factor, self._current.get(route, 0.0))

    def longest(self, route: str) -> float | None:
        """Return the highest multiple of a route, None if there is none."""
        self._expire()
        found = []
        for period in (self._current, self._previous):
            if route in period:
                found.append(period[route])
        return max(found, default=None)

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
