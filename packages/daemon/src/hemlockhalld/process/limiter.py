"""Rate and concurrency limits of customers; each host enforces an equal share."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hemlockhall_core.request.reason import RefusalReason
from hemlockhalld.request.problem import Problem

if TYPE_CHECKING:
    from collections.abc import Callable

    from hemlockhall_core.version.document import Customer

CONCURRENCY_RETRY_AFTER_S = 1.0


@dataclass
class CustomerUsage:
    """Token bucket and open requests of one customer at this host."""

    tokens: float
    updated_at: float
    open_requests: int = 0


class Limiter:
    """Enforces this host's equal share of each customer's limits.

    The rate allows bursts of one second's requests, and of at least one request. The
    process before this one may have admitted such a burst just before it ended, so
    buckets are empty when this one starts; shares below one a second begin with one
    request, which would otherwise take long to accrue.

    Parameters
    ----------
    host_count : callable
        Returns the number of live entry hosts, this one included.
    """

    def __init__(self, host_count: Callable[[], int]) -> None:
        self._host_count = host_count
        self._started_at = time.monotonic()
        self._usages: dict[str, CustomerUsage] = {}

    def admit(self, customer: Customer) -> None:
        """Admit a request or raise :class:`Problem`; pair with ``release``."""
        host_count = max(1, self._host_count())
        rate_per_s = customer.rate_per_s / host_count
        burst = max(1.0, rate_per_s)
        usage = self._usages.get(customer.name)
        if usage is None:
            tokens = 1.0 if rate_per_s < 1.0 else 0.0
            usage = CustomerUsage(tokens, self._started_at)
            self._usages[customer.name] = usage
        now = time.monotonic()
        usage.tokens = min(burst, usage.tokens + (now - usage.updated_at) * rate_per_s)
        usage.updated_at = now
        if usage.open_requests >= max(1, customer.concurrency // host_count):
            detail = f"{usage.open_requests} requests of {customer.name} are open here"
            raise Problem(
                RefusalReason.CONCURRENCY_LIMITED,
                detail,
                retry_after=CONCURRENCY_RETRY_AFTER_S,
            )
        if usage.tokens < 1:
            detail = (
                f"{customer.name} is over its {customer.rate_per_s} requests a second"
            )
            wait_s = (1 - usage.tokens) / rate_per_s
            raise Problem(RefusalReason.RATE_LIMITED, detail, retry_after=wait_s)
        usage.tokens -= 1
        usage.open_requests += 1

    def release(self, customer: Customer) -> None:
        """Count the end of an admitted request."""
        self._usages[customer.name].open_requests -= 1


__all__ = [
    "Limiter",
]
