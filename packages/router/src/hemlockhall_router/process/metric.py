"""Counters and latency histograms of the router, as Prometheus text."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hemlockhall_router.request.reason import Refusal, Retry

if TYPE_CHECKING:
    from enum import Enum

# Bounds of the histograms in seconds, around the objectives of 0.3 to 1 s.
BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 2.0, 4.0)


class Metrics:
    """All counters; each reason exists from the start at 0."""

    def __init__(self) -> None:
        self._counters: dict[str, dict[str, int]] = {
            "refusals": {refusal.value: 0 for refusal in Refusal},
            "retries": {retry.value: 0 for retry in Retry},
            "answers": {},
            "orders": {},
            "log_lines_left_out": {"all": 0},
        }
        self._first = [0] * (len(BOUNDS_S) + 1)
        self._first_sum = 0.0

    def refusal(self, reason: Refusal) -> None:
        """Count an answer of this host's own."""
        self._count("refusals", reason)

    def retry(self, reason: Retry) -> None:
        """Count a failed try."""
        self._count("retries", reason)

    def answer(self, status: int) -> None:
        """Count an answer by status; 0 stands for a caller that left."""
        self.count("answers", str(status))

    def count(self, name: str, label: str) -> None:
        """Count under a label."""
        labels = self._counters.setdefault(name, {})
        labels[label] = labels.get(label, 0) + 1

    def _count(self, name: str, reason: Enum) -> None:
        self.count(name, reason.value)

    def first_event(self, seconds: float) -> None:
        """Add the time from a request's sending to its first event."""
        index = 0
        while index < len(BOUNDS_S) and seconds > BOUNDS_S[index]:
            index += 1
        self._first[index] += 1
        self._first_sum += seconds

    def text(self) -> bytes:
        """Return everything in the Prometheus text format."""
        lines = []
        for name, labels in self._counters.items():
            lines.append(f"# TYPE hemlockhall_{name} counter")
            for label, count in labels.items():
                lines.append(f'hemlockhall_{name}_total{{label="{label}"}} {count}')
        name = "hemlockhall_first_event_seconds"
        lines.append(f"# TYPE {name} histogram")
        total = 0
        for bound, count in zip((*BOUNDS_S, "+Inf"), self._first, strict=True):
            total += count
            lines.append(f'{name}_bucket{{le="{bound}"}} {total}')
        lines.append(f"{name}_sum {self._first_sum:.6f}")
        lines.append(f"{name}_count {total}")
        return "\n".join(lines).encode() + b"\n"


__all__ = [
    "Metrics",
]
