"""When the events of a stream came."""

from __future__ import annotations

import time


class StreamTimes:
    """Times of one stream in seconds since its request arrived.

    ``first_s`` is the first event, ``pause_s`` the longest pause between two
    events and ``pause_after_s`` its end.
    """

    def __init__(self) -> None:
        self._started_at = time.monotonic()
        self._last_event_s = 0.0
        self.first_event_s = 0.0
        self.longest_event_gap_s = 0.0
        self.longest_event_gap_end_s = 0.0

    @property
    def elapsed_s(self) -> float:
        """Seconds since the request arrived."""
        return time.monotonic() - self._started_at

    def record_event(self) -> None:
        """Note that events came."""
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
