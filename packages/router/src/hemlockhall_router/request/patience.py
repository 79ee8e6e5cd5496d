"""How long a stream waits for its next event."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hemlockhall_router.request.relay import RoutedRequest

# Part of the objective without a first event, and of the longest pause without
# another one, after which the endpoints of the path are asked whether they
# live. What is left suffices to ask and to read the prompt elsewhere in time.
QUIET_FIRST_PART = 0.3
QUIET_PAUSE_PART = 0.25
# Objectives and pauses after which a stream goes on elsewhere although all of
# its endpoints answer. Slow endpoints are not left sooner: what they have read
# would be read again, which makes all of them slower.
FIRST_PARTS = 5.0
PAUSE_PARTS = 5.0
# Each silence doubles the patience.
PATIENCE_GROWTH = 2.0
# Seconds assumed where the route states no objective or pause.
UNSTATED_S = 2.0


class Patience:
    """The waits of one stream, from its route; times in seconds."""

    def __init__(self, work: RoutedRequest) -> None:
        self._work = work
        self._growth = 1.0
        self.objective_s = work.route.latency_objective_s or UNSTATED_S
        self.pause_s = work.route.max_event_gap_s or UNSTATED_S

    def grow(self) -> None:
        """Wait longer from now on: a silence was no failure, or met two paths."""
        self._growth *= PATIENCE_GROWTH

    @property
    def quiet_first_s(self) -> float:
        """Silence before the first event that puts a path in doubt."""
        if not self._work.route.retryable:
            return float("inf")
        return self.objective_s * QUIET_FIRST_PART

    @property
    def quiet_pause_s(self) -> float:
        """Silence between two events that puts a path in doubt."""
        if not self._work.route.retryable:
            return float("inf")
        return self.pause_s * QUIET_PAUSE_PART

    def first_deadline(self) -> float:
        """Return until when the first event is awaited."""
        return self._deadline(self.objective_s * FIRST_PARTS)

    def pause_deadline(self) -> float:
        """Return until when the next event is awaited."""
        return self._deadline(self.pause_s * PAUSE_PARTS)

    def _deadline(self, wait_s: float) -> float:
        if not self._work.route.retryable:
            return self._work.deadline
        return min(self._work.deadline, time.monotonic() + wait_s * self._growth)


__all__ = [
    "Patience",
]
