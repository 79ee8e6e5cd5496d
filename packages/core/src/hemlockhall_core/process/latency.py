"""Latency histograms, independent of the exporter."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 3_600_000_000
US_PER_S = 1_000_000
# A relative error of 1 % is enough for quantiles.
SIGNIFICANT_DIGITS = 2


class Latency:
    """A histogram of latencies in seconds; ``documentation`` is its help text."""

    def __init__(self, name: str, documentation: str) -> None:
        self.name = name
        self.documentation = documentation
        self._histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.sum = 0.0

    def record(self, seconds: float) -> None:
        """Add a latency in seconds.

        One above the range of the histogram is only added to ``sum``.
        """
        self._histogram.record_value(max(1, int(seconds * US_PER_S)))
        self.sum += seconds

    def quantile(self, percent: float) -> float:
        """Return the ``percent`` percentile in seconds."""
        return self._histogram.get_value_at_percentile(percent) / US_PER_S

    @property
    def count(self) -> int:
        """Number of recorded latencies."""
        return self._histogram.get_total_count()


__all__ = [
    "Latency",
]
