"""Silence limits and timeouts of a stream, derived from its route."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hemlockhall_router.request.relay import RoutedRequest

# Silence after which the endpoints on the path are probed, as a fraction of the
# latency objective (first event) or of the maximum event gap (later events). The
# rest is time enough for the probe and for the prefill on another path.
FIRST_EVENT_SILENCE_FRACTION = 0.3
EVENT_GAP_SILENCE_FRACTION = 0.25
# Multiples of the same two durations after which a stream leaves its path although
# all of its endpoints answer probes. Leaving sooner would repeat the prefill on
# another path, and the added load would make all endpoints slower.
FIRST_EVENT_TIMEOUT_FACTOR = 5.0
EVENT_GAP_TIMEOUT_FACTOR = 5.0
# Factor on the timeouts after each silence or lost connection.
TIMEOUT_BACKOFF_FACTOR = 2.0
# Latency objective and maximum event gap of a route that states none.
DEFAULT_OBJECTIVE_S = 2.0


class StreamTimeouts:
    """Silence limits and timeouts of one stream.

    A request that may not run twice has no silence limit, and its timeout is the
    deadline of the request: waiting is all that can be done for it.
    """

    def __init__(self, request: RoutedRequest) -> None:
        self._request = request
        self._backoff = 1.0
        self.latency_objective_s = (
            request.route.latency_objective_s or DEFAULT_OBJECTIVE_S
        )
        self.max_event_gap_s = request.route.max_event_gap_s or DEFAULT_OBJECTIVE_S

    def back_off(self) -> None:
        """Lengthen the timeouts after a silence or a lost connection.

        If silence recurs, either it is no failure, or two paths have failed.
        """
        self._backoff *= TIMEOUT_BACKOFF_FACTOR

    @property
    def first_event_silence_limit_s(self) -> float:
        """Silence before the first event after which the path is probed."""
        if not self._request.route.retryable:
            return float("inf")
        return self.latency_objective_s * FIRST_EVENT_SILENCE_FRACTION

    @property
    def event_gap_silence_limit_s(self) -> float:
        """Silence between two events after which the path is probed."""
        if not self._request.route.retryable:
            return float("inf")
        return self.max_event_gap_s * EVENT_GAP_SILENCE_FRACTION

    def first_event_deadline(self) -> float:
        """Return the monotonic time until which to wait for the first event."""
        return self._deadline(self.latency_objective_s * FIRST_EVENT_TIMEOUT_FACTOR)

    def next_event_deadline(self) -> float:
        """Return the monotonic time until which to wait for the next event."""
        return self._deadline(self.max_event_gap_s * EVENT_GAP_TIMEOUT_FACTOR)

    def _deadline(self, timeout_s: float) -> float:
        if not self._request.route.retryable:
            return self._request.deadline
        return min(self._request.deadline, time.monotonic() + timeout_s * self._backoff)


__all__ = [
    "StreamTimeouts",
]
