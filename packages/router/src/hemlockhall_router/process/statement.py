"""What endpoints state of themselves in their responses, as known to this host."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from loguru import logger

from hemlockhall_router.process.setting import RestSection

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from hemlockhall_router.connection.message import ResponseHead
    from hemlockhall_router.process.dialect import Dialect
    from hemlockhall_router.process.limits import EndpointLimits
    from hemlockhall_router.process.metric import Metrics
    from hemlockhall_router.version.endpoint import Endpoint, EndpointStatement

# Seconds for which an endpoint that stated that it leaves is remembered: longer than
# one keeps running.
LEAVING_TTL_S = 600.0


@dataclass(slots=True)
class _Resting:
    """An endpoint that asked this host for rest until ``deadline``.

    ``sent`` counts the requests that this host sent to it since.
    """

    label: str
    deadline: float
    sent: int = 0


@dataclass(slots=True)
class _Leaving:
    """An endpoint that stated that it leaves; it is remembered until ``deadline``.

    ``sent`` counts the requests that this host sent to it since.
    """

    label: str
    since: float
    deadline: float
    sent: int = 0


class EndpointStatements:
    """The statements of endpoints, by incarnation.

    Parameters
    ----------
    dialect : Dialect
        Decodes the statement in a response.
    limits : EndpointLimits
        Keeps the request limits that endpoints state.
    metrics : Metrics
        Counts statements; has gauges of each endpoint that rests or leaves.
    clock : callable
        Returns the monotonic time in seconds.
    cfg : RestSection, optional
        The settings; may be replaced, and then holds for later statements.
    """

    def __init__(
        self,
        dialect: Dialect,
        limits: EndpointLimits,
        metrics: Metrics,
        clock: Callable[[], float],
        cfg: RestSection | None = None,
    ) -> None:
        self.cfg = cfg or RestSection()
        self._dialect = dialect
        self._limits = limits
        self._metrics = metrics
        self._clock = clock
        self._resting: dict[tuple[str, int], _Resting] = {}
        self._leaving: dict[tuple[str, int], _Leaving] = {}

    def record_response(self, endpoint: Endpoint, head: ResponseHead) -> None:
        """Record what a response says about the endpoint that sent it."""
        # 421 (Misdirected Request): another endpoint has the address.
        if head.status == 421:
            return
        statement = self._dialect.decode_statement(head)
        for label, cause in statement.errors.items():
            self._metrics.count("statements_unreadable", label)
            logger.warning(
                "statement not readable", endpoint=endpoint.id, about=label, cause=cause
            )
        self._limits.record_statement(endpoint, statement)
        if statement.rest_s > 0:
            self._record_rest(endpoint, statement)
        if statement.leaving:
            self._record_leaving(endpoint)

    def record_sent(self, endpoints: Iterable[Endpoint]) -> None:
        """Count a request that is sent to an endpoint, or through several."""
        if not self._resting and not self._leaving:
            return
        for endpoint in endpoints:
            for stated in (
                self._resting.get(endpoint.incarnation),
                self._leaving.get(endpoint.incarnation),
            ):
                if stated is not None:
                    stated.sent += 1

    def expire(self) -> None:
        """Forget the statements whose time is over; called periodically."""
        now = self._clock()
        for key, resting in list(self._resting.items()):
            if now < resting.deadline:
                continue
            del self._resting[key]
            self._metrics.remove_gauges(resting.label, "endpoint_rest")
            logger.info("endpoint rest ended", endpoint=key[0], sent=resting.sent)
        for key, leaving in list(self._leaving.items()):
            if now < leaving.deadline:
                continue
            del self._leaving[key]
            self._metrics.remove_gauges(leaving.label, "endpoint_leaving")

    def _record_rest(self, endpoint: Endpoint, statement: EndpointStatement) -> None:
        rest_s = min(self.cfg.max_s, statement.rest_s)
        deadline = self._clock() + rest_s
        resting = self._resting.get(endpoint.incarnation)
        self._metrics.count("statements", "rest")
        logger.info(
            "endpoint asks for rest",
            endpoint=endpoint.id,
            stated_s=round(statement.rest_s, 3),
            seconds=round(rest_s, 3),
            sent=resting.sent if resting else 0,
        )
        if resting is not None:
            resting.deadline = max(resting.deadline, deadline)
            return
        resting = _Resting(endpoint.id, deadline)
        self._resting[endpoint.incarnation] = resting
        add, label = self._metrics.add_gauge, resting.label
        add("endpoint_rest_seconds", label, lambda: resting.deadline - self._clock())
        add("endpoint_rest_sent", label, lambda: resting.sent)

    def _record_leaving(self, endpoint: Endpoint) -> None:
        now = self._clock()
        leaving = self._leaving.get(endpoint.incarnation)
        if leaving is not None:
            leaving.deadline = now + LEAVING_TTL_S
            return
        leaving = _Leaving(endpoint.id, now, now + LEAVING_TTL_S)
        self._leaving[endpoint.incarnation] = leaving
        self._metrics.count("statements", "leaving")
        logger.info("endpoint states that it leaves", endpoint=endpoint.id)
        add, label = self._metrics.add_gauge, leaving.label
        add("endpoint_leaving_seconds", label, lambda: self._clock() - leaving.since)
        add("endpoint_leaving_sent", label, lambda: leaving.sent)


__all__ = [
    "EndpointStatements",
]
