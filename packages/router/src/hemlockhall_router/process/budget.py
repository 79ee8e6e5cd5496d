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
RESERVED_FRACTION = 0.5
# Seconds after which all hosts have heard what a host spent.
USAGE_LAG_S = 1.5


@dataclass(slots=True)
class _Counts:
    requests: dict[int, int] = field(default_factory=dict)
    retries: dict[int, int] = field(default_factory=dict)


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
        max_hosts: Callable[[], int],
        cluster_usage: Callable[[], tuple[int, list[RetryUsage]]],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.ratio = ratio
        self.constant = constant
        self.window_s = window_s
        self._max_hosts = max_hosts
        self._cluster_usage = cluster_usage
        self._clock = clock
        self._startup_deadline = clock() + window_s
        self._services: dict[str, _Counts] = {}

    def record_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        _increment(self._counts(service).requests, self._bucket())

    def try_acquire(self, service: str) -> bool:
        """Count a repeat and return True, or return False if none is left."""
        counts = self._counts(service)
        share = self._share(service)
        reserved = self._reserved(share)
        if sum(counts.retries.values()) + 1 > reserved:
            if self._borrowed(counts, reserved) + 1 > self._remaining(service, share):
                return False
        _increment(counts.retries, self._bucket())
        return True

    def usage(self) -> list[RetryUsage]:
        """Return what this host tells the others of its use of the budget."""
        found = []
        for service in self._services:
            counts = self._counts(service)
            reserved = self._reserved(self._share(service))
            retries = max(sum(counts.retries.values()), round(reserved))
            requests = sum(counts.requests.values())
            found.append(RetryUsage(service_key(service), requests, retries))
        return found

    def _reserved(self, share: float) -> float:
        """Return what this host may spend whatever the others spend."""
        return (
            share
            if self._clock() < self._startup_deadline
            else share * RESERVED_FRACTION
        )

    def _borrowed(self, counts: _Counts, reserved: float) -> float:
        """Return what was drawn so lately that others may not know of it."""
        oldest = self._bucket() - int(USAGE_LAG_S / self.window_s * BUCKETS) - 1
        earlier = 0
        for bucket, retries in counts.retries.items():
            if bucket < oldest:
                earlier += retries
        spent = sum(counts.retries.values())
        return max(0.0, spent - reserved) - max(0.0, earlier - reserved)

    def _share(self, service: str) -> float:
        """Return the repeats that fall to this host by what it receives."""
        requests = sum(self._counts(service).requests.values())
        live_hosts, total = self._usage_of_all(service)
        fraction = (requests + 1) / (max(requests, total.requests) + live_hosts)
        fraction *= live_hosts / max(live_hosts, self._max_hosts())
        return SAFETY_FACTOR * (self.ratio * requests + self.constant * fraction)

    def _remaining(self, service: str, share: float) -> float:
        """Return this host's part of what all hosts together have left."""
        live_hosts, total = self._usage_of_all(service)
        counts = self._counts(service)
        # What it told the others may not have come back yet.
        requests = max(total.requests, sum(counts.requests.values()))
        spent = max(sum(counts.retries.values()), self._reserved(share))
        spent = max(total.retries, spent)
        fraction = live_hosts / max(live_hosts, self._max_hosts())
        budget = SAFETY_FACTOR * (self.ratio * requests + self.constant * fraction)
        if not budget:
            return 0.0
        return (budget - spent) * share / budget

    def _usage_of_all(self, service: str) -> tuple[int, RetryUsage]:
        """Return how many hosts are heard of, and the sum of their use."""
        live_hosts, usages = self._cluster_usage()
        key = service_key(service)
        for usage in usages:
            if usage.service == key:
                return max(1, live_hosts), usage
        return max(1, live_hosts), RetryUsage(key, 0, 0)

    def _counts(self, service: str) -> _Counts:
        counts = self._services.setdefault(service, _Counts())
        oldest = self._bucket() - BUCKETS
        _drop_before(counts.requests, oldest)
        _drop_before(counts.retries, oldest)
        return counts

    def _bucket(self) -> int:
        return int(self._clock() / self.window_s * BUCKETS)


def _increment(buckets: dict[int, int], bucket: int) -> None:
    buckets[bucket] = buckets.get(bucket, 0) + 1


def _drop_before(buckets: dict[int, int], oldest: int) -> None:
    for bucket in list(buckets):
        if bucket < oldest:
            del buckets[bucket]


__all__ = [
    "RetryBudget",
]
