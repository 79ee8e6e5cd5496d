"""Audit of the retries of a service against the retry budget."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field


@dataclass
class RetryAudit:
    """Requests of callers to a service, and the arrivals at its endpoints.

    In each window of ``window_s`` seconds at most ``ratio`` retries may arrive for each
    request of callers, and ``constant`` more. The requests counted are the most of
    those in that window, in the one before it and in the one half a window before it.
    Times are in seconds and do not decrease.
    """

    ratio: float
    constant: float
    window_s: float
    requests: list[float] = field(default_factory=list)
    retries: list[float] = field(default_factory=list)
    _arrived: set[str] = field(default_factory=set)

    def record_request(self, at: float) -> None:
        """Record a request of a caller, whether it arrives at an endpoint or not."""
        self.requests.append(at)

    def record_arrival(self, request_id: str, at: float) -> None:
        """Record the arrival of a request at an endpoint."""
        if request_id in self._arrived:
            self.retries.append(at)
        self._arrived.add(request_id)

    def allowed(self, since: float) -> float:
        """Return the retries that are allowed in the window from ``since`` on."""
        starts = (since, since - self.window_s, since - self.window_s / 2)
        most = max(_count(self.requests, start, self.window_s) for start in starts)
        return self.ratio * most + self.constant

    def used(self, since: float) -> float:
        """Return the fraction of the budget used in the window from ``since`` on."""
        return _count(self.retries, since, self.window_s) / self.allowed(since)

    def most_used(self) -> float:
        """Return the largest fraction of the budget used in any window."""
        return max((self.used(since) for since in self.retries), default=0.0)


def _count(times: list[float], since: float, span_s: float) -> int:
    return bisect_left(times, since + span_s) - bisect_left(times, since)


__all__ = [
    "RetryAudit",
]
