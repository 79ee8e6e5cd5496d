"""How benches show their results: one JSON object as the last line."""

from __future__ import annotations

import json
import statistics
from dataclasses import asdict, dataclass
from typing import Any


@dataclass
class Spread:
    """Median and worst of several trials, in seconds."""

    median_s: float
    worst_s: float
    trials: int


def spread(values: list[float]) -> Spread:
    """Return the spread of a list of times."""
    if not values:
        return Spread(0.0, 0.0, 0)
    return Spread(
        round(statistics.median(values), 3), round(max(values), 3), len(values)
    )


def last_line(result: Any) -> None:
    """Print a result data class as one JSON object."""
    print(json.dumps(asdict(result)), flush=True)


__all__ = [
    "Spread",
    "last_line",
    "spread",
]
