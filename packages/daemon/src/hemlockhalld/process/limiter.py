"""Limits of each customer, over all entry hosts without a coordinator."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hemlockhall_core.request.reason import RefusalReason
from hemlockhalld.request.problem import Problem

if TYPE_CHECKING:
    from collections.abc import Callable

    from hemlockhall_core.version.document import Customer

CONCURRENCY_COME_BACK = 1.0


@dataclass
class Use:
    """What one customer uses here: tokens of its rate, open requests."""

    tokens: float
    at: float = field(default_factory=time.monotonic)
    open: int = 0


class Limiter:
    """Gives each entry host an equal share of each customer's limits.

    Parameters
    ----------
    hosts : callable
        Returns the number of live entry hosts, this one included.
    """

    def __init__(self, hosts: Callable[[], int]) -> None:
        self._hosts = hosts
        self._uses: dict[str, Use] = {}

    def enter(self, customer: Customer) -> None:
        """Admit a request or raise :class:`Problem`; pair with ``leave``."""
        hosts = max(1, self._hosts())
        rate = customer.rate_per_s / hosts
        burst = max(1.0, rate)
        use = self._uses.setdefault(customer.name, Use(burst))
        now = time.monotonic()
        use.tokens = min(burst, use.tokens + (now - use.at) * rate)
        use.at = now
        if use.open >= max(1, customer.concurrency // hosts):
            detail = f"{use.open} requests of {customer.name} are open here"
            raise Problem(
                RefusalReason.CONCURRENCY_LIMITED,
                detail,
                retry_after=CONCURRENCY_COME_BACK,
            )
        if use.tokens < 1:
            detail = (
                f"{customer.name} is over its {customer.rate_per_s} requests a second"
            )
            wait = (1 - use.tokens) / rate
            raise Problem(RefusalReason.RATE_LIMITED, detail, retry_after=wait)
        use.tokens -= 1
        use.open += 1

    def leave(self, customer: Customer) -> None:
        """Note the end of an admitted request."""
        self._uses[customer.name].open -= 1


__all__ = [
    "Limiter",
]
