"""Request limits that endpoints state in their responses."""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from loguru import logger

from hemlockhall_router.process.dialect import DecodeError

if TYPE_CHECKING:
    from collections.abc import Callable

    from hemlockhall_router.connection.message import ResponseHead
    from hemlockhall_router.process.dialect import Dialect
    from hemlockhall_router.process.metric import Metrics
    from hemlockhall_router.version.endpoint import Endpoint

# Seconds for which the requests sent to a limited endpoint are counted.
SENT_WINDOW_S = 4.0


@dataclass(slots=True)
class _Limited:
    """An endpoint that states a limit, in requests per second, ``since`` a time."""

    rate: float
    since: float
    sent_at: deque[float] = field(default_factory=deque)


class EndpointLimits:
    """The limits that endpoints state, by the incarnation of the endpoint.

    Parameters
    ----------
    dialect : Dialect
        Decodes the limit in a response.
    metrics : Metrics
        Counts statements; has gauges of each limited endpoint.
    clock : callable
        Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        dialect: Dialect,
        metrics: Metrics,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._dialect = dialect
        self._metrics = metrics
        self._clock = clock
        self._limited: dict[tuple[str, int], _Limited] = {}

    def record_response(self, endpoint: Endpoint, head: ResponseHead) -> None:
        """Record the limit that a response to a request states, if any.

        The response to an executed request that states none ends the limit.
        """
        # 421 (Misdirected Request): another endpoint has the address.
        if head.status == 421:
            return
        try:
            rate = self._dialect.decode_request_limit(head)
        except DecodeError as exc:
            self._metrics.count("limit_statements", "unreadable")
            logger.warning("limit not readable", endpoint=endpoint.id, cause=str(exc))
            return
        if rate is not None:
            self._set(endpoint, rate)
            return
        names = self._dialect.headers
        signed = head.header(names.signature) is not None
        if signed and head.header(names.not_executed) is None:
            self._end(endpoint)

    def record_sent(self, endpoint: Endpoint) -> None:
        """Count a request that this host sends to an endpoint as the first one."""
        limited = self._limited.get(endpoint.incarnation)
        if limited is not None:
            limited.sent_at.append(self._clock())

    def _set(self, endpoint: Endpoint, rate: float) -> None:
        limited = self._limited.get(endpoint.incarnation)
        if limited is not None and limited.rate == rate:
            return
        self._metrics.count("limit_statements", "stated")
        logger.info(
            "endpoint limit",
            endpoint=endpoint.id,
            rate=rate,
            before=limited.rate if limited else None,
            sent=self._sent(limited),
        )
        if limited is not None:
            limited.rate = rate
            return
        limited = _Limited(rate, self._clock())
        self._limited[endpoint.incarnation] = limited
        label = endpoint.id
        self._metrics.add_gauge("endpoint_limit", label, lambda: limited.rate)
        self._metrics.add_gauge(
            "endpoint_limit_age_seconds", label, lambda: self._clock() - limited.since
        )
        self._metrics.add_gauge(
            "endpoint_limit_sent", label, lambda: self._sent(limited)
        )

    def _end(self, endpoint: Endpoint) -> None:
        limited = self._limited.pop(endpoint.incarnation, None)
        if limited is None:
            return
        self._metrics.count("limit_statements", "ended")
        self._metrics.remove_gauges(endpoint.id)
        logger.info(
            "endpoint limit ended",
            endpoint=endpoint.id,
            rate=limited.rate,
            age_s=round(self._clock() - limited.since, 1),
            sent=self._sent(limited),
        )

    def _sent(self, limited: _Limited | None) -> int:
        """Return how many requests this host sent within ``SENT_WINDOW_S``."""
        if limited is None:
            return 0
        oldest = self._clock() - SENT_WINDOW_S
        while limited.sent_at and limited.sent_at[0] < oldest:
            limited.sent_at.popleft()
        return len(limited.sent_at)


__all__ = [
    "EndpointLimits",
]
