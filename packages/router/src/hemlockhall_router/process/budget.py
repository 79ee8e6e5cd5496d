"""How often requests may be sent again, over all hosts together."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hemlockhall_router.membership.message import RetryUsage, service_key

if TYPE_CHECKING:
    from collections.abc import Callable

# Part of the allowance that is used. Hosts that start anew have forgotten
# what they spent, and two hosts' windows do not begin together.
SAFETY_FACTOR = 0.7
# The window is counted in this many buckets.
BUCKETS = 40
# Part of its share that a host may spend whatever the others spend. The rest is
# lent to hosts that need more.
FLOOR = 0.5
# Seconds after which all hosts have heard what a host spent.
LAG_S = 1.5


@dataclass(slots=True)
class _Counts:
    requests: dict[int, int] = field(default_factory=dict)
    repeats: dict[int, int] = field(default_factory=dict)


class RetryBudget:
    """Repeats of this host, for each service.

    The allowance of all hosts is a part of the requests and a constant. A host's
    share of the constant follows from its part of the requests. A part of its share
    is its own; the rest is a pool from which hosts draw what they need, each in
    proportion to its share. What was drawn lately may be unknown to the others, so
    all draws within ``LAG_S`` together stay within what is known to be left.

    A host that has just started has forgotten what it spent: it keeps its whole
    share for a window. So do hosts that are not heard, as far as the others know, so
    the sum holds while hosts are cut off from one another.

    Parameters
    ----------
    ratio : float
        Repeats allowed for each request.
    constant : float
        Repeats allowed beyond that, for all hosts together.
    window_s : float
        The window in seconds.
    hosts : callable
        Returns the most hosts that may be there.
    shared : callable
        Returns how many hosts are heard of, with this one, and the sum of what they
        report as ``usage``.
    clock : callable
        Returns the time in seconds.
    """

    def __init__(
        self,
        ratio: float,
        constant: float,
        window_s: float,
        hosts: Callable[[], int],
        shared: Callable[[], tuple[int, list[RetryUsage]]],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.ratio = ratio
        self.constant = constant
        self.window_s = window_s
        self._hosts = hosts
        self._shared = shared
        self._clock = clock
        self._young_deadline = clock() + window_s
        self._services: dict[str, _Counts] = {}

    def record_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        _count(self._counts(service).requests, self._bucket())

    def try_acquire(self, service: str) -> bool:
        """Count a repeat and return True, or return False if none is left."""
        counts = self._counts(service)
        share = self._share(service)
        kept = self._kept(share)
        if sum(counts.repeats.values()) + 1 > kept:
            if self._drawn(counts, kept) + 1 > self._left(service, share):
                return False
        _count(counts.repeats, self._bucket())
        return True

    def usage(self) -> list[RetryUsage]:
        """Return what this host tells the others of its use of the budget."""
        found = []
        for service in self._services:
            counts = self._counts(service)
            kept = self._kept(self._share(service))
            repeats = max(sum(counts.repeats.values()), round(kept))
            requests = sum(counts.requests.values())
            found.append(RetryUsage(service_key(service), requests, repeats))
        return found

    def _kept(self, share: float) -> float:
        """Return what this host may spend whatever the others spend."""
        return share if self._clock() < self._young_deadline else share * FLOOR

    def _drawn(self, counts: _Counts, kept: float) -> float:
        """Return what was drawn so lately that others may not know of it."""
        oldest = self._bucket() - int(LAG_S / self.window_s * BUCKETS) - 1
        earlier = 0
        for bucket, repeats in counts.repeats.items():
            if bucket < oldest:
                earlier += repeats
        spent = sum(counts.repeats.values())
        return max(0.0, spent - kept) - max(0.0, earlier - kept)

    def _share(self, service: str) -> float:
        """Return the repeats that fall to this host by what it receives."""
        requests = sum(self._counts(service).requests.values())
        heard, everyone = self._heard(service)
        part = (requests + 1) / (max(requests, everyone.requests) + heard)
        part *= heard / max(heard, self._hosts())
        return SAFETY_FACTOR * (self.ratio * requests + self.constant * part)

    def _left(self, service: str, share: float) -> float:
        """Return this host's part of what all hosts together have left."""
        heard, everyone = self._heard(service)
        counts = self._counts(service)
        # What it told the others may not have come back yet.
        requests = max(everyone.requests, sum(counts.requests.values()))
        spent = max(sum(counts.repeats.values()), self._kept(share))
        spent = max(everyone.retries, spent)
        part = heard / max(heard, self._hosts())
        allowance = SAFETY_FACTOR * (self.ratio * requests + self.constant * part)
        if not allowance:
            return 0.0
        return (allowance - spent) * share / allowance

    def _heard(self, service: str) -> tuple[int, RetryUsage]:
        """Return how many hosts are heard of, and the sum of their use."""
        heard, usages = self._shared()
        key = service_key(service)
        for usage in usages:
            if usage.service == key:
                return max(1, heard), usage
        return max(1, heard), RetryUsage(key, 0, 0)

    def _counts(self, service: str) -> _Counts:
        counts = self._services.setdefault(service, _Counts())
        oldest = self._bucket() - BUCKETS
        _forget(counts.requests, oldest)
        _forget(counts.repeats, oldest)
        return counts

    def _bucket(self) -> int:
        return int(self._clock() / self.window_s * BUCKETS)


def _count(buckets: dict[int, int], bucket: int) -> None:
    buckets[bucket] = buckets.get(bucket, 0) + 1


def _forget(buckets: dict[int, int], oldest: int) -> None:
    for bucket in list(buckets):
        if bucket < oldest:
            del buckets[bucket]


__all__ = [
    "RetryBudget",
]
