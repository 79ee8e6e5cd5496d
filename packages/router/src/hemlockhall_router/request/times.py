"""Timing of the events of a stream."""

from __future__ import annotations

import time


class StreamTimes:
    """Event times of one stream, in seconds since its request arrived.

    ``first_event_s`` is the time of the first event, 0.0 before it, and ``event_count``
    how many events the caller was sent.
    ``longest_event_gap_s`` is the longest time between two events, which ended
    ``longest_event_gap_end_s`` after the request arrived.
    """

    def __init__(self) -> None:
        self._started_at = time.monotonic()
        self._last_event_s = 0.0
        self.first_event_s = 0.0
        self.event_count = 0
        self.longest_event_gap_s = 0.0
        self.longest_event_gap_end_s = 0.0

    @property
    def elapsed_s(self) -> float:
        """Seconds since the request arrived."""
        return time.monotonic() - self._started_at

    def record_event(self, count: int = 1) -> None:
        """Record that one or more events arrived."""
        self.event_count += count
        now_s = time.monotonic() - self._started_at
        if not self.first_event_s:
            self.first_event_s = now_s
        elif now_s - self._last_event_s > self.longest_event_gap_s:
            self.longest_event_gap_s = now_s - self._last_event_s
            self.longest_event_gap_end_s = now_s
        self._last_event_s = now_s


__all__ = [
    "StreamTimes",
]
