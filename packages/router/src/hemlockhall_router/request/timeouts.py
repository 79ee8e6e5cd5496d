"""How long a stream waits for its next event."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hemlockhall_router.request.relay import RoutedRequest

# Part of the objective without a first event, and of the longest pause without
# another one, after which the endpoints of the path are asked whether they
# live. What is left suffices to ask and to read the prompt elsewhere in time.
FIRST_EVENT_SILENCE_FRACTION = 0.3
EVENT_GAP_SILENCE_FRACTION = 0.25
# Objectives and pauses after which a stream goes on elsewhere although all of
# its endpoints answer. Slow endpoints are not left sooner: what they have read
# would be read again, which makes all of them slower.
FIRST_EVENT_TIMEOUT_FACTOR = 5.0
EVENT_GAP_TIMEOUT_FACTOR = 5.0
# Each silence doubles the patience.
TIMEOUT_BACKOFF_FACTOR = 2.0
# Seconds assumed where the route states no objective or pause.
DEFAULT_LIMIT_S = 2.0


class StreamTimeouts:
    """The waits of one stream, from its route; times in seconds."""

    def __init__(self, request: RoutedRequest) -> None:
        self._request = request
        self._backoff = 1.0
        self.latency_objective_s = request.route.latency_objective_s or DEFAULT_LIMIT_S
        self.max_event_gap_s = request.route.max_event_gap_s or DEFAULT_LIMIT_S

    def back_off(self) -> None:
        """Wait longer from now on: a silence was no failure, or met two paths."""
        self._backoff *= TIMEOUT_BACKOFF_FACTOR

    @property
    def first_event_silence_limit_s(self) -> float:
        """Silence before the first event that puts a path in doubt."""
        if not self._request.route.retryable:
            return float("inf")
        return self.latency_objective_s * FIRST_EVENT_SILENCE_FRACTION

    @property
    def event_gap_silence_limit_s(self) -> float:
        """Silence between two events that puts a path in doubt."""
        if not self._request.route.retryable:
            return float("inf")
        return self.max_event_gap_s * EVENT_GAP_SILENCE_FRACTION

    def first_event_deadline(self) -> float:
        """Return until when the first event is awaited."""
        return self._deadline(self.latency_objective_s * FIRST_EVENT_TIMEOUT_FACTOR)

    def next_event_deadline(self) -> float:
        """Return until when the next event is awaited."""
        return self._deadline(self.max_event_gap_s * EVENT_GAP_TIMEOUT_FACTOR)

    def _deadline(self, timeout_s: float) -> float:
        if not self._request.route.retryable:
            return self._request.deadline
        return min(self._request.deadline, time.monotonic() + timeout_s * self._backoff)


__all__ = [
    "StreamTimeouts",
]
