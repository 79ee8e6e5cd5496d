"""When to send requests to an endpoint that asked for rest, and how many at first."""

from __future__ import annotations

import random
from dataclasses import dataclass

# Fraction of the time of rest by which each host lengthens it at most, at random. The
# hosts that an endpoint turned away together would else return together.
MAX_EXTENSION_FRACTION = 0.1
# After the rest, requests that may be sent for each one that the endpoint accepts, and
# the number of accepted ones after which it gets requests like any other endpoint.
REQUESTS_PER_ACCEPTED = 2
RETURN_REQUESTS = 8
# Time without a response after which a further request is sent meanwhile.
TRIAL_INTERVAL_S = 1.0


@dataclass(slots=True)
class Rest:
    """The rest of one endpoint, as far as this host is concerned.

    No request is sent before ``deadline``. Then one is, and more with each request that
    the endpoint accepts, until ``over`` is true. While ``permitted`` is 0, no request
    is sent before ``trial_deadline``. Times are monotonic seconds.
    """

    deadline: float = 0.0
    permitted: int = 1
    trial_deadline: float = 0.0
    accepted: int = 0

    @property
    def over(self) -> bool:
        """Whether the endpoint may get requests like any other."""
        return self.accepted >= RETURN_REQUESTS

    def extend(self, now: float, seconds: float) -> None:
        """Begin a rest, or lengthen it; an earlier request for a longer one stays."""
        seconds *= 1 + random.uniform(0.0, MAX_EXTENSION_FRACTION)  # noqa: S311
        self.deadline = max(self.deadline, now + seconds)
        self.permitted, self.accepted, self.trial_deadline = 1, 0, 0.0

    def may_send(self, now: float) -> bool:
        """Return whether a request may be sent."""
        return now >= self.next_at(now)

    def next_at(self, now: float) -> float:
        """Return the time from which a request may be sent."""
        if now < self.deadline or self.permitted:
            return self.deadline
        return self.trial_deadline

    def record_sent(self, now: float) -> None:
        """Record that a request was sent."""
        self.permitted = max(0, self.permitted - 1)
        self.trial_deadline = now + TRIAL_INTERVAL_S

    def record_accepted(self, now: float) -> None:
        """Record that the endpoint accepted a request.

        Those sent before the rest do not end it.
        """
        if now < self.deadline:
            return
        self.accepted += 1
        self.permitted += REQUESTS_PER_ACCEPTED


__all__ = [
    "TRIAL_INTERVAL_S",
    "Rest",
]
