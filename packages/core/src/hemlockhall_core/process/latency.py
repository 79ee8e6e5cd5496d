"""Latency histograms, whatever exports them."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 3_600_000_000
US = 1_000_000
# Significant digits that a histogram keeps; two suffice for quantiles.
DIGITS = 2


class Latency:
    """A histogram of times in seconds."""

    def __init__(self, name: str, text: str) -> None:
        self.name = name
        self.text = text
        self._histogram = HdrHistogram(1, MAX_LATENCY_US, DIGITS)
        self.sum = 0.0

    def record(self, seconds: float) -> None:
        """Add one measured time."""
        self._histogram.record_value(max(1, int(seconds * US)))
        self.sum += seconds

    def quantile(self, percent: float) -> float:
        """Return the latency in seconds below which ``percent`` lie."""
        return self._histogram.get_value_at_percentile(percent) / US

    @property
    def count(self) -> int:
        """How many times were recorded."""
        return self._histogram.get_total_count()


__all__ = [
    "Latency",
]
