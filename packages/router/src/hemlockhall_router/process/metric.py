"""Counters and latency summaries of the router, as Prometheus text.

Rendered without the Prometheus client library, which adds 14 MB of billed memory
to each host.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hemlockhall_core.process.latency import Latency
from hemlockhall_router.connection.error import SizeLimitError
from hemlockhall_router.request.reason import RefusalReason, RetryReason

if TYPE_CHECKING:
    from collections.abc import Callable
    from enum import Enum

    from hemlockhall_router.connection.error import TransportError

# Percentiles rendered in each summary.
PERCENTILES = (50.0, 95.0, 99.0)
# Decisions of overload control; those about returning callers are counted apart.
ADMISSION_LABELS = ("admitted", "refused", "returning_admitted", "returning_refused")


class Metrics:
    """All counters and gauges; counters of known reasons start at 0."""

    def __init__(self) -> None:
        self._counters: dict[str, dict[str, int]] = {
            "refusals": {refusal.value: 0 for refusal in RefusalReason},
            "retries": {retry.value: 0 for retry in RetryReason},
            "answers": {},
            "orders": {},
            "admission": dict.fromkeys(ADMISSION_LABELS, 0),
            "log_lines_left_out": {"all": 0},
        }
        self._gauges: dict[str, dict[str, Callable[[], float]]] = {}
        self.first_event = Latency(
            "hemlockhall_first_event_seconds", "From sending to the first event"
        )
        self.longest_pause = Latency(
            "hemlockhall_longest_pause_seconds", "Longest pause of each stream"
        )
        self.response_time = Latency(
            "hemlockhall_answer_seconds", "From sending to a whole answer"
        )

    def count_refusal(self, reason: RefusalReason) -> None:
        """Count a request that this host refused itself."""
        self._increment("refusals", reason)

    def count_retry(self, reason: RetryReason) -> None:
        """Count a failed attempt, or a move of a stream, by its reason."""
        self._increment("retries", reason)

    def count_response(self, status: int) -> None:
        """Count a response by status; 0 means that the caller disconnected."""
        self.count("answers", str(status))

    def count_oversized(self, exc: TransportError) -> None:
        """Count a response that was given up for its size, by the part of it."""
        if isinstance(exc, SizeLimitError):
            self.count("oversized_responses", exc.part)

    def count(self, name: str, label: str) -> None:
        """Increment the counter ``name`` with the given label value."""
        labels = self._counters.setdefault(name, {})
        labels[label] = labels.get(label, 0) + 1

    def counters(self, name: str) -> dict[str, int]:
        """Return the counts of the counter ``name`` by label value."""
        return dict(self._counters.get(name, {}))

    def add_gauge(self, name: str, label: str, read: Callable[[], float]) -> None:
        """Add a gauge, which is read when the metrics are rendered."""
        self._gauges.setdefault(name, {})[label] = read

    def remove_gauges(self, label: str, prefix: str) -> None:
        """Remove the gauges with this label value whose names begin with ``prefix``."""
        for name, reads in list(self._gauges.items()):
            if not name.startswith(prefix):
                continue
            reads.pop(label, None)
            if not reads:
                del self._gauges[name]

    def _increment(self, name: str, reason: Enum) -> None:
        self.count(name, reason.value)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        lines = []
        for name, labels in self._counters.items():
            lines.append(f"# TYPE hemlockhall_{name} counter")
            for label, count in labels.items():
                lines.append(f'hemlockhall_{name}_total{{label="{label}"}} {count}')
        for name, reads in self._gauges.items():
            lines.append(f"# TYPE hemlockhall_{name} gauge")
            for label, read in reads.items():
                lines.append(f'hemlockhall_{name}{{label="{label}"}} {read():.3f}')
        for latency in (self.first_event, self.longest_pause, self.response_time):
            lines += _render_summary(latency)
        return "\n".join(lines).encode() + b"\n"


def _render_summary(latency: Latency) -> list[str]:
    lines = [f"# TYPE {latency.name} summary"]
    for percentile in PERCENTILES:
        value = latency.quantile(percentile)
        lines.append(f'{latency.name}{{quantile="{percentile / 100}"}} {value:.6f}')
    lines.append(f"{latency.name}_sum {latency.sum:.6f}")
    lines.append(f"{latency.name}_count {latency.count}")
    return lines


__all__ = [
    "Metrics",
]
