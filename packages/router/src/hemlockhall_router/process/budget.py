"""How often requests may be sent again, over all hosts without asking them."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Part of the allowance that is used. Hosts that start anew have forgotten
# what they spent, and two hosts' windows do not begin together.
CAUTION = 0.7
# The window is counted in this many buckets.
BUCKETS = 10


@dataclass(slots=True)
class _Counts:
    requests: dict[int, int] = field(default_factory=dict)
    repeats: dict[int, int] = field(default_factory=dict)


class Budget:
    """Repeats of this host, for each service.

    The allowance of all hosts is a part of the requests and a constant. A host
    knows its own requests; of the constant it takes an equal share. The shares
    add up to the constant however many hosts hear each other, so the sum holds
    while hosts are cut off from one another.

    Parameters
    ----------
    ratio : float
        Repeats allowed for each request.
    constant : float
        Repeats allowed beyond that, for all hosts together.
    window_s : float
        The window in seconds.
    hosts : callable
        Returns the number of hosts that the constant is shared by.
    """

    def __init__(
        self,
        ratio: float,
        constant: float,
        window_s: float,
        hosts: Callable[[], int],
    ) -> None:
        self.ratio = ratio
        self.constant = constant
        self.window_s = window_s
        self._hosts = hosts
        self._services: dict[str, _Counts] = {}

    def request(self, service: str) -> None:
        """Count a caller's request for a service."""
        _count(self._counts(service).requests, self._bucket())

    def allow(self, service: str) -> bool:
        """Count a repeat and return True, or return False if none is left."""
        counts = self._counts(service)
        now = self._bucket()
        oldest = now - BUCKETS
        _forget(counts.requests, oldest)
        _forget(counts.repeats, oldest)
        requests = sum(counts.requests.values())
        constant = self.constant / max(1, self._hosts())
        allowance = CAUTION * (self.ratio * requests + constant)
        if sum(counts.repeats.values()) + 1 > allowance:
            return False
        _count(counts.repeats, now)
        return True

    def _counts(self, service: str) -> _Counts:
        return self._services.setdefault(service, _Counts())

    def _bucket(self) -> int:
        return int(time.monotonic() / self.window_s * BUCKETS)


def _count(buckets: dict[int, int], bucket: int) -> None:
    buckets[bucket] = buckets.get(bucket, 0) + 1


def _forget(buckets: dict[int, int], oldest: int) -> None:
    for bucket in list(buckets):
        if bucket < oldest:
            del buckets[bucket]


__all__ = [
    "Budget",
]
