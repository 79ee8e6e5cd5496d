"""Rest that plain services ask for, as known to this entry host."""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hemlockhall_core.connection.message import CallResponse

# Longest rest that a service gets by one response.
MAX_REST_S = 300.0


class ServiceRests:
    """Endpoints whose service answered 503 with ``Retry-After`` in seconds.

    Until then this entry host sends them no call; their names are those of the
    document. A value that is no number of seconds is ignored.
    """

    def __init__(self) -> None:
        self._deadlines: dict[str, float] = {}

    def record(self, name: str, response: CallResponse) -> bool:
        """Record the response of an endpoint; return whether it asks for rest."""
        if response.status != 503:
            return False
        for header in response.headers:
            if header.name != "retry-after":
                continue
            seconds = _parse_seconds(header.value)
            if seconds <= 0:
                continue
            deadline = time.monotonic() + min(MAX_REST_S, seconds)
            self._deadlines[name] = max(self._deadlines.get(name, 0.0), deadline)
            return True
        return False

    def resting(self) -> frozenset[str]:
        """Return the names of the endpoints that rest now."""
        now = time.monotonic()
        for name in list(self._deadlines):
            if now >= self._deadlines[name]:
                del self._deadlines[name]
        return frozenset(self._deadlines)

    def remaining_s(self, name: str) -> float:
        """Return the seconds that are left of an endpoint's rest, 0.0 without one."""
        return max(0.0, self._deadlines.get(name, 0.0) - time.monotonic())


def _parse_seconds(value: str) -> float:
    try:
        seconds = float(value)
    except ValueError:
        return 0.0
    return seconds if math.isfinite(seconds) else 0.0


__all__ = [
    "ServiceRests",
]
