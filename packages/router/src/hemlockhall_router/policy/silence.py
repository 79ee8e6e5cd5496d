"""Silence limit of a stream, after which its endpoints are probed."""

from __future__ import annotations

# Smoothing weights of the average and of the deviation, and deviations that the limit
# adds to the average, as for the retransmission timeout of TCP (RFC 6298).
AVERAGE_WEIGHT = 0.125
DEVIATION_WEIGHT = 0.25
DEVIATION_FACTOR = 4.0
# Intervals that are needed for an estimate.
MIN_INTERVALS = 4
# Lower bound of the limit as a fraction of its maximum: each probe is a request to the
# endpoint, and this host itself may read an event some milliseconds late.
MIN_LIMIT_FRACTION = 0.6


class EventIntervalEstimator:
    """Moving average and deviation of the time between the events of a stream.

    The silence limit of a steady stream is below its maximum, which derives from the
    route. The time saved is left for the prefill of its prompt on another path.
    """

    def __init__(self) -> None:
        self._count = 0
        self._average_s = 0.0
        self._deviation_s = 0.0

    def add(self, interval_s: float) -> None:
        """Record the time between two events."""
        self._count += 1
        if self._count == 1:
            self._average_s, self._deviation_s = interval_s, interval_s / 2
            return
        error_s = interval_s - self._average_s
        self._average_s += AVERAGE_WEIGHT * error_s
        self._deviation_s += DEVIATION_WEIGHT * (abs(error_s) - self._deviation_s)

    def silence_limit_s(self, max_limit_s: float) -> float:
        """Return the seconds of silence after which to probe, at most the maximum."""
        if self._count < MIN_INTERVALS:
            return max_limit_s
        expected_s = self._average_s + DEVIATION_FACTOR * self._deviation_s
        return min(max_limit_s, max(max_limit_s * MIN_LIMIT_FRACTION, expected_s))


__all__ = [
    "EventIntervalEstimator",
]
