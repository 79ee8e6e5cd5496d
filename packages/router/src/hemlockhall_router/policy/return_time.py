"""Times after which refused callers are told to come back."""

from __future__ import annotations

import random

# Shortest time for the most urgent rank. Before it, this host has not seen the effect
# of what it refused.
MIN_RETURN_S = 0.5
# Callers obey a stated time up to a third of the time they have left. A longer one is
# replaced by a random one between these fractions of it: late, as a caller that comes
# back while room is still short is refused a second time.
MIN_REPLACED_FRACTION = 0.25
MAX_REMAINING_FRACTION = 0.3
# Longest time between two callers of a rank, for rates of almost 0.
MAX_INTERVAL_S = 10.0


class ReturnSchedule:
    """Schedule of the callers that one host refused, by rank.

    The callers of a rank come back one after another. No one is scheduled before a
    caller of a more urgent rank that was refused earlier.
    """

    def __init__(self) -> None:
        self._next_at: dict[int, float] = {}

    def next_s(self, now: float, rank: int, rate: float, remaining_s: float) -> float:
        """Return the seconds after which a caller that is refused now may come back.

        ``rank`` is 0 for the most urgent priority, ``rate`` the returning callers of
        the rank per second that this host expects to admit, and ``remaining_s`` the
        time that the caller has left. A replaced time takes no place in the schedule,
        which therefore ends where callers would stop obeying it.
        """
        at = now + MIN_RETURN_S * (1 + rank)
        for other, next_at in self._next_at.items():
            if other <= rank and next_at > at:
                at = next_at
        longest_s = MAX_REMAINING_FRACTION * max(0.0, remaining_s)
        if at - now > longest_s:
            shortest_s = MIN_REPLACED_FRACTION * max(0.0, remaining_s)
            return random.uniform(shortest_s, longest_s)  # noqa: S311
        interval_s = MAX_INTERVAL_S
        if rate * MAX_INTERVAL_S > 1.0:
            interval_s = 1.0 / rate
        self._next_at[rank] = at + interval_s
        return at - now


__all__ = [
    "ReturnSchedule",
]
