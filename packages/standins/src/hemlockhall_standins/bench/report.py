"""Output of the benchmarks: one JSON object as the last line."""

from __future__ import annotations

import json
import statistics
from dataclasses import asdict, dataclass
from typing import Any


@dataclass
class TrialSummary:
    """Median and maximum of the times of several trials."""

    median_s: float
    worst_s: float
    trials: int


def summarize(values: list[float]) -> TrialSummary:
    """Summarize times in seconds; zeros if there are none."""
    if not values:
        return TrialSummary(0.0, 0.0, 0)
    return TrialSummary(
        round(statistics.median(values), 3), round(max(values), 3), len(values)
    )


def print_result(result: Any) -> None:
    """Print a dataclass as one JSON object."""
    print(json.dumps(asdict(result)), flush=True)


__all__ = [
    "TrialSummary",
    "print_result",
    "summarize",
]
