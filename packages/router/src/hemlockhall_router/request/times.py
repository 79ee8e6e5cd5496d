"""When the events of a stream came."""

from __future__ import annotations

import time


class Times:
    """Times of one stream in seconds since its request arrived.

    ``first_s`` is the first event, ``pause_s`` the longest pause between two
    events and ``pause_after_s`` its end.
    """

    def __init__(self) -> None:
        self._began = time.monotonic()
        self._last = 0.0
        self.first_s = 0.0
        self.pause_s = 0.0
        self.pause_after_s = 0.0

    @property
    def took_s(self) -> float:
        """Seconds since the request arrived."""
        return time.monotonic() - self._began

    def event(self) -> None:
        """Note that events came."""
        since = time.monotonic() - self._began
        if not self.first_s:
            self.first_s = since
        elif since - self._last > self.pause_s:
            self.pause_s = since - self._last
            self.pause_after_s = since
        self._last = since


__all__ = [
    "Times",
]
