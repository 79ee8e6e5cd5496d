"""After how long a silence of a stream its endpoints are checked."""

from __future__ import annotations

# Weights of the newest interval in the moving average and in its deviation, and
# deviations beyond the average that are no surprise: as for retransmission timeouts.
AVERAGE_WEIGHT = 0.125
DEVIATION_WEIGHT = 0.25
DEVIATION_FACTOR = 4.0
# Intervals after which the estimate is used.
MIN_INTERVALS = 4
# Part of the longest silence allowed below which no silence counts: a check costs a
# call, and a host itself is late by some milliseconds.
MIN_LIMIT_FRACTION = 0.6


class EventIntervalEstimator:
    """Moving average of the time between a stream's events, and its deviation.

    Events of a steady stream are missed sooner than its longest pause allows, and the
    time saved is left for reading its prompt elsewhere.
    """

    def __init__(self) -> None:
        self._count = 0
        self._average_s = 0.0
        self._deviation_s = 0.0

    def add(self, interval_s: float) -> None:
        """Take the time between two events."""
        self._count += 1
        if self._count == 1:
            self._average_s, self._deviation_s = interval_s, interval_s / 2
            return
        error_s = interval_s - self._average_s
        self._average_s += AVERAGE_WEIGHT * error_s
        self._deviation_s += DEVIATION_WEIGHT * (abs(error_s) - self._deviation_s)

    def silence_limit_s(self, longest_s: float) -> float:
        """Return the silence that is a surprise, ``longest_s`` at most."""
        if self._count < MIN_INTERVALS:
            return longest_s
        expected_s = self._average_s + DEVIATION_FACTOR * self._deviation_s
        return min(longest_s, max(longest_s * MIN_LIMIT_FRACTION, expected_s))


__all__ = [
    "EventIntervalEstimator",
]
